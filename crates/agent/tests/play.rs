//! Simulates the ledger of writes for many seeds, without a network.

use std::rc::Rc;

use agent::ledger::{
    Answer, Batch, Body, CheckpointEnd, CheckpointRecord, Entry, Intent, Ledger, Receipt, Record,
    TryRef,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

const KEYS: usize = 16;
const VMS: usize = 3;
const EVENTS: usize = 3_000;

/// Milliseconds from one record to the next, by the log's clock.
const RECORD_MS: u64 = 10_000;

/// Time for which a key is remembered.
const WINDOW_MS: u64 = 80 * RECORD_MS;

/// Deadline of a caller, after which its write is not sent.
const DEADLINE_MS: u64 = 30 * RECORD_MS;

/// The measures that keep writes from running twice, and variants with one of them left out.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Guard {
    All,
    /// An incomplete reader decides on what is left of the log.
    NoCatchUp,
    /// A paused reader continues with what it knew before the gap.
    NoGapCheck,
    /// The end of a checkpoint is appended without its records.
    EmptyCheckpoints,
    /// Writes run without intents.
    None,
}

struct Claim {
    owner: (String, u64),
    key: String,
    id: String,
    until: u64,
    time_ms: u64,
}

/// An agent process. It may be frozen for any time and resume after its VM was restarted with a
/// newer process, or after records have expired.
struct Process {
    owner: (String, u64),
    ledger: Ledger,
    /// When it started to read, by its own clock.
    began: u64,
    /// Tries whose intents have been appended and not decided yet.
    undecided: Vec<Claim>,
    /// Abandoned tries.
    abandoned: Vec<Claim>,
    /// Tries read to be the first of their key, not sent to the service yet.
    sending: Vec<Claim>,
    /// Checkpoint records still to be appended, and the end of the checkpoint.
    checkpointing: Option<(Vec<CheckpointRecord>, CheckpointEnd)>,
}

struct World {
    guard: Guard,
    /// Reads every record when it is appended.
    witness: Ledger,
    /// Reads after which a complete reader knew other records than the witness at the same
    /// offset.
    mismatches: usize,
    /// Records that the witness knew just before each offset, one for each key.
    known: Vec<Rc<Vec<Option<Record>>>>,
    log: Vec<String>,
    /// Offset of the oldest record in the log.
    first: usize,
    /// Appends whose answer was lost and that take effect later.
    in_flight: Vec<String>,
    /// Key and time of the intent of each run.
    runs: Vec<(String, u64)>,
    /// Resets that were appended.
    resets: usize,
    tries: u64,
    incarnation: u64,
}

impl World {
    fn now(&self) -> u64 {
        self.log.len() as u64 * RECORD_MS
    }

    fn commit(&mut self, data: String) {
        let offset = self.log.len() as u64;
        let before = self.known.last().cloned();
        self.known.push(match before {
            // A checkpoint record changes nothing for the witness, and most records are such.
            Some(known) if self.log.last().is_some_and(|data| data.contains("\"carry\"")) => known,
            _ => Rc::new(all(&self.witness)),
        });
        self.witness.apply(offset, offset * RECORD_MS, &data);
        self.log.push(data);
    }

    fn append(&mut self, owner: &(String, u64), entry: Entry, rng: &mut impl Rng) {
        let (vm, incarnation) = owner.clone();
        let batch = Batch { vm, incarnation, entries: vec![entry] };
        let data = serde_json::to_string(&batch).unwrap();
        match rng.random_range(0..20) {
            0 => {}
            1 => self.in_flight.push(data),
            _ => self.commit(data),
        }
    }

    fn incarnation(&mut self) -> u64 {
        self.incarnation += 1;
        self.incarnation
    }

    /// Number of runs of a key that followed another one within the window.
    fn double_runs(&self) -> usize {
        let mut runs = self.runs.clone();
        runs.sort();
        runs.windows(2).filter(|w| w[0].0 == w[1].0 && w[1].1 - w[0].1 <= WINDOW_MS).count()
    }
}

fn all(ledger: &Ledger) -> Vec<Option<Record>> {
    (0..KEYS).map(|n| ledger.find(&format!("k{n}")).cloned()).collect()
}

fn start(world: &mut World, vm: usize) -> Process {
    Process {
        owner: (format!("vm-{vm}"), world.incarnation()),
        ledger: Ledger::new(),
        began: world.now(),
        undecided: vec![],
        abandoned: vec![],
        sending: vec![],
        checkpointing: None,
    }
}

