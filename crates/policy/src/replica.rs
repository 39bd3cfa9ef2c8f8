//! A backend server as one router sees it.
//!
//! Load pattern: reports that are late. Between two of them the router counts what it
//! starts and sees end itself; without that it sends all that arrives between two reports
//! to the server that looked idlest in the last one.

use std::time::Duration;

use crate::affinity;
use crate::health::Health;
use crate::link::DataCentre;
use crate::ramp::Ramp;

/// State of a backend server in bytes, without the text of its VM's name.
pub const BYTES: usize = size_of::<Replica>();

/// Step time assumed before the first report, in microseconds; only its relation to peers matters.
pub(crate) const UNKNOWN_US: f64 = 30_000.0;

/// Weight of a report in the smoothed step time.
const SMOOTH: f64 = 0.3;

/// Name of a VM.
pub type Vm = String;

#[derive(Debug, Clone)]
pub(crate) struct Replica {
    pub(crate) vm: Vm,
    pub(crate) seed: u64,
    pub(crate) data_centre: DataCentre,
    pub(crate) slots: u32,
    pub(crate) reported: u32,
    /// Started less ended here since the last report.
    pub(crate) since: i32,
    pub(crate) own: u32,
    pub(crate) step_us: f64,
    pub(crate) health: Health,
    pub(crate) ramp: Ramp,
    pub(crate) leaving: bool,
    pub(crate) gone: bool,
    pub(crate) full: bool,
}

impl Replica {
    pub(crate) fn new(vm: &str, data_centre: DataCentre, slots: u32, ramp: Ramp) -> Replica {
        Replica {
            vm: vm.to_string(),
            seed: affinity::seed(vm),
            data_centre,
            slots,
            reported: 0,
            since: 0,
            own: 0,
            step_us: 0.0,
            health: Health::default(),
            ramp,
            leaving: false,
            gone: false,
            full: false,
        }
    }

    pub(crate) fn busy(&self) -> u32 {
        let seen = (self.reported as i32 + self.since).max(0) as u32;
        seen.max(self.own)
    }

    pub(crate) fn limit(&self, now: Duration) -> u32 {
        match self.leaving || self.gone {
            true => 0,
            false => self.health.allowed(self.ramp.allowed(self.slots, now), now),
        }
    }

    pub(crate) fn free(&self, now: Duration) -> u32 {
        match self.full {
            true => 0,
            false => self.limit(now).saturating_sub(self.busy()),
        }
    }

    /// Smoothed step time in microseconds, or one like any other's before the first report.
    pub(crate) fn step(&self) -> f64 {
        if self.step_us > 0.0 { self.step_us } else { UNKNOWN_US }
    }

    /// Takes over a fresh step time.
    pub(crate) fn smooth(&mut self, fresh: f64) {
        self.step_us = match self.step_us > 0.0 {
            true => self.step_us + SMOOTH * (fresh - self.step_us),
            false => fresh,
        };
    }
}
