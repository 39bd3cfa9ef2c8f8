//! The verbs of a script, one a line.

use clap::{Subcommand, ValueEnum};

use super::Switch;
use super::option::*;

/// Everything a line can say.
#[derive(Debug, Clone, Subcommand)]
pub enum Verb {
    /// Starts the stand-ins, the engines, the services, their agents and the routers.
    Fleet(Fleet),
    /// Sends drafts.
    Drafts(Drafts),
    /// Sends look-ups to the plain service.
    Lookups(Load),
    /// Sends non-idempotent orders, each with a key of its own.
    Orders(Orders),
    /// Sends the orders of all earlier `orders` lines again, each through another router.
    Repeats(Repeats),
    /// Sends one draft and says how it must end.
    Draft(Draft),
    /// Sends one order and says how it must end.
    Order(Order),
    /// Waits for all background work.
    Join,
    /// Waits until this many requests sent by the script have ended.
    Await {
        /// Requests that must have ended.
        #[arg(long)]
        ended: usize,
    },
    /// Waits.
    Sleep {
        /// Milliseconds.
        ms: u64,
    },
    /// Kills the daemon of a VM at once (SIGKILL).
    Kill {
        /// VM.
        vm: String,
    },
    /// Kills the backend server of a VM at once (SIGKILL); its history are read just before.
    KillEngine {
        /// VM.
        vm: String,
    },
    /// Starts what was killed or stopped on a VM.
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
    /// Lets a frozen VM go on (SIGCONT).
    Thaw {
        /// VM.
        vm: String,
    },
    /// Asks the daemon of a VM to stop (SIGTERM) and waits for exit code 0.
    Term {
        /// VM.
        vm: String,
    },
    /// Stops and starts daemons one after the other, each ready again before the next.
    Rolling {
        /// Role of the VMs.
        #[arg(value_enum)]
        role: Role,
    },
    /// Starts one more engine with its agent; its VM enters the list.
    Add {
        /// Number of the layer range, from 0.
        range: usize,
        /// The engine holds nothing; the range is the one it is expected to load.
        #[arg(long)]
        spare: bool,
        /// Microseconds of a batch step.
        #[arg(long, default_value_t = 1000)]
        step_us: u64,
    },
    /// Cuts the links from one VM, data centre or `*` to another, both ways.
    Cut {
        /// VM, data centre or `*`.
        from: String,
        /// VM, data centre or `*`.
        to: String,
        /// Cuts only this way.
        #[arg(long)]
        one_way: bool,
    },
    /// Slows, thins or doubles the datagrams from one VM, data centre or `*` to another.
    Delay {
        /// VM, data centre or `*`.
        from: String,
        /// VM, data centre or `*`.
        to: String,
        /// Milliseconds.
        ms: u64,
        /// Part of the datagrams lost, 0 to 1.
        #[arg(long, default_value_t = 0.0)]
        loss: f64,
        /// Part of the datagrams doubled, 0 to 1.
        #[arg(long, default_value_t = 0.0)]
        duplicate: f64,
    },
    /// Takes all faults off the links.
    Heal,
    /// An operator lifts all requests out of quarantine.
    Lift,
    /// Faults of the log service.
    Log(Log),
    /// Faults of the VM list.
    Vms {
        /// Milliseconds by which the list lags.
        #[arg(long)]
        lag: Option<u64>,
        /// Takes the list down or up.
        #[arg(long, value_enum)]
        outage: Option<Switch>,
        /// Part of the VMs that the list lacks by mistake, 0 to 1.
        #[arg(long)]
        hide: Option<f64>,
    },
    /// Marks a VM as leaving in the VM list and watches when it last gets new work.
    Leave {
        /// VM.
        vm: String,
    },
    /// Marks a leaving VM as live again.
    Stay {
        /// VM.
        vm: String,
    },
    /// Faults of a plain service.
    Service(Service),
    /// Faults of an engine.
    Engine(Engine),
    /// Restarts backend servers that crash by themselves, as a VM's own init does.
    Supervise {
        /// Milliseconds from the crash to the start.
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
        /// The publication must fail, as in an outage of the log.
        #[arg(long)]
        fails: bool,
    },
    /// Waits until all daemons that live have the newest version in force.
    WaitVersion {
        /// Milliseconds at most; generous, since the time itself is only printed.
        #[arg(long, default_value_t = 15_000)]
        within: u64,
    },
    /// States what must hold; the end of a script states the invariants by itself.
    Expect {
        /// What.
        #[command(subcommand)]
        what: Expect,
    },
    /// Waits, then notes what the daemons of each role cost meanwhile: part of a core,
    /// memory, bytes a second on links and by HTTP.
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
