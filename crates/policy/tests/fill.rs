//! Routers that fill one server by what it tells now and then, without a network.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use policy::fill::{Report, Sent};
use policy::suspicion::Suspicion;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

/// Requests that the server has room for, and how long each lasts on average.
const ROOM: f64 = 130.0;
const LASTING: Duration = Duration::from_millis(1200);

/// Part of its room up to which a server is sent more.
const FULL: f64 = 0.97;

/// Time between two questions for the server's load, age of the answer, and time until all routers have heard it.
const EVERY: Duration = Duration::from_secs(1);
const OLD: Duration = Duration::from_millis(200);
const HEARD: Duration = Duration::from_millis(100);

const END: Duration = Duration::from_secs(40);

struct Play {
    routers: usize,
    /// Requests that come, as a part of what the server can run.
    load: f64,
    /// From when on three times as many come, for four seconds.
    burst: Option<Duration>,
    /// Whether routers count what was sent since the server told of its load.
    counts: bool,
}

#[derive(Default)]
struct Router {
    sent: Sent,
    declines: Suspicion,
    running: u32,
    /// What the server had, and when.
    told: (f64, Duration),
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request(usize),
    End(usize),
    Ask,
    /// Routers hear what the server had at that time.
    Tell(u32, Duration),
}

/// Parts of what was sent that the server declined, and of its room that was used.
fn play(play: &Play, seed: u64) -> (f64, f64) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut events = BinaryHeap::from([Reverse((Duration::ZERO, Event::Ask))]);
    let weights: Vec<f64> = (0..play.routers).map(|_| rng.random_range(0.4..1.6)).collect();
    let all: f64 = weights.iter().sum();
    for (n, weight) in weights.iter().enumerate() {
        let mut at = Duration::ZERO;
        while at < END {
            let burst = play.burst.is_some_and(|from| from <= at && at < from + 4 * EVERY);
            let rate = play.load * ROOM / LASTING.as_secs_f64() * weight / all;
            let rate = if burst { 3.0 * rate } else { rate };
            at += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / rate);
            events.push(Reverse((at, Event::Request(n))));
        }
    }
    let mut routers: Vec<Router> = (0..play.routers).map(|_| Router::default()).collect();
    let mut ran: VecDeque<(Duration, u32)> = VecDeque::from([(Duration::ZERO, 0)]);
    let (mut sent, mut declined, mut used, mut last) = (0_u32, 0_u32, 0.0, Duration::ZERO);
    while let Some(Reverse((now, event))) = events.pop().filter(|e| e.0.0 < END) {
        let running = ran.back().unwrap().1;
        used += f64::from(running) * (now - last).as_secs_f64();
        last = now;
        match event {
            Event::Ask => {
                let at = now.saturating_sub(OLD);
                let then = ran.iter().rev().find(|(time, _)| *time <= at).map_or(0, |(_, n)| *n);
                events.push(Reverse((now + HEARD, Event::Tell(then, at))));
                events.push(Reverse((now + EVERY, Event::Ask)));
            }
            Event::Tell(work, at) => routers.iter_mut().for_each(|r| r.told = (work.into(), at)),
            Event::End(n) => {
                routers[n].running -= 1;
                ran.push_back((now, running - 1));
            }
            Event::Request(n) => {
                let router = &mut routers[n];
                let (work, at) = router.told;
                let ratio = f64::from(running) / f64::from(router.running.max(1));
                let ratio = ratio.clamp(1.0, play.routers as f64);
                let report = Report { work, at, lasting: LASTING };
                let has =
                    if play.counts { report.estimate(now, &router.sent, ratio) } else { work };
                if has + 1.0 > FULL * ROOM || router.declines.holds(now) {
                    continue;
                }
                sent += 1;
                if f64::from(running) >= ROOM {
                    declined += 1;
                    router.declines.record_report(now);
                    continue;
                }
                router.sent.record(now, 1.0);
                router.running += 1;
                ran.push_back((now, running + 1));
                let lasts = LASTING.mul_f64(rng.random_range(0.5..1.5));
                events.push(Reverse((now + lasts, Event::End(n))));
            }
        }
        while ran.len() > 1 && ran[1].0 + EVERY < now {
            ran.pop_front();
        }
    }
    (f64::from(declined) / f64::from(sent), used / ROOM / END.as_secs_f64())
}

/// Routers send a server what comes until it declines, as it told of room a second ago.
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
        let (declined, used) = play(&Play { routers, load, burst, counts: true }, seed);
        assert!(declined <= 0.05, "seed {seed}: {declined:.3} declined, {used:.2} used");
        assert!(used >= least, "seed {seed}: {declined:.3} declined, {used:.2} used");
    }
}

/// By what the server told alone, many are declined: the plays show what they are meant to.
#[test]
fn what_was_told_alone_is_too_old() {
    let (declined, _) = play(&Play { routers: 26, load: 1.4, burst: None, counts: false }, 1);
    assert!(declined > 0.05, "{declined:.3} declined");
}
