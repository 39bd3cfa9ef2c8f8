//! Requests whose content ends the backend servers that run them.
//!
//! Load pattern: one request ends each server that runs it. Its caller sends it again and again, each time under
//! another id and to any router, and each router sends it on to the next server as it does with every request whose
//! connection broke. Each server ends with tens of other requests, which go to the next servers together with the one
//! at fault.
//!
//! A request that ran on a server that has ended is a suspect until it gets past the event at which it was lost, on
//! any server. A suspect of two losses runs with no other suspect beside it, so that a third loss identifies one
//! request; after [`MIN_LOSSES_TO_REFUSE`] losses it is refused. Where servers end in bulk, a loss has less weight,
//! as has one that several requests share: then it takes more of them, and until they can be told apart none of the
//! suspects is sent for a short time. All routers notify each other of losses and of what is refused. A verdict ends
//! after a time, and as soon as the request gets further anywhere.

use std::time::Duration;

pub use crate::quarantine::Fingerprint;

/// Losses after which a request is refused.
pub const MIN_LOSSES_TO_REFUSE: usize = 3;

/// Losses after which a request is a suspect and runs alone.
const MIN_LOSSES_TO_SUSPECT: usize = 2;

/// Losses kept of a request, the latest ones. A server whose loss was dropped counts as one that ended by itself.
const MAX_LOSSES_KEPT: usize = 16;

/// Weight of losses from which on a request is refused: three losses, one of which may have another explanation.
const MIN_WEIGHT_TO_REFUSE: f64 = 2.5;

/// Weight of losses from which on a request runs alone.
const MIN_WEIGHT_TO_ISOLATE: f64 = 1.5;

/// Time within which servers that end count as ending together.
const BULK_WINDOW: Duration = Duration::from_secs(1);

/// Time for which a request is refused.
pub const REFUSAL_TIME: Duration = Duration::from_secs(600);

/// Time for which a loss counts. It is longer than a verdict, so that one more loss after its end is enough.
const LOSS_LIFETIME: Duration = Duration::from_secs(2 * 600);

/// Time for which suspects are not sent while they can't be told apart. Those that are not at fault get past their
/// losses meanwhile.
const UNDECIDED_PAUSE: Duration = Duration::from_secs(1);

/// Shortest time for which a completed request is remembered: losses that are reported later are not its own.
const COMPLETION_LIFETIME: Duration = Duration::from_secs(5);

/// Largest number of suspects kept.
pub const MAX_SUSPECTS: usize = 1024;

/// Largest number of ended servers kept.
const MAX_ENDED_SERVERS: usize = 512;

/// Number of requests with many losses up to which each of them explains the end of its servers. With more of them
/// servers end in bulk.
const MAX_EXPLAINING_REQUESTS: usize = 8;

/// Largest number of losses in one update, those of the suspects with most losses first. When a server ends with
/// hundreds of runs, most of these are past their loss by the time it would be sent.
const MAX_LOSSES_PER_UPDATE: usize = 32;

/// Time for which a first loss is held back, as most requests get past it. A loss of a suspect is sent at once.
pub const FIRST_LOSS_DELAY: Duration = Duration::from_millis(100);

/// Time after which a refusal is sent again, for routers that could not receive it. The first resends come sooner, as
/// a notice may be lost.
const RESEND_INTERVAL: Duration = Duration::from_secs(4);
const FIRST_RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// Number of resends after the shorter interval.
const FAST_RESENDS: u32 = 2;

/// One start of a server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Start {
    /// Id of the server.
    pub id: String,
    /// When it started, in milliseconds of Unix time; 0 if it does not say.
    pub born: u64,
}

/// A run that ended with its server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loss {
    /// The start of the server.
    pub start: Start,
    /// When it ended, on the clock of the list.
    pub at: Duration,
    /// Events of the answer that had been received until then, in all runs.
    pub events: u64,
}

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it as any other.
    Clear,
    /// Send it with no other suspect beside it.
    Alone,
    /// Send it later: it is one of several requests that may be at fault.
    Later {
        /// Time until it may be sent again.
        left: Duration,
    },
    /// Refuse it.
    Refused {
        /// Time until it may be sent again.
        left: Duration,
    },
}

/// What other routers have to be notified of.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Update {
    /// Runs that ended with their servers.
    pub lost: Vec<(Fingerprint, Loss)>,
    /// Requests that got past their losses, and whether they were refused.
    pub cleared: Vec<(Fingerprint, bool)>,
    /// Requests that are refused, the time left, and the servers that ended.
    pub refused: Vec<(Fingerprint, Duration, u32)>,
}

/// A suspect as operators see it.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What may be done with it.
    pub verdict: Verdict,
    /// Servers that have ended while they ran it, as far as this router knows.
    pub servers: u32,
    /// The last loss whose server is known.
    pub last: Option<Loss>,
}

