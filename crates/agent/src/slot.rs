//! The agent's slots: a fixed number of requests it lets in at once.
//!
//! The agent alone knows what runs beside it, so it refuses at once when all
//! slots are taken; the routers' view is only a hint. How many are kept for sessions
//! that replace a lost stage is decided by [`policy::limit`].

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use policy::limit::{self, Admit, Kind, Objective};

/// Weight of a new reading in the smoothed step time, as one part in this many.
const SMOOTHING_DIVISOR: u64 = 8;

#[derive(Debug)]
struct Inner {
    total: u32,
    limit: Mutex<limit::Slots>,
    step_us: AtomicU64,
}

impl Inner {
    fn limit(&self) -> MutexGuard<'_, limit::Slots> {
        self.limit.lock().expect("no panic while held")
    }
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
        let limit = Mutex::new(limit::Slots::new(total, Objective::Throughput));
        Slots { inner: Arc::new(Inner { total, limit, step_us: AtomicU64::new(0) }) }
    }

    /// Takes a slot for new work; `None` when all that new work may have are taken.
    pub fn take(&self) -> Option<Slot> {
        self.take_for(Kind::New)
    }

    /// Takes a slot; a session that replaces a lost stage may also have the reserve.
    ///
    /// ```
    /// use policy::limit::{Kind, Objective};
    /// let slots = agent::slot::Slots::new(8);
    /// slots.set_objective(Objective::Recovery);
    /// let taken: Vec<_> = std::iter::from_fn(|| slots.take()).collect();
    /// assert_eq!(taken.len(), 7);
    /// assert!(slots.take_for(Kind::Recovery).is_some());
    /// ```
    pub fn take_for(&self, kind: Kind) -> Option<Slot> {
        match self.inner.limit().admit(kind) {
            Admit::Granted => Some(Slot { inner: self.inner.clone() }),
            Admit::Full { .. } => None,
        }
    }

    /// Takes over what the fleet favours; what runs goes on.
    pub fn set_objective(&self, objective: Objective) {
        self.inner.limit().set(self.inner.total, objective);
    }

    /// How many there are.
    pub fn total(&self) -> u32 {
        self.inner.total
    }

    /// How many new work may take at once: what routers may count on.
    pub fn open(&self) -> u32 {
        self.inner.limit().open()
    }

    /// How many are taken.
    pub fn busy(&self) -> u32 {
        self.inner.limit().busy()
    }

    /// Smoothed time of a step or call in microseconds; 0 before the first.
    pub fn step_us(&self) -> u64 {
        self.inner.step_us.load(Ordering::Relaxed)
    }

    /// Adds a reading to the smoothed time.
    pub fn record_time(&self, time: Duration) {
        let new = time.as_micros() as u64;
        let smooth = |old: u64| match old {
            0 => Some(new),
            old => Some((old * (SMOOTHING_DIVISOR - 1) + new) / SMOOTHING_DIVISOR),
        };
        let _ = self.inner.step_us.fetch_update(Ordering::Relaxed, Ordering::Relaxed, smooth);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.inner.limit().release();
    }
}
