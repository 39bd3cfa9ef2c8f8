//! When the holder of a seat that it can't use gives it up.
//!
//! Load pattern: the store answers a router's calls to stay in the group, and refuses what it writes down or does not answer.
//! While it holds the first seat nobody orders servers to hold layers, though another router might be able to. If no router
//! is, each would pass the seat on to the next one, and every change of the group makes all of them ask again.
//!
//! So a holder gives the seat up after two seconds without success, stays out of the group for a moment so that another one
//! gets it, and tries longer the next time.

use std::time::Duration;

/// Time without success after which a seat is given up.
pub const IDLE: Duration = Duration::from_secs(2);

/// Time for which a router that gave a seat up stays out of the group: the others ask each second and a half at the latest.
const OUT: Duration = Duration::from_secs(2);

/// Longest time without success for one that has given the seat up several times.
const LONGEST: Duration = Duration::from_secs(32);

/// How a router gets on with the seat that it holds.
#[derive(Debug)]
pub struct Tenure {
    /// Since when it has had no success.
    since: Option<Duration>,
    /// Time without success after which it gives the seat up.
    patience: Duration,
    /// Until when it stays out of the group.
    out: Option<Duration>,
}

impl Default for Tenure {
    fn default() -> Tenure {
        Tenure { since: None, patience: IDLE, out: None }
    }
}

impl Tenure {
    /// Notes that the router could use the seat.
    pub fn works(&mut self) {
        *self = Tenure::default();
    }

    /// Notes that it does not hold the seat.
    pub fn ends(&mut self) {
        self.since = None;
    }

    /// Notes that it could not use the seat; whether it gives it up to `others`, if there are any.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use policy::tenure::{IDLE, Tenure};
    /// let (mut tenure, start) = (Tenure::default(), Duration::from_secs(9));
    /// assert!(!tenure.fails(start, true));
    /// assert!(!tenure.fails(start + IDLE / 2, true));
    /// assert!(!tenure.fails(start + IDLE, false));
    /// assert!(tenure.fails(start + IDLE, true));
    /// assert!(tenure.is_out(start + IDLE));
    /// // The next time it tries longer, as the others may fare no better.
    /// let again = start + 4 * IDLE;
    /// assert!(!tenure.is_out(again));
    /// assert!(!tenure.fails(again, true));
    /// assert!(!tenure.fails(again + IDLE, true));
    /// assert!(tenure.fails(again + 2 * IDLE, true));
    /// ```
    pub fn fails(&mut self, now: Duration, others: bool) -> bool {
        let since = *self.since.get_or_insert(now);
        if !others || now < since + self.patience {
            return false;
        }
        let patience = (self.patience * 2).min(LONGEST);
        *self = Tenure { since: None, patience, out: Some(now + OUT) };
        true
    }

    /// For how long it has held the seat without success.
    pub fn idle(&self, now: Duration) -> Duration {
        self.since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Whether it stays out of the group.
    pub fn is_out(&self, now: Duration) -> bool {
        self.out.is_some_and(|until| now < until)
    }
}
