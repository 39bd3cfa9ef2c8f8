//! Three data centres, one of which has several times its usual demand: four routers in each, in virtual time.

use std::time::Duration;

use policy::balance::{Balance, demand_ratio};
use policy::census::{Census, Demand, Report, Tally};
use policy::fill::{self, Sent};
use policy::headroom::Limit;
use policy::meter::Meter;
use policy::rank::{Place, Queue, Turn};
use policy::shortage::Shortage;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

const TICK: Duration = Duration::from_millis(10);
/// When the demand rises, in ticks.
const BEGIN: u32 = 1000;
/// Streams that each data centre begins in a second, and streams for which it has room: 2.05 times the usual.
const USUAL_PER_S: f64 = 22.0;
const ROOM: usize = 118;
const LASTING: Duration = Duration::from_secs(3);
const GOAL: Duration = Duration::from_millis(500);
/// Time from a place to the first event.
const FIRST_EVENT: Duration = Duration::from_millis(100);

struct Router {
    home: usize,
    tally: Tally,
    census: Census,
    balance: Balance,
    queue: Queue,
    shortage: Shortage,
    waiting: Vec<(Request, Option<Place>)>,
    /// Streams of each data centre as last reported, and those sent there.
    reports: [fill::Report; 3],
    sent: [Sent; 3],
}

#[derive(Clone, Copy)]
struct Request {
    arrived: Duration,
    first: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    /// Credit of the requests of each data centre that arrived in the burst, and of all.
    credit: [f64; 4],
    /// Least share of the limit at the routers of each data centre.
    least: [f64; 3],
    /// Changes between narrowing and widening, by 0.05 or more, at all routers.
    turns: usize,
    /// Shares at the end.
    end: Vec<f64>,
}

