//! Records of the log stream that tells all daemons which requests crash engines.
//!
//! Each record says what its author decided, not what it saw. So a record that
//! stands twice, after a lost answer of an append, changes nothing the second time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;

/// Name of the stream.
pub const STREAM: &str = "quarantine";

/// How much later than the clearing of a suspect the record of its crash may
/// come: another VM runs it again while the first one still appends.
pub const MAX_RECORD_DELAY: Duration = Duration::from_secs(5);

/// A request that was running when an engine crashed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// Hash of its content, as [`format_fingerprint`] writes it.
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
        /// Each of these may be at fault: it runs only alone.
        suspects: Vec<Running>,
        /// Each of these ran at a second crash: it is refused everywhere.
        refused: Vec<Running>,
    },
    /// Suspects that ran alone without a crash.
    Cleared {
        /// VM of the engine.
        vm: id::Vm,
        /// Their fingerprints.
        fingerprints: Vec<String>,
    },
    /// An operator lets a request run again.
    Lifted {
        /// Its fingerprint.
        fingerprint: String,
        /// Who.
        author: String,
        /// Why.
        reason: String,
    },
}

/// A fingerprint as people read and type it: 16 hexadecimal digits.
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

/// The fingerprint that [`format_fingerprint`] wrote; `None` for any other text.
pub fn parse_fingerprint(text: &str) -> Option<id::Fingerprint> {
    match text.len() {
        16 => u64::from_str_radix(text, 16).ok(),
        _ => None,
    }
}

/// Fingerprints of a list of requests; texts that are none are left out.
///
/// ```
/// assert!(wire::quarantine::fingerprints(&[]).is_empty());
/// ```
pub fn fingerprints(running: &[Running]) -> Vec<id::Fingerprint> {
    running.iter().filter_map(|r| parse_fingerprint(&r.fingerprint)).collect()
}
