//! Slow, failing, joining and full backend servers; retries; requests that crash engines.

use std::time::Duration;

use policy::health::State;
use policy::limit::{Admit, Kind, Objective, Slots};
use policy::link::Links;
use policy::quarantine::{List, MAX_FINGERPRINTS, Verdict};
use policy::retry::{BURST_RETRIES, Budget, Failure, Outcome, Retry, Stop};
use policy::route::{End, Load, Request, Table};
use policy::work::Cost;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// A table of one range with these step times in milliseconds, each with 8 slots.
fn table(steps: &[u64]) -> Table {
    let mut table = Table::new(1, Links::new(MS));
    for (i, step) in steps.iter().enumerate() {
        table.warm(0, &format!("vm-{i}"), "east", 8);
        table.report(&format!("vm-{i}"), &load(1, *step), Duration::ZERO);
    }
    table
}

fn load(busy: u32, step: u64) -> Load {
    Load { slots: 8, busy, step_us: step * 1000, leaving: false, age: Duration::ZERO }
}

fn request(prefix: Option<u64>) -> Request<'static> {
    let cost = Cost { prompt: 64, output: 64 };
    Request { cost, left: secs(1000), prefix, keyed: false, recovery: false, from: 0, avoid: &[] }
}

/// How often each VM is the head in `n` choices.
fn heads(table: &Table, request: &Request, now: Duration, n: usize) -> Vec<usize> {
    let mut rng = Pcg64::seed_from_u64(7);
    let mut counts = vec![0; 20];
    for _ in 0..n {
        if let Some(chain) = table.chain(request, now, &mut rng) {
            counts[chain[0][0][3..].parse::<usize>().expect("a number")] += 1;
        }
    }
    counts
}

struct Eject {
    steps: &'static [u64],
    ejected: usize,
}

// An accelerator throttles and runs ten times slower, and every draft through it holds slots elsewhere. A generation
// of accelerators that is three times slower than another is no fault, and when many look slow the cause is elsewhere.
#[rstest]
#[case(Eject { steps: &[10, 10, 12, 11, 10, 100], ejected: 1 })]
#[case(Eject { steps: &[10, 10, 20, 25, 30, 30], ejected: 0 })]
#[case(Eject { steps: &[10, 10, 10, 10, 10, 10, 100, 100, 100, 100], ejected: 2 })]
#[case(Eject { steps: &[10, 100], ejected: 0 })]
fn ejects_the_slow_by_comparison_and_within_the_cap(#[case] case: Eject) {
    let mut table = table(case.steps);
    for round in 1..10 {
        for (i, step) in case.steps.iter().enumerate() {
            table.report(&format!("vm-{i}"), &load(1, *step), MS * round * 250);
        }
    }
    let state = |i| table.state(&format!("vm-{i}"), secs(3));
    let out = (0..case.steps.len()).filter(|i| matches!(state(*i), Some(State::Ejected { .. })));
    assert_eq!(out.count(), case.ejected);
}

// An ejected server that gets its full load back at once fails again with all of it. It comes back with one request,
// and only with as many more as succeed.
#[test]
fn an_ejected_server_comes_back_step_by_step() {
    let mut table = table(&[10, 10, 10, 10]);
    for _ in 0..3 {
        table.started("vm-0", secs(1));
        table.ended("vm-0", End::Failed, secs(1));
    }
    assert_eq!(heads(&table, &request(None), secs(2), 200)[0], 0);
    let back = secs(1) + policy::health::MIN_EJECTION;
    let mut allowed = Vec::new();
    for _ in 0..5 {
        let mut n = 0;
        while table.room(1, back).slots > 24 + n {
            n += 1;
        }
        allowed.push(n);
        table.started("vm-0", back);
        table.ended("vm-0", End::Succeeded, back);
    }
    assert_eq!(allowed, [1, 2, 4, 8, 8]);
}

// Reports are 2 s late: the router ends and starts requests which the report doesn't include. If the report replaced
// the router's own counts, slots it has just freed would stay idle, or be taken twice.
#[test]
fn a_late_report_does_not_undo_what_the_router_knows() {
    let mut table = table(&[10]);
    let late = |busy| Load { age: secs(2), ..load(busy, 10) };
    (0..8).for_each(|_| table.started("vm-0", secs(9)));
    assert_eq!(table.room(1, secs(9)).free, 0);
    table.report("vm-0", &late(0), secs(10));
    assert_eq!(table.room(1, secs(10)).free, 0, "taken since the report");
    for _ in 0..3 {
        table.ended("vm-0", End::Succeeded, secs(12));
    }
    table.report("vm-0", &late(8), secs(13));
    assert_eq!(table.room(1, secs(13)).free, 3, "freed since the report");
}

