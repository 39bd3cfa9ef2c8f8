//! What is let in, what waits and where it goes: the handles of the task in
//! `task` that drives the `policy` crate.
//!
//! Handlers and the view of the agents talk to the task by messages only. The
//! channel is not bounded by itself: each caller has at most one message in it and
//! each agent its reports, so its length follows theirs.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use policy::affinity::Prefix;
use policy::queue::{Entry, Ticket};
use policy::replica::Vm;
use policy::retry;
use policy::route::Chain;
use policy::work::Cost;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use wire::frame::{Report, Stage};
use wire::id;
use wire::refusal::{Cause, Outcome, Refusal};

/// Answers that may wait for one request: that it waits, and that it may start.
const ANSWERS: usize = 4;

/// Step name of refusals by the queue.
pub const STEP: &str = "queue";

/// Whose capacity a request needs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A model.
    Model(String),
    /// A plain service.
    Service(String),
}

/// What a request asks for.
#[derive(Debug, Clone)]
pub struct Want {
    /// Whose capacity.
    pub target: Target,
    /// Whose request it is.
    pub workspace: id::Workspace,
    /// Its priority, 0 to 9.
    pub priority: u8,
    /// Its tokens; 1 and 1 for a call.
    pub cost: Cost,
    /// When the caller no longer waits.
    pub until: Instant,
    /// Hash of what it begins with, or of its key.
    pub prefix: Option<Prefix>,
    /// True when the prefix is a key, whose agent comes first whatever its load.
    pub keyed: bool,
}

/// A request in the task's hands.
#[derive(Debug)]
pub(crate) struct Wait {
    pub(crate) want: Want,
    /// Tries made.
    pub(crate) tries: u32,
    /// VMs that failed it.
    pub(crate) avoid: Vec<Vm>,
    pub(crate) reply: mpsc::Sender<Answer>,
}

/// Under which right a request runs.
#[derive(Debug)]
pub(crate) enum Slip {
    /// Let in by the queue.
    Queued(Box<Entry<Wait>>),
    /// In progress and without a head now: it goes before all that waits.
    Recovery(Box<Wait>),
}

impl Slip {
    pub(crate) fn wait(&self) -> &Wait {
        match self {
            Slip::Queued(entry) => &entry.item,
            Slip::Recovery(wait) => wait,
        }
    }

    pub(crate) fn wait_mut(&mut self) -> &mut Wait {
        match self {
            Slip::Queued(entry) => &mut entry.item,
            Slip::Recovery(wait) => wait,
        }
    }
}

/// What the task tells a request.
#[derive(Debug)]
pub(crate) enum Answer {
    /// It waits under this name.
    Waiting(Ticket),
    /// It may start.
    Start(Started),
    /// It is not let in, or can't make its deadline any more.
    Refused(Refusal),
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Ended {
    /// Well.
    Well,
    /// By the fault of a VM.
    Fault(Vm),
    /// For a reason that says nothing of the VMs.
    Other,
}

/// What the task is told.
#[derive(Debug)]
pub(crate) enum Message {
    /// A new request.
    Ask(Wait),
    /// A request in progress has lost its head.
    Recover(Wait),
    /// The caller of a waiting request has gone.
    Cancel(Target, id::Workspace, Ticket),
    /// A request has ended.
    End { slip: Slip, chain: Chain, held: Duration, ended: Ended },
    /// A try was not run, or may run again.
    Again { slip: Slip, chain: Chain, refusal: Refusal, outcome: retry::Outcome },
    /// A head looks for replicas of a range.
    Replicas(Stage, oneshot::Sender<Vec<Vm>>),
    /// An agent reports.
    Report { data_centre: String, report: Box<Report> },
    /// An agent can't be reached.
    Down(Vm),
    /// An agent is no longer listed.
    Unlisted(Vm),
}

/// A request that may run, until this is dropped.
#[derive(Debug)]
pub(crate) struct Started {
    slip: Option<Slip>,
    chain: Chain,
    begun: Instant,
    tx: mpsc::UnboundedSender<Message>,
}

impl Started {
    pub(crate) fn new(slip: Slip, chain: Chain, tx: mpsc::UnboundedSender<Message>) -> Started {
        Started { slip: Some(slip), chain, begun: Instant::now(), tx }
    }

    fn end(&mut self, ended: Ended) {
        if let Some(slip) = self.slip.take() {
            let (chain, held) = (std::mem::take(&mut self.chain), self.begun.elapsed());
            let _ = self.tx.send(Message::End { slip, chain, held, ended });
        }
    }
}

// Without this a caller that goes at the wrong moment would keep its slots in the
// router's books for ever, and the router would use less and less of the fleet.
impl Drop for Started {
    fn drop(&mut self) {
        self.end(Ended::Other);
    }
}

/// The right to run on a chain of VMs. Dropped, it counts as ended without fault.
#[derive(Debug)]
pub struct Grant {
    started: Started,
    answers: mpsc::Receiver<Answer>,
}

impl Grant {
    /// VMs for each range, best first; one list for a service.
    pub fn chain(&self) -> &Chain {
        &self.started.chain
    }

    /// The request has ended well.
    pub fn succeeded(mut self) {
        self.started.end(Ended::Well);
    }

