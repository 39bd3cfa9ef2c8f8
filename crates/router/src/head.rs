//! A draft from the router's side: choosing a head, following it, and going on
//! with another one when it is lost.

use std::sync::Arc;
use std::time::Duration;

use policy::quarantine::Verdict;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::frame::{Attach, Cancel, Command, Draft, Frame, HEAD_STRIDE, Hop, Place, Sample};
use wire::id;
use wire::link::Stream;
use wire::refusal::{Cause, Outcome, Refusal};

use crate::Router;
use crate::admission::{self, Grant};
use crate::draft::{Event, Wanted};

/// Time an agent has to accept or refuse a draft.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(3);

/// How often a silent head is compared with the view of the agents.
const LOOK: Duration = Duration::from_millis(100);

/// How long a lost head is told that its draft goes on elsewhere: as long as a
/// head runs a draft that nobody follows.
const ABANDONED: Duration = Duration::from_secs(15);

/// Pause between two such tries.
const CANCEL_PAUSE: Duration = Duration::from_millis(500);

/// How one head ended.
enum End {
    /// The caller has the whole answer.
    Done,
    /// The caller has gone or has a refusal.
    Over,
    /// The head is lost; another one goes on.
    Lost(String),
}

struct Follower {
    router: Arc<Router>,
    events: mpsc::Sender<Event>,
    workspace: id::Workspace,
    request: id::Request,
    head: Place,
    /// Tokens the caller has.
    words: Vec<Sample>,
    accepted: bool,
    /// A head did not answer, so it may run the draft all the same.
    doubted: bool,
    /// Hash of the content; unknown for a caller that came back.
    fingerprint: Option<id::Fingerprint>,
    /// Lost heads, each with the task that cancels the draft there.
    given_up: Vec<(id::Vm, tokio::task::JoinHandle<()>)>,
}

/// Runs a draft until its caller has the whole answer or an honest refusal.
pub async fn run(router: Arc<Router>, wanted: Wanted, events: mpsc::Sender<Event>) {
    let mut follower = Follower {
        router,
        events,
        workspace: wanted.workspace.clone(),
        request: wanted.unique.clone(),
        head: Place { vm: String::new(), address: String::new() },
        words: Vec::new(),
        accepted: false,
        doubted: false,
        fingerprint: Some(wanted.fingerprint),
        given_up: Vec::new(),
    };
    let mut attempt = 0;
    loop {
        let (stream, grant) = match follower.start(&wanted, attempt).await {
            Ok(started) => started,
            Err(refusal) => return follower.refuse(refusal).await,
        };
        match follower.follow(stream).await {
            End::Done => return grant.succeeded(),
            End::Over => return,
            End::Lost(why) => {
                log::warn!("head: {} lost {}: {why}", follower.head.vm, follower.request);
                let text = format!("head {} is lost: {why}", follower.head.vm);
                follower.router.node.trace.add(&follower.request, "head", text);
                follower.router.node.metrics.retries.add(1, &[]);
                grant.failed(&follower.head.vm);
                follower.give_up();
            }
        }
        attempt += HEAD_STRIDE;
    }
}

/// Goes on with a draft for a caller that has `after` tokens.
pub async fn attach(router: Arc<Router>, attach: Attach, head: Place, events: mpsc::Sender<Event>) {
    let mut follower = Follower {
        router,
        events,
        workspace: attach.workspace.clone(),
        request: attach.request.clone(),
        head,
        words: Vec::new(),
        accepted: false,
        doubted: false,
        fingerprint: None,
        given_up: Vec::new(),
    };
    let ask = Command::Attach(attach);
    let opened = follower.ask(&ask).await;
    let end = match opened {
        Ok(stream) => follower.follow(stream).await,
        Err(refusal) => return follower.refuse(refusal).await,
    };
    if let End::Lost(why) = end {
        let refusal = Refusal::unknown(Cause::Lost, "attach", &follower.head.vm, why);
        follower.refuse(refusal.with_retry_after(Duration::from_secs(1))).await;
    }
}

