//! The append-only log service: named streams of text records with offsets.
//!
//! Records are retained for a limited time. The answer to an append can be lost after the
//! append took effect, so a writer resolves a lost answer by reading the stream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Position of a record in its stream; increases by one with each record.
pub type Offset = u64;

/// A record of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its offset.
    pub offset: Offset,
    /// Time of the append by the service's clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Appended text.
    pub data: String,
}

/// Part of a stream.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Records in order; their offsets are consecutive.
    pub records: Vec<Record>,
    /// Oldest offset retained. Greater than the requested offset if records have expired.
    pub first: Offset,
    /// Offset of the next record to be appended.
    pub next: Offset,
}

/// Answer to an append.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the record.
    pub offset: Offset,
}

/// Body of an append.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Append {
    /// Text of the record.
    pub data: String,
}

/// Client of the log service.
#[derive(Debug, Clone)]
pub struct Client {
    http: rest::Client,
}

impl Client {
    /// Creates a client for the service at `base` whose calls time out after `timeout`.
    ///
    /// ```
    /// cloud::log::Client::new("http://127.0.0.1:9000", std::time::Duration::from_secs(2));
    /// ```
    pub fn new(base: &str, timeout: Duration) -> Client {
        Client { http: rest::Client::new(base, timeout) }
    }

    /// Appends a record. The service answers 429 over its rate limit and 503 in an outage.
    /// After [`rest::Error::Lost`] the record may or may not be in the stream.
    pub async fn append(&self, stream: &str, data: &str) -> Result<Offset, rest::Error> {
        let body = Append { data: data.to_string() };
        let done: Appended = self.http.post(&format!("/v1/streams/{stream}"), &body).await?;
        Ok(done.offset)
    }

    /// Returns up to a page of records from `from` on. Waits up to `wait` if there is none.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<Page, rest::Error> {
        let path = format!("/v1/streams/{stream}?from={from}&wait_ms={}", wait.as_millis());
        self.http.with_timeout(wait + Duration::from_secs(2)).get(&path).await
    }
}
