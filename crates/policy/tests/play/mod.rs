//! Routers in virtual time that receive two logs through each other, with faults.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use policy::staleness::{Access, Check, Contact, Data, Limits, Role, access, limits, may_leave};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time in which a router that was left is avoided.
const SOURCE_BACKOFF: Duration = Duration::from_secs(4);

/// Time after which a read without an answer has failed.
const READ_ANSWER: Duration = Duration::from_millis(900);

/// Shortest and longest time that another router has to answer.
const ANSWER: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(800));

/// Time between two calls that keep a router's membership.
const RENEWAL: Duration = Duration::from_millis(1500);

/// Longest time until a router looks whether there is anything to do.
const MAX_SLEEP: Duration = Duration::from_millis(300);

pub type Id = usize;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The store refuses its calls.
    Refused,
    /// Its calls to the store have no answer.
    CutOff,
    /// Its process is gone, and has forgotten everything when it is back.
    Down,
    /// Its process stands still.
    Frozen,
    /// It does everything later.
    Slow(Duration),
}

/// A fault of one router that lasts for a while.
#[derive(Debug, Clone, Copy)]
pub struct Disruption {
    pub router: Id,
    pub fault: Fault,
    pub from: Duration,
    pub until: Duration,
}

/// Calls of one router that are closed before they are answered, from a moment on.
#[derive(Debug, Clone, Copy)]
pub struct Closed {
    pub router: Id,
    pub from: Duration,
    pub calls: u32,
}

/// A group of routers and its faults.
#[derive(Debug, Clone)]
pub struct Scene {
    pub routers: usize,
    /// Whether routers receive from a relay of their data centre, of which there are two.
    pub relayed: bool,
    pub in_force: Duration,
    /// By how much each router does everything later, as its VM is slow.
    pub lag: Duration,
    /// When the logs change.
    pub change: Duration,
    /// When the store answers nobody.
    pub away: Option<(Duration, Duration)>,
    pub disruptions: Vec<Disruption>,
    pub closed: Vec<Closed>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Source {
    Store,
    Reader(Id),
    Relay(Id),
}

/// What a router tells another one.
#[derive(Debug, Clone, Copy)]
struct Page {
    known: [Duration; 2],
    unavailable: bool,
    hops: u8,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Wake,
    ReadDone { log: usize, sent: Duration, ok: bool },
    CheckDone { sent: Duration, ok: bool },
    PollDone { from: Id, page: Option<Page> },
    AskDone { from: Id, page: Option<Page> },
}

#[derive(Debug, Clone, Default)]
struct Router {
    life: u32,
    /// When it looks next whether there is anything to do.
    wake: Option<Duration>,
    /// As of when each log is known.
    known: [Duration; 2],
    contact: Contact,
    check: Check,
    reported: Option<Duration>,
    answered_by: Option<Id>,
    hops: u8,
    avoided: Vec<(Id, Duration)>,
    silent_since: Option<Duration>,
    store_lost: bool,
    failures: u32,
    next_read: [Duration; 2],
    next_poll: Duration,
    next_renewal: Duration,
    next_ask: (Duration, Duration),
    reading: [bool; 2],
    checking: bool,
    polling: bool,
}

/// What came of a play.
#[derive(Debug, Default)]
pub struct Outcome {
    /// For each router, how long after the change it knew both logs; none if it did not.
    pub delays: Vec<Option<Duration>>,
    /// Reads of the store while it answered, and calls that it did not answer.
    pub reads: u32,
    pub failed_calls: u32,
    /// Reads within a second after the store answered again.
    pub reads_after_return: u32,
}

pub struct Play {
    scene: Scene,
    rng: Pcg64Mcg,
    now: Duration,
    routers: Vec<Router>,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: Vec<(Id, u32, Event)>,
    outcome: Outcome,
}

impl Play {
    /// Plays a scene up to a moment.
    pub fn run(scene: &Scene, seed: u64, until: Duration) -> Outcome {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let routers = (0..scene.routers).map(|_| Router {
            check: Check::new(rng.random()),
            next_poll: Duration::from_millis(rng.random_range(0..300)),
            next_renewal: Duration::from_millis(rng.random_range(0..1500)),
            next_read: [0; 2].map(|_: u64| Duration::from_millis(rng.random_range(0..500))),
            ..Router::default()
        });
        let routers: Vec<Router> = routers.collect();
        let outcome = Outcome { delays: vec![None; scene.routers], ..Outcome::default() };
        let (now, queue, events) = (Duration::ZERO, BinaryHeap::new(), Vec::new());
        let mut play = Play { scene: scene.clone(), rng, now, routers, queue, events, outcome };
        (0..scene.routers).for_each(|id| play.wake(id, Duration::ZERO));
        while let Some(Reverse((at, number))) = play.queue.pop()
            && at < until
        {
            play.now = at;
            let (id, life, event) = play.events[number as usize];
            play.handle(id, life, event);
        }
        play.outcome
    }

