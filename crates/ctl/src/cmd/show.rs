//! Shows the settings of a version.

use serde::Serialize;

use crate::error::Error;
use crate::option::Common;
use crate::report::{self, Report};
use crate::settings::Stream;

/// Show the settings in force, or those of an earlier version.
///
/// Prints the text as it was published, so that it can be edited and published again with
/// --base. Versions whose records have expired can't be shown.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example:\n  hyssopctl --log http://127.0.0.1:9000 show > dala.ini")]
pub struct Args {
    /// Version to show; the one in force if left out.
    #[arg(long, value_name = "V")]
    version: Option<u64>,
}

#[derive(Debug, Serialize)]
struct Row {
    version: u64,
    text: String,
}

/// Reads the stream and prints the text of the version.
pub async fn run(common: &Common, args: Args) -> Result<Report, Error> {
    let stream = match args.version {
        Some(_) => Stream::read(common).await?,
        None => Stream::with_peers(common).await?,
    };
    let version = args.version.unwrap_or(stream.state.version);
    let text = match stream.version(version).and_then(|entry| entry.change.as_ref()) {
        Some(change) => change.text.clone(),
        None if version == 0 => {
            return Err(Error::Refused("no settings have been published yet".into()));
        }
        None if version == stream.state.version => stream.state.text.clone(),
        None => {
            return Err(Error::Refused(format!(
                "version {version} was never in force, or its record has expired"
            )));
        }
    };
    Ok(report::ok(match common.json {
        true => report::json(&Row { version, text }),
        false if text.ends_with('\n') => text,
        false => format!("{text}\n"),
    }))
}
