//! Heavy use of the retry budget, of which routers that start have to know.
//!
//! Load pattern: a quarter of the servers dies, the routers use most of the budget, and then all of them lose power. What
//! the processes before used counts in the same window, and nobody is left who remembers it. So heavy use is also written
//! to the store; a router that finds no word of it uses part of its budget at once.

use std::cell::Cell;
use std::time::Duration;

use policy::window::Before;

use crate::clock;
use crate::notice::Notice;
use crate::state::State;

/// Time after which heavy use that goes on is told again.
const AGAIN: Duration = Duration::from_secs(4);

/// Most by which the clocks of two VMs differ.
const CLOCKS: Duration = Duration::from_secs(10);

/// What is known of heavy use.
#[derive(Debug, Default)]
pub(super) struct Heavy {
    /// When some router last told of it, by this process's time.
    told: Cell<Option<Duration>>,
    before: Cell<Before>,
}

/// Tells the others if this router uses its part heavily and nobody has just said so.
pub(super) fn note_use(state: &State, service: &str) {
    let (now, routers) = (state.now(), state.routers());
    let fresh = |told: Duration| now < told + AGAIN;
    if state.retries.heavy.told.get().is_some_and(fresh)
        || !state.budget(service, |budget| budget.is_heavy(now, routers))
    {
        return;
    }
    state.retries.heavy.told.set(Some(now));
    log::info!("gateway: repeats service={service} heavy use is told");
    state.announce(Notice::Heavy { at_ms: clock::wall().as_millis() as u64 });
}

/// Hears of heavy use.
pub fn hear(state: &State) {
    state.retries.heavy.told.set(Some(state.now()));
}

/// Takes over what was said of heavy use before this process started.
pub fn catch_up(state: &State, at_ms: u64) {
    let age = clock::wall().saturating_sub(Duration::from_millis(at_ms));
    if age < AGAIN + state.setup.retry_window + CLOCKS {
        hear(state);
    }
}

/// Notes that all that was said before this process started was taken over.
pub fn note_read(state: &State) {
    let heavy = &state.retries.heavy;
    let before = if heavy.told.get().is_some() { Before::Unknown } else { Before::Light };
    heavy.before.set(before);
    log::info!("gateway: repeats before={before:?}");
}

/// What is known of the process before this one.
pub fn before(state: &State) -> Before {
    // Until the members are known, a part may be taken for larger than it is.
    let member = state.sharing.rank().is_some() || state.stopping.get().is_some();
    match () {
        () if state.setup.first_start => Before::First,
        () if state.retries.succession.has_taken_over() && member => Before::Told,
        () => state.retries.heavy.before.get(),
    }
}
