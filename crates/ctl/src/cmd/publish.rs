//! Publishes settings.

use std::path::PathBuf;
use std::time::Duration;

use config::change::{Change, Verdict};
use config::fleet;
use serde::Serialize;
use tokio::time::Instant;
use wire::frame::{Command, Frame};

use crate::error::Error;
use crate::option::Common;
use crate::peer;
use crate::report::{self, Report};
use crate::settings::{Entry, Stream};

/// Time of one long poll for the published record, and pause between retries.
const POLL_TIME: Duration = Duration::from_millis(500);

/// Publish settings, which then take effect on every VM within seconds.
///
/// Checks the file, appends a change to the settings stream and succeeds only after it has
/// read the record back as accepted. If another change was accepted first, nothing changes and
/// it exits with 1. If the outcome is not known (exit code 3), it is safe to retry with the
/// same --base: of all changes made from one version at most one is accepted.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example:\n  hyssopctl --log http://127.0.0.1:9000 publish dala.ini \
                        --author asel --reason 'Quarter end' --base 3")]
pub struct Args {
    /// File with the complete new text.
    file: PathBuf,
    /// Author of the change.
    #[arg(long)]
    author: String,
    /// Reason for the change.
    #[arg(long)]
    reason: String,
    /// Version that the text was made from; the one in force if left out.
    #[arg(long, value_name = "V")]
    base: Option<u64>,
    /// Restart the stream after the whole fleet was down for longer than the log keeps records,
    /// so that no VM knows the version in force any more. Refused if a VM knows it.
    #[arg(long, conflicts_with = "base")]
    restart: bool,
    /// Seconds to wait for the record to be read back.
    #[arg(long, default_value_t = 10, value_name = "SECONDS")]
    wait: u64,
}

/// Checks the file, appends the change and reads its record back.
pub async fn run(common: &Common, args: Args) -> Result<Report, Error> {
    let text = read_checked(&args.file)?;
    if args.author.trim().is_empty() || args.reason.trim().is_empty() {
        return Err(Error::Usage("--author and --reason may not be empty".into()));
    }
    if args.restart {
        return restart(common, &args, text).await;
    }
    let mut stream = Stream::with_peers(common).await?;
    let base = args.base.unwrap_or(stream.state.version);
    if stream.state.version > 0 && stream.state.text == text {
        return Ok(published(
            common,
            stream.state.version,
            "is in force already, with the same text",
        ));
    }
    if base != stream.state.version {
        return Err(conflict(&stream, base));
    }
    let change = change(&args, base, text);
    let deadline = Instant::now() + Duration::from_secs(args.wait);
    append(&stream, &change).await?;
    let own = read_back(&mut stream, &change, deadline).await?;
    match own.verdict {
        Verdict::Accepted(version) => Ok(published(common, version, "is in force")),
        Verdict::Pending => confirm(common, &own, &change, deadline).await,
        Verdict::Refused(_) if base != stream.state.version => Err(conflict(&stream, base)),
        Verdict::Refused(reason) => Err(Error::Refused(reason)),
        Verdict::Carried(_) => Err(unknown_outcome("the record was judged as a carried record")),
    }
}

/// Appends a record that restarts the stream. Every process that does not know the base accepts
/// it and every other process refuses it, so no VM may be left that knows the base.
async fn restart(common: &Common, args: &Args, text: String) -> Result<Report, Error> {
    let mut stream = Stream::read(common).await?;
    let entries = peer::list(common).await?;
    for answer in peer::query_all(common, entries, &Command::Settings).await? {
        match answer.result {
            Ok(Frame::Settings(settings)) => {
                stream.state.adopt(settings.version, &settings.text);
            }
            Ok(_) => {}
            Err(e) => return Err(Error::Unreachable(format!("not published: {e}"))),
        }
    }
    if stream.state.knows_base() || stream.state.version > 0 {
        let version = stream.state.version;
        return Err(Error::Refused(format!(
            "version {version} is in force: publish without --restart"
        )));
    }
    let change = stream.state.restart_record(&id(), &args.author, &args.reason, &text);
    let deadline = Instant::now() + Duration::from_secs(args.wait);
    append(&stream, &change).await?;
    match read_back(&mut stream, &change, deadline).await?.verdict {
        Verdict::Carried(version) => Ok(published(common, version, "is in force")),
        _ => Err(conflict(&stream, 0)),
    }
}

