//! What the gateway asks of the platform's store, as typed calls.
//!
//! The store keeps logs and membership of groups. How a call looks on the wire is the adapter's
//! matter: it gives a [`Client`] a closure that carries one call out.

mod call;
mod fault;

use std::cell::{Cell, RefCell};
use std::fmt::{self, Debug, Formatter};
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use tokio::sync::Notify;
use tokio::time::Instant;

pub use call::Call;
pub use fault::Fault;

/// Position of a record in a log.
pub type Offset = u64;

/// A number that rises with each change of a group's members, also across eras of the store.
pub type Generation = u64;

/// Number of the store's present life. It rises when the store comes back from an older copy of itself: what was
/// written since the copy is gone, and offsets and generations are given out again. Nought where it is not known.
pub type Era = u64;

/// Where a log ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// The offset after the last record.
    pub offset: Offset,
    /// The era that the offset belongs to.
    pub era: Era,
}

/// Bits of a generation that the store gives; those above hold the era.
const GENERATION_BITS: u32 = 32;

/// Time for which answers of an older era only are dropped. Then the store has taken a lower number.
const FALLEN: Duration = Duration::from_secs(2);

/// Time after a fall in which an era is taken from the store only.
const FALLEN_FOR: Duration = Duration::from_secs(30);

/// The logs that the gateway uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Log {
    /// Fleet settings that operators write; newest record of each key kept.
    #[display("settings")]
    Settings,
    /// Entries that backend servers write of themselves; newest record of each key kept.
    #[display("servers")]
    Servers,
    /// Orders, written down by the router that gives them before it gives them.
    #[display("orders")]
    Orders,
    /// What one router tells the others.
    #[display("notices")]
    Notices,
}

/// A record of a log with one newest record for each key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// Its value; none if the key was dropped.
    pub value: Option<Bytes>,
    /// Its offset.
    pub offset: Offset,
}

/// A share in the group of routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assignment {
    /// Generation of the group.
    pub generation: Generation,
    /// Seats that this router holds.
    pub assigned: u32,
    /// Seats there are; they are dealt evenly.
    pub total: u32,
    /// Whether it holds the first seat, whose holder gives orders.
    pub holds_first: bool,
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Records, and the offset after the log's last one.
    Records(Vec<Bytes>, Offset),
    /// A page of newest records, whether more follow, and the offset after the log's last one.
    Page(Vec<Item>, bool, Offset),
    /// The offset after the last record.
    Appended(Offset),
    /// A share in the group.
    Joined(Assignment),
    /// Names of the members.
    Members(Vec<String>),
    /// Done.
    Left,
}

/// What an answer says of the store's era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedEra {
    /// Nothing, or there is no answer.
    Absent,
    /// The era.
    Era(Era),
    /// Something that is no number.
    Unreadable,
}

/// What came of carrying a call out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The reply, or why there is none.
    pub reply: Result<Reply, Fault>,
    /// What the answer says of the store's era.
    pub era: ReportedEra,
}

type Pending = Pin<Box<dyn Future<Output = Answer>>>;

