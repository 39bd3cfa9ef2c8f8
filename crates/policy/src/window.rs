//! How often work is sent again, with a budget that all routers share and none of them talks about.
//!
//! Load pattern: a backend server that carries a quarter of the running work dies, or a service
//! answers slowly, and every router sends all of it again at once. The repeats are load
//! themselves, so a slow service stays slow (a retry storm).
//!
//! A service may get, in any window, repeats for a share of its requests and a fixed number beside.
//! Each router uses that share of its own requests and an equal part of the fixed number.

use std::collections::VecDeque;
use std::time::Duration;

/// Part of the budget that is used. The rest covers routers that have just joined and count
/// themselves in late, and windows that slide between two of ours.
pub const MARGIN: f64 = 0.85;

/// Part of the fixed number that a router uses right after its start.
pub const YOUNG: f64 = 0.2;

/// Repeats sent to one service by one router.
#[derive(Debug, Clone)]
pub struct Budget {
    ratio: f64,
    slack: f64,
    window: Duration,
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

impl Budget {
    /// A budget of `ratio` of the requests and `slack` beside, in each `window`.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let mut budget = policy::window::Budget::new(0.2, 10.0, Duration::from_secs(10));
    /// let now = Duration::from_secs(100);
    /// // Five routers share ten repeats: one each, less the margin, and a share of requests.
    /// assert!(budget.take(now, 5));
    /// assert!(!budget.take(now, 5));
    /// (0..10).for_each(|_| budget.request(now));
    /// assert!(budget.take(now, 5));
    /// ```
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Budget {
        Budget { ratio, slack, window, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Notes a request of a caller.
    pub fn request(&mut self, now: Duration) {
        forget(&mut self.requests, now, self.window);
        self.requests.push_back(now);
    }

    /// Repeats that may still be sent now by one of `routers` routers.
    pub fn left(&mut self, now: Duration, routers: u32) -> u32 {
        forget(&mut self.requests, now, self.window);
        // Repeats are remembered a little longer, as they arrive later than they are sent.
        forget(&mut self.repeats, now, self.window + self.window / 10);
        let share = self.slack / f64::from(routers.max(1)) * self.grown(now);
        let allowed = MARGIN * (self.ratio * self.requests.len() as f64 + share);
        // A router alone with little to send may still repeat one thing.
        (allowed.max(1.0) as u32).saturating_sub(self.repeats.len() as u32)
    }

    /// Part of the fixed number that a router uses whose process started `now` ago. What the process
    /// before it used in the same window is not known, and when routers are restarted in turn
    /// each would use its part twice.
    fn grown(&self, now: Duration) -> f64 {
        (now.as_secs_f64() / self.window.as_secs_f64()).clamp(YOUNG, 1.0)
    }

    /// Takes one repeat, if one is left.
    pub fn take(&mut self, now: Duration, routers: u32) -> bool {
        let some = self.left(now, routers) > 0;
        if some {
            self.repeats.push_back(now);
        }
        some
    }
}

/// How many routers share a budget: the most that were counted for some time.
///
/// A router that is cut off from the others is no longer counted, but goes on with its own
/// part. If the rest divided its part among them at once, more than the whole would be used.
#[derive(Debug, Clone)]
pub struct Crowd {
    assumed: u32,
    keep: Duration,
    counts: VecDeque<(Duration, u32)>,
}

impl Crowd {
    /// `assumed` routers until the first count; counts hold for `keep`.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let second = Duration::from_secs(1);
    /// let mut crowd = policy::window::Crowd::new(16, 30 * second);
    /// assert_eq!(crowd.most(second), 16);
    /// crowd.note(second, 4);
    /// crowd.note(2 * second, 3);
    /// assert_eq!(crowd.most(5 * second), 4);
    /// assert_eq!(crowd.most(40 * second), 3);
    /// ```
    pub fn new(assumed: u32, keep: Duration) -> Crowd {
        Crowd { assumed, keep, counts: VecDeque::new() }
    }

    /// Notes a count.
    pub fn note(&mut self, now: Duration, routers: u32) {
        // Smaller or equal counts before this one no longer matter.
        while self.counts.back().is_some_and(|(_, count)| *count <= routers) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, routers));
        while self.counts.len() > 1 && self.counts[0].0 + self.keep < now {
            self.counts.pop_front();
        }
    }

    /// The most routers counted lately.
    pub fn most(&self, now: Duration) -> u32 {
        let lately = self.counts.iter().find(|(at, _)| *at + self.keep >= now);
        lately.or(self.counts.back()).map_or(self.assumed, |(_, count)| *count)
    }
}

fn forget(times: &mut VecDeque<Duration>, now: Duration, window: Duration) {
    while times.front().is_some_and(|at| *at + window < now) {
        times.pop_front();
    }
}
