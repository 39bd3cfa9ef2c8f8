//! The programs that a scenario starts, built if missing or outdated.

use std::path::PathBuf;
use std::process::Stdio;

/// Programs of the workspace that the player starts.
pub const PROGRAMS: [&str; 4] = ["hyssop-router", "hyssop-agent", "hyssopctl", "hyssop-fake"];

/// Directory of the programs: that of the player's own executable.
#[derive(Debug, Clone)]
pub struct Programs {
    dir: PathBuf,
}

impl Programs {
    /// Returns the path of a program.
    pub fn path(&self, program: &str) -> PathBuf {
        self.dir.join(program)
    }
}

/// Finds the programs, after building them unless `build` is false.
///
/// `cargo run -p scenario` builds only the player. Without a build of the workspace, a script
/// would run against daemons of an older commit and would not test the current one.
pub async fn find(build: bool) -> Result<Programs, String> {
    let own = std::env::current_exe().map_err(|e| format!("own executable: {e}"))?;
    let mut dir = own.parent().map(PathBuf::from).ok_or("own executable has no directory")?;
    if dir.ends_with("deps") {
        dir.pop();
    }
    if build {
        run_cargo(dir.ends_with("release")).await?;
    }
    match PROGRAMS.iter().find(|p| !dir.join(p).exists()) {
        None => Ok(Programs { dir }),
        Some(missing) => Err(format!("{missing} is not beside the player; run without --no-build")),
    }
}

async fn run_cargo(release: bool) -> Result<(), String> {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_string());
    let mut cmd = tokio::process::Command::new(&cargo);
    cmd.args(["build", "--quiet", "--workspace", "--bins", "--locked"]);
    if release {
        cmd.arg("--release");
    }
    // The working directory may be any directory; the path of the manifest is fixed.
    cmd.arg("--manifest-path").arg(concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml"));
    cmd.stdin(Stdio::null()).kill_on_drop(true);
    match cmd.status().await {
        Ok(status) if status.success() => Ok(()),
        Ok(status) => Err(format!("{cargo} build ended with {status}")),
        Err(e) => Err(format!("{cargo} build: {e}")),
    }
}
