//! Slow start of a VM that joins or comes back.
//!
//! Load pattern: a VM joins while the fleet is busy, or a third of it returns at once. Every router sees the idle
//! slots at the same moment; the VM, with cold caches and nothing warmed up, gets a full load in one step, its step
//! times soar and it is treated as a failing one.
//!
//! So a VM starts with one slot, and the slots allowed double every [`DOUBLING_TIME`]: 8 slots are reached after
//! three steps. They double because a fixed rate is slow for large VMs. A VM that flaps between live and lost doubles
//! its step with each return, up to [`MAX_FLAP_FACTOR`] times, until it has been in service for [`FLAP_MEMORY`], so
//! that flapping VMs don't move work back and forth.
//!
//! In a range whose replicas are all being ramped up, no other replica takes the rest of the load: there the slow
//! start ends at once.

use std::time::Duration;

/// Time in which the slots allowed double.
pub const DOUBLING_TIME: Duration = Duration::from_millis(500);

/// Largest factor on [`DOUBLING_TIME`] for a VM that flaps.
pub const MAX_FLAP_FACTOR: u32 = 16;

/// Time in service after which earlier flaps no longer count.
pub const FLAP_MEMORY: Duration = Duration::from_secs(60);

/// Slow start of one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ramp {
    step: Duration,
    since: Duration,
    factor: u32,
}

impl Ramp {
    /// Starts the ramp of a VM that joins at `now`; `step` is usually [`DOUBLING_TIME`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::ramp::{Ramp, DOUBLING_TIME};
    /// let ramp = Ramp::join(DOUBLING_TIME, Duration::ZERO);
    /// assert_eq!(ramp.allowed(8, Duration::ZERO), 1);
    /// assert_eq!(ramp.allowed(8, DOUBLING_TIME * 3), 8);
    /// ```
    pub fn join(step: Duration, now: Duration) -> Ramp {
        Ramp { step, since: now, factor: 1 }
    }

    /// Returns a ramp at full load, for a VM known at the router's own start: it is warm, and no work shifts to it.
    ///
    /// ```
    /// use std::time::Duration;
    /// let ramp = policy::ramp::Ramp::warm();
    /// assert_eq!(ramp.allowed(8, Duration::ZERO), 8);
    /// ```
    pub fn warm() -> Ramp {
        Ramp { step: DOUBLING_TIME, since: Duration::ZERO, factor: 0 }
    }

    /// Starts the ramp of a VM that comes back at `now` after it had left or was lost.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::ramp::{Ramp, DOUBLING_TIME};
    /// let ramp = Ramp::join(DOUBLING_TIME, Duration::ZERO).rejoin(DOUBLING_TIME, Duration::from_secs(1));
    /// assert_eq!(ramp.allowed(8, Duration::from_secs(1) + DOUBLING_TIME), 1);
    /// ```
    pub fn rejoin(self, step: Duration, now: Duration) -> Ramp {
        let factor = match now.saturating_sub(self.since) >= FLAP_MEMORY {
            true => 1,
            false => (self.factor * 2).clamp(1, MAX_FLAP_FACTOR),
        };
        Ramp { step, since: now, factor }
    }

    /// Returns how many of `slots` slots may be used at `now`.
    pub fn allowed(&self, slots: u32, now: Duration) -> u32 {
        if self.factor == 0 {
            return slots;
        }
        let step = self.step.max(Duration::from_micros(1)) * self.factor;
        let steps = now.saturating_sub(self.since).as_micros() / step.as_micros();
        match steps < 31 {
            true => slots.min(1 << steps),
            false => slots,
        }
    }
}
