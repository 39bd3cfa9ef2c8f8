//! The versions that each daemon had in force, as its log tells them.

use std::path::Path;
use std::time::Duration;

use cloud::log::{Client, Record};
use hdrhistogram::Histogram;

/// Begin of the text that a daemon writes at each change of its version.
const VERSION_PREFIX: &str = "settings: version ";

/// One change of the version in force on a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// The daemon.
    pub vm: String,
    /// The version; 0 at a start.
    pub version: u64,
    /// The one before; `None` at a start.
    pub before: Option<u64>,
    /// Milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// Reads a daemon's log.
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

/// Reads the logs of these daemons.
pub fn read_all(dir: &Path, vms: &[String]) -> Vec<Applied> {
    let one = |vm: &String| {
        let log = std::fs::read_to_string(dir.join("logs").join(format!("{vm}.log")));
        read(vm, &log.unwrap_or_default())
    };
    vms.iter().flat_map(one).collect()
}

/// Adds what the stream of settings holds now to what was seen of it before.
pub async fn extend(seen: &mut Vec<Record>, log: &str) {
    let from = seen.last().map_or(0, |r| r.offset + 1);
    let client = Client::new(log, Duration::from_secs(2));
    if let Ok(page) = client.read("settings", from, Duration::ZERO).await {
        seen.extend(page.records);
    }
}

/// Daemons that went back to a lower version while they ran.
pub fn version_decreases(applied: &[Applied]) -> Vec<String> {
    let decreases = applied.iter().filter(|a| a.before.is_some_and(|before| a.version <= before));
    decreases
        .map(|a| format!("{} went from version {:?} to {}", a.vm, a.before, a.version))
        .collect()
}

/// How long after it stood in the log each version was in force. A daemon's first version
/// after a start is left out: that measures its start.
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