    fn push(&mut self, at: Duration, id: Id, event: Event) {
        self.events.push((id, self.routers[id].life, event));
        self.queue.push(Reverse((at, self.events.len() as u64 - 1)));
    }

    fn fault(&self, id: Id, matches: impl Fn(Fault) -> bool) -> Option<Disruption> {
        let now = self.now;
        let holds =
            |d: &&Disruption| d.router == id && d.from <= now && now < d.until && matches(d.fault);
        self.scene.disruptions.iter().find(holds).copied()
    }

    fn handle(&mut self, id: Id, life: u32, event: Event) {
        if life != self.routers[id].life {
            return;
        }
        if let Some(down) = self.fault(id, |fault| fault == Fault::Down) {
            // A process that starts again reads the store or asks another router first.
            let life = self.routers[id].life + 1;
            let check = self.routers[id].check;
            self.routers[id] = Router { life, check, known: [down.until; 2], ..Router::default() };
            return self.wake(id, down.until);
        }
        if let Some(frozen) = self.fault(id, |fault| fault == Fault::Frozen) {
            if matches!(event, Event::Wake) {
                self.routers[id].wake = Some(frozen.until);
            }
            return self.push(frozen.until, id, event);
        }
        match event {
            Event::Wake if self.routers[id].wake != Some(self.now) => return,
            Event::Wake => {}
            Event::ReadDone { log, sent, ok } => self.read_done(id, log, sent, ok),
            Event::CheckDone { sent, ok } => {
                self.routers[id].checking = false;
                self.called(id, sent, ok);
                self.store_heard(id, ok);
                let router = &mut self.routers[id];
                if ok && router.store_lost {
                    router.next_read = [self.now; 2];
                }
            }
            Event::PollDone { from, page } => {
                self.routers[id].polling = false;
                match page {
                    Some(page) => self.apply(id, from, page),
                    None => self.avoid(id, from),
                }
                let limits = self.limits(id);
                let pause = if self.is_late(id) { Duration::from_millis(100) } else { limits.poll };
                self.routers[id].next_poll = self.now + pause;
                self.look_elsewhere(id);
            }
            Event::AskDone { from, page } => {
                self.routers[id].polling = false;
                if let Some(page) = page {
                    self.asked(id, from, page);
                }
            }
        }
        self.step(id);
    }

    /// Returns where a router receives from, if one more router were avoided.
    fn source(&self, id: Id, without: Option<Id>) -> Source {
        let avoided = &self.routers[id].avoided;
        let usable = |other: &Id| {
            Some(*other) != without
                && !avoided.iter().any(|(a, until)| a == other && self.now < *until)
        };
        let reader = (0..self.scene.routers).find(usable);
        let relay = (0..self.scene.routers).find(|other| other % 2 == id % 2 && usable(other));
        match (reader, relay) {
            (None, _) => Source::Store,
            (Some(reader), _) if reader == id => Source::Store,
            (_, Some(relay)) if self.scene.relayed && relay != id => Source::Relay(relay),
            (Some(reader), _) => Source::Reader(reader),
        }
    }

