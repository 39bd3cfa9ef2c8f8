//! The entry daemon. See `hyssop-router --help`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;

/// Takes callers' requests over HTTP and runs them on the fleet.
///
/// Stops on SIGTERM: it takes no new work, finishes what runs, then exits with 0.
#[derive(Parser)]
#[command(
    version,
    after_help = "Exit codes: 0 stopped or checked, 1 could not start or faults found."
)]
struct Args {
    /// Settings file of this process (INI).
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Only check the settings file.
    #[arg(long)]
    check: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    let process = match node::read(&args.settings) {
        Ok(process) if args.check => {
            println!("{} is a valid settings file for {}", args.settings.display(), process.vm);
            return ExitCode::SUCCESS;
        }
        Ok(process) => process,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::FAILURE;
        }
    };
    node::logs::start(&process.log_level);
    match router::run(process).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("router: {e}");
            ExitCode::FAILURE
        }
    }
}
