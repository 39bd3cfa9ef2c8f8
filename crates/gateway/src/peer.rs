//! What this router knows of one backend server, and its load there.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use layers::Span;
use policy::availability::{Obstacle, Register, Use};
use policy::breaks::{self, Tally};
use policy::departure::Departure;
use policy::fill;
use policy::meter::Meter;
use policy::pick::Pace;
use policy::quota::Sent;
use policy::slowness::Evidence;
use policy::suspicion::Suspicion;
use tokio::sync::Mutex;

use crate::limited::Limited;
use crate::pool::Pool;
use crate::server::{Report, Server, Stall, State};
use crate::shared_read::{self, Digest};
use crate::store::Offset;

/// Time for which layers that were reported as loaded take precedence over the server's own entry, which is written
/// every heartbeat and read every second.
const RECORDED_SPAN_VALIDITY: Duration = Duration::from_millis(3500);

/// Position and age of the known entry of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Its offset in the list.
    pub offset: Offset,
    /// When this router received it.
    pub received: Duration,
}

/// Result of a probe whether a server is alive.
#[derive(Debug, Clone)]
pub struct Probe {
    /// When it was answered or timed out.
    pub at: Duration,
    /// Time-out of the probe.
    pub limit: Duration,
    /// The server's report; `None` if there was no answer.
    pub report: Option<Report>,
}

/// Result of a check whether a silent server has ended or is cut off.
#[derive(Debug, Clone, Copy, Default)]
pub struct Reachability {
    /// When the check completed.
    pub at: Duration,
    /// Whether it has ended or is cut off.
    pub gone: bool,
}

/// A backend server: its entry, its connections, and what this router runs there.
#[derive(Debug)]
pub struct Peer {
    server: RefCell<Rc<Server>>,
    entry: Cell<Entry>,
    digest: Cell<Digest>,
    /// When this router first received an entry of this start of the server.
    first_seen: Cell<Duration>,
    /// Connections to it.
    pub pool: Pool,
    /// Whether it is suspected because it did not answer.
    pub suspicion: RefCell<Suspicion>,
    /// Whether it has declined requests lately, as it is draining or out of memory.
    pub declines: RefCell<Suspicion>,
    /// What starts of servers have asked of this router.
    availability: Rc<RefCell<Register>>,
    /// Whether it is believed to be leaving although the list does not say so.
    pub departure: RefCell<Departure>,
    /// Whether this router is checking that.
    pub checking_departure: Cell<bool>,
    /// Runs that it broke although it was alive.
    pub breaks: Cell<Tally>,
    /// Requests of all routers that ran or waited there according to its last report, and when that was received.
    pub reported_load: Cell<Option<(u32, Duration)>>,
    /// Times of its answers.
    pub pace: Cell<Pace>,
    /// Limit that it sets on the requests of all routers together.
    pub limited: Limited,
    /// Requests that this router sent there lately.
    pub sent: RefCell<Sent>,
    /// Requests of this router that run there.
    pub running: Cell<u32>,
    /// Bytes of context that requests of this router take there.
    pub context: Cell<f64>,
    /// Bytes of context of requests that this router lately sent there.
    pub sent_context: RefCell<fill::Sent>,
    /// Prompts that this router sent there and whose prefill is not done yet.
    pub prefill_backlog: Cell<Meter>,
    /// Factor by which its steps are slower than usual, as it reports.
    pub slowdown: Cell<f64>,
    /// Pauses of this router's streams through it.
    pub slowness: Cell<Evidence>,
    /// Fraction of its memory for requests that was in use according to its last report, and when that was received.
    pub filled: Cell<Option<(f64, Duration)>>,
    /// Result of the last probe. Locked during a probe, so that all tasks that need the result wait for one answer.
    pub last_probe: Mutex<Probe>,
    /// Result of the last check whether it has ended or is cut off. Locked during the check.
    pub reachability: Mutex<Reachability>,
    /// When it last broke a run of any router although it was alive.
    pub last_break: Cell<Option<Duration>>,
    /// When an event last came along a path through it.
    pub last_event_at: Cell<Duration>,
    /// When another router last reported that it does not answer.
    pub reported_silent: Cell<Option<Duration>>,
    /// Whether this router is verifying such a report.
    pub verifying: Cell<bool>,
    /// Requests that wait for a later server of their path, according to its last report.
    pub stalled: RefCell<Vec<Stall>>,
    recorded_span: Cell<Option<(Span, Duration)>>,
    grace_end: Cell<Option<Duration>>,
}

