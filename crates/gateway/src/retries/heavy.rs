//! Heavy use of the retry budget, of which routers that start have to know.
//!
//! Load pattern: a quarter of the servers dies, the routers use most of the budget, and then all of them lose power.
//! What the previous processes used counts in the same window, but no running process has a record of it. So heavy use
//! is also written to the store; a router that finds no report of it uses part of its share at once.

use std::cell::Cell;
use std::time::Duration;

use policy::window::Predecessor;

use crate::clock;
use crate::notice::Notice;
use crate::state::State;

/// Time after which continuing heavy use is reported again.
const REPORT_INTERVAL: Duration = Duration::from_secs(4);

/// Largest difference assumed between the clocks of two VMs.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(10);

/// What is known of heavy use.
#[derive(Debug, Default)]
pub(super) struct Heavy {
    /// When any router last reported it, in time since this process started.
    reported: Cell<Option<Duration>>,
    predecessor: Cell<Predecessor>,
}

/// Reports heavy use to the other routers if this one uses its share heavily and no recent report is known.
pub(super) fn report_if_heavy(state: &State, service: &str) {
    let (now, routers) = (state.now(), state.routers());
    let recent = |reported: Duration| now < reported + REPORT_INTERVAL;
    if state.retries.heavy.reported.get().is_some_and(recent)
        || !state.budget(service, |budget| budget.is_heavy(now, routers))
    {
        return;
    }
    state.retries.heavy.reported.set(Some(now));
    log::info!("gateway: repeats service={service} heavy use reported");
    state.announce(Notice::Heavy { at_ms: clock::wall().as_millis() as u64 });
}

/// Records a report of heavy use.
pub fn receive_heavy_use(state: &State) {
    state.retries.heavy.reported.set(Some(state.now()));
}

/// Records a report that was written to the store at `at_ms` of Unix time, unless it has expired.
pub fn replay_heavy_use(state: &State, at_ms: u64) {
    let age = clock::wall().saturating_sub(Duration::from_millis(at_ms));
    if age < REPORT_INTERVAL + state.setup.retry_window + MAX_CLOCK_SKEW {
        receive_heavy_use(state);
    }
}

/// Records that all reports from before the start of this process have been read.
pub fn finish_replay(state: &State) {
    let heavy = &state.retries.heavy;
    let predecessor =
        if heavy.reported.get().is_some() { Predecessor::Unknown } else { Predecessor::Light };
    heavy.predecessor.set(predecessor);
    log::info!("gateway: repeats before={predecessor:?}");
}

/// Returns what is known of the previous process of this router.
pub fn predecessor(state: &State) -> Predecessor {
    // As long as the members are unknown, the share may be overestimated.
    let member = state.sharing.rank().is_some() || state.stopping.get().is_some();
    match () {
        () if state.setup.first_start => Predecessor::First,
        () if state.retries.handover.has_taken_over() && member => Predecessor::Told,
        () => state.retries.heavy.predecessor.get(),
    }
}
