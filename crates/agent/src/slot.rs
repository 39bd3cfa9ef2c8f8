//! The agent's slots: the number of requests that it admits at once.
//!
//! Only the agent knows what runs at its backend server, so it refuses at once when all slots are
//! taken; the routers' view is only a hint. [`policy::limit`] decides how many slots are reserved
//! for sessions that replace a lost stage.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use policy::limit::{self, Admit, Kind, Objective};

/// A new measurement changes the smoothed step time by one part in this many.
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

/// A slot, taken until this is dropped.
#[derive(Debug)]
pub struct Slot {
    inner: Arc<Inner>,
}

impl Slots {
    /// Returns `total` free slots.
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

    /// Takes a slot for a new request, or returns `None` if all slots open to new requests are
    /// taken.
    pub fn take(&self) -> Option<Slot> {
        self.take_for(Kind::New)
    }

    /// Takes a slot; a session that replaces a lost stage may also take a reserved one.
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

    /// Applies the fleet's objective. Taken slots stay taken.
    pub fn set_objective(&self, objective: Objective) {
        self.inner.limit().set(self.inner.total, objective);
    }

    /// Returns the number of slots.
    pub fn total(&self) -> u32 {
        self.inner.total
    }

    /// Returns the number of slots open to new requests, on which routers may count.
    pub fn open(&self) -> u32 {
        self.inner.limit().open()
    }

    /// Returns the number of taken slots.
    pub fn busy(&self) -> u32 {
        self.inner.limit().busy()
    }

    /// Returns the smoothed time of a step or call in microseconds; 0 before the first.
    pub fn step_us(&self) -> u64 {
        self.inner.step_us.load(Ordering::Relaxed)
    }

    /// Adds a measurement to the smoothed time.
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