impl Follower {
    /// Gets the draft accepted by a head, as soon as it is its turn.
    async fn start(
        &mut self,
        wanted: &Wanted,
        attempt: id::Attempt,
    ) -> Result<(Stream, Grant), Refusal> {
        self.not_quarantined(wanted)?;
        let admission = self.router.admission.clone();
        let mut grant = match attempt {
            0 => self.unless_gone(admission.ask(wanted.want())).await?,
            _ => self.unless_gone(admission.recover(wanted.want())).await?,
        };
        loop {
            let refusal = match self.offer(wanted, attempt, &grant).await {
                Ok(stream) => return Ok((stream, grant)),
                Err(refusal) => refusal,
            };
            let again = matches!(
                refusal.cause,
                Cause::Busy | Cause::Leaving | Cause::Unavailable | Cause::Lost
            );
            if !again {
                return Err(refusal);
            }
            self.router.node.metrics.retries.add(1, &[]);
            let outcome = admission::certain(&refusal);
            grant = self.unless_gone(grant.again(refusal, outcome)).await?;
        }
    }

    fn not_quarantined(&self, wanted: &Wanted) -> Result<(), Refusal> {
        let node = &self.router.node;
        match node.quarantine.verdict(wanted.fingerprint) {
            Verdict::Refused { left } => Err(quarantined(&node.process.vm, left)),
            _ => Ok(()),
        }
    }

    /// Waits for a turn as long as the caller does.
    async fn unless_gone(
        &self,
        turn: impl Future<Output = Result<Grant, Refusal>>,
    ) -> Result<Grant, Refusal> {
        tokio::select! {
            turn = turn => turn,
            () = self.events.closed() => {
                let vm = &self.router.node.process.vm;
                Err(Refusal::not_run(Cause::Lost, "queue", vm, "the caller has gone"))
            }
        }
    }

    /// Offers the draft to the head of a chain.
    async fn offer(
        &mut self,
        wanted: &Wanted,
        attempt: id::Attempt,
        grant: &Grant,
    ) -> Result<Stream, Refusal> {
        // It may have been put there while the draft waited.
        self.not_quarantined(wanted)?;
        let chain = self.router.view.hops(&wanted.model, grant.chain());
        let Some(head) = chain.first().and_then(|hop| hop.replicas.first()) else {
            let why = "the head is no longer listed";
            let vm = grant.chain().first().and_then(|list| list.first());
            let vm = vm.map_or("", String::as_str);
            return Err(Refusal::not_run(Cause::Unavailable, "choose", vm, why));
        };
        self.head = head.clone();
        self.request = self.request_id(&wanted.unique);
        // The same process again gets the same request id: the late cancelling
        // of its first run would end the new one.
        for (_, task) in self.given_up.iter().filter(|(vm, _)| *vm == self.head.vm) {
            task.abort();
        }
        let ask = Command::Draft(self.draft(wanted, attempt, chain));
        self.ask(&ask).await
    }

    fn request_id(&self, unique: &str) -> id::Request {
        let report = self.router.view.find(&self.head.vm).and_then(|a| a.report);
        let incarnation = report.map_or(0, |r| r.incarnation);
        format!("{}.{incarnation}.{unique}", self.head.vm)
    }

    fn draft(&self, wanted: &Wanted, attempt: id::Attempt, chain: Vec<Hop>) -> Draft {
        Draft {
            request: self.request.clone(),
            workspace: wanted.workspace.clone(),
            model: wanted.model.name.clone(),
            prompt: wanted.prompt.clone(),
            delivered: self.words.iter().map(|w| w.id).collect(),
            attempt,
            max_tokens: wanted.max_tokens,
            priority: wanted.priority,
            deadline: wanted.until.saturating_duration_since(Instant::now()),
            fingerprint: wanted.fingerprint,
            suspect: self.router.node.quarantine.verdict(wanted.fingerprint) == Verdict::Alone,
            chain,
        }
    }

    /// Opens a stream to the head and reads whether it accepts.
    async fn ask(&mut self, ask: &Command) -> Result<Stream, Refusal> {
        let (vm, address) = (self.head.vm.clone(), self.head.address.clone());
        let _wait = self.router.node.peers.wait(&vm, &address);
        let connection = self.router.node.peers.connection(&vm, &address).await;
        let connection = connection
            .map_err(|e| Refusal::not_run(Cause::Unavailable, "offer", &vm, e.to_string()))?;
        // From here on the draft may have reached the head, and a head whose
        // answer is late or lost may run it.
        let down = |why: String| Refusal::unknown(Cause::Lost, "offer", &vm, why);
        let asked = async {
            let mut stream =
                wire::link::open(&connection, &vm, ask).await.map_err(|e| down(e.to_string()))?;
            let tell = stream.expect::<Frame>().await.map_err(|e| down(e.to_string()))?;
            Ok((stream, tell))
        };
        let asked = tokio::time::timeout(ACCEPT_TIMEOUT, asked).await;
        let asked = asked.unwrap_or_else(|_| Err(down("no answer in time".into())));
        self.doubted |= asked.is_err();
        let (stream, tell) = asked?;
        match tell {
            Frame::Accepted(accepted) => {
                if !self.accepted {
                    let event = Event::Accepted(self.request.clone(), accepted.prompt_tokens);
                    let _ = self.events.send(event).await;
                }
                self.accepted = true;
                Ok(stream)
            }
            Frame::Refused(refusal) => Err(refusal),
            _ => Err(down("unexpected frame".into())),
        }
    }

