//! Scripts with two random faults, one for each seed.

use std::fmt::Write;

use rand::{Rng, RngExt};

use crate::load;

/// A fault, and what ends it.
struct Fault {
    bring: &'static str,
    end: &'static str,
}

/// Faults that a sweep draws from. `GPU`, `ROUTER` and `DESK` become VMs.
const FAULTS: [Fault; 12] = [
    Fault { bring: "kill GPU", end: "restart GPU" },
    Fault { bring: "kill-engine GPU", end: "restart GPU" },
    Fault { bring: "freeze GPU", end: "thaw GPU" },
    Fault { bring: "freeze GPU --engine", end: "thaw GPU" },
    Fault { bring: "cut GPU *", end: "heal" },
    Fault { bring: "delay * * 5 --loss 0.02 --duplicate 0.05", end: "heal" },
    Fault { bring: "kill ROUTER", end: "restart ROUTER" },
    Fault { bring: "freeze ROUTER", end: "thaw ROUTER" },
    Fault { bring: "log --outage on", end: "log --outage off" },
    Fault { bring: "log --lose 5", end: "sleep 1" },
    Fault { bring: "service DESK --lose 5", end: "sleep 1" },
    Fault { bring: "kill DESK", end: "restart DESK" },
];

/// The script of a seed.
///
/// ```
/// assert_eq!(scenario::sweep::script(7), scenario::sweep::script(7));
/// ```
pub fn script(seed: u64) -> String {
    let mut rng = load::random(seed, 0);
    let first = rng.random_range(0..FAULTS.len());
    let second = (first + rng.random_range(1..FAULTS.len())) % FAULTS.len();
    let vms = [vm(&mut rng, "gpu"), vm(&mut rng, "router"), vm(&mut rng, "desk")];
    let line = |text: &str| {
        text.replace("GPU", &vms[0]).replace("ROUTER", &vms[1]).replace("DESK", &vms[2])
    };
    let mut text = String::from(
        "fleet --links --speeds 1000,2500\n\
         drafts --count 240 --concurrency 24 --background\n\
         orders --count 150 --concurrency 12 --repeat-through-other-router 0.3 --background\n",
    );
    let _ = writeln!(text, "sleep {}", rng.random_range(100..600));
    let _ = writeln!(text, "{}", line(FAULTS[first].bring));
    let _ = writeln!(text, "sleep {}", rng.random_range(0..800));
    let _ = writeln!(text, "{}", line(FAULTS[second].bring));
    let _ = writeln!(text, "sleep {}", rng.random_range(500..2500));
    let _ = writeln!(text, "{}", line(FAULTS[first].end));
    let _ = writeln!(text, "{}", line(FAULTS[second].end));
    text.push_str("join\nexpect right\nexpect none-doubled\nexpect no-ghosts\n");
    text
}

fn vm(rng: &mut impl Rng, role: &str) -> String {
    match role {
        "gpu" => format!("gpu-{}-{}", rng.random_range(0..3), rng.random_range(1..3)),
        role => format!("{role}-{}", rng.random_range(1..4)),
    }
}
