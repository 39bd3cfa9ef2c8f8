//! How much the callers of one data centre leave for those of another one.
//!
//! Load pattern: the demand of one data centre rises to several times the usual for some seconds. Its own servers are
//! full, and free room elsewhere is seen first and taken by the routers near it: its callers are refused far more often
//! than all others.
//!
//! A router compares the refused part of the demand of its own data centre with that of the others. Where another one is
//! clearly worse off, it narrows the limit of its own callers, so that room is left for streams that begin elsewhere. The
//! limit follows the difference and changes slowly, since reports are a second old: with steps that add up as long as
//! there is a difference, the data centres alternated in the load test, each narrowing for the one that had narrowed.

use std::time::Duration;

use crate::census::{DECAY_TIME, Demand};

/// Demand of a data centre in tokens a second below which its refusals say nothing.
const MIN_DEMAND: f64 = 1.0;

/// Difference of the refused parts from which on data centres differ. Callers are promised 0.05, and the demand of one
/// data centre is known to about 0.02.
const DIFFERENCE: f64 = 0.03;

/// Part by which the limit is narrowed for each unit of the difference beyond [`DIFFERENCE`]. In the load test, data
/// centres stay 0.07 apart with 1, and 4 brings them no closer.
const NARROWING: f64 = 2.0;

/// Limits on the change of the share in a second. It widens more slowly than it narrows: the census forgets a refusal
/// within seconds, and the load may last.
const MAX_NARROWING_PER_S: f64 = 0.1;
const MAX_WIDENING_PER_S: f64 = 0.05;

/// Share of the limit that is always left. With 0.88, data centres stay 0.08 apart in the load test.
pub const MIN_SHARE: f64 = 0.8;

/// Longest time for which one decision narrows the limit.
const MAX_STEP_TIME: Duration = Duration::from_millis(250);

/// Time for which data centres count as different after they did. The census forgets as slowly.
const HOLD_TIME: Duration = DECAY_TIME.saturating_mul(2);

/// Returns the refused part of a demand, if there is enough of it.
///
/// ```
/// use policy::{balance::refused, census::Demand};
/// assert_eq!(refused(&Demand { rank: 0, arrived: 200.0, refused: 50.0 }), Some(0.25));
/// assert_eq!(refused(&Demand::default()), None);
/// ```
pub fn refused(demand: &Demand) -> Option<f64> {
    (demand.arrived >= MIN_DEMAND).then(|| (demand.refused / demand.arrived).clamp(0.0, 1.0))
}

/// Returns how many tokens all routers are asked for, for each one that this router is asked for.
///
/// Load pattern: the routers of a data centre with a burst have few requests in the others, so that by those they would
/// count for little there, and each could begin only a stream or two a second. While data centres differ, they use
/// servers elsewhere in proportion to their demand.
///
/// ```
/// use policy::balance::demand_ratio;
/// use policy::census::Demand;
/// let demand = |arrived| Demand { arrived, ..Demand::default() };
/// assert_eq!(demand_ratio(&demand(100.0), &[demand(300.0), demand(200.0)]), Some(5.0));
/// assert_eq!(demand_ratio(&demand(0.0), &[demand(300.0)]), None);
/// ```
pub fn demand_ratio(own: &Demand, all: &[Demand]) -> Option<f64> {
    let all: f64 = all.iter().map(|demand| demand.arrived).sum();
    (own.arrived >= MIN_DEMAND).then(|| (all / own.arrived).max(1.0))
}

/// The limit of the callers of one data centre, relative to that of all.
///
/// ```
/// # use std::time::Duration;
/// use policy::balance::Balance;
/// use policy::census::Demand;
/// let demand = |refused| Demand { rank: 0, arrived: 100.0, refused };
/// let s = Duration::from_secs;
/// let mut balance = Balance::default();
/// let apart = [("a".to_owned(), demand(30.0)), ("b".to_owned(), demand(0.0))];
/// for step in 0..10 {
///     balance.update("b", &apart, s(1) + Duration::from_millis(100) * step);
/// }
/// assert!(balance.share() < 1.0 && balance.differs(s(2)));
/// let alike = [("a".to_owned(), demand(30.0)), ("b".to_owned(), demand(30.0))];
/// balance.update("b", &alike, s(10));
/// assert_eq!((balance.share(), balance.differs(s(10))), (1.0, false));
/// ```
#[derive(Debug, Clone)]
pub struct Balance {
    share: f64,
    updated: Option<Duration>,
    differed: Option<Duration>,
}

impl Default for Balance {
    fn default() -> Balance {
        Balance { share: 1.0, updated: None, differed: None }
    }
}

impl Balance {
    /// Applies the demand of all data centres; `own` is the name of the one of this router.
    pub fn update(&mut self, own: &str, demand: &[(String, Demand)], now: Duration) {
        let elapsed = now.saturating_sub(self.updated.unwrap_or(now));
        self.updated = Some(now);
        let parts = |others: bool| {
            demand
                .iter()
                .filter(move |(name, _)| (name != own) == others)
                .filter_map(|(_, d)| refused(d))
        };
        let own_part = parts(false).next();
        let most = parts(true).fold(0.0, f64::max);
        let all = || parts(true).chain(own_part);
        if all().fold(0.0, f64::max) - all().fold(1.0, f64::min) > DIFFERENCE {
            self.differed = Some(now);
        }
        // Without demand of its own there is nothing to narrow.
        let behind = own_part.map_or(0.0, |part| most - part);
        let wanted = (1.0 - NARROWING * (behind - DIFFERENCE).max(0.0)).max(MIN_SHARE);
        let narrowest = self.share - MAX_NARROWING_PER_S * elapsed.min(MAX_STEP_TIME).as_secs_f64();
        let widest = self.share + MAX_WIDENING_PER_S * elapsed.as_secs_f64();
        self.share = wanted.clamp(narrowest, widest).min(1.0);
    }

    /// Returns the share of the limit that callers of this data centre may take.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Whether the callers of one data centre are, or were a moment ago, refused clearly more often than those of
    /// another one.
    pub fn differs(&self, now: Duration) -> bool {
        self.differed.is_some_and(|at| now < at + HOLD_TIME)
    }
}
