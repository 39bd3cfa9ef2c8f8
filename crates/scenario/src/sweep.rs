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

/// Faults that fall between the acceptance of a request and its answer.
const BETWEEN: [Fault; 13] = [
    Fault { bring: "kill ROUTER", end: "restart ROUTER" },
    Fault { bring: "kill DESK", end: "restart DESK" },
    Fault { bring: "kill GPU", end: "restart GPU" },
    Fault { bring: "freeze DESK", end: "thaw DESK" },
    Fault { bring: "freeze GPU", end: "thaw GPU" },
    Fault { bring: "service DESK --down on", end: "service DESK --down off" },
    Fault { bring: "service DESK --lose 10", end: "sleep 1" },
    Fault { bring: "kill-engine DESK", end: "restart DESK" },
    Fault { bring: "log --outage on", end: "log --outage off" },
    Fault { bring: "log --refuse 20", end: "log --lose 10" },
    Fault { bring: "term DESK", end: "restart DESK" },
    Fault { bring: "term GPU", end: "restart GPU" },
    Fault { bring: "term ROUTER", end: "restart ROUTER" },
];

/// The script of a seed whose faults fall between acceptance and answer, under callers
/// that do not come back often, so that many hear "not run" as the last word.
///
/// ```
/// assert_eq!(scenario::sweep::not_run(7), scenario::sweep::not_run(7));
/// ```
pub fn not_run(seed: u64) -> String {
    let mut rng = load::random(seed, 1);
    let first = rng.random_range(0..BETWEEN.len());
    let second = (first + rng.random_range(1..BETWEEN.len())) % BETWEEN.len();
    let vms = [vm(&mut rng, "gpu"), vm(&mut rng, "router"), vm(&mut rng, "desk")];
    // The second fault takes other VMs: a process that is gone can't be frozen.
    let others = vms.clone().map(|name| other(&name));
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
    let _ = writeln!(text, "{}", named(BETWEEN[first].bring, &vms));
    wait(&mut text, 100);
    let _ = writeln!(text, "{}", named(BETWEEN[second].bring, &others));
    wait(&mut text, 1500);
    let first = named(BETWEEN[first].end, &vms);
    text.push_str(&ends(first, named(BETWEEN[second].end, &others)));
    text.push_str("join\nexpect right\nexpect none-doubled\nexpect not-run-true\n");
    text
}

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
    // What is gone can't be frozen, nor be ready again while it is: another VM is.
    let clash = FAULTS[first].bring.starts_with("kill")
        && FAULTS[second].bring.starts_with("freeze")
        && FAULTS[first].bring.split(' ').nth(1) == FAULTS[second].bring.split(' ').nth(1);
    let others = if clash { vms.clone().map(|name| other(&name)) } else { vms.clone() };
    let line = |text: &str| named(text, &vms);
    let mut text = String::from(
        "fleet --links --speeds 1000,2500\n\
         drafts --count 240 --concurrency 24 --background\n\
         orders --count 150 --concurrency 12 --repeat-through-other-router 0.3 --background\n",
    );
    let _ = writeln!(text, "sleep {}", rng.random_range(100..600));
    let _ = writeln!(text, "{}", line(FAULTS[first].bring));
    let _ = writeln!(text, "sleep {}", rng.random_range(0..800));
    let _ = writeln!(text, "{}", named(FAULTS[second].bring, &others));
    let _ = writeln!(text, "sleep {}", rng.random_range(500..2500));
    text.push_str(&ends(line(FAULTS[first].end), named(FAULTS[second].end, &others)));
    text.push_str("join\nexpect right\nexpect none-doubled\nexpect not-run-true\n");
    text
}

/// The ends of both faults. The log's comes first: the agent of a service that starts
/// in an outage is not ready before it has read the log, and `restart` waits for that.
fn ends(first: String, second: String) -> String {
    match second.starts_with("log") {
        true => format!("{second}\n{first}\n"),
        false => format!("{first}\n{second}\n"),
    }
}

/// A verb with the names of its VMs.
fn named(text: &str, [gpu, router, desk]: &[String; 3]) -> String {
    text.replace("GPU", gpu).replace("ROUTER", router).replace("DESK", desk)
}

/// Another VM of the same role; an engine's is of the same range.
fn other(name: &str) -> String {
    match name.rsplit_once('-') {
        Some((role, "1")) => format!("{role}-2"),
        Some((role, _)) => format!("{role}-1"),
        None => name.to_string(),
    }
}

fn vm(rng: &mut impl Rng, role: &str) -> String {
    match role {
        "gpu" => format!("gpu-{}-{}", rng.random_range(0..3), rng.random_range(1..3)),
        role => format!("{role}-{}", rng.random_range(1..4)),
    }
}
