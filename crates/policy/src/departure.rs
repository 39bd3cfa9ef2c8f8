//! Whether a backend server that declines requests is leaving.
//!
//! Load pattern: servers begin to leave while the list of servers can't be read. They still answer probes and decline
//! all new requests. A router that treats them as full tries them again each second, and each try is a request that
//! has to be sent a second time.
//!
//! A server that declines for lack of memory reports that its memory is taken, and one that has released layers reports
//! other layers. One that reports neither and calls itself ill is leaving. Its word alone is not trusted: health answers
//! may be false either way. The belief holds for a while and is then checked again, after a time that doubles.

use std::time::Duration;

/// Time for which a server is first believed to be leaving. One that does leave is listed as such within seconds where
/// the list can be read.
pub const MIN_HOLD: Duration = Duration::from_secs(2);

/// Longest time until the belief is checked again.
pub const MAX_HOLD: Duration = Duration::from_secs(8);

/// What a server says of its health when asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It takes requests.
    Well,
    /// It is leaving or failing.
    Ill,
    /// It did not say: it is too busy, or the answer is lost.
    Unknown,
}

/// The belief that one server is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Departure {
    until: Duration,
    hold: Duration,
}

impl Departure {
    /// Records the health of a server that declined a request although it has room and the layers, or that was believed
    /// to be leaving; returns whether it is believed to be leaving from now on.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use policy::departure::{Departure, Health, MIN_HOLD};
    /// let (mut departure, now) = (Departure::default(), Duration::from_secs(5));
    /// assert!(departure.record_health(Health::Ill, now));
    /// assert!(departure.holds(now + MIN_HOLD / 2) && !departure.holds(now + MIN_HOLD));
    /// departure.record_health(Health::Ill, now + MIN_HOLD);
    /// assert!(departure.holds(now + 2 * MIN_HOLD));
    /// assert!(!departure.record_health(Health::Well, now + 2 * MIN_HOLD));
    /// assert!(!departure.holds(now + 2 * MIN_HOLD));
    /// ```
    pub fn record_health(&mut self, health: Health, now: Duration) -> bool {
        match health {
            Health::Ill => {
                self.hold = (self.hold * 2).clamp(MIN_HOLD, MAX_HOLD);
                self.until = now + self.hold;
                true
            }
            Health::Well | Health::Unknown => {
                *self = Departure::default();
                false
            }
        }
    }

    /// Records that another router believes the server to be leaving. That router checks it again and repeats its word.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use policy::departure::{Departure, MAX_HOLD};
    /// let (mut departure, now) = (Departure::default(), Duration::from_secs(5));
    /// departure.record_report(now, Duration::from_secs(60));
    /// assert!(departure.holds(now) && !departure.holds(now + MAX_HOLD));
    /// ```
    pub fn record_report(&mut self, now: Duration, hold: Duration) {
        self.until = self.until.max(now + hold.min(MAX_HOLD));
    }

    /// Whether the server is believed to be leaving.
    pub fn holds(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Returns when the belief ends unless it is confirmed.
    pub fn until(&self) -> Duration {
        self.until
    }
}
