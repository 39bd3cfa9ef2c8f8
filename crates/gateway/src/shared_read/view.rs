//! Checks whether a router and its source have the same list of servers.
//!
//! A router forwards only what was new to itself, and servers write only what changes, so a change that one router has
//! missed is not sent to it again. With each poll and answer, two routers therefore compare digests of their lists. If
//! these differ, the source reads the whole list again at once. The router that polled does so if that did not help.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{has_source, position};
use crate::server::Server;
use crate::state::State;
use crate::store::{Log, Offset};

/// Time that the source has to read the whole list again.
const SOURCE_READ_TIME: Duration = Duration::from_millis(400);

/// Shortest time between two reads of the whole list because of a difference, as a read may not remove it.
const MIN_FULL_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Digest of entries of servers, equal for entries with the same content. It is compared between processes of one
/// release.
pub type Digest = u64;

/// A router's list of servers after the records before an offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Offset after the last record that was applied.
    pub end: Offset,
    /// Sum of the digests of all entries.
    pub digest: Digest,
}

/// Returns the digest of one entry. The remaining warm-up time of a server and the number of the entry do not count.
pub fn digest(server: &Server) -> Digest {
    let mut hasher = DefaultHasher::new();
    let Server { id, service, address, zone, slots, state, born, card, span, .. } = server;
    (id, service, address, zone, slots, state, born, card, span).hash(&mut hasher);
    hasher.finish()
}

/// Records that the list of servers was read up to the offset `end`.
pub fn record_list(state: &State, end: Offset) {
    let peers = state.peers();
    // An expired entry is gone from the list, here as well as at routers that have dropped the server.
    let listed = peers.iter().filter(|peer| !peer.is_expired());
    let digest = listed.map(|peer| peer.digest()).fold(0, Digest::wrapping_add);
    state.sharing.view.set(Some(View { end, digest }));
    compare_with_source(state);
}

/// Compares the view of a router that polls this one with its own. If they differ, this router reads the whole list
/// again.
pub(super) fn compare_with_poller(state: &State, poller: View) {
    if differs(state, poller) == Some(true) && may_read_all(state) {
        log::warn!("gateway: list differs from={poller:?} own={:?}", state.sharing.view.get());
        request_full_read(state);
    }
}

/// Records the view of the source.
pub(super) fn record_source_view(state: &State, view: Option<View>) {
    state.sharing.source_view.set(view);
    compare_with_source(state);
}

fn compare_with_source(state: &State) {
    let Some(view) = state.sharing.source_view.get().filter(|_| has_source(state)) else { return };
    let (now, differs_since) = (state.now(), &state.sharing.differs_since);
    match (differs(state, view), differs_since.get()) {
        (None, _) => {}
        (Some(false), _) => differs_since.set(None),
        (Some(true), Some(at)) if now < at + SOURCE_READ_TIME || !may_read_all(state) => {}
        (Some(true), Some(_)) => request_full_read(state),
        (Some(true), None) => {
            state.metrics.list_differs();
            let own = state.sharing.view.get();
            log::warn!("gateway: list differs from source={view:?} own={own:?}");
            differs_since.set(Some(now));
        }
    }
}

/// Whether another view differs from the own one; none if the two can't be compared, as records lie between them.
fn differs(state: &State, other: View) -> Option<bool> {
    let own = state.sharing.view.get()?;
    let (from, to) = (own.end.min(other.end), own.end.max(other.end));
    let tails = state.sharing.tails.borrow();
    let tail = &tails[position(Log::Servers)?];
    if tail.end()? < to {
        return None;
    }
    let (records, _) = tail.records_from(from)?;
    let between = records.iter().any(|(offset, _)| *offset < to);
    (!between).then_some(own.digest != other.digest)
}

fn may_read_all(state: &State) -> bool {
    state
        .sharing
        .full_read_wanted_at
        .get()
        .is_none_or(|at| at + MIN_FULL_READ_INTERVAL <= state.now())
}

/// Requests that the whole list is read again.
fn request_full_read(state: &State) {
    state.sharing.full_read_wanted_at.set(Some(state.now()));
    state.sharing.full_read_wanted.set(true);
    state.sharing.updated.notify_waiters();
}

/// Whether the whole list has to be read now; true once for each request.
pub fn take_full_read_request(state: &State) -> bool {
    state.sharing.full_read_wanted.take()
}
