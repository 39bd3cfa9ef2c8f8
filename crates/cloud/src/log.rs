//! The append-only log service: named streams of text records with offsets.
//!
//! Records are kept for a limited time. The answer to an append that took effect can be lost, so a
//! writer has to read the stream to find out whether its record was appended.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Position of a record in its stream; increases by one for each record.
pub type Offset = u64;

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Position in the stream.
    pub offset: Offset,
    /// When the service appended it, in milliseconds since the Unix epoch by the service's clock.
    pub time_ms: u64,
    /// Text of the record.
    pub data: String,
}

/// Part of a stream.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Records in order; their offsets are consecutive.
    pub records: Vec<Record>,
    /// Oldest offset still kept. Higher than the requested offset if records have expired.
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
    /// Creates a client of the service at `base`; each call fails after `timeout`.
    ///
    /// ```
    /// cloud::log::Client::new("http://127.0.0.1:9000", std::time::Duration::from_secs(2));
    /// ```
    pub fn new(base: &str, timeout: Duration) -> Client {
        Client { http: rest::Client::new(base, timeout) }
    }

    /// Appends one record. Fails with status 429 above the service's rate and 503 in an outage. After
    /// [`rest::Error::Lost`] the record may or may not be in the stream.
    pub async fn append(&self, stream: &str, data: &str) -> Result<Offset, rest::Error> {
        let body = Append { data: data.to_string() };
        let done: Appended = self.http.post(&format!("/v1/streams/{stream}"), &body).await?;
        Ok(done.offset)
    }

    /// Reads records from `from` on, at most a page. Waits up to `wait` for the first one.
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
