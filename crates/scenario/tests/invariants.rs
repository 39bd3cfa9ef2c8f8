//! The checks find what they are there for: each violation is planted here.

use std::time::{Duration, Instant};

use fake::engine::history::{Run, SessionRuns};
use rstest::rstest;
use scenario::expect::{self, Facts};
use scenario::history::{self, Engine, History};
use scenario::outcome::{Kind, Outcome, Verdict};
use scenario::recovery;
use scenario::script::Expect;

fn opened(session: &str, runs: &[(u32, u32)]) -> SessionRuns {
    let runs = runs.iter().map(|(start, count)| Run { start: *start, count: *count }).collect();
    SessionRuns {
        session: session.to_string(),
        tag: String::new(),
        model: "draft".to_string(),
        version: 1,
        first: 0,
        last: 3,
        runs,
    }
}

fn engine(sessions: Vec<SessionRuns>) -> Engine {
    Engine { vm: "gpu-0-1".to_string(), sessions, ..Engine::default() }
}

fn outcome(kind: Kind, id: &str, verdict: Verdict) -> Outcome {
    Outcome { verdict, positions: 10, ..Outcome::new(kind, id) }
}

struct Runs {
    runs: &'static [(u32, u32)],
    holds: bool,
}

/// A stage that takes a repeated frame for a new one applies a position twice, one that
/// lets frames overtake each other skips one. Users get drafts that read like nonsense.
#[rstest]
#[case::in_order(Runs { runs: &[(0, 10)], holds: true })]
#[case::imported(Runs { runs: &[(5, 4)], holds: true })]
#[case::applied_twice(Runs { runs: &[(0, 5), (4, 3)], holds: false })]
#[case::skipped(Runs { runs: &[(0, 5), (6, 3)], holds: false })]
#[case::backwards(Runs { runs: &[(3, 2), (0, 3)], holds: false })]
fn positions_out_of_order_are_found(#[case] case: Runs) {
    let violations = history::position_order(&[engine(vec![opened("r.1.1.0", case.runs)])]);
    assert_eq!(violations.is_empty(), case.holds, "{violations:?}");
}

/// A write whose answer was lost runs again on its repeat. Users get two print orders.
#[test]
fn a_doubled_write_is_found() {
    let runs = vec![("a".to_string(), 1), ("b".to_string(), 2)];
    let violations = history::duplicate_runs(&runs);
    assert_eq!(violations.len(), 1);
    assert!(violations[0].what.starts_with("b "));
}

/// An answer is given for an order that no service holds. Users wait for bands nobody prints.
#[test]
fn an_order_that_was_answered_and_never_ran_is_found() {
    let outcomes = [outcome(Kind::Order, "a", Verdict::Right)];
    assert_eq!(history::lost_orders(&outcomes, &vec![]).len(), 1);
    assert!(history::lost_orders(&outcomes, &vec![("a".to_string(), 1)]).is_empty());
}

struct Ghost {
    kind: Kind,
    verdict: Verdict,
    unknowns: u32,
    told: &'static str,
    found: bool,
}

/// "Not run" is said of something that ran. Users send it again and it runs twice. Whether
/// another sending was answered does not matter: each has an id of its own.
#[rstest]
#[case::draft(Ghost { kind: Kind::Draft, verdict: Verdict::NotRun(String::new()), unknowns: 0, told: "gpu-1.7.x", found: true })]
#[case::draft_then_answered(Ghost { kind: Kind::Draft, verdict: Verdict::Right, unknowns: 0, told: "gpu-1.7.x", found: true })]
#[case::draft_ran_under_another_head(Ghost { kind: Kind::Draft, verdict: Verdict::NotRun(String::new()), unknowns: 0, told: "gpu-2.9.x", found: true })]
#[case::another_draft_ran(Ghost { kind: Kind::Draft, verdict: Verdict::Right, unknowns: 0, told: "gpu-1.7.y", found: false })]
#[case::order(Ghost { kind: Kind::Order, verdict: Verdict::NotRun(String::new()), unknowns: 0, told: "router-1.5.a", found: true })]
#[case::order_answered_later(Ghost { kind: Kind::Order, verdict: Verdict::Right, unknowns: 0, told: "router-1.5.a", found: true })]
#[case::order_in_doubt(Ghost { kind: Kind::Order, verdict: Verdict::NotRun(String::new()), unknowns: 1, told: "router-1.5.a", found: true })]
#[case::another_sending_ran(Ghost { kind: Kind::Order, verdict: Verdict::Right, unknowns: 0, told: "router-2.5.b", found: false })]
fn work_that_was_told_not_run_is_found(#[case] case: Ghost) {
    let mut out = outcome(case.kind, "x", case.verdict);
    out.unknowns = case.unknowns;
    out.not_run = vec![case.told.to_string()];
    let engines = vec![engine(vec![opened("gpu-1.7.x.1.0", &[(0, 3)])])];
    let requests = vec!["router-1.5.a".to_string()];
    let history = History { engines, runs: vec![("x".to_string(), 1)], requests };
    assert_eq!(!history::ran_despite_not_run(&[out], &history).is_empty(), case.found);
}

