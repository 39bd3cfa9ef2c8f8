//! Reads the stream of settings changes.

use std::time::Duration;

use cloud::log::{Client, Page};
use config::change::{self, Change, State, Verdict};

use crate::error::Error;
use crate::option::Common;
use crate::peer;

const BASE_EXPIRED: &str = "records of the settings stream have expired, so the log alone does \
                            not give the version in force: pass --vms, --tls and --as to query \
                            the VMs";

/// A record of the stream and its verdict.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Offset in the stream.
    pub offset: u64,
    /// Time of the append, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Decoded record; `None` if it does not decode.
    pub change: Option<Change>,
    /// Verdict.
    pub verdict: Verdict,
}

impl Entry {
    /// Returns the version that the record brought or kept in force.
    pub fn version(&self) -> Option<u64> {
        match self.verdict {
            Verdict::Accepted(version) | Verdict::Carried(version) => Some(version),
            _ => None,
        }
    }
}

/// All records that the log still keeps, judged by the rules of the daemons.
#[derive(Debug)]
pub struct Stream {
    /// Settings in force and position in the stream.
    pub state: State,
    /// Records, sorted by offset.
    pub entries: Vec<Entry>,
    log: Client,
}

impl Stream {
    /// Reads the whole stream into memory.
    pub async fn read(common: &Common) -> Result<Stream, Error> {
        let log = common.log()?;
        let mut stream = Stream { state: State::new(), entries: vec![], log };
        while stream.advance(Duration::ZERO).await? {}
        Ok(stream)
    }

    /// Like [`read`](Stream::read), but queries the VMs for the version in force if records
    /// that are needed to judge have expired.
    pub async fn with_peers(common: &Common) -> Result<Stream, Error> {
        let mut stream = Stream::read(common).await?;
        if !stream.state.knows_base() && common.has_peers() {
            stream.adopt_from_vms(common).await?;
        }
        match stream.state.knows_base() || stream.state.version > 0 {
            true => Ok(stream),
            false => Err(Error::Unreachable(BASE_EXPIRED.to_string())),
        }
    }

    /// Reads a page and waits up to `wait` for its first record. Returns false if there is none.
    pub async fn advance(&mut self, wait: Duration) -> Result<bool, Error> {
        let page = match self.log.read(change::STREAM, self.state.next, wait).await {
            // The stream does not exist before its first record.
            Err(e) if e.status() == Some(404) => Page::default(),
            page => page?,
        };
        self.state.skip(page.first);
        for record in &page.records {
            self.judge(record);
        }
        Ok(!page.records.is_empty())
    }

    /// Appends a record.
    pub async fn append(&self, change: &Change) -> Result<u64, rest::Error> {
        let data = serde_json::to_string(change).unwrap_or_default();
        self.log.append(change::STREAM, &data).await
    }

    /// Adopts the highest version in force at the VMs.
    pub async fn adopt_from_vms(&mut self, common: &Common) -> Result<(), Error> {
        for settings in peer::settings(common).await? {
            self.state.adopt(settings.version, &settings.text);
        }
        Ok(())
    }

    /// Returns the first record that brought a version into force or kept it in force.
    pub fn version(&self, version: u64) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.version() == Some(version))
    }

    fn judge(&mut self, record: &cloud::log::Record) {
        self.entries.push(Entry {
            offset: record.offset,
            time_ms: record.time_ms,
            change: serde_json::from_str(&record.data).ok(),
            verdict: Verdict::Pending,
        });
        for (offset, verdict) in self.state.judge_with_pending(record.offset, &record.data) {
            if let Ok(i) = self.entries.binary_search_by_key(&offset, |entry| entry.offset) {
                self.entries[i].verdict = verdict;
            }
        }
    }
}
