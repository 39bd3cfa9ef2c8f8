//! Values of settings that `[defaults]` leaves out, and bounds of the settings.

use std::time::Duration;

use super::{Defaults, Objective};

/// Deadline of a request whose caller gives none.
pub const DEADLINE: Duration = Duration::from_secs(30);
/// Longest deadline that a caller may give.
pub const DEADLINE_MAX: Duration = Duration::from_secs(300);
/// Limit of generated tokens of a draft.
pub const MAX_TOKENS: u32 = 512;
/// Limit of the body of a request, in bytes.
pub const BODY_LIMIT: usize = 1 << 20;
/// Limit of requests of a workspace that wait at one router.
pub const QUEUE_LIMIT: u32 = 200;
/// Time without an answer after which a step is abandoned.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest interval between two reports of an agent.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// How long a finished draft can be fetched again.
pub const KEEP_FINISHED: Duration = Duration::from_secs(60);
/// How long the idempotency key of a write is kept.
pub const KEY_WINDOW: Duration = Duration::from_secs(3600);
/// How long a fingerprint stays in quarantine.
pub const QUARANTINE: Duration = Duration::from_secs(600);
/// How long a daemon that is shutting down waits for its requests.
pub const DRAIN: Duration = Duration::from_secs(30);
/// Share of a workspace whose section gives none.
pub const SHARE: u32 = 1;
/// Priority of a workspace whose section gives none; the middle of 0 to 9.
pub const PRIORITY: u8 = 5;

/// Longest duration of any setting; a longer one is probably a wrong unit.
pub const TIME_MAX: Duration = Duration::from_secs(24 * 3600);
/// Largest limit of generated tokens.
pub const MAX_TOKENS_MAX: u32 = 1 << 20;
/// Largest body limit, in bytes; a body has to fit into a frame together with its other fields.
pub const BODY_LIMIT_MAX: usize = 16 << 20;
/// Largest queue limit.
pub const QUEUE_LIMIT_MAX: u32 = 1_000_000;
/// Largest share of a workspace.
pub const SHARE_MAX: u32 = 1000;
/// Highest priority.
pub const PRIORITY_MAX: u8 = 9;
/// Largest number of layers of a model.
pub const LAYERS_MAX: u32 = 4096;

/// Returns the settings with the values above.
///
/// ```
/// use config::fleet::defaults;
/// assert_eq!(defaults::new().deadline, defaults::DEADLINE);
/// ```
pub fn new() -> Defaults {
    Defaults {
        objective: Objective::Throughput,
        deadline: DEADLINE,
        deadline_max: DEADLINE_MAX,
        max_tokens: MAX_TOKENS,
        body_limit: BODY_LIMIT,
        queue_limit: QUEUE_LIMIT,
        step_timeout: STEP_TIMEOUT,
        report_interval: REPORT_INTERVAL,
        keep_finished: KEEP_FINISHED,
        key_window: KEY_WINDOW,
        quarantine: QUARANTINE,
        drain: DRAIN,
    }
}
