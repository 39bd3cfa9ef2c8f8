//! The processes that a scenario starts; each is stopped by its own process id.

use std::fs::File;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

/// Time within which a process has to become ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time within which a process has to drain after SIGTERM; above every drain time in the settings.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

/// The state in which the script wants a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wanted {
    /// The process must run.
    Running,
    /// The process is suspended by SIGSTOP.
    Frozen,
    /// The script stopped or killed the process, or has not started it.
    Stopped,
}

/// A process and the command that starts it.
#[derive(Debug)]
pub struct Process {
    /// Name of the process and its log file.
    pub name: String,
    /// State in which the script wants it.
    pub wanted: Wanted,
    /// Number of unexpected exits.
    pub crashes: usize,
    program: PathBuf,
    args: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Creates a process without starting it; its standard error goes to the file `log`.
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

    /// Starts the process; its output is appended to the log file.
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

    /// Waits for the line `ready ...` on its standard output, then discards the rest of it.
    pub async fn ready(&mut self) -> Result<(), String> {
        let name = self.name.clone();
        let stdout = self.child.as_mut().and_then(|c| c.stdout.take());
        let mut lines =
            BufReader::new(stdout.ok_or(format!("{name}: no standard output"))?).lines();
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
        // A closed pipe would end the process when it prints later.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok(())
    }

    /// Discards the standard output of a daemon; daemons log to standard error.
    pub fn discard_output(&mut self) {
        if let Some(stdout) = self.child.as_mut().and_then(|c| c.stdout.take()) {
            let mut lines = BufReader::new(stdout).lines();
            tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        }
    }

    /// Kills the process.
    pub async fn kill(&mut self) -> Result<(), String> {
        self.wanted = Wanted::Stopped;
        match self.child.take() {
            Some(mut child) => child.kill().await.map_err(|e| format!("{}: kill: {e}", self.name)),
            None => Err(format!("{} does not run", self.name)),
        }
    }

    /// Kills the process if it runs, without changing the wanted state.
    pub async fn kill_if_running(&mut self) {
        if let Some(mut child) = self.child.take() {
            // An error means that the process has already ended.
            let _ = child.kill().await;
        }
    }

    /// Suspends the process (SIGSTOP).
    pub fn freeze(&mut self) -> Result<(), String> {
        self.signal(Signal::SIGSTOP)?;
        self.wanted = Wanted::Frozen;
        Ok(())
    }

    /// Continues the process (SIGCONT).
    pub fn thaw(&mut self) -> Result<(), String> {
        self.signal(Signal::SIGCONT)?;
        self.wanted = Wanted::Running;
        Ok(())
    }

    /// Asks the process to stop (SIGTERM). [`wait_stopped`] waits for its end.
    pub fn terminate(&mut self) -> Result<Child, String> {
        self.signal(Signal::SIGTERM)?;
        self.wanted = Wanted::Stopped;
        self.child.take().ok_or(format!("{} does not run", self.name))
    }

    /// Returns the process id while the process runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    /// Returns true while the process runs; counts an exit that was not requested as a crash, once.
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

/// Waits for the end of a process that was asked to stop; an exit code other than 0 is an error.
pub async fn wait_stopped(name: &str, mut child: Child) -> Result<(), String> {
    match tokio::time::timeout(DRAIN_TIMEOUT, child.wait()).await {
        Ok(Ok(status)) if status.success() => Ok(()),
        Ok(Ok(status)) => Err(format!("{name}: ended with {status} after SIGTERM")),
        Ok(Err(e)) => Err(format!("{name}: {e}")),
        Err(_) => Err(format!("{name}: still draining after {DRAIN_TIMEOUT:?}")),
    }
}
