//! Reads the stream of a service, and appends checkpoints before its records expire.

use std::sync::Arc;
use std::time::Duration;

use cloud::log::Page;
use futures_util::future::join_all;
use node::Node;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::{APPEND_CONFIRM_TIMEOUT, LOG_RETRY_PAUSE, Owner, Reader, Writer};
use crate::ledger::{CheckpointEnd, CheckpointRecord, Entry, TryRef};

/// Time that a read of the stream waits for new records.
const READ_WAIT: Duration = Duration::from_secs(5);

/// The same while this agent is not ready.
const UNREADY_READ_WAIT: Duration = Duration::from_millis(500);

/// Shortest wait, so that a reader with a task due does not read without a pause.
const MIN_READ_WAIT: Duration = Duration::from_millis(50);

/// Age of the last checkpoint at which an agent appends the next one. Each agent draws an age
/// from one to two times this, and the first agent to act spares the others. The log has to keep
/// records for more than twice this time; once records have expired, the number of records that
/// it keeps shows when the older half needs a checkpoint.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(10 * 60);

/// Longest delay of a checkpoint that an incomplete reader waits for.
const MAX_URGENT_CHECKPOINT_DELAY: Duration = Duration::from_millis(500);

/// Longest delay of a checkpoint for the older half of the log.
const MAX_CHECKPOINT_DELAY: Duration = Duration::from_secs(4);

/// Checkpoint records that are appended before the next ones are queued.
const CHECKPOINT_CHUNK: usize = 256;

/// When to append starts and checkpoints.
struct Schedule {
    /// When this agent last appended its start.
    start: Option<Instant>,
    /// True once its own start has been read.
    started: bool,
    /// When this agent first read the stream, last skipped a gap, or last read that another was
    /// complete.
    waiting_since: Instant,
    /// When this agent appends a checkpoint, unless another one does so before.
    checkpoint: Instant,
    /// The task that appends a checkpoint.
    appending: Option<JoinHandle<()>>,
}

/// Reads and applies the stream forever, and publishes whether writes can be accepted.
pub async fn run(writer: Arc<Writer>, node: Arc<Node>) {
    let mut schedule = Schedule {
        start: None,
        started: false,
        waiting_since: Instant::now(),
        checkpoint: next_checkpoint(),
        appending: None,
    };
    loop {
        let next = writer.reader.lock().expect("no panic while held").ledger.next;
        let wait = if writer.is_ready() { READ_WAIT } else { UNREADY_READ_WAIT };
        let wait = wait
            .min(schedule.checkpoint.saturating_duration_since(Instant::now()).max(MIN_READ_WAIT));
        let page = match writer.log.read(&writer.stream, next, wait).await {
            Ok(page) => page,
            Err(e) => {
                log::warn!("write: the log can't be read: {e}");
                tokio::time::sleep(LOG_RETRY_PAUSE).await;
                continue;
            }
        };
        let window = node.settings.borrow().fleet.defaults.key_window;
        let before = undecodable(&writer);
        let next = apply_page(&writer, &mut schedule, &page);
        node.metrics.undecodable_records.add(undecodable(&writer).saturating_sub(before), &[]);
        void_abandoned(&writer);
        if next >= page.next {
            append_start(&writer, &mut schedule, window);
            checkpoint_if_due(&writer, &mut schedule, &page, window);
        }
        publish_readiness(&writer);
        writer.read_offset.send_replace(next);
    }
}

fn next_checkpoint() -> Instant {
    Instant::now() + CHECKPOINT_INTERVAL.mul_f64(rand::random_range(1.0..2.0))
}

fn undecodable(writer: &Writer) -> u64 {
    writer.reader.lock().expect("no panic while held").ledger.undecodable
}

/// Applies a page and returns the next offset to read.
fn apply_page(writer: &Writer, schedule: &mut Schedule, page: &Page) -> u64 {
    let mut reader = writer.reader.lock().expect("no panic while held");
    let first_look = reader.ledger.next == 0;
    if reader.ledger.skip_expired(page.first) {
        schedule.waiting_since = Instant::now();
        if !first_look {
            // This process was paused until records had expired unread. It can't know whether its
            // VM was restarted meanwhile, so it continues under a new incarnation.
            log::warn!("write: records expired unread; the ledger is rebuilt");
            reader.owner.1 = (reader.owner.1 + 1).max(node::incarnation());
            (schedule.start, schedule.started) = (None, false);
        }
    }
    let (checkpointed, active) = (reader.ledger.checkpointed(), reader.ledger.last_active());
    for record in &page.records {
        reader.ledger.apply(record.offset, record.time_ms, &record.data);
    }
    if reader.ledger.last_active() > active {
        schedule.waiting_since = Instant::now();
    }
    if reader.ledger.checkpointed() > checkpointed {
        schedule.checkpoint = next_checkpoint();
    }
    reader.ledger.next
}

