//! Routers that share the limit of one server, without a network.

use std::collections::BinaryHeap;
use std::time::Duration;

use policy::quota::{Grant, Ledger, Permits, Request, Sent, WINDOW};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

/// A group of routers with callers.
#[derive(Clone)]
struct Scenario {
    routers: usize,
    /// Requests a second for the server, of all routers.
    demand: f64,
    /// Ratio of the requests of each router to those of the router before it.
    skew: f64,
    limit: f64,
    /// Longest time from a request for permits to its answer.
    late: Duration,
    /// Ratio of the requests for permits that are lost.
    lost: f64,
    /// Interval at which another router becomes the owner of the ledger.
    owner_change_interval: Option<Duration>,
    /// How long both owners then keep a ledger.
    overlap: Duration,
}

const DEFAULT: Scenario = Scenario {
    routers: 20,
    demand: 12.0,
    skew: 1.0,
    limit: 2.9,
    late: Duration::from_millis(10),
    lost: 0.0,
    owner_change_interval: None,
    overlap: Duration::ZERO,
};

/// When the server names its limit, and when the simulation ends.
const LIMIT_START: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(70);

/// Time after which the limit has to be kept.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Longest time until a router knows of the limit.
const MAX_NOTICE_DELAY: Duration = Duration::from_millis(500);

struct Router {
    permits: Permits,
    sent: Sent,
    limit_known_at: Duration,
    asking: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A router learns of the limit.
    LimitKnown(usize),
    /// A request arrives at a router.
    Request(usize),
    /// The answer to a router's request arrives: the permits and the milliseconds after which it may ask again.
    Answer(usize, u32, u64),
}

/// Times at which callers sent requests, and at which the server received them.
fn simulate(scenario: &Scenario, seed: u64) -> (Vec<Duration>, Vec<Duration>) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let weights: Vec<f64> = (0..scenario.routers).map(|n| scenario.skew.powi(n as i32)).collect();
    let all: f64 = weights.iter().sum();
    let mut events = BinaryHeap::new();
    let mut push = |at: Duration, event| events.push(std::cmp::Reverse((at, event)));
    for (n, weight) in weights.iter().enumerate() {
        let rate = scenario.demand * weight / all;
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / rate);
            if at > END {
                break;
            }
            push(at, Event::Request(n));
        }
    }
    let mut routers: Vec<Router> = (0..scenario.routers)
        .map(|_| Router {
            permits: Permits::default(),
            sent: Sent::default(),
            limit_known_at: LIMIT_START + MAX_NOTICE_DELAY.mul_f64(rng.random()),
            asking: false,
        })
        .collect();
    for (n, router) in routers.iter().enumerate() {
        push(router.limit_known_at, Event::LimitKnown(n));
    }
    let mut ledgers: Vec<Ledger> = vec![Ledger::default(); 64];
    let (mut sent, mut received) = (Vec::new(), Vec::new());
    while let Some(std::cmp::Reverse((now, event))) = events.pop() {
        let n = match event {
            Event::Request(n) | Event::Answer(n, ..) | Event::LimitKnown(n) => n,
        };
        if let Event::Answer(n, permits, retry_after_ms) = event {
            let retry_after = Duration::from_millis(retry_after_ms);
            routers[n].asking = false;
            routers[n].permits.receive(Grant { permits, retry_after }, now);
            if permits == 0 {
                continue;
            }
        }
        if matches!(event, Event::Request(_)) {
            sent.push(now);
        }
        let router = &mut routers[n];
        let limit_known = matches!(event, Event::LimitKnown(_));
        let may = !limit_known && now < router.limit_known_at || router.permits.take(now);
        if may {
            router.sent.record(now);
            received.push(now);
            continue;
        }
        let asks = matches!(event, Event::Request(_)) && router.permits.may_ask(now);
        if router.asking || !(asks || limit_known) {
            continue;
        }
        router.asking = true;
        let delay = scenario.late.mul_f64(rng.random());
        if rng.random::<f64>() < scenario.lost {
            let answer = Event::Answer(n, 0, 100);
            events.push(std::cmp::Reverse((now + Duration::from_millis(100), answer)));
            continue;
        }
        let (free, last) = router.sent.before(router.limit_known_at, now);
        let free_age = now.saturating_sub(last.unwrap_or_default());
        let request = Request { limit: scenario.limit, free, free_age, want: u32::from(asks) };
        let at = now + delay / 2;
        let owner = scenario.owner_change_interval.map_or(0, |every| {
            let turn = (at.as_secs_f64() / every.as_secs_f64()) as usize;
            let since = at.as_secs_f64() % every.as_secs_f64();
            let old = since < scenario.overlap.as_secs_f64() && rng.random::<f64>() < 0.5;
            turn.saturating_sub(usize::from(old))
        });
        let grant = ledgers[owner % 64].grant(&format!("vm-{n}"), request, at);
        let answer = Event::Answer(n, grant.permits, grant.retry_after.as_millis() as u64);
        events.push(std::cmp::Reverse((now + delay, answer)));
    }
    (sent, received)
}

