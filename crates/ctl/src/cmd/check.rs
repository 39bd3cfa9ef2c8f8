//! Checks settings files.

use std::path::{Path, PathBuf};

use config::fault::Fault;
use config::{fleet, process};
use serde::Serialize;

use crate::error::{self, Error};
use crate::option::Common;
use crate::report::{self, Report};

/// Check settings files and print every fault.
///
/// Checks files of fleet settings, or with --process settings files of processes.
/// `publish` makes the same check of the file that it publishes.
/// Exits with 1 when there is a fault.
#[derive(Debug, clap::Args)]
#[command(after_help = "Examples:\n  hyssopctl check dala.ini tsehay.ini\n  \
                        hyssopctl check --process router.ini")]
pub struct Args {
    /// Files to check.
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
    /// Check settings of processes instead of the fleet.
    #[arg(long)]
    process: bool,
}

/// Checks each file and prints the faults.
pub fn run(common: &Common, args: Args) -> Result<Report, Error> {
    let check = if args.process { process_faults } else { fleet_faults };
    let faults: Vec<Fault> = args.files.iter().flat_map(|file| check(file)).collect();
    let code = if faults.is_empty() { error::OK } else { error::REFUSED };
    let text = match common.json {
        true => report::json(&faults.iter().map(Row::from).collect::<Vec<_>>()),
        false if faults.is_empty() => format!("{} checked, no faults\n", args.files.len()),
        false => faults.iter().map(|fault| format!("{fault}\n")).collect(),
    };
    Ok(Report { text, code })
}

/// JSON form of a fault.
#[derive(Debug, Serialize)]
struct Row<'a> {
    file: &'a str,
    section: &'a str,
    key: &'a str,
    found: &'a str,
    allowed: &'a str,
}

impl<'a> From<&'a Fault> for Row<'a> {
    fn from(fault: &'a Fault) -> Row<'a> {
        let Fault { file, section, key, found, allowed } = fault;
        Row { file, section, key, found, allowed }
    }
}

fn process_faults(path: &Path) -> Vec<Fault> {
    process::load(path).err().map(|faults| faults.list).unwrap_or_default()
}

fn fleet_faults(path: &Path) -> Vec<Fault> {
    fleet::load(path).err().map(|faults| faults.list).unwrap_or_default()
}
