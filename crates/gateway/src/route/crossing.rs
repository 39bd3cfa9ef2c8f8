//! What paths may ask of the links between data centres.

use std::time::Duration;

use layers::server::Zone;

use super::load::LINK_FULL;

/// Largest random part of the cost of a link for a path that is mended, as a part of the whole time of a request. All routers
/// mend paths at the same moment; all of them would take the link to the fastest copy, which may be slower than they know.
const SPREAD: f64 = 0.35;

/// What a path may ask of the links between data centres.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Crossing {
    /// Longest transfer, in milliseconds.
    pub transfer: f64,
    /// How long this router's transfers may wait for a link.
    pub wait: Duration,
}

impl Crossing {
    /// None at all.
    pub const NONE: Crossing = Crossing { transfer: 0.0, wait: Duration::ZERO };

    /// Any transfer, while few wait.
    pub const USUAL: Crossing = Crossing { transfer: f64::INFINITY, wait: LINK_FULL };

    /// For a stream whose path is mended at once. All streams that passed through a dead server are mended at the same
    /// moment; some sixty of them would wait a second for a link on which each takes longer.
    pub const AT_ONCE: Crossing = Crossing { transfer: 20.0, wait: LINK_FULL };

    /// For a stream that has no other way. Its caller leaves after two seconds without an event, and some of them have
    /// passed.
    pub const LAST: Crossing = Crossing { transfer: f64::INFINITY, wait: Duration::from_secs(1) };
}

/// Random part of the cost of a link, the same as long as `luck` is.
pub(super) fn spread(luck: u64, (from, to): (Zone, Zone)) -> f64 {
    let ends = [from.to_le_bytes(), to.to_le_bytes()].concat();
    let part =
        (xxhash_rust::xxh3::xxh3_64_with_seed(&ends, luck) >> 11) as f64 / (1u64 << 53) as f64;
    SPREAD * part
}