    /// The request was lost by the fault of a VM.
    pub fn failed(mut self, vm: &str) {
        self.started.end(Ended::Fault(vm.to_string()));
    }

    /// Another chance after a refusal, under the retry budget and before the deadline.
    /// `outcome` says what is certain about the failed try.
    pub async fn again(
        mut self,
        refusal: Refusal,
        outcome: retry::Outcome,
    ) -> Result<Grant, Refusal> {
        let Some(slip) = self.started.slip.take() else { return Err(refusal) };
        let target = slip.wait().want.target.clone();
        let workspace = slip.wait().want.workspace.clone();
        let ticket = match &slip {
            Slip::Queued(entry) => Some(entry.ticket),
            Slip::Recovery(_) => None,
        };
        let tx = self.started.tx.clone();
        let chain = std::mem::take(&mut self.started.chain);
        let answers = std::mem::replace(&mut self.answers, mpsc::channel(1).1);
        let _ = tx.send(Message::Again { slip, chain, refusal, outcome });
        Turn { target, workspace, ticket, tx, answers: Some(answers) }.wait().await
    }
}

/// A request that waits for its turn; dropped, it is taken out of the queue.
struct Turn {
    target: Target,
    workspace: id::Workspace,
    ticket: Option<Ticket>,
    tx: mpsc::UnboundedSender<Message>,
    answers: Option<mpsc::Receiver<Answer>>,
}

impl Turn {
    async fn wait(mut self) -> Result<Grant, Refusal> {
        loop {
            let answer = match &mut self.answers {
                Some(answers) => answers.recv().await,
                None => None,
            };
            match answer {
                Some(Answer::Waiting(ticket)) => self.ticket = Some(ticket),
                Some(Answer::Start(started)) => {
                    let answers = self.answers.take().unwrap_or_else(|| mpsc::channel(1).1);
                    return Ok(Grant { started, answers });
                }
                Some(Answer::Refused(refusal)) => {
                    self.answers = None;
                    return Err(refusal);
                }
                None => {
                    let why = "the router is stopping";
                    return Err(Refusal::not_run(Cause::Leaving, STEP, "", why));
                }
            }
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if let (Some(_), Some(ticket)) = (&self.answers, self.ticket) {
            let (target, workspace) = (self.target.clone(), self.workspace.clone());
            let _ = self.tx.send(Message::Cancel(target, workspace, ticket));
        }
    }
}

/// Handle of the task.
#[derive(Debug, Clone)]
pub struct Admission {
    tx: mpsc::UnboundedSender<Message>,
    running: Arc<AtomicU32>,
}

impl Admission {
    pub(crate) fn new() -> (Admission, mpsc::UnboundedReceiver<Message>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Admission { tx, running: Arc::default() }, rx)
    }

    /// Waits for the turn of a new request, or says at once that it is not let in.
    pub async fn ask(&self, want: Want) -> Result<Grant, Refusal> {
        self.turn(want, Message::Ask).await
    }

    /// Waits for a chain for a request that was accepted and has lost its head. It is
    /// looked after until its deadline.
    pub async fn recover(&self, want: Want) -> Result<Grant, Refusal> {
        self.turn(want, Message::Recover).await
    }

    async fn turn(&self, want: Want, message: fn(Wait) -> Message) -> Result<Grant, Refusal> {
        let (reply, answers) = mpsc::channel(ANSWERS);
        let (target, workspace) = (want.target.clone(), want.workspace.clone());
        let wait = Wait { want, tries: 0, avoid: Vec::new(), reply };
        let _ = self.tx.send(message(wait));
        let tx = self.tx.clone();
        Turn { target, workspace, ticket: None, tx, answers: Some(answers) }.wait().await
    }

    /// Replicas of a range that a draft may go on with after a loss, best first.
    pub async fn replicas(&self, stage: Stage) -> Vec<Vm> {
        let (reply, answer) = oneshot::channel();
        let _ = self.tx.send(Message::Replicas(stage, reply));
        answer.await.unwrap_or_default()
    }

    /// Requests of this router in progress.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    pub(crate) fn tell(&self, message: Message) {
        let _ = self.tx.send(message);
    }

    pub(crate) fn sender(&self) -> mpsc::UnboundedSender<Message> {
        self.tx.clone()
    }

    pub(crate) fn note_running(&self, running: u32) {
        self.running.store(running, Ordering::Relaxed);
    }
}

/// A refusal of the queue in the words of the links.
pub(crate) fn refusal(vm: &str, refused: policy::refusal::Refusal) -> Refusal {
    use policy::refusal::Reason;
    let cause = match refused.reason {
        Reason::Limit | Reason::Deadline => Cause::Busy,
        Reason::Long => Cause::Deadline,
        Reason::Outage => Cause::Unavailable,
    };
    let refusal = Refusal::not_run(cause, STEP, vm, refused.reason.to_string());
    match refused.retry_after {
        Some(after) => refusal.with_retry_after(after),
        None => refusal,
    }
}

/// What is certain about a try that ended with this refusal, for a request that may
/// be run again.
pub fn certain(refusal: &Refusal) -> retry::Outcome {
    match refusal.outcome {
        Outcome::NotRun => retry::Outcome::NotRun,
        _ => retry::Outcome::Idempotent,
    }
}
