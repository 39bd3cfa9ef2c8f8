//! The replicas of one range of layers, as one router knows them.
//!
//! Load pattern: mixed accelerators. What a step time means depends on the other replicas: 20 ms is fast in one range
//! and slow in another. The range keeps its slots in order of their step time, so that a choice finds a replica's
//! quantile among them, and the step time at a quantile, by binary search.

use std::time::Duration;

use crate::affinity::{self, Prefix};
use crate::health::{Peers, State};
use crate::ramp::Ramp;
use crate::replica::{DEFAULT_STEP_US, Replica};

#[derive(Debug, Clone, Default)]
pub(crate) struct Range {
    /// Sorted by name.
    pub(crate) list: Vec<Replica>,
    /// Step times in microseconds, sorted, each with the number of slots up to and including it.
    steps: Vec<(f64, f64)>,
    mean: f64,
}

impl Range {
    pub(crate) fn find(&self, vm: &str) -> Result<usize, usize> {
        self.list.binary_search_by(|r| r.vm.as_str().cmp(vm))
    }

    /// Sorts the step times again, after a change of any.
    pub(crate) fn refresh(&mut self, now: Duration) {
        self.end_ramps(now);
        let live = self.list.iter().filter(|r| r.limit(now) > 0);
        self.steps.clear();
        self.steps.extend(live.map(|r| (r.step(), f64::from(r.slots))));
        self.steps.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let (mut all, mut sum) = (0.0, 0.0);
        for (step, slots) in &mut self.steps {
            sum += *step * *slots;
            all += *slots;
            *slots = all;
        }
        self.mean = if all > 0.0 { sum / all } else { DEFAULT_STEP_US };
    }

    /// Ends the slow start of all replicas when none is left that takes its full load.
    ///
    /// A slow start shifts work from warm replicas to a new one. Without a warm one it would only make callers wait
    /// beside idle slots, for seconds after a restart.
    fn end_ramps(&mut self, now: Duration) {
        let full = |r: &Replica| r.limit(now) > 0 && r.ramp.allowed(r.slots, now) >= r.slots;
        if self.list.iter().any(full) {
            return;
        }
        for r in self.list.iter_mut().filter(|r| r.limit(now) > 0) {
            r.ramp = Ramp::warm();
        }
    }

    /// Returns the mean step time of a slot in microseconds.
    pub(crate) fn mean_step(&self) -> f64 {
        if self.mean > 0.0 { self.mean } else { DEFAULT_STEP_US }
    }

    /// Returns the part of the slots that are faster than `step`, plus half of those of equal speed.
    pub(crate) fn quantile(&self, step: f64) -> f64 {
        let slots = |i: usize| if i > 0 { self.steps[i - 1].1 } else { 0.0 };
        let from = slots(self.steps.partition_point(|s| s.0 < step));
        let to = slots(self.steps.partition_point(|s| s.0 <= step));
        match self.steps.last() {
            Some((_, all)) => (from + to) / 2.0 / all,
            None => 0.5,
        }
    }

    /// Returns the step time in microseconds of the slot at that quantile.
    pub(crate) fn step_at(&self, quantile: f64) -> f64 {
        let Some((last, all)) = self.steps.last() else {
            return DEFAULT_STEP_US;
        };
        let i = self.steps.partition_point(|s| s.1 <= quantile * all);
        self.steps.get(i).map_or(*last, |s| s.0)
    }

    /// Returns the figures that ejection compares with.
    pub(crate) fn peers(&self, now: Duration) -> Peers {
        let ejected = |r: &&Replica| matches!(r.health.state(now), State::Ejected { .. });
        let ejected = self.list.iter().filter(ejected).count();
        // Without the ejected replicas, whose old figures would raise it.
        let median_us = self.steps.get(self.steps.len() / 2).map_or(0.0, |s| s.0);
        Peers { replicas: self.list.len(), ejected, median_us }
    }

    /// Returns the preferred replicas of a prefix or key among those for which `usable` is true, best first.
    pub(crate) fn preferred(
        &self,
        prefix: Prefix,
        usable: impl Fn(&Replica) -> bool,
    ) -> std::iter::Flatten<std::array::IntoIter<Option<usize>, { affinity::REPLICAS_PER_PREFIX }>>
    {
        let mut best = [(f64::NEG_INFINITY, None); affinity::REPLICAS_PER_PREFIX];
        for (i, r) in self.list.iter().enumerate().filter(|(_, r)| usable(r)) {
            let mut next = (affinity::rank(prefix, r.seed, r.slots), Some(i));
            if next.0 <= best[affinity::REPLICAS_PER_PREFIX - 1].0 {
                continue;
            }
            for place in &mut best {
                if next.0 > place.0 {
                    std::mem::swap(place, &mut next);
                }
            }
        }
        best.map(|b| b.1).into_iter().flatten()
    }

    /// Returns true when a replica may take one more request of its own prefix.
    pub(crate) fn within_bound(&self, i: usize, bound: f64, now: Duration) -> bool {
        let busy = self.list.iter().map(Replica::busy).sum();
        let slots = self.list.iter().map(|r| r.limit(now)).sum();
        let r = &self.list[i];
        r.free(now) > 0 && affinity::within_bound(r.busy(), r.limit(now), busy, slots, bound)
    }
}
