//! Decides by the age of what this router knows whether it looks for another source than the one that the roster names.
//!
//! [`policy::staleness`] has the ages. A source is left, that is, avoided for some seconds, only if another one is known to
//! have fresh data or the store answers this router: while the store answers nobody, all routers stay where they are, and
//! notices go on passing between them. A reader that is cut off from the store leaves itself.

use std::net::SocketAddr;
use std::time::Duration;

use policy::staleness::{Limits, Role, limits};

use super::{LOGS, is_avoided, known_as_of, position, source, source_without};
use crate::roster::{MIN_SHARING_ROUTERS, Source};
use crate::state::State;
use crate::store::Log;

/// Time for which a router that was left is avoided.
const SOURCE_BACKOFF: Duration = Duration::from_secs(4);

/// Time after the store has answered this router again within which another router is expected to have read it.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Whether the data of a log must not grow old. Notices arrive as gossip; those in the store are from routers that have no
/// source.
pub(super) fn is_timely(log: Log) -> bool {
    log != Log::Notices
}

/// Returns where this router receives its data from, and whether it is the next one to read for others.
fn role(state: &State) -> Role {
    match source(state) {
        Source::Store => Role::Reader,
        Source::Reader(address) | Source::Relay(address) => {
            match (source(state), source_without(state, Some(address))) {
                (_, Source::Store) => Role::Direct { next: true },
                (Source::Relay(_), next) => {
                    Role::Relayed { next: !matches!(next, Source::Relay(_)) }
                }
                _ => Role::Direct { next: false },
            }
        }
    }
}

/// Multiple of this process's own scheduling delay by which it acts later. On a slow VM, all data is old, whoever sent it.
const LAG_FACTOR: u32 = 2;

/// Returns the ages at which this router acts. However slow its VM is, it reads the store at the age at which it has to.
pub(super) fn own_limits(state: &State) -> Limits {
    let limits = limits(state.setup.in_force, role(state));
    let lag = state.lag.get() * LAG_FACTOR;
    let Limits { check, source, last, .. } = limits;
    Limits { check: (check + lag).min(source), source: (source + lag).min(last), ..limits }
}

/// Returns as of when all timely logs are known; none before they were read.
pub(super) fn known_as_of_all(state: &State) -> Option<Duration> {
    let tails = state.sharing.tails.borrow();
    let timely = LOGS.iter().filter(|log| is_timely(**log));
    timely.map(|log| tails[position(*log)?].read()).min().flatten()
}

/// Returns the age of the oldest timely log.
pub(super) fn age(state: &State) -> Option<Duration> {
    known_as_of_all(state).map(|read| state.now().saturating_sub(read))
}

/// Whether the data of this router is so old that it looks for another source.
pub(super) fn is_late(state: &State) -> bool {
    age(state).is_some_and(|age| age > own_limits(state).source)
}

/// Whether the data of this router will soon be that old, so that it checks whether the store answers it.
pub(super) fn is_aging(state: &State) -> bool {
    age(state).is_some_and(|age| age > own_limits(state).check)
}

/// Whether a log is known from the source, and not too old to be used without a look at the store.
pub(super) fn uses_source(state: &State, log: Log) -> bool {
    let tails = state.sharing.tails.borrow();
    let age = position(log).and_then(|at| tails[at].age(state.now()));
    let is_fresh = |age| !is_timely(log) || age <= max_age(state);
    source(state) != Source::Store && age.is_some_and(is_fresh)
}

/// Returns the age up to which data of the source is used without a look at the store. The next reader looks sooner, and
/// at once if the source does not reach the store.
fn max_age(state: &State) -> Duration {
    let limits = own_limits(state);
    // A source that was not asked yet may have fresh data.
    let is_asked = state.sharing.answered_by.get() == current(state);
    match () {
        () if !limits.is_next_reader || !is_asked => limits.last,
        () if state.sharing.store_unavailable.get() => Duration::ZERO,
        () => limits.source,
    }
}

