//! Parses durations, sizes, counts and names of settings files.

use std::time::Duration;

/// Units of a duration, in milliseconds.
const TIME_UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

/// Units of a size, in bytes.
const SIZE_UNITS: [(&str, u64); 2] = [("KiB", 1 << 10), ("MiB", 1 << 20)];

/// Length limit of a DNS label (RFC 1035).
const MAX_LABEL_BYTES: usize = 63;

/// Parses a duration such as `250ms`, `1s`, `5m` or `1h`. Returns `None` for anything else.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(config::unit::duration("5m"), Some(Duration::from_secs(300)));
/// assert_eq!(config::unit::duration("5"), None);
/// ```
pub fn duration(text: &str) -> Option<Duration> {
    scaled(text, &TIME_UNITS).map(Duration::from_millis)
}

/// Parses a size such as `64KiB` or `1MiB` and returns it in bytes, or `None` for anything else.
///
/// ```
/// assert_eq!(config::unit::size("64KiB"), Some(65536));
/// assert_eq!(config::unit::size("64kb"), None);
/// ```
pub fn size(text: &str) -> Option<usize> {
    scaled(text, &SIZE_UNITS).and_then(|bytes| usize::try_from(bytes).ok())
}

/// Parses a count, which consists of digits only, without sign, unit or separator.
///
/// ```
/// assert_eq!(config::unit::count("200"), Some(200));
/// assert_eq!(config::unit::count("+200"), None);
/// ```
pub fn count(text: &str) -> Option<u32> {
    digits(text).and_then(|n| u32::try_from(n).ok())
}

/// Returns whether a text is a lower-case DNS label, as every name in the settings has to be.
///
/// ```
/// assert!(config::unit::is_label("gpu-1"));
/// assert!(!config::unit::is_label("GPU_1"));
/// ```
pub fn is_label(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    (1..=MAX_LABEL_BYTES).contains(&text.len())
        && text.chars().all(allowed)
        && !text.starts_with('-')
        && !text.ends_with('-')
}

fn scaled(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(split);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
    digits(number)?.checked_mul(*factor)
}

fn digits(text: &str) -> Option<u64> {
    match text.chars().all(|c| c.is_ascii_digit()) {
        true => text.parse().ok(),
        false => None,
    }
}
