//! Reading the stream of a service, and keeping its records from expiring.

use std::sync::Arc;
use std::time::Duration;

use cloud::log::Page;
use futures_util::future::join_all;
use node::Node;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::{Known, Owner, PAUSE, SETTLE, Writer};
use crate::ledger::{Carry, Entry, Kept, Mark};

/// How long a read of the stream waits for news.
const WAIT: Duration = Duration::from_secs(5);

/// The same while this agent is not ready.
const SHORT_WAIT: Duration = Duration::from_millis(500);

/// Least wait, so that a reader with something due does not read without a pause.
const LEAST_WAIT: Duration = Duration::from_millis(50);

/// Age of the last carrying at which an agent carries again. Each agent draws its own
/// age up to twice this; the first one to act spares the others. The log has to keep
/// records for more than twice this, or, once records have expired, as many as show
/// by themselves that the older half has to be carried.
const CARRY_AGE: Duration = Duration::from_secs(10 * 60);

/// Longest pause before records are carried that a late reader waits for.
const SOON: Duration = Duration::from_millis(500);

/// Longest pause before the older half of what the log keeps is carried.
const LATER: Duration = Duration::from_secs(4);

/// Carried records appended before the next ones are queued.
const CHUNK: usize = 256;

/// When to do what, besides reading.
struct Clock {
    /// When this agent last appended its start.
    start: Option<Instant>,
    /// True once its own start has been read.
    started: bool,
    /// When it first read the stream, or again after a gap, or read that others can judge.
    first: Instant,
    /// When it carries records, unless another agent does so before.
    carry: Instant,
    /// The carrying in progress.
    carrying: Option<JoinHandle<()>>,
}

