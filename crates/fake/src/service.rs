//! A plain service that records every write that it accepts.
//!
//! Callers may use any path except those under `/~fake/`.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use xxhash_rust::xxh3::xxh3_64;

use crate::serve::{self, Call, Reply, Server};

/// Maximum number of writes in the ledger; later ones are answered with 507 and not recorded.
pub const MAX_WRITES: usize = 200_000;

/// Maximum number of bytes of a body that the ledger stores.
pub const MAX_BODY_BYTES: usize = 1024;

/// Time-out of a call to the service that holds the ledger.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(5);

/// Command-line options of a plain service.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Delay of every answer, in milliseconds.
    #[arg(long, default_value_t = 2)]
    pub delay_ms: u64,
    /// Service that holds the ledger (`http://IP:PORT`), for services that share a database.
    #[arg(long)]
    pub ledger: Option<String>,
}

/// Faults of a plain service; an omitted field keeps its value.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Number of next writes that are recorded but whose connection is closed without an answer.
    pub lose_answers: Option<u32>,
    /// Number of next writes that fail with 500 and are not recorded.
    pub fail_next: Option<u32>,
    /// Delay of every answer, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Delay between the recording of a write and its answer, in milliseconds.
    pub stall_ms: Option<u64>,
    /// Closes the connection of every call without recording anything.
    pub down: Option<bool>,
}

/// A recorded write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Index in the ledger, from 0.
    pub number: u64,
    /// Header `Idempotency-Key`, or empty.
    pub key: String,
    /// Header `X-Request-Id`, or empty.
    #[serde(default)]
    pub request: String,
    /// Header `X-Workspace`, or empty.
    pub workspace: String,
    /// Method, in upper case.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// xxh3 hash of the body, in hexadecimal.
    pub hash: String,
    /// Start of the body as text, at most [`MAX_BODY_BYTES`] bytes.
    pub body: String,
}

/// Answer to a write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Receipt {
    /// Index in the ledger.
    pub number: u64,
    /// Idempotency key of the write.
    pub key: String,
}

/// Answer to a look-up.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Lookup {
    /// Requested path.
    pub path: String,
    /// Last segment of the path.
    pub key: String,
    /// True if the ledger has a write with that key.
    pub recorded: bool,
}

/// Number of recorded writes with one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Runs {
    /// Idempotency key.
    pub key: String,
    /// Number of writes.
    pub runs: u64,
}

/// Number of calls to this service itself, whichever service holds the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCount {
    /// Look-ups and writes, including failed ones.
    pub calls: u64,
}

#[derive(Default)]
struct State {
    calls: u64,
    writes: Vec<Write>,
    /// Sorted by key.
    runs: Vec<Runs>,
    lose_answers: u32,
    fail_next: u32,
    delay: Duration,
    stall: Duration,
    down: bool,
}

#[derive(Clone)]
struct Service {
    state: Arc<Mutex<State>>,
    ledger: Option<rest::Client>,
}

/// Serves a plain service on `listener`.
pub fn start(listener: TcpListener, options: Options) -> std::io::Result<Server> {
    let delay = Duration::from_millis(options.delay_ms);
    let service = Service {
        state: Arc::new(Mutex::new(State { delay, ..State::default() })),
        ledger: options.ledger.map(|url| rest::Client::new(&url, LEDGER_TIMEOUT)),
    };
    serve::start(listener, move |call| {
        let service = service.clone();
        async move { route(&service, &call).await.unwrap_or_else(|refusal| refusal) }
    })
}

async fn route(service: &Service, call: &Call) -> Result<Reply, Reply> {
    match (call.method.as_str(), call.segments().as_slice()) {
        ("GET", ["~fake", "books"]) => {
            let page = call.page(serve::lock(&service.state).writes.iter());
            Ok(Reply::json(200, &page))
        }
        ("GET", ["~fake", "runs"]) => Ok(runs(&serve::lock(&service.state))),
        ("GET", ["~fake", "taken"]) => {
            Ok(Reply::json(200, &CallCount { calls: serve::lock(&service.state).calls }))
        }
        ("GET", ["~fake", "requests"]) => Ok(requests(&serve::lock(&service.state))),
        ("POST", ["~fake", "control"]) => {
            set_fault(&mut serve::lock(&service.state), call.json()?);
            Ok(Reply::ok())
        }
        ("POST", ["~fake", "ledger"]) => record(&service.state, call.json()?),
        ("POST", ["~fake", "find"]) => Ok(Reply::json(200, &find(&service.state, call.json()?))),
        (_, ["~fake", ..]) => Err(Reply::error(404, "no such path")),
        ("GET" | "HEAD", path) => look_up(service, call, path.last().unwrap_or(&"")).await,
        ("POST" | "PUT" | "PATCH" | "DELETE", _) => write(service, call).await,
        _ => Err(Reply::error(405, "no such method")),
    }
}