fn read(world: &mut World, process: &mut Process, rng: &mut impl Rng) {
    let late = process.ledger.next == 0;
    let ignores_expiry = match world.guard {
        Guard::NoCatchUp => late,
        Guard::NoGapCheck => !late,
        _ => false,
    };
    if ignores_expiry {
        // Reads what is left of the log: `apply` continues after the gap.
    } else if process.ledger.skip_expired(world.first as u64) {
        process.began = world.now();
        if !late {
            process.owner.1 = world.incarnation();
        }
    }
    let active = process.ledger.last_active();
    let from = (process.ledger.next as usize).max(world.first);
    let to = rng.random_range(from..=world.log.len());
    for offset in from..to {
        process.ledger.apply(offset as u64, offset as u64 * RECORD_MS, &world.log[offset]);
    }
    if process.ledger.last_active() > active {
        process.began = world.now();
    }
    if process.ledger.is_complete() {
        let agrees = match world.known.get(to) {
            Some(known) => **known == all(&process.ledger),
            None => all(&world.witness) == all(&process.ledger),
        };
        world.mismatches += usize::from(!agrees);
    }
    if to < world.log.len() {
        return;
    }
    if let Some(reset) = process.ledger.reset_entry()
        && world.now() - process.began > WINDOW_MS
    {
        let owner = process.owner.clone();
        world.append(&owner, Entry::Reset(reset), rng);
        process.began = world.now();
        world.resets += 1;
    }
    let started = process.ledger.incarnation_of(&process.owner.0);
    if started.is_none_or(|s| s < process.owner.1) {
        let owner = process.owner.clone();
        world.append(&owner, Entry::Start, rng);
    }
}

fn start_write(world: &mut World, process: &mut Process, rng: &mut impl Rng) {
    let key = format!("k{}", rng.random_range(0..KEYS));
    let id = format!("t{}", world.tries);
    world.tries += 1;
    let unknown = process.ledger.find(&key).is_none();
    let (owner, until) = (process.owner.clone(), world.now() + DEADLINE_MS);
    let claim = Claim { owner, key, id, until, time_ms: world.now() };
    match world.guard {
        Guard::None => process.sending.push(claim),
        _ if unknown && process.ledger.is_ready(&process.owner) => {
            let (key, id) = (claim.key.clone(), claim.id.clone());
            let intent = Entry::Intent(Intent { key, content_hash: "p".into(), id });
            world.append(&claim.owner, intent, rng);
            process.undecided.push(claim);
        }
        _ => {}
    }
}

fn decide(world: &mut World, process: &mut Process, rng: &mut impl Rng) {
    for mut claim in std::mem::take(&mut process.undecided) {
        let found = process.ledger.find(&claim.key);
        let runs = match claim.owner == process.owner {
            true => process.ledger.is_first(&claim.key, &claim.id, &claim.owner),
            false => None,
        };
        match runs {
            Some(true) => {
                claim.time_ms = found.map_or(0, |r| r.time_ms);
                process.sending.push(claim);
            }
            Some(false) => {}
            None if rng.random_bool(0.5) => process.abandoned.push(claim),
            None => process.undecided.push(claim),
        }
    }
    if process.ledger.is_complete() {
        for claim in std::mem::take(&mut process.abandoned) {
            match process.ledger.find(&claim.key).is_some_and(|r| r.id == claim.id) {
                true => {
                    let mark = TryRef { key: claim.key, id: claim.id };
                    world.append(&claim.owner, Entry::Void(mark), rng);
                }
                false => process.abandoned.push(claim),
            }
        }
    }
}

/// Sends a write to the service, which may be unreachable or whose answer may be lost.
fn send(world: &mut World, process: &mut Process, rng: &mut impl Rng) {
    let Some(claim) = process.sending.pop() else { return };
    let (key, id) = (claim.key.clone(), claim.id.clone());
    let reached = world.now() < claim.until && rng.random_bool(0.7);
    let entry = match rng.random_bool(0.5) {
        _ if !reached => Entry::Void(TryRef { key, id }),
        true => Entry::Lost(TryRef { key, id }),
        false => {
            let answer = Answer { status: 201, headers: vec![], body: Body::Text("1".into()) };
            Entry::Receipt(Receipt { key, id, answer })
        }
    };
    if reached {
        world.runs.push((claim.key, claim.time_ms));
    }
    if rng.random_bool(0.8) {
        world.append(&claim.owner, entry, rng);
    }
}

