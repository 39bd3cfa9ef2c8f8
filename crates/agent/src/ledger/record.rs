//! What a ledger holds of one key.

use serde::{Deserialize, Serialize};
use wire::id;

use super::{Answer, TryId};

/// What is known of a key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Workspace and key.
    pub key: String,
    /// Hash of the content.
    #[serde(rename = "print")]
    pub content_hash: String,
    /// The try that was first.
    pub id: TryId,
    /// Who made it.
    pub owner: (id::Vm, id::Incarnation),
    /// When its intent was appended, by the log's clock, in milliseconds.
    pub time_ms: u64,
    /// What became of it.
    pub state: State,
}

/// What became of a write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Its owner may run it now.
    Open,
    /// It has this answer.
    Settled(Answer),
    /// It may have run; nobody runs it again.
    Unknown,
}
