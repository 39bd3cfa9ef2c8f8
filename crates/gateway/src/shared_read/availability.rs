//! Checks whether a store that the source reports as unavailable answers this router.

use std::time::Duration;

use super::source;
use crate::roster::Source;
use crate::state::State;

/// Time for which an answer of the store shows that it is available.
const ANSWER_VALIDITY: Duration = Duration::from_secs(2);

/// Whether the source reports that the store does not answer.
pub(super) fn is_reported_unavailable(state: &State) -> bool {
    state.sharing.store_unavailable.get() && source(state) != Source::Store
}

/// Whether this router may read the store now. While the source reports the store as unavailable, only join calls are
/// sent to it: they show as much, and cost least.
pub fn may_read_store(state: &State) -> bool {
    !is_reported_unavailable(state)
}

/// Whether a join call is due at once, to check whether the store answers this router.
pub fn is_store_check_due(state: &State) -> bool {
    is_reported_unavailable(state)
        && state.sharing.store_check_at.get().is_some_and(|at| at <= state.now())
}

/// Records that the store answered a call that this router sent at `sent_at`. A source that has reported the store as
/// unavailable is requested to check again: it may be the only router that is cut off, or may not know that the store
/// is available again.
pub fn record_store_answer(state: &State, sent_at: Duration) {
    state.sharing.store_check_at.set(None);
    match is_reported_unavailable(state) {
        true if state.sharing.reported_unavailable_at.get() < sent_at => {
            state.sharing.store_answered_at.set(Some(state.now()));
        }
        true => {}
        false if state.store_unavailable() => state.store_regained.notify_waiters(),
        false => {}
    }
}

/// Records that the store did not answer a call of this router.
pub fn record_store_silence(state: &State) {
    state.sharing.store_check_at.set(None);
    state.sharing.store_answered_at.set(None);
}

/// Whether the store has answered this router since the source reported it as unavailable.
pub(super) fn has_store_answered(state: &State) -> bool {
    state.sharing.store_answered_at.get().is_some_and(|at| state.now() < at + ANSWER_VALIDITY)
}