#[derive(Debug, Serialize)]
struct Published {
    version: u64,
}

fn published(common: &Common, version: u64, state: &str) -> Report {
    report::ok(match common.json {
        true => report::json(&Published { version }),
        false => format!("version {version} {state}\n"),
    })
}

fn id() -> String {
    uuid::Uuid::now_v7().to_string()
}

fn read_checked(file: &PathBuf) -> Result<String, Error> {
    let text = std::fs::read_to_string(file)
        .map_err(|e| Error::Usage(format!("{}: {e}", file.display())))?;
    match fleet::parse(&file.display().to_string(), &text) {
        Ok(_) => Ok(text),
        Err(faults) => Err(Error::Refused(format!("not published, the file has faults\n{faults}"))),
    }
}

fn change(args: &Args, base: u64, text: String) -> Change {
    Change {
        id: id(),
        base,
        author: args.author.clone(),
        reason: args.reason.clone(),
        text,
        carried: None,
        judged: 0,
    }
}

/// Appends the record. Only a call that certainly had no effect is an error: if the answer is
/// lost, the record may still be in the stream, which reading it back decides.
async fn append(stream: &Stream, change: &Change) -> Result<(), Error> {
    match stream.append(change).await {
        Ok(_) => Ok(()),
        Err(e) if e.unsent() || e.status().is_some() => {
            Err(Error::Unreachable(format!("not published: {e}")))
        }
        Err(_) => Ok(()),
    }
}

/// Reads the stream up to the record of the change.
async fn read_back(
    stream: &mut Stream,
    change: &Change,
    deadline: Instant,
) -> Result<Entry, Error> {
    let mut seen = 0;
    let mut reason = "the record is not in the stream yet".to_string();
    loop {
        let own = |entry: &&Entry| entry.change.as_ref().is_some_and(|c| c.id == change.id);
        if let Some(entry) = stream.entries[seen..].iter().find(own) {
            return Ok(entry.clone());
        }
        seen = stream.entries.len();
        if Instant::now() >= deadline {
            return Err(unknown_outcome(&reason));
        }
        // If the log fails after the append, the outcome is still unknown.
        if let Err(e) = stream.advance(POLL_TIME).await {
            reason = e.to_string();
            tokio::time::sleep(POLL_TIME).await;
        }
    }
}

/// Queries the VMs for the version in force if the record can't be judged because records before
/// it have expired.
async fn confirm(
    common: &Common,
    own: &Entry,
    change: &Change,
    deadline: Instant,
) -> Result<Report, Error> {
    let version = own.offset + 1;
    while common.has_peers() && Instant::now() < deadline {
        let settings = peer::settings(common).await.unwrap_or_default();
        match settings.iter().max_by_key(|settings| settings.version) {
            Some(newest) if newest.version == version && newest.text == change.text => {
                return Ok(published(common, version, "is in force"));
            }
            Some(newest) if newest.version > version => break,
            _ => tokio::time::sleep(POLL_TIME).await,
        }
    }
    Err(unknown_outcome("records before it have expired, and no VM has confirmed it"))
}

fn conflict(stream: &Stream, base: u64) -> Error {
    let version = stream.state.version;
    let change = stream.version(version).and_then(|entry| entry.change.as_ref());
    let by = match change {
        Some(c) if c.carried.is_none() => {
            format!(" by {} is in force, made from {}", c.author, c.base)
        }
        _ => " is in force".to_string(),
    };
    Error::Refused(format!(
        "version {version}{by}; yours was made from {base}: see `hyssopctl diff`"
    ))
}

fn unknown_outcome(why: &str) -> Error {
    Error::Unreachable(format!(
        "the outcome is not known: {why}. See `hyssopctl audit`; publishing again with the \
         same --base is safe, because at most one of the two is accepted"
    ))
}
