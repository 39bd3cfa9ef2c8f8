//! Where a request goes: replicas of each range of layers, or agents of a service.

use config::fleet::Model;
use rand::seq::SliceRandom;
use wire::frame::{Hop, Place, Stage};

use crate::view::{self, Agent};

/// Replicas named for each range: the first is tried first, the others are spares.
const REPLICAS: usize = 4;

/// For each range of the model its replicas, best first. Ranges without a
/// usable replica have an empty list.
pub fn chain(agents: &[Agent], model: &Model) -> Vec<Hop> {
    model.ranges.iter().map(|&(first, last)| hop(agents, model, first, last)).collect()
}

fn hop(agents: &[Agent], model: &Model, first: u32, last: u32) -> Hop {
    let stage = Stage { model: model.name.clone(), version: model.version, first, last };
    Hop { replicas: replicas(agents, stage.clone()), stage }
}

/// Replicas of a range, best first.
pub fn replicas(agents: &[Agent], stage: Stage) -> Vec<Place> {
    let fits = |a: &&Agent| view::stage(a) == Some(&stage);
    let found: Vec<&Agent> = agents.iter().filter(fits).collect();
    by_load(found).into_iter().take(REPLICAS).map(|a| a.place.clone()).collect()
}

/// Agents of a service, best first.
pub fn service(agents: &[Agent], name: &str, key: Option<&str>) -> Vec<Agent> {
    let mut found: Vec<&Agent> = agents.iter().filter(|a| view::serves(a, name)).collect();
    match key {
        Some(key) => found.sort_by_key(|a| std::cmp::Reverse(weight(key, &a.place.vm))),
        None => found = by_load(found),
    }
    found.into_iter().cloned().collect()
}

/// Rendezvous weight: all routers send one key to the same agent, which then
/// knows of a repeat without waiting for the log.
fn weight(key: &str, vm: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(format!("{key}\n{vm}").as_bytes())
}

fn by_load(mut found: Vec<&Agent>) -> Vec<&Agent> {
    found.shuffle(&mut rand::rng());
    found.sort_by_key(|a| load(a));
    found
}

/// Expected wait in microseconds: what is known to run there times its step time.
fn load(agent: &Agent) -> u64 {
    let Some(report) = &agent.report else { return u64::MAX };
    let running = u64::from(report.busy.max(agent.own));
    (running + 1) * report.step_us.max(1) / u64::from(report.slots.max(1))
}
