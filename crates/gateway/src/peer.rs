//! One backend server as this router knows it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use layers::Span;
use policy::breaks::{self, Tally};
use policy::fill;
use policy::meter::Meter;
use policy::pick::Pace;
use policy::quota::Sent;
use policy::suspicion::Suspicion;
use tokio::sync::Mutex;

use crate::limited::Limited;
use crate::pool::Pool;
use crate::server::{Server, Stall, State};
use crate::shared_read::{self, Digest};
use crate::store::Offset;

/// How long a notice of layers that were just loaded goes before the server's own entry, which is
/// written every heartbeat and read every second.
const RECORDED_SPAN_VALIDITY: Duration = Duration::from_millis(3500);

/// Which entry of a server is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Its offset in the list.
    pub offset: Offset,
    /// When this router heard of it.
    pub received: Duration,
}

/// What came of a question whether a server lives.
#[derive(Debug, Clone, Copy)]
pub struct Probe {
    /// When it was answered or given up.
    pub at: Duration,
    /// Time that the server got to answer.
    pub limit: Duration,
    /// When the start of the server that answered began, nought if it does not say; none if nothing answered.
    pub start: Option<u64>,
}

/// What came of looking whether a silent server is gone.
#[derive(Debug, Clone, Copy, Default)]
pub struct Reachability {
    /// When that was known.
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
    /// When this router first heard of this start of it.
    first_seen: Cell<Duration>,
    /// Connections to it.
    pub pool: Pool,
    /// Whether it answers.
    pub suspicion: RefCell<Suspicion>,
    /// Whether it declines requests: it is leaving, or out of memory.
    pub declines: RefCell<Suspicion>,
    /// Runs that it broke off while it lived.
    pub breaks: Cell<Tally>,
    /// Requests of all routers that ran or waited there, as it last told, and when.
    pub reported_load: Cell<Option<(u32, Duration)>>,
    /// Times of its answers.
    pub pace: Cell<Pace>,
    /// The limit that it names for all routers together.
    pub limited: Limited,
    /// Requests that this router sent there lately.
    pub sent: RefCell<Sent>,
    /// Requests of this router that run there.
    pub running: Cell<u32>,
    /// Bytes of context that requests of this router take there.
    pub context: Cell<f64>,
    /// Bytes of context of requests that this router lately began there.
    pub sent_context: RefCell<fill::Sent>,
    /// Prompts that this router sent there and that are not read yet.
    pub prefill_backlog: Cell<Meter>,
    /// Factor on the time of its steps, as it reports.
    pub slowdown: Cell<f64>,
    /// Part of its memory for requests that was taken when it was last asked, and when that was heard.
    pub filled: Cell<Option<(f64, Duration)>>,
    /// What came when it was last asked whether it lives. Held while it is asked, so that all who want to know wait for
    /// one answer.
    pub last_probe: Mutex<Probe>,
    /// Whether it was gone when that was last looked into. Held meanwhile.
    pub reachability: Mutex<Reachability>,
    /// When it last broke a run off though it lived, at any router.
    pub last_break: Cell<Option<Duration>>,
    /// When an event last came along a path through it.
    pub last_event_at: Cell<Duration>,
    /// When another router last said that it does not answer.
    pub reported_silent: Cell<Option<Duration>>,
    /// Whether it is being asked if that is so.
    pub verifying: Cell<bool>,
    /// Requests that it last reported to wait for a server further on.
    pub stalled: RefCell<Vec<Stall>>,
    fresh: Cell<Option<(Span, Duration)>>,
    grace_end: Cell<Option<Duration>>,
}

impl Peer {
    /// A server that has just appeared on the list.
    pub fn new(server: Server, entry: Entry) -> Peer {
        Peer {
            pool: Pool::new(server.address),
            entry: Cell::new(entry),
            digest: Cell::new(shared_read::digest(&server)),
            first_seen: Cell::new(entry.received),
            server: RefCell::new(Rc::new(server)),
            suspicion: RefCell::default(),
            declines: RefCell::default(),
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
            filled: Cell::new(None),
            last_probe: Mutex::new(Probe {
                at: Duration::ZERO,
                limit: Duration::ZERO,
                start: Some(0),
            }),
            reachability: Mutex::default(),
            last_break: Cell::new(None),
            last_event_at: Cell::default(),
            reported_silent: Cell::new(None),
            verifying: Cell::new(false),
            stalled: RefCell::default(),
            fresh: Cell::new(None),
            grace_end: Cell::new(None),
        }
    }

    /// Its entry.
    pub fn server(&self) -> Rc<Server> {
        self.server.borrow().clone()
    }

