//! Suspicion of a backend server that did not answer.
//!
//! Load pattern: a server dies without closing its connections. The list of servers drops it after three heartbeats;
//! until then each router would send it its share of the work, all of it lost. A server that refuses a connection or
//! does not answer is passed over at once, and tried again after a pause that doubles, so that one that flaps takes
//! few requests with it.

use std::time::Duration;

/// First pause. A crashed server needs seconds to come back, and a lost packet a fifth of a second.
pub const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause, about as long as the list of servers takes to drop a dead one.
pub const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Suspicion of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Suspicion {
    until: Duration,
    /// End of the last pause, also if an answer ended it sooner.
    last: Duration,
    pause: Duration,
    unresolved: bool,
}

impl Suspicion {
    /// Records that the server did not answer.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let mut suspicion = policy::suspicion::Suspicion::default();
    /// let now = Duration::from_secs(5);
    /// assert!(!suspicion.holds(now));
    /// suspicion.record_failure(now);
    /// assert!(suspicion.holds(now));
    /// suspicion.clear();
    /// assert!(!suspicion.holds(now));
    /// ```
    pub fn record_failure(&mut self, now: Duration) {
        // Requests that were in progress together fail together: they count once.
        if self.holds(now) {
            return;
        }
        let quiet = now > self.last + MAX_PAUSE;
        self.pause =
            if quiet || self.pause.is_zero() { MIN_PAUSE } else { (self.pause * 2).min(MAX_PAUSE) };
        self.until = now + self.pause;
        self.last = self.until;
        self.unresolved = true;
    }

    /// Passes over the server for the first pause, as other routers report that it failed. Only failures that this
    /// router sees itself make pauses longer: a server that declines some requests of many routers would otherwise
    /// get none for seconds.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use policy::suspicion::{MIN_PAUSE, Suspicion};
    /// let mut suspicion = Suspicion::default();
    /// let now = Duration::from_secs(5);
    /// (0..9).for_each(|_| suspicion.record_report(now));
    /// assert!(suspicion.holds(now) && !suspicion.holds(now + MIN_PAUSE));
    /// ```
    pub fn record_report(&mut self, now: Duration) {
        self.until = self.until.max(now + MIN_PAUSE);
    }

    /// Records an answer. The next failure within a while still leads to a longer pause, as a server that alternates
    /// between down and up answers in between.
    pub fn clear(&mut self) {
        self.until = Duration::ZERO;
        self.unresolved = false;
    }

    /// Returns whether the server is passed over now.
    pub fn holds(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Returns whether the server failed and has not answered since.
    pub fn is_unresolved(&self) -> bool {
        self.unresolved
    }
}
