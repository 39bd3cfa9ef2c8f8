//! Settings of the fleet: one set of defaults, and exceptions that each carry a reason.

use std::time::Duration;

use crate::fault::Faults;

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
    /// `workspace NAME` or `vm NAME`.
    pub target: String,
    /// Which default.
    pub setting: String,
    /// Its value here.
    pub value: String,
    /// Why.
    pub reason: String,
}

/// Reads and checks a text; `file` names it in faults. Exceptions are already applied.
pub fn parse(_file: &str, _text: &str) -> Result<Fleet, Faults> {
    todo!("config helper")
}

impl Fleet {
    /// Settings before any were published: no model, no workspace, no service.
    pub fn empty() -> Fleet {
        todo!("config helper")
    }

    /// The workspace whose bearer key this is.
    pub fn workspace(&self, _key: &str) -> Option<&Workspace> {
        todo!("config helper")
    }

    /// The model by name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        let i = self.models.binary_search_by(|m| m.name.as_str().cmp(name)).ok()?;
        Some(&self.models[i])
    }

    /// The service whose prefix the path starts with, and the path after the prefix.
    pub fn service<'a>(&self, _path: &'a str) -> Option<(&Service, &'a str)> {
        todo!("config helper")
    }
}

impl Service {
    /// Class of a call. An unlisted route counts as read-only for GET and HEAD,
    /// and as not idempotent for every other method.
    pub fn class(&self, _method: &str, _path: &str) -> Class {
        todo!("config helper")
    }
}