/// Carries calls out, one at a time.
pub struct Client {
    carry: Box<dyn Fn(Call) -> Pending>,
    /// Calls made, by kind.
    made: RefCell<Vec<(&'static str, u64)>>,
    /// Calls without a useful answer, by their kind and the fault's.
    failed: RefCell<Vec<((&'static str, &'static str), u64)>>,
    era: Cell<Era>,
    /// Restores of the store that were noticed.
    restores: Cell<u64>,
    /// Answers whose era was of no use, and whether the last one that told anything was such.
    odd: Cell<u64>,
    is_odd: Cell<bool>,
    /// When the era last fell.
    fell: Cell<Option<Instant>>,
    /// Since when all answers are of an older era.
    older: Cell<Option<Instant>>,
    /// Woken when another era begins.
    renewed: Notify,
}

impl Client {
    /// A client that hands each call to `carry`.
    pub fn new<F>(carry: impl Fn(Call) -> F + 'static) -> Client
    where
        F: Future<Output = Answer> + 'static,
    {
        Client {
            carry: Box::new(move |call| Box::pin(carry(call))),
            made: RefCell::default(),
            failed: RefCell::default(),
            era: Cell::default(),
            restores: Cell::default(),
            odd: Cell::default(),
            is_odd: Cell::default(),
            fell: Cell::default(),
            older: Cell::default(),
            renewed: Notify::new(),
        }
    }

    /// Carries out one call. Generations in calls and replies rise across eras.
    pub async fn call(&self, call: Call) -> Result<Reply, Fault> {
        let kind = call.kind();
        let reply = self.carry_out(call).await;
        if let Err(fault) = &reply {
            count(&self.failed, (kind, fault.kind()));
        }
        reply
    }

    async fn carry_out(&self, call: Call) -> Result<Reply, Fault> {
        let offset_era = call.offset_era();
        let outdated = || offset_era.is_some_and(|era| era != self.era.get());
        let (is_read, expected) = (matches!(call, Call::Read { .. }), call.expected_end());
        let too_late = if is_read { Fault::Gone } else { Fault::Stale };
        if outdated() {
            return Err(too_late);
        }
        count(&self.made, call.kind());
        let answer = tokio::select! {
            answer = (self.carry)(self.outgoing(call)) => answer,
            // The store may hold an answer back for seconds, to an offset that is of no use any more.
            () = self.renewed.notified(), if is_read => return Err(too_late),
        };
        match answer.era {
            ReportedEra::Absent => {}
            ReportedEra::Era(era) => self.note(era)?,
            ReportedEra::Unreadable => self.note_odd("can't be read"),
        }
        match answer.reply? {
            // The offset was that of an era that has ended meanwhile. The log of a copy may happen to end there as well.
            _ if outdated() => Err(too_late),
            // The answer to another call.
            Reply::Appended(end) if expected.is_some_and(|expected| expected != end) => {
                Err(Fault::Unreadable(format!("the log ends at {end}, expected={expected:?}")))
            }
            Reply::Joined(seat) => {
                let generation = self.era.get() << GENERATION_BITS | seat.generation;
                Ok(Reply::Joined(Assignment { generation, ..seat }))
            }
            reply => Ok(reply),
        }
    }

    /// The era of the store, as far as it is known.
    pub fn era(&self) -> Era {
        self.era.get()
    }

    /// Restores of the store that were noticed.
    pub fn restores(&self) -> u64 {
        self.restores.get()
    }

    /// Answers that named an older era than the one known, or none that could be read.
    pub fn rejected_eras(&self) -> u64 {
        self.odd.get()
    }

    /// Takes an era over that another router has heard of. After a fall, other routers may still know the higher one.
    pub fn adopt_era(&self, era: Era) {
        let fell = self.fell.get().is_some_and(|at| at.elapsed() < FALLEN_FOR);
        if era > self.era.get() && !fell {
            self.begin(era);
        }
    }

    /// Takes the era of an answer over; a fault if that is an older one.
    fn note(&self, era: Era) -> Result<(), Fault> {
        let known = self.era.get();
        if era < known {
            self.note_odd("is older than the one known");
            let since = self.older.get().unwrap_or_else(Instant::now);
            self.older.set(Some(since));
            if since.elapsed() < FALLEN {
                return Err(Fault::Stale);
            }
            log::warn!("gateway: the store's era has fallen from {known} to {era}");
            self.fell.set(Some(Instant::now()));
        }
        self.older.set(None);
        self.is_odd.set(false);
        if era != known {
            self.begin(era);
        }
        Ok(())
    }

    /// Counts an answer whose era is of no use; the first of several in a row has a line.
    fn note_odd(&self, why: &str) {
        self.odd.set(self.odd.get() + 1);
        if !self.is_odd.replace(true) {
            log::warn!("gateway: the store's era {why} known={}", self.era.get());
        }
    }

    fn begin(&self, era: Era) {
        let before = self.era.replace(era);
        self.renewed.notify_waiters();
        if before > 0 {
            self.restores.set(self.restores.get() + 1);
            log::warn!("gateway: store restored era={era} before={before}");
        }
    }

    /// The call as the store takes it.
    fn outgoing(&self, call: Call) -> Call {
        match call {
            Call::Join { member, ttl, generation } => {
                let of_era = generation >> GENERATION_BITS == self.era.get();
                let generation = generation & ((1 << GENERATION_BITS) - 1);
                let generation = if of_era { generation } else { 0 };
                Call::Join { member, ttl, generation }
            }
            call => call,
        }
    }

    /// Calls made so far, by kind.
    pub fn call_counts(&self) -> Vec<(&'static str, u64)> {
        self.made.borrow().clone()
    }

    /// Calls so far that had no useful answer, by their kind and the fault's.
    pub fn fault_counts(&self) -> Vec<((&'static str, &'static str), u64)> {
        self.failed.borrow().clone()
    }
}

/// Adds one to a counter of a sorted list.
fn count<K: Ord>(counters: &RefCell<Vec<(K, u64)>>, key: K) {
    let mut counters = counters.borrow_mut();
    match counters.binary_search_by(|(known, _)| known.cmp(&key)) {
        Ok(at) => counters[at].1 += 1,
        Err(at) => counters.insert(at, (key, 1)),
    }
}

impl Debug for Client {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("Client")
    }
}
