//! Admission of requests: the handles by which the rest of the router uses the task in `task`,
//! which admits, queues and places requests by the `policy` crate.
//!
//! Handlers and the view of the agents communicate with the task by messages only. The channel
//! is unbounded, but its length is limited by the number of callers and agents: each caller has
//! at most one message in it, and each agent its reports.

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

/// Capacity of a request's channel of answers: it may be queued and then started.
const MAX_QUEUED_ANSWERS: usize = 4;

/// Step name of refusals that the queue makes.
pub const STEP: &str = "queue";

/// The model or service whose capacity a request needs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A model.
    Model(String),
    /// A plain service (not a model).
    Service(String),
}

/// What a request requires: the basis on which the task admits and places it.
#[derive(Debug, Clone)]
pub struct Requirements {
    /// Model or service that it needs.
    pub target: Target,
    /// Workspace of the caller.
    pub workspace: id::Workspace,
    /// Priority, 0 to 9.
    pub priority: u8,
    /// Its tokens; 1 and 1 for a call of a service.
    pub cost: Cost,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Hash of the start of its prompt, or of its key.
    pub prefix: Option<Prefix>,
    /// True if the prefix is a key: the key's agent is preferred whatever its load.
    pub keyed: bool,
}

/// A request held by the task.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) requirements: Requirements,
    /// Number of tries made.
    pub(crate) tries: u32,
    /// VMs that failed a try of it.
    pub(crate) avoid: Vec<Vm>,
    pub(crate) reply: mpsc::Sender<Answer>,
}

/// A pending or running request, by how it was admitted.
#[derive(Debug)]
pub(crate) enum Job {
    /// Admitted by the queue.
    Queued(Box<Entry<Pending>>),
    /// In progress, but its head is lost: it precedes all requests in the queue.
    Recovery(Box<Pending>),
}

impl Job {
    pub(crate) fn pending(&self) -> &Pending {
        match self {
            Job::Queued(entry) => &entry.item,
            Job::Recovery(pending) => pending,
        }
    }

    pub(crate) fn pending_mut(&mut self) -> &mut Pending {
        match self {
            Job::Queued(entry) => &mut entry.item,
            Job::Recovery(pending) => pending,
        }
    }
}

/// What the task sends to the handler of a request.
#[derive(Debug)]
pub(crate) enum Answer {
    /// It is queued under this ticket.
    Waiting(Ticket),
    /// It may start.
    Start(RunGuard),
    /// It is not admitted, or can no longer meet its deadline.
    Refused(Refusal),
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum EndReason {
    /// It succeeded.
    Succeeded,
    /// A VM failed it.
    Fault(Vm),
    /// It ended for a reason unrelated to the VMs.
    Other,
}

/// A message to the task.
#[derive(Debug)]
pub(crate) enum Message {
    /// A new request.
    New(Pending),
    /// The head of a request in progress is lost.
    Recover(Pending),
    /// The caller of a queued request has disconnected.
    Cancel(Target, id::Workspace, Ticket),
    /// A request has ended.
    End { job: Job, chain: Chain, run_time: Duration, reason: EndReason },
    /// A try failed, and the request may be retried.
    Retry { job: Job, chain: Chain, refusal: Refusal, outcome: retry::Outcome },
    /// A head needs replicas of a range.
    Replicas(Stage, oneshot::Sender<Vec<Vm>>),
    /// An agent has sent a report.
    Report { data_centre: String, report: Box<Report> },
    /// An agent can't be reached.
    Down(Vm),
    /// An agent is no longer in the VM list.
    Unlisted(Vm),
}

/// Holds the slots of a running request, and releases them when it is dropped.
#[derive(Debug)]
pub(crate) struct RunGuard {
    job: Option<Job>,
    chain: Chain,
    started_at: Instant,
    tx: mpsc::UnboundedSender<Message>,
}

impl RunGuard {
    pub(crate) fn new(job: Job, chain: Chain, tx: mpsc::UnboundedSender<Message>) -> RunGuard {
        RunGuard { job: Some(job), chain, started_at: Instant::now(), tx }
    }

