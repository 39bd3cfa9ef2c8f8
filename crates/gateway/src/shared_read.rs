//! Shared reads of the store: one router reads it and serves the records to the others.
//!
//! [`crate::roster`] defines who reads for whom. A router polls its source for all logs with one request, which is
//! answered as soon as there are updates. Received records are kept for a while, so that any router can serve others at
//! once when it becomes the next reader.
//!
//! The reader may be cut off from the store, or be gone. So each answer says how old its data is, and that age alone
//! decides when a router turns to another source: see [`policy::staleness`].

mod availability;
mod client;
mod freshness;
mod members;
pub mod page;
mod gossip;
mod server;
mod forward;
mod tail;
mod view;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use policy::staleness::Check;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::pool::Pool;
use crate::roster::{MIN_SHARING_ROUTERS, Member, Roster, Source};
use crate::state::State;
use crate::store::{Assignment, Era, Generation, Item, Log, Offset};
pub use availability::{
    check_store, may_read_store, may_read_store_from, record_store_answer, record_store_silence,
};
pub(crate) use client::get;
pub use client::{MAX_RESTORE_WAIT, run, snapshot};
pub use forward::{forward_notices, publish};
pub use freshness::{looks_past_source, replace_source};
pub use gossip::{Gossip, Origin};
pub use server::answer;
pub use tail::{LogRecord, Tail};
pub use view::{Digest, View, digest, record_list, take_full_read_request};

/// Logs that are shared.
pub const LOGS: [Log; 3] = [Log::Settings, Log::Servers, Log::Notices];

/// Time for which an answer is held back if there are no updates.
const MAX_POLL_WAIT: Duration = Duration::from_millis(400);

/// Time since the last answer of a source after which it counts as silent for notices and memberships.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Pause between two polls; updates of that time come with the next answer at once.
const MIN_POLL_PAUSE: Duration = Duration::from_millis(100);

/// Number of routers up to which they poll at that rate. The pause grows with their number, up to four times as long.
const ROUTERS_AT_MIN_PAUSE: f64 = 60.0;

/// Shortest time that the store may wait for new settings.
const MIN_READER_WAIT: Duration = Duration::from_millis(50);

/// Longest time between two checks whether there is anything to do.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Newest values of the keys of a log, sorted by key, as of one offset.
#[derive(Debug, Default)]
struct Newest {
    values: Vec<(String, Bytes)>,
    /// Offset after the last record that they include; none if nothing was read.
    end: Option<Offset>,
}

/// Compressed snapshot of a log.
#[derive(Debug)]
struct Encoded {
    era: Era,
    /// Index of the log in [`LOGS`].
    log: usize,
    end: Offset,
    bytes: Bytes,
}

