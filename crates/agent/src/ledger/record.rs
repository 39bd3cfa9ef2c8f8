//! The record of one key in a ledger.

use serde::{Deserialize, Serialize};
use wire::id;

use super::{Answer, TryId};

/// What is known of the write with a key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Workspace and key.
    pub key: String,
    /// Hash of the content.
    #[serde(rename = "print")]
    pub content_hash: String,
    /// The first try in the log.
    pub id: TryId,
    /// VM and incarnation of the agent that made the try.
    pub owner: (id::Vm, id::Incarnation),
    /// When the intent was appended, by the log's clock, in milliseconds.
    pub time_ms: u64,
    /// State of the write.
    pub state: State,
}

/// State of a write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Its owner may be running it now.
    Open,
    /// The service gave this answer.
    Settled(Answer),
    /// It may have run, and is not run again.
    Unknown,
}
