//! Routers that fill one server by its regular reports, without a network.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use policy::fill::{Report, Sent};
use policy::suspicion::Suspicion;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

/// Requests that the server can run, and how long each lasts on average.
const CAPACITY: f64 = 130.0;
const MEAN_RUN: Duration = Duration::from_millis(1200);

/// Ratio of its capacity up to which a server is sent more.
const MAX_FILL: f64 = 0.97;

/// Time between two reports of the server's load, age of a report, and time until all routers have received it.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const REPORT_AGE: Duration = Duration::from_millis(200);
const REPORT_DELAY: Duration = Duration::from_millis(100);

const END: Duration = Duration::from_secs(40);

struct Scenario {
    routers: usize,
    /// Requests that arrive, as a ratio of what the server can run.
    load: f64,
    /// Start of a burst in which three times as many arrive, for four seconds.
    burst: Option<Duration>,
    /// Whether routers count what was sent since the report.
    counts: bool,
}

#[derive(Default)]
struct Router {
    sent: Sent,
    declines: Suspicion,
    running: u32,
    /// The reported load of the server, and when it had it.
    reported: (f64, Duration),
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request(usize),
    End(usize),
    Ask,
    /// Routers receive the load that the server had at that time.
    Report(u32, Duration),
}

/// Ratios of the requests sent that the server declined, and of its capacity that was used.
fn simulate(scenario: &Scenario, seed: u64) -> (f64, f64) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut events = BinaryHeap::from([Reverse((Duration::ZERO, Event::Ask))]);
    let weights: Vec<f64> = (0..scenario.routers).map(|_| rng.random_range(0.4..1.6)).collect();
    let all: f64 = weights.iter().sum();
    for (n, weight) in weights.iter().enumerate() {
        let mut at = Duration::ZERO;
        while at < END {
            let burst =
                scenario.burst.is_some_and(|from| from <= at && at < from + 4 * REPORT_INTERVAL);
            let rate = scenario.load * CAPACITY / MEAN_RUN.as_secs_f64() * weight / all;
            let rate = if burst { 3.0 * rate } else { rate };
            at += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / rate);
            events.push(Reverse((at, Event::Request(n))));
        }
    }
    let mut routers: Vec<Router> = (0..scenario.routers).map(|_| Router::default()).collect();
    let mut ran: VecDeque<(Duration, u32)> = VecDeque::from([(Duration::ZERO, 0)]);
    let (mut sent, mut declined, mut used, mut last) = (0_u32, 0_u32, 0.0, Duration::ZERO);
    while let Some(Reverse((now, event))) = events.pop().filter(|e| e.0.0 < END) {
        let running = ran.back().unwrap().1;
        used += f64::from(running) * (now - last).as_secs_f64();
        last = now;
        match event {
            Event::Ask => {
                let at = now.saturating_sub(REPORT_AGE);
                let then = ran.iter().rev().find(|(time, _)| *time <= at).map_or(0, |(_, n)| *n);
                events.push(Reverse((now + REPORT_DELAY, Event::Report(then, at))));
                events.push(Reverse((now + REPORT_INTERVAL, Event::Ask)));
            }
            Event::Report(work, at) => {
                routers.iter_mut().for_each(|r| r.reported = (work.into(), at))
            }
            Event::End(n) => {
                routers[n].running -= 1;
                ran.push_back((now, running - 1));
            }
            Event::Request(n) => {
                let router = &mut routers[n];
                let (work, at) = router.reported;
                let ratio = f64::from(running) / f64::from(router.running.max(1));
                let ratio = ratio.clamp(1.0, scenario.routers as f64);
                let report = Report { work, at, lasting: MEAN_RUN };
                let has =
                    if scenario.counts { report.estimate(now, &router.sent, ratio) } else { work };
                if has + 1.0 > MAX_FILL * CAPACITY || router.declines.holds(now) {
                    continue;
                }
                sent += 1;
                if f64::from(running) >= CAPACITY {
                    declined += 1;
                    router.declines.record_report(now);
                    continue;
                }
                router.sent.record(now, 1.0);
                router.running += 1;
                ran.push_back((now, running + 1));
                let lasts = MEAN_RUN.mul_f64(rng.random_range(0.5..1.5));
                events.push(Reverse((now + lasts, Event::End(n))));
            }
        }
        while ran.len() > 1 && ran[1].0 + REPORT_INTERVAL < now {
            ran.pop_front();
        }
    }
    (f64::from(declined) / f64::from(sent), used / CAPACITY / END.as_secs_f64())
}

/// Routers must not send a server all that arrives until it declines, because its report of a second ago showed room.
#[rstest]
#[case::half(0.5, None, 0.45)]
#[case::nearly_all(0.9, None, 0.75)]
#[case::all(1.1, None, 0.75)]
#[case::too_much(1.4, None, 0.75)]
#[case::a_burst(0.5, Some(Duration::from_secs(10)), 0.45)]
fn few_requests_are_declined(
    #[case] load: f64,
    #[case] burst: Option<Duration>,
    #[case] least: f64,
    #[values(5, 26, 68)] routers: usize,
) {
    for seed in 0..5 {
        let (declined, used) = simulate(&Scenario { routers, load, burst, counts: true }, seed);
        assert!(declined <= 0.05, "seed {seed}: {declined:.3} declined, {used:.2} used");
        assert!(used >= least, "seed {seed}: {declined:.3} declined, {used:.2} used");
    }
}

/// By reports alone many requests are declined, which shows that the scenarios need the estimate.
#[test]
fn reports_alone_are_too_old() {
    let (declined, _) =
        simulate(&Scenario { routers: 26, load: 1.4, burst: None, counts: false }, 1);
    assert!(declined > 0.05, "{declined:.3} declined");
}
