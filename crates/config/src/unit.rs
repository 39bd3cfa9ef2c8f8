//! Durations, sizes, counts and names as they stand in a settings file.

use std::time::Duration;

/// Units of a duration and their length in milliseconds.
const TIMES: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

/// Units of a size and their length in bytes.
const SIZES: [(&str, u64); 2] = [("KiB", 1 << 10), ("MiB", 1 << 20)];

/// Longest DNS label, in bytes (RFC 1035).
const LABEL: usize = 63;

/// A duration such as `250ms`, `1s`, `5m` or `1h`. `None` for anything else.
///
/// ```
/// use std::time::Duration;
/// assert_eq!(config::unit::duration("5m"), Some(Duration::from_secs(300)));
/// assert_eq!(config::unit::duration("5"), None);
/// ```
pub fn duration(text: &str) -> Option<Duration> {
    scaled(text, &TIMES).map(Duration::from_millis)
}

/// A size such as `64KiB` or `1MiB`, in bytes. `None` for anything else.
///
/// ```
/// assert_eq!(config::unit::size("64KiB"), Some(65536));
/// assert_eq!(config::unit::size("64kb"), None);
/// ```
pub fn size(text: &str) -> Option<usize> {
    scaled(text, &SIZES).and_then(|bytes| usize::try_from(bytes).ok())
}

/// A count: digits only, without sign, unit or separator.
///
/// ```
/// assert_eq!(config::unit::count("200"), Some(200));
/// assert_eq!(config::unit::count("+200"), None);
/// ```
pub fn count(text: &str) -> Option<u32> {
    digits(text).and_then(|n| u32::try_from(n).ok())
}

/// True for a DNS label in lower case, which every name of the settings has to be.
///
/// ```
/// assert!(config::unit::is_label("gpu-1"));
/// assert!(!config::unit::is_label("GPU_1"));
/// ```
pub fn is_label(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    (1..=LABEL).contains(&text.len())
        && text.chars().all(plain)
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