fn checkpoint(world: &mut World, process: &mut Process, rng: &mut impl Rng) {
    let owner = process.owner.clone();
    match process.checkpointing.take() {
        None => {
            process.checkpointing = process.ledger.checkpoint(WINDOW_MS);
            if let (Guard::EmptyCheckpoints, Some((writes, end))) =
                (world.guard, &mut process.checkpointing)
            {
                writes.clear();
                end.count = 0;
            }
        }
        Some((mut writes, end)) => match writes.pop() {
            Some(write) => {
                // Retried until it is in the log.
                let before = world.log.len();
                while world.log.len() == before {
                    world.append(&owner, Entry::CheckpointRecord(write.clone()), rng);
                }
                process.checkpointing = Some((writes, end));
            }
            None => world.append(&owner, Entry::CheckpointEnd(end), rng),
        },
    }
}

/// Lets a process take one step.
fn act(world: &mut World, process: &mut Process, rng: &mut impl Rng) {
    match rng.random_range(0..11) {
        0..=3 => read(world, process, rng),
        4 | 5 => start_write(world, process, rng),
        6 => decide(world, process, rng),
        7 | 8 => send(world, process, rng),
        _ => checkpoint(world, process, rng),
    }
}

fn simulate(seed: u64, guard: Guard) -> World {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut world = World {
        guard,
        witness: Ledger::new(),
        mismatches: 0,
        known: vec![],
        resets: 0,
        log: vec![],
        first: 0,
        in_flight: vec![],
        runs: vec![],
        tries: 0,
        incarnation: 0,
    };
    let mut processes: Vec<Process> = (0..VMS).map(|vm| start(&mut world, vm)).collect();
    for _ in 0..EVENTS {
        if rng.random_bool(0.006) {
            // The old process on the VM is frozen and resumes later, or has ended.
            let vm = rng.random_range(0..VMS);
            if rng.random_bool(0.7) {
                processes.retain(|p| p.owner.0 != format!("vm-{vm}"));
            }
            let new = start(&mut world, vm);
            processes.push(new);
        }
        if rng.random_bool(0.01) {
            let kept = rng.random_range(0..200);
            world.first = world.first.max(world.log.len().saturating_sub(kept));
        }
        if rng.random_bool(0.1) && !world.in_flight.is_empty() {
            let i = rng.random_range(0..world.in_flight.len());
            let data = world.in_flight.swap_remove(i);
            world.commit(data);
        }
        let i = rng.random_range(0..processes.len());
        let mut process = processes.swap_remove(i);
        act(&mut world, &mut process, &mut rng);
        processes.push(process);
    }
    world
}

/// Callers send the same write through several agents. Answers of the service and appends to the
/// log are lost or take effect late; agents are killed, or frozen and resumed after their VM was
/// restarted or records have expired; others start after the first records have expired. A write
/// that ran twice would bill a client twice for one order.
#[rstest]
fn a_write_runs_at_most_once_over_many_seeds(#[values(0, 250, 500, 750)] from: u64) {
    let (mut ran, mut late, mut resets) = (0, 0, 0);
    for seed in from..from + 250 {
        let world = simulate(seed, Guard::All);
        assert_eq!(world.double_runs(), 0, "seed {seed}: runs {:?}", world.runs);
        // A reader that knows other records than the rest would answer a retry differently, or
        // let a key run that the others treat as used.
        assert_eq!(world.mismatches, 0, "seed {seed}: complete readers differ from the witness");
        ran += world.runs.len();
        resets += world.resets;
        late += usize::from(world.first > 0);
    }
    println!("{ran} runs in 250 seeds, records expired in {late}, {resets} resets");
    assert!(ran > 5_000 && late > 225, "too few runs or expired records: {ran}, {late}");
}

/// The same simulation with one measure left out shows that it would detect a doubled write.
/// Without that measure, callers would get two orders for one key.
#[rstest]
#[case::no_catch_up(Guard::NoCatchUp)]
#[case::no_gap_check(Guard::NoGapCheck)]
#[case::empty_checkpoints(Guard::EmptyCheckpoints)]
#[case::no_intents(Guard::None)]
fn without_one_measure_writes_run_twice(#[case] guard: Guard) {
    let worlds = (0..200).map(|seed| simulate(seed, guard));
    let (ran, doubled) = worlds.fold((0, 0), |(ran, seeds), w| {
        (ran + w.runs.len(), seeds + usize::from(w.double_runs() > 0))
    });
    println!("{guard:?}: {doubled} of 200 seeds double a write, {ran} runs");
    assert!(doubled > 0, "no seed of {guard:?} doubles a write");
}