impl Peer {
    /// Creates a server that has just appeared on the list. `availability` outlasts its entry.
    pub fn new(server: Server, entry: Entry, availability: Rc<RefCell<Register>>) -> Peer {
        Peer {
            pool: Pool::new(server.address),
            entry: Cell::new(entry),
            digest: Cell::new(shared_read::digest(&server)),
            first_seen: Cell::new(entry.received),
            server: RefCell::new(Rc::new(server)),
            suspicion: RefCell::default(),
            declines: RefCell::default(),
            availability,
            departure: RefCell::default(),
            checking_departure: Cell::new(false),
            breaks: Cell::default(),
            reported_load: Cell::new(None),
            pace: Cell::default(),
            limited: Limited::default(),
            sent: RefCell::default(),
            running: Cell::new(0),
            context: Cell::new(0.0),
            sent_context: RefCell::default(),
            prefill_backlog: Cell::default(),
            slowdown: Cell::new(1.0),
            slowness: Cell::default(),
            filled: Cell::new(None),
            last_probe: Mutex::new(Probe {
                at: Duration::ZERO,
                limit: Duration::ZERO,
                report: Some(Report::default()),
            }),
            reachability: Mutex::default(),
            last_break: Cell::new(None),
            last_event_at: Cell::default(),
            reported_silent: Cell::new(None),
            verifying: Cell::new(false),
            stalled: RefCell::default(),
            recorded_span: Cell::new(None),
            grace_end: Cell::new(None),
        }
    }

    /// Returns its entry on the list.
    pub fn server(&self) -> Rc<Server> {
        self.server.borrow().clone()
    }

    /// Returns the position and age of that entry.
    pub fn entry(&self) -> Entry {
        self.entry.get()
    }

    /// Returns when this router first received an entry of this start of the server.
    pub fn first_seen(&self) -> Duration {
        self.first_seen.get()
    }

    /// Returns the digest of its entry.
    pub fn digest(&self) -> Digest {
        self.digest.get()
    }

    /// Replaces its entry by a newer one.
    pub fn update(&self, server: Server, entry: Entry) {
        self.grace_end.set(None);
        self.entry.set(entry);
        self.digest.set(shared_read::digest(&server));
        if self.server.borrow().born != server.born {
            // The state of the previous start does not apply to a new one.
            self.first_seen.set(entry.received);
            self.recorded_span.set(None);
            self.suspicion.borrow_mut().clear();
            self.departure.take();
            self.slowdown.set(1.0);
            self.slowness.take();
            self.filled.set(None);
            self.limited.clear();
            self.breaks.take();
            self.last_break.set(None);
        }
        *self.server.borrow_mut() = Rc::new(server);
    }

    /// Returns the layers that it holds. Without a later entry, those that it reported itself: while the store is
    /// unavailable, the entry of a server that has restarted still lists its former layers.
    pub fn span(&self, now: Duration) -> Span {
        match self.recorded_span.get() {
            Some((span, at))
                if now < at + RECORDED_SPAN_VALIDITY || self.entry.get().received < at =>
            {
                span
            }
            _ => self.server.borrow().span,
        }
    }

    /// Records layers that it holds according to information newer than its entry.
    pub fn record_span(&self, span: Span, now: Duration) {
        self.recorded_span.set(Some((span, now)));
    }

    /// Records that its entry has expired although it may be alive; it is treated as gone from `until` on.
    pub fn expire(&self, until: Duration) {
        if self.grace_end.get().is_none() {
            self.grace_end.set(Some(until));
        }
    }

    /// Whether its entry has expired although it may be alive.
    pub fn is_expired(&self) -> bool {
        self.grace_end.get().is_some()
    }

    /// Whether its entry expired and was not renewed within the grace period.
    pub fn is_grace_over(&self, now: Duration) -> bool {
        self.grace_end.get().is_some_and(|until| until <= now)
    }

    /// Whether it is listed as taking new requests.
    pub fn ready(&self) -> bool {
        self.server.borrow().state == State::Ready
    }

    /// Returns why it wants no request now; none if it accepts one.
    pub fn obstacle(&self, how: Use, now: Duration) -> Option<Obstacle> {
        let server = self.server.borrow();
        self.availability.borrow().obstacle(&server.id, server.born, how, now)
    }

