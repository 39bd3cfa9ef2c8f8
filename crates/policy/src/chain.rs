//! The choice of a chain among the replicas with free slots.
//!
//! Load pattern: saturation of a mixed fleet. A draft holds a slot in each range for its whole run, so a fast stage
//! beside a slow one is wasted. The rate of a chain is 1 / (sum of its steps), which is supermodular: the fleet does
//! most when fast replicas are chained with fast ones. With step times in a ratio of 2 : 3 : 4.5 a random match loses
//! 7% of the throughput.
//!
//! So the head is chosen by time, and the replicas after it by the distance of their step time from the one at the
//! head's quantile in their own range. Each link counts in the same unit.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::link::{DataCentre, Links};
use crate::range::Range;
use crate::replica::Replica;
use crate::route::Request;
use crate::tuning::Tuning;
use crate::work::PREFILL_TOKENS_PER_STEP;

/// Most candidates in a range's list: after one refusal and one loss in transit a third is left.
pub const MAX_CANDIDATES: usize = 3;

/// Ratio by which the time of a full replica counts above that of an idle one: batches lengthen steps.
pub const FULL_LOAD_PENALTY: f64 = 0.25;

/// Added to a replica's cost, relative to the range's mean step, before it weighs in the draw: with small values
/// nearly always the best fit is drawn and routers herd there, with large ones the draw is by free slots alone.
pub const COST_SMOOTHING: f64 = 0.03;

/// Links and distance of a chain's steps from the best match, relative to the mean step, up to which no other head is
/// tried.
const GOOD_FIT: f64 = 0.02;

/// Ratio of the time that a better match would save for which slots that match badly are left free.
///
/// In a full fleet the slots of an ended draft are the only free ones, so a chain once matched badly would be filled
/// again and again. A chain that matches well is filled at once, so what this costs falls as the matches get better.
/// Where no better match exists, as after the loss of a data centre, the time is wasted: hence only a part of what
/// could be saved.
pub const HOLD_RATIO: f64 = 0.25;

/// Longest time for which slots are left free for a better match.
pub const MAX_HOLD: Duration = Duration::from_millis(500);

/// Weight of a full replica for a draft that lost a stage, in free slots: it may have a reserve.
const FULL_REPLICA_WEIGHT: f64 = 0.1;

/// A head with candidates for the other ranges.
struct Picked {
    head: usize,
    others: Vec<Vec<usize>>,
    /// Cost of the other ranges' replicas relative to the mean step: links, and distance from the steps that match.
    mismatch: f64,
    /// Since when the first of its replicas has a free slot.
    free_since: Duration,
}

/// What matches the next range of a chain.
struct Fit {
    /// Data centre of the hop before.
    from: DataCentre,
    /// Mean step time of the range in microseconds.
    mean: f64,
    /// Step time that matches the head best in microseconds; 0 for the head itself.
    target: f64,
}

/// The input of a choice.
pub(crate) struct Choice<'a> {
    pub(crate) ranges: &'a [Range],
    pub(crate) links: &'a Links,
    pub(crate) request: &'a Request<'a>,
    pub(crate) tuning: &'a Tuning,
    pub(crate) now: Duration,
}

