//! How many requests a router sends to a server that names a limit for all routers together.

use std::collections::VecDeque;
use std::time::Duration;

/// Time over which requests to a server are counted.
pub const WINDOW: Duration = Duration::from_secs(4);

/// Requests that one router sent to one server lately.
#[derive(Debug, Clone, Default)]
pub struct Sent(VecDeque<Duration>);

impl Sent {
    /// Notes a request.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let mut sent = policy::quota::Sent::default();
    /// sent.note(Duration::from_secs(1));
    /// sent.note(Duration::from_secs(3));
    /// assert_eq!(sent.count(Duration::from_secs(4)), 2);
    /// assert_eq!(sent.count(Duration::from_secs(6)), 1);
    /// ```
    pub fn note(&mut self, now: Duration) {
        self.forget(now);
        self.0.push_back(now);
    }

    /// Requests within [`WINDOW`] before `now`.
    pub fn count(&mut self, now: Duration) -> usize {
        self.forget(now);
        self.0.len()
    }

    fn forget(&mut self, now: Duration) {
        while self.0.front().is_some_and(|at| *at + WINDOW <= now) {
            self.0.pop_front();
        }
    }
}
