//! When callers are to come back that find no server with some part of the model.
//!
//! Load pattern: servers are lost, and what they held is mostly loaded elsewhere within two seconds. Where it is not,
//! no server may be loading it, as the store is unavailable, memory is short or no router may order it. Callers who
//! are then asked again and again to come back in two seconds spend their tries on refusals.
//!
//! A part that has been missing for long is likely to stay missing for long: callers are asked to come back after as
//! long again as it has been missing already.

use std::time::Duration;

/// Time to come back right after a loss: it is noticed in half a second, and the part is loaded in one to one and a
/// half.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(1800);

/// Longest time to come back. Callers have some twenty seconds and come back within a third of that.
pub const MAX_RETRY_AFTER: Duration = Duration::from_millis(4500);

/// Time after a refusal from which on the next one belongs to another loss.
const MAX_REFUSAL_GAP: Duration = Duration::from_secs(3);

/// How long a part of a model has been missing, as the requests of one router found.
#[derive(Debug, Clone, Copy, Default)]
pub struct Missing {
    /// The first and the last refusal.
    refused: Option<(Duration, Duration)>,
}

impl Missing {
    /// Records that a request found all parts.
    pub fn found(&mut self) {
        self.refused = None;
    }

    /// Records a refused request; returns the time after which it is to come back.
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
