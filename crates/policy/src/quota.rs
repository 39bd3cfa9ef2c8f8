//! Permits for a server that names a limit on the requests of all routers together.
//!
//! Load pattern: a server in need takes three requests a second, and twenty routers have twelve a second for it, most
//! of them at a few routers. If each router takes an equal part, those with many callers are short while the others
//! leave theirs unused; if each considers only its own requests, the server receives all of them.
//!
//! One router owns the [`Ledger`] of such a server and grants permits to the others, which keep them as [`Permits`]
//! for a short time. Requests that routers sent before they knew of the limit count as well: each router reports them
//! once it knows of it, so that a server that was flooded receives nothing until they have left the window. While
//! routers disagree about the owner of the ledger, each of its owners starts without credit.

use std::collections::VecDeque;
use std::time::Duration;

/// Length of the window in which requests to a server are counted.
pub const WINDOW: Duration = Duration::from_secs(4);

/// Smallest limit, in requests a second. A server that takes none would never be sent a request that shows whether it
/// still takes none.
pub const MIN_LIMIT: f64 = 0.2;

/// Largest limit, in requests a second. Servers that take more need none.
pub const MAX_LIMIT: f64 = 10_000.0;

/// Most permits that one request gets: those of a busy router for some tenths of a second.
const MAX_GRANT: u32 = 1024;

/// Time for which credit accrues while no permits are requested.
const CREDIT_TIME: Duration = Duration::from_millis(1000);

/// Smallest cap on the credit, in permits. With less than one permit beside the next one, part of a low limit would
/// be lost while that one is in transit.
const MIN_CREDIT_CAP: f64 = 2.0;

/// Time for which a permit may be used.
const PERMIT_VALIDITY: Duration = Duration::from_millis(500);

/// Shortest time after which a router that received no permit asks again.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time after which a refused caller is asked to come back. Callers have some twenty seconds and come back
/// within a third of that.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(6);

/// Name of a router.
pub type Router = String;

/// Requests that one router has sent to one server within [`WINDOW`].
#[derive(Debug, Clone, Default)]
pub struct Sent(VecDeque<Duration>);

impl Sent {
    /// Records a request.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let second = Duration::from_secs(1);
    /// let mut sent = policy::quota::Sent::default();
    /// sent.record(second);
    /// sent.record(3 * second);
    /// assert_eq!(sent.count(4 * second), 2);
    /// assert_eq!(sent.before(2 * second, 4 * second), (1, Some(second)));
    /// assert_eq!(sent.count(6 * second), 1);
    /// ```
    pub fn record(&mut self, now: Duration) {
        self.expire(now);
        self.0.push_back(now);
    }

    /// Returns the number of requests within [`WINDOW`] before `now`.
    pub fn count(&mut self, now: Duration) -> usize {
        self.expire(now);
        self.0.len()
    }

    /// Returns how many of them were sent until `time`, and when the last of these was.
    pub fn before(&mut self, time: Duration, now: Duration) -> (u32, Option<Duration>) {
        self.expire(now);
        let count = self.0.partition_point(|at| *at <= time);
        (count as u32, count.checked_sub(1).map(|last| self.0[last]))
    }

    fn expire(&mut self, now: Duration) {
        while self.0.front().is_some_and(|at| *at + WINDOW <= now) {
            self.0.pop_front();
        }
    }
}

/// A router's request for permits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Requests a second that the server names, as far as the router knows.
    pub limit: f64,
    /// Requests that it sent without a permit within [`WINDOW`], before it knew of a limit.
    pub free: u32,
    /// How long ago the last of them was sent.
    pub free_age: Duration,
    /// Permits wanted; 0 to report only.
    pub want: u32,
}

/// The answer to a request for permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Permits granted.
    pub permits: u32,
    /// Time after which the router may ask again.
    pub retry_after: Duration,
}

/// Requests that a router sent without permits.
#[derive(Debug, Clone)]
struct Unpermitted {
    router: Router,
    count: u32,
    /// When the last of them leaves the window.
    until: Duration,
}

/// Account of the permits for one server.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    credit: f64,
    at: Option<Duration>,
    granted: Sent,
    /// Sorted by router.
    free: Vec<Unpermitted>,
}

