//! Writes that must run at most once: the intent stands in the log before the
//! service is asked, the receipt before the caller is answered.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use node::Node;
use sha2::{Digest, Sha256};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, timeout, timeout_at};
use wire::frame::{Call, Cause, Refusal, Reply};
use wire::id;

use crate::call::Service;
use crate::ledger::{Batch, Entry, Intent, Ledger, Mark, Receipt, State, Try};
use crate::{Agent, ledger};

/// Entries appended together at most. One append is in flight at a time, so that
/// a burst of writes costs the log few appends.
const BATCH: usize = 256;

/// Entries that may wait to be appended.
const QUEUE: usize = 4096;

/// How long a read of the stream waits for news.
const WAIT: Duration = Duration::from_secs(5);

/// Pause after a failed read or append.
const PAUSE: Duration = Duration::from_millis(200);

/// How long to look in the stream for an append whose answer was lost.
const SETTLE: Duration = Duration::from_secs(2);

/// How long the caller's answer waits for its receipt to stand in the log. After
/// it the caller is answered all the same, and the receipt is still appended.
const RECEIPT_WAIT: Duration = Duration::from_secs(1);

/// When a refused caller may come back while the log is out.
const LOG_RETRY: Duration = Duration::from_secs(1);

/// What became of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Appended {
    /// It stands in the log or will be seen there.
    Maybe,
    /// It does not stand in the log.
    No,
}

type Entered = (Entry, oneshot::Sender<Appended>);

/// Appends entries and follows the stream of one service.
#[derive(Debug)]
pub struct Writer {
    vm: id::Vm,
    incarnation: id::Incarnation,
    stream: String,
    log: platform::log::Client,
    ledger: Mutex<Ledger>,
    /// Own tries that were given up before they were seen in the stream.
    abandoned: Mutex<Vec<Mark>>,
    seen: watch::Sender<u64>,
    ready: watch::Sender<bool>,
    queue: mpsc::Sender<Entered>,
}

/// Starts following the stream of a service.
pub fn start(node: &Arc<Node>, service: &str) -> Arc<Writer> {
    let (queue, entries) = mpsc::channel(QUEUE);
    let writer = Arc::new(Writer {
        vm: node.process.vm.clone(),
        incarnation: node.incarnation,
        stream: format!("writes-{service}"),
        log: platform::log::Client::new(&node.process.platform.log, Duration::from_secs(2)),
        ledger: Mutex::new(Ledger::new()),
        abandoned: Mutex::default(),
        seen: watch::Sender::new(0),
        ready: watch::Sender::new(false),
        queue,
    });
    tokio::spawn(append_all(writer.clone(), entries));
    tokio::spawn(follow(writer.clone(), node.clone()));
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
    if !*writer.ready.borrow() {
        let why = "the log of writes has not been read yet";
        return Err(Refusal::not_run(Cause::Unavailable, "write", vm, why).after(LOG_RETRY));
    }
    let mut seen = writer.seen.subscribe();
    loop {
        seen.mark_unchanged();
        let known = writer.ledger.lock().expect("no panic while held").find(&key).cloned();
        match known {
            Some(record) if record.print != print => {
                let why = "the key was used with another content; nothing was run";
                return Err(Refusal::refused(Cause::Conflict, "write", vm, why));
            }
            Some(ledger::Record { state: State::Settled(reply), .. }) => {
                agent.node.trace.add(&call.request, "write", "answered from the receipt");
                return Ok(Reply { replayed: true, ..reply });
            }
            Some(ledger::Record { state: State::Unknown, owner, .. }) => {
                let why = "the write was sent to the service and its outcome is not known";
                return Err(Refusal::unknown(Cause::Lost, "write", &owner.0, why));
            }
            Some(ledger::Record { state: State::Open, owner, .. }) => {
                let news = timeout_at(until, seen.changed()).await;
                if news.is_err() {
                    let why = "the write is in progress elsewhere and has not been answered yet";
                    let refusal = Refusal::unknown(Cause::Deadline, "write", &owner.0, why);
                    return Err(refusal.after(LOG_RETRY));
                }
            }
            None => {
                let slot = service.slot()?;
                let id = writer.claim(&key, &print, until).await?;
                if let Some(id) = id {
                    return finish(&agent, &service, call, Mark { key, id }, slot).await;
                }
            }
        }
    }
}

/// Sends a write whose intent was first, and appends what became of it.
async fn finish(
    agent: &Agent,
    service: &Service,
    call: Call,
    mark: Mark,
    slot: crate::slot::Slot,
) -> Result<Reply, Refusal> {
    let writer = &service.writer;
    agent.node.trace.add(&call.request, "write", format!("runs as try {}", mark.id));
    let sent = service.send(&call, slot).await;
    let entry = match &sent {
        Ok(reply) => {
            let (key, id) = (mark.key.clone(), mark.id.clone());
            Entry::Receipt(Receipt { key, id, reply: reply.clone() })
        }
        Err(refusal) if refusal.outcome == wire::frame::Outcome::NotRun => Entry::Void(mark),
        Err(_) => Entry::Lost(mark),
    };
    let (writer, work) = (writer.clone(), agent.work.begin());
    let entered = tokio::spawn(async move {
        writer.append_surely(entry).await;
        drop(work);
    });
    let _ = timeout(RECEIPT_WAIT, entered).await;
    sent
}