#[derive(Debug, Clone, PartialEq)]
struct Record {
    fingerprint: Fingerprint,
    /// The latest losses, and whether other routers know of each: it was sent to them or received from one.
    losses: Vec<(Loss, bool)>,
    /// Servers that have ended while they ran it.
    servers: u32,
    /// End of the time in which it is refused.
    refused_until: Option<Duration>,
    /// When the refusal is sent again, and how often it was sent.
    resend_at: Duration,
    resends: u32,
}

impl Record {
    fn lost_at(&self, start: &Start) -> bool {
        self.losses.iter().any(|(loss, _)| loss.start == *start)
    }

    fn last(&self) -> Duration {
        self.losses.iter().map(|(loss, _)| loss.at).max().unwrap_or_default()
    }

    fn is_refused(&self, now: Duration) -> bool {
        self.refused_until.is_some_and(|until| now < until)
    }
}

/// Requests that completed recently, in two generations: the older one is dropped as a whole.
#[derive(Debug, Default)]
struct Completed {
    /// Sorted.
    newer: Vec<Fingerprint>,
    older: Vec<Fingerprint>,
    since: Duration,
}

impl Completed {
    fn record(&mut self, fingerprint: Fingerprint, now: Duration) {
        if now >= self.since + COMPLETION_LIFETIME || self.newer.len() >= MAX_SUSPECTS {
            self.older = std::mem::take(&mut self.newer);
            self.since = now;
        }
        if let Err(at) = self.newer.binary_search(&fingerprint) {
            self.newer.insert(at, fingerprint);
        }
    }

    fn holds(&self, fingerprint: Fingerprint, now: Duration) -> bool {
        now < self.since + COMPLETION_LIFETIME * 2
            && [&self.newer, &self.older].iter().any(|all| all.binary_search(&fingerprint).is_ok())
    }
}

/// Suspects and refused requests.
#[derive(Debug, Default)]
pub struct List {
    /// Sorted by fingerprint.
    records: Vec<Record>,
    /// Servers that have ended lately, the oldest first.
    ended: Vec<(Start, Duration)>,
    completed: Completed,
    /// Requests whose losses others know and that got past them, and whether they were refused.
    cleared: Vec<(Fingerprint, bool)>,
}

impl List {
    /// Returns what may be done with a request.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::crash::{List, Loss, Start, Verdict};
    /// let (mut list, at) = (List::default(), Duration::from_secs);
    /// let loss = |n| Loss { start: Start { id: format!("vm-{n}"), born: 1 }, at: at(n), events: 0 };
    /// list.record_loss(7, loss(1), false);
    /// assert_eq!(list.verdict(7, at(1)), Verdict::Clear);
    /// list.record_loss(7, loss(2), false);
    /// assert_eq!(list.verdict(7, at(2)), Verdict::Alone);
    /// list.record_loss(7, loss(3), false);
    /// assert!(matches!(list.verdict(7, at(3)), Verdict::Refused { .. }));
    /// ```
    pub fn verdict(&mut self, fingerprint: Fingerprint, now: Duration) -> Verdict {
        let Ok(at) = self.find(fingerprint) else { return Verdict::Clear };
        if let Some(until) = self.records[at].refused_until {
            if now < until {
                return Verdict::Refused { left: until - now };
            }
            self.end_verdict(at);
        }
        let record = &mut self.records[at];
        record.losses.retain(|(loss, _)| now < loss.at + LOSS_LIFETIME);
        let (losses, last) = (record.losses.len(), record.last());
        if losses < MIN_LOSSES_TO_SUSPECT {
            return Verdict::Clear;
        }
        let (isolate_weight, refuse_weight) = self.weigh(at);
        match () {
            () if isolate_weight < MIN_WEIGHT_TO_ISOLATE => Verdict::Clear,
            () if losses < MIN_LOSSES_TO_REFUSE => Verdict::Alone,
            () if refuse_weight >= MIN_WEIGHT_TO_REFUSE => {
                let record = &mut self.records[at];
                (record.refused_until, record.resend_at, record.resends) =
                    (Some(now + REFUSAL_TIME), now, 0);
                Verdict::Refused { left: REFUSAL_TIME }
            }
            () if now < last + UNDECIDED_PAUSE => {
                Verdict::Later { left: last + UNDECIDED_PAUSE - now }
            }
            () => Verdict::Alone,
        }
    }

    /// Records a run that ended with its server; `remote` if another router reported it.
    pub fn record_loss(&mut self, fingerprint: Fingerprint, loss: Loss, remote: bool) {
        let now = loss.at;
        self.record_end(loss.start.clone(), now);
        if self.completed.holds(fingerprint, now) {
            return;
        }
        let at = self.record_index(fingerprint, now);
        let record = &mut self.records[at];
        if record.lost_at(&loss.start) {
            return;
        }
        record.servers += 1;
        record.losses.push((loss, remote));
        if record.losses.len() > MAX_LOSSES_KEPT {
            record.losses.remove(0);
        }
    }

