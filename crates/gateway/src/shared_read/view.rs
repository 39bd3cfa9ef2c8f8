//! Whether routers that hear from each other believe the same of the servers.
//!
//! A router passes on what was new to itself, and servers write only what changes, so nobody tells a router again of a
//! change that it has missed. With each question and answer, two routers therefore compare digests of their lists. Where
//! these differ, the one that is asked reads the whole list again at once. The one that asks does so if that did not help.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{hears, position};
use crate::server::Server;
use crate::state::State;
use crate::store::{Log, Offset};

/// Time in which the router that was asked reads the whole list.
const ASKED_FIRST: Duration = Duration::from_millis(400);

/// Shortest time between two reads of the whole list for a difference: it may be one that a read does not end.
const AGAIN: Duration = Duration::from_secs(2);

/// Digest of entries of servers, equal where they say the same. It is compared between processes of one release.
pub type Digest = u64;

/// The list of servers as a router believes it after the records before an offset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Offset after the last record that was taken over.
    pub end: Offset,
    /// Sum of the digests of all entries.
    pub digest: Digest,
}

/// Digest of one entry. The time that a server stays slow and the number of the entry are no news.
pub fn digest(server: &Server) -> Digest {
    let mut hasher = DefaultHasher::new();
    let Server { id, service, address, zone, slots, state, born, card, span, .. } = server;
    (id, service, address, zone, slots, state, born, card, span).hash(&mut hasher);
    hasher.finish()
}

/// Notes that the list of servers was taken over up to the offset `end`.
pub fn note_list(state: &State, end: Offset) {
    let peers = state.peers();
    // The entry of a lapsed server is gone, here and at routers that have dropped it.
    let listed = peers.iter().filter(|peer| !peer.is_expired());
    let digest = listed.map(|peer| peer.digest()).fold(0, Digest::wrapping_add);
    state.sharing.view.set(Some(View { end, digest }));
    compare_with_source(state);
}

/// Takes the view of a router that asks this one. If it is another one, this router reads the whole list again.
pub(super) fn hear_asker(state: &State, asker: View) {
    if differ(state, asker) == Some(true) && may_read(state) {
        log::warn!("gateway: list differs from={asker:?} own={:?}", state.sharing.view.get());
        read_all(state);
    }
}

/// Takes the view of the router that this one hears from.
pub(super) fn hear_source(state: &State, view: Option<View>) {
    state.sharing.source_view.set(view);
    compare_with_source(state);
}

fn compare_with_source(state: &State) {
    let Some(source) = state.sharing.source_view.get().filter(|_| hears(state)) else { return };
    let (now, dispute) = (state.now(), &state.sharing.dispute);
    match (differ(state, source), dispute.get()) {
        (None, _) => {}
        (Some(false), _) => dispute.set(None),
        (Some(true), Some(at)) if now < at + ASKED_FIRST || !may_read(state) => {}
        (Some(true), Some(_)) => read_all(state),
        (Some(true), None) => {
            state.metrics.list_differs();
            let own = state.sharing.view.get();
            log::warn!("gateway: list differs from source={source:?} own={own:?}");
            dispute.set(Some(now));
        }
    }
}

/// Whether another view differs from the own one; none if the two can't be compared, as records lie between them.
fn differ(state: &State, other: View) -> Option<bool> {
    let own = state.sharing.view.get()?;
    let (from, to) = (own.end.min(other.end), own.end.max(other.end));
    let tails = state.sharing.tails.borrow();
    let tail = &tails[position(Log::Servers)?];
    if tail.end()? < to {
        return None;
    }
    let (records, _) = tail.from(from)?;
    let between = records.iter().any(|(offset, _)| *offset < to);
    (!between).then_some(own.digest != other.digest)
}

fn may_read(state: &State) -> bool {
    state.sharing.read_all_at.get().is_none_or(|at| at + AGAIN <= state.now())
}

/// Has the whole list read again.
fn read_all(state: &State) {
    state.sharing.read_all_at.set(Some(state.now()));
    state.sharing.read_all.set(true);
    state.sharing.news.notify_waiters();
}

/// Whether the whole list is to be read now; true once for each time.
pub fn take_read_all(state: &State) -> bool {
    state.sharing.read_all.take()
}
