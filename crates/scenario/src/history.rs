//! The history that the stand-ins recorded, and the invariants that it must satisfy.
//!
//! The checks are pure functions of the history and the outcomes of requests, so that tests can
//! construct violations.

use std::time::Duration;

use derive_more::Display;
use fake::engine::history::{self, SessionRuns};

use crate::outcome::{Kind, Outcome, Verdict};

/// Time-out of reading the history of one stand-in.
pub const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the request id of an engine session. The agent names a session
/// `request.attempt.first`; the request id itself contains dots.
///
/// ```
/// assert_eq!(scenario::history::request("gpu-0-1.7.x.2.4"), "gpu-0-1.7.x");
/// ```
pub fn request(session: &str) -> &str {
    session.rsplitn(3, '.').nth(2).unwrap_or(session)
}

/// History of an engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Engine {
    /// VM of the engine.
    pub vm: String,
    /// All sessions since its start.
    pub sessions: Vec<SessionRuns>,
    /// Accepted orders.
    pub orders: Vec<engine::Order>,
    /// Number of batches run.
    pub batches: u64,
    /// Total duration of the batches, in microseconds.
    pub busy_us: u64,
}

/// Number of runs of each key at the plain services, sorted by key.
pub type Runs = Vec<(String, u32)>;

/// History of all stand-ins at one time.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Engines, including killed ones, whose history was read just before.
    pub engines: Vec<Engine>,
    /// Runs at the plain services.
    pub runs: Runs,
    /// Ids of the requests whose writes the services recorded, sorted.
    pub requests: Vec<String>,
}

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{invariant}: {what}")]
pub struct Violation {
    /// Name of the invariant.
    pub invariant: &'static str,
    /// What violates it, with the request id or key.
    pub what: String,
}

fn violation(invariant: &'static str, what: String) -> Violation {
    Violation { invariant, what }
}

/// Checks that no key ran more than once.
pub fn duplicate_runs(runs: &Runs) -> Vec<Violation> {
    let repeated = runs.iter().filter(|(_, n)| *n > 1);
    repeated.map(|(key, n)| violation("none-doubled", format!("{key} ran {n} times"))).collect()
}

/// Checks that each session ran each position once and in order. Its first position is 0 unless
/// its state was imported; an engine refuses a first step at any other position.
pub fn position_order(engines: &[Engine]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for engine in engines {
        for session in &engine.sessions {
            for pair in session.runs.windows(2) {
                let due = pair[0].start + pair[0].count;
                if pair[1].start != due {
                    let what = format!(
                        "{} on {}: position {} where {due} was due",
                        session.session, engine.vm, pair[1].start
                    );
                    violations.push(violation("positions-in-order", what));
                }
            }
        }
    }
    violations
}

/// Returns the part of a request id that stays the same when a draft is offered to another head.
///
/// ```
/// assert_eq!(scenario::history::stable_part("gpu-0-1.7.x"), "x");
/// ```
pub fn stable_part(request: &str) -> &str {
    request.rsplit('.').next().unwrap_or(request)
}

/// Checks that no request refused as "not run" is in the history.
///
/// The id of a refused draft names its last head, but the draft may have run under another, so
/// it is searched by the part of the id that stays the same. Each attempt of an order has its
/// own id, which the service records, so that the run of one attempt is not attributed to
/// another attempt with the same key.
pub fn ran_despite_not_run(outcomes: &[Outcome], history: &History) -> Vec<Violation> {
    let sessions = history.engines.iter().flat_map(|e| &e.sessions);
    let ran_steps = sessions.filter(|s| !s.runs.is_empty());
    let mut ran: Vec<&str> = ran_steps.map(|s| stable_part(request(&s.session))).collect();
    ran.sort_unstable();
    let is_recorded = |kind: Kind, id: &str| match kind {
        Kind::Draft => ran.binary_search(&stable_part(id)).is_ok(),
        Kind::Order => history.requests.binary_search_by(|r| r.as_str().cmp(id)).is_ok(),
        Kind::Lookup => false,
    };
    let reported = outcomes.iter().flat_map(|o| o.not_run.iter().map(|id| (o.kind, id)));
    reported
        .filter(|(kind, id)| !id.is_empty() && is_recorded(*kind, id))
        .map(|(_, id)| violation("not-run-true", format!("{id} was refused as not run and ran")))
        .collect()
}

fn ran_once(runs: &Runs, key: &str) -> bool {
    runs.binary_search_by(|(k, _)| k.as_str().cmp(key)).is_ok_and(|i| runs[i].1 > 0)
}

/// Checks that the services recorded all orders that were answered.
pub fn lost_orders(outcomes: &[Outcome], runs: &Runs) -> Vec<Violation> {
    let orders = outcomes.iter().filter(|o| o.kind == Kind::Order && o.is_right());
    let lost = orders.filter(|o| !ran_once(runs, &o.id));
    lost.map(|o| violation("no-order-lost", format!("{} was answered and never ran", o.id)))
        .collect()
}

/// Checks that answers are right and that accepted requests were answered.
pub fn bad_answers(outcomes: &[Outcome]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for out in outcomes.iter().filter(|o| !o.judged_by_script) {
        match &out.verdict {
            Verdict::Wrong(why) => {
                violations.push(violation("right", format!("{}: {why}", out.id)))
            }
            Verdict::Lost(why) => {
                violations.push(violation("none-lost", format!("{}: {why}", out.id)))
            }
            _ => {}
        }
    }
    violations
}

/// Returns the number of runs per layer and token: 1 if nothing ran twice.
///
/// `layers` is the number of layers of the model. Drafts that were not answered right count
/// in the runs but not in the tokens.
pub fn layer_runs(outcomes: &[Outcome], engines: &[Engine], layers: u32) -> f64 {
    let ran: u64 = engines
        .iter()
        .flat_map(|e| &e.sessions)
        .map(|s| s.positions() * u64::from(s.last + 1 - s.first))
        .sum();
    let drafts = outcomes.iter().filter(|o| o.kind == Kind::Draft && o.is_right());
    let due: u64 = drafts.map(|o| u64::from(o.positions) * u64::from(layers)).sum();
    match due {
        0 => 0.0,
        _ => ran as f64 / due as f64,
    }
}

/// Reads the history of an engine.
pub async fn engine(base: &str, vm: &str) -> Result<Engine, rest::Error> {
    let read: history::History = rest::Client::new(base, READ_TIMEOUT).get("/~fake/books").await?;
    let history::History { sessions, orders, batches, busy_us, .. } = read;
    Ok(Engine { vm: vm.to_string(), sessions, orders, batches, busy_us })
}

/// Reads how often each key ran at the services that share the ledger at `base`.
pub async fn runs(base: &str) -> Result<Runs, rest::Error> {
    let map: std::collections::BTreeMap<String, u32> =
        rest::Client::new(base, READ_TIMEOUT).get("/~fake/runs").await?;
    Ok(map.into_iter().collect())
}

/// Reads the ids of the requests whose writes are in the ledger at `base`, sorted.
pub async fn requests(base: &str) -> Result<Vec<String>, rest::Error> {
    let mut ids: Vec<String> = rest::Client::new(base, READ_TIMEOUT).get("/~fake/requests").await?;
    ids.sort_unstable();
    Ok(ids)
}

/// Reads the number of calls to the service at `base`.
pub async fn calls_taken(base: &str) -> Result<u64, rest::Error> {
    let taken: fake::service::CallCount =
        rest::Client::new(base, READ_TIMEOUT).get("/~fake/taken").await?;
    Ok(taken.calls)
}
