//! Command line of a daemon: reads its settings, checks them or runs the daemon, and returns the exit
//! code.

use std::path::PathBuf;
use std::process::ExitCode;

use config::process::Process;

use crate::{Error, load_process, logs};

/// Last line of each daemon's help.
pub const EXIT_CODES: &str = "Exit codes: 0 stopped or checked, 1 could not start or faults found.";

/// Options that all daemons have.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Settings file of this process (INI).
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// Only check the settings file.
    #[arg(long)]
    pub check: bool,
}

/// Runs a daemon until it stops. `part` is the prefix of its log lines.
pub async fn launch(
    options: Options,
    part: &str,
    run: impl AsyncFnOnce(Process) -> Result<(), Error>,
) -> ExitCode {
    let process = match load_process(&options.settings) {
        Ok(process) if options.check => {
            println!("{} is a valid settings file for {}", options.settings.display(), process.vm);
            return ExitCode::SUCCESS;
        }
        Ok(process) => process,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::FAILURE;
        }
    };
    logs::start(&process.log_level);
    match run(process).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{part}: {e}");
            ExitCode::FAILURE
        }
    }
}