/// Runs a burst of `seconds` with `factors` times the usual demand; with `balanced`, limits and queues follow the census, of whose
/// reports one in `lost` is lost.
fn run(factors: [f64; 3], seconds: u32, balanced: bool, lost: u32, seed: u64) -> Outcome {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut routers: Vec<Router> = (0..12)
        .map(|i| Router {
            home: i / 4,
            tally: Tally::default(),
            census: Census::default(),
            balance: Balance::default(),
            queue: Queue::default(),
            shortage: Shortage::default(),
            waiting: Vec::new(),
            reports: [fill::Report { work: 0.0, at: Duration::ZERO, lasting: LASTING }; 3],
            sent: Default::default(),
        })
        .collect();
    let mut ends: [Vec<(Duration, usize)>; 3] = Default::default();
    let mut back: Vec<(Duration, usize)> = Vec::new();
    let mut sent: Vec<(Duration, usize, Report)> = Vec::new();
    let (mut counts, mut outcome) =
        ([(0.0, 0.0); 3], Outcome { least: [1.0; 3], ..Outcome::default() });
    let mut turns = [(1.0, 1.0); 12];
    let burst = BEGIN..BEGIN + 100 * seconds;
    for tick in 0..burst.end + 2000 {
        let now = TICK * tick;
        ends.iter_mut().for_each(|zone| zone.retain(|(end, _)| *end > now));
        let is_burst = burst.contains(&tick);
        for (i, router) in routers.iter_mut().enumerate() {
            let home = router.home;
            if tick % 100 == i as u32 {
                let running = |zone: usize| ends[zone].len() as f64;
                router.reports = std::array::from_fn(|zone| fill::Report {
                    work: running(zone),
                    at: now,
                    lasting: LASTING,
                });
                let lost = lost > 0 && random.random_ratio(1, lost);
                let report = router.tally.report(&home.to_string(), now);
                sent.extend((!lost).then_some((now + Duration::from_secs(1), i, report)));
            }
            for (_, from, report) in sent.iter().filter(|(at, from, _)| *at == now && *from != i) {
                router.census.insert(&from.to_string(), report.clone(), now);
            }
            if balanced && tick % 10 == 0 {
                let own = router.tally.report(&home.to_string(), now);
                let demand = router.census.by_data_centre(&own, 12, now);
                router.balance.update(&home.to_string(), &demand, now);
                let (share, (extreme, direction)) = (router.balance.share(), turns[i]);
                let moved = share - extreme;
                if moved * direction > 0.0 {
                    turns[i].0 = share;
                } else if moved.abs() >= 0.05 {
                    outcome.turns += 1;
                    turns[i] = (share, moved);
                }
                outcome.least[home] = outcome.least[home].min(router.balance.share());
            }
            let per_tick =
                USUAL_PER_S / 4.0 * if is_burst { factors[home] } else { 1.0 } * TICK.as_secs_f64();
            let new = random.random_bool(per_tick).then_some(Request { arrived: now, first: true });
            let returns = back.extract_if(.., |(at, to)| *at <= now && *to == i);
            let returns = returns.map(|_| Request { arrived: now, first: false });
            for request in new.into_iter().chain(returns) {
                router.tally.arrived(0, None, 1000.0, now);
                if is_burst && request.first {
                    counts[home].0 += 1.0;
                }
                let until = now + GOAL - FIRST_EVENT.mul_f64(1.5);
                let place = router
                    .balance
                    .differs(now)
                    .then(|| router.queue.enter(0, !request.first, until));
                router.waiting.push((request, place));
            }
            let running: usize = ends.iter().map(Vec::len).sum();
            let own = ends.iter().flatten().filter(|(_, of)| *of == i).count();
            let ratio = (running as f64 / own.max(1) as f64).clamp(1.0, 12.0);
            let limit = Limit::full().scaled(router.balance.share()).memory;
            let waiting = std::mem::take(&mut router.waiting);
            for (at, (request, place)) in waiting.into_iter().enumerate() {
                let turn = match place {
                    Some(place) => router.queue.turn(place, now),
                    None if at >= 3 && request.arrived < now
                        || now > request.arrived + GOAL / 2 =>
                    {
                        Turn::Refuse
                    }
                    None => Turn::Search,
                };
                let fill = |zone: usize| {
                    router.reports[zone].estimate(now, &router.sent[zone], ratio) + 1.0
                };
                let fits = |zone: &usize| fill(*zone) <= limit * ROOM as f64;
                let mut zones: Vec<usize> =
                    (0..3).filter(|z| turn == Turn::Search && fits(z)).collect();
                zones.sort_by_key(|zone| (*zone != home, fill(*zone) as usize));
                // A full data centre declines.
                let found = zones.into_iter().find(|zone| {
                    router.sent[*zone].record(now, 1.0);
                    ends[*zone].len() < ROOM
                });
                if let Some(place) = place.filter(|_| found.is_some() || turn == Turn::Refuse) {
                    router.queue.leave(place, found.is_some(), now);
                }
                match found {
                    Some(zone) => {
                        ends[zone].push((now + LASTING.mul_f64(random.random_range(0.5..1.5)), i));
                        router.shortage.placed(now);
                        let counted = burst.contains(&((request.arrived.as_millis() / 10) as u32));
                        let on_time = request.first && now + FIRST_EVENT <= request.arrived + GOAL;
                        counts[home].1 += f64::from(counted && on_time);
                    }
                    None if turn == Turn::Refuse => {
                        router.tally.refused(0, 1000.0, now);
                        let after = router.shortage.refused(now);
                        back.extend(request.first.then_some((now + after, i)));
                    }
                    None => router.waiting.push((request, place)),
                }
            }
        }
        sent.retain(|(at, ..)| *at > now);
    }
    let all = counts.iter().fold((0.0, 0.0), |all, c| (all.0 + c.0, all.1 + c.1));
    outcome.credit = std::array::from_fn(|i| counts.get(i).map_or(all.1 / all.0, |c| c.1 / c.0));
    outcome.end = routers.iter().map(|r| r.balance.share()).collect();
    outcome
}

