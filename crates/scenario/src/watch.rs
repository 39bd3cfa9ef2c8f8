//! Background tasks of a script: supervision of backend servers, and monitoring of new work.

use std::sync::{Arc, Mutex as Lock};
use std::time::{Duration, Instant};

use tokio::sync::Mutex;
use tokio::task::JoinHandle;

use crate::fleet::{Backend, Fleet, Vm};
use crate::history;
use crate::player::MAX_WAIT;
use crate::process::Wanted;

/// Interval between two checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A background task; dropping this value aborts it.
#[derive(Debug)]
pub struct Watch {
    vm: String,
    began: Instant,
    last: Arc<Lock<Instant>>,
    /// Amount of work before the task started.
    before: Arc<Lock<u64>>,
    task: JoinHandle<()>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Watch {
    /// Starts a task that restarts backend servers that end unexpectedly.
    pub fn supervise(fleet: Arc<Mutex<Fleet>>, after: Duration) -> Watch {
        let task = tokio::spawn(async move {
            loop {
                tokio::time::sleep(after.max(POLL_INTERVAL)).await;
                restart_ended(&mut *fleet.lock().await).await;
            }
        });
        let now = Instant::now();
        Watch {
            vm: String::new(),
            began: now,
            last: Arc::new(Lock::new(now)),
            before: Arc::default(),
            task,
        }
    }

    /// Starts a task that records when the engine of a VM last opened a session, or its service
    /// last accepted a call.
    pub fn leave(vm: &Vm) -> Watch {
        let began = Instant::now();
        let last = Arc::new(Lock::new(began));
        let (watched_vm, last_seen) = (vm.clone(), last.clone());
        let before = Arc::<Lock<u64>>::default();
        let first = before.clone();
        let task = tokio::spawn(async move {
            let mut count = None;
            loop {
                if let Ok(work) = count_work(&watched_vm).await {
                    if count.is_some_and(|n| work > n)
                        && let Ok(mut last) = last_seen.lock()
                    {
                        *last = Instant::now();
                    }
                    if count.is_none()
                        && let Ok(mut first) = first.lock()
                    {
                        *first = work;
                    }
                    count = Some(work);
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        });
        Watch { vm: vm.name.clone(), began, last, before, task }
    }

    /// Returns true if the VM had work before the task started. Otherwise its last new work
    /// would be reported after 0 ms whatever the routers do.
    pub fn had_work(&self) -> bool {
        self.before.lock().is_ok_and(|n| *n > 0)
    }

    /// Returns the time from `leave` to the last new work of this VM.
    pub fn last_work(&self, vm: &str) -> Option<Duration> {
        let last = *self.last.lock().ok()?;
        (self.vm == vm).then(|| last - self.began)
    }
}

/// Returns the number of sessions or calls that the backend server of a VM has started.
async fn count_work(vm: &Vm) -> Result<u64, rest::Error> {
    match vm.backend {
        Backend::Engine(..) => {
            let history = history::engine(&vm.backend_http(), &vm.name).await?;
            Ok(history.sessions.len() as u64)
        }
        _ => history::calls_taken(&vm.backend_http()).await,
    }
}

async fn restart_ended(fleet: &mut Fleet) {
    for process in fleet.processes.iter_mut().filter(|p| p.name.ends_with(".backend")) {
        if process.wanted == Wanted::Running
            && !process.is_running()
            && process.start().is_ok()
            && let Err(e) = process.ready().await
        {
            log::warn!("scenario: {e}");
        }
    }
}

/// Returns the number of unexpected exits of backend servers.
pub fn crashes(fleet: &mut Fleet) -> usize {
    let backends = fleet.processes.iter_mut().filter(|p| p.name.ends_with(".backend"));
    backends
        .map(|p| {
            if p.wanted == Wanted::Running {
                p.is_running();
            }
            p.crashes
        })
        .sum()
}

/// Waits until the engine of a VM has opened a session.
pub async fn wait_for_work(fleet: &Arc<Mutex<Fleet>>, vm: &str) -> Result<(), String> {
    let vm = fleet.lock().await.vm(vm)?;
    if !matches!(vm.backend, Backend::Engine(..)) {
        return Err(format!("{} has no engine", vm.name));
    }
    let began = Instant::now();
    while began.elapsed() < MAX_WAIT {
        let history = history::engine(&vm.backend_http(), &vm.name).await;
        if history.is_ok_and(|b| !b.sessions.is_empty()) {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(format!("{} ran nothing within {MAX_WAIT:?}", vm.name))
}
