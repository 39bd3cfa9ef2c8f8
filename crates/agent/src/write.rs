//! Runs writes at most once: the intent is appended to the log before the write is sent to the
//! service, and the receipt before the caller is answered.

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
use crate::ledger::{Answer, Entry, Intent, Ledger, Receipt, Record, State, TryId, TryRef};
use crate::slot::Slot;
use crate::{Agent, ledger};

/// Maximum number of entries that wait to be appended.
const MAX_QUEUED_ENTRIES: usize = 4096;

/// Pause after a failed read or append.
const LOG_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Time to wait for an entry to appear in the stream, in case the answer of its append was lost.
const APPEND_CONFIRM_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that the caller's answer waits for its receipt to be appended. After it the caller is
/// answered, and the receipt is still appended.
const RECEIPT_TIMEOUT: Duration = Duration::from_secs(1);

/// Retry-after time given while the log is unavailable.
const LOG_RETRY_AFTER: Duration = Duration::from_secs(1);

/// VM and incarnation under which entries are appended.
type Owner = (id::Vm, id::Incarnation);

/// What has been read of the stream, and the identity under which this process reads it.
#[derive(Debug)]
struct Reader {
    ledger: Ledger,
    /// The incarnation changes after each gap in what was read.
    owner: Owner,
    /// Own tries that were abandoned before they were read from the stream.
    abandoned: Vec<(Owner, TryRef)>,
}

/// Appends entries to the stream of one service and reads it.
#[derive(Debug)]
pub struct Writer {
    vm: id::Vm,
    stream: String,
    log: cloud::log::Client,
    reader: Mutex<Reader>,
    read_offset: watch::Sender<u64>,
    ready: watch::Sender<bool>,
    queue: mpsc::Sender<append::Queued>,
}

/// Starts reading and appending to the stream of a service.
pub fn start(node: &Arc<Node>, service: &str) -> Arc<Writer> {
    let (queue, entries) = mpsc::channel(MAX_QUEUED_ENTRIES);
    let vm = node.process.vm.clone();
    let owner = (vm.clone(), node.incarnation);
    let writer = Arc::new(Writer {
        vm,
        stream: format!("writes-{service}"),
        log: cloud::log::Client::new(&node.process.platform.log, Duration::from_secs(2)),
        reader: Mutex::new(Reader { ledger: Ledger::new(), owner, abandoned: vec![] }),
        read_offset: watch::Sender::new(0),
        ready: watch::Sender::new(false),
        queue,
    });
    tokio::spawn(append::run(writer.clone(), entries));
    tokio::spawn(follow::run(writer.clone(), node.clone()));
    writer
}

/// Runs a write at most once for its key, whatever fails meanwhile.
pub async fn run(agent: Arc<Agent>, service: Arc<Service>, call: Call) -> Result<Reply, Refusal> {
    // Runs in its own task: if the router is lost, the write still gets its receipt, and the
    // caller gets the answer on a retry.
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
    let content_hash = fingerprint(&call);
    let until = Instant::now() + call.deadline;
    if !writer.is_ready() {
        return Err(writer.not_run("the log of writes has not been read yet"));
    }
    let mut seen = writer.read_offset.subscribe();
    loop {
        seen.mark_unchanged();
        match writer.find(&key) {
            Some(record) if record.state != State::Open || record.content_hash != content_hash => {
                agent.node.trace.add(&call.request, "write", describe(&record, &content_hash));
                return answer_retry(vm, record, &content_hash);
            }
            Some(record) => {
                let changed = timeout_at(until, seen.changed()).await;
                if changed.is_err() {
                    let why = "the write is in progress elsewhere and has not been answered yet";
                    let refusal = Refusal::unknown(Cause::Deadline, "write", &record.owner.0, why);
                    return Err(refusal.with_retry_after(LOG_RETRY_AFTER));
                }
            }
            None => {
                let slot = service.slot()?;
                if let Some((owner, id)) = writer.append_intent(&key, &content_hash, until).await? {
                    let try_ref = TryRef { key, id };
                    return run_first(&agent, &service, call, owner, try_ref, slot, until).await;
                }
            }
        }
    }
}

/// Describes the decision on a retry, for operators.
fn describe(record: &Record, content_hash: &str) -> &'static str {
    match &record.state {
        _ if record.content_hash != content_hash => {
            "conflict: the key was used with another content"
        }
        State::Settled(_) => "replay: answered from the receipt",
        _ => "the outcome of the first try is not known",
    }
}

/// Returns the answer to a write whose key is no longer open, or was used with other content.
fn answer_retry(vm: &str, record: Record, content_hash: &str) -> Result<Reply, Refusal> {
    match &record.state {
        _ if record.content_hash != content_hash => {
            let why = "the key was used with another content; nothing was run";
            Err(Refusal::refused(Cause::Conflict, "write", vm, why))
        }
        State::Settled(answer) => answer.to_reply().ok_or_else(|| too_long(vm, answer)),
        _ => {
            let why = "the write was sent to the service and its outcome is not known";
            Err(Refusal::unknown(Cause::Lost, "write", &record.owner.0, why))
        }
    }
}

