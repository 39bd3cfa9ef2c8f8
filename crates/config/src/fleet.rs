//! Settings of the fleet: one set of defaults, and exceptions that each carry a reason.

use std::path::Path;
use std::time::Duration;

use sha2::{Digest, Sha256};

use crate::fault::Faults;
use crate::reader;

mod contract;
pub mod defaults;
mod difference;
mod exception;
mod read;

pub use difference::{Difference, diff};

/// Settings of the fleet as they are in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Fleet {
    /// What holds everywhere.
    pub defaults: Defaults,
    /// Models, sorted by name.
    pub models: Vec<Model>,
    /// Plain services, sorted by name.
    pub services: Vec<Service>,
    /// Workspaces, sorted by name.
    pub workspaces: Vec<Workspace>,
    /// Engines' VMs whose engines check fencing numbers, sorted.
    pub fenced: Vec<String>,
    /// Exceptions, sorted by name.
    pub exceptions: Vec<Exception>,
    /// Hash of each workspace's key and its place in `workspaces`, sorted: a linear search
    /// over hundreds of workspaces on each request would show in the router's time.
    keys: Vec<(String, usize)>,
}

/// What the fleet favours when the two can't both be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Objective {
    /// Throughput against the bound (Dala).
    Throughput,
    /// Recovery time (Tsehay).
    Recovery,
}

/// What holds everywhere but where an exception says otherwise.
#[derive(Debug, Clone, PartialEq)]
pub struct Defaults {
    /// What is favoured.
    pub objective: Objective,
    /// Deadline of a request whose caller names none.
    pub deadline: Duration,
    /// Longest deadline a caller may name.
    pub deadline_max: Duration,
    /// Generated tokens of a draft at most.
    pub max_tokens: u32,
    /// Body of a request in bytes at most.
    pub body_limit: usize,
    /// Requests a workspace may have waiting at a router.
    pub queue_limit: u32,
    /// Silence after which a step is given up and its stage replaced.
    pub step_timeout: Duration,
    /// How often an agent reports at least.
    pub report_interval: Duration,
    /// How long a finished draft can be asked for again.
    pub keep_finished: Duration,
    /// How long the key of a write is remembered; shorter than the log's retention.
    pub key_window: Duration,
    /// How long a fingerprint stays in quarantine.
    pub quarantine: Duration,
    /// How long a daemon that was told to stop waits for its requests.
    pub drain: Duration,
}

/// A model and how it is cut into ranges.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: String,
    /// Version of its weights.
    pub version: u32,
    /// Number of layers.
    pub layers: u32,
    /// First and last layer of each range; together they hold each layer once.
    pub ranges: Vec<(u32, u32)>,
}

/// A plain service and its contract.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Path prefix at the routers, such as `/filing`.
    pub prefix: String,
    /// Routes in the order of the file; the first that fits counts.
    pub routes: Vec<Route>,
}

/// One line of a contract.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// HTTP method.
    pub method: String,
    /// Path without the prefix; `*` stands for one segment.
    pub path: String,
    /// What it promises.
    pub class: Class,
}

/// What a route promises.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Changes nothing.
    ReadOnly,
    /// May be repeated without harm.
    Idempotent,
    /// Must run at most once for each key.
    NonIdempotent,
}

/// Who may ask.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// SHA-256 of its bearer key in lower-case hex.
    pub key_sha256: String,
    /// Weight among the workspaces under load.
    pub share: u32,
    /// Priority of its requests, 0 to 9; higher is served first.
    pub priority: u8,
    /// Deadline of its requests where the caller names none.
    pub deadline: Duration,
    /// Generated tokens of its drafts at most.
    pub max_tokens: u32,
    /// Requests it may have waiting at a router.
    pub queue_limit: u32,
}

/// A departure from the defaults; it is applied when the settings are read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exception {
    /// Its name.
    pub name: String,
    /// `workspace NAME`.
    pub target: String,
    /// Which default.
    pub setting: String,
    /// Its value here.
    pub value: String,
    /// Why.
    pub reason: String,
}

