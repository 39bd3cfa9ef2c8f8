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
use crate::settings::{Line, Stream};

/// One long poll for the own record.
const POLL: Duration = Duration::from_millis(500);

/// Publish settings; they are in force on every VM within seconds.
///
/// Checks the file, appends a change to the settings stream and succeeds only after reading
/// its own record back as accepted. When another change was faster, nothing changes and it
/// exits with 1. When the outcome is not known (exit 3), the same command with the same
/// --base is safe to repeat: of all changes made from one version at most one is accepted.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example:\n  hyssopctl --log http://127.0.0.1:9000 publish dala.ini \
                        --author asel --reason 'Quarter end' --base 3")]
pub struct Args {
    /// The whole new text.
    file: PathBuf,
    /// Who makes the change.
    #[arg(long)]
    author: String,
    /// Why.
    #[arg(long)]
    reason: String,
    /// Version the text was made from; the one in force when left out.
    #[arg(long, value_name = "V")]
    base: Option<u64>,
    /// Start anew after the whole fleet was gone for longer than the log keeps records, so
    /// that nobody knows the version in force any more. Refused while a VM knows it.
    #[arg(long, conflicts_with = "base")]
    restart: bool,
    /// Seconds to look for the own record.
    #[arg(long, default_value_t = 10, value_name = "SECONDS")]
    wait: u64,
}

/// Checks, appends, and reads back.
pub async fn run(common: &Common, args: Args) -> Result<Report, Error> {
    let text = checked(&args.file)?;
    if args.author.trim().is_empty() || args.reason.trim().is_empty() {
        return Err(Error::Usage("--author and --reason may not be empty".into()));
    }
    if args.restart {
        return restart(common, &args, text).await;
    }
    let mut stream = Stream::with_peers(common).await?;
    let base = args.base.unwrap_or(stream.state.version);
    if stream.state.version > 0 && stream.state.text == text {
        return Ok(done(common, stream.state.version, "is in force already, with the same text"));
    }
    if base != stream.state.version {
        return Err(lost(&stream, base));
    }
    let change = change(&args, base, text);
    let until = Instant::now() + Duration::from_secs(args.wait);
    append(&stream, &change).await?;
    let own = read_back(&mut stream, &change, until).await?;
    match own.verdict {
        Verdict::Accepted(version) => Ok(done(common, version, "is in force")),
        Verdict::Pending => confirm(common, &own, &change, until).await,
        Verdict::Refused(_) if base != stream.state.version => Err(lost(&stream, base)),
        Verdict::Refused(reason) => Err(Error::Refused(reason)),
        Verdict::Carried(_) => Err(unknown("the record was taken for a carried one")),
    }
}

/// Appends a record that says what is in force from its place on. Every process that knows
/// no base takes it up; one that does know refuses it, which is why none may be left.
async fn restart(common: &Common, args: &Args, text: String) -> Result<Report, Error> {
    let mut stream = Stream::read(common).await?;
    let entries = peer::list(common).await?;
    for answer in peer::ask(common, entries, &Command::Settings).await? {
        match answer.tell {
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
    let change = stream.state.anew(&id(), &args.author, &args.reason, &text);
    let until = Instant::now() + Duration::from_secs(args.wait);
    append(&stream, &change).await?;
    match read_back(&mut stream, &change, until).await?.verdict {
        Verdict::Carried(version) => Ok(done(common, version, "is in force")),
        _ => Err(lost(&stream, 0)),
    }
}

#[derive(Debug, Serialize)]
struct Published {
    version: u64,
}

fn done(common: &Common, version: u64, what: &str) -> Report {
    report::ok(match common.json {
        true => report::json(&Published { version }),
        false => format!("version {version} {what}\n"),
    })
}

fn id() -> String {
    uuid::Uuid::now_v7().to_string()
}

fn checked(file: &PathBuf) -> Result<String, Error> {
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

/// Appends the record. Only a call that certainly had no effect is an error here: after a
/// lost answer the record may stand in the stream, and reading settles it.
async fn append(stream: &Stream, change: &Change) -> Result<(), Error> {
    match stream.append(change).await {
        Ok(_) => Ok(()),
        Err(e) if e.unsent() || e.status().is_some() => {
            Err(Error::Unreachable(format!("not published: {e}")))
        }
        Err(_) => Ok(()),
    }
}

/// Reads on until the own record comes by.
async fn read_back(stream: &mut Stream, change: &Change, until: Instant) -> Result<Line, Error> {
    let mut seen = 0;
    let mut trouble = "it is not in the stream yet".to_string();
    loop {
        let own = |line: &&Line| line.change.as_ref().is_some_and(|c| c.id == change.id);
        if let Some(line) = stream.lines[seen..].iter().find(own) {
            return Ok(line.clone());
        }
        seen = stream.lines.len();
        if Instant::now() >= until {
            return Err(unknown(&trouble));
        }
        // The log may fail between the append and this; the outcome is still open then.
        if let Err(e) = stream.advance(POLL).await {
            trouble = e.to_string();
            tokio::time::sleep(POLL).await;
        }
    }
}

/// Where this reader can't judge since records have expired, the VMs tell.
async fn confirm(
    common: &Common,
    own: &Line,
    change: &Change,
    until: Instant,
) -> Result<Report, Error> {
    let version = own.offset + 1;
    while common.has_peers() && Instant::now() < until {
        let told = peer::settings(common).await.unwrap_or_default();
        match told.iter().max_by_key(|settings| settings.version) {
            Some(top) if top.version == version && top.text == change.text => {
                return Ok(done(common, version, "is in force"));
            }
            Some(top) if top.version > version => break,
            _ => tokio::time::sleep(POLL).await,
        }
    }
    Err(unknown("records before it have expired, and no VM has confirmed it"))
}

fn lost(stream: &Stream, base: u64) -> Error {
    let version = stream.state.version;
    let change = stream.version(version).and_then(|line| line.change.as_ref());
    let by = match change {
        Some(c) if c.carried.is_none() => {
            format!(" by {} is in force, made from {}", c.author, c.base)
        }
        _ => " is in force".to_string(),
    };
    Error::Refused(format!(
        "version {version}{by}; yours was made from {base}: look at `hyssopctl diff`"
    ))
}

fn unknown(why: &str) -> Error {
    Error::Unreachable(format!(
        "the outcome is not known: {why}. Look at `hyssopctl audit`; publishing again with the \
         same --base is safe, at most one of the two is accepted"
    ))
}
