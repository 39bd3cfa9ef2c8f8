//! Whether a store that another router says is away answers this one.

use std::time::Duration;

use super::source;
use crate::roster::Source;
use crate::state::State;

/// Time for which an answer of the store shows that it is there.
const ANSWERED: Duration = Duration::from_secs(2);

/// Whether the router that this one hears from says that the store does not answer.
pub(super) fn is_reported_unavailable(state: &State) -> bool {
    state.sharing.store_unavailable.get() && source(state) != Source::Store
}

/// Whether this router may read the store now. While another router says that the store is away, only the calls that
/// keep the seat go there: they tell as much, and are the cheapest.
pub fn may_read_store(state: &State) -> bool {
    !is_reported_unavailable(state)
}

/// Whether the seat is to be asked for at once, to see whether the store answers this router.
pub fn is_store_check_due(state: &State) -> bool {
    is_reported_unavailable(state) && state.sharing.check.get().is_some_and(|at| at <= state.now())
}

/// Notes that the store answered a call that this router began at `began`. A source that said before that the store is
/// away is asked to look again; it may be cut off alone, or have missed that the store is back.
pub fn record_store_answer(state: &State, began: Duration) {
    state.sharing.check.set(None);
    match is_reported_unavailable(state) {
        true if state.sharing.reported_unavailable.get() < began => {
            state.sharing.answered.set(Some(state.now()));
        }
        true => {}
        false if state.store_unavailable() => state.store_returned.notify_waiters(),
        false => {}
    }
}

/// Notes that the store did not answer a call of this router.
pub fn record_store_silence(state: &State) {
    state.sharing.check.set(None);
    state.sharing.answered.set(None);
    state.sharing.silent.set(Some(state.now()));
}

/// Whether the store has not answered this router itself since then. If not, it was away for the router that said so
/// only, and entries that are gone have not lapsed.
pub fn was_store_silent_since(state: &State, since: Duration) -> bool {
    state.sharing.silent.get().is_some_and(|at| at >= since)
}

/// Whether the store has answered this router since its source said that it is away.
pub(super) fn has_store_answered(state: &State) -> bool {
    state.sharing.answered.get().is_some_and(|at| state.now() < at + ANSWERED)
}