async fn look_up(service: &Service, call: &Call, key: &str) -> Result<Reply, Reply> {
    delay_answer(service).await?;
    let query = Runs { key: key.to_string(), runs: 0 };
    let found: Runs = match &service.ledger {
        Some(ledger) => ledger.post("/~fake/find", &query).await.map_err(ledger_error)?,
        None => find(&service.state, query),
    };
    let found = Lookup { path: call.path.clone(), key: found.key, recorded: found.runs > 0 };
    Ok(Reply::json(200, &found))
}

async fn write(service: &Service, call: &Call) -> Result<Reply, Reply> {
    delay_answer(service).await?;
    if serve::take_one(&mut serve::lock(&service.state).fail_next) {
        return Err(Reply::error(500, "failed before the write"));
    }
    let write = Write {
        number: 0,
        key: call.header("idempotency-key"),
        request: call.header("x-request-id"),
        workspace: call.header("x-workspace"),
        method: call.method.clone(),
        path: call.path.clone(),
        hash: format!("{:016x}", xxh3_64(&call.body)),
        body: String::from_utf8_lossy(&call.body[..call.body.len().min(MAX_BODY_BYTES)])
            .into_owned(),
    };
    let reply = match &service.ledger {
        Some(ledger) => {
            let written: Receipt =
                ledger.post("/~fake/ledger", &write).await.map_err(ledger_error)?;
            Reply::json(201, &written)
        }
        None => record(&service.state, write)?,
    };
    let stall = serve::lock(&service.state).stall;
    tokio::time::sleep(stall).await;
    match serve::take_one(&mut serve::lock(&service.state).lose_answers) {
        true => Err(Reply::CloseConnection),
        false => Ok(reply),
    }
}

async fn delay_answer(service: &Service) -> Result<(), Reply> {
    let (down, delay) = {
        let mut state = serve::lock(&service.state);
        state.calls += 1;
        (state.down, state.delay)
    };
    match down {
        true => Err(Reply::CloseConnection),
        false => {
            tokio::time::sleep(delay).await;
            Ok(())
        }
    }
}

fn record(state: &Arc<Mutex<State>>, write: Write) -> Result<Reply, Reply> {
    let mut state = serve::lock(state);
    if state.writes.len() >= MAX_WRITES {
        return Err(Reply::error(507, "the book is full"));
    }
    let number = state.writes.len() as u64;
    let key = write.key.clone();
    match state.runs.binary_search_by(|r| r.key.cmp(&key)) {
        Ok(i) => state.runs[i].runs += 1,
        Err(i) => state.runs.insert(i, Runs { key: key.clone(), runs: 1 }),
    }
    state.writes.push(Write { number, ..write });
    Ok(Reply::json(201, &Receipt { number, key }))
}

fn find(state: &Arc<Mutex<State>>, query: Runs) -> Runs {
    let state = serve::lock(state);
    let at = state.runs.binary_search_by(|r| r.key.cmp(&query.key));
    Runs { runs: at.map_or(0, |i| state.runs[i].runs), ..query }
}

fn runs(state: &State) -> Reply {
    let pair = |r: &Runs| (r.key.clone(), serde_json::Value::from(r.runs));
    Reply::json(200, &state.runs.iter().map(pair).collect::<serde_json::Map<_, _>>())
}

/// Returns the ids of the requests whose writes were recorded, in the order of the ledger.
fn requests(state: &State) -> Reply {
    Reply::json(200, &state.writes.iter().map(|w| w.request.as_str()).collect::<Vec<_>>())
}

fn set_fault(state: &mut State, fault: Fault) {
    state.lose_answers = fault.lose_answers.unwrap_or(state.lose_answers);
    state.fail_next = fault.fail_next.unwrap_or(state.fail_next);
    state.delay = fault.delay_ms.map_or(state.delay, Duration::from_millis);
    state.stall = fault.stall_ms.map_or(state.stall, Duration::from_millis);
    state.down = fault.down.unwrap_or(state.down);
}

/// Maps a failed call to the ledger to a reply. Without an answer the ledger may have recorded
/// the write, so the caller gets no answer either.
fn ledger_error(e: rest::Error) -> Reply {
    match e.status() {
        Some(status) => Reply::error(status, &e.to_string()),
        None if e.unsent() => Reply::error(503, &e.to_string()),
        None => Reply::CloseConnection,
    }
}
