//! Settings of the fleet: one set of defaults, and exceptions that each state a reason.

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

/// Settings of the fleet, with exceptions applied.
#[derive(Debug, Clone, PartialEq)]
pub struct Fleet {
    /// Defaults.
    pub defaults: Defaults,
    /// Models, sorted by name.
    pub models: Vec<Model>,
    /// Plain services, sorted by name.
    pub services: Vec<Service>,
    /// Workspaces, sorted by name.
    pub workspaces: Vec<Workspace>,
    /// VMs whose engines check fencing tokens, sorted.
    pub fencing_vms: Vec<String>,
    /// Exceptions, sorted by name.
    pub exceptions: Vec<Exception>,
    /// Hash of each workspace's key and its index in `workspaces`, sorted for binary search: a
    /// linear search through hundreds of workspaces on each request would slow down the router.
    keys: Vec<(String, usize)>,
}

/// Goal that the fleet prefers where two goals conflict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Objective {
    /// Throughput relative to its upper bound (as at Dala).
    Throughput,
    /// Recovery time (as at Tsehay).
    Recovery,
}

/// Values that apply except where an exception overrides them.
#[derive(Debug, Clone, PartialEq)]
pub struct Defaults {
    /// Preferred goal.
    pub objective: Objective,
    /// Deadline of a request whose caller gives none.
    pub deadline: Duration,
    /// Longest deadline that a caller may give.
    pub deadline_max: Duration,
    /// Limit of generated tokens of a draft.
    pub max_tokens: u32,
    /// Limit of the body of a request, in bytes.
    pub body_limit: usize,
    /// Limit of requests of a workspace that wait at one router.
    pub queue_limit: u32,
    /// Time without an answer after which a step is abandoned and its stage replaced.
    pub step_timeout: Duration,
    /// Longest interval between two reports of an agent.
    pub report_interval: Duration,
    /// How long a finished draft can be fetched again.
    pub keep_finished: Duration,
    /// How long the idempotency key of a write is kept; shorter than the log's retention.
    pub key_window: Duration,
    /// How long a fingerprint stays in quarantine.
    pub quarantine: Duration,
    /// How long a daemon that is shutting down waits for its requests.
    pub drain: Duration,
}

/// A model and its division into ranges of layers.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Its name.
    pub name: String,
    /// Version of the weights.
    pub version: u32,
    /// Number of layers.
    pub layers: u32,
    /// First and last layer of each range, in order; each layer is in exactly one range.
    pub ranges: Vec<(u32, u32)>,
}

/// A plain service and its contract, which states what each route promises.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Path prefix at the routers, such as `/filing`.
    pub prefix: String,
    /// Routes in the order of the file; the first match applies.
    pub routes: Vec<Route>,
}

/// A route of a service's contract.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// HTTP method.
    pub method: String,
    /// Path without the prefix; `*` matches one segment.
    pub path: String,
    /// Class of the calls that match.
    pub class: Class,
}

/// Effect of a call, which decides whether it may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Changes nothing.
    ReadOnly,
    /// May run more than once without harm.
    Idempotent,
    /// Must run at most once for each key.
    NonIdempotent,
}

/// A workspace, whose callers may send requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// SHA-256 of the bearer key, in lower-case hex.
    pub key_sha256: String,
    /// Weight in the division of capacity among workspaces under load.
    pub share: u32,
    /// Priority of the requests, 0 to 9; higher is served first.
    pub priority: u8,
    /// Deadline of a request whose caller gives none.
    pub deadline: Duration,
    /// Limit of generated tokens of a draft.
    pub max_tokens: u32,
    /// Limit of requests that wait at one router.
    pub queue_limit: u32,
}

/// An override of a default for one workspace, applied when the settings are read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exception {
    /// Its name.
    pub name: String,
    /// Target, written `workspace NAME`.
    pub target: String,
    /// Name of the setting.
    pub setting: String,
    /// Value of the setting for the target.
    pub value: String,
    /// Reason.
    pub reason: String,
}

/// Reads and checks a text, and applies its exceptions; `file` names it in faults.
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
    parse(&path.display().to_string(), &reader::read_file(path)?)
}

impl Fleet {
    /// Returns the settings in force before any are published, without models, workspaces or services.
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
            fencing_vms: vec![],
            exceptions: vec![],
            keys: vec![],
        }
    }

    /// Returns the workspace with this bearer key.
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

    /// Returns the model with this name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        let i = self.models.binary_search_by(|m| m.name.as_str().cmp(name)).ok()?;
        Some(&self.models[i])
    }

    /// Returns the service whose prefix the path starts with, and the path after the prefix.
    /// A prefix matches up to the end of the path or up to a `/` or `?`; of nested prefixes
    /// the longest applies.
    ///
    /// ```
    /// let text = "[service filing]\nprefix = /filing\n";
    /// let fleet = config::fleet::parse("fleet.ini", text).unwrap();
    /// assert_eq!(fleet.service("/filing/filings/7").unwrap().1, "/filings/7");
    /// assert!(fleet.service("/filings").is_none());
    /// ```
    pub fn service<'a>(&self, path: &'a str) -> Option<(&Service, &'a str)> {
        let matches = |service: &&Service| contract::strip_prefix(&service.prefix, path).is_some();
        let service = self.services.iter().filter(matches).max_by_key(|s| s.prefix.len())?;
        Some((service, contract::strip_prefix(&service.prefix, path)?))
    }
}

/// Returns the SHA-256 of a bearer key in lower-case hex, as in the setting `key-sha256`.
///
/// ```
/// assert_eq!(config::fleet::hash("").len(), 64);
/// ```
pub fn hash(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

impl Service {
    /// Returns the class of a call. A call that matches no route is read-only for GET and HEAD,
    /// and not idempotent for every other method.
    ///
    /// The query string is ignored. A HEAD also matches the routes of GET, since servers run
    /// the same handler for both. Only plain paths are matched with routes: each segment
    /// consists of ASCII letters, digits and `-._~:@`, and none is empty, `.` or `..`. Any
    /// other path (`//`, a `/` at the end, percent-encoding, dot segments) matches no route,
    /// because the service may resolve it to a different route than this function would. It is
    /// treated as not idempotent, except a GET or HEAD to a service whose GET and HEAD routes
    /// are all read-only: whichever route the service resolves it to, it changes nothing.
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
