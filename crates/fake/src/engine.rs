//! A model engine that holds a range of layers and runs the steps of its sessions in continuous batches.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use engine::{Info, Kv, Load, Order, Session, Step, Text, Tokens};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use crate::model::{self, Range};
use crate::serve::{self, Call, Reply, Server};

pub mod history;
mod cache;
mod core;
mod load;

use core::{Answer, Core};

/// Longest time that the batch schedule may be behind the clock.
const MAX_SCHEDULE_LAG: Duration = Duration::from_millis(5);

/// Command-line options of an engine.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Model loaded at start; empty for none.
    #[arg(long, default_value = "")]
    pub model: String,
    /// Version of the weights.
    #[arg(long, default_value_t = 1)]
    pub version: u32,
    /// Number of layers of the whole model.
    #[arg(long, default_value_t = 12)]
    pub layers: u32,
    /// First layer to hold.
    #[arg(long, default_value_t = 0)]
    pub first: u32,
    /// Last layer to hold, inclusive.
    #[arg(long, default_value_t = 11)]
    pub last: u32,
    /// Maximum number of concurrent sessions.
    #[arg(long, default_value_t = 64)]
    pub slots: u32,
    /// Maximum number of steps in a batch.
    #[arg(long, default_value_t = 16)]
    pub batch: usize,
    /// Microseconds per batch.
    #[arg(long, default_value_t = 2000)]
    pub step_us: u64,
    /// Microseconds that each position adds to its batch, unless it is in the prefix cache.
    #[arg(long, default_value_t = 50)]
    pub token_us: u64,
    /// Refuse orders with an old fencing number.
    #[arg(long, default_value_t = true, action = clap::ArgAction::Set)]
    pub checks_fence: bool,
    /// Delay of load reports and cache events, in milliseconds.
    #[arg(long, default_value_t = 500)]
    pub load_lag_ms: u64,
    /// Capacity of the prefix cache, in prefixes.
    #[arg(long, default_value_t = 64)]
    pub prefix_cache: usize,
    /// Weight store (`http://IP:PORT`) from which an order's layers are fetched.
    #[arg(long)]
    pub weights: Option<String>,
    /// Number of layers of another model that may be ordered, as `MODEL=LAYERS`; may be given several times.
    #[arg(long = "knows")]
    pub knows: Vec<String>,
}

/// Faults of an engine; an omitted field keeps its value.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// The process exits with code 137 when it runs a step of a session whose tag contains
    /// this text. Empty for none. A tag that contains [`CRASH_TAG`] always has this effect.
    pub crash_tag: Option<String>,
    /// Microseconds per batch.
    pub step_us: Option<u64>,
    /// Microseconds that each position adds to its batch.
    pub token_us: Option<u64>,
    /// Answers no step, including those of the running batch, until this is set to false;
    /// all steps then continue.
    pub hang: Option<bool>,
    /// Number of next steps that fail with 500 without running.
    pub fail_next: Option<u32>,
}

/// A session whose tag contains this text crashes every engine that runs a step of it.
pub const CRASH_TAG: &str = "[crash]";

/// Exit code of a crash: that of a process killed by SIGKILL.
pub const CRASH_EXIT_CODE: i32 = 137;

struct Shared {
    core: Arc<Mutex<Core>>,
    /// Wakes the batch loop when a step is pending or a fault changed.
    wake: Notify,
    weights: Option<cloud::weight::Client>,
}

/// Serves an engine on `listener`.
pub fn start(listener: TcpListener, options: Options) -> std::io::Result<Server> {
    let timeout = Duration::from_secs(2);
    let shared = Arc::new(Shared {
        weights: options.weights.as_deref().map(|u| cloud::weight::Client::new(u, timeout)),
        core: Arc::new(Mutex::new(Core::new(options, Instant::now()))),
        wake: Notify::new(),
    });
    let batches = tokio::spawn(run_batches(shared.clone()));
    let samples = tokio::spawn(load::sample(shared.core.clone()));
    let server = serve::start(listener, move |call| {
        let shared = shared.clone();
        async move { route(&shared, &call).await.unwrap_or_else(|refusal| refusal) }
    })?;
    Ok(server.with_task(batches).with_task(samples))
}

