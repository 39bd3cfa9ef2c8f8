//! How full a server may be for one more request.
//!
//! Load pattern: a burst fills the memory and the passes of all servers, and whoever comes first takes what is left. A
//! request that should leave room for others gets a narrower limit than they do, and waits or is refused while only the
//! room between the two limits is free.

use std::time::Duration;

/// Ratio of a server's memory for requests up to which it gets more. Other routers send to it as well, and a request
/// that finds the memory full is declined or preempts another one.
pub const MAX_MEMORY: f64 = 0.97;

/// Queueing time for the prefill at a server up to which it gets further prompts.
pub const MAX_PREFILL: Duration = Duration::from_millis(300);

/// Bounds on the load of each server of a path, with the request on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Ratio of the server's memory for requests that may be in use.
    pub memory: f64,
    /// Queueing time for the prefill of the request.
    pub prefill: Duration,
}

impl Limit {
    /// Returns the limit of requests that leave no room for others.
    pub fn full() -> Limit {
        Limit { memory: MAX_MEMORY, prefill: MAX_PREFILL }
    }

    /// Returns the limit with both bounds multiplied by a factor between 0 and 1.
    ///
    /// ```
    /// use policy::headroom::{Limit, MAX_MEMORY, MAX_PREFILL};
    /// let half = Limit::full().scaled(0.5);
    /// assert_eq!((half.memory, half.prefill), (MAX_MEMORY / 2.0, MAX_PREFILL / 2));
    /// assert_eq!(Limit::full().scaled(1.5), Limit::full());
    /// ```
    pub fn scaled(self, factor: f64) -> Limit {
        let factor = factor.clamp(0.0, 1.0);
        Limit { memory: self.memory * factor, prefill: self.prefill.mul_f64(factor) }
    }

    /// Returns the narrower bound of each kind.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::headroom::Limit;
    /// let (a, b) = (Limit::full().scaled(0.5), Limit { memory: 0.9, prefill: Duration::ZERO });
    /// assert_eq!(a.min(b), Limit { memory: a.memory, prefill: Duration::ZERO });
    /// ```
    pub fn min(self, other: Limit) -> Limit {
        Limit { memory: self.memory.min(other.memory), prefill: self.prefill.min(other.prefill) }
    }
}

impl Default for Limit {
    fn default() -> Limit {
        Limit::full()
    }
}
