//! Writes that must run at most once: the intent stands in the log before the
//! service is asked, the receipt before the caller is answered.

mod append;
mod follow;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use node::Node;
use sha2::{Digest, Sha256};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout, timeout_at};
use wire::frame::{Call, Reply};
use wire::id;
use wire::refusal::{Cause, Outcome, Refusal};

use crate::call::Service;
use crate::ledger::{Answer, Entry, Intent, Ledger, Mark, Receipt, Record, State, Try};
use crate::slot::Slot;
use crate::{Agent, ledger};

/// Entries that may wait to be appended.
const QUEUE: usize = 4096;

/// Pause after a failed read or append.
const PAUSE: Duration = Duration::from_millis(200);

/// How long to look in the stream for an append whose answer was lost.
const SETTLE: Duration = Duration::from_secs(2);

/// How long the caller's answer waits for its receipt to stand in the log. After
/// it the caller is answered all the same, and the receipt is still appended.
const RECEIPT_WAIT: Duration = Duration::from_secs(1);

/// When a refused caller may come back while the log is out.
const LOG_RETRY: Duration = Duration::from_secs(1);

/// Name and incarnation under which entries are appended.
type Owner = (id::Vm, id::Incarnation);

/// What has been read, and as whom this process reads it.
#[derive(Debug)]
struct Known {
    ledger: Ledger,
    /// The incarnation is a new one after each gap in what was read.
    owner: Owner,
    /// Own tries that were given up before they were seen in the stream.
    abandoned: Vec<(Owner, Mark)>,
}

/// Appends entries and follows the stream of one service.
#[derive(Debug)]
pub struct Writer {
    vm: id::Vm,
    stream: String,
    log: cloud::log::Client,
    known: Mutex<Known>,
    seen: watch::Sender<u64>,
    ready: watch::Sender<bool>,
    queue: mpsc::Sender<append::Queued>,
}

/// Starts following the stream of a service.
pub fn start(node: &Arc<Node>, service: &str) -> Arc<Writer> {
    let (queue, entries) = mpsc::channel(QUEUE);
    let vm = node.process.vm.clone();
    let owner = (vm.clone(), node.incarnation);
    let writer = Arc::new(Writer {
        vm,
        stream: format!("writes-{service}"),
        log: cloud::log::Client::new(&node.process.platform.log, Duration::from_secs(2)),
        known: Mutex::new(Known { ledger: Ledger::new(), owner, abandoned: vec![] }),
        seen: watch::Sender::new(0),
        ready: watch::Sender::new(false),
        queue,
    });
    tokio::spawn(append::run(writer.clone(), entries));
    tokio::spawn(follow::run(writer.clone(), node.clone()));
    writer
}

/// Runs a write at most once for its key, whatever happens on the way.
pub async fn run(agent: Arc<Agent>, service: Arc<Service>, call: Call) -> Result<Reply, Refusal> {
    // In a task of its own: when the router goes in the middle, the write is
    // still carried to its receipt, and the caller who asks again gets it.
    let vm = agent.node.process.vm.clone();
    match tokio::spawn(decide(agent, service, call)).await {
        Ok(decided) => decided,
        Err(e) => Err(Refusal::unknown(Cause::Lost, "write", &vm, e.to_string())),
    }
}

async fn decide(agent: Arc<Agent>, service: Arc<Service>, call: Call) -> Result<Reply, Refusal> {
    let _work = agent.work.begin();
    let writer = service.writer.clone();
    let vm = writer.vm.as_str();
    let Some(key) = &call.key else {
        let why = "the route needs an Idempotency-Key header";
        return Err(Refusal::refused(Cause::Bad, "write", vm, why));
    };
    let key = format!("{}/{key}", call.workspace);
    let print = fingerprint(&call);
    let until = Instant::now() + call.deadline;
    if !writer.ready() {
        return Err(writer.not_run("the log of writes has not been read yet"));
    }
    let mut seen = writer.seen.subscribe();
    loop {
        seen.mark_unchanged();
        match writer.find(&key) {
            Some(record) if record.state != State::Open || record.print != print => {
                agent.node.trace.add(&call.request, "write", decision(&record, &print));
                return settled(vm, record, &print);
            }
            Some(record) => {
                let news = timeout_at(until, seen.changed()).await;
                if news.is_err() {
                    let why = "the write is in progress elsewhere and has not been answered yet";
                    let refusal = Refusal::unknown(Cause::Deadline, "write", &record.owner.0, why);
                    return Err(refusal.after(LOG_RETRY));
                }
            }
            None => {
                let slot = service.slot()?;
                if let Some((owner, id)) = writer.claim(&key, &print, until).await? {
                    let mark = Mark { key, id };
                    return finish(&agent, &service, call, owner, mark, slot, until).await;
                }
            }
        }
    }
}

/// The decision on a repeat in words, for operators.
fn decision(record: &Record, print: &str) -> &'static str {
    match &record.state {
        _ if record.print != print => "conflict: the key was used with another content",
        State::Settled(_) => "replay: answered from the receipt",
        _ => "the outcome of the first try is not known",
    }
}

