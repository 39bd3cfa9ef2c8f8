//! What stands in the stream of a service, encoded as JSON.

use serde::{Deserialize, Serialize};
use wire::frame::Reply;
use wire::id;

use super::Record;

/// Longest body of an answer that is kept, in bytes. Every agent holds all kept
/// answers of the key window in memory, and a record of the log is limited.
pub const MAX_KEPT_BODY_BYTES: usize = 64 << 10;

/// Header lines of an answer that are kept, in bytes.
const MAX_KEPT_HEADER_BYTES: usize = 16 << 10;

/// Id of one try to write, unique in the fleet.
pub type TryId = String;

/// One record of the stream: what an agent appended together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The agent's VM.
    pub vm: id::Vm,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// What it says, in order.
    pub entries: Vec<Entry>,
}

/// One entry of a batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Entry {
    /// The agent has started. Writes that earlier incarnations on its VM left
    /// open have an unknown outcome from here on, and their later intents are void.
    Start,
    /// The agent wants to run a write.
    Intent(Intent),
    /// The agent has not run the write of its own intent and never will.
    Void(TryRef),
    /// The agent sent the write and got no answer.
    Lost(TryRef),
    /// The service answered.
    Receipt(Receipt),
    /// A write, appended again since its records will expire.
    #[serde(rename = "carry")]
    CheckpointRecord(CheckpointRecord),
    /// All writes that the agent knew have been carried.
    #[serde(rename = "kept")]
    CheckpointEnd(CheckpointEnd),
    /// Nobody has been able to judge for the key window: all forget, and begin anew here.
    #[serde(rename = "anew")]
    Reset(Reset),
}

/// Wants to run a write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Intent {
    /// Workspace and key.
    pub key: String,
    /// Hash of the content.
    #[serde(rename = "print")]
    pub content_hash: String,
    /// This try.
    pub id: TryId,
}

/// Names a try.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TryRef {
    /// Workspace and key.
    pub key: String,
    /// The try.
    pub id: TryId,
}

/// What the service answered to a try.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Receipt {
    /// Workspace and key.
    pub key: String,
    /// The try.
    pub id: TryId,
    /// The answer.
    pub answer: Answer,
}

/// A write as its author knew it, one part of what it appends again together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CheckpointRecord {
    /// The author had read all records before this offset, and none after it.
    #[serde(rename = "judged")]
    pub read_end: u64,
    /// What it knew.
    pub record: Record,
}

/// Ends what an author appends again: with it and the carried writes a late reader knows
/// what the author knew.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CheckpointEnd {
    /// As in the carried writes.
    #[serde(rename = "judged")]
    pub read_end: u64,
    /// Number of carried writes.
    pub count: usize,
    /// Latest incarnation started on each VM, sorted by VM.
    pub starts: Vec<(id::Vm, id::Incarnation)>,
    /// Writes whose intent is older are forgotten from here on, by the log's clock.
    pub cutoff_ms: u64,
}

/// Begins anew. It counts only where no intent and no `CheckpointEnd` stands between.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reset {
    /// Its author had read all records before this offset.
    #[serde(rename = "judged")]
    pub read_end: u64,
}

/// An answer as it is kept for repeats.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Header lines.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Body,
}

/// A body in as few bytes of JSON as its kind allows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// UTF-8, as it is.
    Text(String),
    /// Other bytes, two hexadecimal digits each.
    Hex(String),
    /// Not kept; so many bytes.
    Long(u64),
}

impl Answer {
    /// What is kept of a reply.
    ///
    /// ```
    /// use agent::ledger::{Answer, Body};
    /// let reply = wire::frame::Reply {
    ///     status: 201, headers: vec![], body: vec![0xff, 1], replayed: false,
    /// };
    /// assert_eq!(Answer::from_reply(&reply).body, Body::Hex("ff01".into()));
    /// assert_eq!(Answer::from_reply(&reply).to_reply().unwrap().body, reply.body);
    /// ```
    pub fn from_reply(reply: &Reply) -> Answer {
        let size: usize = reply.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        let (headers, body) = match std::str::from_utf8(&reply.body) {
            _ if reply.body.len() > MAX_KEPT_BODY_BYTES || size > MAX_KEPT_HEADER_BYTES => {
                (vec![], Body::Long(reply.body.len() as u64))
            }
            Ok(text) => (reply.headers.clone(), Body::Text(text.to_string())),
            Err(_) => (reply.headers.clone(), Body::Hex(hex(&reply.body))),
        };
        Answer { status: reply.status, headers, body }
    }

    /// The reply to a repeat; `None` when the answer was too long to be kept.
    ///
    /// ```
    /// use agent::ledger::{Answer, Body};
    /// let answer = Answer { status: 201, headers: vec![], body: Body::Long(100_000) };
    /// assert!(answer.to_reply().is_none());
    /// ```
    pub fn to_reply(&self) -> Option<Reply> {
        let body = match &self.body {
            Body::Text(text) => text.clone().into_bytes(),
            Body::Hex(digits) => bytes(digits)?,
            Body::Long(_) => return None,
        };
        Some(Reply { status: self.status, headers: self.headers.clone(), body, replayed: true })
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn bytes(digits: &str) -> Option<Vec<u8>> {
    let pair = |i| u8::from_str_radix(digits.get(i..i + 2)?, 16).ok();
    (0..digits.len()).step_by(2).map(pair).collect()
}
