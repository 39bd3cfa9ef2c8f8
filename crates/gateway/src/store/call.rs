//! Calls to the store.

use std::time::Duration;

use bytes::Bytes;

use super::{End, Era, Generation, Log, Offset};

/// One call.
#[derive(Debug, Clone)]
pub enum Call {
    /// Reads records from an offset on; waits up to `wait` for the first one.
    Read {
        /// The log.
        log: Log,
        /// First offset to read.
        from: Offset,
        /// The era that the offset belongs to.
        era: Era,
        /// How long the store may wait for a record.
        wait: Duration,
    },
    /// Reads the newest record of each key, in pages.
    Newest {
        /// The log.
        log: Log,
        /// Last key of the previous page.
        after: Option<String>,
    },
    /// Appends records.
    Append {
        /// The log.
        log: Log,
        /// The records.
        records: Vec<Bytes>,
        /// Where the log has to end, if that is a condition.
        at: Option<End>,
    },
    /// Appends a record to the log of a router's own processes. Several routers may share such a log.
    AppendOwn {
        /// The router's VM.
        vm: String,
        /// The record.
        record: Bytes,
        /// Offset at which the log has to end, if that is a condition.
        at: Option<Offset>,
    },
    /// Reads records of that log from an offset on.
    ReadOwn {
        /// The router's VM.
        vm: String,
        /// First offset to read.
        from: Offset,
    },
    /// Joins the group of routers, or extends the membership.
    Join {
        /// This router.
        member: String,
        /// How long the membership lasts from this call on.
        ttl: Duration,
        /// The generation of the last answer.
        generation: Generation,
    },
    /// Reads the members of the group of routers.
    Members,
    /// Leaves the group of routers.
    Leave {
        /// This router.
        member: String,
    },
}

impl Call {
    /// Returns the kind of the call, for the metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Call::Read { log: Log::Settings, .. } => "read_settings",
            Call::Read { log: Log::Servers, .. } => "read_servers",
            Call::Read { log: Log::Notices, .. } => "read_notices",
            Call::Read { log: Log::Orders, .. } => "read_orders",
            Call::Newest { .. } => "read_newest",
            Call::Append { log: Log::Orders, .. } => "append_orders",
            Call::Append { .. } => "append_notices",
            Call::AppendOwn { .. } => "append_own",
            Call::ReadOwn { .. } => "read_own",
            Call::Join { .. } => "join",
            Call::Members => "members",
            Call::Leave { .. } => "leave",
        }
    }

    /// Returns the era of the offset that the call names, if any; in another era the call is of no use.
    pub(super) fn offset_era(&self) -> Option<Era> {
        match self {
            Call::Read { era, .. } => Some(*era),
            Call::Append { at, .. } => at.map(|at| at.era),
            _ => None,
        }
    }

    /// Returns where the log ends after the call, if that follows from the call.
    pub(super) fn expected_end(&self) -> Option<Offset> {
        match self {
            Call::Append { records, at, .. } => at.map(|at| at.offset + records.len() as Offset),
            _ => None,
        }
    }
}
