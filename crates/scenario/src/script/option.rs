//! The options of the verbs, and the statements of `expect`.

use clap::{Args, Subcommand};

use super::{Span, Switch, span};

/// Verb `fleet`.
#[derive(Debug, Clone, Args)]
pub struct Fleet {
    /// Number of data centres; VMs are assigned to them in turn.
    #[arg(long, default_value_t = 3)]
    pub data_centres: usize,
    /// Number of routers.
    #[arg(long, default_value_t = 3)]
    pub routers: usize,
    /// Number of engines per layer range.
    #[arg(long, default_value_t = 2)]
    pub replicas: usize,
    /// Layer ranges of the engines.
    #[arg(long, value_delimiter = ',', value_parser = span, default_value = "0-3,4-7,8-11")]
    pub ranges: Vec<Span>,
    /// Number of plain services, which share one ledger.
    #[arg(long, default_value_t = 3)]
    pub services: usize,
    /// Microseconds per batch, for the replicas of a range in turn.
    #[arg(long, value_delimiter = ',', default_value = "2000")]
    pub speeds: Vec<u64>,
    /// Microseconds that each position adds to its batch.
    #[arg(long, default_value_t = 50)]
    pub token_us: u64,
    /// Maximum number of steps in a batch.
    #[arg(long, default_value_t = 16)]
    pub batch: u32,
    /// Maximum number of concurrent sessions of an engine.
    #[arg(long, default_value_t = 64)]
    pub slots: u32,
    /// Number of workspaces; each has a key.
    #[arg(long, default_value_t = 3)]
    pub workspaces: usize,
    /// Objective in the settings.
    #[arg(long, default_value = "throughput")]
    pub objective: String,
    /// Maximum number of appends a second to the log.
    #[arg(long, default_value_t = 400)]
    pub rate: u32,
    /// Places a relay in front of each daemon's port, so that links can be cut and delayed.
    #[arg(long)]
    pub links: bool,
    /// VMs whose daemons can't reach the log service.
    #[arg(long, value_delimiter = ',')]
    pub no_log: Vec<String>,
    /// Makes the engines ignore fencing numbers.
    #[arg(long)]
    pub unfenced: bool,
    /// Class of orders in the service contract. `idempotent` shows the effect of a retry
    /// without the protection by the system.
    #[arg(long, default_value = "non-idempotent")]
    pub orders_class: String,
    /// Further defaults in the settings, each KEY=VALUE.
    #[arg(long = "set")]
    pub settings: Vec<String>,
    /// Log level of the daemons.
    #[arg(long, default_value = "info")]
    pub log_level: String,
}

/// Verb `drafts`.
#[derive(Debug, Clone, Args)]
pub struct Drafts {
    /// Number, concurrency and senders of the requests.
    #[command(flatten)]
    pub load: Load,
    /// Number of words of a prompt.
    #[arg(long, value_parser = span, default_value = "5-40")]
    pub prompt_words: Span,
    /// Requested number of tokens.
    #[arg(long, value_parser = span, default_value = "8-32")]
    pub tokens: Span,
}

/// Number, concurrency and senders of requests.
#[derive(Debug, Clone, Args)]
pub struct Load {
    /// Number of requests.
    #[arg(long)]
    pub count: usize,
    /// Maximum number of concurrent requests.
    #[arg(long, default_value_t = 40)]
    pub concurrency: usize,
    /// Number of workspaces that send the requests in turn.
    #[arg(long, default_value_t = 3)]
    pub workspaces: usize,
    /// Number of the first of these workspaces.
    #[arg(long, default_value_t = 1)]
    pub from_workspace: usize,
    /// Milliseconds that each sender waits after an answer, so that the load lasts longer than the
    /// faults.
    #[arg(long, default_value_t = 0)]
    pub every: u64,
    /// Continues with the script at once; `join` waits for the requests.
    #[arg(long)]
    pub background: bool,
    /// Maximum number of retries after "not run" or a lost connection.
    #[arg(long, default_value_t = 40)]
    pub tries: u32,
}

/// Verb `orders`.
#[derive(Debug, Clone, Args)]
pub struct Orders {
    /// Number, concurrency and senders of the requests.
    #[command(flatten)]
    pub load: Load,
    /// Share of the orders that are sent concurrently through a second router with the same key.
    #[arg(long, default_value_t = 0.0)]
    pub repeat_through_other_router: f64,
}

/// Verb `repeats`.
#[derive(Debug, Clone, Args)]
pub struct Repeats {
    /// Maximum number of concurrent requests.
    #[arg(long, default_value_t = 20)]
    pub concurrency: usize,
}

/// Verb `draft`.
#[derive(Debug, Clone, Args)]
pub struct Draft {
    /// Makes the request crash each engine that runs it.
    #[arg(long)]
    pub crash: bool,
    /// Number of times that the caller sends it, each time through another router.
    #[arg(long, default_value_t = 1)]
    pub times: u32,
    /// Number that selects the prompt; lines with the same number send the same prompt.
    #[arg(long)]
    pub number: Option<u64>,
    /// Afterwards another workspace requests it by its id and must get a 404.
    #[arg(long)]
    pub stolen: bool,
    /// Number of words of the prompt.
    #[arg(long, default_value_t = 12)]
    pub prompt_words: u32,
    /// Requested number of tokens.
    #[arg(long, default_value_t = 16)]
    pub tokens: u32,
    /// Expected status of the last answer.
    #[arg(long)]
    pub expect: Option<u16>,
}

