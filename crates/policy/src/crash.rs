//! Requests whose content ends the backend servers that run them.
//!
//! Load pattern: one request ends each server that runs it. Its caller sends it again and again, each time under another id
//! and to any router, and each router sends it on to the next server as it does with all that broke off. Each server takes
//! tens of other requests with it, which come to the next servers together with the one at fault.
//!
//! What ran on a server that has ended is a suspect until it gets past the event at which it was lost, on any server. A
//! suspect of two losses runs with no other suspect beside it, so that a third loss names one request; after
//! [`MIN_LOSSES_TO_REFUSE`] of them it is refused. Where servers end in bulk, a loss is less of a reason, as is one that several
//! requests share: then it takes more of them, and until they are told apart none of the suspects is sent for a moment.
//! All routers tell each other of losses and of what is refused. A verdict ends by time, and as soon as the
//! request gets further anywhere.

use std::time::Duration;

pub use crate::quarantine::Fingerprint;

/// Losses after which a request is refused.
pub const MIN_LOSSES_TO_REFUSE: usize = 3;

/// Losses after which a request runs alone.
const MIN_LOSSES_TO_SUSPECT: usize = 2;

/// Losses that are kept of a request, the latest ones. A server whose loss is forgotten counts as one that ended
/// of itself.
const MAX_LOSSES_KEPT: usize = 16;

/// Weight of losses from which on a request is refused: three, one of which may have another explanation.
const MIN_WEIGHT_TO_REFUSE: f64 = 2.5;

/// Weight of losses from which on a request runs alone.
const MIN_WEIGHT_TO_ISOLATE: f64 = 1.5;

/// Time within which servers that end do so together.
const BULK_WINDOW: Duration = Duration::from_secs(1);

/// Time for which a request is refused.
pub const REFUSAL_TIME: Duration = Duration::from_secs(600);

/// Time for which a loss counts: beyond the end of a verdict, so that one more is enough then.
const LOSS_LIFETIME: Duration = Duration::from_secs(2 * 600);

/// Time for which suspects that are not told apart yet are not sent. Those that are not at fault get past their losses
/// meanwhile.
const UNDECIDED_PAUSE: Duration = Duration::from_secs(1);

/// Time for which a request that came to its end is remembered at least: losses that are remote of later are not its own.
const COMPLETION_LIFETIME: Duration = Duration::from_secs(5);

/// Suspects kept at most.
pub const MAX_SUSPECTS: usize = 1024;

/// Ended servers kept at most.
const MAX_ENDED_SERVERS: usize = 512;

/// Requests with many losses up to which each of them explains the end of its servers. Beyond it servers end in bulk.
const MAX_EXPLAINING_REQUESTS: usize = 8;

/// Losses that are told at a time, the gravest first. When a server ends with hundreds of runs, most of them
/// are past their loss by the time it would be told.
const MAX_LOSSES_PER_UPDATE: usize = 32;

/// Time for which a first loss is not told yet, as most requests get past it. One of a suspect is told at once.
pub const FIRST_LOSS_DELAY: Duration = Duration::from_millis(100);

/// Time after which what is refused is told again, so that routers which could not hear of it do: at first sooner, as a
/// notice may be lost.
const RESEND_INTERVAL: Duration = Duration::from_secs(4);
const FIRST_RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// How often it is told again soon.
const FAST_RESENDS: u32 = 2;

/// One start of a server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Start {
    /// Its id.
    pub id: String,
    /// When it started, in milliseconds of Unix time; nought if it does not say.
    pub born: u64,
}

/// A run that ended with its server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loss {
    /// The server.
    pub start: Start,
    /// When it ended, on the clock of the list.
    pub at: Duration,
    /// Events of the answer that had come until then, in all runs.
    pub events: u64,
}

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it as any other.
    Clear,
    /// Send it with no other suspect beside it.
    Alone,
    /// Send it later: it is one of several that may be at fault.
    Later {
        /// Time until it may come back.
        left: Duration,
    },
    /// Refuse it.
    Refused {
        /// Time until it may come back.
        left: Duration,
    },
}

/// What other routers have to know.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Update {
    /// Runs that ended with their servers.
    pub lost: Vec<(Fingerprint, Loss)>,
    /// Requests that got past their losses, and whether they were refused.
    pub cleared: Vec<(Fingerprint, bool)>,
    /// Requests that are refused, the time left, and the servers that ended.
    pub refused: Vec<(Fingerprint, Duration, u32)>,
}

/// A suspect as it is shown to operators.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What may be done with it.
    pub verdict: Verdict,
    /// Servers that have ended under it, as far as is known here.
    pub servers: u32,
    /// The last of them that was named.
    pub last: Option<Loss>,
}

