//! When callers are to come back that find all places taken.
//!
//! Load pattern: servers are lost for ten seconds while a burst comes, and three requests in ten find no place. If
//! all of them are to come back in a second and a half, they find the system as full as before, compete with new
//! requests, and are refused for good. Where only a few are refused, a place is free by then, and a longer wait would
//! be lost time.
//!
//! Each router decides by the requests it served itself: the larger the ratio that it had to refuse lately, the
//! longer the time over which refused callers are spread.

use std::time::Duration;

/// Time to come back when hardly any requests are refused: about as long as a request runs.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(1500);

/// Time to come back when most requests are refused. Callers have some twenty seconds and come back within a third of
/// that.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(6);

/// Time constant of the decay: after it a request counts for a third of what it did.
const DECAY_TIME: Duration = Duration::from_secs(3);

/// Ratio of refused requests from which on the longest time is given.
const REFUSED_RATIO_AT_MAX: f64 = 0.6;

/// Requests assumed to have found a place beside those counted, so that one refusal of an idle router has little
/// effect.
const PRIOR_PLACED: f64 = 5.0;

/// Requests that found a place or none lately, with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
pub struct Shortage {
    placed: f64,
    refused: f64,
    at: Duration,
}

impl Shortage {
    /// Records a request that found a place.
    pub fn placed(&mut self, now: Duration) {
        self.decay(now);
        self.placed += 1.0;
    }

    /// Records a request that found none; returns the time after which it is to come back.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use policy::shortage::{MAX_RETRY_AFTER, MIN_RETRY_AFTER, Shortage};
    /// let now = Duration::from_secs(10);
    /// let mut shortage = Shortage::default();
    /// (0..100).for_each(|_| shortage.placed(now));
    /// assert!(shortage.refused(now) < MIN_RETRY_AFTER + Duration::from_millis(100));
    /// (0..300).for_each(|_| drop(shortage.refused(now)));
    /// assert_eq!(shortage.refused(now), MAX_RETRY_AFTER);
    /// let later = now + Duration::from_secs(60);
    /// assert!(shortage.refused(later) < MAX_RETRY_AFTER / 2);
    /// ```
    pub fn refused(&mut self, now: Duration) -> Duration {
        self.decay(now);
        self.refused += 1.0;
        let share = self.refused / (self.refused + self.placed + PRIOR_PLACED);
        MIN_RETRY_AFTER
            + (MAX_RETRY_AFTER - MIN_RETRY_AFTER).mul_f64((share / REFUSED_RATIO_AT_MAX).min(1.0))
    }

    fn decay(&mut self, now: Duration) {
        let old = now.saturating_sub(self.at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        let left = (-old).exp();
        (self.placed, self.refused, self.at) = (self.placed * left, self.refused * left, now);
    }
}