/// State of the shared reads of one router.
#[derive(Debug, Default)]
pub struct Sharing {
    /// The members of the group.
    roster: RefCell<Roster>,
    /// Index of this router among the members, and their number.
    rank: Cell<Option<(u32, u32)>>,
    /// Whether this router ever was a member.
    was_member: Cell<bool>,
    /// Addresses of the other members, sorted.
    others: RefCell<Rc<[SocketAddr]>>,
    /// Routers that left the group, sorted, and until when they may still serve callers.
    leaving: RefCell<Vec<(SocketAddr, Duration)>>,
    /// Generation of the group in the last answer to a join call of this router, and whether it held the first partition.
    joined_generation: Cell<Generation>,
    holds_first: Cell<bool>,
    /// When a source last gave a usable answer.
    last_answer: Cell<Option<Duration>>,
    /// Whether the source reports that the store does not answer it.
    store_unavailable: Cell<bool>,
    /// When the source first reported that.
    reported_unavailable_at: Cell<Duration>,
    /// When this router has to check whether the store answers it.
    check: RefCell<Check>,
    /// Notified when a check may be due sooner.
    check_changed: Notify,
    /// Since when the store has not answered this router, if it did not answer the last call.
    silent_since: Cell<Option<Duration>>,
    /// When another router may be asked for fresh data, and the pause after that.
    next_ask: Cell<(Duration, Duration)>,
    /// Routers that are avoided, and until when.
    avoided: RefCell<Vec<(SocketAddr, Duration)>>,
    /// Connections to the source.
    source: RefCell<Option<(SocketAddr, Rc<Pool>)>>,
    /// When the members were last read.
    members_read_at: Cell<Option<Duration>>,
    /// Latest records of each log, from the store or the source.
    tails: RefCell<[Tail; LOGS.len()]>,
    /// Newest value of each key of the settings and of the list of servers.
    newest: RefCell<[Newest; 2]>,
    /// The last snapshot that was requested.
    encoded: RefCell<Option<Encoded>>,
    /// Era of the store that all of these belong to, and when it began.
    era: Cell<Era>,
    era_began_at: Cell<Option<Duration>>,
    /// Notified when there are updates, or another source.
    updated: Notify,
    /// Notified when the store was read, by this router or its source.
    refreshed: Notify,
    /// The source that gave the last answer.
    answered_by: Cell<Option<SocketAddr>>,
    /// Number of routers through which the data of the source has passed.
    hops: Cell<u8>,
    /// Notices that this router received or announced.
    gossip: RefCell<Gossip>,
    /// Incarnation of the source's process and the number of its next notice.
    next_source_notice: Cell<(u64, u64)>,
    /// Number of the next notice to forward to the source.
    next_forwarded: Cell<u64>,
    /// Notified when there are notices to forward.
    notices_pending: Notify,
    /// This router's view of the list of servers.
    view: Cell<Option<View>>,
    /// The view of the source.
    source_view: Cell<Option<View>>,
    /// Since when the two views are known to differ.
    differs_since: Cell<Option<Duration>>,
    /// Whether the whole list has to be read again.
    full_read_wanted: Cell<bool>,
    /// When that was last requested.
    full_read_wanted_at: Cell<Option<Duration>>,
    /// Random number that identifies this process.
    incarnation: std::cell::OnceCell<u64>,
}

impl Sharing {
    /// Returns the records of a log from an offset on, and the offset after the last one; none if some are not kept.
    pub fn records_from(&self, log: Log, from: Offset) -> Option<(Vec<LogRecord>, Offset)> {
        self.tails.borrow()[position(log)?].records_from(from)
    }

    /// Records the generation of the group.
    pub fn record_assignment(&self, assignment: Assignment) {
        let generation = assignment.generation;
        self.holds_first.set(assignment.holds_first);
        if self.joined_generation.replace(generation) != generation {
            self.updated.notify_waiters();
        }
    }

    /// Returns the generation of the group in the last answer to a join call, and whether this router held the first
    /// partition.
    pub(crate) fn joined(&self) -> (Generation, bool) {
        (self.joined_generation.get(), self.holds_first.get())
    }

    /// Returns the generation of the newest known list of members.
    pub fn generation(&self) -> Generation {
        self.roster.borrow().generation
    }

    /// Returns a number that identifies this process and that no earlier one had.
    pub(crate) fn incarnation(&self) -> u64 {
        *self.incarnation.get_or_init(rand::random)
    }

    /// Returns the number of known members of the group.
    pub fn members(&self) -> usize {
        self.roster.borrow().members().len()
    }

    /// Returns the index of this router among the members, and their number, once it is a member.
    pub fn rank(&self) -> Option<(u32, u32)> {
        self.rank.get()
    }

    /// Whether this router is or was a member of the group, as far as it knows.
    pub fn was_member(&self) -> bool {
        self.was_member.get()
    }

    /// Returns the addresses of the other routers that may serve callers, sorted: members of the group, and those that
    /// left it a moment ago, as they still answer their last callers.
    pub fn others(&self, now: Duration) -> Rc<[SocketAddr]> {
        let members = self.others.borrow().clone();
        let mut leaving = self.leaving.borrow_mut();
        leaving.retain(|(_, until)| now < *until);
        if leaving.is_empty() {
            return members;
        }
        let mut others: Vec<SocketAddr> = members.to_vec();
        others.extend(leaving.iter().map(|(address, _)| *address));
        others.sort_unstable();
        others.into()
    }
}