// A VM with cold caches joins a busy fleet, and all routers see eight idle slots at the same time. It must not get a
// full load at once.
#[test]
fn a_joining_server_is_ramped_up() {
    let mut table = table(&[10, 10, 10]);
    table.join(0, "vm-9", "east", 8, secs(10));
    let slots = |ms: u32| table.room(1, secs(10) + MS * ms).slots - 24;
    assert_eq!([0, 499, 500, 1000, 1500, 9000].map(slots), [1, 1, 2, 4, 8, 8]);
}

// A VM has just come back and is being ramped up when the only other replica of its range is lost. If it were limited
// to a slot or two for seconds, callers would wait beside idle slots.
#[test]
fn the_last_replica_is_not_held_back() {
    let mut table = table(&[10, 10]);
    table.gone("vm-0", secs(1));
    table.join(0, "vm-0", "east", 8, secs(2));
    assert_eq!(table.room(1, secs(2)).slots, 9, "ramped up while the other works");
    table.gone("vm-1", secs(2));
    assert_eq!(table.room(1, secs(2)).slots, 8);
}

// A VM flaps between live and lost. Each return would move work there and lose it again, so its ramp must get slower.
#[test]
fn a_flapping_server_is_ramped_up_more_slowly_each_time() {
    let mut table = table(&[10, 10]);
    let mut full = Vec::new();
    table.join(0, "vm-9", "east", 8, Duration::ZERO);
    for round in 1..5u64 {
        let now = secs(round * 10);
        table.gone("vm-9", now);
        table.join(0, "vm-9", "east", 8, now);
        let ms = (0..60_000).find(|ms| table.room(1, now + MS * *ms).slots == 24);
        full.push(ms.expect("it gets there"));
    }
    assert_eq!(full, [3000, 6000, 12_000, 24_000]);
}

// Prompts of one kind go to the replicas that have their prefix cached; when one kind is most of the load it must not
// overload its replicas.
#[test]
fn a_prefix_keeps_its_replicas_until_they_are_loaded() {
    let mut table = table(&[10; 10]);
    let counts = heads(&table, &request(Some(5)), secs(1), 200);
    let home = (0..10).max_by_key(|i| counts[*i]).expect("ten");
    assert!(counts[home] > 150, "{counts:?}");
    table.report(&format!("vm-{home}"), &load(7, 10), secs(1));
    let counts = heads(&table, &request(Some(5)), secs(1), 200);
    assert_eq!(counts[home], 0, "{counts:?}");
}

// A call is sent again with the same key through another router: it should reach the server that knows the key.
#[test]
fn a_keyed_call_prefers_the_same_server_whatever_its_load() {
    let mut first = table(&[10; 3]);
    let second = table(&[10; 3]);
    let keyed = Request { keyed: true, ..request(Some(77)) };
    let counts = heads(&second, &keyed, secs(1), 50);
    let home = counts.iter().position(|c| *c == 50).expect("always the same");
    first.report(&format!("vm-{home}"), &load(8, 10), secs(1));
    assert_eq!(heads(&first, &keyed, secs(1), 50)[home], 50);
}

// A mixed fleet is full. A fast stage behind a slow one holds its slots for as long as the slow one.
#[test]
fn fast_goes_with_fast_and_slow_with_slow() {
    let mut table = Table::new(2, Links::new(MS));
    for i in 0..12 {
        let vm = format!("vm-{i}");
        table.warm(i % 2, &vm, "east", 8);
        table.report(&vm, &load(1, if i < 6 { 8 } else { 24 }), Duration::ZERO);
    }
    let mut rng = Pcg64::seed_from_u64(3);
    let speed = |vm: &String| vm[3..].parse::<usize>().expect("a number") < 6;
    for _ in 0..200 {
        let chain = table.chain(&request(None), secs(10), &mut rng).expect("free slots");
        assert_eq!(speed(&chain[0][0]), speed(&chain[1][0]));
    }
}

struct Tried {
    outcome: Outcome,
    tries: u32,
    deadline: u64,
    stop: Option<Stop>,
}

