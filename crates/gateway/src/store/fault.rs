//! Why a call to the store has no useful answer.

use derive_more::{Display, Error};

use super::Offset;

/// Why a call has no useful answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// No answer: the call may have been carried out, or may be yet.
    #[display("no answer from the store while {step}: {why}")]
    Silent {
        /// What was tried.
        step: &'static str,
        /// What went wrong.
        why: String,
    },
    /// Another router says that the store does not answer it; nothing was asked.
    #[display("the router that reads the store has no answer")]
    SourceCutOff,
    /// Turned away; nothing was done.
    #[display("the store turned the call away with status {_0}")]
    Refused(#[error(not(source))] u16),
    /// The records asked for are gone.
    #[display("the records asked for were deleted")]
    Gone,
    /// The log does not end where it was said to; nothing was done.
    #[display("the log has grown meanwhile, end={end:?}")]
    EndMismatch {
        /// Where it ends, if the store says so.
        end: Option<Offset>,
    },
    /// The call or its answer is of before the store was restored.
    #[display("the store was restored meanwhile, or the answer is of an older era")]
    Stale,
    /// The answer can't be read.
    #[display("unreadable answer of the store: {_0}")]
    Unreadable(#[error(not(source))] String),
}

impl Fault {
    /// What kind of fault it is, for the metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Fault::Silent { .. } => "silent",
            Fault::SourceCutOff => "told",
            Fault::Refused(429) => "too_many_calls",
            Fault::Refused(503) => "unavailable",
            Fault::Refused(507) => "out_of_space",
            Fault::Refused(_) => "refused",
            Fault::Gone => "gone",
            Fault::EndMismatch { .. } => "moved",
            Fault::Stale => "past",
            Fault::Unreadable(_) => "unreadable",
        }
    }
}
