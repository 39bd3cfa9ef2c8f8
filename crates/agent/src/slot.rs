//! The agent's slots: a fixed number of requests it lets in at once.
//!
//! The agent alone knows what runs beside it, so it refuses at once when all
//! slots are taken; the routers' view is only a hint.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Weight of a new reading in the smoothed step time, as one part in this many.
const SMOOTHING: u64 = 8;

#[derive(Debug)]
struct Inner {
    total: u32,
    busy: AtomicU32,
    step_us: AtomicU64,
}

/// The slots of an agent.
#[derive(Debug, Clone)]
pub struct Slots {
    inner: Arc<Inner>,
}

/// A slot that is taken until this is dropped.
#[derive(Debug)]
pub struct Slot {
    inner: Arc<Inner>,
}

impl Slots {
    /// `total` free slots.
    ///
    /// ```
    /// let slots = agent::slot::Slots::new(1);
    /// let taken = slots.take().unwrap();
    /// assert!(slots.take().is_none());
    /// drop(taken);
    /// assert!(slots.take().is_some());
    /// ```
    pub fn new(total: u32) -> Slots {
        let (busy, step_us) = (AtomicU32::new(0), AtomicU64::new(0));
        Slots { inner: Arc::new(Inner { total, busy, step_us }) }
    }

    /// Takes a slot; `None` when all are taken.
    pub fn take(&self) -> Option<Slot> {
        let total = self.inner.total;
        let up = |busy: u32| (busy < total).then_some(busy + 1);
        self.inner.busy.fetch_update(Ordering::AcqRel, Ordering::Acquire, up).ok()?;
        Some(Slot { inner: self.inner.clone() })
    }

    /// How many there are.
    pub fn total(&self) -> u32 {
        self.inner.total
    }

    /// How many are taken.
    pub fn busy(&self) -> u32 {
        self.inner.busy.load(Ordering::Acquire)
    }

    /// Smoothed time of a step or call in microseconds; 0 before the first.
    pub fn step_us(&self) -> u64 {
        self.inner.step_us.load(Ordering::Relaxed)
    }

    /// Adds a reading to the smoothed time.
    pub fn measured(&self, time: Duration) {
        let new = time.as_micros() as u64;
        let smooth = |old: u64| match old {
            0 => Some(new),
            old => Some((old * (SMOOTHING - 1) + new) / SMOOTHING),
        };
        let _ = self.inner.step_us.fetch_update(Ordering::Relaxed, Ordering::Relaxed, smooth);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.inner.busy.fetch_sub(1, Ordering::AcqRel);
    }
}
