//! Prints what callers get under each load beside the baselines, sweeps of the
//! thresholds, and what a decision costs.
//!
//!     cargo bench -p policy                 # everything
//!     cargo bench -p policy -- loads        # only the loads and baselines
//!     cargo bench -p policy -- sweeps
//!     cargo bench -p policy -- cost

mod cost;
mod sim;

use std::thread;
use std::time::Duration;

use policy::limit::Objective;
use sim::load::{self, Load};
use sim::result::Result;
use sim::variant::{self, Tune, Variant};

/// Each figure of a load is the mean over these seeds; of a sweep over the first [`AT_ONCE`].
const SEEDS: [u64; 6] = [1, 2, 3, 4, 5, 6];

/// Runs played at once.
const AT_ONCE: usize = 3;

fn main() {
    let asked = |part: &str| {
        let mut parts = std::env::args().skip(1).filter(|a| !a.starts_with('-')).peekable();
        parts.peek().is_none() || parts.any(|a| a == part)
    };
    if asked("loads") {
        loads();
    }
    if asked("sweeps") {
        sweeps();
    }
    if asked("cost") {
        cost::print();
    }
}

/// Every load under the policy and each baseline.
fn loads() {
    println!("\nloads, mean of seeds {SEEDS:?}");
    header("policy");
    for load in load::all() {
        let late = load.lag >= Duration::from_secs(1);
        let lost = !load.faults.is_empty();
        let plain = |v: &Variant| v.objective == Objective::Throughput || lost;
        for variant in variant::ALL.into_iter().filter(|v| (v.aged || late) && plain(v)) {
            row(load.name, variant.name, &play(&load, variant, &SEEDS));
        }
    }
}

/// Each threshold on the load that it is for: the value kept between its neighbours.
fn sweeps() {
    println!("\nsweeps, mean of seeds {:?}; the middle value is the one kept", &SEEDS[..AT_ONCE]);
    header("threshold");
    for (load, tries) in SWEEPS {
        for (name, tune) in tries {
            let variant = Variant { tune, ..variant::POLICY };
            row(load, name, &play(&load::named(load), variant, &SEEDS[..AT_ONCE]));
        }
    }
}

fn play(load: &Load, variant: Variant, seeds: &[u64]) -> Vec<Result> {
    let some = |seeds: &[u64]| {
        thread::scope(|scope| {
            let run = |seed| scope.spawn(move || sim::play(load, variant, seed));
            let runs: Vec<_> = seeds.iter().map(|seed| run(*seed)).collect();
            runs.into_iter().map(|run| run.join().expect("a run")).collect::<Vec<_>>()
        })
    };
    seeds.chunks(AT_ONCE).flat_map(some).collect()
}

fn header(what: &str) {
    println!(
        "{:<17} {what:<17} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>8} {:>6} {:>6} {:>6}",
        "load",
        "bound%",
        "hits%",
        "other%",
        "jain",
        "p50 s",
        "p95 s",
        "p99 s",
        "refus%",
        "held%",
        "late%",
        "retries",
        "recov%",
        "rp50 s",
        "rp95 s"
    );
}

fn row(load: &str, name: &str, runs: &[Result]) {
    let mean = |of: fn(&Result) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
    println!(
        "{load:<17} {name:<17} {:>6.1} {:>6.1} {:>6.1} {:>6.3} {:>6.2} {:>6.2} {:>6.2} {:>6.1} {:>6.1} {:>6.1} {:>8.2} {:>6.1} {:>6.2} {:>6.2}",
        mean(|r| r.share * 100.0),
        mean(|r| r.hits * 100.0),
        mean(|r| r.others * 100.0),
        mean(|r| r.jain),
        mean(|r| r.waits[0]),
        mean(|r| r.waits[1]),
        mean(|r| r.waits[2]),
        mean(|r| r.refused * 100.0),
        mean(|r| r.held * 100.0),
        mean(|r| r.late * 100.0),
        mean(|r| r.retried),
        mean(|r| r.recovered * 100.0),
        mean(|r| r.recovery[0]),
        mean(|r| r.recovery[1]),
    );
}

