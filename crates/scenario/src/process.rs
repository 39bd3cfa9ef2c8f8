//! The processes a scenario starts, each ended by its own id.

use std::fs::File;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Longest wait for a process to say that it is ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait for a process to drain after SIGTERM; above any drain the settings name.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

/// What the script wants of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wanted {
    /// It must live.
    Running,
    /// It lives and stands still.
    Frozen,
    /// The script ended it.
    Stopped,
}

/// A process and how to start it again.
#[derive(Debug)]
pub struct Process {
    /// Name, and of its log file.
    pub name: String,
    /// What the script wants of it.
    pub wanted: Wanted,
    /// How often it ended without being asked to.
    pub crashes: usize,
    program: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// A process not started yet; its output goes to `log`.
    pub fn new(name: &str, program: PathBuf, args: Vec<String>, log: PathBuf) -> Process {
        Process {
            name: name.to_string(),
            wanted: Wanted::Stopped,
            crashes: 0,
            program,
            args,
            log,
            child: None,
        }
    }

    /// Starts it; its log goes on where it ended.
    pub fn start(&mut self) -> Result<(), String> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|e| format!("{}: log file: {e}", self.name))?;
        let child = Command::new(&self.program)
            .args(&self.args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| format!("{}: start: {e}", self.name))?;
        self.child = Some(child);
        self.wanted = Wanted::Running;
        Ok(())
    }

    /// Waits for the line `ready ...` on its output, then lets the rest of the output go.
    pub async fn ready(&mut self) -> Result<(), String> {
        let name = self.name.clone();
        let stdout = self.child.as_mut().and_then(|c| c.stdout.take());
        let mut lines = BufReader::new(stdout.ok_or(format!("{name}: has no output"))?).lines();
        let wait = async {
            while let Ok(Some(line)) = lines.next_line().await {
                if line.starts_with("ready") {
                    return true;
                }
            }
            false
        };
        match tokio::time::timeout(READY_TIMEOUT, wait).await {
            Ok(true) => {}
            Ok(false) => return Err(format!("{name}: ended before it was ready")),
            Err(_) => return Err(format!("{name}: not ready within {READY_TIMEOUT:?}")),
        }
        // A closed pipe would end a process that prints later.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok(())
    }

    /// Lets the output of a daemon go; it reports on its standard error.
    pub fn discard_output(&mut self) {
        if let Some(stdout) = self.child.as_mut().and_then(|c| c.stdout.take()) {
            let mut lines = BufReader::new(stdout).lines();
            tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        }
    }

    /// Ends it at once.
    pub async fn kill(&mut self) -> Result<(), String> {
        self.wanted = Wanted::Stopped;
        match self.child.take() {
            Some(mut child) => child.kill().await.map_err(|e| format!("{}: kill: {e}", self.name)),
            None => Err(format!("{} does not run", self.name)),
        }
    }

    /// Ends it at once, when it runs, whatever the script wants of it.
    pub async fn kill_if_running(&mut self) {
        if let Some(mut child) = self.child.take() {
            // An error says that it has ended already.
            let _ = child.kill().await;
        }
    }

    /// Stands it still.
    pub fn freeze(&mut self) -> Result<(), String> {
        self.signal(Signal::SIGSTOP)?;
        self.wanted = Wanted::Frozen;
        Ok(())
    }

    /// Lets it go on.
    pub fn thaw(&mut self) -> Result<(), String> {
        self.signal(Signal::SIGCONT)?;
        self.wanted = Wanted::Running;
        Ok(())
    }

    /// Asks it to stop. [`wait_stopped`] waits for the end.
    pub fn terminate(&mut self) -> Result<Child, String> {
        self.signal(Signal::SIGTERM)?;
        self.wanted = Wanted::Stopped;
        self.child.take().ok_or(format!("{} does not run", self.name))
    }

    /// Its process id while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// True while it runs; a process that ended by itself is counted as a crash once.
    pub fn is_running(&mut self) -> bool {
        let Some(child) = self.child.as_mut() else { return false };
        match child.try_wait() {
            Ok(None) => true,
            _ => {
                self.child = None;
                self.crashes += 1;
                false
            }
        }
    }

    fn signal(&self, signal: Signal) -> Result<(), String> {
        let id = self.child.as_ref().and_then(Child::id);
        let id = id.ok_or(format!("{} does not run", self.name))?;
        kill(Pid::from_raw(id as i32), signal).map_err(|e| format!("{}: {signal}: {e}", self.name))
    }
}

/// Waits for the end of a process that was asked to stop; anything but exit code 0 is an error.
pub async fn wait_stopped(name: &str, mut child: Child) -> Result<(), String> {
    match tokio::time::timeout(DRAIN_TIMEOUT, child.wait()).await {
        Ok(Ok(status)) if status.success() => Ok(()),
        Ok(Ok(status)) => Err(format!("{name}: ended with {status} after SIGTERM")),
        Ok(Err(e)) => Err(format!("{name}: {e}")),
        Err(_) => Err(format!("{name}: still draining after {DRAIN_TIMEOUT:?}")),
    }
}
