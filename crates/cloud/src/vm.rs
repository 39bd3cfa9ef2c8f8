//! The platform's VM list. It is delayed: a VM may be listed as live after it has gone.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// HTTP status of an unchanged list.
const NOT_MODIFIED: u16 = 304;

/// Name of a VM, usable as a DNS label.
pub type Id = String;

/// Name of a data centre.
pub type DataCentre = String;

/// The process of the system that runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// A router.
    Router,
    /// The agent of a backend server.
    Agent,
}

/// State of a VM, as the platform reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In service.
    Live,
    /// About to be removed; must get no new work.
    Leaving,
}

/// An entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the VM.
    pub vm: Id,
    /// Its role.
    pub role: Role,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// IP address and UDP port of the system's process on the VM.
    pub address: String,
    /// Live or leaving.
    pub state: State,
}

/// The VM list with the tag of this version of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct List {
    /// All VMs, sorted by name.
    pub entries: Vec<Entry>,
    /// `ETag` of the answer; empty if there is none.
    pub tag: String,
}

/// Client of the VM list.
#[derive(Debug, Clone)]
pub struct Client {
    http: rest::Client,
}

impl Client {
    /// Creates a client for the list at `base` whose calls time out after `timeout`.
    ///
    /// ```
    /// cloud::vm::Client::new("http://127.0.0.1:9001", std::time::Duration::from_secs(2));
    /// ```
    pub fn new(base: &str, timeout: Duration) -> Client {
        Client { http: rest::Client::new(base, timeout) }
    }

    /// Returns all listed VMs, sorted by name.
    pub async fn list(&self) -> Result<Vec<Entry>, rest::Error> {
        self.http.get("/v1/vms").await
    }

    /// Returns the list if its tag differs from `tag`, otherwise `None`. A service without
    /// tags returns the whole list each time.
    pub async fn list_if_changed(&self, tag: &str) -> Result<Option<List>, rest::Error> {
        let known = [("if-none-match".to_string(), tag.to_string())];
        let headers = if tag.is_empty() { &[][..] } else { &known[..] };
        let answer = self.http.send("GET", "/v1/vms", headers, Default::default()).await?;
        if answer.status == NOT_MODIFIED {
            return Ok(None);
        }
        let tag = answer.headers.iter().find(|h| h.0.eq_ignore_ascii_case("etag"));
        let tag = tag.map_or(String::new(), |h| h.1.clone());
        let entries = self.http.decode_answer(&answer)?;
        Ok(Some(List { entries, tag }))
    }
}
