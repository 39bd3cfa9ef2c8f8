//! Publishing settings, also by two operators at once, and waiting for them to be in force.

use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::process::Wanted;
use crate::settings;

/// Pause between two looks at the versions in force.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Publishes a change of one default.
pub async fn publish_default(
    fleet: &mut Fleet,
    change: &str,
    fails: bool,
) -> Result<String, String> {
    let text = settings::with_default(&fleet.text, change);
    let done = fleet.publish("operator-1", &text, &format!("set {change}"), None).await;
    match (done, fails) {
        (Ok(_), true) => Err(format!("publishing {change} went through")),
        (Err(e), true) => Ok(format!("publishing {change} was refused: {e}")),
        (Err(e), false) => Err(e),
        (Ok(_), false) => {
            fleet.text = text;
            Ok(format!("published {change}"))
        }
    }
}

/// Two operators publish from the same version at once: one must win and the other be told.
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
        (Ok(_), Ok(_)) => return Err("both operators were told that they won".to_string()),
        (Err(a), Err(b)) => return Err(format!("both operators lost: {a}; {b}")),
    };
    fleet.text = text;
    Ok(format!("of two operators the one with {won} won"))
}

/// The version in force on each daemon that lives and is not frozen; 0 when it does not tell.
pub async fn versions(fleet: &mut Fleet) -> Result<Vec<(String, u64)>, String> {
    let reported = fleet.versions().await?;
    let mut is_running = |name: &str| {
        let process = fleet.process(name);
        process.is_ok_and(|p| p.wanted == Wanted::Running && p.is_running())
    };
    let reported = reported.into_iter().filter(|(name, _)| is_running(name));
    Ok(reported.map(|(name, version)| (name, version.unwrap_or(0))).collect())
}

/// Waits until all living daemons have one version, higher than `above`.
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
