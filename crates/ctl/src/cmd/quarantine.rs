//! Shows requests that crashed engines, and lifts their quarantine.

use std::time::Duration;

use clap::Subcommand;
use cloud::log::{Client, Record as LogRecord};
use serde::Serialize;
use wire::quarantine::{self, MAX_RECORD_DELAY, Record, Running, STREAM};

use crate::error::Error;
use crate::option::Common;
use crate::report::{self, Report};

/// How long the appended record is looked for if the answer to the append was lost.
const READ_BACK_TIME: Duration = Duration::from_secs(2);

/// Show requests that crashed engines, or allow one to run again.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example:\n  \
    hyssopctl --log http://127.0.0.1:9000 quarantine lift 00f3a1b2c4d5e6f7 --author asel \
    --reason 'engine fixed'")]
pub struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Show suspects, which run alone only, and requests that all VMs refuse. Requests whose
    /// quarantine time (`quarantine` in the settings) has passed are shown until their records
    /// expire.
    List,
    /// Allow a request to run again on all VMs.
    Lift {
        /// Fingerprint of the request, as shown by `list`.
        fingerprint: String,
        /// Author of the decision.
        #[arg(long)]
        author: String,
        /// Reason for the decision.
        #[arg(long)]
        reason: String,
    },
}

#[derive(Debug, Clone, Serialize)]
struct Row {
    fingerprint: String,
    state: &'static str,
    since: String,
    vm: String,
    request: String,
    tag: String,
}

/// Reads the stream, or appends a record that lifts the quarantine of a request.
pub async fn run(common: &Common, args: Args) -> Result<Report, Error> {
    let log = common.log()?;
    match args.command {
        Command::List => list(common, &log).await,
        Command::Lift { fingerprint, author, reason } => {
            if quarantine::parse_fingerprint(&fingerprint).is_none() {
                let why = format!(
                    "'{fingerprint}' is not a fingerprint, which has 16 hexadecimal digits"
                );
                return Err(Error::Usage(why));
            }
            let rows = rows(&records(&log).await?);
            if !rows.iter().any(|r| r.fingerprint == fingerprint) {
                return Err(Error::Refused(format!("{fingerprint} is not in quarantine")));
            }
            lift(&log, Record::Lifted { fingerprint, author, reason }).await
        }
    }
}

async fn list(common: &Common, log: &Client) -> Result<Report, Error> {
    let rows = rows(&records(log).await?);
    let cells = |r: &Row| {
        [&r.fingerprint, r.state, &r.since, &r.vm, &r.request, &r.tag].map(String::from).to_vec()
    };
    Ok(report::ok(match common.json {
        true => report::json(&rows),
        false => {
            let head = ["FINGERPRINT", "STATE", "SINCE", "VM", "REQUEST", "CONTENT"];
            report::table(&head, &rows.iter().map(cells).collect::<Vec<_>>())
        }
    }))
}

async fn lift(log: &Client, record: Record) -> Result<Report, Error> {
    let data = serde_json::to_string(&record).unwrap_or_default();
    let next = records(log).await?.last().map_or(0, |r| r.offset + 1);
    if let Err(e) = log.append(STREAM, &data).await {
        // The answer may be lost although the record was appended.
        let page = log.read(STREAM, next, READ_BACK_TIME).await?;
        if !page.records.iter().any(|r| r.data == data) {
            return Err(Error::Unreachable(format!("not lifted: {e}")));
        }
    }
    Ok(report::ok("lifted\n".to_string()))
}

async fn records(log: &Client) -> Result<Vec<LogRecord>, Error> {
    super::audit::read_all(log, STREAM).await
}

/// Returns the requests in quarantine by the records, sorted by fingerprint.
fn rows(records: &[LogRecord]) -> Vec<Row> {
    let mut rows: Vec<Row> = Vec::new();
    let mut cleared: Vec<(String, u64)> = Vec::new();
    for record in records {
        match serde_json::from_str(&record.data) {
            Ok(Record::Crashed { vm, suspects, refused, .. }) => {
                let row = |state, r: &Running| Row {
                    fingerprint: r.fingerprint.clone(),
                    state,
                    since: report::utc(record.time_ms),
                    vm: vm.clone(),
                    request: r.request.clone(),
                    tag: r.tag.clone(),
                };
                let late_ms = MAX_RECORD_DELAY.as_millis() as u64;
                cleared.retain(|(_, at)| at + late_ms > record.time_ms);
                let not_cleared = |r: &&Running| !cleared.iter().any(|(f, _)| *f == r.fingerprint);
                suspects
                    .iter()
                    .filter(not_cleared)
                    .for_each(|r| upsert(&mut rows, row("suspect", r)));
                refused.iter().for_each(|r| upsert(&mut rows, row("refused", r)));
            }
            Ok(Record::Cleared { fingerprints, .. }) => {
                cleared.extend(fingerprints.iter().map(|f| (f.clone(), record.time_ms)));
                rows.retain(|r| r.state == "refused" || !fingerprints.contains(&r.fingerprint));
            }
            Ok(Record::Lifted { fingerprint, .. }) => rows.retain(|r| r.fingerprint != fingerprint),
            // `audit` shows records that do not decode.
            Err(_) => {}
        }
    }
    rows
}

/// Inserts a row or replaces the one of the same fingerprint; a suspect does not replace a refused request.
fn upsert(rows: &mut Vec<Row>, row: Row) {
    match rows.binary_search_by(|r| r.fingerprint.cmp(&row.fingerprint)) {
        Ok(i) if rows[i].state == "refused" && row.state == "suspect" => {}
        Ok(i) => rows[i] = row,
        Err(i) => rows.insert(i, row),
    }
}
