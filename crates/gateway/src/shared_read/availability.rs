//! Checks whether the store answers this router while its source has no fresh data.

use std::time::Duration;

use super::freshness::{
    is_aging, is_store_reached, is_timely, known_as_of_all, may_look, record_answer,
    record_silence, uses_source,
};
use super::{known_as_of, source};
use crate::roster::Source;
use crate::state::State;
use crate::store::Log;

/// Time within which all routers of a group check at first.
const CHECK_SPREAD: Duration = Duration::from_millis(200);

/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Whether the source reports that the store does not answer.
pub(super) fn is_reported_unavailable(state: &State) -> bool {
    state.sharing.store_unavailable.get() && source(state) != Source::Store
}

/// Whether this router may read a log from the store now. With a source, it does so only if the source has no fresh data
/// although the store may answer this router; join calls show as much, and cost least.
pub fn may_read_store(state: &State, log: Log) -> bool {
    match known_as_of(state, log) {
        _ if source(state) == Source::Store => true,
        Some(read) if is_timely(log) && !uses_source(state, log) => may_look(state, read),
        _ => !is_reported_unavailable(state),
    }
}

/// Whether a join call is due at once, to check whether the store answers this router.
pub fn is_store_check_due(state: &State) -> bool {
    needs_check(state) && state.sharing.store_check_at.get().is_some_and(|at| at <= state.now())
}

/// Schedules a check if the data of this router is old.
pub(super) fn schedule_check(state: &State) {
    let check_at = &state.sharing.store_check_at;
    match check_at.get() {
        _ if !needs_check(state) => check_at.set(None),
        Some(_) => {}
        None => check_at.set(Some(state.now() + CHECK_SPREAD.mul_f64(rand::random()))),
    }
}

fn needs_check(state: &State) -> bool {
    is_reported_unavailable(state) || is_aging(state)
}

/// Records that the store answered a call of this router. A source that has no fresh data is left: it may be the only
/// router that is cut off.
pub fn record_store_answer(state: &State) {
    schedule_next_check(state);
    record_answer(state);
    if needs_check(state) || state.store_unavailable() {
        state.sharing.updated.notify_waiters();
        state.store_regained.notify_waiters();
    }
}

/// Records that the store did not answer a call of this router.
pub fn record_store_silence(state: &State) {
    schedule_next_check(state);
    record_silence(state);
}

fn schedule_next_check(state: &State) {
    let next = needs_check(state).then(|| state.now() + CHECK_INTERVAL);
    state.sharing.store_check_at.set(next);
}

/// Whether the store has answered this router since the source has had fresh data.
pub(super) fn has_store_answered(state: &State) -> bool {
    let since = known_as_of_all(state);
    needs_check(state) && since.is_some_and(|since| is_store_reached(state, since))
}
