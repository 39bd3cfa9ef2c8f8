//! The stand-ins' own books, and the invariants they must show.
//!
//! The checks are plain functions of books and outcomes, so tests can plant violations.

use std::time::Duration;

use derive_more::Display;
use fake::engine::book::{self, Opened};

use crate::outcome::{Kind, Outcome, Verdict};

/// Time to read one book.
pub const READ: Duration = Duration::from_secs(5);

/// The request that an engine's session belongs to. The agent names a session
/// `request.attempt.first`; the request id holds dots itself.
///
/// ```
/// assert_eq!(scenario::books::request("gpu-0-1.7.x.2.4"), "gpu-0-1.7.x");
/// ```
pub fn request(session: &str) -> &str {
    session.rsplitn(3, '.').nth(2).unwrap_or(session)
}

/// Book of one engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Engine {
    /// Its VM.
    pub vm: String,
    /// All sessions since it started.
    pub sessions: Vec<Opened>,
    /// Orders it took.
    pub orders: Vec<engine::Order>,
    /// Batches run.
    pub batches: u64,
    /// Microseconds that they took.
    pub busy_us: u64,
}

/// Runs of each key at the plain services, sorted by key.
pub type Runs = Vec<(String, u32)>;

/// All books at one moment.
#[derive(Debug, Clone, Default)]
pub struct Books {
    /// Engines, also those that were killed, as read just before.
    pub engines: Vec<Engine>,
    /// Plain services.
    pub runs: Runs,
}

/// A broken invariant.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{invariant}: {what}")]
pub struct Breach {
    /// Which.
    pub invariant: &'static str,
    /// Where, with the request id or key.
    pub what: String,
}

fn breach(invariant: &'static str, what: String) -> Breach {
    Breach { invariant, what }
}

/// No key ran more than once.
pub fn doubled(runs: &Runs) -> Vec<Breach> {
    let twice = runs.iter().filter(|(_, n)| *n > 1);
    twice.map(|(key, n)| breach("none-doubled", format!("{key} ran {n} times"))).collect()
}

/// Each session ran each position once and in order. Its first one is 0 unless its
/// state was imported; an engine refuses a first step at any other position.
pub fn order(engines: &[Engine]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for engine in engines {
        for session in &engine.sessions {
            for pair in session.runs.windows(2) {
                let due = pair[0].start + pair[0].count;
                if pair[1].start != due {
                    let what = format!(
                        "{} on {}: position {} where {due} was due",
                        session.session, engine.vm, pair[1].start
                    );
                    breaches.push(breach("positions-in-order", what));
                }
            }
        }
    }
    breaches
}

/// Nothing told "not run" stands in a book.
///
/// An order's key is exempt when another sending of it was answered or may have
/// run: the one run in the book is then that sending's.
pub fn ghosts(outcomes: &[Outcome], books: &Books) -> Vec<Breach> {
    let mut ran: Vec<&str> = Vec::new();
    for engine in &books.engines {
        let worked = engine.sessions.iter().filter(|s| !s.runs.is_empty());
        ran.extend(worked.map(|s| request(&s.session)));
    }
    ran.sort_unstable();
    let mut breaches = Vec::new();
    for out in outcomes {
        let told = out.not_run.iter().filter(|id| !id.is_empty());
        let found: Vec<&String> = match out.kind {
            Kind::Draft => told.filter(|id| ran.binary_search(&id.as_str()).is_ok()).collect(),
            Kind::Order if settled(out) => Vec::new(),
            Kind::Order => told.filter(|key| ran_once(&books.runs, key)).take(1).collect(),
            Kind::Lookup => Vec::new(),
        };
        let told = |id: &String| breach("no-ghosts", format!("{id} was told not run and ran"));
        breaches.extend(found.into_iter().map(told));
    }
    breaches
}

fn settled(out: &Outcome) -> bool {
    out.doubts > 0
        || matches!(out.verdict, Verdict::Right | Verdict::Unknown(_) | Verdict::Refused(_))
}

fn ran_once(runs: &Runs, key: &str) -> bool {
    runs.binary_search_by(|(k, _)| k.as_str().cmp(key)).is_ok_and(|i| runs[i].1 > 0)
}

/// Orders that were answered stand in the services' book.
pub fn missing(outcomes: &[Outcome], runs: &Runs) -> Vec<Breach> {
    let orders = outcomes.iter().filter(|o| o.kind == Kind::Order && o.is_right());
    let lost = orders.filter(|o| !ran_once(runs, &o.id));
    lost.map(|o| breach("no-order-lost", format!("{} was answered and never ran", o.id))).collect()
}

/// Answers are right, and what was accepted was answered.
pub fn answers(outcomes: &[Outcome]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for out in outcomes.iter().filter(|o| !o.judged) {
        match &out.verdict {
            Verdict::Wrong(why) => breaches.push(breach("right", format!("{}: {why}", out.id))),
            Verdict::Lost(why) => breaches.push(breach("none-lost", format!("{}: {why}", out.id))),
            _ => {}
        }
    }
    breaches
}

/// Runs of a layer for each token: 1 when nothing ran twice.
///
/// `layers` is the number of layers of the model. Drafts that were not answered
/// right count in the runs and not in the tokens.
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

/// Reads an engine's book.
pub async fn engine(base: &str, vm: &str) -> Result<Engine, rest::Error> {
    let page: book::Books = rest::Client::new(base, READ).get("/~fake/books").await?;
    let book::Books { sessions, orders, batches, busy_us, .. } = page;
    Ok(Engine { vm: vm.to_string(), sessions, orders, batches, busy_us })
}

/// Reads how often each key ran at the services that share the book at `base`.
pub async fn runs(base: &str) -> Result<Runs, rest::Error> {
    let map: std::collections::BTreeMap<String, u32> =
        rest::Client::new(base, READ).get("/~fake/runs").await?;
    Ok(map.into_iter().collect())
}