impl Choice<'_> {
    /// Returns the indices of the candidates for each range; `None` when the request has to wait.
    pub(crate) fn make(&self, rng: &mut impl Rng) -> Option<Vec<Vec<usize>>> {
        if self.ranges.is_empty() {
            return None;
        }
        let preferred: Vec<Option<usize>> = self.ranges.iter().map(|r| self.preferred(r)).collect();
        let mut heads = self.heads(preferred[0], rng);
        let mut best: Option<Picked> = None;
        for &head in &heads {
            let picked = self.complete(head, &preferred, rng)?;
            let fits = picked.mismatch <= GOOD_FIT;
            if best.as_ref().is_none_or(|b| picked.mismatch < b.mismatch) {
                best = Some(picked);
            }
            // The first is the best by time and prefix; the others only replace a bad match.
            if fits {
                break;
            }
        }
        let best = best.filter(|b| self.now >= b.free_since + self.hold(b.mismatch))?;
        heads.retain(|&i| i != best.head);
        heads.insert(0, best.head);
        let mut lists = vec![heads];
        lists.extend(best.others);
        Some(lists)
    }

    /// Returns how long slots that match this badly are left free: a part of what a better match would save.
    fn hold(&self, mismatch: f64) -> Duration {
        let mean: f64 = self.ranges.iter().map(Range::mean_step).sum();
        let run = self.request.cost.run(Duration::from_secs_f64(mean / 1e6));
        if self.request.recovery {
            return Duration::ZERO;
        }
        run.mul_f64(mismatch * self.tuning.hold_ratio).min(self.tuning.max_hold)
    }

    /// Returns the candidates for the head: those whose chains end before the deadline, if there are any.
    fn heads(&self, preferred: Option<usize>, rng: &mut impl Rng) -> Vec<usize> {
        let range = &self.ranges[0];
        let steps = f64::from(self.request.cost.steps());
        let left = self.request.left.as_secs_f64() * 1e6;
        let fit = Fit { from: self.request.from, mean: range.mean_step(), target: 0.0 };
        let chain = |quantile| self.ranges.iter().map(|range| range.step_at(quantile)).sum::<f64>();
        let all = steps * chain(1.0) <= left;
        let in_time = |r: &Replica| all || steps * chain(range.quantile(r.step())) <= left;
        let picks = self.pick(range, &fit, preferred, in_time, rng);
        if !picks.is_empty() {
            return picks;
        }
        let mut picks = self.pick(range, &fit, preferred, |_| true, rng);
        picks.sort_by(|&a, &b| range.list[a].step().total_cmp(&range.list[b].step()));
        picks
    }

    /// Chooses the ranges after the head.
    fn complete(
        &self,
        head: usize,
        preferred: &[Option<usize>],
        rng: &mut impl Rng,
    ) -> Option<Picked> {
        let first = &self.ranges[0].list[head];
        let quantile = self.ranges[0].quantile(first.step());
        let mut picked =
            Picked { head, others: Vec::new(), mismatch: 0.0, free_since: first.free_since };
        let (mut from, mut total) = (first.data_centre, 0.0);
        for (range, replica) in self.ranges.iter().zip(preferred).skip(1) {
            let fit = Fit { from, mean: range.mean_step(), target: range.step_at(quantile) };
            let picks = self.pick(range, &fit, *replica, |_| true, rng);
            let other = &range.list[*picks.first()?];
            picked.mismatch += self.cost(other, &fit);
            picked.free_since = picked.free_since.min(other.free_since);
            total += fit.mean;
            from = other.data_centre;
            picked.others.push(picks);
        }
        picked.mismatch /= f64::max(total, 1.0);
        Some(picked)
    }

    /// Draws candidates of a range, best first.
    fn pick(
        &self,
        range: &Range,
        fit: &Fit,
        preferred: Option<usize>,
        suits: impl Fn(&Replica) -> bool,
        rng: &mut impl Rng,
    ) -> Vec<usize> {
        let weight = |r: &Replica| match self.free(r) {
            free if free == 0.0 || self.request.avoid.contains(&r.vm) || !suits(r) => 0.0,
            free => free / (self.cost(r, fit) / fit.mean + self.tuning.cost_smoothing).powi(2),
        };
        let mut weights: Vec<f64> = range.list.iter().map(weight).collect();
        let mut picks: Vec<usize> = Vec::with_capacity(MAX_CANDIDATES + 1);
        while picks.len() < MAX_CANDIDATES {
            let Some(i) = draw(&weights, rng) else { break };
            weights[i] = 0.0;
            picks.push(i);
        }
        let preferred = preferred.filter(|&i| suits(&range.list[i]));
        let time = |i: usize| self.time(&range.list[i], fit, preferred == Some(i));
        match picks[..] {
            [a, b, ..] if time(b) < time(a) => picks.swap(0, 1),
            _ => {}
        }
        match preferred {
            Some(i) if self.request.keyed || picks.first().is_none_or(|&p| time(i) <= time(p)) => {
                picks.retain(|&p| p != i);
                picks.insert(0, i);
                picks.truncate(MAX_CANDIDATES);
            }
            _ => {}
        }
        picks
    }

    /// Returns the free slots that this request may use.
    fn free(&self, r: &Replica) -> f64 {
        match r.free(self.now) {
            0 if self.request.recovery && r.limit(self.now) > 0 => FULL_REPLICA_WEIGHT,
            free => f64::from(free),
        }
    }

    /// Returns the preferred replica of the request's prefix or key, when it may take one more.
    fn preferred(&self, range: &Range) -> Option<usize> {
        let usable = |r: &Replica| r.limit(self.now) > 0 && !self.request.avoid.contains(&r.vm);
        let mut replicas = range.preferred(self.request.prefix?, usable);
        let bound = self.tuning.load_bound;
        replicas.find(|&i| self.request.keyed || range.within_bound(i, bound, self.now))
    }

    /// Returns the microseconds that each token costs: the link, and the step time or its distance from the best.
    fn cost(&self, r: &Replica, fit: &Fit) -> f64 {
        let link = self.links.time(fit.from, r.data_centre).as_secs_f64() * 1e6;
        (r.step() - fit.target).abs() + link
    }

    /// Returns the microseconds that the whole request costs.
    fn time(&self, r: &Replica, fit: &Fit, cached: bool) -> f64 {
        let prompt =
            if cached { 0 } else { self.request.cost.prompt.div_ceil(PREFILL_TOKENS_PER_STEP) };
        let load =
            1.0 + self.tuning.full_load_penalty * f64::from(r.busy()) / f64::from(r.slots.max(1));
        let tokens = f64::from(self.request.cost.output) * self.cost(r, fit) * load;
        f64::from(prompt) * r.step() + tokens
    }
}

/// Draws an index by weight; `None` when all weights are 0.
fn draw(weights: &[f64], rng: &mut impl Rng) -> Option<usize> {
    let sum: f64 = weights.iter().sum();
    let mut at = rng.random::<f64>() * sum;
    let mut last = None;
    for (i, &w) in weights.iter().enumerate().filter(|(_, w)| **w > 0.0) {
        last = Some(i);
        at -= w;
        if at < 0.0 {
            break;
        }
    }
    last
}