    /// Records the end of a server, whatever ran there.
    pub fn record_end(&mut self, start: Start, now: Duration) {
        if self.ended.iter().any(|(known, _)| *known == start) {
            return;
        }
        if self.ended.len() >= MAX_ENDED_SERVERS {
            self.ended.remove(0);
        }
        self.ended.push((start, now));
    }

    /// Records that a run of a request got `events` events. Losses at earlier events were not its fault.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::crash::{List, Loss, Start, Verdict};
    /// let (mut list, at) = (List::default(), Duration::from_secs);
    /// let loss = |n| Loss { start: Start { id: format!("vm-{n}"), born: 1 }, at: at(n), events: 4 };
    /// (1..4).for_each(|n| list.record_loss(7, loss(n), false));
    /// list.reached(7, 4);
    /// assert!(matches!(list.verdict(7, at(4)), Verdict::Refused { .. }));
    /// list.reached(7, 5);
    /// assert_eq!(list.verdict(7, at(4)), Verdict::Clear);
    /// ```
    pub fn reached(&mut self, fingerprint: Fingerprint, events: u64) {
        let Ok(at) = self.find(fingerprint) else { return };
        let record = &mut self.records[at];
        let (before, refused) = (record.losses.len(), record.refused_until.is_some());
        let past = |loss: &Loss| loss.events < events;
        let known_elsewhere =
            refused || record.losses.iter().any(|(loss, sent)| *sent && past(loss));
        record.losses.retain(|(loss, _)| !past(loss));
        let left = record.losses.len();
        if left > 0 || (before == 0 && events < u64::MAX) {
            return;
        }
        self.records.remove(at);
        if known_elsewhere && self.cleared.len() < MAX_SUSPECTS {
            self.cleared.push((fingerprint, refused));
        }
    }

    /// Records that a request completed.
    pub fn completed(&mut self, fingerprint: Fingerprint, now: Duration) {
        self.completed.record(fingerprint, now);
        self.reached(fingerprint, u64::MAX);
    }