    /// Returns when the backoff ends that it has asked for; none if that has passed.
    pub fn backoff_end(&self, now: Duration) -> Option<Duration> {
        let server = self.server.borrow();
        self.availability.borrow().backoff_end(&server.id, server.born, Use::Direct, now)
    }

    /// Returns the length of the backoff that it has asked for; none if that has passed.
    pub fn backoff_length(&self, now: Duration) -> Option<Duration> {
        let server = self.server.borrow();
        self.availability.borrow().backoff_length(&server.id, server.born, now)
    }

    /// Whether it said that it is leaving.
    pub fn says_leaving(&self) -> bool {
        let server = self.server.borrow();
        self.availability.borrow().is_leaving(&server.id, server.born)
    }

    /// Whether it is listed as ready, and neither said that it is leaving nor is believed to be.
    pub fn stays(&self, now: Duration) -> bool {
        self.ready() && !self.says_leaving() && !self.departure.borrow().holds(now)
    }

    /// Whether it takes new requests and is not suspected.
    pub fn usable(&self, now: Duration) -> bool {
        self.stays(now) && !self.suspicion.borrow().holds(now)
    }

    /// Whether the placement of layers treats it as dead: it failed to answer, and has not answered since. A report of
    /// another router counts only after this router has probed the server itself.
    pub fn counts_as_dead(&self) -> bool {
        self.suspicion.borrow().is_unresolved() && !self.verifying.get()
    }

    /// Whether it is usable and has not just declined a request.
    pub fn accepts_requests(&self, now: Duration) -> bool {
        self.accepts_paths(now) && !self.declines.borrow().holds(now)
    }

    /// Whether it is usable and wants requests along paths through it.
    pub fn accepts_paths(&self, now: Duration) -> bool {
        self.usable(now) && self.obstacle(Use::Path, now).is_none()
    }

    /// Records that it did not answer; true if it was not suspected before.
    pub fn record_failure(&self, now: Duration) -> bool {
        let newly_suspected = !self.suspicion.borrow().holds(now);
        self.suspicion.borrow_mut().record_failure(now);
        newly_suspected
    }

    /// Counts a run of this router that it broke although it is alive; true if it is avoided from now on and was not
    /// before.
    pub fn count_break(&self, now: Duration) -> bool {
        let mut breaks = self.breaks.get();
        let passed_over = breaks.record_broken_run(now) && !self.declines.borrow().holds(now);
        self.breaks.set(breaks);
        if passed_over {
            self.declines.borrow_mut().record_failure(now);
        }
        passed_over
    }

    /// Records that it broke a run of any router; true if the other routers need to be notified.
    pub fn record_break(&self, now: Duration) -> bool {
        let known = self.last_break.replace(Some(now));
        known.is_none_or(|at| now >= at + breaks::NOTICE_INTERVAL)
    }

    /// Whether it has just broken a run of any router.
    pub fn broke_recently(&self, now: Duration) -> bool {
        self.last_break.get().is_some_and(|at| now < at + breaks::RETRY_AVOIDANCE)
    }

    /// Counts a run that continued there, which offsets a broken one.
    pub fn count_continued(&self) {
        let mut breaks = self.breaks.get();
        breaks.record_sound_run();
        self.breaks.set(breaks);
    }

    /// Records an answer that took `took`. An error may come sooner than any result, so it never makes the server look
    /// faster.
    pub fn record_answer(&self, took: Duration, is_error: bool) {
        self.suspicion.borrow_mut().clear();
        let mut pace = self.pace.get();
        let ms = took.as_secs_f64() * 1e3;
        pace.add(if is_error { ms.max(pace.mean()) } else { ms });
        self.pace.set(pace);
    }
}

/// Load of one request at one server, released when dropped.
#[derive(Debug)]
pub struct Load {
    peer: Rc<Peer>,
    bytes: f64,
}

impl Load {
    /// Adds a request with `bytes` of context.
    pub fn new(peer: Rc<Peer>, bytes: f64) -> Load {
        peer.running.set(peer.running.get() + 1);
        peer.context.set(peer.context.get() + bytes);
        Load { peer, bytes }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.peer.running.set(self.peer.running.get() - 1);
        self.peer.context.set(self.peer.context.get() - self.bytes);
    }
}