/// Returns the time until the data of a log is that old.
pub(super) fn time_left(state: &State, log: Log) -> Duration {
    let tails = state.sharing.tails.borrow();
    let age = position(log).and_then(|at| tails[at].age(state.now()));
    max_age(state).saturating_sub(age.unwrap_or_default())
}

/// Whether this router may look whether it reaches the store, as a log that is known as of `read` is too old: once
/// without further evidence if it is the next reader, else when the store has answered a join call.
pub(super) fn may_look(state: &State, read: Duration) -> bool {
    let failed = state.store.contact().failed.is_some_and(|at| state.time_of(at) >= read);
    (own_limits(state).is_next_reader && !failed) || is_store_reached(state, read)
}

/// Whether the store has answered this router since the source, whose data is known as of `read`, has shown that it has no
/// fresh data. If the store had been silent for this router as well, the router that reads for others gets some time to
/// read it first.
pub(super) fn is_store_reached(state: &State, read: Duration) -> bool {
    let (contact, sharing) = (state.store.contact(), &state.sharing);
    let since = match sharing.store_unavailable.get() {
        true => sharing.reported_unavailable_at.get(),
        false => read + own_limits(state).check,
    };
    let time_of = |at| state.time_of(at);
    let answered = contact.answered.is_some_and(|at| time_of(at) >= since);
    let failed = contact.failed.is_some_and(|at| time_of(at) >= read);
    let settled = || contact.regained.is_some_and(|at| time_of(at) + SETTLE_TIME <= state.now());
    answered && (!failed || settled())
}

/// Avoids a router that gave no usable answer.
pub(super) fn avoid(state: &State, address: SocketAddr, why: &str) {
    log::info!("gateway: source lost address={address} age={:?} why={why}", age(state));
    state.metrics.source_lost();
    extend(state, address);
    state.sharing.source.borrow_mut().take();
    state.sharing.store_unavailable.set(false);
    state.sharing.updated.notify_waiters();
    state.store_regained.notify_waiters();
}

fn extend(state: &State, address: SocketAddr) {
    let (now, mut avoided) = (state.now(), state.sharing.avoided.borrow_mut());
    avoided.retain(|(a, until)| now < *until && *a != address);
    avoided.push((address, now + SOURCE_BACKOFF));
}

/// Whether this router reads a log itself because its source has no fresh data, and is the next reader.
pub fn looks_past_source(state: &State, log: Log) -> bool {
    let is_known = known_as_of(state, log).is_some();
    is_timely(log) && is_known && !uses_source(state, log) && own_limits(state).is_next_reader
}

/// Leaves the source, as this router has read the store while the source had no fresh data.
pub fn replace_source(state: &State) {
    if let Source::Reader(address) | Source::Relay(address) = source(state) {
        avoid(state, address, "this router has read the store");
    }
}

/// Returns the router that this one reads through, which is itself for a reader; none if it can't read through others.
pub(super) fn current(state: &State) -> Option<SocketAddr> {
    let own = state.setup.inner.filter(|_| state.sharing.members() >= MIN_SHARING_ROUTERS)?;
    match source(state) {
        Source::Store => Some(own),
        Source::Reader(address) | Source::Relay(address) => Some(address),
    }
}

/// Returns the router that would be the source without the current one.
pub(super) fn alternative(state: &State) -> Option<SocketAddr> {
    match source_without(state, Some(current(state)?)) {
        Source::Reader(address) | Source::Relay(address) => Some(address),
        Source::Store => None,
    }
}

/// Records that the store has answered this router. If it had been silent, the routers that were left meanwhile may have
/// fresh data again.
pub(super) fn record_answer(state: &State) {
    if !state.sharing.store_silent.take() {
        return;
    }
    let left = state.sharing.avoided.take();
    if !left.is_empty() {
        log::info!("gateway: the store answers again, sources={left:?} are used again");
        state.sharing.updated.notify_waiters();
        state.store_regained.notify_waiters();
    }
}

/// Records that the store did not answer this router.
pub(super) fn record_silence(state: &State) {
    state.sharing.store_silent.set(true);
    if let Some(own) = state.setup.inner.filter(|own| is_avoided(state, *own)) {
        extend(state, own);
    }
}
