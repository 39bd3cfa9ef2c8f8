//! Fair shares among workspaces, with many routers whose reports are late or lost.

use std::time::Duration;

use policy::census::{Census, Report, Tally};
use policy::fair::{Demand, MAX_WORKSPACES, Shares};
use policy::headroom::Limit;
use policy::rank::{Place, Queue, Turn};
use policy::share::Share;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

const ROUTERS: usize = 27;
const SERVERS: usize = 26;
const SERVER_TOKENS: f64 = 12_000.0;
const STEP: Duration = Duration::from_millis(20);
const RUN: Duration = Duration::from_secs(2);
const WAIT: Duration = Duration::from_millis(250);
const RETRY_AFTER: Duration = Duration::from_millis(2500);
/// Steps between two reports of the servers' loads, and in a second.
const LOAD_REPORT_STEPS: usize = 13;
const STEPS_PER_S: usize = 50;
const FLOOD: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(40);
/// The workspace that floods the servers.
const NOISY: usize = 3;

#[derive(Clone, Copy)]
struct Load {
    workspaces: usize,
    /// Usual demand as a ratio of what the servers hold.
    usual: f64,
    /// Demand of the noisy workspace during the flood, relative to its usual one.
    factor: f64,
    /// Whether the decisions under test are used.
    fair: bool,
    /// Ratio of the reports that are lost.
    lost: f64,
    /// Whether one router a second starts again.
    restarts: bool,
    /// When the keys of the noisy workspace are revoked.
    revoked: Option<Duration>,
}

const USUAL: Load = Load {
    workspaces: 24,
    usual: 0.78,
    factor: 10.0,
    fair: true,
    lost: 0.1,
    restarts: false,
    revoked: None,
};

struct Request {
    workspace: usize,
    tokens: f64,
    again: bool,
    place: Place,
    is_charged: bool,
}

#[derive(Default)]
struct Router {
    tally: Tally,
    census: Census,
    shares: Shares,
    queue: Queue,
    waiting: Vec<Request>,
    /// Load of the servers as last reported, and what this router has added since.
    loads: Vec<f64>,
}

/// Tokens that arrived and that were served during the flood, of the others and of the noisy workspace.
#[derive(Default)]
struct Outcome {
    arrived: [f64; 2],
    served: [f64; 2],
    /// Routers that keep state of the noisy workspace at the end.
    keeping: usize,
}

impl Outcome {
    fn ratio(&self, is_noisy: bool) -> f64 {
        self.served[usize::from(is_noisy)] / self.arrived[usize::from(is_noisy)]
    }
}

fn name(workspace: usize) -> String {
    format!("workspace-{workspace:03}")
}

fn share(workspace: &str) -> Share {
    Share { workspace: workspace.into(), weight: 1, limit: u32::MAX }
}

impl Router {
    fn update(&mut self, load: &Load, is_revoked: bool, now: Duration) {
        let known = load.workspaces - usize::from(is_revoked);
        let gone = |workspace: &str| is_revoked && workspace == name(NOISY);
        let member = |workspace: &str| (!gone(workspace)).then(|| share(workspace));
        let own = self.tally.report("a", now);
        let reports = (&self.census, &own, ROUTERS as u32);
        let demand = match self.census.is_empty() {
            true => self.shares.own_demand(known, share, now),
            false => Demand::of(reports, known, member, |_| true, gone, now),
        };
        self.shares.update(&demand);
    }

    fn enter(&mut self, load: &Load, workspace: usize, tokens: f64, again: bool, now: Duration) {
        let name = name(workspace);
        self.tally.arrived(1, Some(&name), tokens, now);
        self.shares.arrived(&name, tokens, now);
        let is_charged =
            load.fair && self.shares.is_contested() && !self.shares.is_starved(&name, now);
        let (until, above) = (now + WAIT, self.shares.is_above(&name));
        let place = match is_charged {
            true => self.queue.enter_share(1, false, until, &share(&name), tokens, above),
            false => self.queue.enter(1, false, until),
        };
        self.waiting.push(Request { workspace, tokens, again, place, is_charged });
    }
}

