//! Judging of settings changes: racing operators, expired records, late starters.

use config::change::{Change, State, Verdict};
use proptest::prelude::*;
use rstest::rstest;

fn text(n: u32) -> String {
    format!("[defaults]\nqueue-limit = {}\n", n + 1)
}

fn change(base: u64, text: &str) -> Change {
    Change {
        id: "id".into(),
        base,
        author: "a".into(),
        reason: "r".into(),
        text: text.into(),
        carried: None,
        judged: 0,
    }
}

fn carried(version: u64, judged: u64, text: &str) -> Change {
    Change { carried: Some(version), judged, ..change(version, text) }
}

fn json(change: &Change) -> String {
    serde_json::to_string(change).unwrap()
}

fn reason(verdict: Verdict) -> String {
    match verdict {
        Verdict::Refused(reason) => reason,
        other => panic!("{other:?}"),
    }
}

// Two operators publish changes made from version 1 at the same time. If both were accepted,
// the second would silently undo the first.
#[test]
fn of_two_racing_changes_the_first_wins_and_the_second_is_refused() {
    let mut state = State::new();
    assert_eq!(state.judge(0, &json(&change(0, &text(1)))), Verdict::Accepted(1));
    assert_eq!(state.judge(1, &json(&change(1, &text(2)))), Verdict::Accepted(2));
    let refusal = reason(state.judge(2, &json(&change(1, &text(3)))));
    assert_eq!(refusal, "based on version 1, but 2 is in force");
    assert_eq!(state.fleet.defaults.queue_limit, 3);
}

#[rstest]
#[case::garbage("garbage", "does not decode")]
#[case::half("{\"id\":\"x\"}", "does not decode")]
#[case::wrong_type("{\"id\":7}", "does not decode")]
#[case::empty("", "does not decode")]
#[case::faulty(&json(&change(1, "[defaults]\nqueue-limit = 0\n")), "queue-limit")]
#[case::future(&json(&change(9, &text(2))), "based on version 9")]
#[case::carried_future(&json(&carried(9, 9, &text(1))), "carries version 9")]
#[case::carried_other(&json(&carried(1, 1, &text(7))), "not the text")]
fn a_wrong_record_is_refused_and_changes_nothing(#[case] data: &str, #[case] why: &str) {
    let mut state = State::new();
    state.judge(0, &json(&change(0, &text(1))));
    let refusal = reason(state.judge(1, data));
    assert!(refusal.contains(why), "{refusal}");
    assert_eq!((state.version, state.next), (1, 2));
    assert_eq!(reason(state.judge(1, data)), "already read");
}

// A daemon starts after the first records have expired. A change whose base it can't verify
// may have lost a race; if it were accepted, this VM alone would run other settings.
#[test]
fn a_late_starter_waits_for_a_carried_record_and_then_agrees() {
    let mut late = State::starting_at(5);
    assert_eq!(late.judge(5, &json(&change(3, &text(2)))), Verdict::Pending);
    assert_eq!(late.judge(6, &json(&change(4, &text(3)))), Verdict::Pending);
    assert!(!late.knows_base());
    let verdicts = late.judge_with_pending(7, &json(&carried(4, 5, &text(1))));
    assert!(matches!(verdicts[0], (5, Verdict::Refused(_))));
    assert_eq!(verdicts[1], (6, Verdict::Accepted(7)));
    assert!(matches!(verdicts[2], (7, Verdict::Refused(_))));
    assert_eq!((late.version, late.text), (7, text(3)));
}

// A daemon appends its carried record late: the records that it had judged have expired
// meanwhile, and an expired change after them may have been accepted.
#[test]
fn a_carried_record_from_before_the_gap_is_not_used() {
    let mut late = State::starting_at(5);
    assert_eq!(late.judge(5, &json(&carried(2, 4, &text(1)))), Verdict::Pending);
    assert_eq!(late.judge(6, &json(&change(2, &text(2)))), Verdict::Pending);
    assert_eq!((late.version, late.knows_base()), (0, false));
    assert!(late.carried_record("id", "a").is_none());
}

// A VM is paused for longer than the log keeps records.
#[test]
fn after_a_gap_the_base_is_unknown_and_the_settings_stay() {
    let mut state = State::new();
    state.judge(0, &json(&change(0, &text(1))));
    assert_eq!(state.judge(4, &json(&change(1, &text(2)))), Verdict::Pending);
    assert_eq!((state.version, state.knows_base()), (1, false));
}

