//! A backend server as one router knows it.
//!
//! Load pattern: reports that are late. Between two reports the router itself counts the requests that it starts and
//! that end; without that it would send everything that arrives between two reports to the server that was least busy
//! in the last one. A report of some age doesn't include what started and ended here since it was taken, so those
//! changes are kept and added to it: otherwise a late report would bring back load that has ended, and slots would
//! stay idle.

use std::time::Duration;

use crate::affinity;
use crate::health::Health;
use crate::link::DataCentre;
use crate::ramp::Ramp;

/// State of a backend server in bytes, without the text of its VM's name and at most [`MAX_CHANGES`] times 24 for the
/// changes that a report may not include.
pub const BYTES: usize = size_of::<Replica>();

/// Largest number of changes kept since the last report; beyond it the oldest are assumed to be included in the
/// report.
pub const MAX_CHANGES: usize = 32;

/// Step time assumed before the first report, in microseconds; only its ratio to that of the peers matters.
pub(crate) const DEFAULT_STEP_US: f64 = 30_000.0;

/// Weight of a report in the smoothed step time.
const SMOOTHING: f64 = 0.3;

/// Name of a VM.
pub type Vm = String;

#[derive(Debug, Clone)]
pub(crate) struct Replica {
    pub(crate) vm: Vm,
    pub(crate) seed: u64,
    pub(crate) data_centre: DataCentre,
    pub(crate) slots: u32,
    pub(crate) reported: u32,
    /// Requests started (+1) and ended (-1) here, with the time, that a report may not include.
    changes: Vec<(Duration, i8)>,
    /// When the last report was taken.
    taken: Duration,
    pub(crate) own: u32,
    pub(crate) step_us: f64,
    pub(crate) health: Health,
    pub(crate) ramp: Ramp,
    pub(crate) leaving: bool,
    pub(crate) gone: bool,
    /// When it last refused because no slot was free; a report taken before then doesn't show it.
    full: Option<Duration>,
    /// Since when it has a free slot.
    pub(crate) free_since: Duration,
}

impl Replica {
    pub(crate) fn new(vm: &str, data_centre: DataCentre, slots: u32, ramp: Ramp) -> Replica {
        Replica {
            vm: vm.to_string(),
            seed: affinity::seed(vm),
            data_centre,
            slots,
            reported: 0,
            changes: Vec::new(),
            taken: Duration::ZERO,
            own: 0,
            step_us: 0.0,
            health: Health::default(),
            ramp,
            leaving: false,
            gone: false,
            full: None,
            free_since: Duration::ZERO,
        }
    }

    pub(crate) fn busy(&self) -> u32 {
        let since: i32 = self.changes.iter().map(|c| i32::from(c.1)).sum();
        let seen = (self.reported as i32 + since).max(0) as u32;
        seen.max(self.own)
    }

    /// Records that a request of this router starts (+1) or ends (-1).
    pub(crate) fn change(&mut self, by: i8, now: Duration) {
        // Requests that ran on a VM that was lost have ended already.
        if by < 0 && self.own == 0 {
            return;
        }
        self.own = self.own.saturating_add_signed(i32::from(by));
        if self.changes.len() == MAX_CHANGES {
            self.changes.remove(0);
        }
        self.changes.push((now, by));
    }

    /// Records a refusal because no slot was free.
    pub(crate) fn refused(&mut self, now: Duration) {
        self.change(-1, now);
        self.full = Some(now);
    }

    /// Records that a request of this router has ended.
    pub(crate) fn ended(&mut self, now: Duration) {
        self.change(-1, now);
        self.full = None;
        // The slot is free, whatever an old report and the changes since then add up to.
        let over = (self.busy() + 1).saturating_sub(self.slots.max(1));
        self.reported = self.reported.saturating_sub(over);
    }

    /// Applies a report of `busy` slots that was taken at `taken`. One older than the last is ignored.
    pub(crate) fn report(&mut self, busy: u32, taken: Duration) {
        if taken >= self.taken {
            (self.reported, self.taken) = (busy, taken);
            self.changes.retain(|c| c.0 > taken);
            self.full = self.full.filter(|at| *at > taken);
        }
    }

    /// Drops the counts of what ran there.
    pub(crate) fn clear(&mut self) {
        (self.own, self.reported) = (0, 0);
        self.changes.clear();
    }

    /// Returns the bytes of state.
    pub(crate) fn bytes(&self) -> usize {
        BYTES + self.vm.capacity() + self.changes.capacity() * size_of::<(Duration, i8)>()
    }

    pub(crate) fn limit(&self, now: Duration) -> u32 {
        match self.leaving || self.gone {
            true => 0,
            false => self.health.allowed(self.ramp.allowed(self.slots, now), now),
        }
    }

    pub(crate) fn free(&self, now: Duration) -> u32 {
        match self.full {
            Some(_) => 0,
            None => self.limit(now).saturating_sub(self.busy()),
        }
    }

    /// Updates `free_since` after a change from `before` free slots.
    pub(crate) fn update_free_since(&mut self, before: u32, now: Duration) {
        if before == 0 && self.free(now) > 0 {
            self.free_since = now;
        }
    }

    /// Returns the smoothed step time in microseconds, or the default before the first report.
    pub(crate) fn step(&self) -> f64 {
        if self.step_us > 0.0 { self.step_us } else { DEFAULT_STEP_US }
    }

    /// Adds a fresh step time to the smoothed one.
    pub(crate) fn smooth(&mut self, fresh: f64) {
        self.step_us = match self.step_us > 0.0 {
            true => self.step_us + SMOOTHING * (fresh - self.step_us),
            false => fresh,
        };
    }
}
