//! Which requests are served first when there is too little room, by priority rank.
//!
//! Load pattern: the least urgent requests arrive at four times their usual rate, the most urgent ones at twice theirs,
//! and the memory of the servers is full. Whoever comes first takes what is left, and a request that is refused comes
//! back seconds later, when its answer is late whatever happens.
//!
//! - [`share`] keeps room for more urgent requests: a part of what they lately asked for, and more while they find none.
//! - [`Queue`] orders the requests that wait: by rank, those that can still be on time first, then by fairness between
//!   workspaces while room is short, then by the time left. One that would not get a place in time is refused at once, so
//!   that its caller can come back sooner.
//! - [`Returns`] spreads the callers that were refused, the least urgent ones over the latest time.

use std::time::Duration;

use crate::census::{Demand, Rank};
use crate::fair::Order;
use crate::share::Share;

/// Room kept for the requests that are more urgent than one, as a ratio of their part of the demand. It covers by how
/// much they may grow within the second in which servers report their load.
const RESERVE: f64 = 0.15;

/// Room kept in addition, as a multiple of the part of all demand that was more urgent and refused.
const REFUSAL_RESERVE: f64 = 2.0;

/// Least share of the room that a rank may take.
const MIN_SHARE: f64 = 0.5;

/// A rank whose demand is served less than this often, compared with the rank that is served best, may take all room.
/// Callers are promised a quarter.
const STARVED_RATIO: f64 = 0.35;

/// Demand in tokens a second below which a rank counts as unused.
const MIN_DEMAND: f64 = 1.0;

/// Returns the share of the room that requests of `rank` may take, out of the demand by rank.
///
/// ```
/// use policy::census::Demand;
/// use policy::rank::share;
/// let demand = [
///     Demand { rank: 0, arrived: 500.0, refused: 0.0 },
///     Demand { rank: 2, arrived: 500.0, refused: 100.0 },
/// ];
/// assert_eq!(share(0, &demand), 1.0);
/// assert_eq!(share(2, &demand), 1.0 - 0.15 * 0.5);
/// // More is kept while urgent requests find no room, and nothing while there are none.
/// assert!(share(2, &[Demand { refused: 50.0, ..demand[0] }, demand[1]]) < share(2, &demand));
/// assert_eq!(share(2, &demand[1..]), 1.0);
/// ```
pub fn share(rank: Rank, demand: &[Demand]) -> f64 {
    let sum = |demands: &[Demand]| {
        demands.iter().fold((0.0, 0.0), |sum, d| (sum.0 + d.arrived, sum.1 + d.refused))
    };
    let urgent = sum(&demand[..demand.partition_point(|d| d.rank < rank)]);
    let all = sum(demand);
    if urgent.0 < MIN_DEMAND || is_starved(rank, demand) {
        return 1.0;
    }
    let reserve = (RESERVE * urgent.0 + REFUSAL_RESERVE * urgent.1) / all.0;
    (1.0 - reserve).max(MIN_SHARE)
}

/// Returns the rank by which a request of `rank` is queued: that of the most urgent demand while its own is starved.
/// Room alone does not help a starved rank, as more urgent requests take it first while they too are refused.
///
/// ```
/// use policy::census::Demand;
/// use policy::rank::queue_rank;
/// let demand = [
///     Demand { rank: 0, arrived: 500.0, refused: 100.0 },
///     Demand { rank: 2, arrived: 500.0, refused: 400.0 },
/// ];
/// assert_eq!(queue_rank(2, &demand), 0);
/// assert_eq!(queue_rank(2, &[demand[0], Demand { refused: 300.0, ..demand[1] }]), 2);
/// ```
pub fn queue_rank(rank: Rank, demand: &[Demand]) -> Rank {
    let first = demand.iter().find(|d| d.arrived >= MIN_DEMAND);
    match first {
        Some(first) if is_starved(rank, demand) => first.rank.min(rank),
        _ => rank,
    }
}

/// Whether the demand of a rank is served much less often than that of another one.
fn is_starved(rank: Rank, demand: &[Demand]) -> bool {
    let served = |d: &Demand| 1.0 - (d.refused / d.arrived.max(MIN_DEMAND)).min(1.0);
    let best = demand.iter().filter(|d| d.arrived >= MIN_DEMAND).map(served).fold(0.0, f64::max);
    let own = demand.iter().find(|d| d.rank == rank && d.arrived >= MIN_DEMAND).map(served);
    own.is_some_and(|own| own < STARVED_RATIO * best)
}

