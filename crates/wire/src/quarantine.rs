//! Records of the log stream that informs all daemons of requests that crash engines.
//!
//! Each record holds what its author decided, not what it observed. So a duplicate record, after
//! an append whose answer was lost, changes nothing.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;

/// Name of the stream.
pub const STREAM: &str = "quarantine";

/// Longest time by which the record of a crash may follow the clearing of its suspect: another VM
/// retries the suspect while the first one is still appending the record.
pub const MAX_RECORD_DELAY: Duration = Duration::from_secs(5);

/// A request that was running when an engine crashed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// Hash of its content, as written by [`format_fingerprint`].
    pub fingerprint: String,
    /// Its id.
    pub request: id::Request,
    /// Model and start of the prompt.
    pub tag: String,
}

/// One record, encoded as JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Record {
    /// An engine crashed.
    Crashed {
        /// VM of the engine.
        vm: id::Vm,
        /// Incarnation of the engine process that crashed.
        incarnation: String,
        /// Requests that may be at fault; they run only alone.
        suspects: Vec<Running>,
        /// Requests that were running at a second crash; they are refused everywhere.
        refused: Vec<Running>,
    },
    /// Suspects that ran alone without a crash.
    Cleared {
        /// VM of the engine.
        vm: id::Vm,
        /// Their fingerprints.
        fingerprints: Vec<String>,
    },
    /// An operator ended the quarantine of a request.
    Lifted {
        /// Its fingerprint.
        fingerprint: String,
        /// The operator.
        author: String,
        /// The operator's reason.
        reason: String,
    },
}

/// Formats a fingerprint for people: 16 hexadecimal digits.
///
/// ```
/// let text = wire::quarantine::format_fingerprint(255);
/// assert_eq!(text, "00000000000000ff");
/// assert_eq!(wire::quarantine::parse_fingerprint(&text), Some(255));
/// assert_eq!(wire::quarantine::parse_fingerprint("ff"), None);
/// ```
pub fn format_fingerprint(fingerprint: id::Fingerprint) -> String {
    format!("{fingerprint:016x}")
}

/// Parses a fingerprint written by [`format_fingerprint`]; `None` for any other text.
pub fn parse_fingerprint(text: &str) -> Option<id::Fingerprint> {
    match text.len() {
        16 => u64::from_str_radix(text, 16).ok(),
        _ => None,
    }
}

/// Returns the fingerprints of a list of requests, without those that do not parse.
///
/// ```
/// assert!(wire::quarantine::fingerprints(&[]).is_empty());
/// ```
pub fn fingerprints(running: &[Running]) -> Vec<id::Fingerprint> {
    running.iter().filter_map(|r| parse_fingerprint(&r.fingerprint)).collect()
}