/// Returns the refusal for a retry whose answer was too long to be kept. It must not say that the
/// write did not run.
fn too_long(vm: &str, answer: &Answer) -> Refusal {
    let kept = ledger::MAX_KEPT_BODY_BYTES;
    let why = format!(
        "the write ran once and was answered with status {}; the answer is not shown again, \
         since it was longer than the {kept} bytes that are kept",
        answer.status
    );
    Refusal::refused(Cause::Conflict, "write", vm, why)
}

/// Sends a write whose intent was first, and appends its outcome.
async fn run_first(
    agent: &Agent,
    service: &Service,
    call: Call,
    owner: Owner,
    try_ref: TryRef,
    slot: Slot,
    until: Instant,
) -> Result<Reply, Refusal> {
    let writer = &service.writer;
    // A process that was paused here may resume after its key has expired and another agent has
    // run it again. Its caller is gone by then, so nothing is lost by not running the write.
    let sent = match Instant::now() < until {
        true => {
            agent.node.trace.add(&call.request, "write", format!("runs as try {}", try_ref.id));
            service.send(&call, slot).await
        }
        false => {
            let why = "the deadline passed before the write was sent";
            Err(Refusal::not_run(Cause::Deadline, "write", &writer.vm, why))
        }
    };
    let entry = match &sent {
        Ok(reply) => {
            let (key, id) = (try_ref.key.clone(), try_ref.id.clone());
            Entry::Receipt(Receipt { key, id, answer: Answer::from_reply(reply) })
        }
        Err(refusal) if refusal.outcome == Outcome::NotRun => Entry::Void(try_ref),
        Err(_) => Entry::Lost(try_ref),
    };
    let (writer, work) = (writer.clone(), agent.work.begin());
    let appended = tokio::spawn(async move {
        writer.append_until_confirmed(owner, entry).await;
        drop(work);
    });
    let _ = timeout(RECEIPT_TIMEOUT, appended).await;
    sent
}

impl Writer {
    /// Returns true if writes can be accepted: the ledger is complete, and this process's own
    /// start has been read.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    fn find(&self, key: &str) -> Option<Record> {
        self.reader.lock().expect("no panic while held").ledger.find(key).cloned()
    }

    /// Appends an intent and waits until it has been read. Returns the try if it is the first for
    /// its key, or `None` if another one came before it.
    async fn append_intent(
        &self,
        key: &str,
        content_hash: &str,
        until: Instant,
    ) -> Result<Option<(Owner, TryId)>, Refusal> {
        let owner = self.reader.lock().expect("no panic while held").owner.clone();
        let id = uuid::Uuid::new_v4().simple().to_string();
        let intent =
            Intent { key: key.to_string(), content_hash: content_hash.to_string(), id: id.clone() };
        let mut seen = self.read_offset.subscribe();
        let appended = self.append(&owner, Entry::Intent(intent)).await;
        if appended == append::Appended::No {
            let why = "the log takes no records now, so the write can't be made safe";
            return Err(self.not_run(why));
        }
        let confirm_until = until.min(Instant::now() + APPEND_CONFIRM_TIMEOUT);
        let try_ref = TryRef { key: key.to_string(), id };
        loop {
            if let Some(first) = self.is_own_first(&owner, &try_ref) {
                return Ok(first.then_some((owner, try_ref.id)));
            }
            if timeout_at(confirm_until, seen.changed()).await.is_err() {
                return self.abandon(owner, try_ref);
            }
        }
    }

    /// Returns whether an own try is the first and runs; `None` while that has not been read.
    fn is_own_first(&self, owner: &Owner, try_ref: &TryRef) -> Option<bool> {
        let reader = self.reader.lock().expect("no panic while held");
        // After a gap the old incarnation is no longer valid: others may treat its intents as
        // void.
        let same = reader.owner == *owner && reader.ledger.is_ready(owner);
        if same { reader.ledger.is_first(&try_ref.key, &try_ref.id, owner) } else { None }
    }

    /// Abandons an own intent that was not read. It may still appear in the stream and is voided
    /// then; otherwise its key would look in progress forever.
    fn abandon(&self, owner: Owner, try_ref: TryRef) -> Result<Option<(Owner, TryId)>, Refusal> {
        let mut reader = self.reader.lock().expect("no panic while held");
        let same = reader.owner == owner;
        match reader.ledger.is_first(&try_ref.key, &try_ref.id, &owner) {
            Some(true) if same => Ok(Some((owner, try_ref.id))),
            Some(false) if same && reader.ledger.is_ready(&owner) => Ok(None),
            _ => {
                reader.abandoned.push((owner, try_ref));
                Err(self.not_run("the log does not show the intent, so the write was not sent"))
            }
        }
    }

    fn not_run(&self, why: &str) -> Refusal {
        Refusal::not_run(Cause::Unavailable, "write", &self.vm, why)
            .with_retry_after(LOG_RETRY_AFTER)
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
