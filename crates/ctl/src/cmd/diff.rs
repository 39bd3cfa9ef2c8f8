//! Compares a file with the settings in force.

use std::path::PathBuf;

use config::fleet::{self, Difference};

use crate::error::Error;
use crate::option::Common;
use crate::report::{self, Report};
use crate::settings::Stream;

/// Show how a file differs from the settings in force.
///
/// Run it before `publish`, and after another operator's change was accepted first. Comments
/// are not compared.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example:\n  hyssopctl --log http://127.0.0.1:9000 diff dala.ini")]
pub struct Args {
    /// File to compare.
    file: PathBuf,
}

/// Reads both texts and prints the differences.
pub async fn run(common: &Common, args: Args) -> Result<Report, Error> {
    let new = std::fs::read_to_string(&args.file)
        .map_err(|e| Error::Usage(format!("{}: {e}", args.file.display())))?;
    let stream = Stream::with_peers(common).await?;
    let found = fleet::diff(&stream.state.text, &new);
    let version = stream.state.version;
    Ok(report::ok(match common.json {
        true => report::json(&found),
        false if found.is_empty() => format!("the same as version {version}, which is in force\n"),
        false => format!("against version {version}, which is in force\n{}", rows(&found)),
    }))
}

fn rows(found: &[Difference]) -> String {
    let cell = |value: &Option<String>| value.clone().unwrap_or_else(|| "-".to_string());
    let row = |d: &Difference| {
        vec![format!("[{}]", d.section), d.key.clone(), cell(&d.before), cell(&d.after)]
    };
    let rows: Vec<Vec<String>> = found.iter().map(row).collect();
    report::table(&["SECTION", "KEY", "IN FORCE", "FILE"], &rows)
}