    /// Which entry that is.
    pub fn entry(&self) -> Entry {
        self.entry.get()
    }

    /// When this router first heard of this start of it.
    pub fn first_seen(&self) -> Duration {
        self.first_seen.get()
    }

    /// Digest of its entry.
    pub fn digest(&self) -> Digest {
        self.digest.get()
    }

    /// Takes a new entry over.
    pub fn update(&self, server: Server, entry: Entry) {
        self.grace_end.set(None);
        self.entry.set(entry);
        self.digest.set(shared_read::digest(&server));
        if self.server.borrow().born != server.born {
            // A new start holds nothing of before.
            self.first_seen.set(entry.received);
            self.fresh.set(None);
            self.suspicion.borrow_mut().clear();
            self.slowdown.set(1.0);
            self.filled.set(None);
            self.limited.clear();
            self.breaks.take();
            self.last_break.set(None);
        }
        *self.server.borrow_mut() = Rc::new(server);
    }

    /// The layers it holds.
    pub fn span(&self, now: Duration) -> Span {
        match self.fresh.get() {
            Some((span, at)) if now < at + RECORDED_SPAN_VALIDITY => span,
            _ => self.server.borrow().span,
        }
    }

    /// Takes over what it is known to hold that is newer than its entry.
    pub fn record_span(&self, span: Span, now: Duration) {
        self.fresh.set(Some((span, now)));
    }

    /// Notes that its entry is gone though it may live; it counts as gone at `until`.
    pub fn expire(&self, until: Duration) {
        if self.grace_end.get().is_none() {
            self.grace_end.set(Some(until));
        }
    }

    /// Whether its entry is gone though it may live.
    pub fn is_expired(&self) -> bool {
        self.grace_end.get().is_some()
    }

    /// Whether its entry lapsed and has not come back in time.
    pub fn is_grace_over(&self, now: Duration) -> bool {
        self.grace_end.get().is_some_and(|until| until <= now)
    }

    /// Whether it takes new work.
    pub fn ready(&self) -> bool {
        self.server.borrow().state == State::Ready
    }

    /// Whether it takes new work and is not suspected.
    pub fn usable(&self, now: Duration) -> bool {
        self.ready() && !self.suspicion.borrow().holds(now)
    }

    /// Whether it counts as dead where layers are placed: it did not answer, and has not answered since. The word of another
    /// router counts once the server was asked here as well.
    pub fn counts_as_dead(&self) -> bool {
        self.suspicion.borrow().is_unresolved() && !self.verifying.get()
    }

    /// Whether it is usable and has not just declined a request.
    pub fn accepts_requests(&self, now: Duration) -> bool {
        self.usable(now) && !self.declines.borrow().holds(now)
    }

    /// Notes that it did not answer; true if that was not known.
    pub fn record_failure(&self, now: Duration) -> bool {
        let fresh = !self.suspicion.borrow().holds(now);
        self.suspicion.borrow_mut().record_failure(now);
        fresh
    }

    /// Notes that it broke a run off though it lives; whether that is new reason to pass over it.
    pub fn count_break(&self, now: Duration) -> bool {
        let mut breaks = self.breaks.get();
        let passed_over = breaks.record_broken_run(now) && !self.declines.borrow().holds(now);
        self.breaks.set(breaks);
        if passed_over {
            self.declines.borrow_mut().record_failure(now);
        }
        passed_over
    }

    /// Notes that it broke a run off at some router; whether that is news.
    pub fn record_break(&self, now: Duration) -> bool {
        let known = self.last_break.replace(Some(now));
        known.is_none_or(|at| now >= at + breaks::NOTICE_INTERVAL)
    }

    /// Whether it broke a run off a moment ago.
    pub fn broke_recently(&self, now: Duration) -> bool {
        self.last_break.get().is_some_and(|at| now < at + breaks::RETRY_AVOIDANCE)
    }

    /// Notes that a run went on there.
    pub fn count_continued(&self) {
        let mut breaks = self.breaks.get();
        breaks.record_sound_run();
        self.breaks.set(breaks);
    }

    /// Notes an answer after `took`.
    pub fn record_answer(&self, took: Duration) {
        self.suspicion.borrow_mut().clear();
        let mut pace = self.pace.get();
        pace.add(took.as_secs_f64() * 1e3);
        self.pace.set(pace);
    }
}

/// Work of one request at one server, given back when dropped.
#[derive(Debug)]
pub struct Load {
    peer: Rc<Peer>,
    bytes: f64,
}

impl Load {
    /// Counts a request with `bytes` of context.
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