/// The answer to a write whose key is no longer open, or was used with another content.
fn settled(vm: &str, record: Record, print: &str) -> Result<Reply, Refusal> {
    match &record.state {
        _ if record.print != print => {
            let why = "the key was used with another content; nothing was run";
            Err(Refusal::refused(Cause::Conflict, "write", vm, why))
        }
        State::Settled(answer) => answer.reply().ok_or_else(|| long(vm, answer)),
        _ => {
            let why = "the write was sent to the service and its outcome is not known";
            Err(Refusal::unknown(Cause::Lost, "write", &record.owner.0, why))
        }
    }
}

/// A repeat can't have the answer, and may not be told that the write did not run.
fn long(vm: &str, answer: &Answer) -> Refusal {
    let kept = ledger::BODY_KEPT;
    let why = format!(
        "the write ran once and was answered with status {}; the answer is not shown again, \
         since it was longer than the {kept} bytes that are kept",
        answer.status
    );
    Refusal::refused(Cause::Conflict, "write", vm, why)
}

/// Sends a write whose intent was first, and appends what became of it.
async fn finish(
    agent: &Agent,
    service: &Service,
    call: Call,
    owner: Owner,
    mark: Mark,
    slot: Slot,
    until: Instant,
) -> Result<Reply, Refusal> {
    let writer = &service.writer;
    // A process that was paused here may thaw after its key has been forgotten and run
    // again by another: the caller has gone by then, so nothing is lost by not running it.
    let sent = match Instant::now() < until {
        true => {
            agent.node.trace.add(&call.request, "write", format!("runs as try {}", mark.id));
            service.send(&call, slot).await
        }
        false => {
            let why = "the deadline passed before the write was sent";
            Err(Refusal::not_run(Cause::Deadline, "write", &writer.vm, why))
        }
    };
    let entry = match &sent {
        Ok(reply) => {
            let (key, id) = (mark.key.clone(), mark.id.clone());
            Entry::Receipt(Receipt { key, id, answer: Answer::keep(reply) })
        }
        Err(refusal) if refusal.outcome == Outcome::NotRun => Entry::Void(mark),
        Err(_) => Entry::Lost(mark),
    };
    let (writer, work) = (writer.clone(), agent.work.begin());
    let entered = tokio::spawn(async move {
        writer.append_surely(owner, entry).await;
        drop(work);
    });
    let _ = timeout(RECEIPT_WAIT, entered).await;
    sent
}

impl Writer {
    /// True when writes can be taken: everything that is remembered has been read, and
    /// this process's own start after it.
    pub fn ready(&self) -> bool {
        *self.ready.borrow()
    }

    fn find(&self, key: &str) -> Option<Record> {
        self.known.lock().expect("no panic while held").ledger.find(key).cloned()
    }

    /// Appends an intent and reads the stream up to it. The try when it is the first for
    /// its key, `None` when another came before it.
    async fn claim(
        &self,
        key: &str,
        print: &str,
        until: Instant,
    ) -> Result<Option<(Owner, Try)>, Refusal> {
        let owner = self.known.lock().expect("no panic while held").owner.clone();
        let id = uuid::Uuid::new_v4().simple().to_string();
        let intent = Intent { key: key.to_string(), print: print.to_string(), id: id.clone() };
        let mut seen = self.seen.subscribe();
        let appended = self.append(&owner, Entry::Intent(intent)).await;
        if appended == append::Appended::No {
            let why = "the log takes no records now, so the write can't be made safe";
            return Err(self.not_run(why));
        }
        let settle = until.min(Instant::now() + SETTLE);
        let mark = Mark { key: key.to_string(), id };
        loop {
            if let Some(won) = self.won(&owner, &mark) {
                return Ok(won.then_some((owner, mark.id)));
            }
            if timeout_at(settle, seen.changed()).await.is_err() {
                return self.abandon(owner, mark);
            }
        }
    }

    /// Whether an own try runs; `None` while that has not been read.
    fn won(&self, owner: &Owner, mark: &Mark) -> Option<bool> {
        let known = self.known.lock().expect("no panic while held");
        // After a gap the old incarnation is gone: others may hold its intents for void.
        let same = known.owner == *owner && known.ledger.ready(owner);
        if same { known.ledger.runs(&mark.key, &mark.id, owner) } else { None }
    }

    /// Gives up an own intent that was not seen. It may still turn up; then it is
    /// voided, since else the key would look as if it ran for ever.
    fn abandon(&self, owner: Owner, mark: Mark) -> Result<Option<(Owner, Try)>, Refusal> {
        let mut known = self.known.lock().expect("no panic while held");
        let same = known.owner == owner;
        match known.ledger.runs(&mark.key, &mark.id, &owner) {
            Some(true) if same => Ok(Some((owner, mark.id))),
            Some(false) if same && known.ledger.ready(&owner) => Ok(None),
            _ => {
                known.abandoned.push((owner, mark));
                Err(self.not_run("the log does not show the intent, so the write was not sent"))
            }
        }
    }

    fn not_run(&self, why: &str) -> Refusal {
        Refusal::not_run(Cause::Unavailable, "write", &self.vm, why).after(LOG_RETRY)
    }
}

fn fingerprint(call: &Call) -> String {
    let mut hash = Sha256::new();
    for part in [call.method.as_bytes(), call.path.as_bytes(), &call.body] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.finalize().iter().map(|b| format!("{b:02x}")).collect()
}
