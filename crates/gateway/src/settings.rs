//! Fleet settings that operators publish, as the gateway uses them.

use std::time::Duration;

use layers::{Card, Shape};

/// Number of a version. Versions rise in uneven steps.
pub type Version = u64;

/// Whether a request may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// May run more than once.
    Safe,
    /// May run once at most.
    Unsafe,
    /// A stream that another server may continue after the last event.
    Resumable,
    /// A stream that may run once at most.
    Stream,
}

impl Class {
    /// Whether a request that may have run may be retried.
    pub fn is_retryable(self) -> bool {
        matches!(self, Class::Safe | Class::Resumable)
    }
}

/// Priority rank of a request; 0 comes first.
pub type Rank = u8;

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: String,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// The host it belongs to, in lower case.
    pub host: String,
    /// Prefix of the paths it serves.
    pub prefix: String,
    /// Whether its requests may be retried.
    pub class: Class,
    /// Longest time that a caller waits.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, is on time.
    pub goal: Duration,
    /// Longest pause between two events that is on time.
    pub gap: Duration,
    /// Number of servers on which one request may be run.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Priority rank of its requests.
    pub rank: Rank,
    /// The services that its requests go to.
    pub targets: Vec<Target>,
}

/// A model and the accelerators that serve it.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Dimensions of the model.
    pub shape: Shape,
    /// Accelerator types by name, sorted.
    pub cards: Vec<(String, Card)>,
    /// Mean tokens of a request's context while it runs.
    pub mean_context_tokens: f64,
    /// Age that a server's reported load has when it is reported.
    pub report_lag: Duration,
    /// Time to load all layers.
    pub load_time: Duration,
}

impl Model {
    /// Returns the accelerator type with that name.
    pub fn card(&self, name: &str) -> Option<Card> {
        let at = self.cards.binary_search_by(|(n, _)| n.as_str().cmp(name)).ok()?;
        Some(self.cards[at].1)
    }
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of the health checks of its servers, if they answer any.
    pub health: Option<String>,
    /// Number of connections that one of its servers accepts from all callers together.
    pub connections: u32,
    /// The model that is distributed over its servers, if it has one.
    pub model: Option<Model>,
}

/// Limits on what a caller may send, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Time to send a head.
    pub head_time: Duration,
    /// Time for which a connection may be idle.
    pub idle: Duration,
}

/// A workspace's key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The key.
    pub key: String,
    /// The workspace that holds it.
    pub workspace: String,
    /// The workspace's priority rank, if it has its own.
    pub rank: Option<Rank>,
}

/// One version of the settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Number of the version.
    pub version: Version,
    /// Routes by host, the longest prefix first.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: Vec<Service>,
    /// Keys, sorted.
    pub keys: Vec<Key>,
    /// Whether requests need a key.
    pub requires_key: bool,
    /// Limits on what callers may send.
    pub limits: Limits,
}

impl Settings {
    /// Sorts routes, services and keys for look-ups.
    pub fn sorted(mut self) -> Settings {
        self.routes.sort_by(|a, b| {
            a.host
                .cmp(&b.host)
                .then(b.prefix.len().cmp(&a.prefix.len()))
                .then(a.prefix.cmp(&b.prefix))
        });
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.keys.sort();
        self
    }

    /// Returns the host's route with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let from = self.routes.partition_point(|r| r.host < host);
        self.routes[from..]
            .iter()
            .take_while(|r| r.host == host)
            .find(|r| path.starts_with(&r.prefix))
    }

    /// Returns the service with that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self.services.binary_search_by(|s| s.name.as_str().cmp(name)).ok()?;
        Some(&self.services[at])
    }

    /// Returns the entry of a key.
    pub fn key(&self, key: &str) -> Option<&Key> {
        let at = self.keys.binary_search_by(|k| k.key.as_str().cmp(key)).ok()?;
        Some(&self.keys[at])
    }
}
