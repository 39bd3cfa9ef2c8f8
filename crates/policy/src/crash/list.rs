//! Decides on requests by the losses of their contents and parts.

use std::time::Duration;

use super::outbox::{FAST_RESENDS, Outbox};
use super::recent::Recent;
use super::record::{Record, find};
use super::weight::{Ended, Weight, weigh};
use super::{
    Cleared, Entry, Fingerprint, Kind, Loss, Lost, MAX_SUSPECTS, MIN_LOSSES_TO_REFUSE,
    MIN_LOSSES_TO_SUSPECT, MIN_WEIGHT_TO_ISOLATE, MIN_WEIGHT_TO_REFUSE, PROOF_LIFETIME, Part,
    REFUSAL_TIME, RESEND_INTERVAL, Refusal, Request, Start, Update, Verdict,
};

/// Weight of losses from which on a suspect is held back while another router tries it: one loss, at a time at which no
/// other server ended.
const MIN_WEIGHT_TO_HOLD: f64 = 0.75;

/// Time after a loss for which other routers than the one that had it hold the suspect back. In this time a run begins
/// on another server, ends with it, and the others are notified.
const HOLD_TIME: Duration = Duration::from_millis(400);

/// Time for which a loss counts. It is longer than a verdict, so that one more loss after its end is enough.
const LOSS_LIFETIME: Duration = Duration::from_secs(2 * 600);

/// Time for which suspects are not sent while they can't be told apart. Those that are not at fault get past their
/// losses meanwhile.
const UNDECIDED_PAUSE: Duration = Duration::from_secs(1);

/// Shortest time for which a completed request and a cleared suspect are remembered: losses that are reported later are
/// not their own.
const COMPLETION_LIFETIME: Duration = Duration::from_secs(5);

/// Largest number of parts for which the last answers speak, in half of that time.
const MAX_PROOFS: usize = 4096;

/// Suspects, and what is refused.
#[derive(Debug)]
pub struct List {
    /// Sorted by fingerprint.
    records: Vec<Record>,
    ended: Ended,
    /// Contents that completed, and suspects that were cleared.
    cleared: Recent,
    /// Parts on which answers began.
    proven: Recent,
    outbox: Outbox,
    hold_time: Duration,
}

impl Default for List {
    fn default() -> List {
        List::new(0.5)
    }
}

impl List {
    /// Creates an empty list. `jitter` is a random number below one, which keeps routers from trying the same suspect at
    /// the same time.
    pub fn new(jitter: f64) -> List {
        List {
            records: Vec::new(),
            ended: Ended::default(),
            cleared: Recent::new(COMPLETION_LIFETIME, MAX_SUSPECTS),
            proven: Recent::new(PROOF_LIFETIME, MAX_PROOFS),
            outbox: Outbox::default(),
            hold_time: HOLD_TIME.mul_f64(0.75 + 0.5 * jitter),
        }
    }

    /// Returns what may be done with a request.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::crash::{List, Loss, Part, Request, Start, Verdict};
    /// let (mut list, at) = (List::default(), Duration::from_secs);
    /// let loss = |n| Loss { start: Start { id: format!("vm-{n}"), born: 1 }, at: at(n), events: 0 };
    /// let request = |content| Request { content, parts: &[Part { fingerprint: 1, id: 2 }] };
    /// list.record_loss(request(7), loss(1), false);
    /// assert_eq!(list.verdict(request(7), at(1)), Verdict::Clear);
    /// list.record_loss(request(8), loss(2), false);
    /// assert_eq!(list.verdict(request(9), at(2)), Verdict::Alone);
    /// list.record_loss(request(9), loss(3), false);
    /// // Another request with the part that all of them had.
    /// assert!(matches!(list.verdict(request(10), at(3)), Verdict::Refused { .. }));
    /// ```
    pub fn verdict(&mut self, request: Request<'_>, now: Duration) -> Verdict {
        let mut strictest = self.judge(request, request.content, now);
        for part in request.parts {
            strictest = strictest.max(self.judge(request, part.fingerprint, now));
        }
        strictest
    }

    /// Whether a request that may not be sent is at fault only for a part of its prompt.
    pub fn is_for_part(&mut self, request: Request<'_>, now: Duration) -> bool {
        self.judge(request, request.content, now) <= Verdict::Alone
    }

    /// Returns what may be done with a request because of one suspect that it has.
    fn judge(&mut self, request: Request<'_>, suspect: Fingerprint, now: Duration) -> Verdict {
        match self.verdict_on(suspect, now) {
            Verdict::Refused { .. } | Verdict::Later { .. } if !self.has_all(request, suspect) => {
                self.isolated(suspect, now)
            }
            Verdict::Later { .. } if self.has_alternative(request, suspect) => {
                self.isolated(suspect, now)
            }
            verdict => verdict,
        }
    }

