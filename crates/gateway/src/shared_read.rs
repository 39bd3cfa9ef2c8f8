//! One router reads the store, and the others hear from it.
//!
//! [`crate::roster`] says who reads for whom. A router asks its source for all logs with one request, which is answered
//! as soon as there is news. What is heard is kept for a while, so that any router can be asked by others at once when
//! it becomes the next reader.
//!
//! What could go wrong is that the reader is cut off from the store and the others with it, without
//! any of them noticing. So each answer says how old the reader's knowledge is, and whether the store answers it; a
//! router whose source knows too little asks the next one, and reads the store itself if it has heard nothing for
//! more than a second.

mod availability;
mod client;
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
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::pool::Pool;
use crate::roster::{MIN_SHARING_ROUTERS, Member, Roster, Source};
use crate::state::State;
use crate::store::{Assignment, Era, Generation, Item, Log, Offset};
pub use availability::{
    is_store_check_due, may_read_store, record_store_answer, record_store_silence,
    was_store_silent_since,
};
pub(crate) use client::get;
pub use client::{run, snapshot};
pub use forward::{forward_notices, publish};
pub use gossip::{Gossip, Origin};
pub use server::answer;
pub use tail::{LogRecord, Tail};
pub use view::{Digest, View, digest, record_list, take_full_read_request};

/// Logs that are shared.
pub const LOGS: [Log; 3] = [Log::Settings, Log::Servers, Log::Notices];

/// Age from which on what a router knows is not used. The store is read at least once a second, and an answer may
/// wait for [`WAIT`] twice on its way.
const OLD: Duration = Duration::from_millis(1900);

/// Time for which an answer is held back if there is no news.
const WAIT: Duration = Duration::from_millis(400);

/// Time since the last answer after which a router reads the store itself. Two sources may be lost one after the
/// other; a leaving server gets no more work after two seconds.
const GRACE: Duration = Duration::from_millis(1200);

/// Pause after an answer: what comes meanwhile is asked for at once.
const PAUSE: Duration = Duration::from_millis(100);

/// Routers up to which they ask at that pace. The pause grows with their number, to four times as long.
const CROWD: f64 = 60.0;

/// Longest time between two looks whether there is anything to do.
const LOOK: Duration = Duration::from_millis(300);

/// Newest values of the keys of a log, sorted by key, as of one offset.
#[derive(Debug, Default)]
struct Newest {
    values: Vec<(String, Bytes)>,
    /// Offset after the last record that is among them; none if nothing was read.
    end: Option<Offset>,
}

/// What a router knows of those that read for others.
#[derive(Debug, Default)]
pub struct Sharing {
    /// The members of the group.
    roster: RefCell<Roster>,
    /// Position of this router among them, and their number.
    rank: Cell<Option<(u32, u32)>>,
    /// Whether it ever was one of them.
    was_member: Cell<bool>,
    /// Addresses of the others, sorted.
    others: RefCell<Rc<[SocketAddr]>>,
    /// Routers that left the group, sorted, and until when they may still serve.
    leaving: RefCell<Vec<(SocketAddr, Duration)>>,
    /// Generation of the group that this router last heard as a member.
    joined: Cell<Generation>,
    /// When a source last gave a useful answer.
    heard: Cell<Option<Duration>>,
    /// Whether the source said that the store does not answer it.
    store_unavailable: Cell<bool>,
    /// When the source first said so.
    reported_unavailable: Cell<Duration>,
    /// When this router is to find out whether the store answers it.
    check: Cell<Option<Duration>>,
    /// When the store answered this router though the source says that it is away.
    answered: Cell<Option<Duration>>,
    /// When the store last did not answer a call of this router.
    silent: Cell<Option<Duration>>,
    /// Routers that are passed over, and until when.
    avoided: RefCell<Vec<(SocketAddr, Duration)>>,
    /// Connections to the source.
    source: RefCell<Option<(SocketAddr, Rc<Pool>)>>,
    /// When the members were last read.
    located: Cell<Option<Duration>>,
    /// What was read or heard of each log.
    tails: RefCell<[Tail; LOGS.len()]>,
    /// Newest value of each key of the settings and of the list of servers.
    newest: RefCell<[Newest; 2]>,
    /// Era of the store that all of that is of, and when it began.
    era: Cell<Era>,
    renewed: Cell<Option<Duration>>,
    /// Woken when there is news, or another source.
    news: Notify,
    /// Notices that were heard or said.
    gossip: RefCell<Gossip>,
    /// Start of the source's process and the number of its next notice.
    heard_notices: Cell<(u64, u64)>,
    /// Number of the next own notice that the source is to be told.
    told: Cell<u64>,
    /// Woken when there are notices for the source.
    tell: Notify,
    /// The list of servers as this router believes it.
    view: Cell<Option<View>>,
    /// The same of the router that this one hears from.
    source_view: Cell<Option<View>>,
    /// Since when the two are known to differ.
    dispute: Cell<Option<Duration>>,
    /// Whether the whole list is to be read again.
    read_all: Cell<bool>,
    /// When it last was to be.
    read_all_at: Cell<Option<Duration>>,
    /// Start of this process, as a random number.
    incarnation: std::cell::OnceCell<u64>,
}

