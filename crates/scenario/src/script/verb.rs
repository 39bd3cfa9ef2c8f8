//! The verbs of a script, one a line.

use clap::{Subcommand, ValueEnum};

use super::Switch;
use super::option::*;

/// A verb with its options.
#[derive(Debug, Clone, Subcommand)]
pub enum Verb {
    /// Starts the stand-ins, the engines, the services, their agents and the routers.
    Fleet(Fleet),
    /// Sends drafts.
    Drafts(Drafts),
    /// Sends look-ups to the plain service.
    Lookups(Load),
    /// Sends non-idempotent orders, each with its own key.
    Orders(Orders),
    /// Sends the orders of all earlier `orders` lines again, each through another router.
    Repeats(Repeats),
    /// Sends one draft and checks how it ends.
    Draft(Draft),
    /// Sends one order and checks how it ends.
    Order(Order),
    /// Waits for all background requests.
    Join,
    /// Waits until a number of the script's requests have ended.
    Await {
        /// Number of ended requests.
        #[arg(long)]
        ended: usize,
    },
    /// Waits for a time.
    Sleep {
        /// Milliseconds.
        ms: u64,
    },
    /// Kills the daemon of a VM (SIGKILL).
    Kill {
        /// VM.
        vm: String,
    },
    /// Kills the backend server of a VM (SIGKILL); an engine's history is read just before.
    KillEngine {
        /// VM.
        vm: String,
    },
    /// Starts the killed or stopped processes of a VM.
    Restart {
        /// VM.
        vm: String,
    },
    /// Freezes the daemon of a VM (SIGSTOP).
    Freeze {
        /// VM.
        vm: String,
        /// Freezes its backend server instead.
        #[arg(long)]
        engine: bool,
    },
    /// Continues the frozen processes of a VM (SIGCONT).
    Thaw {
        /// VM.
        vm: String,
    },
    /// Asks the daemon of a VM to stop (SIGTERM) and waits for exit code 0.
    Term {
        /// VM.
        vm: String,
    },
    /// Restarts daemons one after the other; each is ready before the next is stopped.
    Rolling {
        /// Role of the VMs.
        #[arg(value_enum)]
        role: Role,
    },
    /// Adds an engine with its agent on a new VM, which is added to the VM list.
    Add {
        /// Index of the layer range, from 0.
        range: usize,
        /// Starts the engine without layers; the range is the one it is expected to load.
        #[arg(long)]
        spare: bool,
        /// Microseconds per batch.
        #[arg(long, default_value_t = 1000)]
        step_us: u64,
    },
    /// Cuts the links from one VM, data centre or `*` to another, in both directions.
    Cut {
        /// VM, data centre or `*`.
        from: String,
        /// VM, data centre or `*`.
        to: String,
        /// Cuts only this direction.
        #[arg(long)]
        one_way: bool,
    },
    /// Delays, drops or duplicates datagrams from one VM, data centre or `*` to another.
    Delay {
        /// VM, data centre or `*`.
        from: String,
        /// VM, data centre or `*`.
        to: String,
        /// Milliseconds.
        ms: u64,
        /// Share of the datagrams dropped, 0 to 1.
        #[arg(long, default_value_t = 0.0)]
        loss: f64,
        /// Share of the datagrams duplicated, 0 to 1.
        #[arg(long, default_value_t = 0.0)]
        duplicate: f64,
    },
    /// Removes all faults of the links.
    Heal,
    /// Lifts all requests out of quarantine, as an operator.
    Lift,
    /// Injects faults into the log service.
    Log(Log),
    /// Injects faults into the VM list.
    Vms {
        /// Delay after which a change becomes visible, in milliseconds.
        #[arg(long)]
        lag: Option<u64>,
        /// Starts or ends an outage of the list.
        #[arg(long, value_enum)]
        outage: Option<Switch>,
        /// Share of the VMs that the list omits by mistake, 0 to 1.
        #[arg(long)]
        hide: Option<f64>,
    },
    /// Marks a VM as leaving in the VM list and records when it last gets new work.
    Leave {
        /// VM.
        vm: String,
    },
    /// Marks a leaving VM as live again.
    Stay {
        /// VM.
        vm: String,
    },
    /// Injects faults into a plain service.
    Service(Service),
    /// Injects faults into an engine.
    Engine(Engine),
    /// Restarts backend servers that crash, as the init system of a VM does.
    Supervise {
        /// Milliseconds between two checks for crashed backend servers.
        #[arg(long, default_value_t = 200)]
        after: u64,
    },
    /// Publishes a change of one default.
    Publish {
        /// KEY=VALUE.
        change: String,
        /// A second operator publishes this value at the same time.
        #[arg(long)]
        racing: Option<String>,
        /// Expects the publication to fail, as in an outage of the log.
        #[arg(long)]
        fails: bool,
    },
    /// Waits until all running daemons have a new version in force.
    WaitVersion {
        /// Time-out in milliseconds; long, since the time itself is only printed and not checked.
        #[arg(long, default_value_t = 15_000)]
        within: u64,
    },
    /// Checks a statement. The invariants are checked at the end of every script without it.
    Expect {
        /// Statement.
        #[command(subcommand)]
        what: Expect,
    },
    /// Measures the resource usage of the daemons of each role for a time: share of a core,
    /// memory, bytes a second on links and over HTTP.
    Usage {
        /// Seconds.
        #[arg(default_value_t = 20)]
        seconds: u64,
    },
    /// Prints the table so far.
    Table,
}

/// Roles of VMs in `rolling`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Role {
    /// Routers.
    Routers,
    /// Agents of engines and services.
    Agents,
    /// Both, agents first.
    All,
}