/// Simulates callers, routers and servers.
fn play(load: Load, seed: u64) -> Outcome {
    let mut random = Pcg64::seed_from_u64(seed);
    let fresh = || Router { loads: vec![0.0; SERVERS], ..Router::default() };
    let mut routers: Vec<Router> = (0..ROUTERS).map(|_| fresh()).collect();
    let mut servers = vec![0.0; SERVERS];
    let (mut running, mut returns) = (Vec::new(), Vec::new());
    let mut reports: Vec<(Duration, usize, Report)> = Vec::new();
    let mut outcome = Outcome::default();
    let mean_tokens = 1000.0;
    let rate = load.usual * SERVERS as f64 * SERVER_TOKENS / mean_tokens / RUN.as_secs_f64();
    let mut now = Duration::ZERO;
    while now < END {
        now += STEP;
        let ticks = (now.as_millis() / STEP.as_millis()) as usize;
        let is_revoked = load.revoked.is_some_and(|at| now >= at);
        running.retain(|&(until, server, tokens)| {
            let ends = now >= until;
            servers[server] -= if ends { tokens } else { 0.0 };
            !ends
        });
        for (i, router) in routers.iter_mut().enumerate() {
            if (ticks + i).is_multiple_of(LOAD_REPORT_STEPS) {
                router.loads.clone_from(&servers);
            }
            if (ticks + i * 7).is_multiple_of(STEPS_PER_S) {
                router.census.expire(ROUTERS as u32, now);
                let report = router.tally.report("a", now);
                if report.total().refused >= 1.0 && random.random::<f64>() >= load.lost {
                    let delay = Duration::from_millis(random.random_range(200..700));
                    reports.push((now + delay, i, report));
                }
            }
            if ticks.is_multiple_of(5) {
                router.update(&load, is_revoked, now);
            }
            if is_revoked {
                router.shares.retain(|workspace| workspace != name(NOISY));
                router.queue.retain(|workspace| workspace != name(NOISY));
            }
            if load.restarts && ticks % (STEPS_PER_S * ROUTERS) == STEPS_PER_S * i {
                *router = fresh();
            }
        }
        for (_, from, report) in reports.extract_if(.., |(at, _, _)| now >= *at) {
            for (i, router) in routers.iter_mut().enumerate().filter(|(i, _)| *i != from) {
                // Each router misses some reports that others receive.
                if !(i + from + ticks).is_multiple_of(9) {
                    router.census.insert(&format!("router-{from:02}"), report.clone(), now);
                }
            }
        }
        let mut arrivals: Vec<(usize, f64, bool)> = returns
            .extract_if(.., |(at, _, _)| now >= *at)
            .map(|(_, workspace, tokens)| (workspace, tokens, true))
            .collect();
        for workspace in 0..load.workspaces {
            let floods = workspace == NOISY && now >= FLOOD;
            let factor = if floods { load.factor } else { 1.0 };
            let mean = rate / load.workspaces as f64 * factor * STEP.as_secs_f64();
            // Several arrivals in one step are rare but for the noisy workspace.
            let arrived = (0..4).filter(|_| random.random::<f64>() < mean / 4.0).count();
            let tokens = |_| (workspace, mean_tokens * random.random_range(0.5..1.5), false);
            arrivals.extend((0..arrived).map(tokens));
        }
        for (workspace, tokens, again) in arrivals {
            if is_revoked && workspace == NOISY {
                continue;
            }
            if now >= FLOOD && !again {
                outcome.arrived[usize::from(workspace == NOISY)] += tokens;
            }
            let router = random.random_range(0..ROUTERS);
            routers[router].enter(&load, workspace, tokens, again, now);
        }
        let first = random.random_range(0..ROUTERS);
        for router in (0..ROUTERS).map(|i| (i + first) % ROUTERS) {
            let router = &mut routers[router];
            router.waiting.sort_by_key(|request| request.place);
            for request in std::mem::take(&mut router.waiting) {
                let name = name(request.workspace);
                let factor = if load.fair { router.shares.factor(&name, now) } else { 1.0 };
                let limit = Limit::full().scaled(factor);
                let turn = router.queue.turn(request.place, now);
                let by_load = |a: &usize, b: &usize| router.loads[*a].total_cmp(&router.loads[*b]);
                let server = (0..SERVERS).min_by(by_load).expect("servers");
                let fits = |used: f64, ratio: f64| used + request.tokens <= ratio * SERVER_TOKENS;
                if turn == Turn::Search && fits(router.loads[server], limit.memory) {
                    router.loads[server] += request.tokens;
                    // A server that has become full since its report declines.
                    if fits(servers[server], 1.0) {
                        servers[server] += request.tokens;
                        running.push((now + RUN, server, request.tokens));
                        router.queue.leave(request.place, true, now);
                        let counted = if now >= FLOOD { request.tokens } else { 0.0 };
                        outcome.served[usize::from(request.workspace == NOISY)] += counted;
                        continue;
                    }
                }
                if turn != Turn::Refuse {
                    router.waiting.push(request);
                    continue;
                }
                router.queue.leave(request.place, false, now);
                if request.is_charged {
                    router.queue.refund(&name, request.tokens);
                }
                router.tally.refused(1, request.tokens, now);
                router.shares.refused(&name, request.tokens, now);
                if !request.again {
                    returns.push((now + RETRY_AFTER, request.workspace, request.tokens));
                }
            }
        }
    }
    outcome.keeping = routers.iter().filter(|r| r.shares.is_kept(&name(NOISY))).count();
    outcome
}