    /// Clears a request that is not at fault, as another router or an operator reports.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::crash::{REFUSAL_TIME, List, Verdict};
    /// let (mut list, at) = (List::default(), Duration::from_secs);
    /// list.refuse(7, REFUSAL_TIME, 3, at(1), 0.0);
    /// list.clear(7, at(2));
    /// // A refusal from before that arrives late changes nothing.
    /// list.refuse(7, REFUSAL_TIME, 3, at(3), 0.0);
    /// assert_eq!(list.verdict(7, at(3)), Verdict::Clear);
    /// ```
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Duration) {
        self.completed.record(fingerprint, now);
        if let Ok(at) = self.find(fingerprint) {
            self.records.remove(at);
        }
    }

    /// Allows a request to run again by order of an operator; returns whether it was known.
    pub fn lift(&mut self, fingerprint: Fingerprint, now: Duration) -> bool {
        let known = self.find(fingerprint).is_ok();
        self.clear(fingerprint, now);
        self.cleared.extend(known.then_some((fingerprint, true)));
        known
    }

    /// Refuses a request for `left`, as another router does, after `servers` servers ended while they ran it. The
    /// other routers receive that refusal too, so this one need not send it for a while.
    pub fn refuse(
        &mut self,
        fingerprint: Fingerprint,
        left: Duration,
        servers: u32,
        now: Duration,
        jitter: f64,
    ) {
        if left.is_zero() || self.completed.holds(fingerprint, now) {
            return;
        }
        let at = self.record_index(fingerprint, now);
        let record = &mut self.records[at];
        let until = (now + left.min(REFUSAL_TIME)).max(record.refused_until.unwrap_or_default());
        (record.refused_until, record.servers) = (Some(until), record.servers.max(servers));
        (record.resend_at, record.resends) =
            (now + RESEND_INTERVAL.mul_f64(1.0 + jitter), FAST_RESENDS);
    }

    /// Returns what other routers have to be notified of now. `jitter` is a random number below one, which keeps
    /// routers from sending the same at the same time.
    pub fn take_update(&mut self, now: Duration, jitter: f64) -> Update {
        let counts = |r: &Record| !r.losses.is_empty() && now < r.last() + LOSS_LIFETIME;
        self.records.retain(|r| r.is_refused(now) || counts(r));
        let mut update = Update { cleared: std::mem::take(&mut self.cleared), ..Update::default() };
        let mut lost = Vec::new();
        for record in &mut self.records {
            let known = record.losses.len();
            let due =
                |loss: &Loss| known >= MIN_LOSSES_TO_SUSPECT || loss.at + FIRST_LOSS_DELAY <= now;
            for (loss, sent) in record.losses.iter_mut().filter(|(l, sent)| !sent && due(l)) {
                *sent = true;
                lost.push((known, record.fingerprint, loss.clone()));
            }
            if record.is_refused(now) && record.resend_at <= now {
                let interval = if record.resends < FAST_RESENDS {
                    FIRST_RESEND_INTERVAL
                } else {
                    RESEND_INTERVAL
                };
                (record.resend_at, record.resends) =
                    (now + interval.mul_f64(1.0 + jitter), record.resends + 1);
                let left = record.refused_until.unwrap_or_default() - now;
                update.refused.push((record.fingerprint, left, record.servers));
            }
        }
        lost.sort_by_key(|(known, _, loss)| (std::cmp::Reverse(*known), loss.events));
        update.lost =
            lost.into_iter().take(MAX_LOSSES_PER_UPDATE).map(|(_, of, loss)| (of, loss)).collect();
        update
    }

    /// Returns all suspects of more than one loss and all requests that are refused.
    pub fn entries(&mut self, now: Duration) -> Vec<Entry> {
        let known = self
            .records
            .iter()
            .filter(|r| r.is_refused(now) || r.losses.len() >= MIN_LOSSES_TO_SUSPECT);
        let known: Vec<Fingerprint> = known.map(|r| r.fingerprint).collect();
        let entry = |fingerprint| {
            let verdict = self.verdict(fingerprint, now);
            let record = self.find(fingerprint).map(|at| &self.records[at]);
            let last = record.map_or(None, |r| r.losses.last().map(|(loss, _)| loss.clone()));
            let servers = record.map_or(0, |r| r.servers);
            Entry { fingerprint, verdict, servers, last }
        };
        known.into_iter().map(entry).collect()
    }

    /// Returns the number of suspects, and how many of them are refused.
    pub fn counts(&self, now: Duration) -> (usize, usize) {
        (self.records.len(), self.records.iter().filter(|r| r.is_refused(now)).count())
    }

    /// Ends a verdict whose time is over: one more loss renews it.
    fn end_verdict(&mut self, at: usize) {
        let record = &mut self.records[at];
        record.refused_until = None;
        let more = record.losses.len().saturating_sub(MIN_LOSSES_TO_REFUSE - 1);
        record.losses.drain(..more);
    }

    /// Returns two weights of a request's losses: the one by which it runs alone, which is smaller the more other
    /// servers ended at the same time for no known reason, and the one by which it is refused, which is also smaller
    /// the more suspects share the losses.
    fn weigh(&self, at: usize) -> (f64, f64) {
        let record = &self.records[at];
        let many_losses: Vec<&Record> =
            self.records.iter().filter(|r| r.losses.len() >= MIN_LOSSES_TO_REFUSE).collect();
        let is_explained = |start: &Start| {
            many_losses.len() <= MAX_EXPLAINING_REQUESTS
                && many_losses.iter().any(|r| r.lost_at(start))
        };
        let (mut isolate_weight, mut refuse_weight) = (0.0, 0.0);
        for (loss, _) in &record.losses {
            let others = self.ended.iter().filter(|(start, when)| {
                loss.at.abs_diff(*when) <= BULK_WINDOW
                    && !record.lost_at(start)
                    && !is_explained(start)
            });
            let others = others.count() as f64;
            let sharers = many_losses.iter().filter(|r| r.lost_at(&loss.start)).count().max(1);
            isolate_weight += 1.0 / (1.0 + others);
            refuse_weight += 1.0 / (sharers as f64 + others);
        }
        (isolate_weight, refuse_weight)
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.records.binary_search_by_key(&fingerprint, |r| r.fingerprint)
    }

    /// Returns the index of a request's record, which is added if there is none.
    fn record_index(&mut self, fingerprint: Fingerprint, now: Duration) -> usize {
        if let Ok(at) = self.find(fingerprint) {
            return at;
        }
        if self.records.len() >= MAX_SUSPECTS {
            // A flood of suspects must not evict refused requests.
            let place =
                |i: &usize| (self.records[*i].is_refused(now), self.records[*i].losses.len());
            let least = (0..self.records.len()).min_by_key(|i| (place(i), self.records[*i].last()));
            least.map(|i| self.records.remove(i));
        }
        let at = self.find(fingerprint).unwrap_or_else(|at| at);
        let (losses, refused_until) = (Vec::new(), None);
        let (resend_at, resends) = (Duration::ZERO, 0);
        self.records.insert(
            at,
            Record { fingerprint, losses, servers: 0, refused_until, resend_at, resends },
        );
        at
    }
}
