//! The entry daemon. See `hyssop-router --help`.

use std::process::ExitCode;

use clap::Parser;
use node::daemon;

/// Accepts callers' requests over HTTP and runs them on the fleet.
///
/// Stops on SIGTERM: reports itself as not ready, finishes requests in progress, exits with 0.
#[derive(Parser)]
#[command(version, after_help = daemon::EXIT_CODES)]
struct Args {
    #[command(flatten)]
    options: daemon::Options,
}

#[tokio::main]
async fn main() -> ExitCode {
    daemon::launch(Args::parse().options, "router", router::run).await
}
