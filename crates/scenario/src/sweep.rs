//! Generated scripts with two random faults, one script per seed.

use std::fmt::Write;

use rand::{Rng, RngExt};

use crate::load;

/// A fault: the lines that inject it and end it.
struct Fault {
    inject: &'static str,
    end: &'static str,
}

/// Faults of a sweep. `GPU`, `ROUTER` and `DESK` are replaced by names of VMs.
const FAULTS: [Fault; 12] = [
    Fault { inject: "kill GPU", end: "restart GPU" },
    Fault { inject: "kill-engine GPU", end: "restart GPU" },
    Fault { inject: "freeze GPU", end: "thaw GPU" },
    Fault { inject: "freeze GPU --engine", end: "thaw GPU" },
    Fault { inject: "cut GPU *", end: "heal" },
    Fault { inject: "delay * * 5 --loss 0.02 --duplicate 0.05", end: "heal" },
    Fault { inject: "kill ROUTER", end: "restart ROUTER" },
    Fault { inject: "freeze ROUTER", end: "thaw ROUTER" },
    Fault { inject: "log --outage on", end: "log --outage off" },
    Fault { inject: "log --lose 5", end: "sleep 1" },
    Fault { inject: "service DESK --lose 5", end: "sleep 1" },
    Fault { inject: "kill DESK", end: "restart DESK" },
];

/// Faults between the acceptance of a request and its answer.
const MID_REQUEST_FAULTS: [Fault; 13] = [
    Fault { inject: "kill ROUTER", end: "restart ROUTER" },
    Fault { inject: "kill DESK", end: "restart DESK" },
    Fault { inject: "kill GPU", end: "restart GPU" },
    Fault { inject: "freeze DESK", end: "thaw DESK" },
    Fault { inject: "freeze GPU", end: "thaw GPU" },
    Fault { inject: "service DESK --down on", end: "service DESK --down off" },
    Fault { inject: "service DESK --lose 10", end: "sleep 1" },
    Fault { inject: "kill-engine DESK", end: "restart DESK" },
    Fault { inject: "log --outage on", end: "log --outage off" },
    Fault { inject: "log --refuse 20", end: "log --lose 10" },
    Fault { inject: "term DESK", end: "restart DESK" },
    Fault { inject: "term GPU", end: "restart GPU" },
    Fault { inject: "term ROUTER", end: "restart ROUTER" },
];

/// Returns the script of a seed with faults between acceptance and answer. Its callers retry
/// only once, so that many requests end as "not run".
///
/// ```
/// assert_eq!(scenario::sweep::not_run(7), scenario::sweep::not_run(7));
/// ```
pub fn not_run(seed: u64) -> String {
    let mut rng = load::random(seed, 1);
    let first = rng.random_range(0..MID_REQUEST_FAULTS.len());
    let second = (first + rng.random_range(1..MID_REQUEST_FAULTS.len())) % MID_REQUEST_FAULTS.len();
    let vms =
        [random_vm(&mut rng, "gpu"), random_vm(&mut rng, "router"), random_vm(&mut rng, "desk")];
    // The second fault affects other VMs: a killed process can't be frozen.
    let others = vms.clone().map(|name| other_replica(&name));
    let mut text = String::from(
        "fleet --speeds 1000,2500 --slots 24\n\
         service * --delay 10\n\
         drafts --count 250 --concurrency 40 --tries 1 --background\n\
         orders --count 500 --concurrency 30 --tries 1 --repeat-through-other-router 0.3 --background\n",
    );
    let mut wait = |text: &mut String, high: u64| {
        let _ = writeln!(text, "sleep {}", rng.random_range(0..high));
    };
    wait(&mut text, 400);
    let _ = writeln!(text, "{}", with_vms(MID_REQUEST_FAULTS[first].inject, &vms));
    wait(&mut text, 100);
    let _ = writeln!(text, "{}", with_vms(MID_REQUEST_FAULTS[second].inject, &others));
    wait(&mut text, 1500);
    let first = with_vms(MID_REQUEST_FAULTS[first].end, &vms);
    text.push_str(&fault_ends(first, with_vms(MID_REQUEST_FAULTS[second].end, &others)));
    text.push_str("join\nexpect right\nexpect none-doubled\nexpect not-run-true\n");
    text
}

/// Returns the script of a seed.
///
/// ```
/// assert_eq!(scenario::sweep::script(7), scenario::sweep::script(7));
/// ```
pub fn script(seed: u64) -> String {
    let mut rng = load::random(seed, 0);
    let first = rng.random_range(0..FAULTS.len());
    let second = (first + rng.random_range(1..FAULTS.len())) % FAULTS.len();
    let vms =
        [random_vm(&mut rng, "gpu"), random_vm(&mut rng, "router"), random_vm(&mut rng, "desk")];
    // A killed process can't be frozen, nor can it become ready while it is frozen: on a
    // conflict the second fault affects another VM.
    let clash = FAULTS[first].inject.starts_with("kill")
        && FAULTS[second].inject.starts_with("freeze")
        && FAULTS[first].inject.split(' ').nth(1) == FAULTS[second].inject.split(' ').nth(1);
    let others = if clash { vms.clone().map(|name| other_replica(&name)) } else { vms.clone() };
    let line = |text: &str| with_vms(text, &vms);
    let mut text = String::from(
        "fleet --links --speeds 1000,2500\n\
         drafts --count 240 --concurrency 24 --background\n\
         orders --count 150 --concurrency 12 --repeat-through-other-router 0.3 --background\n",
    );
    let _ = writeln!(text, "sleep {}", rng.random_range(100..600));
    let _ = writeln!(text, "{}", line(FAULTS[first].inject));
    let _ = writeln!(text, "sleep {}", rng.random_range(0..800));
    let _ = writeln!(text, "{}", with_vms(FAULTS[second].inject, &others));
    let _ = writeln!(text, "sleep {}", rng.random_range(500..2500));
    text.push_str(&fault_ends(line(FAULTS[first].end), with_vms(FAULTS[second].end, &others)));
    text.push_str("join\nexpect right\nexpect none-doubled\nexpect not-run-true\n");
    text
}

/// Returns the lines that end both faults. That of the log comes first: the agent of a service
/// that starts in an outage is not ready before it has read the log, and `restart` waits for it.
fn fault_ends(first: String, second: String) -> String {
    match second.starts_with("log") {
        true => format!("{second}\n{first}\n"),
        false => format!("{first}\n{second}\n"),
    }
}

/// Replaces the placeholders of a line by names of VMs.
fn with_vms(text: &str, [gpu, router, desk]: &[String; 3]) -> String {
    text.replace("GPU", gpu).replace("ROUTER", router).replace("DESK", desk)
}

/// Returns another VM of the same role; for an engine, one with the same range.
fn other_replica(name: &str) -> String {
    match name.rsplit_once('-') {
        Some((role, "1")) => format!("{role}-2"),
        Some((role, _)) => format!("{role}-1"),
        None => name.to_string(),
    }
}

fn random_vm(rng: &mut impl Rng, role: &str) -> String {
    match role {
        "gpu" => format!("gpu-{}-{}", rng.random_range(0..3), rng.random_range(1..3)),
        role => format!("{role}-{}", rng.random_range(1..4)),
    }
}
