//! Where work goes: a chain of replicas, one for each range of layers.
//!
//! Load patterns: mixed speeds, unequal links, reports that are late, several routers that decide
//! on their own. If each router takes the replica that looks idlest, all take the same one until the
//! next report, then all the next one (herding): queues at one, idle slots at the rest.
//!
//! - The load of a replica is its last report plus what this router started and
//!   minus what it saw end since. A refusal for want of slots counts as full until the next report or end.
//! - Of the replicas with a free slot a few are drawn at random, by free slots and speed, and the
//!   better of the first two goes first: power of two choices, which herds little on
//!   old reports. The others follow as alternatives, for the try after a refusal.
//! - Better is the shorter expected time: step time and link for each token, the prompt
//!   unless the prefix is likely to be cached there ([`crate::affinity`]).

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::affinity::{self, Prefix};
use crate::health::{Peers, State};
use crate::link::{DataCentre, Links};
use crate::ramp::Ramp;
use crate::replica::{BYTES, Replica, UNKNOWN_US, Vm};
use crate::room::Room;
use crate::work::{Cost, PREFILL};

/// Entries of a range's list: one refusal and one loss on the way leave a third.
pub const CANDIDATES: usize = 3;

/// How much a full replica's time counts above an idle one's: batches lengthen steps.
pub const LOAD: f64 = 0.25;

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
}

/// What a request needs to be routed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ask<'a> {
    /// Its tokens; 1 and 1 for a call.
    pub cost: Cost,
    /// Hash of its prefix or key; `None` when it prefers no replica.
    pub prefix: Option<Prefix>,
    /// True when the preferred replica comes first whatever its load, as for a keyed call.
    pub keyed: bool,
    /// Data centre of the router.
    pub from: DataCentre,
    /// VMs that must not be used, such as those that failed this request.
    pub avoid: &'a [Vm],
}

/// Replicas for each range, best first; the first range's first is the head.
pub type Chain = Vec<Vec<Vm>>;

/// How a try on a replica ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Well.
    Succeeded,
    /// By the replica's fault: no answer, lost connection, crash.
    Failed,
    /// For a reason that says nothing of the replica: cancelled, another range's fault.
    Neutral,
}

/// Replicas of one model version or plain service, as one router sees them.
#[derive(Debug, Clone)]
pub struct Table {
    ranges: Vec<Vec<Replica>>,
    links: Links,
}

impl Table {
    /// A table for `ranges` ranges of layers; 1 for a plain service.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::link::Links;
    /// use policy::route::{Ask, Table};
    /// use policy::work::Cost;
    /// let mut table = Table::new(1, Links::new(Duration::from_millis(1)));
    /// table.warm(0, "desk-1", "east", 8);
    /// let cost = Cost { prompt: 1, output: 1 };
    /// let ask = Ask { cost, prefix: None, keyed: false, from: 0, avoid: &[] };
    /// let mut rng: rand_pcg::Pcg64 = rand::SeedableRng::seed_from_u64(1);
    /// let chain = table.chain(&ask, Duration::ZERO, &mut rng).unwrap();
    /// assert_eq!(chain, [["desk-1"]]);
    /// ```
    pub fn new(ranges: usize, links: Links) -> Table {
        Table { ranges: vec![Vec::new(); ranges], links }
    }

    /// Index of a data centre, for [`Ask::from`].
    pub fn data_centre(&mut self, name: &str) -> DataCentre {
        self.links.index(name)
    }

    /// Adds a VM that is known at the router's own start.
    pub fn warm(&mut self, range: usize, vm: &str, data_centre: &str, slots: u32) {
        self.add(range, vm, data_centre, slots, Ramp::warm(), |_| Ramp::warm());
    }

    /// A VM joins or comes back: it is ramped up.
    pub fn join(&mut self, range: usize, vm: &str, data_centre: &str, slots: u32, now: Duration) {
        self.add(range, vm, data_centre, slots, Ramp::join(now), |old| old.again(now));
    }

    /// A VM is lost or no longer listed. It is remembered, so that one that flaps is seen as such,
    /// until [`Table::forget`].
    pub fn gone(&mut self, vm: &str) {
        if let Some(r) = self.get(vm) {
            (r.gone, r.own, r.reported, r.since) = (true, 0, 0, 0);
        }
    }

