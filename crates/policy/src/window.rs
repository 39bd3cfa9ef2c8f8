//! The retry budget of a service, which all routers share.
//!
//! Load pattern: a backend server that carries a quarter of the running work dies, or a service answers slowly, and
//! every router sends all of that work again at once. The retries are load themselves, so a slow service stays slow
//! (a retry storm).
//!
//! In any window a service may receive retries for a ratio of its requests plus a fixed number. A router's
//! share is that ratio of its own requests and an equal part of the fixed number. What it does not need it lends to
//! others ([`crate::loan`]). A loan counts as a retry of the lender, so the sum stays within the common budget
//! whichever router sends them and whatever is lost in transit.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::loan::Loan;

/// Ratio of the budget that is used. The rest is for routers that have just started.
pub const USABLE_RATIO: f64 = 0.94;

/// Ratio of its share that a router uses while its predecessor may have used all of the share.
pub const RATIO_AFTER_UNKNOWN_USE: f64 = 0.03;

/// Ratio of its share from which on a router reports its use, so that routers that start know of it.
pub const HEAVY_USE_RATIO: f64 = 0.4;

/// Ratio of its share that a router uses while its predecessor did not use more than [`HEAVY_USE_RATIO`].
const RATIO_AFTER_LIGHT_USE: f64 = 0.5;

/// Longest time from when a retry is counted until it arrives, also for one that was lent. Windows are counted where
/// retries arrive.
pub const MAX_DELIVERY_DELAY: Duration = Duration::from_secs(1);

/// Ratio of a router's share that only streams that have begun may use. A request that has not begun can be refused
/// and sent again by its caller; a caller that has part of an answer can't do so.
pub const RESERVED_RATIO: f64 = 0.25;

/// Part of a standard deviation by which the requests counted in a single window are taken to be fewer.
const COUNT_MARGIN: f64 = 0.5;

/// Shortest time after which a router that has nothing left to lend is asked again, for each router of the group: if
/// all are short, each is asked some thirty times a second.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(30);

/// Longest time after which a router that had nothing left is asked again, however long its retries still count.
const MAX_ASK_INTERVAL: Duration = Duration::from_millis(800);

/// What a retry is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Need {
    /// An answer of which the caller has received a part.
    Begun,
    /// A request that can still be refused.
    New,
}

/// What is known of the router's previous process, whose retries count in the same window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Predecessor {
    /// There was none: all routers have started for the first time.
    First,
    /// No router has reported heavy use.
    Light,
    /// It handed over what it used.
    Told,
    /// It may have used all of its share.
    #[default]
    Unknown,
}

impl Predecessor {
    /// Returns whether everything about it that counts is known to a process which started `now` ago, in windows of
    /// length `window`.
    pub fn is_known(self, now: Duration, window: Duration) -> bool {
        matches!(self, Predecessor::First | Predecessor::Told) || now >= window + MAX_DELIVERY_DELAY
    }
}

/// What a process that ends hands over to the next one, in whose windows it counts. Ages are in milliseconds before
/// its end, the oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Requests of callers.
    pub requests: Vec<u32>,
    /// Retries that were sent or lent.
    pub used: Vec<u32>,
    /// Whether the requests of two whole windows are known.
    pub settled: bool,
}

/// The share of one router in the retry budget of one service.
#[derive(Debug, Clone)]
pub struct Budget {
    ratio: f64,
    slack: f64,
    window: Duration,
    predecessor: Predecessor,
    /// Fraction of a retry from which on this router's share is rounded up; none until the other routers are known.
    rounding_threshold: Option<f64>,
    /// Until when each request counts, which is for two windows; and when the requests of two whole windows are
    /// known.
    requests: VecDeque<Duration>,
    settled: Option<Duration>,
    /// Until when each retry counts that was sent or lent.
    used: VecDeque<Duration>,
    /// Whether the rest was handed over to the next process.
    closed: bool,
}

impl Budget {
    /// Creates a budget of `ratio` of the requests plus `slack`, in each `window`.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let mut budget = policy::window::Budget::new(0.2, 10.0, Duration::from_secs(10));
    /// let now = Duration::from_secs(100);
    /// // Five routers share ten retries: one each, less the margin, and a ratio of the requests.
    /// assert!(budget.take(now, 5));
    /// assert!(!budget.take(now, 5));
    /// (0..10).for_each(|_| budget.record_request(now));
    /// assert!(budget.take(now, 5));
    /// ```
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Budget {
        let (requests, used) = (VecDeque::new(), VecDeque::new());
        let predecessor = Predecessor::default();
        Budget {
            ratio,
            slack,
            window,
            predecessor,
            rounding_threshold: None,
            requests,
            settled: None,
            used,
            closed: false,
        }
    }

