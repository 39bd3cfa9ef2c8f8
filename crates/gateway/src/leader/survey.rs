//! Surveys the model servers: probes those that are suspected, and measures how fast all of them are.

use std::rc::Rc;

use crate::notice::Notice;
use crate::peer::Peer;
use crate::probe;
use crate::server::Id;
use crate::slowness;
use crate::state::State;

/// Number of servers suspected at once from which on they are probed again before orders are issued.
const MIN_SUSPECTS: usize = 3;

/// Limit on the servers probed at once. A probe takes three milliseconds of the smallest VM: a thousand at once would
/// block it, and servers whose answers it reads late would count as dead.
pub(super) const MAX_CONCURRENT_PROBES: usize = 60;

/// Fetches the reports of model servers, beginning at index `from`, and notifies the other routers of what has changed.
///
/// A server that turned slow delays all requests that pass through it, and neither its entry nor a router that uses
/// other paths shows it. No router knows how full a server's memory is either: each sees only its own requests, and
/// treats servers as full that are not, or fills them until requests are preempted.
pub(super) async fn survey(state: &Rc<State>, from: usize) {
    let mut peers = state.peers();
    let now = state.now();
    peers.retain(|p| p.server().card.is_some() && p.usable(now) && p.backoff_end(now).is_none());
    let start = from % peers.len().max(1);
    peers.rotate_left(start);
    peers.truncate(MAX_CONCURRENT_PROBES);
    let queries = peers
        .iter()
        .map(|peer| async move { (probe::fetch_report_pooled(state, peer).await, peer) });
    let mut filled = Vec::new();
    for (report, peer) in futures_util::future::join_all(queries).await {
        let server = peer.server().id.clone();
        let report = match report {
            Ok(report) => report,
            Err(why) => {
                probe::suspect(state, peer, &why);
                continue;
            }
        };
        probe::record_layers(state, peer, &report, peer.span(state.now()));
        if let Some(fraction) = report.filled.filter(|_| !report.span.is_empty()) {
            peer.filled.set(Some((fraction, state.now())));
            filled.push((server, (fraction * 100.0).round() as u8));
        }
        slowness::record_pace(state, peer, report.pace);
    }
    if !filled.is_empty() {
        state.announce(Notice::Filled { servers: filled, slow: slow_servers(state) });
    }
}

/// Returns the servers that are slow. A change is announced once, at once; a router that starts later learns of it from
/// this list.
fn slow_servers(state: &State) -> Vec<(Id, u32)> {
    let peers = state.peers();
    let slow = peers.iter().filter(|p| slowness::is_slow(p));
    slow.map(|p| (p.server().id.clone(), (p.slowdown.get() * 100.0) as u32)).collect()
}

/// Probes suspected servers again if many are suspected at once. A router that was slow for a moment suspects many live
/// servers, and loading all their layers elsewhere breaks up complete copies of the model.
pub(super) async fn recheck_suspects(state: &State, peers: &[Rc<Peer>]) {
    let suspects: Vec<&Rc<Peer>> =
        peers.iter().filter(|p| p.ready() && p.suspicion.borrow().is_unresolved()).collect();
    if suspects.len() < MIN_SUSPECTS {
        return;
    }
    for chunk in suspects.chunks(MAX_CONCURRENT_PROBES) {
        let queries =
            chunk.iter().map(|p| probe::fetch_report(state, p, probe::urgent_timeout(state)));
        let answers = futures_util::future::join_all(queries).await;
        let alive = answers.iter().filter(|answer| answer.is_ok()).count();
        if alive == 0 {
            // These servers are dead, and so are most likely the rest.
            return;
        }
        log::info!("gateway: doubted={} alive={alive}", chunk.len());
    }
}
