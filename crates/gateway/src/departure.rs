//! Records what backend servers ask for in their answers, finds out why one declines requests without saying so, and
//! notifies the other routers of one that is leaving.
//!
//! The list of servers says so as well, but not while the store is unavailable.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use policy::availability::Use;
use policy::crash::Start;
use policy::departure::MAX_HOLD;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::notice::Notice;
use crate::peer::Peer;
use crate::probe;
use crate::route;
use crate::server::{Report, Server};
use crate::state::State;
use crate::statement::{Field, Statement};

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
        return record_leaving(state, &start, "reported by another router", false);
    }
    if let Some(peer) = state.peer(server).filter(|peer| peer.server().born == born) {
        peer.departure.borrow_mut().record_report(state.now(), hold);
    }
}

/// Records what a server asks for in an answer. `server` is its entry when `request` was sent.
pub fn record_statement(state: &State, server: &Server, statement: &Statement, request: &str) {
    match &statement.backoff {
        Field::Value(time) if !time.is_zero() => {
            record_backoff(state, server, *time, statement.culprit, request);
        }
        Field::Unreadable(text) => record_unreadable(state, server, "backoff", text),
        Field::Value(_) | Field::Absent => {}
    }
    match &statement.leaving {
        Field::Value(true) => record_leaving(state, &server.start(), "its answer", true),
        Field::Unreadable(text) => record_unreadable(state, server, "leaving", text),
        Field::Value(false) | Field::Absent => {}
    }
}

/// Records a backoff. If a later server of the path is at fault, that one gets no requests at all, and the first one,
/// which gave the answer, none that are sent to it directly.
fn record_backoff(
    state: &State,
    server: &Server,
    time: Duration,
    culprit: Option<SocketAddr>,
    request: &str,
) {
    state.metrics.backoff_asked();
    let (now, routers) = (state.now(), state.routers());
    let culprit = culprit.filter(|address| *address != server.address);
    let at_fault = culprit.and_then(|address| state.peer_at(address));
    let later = at_fault.map(|peer| (peer.server().start(), Use::Path));
    let how = if culprit.is_some() { Use::Direct } else { Use::Path };
    let mut register = state.availability.borrow_mut();
    for (start, how) in std::iter::once((server.start(), how)).chain(later) {
        if register.back_off(&start, how, time, now, routers, rand::random()) {
            log::info!(
                "gateway: server={} backoff={time:?} until={:?} use={how:?} asked_by={} asked_at={request}",
                start.id,
                register.backoff_end(&start.id, start.born, Use::Direct, now).unwrap_or(now),
                server.id
            );
        }
    }
    state.changed.notify_waiters();
}

fn record_unreadable(state: &State, server: &Server, field: &str, text: &str) {
    if state.availability.borrow_mut().record_unreadable(&server.start(), state.now()) {
        log::warn!("gateway: server={} {field} can't be read: {text:?}", server.id);
    }
}

/// Records that a start of a server is leaving for good; `first_hand` says that it said so to this router, which then
/// notifies the others.
fn record_leaving(state: &State, start: &Start, why: &str, first_hand: bool) {
    if !state.availability.borrow_mut().leave(start, state.now()) {
        return;
    }
    let Start { id, born } = start;
    log::info!("gateway: server={id} leaving=true born={born} why={why}");
    if first_hand {
        let (server, born) = (id.clone(), *born);
        let hold_ms = MAX_HOLD.as_millis() as u64;
        state.announce(Notice::Leaving { server, born, hold_ms, stated: true });
    }
    state.changed.notify_waiters();
}