    /// Passes tokens on until the draft ends, the caller goes or the head is lost.
    async fn follow(&mut self, mut stream: Stream) -> End {
        let _wait = self.router.node.peers.wait(&self.head.vm, &self.head.address);
        loop {
            let tell = tokio::select! {
                tell = stream.expect::<Frame>() => tell,
                () = self.events.closed() => {
                    self.cancel().await;
                    return End::Over;
                }
                () = down(&self.router, &self.head.vm) => {
                    return End::Lost("no report from it".into());
                }
            };
            match tell {
                Ok(Frame::Token(token)) => {
                    self.words.push(token.sample.clone());
                    let event = Event::Token(self.request.clone(), token);
                    if self.events.send(event).await.is_err() {
                        self.cancel().await;
                        return End::Over;
                    }
                }
                Ok(Frame::Done(done)) => {
                    self.router.node.metrics.ended("draft", "answered");
                    let _ = self.events.send(Event::Done(done)).await;
                    return End::Done;
                }
                Ok(Frame::Refused(refusal)) => {
                    self.refuse(refusal).await;
                    return End::Over;
                }
                Ok(_) => return End::Lost("unexpected frame".into()),
                Err(e) => return End::Lost(e.to_string()),
            }
        }
    }

    /// Tells a lost head that its draft goes on elsewhere, as soon as it can be
    /// reached. A head that was only frozen would otherwise go on for [`ABANDONED`]
    /// and take up slots for an answer that nobody reads.
    fn give_up(&mut self) {
        let (request, workspace) = (self.request.clone(), self.workspace.clone());
        let (head, router) = (self.head.clone(), self.router.clone());
        let ask = Command::Cancel(Cancel { request, workspace });
        let task = tokio::spawn(async move {
            let until = Instant::now() + ABANDONED;
            while Instant::now() < until {
                tokio::time::sleep(CANCEL_PAUSE).await;
                let asked = router.node.peers.ask::<_, Frame>(&head.vm, &head.address, &ask);
                if tokio::time::timeout(CANCEL_PAUSE, asked).await.is_ok_and(|r| r.is_ok()) {
                    return;
                }
            }
        });
        self.given_up.push((self.head.vm.clone(), task));
    }

    async fn cancel(&self) {
        // A stopping router closes its callers' connections itself at the end of
        // its time. The caller goes on through another router, and a draft that
        // was cancelled here would be lost to it. The head gives up what nobody
        // comes back for.
        if self.router.node.stop.raised() {
            return;
        }
        let (request, workspace) = (self.request.clone(), self.workspace.clone());
        let ask = Command::Cancel(Cancel { request, workspace });
        let peers = &self.router.node.peers;
        if let Err(e) = peers.ask::<_, Frame>(&self.head.vm, &self.head.address, &ask).await {
            log::debug!("head: a cancelled draft could not be stopped: {e}");
        }
    }

    /// Tells the caller the end. What was accepted once, or sent to a head that
    /// did not answer, may have run in part.
    async fn refuse(&self, mut refusal: Refusal) {
        if refusal.cause == Cause::Quarantined {
            self.fingerprint.iter().for_each(|f| self.router.node.quarantine.refused_elsewhere(*f));
        }
        if (self.accepted || self.doubted) && refusal.outcome == Outcome::NotRun {
            refusal.outcome = Outcome::Unknown;
        }
        self.router.node.trace.add(&self.request, "refuse", refusal.to_string());
        self.router.node.metrics.ended("draft", &refusal.outcome.to_string());
        let _ = self.events.send(Event::Refused(self.request.clone(), refusal)).await;
    }
}

fn quarantined(vm: &str, left: Duration) -> Refusal {
    let why = format!("it crashed engines and is in quarantine for {} s more", left.as_secs());
    Refusal::refused(Cause::Quarantined, "choose", vm, why)
}

/// Resolves when an agent that is being followed can't be reached any more.
async fn down(router: &Router, vm: &str) {
    while !router.view.down(vm) {
        tokio::time::sleep(LOOK).await;
    }
}