/// Largest number of requests in any window that ends after the limit has to be kept.
fn most(received: &[Duration]) -> usize {
    let ends = received.iter().filter(|at| **at >= LIMIT_START + SETTLING_TIME);
    let within =
        |end: Duration| received.iter().filter(move |at| **at <= end && **at + WINDOW > end);
    ends.map(|end| within(*end).count()).max().unwrap_or(0)
}

/// Ratio of the limit that is used once the requests from before it have left the window.
fn used(scenario: &Scenario, received: &[Duration]) -> f64 {
    let from = LIMIT_START + 2 * WINDOW;
    let count = received.iter().filter(|at| **at >= from).count() as f64;
    count / (scenario.limit * (END - from).as_secs_f64())
}

fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5) as usize + 5
}

/// No more requests may reach the server than it allows, and routers must not leave most of its limit unused.
#[rstest]
#[case::one(Scenario { routers: 1, ..DEFAULT })]
#[case::five(Scenario { routers: 5, ..DEFAULT })]
#[case::twenty(DEFAULT)]
#[case::sixty_eight(Scenario { routers: 68, ..DEFAULT })]
#[case::five_skewed(Scenario { routers: 5, skew: 0.3, ..DEFAULT })]
#[case::twenty_skewed(Scenario { skew: 0.7, ..DEFAULT })]
#[case::sixty_eight_skewed(Scenario { routers: 68, skew: 0.8, ..DEFAULT })]
#[case::a_high_limit(Scenario { limit: 40.0, demand: 130.0, skew: 0.8, ..DEFAULT })]
#[case::far_away(Scenario { late: Duration::from_millis(60), skew: 0.7, ..DEFAULT })]
fn the_limit_is_kept_and_used(#[case] case: Scenario) {
    for seed in 0..20 {
        let (_, received) = simulate(&case, seed);
        assert!(most(&received) <= allowed(case.limit), "seed {seed}: {} in 4 s", most(&received));
        assert!(used(&case, &received) >= 0.9, "seed {seed}: {:.2} used", used(&case, &received));
    }
}

/// Requests for permits are late or lost, and owners of the ledger change or overlap. The server must not receive more
/// requests than it allows.
#[rstest]
#[case::late(Scenario { late: Duration::from_secs(1), skew: 0.7, ..DEFAULT })]
#[case::lost(Scenario { lost: 0.5, skew: 0.7, ..DEFAULT })]
#[case::owner_changes(Scenario { owner_change_interval: Some(Duration::from_secs(5)), ..DEFAULT })]
#[case::overlaps(Scenario {
    owner_change_interval: Some(Duration::from_secs(7)), overlap: Duration::from_secs(1), ..DEFAULT
})]
#[case::overlaps_many(Scenario {
    routers: 68, owner_change_interval: Some(Duration::from_secs(7)), overlap: Duration::from_secs(1), ..DEFAULT
})]
#[case::high_and_overlapping(Scenario {
    limit: 40.0, demand: 130.0, owner_change_interval: Some(Duration::from_secs(7)),
    overlap: Duration::from_secs(1), ..DEFAULT
})]
fn the_limit_is_kept_under_faults(#[case] case: Scenario) {
    for seed in 0..20 {
        let (_, received) = simulate(&case, seed);
        assert!(most(&received) <= allowed(case.limit), "seed {seed}: {} in 4 s", most(&received));
        assert!(used(&case, &received) >= 0.5, "seed {seed}: {:.2} used", used(&case, &received));
    }
}

/// While demand is below the limit, hardly any request may be refused.
#[rstest]
#[case::few(Scenario { routers: 4, demand: 2.0, limit: 4.0, ..DEFAULT })]
#[case::many(Scenario { routers: 68, demand: 2.0, limit: 4.0, ..DEFAULT })]
fn little_demand_is_not_refused(#[case] case: Scenario) {
    for seed in 0..20 {
        let (sent, received) = simulate(&case, seed);
        let late =
            |times: &[Duration]| times.iter().filter(|at| **at >= LIMIT_START + 2 * WINDOW).count();
        let (sent, served) = (late(&sent), late(&received));
        assert!(served * 10 >= sent * 9, "seed {seed}: {served} of {sent}");
    }
}

/// Callers over the limit must be given different times to come back, or all of them come back at once.
#[test]
fn refused_callers_come_back_one_by_one() {
    let second = Duration::from_secs(1);
    let mut permits = Permits::default();
    let times: Vec<Duration> = (0..8).map(|_| permits.retry_after(2.0, 1, 10 * second)).collect();
    assert!(times.windows(2).all(|pair| pair[1] - pair[0] == second / 2), "{times:?}");
    assert!((0..50).all(|_| permits.retry_after(2.0, 1, 10 * second) <= 6 * second));
}
