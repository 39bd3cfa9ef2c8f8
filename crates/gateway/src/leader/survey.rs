//! Looks at the model servers: whether those that are suspected live, and how fast all are.

use std::rc::Rc;

use crate::notice::Notice;
use crate::peer::Peer;
use crate::probe;
use crate::server::Id;
use crate::state::State;

/// Change of a server's pace that the others are told.
const CHANGED: f64 = 0.3;

/// Servers suspected at once from which on they are asked again before orders are given.
const MANY: usize = 3;

/// Servers asked at once. A probe takes three milliseconds of the smallest VM, so a thousand of them would keep
/// it from everything else, and those that it hears late would count as dead.
pub(super) const AT_ONCE: usize = 60;

/// Asks model servers for their state, from the one at `from` on, and tells the other routers what has changed.
/// A server that turned slow holds up all that passes through it, and neither its entry nor a router that
/// uses other paths shows it. Nor does any router see how full a server's memory is: each knows its own
/// requests only, and takes servers for full that are not, or fills them until requests are preempted.
pub(super) async fn visit(state: &Rc<State>, from: usize) {
    let mut peers = state.peers();
    peers.retain(|p| p.server().card.is_some() && p.usable(state.now()));
    let start = from % peers.len().max(1);
    peers.rotate_left(start);
    peers.truncate(AT_ONCE);
    let asked = peers
        .iter()
        .map(|peer| async move { (probe::fetch_report_pooled(state, peer).await, peer) });
    let mut filled = Vec::new();
    for (report, peer) in futures_util::future::join_all(asked).await {
        let server = peer.server().id.clone();
        let report = match report {
            Ok(report) => report,
            Err(why) => {
                probe::suspect(state, peer, &why);
                continue;
            }
        };
        if let Some(part) = report.filled.filter(|_| !report.span.is_empty()) {
            peer.filled.set(Some((part, state.now())));
            filled.push((server.clone(), (part * 100.0).round() as u8));
        }
        let (was, is) = (peer.slowdown.get(), report.pace.max(1.0));
        if (is - was).abs() > CHANGED * was {
            log::info!("gateway: server={server} slow={is:.1} before={was:.1}");
            peer.slowdown.set(is);
            state.announce(Notice::Slow { server, percent: (is * 100.0) as u32 });
        }
    }
    if !filled.is_empty() {
        state.announce(Notice::Filled { servers: filled, slow: slow(state) });
    }
}

/// Servers that are slow. A change is told once, at once; a router that starts later hears of it by this.
fn slow(state: &State) -> Vec<(Id, u32)> {
    let peers = state.peers();
    let slow = peers.iter().filter(|p| p.slowdown.get() > 1.0 + CHANGED);
    slow.map(|p| (p.server().id.clone(), (p.slowdown.get() * 100.0) as u32)).collect()
}

/// Asks servers again if many are suspected at once. A router that was slow for a moment takes many live
/// servers for dead, and loading all their layers elsewhere breaks copies that were whole.
pub(super) async fn ask_doubted(state: &State, peers: &[Rc<Peer>]) {
    let doubted: Vec<&Rc<Peer>> =
        peers.iter().filter(|p| p.ready() && p.suspicion.borrow().open()).collect();
    if doubted.len() < MANY {
        return;
    }
    for some in doubted.chunks(AT_ONCE) {
        let asked =
            some.iter().map(|p| probe::fetch_report(state, p, probe::urgent_timeout(state)));
        let answers = futures_util::future::join_all(asked).await;
        let alive = answers.iter().filter(|answer| answer.is_ok()).count();
        if alive == 0 {
            // They are dead, and so are most likely the rest.
            return;
        }
        log::info!("gateway: doubted={} alive={alive}", some.len());
    }
}
