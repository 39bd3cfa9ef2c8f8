//! Time of one decision and bytes of state, at the present size of a fleet and at its target size.

use std::hint::black_box;
use std::time::{Duration, Instant};

use policy::health::State;
use policy::link::Links;
use policy::quarantine::List;
use policy::queue::{Admit, Queue, Request};
use policy::retry::{Budget, Failure, Outcome};
use policy::route::{self, Load, Table};
use policy::share::Share;
use policy::work::Cost;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// A size of the fleet.
struct Size {
    name: &'static str,
    runners: usize,
    workspaces: usize,
    models: usize,
}

const SIZES: [Size; 2] = [
    Size { name: "today", runners: 40, workspaces: 10, models: 1 },
    Size { name: "target", runners: 600, workspaces: 810, models: 14 },
];

const RANGES: usize = 3;
const SLOTS: u32 = 8;
const TURNS: u32 = 20_000;
const PARTS: u32 = 10;

/// Waiting requests of each workspace.
const WAITING: usize = 3;

/// Prints the table.
pub fn print() {
    println!(
        "\ncost: nanoseconds a decision, least mean of {PARTS} parts of {TURNS} turns; kilobytes of one router's state"
    );
    for size in SIZES {
        measure(&size);
    }
    println!(
        "bytes: workspace {}, waiting request {}, backend server {}, fingerprint {}",
        policy::share::BYTES,
        policy::queue::WAITING_BYTES,
        policy::replica::BYTES,
        policy::quarantine::BYTES
    );
}

fn measure(size: &Size) {
    let mut rng = Pcg64::seed_from_u64(1);
    let now = Duration::from_secs(100);
    let mut table = table(size.runners / size.models);
    let mut queue = queue(size.workspaces);
    let room = table.room(6, now);
    let full = policy::room::Room { free: 0, ..room };
    let mut turn = 0;
    let mut next = || {
        turn += 1;
        ask(turn % size.workspaces)
    };
    let wanted = route::Request {
        cost: Cost { prompt: 128, output: 64 },
        left: Duration::from_secs(30),
        prefix: Some(7),
        keyed: false,
        recovery: false,
        from: 0,
        avoid: &[],
    };
    let load = Load { slots: SLOTS, busy: 3, step_us: 12_000, leaving: false, age: Duration::ZERO };
    let line = |what: &str, ns: f64| println!("{:<7} {what:<34} {ns:>8.0} ns", size.name);

    line(
        "view of free slots (room)",
        time(|| {
            black_box(table.room(6, now));
        }),
    );
    let mut started = queue.clone();
    line(
        "admit, start or wait",
        time(|| {
            let admit = started.admit(next(), 0u64, full, now);
            match black_box(admit) {
                Admit::Wait(ticket) => drop(started.cancel(&ask_name(0), ticket)),
                Admit::Start(_) | Admit::Refuse(..) => {}
            }
        }),
    );
    line(
        "next request, with prefixes",
        time(|| {
            if let Some(entry) =
                queue.next_by(room, now, |prefix| table.cached_ranges(*prefix, now))
            {
                queue.requeue(black_box(entry));
            }
        }),
    );
    line("chain of three ranges", time(|| drop(black_box(table.chain(&wanted, now, &mut rng)))));
    line(
        "report of an agent",
        time(|| {
            black_box(table.report("vm-00007", &load, now));
        }),
    );
    line("sweep of all that wait", time_of(200, || drop(black_box(queue.expired(room, now)))));
    let failure = Failure {
        outcome: Outcome::NotRun,
        tries: 1,
        run: Duration::from_secs(1),
        deadline: now * 2,
    };
    let mut budget = Budget::default();
    line(
        "retry",
        time(|| {
            budget.succeeded();
            black_box(budget.decide(&failure, now, &mut rng));
        }),
    );
    let mut list = List::new(Duration::from_secs(600));
    (0..1000).for_each(|f| drop(list.crashed(&[f * 7], now)));
    line(
        "quarantine",
        time(|| {
            black_box(list.verdict(3500, now));
        }),
    );
    assert_eq!(table.state("vm-00007", now), Some(State::Live));
    let bytes = (table.bytes() + queue.bytes()) * size.models;
    println!("{:<7} {:<34} {:>8} kB", size.name, "state of all models", bytes / 1000);
}

fn time(run: impl FnMut()) -> f64 {
    time_of(TURNS, run)
}

fn time_of(turns: u32, mut run: impl FnMut()) -> f64 {
    // The least of several parts, as other processes on the machine lengthen the rest.
    let part = |run: &mut dyn FnMut()| {
        let start = Instant::now();
        (0..turns / PARTS).for_each(|_| run());
        start.elapsed().as_nanos() as f64 / f64::from(turns / PARTS)
    };
    (0..PARTS).map(|_| part(&mut run)).fold(f64::INFINITY, f64::min)
}

fn table(runners: usize) -> Table {
    let mut table = Table::new(RANGES, Links::new(Duration::from_micros(500)));
    for i in 0..runners {
        let vm = format!("vm-{i:05}");
        table.warm(i % RANGES, &vm, &format!("dc-{}", i % 3), SLOTS);
        let step_us = [8_000, 12_000, 18_000][i / RANGES % 3];
        let load = Load {
            slots: SLOTS,
            busy: (i % 7) as u32,
            step_us,
            leaving: false,
            age: Duration::ZERO,
        };
        table.report(&vm, &load, Duration::from_secs(1));
    }
    table
}

fn queue(workspaces: usize) -> Queue<u64> {
    let share = |w| Share { workspace: ask_name(w), weight: 1, limit: 100 };
    let mut queue = Queue::new((0..workspaces).map(share).collect());
    let room = policy::room::Room { free: 0, slots: 104, routers: 6 };
    for i in 0..workspaces * WAITING {
        let mut ask = ask(i % workspaces);
        ask.deadline = Duration::from_secs(1_000_000);
        let admit = queue.admit(ask, i as u64, room, Duration::from_secs(1));
        assert!(matches!(admit, Admit::Wait(_)));
    }
    queue
}

fn ask(workspace: usize) -> Request {
    let (run, deadline) = (Duration::from_secs(3), Duration::from_secs(1_000_000));
    Request { workspace: ask_name(workspace), priority: 5, run, deadline }
}

fn ask_name(workspace: usize) -> String {
    format!("workspace-{workspace:04}")
}
