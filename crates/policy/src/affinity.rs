//! The choice of a replica for a prefix or key, without shared state.
//!
//! Load pattern: prompts that begin alike, and retries of the same keyed call. Sent to any replica, each engine
//! computes and caches the same prefix, and the limited cache holds little else. With the choice bound to a hash
//! alone, one popular prefix overloads its replica.
//!
//! All routers rank the replicas by a rendezvous hash: no cache events are needed, so late or missing ones do no
//! harm, and when a replica is lost only its own prefixes move. The preferred replica is taken only while its load is
//! at most [`LOAD_BOUND`] times the mean of its range (bounded loads); beyond that the choice is made by load alone.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Load relative to the range's mean up to which a prefix keeps its replica.
///
/// At 1.0 a prefix moves at every imbalance and caches stay cold; at 2.0 a single popular prefix doubles the load of
/// its replica. See the sweep in docs/design/decisions.md.
pub const LOAD_BOUND: f64 = 1.25;

/// Number of replicas of a range that a prefix prefers, as a single one does not always have a free slot: with more, a
/// free slot more often suits a waiting prefix, but each engine's cache has to hold more prefixes.
pub const REPLICAS_PER_PREFIX: usize = 5;

/// Hash of the text that a prompt begins with, or of a call's key.
pub type Prefix = u64;

/// Returns the hash of the first `bytes` bytes of a text; of the whole text if it is shorter.
///
/// ```
/// use policy::affinity::prefix;
/// assert_eq!(prefix("a long prompt", 6), prefix("a long answer", 6));
/// ```
pub fn prefix(text: &str, bytes: usize) -> Prefix {
    let raw = text.as_bytes();
    xxh3_64_with_seed(&raw[..bytes.min(raw.len())], 0)
}

/// Returns the hash of a VM's name, kept beside it so that a choice hashes no text.
///
/// ```
/// assert_ne!(policy::affinity::seed("gpu-1"), policy::affinity::seed("gpu-2"));
/// ```
pub fn seed(vm: &str) -> u64 {
    xxh3_64_with_seed(vm.as_bytes(), 1)
}

/// Returns the rank of a VM for a prefix; the highest is preferred. It is weighted by `slots`.
///
/// ```
/// use policy::affinity::{rank, seed};
/// assert!(rank(7, seed("gpu-1"), 8) > 0.0);
/// ```
pub fn rank(prefix: Prefix, seed: u64, slots: u32) -> f64 {
    let mut x = prefix ^ seed.rotate_left(32);
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^= x >> 33;
    // A uniform number in (0, 1); -slots / log2(u) makes the chance to win proportional to slots.
    let u = ((x >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(slots) / log2(u).min(-f64::MIN_POSITIVE)
}

/// Returns the binary logarithm of a number in (0, 1) to about 0.01, from its exponent and a parabola through its
/// mantissa: a choice takes hundreds of them, and all routers get the same.
fn log2(u: f64) -> f64 {
    let bits = u.to_bits();
    let exponent = (bits >> 52) as i32 - 1023;
    let mantissa = f64::from_bits((bits & ((1 << 52) - 1)) | (1023 << 52)) - 1.0;
    f64::from(exponent) + mantissa * (1.3465 - 0.3465 * mantissa)
}

/// Returns true when a replica with `busy` of `slots` may take one more request of its own prefix, in a range with
/// `all_busy` of `all_slots`; `bound` is usually [`LOAD_BOUND`].
///
/// ```
/// use policy::affinity::within_bound;
/// assert!(within_bound(0, 8, 0, 80, 1.25));
/// assert!(!within_bound(7, 8, 20, 80, 1.25));
/// ```
pub fn within_bound(busy: u32, slots: u32, all_busy: u32, all_slots: u32, bound: f64) -> bool {
    let mean = f64::from(all_busy + 1) / f64::from(all_slots.max(1));
    busy < slots && f64::from(busy + 1) <= (bound * mean * f64::from(slots)).ceil()
}
