//! Applies entries of the list of servers.

use std::rc::Rc;

use tokio::task::spawn_local;
use tokio::time::sleep;

use super::{BatchInfo, Decoder};
use crate::peer::{Entry, Peer};
use crate::record::Fault;
use crate::server::{Id, Server};
use crate::state::State;
use crate::store::{Item, Log, Offset};

/// Records as of when the list is known from now on.
pub(super) fn record_read(state: &State, info: &BatchInfo) {
    let (now, mut silence) = (state.now(), state.silence.borrow_mut());
    if info.restored {
        // Entries that the restored copy lacks are written again, as expired ones are.
        silence.record_lost_writes(now);
    }
    if let Some(time) = silence.record(info.read, now) {
        log::info!("gateway: list of servers not read for {time:?}, entries may have expired");
    }
}

/// Applies a record of the list; returns false if a newer one is known.
pub(super) fn apply(state: &Rc<State>, decoder: Decoder, item: &Item) -> bool {
    let entry = match item.value.as_ref().map(|value| decoder.entry(&item.key, value)) {
        Some(Err(why)) => {
            record_invalid(state, item, &why);
            // It replaces what the server has written, and names no server to use.
            if state.peer(&item.key).is_some() {
                log::info!("gateway: server={} gone=true why=its entry is invalid", item.key);
                state.remove(&item.key);
            }
            return true;
        }
        entry => entry.and_then(Result::ok),
    };
    let known = Entry { offset: item.offset, received: state.now() };
    match (entry, state.peer(&item.key)) {
        (Some(server), Some(peer)) => {
            let was = peer.server();
            if server.is_before(&was) {
                record_old_entry(state, &server, &was, item.offset);
                return false;
            }
            if was.address != server.address || was.service != server.service {
                state.remove(&item.key);
                state.add(Peer::new(server, known, state.availability.clone()));
                return true;
            }
            if was.state != server.state || was.span != server.span || was.born != server.born {
                log::info!(
                    "gateway: server={} state={:?} layers={} born={} sequence={} offset={}",
                    item.key,
                    server.state,
                    server.span,
                    server.born,
                    server.sequence,
                    item.offset
                );
            }
            peer.update(server, known);
        }
        (Some(server), None) => {
            if let Some(gone) = state.removed(&server).filter(|gone| !gone.is_before(&server)) {
                record_old_entry(state, &server, &gone, item.offset);
                return false;
            }
            log::info!(
                "gateway: server={} service={} state={:?} layers={} offset={} new=true",
                item.key,
                server.service,
                server.state,
                server.span,
                item.offset
            );
            state.add(Peer::new(server, known, state.availability.clone()));
        }
        (None, Some(_)) => remove_or_expire(state, &item.key),
        (None, None) => {}
    }
    true
}

/// Logs and counts an entry that can't be used. Its key may be any text.
pub(super) fn record_invalid(state: &State, item: &Item, why: &Fault) {
    state.metrics.invalid_record(Log::Servers);
    log::warn!("gateway: server={:?} entry=invalid offset={} why={why}", item.key, item.offset);
}

/// Logs and counts an entry that is older than the known one and is ignored: otherwise a leaving server would get work
/// again.
fn record_old_entry(state: &State, server: &Server, known: &Server, offset: Offset) {
    state.metrics.old_entry();
    log::info!(
        "gateway: server={} entry=old state={:?} sequence={} known={:?} known_sequence={} offset={offset}",
        server.id,
        server.state,
        server.sequence,
        known.state,
        known.sequence
    );
}

/// Handles a server whose entry is gone.
fn remove_or_expire(state: &Rc<State>, id: &Id) {
    let Some(peer) = state.peer(id) else { return };
    let now = state.now();
    match state.silence.borrow().grace_end(peer.entry().received, now).filter(|_| peer.ready()) {
        Some(_) if peer.is_expired() => {}
        Some(end) => {
            log::info!("gateway: server={id} lapsed=true grace={:?}", end.saturating_sub(now));
            peer.expire(end);
            let (state, peer) = (state.clone(), peer.clone());
            spawn_local(async move {
                sleep(end.saturating_sub(state.now())).await;
                drop_after_grace(&state, &peer);
            });
        }
        None => {
            log::info!("gateway: server={id} gone=true");
            state.remove(id);
        }
    }
}

pub(super) fn drop_missing(state: &Rc<State>, items: &[Item]) {
    for peer in state.peers() {
        let id = peer.server().id.clone();
        if !items.iter().any(|i| i.key == id) {
            remove_or_expire(state, &id);
        }
    }
}

/// Removes a server whose entry was not written again.
fn drop_after_grace(state: &State, peer: &Rc<Peer>) {
    let id = peer.server().id.clone();
    let is_listed = state.peer(&id).is_some_and(|known| Rc::ptr_eq(&known, peer));
    if is_listed && peer.is_grace_over(state.now()) {
        log::info!("gateway: server={id} gone=true why=its entry was not written again");
        state.remove(&id);
        state.changed.notify_waiters();
    }
}
