//! Decides by the age of what this router knows whether it looks for another source than the one that the roster names.
//!
//! [`policy::staleness`] has the ages. A source is left, that is, avoided for some seconds, only if another one is known to
//! have fresh data or the store answers this router: while the store answers nobody, all routers stay where they are, and
//! notices go on passing between them. A reader that is cut off from the store leaves itself.

use std::net::SocketAddr;
use std::time::Duration;

use policy::staleness::{Access, Data, Limits, Role, access, limits, may_leave};

use super::{LOGS, is_avoided, known_as_of, position, source, source_without};
use crate::roster::{MIN_SHARING_ROUTERS, Source};
use crate::state::State;
use crate::store::Log;

/// Time for which a router that was left is avoided.
const SOURCE_BACKOFF: Duration = Duration::from_secs(4);

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

/// Multiple of this process's own scheduling delay by which it acts later.
const LAG_FACTOR: u32 = 2;

/// Returns the ages at which this router acts. However slow its VM is, it reads the store at the age at which it has to.
pub(super) fn own_limits(state: &State) -> Limits {
    limits(state.setup.in_force, role(state)).delayed(state.lag.get() * LAG_FACTOR)
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

/// Returns the age up to which data of the source is used without a look at the store.
fn max_age(state: &State) -> Duration {
    let is_asked = state.sharing.answered_by.get() == current(state);
    own_limits(state).max_age(is_asked, state.sharing.store_unavailable.get())
}

/// Returns the time until the data of a log is that old.
pub(super) fn time_left(state: &State, log: Log) -> Duration {
    let tails = state.sharing.tails.borrow();
    let age = position(log).and_then(|at| tails[at].age(state.now()));
    max_age(state).saturating_sub(age.unwrap_or_default())
}

/// Returns what this router knows of a log that is known as of `read`.
pub(super) fn data(state: &State, read: Duration) -> Data {
    let sharing = &state.sharing;
    let reported = sharing.store_unavailable.get().then(|| sharing.reported_unavailable_at.get());
    Data { read, reported }
}

/// Returns whether this router may read the store, as its source has no fresh data of a log that is known as of `read`. A
/// restore of the store counts as an outage: all routers read everything again, the one that reads for others first.
pub(super) fn own_access(state: &State, read: Duration) -> Access {
    let limits = own_limits(state);
    let access = access(&limits, &state.store.contact(), data(state, read));
    match (access, state.sharing.era_began_at.get()) {
        (Access::Granted, Some(began)) => Access::From(began + limits.settle),
        (Access::From(at), Some(began)) => Access::From(at.max(began + limits.settle)),
        (access, _) => access,
    }
}

/// Whether this router may leave a source whose data is known as of `read`.
pub(super) fn may_leave_source(state: &State, read: Duration) -> bool {
    may_leave(&own_limits(state), &state.store.contact(), data(state, read), state.now())
}

/// Avoids a router that gave no usable answer.
pub(super) fn avoid(state: &State, address: SocketAddr, why: &str) {
    log::info!("gateway: source lost address={address} age={:?} why={why}", age(state));
    state.metrics.source_lost();
    extend(state, address);
    state.sharing.source.borrow_mut().take();
    state.sharing.store_unavailable.set(false);
    state.sharing.updated.notify_waiters();
    state.sharing.check_changed.notify_one();
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

/// Records that the store has answered this router. If it had been silent, this router may read for others again, and so
/// may the routers that were left meanwhile. Those that were left before are still avoided.
pub(super) fn record_answer(state: &State) {
    let Some(since) = state.sharing.silent_since.take() else { return };
    let own = state.setup.inner;
    let mut left = Vec::new();
    state.sharing.avoided.borrow_mut().retain(|(address, until)| {
        let is_kept = Some(*address) != own && *until < since + SOURCE_BACKOFF;
        left.extend((!is_kept).then_some(*address));
        is_kept
    });
    if !left.is_empty() {
        log::info!("gateway: the store answers again, sources={left:?} are used again");
        state.sharing.updated.notify_waiters();
        state.store_regained.notify_waiters();
    }
}

/// Records that the store did not answer this router.
pub(super) fn record_silence(state: &State) {
    let since = state.sharing.silent_since.get().unwrap_or(state.now());
    state.sharing.silent_since.set(Some(since));
    if let Some(own) = state.setup.inner.filter(|own| is_avoided(state, *own)) {
        extend(state, own);
    }
}