const SWEEPS: [(&str, [(&str, Tune); 3]); 20] = [
    (
        "burst 10x",
        [
            ("catch up 1", |t| t.max_wait_ratio = 1.0),
            ("catch up 1.25", |_| {}),
            ("catch up 2", |t| t.max_wait_ratio = 2.0),
        ],
    ),
    (
        "saturation 1.5x",
        [
            ("catch up 1", |t| t.max_wait_ratio = 1.0),
            ("catch up 1.25", |_| {}),
            ("catch up 2", |t| t.max_wait_ratio = 2.0),
        ],
    ),
    (
        "prefix 80%",
        [
            ("bound 1.0", |t| t.load_bound = 1.0),
            ("bound 1.25", |_| {}),
            ("bound 2.0", |t| t.load_bound = 2.0),
        ],
    ),
    (
        "steady 0.8x",
        [
            ("load 0", |t| t.full_load_penalty = 0.0),
            ("load 0.25", |_| {}),
            ("load 1", |t| t.full_load_penalty = 1.0),
        ],
    ),
    (
        "saturation 1.5x",
        [
            ("mixing 0.01", |t| t.cost_smoothing = 0.01),
            ("mixing 0.03", |_| {}),
            ("mixing 0.1", |t| t.cost_smoothing = 0.1),
        ],
    ),
    (
        "saturation 1.5x",
        [
            ("patience 0", |t| t.hold_ratio = 0.0),
            ("patience 0.25", |_| {}),
            ("patience 1", |t| t.hold_ratio = 1.0),
        ],
    ),
    (
        "third lost",
        [
            ("patience 0", |t| t.hold_ratio = 0.0),
            ("patience 0.25", |_| {}),
            ("patience 1", |t| t.hold_ratio = 1.0),
        ],
    ),
    (
        "saturation 1.5x",
        [
            ("hold 250 ms", |t| t.max_hold = Duration::from_millis(250)),
            ("hold 500 ms", |_| {}),
            ("hold 1 s", |t| t.max_hold = Duration::from_secs(1)),
        ],
    ),
    (
        "one 10x slower",
        [
            ("slow 2", |t| t.slow_factor = 2.0),
            ("slow 4", |_| {}),
            ("slow 8", |t| t.slow_factor = 8.0),
        ],
    ),
    (
        "one 10x slower",
        [
            ("strikes 1", |t| t.faults_to_eject = 1),
            ("strikes 3", |_| {}),
            ("strikes 12", |t| t.faults_to_eject = 12),
        ],
    ),
    (
        "one 10x slower",
        [
            ("eject 2 s", |t| t.min_ejection = Duration::from_secs(2)),
            ("eject 5 s", |_| {}),
            ("eject 15 s", |t| t.min_ejection = Duration::from_secs(15)),
        ],
    ),
    (
        "long among short",
        [
            ("stretch 1", |t| t.stretch = 1.0),
            ("stretch 2", |_| {}),
            ("stretch 4", |t| t.stretch = 4.0),
        ],
    ),
    (
        "burst 10x",
        [
            ("stretch 1", |t| t.stretch = 1.0),
            ("stretch 2", |_| {}),
            ("stretch 4", |t| t.stretch = 4.0),
        ],
    ),
    (
        "saturation 1.5x",
        [
            ("margin 1", |t| t.overtaking_factor = 1.0),
            ("margin 1.25", |_| {}),
            ("margin 1.5", |t| t.overtaking_factor = 1.5),
        ],
    ),
    (
        "saturation 1.5x",
        [
            ("doubt 0", |t| t.lateness_tolerance = 0.0),
            ("doubt 0.25", |_| {}),
            ("doubt 1", |t| t.lateness_tolerance = 1.0),
        ],
    ),
    (
        "workspace 80%",
        [
            ("quantum 2", |t| t.quantum = 2.0),
            ("quantum 10", |_| {}),
            ("quantum 50", |t| t.quantum = 50.0),
        ],
    ),
    (
        "third returns",
        [
            ("ramp 0", |t| t.doubling_time = Duration::ZERO),
            ("ramp 500 ms", |_| {}),
            ("ramp 2 s", |t| t.doubling_time = Duration::from_secs(2)),
        ],
    ),
    (
        "third lost",
        [
            ("retries 0.02", |t| t.retry_ratio = 0.02),
            ("retries 0.1", |_| {}),
            ("retries 0.5", |t| t.retry_ratio = 0.5),
        ],
    ),
    (
        "third lost",
        [
            ("burst 10", |t| t.burst = 10.0),
            ("burst 50", |_| {}),
            ("burst 200", |t| t.burst = 200.0),
        ],
    ),
    (
        "saturation 1.5x",
        [
            ("left free 0", |t| t.free_reserve_ratio = 0.0),
            ("left free 0.02", |_| {}),
            ("left free 0.05", |t| t.free_reserve_ratio = 0.05),
        ],
    ),
];
