//! Holds requests that arrive while the router reads the settings and the list of servers.

use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use policy::startup;
use tokio::time::{Instant, timeout};

use crate::answer::{self, Body, Reason};
use crate::count::Counted;
use crate::settings::Settings;
use crate::state::State;

/// Longest time between two checks whether a held request can be served or has to be refused.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the settings in force once the servers are known too. A request that arrives before that is held for a
/// moment, unless too many are, or the store does not answer.
pub async fn settings(state: &State) -> Result<Rc<Settings>, Reason> {
    if let Some(settings) = known(state) {
        return Ok(settings);
    }
    let max_hold = state.startup.borrow().max_hold(state.held_requests.get());
    let Some(max_hold) = max_hold.filter(|_| state.stopping.get().is_none()) else {
        let silent = state.store_unavailable();
        return Err(if silent { Reason::Unsettled } else { Reason::Starting });
    };
    let _held = Counted::new(&state.held_requests);
    let until = Instant::now() + max_hold;
    loop {
        match known(state) {
            Some(settings) => return Ok(settings),
            None if state.store_unavailable() => return Err(Reason::Unsettled),
            None if Instant::now() >= until => {
                state.startup.borrow_mut().record_expiry();
                return Err(Reason::Starting);
            }
            None => drop(timeout(CHECK_INTERVAL, state.changed.notified()).await),
        }
    }
}

/// Returns the settings in force if the servers are known too.
fn known(state: &State) -> Option<Rc<Settings>> {
    state.settings().filter(|_| state.servers_read.get())
}

/// Returns the answer to a request that was refused before it was read.
pub fn error(state: &State, reason: Reason) -> Response<Body> {
    match reason {
        Reason::Starting => answer::error_after(reason, Some(startup::retry_after(state.now()))),
        _ => answer::error(reason),
    }
}
