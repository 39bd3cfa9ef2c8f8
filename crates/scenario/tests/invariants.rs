//! The checks find violations: each test constructs one.

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

/// A stage that treats a repeated frame as a new one applies a position twice; a stage that
/// reorders frames skips one. Users get drafts with wrong text.
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

/// A write whose answer was lost runs again on its retry. Users get two print orders.
#[test]
fn a_write_that_ran_twice_is_found() {
    let runs = vec![("a".to_string(), 1), ("b".to_string(), 2)];
    let violations = history::duplicate_runs(&runs);
    assert_eq!(violations.len(), 1);
    assert!(violations[0].what.starts_with("b "));
}

/// An order is answered but no service recorded it. Users wait for bands that nobody prints.
#[test]
fn an_order_that_was_answered_and_never_ran_is_found() {
    let outcomes = [outcome(Kind::Order, "a", Verdict::Right)];
    assert_eq!(history::lost_orders(&outcomes, &vec![]).len(), 1);
    assert!(history::lost_orders(&outcomes, &vec![("a".to_string(), 1)]).is_empty());
}

struct NotRun {
    kind: Kind,
    verdict: Verdict,
    unknowns: u32,
    refused: &'static str,
    found: bool,
}

/// A request that ran is refused as "not run". Users send it again and it runs twice. Whether
/// another attempt was answered does not matter: each attempt has its own id.
#[rstest]
#[case::draft(NotRun { kind: Kind::Draft, verdict: Verdict::NotRun(String::new()), unknowns: 0, refused: "gpu-1.7.x", found: true })]
#[case::draft_then_answered(NotRun { kind: Kind::Draft, verdict: Verdict::Right, unknowns: 0, refused: "gpu-1.7.x", found: true })]
#[case::draft_ran_under_another_head(NotRun { kind: Kind::Draft, verdict: Verdict::NotRun(String::new()), unknowns: 0, refused: "gpu-2.9.x", found: true })]
#[case::another_draft_ran(NotRun { kind: Kind::Draft, verdict: Verdict::Right, unknowns: 0, refused: "gpu-1.7.y", found: false })]
#[case::order(NotRun { kind: Kind::Order, verdict: Verdict::NotRun(String::new()), unknowns: 0, refused: "router-1.5.a", found: true })]
#[case::order_answered_later(NotRun { kind: Kind::Order, verdict: Verdict::Right, unknowns: 0, refused: "router-1.5.a", found: true })]
#[case::order_with_unknown_outcome(NotRun { kind: Kind::Order, verdict: Verdict::NotRun(String::new()), unknowns: 1, refused: "router-1.5.a", found: true })]
#[case::another_attempt_ran(NotRun { kind: Kind::Order, verdict: Verdict::Right, unknowns: 0, refused: "router-2.5.b", found: false })]
fn work_that_ran_despite_not_run_is_found(#[case] case: NotRun) {
    let mut out = outcome(case.kind, "x", case.verdict);
    out.unknowns = case.unknowns;
    out.not_run = vec![case.refused.to_string()];
    let engines = vec![engine(vec![opened("gpu-1.7.x.1.0", &[(0, 3)])])];
    let requests = vec!["router-1.5.a".to_string()];
    let history = History { engines, runs: vec![("x".to_string(), 1)], requests };
    assert_eq!(!history::ran_despite_not_run(&[out], &history).is_empty(), case.found);
}

/// A session that was opened but ran no step does not count as a run.
#[test]
fn an_opened_session_without_a_step_is_no_violation() {
    let mut out = outcome(Kind::Draft, "x", Verdict::NotRun(String::new()));
    out.not_run = vec!["x".to_string()];
    let history = History {
        engines: vec![engine(vec![opened("x.1.0", &[])])],
        runs: vec![],
        requests: vec![],
    };
    assert!(history::ran_despite_not_run(&[out], &history).is_empty());
}

/// An answer differs from the expected one or is incomplete. Users get a wrong or partial label text.
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

/// A layer range runs again although nothing was lost. Engines are slower and users wait longer.
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

/// A stage ends: the figure is the time that drafts in progress wait for their next token.
#[test]
fn the_wait_after_a_fault_is_that_of_drafts_in_progress() {
    let at = Instant::now() + Duration::from_secs(5);
    let ms = |n: u64| at + Duration::from_millis(n);
    let mut in_progress = outcome(Kind::Draft, "a", Verdict::Right);
    in_progress.token_times = vec![at - Duration::from_millis(10), ms(300)];
    let mut later = outcome(Kind::Draft, "b", Verdict::Right);
    later.token_times = vec![ms(900)];
    let fault = recovery::Fault { name: "kill gpu-1-1".to_string(), at };
    let line = recovery::line(&fault, &[in_progress, later]).unwrap();
    assert!(line.contains("max 300 ms over 1 drafts"), "{line}");
}

/// A daemon that returns to older settings would admit callers whose access was revoked. The other
/// daemons are not affected, and only its own log shows the change.
#[test]
fn a_version_decrease_is_found() {
    let log = "settings: version 0 is in force at the start, 5 ms\n\
               settings: version 4 is in force after 0, 9 ms\n\
               settings: version 3 is in force after 4, 12 ms\n\
               settings: version 0 is in force at the start, 20 ms\n";
    let applied = scenario::trace::read("gpu-1", log);
    assert_eq!(applied.len(), 4);
    assert_eq!(scenario::trace::version_decreases(&applied).len(), 1);
}