/// Appends this agent's start until it has been read. Also appends a reset if no agent has been
/// complete for the key window.
fn append_start(writer: &Arc<Writer>, schedule: &mut Schedule, window: Duration) {
    let reader = writer.reader.lock().expect("no panic while held");
    if let Some(reset) = reader.ledger.reset_entry()
        && schedule.waiting_since.elapsed() > window
    {
        log::warn!("write: no checkpoint for the key window; the ledger is reset");
        schedule.waiting_since = Instant::now();
        let (writer, owner) = (writer.clone(), reader.owner.clone());
        tokio::spawn(async move { writer.append(&owner, Entry::Reset(reset)).await });
    }
    let seen = reader.ledger.incarnation_of(&writer.vm);
    schedule.started |= seen == Some(reader.owner.1);
    let wanted = match seen {
        Some(incarnation) if incarnation == reader.owner.1 => false,
        // A process that resumes after its VM was restarted does not append its start; one whose
        // predecessor's start came late appends its own again.
        Some(incarnation) if schedule.started => incarnation < reader.owner.1,
        _ => true,
    };
    if wanted && schedule.start.is_none_or(|at| at.elapsed() > APPEND_CONFIRM_TIMEOUT) {
        schedule.start = Some(Instant::now());
        let (writer, owner) = (writer.clone(), reader.owner.clone());
        tokio::spawn(async move { writer.append(&owner, Entry::Start).await });
    }
}

/// Appends a checkpoint before records expire, after a delay in which another agent may do so
/// first.
fn checkpoint_if_due(writer: &Arc<Writer>, schedule: &mut Schedule, page: &Page, window: Duration) {
    let now = Instant::now();
    let reader = writer.reader.lock().expect("no panic while held");
    let longest = match reader.ledger.checkpoint_due(page.first, page.next) {
        Some(true) => MAX_URGENT_CHECKPOINT_DELAY,
        Some(false) => MAX_CHECKPOINT_DELAY,
        None => schedule.checkpoint.saturating_duration_since(now),
    };
    if schedule.checkpoint > now + longest {
        schedule.checkpoint = now + longest.mul_f64(rand::random_range(0.0..1.0));
    }
    let busy = schedule.appending.as_ref().is_some_and(|task| !task.is_finished());
    if schedule.checkpoint > now || busy {
        return;
    }
    schedule.checkpoint = next_checkpoint();
    if let Some((records, end)) = reader.ledger.checkpoint(window.as_millis() as u64) {
        let (writer, owner) = (writer.clone(), reader.owner.clone());
        schedule.appending = Some(tokio::spawn(append_checkpoint(writer, owner, records, end)));
    }
}

/// Appends a checkpoint, its end only after all its records are in the log: an incomplete reader
/// that reads the end relies on having read all of them.
async fn append_checkpoint(
    writer: Arc<Writer>,
    owner: Owner,
    records: Vec<CheckpointRecord>,
    end: CheckpointEnd,
) {
    for chunk in records.chunks(CHECKPOINT_CHUNK) {
        let entries = chunk.iter().cloned().map(Entry::CheckpointRecord);
        join_all(entries.map(|entry| writer.append_until_confirmed(owner.clone(), entry))).await;
    }
    let (count, before) = (records.len(), end.read_end);
    writer.append_until_confirmed(owner, Entry::CheckpointEnd(end)).await;
    log::info!(
        "write: appended a checkpoint of {count} writes; records before {before} can expire"
    );
}

/// Voids own abandoned tries that have appeared in the stream.
fn void_abandoned(writer: &Arc<Writer>) {
    let mut reader = writer.reader.lock().expect("no panic while held");
    let Reader { ledger, abandoned, .. } = &mut *reader;
    // An incomplete reader does not know yet whether its try was the first.
    if !ledger.is_complete() {
        return;
    }
    let turned_up =
        |try_ref: &TryRef| ledger.find(&try_ref.key).is_some_and(|r| r.id == try_ref.id);
    for (owner, try_ref) in abandoned.extract_if(.., |(_, try_ref)| turned_up(try_ref)) {
        let writer = writer.clone();
        tokio::spawn(
            async move { writer.append_until_confirmed(owner, Entry::Void(try_ref)).await },
        );
    }
}

fn publish_readiness(writer: &Writer) {
    let reader = writer.reader.lock().expect("no panic while held");
    let ready = reader.ledger.is_ready(&reader.owner);
    if writer.ready.send_replace(ready) != ready {
        match ready {
            true => log::info!("write: ready, the log of writes has been read"),
            false => log::warn!("write: not ready, the log of writes has to be read again"),
        }
    }
}
