//! The work that waits at a worker which does one thing after another.
//!
//! Load pattern: two data centres lose a server each, or a server turns twelve times slower, and all requests take
//! the one path that is left. Each router sees a free path; together they send more than a link between data centres
//! carries, or more prompts than a slow server prefills, and from then on nothing ends in time, including the
//! requests that had another path.
//!
//! A meter holds what this router has sent less what has been worked off since, as a leaky bucket. It needs no answer
//! from the other end, so it can't be late.

use std::time::Duration;

/// Work that was sent and is not yet done, as the time it takes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Meter {
    level: Duration,
    at: Duration,
}

impl Meter {
    /// Adds work that takes `work`, of a worker that gives this router `share` of its time.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let ms = Duration::from_millis;
    /// let mut meter = policy::meter::Meter::default();
    /// meter.add(ms(0), ms(100), 0.5);
    /// assert_eq!(meter.waiting(ms(0), 0.5), ms(200));
    /// assert_eq!(meter.waiting(ms(100), 0.5), ms(100));
    /// assert_eq!(meter.waiting(ms(900), 0.5), ms(0));
    /// ```
    pub fn add(&mut self, now: Duration, work: Duration, share: f64) {
        self.level = self.left(now, share) + work;
        self.at = now;
    }

    /// Returns whether this router may send more: what it sent and is not yet done stays below its share
    /// of what may wait there in all.
    ///
    /// A router gets `1 / others` of the worker's time, where `others` is the number of requests that all routers run
    /// for each one of its own, but a larger share of what may wait there: few routers have a burst at the same time,
    /// and with 26 equal routers `1 / others` of it would be less than a single prompt.
    pub fn accepts(&self, now: Duration, share: f64, others: f64, full: Duration) -> bool {
        self.left(now, share / others) <= full.mul_f64(share / others.sqrt())
    }

    /// Returns the time until what was sent is done.
    pub fn waiting(&self, now: Duration, share: f64) -> Duration {
        self.left(now, share).div_f64(share)
    }

    fn left(&self, now: Duration, share: f64) -> Duration {
        self.level.saturating_sub(now.saturating_sub(self.at).mul_f64(share))
    }
}