impl Writer {
    /// Appends an intent and reads the stream up to it. The id of the try when it
    /// is the first for its key, `None` when another came before it.
    async fn claim(&self, key: &str, print: &str, until: Instant) -> Result<Option<Try>, Refusal> {
        let id = uuid::Uuid::new_v4().simple().to_string();
        let intent = Intent { key: key.to_string(), print: print.to_string(), id: id.clone() };
        let appended = self.append(Entry::Intent(intent)).await;
        if appended == Appended::No {
            let why = "the log takes no records now, so the write can't be made safe";
            return Err(self.not_run(why));
        }
        let until = until.min(Instant::now() + SETTLE);
        let mut seen = self.seen.subscribe();
        loop {
            let first = {
                let ledger = self.ledger.lock().expect("no panic while held");
                ledger.find(key).map(|r| (r.id.clone(), r.state == State::Open))
            };
            match first {
                Some((first, true)) if first == id => return Ok(Some(id)),
                Some(_) => return Ok(None),
                None => {}
            }
            if timeout_at(until, seen.changed()).await.is_err() {
                return self.abandon(Mark { key: key.to_string(), id });
            }
        }
    }

    /// Gives up an own intent that was not seen. It may still turn up; then it is
    /// voided, since else the key would look as if it ran for ever.
    fn abandon(&self, mark: Mark) -> Result<Option<Try>, Refusal> {
        let mut abandoned = self.abandoned.lock().expect("no panic while held");
        let ledger = self.ledger.lock().expect("no panic while held");
        match ledger.find(&mark.key) {
            Some(record) if record.id == mark.id && record.state == State::Open => {
                Ok(Some(mark.id))
            }
            Some(_) => Ok(None),
            None => {
                abandoned.push(mark);
                Err(self.not_run("the log does not show the intent, so the write was not sent"))
            }
        }
    }

    fn not_run(&self, why: &str) -> Refusal {
        Refusal::not_run(Cause::Unavailable, "write", &self.vm, why).after(LOG_RETRY)
    }

    async fn append(&self, entry: Entry) -> Appended {
        let (tx, rx) = oneshot::channel();
        match self.queue.try_send((entry, tx)) {
            Ok(()) => rx.await.unwrap_or(Appended::Maybe),
            Err(_) => Appended::No,
        }
    }

    /// Appends an entry however long the log is out. Appending it twice does no harm.
    async fn append_surely(self: &Arc<Writer>, entry: Entry) {
        let writer = self.clone();
        let task = tokio::spawn(async move {
            while writer.append(entry.clone()).await == Appended::No {
                tokio::time::sleep(PAUSE).await;
            }
        });
        let _ = task.await;
    }

    fn batch(&self, entries: Vec<Entry>) -> String {
        let (vm, incarnation) = (self.vm.clone(), self.incarnation);
        serde_json::to_string(&Batch { vm, incarnation, entries }).expect("plain data encodes")
    }
}

/// Appends what is queued, as many entries at once as have come together.
async fn append_all(writer: Arc<Writer>, mut queue: mpsc::Receiver<Entered>) {
    let mut taken = Vec::new();
    while queue.recv_many(&mut taken, BATCH).await > 0 {
        let (entries, waiting): (Vec<_>, Vec<_>) = taken.drain(..).unzip();
        let data = writer.batch(entries);
        let appended = match writer.log.append(&writer.stream, &data).await {
            Ok(_) => Appended::Maybe,
            Err(e) => {
                log::warn!("write: the log did not take a record: {e}");
                match e {
                    rest::Error::Connect { .. } => Appended::No,
                    rest::Error::Status { status: 429 | 503, .. } => Appended::No,
                    _ => Appended::Maybe,
                }
            }
        };
        for tx in waiting {
            let _ = tx.send(appended);
        }
    }
}

/// Reads the stream for ever, applies it, and says when it has been read up to
/// this agent's own start.
async fn follow(writer: Arc<Writer>, node: Arc<Node>) {
    let mut started = false;
    loop {
        let next = writer.ledger.lock().expect("no panic while held").next;
        let page = match writer.log.read(&writer.stream, next, WAIT).await {
            Ok(page) => page,
            Err(e) => {
                log::warn!("write: the log can't be read: {e}");
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        let (next, undecodable) = take(&writer, &page);
        node.metrics.undecodable.add(undecodable, &[]);
        void_abandoned(&writer);
        writer.seen.send_replace(next);
        if !started && next >= page.next {
            started = true;
            let (writer, mut seen) = (writer.clone(), writer.seen.subscribe());
            tokio::spawn(async move {
                writer.append_surely(Entry::Start).await;
                // The start stands in the log; what is read after it is complete.
                let _ = timeout(SETTLE, seen.changed()).await;
                writer.ready.send_replace(true);
                log::info!("write: ready, the log of writes has been read");
            });
        }
    }
}

fn take(writer: &Writer, page: &platform::log::Page) -> (u64, u64) {
    let mut ledger = writer.ledger.lock().expect("no panic while held");
    let before = ledger.undecodable;
    for record in &page.records {
        ledger.apply(record.offset, record.time_ms, &record.data);
    }
    ledger.next = ledger.next.max(page.first);
    (ledger.next, ledger.undecodable - before)
}

/// Voids own tries that were given up and have turned up in the stream.
fn void_abandoned(writer: &Arc<Writer>) {
    let mut abandoned = writer.abandoned.lock().expect("no panic while held");
    let ledger = writer.ledger.lock().expect("no panic while held");
    let turned_up = |mark: &Mark| ledger.find(&mark.key).is_some_and(|r| r.id == mark.id);
    for mark in abandoned.extract_if(.., |mark| turned_up(mark)) {
        let writer = writer.clone();
        tokio::spawn(async move { writer.append_surely(Entry::Void(mark)).await });
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
