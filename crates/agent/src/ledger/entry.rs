//! Entries of the stream of a service, encoded as JSON.

use serde::{Deserialize, Serialize};
use wire::frame::Reply;
use wire::id;

use super::Record;

/// Longest body of an answer that is kept. Every agent holds the answers of the key window in
/// memory, and the size of a log record is limited.
pub const MAX_KEPT_BODY_BYTES: usize = 64 << 10;

/// Largest total size of the header lines of an answer that is kept.
const MAX_KEPT_HEADER_BYTES: usize = 16 << 10;

/// Id of one try to run a write, unique in the fleet.
pub type TryId = String;

/// A record of the stream: the entries that an agent appended together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The agent's VM.
    pub vm: id::Vm,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// The entries in order.
    pub entries: Vec<Entry>,
}

/// One entry of a batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Entry {
    /// The agent has started. Open writes of earlier incarnations on its VM have an unknown
    /// outcome from here on, and later intents of these incarnations are ignored.
    Start,
    /// The agent is about to run a write.
    Intent(Intent),
    /// The agent has not run the write of its own intent and will not run it.
    Void(TryRef),
    /// The agent sent the write to the service and got no answer.
    Lost(TryRef),
    /// The service answered.
    Receipt(Receipt),
    /// A write of a checkpoint, appended again because its records will expire.
    #[serde(rename = "carry")]
    CheckpointRecord(CheckpointRecord),
    /// The end of a checkpoint: all writes known to the agent have been appended.
    #[serde(rename = "kept")]
    CheckpointEnd(CheckpointEnd),
    /// No agent has been complete for the key window: all readers clear their ledgers here.
    #[serde(rename = "anew")]
    Reset(Reset),
}

/// Announces a write.
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

/// Identifies a try.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TryRef {
    /// Workspace and key.
    pub key: String,
    /// The try.
    pub id: TryId,
}

/// The answer of the service to a try.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Receipt {
    /// Workspace and key.
    pub key: String,
    /// The try.
    pub id: TryId,
    /// The answer.
    pub answer: Answer,
}

/// A write of a checkpoint, as its author knew it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CheckpointRecord {
    /// End of what the author had read: all records before this offset, and none after it.
    #[serde(rename = "judged")]
    pub read_end: u64,
    /// The author's record of the write.
    pub record: Record,
}

/// Ends a checkpoint. With it and the records of the checkpoint an incomplete reader knows what
/// the author knew.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CheckpointEnd {
    /// The same as in the records of the checkpoint.
    #[serde(rename = "judged")]
    pub read_end: u64,
    /// Number of records of the checkpoint.
    pub count: usize,
    /// Latest incarnation started on each VM, sorted by VM.
    pub starts: Vec<(id::Vm, id::Incarnation)>,
    /// Writes with an older intent expire here, by the log's clock.
    pub cutoff_ms: u64,
}

/// Clears the ledger. It counts only if no intent and no `CheckpointEnd` follows the records that
/// its author had read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Reset {
    /// The author had read all records before this offset.
    #[serde(rename = "judged")]
    pub read_end: u64,
}

/// An answer as it is kept for retries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Header lines.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Body,
}

/// A body, encoded so that its JSON is short.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// UTF-8 text.
    Text(String),
    /// Other bytes, two hexadecimal digits each.
    Hex(String),
    /// Too long to be kept; its length in bytes.
    Long(u64),
}

impl Answer {
    /// Returns what is kept of a reply.
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

    /// Returns the reply to a retry, or `None` if the answer was too long to be kept.
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
