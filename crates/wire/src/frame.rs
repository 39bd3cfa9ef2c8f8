//! The typed messages between the system's own processes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::refusal::Refusal;

/// Distance between the first attempt numbers of two heads of a request.
pub const HEAD_STRIDE: id::Attempt = 1 << 16;

/// First frame of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Router to agent: the agent answers with a [`Frame::Report`] at once and then
    /// at each change, at least once each report interval.
    Watch(Watch),
    /// Router to agent: run a draft as its head. Answers: [`Frame::Accepted`] or
    /// [`Frame::Refused`]; then [`Frame::Token`]s; then [`Frame::Done`] or [`Frame::Refused`].
    Draft(Draft),
    /// Router to agent: go on with a draft that the agent drives. Answers as for a draft.
    Attach(Attach),
    /// Router to agent: the caller has gone. Answer: [`Frame::Ok`].
    Cancel(Cancel),
    /// Head to stage: open a session. Answer: [`Frame::Opened`] or [`Frame::Refused`].
    /// Then on the same stream [`Frame::Step`]s from the head, each answered by
    /// [`Frame::Output`] or [`Frame::Refused`]. The end of the stream closes the session.
    Open(Open),
    /// Router to agent: call the plain service. Answer: [`Frame::Reply`] or [`Frame::Refused`].
    Call(Call),
    /// Anyone: the peer's state as JSON. Answer: [`Frame::Text`].
    Status,
    /// Anyone: the settings in force at the peer. Answer: [`Frame::Settings`].
    Settings,
    /// Anyone: what the peer knows of a request, as JSON lines. Answer: [`Frame::Text`].
    Explain(id::Request),
    /// Head to router: replicas of a range that can be used now. Answer: [`Frame::Places`].
    Replicas(Stage),
    /// Agent to router: which ranges have no replica, and how many the agent's own
    /// range has. Answer: [`Frame::Gaps`].
    Gaps(Option<Stage>),
}

/// Every other frame.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// State of an agent.
    Report(Box<Report>),
    /// The draft runs; it will be answered in full or its loss will be said.
    Accepted(Accepted),
    /// It was not run, or its outcome is not known, or it may not be asked.
    Refused(Refusal),
    /// One generated token.
    Token(Token),
    /// The draft is complete.
    Done(Done),
    /// Session open.
    Opened,
    /// Run these positions.
    Step(Step),
    /// What a step gave.
    Output(Output),
    /// Answer of a plain service.
    Reply(Reply),
    /// Settings in force.
    Settings(Settings),
    /// Free text or JSON.
    Text(String),
    /// Done, nothing to say.
    Ok,
    /// Replicas of a range, best first.
    Places(Vec<Place>),
    /// Ranges without a replica.
    Gaps(Gaps),
}

/// Ranges of the settings by a router's view.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Gaps {
    /// Those that no usable agent holds, in the order of the settings.
    pub lost: Vec<Stage>,
    /// Usable agents that hold the range asked about.
    pub replicas: u32,
}

/// Asks for reports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Watch {
    /// Who watches.
    pub vm: id::Vm,
}

/// What stands behind an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Backend {
    /// Nothing that can be used now.
    None,
    /// A range of layers of a model.
    Stage(Stage),
    /// A plain service, by its name in the settings.
    Service(String),
}

/// A range of layers of a model.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stage {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub version: u32,
    /// First layer.
    pub first: u32,
    /// Last layer, inclusive.
    pub last: u32,
}

/// State of an agent, piggybacked for the routers. A hint: the agent alone decides.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The agent's VM.
    pub vm: id::Vm,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// Its data centre.
    pub data_centre: String,
    /// What stands behind it.
    pub backend: Backend,
    /// Slots it has.
    pub slots: u32,
    /// Slots taken.
    pub busy: u32,
    /// Smoothed time of one step or call in microseconds, measured by the agent; 0 when unknown.
    pub step_us: u64,
    /// True when it takes no new work.
    pub leaving: bool,
    /// Fleet settings it applies.
    pub version: id::Version,
    /// Fingerprints refused everywhere because each crashed an engine twice, sorted.
    pub quarantined: Vec<id::Fingerprint>,
    /// Fingerprints that were running at one crash, sorted.
    pub suspects: Vec<id::Fingerprint>,
}

