//! Checks whether the store answers this router while its source has no fresh data.

use std::rc::Rc;
use std::time::Duration;

use policy::staleness::{Access, Check};
use tokio::time::timeout;

use super::freshness::{
    data, is_aging, is_timely, known_as_of_all, may_leave_source, own_access, own_limits,
    record_answer, record_silence, uses_source,
};
use super::{CHECK_INTERVAL, LOGS, known_as_of, source};
use crate::leader;
use crate::roster::Source;
use crate::state::State;
use crate::store::Log;

/// Whether the source reports that the store does not answer.
pub(super) fn is_reported_unavailable(state: &State) -> bool {
    state.sharing.store_unavailable.get() && source(state) != Source::Store
}

/// Whether this router may read a log from the store now. With a source, it does so only if the source has no fresh data
/// although the store may answer this router; join calls show as much, and cost least.
pub fn may_read_store(state: &State, log: Log) -> bool {
    may_read_store_from(state, log).is_some_and(|from| from <= state.now())
}

/// Returns from when on this router may read a log from the store, as far as that is known.
pub fn may_read_store_from(state: &State, log: Log) -> Option<Duration> {
    match known_as_of(state, log) {
        _ if source(state) == Source::Store => Some(Duration::ZERO),
        Some(read) if is_timely(log) && !uses_source(state, log) => match own_access(state, read) {
            Access::Granted => Some(Duration::ZERO),
            Access::From(at) => Some(at),
            Access::AfterCheck => None,
        },
        _ => (!is_reported_unavailable(state)).then_some(Duration::ZERO),
    }
}

/// Checks whether the store answers this router whenever its data grows old, as long as the process runs. A task of its
/// own does so, as those that poll the source or give orders may be waiting for an answer at that moment.
pub async fn check_store(state: Rc<State>) {
    state.sharing.check.replace(Check::new(rand::random()));
    loop {
        let (now, due) = (state.now(), check_due(&state));
        if due.is_none_or(|at| at > now) {
            let wait = due.map_or(CHECK_INTERVAL, |at| at - now);
            let _ = timeout(wait, state.sharing.check_changed.notified()).await;
            continue;
        }
        match leader::keep_membership(&state, own_limits(&state).check_answer).await {
            Ok(()) => record_store_answer(&state),
            Err(why) => {
                if state.sharing.silent_since.get().is_none() {
                    log::info!("gateway: store check failed why={why}");
                }
                record_store_silence(&state);
            }
        }
    }
}

/// Returns when the next check is due; none if this router is not a member of the group.
fn check_due(state: &State) -> Option<Duration> {
    if state.stopping.get().is_some() || state.tenure.borrow().is_withdrawn(state.now()) {
        return None;
    }
    let (limits, check) = (own_limits(state), state.sharing.check.borrow());
    let timely = LOGS.into_iter().filter(|log| is_timely(*log));
    let due = |log| {
        let read = known_as_of(state, log)?;
        check.due(&limits, &state.store.contact(), data(state, read))
    };
    let own = match source(state) {
        Source::Store => None,
        Source::Reader(_) | Source::Relay(_) => timely.filter_map(due).min(),
    };
    own.into_iter().chain(check.requested(&limits)).min()
}

/// Requests a check, as another router reports that the store answers it.
pub(super) fn request_check(state: &State) {
    state.sharing.check.borrow_mut().request();
    state.sharing.check_changed.notify_one();
}

fn needs_check(state: &State) -> bool {
    is_reported_unavailable(state) || is_aging(state)
}

/// Records that the store answered a call of this router. A source that has no fresh data is left: it may be the only
/// router that is cut off.
pub fn record_store_answer(state: &State) {
    state.sharing.check.borrow_mut().record(state.now(), true);
    record_answer(state);
    if needs_check(state) || state.store_unavailable() {
        state.sharing.updated.notify_waiters();
        state.store_regained.notify_waiters();
    }
}

/// Records that the store did not answer a call of this router.
pub fn record_store_silence(state: &State) {
    state.sharing.check.borrow_mut().record(state.now(), false);
    state.sharing.check_changed.notify_one();
    record_silence(state);
}

/// Whether this router may read the store, as it was answered since the source has had fresh data. The source then checks
/// again whether the store answers it too.
pub(super) fn reaches_store(state: &State) -> bool {
    let since = known_as_of_all(state);
    let is_reached = |since| own_access(state, since) != Access::AfterCheck;
    needs_check(state) && since.is_some_and(is_reached)
}

/// Whether the store has answered this router since the source has had fresh data, and the source had time to read it.
pub(super) fn has_store_answered(state: &State) -> bool {
    let since = known_as_of_all(state);
    needs_check(state) && since.is_some_and(|since| may_leave_source(state, since))
}