    /// Returns the verdict on a suspect that one request at a time may try.
    fn isolated(&self, suspect: Fingerprint, now: Duration) -> Verdict {
        let left = self.find(suspect).ok().and_then(|at| self.hold_left(&self.records[at], now));
        left.map_or(Verdict::Alone, |left| Verdict::Held { left })
    }

    /// Returns the time for which a suspect is still held back, if another router had its last loss.
    fn hold_left(&self, record: &Record, now: Duration) -> Option<Duration> {
        let until = record.last() + self.hold_time;
        (record.lost_elsewhere && now < until).then(|| until - now)
    }

    /// Whether a part that a request lacks shares losses with a part that it has. The request tells the two apart.
    fn has_alternative(&self, request: Request<'_>, suspect: Fingerprint) -> bool {
        let Ok(at) = self.find(suspect) else { return false };
        let record = &self.records[at];
        record.kind.is_part()
            && self.records.iter().any(|other| {
                other.kind.is_part()
                    && other.losses.len() >= MIN_LOSSES_TO_SUSPECT
                    && !request.has(other.fingerprint)
                    && other.losses.iter().any(|loss| record.lost_at(&loss.start))
            })
    }

    /// Whether a request has all other suspects that were lost each time that this one was. A part that was lost in other
    /// workspaces as well was lost with more than one content.
    fn has_all(&self, request: Request<'_>, suspect: Fingerprint) -> bool {
        let Ok(at) = self.find(suspect) else { return true };
        let record = &self.records[at];
        let is_elsewhere = |r: &Record| {
            r.kind == record.kind
                && r.fingerprint != suspect
                && r.losses.len() >= MIN_LOSSES_TO_SUSPECT
        };
        let several_contents = record.kind.is_part() && self.records.iter().any(is_elsewhere);
        record.companions().iter().all(|companion| match self.find(*companion) {
            _ if request.has(*companion) => true,
            Ok(at) => several_contents && !self.records[at].kind.is_part(),
            Err(_) => true,
        })
    }

    fn verdict_on(&mut self, suspect: Fingerprint, now: Duration) -> Verdict {
        let Ok(at) = self.find(suspect) else { return Verdict::Clear };
        if let Some(until) = self.records[at].refused_until {
            match now < until {
                true if self.is_explained(at) => {
                    self.remove_cleared(suspect);
                    return Verdict::Clear;
                }
                true => return Verdict::Refused { left: until - now },
                false => self.end_verdict(at),
            }
        }
        let record = &mut self.records[at];
        record.losses.retain(|loss| now < loss.at + LOSS_LIFETIME);
        let (losses, last) = (record.losses.len(), record.last());
        let hold_left = self.hold_left(&self.records[at], now);
        // Most suspects have one loss of this router, which never decides anything.
        if losses == 0 || losses < MIN_LOSSES_TO_SUSPECT && hold_left.is_none() {
            return Verdict::Clear;
        }
        let weight = weigh(&self.records[at], &self.records, &self.ended);
        let (enough, enough_weight) = match self.is_refused_elsewhere(at, now) {
            true => (MIN_LOSSES_TO_SUSPECT, MIN_WEIGHT_TO_ISOLATE),
            false => (MIN_LOSSES_TO_REFUSE, MIN_WEIGHT_TO_REFUSE),
        };
        match () {
            () if losses >= enough && weight.refuse >= enough_weight => {
                let record = &mut self.records[at];
                (record.refused_until, record.resend_at, record.resends) =
                    (Some(now + REFUSAL_TIME), now, 0);
                Verdict::Refused { left: REFUSAL_TIME }
            }
            () if losses >= MIN_LOSSES_TO_REFUSE
                && weight.isolate >= MIN_WEIGHT_TO_ISOLATE
                && now < last + UNDECIDED_PAUSE =>
            {
                Verdict::Later { left: last + UNDECIDED_PAUSE - now }
            }
            () if weight.isolate >= MIN_WEIGHT_TO_HOLD && hold_left.is_some() => {
                self.isolated(suspect, now)
            }
            () if losses >= MIN_LOSSES_TO_SUSPECT && weight.isolate >= MIN_WEIGHT_TO_ISOLATE => {
                Verdict::Alone
            }
            () => Verdict::Clear,
        }
    }

    /// Whether a part is refused in another workspace. One loss less is then enough here: a workspace can't have the
    /// parts of another one refused, but it can warn of them.
    fn is_refused_elsewhere(&self, at: usize, now: Duration) -> bool {
        let kind = self.records[at].kind;
        kind.is_part() && self.records.iter().any(|r| r.kind == kind && r.is_refused(now))
    }