    fn limits(&self, id: Id) -> Limits {
        let role = match self.source(id, None) {
            Source::Store => Role::Reader,
            Source::Reader(at) | Source::Relay(at) => {
                match (self.source(id, None), self.source(id, Some(at))) {
                    (_, Source::Store) => Role::Direct { next: true },
                    (Source::Relay(_), next) => {
                        Role::Relayed { next: !matches!(next, Source::Relay(_)) }
                    }
                    _ => Role::Direct { next: false },
                }
            }
        };
        limits(self.scene.in_force, role).delayed(self.lag(id) * 2)
    }

    fn lag(&self, id: Id) -> Duration {
        match self.fault(id, |fault| matches!(fault, Fault::Slow(_))) {
            Some(Disruption { fault: Fault::Slow(lag), .. }) => lag.max(self.scene.lag),
            _ => self.scene.lag,
        }
    }

    fn age(&self, id: Id) -> Duration {
        let oldest = self.routers[id].known.into_iter().min();
        self.now.saturating_sub(oldest.unwrap_or_default())
    }

    fn is_late(&self, id: Id) -> bool {
        self.age(id) > self.limits(id).source
    }

    fn data(&self, id: Id, read: Duration) -> Data {
        Data { read, reported: self.routers[id].reported }
    }

    /// Lets all tasks of a router do what is due, and wakes it for the next one.
    fn step(&mut self, id: Id) {
        let mut wake = self.now + MAX_SLEEP;
        for log in 0..2 {
            wake = wake.min(self.follow(id, log));
        }
        wake = wake.min(self.check(id)).min(self.poll(id));
        wake += self.lag(id);
        self.wake(id, wake.max(self.now + Duration::from_millis(1)));
    }

    /// Lets a router look at a moment whether there is anything to do.
    fn wake(&mut self, id: Id, at: Duration) {
        self.routers[id].wake = Some(at);
        self.push(at, id, Event::Wake);
    }

    fn follow(&mut self, id: Id, log: usize) -> Duration {
        let (limits, router) = (self.limits(id), &self.routers[id]);
        if router.reading[log] {
            return Duration::MAX;
        }
        let due = match self.source(id, None) {
            Source::Store => router.next_read[log],
            Source::Reader(from) | Source::Relay(from) => {
                let is_asked = router.answered_by == Some(from);
                let read = router.known[log];
                let old = read + limits.max_age(is_asked, router.reported.is_some());
                match access(&limits, &router.contact, self.data(id, read)) {
                    _ if self.now <= old => old + Duration::from_millis(1),
                    Access::Granted => self.now,
                    Access::From(at) => at,
                    Access::AfterCheck => Duration::MAX,
                }
            }
        };
        if due > self.now {
            return due;
        }
        self.routers[id].reading[log] = true;
        let (sent, (at, ok)) = (self.now, self.call(id, READ_ANSWER));
        self.outcome.reads += u32::from(ok);
        let returned = self.scene.away.map(|(_, until)| until);
        let is_soon = |at: Duration| at <= sent && sent < at + Duration::from_secs(1);
        self.outcome.reads_after_return += u32::from(returned.is_some_and(is_soon));
        self.push(at, id, Event::ReadDone { log, sent, ok });
        Duration::MAX
    }

    /// Sends a call to the store; returns when its outcome is known, and whether it is answered.
    fn call(&mut self, id: Id, limit: Duration) -> (Duration, bool) {
        let now = self.now;
        let is_away = self.scene.away.is_some_and(|(from, until)| from <= now && now < until);
        let cut = self.fault(id, |fault| matches!(fault, Fault::Refused | Fault::CutOff));
        let latency = Duration::from_millis(self.rng.random_range(4..20));
        let is_next =
            |closed: &&mut Closed| closed.router == id && closed.from <= now && closed.calls > 0;
        let (took, ok) = match (self.scene.closed.iter_mut().find(is_next), cut) {
            (Some(closed), _) => {
                closed.calls -= 1;
                (Duration::from_millis(1), false)
            }
            (None, Some(Disruption { fault: Fault::CutOff, .. })) => (limit, false),
            (None, Some(_)) => (latency, false),
            (None, None) => (latency, !is_away),
        };
        self.outcome.failed_calls += u32::from(!ok);
        (now + took, ok)
    }

    fn called(&mut self, id: Id, sent: Duration, ok: bool) {
        self.routers[id].contact.record(sent, self.now, ok);
    }

