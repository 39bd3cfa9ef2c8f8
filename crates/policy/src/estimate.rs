//! The estimated wait of an arrival, and whether the arrival is refused.
//!
//! Load patterns: saturation and a burst. The estimate is the work ahead, in slot time, divided by the slots that
//! this router has in use; a workspace inside its share waits only for its own work. Short requests that come later
//! go first, so under steady overload a request waits longer than the work ahead takes. Then the delay of the order
//! itself is the better measure (how far behind its place in the order the workspace's last request started), with a
//! margin.

use std::time::Duration;

use crate::queue::{Queue, Request};
use crate::refusal::{MIN_RETRY_AFTER, OUTAGE_RETRY_AFTER, Reason, Refusal};
use crate::room::Room;

/// Factor on the part of an estimated wait that is due to requests that come later and go first. At 1 most of the
/// requests of medium length that were only just admitted were refused later; at 1.5 requests of a burst are refused
/// that could have been served.
pub const OVERTAKING_FACTOR: f64 = 1.25;

/// Bound of an estimated wait, relative to the time that all waiting requests take. Without one, requests of medium
/// length that come at the end of a burst are refused although the queue soon runs empty.
pub const MAX_WAIT_RATIO: f64 = 1.25;

/// Requests with a longer run are refused; an absurd time must not make the sums overflow.
const MAX_RUN: Duration = Duration::from_secs(24 * 60 * 60);

impl<T> Queue<T> {
    /// Returns the seconds until a request of workspace `i` starts that has `ahead` seconds of its own workspace's
    /// slot time before it; `extra` is the weight that it adds. `None` without capacity.
    pub(crate) fn wait(&self, i: usize, ahead: f64, extra: f64, room: Room) -> Option<f64> {
        let width = room.width(self.running);
        if width <= 0.0 {
            return None;
        }
        let weight = self.workspaces[i].weight();
        let fair = ahead * (self.weights + extra).max(weight) / weight;
        Some(self.expected(fair.min(self.backlog)) / width)
    }

    pub(crate) fn expected(&self, run: f64) -> f64 {
        run * self.used.min(1.0)
    }

    /// Returns true when a request would miss its deadline even if it started now and ran for all the time it asks
    /// for. Some answers are shorter, but the caller may get all it asked for.
    pub(crate) fn misses_deadline(&self, request: &Request, now: Duration) -> bool {
        request.run > MAX_RUN
            || now.checked_add(request.run).is_none_or(|end| end > request.deadline)
    }

    pub(crate) fn refusal(
        &self,
        i: usize,
        request: &Request,
        room: Room,
        now: Duration,
    ) -> Option<Refusal> {
        let refuse = |reason, seconds: Option<f64>| {
            let retry_after = seconds.map(|s| Duration::from_secs_f64(s).max(MIN_RETRY_AFTER));
            Some(Refusal { reason, retry_after })
        };
        if self.misses_deadline(request, now) {
            return refuse(Reason::Long, None);
        }
        let Some(wait) = self.arrival_wait(i, request, room, now) else {
            return refuse(Reason::Outage, Some(OUTAGE_RETRY_AFTER.as_secs_f64()));
        };
        let (own, limit) = (&self.waiting[i], self.workspaces[i].share.limit as usize);
        let end = wait + self.expected(request.run.as_secs_f64());
        let left = request.deadline.saturating_sub(now).as_secs_f64();
        match own.len() >= limit && self.backlogged() {
            _ if limit == 0 => refuse(Reason::Limit, None),
            _ if end > left => refuse(Reason::Deadline, Some(end - left)),
            true => {
                let first = own.last().map_or(0.0, |e| e.request.run.as_secs_f64());
                refuse(Reason::Limit, self.wait(i, first, 0.0, room))
            }
            false => None,
        }
    }

    /// Returns the seconds until an arrival starts; `None` without capacity.
    pub(crate) fn arrival_wait(
        &self,
        i: usize,
        request: &Request,
        room: Room,
        now: Duration,
    ) -> Option<f64> {
        let (workspace, own) = (&self.workspaces[i], &self.waiting[i]);
        let behind = request.run.mul_f64(self.tuning.run_weight);
        let before = own.iter().rev().take_while(|e| e.key <= now + behind);
        let ahead: f64 = before.map(|e| e.request.run.as_secs_f64()).sum();
        let extra = if own.is_empty() { workspace.weight() } else { 0.0 };
        let wait = self.wait(i, ahead, extra, room)?;
        let margin = behind.as_secs_f64() * self.tuning.overtaking_factor;
        let passed = workspace.lag.map_or(0.0, |lag| lag + margin);
        // After a burst the order catches up: no wait is much longer than all that waits now takes.
        let drained =
            self.expected(self.backlog) / room.width(self.running) * self.tuning.max_wait_ratio;
        Some(wait.max(passed.min(drained)))
    }
}
