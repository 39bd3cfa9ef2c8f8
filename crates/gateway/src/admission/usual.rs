//! Callers that come back after a refusal.

use std::time::Duration;

use crate::request::Call;

/// Limit on the routes whose time-outs are kept.
const MAX_ROUTES: usize = 256;

/// Fraction of the shortest usual time-out below which a request counts as a return.
const RETURN_FRACTION: f64 = 0.98;

/// The shortest time for which callers of each route wait at a first attempt. One that comes back has less time left.
#[derive(Debug, Default)]
pub(super) struct Usual {
    /// By name of the route, sorted.
    timeouts: Vec<(String, Duration)>,
}

impl Usual {
    /// Records the time for which the caller of a first attempt waits.
    pub(super) fn record(&mut self, call: &Call) {
        let timeout = call.deadline - call.arrived;
        match self.find(call) {
            Ok(at) => self.timeouts[at].1 = self.timeouts[at].1.min(timeout),
            Err(at) if self.timeouts.len() < MAX_ROUTES => {
                self.timeouts.insert(at, (call.route.name.clone(), timeout));
            }
            Err(_) => {}
        }
    }

    /// Whether a request is an attempt after a refusal, whose answer can't be on time any more.
    pub(super) fn is_return(&self, call: &Call) -> bool {
        let timeout = call.deadline - call.arrived;
        self.find(call).is_ok_and(|at| timeout < self.timeouts[at].1.mul_f64(RETURN_FRACTION))
    }

    fn find(&self, call: &Call) -> Result<usize, usize> {
        self.timeouts.binary_search_by(|(name, _)| name.as_str().cmp(&call.route.name))
    }
}
