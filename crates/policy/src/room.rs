//! The capacity that a router can expect of a fleet which it shares with other routers.
//!
//! Load pattern: saturation, with several routers that decide on their own. The slots that a router has in use are
//! what it gets beside the others, and so the best measure of the rate at which its queue moves. A freed slot is
//! known first to the router whose request ended, which fills it again at once; a router that joins a full fleet
//! would never get one.

/// Ratio of its even share of the slots that a router expects before it has any in use.
const MIN_SHARE_RATIO: f64 = 0.5;

/// A router that uses more than this times its even share leaves the last free slots to the others.
///
/// Without this a router that joins a saturated fleet gets nothing: a freed slot is known first to the router whose
/// request has ended, and that one has a request waiting.
pub const OVER_SHARE_RATIO: f64 = 1.05;

/// Ratio of the slots that a router past [`OVER_SHARE_RATIO`] leaves free.
pub const FREE_RESERVE_RATIO: f64 = 0.02;

/// Free and total slots of the fleet for this queue, see [`crate::route::Table::room`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    /// Requests that could start now: free slots of the range that has fewest.
    pub free: u32,
    /// Slots of the range that has fewest.
    pub slots: u32,
    /// Routers that share them, this one included.
    pub routers: u32,
}

impl Room {
    /// Returns the slots that this router uses or can expect, while it has `running` in use.
    ///
    /// ```
    /// let room = policy::room::Room { free: 12, slots: 60, routers: 6 };
    /// assert_eq!(room.width(8), 10.0);
    /// ```
    pub fn width(&self, running: u32) -> f64 {
        let routers = f64::from(self.routers.max(1));
        let even = f64::from(self.slots) / routers;
        let free = f64::from(self.free) / routers;
        (f64::from(running) + free).max(even * MIN_SHARE_RATIO)
    }

    /// Returns true when a router that has `running` slots in use may take one more; `free_reserve_ratio` is usually
    /// [`FREE_RESERVE_RATIO`].
    ///
    /// ```
    /// let room = policy::room::Room { free: 1, slots: 60, routers: 6 };
    /// assert!(room.may_start(10, 0.02));
    /// assert!(!room.may_start(20, 0.02));
    /// ```
    pub fn may_start(&self, running: u32, free_reserve_ratio: f64) -> bool {
        let even = f64::from(self.slots) / f64::from(self.routers.max(1));
        let over = self.routers > 1 && f64::from(running) > even * OVER_SHARE_RATIO;
        let left = if over { (f64::from(self.slots) * free_reserve_ratio).ceil() } else { 0.0 };
        f64::from(self.free) > left
    }
}
