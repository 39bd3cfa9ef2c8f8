//! Calls to the store.

use std::time::Duration;

use bytes::Bytes;

use super::{End, Era, Generation, Log, Offset};

/// One call.
#[derive(Debug, Clone)]
pub enum Call {
    /// Records from an offset on; waits so long for the first one.
    Read {
        /// The log.
        log: Log,
        /// First offset wanted.
        from: Offset,
        /// The era that the offset belongs to.
        era: Era,
        /// How long the store may wait for a record.
        wait: Duration,
    },
    /// The newest record of each key, in pages.
    Newest {
        /// The log.
        log: Log,
        /// Last key of the page before.
        after: Option<String>,
    },
    /// Adds records.
    Append {
        /// The log.
        log: Log,
        /// The records.
        records: Vec<Bytes>,
        /// Where the log has to end, if anywhere.
        at: Option<End>,
    },
    /// Adds a record to what a router's processes tell each other. Several routers may share such a log.
    AppendOwn {
        /// The router's VM.
        vm: String,
        /// The record.
        record: Bytes,
        /// Offset at which the log has to end, if any.
        at: Option<Offset>,
    },
    /// Records of that log from an offset on.
    ReadOwn {
        /// The router's VM.
        vm: String,
        /// First offset wanted.
        from: Offset,
    },
    /// Joins the group of routers, or stays in it.
    Join {
        /// This router.
        member: String,
        /// How long the membership lasts from this call on.
        ttl: Duration,
        /// The generation of the last answer.
        generation: Generation,
    },
    /// Asks for the members of the group of routers.
    Members,
    /// Leaves the group of routers.
    Leave {
        /// This router.
        member: String,
    },
}

impl Call {
    /// What kind of call it is, for the metrics.
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

    /// The era of the offset that it names, if any; in another one the call is of no use.
    pub(super) fn offset_era(&self) -> Option<Era> {
        match self {
            Call::Read { era, .. } => Some(*era),
            Call::Append { at, .. } => at.map(|at| at.era),
            _ => None,
        }
    }

    /// Where the log ends after it, if that follows from the call.
    pub(super) fn expected_end(&self) -> Option<Offset> {
        match self {
            Call::Append { records, at, .. } => at.map(|at| at.offset + records.len() as Offset),
            _ => None,
        }
    }
}
