//! Prints what callers get under each load, beside the baselines, and what a decision costs.
//!
//!     cargo bench -p policy
//!     cargo bench -p policy -- sweep

mod sim;

use sim::{load, variant};

fn main() {
    if std::env::args().any(|a| a == "sweep") {
        sweep();
        return;
    }
    table();
}

/// Every load under the policy and each baseline.
fn table() {
    println!(
        "{:<17} {:<17} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>7} {:>6} {:>5} {:>5} {:>5} {:>5}",
        "load",
        "policy",
        "bound%",
        "hits%",
        "jain",
        "p50",
        "p95",
        "p99",
        "refus%",
        "ref p50",
        "ref p99",
        "retries",
        "late%",
        "eject",
        "lost",
        "busy%",
        "cach%"
    );
    for load in load::all() {
        if !std::env::args().nth(1).is_none_or(|a| a.starts_with('-') || load.name.contains(&a)) {
            continue;
        }
        for variant in variant::ALL {
            let r = sim::play(&load, variant, 1);
            println!(
                "{:<17} {:<17} {:>6.1} {:>6.1} {:>6.3} {:>6.2} {:>6.2} {:>6.2} {:>6.1} {:>7.2} {:>7.2} {:>7.3} {:>6.1} {:>5} {:>5} {:>5.1} {:>5.1}",
                r.load,
                r.variant,
                r.share * 100.0,
                r.hits * 100.0,
                r.jain,
                r.waits[0],
                r.waits[1],
                r.waits[2],
                r.refused * 100.0,
                r.refusal[0],
                r.refusal[1],
                r.retried,
                r.late * 100.0,
                r.ejections,
                r.lost,
                r.busy.iter().sum::<f64>() / 3.0 * 100.0,
                r.cached * 100.0
            );
        }
    }
}

#[allow(dead_code)]
fn sweep() {
    use policy::tuning::Tuning;
    use std::time::Duration;
    let ms = |x: u64| Duration::from_millis(x);
    let _ = ms;
    let tries: [(&str, fn(&mut Tuning)); 2] =
        [("default", |_| {}), ("hold 500 ", |t| t.hold = Duration::from_millis(500))];
    for load in ["reports 2 s late", "saturation 1.5x", "saturation 3x", "late and 1.5x"] {
        for (name, tune) in tries {
            let r = sim::play(&load::named(load), variant::Variant { tune, ..variant::POLICY }, 1);
            println!(
                "{load} {name} bound {:.3} hits {:.3} busy {:.3} retr {:.2} cached {:.3}",
                r.share,
                r.hits,
                r.busy.iter().sum::<f64>() / 3.0,
                r.retried,
                r.cached
            );
        }
    }
}
