//! Reads the members of the group and records their changes.

use std::net::SocketAddr;
use std::time::Duration;

use super::{is_reader, source};
use crate::roster::{MIN_SHARING_ROUTERS, Roster};
use crate::state::State;
use crate::store::{Call, Reply};

/// Shortest time between two reads of the members.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(400);

/// Time without an answer of any source after which a router reads the members itself.
const SOURCE_LOSS_TIME: Duration = Duration::from_secs(3);

/// Reads the members, if this router has to: once at its start, when the group has changed and this router is the
/// reader, or when no source has answered for a while.
pub(super) async fn refresh(state: &State) {
    let (now, sharing) = (state.now(), &state.sharing);
    let joined = sharing.joined_generation.get();
    if joined == 0 || state.setup.inner.is_none() {
        return;
    }
    let changed = joined > sharing.generation();
    let source_lost = sharing.last_answer.get().is_none_or(|at| at + SOURCE_LOSS_TIME < now)
        && !sharing.store_unavailable.get();
    let few = sharing.members() < MIN_SHARING_ROUTERS;
    let due = match sharing.members_read_at.get() {
        None => true,
        Some(at) if changed && (few || is_reader(state)) => at + MIN_READ_INTERVAL < now,
        Some(at) => changed && source_lost && at + SOURCE_LOSS_TIME < now,
    };
    if !due {
        return;
    }
    sharing.members_read_at.set(Some(now));
    match state.store.call(Call::Members).await {
        Ok(Reply::Members(names)) => adopt(state, Roster::new(joined, names)),
        other => log::debug!("gateway: members are not known: {other:?}"),
    }
}

/// Adopts a newer list of members.
pub(super) fn adopt(state: &State, roster: Roster) {
    if roster.generation <= state.sharing.generation() {
        return;
    }
    let before = source(state);
    record_members(state, &roster);
    *state.sharing.roster.borrow_mut() = roster;
    let after = source(state);
    if before != after {
        log::info!(
            "gateway: source={after:?} before={before:?} members={} generation={}",
            state.sharing.members(),
            state.sharing.generation()
        );
    }
    state.sharing.updated.notify_waiters();
}

fn record_members(state: &State, roster: &Roster) {
    let members = roster.members();
    let rank = members.iter().position(|member| member.vm == state.setup.vm);
    state.sharing.rank.set(rank.map(|rank| (rank as u32, members.len() as u32)));
    state.sharing.was_member.set(state.sharing.was_member.get() || rank.is_some());
    let others = members.iter().filter(|member| member.vm != state.setup.vm);
    let mut others: Vec<SocketAddr> = others.map(|member| member.address).collect();
    others.sort_unstable();
    state.neighbours.keep(&others);
    let before = state.sharing.others.replace(others.clone().into());
    let joined = others.iter().filter(|address| before.binary_search(address).is_err());
    joined.for_each(|address| state.retries.clear_backoff(*address));
    let until = state.now() + state.setup.grace;
    let mut leaving = state.sharing.leaving.borrow_mut();
    leaving.extend(before.iter().map(|address| (*address, until)));
    leaving.sort_unstable();
    leaving.dedup_by_key(|(address, _)| *address);
    leaving.retain(|(address, _)| others.binary_search(address).is_err());
}
