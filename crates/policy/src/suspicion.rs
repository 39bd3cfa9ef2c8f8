//! Whether a backend server that did not answer is used.
//!
//! Load pattern: a server dies without a word. The list of servers drops it after three
//! heartbeats; until then each router would send it its share of the work, all of it lost.
//! A server that refuses a connection or stays silent is passed over at once, and asked again
//! after a pause that doubles, so that one that flaps takes few requests with it.

use std::time::Duration;

/// First pause. A crashed server needs seconds to come back, and a lost packet a fifth of one.
pub const FIRST: Duration = Duration::from_millis(500);

/// Longest pause, about as long as the list of servers takes to drop a dead one.
pub const LONGEST: Duration = Duration::from_secs(4);

/// What is believed of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Suspicion {
    until: Duration,
    /// End of the last pause, also if an answer ended it sooner.
    last: Duration,
    pause: Duration,
    open: bool,
}

impl Suspicion {
    /// Notes that it did not answer.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let mut suspicion = policy::suspicion::Suspicion::default();
    /// let now = Duration::from_secs(5);
    /// assert!(!suspicion.holds(now));
    /// suspicion.fail(now);
    /// assert!(suspicion.holds(now));
    /// suspicion.clear();
    /// assert!(!suspicion.holds(now));
    /// ```
    pub fn fail(&mut self, now: Duration) {
        // Requests that were under way together fail together: they count once.
        if self.holds(now) {
            return;
        }
        let quiet = now > self.last + LONGEST;
        self.pause =
            if quiet || self.pause.is_zero() { FIRST } else { (self.pause * 2).min(LONGEST) };
        self.until = now + self.pause;
        self.last = self.until;
        self.open = true;
    }

    /// Passes over it for the first pause, as others say that it failed them. Only what this router sees itself makes
    /// pauses longer: a server that declines some requests of many routers would else get none for seconds.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use policy::suspicion::{FIRST, Suspicion};
    /// let mut suspicion = Suspicion::default();
    /// let now = Duration::from_secs(5);
    /// (0..9).for_each(|_| suspicion.hint(now));
    /// assert!(suspicion.holds(now) && !suspicion.holds(now + FIRST));
    /// ```
    pub fn hint(&mut self, now: Duration) {
        self.until = self.until.max(now + FIRST);
    }

    /// Notes an answer. The next failure within a while still leads to a longer pause: a server that
    /// goes down and up by turns answers in between.
    pub fn clear(&mut self) {
        self.until = Duration::ZERO;
        self.open = false;
    }

    /// Whether it is passed over now.
    pub fn holds(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Whether it failed and has not answered since.
    pub fn open(&self) -> bool {
        self.open
    }
}