    fn end(&mut self, reason: EndReason) {
        if let Some(job) = self.job.take() {
            let (chain, run_time) = (std::mem::take(&mut self.chain), self.started_at.elapsed());
            let _ = self.tx.send(Message::End { job, chain, run_time, reason });
        }
    }
}

// Without this a caller that disconnects just as its request is started would hold its slots in
// the router's counts for ever, and the router would use less and less of the fleet.
impl Drop for RunGuard {
    fn drop(&mut self) {
        self.end(EndReason::Other);
    }
}

/// The permission to run on a chain of VMs. If it is dropped, the request ends without a fault.
#[derive(Debug)]
pub struct Grant {
    started: RunGuard,
    answers: mpsc::Receiver<Answer>,
}

impl Grant {
    /// VMs for each range, best first; a single list for a service.
    pub fn chain(&self) -> &Chain {
        &self.started.chain
    }

    /// Ends the request as succeeded.
    pub fn succeeded(mut self) {
        self.started.end(EndReason::Succeeded);
    }

    /// Ends the request as failed by a VM.
    pub fn failed(mut self, vm: &str) {
        self.started.end(EndReason::Fault(vm.to_string()));
    }

    /// Retries the request after a refusal, if retry budget and deadline allow. `outcome` says
    /// whether the failed try may have run.
    pub async fn retry(
        mut self,
        refusal: Refusal,
        outcome: retry::Outcome,
    ) -> Result<Grant, Refusal> {
        let Some(job) = self.started.job.take() else { return Err(refusal) };
        let target = job.pending().requirements.target.clone();
        let workspace = job.pending().requirements.workspace.clone();
        let ticket = match &job {
            Job::Queued(entry) => Some(entry.ticket),
            Job::Recovery(_) => None,
        };
        let tx = self.started.tx.clone();
        let chain = std::mem::take(&mut self.started.chain);
        let answers = std::mem::replace(&mut self.answers, mpsc::channel(1).1);
        let _ = tx.send(Message::Retry { job, chain, refusal, outcome });
        Waiter { target, workspace, ticket, tx, answers: Some(answers) }.wait().await
    }
}

/// Waits for the task's answer. If it is dropped, the request is removed from the queue.
struct Waiter {
    target: Target,
    workspace: id::Workspace,
    ticket: Option<Ticket>,
    tx: mpsc::UnboundedSender<Message>,
    answers: Option<mpsc::Receiver<Answer>>,
}

impl Waiter {
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

impl Drop for Waiter {
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

    /// Waits until a new request may start; returns at once if it is not admitted.
    pub async fn admit(&self, requirements: Requirements) -> Result<Grant, Refusal> {
        self.enqueue(requirements, Message::New).await
    }

    /// Waits for a chain for a request that was accepted and whose head is lost. It is retried
    /// until its deadline.
    pub async fn recover(&self, requirements: Requirements) -> Result<Grant, Refusal> {
        self.enqueue(requirements, Message::Recover).await
    }

    async fn enqueue(
        &self,
        requirements: Requirements,
        message: fn(Pending) -> Message,
    ) -> Result<Grant, Refusal> {
        let (reply, answers) = mpsc::channel(MAX_QUEUED_ANSWERS);
        let (target, workspace) = (requirements.target.clone(), requirements.workspace.clone());
        let pending = Pending { requirements, tries: 0, avoid: Vec::new(), reply };
        let _ = self.tx.send(message(pending));
        let tx = self.tx.clone();
        Waiter { target, workspace, ticket: None, tx, answers: Some(answers) }.wait().await
    }

    /// Replicas of a range with which a draft can continue after a loss, best first.
    pub async fn replicas(&self, stage: Stage) -> Vec<Vm> {
        let (reply, answer) = oneshot::channel();
        let _ = self.tx.send(Message::Replicas(stage, reply));
        answer.await.unwrap_or_default()
    }

    /// Number of this router's requests in progress.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }

    pub(crate) fn send(&self, message: Message) {
        let _ = self.tx.send(message);
    }

    pub(crate) fn sender(&self) -> mpsc::UnboundedSender<Message> {
        self.tx.clone()
    }

    pub(crate) fn set_running(&self, running: u32) {
        self.running.store(running, Ordering::Relaxed);
    }
}

/// Converts a refusal of the queue to one of the link protocol.
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

/// Whether a try that ended with this refusal may have run, for a request that may run more than
/// once.
pub fn retry_outcome(refusal: &Refusal) -> retry::Outcome {
    match refusal.outcome {
        Outcome::NotRun => retry::Outcome::NotRun,
        _ => retry::Outcome::Idempotent,
    }
}
