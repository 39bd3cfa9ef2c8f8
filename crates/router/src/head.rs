//! Running a draft from the router: choosing a head, receiving its tokens, and continuing with
//! another head if it is lost.

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
use crate::draft::{Event, Spec};

/// Time within which an agent has to accept or refuse a draft.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(3);

/// How often the view of the agents is checked while a head is silent.
const VIEW_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long to try to cancel a draft at a lost head: as long as a head runs a draft that no router
/// follows.
const CANCEL_PERIOD: Duration = Duration::from_secs(15);

/// Pause before each such try, and time limit of the try.
const CANCEL_PAUSE: Duration = Duration::from_millis(500);

/// How following one head ended.
enum End {
    /// The caller has the whole answer.
    Done,
    /// The caller has disconnected or has received a refusal.
    Closed,
    /// The head is lost; another one may continue.
    Lost(String),
}

struct Follower {
    router: Arc<Router>,
    events: mpsc::Sender<Event>,
    workspace: id::Workspace,
    request: id::Request,
    head: Place,
    /// Tokens sent to the caller.
    tokens: Vec<Sample>,
    accepted: bool,
    /// A head did not answer, but may run the draft.
    may_have_run: bool,
    /// Hash of the content; unknown for a caller that has reconnected.
    fingerprint: Option<id::Fingerprint>,
    /// Lost heads, each with the task that cancels the draft there.
    cancellations: Vec<(id::Vm, tokio::task::JoinHandle<()>)>,
}

/// Runs a draft until its caller has the whole answer or a refusal that says whether it may have
/// run.
pub async fn run(router: Arc<Router>, spec: Spec, events: mpsc::Sender<Event>) {
    let mut follower = Follower {
        router,
        events,
        workspace: spec.workspace.clone(),
        request: spec.unique.clone(),
        head: Place { vm: String::new(), address: String::new() },
        tokens: Vec::new(),
        accepted: false,
        may_have_run: false,
        fingerprint: Some(spec.fingerprint),
        cancellations: Vec::new(),
    };
    let mut attempt = 0;
    loop {
        let (stream, grant) = match follower.start(&spec, attempt).await {
            Ok(started) => started,
            Err(refusal) => return follower.refuse(refusal).await,
        };
        match follower.follow(stream).await {
            End::Done => return grant.succeeded(),
            End::Closed => return,
            End::Lost(why) => {
                log::warn!("head: {} lost {}: {why}", follower.head.vm, follower.request);
                let text = format!("head {} is lost: {why}", follower.head.vm);
                follower.router.node.trace.add(&follower.request, "head", text);
                follower.router.node.metrics.retries.add(1, &[]);
                grant.failed(&follower.head.vm);
                follower.cancel_at_lost_head();
            }
        }
        attempt += HEAD_STRIDE;
    }
}

