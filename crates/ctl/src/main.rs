//! The operators' command line: checks and publishes settings, and shows the state of the fleet.

use std::io::Write;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

mod cmd;
mod error;
mod option;
mod peer;
mod report;
mod settings;

/// Check and publish settings, and show the state of the fleet.
///
/// Exit codes: 0 ok; 1 faults found, or refused; 2 wrong usage; 3 a service or VM could not be
/// reached, or the outcome is not known.
#[derive(Debug, Parser)]
#[command(name = "hyssopctl", version, after_help = EXAMPLES)]
struct Args {
    #[command(flatten)]
    common: option::Common,
    #[command(subcommand)]
    command: Command,
}

const EXAMPLES: &str = "\
Examples:
  hyssopctl check dala.ini
  hyssopctl --log http://127.0.0.1:9000 diff dala.ini
  hyssopctl --log http://127.0.0.1:9000 publish dala.ini --author asel --reason 'Quarter end'
  hyssopctl --vms http://127.0.0.1:9001 --tls certs --as operator status";

#[derive(Debug, Subcommand)]
enum Command {
    Check(cmd::check::Args),
    Certs(cmd::certs::Args),
    Publish(cmd::publish::Args),
    Show(cmd::show::Args),
    Diff(cmd::diff::Args),
    Audit(cmd::audit::Args),
    Quarantine(cmd::quarantine::Args),
    Status(cmd::status::Args),
    Suspects(cmd::suspects::Args),
    Explain(cmd::explain::Args),
}

#[tokio::main]
async fn main() -> ExitCode {
    let Args { common, command } = Args::parse();
    let result = match command {
        Command::Check(args) => cmd::check::run(&common, args),
        Command::Certs(args) => cmd::certs::run(&common, args),
        Command::Publish(args) => cmd::publish::run(&common, args).await,
        Command::Show(args) => cmd::show::run(&common, args).await,
        Command::Diff(args) => cmd::diff::run(&common, args).await,
        Command::Audit(args) => cmd::audit::run(&common, args).await,
        Command::Quarantine(args) => cmd::quarantine::run(&common, args).await,
        Command::Status(args) => cmd::status::run(&common, args).await,
        Command::Suspects(args) => cmd::suspects::run(&common, args).await,
        Command::Explain(args) => cmd::explain::run(&common, args).await,
    };
    match result {
        Ok(report) => {
            // The reader of a pipe, such as `head`, may have exited; that does not make the command fail.
            let _ = std::io::stdout().write_all(report.text.as_bytes());
            ExitCode::from(report.code)
        }
        Err(e) => {
            eprintln!("hyssopctl: {e}");
            ExitCode::from(e.code())
        }
    }
}
