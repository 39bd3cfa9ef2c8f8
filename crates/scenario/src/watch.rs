//! What goes on beside a script: supervision of backend servers, and watches on new work.

use std::sync::{Arc, Mutex as Lock};
use std::time::{Duration, Instant};

use tokio::sync::Mutex;
use tokio::task::JoinHandle;

use crate::fleet::{Backend, Fleet, Vm};
use crate::history;
use crate::player::WAIT;
use crate::process::Wanted;

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(50);

/// A task beside the script; it ends with this value.
#[derive(Debug)]
pub struct Watch {
    vm: String,
    began: Instant,
    last: Arc<Lock<Instant>>,
    /// Pieces of work before the watch began.
    before: Arc<Lock<u64>>,
    task: JoinHandle<()>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Watch {
    /// Restarts backend servers that end by themselves.
    pub fn supervise(fleet: Arc<Mutex<Fleet>>, after: Duration) -> Watch {
        let task = tokio::spawn(async move {
            loop {
                tokio::time::sleep(after.max(LOOK)).await;
                revive(&mut *fleet.lock().await).await;
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

    /// Notes when the engine of a VM opens a session, or its service takes a call, from now on.
    pub fn leave(vm: &Vm) -> Watch {
        let began = Instant::now();
        let last = Arc::new(Lock::new(began));
        let (vm_seen, seen) = (vm.clone(), last.clone());
        let before = Arc::<Lock<u64>>::default();
        let first = before.clone();
        let task = tokio::spawn(async move {
            let mut count = None;
            loop {
                if let Ok(works) = works_begun(&vm_seen).await {
                    if count.is_some_and(|n| works > n)
                        && let Ok(mut last) = seen.lock()
                    {
                        *last = Instant::now();
                    }
                    if count.is_none()
                        && let Ok(mut first) = first.lock()
                    {
                        *first = works;
                    }
                    count = Some(works);
                }
                tokio::time::sleep(LOOK).await;
            }
        });
        Watch { vm: vm.name.clone(), began, last, before, task }
    }

    /// True when the VM had work before the watch began. Without any, its last new work
    /// would come after 0 ms whatever the routers do.
    pub fn worked(&self) -> bool {
        self.before.lock().is_ok_and(|n| *n > 0)
    }

    /// From `leave` to the last new work of this VM.
    pub fn last_work(&self, vm: &str) -> Option<Duration> {
        let last = *self.last.lock().ok()?;
        (self.vm == vm).then(|| last - self.began)
    }
}

/// Pieces of work that the backend server of a VM has begun so far.
async fn works_begun(vm: &Vm) -> Result<u64, rest::Error> {
    match vm.backend {
        Backend::Engine(..) => {
            let book = history::engine(&vm.backend_http(), &vm.name).await?;
            Ok(book.sessions.len() as u64)
        }
        _ => history::taken(&vm.backend_http()).await,
    }
}

async fn revive(fleet: &mut Fleet) {
    for process in fleet.processes.iter_mut().filter(|p| p.name.ends_with(".backend")) {
        if process.wanted == Wanted::Running
            && !process.lives()
            && process.start().is_ok()
            && let Err(e) = process.ready().await
        {
            log::warn!("scenario: {e}");
        }
    }
}

/// Backend servers that ended by themselves so far.
pub fn crashes(fleet: &mut Fleet) -> usize {
    let backends = fleet.processes.iter_mut().filter(|p| p.name.ends_with(".backend"));
    backends
        .map(|p| {
            if p.wanted == Wanted::Running {
                p.lives();
            }
            p.crashes
        })
        .sum()
}

/// Waits until the engine of a VM has opened a session.
pub async fn works(fleet: &Arc<Mutex<Fleet>>, vm: &str) -> Result<(), String> {
    let vm = fleet.lock().await.vm(vm)?;
    if !matches!(vm.backend, Backend::Engine(..)) {
        return Err(format!("{} has no engine", vm.name));
    }
    let began = Instant::now();
    while began.elapsed() < WAIT {
        let book = history::engine(&vm.backend_http(), &vm.name).await;
        if book.is_ok_and(|b| !b.sessions.is_empty()) {
            return Ok(());
        }
        tokio::time::sleep(LOOK).await;
    }
    Err(format!("{} ran nothing within {WAIT:?}", vm.name))
}
