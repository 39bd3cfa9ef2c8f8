//! Command line and life of a daemon: read the settings, check or run, exit code.

use std::path::PathBuf;
use std::process::ExitCode;

use config::process::Process;

use crate::{Error, load_process, logs};

/// What the help of each daemon ends with.
pub const EXIT_CODES: &str = "Exit codes: 0 stopped or checked, 1 could not start or faults found.";

/// Options of each daemon.
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