    fn read_done(&mut self, id: Id, log: usize, sent: Duration, ok: bool) {
        self.called(id, sent, ok);
        self.routers[id].reading[log] = false;
        let (limits, age) = (self.limits(id), self.age(id));
        if !ok {
            let router = &mut self.routers[id];
            router.store_lost = true;
            router.next_read[log] = self.now + limits.reader_pause(router.failures, age);
            router.failures += 1;
            return self.store_heard(id, false);
        }
        self.learn(id, log, sent);
        let was_lost = std::mem::take(&mut self.routers[id].store_lost);
        let router = &mut self.routers[id];
        (router.failures, router.next_read[log]) = (0, sent + limits.read);
        if was_lost {
            router.next_read = router.next_read.map(|at| at.min(sent + limits.read));
            self.store_heard(id, true);
        }
        match self.source(id, None) {
            Source::Reader(from) | Source::Relay(from) if limits.is_next_reader => {
                self.avoid(id, from);
            }
            _ => {}
        }
    }

    fn learn(&mut self, id: Id, log: usize, read: Duration) {
        let known = &mut self.routers[id].known;
        known[log] = known[log].max(read);
        let is_known = known.iter().all(|read| *read >= self.scene.change);
        if is_known && self.outcome.delays[id].is_none() {
            self.outcome.delays[id] = Some(self.now.saturating_sub(self.scene.change));
        }
    }

    /// Records whether the store has answered a check or a read after a failed one.
    fn store_heard(&mut self, id: Id, answered: bool) {
        let (now, router) = (self.now, &mut self.routers[id]);
        router.check.record(now, answered);
        match router.silent_since {
            Some(since) if answered => {
                router.avoided.retain(|(a, until)| *a != id && *until < since + SOURCE_BACKOFF);
                router.silent_since = None;
            }
            None if !answered => router.silent_since = Some(now),
            _ => {}
        }
        let avoids_own = router.avoided.iter().any(|(a, until)| *a == id && now < *until);
        if !answered && avoids_own {
            router.avoided.retain(|(a, _)| *a != id);
            router.avoided.push((id, now + SOURCE_BACKOFF));
        }
    }

    fn check(&mut self, id: Id) -> Duration {
        let (limits, router) = (self.limits(id), &self.routers[id]);
        if router.checking {
            return Duration::MAX;
        }
        let due = |read| router.check.due(&limits, &router.contact, self.data(id, read));
        let own = match self.source(id, None) {
            Source::Store => None,
            _ => router.known.into_iter().filter_map(due).min(),
        };
        let due = own.into_iter().chain(router.check.requested(&limits));
        let due = due.fold(router.next_renewal, Duration::min);
        if due > self.now {
            return due;
        }
        self.routers[id].checking = true;
        self.routers[id].next_renewal = self.now + RENEWAL;
        let (sent, (at, ok)) = (self.now, self.call(id, limits.check_answer));
        self.push(at, id, Event::CheckDone { sent, ok });
        Duration::MAX
    }

    fn poll(&mut self, id: Id) -> Duration {
        let router = &self.routers[id];
        if router.polling {
            return Duration::MAX;
        }
        if router.next_poll > self.now {
            return router.next_poll;
        }
        let left = self.limits(id).source.saturating_sub(self.age(id));
        match self.source(id, None) {
            Source::Store => {
                let wait = left.clamp(Duration::from_millis(100), MAX_SLEEP);
                self.routers[id].next_poll = self.now + wait;
                self.look_elsewhere(id);
                self.routers[id].next_poll
            }
            Source::Reader(from) | Source::Relay(from) => {
                self.routers[id].polling = true;
                let (at, page) = self.request(id, from, left.clamp(ANSWER.0, ANSWER.1));
                self.push(at, id, Event::PollDone { from, page });
                Duration::MAX
            }
        }
    }