impl Ledger {
    /// Grants permits to a router.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use policy::quota::{Request, Ledger};
    /// let second = Duration::from_secs(1);
    /// let request = Request { limit: 2.0, free: 0, free_age: Duration::ZERO, want: 2 };
    /// let mut ledger = Ledger::default();
    /// assert_eq!(ledger.grant("a", request, second).permits, 0);
    /// assert_eq!(ledger.grant("a", request, 2 * second).permits, 2);
    /// // Requests sent before the limit was known count until they have left the window.
    /// let flood = Request { free: 40, ..request };
    /// assert_eq!(ledger.grant("b", flood, 3 * second).permits, 0);
    /// assert_eq!(ledger.grant("a", request, 4 * second).permits, 0);
    /// assert_eq!(ledger.grant("a", request, 7 * second).permits, 2);
    /// ```
    pub fn grant(&mut self, router: &str, request: Request, now: Duration) -> Grant {
        let limit = request.limit.clamp(MIN_LIMIT, MAX_LIMIT);
        self.fill(limit, now);
        self.record_unpermitted(router, request, now);
        let free: f64 = self.free.iter().map(|free| f64::from(free.count)).sum();
        let known = self.granted.count(now) as f64 + free;
        // The window may cut off part of a permit at either end.
        let room = limit * WINDOW.as_secs_f64() + 1.0 - known;
        let wanted = request.want.min(MAX_GRANT);
        let permits = wanted.min(self.credit as u32).min(room.max(0.0) as u32);
        self.credit -= f64::from(permits);
        (0..permits).for_each(|_| self.granted.record(now));
        let retry_after = match permits < request.want {
            true => {
                Duration::from_secs_f64((1.0 - self.credit).max(0.0) / limit).max(MIN_ASK_INTERVAL)
            }
            false => Duration::ZERO,
        };
        Grant { permits, retry_after }
    }

    /// Returns when permits were last requested.
    pub fn last_request(&self) -> Option<Duration> {
        self.at
    }

    fn fill(&mut self, limit: f64, now: Duration) {
        let since = self.at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let most = (limit * CREDIT_TIME.as_secs_f64()).max(MIN_CREDIT_CAP);
        self.credit = (self.credit + limit * since.as_secs_f64()).min(most);
        self.at = Some(now);
    }

    fn record_unpermitted(&mut self, router: &str, request: Request, now: Duration) {
        self.free.retain(|free| free.until > now && free.router != router);
        if request.free > 0 && request.free_age < WINDOW {
            let at = self.free.partition_point(|free| free.router.as_str() < router);
            let until = now + (WINDOW - request.free_age);
            self.free
                .insert(at, Unpermitted { router: router.to_owned(), count: request.free, until });
        }
    }
}

/// Permits that a router holds for one server.
#[derive(Debug, Clone, Default)]
pub struct Permits {
    /// Expiry of each permit.
    valid_until: VecDeque<Duration>,
    /// When it may ask for more.
    next: Duration,
    /// Permits received within [`WINDOW`].
    received: Sent,
    /// Time at which the last refused caller was asked to come back.
    next_slot: Duration,
}

impl Permits {
    /// Returns the number of permits that may be used now.
    pub fn available(&mut self, now: Duration) -> usize {
        while self.valid_until.front().is_some_and(|until| *until <= now) {
            self.valid_until.pop_front();
        }
        self.valid_until.len()
    }

    /// Uses a permit; returns false if there is none.
    pub fn take(&mut self, now: Duration) -> bool {
        self.available(now);
        self.valid_until.pop_front().is_some()
    }

    /// Returns whether to ask for permits.
    pub fn may_ask(&mut self, now: Duration) -> bool {
        self.available(now) == 0 && self.next <= now
    }

    /// Adds the permits of an answer.
    pub fn receive(&mut self, grant: Grant, now: Duration) {
        for _ in 0..grant.permits {
            self.valid_until.push_back(now + PERMIT_VALIDITY);
            self.received.record(now);
        }
        self.next = now + grant.retry_after;
    }

    /// Returns the time after which a refused caller is to come back to a server that names `limit`, at one of
    /// `routers` routers. Callers are spread at the rate at which permits were received.
    pub fn retry_after(&mut self, limit: f64, routers: u32, now: Duration) -> Duration {
        let even = limit.max(MIN_LIMIT) / f64::from(routers.max(1));
        let rate = even.max(self.received.count(now) as f64 / WINDOW.as_secs_f64());
        let slot = self.next_slot.max(self.next).max(now) + Duration::from_secs_f64(1.0 / rate);
        self.next_slot = slot.min(now + MAX_RETRY_AFTER);
        self.next_slot - now
    }
}
