//! Tracks engine crashes and runs suspected requests alone.
//!
//! An engine runs steps in batches, so any request with a step in progress may have caused a
//! crash. Each of them becomes a suspect, and the interrupted step is retried with no other step
//! beside it. If the retry succeeds, the request is cleared; if the engine crashes again, the
//! request is at fault and is refused everywhere. Only this one step runs alone, so other
//! requests wait for milliseconds.

use std::sync::Mutex;
use std::time::Duration;

use node::Node;
use policy::quarantine::Verdict;
use tokio::sync::{RwLock, RwLockReadGuard, RwLockWriteGuard};
use wire::id::Fingerprint;
use wire::quarantine::{Running, format_fingerprint};
use wire::refusal::{Cause, Refusal};

/// Crashed engine processes that are remembered, so that each crash is reported once.
const MAX_REPORTED_CRASHES: usize = 64;

/// Delay before the caller learns that its request is quarantined, in which the news reaches all
/// daemons. A caller may retry at once through a router that has not received it, and the request
/// would crash one more engine.
pub const PROPAGATION_DELAY: Duration = Duration::from_millis(200);

/// A step in progress.
#[derive(Debug, Clone)]
struct Step {
    number: u64,
    incarnation: String,
    running: Running,
    /// True if the engine crashed while the step was in progress.
    in_crash: bool,
}

#[derive(Debug, Default)]
struct State {
    count: u64,
    steps: Vec<Step>,
    /// Incarnations of engines whose crash has been reported, oldest first.
    reported: Vec<String>,
}

/// Tracks the steps in progress at the engine and reports its crashes.
#[derive(Debug, Default)]
pub struct Monitor {
    state: Mutex<State>,
    /// Read-locked by every step, write-locked by a step that runs alone.
    exclusive: RwLock<()>,
}

/// Marks a step as in progress until it is dropped.
#[derive(Debug)]
pub struct StepGuard<'a> {
    monitor: &'a Monitor,
    number: u64,
}

/// Permission to run a step.
#[derive(Debug)]
pub enum Permit<'a> {
    /// Other steps may run at the same time.
    Shared(RwLockReadGuard<'a, ()>),
    /// No other step runs.
    Exclusive(RwLockWriteGuard<'a, ()>),
}

impl Monitor {
    /// Waits until a step may run.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// use agent::crash::{Monitor, Permit};
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

    /// Records that a step is sent to the engine.
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

    /// Reports the crash of an engine process to the fleet, once for each process.
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
        node.metrics.engine_crashes.add(1, &[]);
        node.quarantine.record_crash(incarnation, running);
    }
}

impl StepGuard<'_> {
    /// Returns true if the engine crashed while the step was in progress. A step that began later
    /// never reached that engine process, so its failure proves nothing.
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

/// Returns the refusal for a step that was in progress at a crash.
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

/// Returns the refusal for a request in quarantine.
pub fn refusal(vm: &str, step: &str, left: Duration) -> Refusal {
    let why = format!(
        "it crashed two engines and is refused everywhere for {} s, or until an operator lifts it",
        left.as_secs()
    );
    Refusal::refused(Cause::Quarantined, step, vm, why)
}

/// Identifies a request in the records of the quarantine.
pub fn running(fingerprint: Fingerprint, request: &str, tag: &str) -> Running {
    Running {
        fingerprint: format_fingerprint(fingerprint),
        request: request.into(),
        tag: tag.into(),
    }
}