/// Reads the stream for ever, applies it, and says when writes can be taken.
pub async fn run(writer: Arc<Writer>, node: Arc<Node>) {
    let mut clock = Clock {
        start: None,
        started: false,
        first: Instant::now(),
        carry: carry_at(),
        carrying: None,
    };
    loop {
        let next = writer.known.lock().expect("no panic while held").ledger.next;
        let wait = if writer.ready() { WAIT } else { SHORT_WAIT };
        let wait = wait.min(clock.carry.saturating_duration_since(Instant::now()).max(LEAST_WAIT));
        let page = match writer.log.read(&writer.stream, next, wait).await {
            Ok(page) => page,
            Err(e) => {
                log::warn!("write: the log can't be read: {e}");
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        let window = node.settings.borrow().fleet.defaults.key_window;
        let before = undecodable(&writer);
        let next = take(&writer, &mut clock, &page);
        node.metrics.undecodable_records.add(undecodable(&writer).saturating_sub(before), &[]);
        void_abandoned(&writer);
        if next >= page.next {
            caught_up(&writer, &mut clock, window);
            carry_due(&writer, &mut clock, &page, window);
        }
        show_ready(&writer);
        writer.seen.send_replace(next);
    }
}

fn carry_at() -> Instant {
    Instant::now() + CARRY_AGE.mul_f64(rand::random_range(1.0..2.0))
}

fn undecodable(writer: &Writer) -> u64 {
    writer.known.lock().expect("no panic while held").ledger.undecodable
}

/// Applies a page; returns the next offset to read.
fn take(writer: &Writer, clock: &mut Clock, page: &Page) -> u64 {
    let mut known = writer.known.lock().expect("no panic while held");
    let first_look = known.ledger.next == 0;
    if known.ledger.skip(page.first) {
        clock.first = Instant::now();
        if !first_look {
            // This process was paused until records had expired unread. It can't know
            // whether its VM was started anew meanwhile, so it goes on as a new start.
            log::warn!("write: records expired unread; everything is read anew");
            known.owner.1 = (known.owner.1 + 1).max(node::incarnation());
            (clock.start, clock.started) = (None, false);
        }
    }
    let (kept, active) = (known.ledger.kept(), known.ledger.active());
    for record in &page.records {
        known.ledger.apply(record.offset, record.time_ms, &record.data);
    }
    if known.ledger.active() > active {
        clock.first = Instant::now();
    }
    if known.ledger.kept() > kept {
        clock.carry = carry_at();
    }
    known.ledger.next
}

/// Appends this agent's start until it has been read, and begins anew when nobody has
/// been able to judge for the key window.
fn caught_up(writer: &Arc<Writer>, clock: &mut Clock, window: Duration) {
    let known = writer.known.lock().expect("no panic while held");
    if let Some(anew) = known.ledger.anew()
        && clock.first.elapsed() > window
    {
        log::warn!("write: nobody carried what expired for the key window; beginning anew");
        clock.first = Instant::now();
        let (writer, owner) = (writer.clone(), known.owner.clone());
        tokio::spawn(async move { writer.append(&owner, Entry::Anew(anew)).await });
    }
    let seen = known.ledger.started(&writer.vm);
    clock.started |= seen == Some(known.owner.1);
    let wanted = match seen {
        Some(incarnation) if incarnation == known.owner.1 => false,
        // A process that thaws after its VM was started again stays out of the way; one
        // whose predecessor's start came late appends its own again.
        Some(incarnation) if clock.started => incarnation < known.owner.1,
        _ => true,
    };
    if wanted && clock.start.is_none_or(|at| at.elapsed() > SETTLE) {
        clock.start = Some(Instant::now());
        let (writer, owner) = (writer.clone(), known.owner.clone());
        tokio::spawn(async move { writer.append(&owner, Entry::Start).await });
    }
}

/// Carries what would expire, after a pause in which another agent may do it first.
fn carry_due(writer: &Arc<Writer>, clock: &mut Clock, page: &Page, window: Duration) {
    let now = Instant::now();
    let known = writer.known.lock().expect("no panic while held");
    let longest = match known.ledger.due(page.first, page.next) {
        Some(true) => SOON,
        Some(false) => LATER,
        None => clock.carry.saturating_duration_since(now),
    };
    if clock.carry > now + longest {
        clock.carry = now + longest.mul_f64(rand::random_range(0.0..1.0));
    }
    let busy = clock.carrying.as_ref().is_some_and(|task| !task.is_finished());
    if clock.carry > now || busy {
        return;
    }
    clock.carry = carry_at();
    if let Some((carried, kept)) = known.ledger.carry(window.as_millis() as u64) {
        let (writer, owner) = (writer.clone(), known.owner.clone());
        clock.carrying = Some(tokio::spawn(carry(writer, owner, carried, kept)));
    }
}

/// Appends carried writes, and what they add up to after all of them stand in the log:
/// a late reader that sees the last entry relies on having read all the others.
async fn carry(writer: Arc<Writer>, owner: Owner, carried: Vec<Carry>, kept: Kept) {
    for chunk in carried.chunks(CHUNK) {
        let entries = chunk.iter().cloned().map(Entry::Carry);
        join_all(entries.map(|entry| writer.append_surely(owner.clone(), entry))).await;
    }
    let (count, before) = (carried.len(), kept.judged);
    writer.append_surely(owner, Entry::Kept(kept)).await;
    log::info!("write: carried {count} writes; records before {before} can expire");
}

/// Voids own tries that were given up and have turned up in the stream.
fn void_abandoned(writer: &Arc<Writer>) {
    let mut known = writer.known.lock().expect("no panic while held");
    let Known { ledger, abandoned, .. } = &mut *known;
    // A late reader does not know yet whether its try was the first.
    if !ledger.complete() {
        return;
    }
    let turned_up = |mark: &Mark| ledger.find(&mark.key).is_some_and(|r| r.id == mark.id);
    for (owner, mark) in abandoned.extract_if(.., |(_, mark)| turned_up(mark)) {
        let writer = writer.clone();
        tokio::spawn(async move { writer.append_surely(owner, Entry::Void(mark)).await });
    }
}

fn show_ready(writer: &Writer) {
    let known = writer.known.lock().expect("no panic while held");
    let ready = known.ledger.ready(&known.owner);
    if writer.ready.send_replace(ready) != ready {
        match ready {
            true => log::info!("write: ready, the log of writes has been read"),
            false => log::warn!("write: not ready, the log of writes has to be read anew"),
        }
    }
}