/// Verb `order`.
#[derive(Debug, Clone, Args)]
pub struct Order {
    /// Idempotency key.
    #[arg(long)]
    pub key: String,
    /// Body.
    #[arg(long, default_value = "{\"bands\":100}")]
    pub body: String,
    /// Router, from 1.
    #[arg(long, default_value_t = 1)]
    pub router: usize,
    /// Workspace, from 1.
    #[arg(long, default_value_t = 1)]
    pub workspace: usize,
    /// Expected status of the answer; 201 if neither this nor an outcome is given.
    #[arg(long)]
    pub expect: Option<u16>,
    /// Expects a stored answer.
    #[arg(long)]
    pub replayed: bool,
    /// Expected outcome in the refusal.
    #[arg(long)]
    pub outcome: Option<String>,
    /// Continues with the script at once; `join` waits for the order and reports a failed check.
    #[arg(long)]
    pub background: bool,
}

/// Verb `log`.
#[derive(Debug, Clone, Args)]
pub struct Log {
    /// Starts or ends an outage of the log.
    #[arg(long, value_enum)]
    pub outage: Option<Switch>,
    /// Number of next appends whose answers are lost after they took effect.
    #[arg(long)]
    pub lose: Option<u32>,
    /// Number of next appends that are refused with 503.
    #[arg(long)]
    pub refuse: Option<u32>,
    /// Additional delay of each call, in milliseconds.
    #[arg(long)]
    pub delay: Option<u64>,
    /// Number of records retained per stream.
    #[arg(long)]
    pub retain: Option<u64>,
    /// Expires the records of this stream.
    #[arg(long)]
    pub expire: Option<String>,
    /// With `--expire`: only those before this offset.
    #[arg(long)]
    pub before: Option<u64>,
}

/// Verb `service`.
#[derive(Debug, Clone, Args)]
pub struct Service {
    /// VM.
    pub vm: String,
    /// Number of next writes whose answers are lost after they took effect.
    #[arg(long)]
    pub lose: Option<u32>,
    /// Starts or ends an outage of the service.
    #[arg(long, value_enum)]
    pub down: Option<Switch>,
    /// Duration of each call, in milliseconds.
    #[arg(long)]
    pub delay: Option<u64>,
    /// Delay between the recording of a write and its answer, in milliseconds.
    #[arg(long)]
    pub stall: Option<u64>,
    /// Number of next writes that fail.
    #[arg(long)]
    pub fail: Option<u32>,
}

/// Verb `engine`.
#[derive(Debug, Clone, Args)]
pub struct Engine {
    /// VM.
    pub vm: String,
    /// Microseconds per batch.
    #[arg(long)]
    pub step_us: Option<u64>,
    /// Makes the engine accept steps without answering them.
    #[arg(long, value_enum)]
    pub hang: Option<Switch>,
    /// Number of next steps that fail.
    #[arg(long)]
    pub fail: Option<u32>,
}

/// The statements of `expect`.
#[derive(Debug, Clone, Subcommand)]
pub enum Expect {
    /// Share of all requests that were answered correctly.
    Answered {
        /// Minimum share, 0 to 1.
        #[arg(long, default_value_t = 1.0)]
        min: f64,
    },
    /// No answer differs from the expected one.
    Right,
    /// No key ran more than once.
    NoneDoubled,
    /// A key ran this many times.
    Runs {
        /// Key.
        key: String,
        /// Number of runs.
        times: u32,
    },
    /// No request refused as "not run" is in the history of a stand-in.
    #[command(alias = "no-ghosts")]
    NotRunTrue,
    /// Runs per layer and token.
    LayerRuns {
        /// Exact value, to three decimal places.
        value: Option<f64>,
        /// Maximum value.
        #[arg(long)]
        max: Option<f64>,
    },
    /// All running daemons have the same version in force.
    OneVersion,
    /// Number of accepted requests that were cut or lost.
    Cut {
        /// Maximum number.
        #[arg(long, default_value_t = 0)]
        max: usize,
    },
    /// Number of requests with an unknown outcome.
    Unknown {
        /// Maximum number.
        #[arg(long, default_value_t = 0)]
        max: usize,
    },
    /// Number of orders accepted by all engines; the fencing numbers of each engine must increase.
    Loads {
        /// Minimum number.
        #[arg(long, default_value_t = 1)]
        min: usize,
        /// Maximum number.
        #[arg(long)]
        max: usize,
    },
    /// Number of crashes of backend servers.
    Crashes {
        /// Minimum number.
        #[arg(long, default_value_t = 0)]
        min: usize,
        /// Maximum number.
        #[arg(long)]
        max: usize,
    },
    /// A leaving VM got its last new work within a time.
    Left {
        /// VM.
        vm: String,
        /// Milliseconds after `leave`.
        #[arg(long, default_value_t = 5000)]
        within: u64,
    },
    /// The engine of a VM gets new work after it was added or restarted.
    Works {
        /// VM.
        vm: String,
    },
}
