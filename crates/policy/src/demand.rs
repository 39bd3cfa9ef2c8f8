//! The ratio of the requests for a shared worker that may be sent to it.
//!
//! Load pattern: a data centre loses a layer, and all requests of all routers need the same link to another one at
//! the same moment. The meter of what this router sent ([`crate::meter`]) is empty then, so each router sends one
//! transfer, and as many wait for the link as there are routers: all of them are late, where a tenth would have been
//! on time and the rest could have been refused at once. So each router sends a ratio of its requests such that all
//! routers together fill the worker.

use std::time::Duration;

/// Time constant of the decay: after it a request counts for a third of what it did.
const DECAY_TIME: Duration = Duration::from_secs(1);

/// Requests that needed a worker lately, with exponential decay.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    level: f64,
    at: Duration,
}

impl Demand {
    /// Records a request that needs the worker.
    pub fn record(&mut self, now: Duration) {
        self.level = self.left(now) + 1.0;
        self.at = now;
    }

    /// Returns the ratio of the requests that may be sent, if each takes `work` of a worker that gives all routers
    /// `capacity` of its time, and each of `routers` routers has as many as this one.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let ms = Duration::from_millis;
    /// let mut demand = policy::demand::Demand::default();
    /// (0..10).for_each(|_| demand.record(ms(1000)));
    /// // Ten routers with ten requests each; the worker takes ten in a second.
    /// assert_eq!(demand.share(ms(1000), ms(100), 1.0, 10), 0.1);
    /// assert_eq!(demand.share(ms(9000), ms(100), 1.0, 10), 1.0);
    /// ```
    pub fn share(&self, now: Duration, work: Duration, capacity: f64, routers: u32) -> f64 {
        let rate = self.left(now) / DECAY_TIME.as_secs_f64();
        let wanted = work.as_secs_f64() * rate * f64::from(routers.max(1));
        if wanted <= capacity { 1.0 } else { capacity / wanted }
    }

    fn left(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.level * (-since).exp()
    }
}