/// Continues a draft for a caller that has already received `after` tokens.
pub async fn attach(router: Arc<Router>, attach: Attach, head: Place, events: mpsc::Sender<Event>) {
    let mut follower = Follower {
        router,
        events,
        workspace: attach.workspace.clone(),
        request: attach.request.clone(),
        head,
        tokens: Vec::new(),
        accepted: false,
        may_have_run: false,
        fingerprint: None,
        cancellations: Vec::new(),
    };
    let ask = Command::Attach(attach);
    let opened = follower.submit(&ask).await;
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
    /// Waits for admission, then offers the draft to heads until one accepts it.
    async fn start(
        &mut self,
        spec: &Spec,
        attempt: id::Attempt,
    ) -> Result<(Stream, Grant), Refusal> {
        self.check_quarantine(spec)?;
        let admission = self.router.admission.clone();
        let mut grant = match attempt {
            0 => self.while_connected(admission.admit(spec.requirements())).await?,
            _ => self.while_connected(admission.recover(spec.requirements())).await?,
        };
        loop {
            let refusal = match self.offer(spec, attempt, &grant).await {
                Ok(stream) => return Ok((stream, grant)),
                Err(refusal) => refusal,
            };
            let is_retryable = matches!(
                refusal.cause,
                Cause::Busy | Cause::Leaving | Cause::Unavailable | Cause::Lost
            );
            if !is_retryable {
                return Err(refusal);
            }
            self.router.node.metrics.retries.add(1, &[]);
            let outcome = admission::retry_outcome(&refusal);
            grant = self.while_connected(grant.retry(refusal, outcome)).await?;
        }
    }

    fn check_quarantine(&self, spec: &Spec) -> Result<(), Refusal> {
        let node = &self.router.node;
        match node.quarantine.verdict(spec.fingerprint) {
            Verdict::Refused { left } => Err(quarantine_refusal(&node.process.vm, left)),
            _ => Ok(()),
        }
    }

    /// Waits for admission as long as the caller is connected.
    async fn while_connected(
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
        spec: &Spec,
        attempt: id::Attempt,
        grant: &Grant,
    ) -> Result<Stream, Refusal> {
        // It may have been quarantined while the draft was queued.
        self.check_quarantine(spec)?;
        let chain = self.router.view.hops(&spec.model, grant.chain());
        let Some(head) = chain.first().and_then(|hop| hop.replicas.first()) else {
            let why = "the head is no longer listed";
            let vm = grant.chain().first().and_then(|list| list.first());
            let vm = vm.map_or("", String::as_str);
            return Err(Refusal::not_run(Cause::Unavailable, "choose", vm, why));
        };
        self.head = head.clone();
        self.request = self.request_id(&spec.unique);
        // A process that is chosen again gets the same request id, so a late cancellation of its
        // first run would end the new one.
        for (_, task) in self.cancellations.iter().filter(|(vm, _)| *vm == self.head.vm) {
            task.abort();
        }
        let ask = Command::Draft(self.draft(spec, attempt, chain));
        self.submit(&ask).await
    }

    fn request_id(&self, unique: &str) -> id::Request {
        let report = self.router.view.find(&self.head.vm).and_then(|a| a.report);
        let incarnation = report.map_or(0, |r| r.incarnation);
        format!("{}.{incarnation}.{unique}", self.head.vm)
    }

    fn draft(&self, spec: &Spec, attempt: id::Attempt, chain: Vec<Hop>) -> Draft {
        Draft {
            request: self.request.clone(),
            workspace: spec.workspace.clone(),
            model: spec.model.name.clone(),
            prompt: spec.prompt.clone(),
            delivered: self.tokens.iter().map(|w| w.id).collect(),
            attempt,
            max_tokens: spec.max_tokens,
            priority: spec.priority,
            deadline: spec.deadline.saturating_duration_since(Instant::now()),
            fingerprint: spec.fingerprint,
            suspect: self.router.node.quarantine.verdict(spec.fingerprint) == Verdict::Alone,
            chain,
        }
    }

    /// Opens a stream to the head and waits for it to accept or refuse.
    async fn submit(&mut self, ask: &Command) -> Result<Stream, Refusal> {
        let (vm, address) = (self.head.vm.clone(), self.head.address.clone());
        let _wait = self.router.node.peers.register_wait(&vm, &address);
        let connection = self.router.node.peers.connection(&vm, &address).await;
        let connection = connection
            .map_err(|e| Refusal::not_run(Cause::Unavailable, "offer", &vm, e.to_string()))?;
        // From here on the head may have received the draft: if its answer is late or lost, it may
        // run it.
        let lost = |why: String| Refusal::unknown(Cause::Lost, "offer", &vm, why);
        let answer = async {
            let mut stream =
                wire::link::open(&connection, &vm, ask).await.map_err(|e| lost(e.to_string()))?;
            let tell = stream.expect::<Frame>().await.map_err(|e| lost(e.to_string()))?;
            Ok((stream, tell))
        };
        let answer = tokio::time::timeout(ACCEPT_TIMEOUT, answer).await;
        let answer = answer.unwrap_or_else(|_| Err(lost("no answer in time".into())));
        self.may_have_run |= answer.is_err();
        let (stream, tell) = answer?;
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
            _ => Err(lost("unexpected frame".into())),
        }
    }

    /// Forwards tokens until the draft ends, the caller disconnects or the head is lost.
    async fn follow(&mut self, mut stream: Stream) -> End {
        let _wait = self.router.node.peers.register_wait(&self.head.vm, &self.head.address);
        loop {
            let tell = tokio::select! {
                tell = stream.expect::<Frame>() => tell,
                () = self.events.closed() => {
                    self.cancel().await;
                    return End::Closed;
                }
                () = until_down(&self.router, &self.head.vm) => {
                    return End::Lost("no report from it".into());
                }
            };
            match tell {
                Ok(Frame::Token(token)) => {
                    self.tokens.push(token.sample.clone());
                    let event = Event::Token(self.request.clone(), token);
                    if self.events.send(event).await.is_err() {
                        self.cancel().await;
                        return End::Closed;
                    }
                }
                Ok(Frame::Done(done)) => {
                    self.router.node.metrics.count_request("draft", "answered");
                    let _ = self.events.send(Event::Done(done)).await;
                    return End::Done;
                }
                Ok(Frame::Refused(refusal)) => {
                    self.refuse(refusal).await;
                    return End::Closed;
                }
                Ok(_) => return End::Lost("unexpected frame".into()),
                Err(e) => return End::Lost(e.to_string()),
            }
        }
    }

    /// Cancels the draft at a lost head as soon as the head can be reached. A head that was only
    /// frozen would otherwise run it for [`CANCEL_PERIOD`] and hold slots for an answer that nobody
    /// reads.
    fn cancel_at_lost_head(&mut self) {
        let (request, workspace) = (self.request.clone(), self.workspace.clone());
        let (head, router) = (self.head.clone(), self.router.clone());
        let ask = Command::Cancel(Cancel { request, workspace });
        let task = tokio::spawn(async move {
            let end = Instant::now() + CANCEL_PERIOD;
            while Instant::now() < end {
                tokio::time::sleep(CANCEL_PAUSE).await;
                let answer = router.node.peers.request::<_, Frame>(&head.vm, &head.address, &ask);
                if tokio::time::timeout(CANCEL_PAUSE, answer).await.is_ok_and(|r| r.is_ok()) {
                    return;
                }
            }
        });
        self.cancellations.push((self.head.vm.clone(), task));
    }

    async fn cancel(&self) {
        // A stopping router closes its callers' connections itself when its time to drain ends.
        // The callers resume through another router, which could not continue a draft cancelled
        // here. The head cancels drafts that nobody resumes.
        if self.router.node.stop.raised() {
            return;
        }
        let (request, workspace) = (self.request.clone(), self.workspace.clone());
        let ask = Command::Cancel(Cancel { request, workspace });
        let peers = &self.router.node.peers;
        if let Err(e) = peers.request::<_, Frame>(&self.head.vm, &self.head.address, &ask).await {
            log::debug!("head: could not cancel a draft: {e}");
        }
    }

    /// Sends the caller the refusal that ends the draft. A draft that was accepted once, or sent to
    /// a head that did not answer, may have run in part.
    async fn refuse(&self, mut refusal: Refusal) {
        if refusal.cause == Cause::Quarantined {
            self.fingerprint.iter().for_each(|f| self.router.node.quarantine.merge_refusal(*f));
        }
        if (self.accepted || self.may_have_run) && refusal.outcome == Outcome::NotRun {
            refusal.outcome = Outcome::Unknown;
        }
        self.router.node.trace.add(&self.request, "refuse", refusal.to_string());
        self.router.node.metrics.count_request("draft", &refusal.outcome.to_string());
        let _ = self.events.send(Event::Refused(self.request.clone(), refusal)).await;
    }
}

fn quarantine_refusal(vm: &str, left: Duration) -> Refusal {
    let why = format!("it crashed engines and is in quarantine for {} s more", left.as_secs());
    Refusal::refused(Cause::Quarantined, "choose", vm, why)
}

/// Resolves when an agent can no longer be reached.
async fn until_down(router: &Router, vm: &str) {
    while !router.view.is_down(vm) {
        tokio::time::sleep(VIEW_CHECK_INTERVAL).await;
    }
}