impl Sharing {
    /// Records of a log from an offset on, and the offset after the last one; none if some are not kept.
    pub fn records_from(&self, log: Log, from: Offset) -> Option<(Vec<LogRecord>, Offset)> {
        self.tails.borrow()[position(log)?].from(from)
    }

    /// Notes the generation of the group and the seats of this router.
    pub fn record_assignment(&self, seat: Assignment) {
        let generation = seat.generation;
        if self.joined.replace(generation) != generation {
            self.news.notify_waiters();
        }
    }

    /// Generation of the group that some router has heard.
    pub fn generation(&self) -> Generation {
        self.roster.borrow().generation
    }

    /// A number of this process that no earlier one had.
    pub(crate) fn incarnation(&self) -> u64 {
        *self.incarnation.get_or_init(rand::random)
    }

    /// Members of the group, as far as they are known.
    pub fn members(&self) -> usize {
        self.roster.borrow().members().len()
    }

    /// Position of this router among the members, and their number, once it is one of them.
    pub fn rank(&self) -> Option<(u32, u32)> {
        self.rank.get()
    }

    /// Whether this router is or was a member of the group, as it heard.
    pub fn was_member(&self) -> bool {
        self.was_member.get()
    }

    /// Addresses of the other routers that may serve callers, sorted: members of the group, and those that left it a
    /// moment ago, as they still answer the callers that they have.
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

/// Drops what was read or heard before the store was restored: its offsets are given out again.
fn renew(state: &State) {
    let (era, sharing) = (state.store.era(), &state.sharing);
    let before = sharing.era.replace(era);
    if before == era || before == 0 {
        return;
    }
    let ends = sharing.tails.take().map(|tail| tail.end().unwrap_or_default());
    sharing.newest.borrow_mut().iter_mut().for_each(|newest| newest.end = None);
    sharing.view.set(None);
    sharing.source_view.set(None);
    sharing.dispute.set(None);
    sharing.renewed.set(Some(state.now()));
    log::info!("gateway: era={era} before={before} dropped offsets={ends:?}");
    sharing.news.notify_waiters();
    state.store_returned.notify_waiters();
}

fn position(log: Log) -> Option<usize> {
    LOGS.iter().position(|l| *l == log)
}

/// Where this router gets what the store holds.
pub fn source(state: &State) -> Source {
    if state.setup.inner.is_none() {
        return Source::Store;
    }
    let (now, sharing) = (state.now(), &state.sharing);
    let avoided = sharing.avoided.borrow();
    let avoid = |address| avoided.iter().any(|(a, until)| *a == address && now < *until);
    sharing.roster.borrow().source(&state.setup.vm, &state.setup.zone, avoid)
}

/// The router that keeps what all routers have to agree on about `key`, if the members are known; `avoid` says which
/// ones are passed over.
pub fn owner(state: &State, key: &str, avoid: impl Fn(SocketAddr) -> bool) -> Option<Member> {
    state
        .sharing
        .roster
        .borrow()
        .owner(key, |m| m.vm != state.setup.vm && avoid(m.address))
        .cloned()
}

/// Whether this router reads the store for others.
pub fn is_reader(state: &State) -> bool {
    state.sharing.members() >= MIN_SHARING_ROUTERS && source(state) == Source::Store
}

/// Whether this router hears from another one.
pub fn has_source(state: &State) -> bool {
    let recently = |at: Duration| state.now() < at + GRACE;
    !state.sharing.store_unavailable.get()
        && source(state) != Source::Store
        && state.sharing.heard.get().is_some_and(recently)
}

/// Pause after a read of the list of servers from the store, where a router that reads alone pauses for
/// `alone`. The router that reads for others does it twice as often, as what it knows ages on its way.
fn pause(state: &State, alone: Duration) -> Duration {
    if is_reader(state) { alone / 2 } else { alone }
}

/// Pause after an answer of another router, among that many.
///
/// ```
/// # use std::time::Duration;
/// assert_eq!(gateway::shared_read::poll_pause(4), Duration::from_millis(100));
/// assert_eq!(gateway::shared_read::poll_pause(300), Duration::from_millis(400));
/// ```
pub fn poll_pause(routers: u32) -> Duration {
    PAUSE.mul_f64((f64::from(routers) / CROWD).clamp(1.0, 4.0))
}

/// Waits after a read of the store, or until the whole list is to be read.
pub async fn pause_after_read(state: &State, alone: Duration) {
    let wanted = async {
        while !state.sharing.read_all.get() {
            state.sharing.news.notified().await;
        }
    };
    let _ = timeout(pause(state, alone), wanted).await;
}

/// Records that another router gave, and the offset after the last one it read; waits a moment if there are none.
/// None if this router has to read the store itself.
pub async fn read_from_source(
    state: &State,
    log: Log,
    from: Offset,
) -> Option<(Vec<LogRecord>, Offset)> {
    renew(state);
    if !has_source(state) {
        return None;
    }
    let (records, end) = state.sharing.records_from(log, from)?;
    if !records.is_empty() {
        return Some((records, end));
    }
    let _ = timeout(LOOK, state.sharing.news.notified()).await;
    state.sharing.records_from(log, from).filter(|_| has_source(state))
}

/// Keeps what was read from the store for the others; `worth` says which records tell something new.
pub fn cache_records(
    state: &State,
    log: Log,
    from: Offset,
    records: &[Bytes],
    worth: impl Fn(&Bytes) -> bool,
) {
    renew(state);
    let Some(at) = position(log) else { return };
    if state.sharing.tails.borrow_mut()[at].add(from, records, worth, state.now()) {
        state.sharing.news.notify_waiters();
    }
}

/// Up to which offset a log is known, and how long ago that was read from the store, for log lines.
pub fn read_position(state: &State, log: Log) -> String {
    let tails = state.sharing.tails.borrow();
    let tail = position(log).map(|at| &tails[at]);
    match tail.and_then(|tail| tail.end().zip(tail.age(state.now()))) {
        Some((end, age)) => format!("{end} age={age:?}"),
        None => "unknown".to_owned(),
    }
}

/// Keeps the newest values of keys up to the offset `end`, for routers that ask for all of them; `whole` says that the
/// items are all there are, as the record of a key's end may have been deleted. Of an item that was not `taken` over, as
/// a newer one is known, the value of before stays: a restored store may hold older ones.
pub fn cache_newest(
    state: &State,
    log: Log,
    items: &[Item],
    taken: &[bool],
    end: Offset,
    whole: bool,
) {
    renew(state);
    let mut newest = state.sharing.newest.borrow_mut();
    let Some(newest) = position(log).and_then(|at| newest.get_mut(at)) else { return };
    newest.end = Some(end);
    if whole {
        newest.values.retain(|(key, _)| items.iter().any(|item| item.key == *key));
    }
    for (item, _) in items.iter().zip(taken).filter(|(_, taken)| **taken) {
        let found = newest.values.binary_search_by(|(key, _)| key.cmp(&item.key));
        match (found, &item.value) {
            (Ok(at), Some(value)) => newest.values[at].1 = value.clone(),
            (Ok(at), None) => drop(newest.values.remove(at)),
            (Err(at), Some(value)) => newest.values.insert(at, (item.key.clone(), value.clone())),
            (Err(_), None) => {}
        }
    }
}
