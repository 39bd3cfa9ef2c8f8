//! Whether the last leader may order layers while the store answers no router.
//!
//! Load pattern: servers leave or crash while the store is unavailable. No router can show that it is the leader, so the
//! layers stay missing until the store answers again; all requests go through the few copies that are whole, whose
//! memory is soon full.
//!
//! No other router can become the leader meanwhile, so the last one continues. It stops as soon as any router reaches
//! the store, and if it was suspended itself, as others may have acted since. A server accepts an order only if it has
//! accepted exactly as many before as the order names; two leaders at most load the same layers twice.

use std::time::Duration;

/// Time without a term after which the last leader continues. If the store answers other routers, it learns of that
/// sooner.
pub const MIN_SILENCE: Duration = Duration::from_millis(500);

/// Longest time for which it continues: what it knows of servers that nobody uses gets older.
pub const MAX_HOLDOVER: Duration = Duration::from_secs(30);

/// Longest time between two checks; a process that was away for longer was suspended.
pub const MAX_PAUSE: Duration = Duration::from_millis(2500);

/// State of a router as the last leader. Times are readings of a clock that counts suspended time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Holdover {
    /// When it last used a valid term.
    held: Option<Duration>,
    checked: Duration,
}

impl Holdover {
    /// Records that the router uses a valid term.
    pub fn record_term(&mut self, now: Duration) {
        (self.held, self.checked) = (Some(now), now);
    }

    /// Records that another router is or may be the leader.
    pub fn end(&mut self) {
        self.held = None;
    }

    /// Whether the router may order layers without a term; `silent` says that the store answers no router.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use policy::holdover::{Holdover, MAX_PAUSE, MIN_SILENCE};
    /// let (mut holdover, start) = (Holdover::default(), Duration::from_secs(9));
    /// assert!(!holdover.may_order(start, true));
    /// holdover.record_term(start);
    /// assert!(holdover.may_order(start + MIN_SILENCE, true));
    /// assert!(!holdover.may_order(start + 2 * MIN_SILENCE, false));
    /// // It was suspended.
    /// assert!(!holdover.may_order(start + 2 * MIN_SILENCE + 2 * MAX_PAUSE, true));
    /// assert!(!holdover.may_order(start + 3 * MIN_SILENCE + 2 * MAX_PAUSE, true));
    /// ```
    pub fn may_order(&mut self, now: Duration, silent: bool) -> bool {
        if now > self.checked + MAX_PAUSE {
            self.end();
        }
        self.checked = now;
        silent
            && self.held.is_some_and(|held| held + MIN_SILENCE <= now && now < held + MAX_HOLDOVER)
    }
}
