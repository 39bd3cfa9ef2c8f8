//! What follows a verb: its options, and the statements of `expect`.

use clap::{Args, Subcommand};

use super::{Span, Switch, span};

/// Verb `fleet`.
#[derive(Debug, Clone, Args)]
pub struct Fleet {
    /// Data centres; VMs are spread over them in turn.
    #[arg(long, default_value_t = 3)]
    pub data_centres: usize,
    /// Routers.
    #[arg(long, default_value_t = 3)]
    pub routers: usize,
    /// Engines for each layer range.
    #[arg(long, default_value_t = 2)]
    pub replicas: usize,
    /// Layer ranges.
    #[arg(long, value_delimiter = ',', value_parser = span, default_value = "0-3,4-7,8-11")]
    pub ranges: Vec<Span>,
    /// Plain services, all of one book.
    #[arg(long, default_value_t = 3)]
    pub services: usize,
    /// Microseconds of a batch step for the replicas of a range, in turn.
    #[arg(long, value_delimiter = ',', default_value = "2000")]
    pub speeds: Vec<u64>,
    /// Microseconds a batch step takes longer for each position in it.
    #[arg(long, default_value_t = 50)]
    pub token_us: u64,
    /// Largest batch of an engine.
    #[arg(long, default_value_t = 16)]
    pub batch: u32,
    /// Sessions an engine holds.
    #[arg(long, default_value_t = 64)]
    pub slots: u32,
    /// Workspaces with a key each.
    #[arg(long, default_value_t = 3)]
    pub workspaces: usize,
    /// What the settings favour.
    #[arg(long, default_value = "throughput")]
    pub objective: String,
    /// Appends a second the log takes.
    #[arg(long, default_value_t = 400)]
    pub rate: u32,
    /// A relay before each daemon's port, so that links can be cut and slowed.
    #[arg(long)]
    pub links: bool,
    /// VMs whose daemons can't reach the log.
    #[arg(long, value_delimiter = ',')]
    pub no_log: Vec<String>,
    /// Engines that ignore fencing numbers.
    #[arg(long)]
    pub unfenced: bool,
    /// What the contract promises for orders. `idempotent` shows what a repeat does
    /// without the system's own protection.
    #[arg(long, default_value = "non-idempotent")]
    pub orders_class: String,
    /// More defaults, KEY=VALUE each.
    #[arg(long = "set")]
    pub settings: Vec<String>,
    /// Log level of the daemons.
    #[arg(long, default_value = "info")]
    pub log_level: String,
}

/// Verb `drafts`.
#[derive(Debug, Clone, Args)]
pub struct Drafts {
    /// How many, how many at once, and from whom.
    #[command(flatten)]
    pub load: Load,
    /// Words of a prompt.
    #[arg(long, value_parser = span, default_value = "5-40")]
    pub prompt_words: Span,
    /// Tokens asked for.
    #[arg(long, value_parser = span, default_value = "8-32")]
    pub tokens: Span,
}

/// How many requests, and how they come.
#[derive(Debug, Clone, Args)]
pub struct Load {
    /// Requests.
    #[arg(long)]
    pub count: usize,
    /// At once.
    #[arg(long, default_value_t = 40)]
    pub concurrency: usize,
    /// Workspaces that send them in turn.
    #[arg(long, default_value_t = 3)]
    pub workspaces: usize,
    /// The first of these workspaces.
    #[arg(long, default_value_t = 1)]
    pub from_workspace: usize,
    /// Milliseconds that each sender waits after an answer, so that the load outlasts the faults.
    #[arg(long, default_value_t = 0)]
    pub every: u64,
    /// Goes on with the script at once; `join` waits.
    #[arg(long)]
    pub background: bool,
    /// How often a caller comes back after "not run" or a lost connection.
    #[arg(long, default_value_t = 40)]
    pub tries: u32,
}

/// Verb `orders`.
#[derive(Debug, Clone, Args)]
pub struct Orders {
    /// How many, how many at once, and from whom.
    #[command(flatten)]
    pub load: Load,
    /// Part of the orders that are sent again with their key through another router at the same time.
    #[arg(long, default_value_t = 0.0)]
    pub repeat_through_other_router: f64,
}

/// Verb `repeats`.
#[derive(Debug, Clone, Args)]
pub struct Repeats {
    /// At once.
    #[arg(long, default_value_t = 20)]
    pub concurrency: usize,
}

