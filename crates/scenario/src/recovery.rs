//! Recovery figures: how long callers waited after a fault.

use std::time::{Duration, Instant};

use crate::outcome::Outcome;

/// Width of the window in which tokens are counted.
const WINDOW: Duration = Duration::from_millis(200);
/// Time before the fault over which the former rate is measured.
const BASELINE_TIME: Duration = Duration::from_millis(1000);
/// Time between the starts of consecutive windows.
const WINDOW_STEP: Duration = Duration::from_millis(10);
/// A fall of the rate later than this after the fault is not attributed to it.
const MAX_FALL_DELAY: Duration = Duration::from_millis(1000);
/// Share of the former rate that counts as recovered.
const RECOVERED_RATIO: f64 = 0.95;

/// A fault that the script injected.
#[derive(Debug, Clone)]
pub struct Fault {
    /// Line of the script.
    pub name: String,
    /// Time of the fault.
    pub at: Instant,
}

/// Returns a line with the figures of a fault; `None` if no draft was in progress.
pub fn line(fault: &Fault, outcomes: &[Outcome]) -> Option<String> {
    let mut waits: Vec<Duration> =
        outcomes.iter().filter_map(|o| token_wait(o, fault.at)).collect();
    waits.sort_unstable();
    let longest = waits.last()?;
    let rate = match recovery_time(fault.at, outcomes) {
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

/// Returns the time from the fault to the next token of a draft that was in progress.
fn token_wait(out: &Outcome, at: Instant) -> Option<Duration> {
    let next = out.token_times.partition_point(|t| *t <= at);
    match next {
        0 => None,
        _ => out.token_times.get(next).map(|t| *t - at),
    }
}

/// Returns the time from the fault to the first window at [`RECOVERED_RATIO`] of the former rate
/// after the rate fell; zero if it did not fall within [`MAX_FALL_DELAY`].
fn recovery_time(at: Instant, outcomes: &[Outcome]) -> Option<Duration> {
    let mut times: Vec<Instant> =
        outcomes.iter().flat_map(|o| o.token_times.iter().copied()).collect();
    times.sort_unstable();
    let rate = |from: Instant, width: Duration| {
        let tokens =
            times.partition_point(|t| *t < from + width) - times.partition_point(|t| *t < from);
        tokens as f64 / width.as_secs_f64()
    };
    let former = rate(at.checked_sub(BASELINE_TIME)?, BASELINE_TIME);
    let last = *times.last()?;
    let windows = || (0..).map(|n| at + n * WINDOW_STEP).take_while(|from| *from + WINDOW <= last);
    let full = |from: &Instant| rate(*from, WINDOW) >= RECOVERED_RATIO * former;
    match windows().take_while(|from| *from <= at + MAX_FALL_DELAY).find(|from| !full(from)) {
        None => Some(Duration::ZERO),
        Some(fell) => windows().find(|from| *from > fell && full(from)).map(|from| from - at),
    }
}
