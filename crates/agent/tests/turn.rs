//! Order and fencing of a stage's sessions, for many seeds and without a network.

use agent::fence::Fence;
use agent::sequencer::{Decision, Sequencer};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use wire::frame::{Output, Step};
use wire::refusal::Cause;

/// Number of seeds.
const SEEDS: u64 = 2000;

/// Steps and new sessions of one run.
const FRAMES: usize = 60;

/// The session of one attempt and the positions that its engine ran.
#[derive(Default)]
struct Session {
    attempt: u32,
    sequencer: Sequencer,
    state: u64,
    ran: Vec<u32>,
}

/// Mixes a position and its input into the state, as the stand-in engine does.
fn mix(state: u64, position: u32, input: u64) -> u64 {
    (state ^ input).wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(u64::from(position))
}

/// Runs a step at the engine. If `lost`, the answer does not arrive.
fn run(session: &mut Session, step: &Step, lost: bool) -> Option<Output> {
    session.sequencer.begin();
    let mut outputs = Vec::new();
    for (position, input) in (step.position..).zip(&step.inputs) {
        session.ran.push(position);
        session.state = mix(session.state, position, *input);
        outputs.push(session.state);
    }
    let output = Output { position: step.position, outputs, token: None };
    (!lost).then(|| {
        session.sequencer.done(step.clone(), output.clone()).unwrap();
        output
    })
}

/// Returns the output of a position if every position up to it ran once and in order.
fn straight(last: u32) -> u64 {
    (0..=last).fold(0, |state, position| mix(state, position, u64::from(position)))
}

fn step(position: u32, count: u32) -> Step {
    Step { position, inputs: (position..position + count).map(u64::from).collect() }
}

/// Frames of several heads of one request reach a stage late, twice and out of order, and answers
/// of the engine are lost. If a position ran twice or out of order in one attempt, the text would
/// differ from that of an uninterrupted run; if an older attempt continued beside a newer one,
/// layers would run twice.
#[test]
fn every_position_runs_once_and_in_order() {
    for seed in 0..SEEDS {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut fence = Fence::default();
        let mut sessions: Vec<Session> = Vec::new();
        for _ in 0..FRAMES {
            if sessions.is_empty() || rng.random_bool(0.1) {
                let attempt = rng.random_range(0..6);
                let newest = fence.newest("request");
                let admitted = fence.admit("request", attempt);
                assert_eq!(admitted.is_ok(), attempt >= newest, "seed {seed}");
                if admitted.is_ok() {
                    sessions.push(Session { attempt, ..Session::default() });
                }
                continue;
            }
            let i = rng.random_range(0..sessions.len());
            let newest = fence.newest("request");
            let session = &mut sessions[i];
            let due = session.ran.last().map_or(0, |p| p + 1);
            // Mostly the next position, otherwise an earlier or a later one.
            let position = if rng.random_bool(0.7) { due } else { rng.random_range(0..due + 3) };
            let asked = step(position, rng.random_range(1..4));
            match session.sequencer.check(&asked, session.attempt, newest) {
                Ok(Decision::Run) => {
                    assert!(session.attempt >= newest, "seed {seed}: an old attempt ran");
                    let lost = rng.random_bool(0.1);
                    let output = run(session, &asked, lost);
                    let last = output.and_then(|o| o.outputs.last().copied());
                    let end = position + asked.inputs.len() as u32 - 1;
                    assert!(lost || last == Some(straight(end)), "seed {seed}");
                }
                Ok(Decision::Replay(output)) => {
                    let end = position + asked.inputs.len() as u32 - 1;
                    assert_eq!(output.outputs.last(), Some(&straight(end)), "seed {seed}");
                }
                Err(refused) => assert_ne!(refused.cause, Cause::Busy, "seed {seed}"),
            }
            let in_order: Vec<u32> = (0..sessions[i].ran.len() as u32).collect();
            assert_eq!(sessions[i].ran, in_order, "seed {seed}: out of order or twice");
        }
    }
}

/// After a lost answer it is not known whether the positions ran. A head that sends the step
/// again must not make it run a second time.
#[test]
fn a_lost_step_is_not_run_again() {
    let mut session = Session::default();
    let first = step(0, 2);
    assert!(run(&mut session, &first, true).is_none());
    assert_eq!(session.sequencer.check(&first, 0, 0).unwrap_err().cause, Cause::Lost);
}

/// One request may run two ranges at one agent in succession, if its engine was ordered to load
/// another range. Attempts of one range must not fence off the other.
#[test]
fn each_key_has_attempts_of_its_own() {
    let mut fence = Fence::default();
    fence.admit("request.4", 7).unwrap();
    assert_eq!(fence.admit("request.0", 0), Ok(()));
    assert_eq!(fence.admit("request.4", 6), Err(7));
}
