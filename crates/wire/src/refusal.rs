//! Refusals: what is certain about the request, why and where it was refused, and when to retry.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// What is certain about a refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It was not run and will not run.
    #[display("not-run")]
    NotRun,
    /// It may have run; the system never runs it again.
    #[display("unknown")]
    Unknown,
    /// It is not allowed: the caller has to change it.
    #[display("refused")]
    Refused,
}

/// Cause of a refusal, which determines the HTTP status and retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The request is malformed or breaks a limit.
    #[display("bad request")]
    Bad,
    /// There is nothing by that name, or it belongs to another workspace.
    #[display("not found")]
    NotFound,
    /// The key was used with other content.
    #[display("conflict")]
    Conflict,
    /// No slot or queue place is free now.
    #[display("busy")]
    Busy,
    /// The VM is leaving.
    #[display("leaving")]
    Leaving,
    /// A backend server, peer or the platform can't be used now.
    #[display("unavailable")]
    Unavailable,
    /// The deadline passed or can't be met.
    #[display("deadline")]
    Deadline,
    /// The request crashed engines and is in quarantine.
    #[display("quarantined")]
    Quarantined,
    /// A newer attempt exists.
    #[display("fenced")]
    Fenced,
    /// The caller is gone.
    #[display("cancelled")]
    Cancelled,
    /// The connection or the peer was lost during the request.
    #[display("lost")]
    Lost,
    /// The engine crashed while the request ran.
    #[display("engine crashed")]
    Crashed,
}

/// A refusal.
#[derive(Debug, Clone, PartialEq, Display, Error, Serialize, Deserialize)]
#[display("{outcome} ({cause}) at {step} by {peer}: {reason}")]
pub struct Refusal {
    /// What is certain.
    pub outcome: Outcome,
    /// Category of the reason.
    pub cause: Cause,
    /// Step that was refused.
    pub step: String,
    /// Peer that refused or failed.
    pub peer: String,
    /// The reason, as a sentence for the caller.
    pub reason: String,
    /// Time after which a retry makes sense.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns the refusal of a request that was not run.
    ///
    /// ```
    /// use wire::refusal::{Cause, Outcome, Refusal};
    /// let r = Refusal::not_run(Cause::Busy, "open", "gpu-1", "all 8 slots are taken");
    /// assert_eq!(r.outcome, Outcome::NotRun);
    /// ```
    pub fn not_run(cause: Cause, step: &str, peer: &str, reason: impl Into<String>) -> Refusal {
        Refusal::new(Outcome::NotRun, cause, step, peer, reason)
    }

    /// Returns the refusal of a request that may or may not have run.
    ///
    /// ```
    /// use wire::refusal::{Cause, Outcome, Refusal};
    /// let r = Refusal::unknown(Cause::Lost, "call", "desk-1", "no answer in 2 s");
    /// assert_eq!(r.outcome, Outcome::Unknown);
    /// ```
    pub fn unknown(cause: Cause, step: &str, peer: &str, reason: impl Into<String>) -> Refusal {
        Refusal::new(Outcome::Unknown, cause, step, peer, reason)
    }

    /// Returns the refusal of a request that the caller has to change.
    ///
    /// ```
    /// use wire::refusal::{Cause, Outcome, Refusal};
    /// let r = Refusal::refused(Cause::Bad, "parse", "entry-1", "max_tokens is 0");
    /// assert_eq!(r.outcome, Outcome::Refused);
    /// ```
    pub fn refused(cause: Cause, step: &str, peer: &str, reason: impl Into<String>) -> Refusal {
        Refusal::new(Outcome::Refused, cause, step, peer, reason)
    }

    /// Adds the time after which a retry makes sense.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wire::refusal::{Cause, Refusal};
    /// let r = Refusal::not_run(Cause::Busy, "open", "gpu-1", "full").with_retry_after(Duration::from_secs(1));
    /// assert_eq!(r.retry_after, Some(Duration::from_secs(1)));
    /// ```
    pub fn with_retry_after(mut self, time: Duration) -> Refusal {
        self.retry_after = Some(time);
        self
    }

    fn new(
        outcome: Outcome,
        cause: Cause,
        step: &str,
        peer: &str,
        reason: impl Into<String>,
    ) -> Refusal {
        let (step, peer) = (step.to_string(), peer.to_string());
        Refusal { outcome, cause, step, peer, reason: reason.into(), retry_after: None }
    }
}