// A write whose answer was lost must not be retried, as it may take effect twice; and no retry may start that can't end
// in time.
#[rstest]
#[case(Tried { outcome: Outcome::NotRun, tries: 1, deadline: 60, stop: None })]
#[case(Tried { outcome: Outcome::Idempotent, tries: 1, deadline: 60, stop: None })]
#[case(Tried { outcome: Outcome::Unknown, tries: 1, deadline: 60, stop: Some(Stop::Unsafe) })]
#[case(Tried { outcome: Outcome::NotRun, tries: 5, deadline: 60, stop: Some(Stop::Tries) })]
#[case(Tried { outcome: Outcome::NotRun, tries: 1, deadline: 4, stop: Some(Stop::Deadline) })]
fn retries_only_what_is_safe_and_in_time(#[case] case: Tried) {
    let Tried { outcome, tries, deadline, stop } = case;
    let failure = Failure { outcome, tries, run: secs(5), deadline: secs(deadline) };
    let retry = Budget::default().decide(&failure, Duration::ZERO, &mut Pcg64::seed_from_u64(1));
    match stop {
        Some(stop) => assert_eq!(retry, Retry::Stop(stop)),
        None => assert!(matches!(retry, Retry::After(_))),
    }
}

// A third of the fleet is lost and everything fails: retries must not multiply the load.
#[test]
fn retries_stay_under_the_budget() {
    let (mut budget, mut rng) = (Budget::default(), Pcg64::seed_from_u64(1));
    let failure =
        Failure { outcome: Outcome::NotRun, tries: 1, run: secs(1), deadline: secs(1000) };
    let mut retry = |budget: &mut Budget| {
        matches!(budget.decide(&failure, Duration::ZERO, &mut rng), Retry::After(_))
    };
    let first = (0..1000).filter(|_| retry(&mut budget)).count();
    assert_eq!(first, BURST_RETRIES as usize);
    (0..100).for_each(|_| budget.succeeded());
    let next = (0..1000).filter(|_| retry(&mut budget)).count();
    assert!((9..=10).contains(&next), "{next} retries after 100 successes");
}

// One request that crashes the engine runs beside seven others, and its caller sends it again. It must be refused after
// the second crash, and the others must not.
#[test]
fn two_crashes_identify_the_request_at_fault() {
    let mut list = List::new(secs(600));
    assert!(list.crashed(&[1, 2, 3, 4, 5, 6, 7, 8], secs(1)).is_empty());
    let mut peer = List::new(secs(600));
    peer.merge(&list.suspects(secs(1)), &[], secs(1));
    assert_eq!(peer.verdict(3, secs(2)), Verdict::Alone);
    for harmless in [1, 2, 4, 5, 6, 7, 8] {
        peer.completed(harmless);
        assert_eq!(peer.verdict(harmless, secs(2)), Verdict::Clear);
    }
    assert_eq!(peer.crashed(&[3], secs(3)), [3]);
    assert_eq!(peer.verdict(3, secs(3)), Verdict::Refused { left: secs(600) });
    assert_eq!(peer.verdict(3, secs(604)), Verdict::Clear, "after the set time");
    (0..5000).for_each(|f| drop(peer.crashed(&[f + 100], secs(5))));
    assert!(peer.suspects(secs(5)).len() + peer.refused(secs(5)).len() <= MAX_FINGERPRINTS);
    assert!(matches!(peer.verdict(3, secs(5)), Verdict::Refused { .. }), "kept when full");
}

// Saturation, and a stage is lost. Its drafts need slots in other replicas, where the objective `Recovery` keeps
// some free of new work.
#[rstest]
#[case(Objective::Throughput, 8, 0)]
#[case(Objective::Recovery, 8, 1)]
#[case(Objective::Recovery, 32, 4)]
fn the_objective_keeps_a_reserve_for_recovery(
    #[case] objective: Objective,
    #[case] size: u32,
    #[case] reserve: u32,
) {
    let mut slots = Slots::new(size, objective);
    let new = (0..100).filter(|_| slots.admit(Kind::New) == Admit::Granted).count();
    let recovered = (0..100).filter(|_| slots.admit(Kind::Recovery) == Admit::Granted).count();
    assert_eq!((new as u32, recovered as u32), (size - reserve, reserve));
}

// A suspect must not run beside other requests, which would be lost if it crashes the engine.
#[test]
fn a_suspect_runs_alone() {
    let mut slots = Slots::new(8, Objective::Throughput);
    assert_eq!(slots.admit(Kind::New), Admit::Granted);
    assert_eq!(slots.admit(Kind::Alone), Admit::Full { alone: true });
    slots.release();
    assert_eq!(slots.admit(Kind::Alone), Admit::Granted);
    assert_eq!(slots.admit(Kind::New), Admit::Full { alone: true });
    assert_eq!(slots.admit(Kind::Recovery), Admit::Full { alone: true });
    slots.release();
    assert_eq!(slots.admit(Kind::New), Admit::Granted);
}