    /// Whether a part that was found to be at fault later explains all losses of a refused content.
    fn is_explained(&self, at: usize) -> bool {
        let record = &self.records[at];
        let weight = || weigh(record, &self.records, &self.ended);
        record.kind == Kind::Content && !record.losses.is_empty() && weight() == Weight::default()
    }

    /// Records a run that ended with its server; `remote` if another router reported it. Parts count only if no event
    /// had been received.
    pub fn record_loss(&mut self, request: Request<'_>, loss: Loss, remote: bool) {
        let now = loss.at;
        self.ended.record(loss.start.clone(), now);
        let mut parts = Vec::new();
        for part in request.parts.iter().copied().filter(|_| loss.events == 0) {
            let fingerprint = part.fingerprint;
            match self.proven.holds(fingerprint, now) {
                false if !self.cleared.holds(fingerprint, now) => parts.push(part),
                true if remote => self.outbox.add_answer(Cleared { fingerprint, refused: false }),
                _ => {}
            }
        }
        let content = (!self.cleared.holds(request.content, now)).then_some(request.content);
        let content = content.map(|content| (content, Kind::Content));
        let of_part = |part: &Part| (part.fingerprint, Kind::Part { id: part.id });
        let suspects: Vec<(Fingerprint, Kind)> =
            content.into_iter().chain(parts.iter().map(of_part)).collect();
        for (suspect, kind) in &suspects {
            let others: Vec<Fingerprint> =
                suspects.iter().map(|(other, _)| *other).filter(|other| other != suspect).collect();
            let at = self.record_index(*suspect, *kind, now);
            self.records[at].add(&loss, remote);
            self.records[at].restrict_companions(&others, now);
        }
        if !remote && !suspects.is_empty() {
            self.outbox.add_lost(Lost { content: request.content, parts, loss });
        }
    }

    /// Records the end of a server, whatever ran there.
    pub fn record_end(&mut self, start: Start, now: Duration) {
        self.ended.record(start, now);
    }

    /// Records that a run of a request got `events` events. Losses at earlier events were not its fault, nor that of
    /// the parts of its prompt.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::crash::{List, Loss, Request, Start, Verdict};
    /// let (mut list, at) = (List::default(), Duration::from_secs);
    /// let request = Request { content: 7, parts: &[] };
    /// let loss = |n| Loss { start: Start { id: format!("vm-{n}"), born: 1 }, at: at(n), events: 4 };
    /// (1..4).for_each(|n| list.record_loss(request, loss(n), false));
    /// list.reached(request, 4, at(4));
    /// assert!(matches!(list.verdict(request, at(4)), Verdict::Refused { .. }));
    /// list.reached(request, 5, at(4));
    /// assert_eq!(list.verdict(request, at(4)), Verdict::Clear);
    /// ```
    pub fn reached(&mut self, request: Request<'_>, events: u64, now: Duration) {
        for part in request.parts.iter().filter(|_| events > 0) {
            self.proven.record(part.fingerprint, now);
            self.remove_cleared(part.fingerprint);
        }
        let Ok(at) = self.find(request.content) else { return };
        let record = &mut self.records[at];
        let before = record.losses.len();
        record.losses.retain(|loss| loss.events >= events);
        // Losses of a refused content may be known only to other routers.
        let is_past_all = before > 0 || events == u64::MAX;
        if record.losses.is_empty() && is_past_all {
            self.remove_cleared(request.content);
        }
    }

    /// Records that a request completed.
    pub fn completed(&mut self, request: Request<'_>, now: Duration) {
        self.cleared.record(request.content, now);
        self.reached(request, u64::MAX, now);
    }

    /// Removes a suspect that is not at fault, and notifies the routers that suspect it.
    fn remove_cleared(&mut self, fingerprint: Fingerprint) {
        let Ok(at) = self.find(fingerprint) else { return };
        let record = self.records.remove(at);
        let refused = record.refused_until.is_some();
        if refused || record.known_elsewhere {
            self.outbox.add_cleared(Cleared { fingerprint, refused });
        }
    }

    /// Clears a suspect that is not at fault, as another router or an operator reports.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::crash::{Kind, List, REFUSAL_TIME, Refusal, Request, Verdict};
    /// let (mut list, at) = (List::default(), Duration::from_secs);
    /// let refusal = Refusal {
    ///     fingerprint: 7,
    ///     kind: Kind::Content,
    ///     companions: Vec::new(),
    ///     left: REFUSAL_TIME,
    ///     servers: 3,
    /// };
    /// list.refuse(&refusal, at(1), 0.0);
    /// list.clear(7, at(2));
    /// // A refusal from before that arrives late changes nothing.
    /// list.refuse(&refusal, at(3), 0.0);
    /// assert_eq!(list.verdict(Request { content: 7, parts: &[] }, at(3)), Verdict::Clear);
    /// ```
    pub fn clear(&mut self, fingerprint: Fingerprint, now: Duration) {
        self.cleared.record(fingerprint, now);
        self.outbox.drop_answer(fingerprint);
        if let Ok(at) = self.find(fingerprint) {
            self.records.remove(at);
        }
    }

