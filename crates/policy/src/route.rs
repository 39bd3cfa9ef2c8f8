//! Routing: the choice of a chain of replicas, one for each range of layers.
//!
//! Load patterns: mixed speeds, unequal links, reports that are late, several routers that decide on their own. If
//! each router takes the replica that looks least busy, all take the same one until the next report, then all the
//! next one (herding): refusals at one, idle slots at the rest.
//!
//! - The load of a replica is its last report plus what this router started and minus what ended since. A refusal
//!   because no slot is free makes it count as full until the next report or end.
//! - Of the replicas with a free slot a few are drawn at random, by free slots and fitness, and the better of the
//!   first two goes first: power of two choices, which herds little on old reports. The others follow as
//!   alternatives, for the try after a refusal.
//! - Better is the shorter expected time: step time and link for each token, and the prompt unless the prefix is
//!   likely to be cached there ([`crate::affinity`]); see [`crate::chain`].

use std::time::Duration;

use rand::Rng;

use crate::affinity::Prefix;
use crate::chain::Choice;
use crate::health::State;
use crate::link::{DataCentre, Links};
use crate::ramp::Ramp;
use crate::range::Range;
use crate::replica::{Replica, Vm};
use crate::room::Room;
use crate::tuning::Tuning;
use crate::work::Cost;

/// Longest step time taken from a report, in microseconds: a wrong one must not make estimates overflow.
pub const MAX_STEP_US: u64 = 600_000_000;

/// An agent's report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Slots for new work.
    pub slots: u32,
    /// Slots taken.
    pub busy: u32,
    /// Smoothed step or call time in microseconds; 0 when unknown.
    pub step_us: u64,
    /// True when it takes no new work.
    pub leaving: bool,
    /// Age of the reading when it came in; zero when unknown.
    pub age: Duration,
}

/// The properties of a request by which it is routed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request<'a> {
    /// Its tokens; 1 and 1 for a call.
    pub cost: Cost,
    /// Time left until its deadline.
    pub left: Duration,
    /// Hash of its prefix or key; `None` when it prefers no replica.
    pub prefix: Option<Prefix>,
    /// True when the preferred replica comes first whatever its load, as for a keyed call.
    pub keyed: bool,
    /// True for a draft that lost a stage: full replicas are tried too, since they keep a reserve for it
    /// ([`crate::limit`]), and it does not wait for a better match.
    pub recovery: bool,
    /// Data centre of the router.
    pub from: DataCentre,
    /// VMs that must not be used, such as those that failed this request.
    pub avoid: &'a [Vm],
}

/// Replicas for each range, best first; the first of the first range is the head.
pub type Chain = Vec<Vec<Vm>>;

/// How a try on a replica ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It succeeded.
    Succeeded,
    /// It failed by the replica's fault: no answer, lost connection, crash.
    Failed,
    /// It ended for a reason that says nothing about the replica: cancelled, another range's fault.
    Neutral,
}

/// Replicas of one model version or plain service, as one router knows them.
///
/// ```
/// use std::time::Duration;
/// use policy::health::State;
/// use policy::link::Links;
/// use policy::route::{End, Load, Table};
/// let secs = Duration::from_secs;
/// let mut table = Table::new(1, Links::new(Duration::from_millis(1)));
/// table.warm(0, "gpu-1", "east", 8);
/// table.join(0, "gpu-2", "west", 8, secs(1));
/// assert_eq!(table.room(6, secs(1)).free, 9, "the one that joins is ramped up");
/// let load = Load { slots: 8, busy: 3, step_us: 9000, leaving: false, age: Duration::ZERO };
/// table.report("gpu-1", &load, secs(2));
/// table.started("gpu-1", secs(2));
/// table.ended("gpu-1", End::Succeeded, secs(3));
/// table.started("gpu-1", secs(3));
/// table.refused("gpu-1", secs(3));
/// assert_eq!(table.state("gpu-1", secs(3)), Some(State::Live));
/// table.gone("gpu-1", secs(4));
/// table.forget("gpu-1", secs(600));
/// ```
#[derive(Debug, Clone)]
pub struct Table {
    ranges: Vec<Range>,
    links: Links,
    tuning: Tuning,
}

