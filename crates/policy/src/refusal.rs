//! Why a request is refused, and when its caller is to come back.
//!
//! Load pattern: more work than the fleet can do. A refusal without a truthful time brings its caller back at once,
//! and the refusals become the load.

use std::time::Duration;

use derive_more::Display;

/// Time after which a caller is to come back while no backend server can be used: about the time until a replaced VM
/// is listed, loaded and seen.
pub const OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Shortest time after which a caller is to come back: below it the answer would cost more than the wait.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// Its workspace has as many requests waiting as it may.
    #[display("the workspace has as many requests waiting as it may")]
    Limit,
    /// The work ahead of it doesn't leave time before its deadline.
    #[display("the work ahead leaves no time before the deadline")]
    Deadline,
    /// It would miss its deadline even if it started now.
    #[display("it takes longer than its deadline allows")]
    Long,
    /// No backend server can be used.
    #[display("no backend server can be used")]
    Outage,
}

/// A refusal: the request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why it is refused.
    pub reason: Reason,
    /// Time after which it would be admitted if no other work came; `None` when it never would.
    pub retry_after: Option<Duration>,
}
