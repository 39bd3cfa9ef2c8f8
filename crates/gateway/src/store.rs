//! Typed calls that the gateway sends to the platform's store.
//!
//! The store keeps logs and the membership of groups. The adapter defines how a call looks on the wire: it gives a
//! [`Client`] a closure that carries out one call.

mod call;
mod fault;

use std::cell::{Cell, RefCell};
use std::fmt::{self, Debug, Formatter};
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use policy::staleness::Contact;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

pub use call::Call;
pub use fault::Fault;

/// Position of a record in a log.
pub type Offset = u64;

/// A number that rises with each change of a group's members, also across eras of the store.
pub type Generation = u64;

/// Number of the store's current era. It rises when the store is restored from an older copy: what was written since
/// the copy is lost, and offsets and generations are assigned again. Zero if it is not known.
pub type Era = u64;

/// Where a log ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// The offset after the last record.
    pub offset: Offset,
    /// The era that the offset belongs to.
    pub era: Era,
}

/// Bits of a generation that the store assigns; those above hold the era.
const GENERATION_BITS: u32 = 32;

/// Time for which answers of a lower era are rejected. If only such answers come for longer, the store has taken a
/// lower number.
const LOWER_ERA_REJECTION: Duration = Duration::from_secs(2);

/// Time after a fall of the era in which a new era is accepted from the store only.
const FALLEN_ERA_TIME: Duration = Duration::from_secs(30);

/// The logs that the gateway uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Log {
    /// Fleet settings that operators write; the newest record of each key is kept.
    #[display("settings")]
    Settings,
    /// Entries that backend servers write about themselves; the newest record of each key is kept.
    #[display("servers")]
    Servers,
    /// Orders, recorded by the leader before it sends them.
    #[display("orders")]
    Orders,
    /// Notices of one router to the others.
    #[display("notices")]
    Notices,
}

/// A record of a log that keeps the newest record of each key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value; none if the key was deleted.
    pub value: Option<Bytes>,
    /// The offset.
    pub offset: Offset,
}

/// The partitions of the group that are assigned to this router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assignment {
    /// Generation of the group.
    pub generation: Generation,
    /// Number of partitions that this router holds.
    pub assigned: u32,
    /// Number of all partitions; they are assigned evenly.
    pub total: u32,
    /// Whether this router holds the first partition, whose holder is the leader.
    pub holds_first: bool,
}

/// A reply of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Records, and the offset after the log's last one.
    Records(Vec<Bytes>, Offset),
    /// A page of newest records, whether more follow, and the offset after the log's last one.
    Page(Vec<Item>, bool, Offset),
    /// The offset after the last record.
    Appended(Offset),
    /// The assignment of this router.
    Joined(Assignment),
    /// Names of the members.
    Members(Vec<String>),
    /// The membership has ended.
    Left,
}

/// The store's era as an answer reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedEra {
    /// The answer names no era, or there is no answer.
    Absent,
    /// The era.
    Era(Era),
    /// The text is no number.
    Unreadable,
}

/// Outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The reply, or why there is none.
    pub reply: Result<Reply, Fault>,
    /// The store's era as the answer reports it.
    pub era: ReportedEra,
}

type Pending = Pin<Box<dyn Future<Output = Answer>>>;

