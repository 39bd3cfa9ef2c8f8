//! Routers that share the limit of one server, without a network.

use std::collections::BinaryHeap;
use std::time::Duration;

use policy::quota::{Grant, Ledger, Permits, Request, Sent, WINDOW};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

/// A group of routers with callers.
#[derive(Clone)]
struct Play {
    routers: usize,
    /// Requests a second for the server, in all.
    demand: f64,
    /// Each router has that part of the requests of the one before it.
    skew: f64,
    limit: f64,
    /// Longest way of a question and its answer.
    late: Duration,
    /// Part of the questions that are lost.
    lost: f64,
    /// How often another router becomes the keeper of the ledger.
    moves: Option<Duration>,
    /// How long the two then both keep one.
    both: Duration,
}

const PLAY: Play = Play {
    routers: 20,
    demand: 12.0,
    skew: 1.0,
    limit: 2.9,
    late: Duration::from_millis(10),
    lost: 0.0,
    moves: None,
    both: Duration::ZERO,
};

/// When the server names its limit, and when the play ends.
const NAMED: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(70);

/// Time after which a limit has to be kept.
const KEPT_FROM: Duration = Duration::from_secs(3);

/// How long routers take to hear of the limit at most.
const HEARD: Duration = Duration::from_millis(500);

struct Router {
    permits: Permits,
    sent: Sent,
    knows: Duration,
    asking: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A router hears of the limit.
    Learns(usize),
    /// A request comes to a router.
    Request(usize),
    /// An answer to a router's question comes; the permits and the milliseconds after which it may ask again.
    Answer(usize, u32, u64),
}

/// Times at which callers asked, and at which the server got requests.
fn play(play: &Play, seed: u64) -> (Vec<Duration>, Vec<Duration>) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let weights: Vec<f64> = (0..play.routers).map(|n| play.skew.powi(n as i32)).collect();
    let all: f64 = weights.iter().sum();
    let mut events = BinaryHeap::new();
    let mut push = |at: Duration, event| events.push(std::cmp::Reverse((at, event)));
    for (n, weight) in weights.iter().enumerate() {
        let rate = play.demand * weight / all;
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / rate);
            if at > END {
                break;
            }
            push(at, Event::Request(n));
        }
    }
    let mut routers: Vec<Router> = (0..play.routers)
        .map(|_| Router {
            permits: Permits::default(),
            sent: Sent::default(),
            knows: NAMED + HEARD.mul_f64(rng.random()),
            asking: false,
        })
        .collect();
    for (n, router) in routers.iter().enumerate() {
        push(router.knows, Event::Learns(n));
    }
    let mut ledgers: Vec<Ledger> = vec![Ledger::default(); 64];
    let (mut asked, mut got) = (Vec::new(), Vec::new());
    while let Some(std::cmp::Reverse((now, event))) = events.pop() {
        let n = match event {
            Event::Request(n) | Event::Answer(n, ..) | Event::Learns(n) => n,
        };
        if let Event::Answer(n, permits, again) = event {
            let retry_after = Duration::from_millis(again);
            routers[n].asking = false;
            routers[n].permits.receive(Grant { permits, retry_after }, now);
            if permits == 0 {
                continue;
            }
        }
        if matches!(event, Event::Request(_)) {
            asked.push(now);
        }
        let router = &mut routers[n];
        let learns = matches!(event, Event::Learns(_));
        let may = !learns && now < router.knows || router.permits.take(now);
        if may {
            router.sent.record(now);
            got.push(now);
            continue;
        }
        let asks = matches!(event, Event::Request(_)) && router.permits.may_ask(now);
        if router.asking || !(asks || learns) {
            continue;
        }
        router.asking = true;
        let way = play.late.mul_f64(rng.random());
        if rng.random::<f64>() < play.lost {
            let answer = Event::Answer(n, 0, 100);
            events.push(std::cmp::Reverse((now + Duration::from_millis(100), answer)));
            continue;
        }
        let (free, last) = router.sent.before(router.knows, now);
        let free_age = now.saturating_sub(last.unwrap_or_default());
        let ask = Request { limit: play.limit, free, free_age, want: u32::from(asks) };
        let at = now + way / 2;
        let keeper = play.moves.map_or(0, |every| {
            let turn = (at.as_secs_f64() / every.as_secs_f64()) as usize;
            let since = at.as_secs_f64() % every.as_secs_f64();
            let old = since < play.both.as_secs_f64() && rng.random::<f64>() < 0.5;
            turn.saturating_sub(usize::from(old))
        });
        let grant = ledgers[keeper % 64].grant(&format!("vm-{n}"), ask, at);
        let answer = Event::Answer(n, grant.permits, grant.retry_after.as_millis() as u64);
        events.push(std::cmp::Reverse((now + way, answer)));
    }
    (asked, got)
}