/// Drops what was read before the store was restored, as its offsets are assigned again.
fn drop_former_era(state: &State) {
    let (era, sharing) = (state.store.era(), &state.sharing);
    let before = sharing.era.replace(era);
    if before == era || before == 0 {
        return;
    }
    let ends = sharing.tails.take().map(|tail| tail.end().unwrap_or_default());
    sharing.newest.borrow_mut().iter_mut().for_each(|newest| newest.end = None);
    sharing.view.set(None);
    sharing.source_view.set(None);
    sharing.differs_since.set(None);
    sharing.era_began_at.set(Some(state.now()));
    log::info!("gateway: era={era} before={before} dropped offsets={ends:?}");
    sharing.updated.notify_waiters();
    state.store_regained.notify_waiters();
}

fn position(log: Log) -> Option<usize> {
    LOGS.iter().position(|l| *l == log)
}

/// Returns the source: where this router reads the store's records from.
pub fn source(state: &State) -> Source {
    source_without(state, None)
}

/// Returns the source if one more router were avoided.
fn source_without(state: &State, without: Option<SocketAddr>) -> Source {
    if state.setup.inner.is_none() {
        return Source::Store;
    }
    let avoid = |address| Some(address) == without || is_avoided(state, address);
    state.sharing.roster.borrow().source(&state.setup.vm, &state.setup.zone, avoid)
}

fn is_avoided(state: &State, address: SocketAddr) -> bool {
    let (now, avoided) = (state.now(), state.sharing.avoided.borrow());
    avoided.iter().any(|(a, until)| *a == address && now < *until)
}

/// Returns the router that owns the state shared by all routers about `key`, if the members are known, without those
/// that `avoid` names.
pub fn owner(state: &State, key: &str, avoid: impl Fn(SocketAddr) -> bool) -> Option<Member> {
    state
        .sharing
        .roster
        .borrow()
        .owner(key, |m| m.vm != state.setup.vm && avoid(m.address))
        .cloned()
}

/// Whether this router is the reader, which reads the store for others.
pub fn is_reader(state: &State) -> bool {
    state.sharing.members() >= MIN_SHARING_ROUTERS && source(state) == Source::Store
}

/// Whether this router has a source that answers, and that the store answers.
pub fn has_source(state: &State) -> bool {
    let recently = |at: Duration| state.now() < at + SOURCE_TIMEOUT;
    !state.sharing.store_unavailable.get()
        && source(state) != Source::Store
        && state.sharing.last_answer.get().is_some_and(recently)
}

/// Returns the pause between two polls of the source, by the number of routers.
///
/// ```
/// # use std::time::Duration;
/// assert_eq!(gateway::shared_read::poll_pause(4), Duration::from_millis(100));
/// assert_eq!(gateway::shared_read::poll_pause(300), Duration::from_millis(400));
/// ```
pub fn poll_pause(routers: u32) -> Duration {
    MIN_POLL_PAUSE.mul_f64((f64::from(routers) / ROUTERS_AT_MIN_PAUSE).clamp(1.0, 4.0))
}

/// Pauses after a read of the store that was sent at `read`, at most until the whole list has to be read. A router that
/// reads only for itself reads each `interval` at least, and the reader twice as often, as its data ages on the way to
/// others.
pub async fn pause_after_read(state: &State, interval: Duration, read: Duration) {
    let wanted = async {
        while !state.sharing.full_read_wanted.get() {
            state.sharing.updated.notified().await;
        }
    };
    let limits = freshness::own_limits(state);
    let interval = match is_reader(state) {
        true => (interval / 2).min(limits.read),
        false => interval.min(limits.check),
    };
    let _ = timeout((read + interval).saturating_sub(state.now()), wanted).await;
}

