//! What paths may ask of the links between data centres.

use std::time::Duration;

use layers::server::Zone;

use super::load::MAX_LINK_WAIT;

/// Largest random part of the cost of a link for a path that is mended, as a part of the whole time of a request. All routers
/// mend paths at the same moment; all of them would take the link to the fastest copy, which may be slower than they know.
const MAX_SPREAD_COST: f64 = 0.35;

/// What a path may ask of the links between data centres.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Crossing {
    /// Longest transfer, in milliseconds.
    pub max_transfer_ms: f64,
    /// How long this router's transfers may wait for a link.
    pub max_wait: Duration,
}

impl Crossing {
    /// None at all.
    pub const NONE: Crossing = Crossing { max_transfer_ms: 0.0, max_wait: Duration::ZERO };

    /// Any transfer, while few wait.
    pub const DEFAULT: Crossing =
        Crossing { max_transfer_ms: f64::INFINITY, max_wait: MAX_LINK_WAIT };

    /// For a stream whose path is mended at once. All streams that passed through a dead server are mended at the same
    /// moment; some sixty of them would wait a second for a link on which each takes longer.
    pub const IMMEDIATE: Crossing = Crossing { max_transfer_ms: 20.0, max_wait: MAX_LINK_WAIT };

    /// For a stream that has no other way. Its caller leaves after two seconds without an event, and some of them have
    /// passed.
    pub const LAST_RESORT: Crossing =
        Crossing { max_transfer_ms: f64::INFINITY, max_wait: Duration::from_secs(1) };
}

/// Random part of the cost of a link, the same as long as `luck` is.
pub(super) fn spread(random: u64, (from, to): (Zone, Zone)) -> f64 {
    let ends = [from.to_le_bytes(), to.to_le_bytes()].concat();
    let part =
        (xxhash_rust::xxh3::xxh3_64_with_seed(&ends, random) >> 11) as f64 / (1u64 << 53) as f64;
    MAX_SPREAD_COST * part
}
