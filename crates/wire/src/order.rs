//! Records of the log stream that decides which agent loads a range without a replica.
//!
//! Each agent sends orders only to the engine on its own VM; the stream decides which agent does
//! so for a gap. The offset of its claim is the fencing number of the order.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::frame::Stage;
use crate::id;

/// Name of the stream.
pub const STREAM: &str = "orders";

/// Time in which no other agent may claim the same gap; longer than loading takes. It is measured
/// by the log service's clock only, so all readers agree.
pub const CLAIM_VALIDITY: Duration = Duration::from_secs(10);

/// One record, encoded as JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Id chosen by the agent, by which it finds its own record.
    pub id: String,
    /// The agent's VM.
    pub vm: id::Vm,
    /// The range that no engine holds.
    pub stage: Stage,
    /// Range that the engine held before; `None` if it held nothing.
    pub from: Option<Stage>,
}

/// A claim with its offset in the stream.
#[derive(Debug, Clone, PartialEq)]
pub struct LogRecord {
    /// Offset of the record.
    pub offset: u64,
    /// Time at which the log service appended it, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The claim.
    pub claim: Claim,
}

/// Returns the claims that count, given the records in the order of the stream. Until
/// [`CLAIM_VALIDITY`] has passed, only the first claim for a gap counts, and only one of the
/// engines that hold the same range. Readers of the same records agree. If older records have
/// expired, they agree on all claims after the first pause of [`CLAIM_VALIDITY`] without a claim.
///
/// ```
/// use wire::frame::Stage;
/// use wire::order::{Claim, LogRecord, filter_valid};
/// let stage = Stage { model: "m".into(), version: 1, first: 0, last: 3 };
/// let record = |offset, vm: &str| LogRecord {
///     offset,
///     time_ms: 1000,
///     claim: Claim { id: vm.into(), vm: vm.into(), stage: stage.clone(), from: None },
/// };
/// let found = filter_valid(vec![record(4, "a"), record(5, "b")]);
/// assert_eq!(found.len(), 1);
/// assert_eq!(found[0].offset, 4);
/// ```
pub fn filter_valid(records: Vec<LogRecord>) -> Vec<LogRecord> {
    let mut found: Vec<LogRecord> = Vec::new();
    for new in records {
        let hold = CLAIM_VALIDITY.as_millis() as u64;
        let clash = |old: &LogRecord| {
            let same = old.claim.stage == new.claim.stage;
            let donor = new.claim.from.is_some() && old.claim.from == new.claim.from;
            let recent = new.time_ms < old.time_ms.saturating_add(hold);
            recent && (same || donor || old.claim.vm == new.claim.vm)
        };
        if !found.iter().any(clash) {
            found.push(new);
        }
    }
    found
}
