//! The daemon that runs beside each backend server. See `hyssop-agent --help`.

use std::process::ExitCode;

use clap::Parser;
use node::daemon;

/// Runs beside one backend server and is the only process that talks to it.
///
/// Stops on SIGTERM: it takes no new work, finishes what runs, then exits with 0.
#[derive(Parser)]
#[command(version, after_help = daemon::EXIT_CODES)]
struct Args {
    #[command(flatten)]
    options: daemon::Options,
}

#[tokio::main]
async fn main() -> ExitCode {
    daemon::launch(Args::parse().options, "agent", agent::run).await
}
