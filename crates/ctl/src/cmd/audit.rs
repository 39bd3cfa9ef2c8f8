//! Shows the audit trail.

use std::time::Duration;

use cloud::log::Record;
use config::change::Verdict;
use serde::Serialize;

use crate::error::Error;
use crate::option::Common;
use crate::report::{self, Report};
use crate::settings::{Entry, Stream};

/// Streams of the daemons, whose records are shown unchanged.
const DAEMON_STREAMS: [&str; 2] = ["quarantine", "orders"];

/// Show every change with its verdict, author, reason and time.
///
/// Shows the records of the settings stream that the log still keeps, and the daemons' records
/// of quarantined requests and of orders to engines. `pending` means that earlier records have
/// expired, so that the log alone does not give the verdict.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example:\n  hyssopctl --log http://127.0.0.1:9000 audit --limit 20")]
pub struct Args {
    /// Show only the last N records of each stream.
    #[arg(long, value_name = "N")]
    limit: Option<usize>,
}

#[derive(Debug, Serialize)]
struct Row {
    offset: u64,
    time: String,
    verdict: &'static str,
    version: Option<u64>,
    base: Option<u64>,
    author: Option<String>,
    reason: Option<String>,
    refusal: Option<String>,
}

#[derive(Debug, Serialize)]
struct Trail {
    settings: Vec<Row>,
    quarantine: Vec<Record>,
    orders: Vec<Record>,
}

/// Reads the three streams and prints their records.
pub async fn run(common: &Common, args: Args) -> Result<Report, Error> {
    let limit = args.limit.unwrap_or(usize::MAX);
    let stream = Stream::read(common).await?;
    let log = common.log()?;
    let trail = Trail {
        settings: last(&stream.entries, limit).iter().map(row).collect(),
        quarantine: last(&read_all(&log, DAEMON_STREAMS[0]).await?, limit).to_vec(),
        orders: last(&read_all(&log, DAEMON_STREAMS[1]).await?, limit).to_vec(),
    };
    Ok(report::ok(if common.json { report::json(&trail) } else { text(&trail) }))
}

/// Returns all records of a stream that the log still keeps.
pub async fn read_all(log: &cloud::log::Client, stream: &str) -> Result<Vec<Record>, Error> {
    let mut records = vec![];
    let mut from = 0;
    loop {
        let page = match log.read(stream, from, Duration::ZERO).await {
            // A stream without records may not exist.
            Err(e) if e.status() == Some(404) => return Ok(records),
            page => page?,
        };
        match page.records.last() {
            Some(record) => from = record.offset + 1,
            None => return Ok(records),
        }
        records.extend(page.records);
    }
}

fn row(entry: &Entry) -> Row {
    let change = entry.change.as_ref();
    let (verdict, refusal) = match &entry.verdict {
        Verdict::Accepted(_) => ("accepted", None),
        Verdict::Carried(_) => ("carried", None),
        Verdict::Refused(reason) => ("refused", Some(reason.clone())),
        Verdict::Pending => ("pending", None),
    };
    Row {
        offset: entry.offset,
        time: report::utc(entry.time_ms),
        verdict,
        version: entry.version(),
        base: change.map(|c| c.base),
        author: change.map(|c| c.author.clone()),
        reason: change.map(|c| c.reason.clone()),
        refusal,
    }
}

fn text(trail: &Trail) -> String {
    let rows: Vec<Vec<String>> = trail.settings.iter().map(cells).collect();
    let head = ["OFFSET", "TIME", "VERDICT", "VERSION", "BASE", "AUTHOR", "REASON", "REFUSAL"];
    let mut text = report::table(&head, &rows);
    for (stream, records) in
        [(DAEMON_STREAMS[0], &trail.quarantine), (DAEMON_STREAMS[1], &trail.orders)]
    {
        if !records.is_empty() {
            text += &format!("\n{stream}\n");
            let line = |r: &Record| format!("{} {} {}\n", r.offset, report::utc(r.time_ms), r.data);
            text.extend(records.iter().map(line));
        }
    }
    text
}

fn cells(row: &Row) -> Vec<String> {
    let number = |n: Option<u64>| n.map_or_else(|| "-".to_string(), |n| n.to_string());
    let cell = |text: &Option<String>| text.clone().unwrap_or_else(|| "-".to_string());
    // A refusal may list several faults; the table shows the first, JSON shows all.
    let refusal = row.refusal.as_ref().and_then(|r| r.lines().next()).map(String::from);
    vec![
        row.offset.to_string(),
        row.time.clone(),
        row.verdict.to_string(),
        number(row.version),
        number(row.base),
        cell(&row.author),
        cell(&row.reason),
        cell(&refusal),
    ]
}

fn last<T>(items: &[T], limit: usize) -> &[T] {
    &items[items.len().saturating_sub(limit)..]
}