/// A draft to run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Draft {
    /// Its id, which names the head that gets this frame.
    pub request: id::Request,
    /// Whose it is.
    pub workspace: id::Workspace,
    /// Model asked for.
    pub model: String,
    /// The prompt as the caller wrote it.
    pub prompt: String,
    /// Ids of tokens that the caller already has from an earlier head; the draft goes on after them.
    pub delivered: Vec<u64>,
    /// First attempt number the head uses. Each new head of a request starts
    /// [`HEAD_STRIDE`] higher, so that a stage refuses what an older head still sends.
    pub attempt: id::Attempt,
    /// Tokens to generate at most, those delivered included.
    pub max_tokens: u32,
    /// Higher is served first.
    pub priority: u8,
    /// Time left until the caller's deadline.
    pub deadline: Duration,
    /// Hash of model and prompt, for the quarantine of requests that crash engines.
    pub fingerprint: id::Fingerprint,
    /// True when the router knows that it was running at a crash of an engine.
    pub suspect: bool,
    /// For each range of the model in order, agents to try in this order. The
    /// first range starts at the head itself; its replicas here are the spares.
    pub chain: Vec<Hop>,
}

/// Replicas of one range of layers, best first.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hop {
    /// The range.
    pub stage: Stage,
    /// Where it can run.
    pub replicas: Vec<Place>,
}

/// Name and address of an agent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// Its VM.
    pub vm: id::Vm,
    /// IP and UDP port.
    pub address: String,
}

/// Goes on with a running or lately finished draft.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Attach {
    /// Which one.
    pub request: id::Request,
    /// Whose; another workspace's request is answered as not found.
    pub workspace: id::Workspace,
    /// Generated tokens the caller has.
    pub after: u32,
}

/// Gives up a draft.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Cancel {
    /// Which one.
    pub request: id::Request,
    /// Whose.
    pub workspace: id::Workspace,
}

/// The draft was taken.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
}

/// Opens a session at a stage.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Open {
    /// The request.
    pub request: id::Request,
    /// Its attempt at this range; lower ones of the same request are fenced off.
    pub attempt: id::Attempt,
    /// The range the head expects here.
    pub stage: Stage,
    /// Higher is served first.
    pub priority: u8,
    /// Hash of the request's content.
    pub fingerprint: id::Fingerprint,
    /// Model and prompt in short, shown to operators when a request crashes engines.
    pub tag: String,
    /// True when it was running at a crash of an engine: it is run with nothing beside it.
    pub suspect: bool,
}

/// Consecutive positions to run.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Position of the first input.
    pub position: id::Position,
    /// One hidden state a position.
    pub inputs: Vec<u64>,
}

/// What a step gave.
#[derive(Debug, Clone, PartialEq)]
pub struct Output {
    /// Position of the first output.
    pub position: id::Position,
    /// One hidden state a position.
    pub outputs: Vec<u64>,
    /// The sampled token, from the last range.
    pub token: Option<Sample>,
}

/// A sampled token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Its id.
    pub id: u64,
    /// Its text.
    pub text: String,
    /// True when the model ends here.
    pub end: bool,
}

/// One generated token on its way to the caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// Number among the generated tokens, from 0.
    pub index: u32,
    /// The token.
    pub sample: Sample,
}

/// A finished draft.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Done {
    /// Generated tokens in all.
    pub tokens: u32,
    /// Stage replacements it took.
    pub replaced: u32,
    /// Layer runs repeated because a stage's state was lost.
    pub repeated: u64,
}

/// What a route of a plain service promises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Changes nothing.
    ReadOnly,
    /// May be repeated without harm.
    Idempotent,
    /// Must run at most once for each key.
    NonIdempotent,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Its id.
    pub request: id::Request,
    /// Whose.
    pub workspace: id::Workspace,
    /// Name of the service in the settings.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query, without the service's prefix.
    pub path: String,
    /// Header lines that are passed on.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Idempotency key, for routes that are not idempotent.
    pub key: Option<String>,
    /// Contract of the route.
    pub class: Class,
    /// Time left until the caller's deadline.
    pub deadline: Duration,
    /// Hash of the content.
    pub fingerprint: id::Fingerprint,
}

/// Answer of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Header lines.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// True when this is the kept answer of an earlier run of the same key.
    pub replayed: bool,
}

/// Settings in force at a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Their version; 0 when the peer has none.
    pub version: id::Version,
    /// Their text.
    pub text: String,
}
