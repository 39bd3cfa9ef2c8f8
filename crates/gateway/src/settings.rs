//! Fleet settings that operators publish, as the gateway uses them.

use std::time::Duration;

use layers::{Card, Shape};

/// Number of a version. Versions rise in uneven steps.
pub type Version = u64;

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// May run more than once.
    Safe,
    /// May run once at most.
    Unsafe,
    /// A stream that another server may go on with after the last event.
    Resumable,
    /// A stream that may run once at most.
    Stream,
}

impl Class {
    /// Whether a request that may have run may be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Class::Safe | Class::Resumable)
    }
}

/// Rank of a request, 0 first.
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
    /// Its name.
    pub name: String,
    /// The host it belongs to, in lower case.
    pub host: String,
    /// The start of the paths it serves.
    pub prefix: String,
    /// What may be repeated.
    pub class: Class,
    /// Longest time a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, is on time.
    pub goal: Duration,
    /// Longest pause between two events that is on time.
    pub gap: Duration,
    /// Servers one request may be run on.
    pub attempts: u32,
    /// Whether it needs no key.
    pub public: bool,
    /// Its rank.
    pub rank: Rank,
    /// Where its requests go.
    pub targets: Vec<Target>,
}

/// How a model service works.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Sizes of the model.
    pub shape: Shape,
    /// Accelerator types by name, sorted.
    pub cards: Vec<(String, Card)>,
    /// Mean tokens of a request's context while it runs.
    pub mean_context_tokens: f64,
    /// Age of what a server tells of its load when it tells that.
    pub report_lag: Duration,
    /// Time to load all layers.
    pub load_time: Duration,
}

impl Model {
    /// The accelerator type of that name.
    pub fn card(&self, name: &str) -> Option<Card> {
        let at = self.cards.binary_search_by(|(n, _)| n.as_str().cmp(name)).ok()?;
        Some(self.cards[at].1)
    }
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections one of its servers accepts from all callers together.
    pub connections: u32,
    /// How its model is spread, if it has one.
    pub model: Option<Model>,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Time to send a head.
    pub head_time: Duration,
    /// Time a connection may lie idle.
    pub idle: Duration,
}

/// A workspace's key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The key.
    pub key: String,
    /// The workspace that holds it.
    pub workspace: String,
    /// The workspace's rank, if it has one of its own.
    pub rank: Option<Rank>,
}

/// One version of the settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Its number.
    pub version: Version,
    /// Routes by host, the longest prefix first.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: Vec<Service>,
    /// Keys, sorted.
    pub keys: Vec<Key>,
    /// Whether requests need a key at all.
    pub requires_key: bool,
    /// What callers may send.
    pub limits: Limits,
}

impl Settings {
    /// Sorts what is looked up.
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

    /// The route of a host whose prefix is the longest that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let from = self.routes.partition_point(|r| r.host < host);
        self.routes[from..]
            .iter()
            .take_while(|r| r.host == host)
            .find(|r| path.starts_with(&r.prefix))
    }

    /// The service of that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self.services.binary_search_by(|s| s.name.as_str().cmp(name)).ok()?;
        Some(&self.services[at])
    }

    /// The holder of a key.
    pub fn key(&self, key: &str) -> Option<&Key> {
        let at = self.keys.binary_search_by(|k| k.key.as_str().cmp(key)).ok()?;
        Some(&self.keys[at])
    }
}