/// A waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Its rank.
    pub rank: Rank,
    /// Whether its answer is late already. Its caller has seconds left and gains least by a place now.
    pub late: bool,
    /// Whether its workspace is above its fair share.
    pub above_share: bool,
    /// Virtual start among the requests of all workspaces, in tokens.
    pub start: u64,
    /// Until when a place is of use to it.
    pub until: Duration,
    /// Number that tells it from the others.
    pub ticket: u64,
}

/// What a waiting request does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// It looks for a path.
    Search,
    /// It waits for those before it.
    Wait,
    /// It is refused: it would not get a place in time.
    Refuse,
}

/// Time constant of the decay of the rate at which places are found.
const RATE_DECAY: Duration = Duration::from_secs(1);

/// Expected wait, as a multiple of the time left, from which on a request is refused. The rate is estimated from few
/// places, and at 1 requests would be refused that get a place in time.
const WAIT_TOLERANCE: f64 = 1.5;

/// Places in a second that are assumed at least. A router that has just started has found none yet, and one whose servers
/// were full finds several at once when they report room.
const MIN_RATE: f64 = 10.0;

/// Waiting requests that are always kept, whatever the rate is.
const MIN_WAITING: usize = 3;

/// Limit on the waiting requests of a router.
pub const MAX_WAITING: usize = 64;

/// Requests of one router that wait for a path to a model.
///
/// ```
/// # use std::time::Duration;
/// use policy::rank::{Queue, Turn};
/// let ms = Duration::from_millis;
/// let mut queue = Queue::default();
/// let draft = queue.enter(2, false, ms(900));
/// let urgent = queue.enter(0, false, ms(400));
/// assert_eq!(queue.turn(draft, ms(0)), Turn::Wait);
/// assert_eq!(queue.turn(urgent, ms(0)), Turn::Search);
/// queue.leave(urgent, true, ms(10));
/// assert_eq!(queue.turn(draft, ms(10)), Turn::Search);
/// assert_eq!(queue.turn(draft, ms(900)), Turn::Refuse);
/// ```
#[derive(Debug, Default)]
pub struct Queue {
    waiting: Vec<Place>,
    order: Order,
    tickets: u64,
    placed: f64,
    at: Duration,
}

impl Queue {
    /// Adds a request to which a place is of use until `until`.
    pub fn enter(&mut self, rank: Rank, late: bool, until: Duration) -> Place {
        self.tickets += 1;
        let (above_share, start, ticket) = (false, self.order.now(), self.tickets);
        self.insert(Place { rank, late, above_share, start, until, ticket })
    }

    /// Adds a request whose workspace shares the room with others. One that is above its share comes after all others
    /// of its rank.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use policy::rank::{Queue, Turn};
    /// use policy::share::Share;
    /// let share = |name: &str| Share { workspace: name.into(), weight: 1, limit: 0 };
    /// let (until, now) = (Duration::from_secs(1), Duration::ZERO);
    /// let mut queue = Queue::default();
    /// queue.enter_share(1, false, until, &share("north"), 800.0, false);
    /// let second = queue.enter_share(1, false, until, &share("north"), 800.0, false);
    /// let south = queue.enter_share(1, false, until, &share("south"), 800.0, false);
    /// assert!(south < second);
    /// ```
    pub fn enter_share(
        &mut self,
        rank: Rank,
        late: bool,
        until: Duration,
        share: &Share,
        tokens: f64,
        above_share: bool,
    ) -> Place {
        self.tickets += 1;
        let start = self.order.enter(share, tokens);
        self.insert(Place { rank, late, above_share, start, until, ticket: self.tickets })
    }

    /// Gives back what a workspace was charged for a request that leaves without a place.
    pub fn refund(&mut self, workspace: &str, tokens: f64) {
        self.order.refund(workspace, tokens);
    }

