//! Client and messages of the protocol of model engines.
//!
//! An engine holds a range of layers of one model. A session is the state of one request in that
//! range. The steps of a session come in order of position; the engine batches the steps of all
//! sessions continuously. Only this crate knows the engine's paths and JSON formats.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What an engine holds and whether it checks fencing numbers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Info {
    /// Name of the model; empty when nothing is loaded.
    pub model: String,
    /// Version of the model's weights.
    pub version: u32,
    /// First layer held.
    pub first: u32,
    /// Last layer held, inclusive.
    pub last: u32,
    /// Layers of the whole model.
    pub layers: u32,
    /// Sessions the engine can hold at once.
    pub slots: u32,
    /// True when an order with an old fencing number is refused by the engine.
    pub checks_fence: bool,
    /// Changes with each start of the engine process.
    pub incarnation: String,
}

/// Load as reported by the engine, with a delay.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Sessions held.
    pub sessions: u32,
    /// Steps waiting for a batch.
    pub waiting: u32,
    /// Mean time of a batch step in microseconds.
    pub step_us: u64,
    /// Age of this measurement in milliseconds.
    pub age_ms: u64,
}

/// Opens a session.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Session {
    /// Id chosen by the agent; unique for each request, attempt and range.
    pub session: String,
    /// Higher is served first.
    pub priority: u8,
    /// Text that identifies the request's content in the engine's own errors and traces.
    #[serde(default)]
    pub tag: String,
}

/// Runs the range on consecutive positions of a session.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Position of the first input.
    pub position: u32,
    /// One hidden state for each position; for the first range, token ids. Opaque to the router.
    pub inputs: Vec<u64>,
}

/// One generated token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// Id, fed to the first range as the next position's input.
    pub id: u64,
    /// Text of the token, with its leading space.
    pub text: String,
    /// True when the model ends the answer here.
    pub end: bool,
}

/// Outcome of a [`Step`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Output {
    /// One hidden state for each position run.
    pub outputs: Vec<u64>,
    /// Token sampled after the last position; only from the last range.
    pub token: Option<Token>,
    /// Number of positions served from the prefix cache.
    #[serde(default)]
    pub cached: u32,
}

/// Exported state of a session.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Kv {
    /// Next position the session will take.
    pub position: u32,
    /// Opaque state.
    pub state: Vec<u64>,
}

/// Orders the engine to hold another model, version or range of layers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number: an offset of the platform's log.
    pub fence: u64,
    /// Model to load.
    pub model: String,
    /// Version of its weights.
    pub version: u32,
    /// First layer to hold.
    pub first: u32,
    /// Last layer to hold, inclusive.
    pub last: u32,
}

/// Text to tokenize.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Text {
    /// The text.
    pub text: String,
}

/// Token ids of a text.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tokens {
    /// The ids, one for each position.
    pub tokens: Vec<u64>,
}

/// A prefix that was added to the engine's cache or evicted from it. Events come late and with
/// gaps.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Number of the event; a missing number is a gap.
    pub number: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// True when the prefix was added, false when it was evicted.
    pub cached: bool,
}

/// Client of an engine.
#[derive(Debug, Clone)]
pub struct Client {
    http: rest::Client,
}

impl Client {
    /// Returns a client for the engine at `base`, with a time-out for each call.
    ///
    /// ```
    /// engine::Client::new("http://127.0.0.1:9100", std::time::Duration::from_secs(5));
    /// ```
    pub fn new(base: &str, timeout: Duration) -> Client {
        Client { http: rest::Client::new(base, timeout) }
    }

    /// Returns what the engine holds.
    pub async fn info(&self) -> Result<Info, rest::Error> {
        self.http.get("/v1/info").await
    }

    /// Returns the engine's own measurement of its load, which lags.
    pub async fn load(&self) -> Result<Load, rest::Error> {
        self.http.get("/v1/load").await
    }

    /// Returns the token ids of `text`.
    pub async fn tokenize(&self, text: &str) -> Result<Tokens, rest::Error> {
        self.http.post("/v1/tokenize", &Text { text: text.to_string() }).await
    }

    /// Opens a session. Fails with 429 when the engine is full and 409 when the session exists.
    pub async fn open(&self, session: &Session) -> Result<(), rest::Error> {
        self.http.post("/v1/sessions", session).await
    }

    /// Runs a step. Fails with 409 when the position is not the session's next, and with 404 when
    /// there is no such session.
    pub async fn step(&self, session: &str, step: &Step) -> Result<Output, rest::Error> {
        self.http.post(&format!("/v1/sessions/{session}/steps"), step).await
    }

    /// Cancels a session and frees its state. Fails with 404 when there is none.
    pub async fn cancel(&self, session: &str) -> Result<(), rest::Error> {
        self.http.json("DELETE", &format!("/v1/sessions/{session}"), &()).await
    }

    /// Cancels all sessions, as an agent does when it starts.
    pub async fn cancel_all(&self) -> Result<(), rest::Error> {
        self.http.json("DELETE", "/v1/sessions", &()).await
    }

    /// Exports the state of a session.
    pub async fn export(&self, session: &str) -> Result<Kv, rest::Error> {
        self.http.get(&format!("/v1/sessions/{session}/kv")).await
    }

    /// Imports a state into an open session that has not run a step.
    pub async fn import(&self, session: &str, kv: &Kv) -> Result<(), rest::Error> {
        self.http.json("PUT", &format!("/v1/sessions/{session}/kv"), kv).await
    }

    /// Orders the engine to load a range. Fails with 409 when the engine checks fencing numbers
    /// and this one is old.
    pub async fn order(&self, order: &Order) -> Result<(), rest::Error> {
        self.http.post("/v1/orders", order).await
    }

    /// Returns the cache events with a number of at least `from`.
    pub async fn events(&self, from: u64) -> Result<Vec<Event>, rest::Error> {
        self.http.get(&format!("/v1/events?from={from}")).await
    }
}
