//! Crashes of the engine: which requests ran, and running suspects alone.
//!
//! An engine batches, so at a crash any request with a step in progress may be at
//! fault. Each of them becomes a suspect, and the step that was in progress is run
//! again with no other step beside it. Either it passes, then the request is
//! cleared, or the engine crashes again, then it was at fault and is refused
//! everywhere. Only that one step runs alone, so the others wait for milliseconds.

use std::sync::Mutex;
use std::time::Duration;

use node::Node;
use policy::quarantine::Verdict;
use tokio::sync::{RwLock, RwLockReadGuard, RwLockWriteGuard};
use wire::id::Fingerprint;
use wire::quarantine::{Running, format_fingerprint};
use wire::refusal::{Cause, Refusal};

/// Engine processes remembered as crashed.
const MAX_REPORTED_CRASHES: usize = 64;

/// Time for all daemons to hear of a quarantine before its caller does: the
/// caller may send the request again at once, through a router that does not
/// know yet, and take down one more engine.
pub const PROPAGATION_DELAY: Duration = Duration::from_millis(200);

/// A step in progress.
#[derive(Debug, Clone)]
struct Step {
    number: u64,
    incarnation: String,
    running: Running,
    /// True once it was named as running at a crash.
    in_crash: bool,
}

#[derive(Debug, Default)]
struct State {
    count: u64,
    steps: Vec<Step>,
    /// Incarnations of engines whose crash has been told, oldest first.
    reported: Vec<String>,
}

/// Steps in progress at the engine, and its crashes.
#[derive(Debug, Default)]
pub struct Monitor {
    state: Mutex<State>,
    /// Held for reading by every step, for writing by a step that runs alone.
    exclusive: RwLock<()>,
}

/// A step in progress until this is dropped.
#[derive(Debug)]
pub struct StepGuard<'a> {
    monitor: &'a Monitor,
    number: u64,
}

/// The right to run a step, with others beside it or alone.
#[derive(Debug)]
pub enum Permit<'a> {
    /// Others may run too.
    Shared(RwLockReadGuard<'a, ()>),
    /// Nothing else runs.
    Exclusive(RwLockWriteGuard<'a, ()>),
}

impl Monitor {
    /// Waits until a step may run.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use agent::crash::{Permit, Monitor};
    /// let monitor = Monitor::default();
    /// assert!(matches!(monitor.acquire(true).await, Permit::Exclusive(_)));
    /// # });
    /// ```
    pub async fn acquire(&self, exclusive: bool) -> Permit<'_> {
        match exclusive {
            true => Permit::Exclusive(self.exclusive.write().await),
            false => Permit::Shared(self.exclusive.read().await),
        }
    }

    /// Notes that a step goes to the engine.
    pub fn begin_step(&self, incarnation: &str, running: Running) -> StepGuard<'_> {
        let mut state = self.state.lock().expect("no panic while held");
        state.count += 1;
        let number = state.count;
        state.steps.push(Step {
            number,
            incarnation: incarnation.to_string(),
            running,
            in_crash: false,
        });
        StepGuard { monitor: self, number }
    }

    /// Tells the fleet of the crash of an engine process, once for each.
    pub fn report_crash(&self, node: &Node, incarnation: &str) {
        let running = {
            let mut state = self.state.lock().expect("no panic while held");
            if state.reported.iter().any(|i| i == incarnation) {
                return;
            }
            if state.reported.len() == MAX_REPORTED_CRASHES {
                state.reported.remove(0);
            }
            state.reported.push(incarnation.to_string());
            let ran = state.steps.iter_mut().filter(|s| s.incarnation == incarnation);
            let mark = |step: &mut Step| {
                step.in_crash = true;
                step.running.clone()
            };
            ran.map(mark).collect()
        };
        node.metrics.crashes.add(1, &[]);
        node.quarantine.crashed(incarnation, running);
    }
}

impl StepGuard<'_> {
    /// True when the engine crashed while the step was in progress. What was
    /// begun later never reached that engine, and its loss proves nothing.
    pub fn in_crash(&self) -> bool {
        let state = self.monitor.state.lock().expect("no panic while held");
        state.steps.iter().any(|s| s.number == self.number && s.in_crash)
    }
}

impl Drop for StepGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.monitor.state.lock().expect("no panic while held");
        state.steps.retain(|s| s.number != self.number);
    }
}

/// What to answer for a step that was in progress at a crash.
pub async fn step_refusal(node: &Node, fingerprint: Fingerprint) -> Refusal {
    let vm = &node.process.vm;
    match node.quarantine.verdict(fingerprint) {
        Verdict::Refused { left } => {
            tokio::time::sleep(PROPAGATION_DELAY).await;
            refusal(vm, "step", left)
        }
        _ => Refusal::unknown(Cause::Crashed, "step", vm, "the engine crashed while it ran"),
    }
}

/// The refusal of a request in quarantine.
pub fn refusal(vm: &str, step: &str, left: Duration) -> Refusal {
    let why = format!(
        "it crashed two engines and is refused everywhere for {} s, or until an operator lifts it",
        left.as_secs()
    );
    Refusal::refused(Cause::Quarantined, step, vm, why)
}

/// How a request is named in the records.
pub fn running(fingerprint: Fingerprint, request: &str, tag: &str) -> Running {
    Running {
        fingerprint: format_fingerprint(fingerprint),
        request: request.into(),
        tag: tag.into(),
    }
}
