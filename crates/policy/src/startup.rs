//! Requests that reach a router before it knows the settings and the servers.
//!
//! Load pattern: many routers restart at once and callers reconnect to the first that accept connections. A router
//! knows the settings some tens of milliseconds later. A refused caller loses one of its few tries and returns only
//! after it could have been served, so requests are held for a moment. If that was in vain once, nothing shows when the
//! settings will be known, and further requests are refused at once.

use std::time::Duration;

/// Longest time for which a request is held. Callers give a connection one second before they try elsewhere.
pub const MAX_HOLD: Duration = Duration::from_millis(400);

/// Limit on the requests that are held at the same time.
pub const MAX_HELD: u32 = 64;

/// Retry-after time of a router that has just started.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Longest retry-after time.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Whether a starting router holds requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Startup {
    expired: bool,
}

impl Startup {
    /// Returns for how long a request may be held while `held` others are; `None` if it is to be refused at once.
    ///
    /// ```
    /// use policy::startup::{MAX_HELD, MAX_HOLD, Startup};
    /// let mut startup = Startup::default();
    /// assert_eq!(startup.max_hold(0), Some(MAX_HOLD));
    /// assert_eq!(startup.max_hold(MAX_HELD), None);
    /// startup.record_expiry();
    /// assert_eq!(startup.max_hold(0), None);
    /// ```
    pub fn max_hold(self, held: u32) -> Option<Duration> {
        (!self.expired && held < MAX_HELD).then_some(MAX_HOLD)
    }

    /// Records that a request was held for the longest time and still could not be served.
    pub fn record_expiry(&mut self) {
        self.expired = true;
    }
}

/// Returns the time after which a refused caller may return: as long again as the router has been starting.
///
/// ```
/// # use std::time::Duration;
/// use policy::startup::{MAX_RETRY_AFTER, MIN_RETRY_AFTER, retry_after};
/// assert_eq!(retry_after(Duration::from_millis(20)), MIN_RETRY_AFTER);
/// assert_eq!(retry_after(Duration::from_millis(900)), Duration::from_millis(900));
/// assert_eq!(retry_after(Duration::from_secs(9)), MAX_RETRY_AFTER);
/// ```
pub fn retry_after(since_start: Duration) -> Duration {
    since_start.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