impl Table {
    /// Creates a table for `ranges` ranges of layers; 1 for a plain service.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::link::Links;
    /// use policy::route::{Request, Table};
    /// use policy::work::Cost;
    /// let mut table = Table::new(1, Links::new(Duration::from_millis(1)));
    /// table.warm(0, "desk-1", "east", 8);
    /// let request = Request {
    ///     cost: Cost { prompt: 1, output: 1 },
    ///     left: Duration::from_secs(10),
    ///     prefix: None,
    ///     keyed: false,
    ///     recovery: false,
    ///     from: 0,
    ///     avoid: &[],
    /// };
    /// let mut rng: rand_pcg::Pcg64 = rand::SeedableRng::seed_from_u64(1);
    /// let chain = table.chain(&request, Duration::ZERO, &mut rng).unwrap();
    /// assert_eq!(chain, [["desk-1"]]);
    /// ```
    pub fn new(ranges: usize, links: Links) -> Table {
        Table { ranges: vec![Range::default(); ranges], links, tuning: Tuning::default() }
    }

    /// Returns the table with other thresholds, before any VM is added.
    pub fn tuned(self, tuning: Tuning) -> Table {
        Table { tuning, ..self }
    }

    /// Returns the index of a data centre, for [`Request::from`].
    pub fn data_centre(&mut self, name: &str) -> DataCentre {
        self.links.index(name)
    }

    /// Adds a VM that is known at the router's own start, at full load at once.
    pub fn warm(&mut self, range: usize, vm: &str, data_centre: &str, slots: u32) {
        self.add(range, vm, data_centre, slots, Ramp::warm(), Duration::ZERO);
    }

    /// Adds a VM that joins or comes back: its load is ramped up.
    pub fn join(&mut self, range: usize, vm: &str, data_centre: &str, slots: u32, now: Duration) {
        self.add(range, vm, data_centre, slots, Ramp::join(self.tuning.doubling_time, now), now);
    }

    /// Marks a VM as lost: the connection to it broke, or it is no longer listed. Its state is kept until
    /// [`Table::forget`], so that a VM that flaps is recognised.
    pub fn gone(&mut self, vm: &str, now: Duration) {
        if let Some((range, i)) = self.find(vm) {
            let r = &mut self.ranges[range].list[i];
            r.gone = true;
            r.clear();
            self.ranges[range].refresh(now);
        }
    }

    /// Drops the state of a VM.
    pub fn forget(&mut self, vm: &str, now: Duration) {
        for range in &mut self.ranges {
            range.list.retain(|r| r.vm != vm);
            range.refresh(now);
        }
    }

    /// Applies an agent's report. Returns true when this ejects the replica.
    pub fn report(&mut self, vm: &str, load: &Load, now: Duration) -> bool {
        let Some((range, i)) = self.find(vm) else {
            return false;
        };
        let peers = self.ranges[range].peers(now);
        let r = &mut self.ranges[range].list[i];
        let free = r.free(now);
        (r.slots, r.leaving) = (load.slots, load.leaving);
        r.report(load.busy, now.saturating_sub(load.age));
        r.update_free_since(free, now);
        let mut ejected = false;
        if load.step_us > 0 {
            let fresh = load.step_us.min(MAX_STEP_US) as f64;
            r.smooth(fresh);
            ejected = r.health.step(fresh, load.busy > 0, peers, &self.tuning, now);
        }
        self.ranges[range].refresh(now);
        ejected
    }

    /// Records that a request of this router was sent to a VM; to be called for each VM of its chain.
    pub fn started(&mut self, vm: &str, now: Duration) {
        if let Some((range, i)) = self.find(vm) {
            self.ranges[range].list[i].change(1, now);
        }
    }

