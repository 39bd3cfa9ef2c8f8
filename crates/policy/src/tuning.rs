//! The thresholds in one place, so that a bench can sweep them.
//!
//! Daemons use the defaults, which are the constants of the modules. The reason for each value is given at its
//! constant; the sweeps are in docs/design/decisions.md.

use std::time::Duration;

use crate::{affinity, chain, estimate, health, queue, ramp, retry, room, share};

/// Thresholds of all decisions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// [`affinity::LOAD_BOUND`].
    pub load_bound: f64,
    /// [`chain::FULL_LOAD_PENALTY`].
    pub full_load_penalty: f64,
    /// [`chain::COST_SMOOTHING`].
    pub cost_smoothing: f64,
    /// [`chain::HOLD_RATIO`].
    pub hold_ratio: f64,
    /// [`chain::MAX_HOLD`].
    pub max_hold: Duration,
    /// [`health::SLOW_FACTOR`].
    pub slow_factor: f64,
    /// [`health::FAULTS_TO_EJECT`].
    pub faults_to_eject: u8,
    /// [`health::MIN_EJECTION`].
    pub min_ejection: Duration,
    /// [`queue::RUN_WEIGHT`].
    pub run_weight: f64,
    /// [`estimate::OVERTAKING_FACTOR`].
    pub overtaking_factor: f64,
    /// [`estimate::MAX_WAIT_RATIO`].
    pub max_wait_ratio: f64,
    /// [`queue::LATENESS_TOLERANCE`].
    pub lateness_tolerance: f64,
    /// [`share::QUANTUM_S`].
    pub quantum_s: f64,
    /// [`ramp::DOUBLING_TIME`].
    pub doubling_time: Duration,
    /// [`retry::RETRY_RATIO`].
    pub retry_ratio: f64,
    /// [`retry::BURST_RETRIES`].
    pub burst_retries: f64,
    /// [`room::FREE_RESERVE_RATIO`].
    pub free_reserve_ratio: f64,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            load_bound: affinity::LOAD_BOUND,
            full_load_penalty: chain::FULL_LOAD_PENALTY,
            cost_smoothing: chain::COST_SMOOTHING,
            hold_ratio: chain::HOLD_RATIO,
            max_hold: chain::MAX_HOLD,
            slow_factor: health::SLOW_FACTOR,
            faults_to_eject: health::FAULTS_TO_EJECT,
            min_ejection: health::MIN_EJECTION,
            run_weight: queue::RUN_WEIGHT,
            overtaking_factor: estimate::OVERTAKING_FACTOR,
            max_wait_ratio: estimate::MAX_WAIT_RATIO,
            lateness_tolerance: queue::LATENESS_TOLERANCE,
            quantum_s: share::QUANTUM_S,
            doubling_time: ramp::DOUBLING_TIME,
            retry_ratio: retry::RETRY_RATIO,
            burst_retries: retry::BURST_RETRIES,
            free_reserve_ratio: room::FREE_RESERVE_RATIO,
        }
    }
}