/// A session that was opened and ran nothing is no run.
#[test]
fn an_opened_session_without_a_step_is_no_ghost() {
    let mut out = outcome(Kind::Draft, "x", Verdict::NotRun(String::new()));
    out.not_run = vec!["x".to_string()];
    let history = History {
        engines: vec![engine(vec![opened("x.1.0", &[])])],
        runs: vec![],
        requests: vec![],
    };
    assert!(history::ran_despite_not_run(&[out], &history).is_empty());
}

/// An answer differs from the straight-through one, or breaks off. Users get half a label text.
#[test]
fn wrong_and_lost_answers_are_found() {
    let outcomes = [
        outcome(Kind::Draft, "a", Verdict::Wrong("token 3".to_string())),
        outcome(Kind::Draft, "b", Verdict::Lost("after 2 tokens".to_string())),
        outcome(Kind::Draft, "c", Verdict::Right),
        outcome(Kind::Draft, "d", Verdict::NotRun(String::new())),
    ];
    assert_eq!(history::bad_answers(&outcomes).len(), 2);
}

struct Layer {
    sessions: Vec<SessionRuns>,
    exact: bool,
}

/// A layer range runs again though nothing was lost. Users wait longer on slower engines.
#[rstest]
#[case::once(Layer { sessions: vec![opened("x.1.0", &[(0, 10)])], exact: true })]
#[case::again(Layer { sessions: vec![opened("x.1.0", &[(0, 10)]), opened("x.2.0", &[(0, 10)])], exact: false })]
#[case::too_few(Layer { sessions: vec![opened("x.1.0", &[(0, 9)])], exact: false })]
fn repeated_and_missing_layer_runs_are_found(#[case] case: Layer) {
    let outcomes = [outcome(Kind::Draft, "x", Verdict::Right)];
    let history = History { engines: vec![engine(case.sessions)], runs: vec![], requests: vec![] };
    let facts = Facts { outcomes: &outcomes, history: &history, layers: 4, crashes: 0 };
    let what = Expect::LayerRuns { value: Some(1.0), max: None };
    assert_eq!(expect::judge(&what, &facts).unwrap().is_ok(), case.exact);
}

/// A stage dies: the drafts under way wait for their next token, which is the figure.
#[test]
fn the_wait_after_a_fault_is_that_of_drafts_under_way() {
    let at = Instant::now() + Duration::from_secs(5);
    let ms = |n: u64| at + Duration::from_millis(n);
    let mut under_way = outcome(Kind::Draft, "a", Verdict::Right);
    under_way.token_times = vec![at - Duration::from_millis(10), ms(300)];
    let mut later = outcome(Kind::Draft, "b", Verdict::Right);
    later.token_times = vec![ms(900)];
    let fault = recovery::Fault { name: "kill gpu-1-1".to_string(), at };
    let line = recovery::line(&fault, &[under_way, later]).unwrap();
    assert!(line.contains("max 300 ms over 1 drafts"), "{line}");
}

/// A daemon that went back to older settings would let callers in that were shut out; the
/// others run on, and nothing but its own log shows it.
#[test]
fn a_version_that_falls_is_told() {
    let log = "settings: version 0 is in force at the start, 5 ms\n\
               settings: version 4 is in force after 0, 9 ms\n\
               settings: version 3 is in force after 4, 12 ms\n\
               settings: version 0 is in force at the start, 20 ms\n";
    let applied = scenario::trace::read("gpu-1", log);
    assert_eq!(applied.len(), 4);
    assert_eq!(scenario::trace::version_decreases(&applied).len(), 1);
}