    /// Drops the state of workspaces that are not to be kept.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.order.retain(keep);
    }

    fn insert(&mut self, place: Place) -> Place {
        let at = self.waiting.partition_point(|other| *other < place);
        self.waiting.insert(at, place);
        place
    }

    /// Removes a request; `placed` says whether it got a place.
    pub fn leave(&mut self, place: Place, placed: bool, now: Duration) {
        if placed && let Some(start) = self.waiting.iter().map(|place| place.start).min() {
            self.order.placed(start);
        }
        if let Ok(at) = self.waiting.binary_search(&place) {
            self.waiting.remove(at);
        }
        if placed {
            self.placed = self.placed * self.decay(now) + 1.0;
            self.at = now;
        }
    }

    /// Returns what a waiting request does now.
    pub fn turn(&self, place: Place, now: Duration) -> Turn {
        // A request above its share may find no room within its narrower limit; others don't wait for it.
        let ahead = self.waiting[..self.waiting.partition_point(|other| *other < place)]
            .iter()
            .filter(|other| place.above_share || !other.above_share)
            .count();
        match ahead {
            _ if now >= place.until || ahead >= MAX_WAITING => Turn::Refuse,
            0 => Turn::Search,
            _ if ahead < MIN_WAITING => Turn::Wait,
            _ => {
                let left = place.until.saturating_sub(now).as_secs_f64();
                match self.expected_wait(ahead, now) > left * WAIT_TOLERANCE {
                    true => Turn::Refuse,
                    false => Turn::Wait,
                }
            }
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the places that this router finds in a second.
    pub fn rate(&self, now: Duration) -> f64 {
        self.placed * self.decay(now) / RATE_DECAY.as_secs_f64()
    }

    fn expected_wait(&self, ahead: usize, now: Duration) -> f64 {
        ahead as f64 / self.rate(now).max(MIN_RATE)
    }

    fn decay(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.at).as_secs_f64() / RATE_DECAY.as_secs_f64()).exp()
    }
}

/// Earliest return of the most urgent callers, about as long as a request runs.
pub const MIN_RETURN: Duration = Duration::from_millis(1500);

/// How much later each further rank returns.
const RANK_STEP: Duration = Duration::from_millis(1500);

/// Limit on these steps.
const MAX_STEPS: usize = 3;

/// Ratio of the places found that callers who return may take.
const RETURN_RATIO: f64 = 0.2;

/// Callers that return in a second even if no places are found now.
const MIN_RETURNS_PER_S: f64 = 0.5;

/// Part of the longest time that is spread at random, once more callers were refused than can return in order.
const SPREAD: f64 = 0.4;

/// When refused callers come back: in order of rank, and as many in a second as there is room for beside new ones.
///
/// ```
/// # use std::time::Duration;
/// use policy::rank::{MIN_RETURN, Returns};
/// let (now, longest) = (Duration::from_secs(10), Duration::from_secs(6));
/// let mut returns = Returns::default();
/// assert_eq!(returns.retry_after(0, 10.0, longest, 0.5, now), MIN_RETURN);
/// assert_eq!(returns.retry_after(0, 10.0, longest, 0.5, now), MIN_RETURN + Duration::from_millis(500));
/// assert_eq!(returns.retry_after(1, 10.0, longest, 0.5, now), MIN_RETURN * 2);
/// ```
#[derive(Debug, Default)]
pub struct Returns {
    /// When the last caller returns, by the number of more urgent ranks.
    last: Vec<Duration>,
}

impl Returns {
    /// Returns the time after which a refused caller is to come back, at most `longest`. There are `more_urgent` ranks
    /// before its own, `rate` places are found in a second, and `random` is a number below one.
    pub fn retry_after(
        &mut self,
        more_urgent: usize,
        rate: f64,
        longest: Duration,
        random: f64,
        now: Duration,
    ) -> Duration {
        let at = more_urgent.min(MAX_STEPS);
        self.last.resize(self.last.len().max(at + 1), Duration::ZERO);
        let gap = Duration::from_secs_f64(1.0 / (rate * RETURN_RATIO).max(MIN_RETURNS_PER_S));
        let wanted =
            (self.last[at] + gap).saturating_sub(now).max(MIN_RETURN + RANK_STEP * at as u32);
        self.last[at] = now + wanted.min(longest);
        match wanted <= longest {
            true => wanted,
            false => longest.mul_f64(1.0 - SPREAD * random),
        }
    }
}
