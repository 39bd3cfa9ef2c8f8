//! The thresholds in one place, so that a bench can sweep them.
//!
//! Daemons use the defaults, which are the constants of the modules. Why each is what it is
//! stands at the constant; the sweeps stand in docs/design/decisions.md.

use std::time::Duration;

use crate::{affinity, chain, estimate, health, queue, ramp, retry, room, share};

/// Thresholds of all decisions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// [`affinity::BOUND`].
    pub bound: f64,
    /// [`chain::LOAD`].
    pub load: f64,
    /// [`chain::MIXING`].
    pub mixing: f64,
    /// [`chain::PATIENCE`].
    pub patience: f64,
    /// [`chain::HOLD`].
    pub hold: Duration,
    /// [`health::SLOW`].
    pub slow: f64,
    /// [`health::STRIKES`].
    pub strikes: u8,
    /// [`health::EJECT`].
    pub eject: Duration,
    /// [`queue::STRETCH`].
    pub stretch: f64,
    /// [`estimate::MARGIN`].
    pub margin: f64,
    /// [`estimate::CATCH_UP`].
    pub catch_up: f64,
    /// [`queue::DOUBT`].
    pub doubt: f64,
    /// [`share::QUANTUM`].
    pub quantum: f64,
    /// [`ramp::STEP`].
    pub ramp: Duration,
    /// [`retry::RATIO`].
    pub retries: f64,
    /// [`retry::BURST`].
    pub burst: f64,
    /// [`room::LEFT_FREE`].
    pub left_free: f64,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            bound: affinity::BOUND,
            load: chain::LOAD,
            mixing: chain::MIXING,
            patience: chain::PATIENCE,
            hold: chain::HOLD,
            slow: health::SLOW,
            strikes: health::STRIKES,
            eject: health::EJECT,
            stretch: queue::STRETCH,
            margin: estimate::MARGIN,
            catch_up: estimate::CATCH_UP,
            doubt: queue::DOUBT,
            quantum: share::QUANTUM,
            ramp: ramp::STEP,
            retries: retry::RATIO,
            burst: retry::BURST,
            left_free: room::LEFT_FREE,
        }
    }
}
