//! Limits on the use of links between data centres by a path.

use std::time::Duration;

use layers::server::Zone;

use super::load::MAX_LINK_WAIT;

/// Largest random part of the cost of a link when a stream is repathed, as a fraction of the total time of a request.
/// All routers repath streams at the same moment; without it all of them would take the link to the fastest copy, which
/// may be slower than they know.
const MAX_SPREAD_COST: f64 = 0.35;

/// Limits on the use of links between data centres by a path.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Crossing {
    /// Longest transfer, in milliseconds.
    pub max_transfer_ms: f64,
    /// Longest queueing time of this router's transfers at a link.
    pub max_wait: Duration,
}

impl Crossing {
    /// No crossing at all.
    pub const NONE: Crossing = Crossing { max_transfer_ms: 0.0, max_wait: Duration::ZERO };

    /// Any transfer, as long as the queue at the link is short.
    pub const DEFAULT: Crossing =
        Crossing { max_transfer_ms: f64::INFINITY, max_wait: MAX_LINK_WAIT };

    /// For a stream that is repathed at once. All streams through a dead server are repathed at the same moment; if
    /// each transfer took longer, some sixty of them would queue for a second at the link.
    pub const IMMEDIATE: Crossing = Crossing { max_transfer_ms: 20.0, max_wait: MAX_LINK_WAIT };

    /// For a stream that has no alternative. Its caller leaves after two seconds without an event, part of which has
    /// passed.
    pub const LAST_RESORT: Crossing =
        Crossing { max_transfer_ms: f64::INFINITY, max_wait: Duration::from_secs(1) };
}

/// Returns the random part of the cost of a link, which is the same for equal `random`.
pub(super) fn spread(random: u64, (from, to): (Zone, Zone)) -> f64 {
    let ends = [from.to_le_bytes(), to.to_le_bytes()].concat();
    let fraction =
        (xxhash_rust::xxh3::xxh3_64_with_seed(&ends, random) >> 11) as f64 / (1u64 << 53) as f64;
    MAX_SPREAD_COST * fraction
}
