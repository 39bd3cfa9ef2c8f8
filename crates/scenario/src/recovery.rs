//! Figures of recovery: how long callers waited after a fault.

use std::time::{Duration, Instant};

use crate::outcome::Outcome;

/// Width of the window in which tokens are counted.
const WINDOW: Duration = Duration::from_millis(200);
/// Time before the fault that gives the former rate.
const BEFORE: Duration = Duration::from_millis(1000);
/// Part of the former rate that counts as recovered.
const RECOVERED: f64 = 0.95;

/// A fault the script brought.
#[derive(Debug, Clone)]
pub struct Fault {
    /// The line of the script.
    pub name: String,
    /// When.
    pub at: Instant,
}

/// One line of figures for a fault; none when no draft was under way.
pub fn line(fault: &Fault, outcomes: &[Outcome]) -> Option<String> {
    let mut waits: Vec<Duration> = outcomes.iter().filter_map(|o| wait(o, fault.at)).collect();
    waits.sort_unstable();
    let longest = waits.last()?;
    let rate = match recovered(fault.at, outcomes) {
        Some(time) => format!("95% of the former rate after {} ms", time.as_millis()),
        None => "95% of the former rate not reached again".to_string(),
    };
    Some(format!(
        "after '{}': next token p50 {} ms, max {} ms over {} drafts; {rate}",
        fault.name,
        waits[waits.len() / 2].as_millis(),
        longest.as_millis(),
        waits.len()
    ))
}

/// From the fault to the next token of a draft that was under way.
fn wait(out: &Outcome, at: Instant) -> Option<Duration> {
    let next = out.times.partition_point(|t| *t <= at);
    match next {
        0 => None,
        _ => out.times.get(next).map(|t| *t - at),
    }
}

fn recovered(at: Instant, outcomes: &[Outcome]) -> Option<Duration> {
    let mut times: Vec<Instant> = outcomes.iter().flat_map(|o| o.times.iter().copied()).collect();
    times.sort_unstable();
    let between = |from: Instant, to: Instant| {
        times.partition_point(|t| *t < to) - times.partition_point(|t| *t < from)
    };
    let former = between(at.checked_sub(BEFORE)?, at) as f64 / BEFORE.as_secs_f64();
    let last = *times.last()?;
    let mut from = at;
    while former > 0.0 && from + WINDOW <= last {
        let rate = between(from, from + WINDOW) as f64 / WINDOW.as_secs_f64();
        if rate >= RECOVERED * former {
            return Some(from - at);
        }
        from += Duration::from_millis(10);
    }
    None
}
