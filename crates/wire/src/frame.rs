//! Typed messages between the system's own processes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::refusal::Refusal;

/// Distance between the first attempt numbers of two heads of a request.
pub const HEAD_STRIDE: id::Attempt = 1 << 16;

/// First frame of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Router to agent: report the agent's state. Answers: a [`Frame::Report`] at once, at each
    /// report interval, and between them at a change that the routers need.
    Watch(Watch),
    /// Router to agent: run a draft as its head. Answers: [`Frame::Accepted`] or
    /// [`Frame::Refused`]; then [`Frame::Token`]s; then [`Frame::Done`] or [`Frame::Refused`].
    Draft(Draft),
    /// Router to agent: resume a draft of which the agent is the head. Answers as for a draft.
    Attach(Attach),
    /// Router to agent: cancel a draft whose caller is gone. Answer: [`Frame::Ok`].
    Cancel(Cancel),
    /// Head to stage: open a session. Answer: [`Frame::Opened`] or [`Frame::Refused`]. On the
    /// same stream the head then sends [`Frame::Step`]s, each answered by [`Frame::Output`] or
    /// [`Frame::Refused`]. The end of the stream closes the session.
    Open(Open),
    /// Router to agent: call the plain service. Answer: [`Frame::Reply`] or [`Frame::Refused`].
    Call(Call),
    /// Anyone: the peer's state as JSON. Answer: [`Frame::Text`].
    Status,
    /// Anyone: the settings in force at the peer. Answer: [`Frame::Settings`].
    Settings,
    /// Anyone: the peer's trace of a request, as JSON lines. Answer: [`Frame::Text`].
    Explain(id::Request),
    /// Head to router: replicas of a range that can be used now. Answer: [`Frame::Places`].
    Replicas(Stage),
    /// Agent to router: which ranges have no replica, and how many the agent's own
    /// range has. Answer: [`Frame::Gaps`].
    Gaps(Option<Stage>),
}

/// Any later frame of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// State of an agent.
    Report(Box<Report>),
    /// The draft runs; its full answer or the report of its loss follows.
    Accepted(Accepted),
    /// The command was not run, or its outcome is unknown, or it is not allowed.
    Refused(Refusal),
    /// One generated token.
    Token(Token),
    /// The draft is complete.
    Done(Done),
    /// The session is open.
    Opened,
    /// Positions to run.
    Step(Step),
    /// What a step gave.
    Output(Output),
    /// Answer of a plain service.
    Reply(Reply),
    /// Settings in force.
    Settings(Settings),
    /// Free text or JSON.
    Text(String),
    /// Success without content.
    Ok,
    /// Replicas of a range, best first.
    Places(Vec<Place>),
    /// Ranges without a replica.
    Gaps(Gaps),
}

/// Ranges of the settings that a router knows to have no replica.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Gaps {
    /// Ranges that no usable agent holds, in the order of the settings.
    pub lost: Vec<Stage>,
    /// Number of usable agents that hold the queried range.
    pub replicas: u32,
}

/// Subscribes to reports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Watch {
    /// VM of the subscriber.
    pub vm: id::Vm,
}

/// The backend server of an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Backend {
    /// None that can be used now.
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

/// State of an agent, for the routers. It is a hint: the agent alone decides what it admits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The agent's VM.
    pub vm: id::Vm,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// Its data centre.
    pub data_centre: String,
    /// Its backend server.
    pub backend: Backend,
    /// Number of slots.
    pub slots: u32,
    /// Number of slots taken.
    pub busy: u32,
    /// Smoothed time of one step or call in microseconds, measured by the agent; 0 when unknown.
    pub step_us: u64,
    /// True when it accepts no new work.
    pub leaving: bool,
    /// Version of the fleet settings that it applies.
    pub version: id::Version,
    /// Fingerprints that are refused everywhere, because each crashed an engine twice; sorted.
    pub quarantined: Vec<id::Fingerprint>,
    /// Fingerprints that were running at one crash; sorted.
    pub suspects: Vec<id::Fingerprint>,
}

/// A draft to run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Draft {
    /// Id of the request, which contains the head that gets this frame.
    pub request: id::Request,
    /// Workspace of the caller.
    pub workspace: id::Workspace,
    /// Requested model.
    pub model: String,
    /// The caller's prompt, unchanged.
    pub prompt: String,
    /// Ids of the tokens that the caller already has from an earlier head; the draft continues
    /// after them.
    pub delivered: Vec<u64>,
    /// First attempt number of the head. Each new head of a request starts [`HEAD_STRIDE`]
    /// higher, so that a stage refuses frames that an older head still sends.
    pub attempt: id::Attempt,
    /// Maximum number of generated tokens, including those delivered.
    pub max_tokens: u32,
    /// Higher is served first.
    pub priority: u8,
    /// Time left until the caller's deadline.
    pub deadline: Duration,
    /// Hash of model and prompt, for the quarantine of requests that crash engines.
    pub fingerprint: id::Fingerprint,
    /// True when the router knows that the request was running at a crash of an engine.
    pub suspect: bool,
    /// For each range of the model, in order, the agents to try, best first. The first range
    /// starts at the head itself; its replicas listed here are the spares.
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

/// Resumes a running or recently finished draft.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Attach {
    /// Which one.
    pub request: id::Request,
    /// Workspace of the caller; a request of another workspace is answered as not found.
    pub workspace: id::Workspace,
    /// Number of generated tokens that the caller has.
    pub after: u32,
}

/// Cancels a draft.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Cancel {
    /// Which one.
    pub request: id::Request,
    /// Workspace of the caller.
    pub workspace: id::Workspace,
}

/// The draft was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
}

/// Opens a session at a stage.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Open {
    /// The request.
    pub request: id::Request,
    /// Attempt at this range; lower ones of the same request are fenced off.
    pub attempt: id::Attempt,
    /// The range that the head expects at this stage.
    pub stage: Stage,
    /// Higher is served first.
    pub priority: u8,
    /// Hash of the request's content.
    pub fingerprint: id::Fingerprint,
    /// Model and start of the prompt, shown to operators when a request crashes engines.
    pub tag: String,
    /// True when the request was running at a crash of an engine: its next step runs alone.
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
    /// The sampled token; only from the last range.
    pub token: Option<Sample>,
}

/// A sampled token.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Its id.
    pub id: u64,
    /// Its text.
    pub text: String,
    /// True when the model ends the answer with this token.
    pub end: bool,
}

/// One generated token on its way to the caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Token {
    /// Index among the generated tokens, from 0.
    pub index: u32,
    /// The token.
    pub sample: Sample,
}

/// A finished draft.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Done {
    /// Total number of generated tokens.
    pub tokens: u32,
    /// Number of stage replacements.
    pub replaced: u32,
    /// Number of layer runs repeated because a stage's state was lost.
    pub repeated: u64,
}

/// Class of a route of a plain service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Changes no state.
    ReadOnly,
    /// May run more than once without harm.
    Idempotent,
    /// Must run at most once for each key.
    NonIdempotent,
}

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Its id.
    pub request: id::Request,
    /// Workspace of the caller.
    pub workspace: id::Workspace,
    /// Name of the service in the settings.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query, without the service's prefix.
    pub path: String,
    /// Forwarded header lines.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Idempotency key, for routes that are not idempotent.
    pub key: Option<String>,
    /// Class of the route.
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
    /// True when this is the kept answer of an earlier run with the same key.
    pub replayed: bool,
}

/// Settings in force at a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Version of the settings; 0 when the peer has none.
    pub version: id::Version,
    /// Text of the settings.
    pub text: String,
}