// The whole fleet was down for longer than the log keeps records, so no process knows the
// base. Two operators restart the stream at the same time: the first restart is in force for
// all processes, including one that read the whole stream while nothing was in force.
#[test]
fn of_two_restarts_the_first_is_in_force_for_all() {
    let empty = State::starting_at(5);
    let [first, second] = [1, 2].map(|n| json(&empty.restart_record("id", "a", "r", &text(n))));
    let mut witness = State::new();
    for offset in 0..5 {
        witness.judge(offset, "garbage");
    }
    for mut state in [witness, empty] {
        assert_eq!(state.judge(5, &first), Verdict::Carried(6));
        assert_eq!(reason(state.judge(6, &second)), "not the text of version 6");
        assert_eq!((state.version, state.text), (6, text(1)));
    }
    let mut late = State::starting_at(6);
    assert!(matches!(late.judge(6, &second), Verdict::Refused(_)));
    assert_eq!((late.version, late.knows_base()), (0, false));
}

// A faulty daemon appends a carried record that contradicts itself. A late starter that
// accepted it would have a version in force that never existed.
#[rstest]
#[case::newer_than_judged(carried(6, 4, &text(1)))]
#[case::far_newer(carried(9, 5, &text(1)))]
#[case::judged_what_was_to_come(carried(3, 9, &text(1)))]
#[case::faulty(carried(3, 5, "[what]\n"))]
fn an_impossible_carried_record_is_refused(#[case] record: Change) {
    let mut late = State::starting_at(5);
    assert!(matches!(late.judge(5, &json(&record)), Verdict::Refused(_)));
    assert_eq!((late.version, late.knows_base()), (0, false));
}

// A VM was paused while the records expired and still has an old version. The restart has a
// higher version, so the VM adopts it like all others.
#[test]
fn a_restart_is_newer_than_all_versions_before() {
    let mut state = State::new();
    state.judge(0, &json(&change(0, &text(1))));
    let restart = State::starting_at(1).restart_record("id", "a", "r", &text(2));
    let mut paused = state.clone();
    assert!(matches!(state.judge(1, &json(&restart)), Verdict::Refused(_)), "it knew the base");
    paused.skip(3);
    let restart = State::starting_at(3).restart_record("id", "a", "r", &text(2));
    assert_eq!(paused.judge(3, &json(&restart)), Verdict::Carried(4));
    assert_eq!((paused.version, paused.text), (4, text(2)));
}

// A peer has read further. Its version takes effect here at once and is not reverted by
// older records that are read later.
#[test]
fn a_version_from_a_peer_never_reverts() {
    let mut state = State::new();
    assert!(state.adopt(3, &text(3)));
    assert!(!state.adopt(2, &text(2)));
    assert!(!state.adopt(4, "[what]\n"));
    assert_eq!(state.judge(0, &json(&change(0, &text(1)))), Verdict::Accepted(1));
    assert_eq!((state.version, state.text.clone()), (3, text(3)));
    assert_eq!(state.judge(1, &json(&change(0, &text(9)))).clone(), {
        Verdict::Refused("based on version 0, but 1 is in force".into())
    });
    assert_eq!(state.judge(2, &json(&change(1, &text(3)))), Verdict::Accepted(3));
}

/// A step of a random run.
#[derive(Debug, Clone)]
enum Step {
    /// An operator appends a change made from the version in force at a process.
    Publish(usize),
    /// An operator appends a change made from an arbitrary version.
    Guess(u64),
    /// A record that is not a change is appended.
    Garbage,
    /// A process prepares a carried record, which is appended some steps later.
    Carry(usize),
    /// The oldest prepared carried record is appended.
    Arrive,
    /// A process reads some records.
    Read(usize, u64),
    /// The oldest records expire.
    Expire(u64),
    /// A process restarts.
    Start(usize),
    /// A process adopts the version of another process.
    Adopt(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    let i = 0..PROCESSES;
    prop_oneof![
        4 => i.clone().prop_map(Step::Publish),
        1 => (0..30u64).prop_map(Step::Guess),
        1 => Just(Step::Garbage),
        3 => i.clone().prop_map(Step::Carry),
        3 => Just(Step::Arrive),
        6 => (i.clone(), 1..5u64).prop_map(|(i, n)| Step::Read(i, n)),
        2 => (1..4u64).prop_map(Step::Expire),
        1 => i.clone().prop_map(Step::Start),
        1 => (i.clone(), i).prop_map(|(i, j)| Step::Adopt(i, j)),
    ]
}

const PROCESSES: usize = 4;

/// A log with expiring records, and the processes that read it.
struct World {
    log: Vec<String>,
    first: u64,
    delayed: Vec<String>,
    processes: Vec<State>,
    /// Judges each record when it is appended and misses none.
    witness: State,
    /// Versions accepted so far, with their texts.
    accepted: Vec<(u64, String)>,
    count: u32,
}

impl World {
    fn new() -> World {
        World {
            log: vec![],
            first: 0,
            delayed: vec![],
            processes: vec![State::new(); PROCESSES],
            witness: State::new(),
            accepted: vec![(0, String::new())],
            count: 0,
        }
    }

