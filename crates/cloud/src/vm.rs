//! The platform's VM list. It lags: a VM that is gone may still be listed as live.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// HTTP status of the answer if the list has not changed.
const NOT_MODIFIED: u16 = 304;

/// Name of a VM, usable as a DNS label.
pub type Id = String;

/// Name of a data centre.
pub type DataCentre = String;

/// Which process of the system runs on the VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A router, on an entry VM.
    Router,
    /// An agent, on a backend server's VM.
    Agent,
}

/// State of a VM, as listed by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In service.
    Live,
    /// To be removed: gets no new work.
    Leaving,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the VM.
    pub vm: Id,
    /// Its role.
    pub role: Role,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// IP address and UDP port of the process on it.
    pub address: String,
    /// Live or leaving.
    pub state: State,
}

/// The list with the service's tag of this state of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct List {
    /// All VMs, in order of name.
    pub entries: Vec<Entry>,
    /// The service's `ETag`; empty if it sends none.
    pub tag: String,
}

/// Client of the VM list.
#[derive(Debug, Clone)]
pub struct Client {
    http: rest::Client,
}

impl Client {
    /// Creates a client of the list at `base`; each call fails after `timeout`.
    ///
    /// ```
    /// cloud::vm::Client::new("http://127.0.0.1:9001", std::time::Duration::from_secs(2));
    /// ```
    pub fn new(base: &str, timeout: Duration) -> Client {
        Client { http: rest::Client::new(base, timeout) }
    }

    /// Reads all listed VMs, in order of name.
    pub async fn list(&self) -> Result<Vec<Entry>, rest::Error> {
        self.http.get("/v1/vms").await
    }

    /// Reads the list if its tag is no longer `tag`; returns `None` otherwise. A service without tags
    /// sends the whole list each time.
    pub async fn list_if_changed(&self, tag: &str) -> Result<Option<List>, rest::Error> {
        let if_none_match = [("if-none-match".to_string(), tag.to_string())];
        let headers = if tag.is_empty() { &[][..] } else { &if_none_match[..] };
        let answer = self.http.send("GET", "/v1/vms", headers, Default::default()).await?;
        if answer.status == NOT_MODIFIED {
            return Ok(None);
        }
        let tag = answer.headers.iter().find(|h| h.0.eq_ignore_ascii_case("etag"));
        let tag = tag.map_or(String::new(), |h| h.1.clone());
        let entries = self.http.decoded(&answer)?;
        Ok(Some(List { entries, tag }))
    }
}
