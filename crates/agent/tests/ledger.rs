//! The ledger of writes, played without a network over many seeds.

use agent::ledger::{Answer, Batch, Body, Entry, Intent, Ledger, Mark, Receipt, State};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;
use wire::frame::Reply;

const KEYS: usize = 12;
const VMS: usize = 3;
const EVENTS: usize = 600;

fn answer(n: u64) -> Answer {
    Answer { status: 201, headers: vec![], body: Body::Text(n.to_string()) }
}

fn record(vm: &str, incarnation: u64, entries: Vec<Entry>) -> String {
    serde_json::to_string(&Batch { vm: vm.into(), incarnation, entries }).unwrap()
}

fn intent(key: &str, id: &str) -> Entry {
    Entry::Intent(Intent { key: key.into(), print: "p".into(), id: id.into() })
}

fn mark(key: &str, id: &str) -> Mark {
    Mark { key: key.into(), id: id.into() }
}

struct Case {
    name: &'static str,
    records: Vec<String>,
    first: Option<&'static str>,
    state: Option<State>,
}

#[test]
fn the_log_decides() {
    let receipt =
        |id: &str| Entry::Receipt(Receipt { key: "k".into(), id: id.into(), answer: answer(1) });
    let cases = [
        Case {
            name: "the first of two intents counts",
            records: vec![
                record("a", 1, vec![intent("k", "x")]),
                record("b", 1, vec![intent("k", "y")]),
            ],
            first: Some("x"),
            state: Some(State::Open),
        },
        Case {
            name: "a receipt of the loser changes nothing",
            records: vec![
                record("a", 1, vec![intent("k", "x")]),
                record("b", 1, vec![intent("k", "y"), receipt("y")]),
            ],
            first: Some("x"),
            state: Some(State::Open),
        },
        Case {
            name: "a voided intent makes room",
            records: vec![
                record("a", 1, vec![intent("k", "x"), Entry::Void(mark("k", "x"))]),
                record("b", 1, vec![intent("k", "y")]),
            ],
            first: Some("y"),
            state: Some(State::Open),
        },
        Case {
            name: "nobody but its owner can void an intent",
            records: vec![
                record("a", 1, vec![intent("k", "x")]),
                record("b", 1, vec![Entry::Void(mark("k", "x")), intent("k", "y")]),
            ],
            first: Some("x"),
            state: Some(State::Open),
        },
        Case {
            name: "a new start on the VM leaves the old open writes unknown",
            records: vec![
                record("a", 1, vec![Entry::Start, intent("k", "x")]),
                record("a", 2, vec![Entry::Start]),
            ],
            first: Some("x"),
            state: Some(State::Unknown),
        },
        Case {
            name: "an intent of a process that was replaced is void",
            records: vec![
                record("a", 2, vec![Entry::Start]),
                record("a", 1, vec![intent("k", "x")]),
                record("b", 1, vec![intent("k", "y")]),
            ],
            first: Some("y"),
            state: Some(State::Open),
        },
        Case {
            name: "a late receipt settles an unknown write",
            records: vec![
                record("a", 1, vec![intent("k", "x")]),
                record("a", 2, vec![Entry::Start]),
                record("a", 1, vec![receipt("x")]),
            ],
            first: Some("x"),
            state: Some(State::Settled(answer(1))),
        },
        Case {
            name: "an answer is not taken back",
            records: vec![record(
                "a",
                1,
                vec![intent("k", "x"), receipt("x"), Entry::Lost(mark("k", "x"))],
            )],
            first: Some("x"),
            state: Some(State::Settled(answer(1))),
        },
        Case {
            name: "a record that does not decode is skipped",
            records: vec!["{".into(), record("a", 1, vec![intent("k", "x")])],
            first: Some("x"),
            state: Some(State::Open),
        },
    ];
    for case in cases {
        let mut ledger = Ledger::new();
        for (offset, data) in case.records.iter().enumerate() {
            ledger.apply(offset as u64, 1_000, data);
        }
        let found = ledger.find("k");
        assert_eq!(found.map(|r| r.id.as_str()), case.first, "{}", case.name);
        assert_eq!(found.map(|r| r.state.clone()), case.state, "{}", case.name);
    }
}

/// One process beside the service. It may be frozen for any time and thaw after
/// its VM was started again with a newer process.
struct Process {
    vm: String,
    incarnation: u64,
    ledger: Ledger,
    /// Tries that have been appended and not yet been decided.
    claimed: Vec<(String, String)>,
    /// Tries seen to be first, about to be sent to the service.
    sending: Vec<(String, String)>,
}