    /// Records that a request has ended there. Returns true when this ejects the replica.
    pub fn ended(&mut self, vm: &str, end: End, now: Duration) -> bool {
        let Some((range, i)) = self.find(vm) else {
            return false;
        };
        let peers = self.ranges[range].peers(now);
        let r = &mut self.ranges[range].list[i];
        let free = r.free(now);
        r.ended(now);
        r.update_free_since(free, now);
        match end {
            End::Succeeded => {
                r.health.succeeded(r.slots, now);
                false
            }
            End::Failed => r.health.failed(peers, &self.tuning, now),
            End::Neutral => false,
        }
    }

    /// Records that the VM refused a request because no slot was free, after [`Table::started`].
    pub fn refused(&mut self, vm: &str, now: Duration) {
        if let Some((range, i)) = self.find(vm) {
            self.ranges[range].list[i].refused(now);
        }
    }

    /// Returns the capacity for requests that could start now.
    pub fn room(&self, routers: u32, now: Duration) -> Room {
        let free = |range: &Range| range.list.iter().map(|r| r.free(now)).sum();
        let slots = |range: &Range| range.list.iter().map(|r| r.limit(now)).sum();
        let free = self.ranges.iter().map(free).min().unwrap_or(0);
        let slots = self.ranges.iter().map(slots).min().unwrap_or(0);
        Room { free, slots, routers }
    }

    /// Returns the usual time of one token through the whole chain, links not counted; for [`Cost::run`].
    pub fn step(&self) -> Duration {
        let sum: f64 = self.ranges.iter().map(Range::mean_step).sum();
        Duration::from_secs_f64(sum / 1e6)
    }

    /// Returns the state of a VM.
    pub fn state(&self, vm: &str, now: Duration) -> Option<State> {
        self.find(vm).map(|(range, i)| self.ranges[range].list[i].health.state(now))
    }

    /// Chooses the chain. Returns `None` when a range has no free slot, or when the free ones match badly and have
    /// been free for less than [`crate::chain::MAX_HOLD`]: the request has to wait.
    pub fn chain(&self, request: &Request, now: Duration, rng: &mut impl Rng) -> Option<Chain> {
        let choice =
            Choice { ranges: &self.ranges, links: &self.links, tuning: &self.tuning, request, now };
        let lists = choice.make(rng)?;
        let names = |(range, list): (&Range, &Vec<usize>)| {
            list.iter().map(|&i| range.list[i].vm.clone()).collect()
        };
        Some(self.ranges.iter().zip(&lists).map(names).collect())
    }

    /// Returns the number of ranges in which a replica that is likely to have the prefix cached has a free slot; for
    /// [`crate::queue::Queue::next_by`].
    pub fn cached_ranges(&self, prefix: Prefix, now: Duration) -> u32 {
        let free = |range: &&Range| {
            range.preferred(prefix, |r| r.limit(now) > 0).any(|i| range.list[i].free(now) > 0)
        };
        self.ranges.iter().filter(free).count() as u32
    }

    /// Returns the bytes of state.
    pub fn bytes(&self) -> usize {
        self.ranges.iter().flat_map(|range| &range.list).map(Replica::bytes).sum()
    }

    fn add(
        &mut self,
        range: usize,
        vm: &str,
        data_centre: &str,
        slots: u32,
        ramp: Ramp,
        now: Duration,
    ) {
        let step = self.tuning.doubling_time;
        let data_centre = self.links.index(data_centre);
        let range = &mut self.ranges[range];
        match range.find(vm) {
            Ok(i) if !range.list[i].gone => range.list[i].slots = slots,
            Ok(i) => {
                let old = &range.list[i];
                let (step_us, ramp) = (old.step_us, old.ramp.rejoin(step, now));
                range.list[i] = Replica::new(vm, data_centre, slots, ramp);
                range.list[i].step_us = step_us;
            }
            Err(i) => range.list.insert(i, Replica::new(vm, data_centre, slots, ramp)),
        }
        range.refresh(now);
    }

    fn find(&self, vm: &str) -> Option<(usize, usize)> {
        let found = |(range, list): (usize, &Range)| Some((range, list.find(vm).ok()?));
        self.ranges.iter().enumerate().find_map(found)
    }
}
