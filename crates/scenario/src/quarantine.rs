//! Lifting of quarantines with the operators' command-line tool.

use serde::Deserialize;

use crate::fleet::Fleet;

#[derive(Debug, Deserialize)]
struct Row {
    fingerprint: String,
    state: String,
}

/// Lifts all quarantined requests that are refused; returns a line with their number.
pub async fn lift(fleet: &Fleet) -> Result<String, String> {
    let shown = fleet.ctl(&["quarantine", "list", "--json"].map(String::from)).await?;
    let rows: Vec<Row> = serde_json::from_str(&shown).map_err(|e| format!("quarantine: {e}"))?;
    let refused: Vec<&Row> = rows.iter().filter(|r| r.state == "refused").collect();
    for row in &refused {
        let args = ["quarantine", "lift", &row.fingerprint, "--author=operator-1"];
        let mut args = args.map(String::from).to_vec();
        args.push("--reason=the scenario says so".to_string());
        fleet.ctl(&args).await?;
    }
    match refused.len() {
        0 => Err("nothing is in quarantine".to_string()),
        n => Ok(format!("{n} requests lifted out of quarantine, {} suspects", rows.len() - n)),
    }
}