    /// Asks another router; returns when the answer or its absence is known.
    fn request(&mut self, id: Id, other: Id, limit: Duration) -> (Duration, Option<Page>) {
        let transit = Duration::from_millis(self.rng.random_range(2..10));
        if self.fault(other, |fault| matches!(fault, Fault::Down | Fault::Frozen)).is_some() {
            return (self.now + limit, None);
        }
        let lag = self.lag(other);
        if transit + lag > limit {
            return (self.now + limit, None);
        }
        let (source, router) = (self.source(other, None), &self.routers[other]);
        let unavailable =
            router.store_lost || (router.reported.is_some() && source != Source::Store);
        let hops = if source == Source::Store { 0 } else { router.hops.saturating_add(1) };
        let known = router.known;
        if unavailable && self.reaches_store(id) {
            self.routers[other].check.request();
            self.wake(other, self.now + transit);
        }
        (self.now + transit + lag, Some(Page { known, unavailable, hops }))
    }

    /// Whether a router has heard from the store since its source has had fresh data.
    fn reaches_store(&self, id: Id) -> bool {
        let (limits, router) = (self.limits(id), &self.routers[id]);
        let read = router.known.into_iter().min().unwrap_or_default();
        (router.reported.is_some() || self.age(id) > limits.check)
            && access(&limits, &router.contact, self.data(id, read)) != Access::AfterCheck
    }

    fn look_elsewhere(&mut self, id: Id) {
        let (limits, (next, pause)) = (self.limits(id), self.routers[id].next_ask);
        if !self.is_late(id) {
            self.routers[id].next_ask = (Duration::ZERO, limits.ask.0);
            return;
        }
        let current = match self.source(id, None) {
            Source::Store => id,
            Source::Reader(from) | Source::Relay(from) => from,
        };
        let other = match self.source(id, Some(current)) {
            Source::Store => return,
            Source::Reader(other) | Source::Relay(other) => other,
        };
        if self.now < next || self.routers[id].polling {
            return;
        }
        self.routers[id].next_ask = (self.now + pause, (pause * 2).min(limits.ask.1));
        self.routers[id].polling = true;
        let (at, page) = self.request(id, other, ANSWER.0);
        self.push(at, id, Event::AskDone { from: other, page });
    }

    fn asked(&mut self, id: Id, other: Id, page: Page) {
        let age = self.now.saturating_sub(page.known.into_iter().min().unwrap_or_default());
        let is_fresh = !page.unavailable && age <= self.limits(id).source;
        if is_fresh && self.is_late(id) {
            match self.source(id, None) {
                Source::Store => self.avoid(id, id),
                Source::Reader(from) | Source::Relay(from) => self.avoid(id, from),
            }
            self.apply(id, other, page);
        }
    }

    fn apply(&mut self, id: Id, from: Id, page: Page) {
        (0..2).for_each(|log| self.learn(id, log, page.known[log]));
        let source = self.source(id, None);
        if source != Source::Reader(from) && source != Source::Relay(from) {
            return;
        }
        let (now, router) = (self.now, &mut self.routers[id]);
        (router.answered_by, router.hops) = (Some(from), page.hops);
        router.reported = page.unavailable.then(|| router.reported.unwrap_or(now));
        let (limits, oldest) = (self.limits(id), self.now - page.known.into_iter().min().unwrap());
        let read = self.routers[id].known.into_iter().min().unwrap_or_default();
        let needs_check = page.unavailable || self.age(id) > limits.check;
        let leaves = needs_check
            && may_leave(&limits, &self.routers[id].contact, self.data(id, read), self.now);
        let max_hops = u8::from(matches!(source, Source::Relay(_)));
        let is_cut_off = self.routers[id].avoided.iter().any(|(a, until)| *a == id && now < *until);
        match () {
            () if leaves && (page.unavailable || self.is_late(id)) => self.avoid(id, from),
            () if page.unavailable => self.routers[id].store_lost = true,
            () if oldest > limits.source => {}
            () if page.hops > max_hops && !is_cut_off => self.avoid(id, from),
            () => self.routers[id].store_lost = false,
        }
    }

    fn avoid(&mut self, id: Id, other: Id) {
        let (now, router) = (self.now, &mut self.routers[id]);
        router.avoided.retain(|(a, until)| now < *until && *a != other);
        router.avoided.push((other, now + SOURCE_BACKOFF));
        (router.reported, router.answered_by) = (None, None);
    }
}
