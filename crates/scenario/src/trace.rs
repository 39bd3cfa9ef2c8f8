//! The versions of the settings that each daemon had in force, according to its log.

use std::path::Path;
use std::time::Duration;

use cloud::log::{Client, Record};
use hdrhistogram::Histogram;

/// Start of the text that a daemon logs at each change of its version.
const VERSION_PREFIX: &str = "settings: version ";

/// A change of the version in force on a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// VM of the daemon.
    pub vm: String,
    /// New version; 0 at a start without settings.
    pub version: u64,
    /// Previous version; `None` at a start.
    pub before: Option<u64>,
    /// Time in milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// Parses the log of a daemon.
///
/// ```
/// let log = "INFO settings: version 4 is in force after 3, 1700 ms\n";
/// let applied = scenario::trace::read("gpu-1", log);
/// assert_eq!((applied[0].version, applied[0].before), (4, Some(3)));
/// ```
pub fn read(vm: &str, log: &str) -> Vec<Applied> {
    let line = |line: &str| {
        let rest = line.split_once(VERSION_PREFIX)?.1;
        let (version, rest) = rest.split_once(" is in force ")?;
        let (how, time) = rest.split_once(", ")?;
        Some(Applied {
            vm: vm.to_string(),
            version: version.parse().ok()?,
            before: how.strip_prefix("after ").and_then(|v| v.parse().ok()),
            time_ms: time.strip_suffix(" ms")?.parse().ok()?,
        })
    };
    log.lines().filter_map(line).collect()
}

/// Parses the logs of several daemons.
pub fn read_all(dir: &Path, vms: &[String]) -> Vec<Applied> {
    let one = |vm: &String| {
        let log = std::fs::read_to_string(dir.join("logs").join(format!("{vm}.log")));
        read(vm, &log.unwrap_or_default())
    };
    vms.iter().flat_map(one).collect()
}

/// Appends the new records of the stream of settings to those read before.
pub async fn extend(seen: &mut Vec<Record>, log: &str) {
    let from = seen.last().map_or(0, |r| r.offset + 1);
    let client = Client::new(log, Duration::from_secs(2));
    if let Ok(page) = client.read("settings", from, Duration::ZERO).await {
        seen.extend(page.records);
    }
}

/// Returns a line for each daemon that changed to a lower version while it ran.
pub fn version_decreases(applied: &[Applied]) -> Vec<String> {
    let decreases = applied.iter().filter(|a| a.before.is_some_and(|before| a.version <= before));
    decreases
        .map(|a| format!("{} went from version {:?} to {}", a.vm, a.before, a.version))
        .collect()
}

/// Returns a line with the delay between the append of a version to the log and its use by the
/// daemons. The first version after a start is omitted, since it measures the start.
pub fn line(applied: &[Applied], stream: &[Record]) -> Option<String> {
    let mut histogram = Histogram::<u64>::new_with_max(600_000, 3).ok()?;
    for a in applied.iter().filter(|a| a.before.is_some_and(|before| before > 0)) {
        let at = stream.iter().find(|r| r.offset + 1 == a.version).map(|r| r.time_ms);
        if let Some(at) = at {
            histogram.saturating_record(a.time_ms.saturating_sub(at));
        }
    }
    if histogram.is_empty() {
        return None;
    }
    let ms = |ms: u64| Duration::from_millis(ms).as_secs_f64();
    Some(format!(
        "settings in force on {} occasions: p50 {:.2} s, max {:.2} s after the change stood in the log",
        histogram.len(),
        ms(histogram.value_at_quantile(0.5)),
        ms(histogram.max())
    ))
}
