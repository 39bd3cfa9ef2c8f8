//! When the holder of a partition that it can't use gives the partition up.
//!
//! Load pattern: the store accepts a router's membership calls, but rejects or does not answer its writes. While that
//! router holds the first partition, and so is the leader, no orders are given to load layers, though another router
//! might be able to give them. If no router is able to, each would pass the partition on to the next one, and every
//! change of the group makes all routers send requests again.
//!
//! So a holder gives the partition up after two seconds without success, stays out of the group for a short time so
//! that another router gets it, and keeps it longer the next time.

use std::time::Duration;

/// Time without success after which a partition is given up.
pub const MIN_IDLE_LIMIT: Duration = Duration::from_secs(2);

/// Time for which a router that gave a partition up stays out of the group: the others ask for partitions each second
/// and a half at the latest.
const WITHDRAWAL_TIME: Duration = Duration::from_secs(2);

/// Longest time without success for a router that has given the partition up several times.
const MAX_IDLE_LIMIT: Duration = Duration::from_secs(32);

/// State of a router as the holder of a partition.
#[derive(Debug)]
pub struct Tenure {
    /// Since when it has held the partition without success.
    since: Option<Duration>,
    /// Time without success after which it gives the partition up.
    idle_limit: Duration,
    /// Until when it stays out of the group.
    withdrawn_until: Option<Duration>,
}

impl Default for Tenure {
    fn default() -> Tenure {
        Tenure { since: None, idle_limit: MIN_IDLE_LIMIT, withdrawn_until: None }
    }
}

impl Tenure {
    /// Records that the router could use the partition.
    pub fn succeeded(&mut self) {
        *self = Tenure::default();
    }

    /// Records that the router does not hold the partition.
    pub fn released(&mut self) {
        self.since = None;
    }

    /// Records that the router could not use the partition. Returns whether it gives the partition up to other
    /// routers, if there are any (`others`).
    ///
    /// ```
    /// # use std::time::Duration;
    /// use policy::tenure::{MIN_IDLE_LIMIT, Tenure};
    /// let (mut tenure, start) = (Tenure::default(), Duration::from_secs(9));
    /// assert!(!tenure.failed(start, true));
    /// assert!(!tenure.failed(start + MIN_IDLE_LIMIT / 2, true));
    /// assert!(!tenure.failed(start + MIN_IDLE_LIMIT, false));
    /// assert!(tenure.failed(start + MIN_IDLE_LIMIT, true));
    /// assert!(tenure.is_withdrawn(start + MIN_IDLE_LIMIT));
    /// // The next time it keeps the partition longer, as the others may not be able to use it either.
    /// let again = start + 4 * MIN_IDLE_LIMIT;
    /// assert!(!tenure.is_withdrawn(again));
    /// assert!(!tenure.failed(again, true));
    /// assert!(!tenure.failed(again + MIN_IDLE_LIMIT, true));
    /// assert!(tenure.failed(again + 2 * MIN_IDLE_LIMIT, true));
    /// ```
    pub fn failed(&mut self, now: Duration, others: bool) -> bool {
        let since = *self.since.get_or_insert(now);
        if !others || now < since + self.idle_limit {
            return false;
        }
        let idle_limit = (self.idle_limit * 2).min(MAX_IDLE_LIMIT);
        *self = Tenure { since: None, idle_limit, withdrawn_until: Some(now + WITHDRAWAL_TIME) };
        true
    }

    /// Returns how long it has held the partition without success.
    pub fn idle(&self, now: Duration) -> Duration {
        self.since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Returns whether it stays out of the group.
    pub fn is_withdrawn(&self, now: Duration) -> bool {
        self.withdrawn_until.is_some_and(|until| now < until)
    }
}
