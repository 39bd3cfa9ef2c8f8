//! The stream of changes as this operator reads it.

use std::time::Duration;

use cloud::log::{Client, Page};
use config::change::{self, Change, State, Verdict};

use crate::error::Error;
use crate::option::Common;
use crate::peer;

const EXPIRED: &str = "records of the settings stream have expired, so the version in force \
                       can't be told from the log alone: give --vms, --tls and --as to ask the VMs";

/// One record of the stream and what became of it.
#[derive(Debug, Clone)]
pub struct Line {
    /// Its place.
    pub offset: u64,
    /// When the log took it, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// What it says; `None` when it does not decode.
    pub change: Option<Change>,
    /// What became of it.
    pub verdict: Verdict,
}

impl Line {
    /// The version that it brought or kept in force.
    pub fn version(&self) -> Option<u64> {
        match self.verdict {
            Verdict::Accepted(version) | Verdict::Carried(version) => Some(version),
            _ => None,
        }
    }
}

/// All records that are kept, judged as every daemon judges them.
#[derive(Debug)]
pub struct Stream {
    /// What is in force.
    pub state: State,
    /// The records in order.
    pub lines: Vec<Line>,
    log: Client,
}

impl Stream {
    /// Reads the whole stream. Needs memory for all its records.
    pub async fn read(common: &Common) -> Result<Stream, Error> {
        let log = common.log()?;
        let mut stream = Stream { state: State::new(), lines: vec![], log };
        while stream.advance(Duration::ZERO).await? {}
        Ok(stream)
    }

    /// The same; where too much has expired to judge, the VMs are asked what is in force.
    pub async fn with_peers(common: &Common) -> Result<Stream, Error> {
        let mut stream = Stream::read(common).await?;
        if !stream.state.knows_base() && common.has_peers() {
            stream.ask(common).await?;
        }
        match stream.state.knows_base() || stream.state.version > 0 {
            true => Ok(stream),
            false => Err(Error::Unreachable(EXPIRED.to_string())),
        }
    }

    /// Reads a page, waiting up to `wait` for a first record. False when there was none.
    pub async fn advance(&mut self, wait: Duration) -> Result<bool, Error> {
        let page = match self.log.read(change::STREAM, self.state.next, wait).await {
            // The stream comes into being with its first record.
            Err(e) if e.status() == Some(404) => Page::default(),
            page => page?,
        };
        self.state.skip(page.first);
        for record in &page.records {
            self.take(record);
        }
        Ok(!page.records.is_empty())
    }

    /// Appends a record.
    pub async fn append(&self, change: &Change) -> Result<u64, rest::Error> {
        let data = serde_json::to_string(change).unwrap_or_default();
        self.log.append(change::STREAM, &data).await
    }

    /// Takes over the highest version that the VMs have in force.
    pub async fn ask(&mut self, common: &Common) -> Result<(), Error> {
        for settings in peer::settings(common).await? {
            self.state.adopt(settings.version, &settings.text);
        }
        Ok(())
    }

    /// The record that brought a version into force, or one that keeps it.
    pub fn version(&self, version: u64) -> Option<&Line> {
        self.lines.iter().find(|line| line.version() == Some(version))
    }

    fn take(&mut self, record: &cloud::log::Record) {
        self.lines.push(Line {
            offset: record.offset,
            time_ms: record.time_ms,
            change: serde_json::from_str(&record.data).ok(),
            verdict: Verdict::Pending,
        });
        for (offset, verdict) in self.state.judge_with_pending(record.offset, &record.data) {
            if let Ok(i) = self.lines.binary_search_by_key(&offset, |line| line.offset) {
                self.lines[i].verdict = verdict;
            }
        }
    }
}
