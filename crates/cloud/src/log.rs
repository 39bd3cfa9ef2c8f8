//! The append-only log service: named streams of text records with offsets.
//!
//! Records are kept for a limited time. An answer can be lost after its append
//! took effect, so a writer settles a lost answer by reading the stream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Place of a record in its stream; grows by one for each record.
pub type Offset = u64;

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its place.
    pub offset: Offset,
    /// When the service took it, in milliseconds since the Unix epoch, by the service's clock.
    pub time_ms: u64,
    /// The text that was appended.
    pub data: String,
}

/// Part of a stream.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Records in order; their offsets follow each other without gaps.
    pub records: Vec<Record>,
    /// Oldest offset still kept. Larger than the offset asked for when records have expired.
    pub first: Offset,
    /// Offset the next appended record will get.
    pub next: Offset,
}

/// Where an append landed.
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
    /// A client for the service at `base`, giving up on each call after `timeout`.
    ///
    /// ```
    /// cloud::log::Client::new("http://127.0.0.1:9000", std::time::Duration::from_secs(2));
    /// ```
    pub fn new(base: &str, timeout: Duration) -> Client {
        Client { http: rest::Client::new(base, timeout) }
    }

    /// Appends one record. 429 when over the service's rate, 503 in an outage.
    /// After [`rest::Error::Lost`] the record may or may not stand in the stream.
    pub async fn append(&self, stream: &str, data: &str) -> Result<Offset, rest::Error> {
        let body = Append { data: data.to_string() };
        let done: Appended = self.http.post(&format!("/v1/streams/{stream}"), &body).await?;
        Ok(done.offset)
    }

    /// Records from `from` on, at most a page. Waits up to `wait` for the first one to come.
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
