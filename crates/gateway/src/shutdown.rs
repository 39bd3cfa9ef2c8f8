//! The end of the process: callers go elsewhere first, then work ends, then the process.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::request::Call;
use crate::retries;
use crate::state::State;
use crate::store;

/// Time during which new connections still come after the balancer was told: it asks every second
/// and believes the second answer.
const BALANCER_DELAY: Duration = Duration::from_millis(2600);

/// Time left at the end of the grace period, for the last bytes to leave.
const FLUSH_RESERVE: Duration = Duration::from_millis(300);

/// Time after the stop signal in which streams are still begun. A stream takes seconds; one that
/// is begun later would be cut at the end of the grace period, after the caller got part of it.
const STREAM_ACCEPT_WINDOW: Duration = Duration::from_millis(2700);

/// Whether a request that comes now would be answered before the process ends.
pub fn accepts(state: &State, call: &Call, stream: bool) -> bool {
    let Some(told) = state.stopping.get() else { return true };
    let since = state.now().saturating_sub(told);
    match stream {
        true => since < STREAM_ACCEPT_WINDOW,
        false => since + call.route.timeout + FLUSH_RESERVE < state.setup.grace,
    }
}

/// Waits until no caller is connected.
async fn wait_for_callers(state: &State, end: Instant) {
    while Instant::now() < end && state.callers.get() > 0 {
        sleep(Duration::from_millis(20)).await;
    }
}

/// Stops serving; returns when the process may end.
pub async fn run(state: &Rc<State>) {
    let end = Instant::now() + state.setup.grace.saturating_sub(FLUSH_RESERVE);
    state.stopping.set(Some(state.now()));
    log::info!("gateway: stopping serving={} callers={}", state.serving.get(), state.callers.get());
    let leave = state.store.call(store::Call::Leave { member: state.member() });
    let told = sleep(BALANCER_DELAY);
    let (left, ()) = tokio::join!(tokio::time::timeout(BALANCER_DELAY, leave), told);
    if !matches!(left, Ok(Ok(_))) {
        log::info!("gateway: the group of routers was not told: {left:?}");
    }
    wait_for_callers(state, end).await;
    retries::hand_over(state).await;
    // More may have come meanwhile.
    wait_for_callers(state, end).await;
    log::info!("gateway: stopped serving={} callers={}", state.serving.get(), state.callers.get());
}
