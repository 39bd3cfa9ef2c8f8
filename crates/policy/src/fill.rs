//! An estimate of the load of a server from an older report.
//!
//! Load pattern: a server runs some hundred requests and takes a hundred more in each second. Its report is up to a
//! second old, so that all routers assume that it is half empty, send it all they have until it declines, and then
//! pass over it together until it is half empty again. Most of what is declined is sent again, out of the common
//! retry budget.
//!
//! A router knows what it has sent since the report, and how much all routers send for each request of its own; part
//! of what ran at the time of the report has ended.

use std::collections::VecDeque;
use std::time::Duration;

/// Time for which sent work is kept.
const RETENTION: Duration = Duration::from_secs(4);

/// Work that one router has sent to one server lately.
#[derive(Debug, Clone, Default)]
pub struct Sent(VecDeque<(Duration, f64)>);

impl Sent {
    /// Records work that is sent.
    pub fn record(&mut self, now: Duration, work: f64) {
        while self.0.front().is_some_and(|(at, _)| *at + RETENTION < now) {
            self.0.pop_front();
        }
        self.0.push_back((now, work));
    }

    /// Returns the work that was sent after `time`.
    pub fn since(&self, time: Duration) -> f64 {
        self.0.iter().rev().take_while(|(at, _)| *at > time).map(|(_, work)| work).sum()
    }
}

/// The work that a server reported some time ago.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// Work of all routers.
    pub work: f64,
    /// When the server had that work.
    pub at: Duration,
    /// Mean duration of a request.
    pub lasting: Duration,
}

impl Report {
    /// Returns the work that the server has at `now`, if all routers together send `ratio` times what this one has
    /// sent.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use policy::fill::{Sent, Report};
    /// let ms = Duration::from_millis;
    /// let report = Report { work: 100.0, at: ms(1000), lasting: ms(1000) };
    /// let mut sent = Sent::default();
    /// sent.record(ms(900), 1.0);
    /// sent.record(ms(1200), 1.0);
    /// // Half of what ran has ended, and each of ten routers has sent as much as this one.
    /// assert_eq!(report.estimate(ms(1500), &sent, 10.0), 60.0);
    /// ```
    pub fn estimate(&self, now: Duration, sent: &Sent, ratio: f64) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let left = 1.0 - age / self.lasting.as_secs_f64().max(f64::MIN_POSITIVE);
        self.work * left.max(0.0) + sent.since(self.at) * ratio
    }
}
