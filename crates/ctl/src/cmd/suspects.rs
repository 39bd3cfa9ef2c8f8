//! Shows what a gateway refuses or suspects of crashing backend servers, and lifts it.

use std::time::Duration;

use clap::Subcommand;
use serde::Serialize;

use crate::error::Error;
use crate::option::Common;
use crate::report::{self, Report};

/// Time limit of a call to a gateway.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Show what a gateway refuses because it crashes backend servers, or allow it to run again.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example:\n  \
    hyssopctl suspects --gateway http://127.0.0.1:7340 lift 00f3a1b2c4d5e6f7")]
pub struct Args {
    /// Metrics address of a gateway, http://IP:PORT.
    #[arg(long, value_name = "URL")]
    gateway: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Show contents and parts of prompts that are refused, or that run alone only.
    List,
    /// Allow a content or part to run again at all gateways.
    Lift {
        /// Its fingerprint, as shown by `list`.
        fingerprint: String,
    },
}

/// A content or part as the gateway's page describes it.
#[derive(Debug, Clone, PartialEq, Serialize)]
struct Row {
    kind: String,
    fingerprint: String,
    description: String,
}

impl Row {
    /// Parses a line such as `part=00f3a1b2c4d5e6f7 verdict=Alone servers_ended=2`.
    fn parse(line: &str) -> Option<Row> {
        let (name, description) = line.split_once(' ')?;
        let (kind, fingerprint) = name.split_once('=')?;
        let [kind, fingerprint, description] =
            [kind, fingerprint, description].map(|text| text.trim().to_owned());
        Some(Row { kind, fingerprint, description })
    }
}

/// Reads the page of the gateway, or has it lift one entry.
pub async fn run(common: &Common, args: Args) -> Result<Report, Error> {
    let gateway = rest::Client::new(&args.gateway, CALL_TIMEOUT);
    match args.command {
        Command::List => {
            let answer = gateway.send("GET", "/quarantine", &[], Default::default()).await?;
            if answer.status != 200 {
                return Err(unexpected(&gateway, answer.status));
            }
            let text = String::from_utf8_lossy(&answer.body);
            let rows: Vec<Row> = text.lines().filter_map(Row::parse).collect();
            Ok(report::ok(match common.json {
                true => report::json(&rows),
                false => {
                    let cells = |r: &Row| {
                        [&r.kind, &r.fingerprint, &r.description].map(String::from).to_vec()
                    };
                    let cells: Vec<Vec<String>> = rows.iter().map(cells).collect();
                    report::table(&["KIND", "FINGERPRINT", "STATE"], &cells)
                }
            }))
        }
        Command::Lift { fingerprint } => {
            let path = format!("/quarantine/{fingerprint}");
            match gateway.send("DELETE", &path, &[], Default::default()).await?.status {
                200 => Ok(report::ok("lifted\n".to_owned())),
                404 => {
                    Err(Error::Refused(format!("{fingerprint} is neither refused nor suspected")))
                }
                status => Err(unexpected(&gateway, status)),
            }
        }
    }
}

fn unexpected(gateway: &rest::Client, status: u16) -> Error {
    Error::Unreachable(format!("{} answers with status {status}", gateway.base()))
}