#[derive(Debug, Clone, PartialEq)]
struct Record {
    fingerprint: Fingerprint,
    /// The latest losses, and whether each was told or remote.
    losses: Vec<(Loss, bool)>,
    /// Servers that have ended under it.
    servers: u32,
    /// End of the time in which it is refused.
    refused_until: Option<Duration>,
    /// When others are told again that it is refused, and how often they were.
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

/// Requests that came to their end lately, in two generations: the older one is dropped as a whole.
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
    /// Servers that ended lately, the oldest first.
    ended: Vec<(Start, Duration)>,
    completed: Completed,
    /// Requests whose losses others know and that got past them, and whether they were refused.
    cleared: Vec<(Fingerprint, bool)>,
}

impl List {
    /// What may be done with a request.
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
        let (alone, guilty) = self.weigh(at);
        match () {
            () if alone < MIN_WEIGHT_TO_ISOLATE => Verdict::Clear,
            () if losses < MIN_LOSSES_TO_REFUSE => Verdict::Alone,
            () if guilty >= MIN_WEIGHT_TO_REFUSE => {
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

    /// A run ended with its server; `remote` if another router says so.
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

    /// A server has ended, whatever ran there.
    pub fn record_end(&mut self, start: Start, now: Duration) {
        if self.ended.iter().any(|(known, _)| *known == start) {
            return;
        }
        if self.ended.len() >= MAX_ENDED_SERVERS {
            self.ended.remove(0);
        }
        self.ended.push((start, now));
    }

    /// A run of a request got so many events; losses at earlier ones were not its fault.
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

    /// A request came to its end.
    pub fn completed(&mut self, fingerprint: Fingerprint, now: Duration) {
        self.completed.record(fingerprint, now);
        self.reached(fingerprint, u64::MAX);
    }

    /// Another router or an operator says that a request is not at fault.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::crash::{REFUSAL_TIME, List, Verdict};
    /// let (mut list, at) = (List::default(), Duration::from_secs);
    /// list.refuse(7, REFUSAL_TIME, 3, at(1), 0.0);
    /// list.clear(7, at(2));
    /// // A word of before that comes late changes nothing.
    /// list.refuse(7, REFUSAL_TIME, 3, at(3), 0.0);
    /// assert_eq!(list.verdict(7, at(3)), Verdict::Clear);
    /// ```
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Duration) {
        self.completed.record(fingerprint, now);
        if let Ok(at) = self.find(fingerprint) {
            self.records.remove(at);
        }
    }

    /// An operator lets a request run again; whether it was known.
    pub fn lift(&mut self, fingerprint: Fingerprint, now: Duration) -> bool {
        let known = self.find(fingerprint).is_ok();
        self.clear(fingerprint, now);
        self.cleared.extend(known.then_some((fingerprint, true)));
        known
    }

    /// Another router refuses a request for as long, as so many servers ended under it. As others hear that too, this one
    /// need not tell it for a while.
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

    /// What others have to know now. `jitter` is a random number below one, which keeps routers from telling the same at
    /// the same time.
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

    /// All suspects of more than one loss and all that is refused.
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

    /// Suspects that are known, and how many of them are refused.
    pub fn counts(&self, now: Duration) -> (usize, usize) {
        (self.records.len(), self.records.iter().filter(|r| r.is_refused(now)).count())
    }

    /// A verdict has run out: one more loss renews it.
    fn end_verdict(&mut self, at: usize) {
        let record = &mut self.records[at];
        record.refused_until = None;
        let more = record.losses.len().saturating_sub(MIN_LOSSES_TO_REFUSE - 1);
        record.losses.drain(..more);
    }

    /// Weight of a request's losses, first by what else may have ended the servers, then also by whom else.
    fn weigh(&self, at: usize) -> (f64, f64) {
        let record = &self.records[at];
        let grave: Vec<&Record> =
            self.records.iter().filter(|r| r.losses.len() >= MIN_LOSSES_TO_REFUSE).collect();
        let is_explained = |start: &Start| {
            grave.len() <= MAX_EXPLAINING_REQUESTS && grave.iter().any(|r| r.lost_at(start))
        };
        let (mut alone, mut guilty) = (0.0, 0.0);
        for (loss, _) in &record.losses {
            let others = self.ended.iter().filter(|(start, when)| {
                loss.at.abs_diff(*when) <= BULK_WINDOW
                    && !record.lost_at(start)
                    && !is_explained(start)
            });
            let others = others.count() as f64;
            let sharers = grave.iter().filter(|r| r.lost_at(&loss.start)).count().max(1);
            alone += 1.0 / (1.0 + others);
            guilty += 1.0 / (sharers as f64 + others);
        }
        (alone, guilty)
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.records.binary_search_by_key(&fingerprint, |r| r.fingerprint)
    }

    /// Place of a request's record, which is made if there is none.
    fn record_index(&mut self, fingerprint: Fingerprint, now: Duration) -> usize {
        if let Ok(at) = self.find(fingerprint) {
            return at;
        }
        if self.records.len() >= MAX_SUSPECTS {
            // A flood of suspects must not push out what is refused.
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