/// Sends calls to the store, one at a time.
pub struct Client {
    /// Sends a call and returns its outcome.
    transport: Box<dyn Fn(Call) -> Pending>,
    /// Calls sent, by kind.
    calls: RefCell<Vec<(&'static str, u64)>>,
    /// Calls without a useful answer, by the kind of the call and of the fault.
    faults: RefCell<Vec<((&'static str, &'static str), u64)>>,
    era: Cell<Era>,
    /// Restores of the store that were detected.
    restores: Cell<u64>,
    /// Answers whose era was rejected, and whether the last one that reported an era was such.
    rejected: Cell<u64>,
    last_rejected: Cell<bool>,
    /// When the era last fell.
    fell_at: Cell<Option<Instant>>,
    /// Since when all answers report a lower era.
    lower_since: Cell<Option<Instant>>,
    /// Notified when another era begins.
    era_changed: Notify,
    contact: Cell<Contact>,
    /// Moment from which the times of contacts count.
    start: Cell<Instant>,
}

impl Client {
    /// Creates a client that sends each call with `transport`.
    pub fn new<F>(transport: impl Fn(Call) -> F + 'static) -> Client
    where
        F: Future<Output = Answer> + 'static,
    {
        Client {
            transport: Box::new(move |call| Box::pin(transport(call))),
            calls: RefCell::default(),
            faults: RefCell::default(),
            era: Cell::default(),
            restores: Cell::default(),
            rejected: Cell::default(),
            last_rejected: Cell::default(),
            fell_at: Cell::default(),
            lower_since: Cell::default(),
            era_changed: Notify::new(),
            contact: Cell::default(),
            start: Cell::new(Instant::now()),
        }
    }

    /// Returns which calls the store has answered.
    pub fn contact(&self) -> Contact {
        self.contact.get()
    }

    /// Counts the times of contacts from `start`.
    pub(crate) fn count_from(&self, start: Instant) {
        self.start.set(start);
    }

    /// Carries out one call that fails if it has no answer within `limit`.
    pub async fn call_within(&self, call: Call, limit: Duration) -> Result<Reply, Fault> {
        let (kind, sent) = (call.kind(), Instant::now());
        match timeout(limit, self.call(call)).await {
            Ok(reply) => reply,
            Err(_) => {
                self.record_contact(sent, false);
                let why = format!("no answer within {limit:?}");
                let fault = Fault::Silent { step: "waiting for an answer", why };
                count(&self.faults, (kind, fault.kind()));
                Err(fault)
            }
        }
    }

    /// Records the outcome of a call that was sent at `sent`.
    fn record_contact(&self, sent: Instant, answered: bool) {
        let time_of = |at: Instant| at.saturating_duration_since(self.start.get());
        let mut contact = self.contact.get();
        contact.record(time_of(sent), time_of(Instant::now()), answered);
        self.contact.set(contact);
    }

    /// Carries out one call. Generations in calls and replies rise across eras.
    pub async fn call(&self, call: Call) -> Result<Reply, Fault> {
        let kind = call.kind();
        let reply = self.carry_out(call).await;
        if let Err(fault) = &reply {
            count(&self.faults, (kind, fault.kind()));
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
        count(&self.calls, call.kind());
        let sent = Instant::now();
        let answer = tokio::select! {
            answer = (self.transport)(self.outgoing(call)) => answer,
            // The store may hold an answer back for seconds, and the offset is of no use any more.
            () = self.era_changed.notified(), if is_read => return Err(too_late),
        };
        let era = match answer.era {
            ReportedEra::Absent => Ok(()),
            ReportedEra::Era(era) => self.check_era(era),
            ReportedEra::Unreadable => {
                self.reject_era("can't be read");
                Ok(())
            }
        };
        let reply = era.and(answer.reply);
        self.record_contact(sent, reply.as_ref().err().is_none_or(Fault::is_answer));
        match reply? {
            // The offset belongs to an era that has ended meanwhile. The restored log may happen to end there as well.
            _ if outdated() => Err(too_late),
            // This is the answer to another call.
            Reply::Appended(end) if expected.is_some_and(|expected| expected != end) => {
                Err(Fault::Unreadable(format!("the log ends at {end}, expected={expected:?}")))
            }
            Reply::Joined(assignment) => {
                let generation = self.era.get() << GENERATION_BITS | assignment.generation;
                Ok(Reply::Joined(Assignment { generation, ..assignment }))
            }
            reply => Ok(reply),
        }
    }

    /// Returns the era of the store, as far as it is known.
    pub fn era(&self) -> Era {
        self.era.get()
    }

    /// Returns the number of restores of the store that were detected.
    pub fn restores(&self) -> u64 {
        self.restores.get()
    }

    /// Returns the number of answers that reported a lower era than the known one, or one that could not be read.
    pub fn rejected_eras(&self) -> u64 {
        self.rejected.get()
    }

    /// Adopts a higher era that another router reports. After a fall, other routers may still know the higher one, so
    /// it is ignored.
    pub fn adopt_era(&self, era: Era) {
        let fell = self.fell_at.get().is_some_and(|at| at.elapsed() < FALLEN_ERA_TIME);
        if era > self.era.get() && !fell {
            self.begin_era(era);
        }
    }

    /// Checks the era of an answer and adopts a new one; returns a fault if it is a lower one.
    fn check_era(&self, era: Era) -> Result<(), Fault> {
        let known = self.era.get();
        if era < known {
            self.reject_era("is lower than the known one");
            let since = self.lower_since.get().unwrap_or_else(Instant::now);
            self.lower_since.set(Some(since));
            if since.elapsed() < LOWER_ERA_REJECTION {
                return Err(Fault::Stale);
            }
            log::warn!("gateway: the store's era has fallen from {known} to {era}");
            self.fell_at.set(Some(Instant::now()));
        }
        self.lower_since.set(None);
        self.last_rejected.set(false);
        if era != known {
            self.begin_era(era);
        }
        Ok(())
    }

    /// Counts an answer whose era is rejected; only the first of several in a row is logged.
    fn reject_era(&self, why: &str) {
        self.rejected.set(self.rejected.get() + 1);
        if !self.last_rejected.replace(true) {
            log::warn!("gateway: the store's era {why} known={}", self.era.get());
        }
    }

    fn begin_era(&self, era: Era) {
        let before = self.era.replace(era);
        self.era_changed.notify_waiters();
        if before > 0 {
            self.restores.set(self.restores.get() + 1);
            log::warn!("gateway: store restored era={era} before={before}");
        }
    }

    /// Returns the call as the store expects it.
    fn outgoing(&self, call: Call) -> Call {
        match call {
            Call::Join { member, ttl, generation } => {
                let is_current = generation >> GENERATION_BITS == self.era.get();
                let generation = generation & ((1 << GENERATION_BITS) - 1);
                let generation = if is_current { generation } else { 0 };
                Call::Join { member, ttl, generation }
            }
            call => call,
        }
    }

    /// Returns the number of calls sent so far, by kind.
    pub fn call_counts(&self) -> Vec<(&'static str, u64)> {
        self.calls.borrow().clone()
    }

    /// Returns the number of calls so far that had no useful answer, by the kind of the call and of the fault.
    pub fn fault_counts(&self) -> Vec<((&'static str, &'static str), u64)> {
        self.faults.borrow().clone()
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