    /// Sets what is known of the previous process.
    pub fn set_predecessor(&mut self, predecessor: Predecessor) {
        self.predecessor = predecessor;
    }

    /// Sets the rank of this router among `routers` routers once these are known. Shares are rounded up or down by
    /// rank, so that the rounding of all routers cancels out.
    pub fn set_rank(&mut self, rank: u32, routers: u32) {
        self.rounding_threshold = Some(1.0 - f64::from(rank) / f64::from(routers.max(1)));
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Duration) {
        expire(&mut self.requests, now);
        let until = now + self.window * 2;
        self.requests.push_back(until);
        self.settled.get_or_insert(until);
    }

    /// Returns the usual number of requests in a window. Each router sometimes has more than its mean by chance, but
    /// not all routers at the same time, so the newest window counts only as far as the one before it agrees.
    fn usual_requests(&mut self, now: Duration) -> f64 {
        expire(&mut self.requests, now);
        let before = self.requests.partition_point(|until| *until < now + self.window);
        let newest = (self.requests.len() - before) as f64;
        match self.settled.is_some_and(|settled| settled <= now) {
            true => newest.min(self.requests.len() as f64 / 2.0),
            false => newest - COUNT_MARGIN * newest.sqrt(),
        }
    }

    /// Returns the share of one of `routers` routers, in retries in a window.
    pub fn share(&mut self, now: Duration, routers: u32) -> u32 {
        let even = self.slack / f64::from(routers.max(1));
        let share =
            USABLE_RATIO * (self.ratio * self.usual_requests(now) + even) * self.usable_ratio(now);
        match self.rounding_threshold {
            Some(rounding_threshold) => {
                share as u32 + u32::from(share.fract() >= rounding_threshold)
            }
            // A router that knows of no others may still send one retry.
            None => (share as u32).max(1),
        }
    }

    /// Returns the retries that one of `routers` routers may still send now.
    pub fn left(&mut self, now: Duration, routers: u32) -> u32 {
        let share = self.share(now, routers);
        expire(&mut self.used, now);
        if self.closed { 0 } else { share.saturating_sub(self.used.len() as u32) }
    }

    /// Returns the retries that are left for one kind of need.
    pub fn left_for(&mut self, need: Need, now: Duration, routers: u32) -> u32 {
        let reserved = match need {
            Need::Begun => 0,
            Need::New => (RESERVED_RATIO * f64::from(self.share(now, routers))) as u32,
        };
        self.left(now, routers).saturating_sub(reserved)
    }

    /// Returns the ratio of its share that a router uses whose process started `now` ago. If it used all of the share
    /// after its predecessor did so in the same window, routers that are restarted one after the other would use
    /// their shares twice.
    fn usable_ratio(&self, now: Duration) -> f64 {
        match self.predecessor {
            predecessor if predecessor.is_known(now, self.window) => 1.0,
            Predecessor::Light => RATIO_AFTER_LIGHT_USE,
            Predecessor::First | Predecessor::Told | Predecessor::Unknown => {
                RATIO_AFTER_UNKNOWN_USE
            }
        }
    }

    /// Returns whether one of `routers` routers has used so much of its share that the others have to know.
    pub fn is_heavy(&mut self, now: Duration, routers: u32) -> bool {
        let share = self.share(now, routers);
        expire(&mut self.used, now);
        let used = share.min(self.used.len() as u32);
        used > 0 && f64::from(used) >= HEAVY_USE_RATIO * f64::from(share)
    }

    /// Takes one retry, if one is left.
    pub fn take(&mut self, now: Duration, routers: u32) -> bool {
        self.take_for(Need::Begun, now, routers)
    }

    /// Takes one retry for a need, if one is left for it.
    pub fn take_for(&mut self, need: Need, now: Duration, routers: u32) -> bool {
        self.lend(need, 1, now, routers).lent == 1
    }