// One workspace floods the servers: the others must keep what they have without it, also while reports are lost or
// routers start again with no state.
#[rstest]
#[case::usual(USUAL)]
#[case::near_the_limit(Load { usual: 0.81, ..USUAL })]
#[case::at_the_limit(Load { usual: 0.84, ..USUAL })]
#[case::reports_lost(Load { lost: 0.5, ..USUAL })]
#[case::no_reports(Load { lost: 1.0, ..USUAL })]
#[case::many_small(Load { workspaces: 200, factor: 80.0, ..USUAL })]
#[case::routers_restart(Load { restarts: true, ..USUAL })]
fn others_keep_what_they_have(#[case] load: Load) {
    for seed in 0..8 {
        let without = play(Load { factor: 1.0, ..load }, seed);
        let flooded = play(load, seed);
        let kept = flooded.ratio(false) / without.ratio(false);
        assert!(kept >= 0.98, "seed {seed}: others keep {kept}");
        // The flood itself must not be cut off.
        let relative = flooded.ratio(true) / flooded.ratio(false);
        assert!(relative >= 0.25, "seed {seed}: the noisy one is served {relative} as often");
    }
}

// The load must be one under which the others lose requests without fair shares.
#[test]
fn others_lose_without_fair_shares() {
    let without = play(Load { factor: 1.0, fair: false, ..USUAL }, 0);
    let kept = play(Load { fair: false, ..USUAL }, 0).ratio(false) / without.ratio(false);
    assert!(kept < 0.95, "others keep {kept}");
}

// A workspace whose keys are revoked must leave no state behind, and its last demand must not count as that of others.
#[test]
fn a_revoked_workspace_leaves_no_state() {
    let revoked = Some(Duration::from_secs(25));
    let outcome = play(Load { revoked, ..USUAL }, 0);
    assert_eq!(outcome.keeping, 0);
    assert!(play(USUAL, 0).keeping > 0);
}

// A caller with a new name for each request must not fill the memory.
#[test]
fn state_is_bounded() {
    let mut shares = Shares::default();
    (0..10_000).for_each(|i| shares.arrived(&name(i), 1e6, Duration::ZERO));
    assert_eq!(shares.len(), MAX_WORKSPACES);
    shares.arrived("late", 1.0, Duration::from_secs(1000));
    assert!(shares.len() <= 1);
}
