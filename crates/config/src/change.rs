//! The order of changes: every process reads the same stream and judges each
//! record by the same pure function, so all agree without a coordinator.

use serde::{Deserialize, Serialize};

use crate::fleet::Fleet;

/// Name of the stream.
pub const STREAM: &str = "settings";

/// A change as it stands in the stream, encoded as JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Unique id chosen by the publisher, by which it finds its own record.
    pub id: String,
    /// Version it was made from.
    pub base: u64,
    /// Who made it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// The whole new text of the fleet settings.
    pub text: String,
    /// For a record that keeps an accepted version from expiring: that version.
    #[serde(default)]
    pub carried: Option<u64>,
}

/// What became of a record.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// It is in force from now on, under this version.
    Accepted(u64),
    /// It only repeats the version in force.
    Carried(u64),
    /// It is not in force, for this reason.
    Refused(String),
}

/// What has been decided so far.
#[derive(Debug, Clone, PartialEq)]
pub struct State {
    /// Version in force; 0 when there is none.
    pub version: u64,
    /// Its text.
    pub text: String,
    /// Its checked settings.
    pub fleet: Fleet,
    /// Next offset to read.
    pub next: u64,
}

impl State {
    /// Nothing decided yet.
    pub fn new() -> State {
        State { version: 0, text: String::new(), fleet: Fleet::empty(), next: 0 }
    }

    /// Judges the record at `offset`. The version of an accepted change is its offset plus one.
    /// Never panics: a record that does not decode is refused.
    pub fn judge(&mut self, _offset: u64, _data: &str) -> Verdict {
        todo!("config helper")
    }

    /// Takes over a version from a peer, when it is newer than the one in force.
    pub fn adopt(&mut self, _version: u64, _text: &str) -> bool {
        todo!("config helper")
    }
}

impl Default for State {
    fn default() -> State {
        State::new()
    }
}
