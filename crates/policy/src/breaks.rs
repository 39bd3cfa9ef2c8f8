//! Detection of a server that is up but breaks off what it runs.
//!
//! Load pattern: a server resets the connections of requests, or of most of them, and answers each status request.
//! All that it breaks off is sent again out of the retry budget, while new requests keep going to it. One broken run
//! says little: the request may be at fault, or the connection. Several of them without as many sound runs show that
//! the server is at fault.

use std::time::Duration;

/// Broken runs, less the sound ones, from which on a server is passed over.
const MAX_BROKEN_RUNS: u32 = 3;

/// Time without a broken run after which earlier ones no longer count.
const RESET_TIME: Duration = Duration::from_secs(5);

/// Time for which a server that broke off one run, of any router, is avoided by requests that have used a run already
/// and may have few left. New requests still go there: most servers that break off one run serve the next ones.
pub const RETRY_AVOIDANCE: Duration = Duration::from_secs(1);

/// Time for which other routers need not be notified of a further broken run.
pub const NOTICE_INTERVAL: Duration = Duration::from_millis(400);

/// Runs that a server broke off lately, less the sound ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Tally {
    count: u32,
    last: Duration,
}

impl Tally {
    /// Records a run that the server broke off. Returns whether the server is to be passed over for a while; after
    /// that one more broken run is enough again.
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

    /// Records a run that continued there.
    pub fn record_sound_run(&mut self) {
        self.count = self.count.saturating_sub(1);
    }
}