    fn append(&mut self, data: String) {
        let offset = self.log.len() as u64;
        if let Verdict::Accepted(version) = self.witness.judge(offset, &data) {
            assert_eq!(version, offset + 1);
            self.accepted.push((version, self.witness.text.clone()));
        }
        self.log.push(data);
    }

    fn publish(&mut self, base: u64) {
        self.count += 1;
        self.append(json(&change(base, &text(self.count))));
    }

    fn read(&mut self, i: usize, count: u64) {
        let state = &mut self.processes[i];
        state.skip(self.first);
        for _ in 0..count {
            let offset = state.next;
            let Some(data) = self.log.get(offset as usize) else { return };
            let before = state.version;
            let verdicts = state.judge_with_pending(offset, data);
            assert!(state.version >= before, "a version reverted");
            for (offset, verdict) in verdicts {
                let accepted = self.accepted.iter().any(|(v, _)| *v == offset + 1);
                match verdict {
                    Verdict::Accepted(_) => assert!(accepted, "accepted what others refused"),
                    Verdict::Refused(_) => assert!(!accepted, "refused what others accepted"),
                    Verdict::Carried(_) | Verdict::Pending => {}
                }
            }
            let current = (state.version, state.text.clone());
            assert!(self.accepted.contains(&current), "has what was never accepted: {current:?}");
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Publish(i) => self.publish(self.processes[i].version),
            Step::Guess(base) => self.publish(base),
            Step::Garbage => self.append("garbage".into()),
            Step::Carry(i) => {
                self.delayed.extend(self.processes[i].carried_record("c", "d").as_ref().map(json))
            }
            Step::Arrive if self.delayed.is_empty() => {}
            Step::Arrive => {
                let data = self.delayed.remove(0);
                self.append(data);
            }
            Step::Read(i, count) => self.read(i, count),
            Step::Expire(count) => self.first = (self.first + count).min(self.log.len() as u64),
            Step::Start(i) => self.processes[i] = State::starting_at(self.first),
            Step::Adopt(i, j) => {
                let (version, text) = (self.processes[j].version, self.processes[j].text.clone());
                let before = self.processes[i].version;
                assert_eq!(self.processes[i].adopt(version, &text), version > before);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    // Operators race, records expire and daemons start at any moment. If processes disagreed,
    // a limit would apply at one router and not at another.
    #[test]
    fn all_processes_that_have_caught_up_agree(steps in prop::collection::vec(step(), 1..80)) {
        let mut world = World::new();
        for step in steps {
            world.run(step);
        }
        // The witness appends a carried record, from which every process learns the base.
        let carry = world.witness.carried_record("c", "d").unwrap();
        world.append(json(&carry));
        for i in 0..PROCESSES {
            world.read(i, u64::MAX >> 1);
            let state = &world.processes[i];
            prop_assert_eq!(&state.text, &world.witness.text);
            prop_assert_eq!(state.version, world.witness.version);
            prop_assert!(state.knows_base());
        }
        let rising = world.accepted.windows(2).all(|pair| pair[0].0 < pair[1].0);
        prop_assert!(rising);
    }

    // Of all changes made from one version exactly one is accepted: the first valid one.
    #[test]
    fn each_base_has_one_winner(bases in prop::collection::vec(0..12u64, 1..40)) {
        let mut state = State::new();
        let mut won = vec![];
        for (offset, base) in bases.iter().enumerate() {
            let expected = state.version == *base;
            let verdict = state.judge(offset as u64, &json(&change(*base, &text(offset as u32))));
            prop_assert_eq!(verdict == Verdict::Accepted(offset as u64 + 1), expected);
            won.extend(expected.then_some(*base));
        }
        let count = won.len();
        won.sort();
        won.dedup();
        prop_assert_eq!(won.len(), count);
    }

    // No content of the stream may end the daemon that reads it.
    #[test]
    fn no_record_makes_a_reader_panic(data in ".{0,200}", offset in any::<u64>()) {
        let mut state = State::new();
        state.judge(offset, &data);
    }
}
