//! Records that other processes write, and why one can't be used.
//!
//! Anything may be in the store. A record that can't be used is left out, and the others hold.

use std::time::Duration;

use derive_more::{Display, Error};

/// Longest time that a record may name. Sums of times that are no longer fit into any clock.
pub const MAX_TIME: Duration = Duration::from_secs(366 * 24 * 3600);

/// Largest number of layers that a record may name. Memory and time grow with it.
pub const MAX_LAYERS: u32 = 4096;

/// Why a record can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// It can't be parsed: a field is missing, has another type or an unknown value.
    #[display("{_0}")]
    Unreadable(#[error(not(source))] String),
    /// The value of a field is out of range.
    #[display("{field} is out of range: {value}")]
    Range {
        /// Name of the field.
        field: &'static str,
        /// The value.
        value: String,
    },
    /// Decoding or applying it panicked.
    #[display("panic: {_0:?}")]
    Panic(#[error(not(source))] String),
}

impl Fault {
    /// Creates the fault of a value that is out of range.
    pub fn range(field: &'static str, value: impl std::fmt::Display) -> Fault {
        Fault::Range { field, value: value.to_string() }
    }
}

/// Returns a time of `ms` milliseconds, or a fault if it is below zero or above [`MAX_TIME`].
///
/// ```
/// use std::time::Duration;
/// use gateway::record::millis;
/// assert_eq!(millis("timeoutMs", 2.5), Ok(Duration::from_micros(2500)));
/// let fault = millis("timeoutMs", f64::MAX).unwrap_err();
/// assert!(fault.to_string().starts_with("timeoutMs is out of range"));
/// assert!(millis("timeoutMs", -1.0).is_err() && millis("timeoutMs", f64::NAN).is_err());
/// ```
pub fn millis(field: &'static str, ms: f64) -> Result<Duration, Fault> {
    let time = Duration::try_from_secs_f64(ms / 1e3).ok().filter(|time| *time <= MAX_TIME);
    time.ok_or_else(|| Fault::range(field, ms))
}
