//! Finds out why a backend server declines requests, and notifies the other routers of one that is leaving.
//!
//! The list of servers says so as well, but not while the store is unavailable.

use std::rc::Rc;
use std::time::Duration;

use policy::availability::Use;
use policy::crash::Start;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::availability;
use crate::notice::Notice;
use crate::peer::Peer;
use crate::probe;
use crate::route;
use crate::server::Report;
use crate::state::State;

/// Fraction of a server's memory in use above which it may decline a request for lack of memory.
const NEARLY_FULL_FRACTION: f64 = 0.85;

/// Avoids a server that declined a request for a while, and finds out why it did.
///
/// The other routers are notified, unless its last known memory use was nearly full: it may have room again by the time
/// they receive the notice. A server that said itself what it wants is not asked.
pub fn record_decline(state: &Rc<State>, peer: &Rc<Peer>) {
    let now = state.now();
    let already_declining = peer.declines.borrow().holds(now);
    peer.declines.borrow_mut().record_failure(now);
    let full = route::reported_fill(peer, now).is_some_and(|fill| fill > NEARLY_FULL_FRACTION);
    if !already_declining && !full {
        state.announce(Notice::Declines { server: peer.server().id.clone() });
    }
    if peer.obstacle(Use::Path, now).is_none() {
        check(state, peer);
    }
}

/// Probes a server that declined a request. Suspects it if it does not answer; if it is leaving, avoids it and checks it
/// again as long as it is listed as ready.
fn check(state: &Rc<State>, peer: &Rc<Peer>) {
    if peer.checking_departure.replace(true) {
        return;
    }
    let (state, peer) = (state.clone(), peer.clone());
    spawn_local(async move {
        if may_be_leaving(&state, &peer).await {
            watch(&state, &peer).await;
        }
        peer.checking_departure.set(false);
    });
}

/// Whether nothing else explains that a server declined a request.
async fn may_be_leaving(state: &Rc<State>, peer: &Rc<Peer>) -> bool {
    let span = peer.span(state.now());
    match probe::report(state, peer).await {
        Some(report) => {
            probe::record_layers(state, peer, &report, span);
            let Report { busy, filled, .. } = report;
            !busy && report.span == span && filled.is_some_and(|fill| fill <= NEARLY_FULL_FRACTION)
        }
        None => {
            probe::suspect(state, peer, "no answer to a probe");
            false
        }
    }
}

/// Asks a server for its health until it is well again or listed as leaving.
async fn watch(state: &Rc<State>, peer: &Rc<Peer>) {
    let (server, listed) = (peer.server(), || state.peer(&peer.server().id).is_some());
    while peer.ready() && !peer.says_leaving() && listed() && peer.server().born == server.born {
        if let Some(end) = peer.backoff_end(state.now()) {
            sleep(end.saturating_sub(state.now())).await;
            continue;
        }
        let health = probe::health(state, peer).await;
        let leaving = peer.departure.borrow_mut().record_health(health, state.now());
        log::info!("gateway: server={} leaving={leaving} health={health:?}", server.id);
        state.changed.notify_waiters();
        if !leaving {
            return;
        }
        let hold = peer.departure.borrow().until().saturating_sub(state.now());
        state.announce(Notice::Leaving {
            server: server.id.clone(),
            born: server.born,
            hold_ms: hold.as_millis() as u64,
            stated: false,
        });
        sleep(hold).await;
    }
}

/// Applies the notice of another router that a server is leaving. If the server has `stated` it, it holds for good.
pub fn receive(state: &State, server: &str, born: u64, hold: Duration, stated: bool) {
    if stated {
        let start = Start { id: server.to_owned(), born };
        return availability::record_leaving(state, &start, "reported by another router", false);
    }
    if let Some(peer) = state.peer(server).filter(|peer| peer.server().born == born) {
        peer.departure.borrow_mut().record_report(state.now(), hold);
    }
}