/// Reads and checks a text; `file` names it in faults. Exceptions are already applied.
///
/// ```
/// let text = "[model draft]\nversion = 1\nlayers = 8\nranges = 0-3, 4-7\n";
/// let fleet = config::fleet::parse("fleet.ini", text).unwrap();
/// assert_eq!(fleet.model("draft").unwrap().ranges, [(0, 3), (4, 7)]);
/// ```
pub fn parse(file: &str, text: &str) -> Result<Fleet, Faults> {
    read::fleet(file, text)
}

/// Reads and checks a file.
///
/// ```
/// assert!(config::fleet::load(std::path::Path::new("no-such-file.ini")).is_err());
/// ```
pub fn load(path: &Path) -> Result<Fleet, Faults> {
    parse(&path.display().to_string(), &reader::text(path)?)
}

impl Fleet {
    /// Settings before any were published: no model, no workspace, no service.
    ///
    /// ```
    /// assert!(config::fleet::Fleet::empty().workspace("any key").is_none());
    /// ```
    pub fn empty() -> Fleet {
        Fleet {
            defaults: defaults::new(),
            models: vec![],
            services: vec![],
            workspaces: vec![],
            fenced: vec![],
            exceptions: vec![],
            keys: vec![],
        }
    }

    /// The workspace whose bearer key this is.
    ///
    /// ```
    /// let sha = config::fleet::hash("made-up key");
    /// let text = format!("[workspace almaty-head]\nkey-sha256 = {sha}\n");
    /// let fleet = config::fleet::parse("fleet.ini", &text).unwrap();
    /// assert_eq!(fleet.workspace("made-up key").unwrap().name, "almaty-head");
    /// ```
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        let sha = hash(key);
        let i = self.keys.binary_search_by(|(k, _)| k.as_str().cmp(&sha)).ok()?;
        Some(&self.workspaces[self.keys[i].1])
    }

    /// The model by name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        let i = self.models.binary_search_by(|m| m.name.as_str().cmp(name)).ok()?;
        Some(&self.models[i])
    }

    /// The service whose prefix the path starts with, and the path after the prefix.
    /// The prefix ends where the path ends, or before a `/` or a `?`; of nested prefixes
    /// the longest counts.
    ///
    /// ```
    /// let text = "[service filing]\nprefix = /filing\n";
    /// let fleet = config::fleet::parse("fleet.ini", text).unwrap();
    /// assert_eq!(fleet.service("/filing/filings/7").unwrap().1, "/filings/7");
    /// assert!(fleet.service("/filings").is_none());
    /// ```
    pub fn service<'a>(&self, path: &'a str) -> Option<(&Service, &'a str)> {
        let fits = |service: &&Service| contract::after(&service.prefix, path).is_some();
        let service = self.services.iter().filter(fits).max_by_key(|s| s.prefix.len())?;
        Some((service, contract::after(&service.prefix, path)?))
    }
}

/// SHA-256 of a bearer key in lower-case hex, as `key-sha256` holds it.
///
/// ```
/// assert_eq!(config::fleet::hash("").len(), 64);
/// ```
pub fn hash(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

impl Service {
    /// Class of a call. An unlisted route counts as read-only for GET and HEAD,
    /// and as not idempotent for every other method.
    ///
    /// The query string is not looked at. A HEAD also fits the routes of GET, since servers
    /// run the same handler for both. Routes are compared with plain paths only: each segment
    /// is made of ASCII letters, digits and `-._~:@`, and none is empty, `.` or `..`. Any
    /// other path (`//`, a `/` at the end, percent-encoding, dot segments) fits no route,
    /// because the service may read it as another route than this function would. It counts
    /// as not idempotent, except a GET or HEAD to a service all of whose GET and HEAD routes
    /// are read-only: whichever route the service takes it for, it changes nothing.
    ///
    /// ```
    /// use config::fleet::Class;
    /// let text = "[service notes]\nprefix = /notes\nroute.1 = PUT /notes/* idempotent\n";
    /// let fleet = config::fleet::parse("fleet.ini", text).unwrap();
    /// assert_eq!(fleet.services[0].class("PUT", "/notes/7"), Class::Idempotent);
    /// assert_eq!(fleet.services[0].class("PUT", "/notes//7"), Class::NonIdempotent);
    /// ```
    pub fn class(&self, method: &str, path: &str) -> Class {
        contract::class(self, method, path)
    }
}
