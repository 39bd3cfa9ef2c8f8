//! Publishing settings, also by two operators concurrently, and waiting until they are in force.

use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::process::Wanted;
use crate::settings;

/// Interval between two checks of the versions in force.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Publishes a change of one default; `fails` means that the publication must fail.
pub async fn publish_default(
    fleet: &mut Fleet,
    change: &str,
    fails: bool,
) -> Result<String, String> {
    let text = settings::with_default(&fleet.text, change);
    let done = fleet.publish("operator-1", &text, &format!("set {change}"), None).await;
    match (done, fails) {
        (Ok(_), true) => Err(format!("publishing {change} succeeded")),
        (Err(e), true) => Ok(format!("publishing {change} was refused: {e}")),
        (Err(e), false) => Err(e),
        (Ok(_), false) => {
            fleet.text = text;
            Ok(format!("published {change}"))
        }
    }
}

/// Lets two operators publish concurrently from the same version: exactly one must succeed.
pub async fn publish_concurrently(
    fleet: &mut Fleet,
    base: u64,
    first: &str,
    second: &str,
) -> Result<String, String> {
    let texts = [first, second].map(|c| settings::with_default(&fleet.text, c));
    let (a, b) = tokio::join!(
        fleet.publish("operator-1", &texts[0], first, Some(base)),
        fleet.publish("operator-2", &texts[1], second, Some(base))
    );
    let [one, two] = texts;
    let (won, text) = match (&a, &b) {
        (Ok(_), Err(_)) => (first, one),
        (Err(_), Ok(_)) => (second, two),
        (Ok(_), Ok(_)) => return Err("both operators succeeded".to_string()),
        (Err(a), Err(b)) => return Err(format!("both operators failed: {a}; {b}")),
    };
    fleet.text = text;
    Ok(format!("of two operators the one with {won} succeeded"))
}

/// Returns the version in force on each running daemon that is not frozen; 0 if it is unknown.
pub async fn versions(fleet: &mut Fleet) -> Result<Vec<(String, u64)>, String> {
    let reported = fleet.versions().await?;
    let mut is_running = |name: &str| {
        let process = fleet.process(name);
        process.is_ok_and(|p| p.wanted == Wanted::Running && p.is_running())
    };
    let reported = reported.into_iter().filter(|(name, _)| is_running(name));
    Ok(reported.map(|(name, version)| (name, version.unwrap_or(0))).collect())
}

/// Waits until all running daemons have the same version in force, higher than `above`.
pub async fn wait_in_force(
    fleet: &mut Fleet,
    above: u64,
    within: Duration,
) -> Result<(u64, Duration), String> {
    let began = Instant::now();
    loop {
        let versions = versions(fleet).await?;
        let low = versions.iter().map(|v| v.1).min().unwrap_or(0);
        let high = versions.iter().map(|v| v.1).max().unwrap_or(0);
        match low == high && low > above {
            true => return Ok((low, began.elapsed())),
            false if began.elapsed() > within => return Err(format!("versions: {versions:?}")),
            false => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}
