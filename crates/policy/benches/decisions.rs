//! Prints what callers get under each load beside the baselines, sweeps of the thresholds, and the cost of a
//! decision.
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

/// Each figure of a load is the mean over these seeds; of a sweep over the first [`PARALLEL_RUNS`].
const SEEDS: [u64; 6] = [1, 2, 3, 4, 5, 6];

/// Simulations that run at the same time.
const PARALLEL_RUNS: usize = 3;

fn main() {
    let selected = |part: &str| {
        let mut parts = std::env::args().skip(1).filter(|a| !a.starts_with('-')).peekable();
        parts.peek().is_none() || parts.any(|a| a == part)
    };
    if selected("loads") {
        loads();
    }
    if selected("sweeps") {
        sweeps();
    }
    if selected("cost") {
        cost::print();
    }
}

/// Runs every load under the policy and each baseline.
fn loads() {
    println!("\nloads, mean of seeds {SEEDS:?}");
    header("policy");
    for load in load::all() {
        let late = load.lag >= Duration::from_secs(1);
        let lost = !load.faults.is_empty();
        let plain = |v: &Variant| v.objective == Objective::Throughput || lost;
        for variant in variant::ALL.into_iter().filter(|v| (v.aged || late) && plain(v)) {
            row(load.name, variant.name, &simulate(&load, variant, &SEEDS));
        }
    }
}

/// Sweeps each threshold on the load that it is for: the default between its neighbours.
fn sweeps() {
    println!(
        "\nsweeps, mean of seeds {:?}; the middle value is the default",
        &SEEDS[..PARALLEL_RUNS]
    );
    header("threshold");
    for (load, tries) in SWEEPS {
        for (name, tune) in tries {
            let variant = Variant { tune, ..variant::POLICY };
            row(load, name, &simulate(&load::named(load), variant, &SEEDS[..PARALLEL_RUNS]));
        }
    }
}

fn simulate(load: &Load, variant: Variant, seeds: &[u64]) -> Vec<Result> {
    let some = |seeds: &[u64]| {
        thread::scope(|scope| {
            let run = |seed| scope.spawn(move || sim::simulate(load, variant, seed));
            let runs: Vec<_> = seeds.iter().map(|seed| run(*seed)).collect();
            runs.into_iter().map(|run| run.join().expect("a run")).collect::<Vec<_>>()
        })
    };
    seeds.chunks(PARALLEL_RUNS).flat_map(some).collect()
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
            ("max wait 1", |t| t.max_wait_ratio = 1.0),
            ("max wait 1.25", |_| {}),
            ("max wait 2", |t| t.max_wait_ratio = 2.0),
        ],
    ),
    (
        "saturation 1.5x",
        [
            ("max wait 1", |t| t.max_wait_ratio = 1.0),
            ("max wait 1.25", |_| {}),
            ("max wait 2", |t| t.max_wait_ratio = 2.0),
        ],
    ),
    (
        "prefix 80%",
        [
            ("load bound 1.0", |t| t.load_bound = 1.0),
            ("load bound 1.25", |_| {}),
            ("load bound 2.0", |t| t.load_bound = 2.0),
        ],
    ),
    (
        "steady 0.8x",
        [
            ("full load 0", |t| t.full_load_penalty = 0.0),
            ("full load 0.25", |_| {}),
            ("full load 1", |t| t.full_load_penalty = 1.0),
        ],
    ),
    (
        "saturation 1.5x",
        [
            ("smoothing 0.01", |t| t.cost_smoothing = 0.01),
            ("smoothing 0.03", |_| {}),
            ("smoothing 0.1", |t| t.cost_smoothing = 0.1),
        ],
    ),
    (
        "saturation 1.5x",
        [
            ("hold ratio 0", |t| t.hold_ratio = 0.0),
            ("hold ratio 0.25", |_| {}),
            ("hold ratio 1", |t| t.hold_ratio = 1.0),
        ],
    ),
    (
        "third lost",
        [
            ("hold ratio 0", |t| t.hold_ratio = 0.0),
            ("hold ratio 0.25", |_| {}),
            ("hold ratio 1", |t| t.hold_ratio = 1.0),
        ],
    ),
    (
        "saturation 1.5x",
        [
            ("max hold 250 ms", |t| t.max_hold = Duration::from_millis(250)),
            ("max hold 500 ms", |_| {}),
            ("max hold 1 s", |t| t.max_hold = Duration::from_secs(1)),
        ],
    ),
    (
        "one 10x slower",
        [
            ("slow factor 2", |t| t.slow_factor = 2.0),
            ("slow factor 4", |_| {}),
            ("slow factor 8", |t| t.slow_factor = 8.0),
        ],
    ),
    (
        "one 10x slower",
        [
            ("faults 1", |t| t.faults_to_eject = 1),
            ("faults 3", |_| {}),
            ("faults 12", |t| t.faults_to_eject = 12),
        ],
    ),
    (
        "one 10x slower",
        [
            ("ejection 2 s", |t| t.min_ejection = Duration::from_secs(2)),
            ("ejection 5 s", |_| {}),
            ("ejection 15 s", |t| t.min_ejection = Duration::from_secs(15)),
        ],
    ),
    (
        "long among short",
        [
            ("run weight 1", |t| t.run_weight = 1.0),
            ("run weight 2", |_| {}),
            ("run weight 4", |t| t.run_weight = 4.0),
        ],
    ),
    (
        "burst 10x",
        [
            ("run weight 1", |t| t.run_weight = 1.0),
            ("run weight 2", |_| {}),
            ("run weight 4", |t| t.run_weight = 4.0),
        ],
    ),
    (
        "saturation 1.5x",
        [
            ("overtaking 1", |t| t.overtaking_factor = 1.0),
            ("overtaking 1.25", |_| {}),
            ("overtaking 1.5", |t| t.overtaking_factor = 1.5),
        ],
    ),
    (
        "saturation 1.5x",
        [
            ("lateness 0", |t| t.lateness_tolerance = 0.0),
            ("lateness 0.25", |_| {}),
            ("lateness 1", |t| t.lateness_tolerance = 1.0),
        ],
    ),
    (
        "workspace 80%",
        [
            ("quantum 2", |t| t.quantum_s = 2.0),
            ("quantum 10", |_| {}),
            ("quantum 50", |t| t.quantum_s = 50.0),
        ],
    ),
    (
        "third returns",
        [
            ("doubling 0", |t| t.doubling_time = Duration::ZERO),
            ("doubling 500 ms", |_| {}),
            ("doubling 2 s", |t| t.doubling_time = Duration::from_secs(2)),
        ],
    ),
    (
        "third lost",
        [
            ("retry ratio 0.02", |t| t.retry_ratio = 0.02),
            ("retry ratio 0.1", |_| {}),
            ("retry ratio 0.5", |t| t.retry_ratio = 0.5),
        ],
    ),
    (
        "third lost",
        [
            ("burst retries 10", |t| t.burst_retries = 10.0),
            ("burst retries 50", |_| {}),
            ("burst retries 200", |t| t.burst_retries = 200.0),
        ],
    ),
    (
        "saturation 1.5x",
        [
            ("free reserve 0", |t| t.free_reserve_ratio = 0.0),
            ("free reserve 0.02", |_| {}),
            ("free reserve 0.05", |t| t.free_reserve_ratio = 0.05),
        ],
    ),
];
