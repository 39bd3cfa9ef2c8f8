//! Fingerprints that were recorded recently, in two generations, of which the older one is dropped as a whole.

use std::time::Duration;

use super::Fingerprint;

/// Fingerprints recorded within at least `lifetime`, and at most twice as long. When more than `capacity` are recorded
/// in that time, they are dropped sooner.
#[derive(Debug)]
pub(super) struct Recent {
    lifetime: Duration,
    capacity: usize,
    /// Sorted.
    newer: Vec<Fingerprint>,
    older: Vec<Fingerprint>,
    since: Duration,
}

impl Recent {
    pub(super) fn new(lifetime: Duration, capacity: usize) -> Recent {
        let (newer, older, since) = (Vec::new(), Vec::new(), Duration::ZERO);
        Recent { lifetime, capacity, newer, older, since }
    }

    pub(super) fn record(&mut self, fingerprint: Fingerprint, now: Duration) {
        if now >= self.since + self.lifetime || self.newer.len() >= self.capacity {
            let older = std::mem::take(&mut self.newer);
            // After a long pause, those recorded before it are out of date as well.
            self.older = if now < self.since + self.lifetime * 2 { older } else { Vec::new() };
            self.since = now;
        }
        if let Err(at) = self.newer.binary_search(&fingerprint) {
            self.newer.insert(at, fingerprint);
        }
    }

    pub(super) fn holds(&self, fingerprint: Fingerprint, now: Duration) -> bool {
        now < self.since + self.lifetime * 2
            && [&self.newer, &self.older].iter().any(|all| all.binary_search(&fingerprint).is_ok())
    }
}