    /// Allows a suspect to run again by order of an operator; returns whether it was known.
    pub fn lift(&mut self, fingerprint: Fingerprint, now: Duration) -> bool {
        let known = self.find(fingerprint).is_ok();
        self.clear(fingerprint, now);
        if known {
            self.outbox.add_cleared(Cleared { fingerprint, refused: true });
        }
        known
    }

    /// Refuses a suspect as another router does. The other routers receive that refusal too, so this one need not send
    /// it for a while.
    pub fn refuse(&mut self, refusal: &Refusal, now: Duration, jitter: f64) {
        let fingerprint = refusal.fingerprint;
        if refusal.left.is_zero() || self.cleared.holds(fingerprint, now) {
            return;
        }
        if self.proven.holds(fingerprint, now) {
            return self.outbox.add_answer(Cleared { fingerprint, refused: true });
        }
        let at = self.record_index(fingerprint, refusal.kind, now);
        let record = &mut self.records[at];
        let left = refusal.left.min(REFUSAL_TIME);
        let until = (now + left).max(record.refused_until.unwrap_or_default());
        record.restrict_companions(&refusal.companions, now);
        (record.refused_until, record.servers) = (Some(until), record.servers.max(refusal.servers));
        (record.resend_at, record.resends) =
            (now + RESEND_INTERVAL.mul_f64(1.0 + jitter), FAST_RESENDS);
    }

    /// Returns what other routers have to be notified of now. `jitter` is a random number below one, which keeps
    /// routers from sending the same at the same time.
    pub fn take_update(&mut self, now: Duration, jitter: f64) -> Update {
        let counts = |r: &Record| !r.losses.is_empty() && now < r.last() + LOSS_LIFETIME;
        self.records.retain(|r| r.is_refused(now) || counts(r));
        self.outbox.take(&mut self.records, now, jitter)
    }

    /// Returns all suspects of more than one loss and all that are refused.
    pub fn entries(&mut self, now: Duration) -> Vec<Entry> {
        let known = self
            .records
            .iter()
            .filter(|r| r.is_refused(now) || r.losses.len() >= MIN_LOSSES_TO_SUSPECT);
        let known: Vec<Record> = known.cloned().collect();
        let entry = |record: Record| Entry {
            fingerprint: record.fingerprint,
            kind: record.kind,
            companions: self.suspected_companions(&record),
            verdict: self.verdict_on(record.fingerprint, now),
            servers: record.servers,
            last: record.losses.last().cloned(),
        };
        known.into_iter().map(entry).collect()
    }

    fn suspected_companions(&self, record: &Record) -> Vec<Fingerprint> {
        let is_suspect = |companion: &&Fingerprint| self.find(**companion).is_ok();
        record.companions().iter().filter(is_suspect).copied().collect()
    }

    /// Returns the number of contents or parts that are suspects, and how many of them are refused.
    pub fn counts(&self, parts: bool, now: Duration) -> (usize, usize) {
        let all = || self.records.iter().filter(|r| r.kind.is_part() == parts);
        (all().count(), all().filter(|r| r.is_refused(now)).count())
    }

    /// Whether nothing is suspected and no other router waits for a notice.
    pub fn is_idle(&self) -> bool {
        self.records.is_empty() && self.outbox.is_empty()
    }

    /// Ends a verdict whose time is over: one more loss renews it.
    fn end_verdict(&mut self, at: usize) {
        let record = &mut self.records[at];
        record.refused_until = None;
        let more = record.losses.len().saturating_sub(MIN_LOSSES_TO_REFUSE - 1);
        record.losses.drain(..more);
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        find(&self.records, fingerprint)
    }

    /// Returns the index of a suspect's record, which is added if there is none.
    fn record_index(&mut self, fingerprint: Fingerprint, kind: Kind, now: Duration) -> usize {
        if let Ok(at) = self.find(fingerprint) {
            return at;
        }
        if self.records.len() >= MAX_SUSPECTS {
            // A flood of suspects must not evict refused ones.
            let place =
                |i: &usize| (self.records[*i].is_refused(now), self.records[*i].losses.len());
            let least = (0..self.records.len()).min_by_key(|i| (place(i), self.records[*i].last()));
            least.map(|i| self.records.remove(i));
        }
        let at = self.find(fingerprint).unwrap_or_else(|at| at);
        self.records.insert(at, Record::new(fingerprint, kind));
        at
    }
}