/// Returns the credit by data centre and of all, and the most turns of a router on average, over some seeds.
fn mean(factors: [f64; 3], seconds: u32, balanced: bool) -> ([f64; 4], f64) {
    const SEEDS: u64 = 4;
    let runs = (0..SEEDS).map(|seed| run(factors, seconds, balanced, 5, seed));
    runs.fold(([0.0; 4], 0.0), |(credit, turns), run| {
        let credit = std::array::from_fn(|i| credit[i] + run.credit[i] / SEEDS as f64);
        (credit, turns + run.turns as f64 / (12 * SEEDS) as f64)
    })
}

fn difference(credit: &[f64; 4]) -> f64 {
    let zones = credit[..3].iter();
    zones.clone().fold(0.0, |a, b| b.max(a)) - zones.fold(1.0, |a, b| b.min(a))
}

/// The demand of one data centre is 4.5 times the usual. Its callers were refused in a quarter of all cases and those of
/// the others hardly ever; with limits by the census they are at most 0.05 apart, and no less is served in all.
#[rstest]
#[case::short(8)]
#[case::lasting(40)]
fn callers_of_a_burst_find_room_elsewhere(#[case] seconds: u32) {
    let factors = [4.5, 1.0, 1.0];
    let (before, _) = mean(factors, seconds, false);
    let (credit, turns) = mean(factors, seconds, true);
    assert!(difference(&before) > 0.15, "the load is too low: {before:.3?}");
    assert!(difference(&credit) <= 0.05, "{credit:.3?}, before {before:.3?}");
    assert!(credit[3] >= before[3], "{credit:.3?}, before {before:.3?}");
    // Limits that alternated between the data centres would turn with each report.
    assert!(turns <= 4.0 + f64::from(seconds) / 4.0, "{turns} turns");
}

/// Where nobody is refused, nothing changes, and where all data centres have the same overload, none gets ahead.
#[test]
fn equal_data_centres_stay_equal() {
    for factors in [[1.0; 3], [2.2, 1.0, 1.0]] {
        let quiet = run(factors, 8, true, 5, 1);
        assert_eq!((quiet.least, quiet.credit), ([1.0; 3], [1.0; 4]), "{factors:?}");
    }
    let (before, _) = mean([2.2; 3], 20, false);
    let (credit, _) = mean([2.2; 3], 20, true);
    assert!(difference(&credit) <= 0.05, "{credit:.3?}");
    assert!(credit[3] >= before[3], "{credit:.3?}, before {before:.3?}");
}

/// A limit that is narrow when the burst ends must not stay so.
#[test]
fn limits_recover_after_a_burst() {
    let end = run([4.5, 1.0, 1.0], 8, true, 5, 1).end;
    assert!(end.iter().all(|share| *share == 1.0), "{end:?}");
}

/// Prompts that a router may send to one server in four seconds, if it counts for one in `ratio` there.
fn prompts(ratio: f64) -> u32 {
    let (mut meter, mut sent) = (Meter::default(), 0);
    for now in (0..400).map(|tick| TICK * tick) {
        if meter.accepts(now, 1.0, ratio, Limit::full().prefill) {
            meter.add(now, Duration::from_millis(40), 1.0 / ratio);
            sent += 1;
        }
    }
    sent
}

/// A router with a burst runs no requests in another data centre yet, and counts for one in twelve there. Without its
/// demand it could send hardly more than a router without a burst, while the server has time left.
#[test]
fn routers_with_a_burst_may_use_servers_elsewhere() {
    let demand = |arrived| Demand { arrived, ..Demand::default() };
    let ratio = demand_ratio(&demand(4.5), &[demand(4.5 * 4.0 + 8.0)]).unwrap();
    let (by_demand, by_requests) = (prompts(ratio), prompts(12.0));
    assert!(f64::from(by_demand) >= 1.5 * f64::from(by_requests), "{by_demand}, {by_requests}");
    // Four of them must leave some of the server's time to the routers of its data centre.
    assert!(
        Duration::from_millis(40) * by_demand * 4 <= Duration::from_secs(4).mul_f64(0.9),
        "{by_demand}"
    );
}