/// Returns the pause before a failed read is repeated by a router that reads the store itself, after a number of failures
/// in a row.
pub fn repeat_pause(state: &State, failures: u32) -> Duration {
    let age = freshness::age(state).unwrap_or(Duration::MAX);
    freshness::own_limits(state).reader_pause(failures, age)
}

/// Returns how long the store may wait for new settings when this router reads for others. `delay` is the time that the
/// store's last answer took in addition.
pub fn max_reader_wait(state: &State, delay: Duration) -> Duration {
    freshness::own_limits(state).read.saturating_sub(delay).max(MIN_READER_WAIT)
}

/// Returns the records of the source, and the offset after the last one it read; waits a moment if there are none.
/// Returns none if this router has to read the store itself, or to wait until it may.
pub async fn read_from_source(
    state: &State,
    log: Log,
    from: Offset,
) -> Option<(Vec<LogRecord>, Offset)> {
    drop_former_era(state);
    if !freshness::uses_source(state, log) {
        return None;
    }
    let (records, end) = state.sharing.records_from(log, from)?;
    if !records.is_empty() {
        return Some((records, end));
    }
    let wait = match freshness::is_timely(log) {
        true => freshness::time_left(state, log).min(CHECK_INTERVAL),
        false => CHECK_INTERVAL,
    };
    let _ = timeout(wait, state.sharing.updated.notified()).await;
    state.sharing.records_from(log, from).filter(|_| freshness::uses_source(state, log))
}

/// Caches what was read from the store for other routers; `is_new` says which records have new content, and `read` as of
/// when they are known.
pub fn cache_records(
    state: &State,
    log: Log,
    from: Offset,
    records: &[Bytes],
    is_new: impl Fn(&Bytes) -> bool,
    read: Duration,
) {
    drop_former_era(state);
    let Some(at) = position(log) else { return };
    if state.sharing.tails.borrow_mut()[at].add(from, records, is_new, read, state.now()) {
        state.sharing.updated.notify_waiters();
    }
    state.sharing.refreshed.notify_waiters();
}

/// Returns as of when a log is known: when the read of the store that this router's records rest on was sent.
pub fn known_as_of(state: &State, log: Log) -> Option<Duration> {
    state.sharing.tails.borrow()[position(log)?].read()
}

/// Formats the offset up to which a log is known and the age of that data, for log lines.
pub fn read_position(state: &State, log: Log) -> String {
    let tails = state.sharing.tails.borrow();
    let tail = position(log).map(|at| &tails[at]);
    match tail.and_then(|tail| tail.end().zip(tail.age(state.now()))) {
        Some((end, age)) => format!("{end} age={age:?}"),
        None => "unknown".to_owned(),
    }
}

/// Caches the newest values of keys up to the offset `end`, for routers that request all of them. `complete` says that
/// the items are those of all keys: the record of a key's deletion may itself have been deleted. An item that was not
/// `applied`, because a newer one is known, does not replace the former value: a restored store may hold older ones.
pub fn cache_newest(
    state: &State,
    log: Log,
    items: &[Item],
    applied: &[bool],
    end: Offset,
    complete: bool,
) {
    drop_former_era(state);
    let mut newest = state.sharing.newest.borrow_mut();
    let Some(newest) = position(log).and_then(|at| newest.get_mut(at)) else { return };
    newest.end = Some(end);
    if complete {
        newest.values.retain(|(key, _)| items.iter().any(|item| item.key == *key));
    }
    for (item, _) in items.iter().zip(applied).filter(|(_, applied)| **applied) {
        let found = newest.values.binary_search_by(|(key, _)| key.cmp(&item.key));
        match (found, &item.value) {
            (Ok(at), Some(value)) => newest.values[at].1 = value.clone(),
            (Ok(at), None) => drop(newest.values.remove(at)),
            (Err(at), Some(value)) => newest.values.insert(at, (item.key.clone(), value.clone())),
            (Err(_), None) => {}
        }
    }
}
