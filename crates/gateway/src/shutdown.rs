//! The end of the process: callers go elsewhere first, then work ends, then the process.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::repeats;
use crate::request::Call;
use crate::state::State;
use crate::store;

/// Time during which new connections still come after the balancer was told: it asks every second
/// and believes the second answer.
const TOLD: Duration = Duration::from_millis(2600);

/// Time left at the end of the grace period, for the last bytes to leave.
const SPARE: Duration = Duration::from_millis(300);

/// Time after the stop signal in which streams are still begun. A stream takes seconds; one that
/// is begun later would be cut at the end of the grace period, after the caller got part of it.
const STREAMS: Duration = Duration::from_millis(2700);

/// Whether a request that comes now would be answered before the process ends.
pub fn takes(state: &State, call: &Call, stream: bool) -> bool {
    let Some(told) = state.stopping.get() else { return true };
    let since = state.now().saturating_sub(told);
    match stream {
        true => since < STREAMS,
        false => since + call.route.timeout + SPARE < state.setup.grace,
    }
}

/// Waits until no caller is connected.
async fn callers_left(state: &State, end: Instant) {
    while Instant::now() < end && state.callers.get() > 0 {
        sleep(Duration::from_millis(20)).await;
    }
}

/// Stops serving; returns when the process may end.
pub async fn run(state: &Rc<State>) {
    let end = Instant::now() + state.setup.grace.saturating_sub(SPARE);
    state.stopping.set(Some(state.now()));
    log::info!("gateway: stopping serving={} callers={}", state.serving.get(), state.callers.get());
    let leave = state.store.call(store::Call::Leave { member: state.member() });
    let told = sleep(TOLD);
    let (left, ()) = tokio::join!(tokio::time::timeout(TOLD, leave), told);
    if !matches!(left, Ok(Ok(_))) {
        log::info!("gateway: the group of routers was not told: {left:?}");
    }
    callers_left(state, end).await;
    repeats::hand_over(state).await;
    // More may have come meanwhile.
    callers_left(state, end).await;
    log::info!("gateway: stopped serving={} callers={}", state.serving.get(), state.callers.get());
}
