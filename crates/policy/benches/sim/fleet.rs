//! Agents, routers and the bound of a fleet.

use std::collections::VecDeque;
use std::time::Duration;

use policy::limit::{Objective, Slots};
use policy::link::Links;
use policy::retry::Budget;
use policy::route::Table;
use policy::share::Share;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::load::WORKSPACES;
use super::variant::{Count, Variant, Waiting};

/// Agents of the three ranges.
pub const AGENTS: [usize; 3] = [14, 13, 13];

/// Slots of an agent.
pub const SLOTS: u32 = 8;

/// Step times in milliseconds of the three kinds of accelerator.
pub const STEPS: [f64; 3] = [8.0, 12.0, 18.0];

/// Prefixes that an engine keeps.
pub const CACHE: usize = 24;

#[derive(Debug, Clone)]
pub struct Agent {
    pub vm: String,
    pub range: usize,
    pub data_centre: usize,
    pub step: f64,
    pub slots: Slots,
    pub up: bool,
    pub cache: VecDeque<u64>,
}

pub struct Router {
    pub table: Table,
    pub queue: Waiting,
    pub budget: Budget,
    pub refusals: Budget,
    pub counts: Vec<Vec<Count>>,
    pub turn: usize,
    pub rng: Pcg64,
}

impl Router {
    pub fn started(&mut self, vm: &str, a: usize, now: Duration) {
        self.table.started(vm, now);
        self.count(a, 1);
    }

    pub fn count(&mut self, a: usize, n: i32) {
        if let Some(c) = self.counts.iter_mut().flatten().find(|c| c.agent == a) {
            c.own += n;
        }
    }
}

pub fn agent(i: usize, objective: Objective) -> Agent {
    let range = (0..3).find(|r| i < AGENTS[..=*r].iter().sum()).expect("a range");
    let first: usize = AGENTS[..range].iter().sum();
    let place = i - first;
    Agent {
        vm: format!("vm-{i:03}"),
        range,
        data_centre: place % 3,
        step: STEPS[place / 3 % 3] / 1e3,
        slots: Slots::new(SLOTS, objective),
        up: true,
        cache: VecDeque::new(),
    }
}

pub fn router(i: usize, agents: &[Agent], variant: Variant, seed: u64) -> Router {
    let tuning = variant.tuning();
    let links = Links::new(Duration::from_micros(500));
    let mut table = Table::new(AGENTS.len(), links).tuned(tuning);
    for d in 0..3 {
        table.data_centre(&centre(d));
    }
    let mut counts = vec![Vec::new(); AGENTS.len()];
    for (i, a) in agents.iter().enumerate() {
        table.warm(a.range, &a.vm, &centre(a.data_centre), SLOTS);
        counts[a.range].push(Count { agent: i, ..Count::default() });
    }
    let share = |w| Share { workspace: workspace(w), weight: 1, limit: 500 };
    let queue = Waiting::new(variant.fifo, (0..WORKSPACES).map(share).collect(), tuning);
    let rng = Pcg64::seed_from_u64(seed * 1000 + i as u64);
    Router {
        table,
        queue,
        budget: Budget::tuned(&tuning),
        refusals: Budget::refusals(),
        counts,
        turn: i * 7,
        rng,
    }
}

pub fn hash(prefix: u64) -> u64 {
    prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

pub fn centre(i: usize) -> String {
    format!("dc-{i}")
}

pub fn workspace(i: usize) -> String {
    format!("workspace-{i}")
}

/// The most output tokens a second that the fleet can generate: slots of similar speed are paired across the ranges
/// (the best pairing, since a chain's rate 1 / (a + b + c) is supermodular), all links take no time, and all shared
/// prefixes are cached.
pub fn bound(agents: &[Agent]) -> f64 {
    let mut ranges: Vec<Vec<f64>> = Vec::new();
    for r in 0..AGENTS.len() {
        let live = agents.iter().filter(|a| a.range == r && a.up);
        let mut steps: Vec<f64> = live.flat_map(|a| [a.step; SLOTS as usize]).collect();
        steps.sort_by(f64::total_cmp);
        ranges.push(steps);
    }
    let slots = ranges.iter().map(Vec::len).min().unwrap_or(0);
    (0..slots).map(|i| 1.0 / ranges.iter().map(|s| s[i]).sum::<f64>()).sum()
}