#[derive(Default)]
struct World {
    log: Vec<String>,
    runs: Vec<u32>,
    tries: u64,
}

impl World {
    fn append(&mut self, process: &Process, entry: Entry) {
        self.log.push(record(&process.vm, process.incarnation, vec![entry]));
    }

    fn run(&mut self, key: &str) {
        let n: usize = key[1..].parse().unwrap();
        self.runs[n] += 1;
    }
}

fn start(world: &mut World, vm: usize, incarnation: u64) -> Process {
    let process = Process {
        vm: format!("vm-{vm}"),
        incarnation,
        ledger: Ledger::new(),
        claimed: vec![],
        sending: vec![],
    };
    world.append(&process, Entry::Start);
    process
}

fn read(world: &World, process: &mut Process, rng: &mut impl Rng) {
    let from = process.ledger.next as usize;
    let to = rng.random_range(from..=world.log.len());
    for offset in from..to {
        process.ledger.apply(offset as u64, 1_000, &world.log[offset]);
    }
}

/// One thing a process does.
fn act(world: &mut World, process: &mut Process, guarded: bool, rng: &mut impl Rng) {
    match rng.random_range(0..6) {
        0 | 1 => read(world, process, rng),
        // A caller asks, perhaps again.
        2 => {
            let key = format!("k{}", rng.random_range(0..KEYS));
            let id = format!("t{}", world.tries);
            world.tries += 1;
            match guarded {
                true if process.ledger.find(&key).is_some() => {}
                true => {
                    world.append(process, intent(&key, &id));
                    process.claimed.push((key, id));
                }
                false => process.sending.push((key, id)),
            }
        }
        3 => {
            let decided = |(key, _): &(String, String)| process.ledger.find(key).is_some();
            let (decided, open): (Vec<_>, Vec<_>) = process.claimed.drain(..).partition(decided);
            process.claimed = open;
            let ledger = &process.ledger;
            let first = |(key, id): &(String, String)| {
                ledger.find(key).is_some_and(|r| r.id == *id && r.state == State::Open)
            };
            process.sending.extend(decided.into_iter().filter(first));
        }
        // The service can be asked now, or it can't be reached, or its answer is lost.
        _ => {
            let Some((key, id)) = process.sending.pop() else { return };
            let entry = match rng.random_range(0..3) {
                0 => Entry::Void(mark(&key, &id)),
                1 => {
                    world.run(&key);
                    Entry::Lost(mark(&key, &id))
                }
                _ => {
                    world.run(&key);
                    Entry::Receipt(Receipt { key, id, answer: answer(1) })
                }
            };
            if rng.random_bool(0.8) {
                world.append(process, entry);
            }
        }
    }
}

fn play(seed: u64, guarded: bool) -> World {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut world = World { runs: vec![0; KEYS], ..World::default() };
    let mut processes: Vec<Process> = (0..VMS).map(|vm| start(&mut world, vm, 0)).collect();
    for incarnation in 1..=EVENTS as u64 {
        if rng.random_bool(0.02) {
            // The old process on the VM may be frozen and go on later, or be dead.
            let vm = rng.random_range(0..VMS);
            if rng.random_bool(0.5) {
                processes.retain(|p| p.vm != format!("vm-{vm}"));
            }
            let new = start(&mut world, vm, incarnation);
            processes.push(new);
        }
        let i = rng.random_range(0..processes.len());
        let mut process = processes.swap_remove(i);
        act(&mut world, &mut process, guarded, &mut rng);
        processes.push(process);
    }
    world
}

/// Callers ask for the same write through several agents, answers of the service
/// and appends to the log are lost, agents are killed, frozen and thawed after
/// their VM was started again. A client would be billed twice for one order.
#[rstest]
fn a_write_runs_at_most_once_over_many_seeds() {
    let mut ran = 0;
    for seed in 0..1_000 {
        let world = play(seed, true);
        assert!(world.runs.iter().all(|&n| n <= 1), "seed {seed}: runs {:?}", world.runs);
        ran += world.runs.iter().sum::<u32>();
    }
    assert!(ran > 1_000, "the play runs hardly anything: {ran}");
}

/// The same play without the intents shows that it would find a doubled write.
#[test]
fn without_intents_the_same_play_doubles_writes() {
    let doubled = (0..100).filter(|&s| play(s, false).runs.iter().any(|&n| n > 1)).count();
    assert!(doubled > 50, "only {doubled} of 100 seeds double a write");
}