    /// Drops what is remembered of a VM.
    pub fn forget(&mut self, vm: &str) {
        self.ranges.iter_mut().for_each(|range| range.retain(|r| r.vm != vm));
    }

    /// An agent's report has come in. True when it ejects the replica.
    pub fn report(&mut self, vm: &str, load: &Load, now: Duration) -> bool {
        let Some((range, i)) = self.find(vm) else {
            return false;
        };
        let peers = self.peers(range, now);
        let r = &mut self.ranges[range][i];
        (r.slots, r.reported, r.since) = (load.slots, load.busy, 0);
        (r.leaving, r.full) = (load.leaving, false);
        if load.step_us == 0 {
            return false;
        }
        let fresh = load.step_us as f64;
        r.smooth(fresh);
        r.health.step(fresh, load.busy > 0, peers, now)
    }

    /// A request of this router was sent to a VM, for each VM of its chain.
    pub fn started(&mut self, vm: &str) {
        if let Some(r) = self.get(vm) {
            r.own += 1;
            r.since += 1;
        }
    }

    /// It has ended there. True when this ejects the replica.
    pub fn ended(&mut self, vm: &str, end: End, now: Duration) -> bool {
        let Some((range, i)) = self.find(vm) else {
            return false;
        };
        let peers = self.peers(range, now);
        let r = &mut self.ranges[range][i];
        r.own = r.own.saturating_sub(1);
        r.since -= 1;
        r.full = false;
        match end {
            End::Succeeded => {
                r.health.succeeded(r.slots, now);
                false
            }
            End::Failed => r.health.failed(peers, now),
            End::Neutral => false,
        }
    }

    /// The VM refused a request for want of slots, after [`Table::started`].
    pub fn refused(&mut self, vm: &str) {
        if let Some(r) = self.get(vm) {
            r.own = r.own.saturating_sub(1);
            r.since -= 1;
            r.full = true;
        }
    }

    /// What could start now.
    pub fn room(&self, routers: u32, now: Duration) -> Room {
        let free = |range: &Vec<Replica>| range.iter().map(|r| r.free(now)).sum();
        let slots = |range: &Vec<Replica>| range.iter().map(|r| r.limit(now)).sum();
        let free = self.ranges.iter().map(free).min().unwrap_or(0);
        let slots = self.ranges.iter().map(slots).min().unwrap_or(0);
        Room { free, slots, routers }
    }

    /// Usual time of one token through the whole chain, links not counted; for [`Cost::run`].
    pub fn step(&self, now: Duration) -> Duration {
        let mean = |range: &Vec<Replica>| {
            let live = range.iter().filter(|r| r.limit(now) > 0);
            let (sum, n) = live.fold((0.0, 0), |(s, n), r| (s + r.step(), n + 1));
            if n > 0 { sum / f64::from(n) } else { UNKNOWN_US }
        };
        Duration::from_secs_f64(self.ranges.iter().map(mean).sum::<f64>() / 1e6)
    }

    /// Standing of a VM.
    pub fn state(&self, vm: &str, now: Duration) -> Option<State> {
        self.find(vm).map(|(range, i)| self.ranges[range][i].health.state(now))
    }

    /// Chooses the chain; `None` when a range has no free slot, and the request has to wait.
    pub fn chain(&self, ask: &Ask, now: Duration, rng: &mut impl Rng) -> Option<Chain> {
        let mut chain = Vec::with_capacity(self.ranges.len());
        let mut from = ask.from;
        for range in &self.ranges {
            let picks = self.pick(range, ask, from, now, rng);
            let first = range.get(*picks.first()?)?;
            from = first.data_centre;
            chain.push(picks.iter().map(|&i| range[i].vm.clone()).collect());
        }
        Some(chain)
    }

    /// Bytes of state.
    pub fn bytes(&self) -> usize {
        let text = |range: &Vec<Replica>| range.iter().map(|r| r.vm.capacity()).sum::<usize>();
        let lists = |range: &Vec<Replica>| range.capacity() * BYTES + text(range);
        self.ranges.iter().map(lists).sum()
    }

