//! When a router checks whether the store answers it.

use std::time::Duration;

use super::{Access, Contact, Data, Limits, access};

/// Decides when a router checks by a cheap call whether the store answers it while its source has no fresh data.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Check {
    /// When the outcome of a call was last known.
    last: Duration,
    /// Failed calls in a row.
    failures: u32,
    /// Whether a check was requested.
    requested: bool,
    /// Part of the spread by which this router checks later than others.
    share: f64,
}

impl Check {
    /// Creates the schedule of a router that checks later than others by a part of the spread, from 0 to 1.
    pub fn new(share: f64) -> Check {
        Check { share, ..Check::default() }
    }

    /// Returns when the next check is due; none if the router may read the store without one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::staleness::{Check, Contact, Data, Role, limits};
    /// let at = Duration::from_millis;
    /// let limits = limits(at(2000), Role::Direct { next: false });
    /// let data = Data { read: at(0), reported: None };
    /// let (mut check, contact) = (Check::new(0.5), Contact::default());
    /// assert_eq!(check.due(&limits, &contact, data), Some(at(1100)));
    /// check.record(at(1105), false);
    /// assert_eq!(check.due(&limits, &contact, data), Some(at(1205)));
    /// ```
    pub fn due(&self, limits: &Limits, contact: &Contact, data: Data) -> Option<Duration> {
        let spread = if limits.is_next_reader { Duration::ZERO } else { limits.spread };
        let first = data.doubted_from(limits) + spread.mul_f64(self.share);
        match (access(limits, contact, data), self.failures) {
            (Access::Granted | Access::From(_), _) => None,
            (Access::AfterCheck, 0) => Some(first),
            (Access::AfterCheck, n) => Some(first.max(self.last + limits.repeat_pause(n - 1))),
        }
    }

    /// Returns when a check is due that another router has requested.
    pub fn requested(&self, limits: &Limits) -> Option<Duration> {
        self.requested.then_some(self.last + limits.min_request_pause)
    }

    /// Requests a check, as another router has heard from the store.
    pub fn request(&mut self) {
        self.requested = true;
    }

    /// Records the outcome of a call to the store at `now`.
    pub fn record(&mut self, now: Duration, answered: bool) {
        self.requested = false;
        self.failures = if answered { 0 } else { self.failures + 1 };
        self.last = now;
    }
}