    /// Takes up to `want` retries at once, for another router.
    pub fn lend(&mut self, need: Need, want: u32, now: Duration, routers: u32) -> Loan {
        let lent = want.min(self.left_for(need, now, routers));
        let until = now + self.window + MAX_DELIVERY_DELAY;
        self.used.extend((0..lent).map(|_| until));
        // New requests may raise this share before the oldest use has left the window.
        let retry_after =
            self.used.front().map_or(Duration::ZERO, |until| until.saturating_sub(now));
        let retry_after = retry_after.min(MAX_ASK_INTERVAL).max(MIN_ASK_INTERVAL * routers);
        Loan { lent, retry_after: if lent < want { retry_after } else { Duration::ZERO } }
    }

    /// Stops sending and lending, and returns what counts for the next process; none if the use of the predecessor is
    /// not known and still counts.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use policy::window::{Predecessor, Budget};
    /// let fresh = || Budget::new(0.2, 100.0, Duration::from_secs(10));
    /// let (mut old, now) = (fresh(), Duration::from_secs(100));
    /// assert!(old.take(now, 5));
    /// let handover = old.close(now).unwrap();
    /// assert!(!old.take(now, 5));
    /// let (mut next, start) = (fresh(), Duration::from_millis(200));
    /// next.set_predecessor(Predecessor::Told);
    /// next.take_over(&handover, Duration::from_secs(1));
    /// assert_eq!(next.left(start, 5) + 1, fresh().left(now, 5));
    /// ```
    pub fn close(&mut self, now: Duration) -> Option<Handover> {
        self.closed = true;
        expire(&mut self.requests, now);
        expire(&mut self.used, now);
        let ages = |untils: &VecDeque<Duration>, counts: Duration| {
            let age = |until: &Duration| (counts + now).saturating_sub(*until).as_millis() as u32;
            untils.iter().map(age).collect()
        };
        self.predecessor.is_known(now, self.window).then(|| Handover {
            requests: ages(&self.requests, self.window * 2),
            used: ages(&self.used, self.window + MAX_DELIVERY_DELAY),
            settled: self.settled.is_some_and(|settled| settled <= now),
        })
    }

    /// Counts what the previous process handed over, which ended `gap` before this one started.
    pub fn take_over(&mut self, handover: &Handover, gap: Duration) {
        let untils = |ages: &[u32], counts: Duration| -> Vec<Duration> {
            let until = |age: &u32| counts.checked_sub(gap + Duration::from_millis((*age).into()));
            ages.iter().filter_map(until).collect()
        };
        merge(&mut self.used, untils(&handover.used, self.window + MAX_DELIVERY_DELAY));
        merge(&mut self.requests, untils(&handover.requests, self.window * 2));
        if handover.settled {
            self.settled = Some(Duration::ZERO);
        }
    }
}

/// The number of routers that share a budget: the largest count within some time.
///
/// A router that is cut off from the others is no longer counted but keeps using its own share. If the others divided
/// that share among them at once, more than the whole budget would be used.
#[derive(Debug, Clone)]
pub struct Routers {
    assumed: u32,
    keep: Duration,
    counts: VecDeque<(Duration, u32)>,
}

impl Routers {
    /// Assumes `assumed` routers until the first count; counts are kept for `keep`.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let second = Duration::from_secs(1);
    /// let mut routers = policy::window::Routers::new(16, 30 * second);
    /// assert_eq!(routers.count(second), 16);
    /// routers.record(second, 4);
    /// routers.record(2 * second, 3);
    /// assert_eq!(routers.count(5 * second), 4);
    /// assert_eq!(routers.count(40 * second), 3);
    /// ```
    pub fn new(assumed: u32, keep: Duration) -> Routers {
        Routers { assumed, keep, counts: VecDeque::new() }
    }

    /// Records a count.
    pub fn record(&mut self, now: Duration, routers: u32) {
        // Earlier counts that are smaller or equal no longer matter.
        while self.counts.back().is_some_and(|(_, count)| *count <= routers) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, routers));
        while self.counts.len() > 1 && self.counts[0].0 + self.keep < now {
            self.counts.pop_front();
        }
    }

    /// Returns the largest count that is still kept.
    pub fn count(&self, now: Duration) -> u32 {
        let kept = self.counts.iter().find(|(at, _)| *at + self.keep >= now);
        kept.or(self.counts.back()).map_or(self.assumed, |(_, count)| *count)
    }
}

fn expire(untils: &mut VecDeque<Duration>, now: Duration) {
    while untils.front().is_some_and(|until| *until < now) {
        untils.pop_front();
    }
}

fn merge(untils: &mut VecDeque<Duration>, more: Vec<Duration>) {
    untils.extend(more);
    untils.make_contiguous().sort_unstable();
}