    fn pick(
        &self,
        range: &[Replica],
        ask: &Ask,
        from: DataCentre,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<usize> {
        let usable = |r: &Replica| !ask.avoid.contains(&r.vm);
        let mut weights: Vec<f64> = range
            .iter()
            .map(|r| if usable(r) { f64::from(r.free(now)) / r.step() } else { 0.0 })
            .collect();
        let mut picks: Vec<usize> = Vec::with_capacity(CANDIDATES + 1);
        while picks.len() < CANDIDATES {
            let Some(i) = draw(&weights, rng) else { break };
            weights[i] = 0.0;
            picks.push(i);
        }
        let home = ask.prefix.and_then(|p| home(range, p, ask, now));
        let time = |i: usize| self.time(&range[i], ask, from, home == Some(i));
        match picks[..] {
            [a, b, ..] if time(b) < time(a) => picks.swap(0, 1),
            _ => {}
        }
        match home {
            Some(i) if ask.keyed || picks.first().is_none_or(|&best| time(i) <= time(best)) => {
                picks.retain(|&p| p != i);
                picks.insert(0, i);
                picks.truncate(CANDIDATES);
            }
            _ => {}
        }
        picks
    }

    /// Expected time of the request on a replica, in microseconds.
    fn time(&self, r: &Replica, ask: &Ask, from: DataCentre, cached: bool) -> f64 {
        let link = self.links.time(from, r.data_centre).as_secs_f64() * 1e6;
        let prompt = if cached { 0.0 } else { f64::from(ask.cost.prompt.div_ceil(PREFILL)) };
        let steps = prompt + f64::from(ask.cost.output);
        let load = f64::from(r.busy()) / f64::from(r.slots.max(1));
        steps * (r.step() * (1.0 + LOAD * load) + link)
    }

    fn peers(&self, range: usize, now: Duration) -> Peers {
        let range = &self.ranges[range];
        let ejected = |r: &&Replica| matches!(r.health.state(now), State::Ejected { .. });
        let mut steps: Vec<f64> = range.iter().map(|r| r.step_us).filter(|s| *s > 0.0).collect();
        let middle = steps.len() / 2;
        let median_us = match steps.is_empty() {
            true => 0.0,
            false => *steps.select_nth_unstable_by(middle, f64::total_cmp).1,
        };
        Peers { replicas: range.len(), ejected: range.iter().filter(ejected).count(), median_us }
    }

    fn add(
        &mut self,
        range: usize,
        vm: &str,
        data_centre: &str,
        slots: u32,
        ramp: Ramp,
        again: impl Fn(Ramp) -> Ramp,
    ) {
        let data_centre = self.links.index(data_centre);
        let list = &mut self.ranges[range];
        match list.binary_search_by(|r| r.vm.as_str().cmp(vm)) {
            Ok(i) if !list[i].gone => list[i].slots = slots,
            Ok(i) => {
                let ramp = again(list[i].ramp);
                let fresh = Replica::new(vm, data_centre, slots, ramp);
                list[i] = Replica { step_us: list[i].step_us, ..fresh };
            }
            Err(i) => list.insert(i, Replica::new(vm, data_centre, slots, ramp)),
        }
    }

    fn find(&self, vm: &str) -> Option<(usize, usize)> {
        self.ranges.iter().enumerate().find_map(|(range, list)| {
            let i = list.binary_search_by(|r| r.vm.as_str().cmp(vm)).ok()?;
            Some((range, i))
        })
    }

    fn get(&mut self, vm: &str) -> Option<&mut Replica> {
        let (range, i) = self.find(vm)?;
        Some(&mut self.ranges[range][i])
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

/// The replica a prefix belongs to, when it may take one more.
fn home(range: &[Replica], prefix: Prefix, ask: &Ask, now: Duration) -> Option<usize> {
    let usable = |r: &Replica| r.limit(now) > 0 && !ask.avoid.contains(&r.vm);
    let ranked = range.iter().enumerate().filter(|(_, r)| usable(r));
    let rank = |r: &Replica| affinity::rank(prefix, r.seed, r.slots);
    let (i, r) = ranked.max_by(|a, b| rank(a.1).total_cmp(&rank(b.1)))?;
    let busy = range.iter().map(Replica::busy).sum();
    let slots = range.iter().map(|r| r.limit(now)).sum();
    let within = r.free(now) > 0 && affinity::within_bound(r.busy(), r.limit(now), busy, slots);
    (ask.keyed || within).then_some(i)
}