/// Most requests in any window that ends after the limit has to be kept.
fn most(got: &[Duration]) -> usize {
    let ends = got.iter().filter(|at| **at >= NAMED + KEPT_FROM);
    let within = |end: Duration| got.iter().filter(move |at| **at <= end && **at + WINDOW > end);
    ends.map(|end| within(*end).count()).max().unwrap_or(0)
}

/// Part of the limit that is used once the flood of before is past.
fn used(play: &Play, got: &[Duration]) -> f64 {
    let from = NAMED + 2 * WINDOW;
    let count = got.iter().filter(|at| **at >= from).count() as f64;
    count / (play.limit * (END - from).as_secs_f64())
}

fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5) as usize + 5
}

/// More requests reach the server than it named, or routers leave most of its limit unused.
#[rstest]
#[case::one(Play { routers: 1, ..PLAY })]
#[case::five(Play { routers: 5, ..PLAY })]
#[case::twenty(PLAY)]
#[case::sixty_eight(Play { routers: 68, ..PLAY })]
#[case::five_skewed(Play { routers: 5, skew: 0.3, ..PLAY })]
#[case::twenty_skewed(Play { skew: 0.7, ..PLAY })]
#[case::sixty_eight_skewed(Play { routers: 68, skew: 0.8, ..PLAY })]
#[case::a_high_limit(Play { limit: 40.0, demand: 130.0, skew: 0.8, ..PLAY })]
#[case::far_away(Play { late: Duration::from_millis(60), skew: 0.7, ..PLAY })]
fn the_limit_is_kept_and_used(#[case] case: Play) {
    for seed in 0..20 {
        let (_, got) = play(&case, seed);
        assert!(most(&got) <= allowed(case.limit), "seed {seed}: {} in 4 s", most(&got));
        assert!(used(&case, &got) >= 0.9, "seed {seed}: {:.2} used", used(&case, &got));
    }
}

/// Questions are late or lost, and keepers of the ledger change or overlap; the server gets more than it named.
#[rstest]
#[case::late(Play { late: Duration::from_secs(1), skew: 0.7, ..PLAY })]
#[case::lost(Play { lost: 0.5, skew: 0.7, ..PLAY })]
#[case::moves(Play { moves: Some(Duration::from_secs(5)), ..PLAY })]
#[case::overlaps(Play { moves: Some(Duration::from_secs(7)), both: Duration::from_secs(1), ..PLAY })]
#[case::overlaps_many(Play { routers: 68, moves: Some(Duration::from_secs(7)), both: Duration::from_secs(1), ..PLAY })]
#[case::high_and_overlapping(Play { limit: 40.0, demand: 130.0, moves: Some(Duration::from_secs(7)), both: Duration::from_secs(1), ..PLAY })]
fn the_limit_is_kept_under_faults(#[case] case: Play) {
    for seed in 0..20 {
        let (_, got) = play(&case, seed);
        assert!(most(&got) <= allowed(case.limit), "seed {seed}: {} in 4 s", most(&got));
        assert!(used(&case, &got) >= 0.5, "seed {seed}: {:.2} used", used(&case, &got));
    }
}

/// Where demand is below the limit, a server that named one still gets nearly all of it.
#[rstest]
#[case::few(Play { routers: 4, demand: 2.0, limit: 4.0, ..PLAY })]
#[case::many(Play { routers: 68, demand: 2.0, limit: 4.0, ..PLAY })]
fn little_demand_is_not_refused(#[case] case: Play) {
    for seed in 0..20 {
        let (asked, got) = play(&case, seed);
        let late =
            |times: &[Duration]| times.iter().filter(|at| **at >= NAMED + 2 * WINDOW).count();
        let (asked, served) = (late(&asked), late(&got));
        assert!(served * 10 >= asked * 9, "seed {seed}: {served} of {asked}");
    }
}

/// Callers that a limit leaves out are told the same time to come back, and all come back at once.
#[test]
fn refused_callers_come_back_one_by_one() {
    let second = Duration::from_secs(1);
    let mut permits = Permits::default();
    let times: Vec<Duration> = (0..8).map(|_| permits.retry_after(2.0, 1, 10 * second)).collect();
    assert!(times.windows(2).all(|pair| pair[1] - pair[0] == second / 2), "{times:?}");
    assert!((0..50).all(|_| permits.retry_after(2.0, 1, 10 * second) <= 6 * second));
}
