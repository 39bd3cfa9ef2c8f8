//! Graceful shutdown: new callers go to other routers first, then running requests end, then the process.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::request::Call;
use crate::retries;
use crate::state::State;
use crate::store;

/// Time in which new connections still arrive after readiness has ended: the load balancer checks it every
/// second and acts on the second failure.
const BALANCER_DELAY: Duration = Duration::from_millis(2600);

/// Time kept free at the end of the grace period for sending the last bytes.
const FLUSH_RESERVE: Duration = Duration::from_millis(300);

/// Time after the stop signal in which new streams are accepted. A stream takes seconds; one that
/// begins later would be cut off at the end of the grace period, after the caller has received part of it.
const STREAM_ACCEPT_WINDOW: Duration = Duration::from_millis(2700);

/// Whether a request that arrives now can be answered before the process ends.
pub fn accepts(state: &State, call: &Call, stream: bool) -> bool {
    let Some(began) = state.stopping.get() else { return true };
    let since = state.now().saturating_sub(began);
    match stream {
        true => since < STREAM_ACCEPT_WINDOW,
        false => since + call.route.timeout + FLUSH_RESERVE < state.setup.grace,
    }
}

/// Waits until no caller is connected, or until `end`.
async fn wait_for_callers(state: &State, end: Instant) {
    while Instant::now() < end && state.callers.get() > 0 {
        sleep(Duration::from_millis(20)).await;
    }
}

/// Stops serving. Returns when the process may end.
pub async fn run(state: &Rc<State>) {
    let end = Instant::now() + state.setup.grace.saturating_sub(FLUSH_RESERVE);
    state.stopping.set(Some(state.now()));
    log::info!("gateway: stopping serving={} callers={}", state.serving.get(), state.callers.get());
    let leave = state.store.call(store::Call::Leave { member: state.member() });
    let delay = sleep(BALANCER_DELAY);
    let (left, ()) = tokio::join!(tokio::time::timeout(BALANCER_DELAY, leave), delay);
    if !matches!(left, Ok(Ok(_))) {
        log::info!("gateway: could not leave the group of routers: {left:?}");
    }
    wait_for_callers(state, end).await;
    retries::hand_over(state).await;
    // More callers may have connected in the meantime.
    wait_for_callers(state, end).await;
    log::info!("gateway: stopped serving={} callers={}", state.serving.get(), state.callers.get());
}