/// Verb `draft`.
#[derive(Debug, Clone, Args)]
pub struct Draft {
    /// The request crashes each engine that runs it.
    #[arg(long)]
    pub crash: bool,
    /// How often its caller sends it, each time through another router.
    #[arg(long, default_value_t = 1)]
    pub times: u32,
    /// Number of its text; lines with the same one send the same text.
    #[arg(long)]
    pub number: Option<u64>,
    /// Another workspace asks for it by its id afterwards and must be told that there is none.
    #[arg(long)]
    pub stolen: bool,
    /// Words of the prompt.
    #[arg(long, default_value_t = 12)]
    pub prompt_words: u32,
    /// Tokens asked for.
    #[arg(long, default_value_t = 16)]
    pub tokens: u32,
    /// Status the last answer must have.
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
    /// Status the answer must have; 201 when neither this nor an outcome is named.
    #[arg(long)]
    pub expect: Option<u16>,
    /// The answer must be one that was stored.
    #[arg(long)]
    pub replayed: bool,
    /// The refusal must name this outcome.
    #[arg(long)]
    pub outcome: Option<String>,
    /// Goes on with the script at once; `join` waits and states what did not hold.
    #[arg(long)]
    pub background: bool,
}

/// Verb `log`.
#[derive(Debug, Clone, Args)]
pub struct Log {
    /// Takes the log down or up.
    #[arg(long, value_enum)]
    pub outage: Option<Switch>,
    /// The next answers to appends are lost after they took effect.
    #[arg(long)]
    pub lose: Option<u32>,
    /// The next appends are refused with 429.
    #[arg(long)]
    pub refuse: Option<u32>,
    /// Milliseconds each call takes longer.
    #[arg(long)]
    pub delay: Option<u64>,
    /// Records kept of each stream.
    #[arg(long)]
    pub retain: Option<u64>,
    /// Lets the records of this stream expire.
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
    /// The next answers are lost after the write took effect.
    #[arg(long)]
    pub lose: Option<u32>,
    /// Takes the service down or up.
    #[arg(long, value_enum)]
    pub down: Option<Switch>,
    /// Milliseconds of each call.
    #[arg(long)]
    pub delay: Option<u64>,
    /// Milliseconds the service stands still.
    #[arg(long)]
    pub stall: Option<u64>,
    /// The next calls fail.
    #[arg(long)]
    pub fail: Option<u32>,
}

/// Verb `engine`.
#[derive(Debug, Clone, Args)]
pub struct Engine {
    /// VM.
    pub vm: String,
    /// Microseconds of a batch step.
    #[arg(long)]
    pub step_us: Option<u64>,
    /// The engine takes steps and never answers.
    #[arg(long, value_enum)]
    pub hang: Option<Switch>,
    /// The next steps fail.
    #[arg(long)]
    pub fail: Option<u32>,
}

/// What `expect` can state.
#[derive(Debug, Clone, Subcommand)]
pub enum Expect {
    /// Part of all requests that were answered right.
    Answered {
        /// At least this part, 0 to 1.
        #[arg(long, default_value_t = 1.0)]
        min: f64,
    },
    /// No answer differs from the one computed straight through.
    Right,
    /// No key ran more than once.
    NoneDoubled,
    /// A key ran so many times.
    Runs {
        /// Key.
        key: String,
        /// Times.
        times: u32,
    },
    /// Nothing that was told "not run" stands in a book.
    #[command(alias = "no-ghosts")]
    NotRunTrue,
    /// Runs of each layer for each token.
    LayerRuns {
        /// Exactly this, to three places.
        value: Option<f64>,
        /// At most this.
        #[arg(long)]
        max: Option<f64>,
    },
    /// All daemons that live have the same version in force.
    OneVersion,
    /// At most this many accepted requests were cut or lost.
    Cut {
        /// At most.
        #[arg(long, default_value_t = 0)]
        max: usize,
    },
    /// At most this many requests ended as unknown.
    Unknown {
        /// At most.
        #[arg(long, default_value_t = 0)]
        max: usize,
    },
    /// Orders that all engines took, each engine with rising fencing numbers.
    Loads {
        /// At least.
        #[arg(long, default_value_t = 1)]
        min: usize,
        /// At most.
        #[arg(long)]
        max: usize,
    },
    /// Backend servers that crashed by themselves.
    Crashes {
        /// At least.
        #[arg(long, default_value_t = 0)]
        min: usize,
        /// At most.
        #[arg(long)]
        max: usize,
    },
    /// A leaving VM got its last new work within this time.
    Left {
        /// VM.
        vm: String,
        /// Milliseconds from `leave`.
        #[arg(long, default_value_t = 5000)]
        within: u64,
    },
    /// A VM has run new work since it was added or restarted.
    Works {
        /// VM.
        vm: String,
    },
}
