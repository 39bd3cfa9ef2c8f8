//! Reasons why a call to the store has no useful answer.

use derive_more::{Display, Error};

use super::Offset;

/// Why a call has no useful answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// There is no answer: the call may have been carried out, or may still be.
    #[display("no answer from the store while {step}: {why}")]
    Silent {
        /// The step that failed.
        step: &'static str,
        /// What went wrong.
        why: String,
    },
    /// The source reports that the store does not answer; no call was sent.
    #[display("the source reports that the store does not answer")]
    SourceCutOff,
    /// The store refused the call; nothing was done.
    #[display("the store refused the call with status {_0}")]
    Refused(#[error(not(source))] u16),
    /// The requested records were deleted.
    #[display("the requested records were deleted")]
    Gone,
    /// The log does not end where the call says; nothing was done.
    #[display("the log has grown meanwhile, end={end:?}")]
    EndMismatch {
        /// Where the log ends, if the store reports it.
        end: Option<Offset>,
    },
    /// The call or its answer is from before the store was restored.
    #[display("the store was restored meanwhile, or the answer is from a lower era")]
    Stale,
    /// The answer can't be read.
    #[display("unreadable answer of the store: {_0}")]
    Unreadable(#[error(not(source))] String),
}

impl Fault {
    /// Whether the store has answered the call, and does not turn this router away.
    pub fn is_answer(&self) -> bool {
        match self {
            Fault::Silent { .. } | Fault::SourceCutOff | Fault::Stale => false,
            // Too many calls, unavailable.
            Fault::Refused(status) => !matches!(status, 429 | 503),
            Fault::Gone | Fault::EndMismatch { .. } | Fault::Unreadable(_) => true,
        }
    }

    /// Returns the kind of the fault, for the metrics.
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
