//! What a ledger holds of one key.

use wire::id;

use super::{Answer, Carry, Try};

/// What is known of a key.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Workspace and key.
    pub key: String,
    /// Hash of the content.
    pub print: String,
    /// The try that was first.
    pub id: Try,
    /// Who made it.
    pub owner: (id::Vm, id::Incarnation),
    /// Newest offset from which a reader that starts there learns of this write: its
    /// intent or a carried record. A receipt does not count: it names only the try.
    pub offset: u64,
    /// When its intent was appended, by the log's clock, in milliseconds.
    pub time_ms: u64,
    /// What became of it.
    pub state: State,
}

/// What became of a write.
#[derive(Debug, Clone, PartialEq)]
pub enum State {
    /// Its owner may run it now.
    Open,
    /// It has this answer.
    Settled(Answer),
    /// It may have run; nobody runs it again.
    Unknown,
}

impl Record {
    /// The write as it is appended again.
pub(super) fn carry(&self) -> Carry {
        let answer = match &self.state {
            State::Settled(answer) => Some(answer.clone()),
            _ => None,
        };
        Carry {
            key: self.key.clone(),
            print: self.print.clone(),
            id: self.id.clone(),
            owner: self.owner.clone(),
            time_ms: self.time_ms,
            answer,
        }
    }
}
