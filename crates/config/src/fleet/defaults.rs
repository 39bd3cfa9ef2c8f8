//! Values that hold where `[defaults]` is silent, and the bounds of each value.

use std::time::Duration;

use super::{Defaults, Objective};

/// A request whose caller names no deadline.
pub const DEADLINE: Duration = Duration::from_secs(30);
/// Longest deadline a caller may name.
pub const DEADLINE_MAX: Duration = Duration::from_secs(300);
/// Generated tokens of a draft.
pub const MAX_TOKENS: u32 = 512;
/// Body of a request in bytes.
pub const BODY_LIMIT: usize = 1 << 20;
/// Requests a workspace may have waiting at a router.
pub const QUEUE_LIMIT: u32 = 200;
/// Silence after which a step is given up.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(1);
/// How often an agent reports at least.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// How long a finished draft can be asked for again.
pub const KEEP_FINISHED: Duration = Duration::from_secs(60);
/// How long the key of a write is remembered.
pub const KEY_WINDOW: Duration = Duration::from_secs(3600);
/// How long a fingerprint stays in quarantine.
pub const QUARANTINE: Duration = Duration::from_secs(600);
/// How long a daemon that was told to stop waits for its requests.
pub const DRAIN: Duration = Duration::from_secs(30);
/// Share of a workspace that names none.
pub const SHARE: u32 = 1;
/// Priority of a workspace that names none: the middle of 0 to 9.
pub const PRIORITY: u8 = 5;

/// Longest time any setting may have: a longer one is a wrong unit.
pub const TIME_MAX: Duration = Duration::from_secs(24 * 3600);
/// Most generated tokens a draft may be given.
pub const MAX_TOKENS_MAX: u32 = 1 << 20;
/// Largest body limit in bytes; a body has to fit in a frame with room to spare.
pub const BODY_LIMIT_MAX: usize = 16 << 20;
/// Largest queue limit.
pub const QUEUE_LIMIT_MAX: u32 = 1_000_000;
/// Largest share.
pub const SHARE_MAX: u32 = 1000;
/// Highest priority.
pub const PRIORITY_MAX: u8 = 9;
/// Most layers of a model.
pub const LAYERS_MAX: u32 = 4096;

/// The values above.
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
