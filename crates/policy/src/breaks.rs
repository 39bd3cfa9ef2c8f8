//! Whether a server that lives breaks off what it runs.
//!
//! Load pattern: a server resets the connections of requests, or of most of them, and answers each question for its state. All
//! that it breaks off is sent on out of the retry budget, while new requests keep coming to it. One broken run says little: the
//! request may be at fault, or the connection. Several of them without as many that went on say that it is the server.

use std::time::Duration;

/// Broken runs, less those that went on, from which on a server is passed over.
const MAX_BROKEN_RUNS: u32 = 3;

/// Time without a broken run after which those of before no longer count.
const RESET_TIME: Duration = Duration::from_secs(5);

/// Time for which a server that broke off one run, at any router, is avoided by requests that have used a run already and may have
/// few more. New requests still go there: most servers that break off one run serve the next ones.
pub const RETRY_AVOIDANCE: Duration = Duration::from_secs(1);

/// Time for which other routers need not be told of a further broken run.
pub const NOTICE_INTERVAL: Duration = Duration::from_millis(400);

/// Runs that a server broke off lately, less those that went on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tally {
    count: u32,
    last: Duration,
}

impl Tally {
    /// Notes that it broke a run off; whether it is to be passed over for a while. One more after that is enough again.
    ///
    /// ```
    /// use std::time::Duration;
    /// let (mut tally, at) = (policy::breaks::Tally::default(), Duration::from_millis);
    /// assert!(!tally.record_broken_run(at(0)) && !tally.record_broken_run(at(10)) && tally.record_broken_run(at(20)));
    /// assert!(tally.record_broken_run(at(600)));
    /// // A server that breaks off every other run is not passed over.
    /// let mut other = policy::breaks::Tally::default();
    /// for n in 0..20 {
    ///     assert!(!other.record_broken_run(at(10 * n)));
    ///     other.record_sound_run();
    /// }
    /// ```
    pub fn record_broken_run(&mut self, now: Duration) -> bool {
        if now > self.last + RESET_TIME {
            self.count = 0;
        }
        self.last = now;
        self.count = (self.count + 1).min(MAX_BROKEN_RUNS);
        self.count == MAX_BROKEN_RUNS
    }

    /// Notes that a run went on there.
    pub fn record_sound_run(&mut self) {
        self.count = self.count.saturating_sub(1);
    }
}
