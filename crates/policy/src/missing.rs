//! When those come back that find no server which holds some part of the model.
//!
//! Load pattern: servers are lost, and what they held is mostly loaded elsewhere within two seconds. Where it is not, nobody
//! may be loading it, as the store is away, memory is short or no router may order it. Callers who are then told two seconds
//! again and again spend their tries on refusals.
//!
//! What has been missing for long will be for long: callers are told as long again as it has been missing already.

use std::time::Duration;

/// Time to come back right after a loss: it is noticed in half a second, and loaded in one to one and a half.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(1800);

/// Longest time to come back. Callers have some twenty seconds and come back within a third.
pub const MAX_RETRY_AFTER: Duration = Duration::from_millis(4500);

/// Time after the last refusal from which on the next one is of another loss.
const MAX_REFUSAL_GAP: Duration = Duration::from_secs(3);

/// For how long a part of a model has been missing, as the requests of one router found.
#[derive(Debug, Clone, Copy, Default)]
pub struct Missing {
    /// The first and the last refusal.
    refused: Option<(Duration, Duration)>,
}

impl Missing {
    /// Notes that a request found all parts.
    pub fn found(&mut self) {
        self.refused = None;
    }

    /// Notes that a request was refused; the time after which it is to come back.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use policy::missing::{MAX_RETRY_AFTER, Missing, MIN_RETRY_AFTER};
    /// let (mut missing, start) = (Missing::default(), Duration::from_secs(10));
    /// assert_eq!(missing.refused(start), MIN_RETRY_AFTER);
    /// let second = Duration::from_secs(1);
    /// (1..4).for_each(|n| drop(missing.refused(start + n * second)));
    /// assert_eq!(missing.refused(start + 4 * second), 4 * second);
    /// assert_eq!(missing.refused(start + 6 * second), MAX_RETRY_AFTER);
    /// missing.found();
    /// assert_eq!(missing.refused(start + 7 * second), MIN_RETRY_AFTER);
    /// // Long after that, something else is missing.
    /// assert_eq!(missing.refused(start + 60 * second), MIN_RETRY_AFTER);
    /// ```
    pub fn refused(&mut self, now: Duration) -> Duration {
        let known = self.refused.filter(|(_, last)| now < *last + MAX_REFUSAL_GAP);
        let first = known.map_or(now, |(first, _)| first);
        self.refused = Some((first, now));
        now.saturating_sub(first).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
