//! Plays scripted scenarios against real processes on loopback.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use scenario::binary::{self, Programs};
use scenario::player::Player;
use scenario::{script, sweep};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code if a script can't be read or programs are missing.
const USAGE_EXIT_CODE: u8 = 2;

/// Maximum number of failures printed per script.
const MAX_PRINTED_FAILURES: usize = 20;

/// Plays scripted scenarios against real processes on loopback.
///
/// Each script starts its own fleet in its own range of loopback addresses, so
/// concurrent runs don't affect each other. docs/SCENARIOS.md lists the verbs.
#[derive(Debug, Parser)]
#[command(name = "scenario", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
    /// Use the existing programs instead of building them first.
    #[arg(long, global = true)]
    no_build: bool,
    /// Keep settings and logs of scripts that pass, too.
    #[arg(long, global = true)]
    keep: bool,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Play scripts one after the other; exit code 1 if any check fails.
    Run {
        /// Script files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Random seed of prompts and lengths.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Play generated scripts with two random faults, one script per seed.
    Sweep {
        /// Number of seeds.
        #[arg(long)]
        seeds: u64,
        /// First seed.
        #[arg(long, default_value_t = 1)]
        from: u64,
        /// Inject the faults between acceptance and answer, to check requests refused as "not run".
        #[arg(long)]
        not_run: bool,
        /// Only print the scripts.
        #[arg(long)]
        print: bool,
    },
}

/// A script to play.
struct Script {
    name: String,
    text: String,
    seed: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    let scripts = match scripts(&args.command) {
        Ok(scripts) => scripts,
        Err(e) => return usage_error(&e),
    };
    if let Command::Sweep { print: true, .. } = args.command {
        scripts.iter().for_each(|s| println!("# {}\n{}", s.name, s.text));
        return ExitCode::SUCCESS;
    }
    let programs = match binary::find(!args.no_build).await {
        Ok(programs) => programs,
        Err(e) => return usage_error(&e),
    };
    // Dropping the player kills its processes, so a signal has to drop the player;
    // ending this process at once would leave them running.
    tokio::select! {
        code = play_all(&scripts, &programs, args.keep) => code,
        () = stop_signal() => ExitCode::FAILURE,
    }
}

fn usage_error(text: &str) -> ExitCode {
    eprintln!("{text}");
    ExitCode::from(USAGE_EXIT_CODE)
}

async fn stop_signal() {
    let Ok(mut term) = signal(SignalKind::terminate()) else { return std::future::pending().await };
    tokio::select! {
        _ = tokio::signal::ctrl_c() => {}
        _ = term.recv() => {}
    }
}

fn scripts(command: &Command) -> Result<Vec<Script>, String> {
    match command {
        Command::Run { files, seed } => files.iter().map(|f| read(f, *seed)).collect(),
        Command::Sweep { seeds, from, not_run, .. } => {
            let text = if *not_run { sweep::not_run } else { sweep::script };
            let script = |seed| Script { name: format!("seed {seed}"), text: text(seed), seed };
            Ok((*from..from + seeds).map(script).collect())
        }
    }
}

fn read(file: &Path, seed: u64) -> Result<Script, String> {
    let name = file.display().to_string();
    match std::fs::read_to_string(file) {
        Ok(text) => Ok(Script { name, text, seed }),
        Err(e) => Err(format!("{name}: {e}")),
    }
}

async fn play_all(scripts: &[Script], programs: &Programs, keep: bool) -> ExitCode {
    let mut failed = Vec::new();
    for script in scripts {
        let lines = match script::parse(&script.name, &script.text) {
            Ok(lines) => lines,
            Err(faults) => {
                faults.iter().for_each(|f| eprintln!("{f}"));
                return ExitCode::from(USAGE_EXIT_CODE);
            }
        };
        if !play(script, &lines, programs, keep).await {
            failed.push(script.name.as_str());
        }
    }
    match failed.is_empty() {
        true => ExitCode::SUCCESS,
        false => {
            println!("{} of {} failed: {}", failed.len(), scripts.len(), failed.join(", "));
            ExitCode::FAILURE
        }
    }
}

/// Plays one script; returns true if all checks pass.
async fn play(script: &Script, lines: &[script::Line], programs: &Programs, keep: bool) -> bool {
    let dir = std::env::temp_dir().join(format!("hyssop-scenario-{}", uuid::Uuid::new_v4()));
    if let Err(e) = std::fs::create_dir_all(&dir) {
        eprintln!("{}: {e}", dir.display());
        return false;
    }
    println!("== {}", script.name);
    let end = Player::new(programs.clone(), dir.clone(), script.seed).play(lines).await;
    print!("{}", end.table);
    let passed = end.failures.is_empty();
    report_failures(&end.failures, &dir);
    match passed && !keep {
        true => {
            let _ = std::fs::remove_dir_all(&dir);
        }
        false => println!("settings and logs: {}", dir.display()),
    }
    println!("== {}: {}", script.name, if passed { "passed" } else { "failed" });
    passed
}

/// Prints the first failures and writes all of them to `failures.txt` beside the logs.
fn report_failures(failures: &[String], dir: &Path) {
    failures.iter().take(MAX_PRINTED_FAILURES).for_each(|f| println!("FAILED {f}"));
    if failures.len() > MAX_PRINTED_FAILURES {
        println!("{} failures in all, see failures.txt beside the logs", failures.len());
    }
    if let Err(e) = std::fs::write(dir.join("failures.txt"), failures.join("\n")) {
        eprintln!("failures.txt: {e}");
    }
}