async fn route(shared: &Arc<Shared>, call: &Call) -> Result<Reply, Reply> {
    let core = || serve::lock(&shared.core);
    match (call.method.as_str(), call.segments().as_slice()) {
        ("POST", ["v1", "sessions", id, "steps"]) => run_step(shared, id, call.json()?).await,
        ("POST", ["v1", "sessions"]) => reply(core().open(call.json::<Session>()?)),
        ("DELETE", ["v1", "sessions"]) => {
            core().cancel_all();
            Ok(Reply::ok())
        }
        ("DELETE", ["v1", "sessions", id]) => reply(core().cancel(id)),
        ("GET", ["v1", "sessions", id, "kv"]) => {
            Ok(Reply::json(200, &core().export(id).map_err(error_reply)?))
        }
        ("PUT", ["v1", "sessions", id, "kv"]) => reply(core().import(id, call.json::<Kv>()?)),
        ("GET", ["v1", "info"]) => Ok(Reply::json::<Info>(200, &core().info())),
        ("GET", ["v1", "load"]) => Ok(Reply::json::<Load>(200, &core().load(Instant::now()))),
        ("GET", ["v1", "events"]) => {
            Ok(Reply::json(200, &core().events(call.query_number("from"), Instant::now())))
        }
        ("POST", ["v1", "tokenize"]) => {
            let tokens = model::tokenize(&call.json::<Text>()?.text);
            Ok(Reply::json(200, &Tokens { tokens }))
        }
        ("POST", ["v1", "orders"]) => accept_order(shared, call.json()?),
        ("POST", ["~fake", "control"]) => {
            core().set_fault(call.json()?);
            shared.wake.notify_one();
            Ok(Reply::ok())
        }
        ("GET", ["~fake", "books"]) => {
            let history = history(&core(), call);
            Ok(Reply::json(200, &history))
        }
        _ => Err(Reply::error(404, "no such path")),
    }
}

async fn run_step(shared: &Shared, id: &str, step: Step) -> Result<Reply, Reply> {
    let (reply, answer) = oneshot::channel();
    serve::lock(&shared.core).enqueue_step(id, step, reply).map_err(error_reply)?;
    shared.wake.notify_one();
    let ended = Answer::Err((410, "the session ended"));
    let output = answer.await.unwrap_or(ended).map_err(error_reply)?;
    Ok(Reply::json(200, &output))
}

fn accept_order(shared: &Arc<Shared>, order: Order) -> Result<Reply, Reply> {
    let loading = serve::lock(&shared.core).accept_order(&order).map_err(error_reply)?;
    match &shared.weights {
        Some(weights) => {
            // The task ends with the last layer, or when a newer order arrives.
            tokio::spawn(load::fetch(shared.core.clone(), weights.clone(), loading));
        }
        None => {
            let load::Loading { order, layers, number } = loading;
            let range = Range::new(&order.model, order.version, layers, order.first, order.last);
            serve::lock(&shared.core).finish_loading(number, range);
        }
    }
    Ok(Reply::ok())
}

/// Runs batches one after the other while steps are pending.
async fn run_batches(shared: Arc<Shared>) {
    let mut due = Instant::now();
    loop {
        let Some((batch, time)) = serve::lock(&shared.core).next_batch() else {
            shared.wake.notified().await;
            due = due.max(Instant::now());
            continue;
        };
        // The timer rounds up to a millisecond. Consecutive batches are timed from the end
        // of the previous one, so that the rounding doesn't lower the engine's rate.
        let now = Instant::now();
        due = due.max(now.checked_sub(MAX_SCHEDULE_LAG).unwrap_or(now)) + time;
        tokio::time::sleep_until(due).await;
        while serve::lock(&shared.core).is_hung() {
            shared.wake.notified().await;
        }
        serve::lock(&shared.core).finish_batch(&batch, time);
    }
}

/// Returns the history with the sessions that `find`, `from` and `limit` in the query select.
fn history(core: &Core, call: &Call) -> history::History {
    let sessions = call.page(core.history.find(call.query_text("find")));
    core.history.with_sessions(sessions)
}

fn reply(outcome: Result<(), core::Refusal>) -> Result<Reply, Reply> {
    outcome.map(|()| Reply::ok()).map_err(error_reply)
}

fn error_reply((status, reason): core::Refusal) -> Reply {
    Reply::error(status, reason)
}
