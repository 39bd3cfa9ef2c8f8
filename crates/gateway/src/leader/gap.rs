//! Which layers the data centres lack, and what placement would have the servers hold.

use std::rc::Rc;
use std::time::Duration;

use layers::placement::{self, Place, RETURNS, STARTED};
use layers::server::{Index, Zone};
use layers::{Card, Shape, Span};

use super::order::{Given, Planned};
use crate::peer::Peer;
use crate::route;
use crate::server::{self, Server};
use crate::settings::Model;
use crate::state::State;

/// Factor on the time of its steps from which on a server's layers are loaded elsewhere too. It then reads
/// fewer prompts than its data centre gets. At 2, servers three times slower move reserves that the next loss
/// would need: 0.624 in place of 0.636 mean worth on the larger deployment of one user.
const STAND_IN: f64 = 6.0;

/// Time in which a crashed server comes back, from the runs of both deployments: two to four and
/// a half seconds.
const RETURN: Duration = Duration::from_secs(5);

/// Part of the servers that must answer for a silent one to count as dead. If most are silent, it
/// is this router that is cut off.
const REACHED: f64 = 0.6;

/// What one data centre lacks.
struct Gap {
    data_centre: String,
    /// Servers that may be used.
    usable: usize,
    /// Layers that nobody holds or loads there.
    missing: Vec<Span>,
}

/// What placement would have servers hold that they do not.
pub(super) fn plan(
    state: &State,
    peers: &[Rc<Peer>],
    model: &Model,
    given: &[Given],
    planned: &[Planned],
) -> Vec<Planned> {
    let now = state.now();
    let given = given.iter().map(|g| (g.server.as_str(), g.span));
    let planned = planned.iter().map(|p| (p.server.as_str(), p.span));
    let mut ordered: Vec<(&str, Span)> = given.chain(planned).collect();
    ordered.sort_unstable();
    let silent = peers.iter().filter(|p| p.counts_as_dead()).count() as f64;
    let reached = silent <= peers.len() as f64 * (1.0 - REACHED);
    let server = |peer: &Rc<Peer>| {
        let entry = peer.server();
        let found = ordered.binary_search_by_key(&entry.id.as_str(), |(server, _)| server);
        let order = found.ok().map(|at| ordered[at].1);
        let card = entry.card.as_deref().and_then(|name| model.card(name));
        layers::Server {
            zone: route::zone(&entry.zone),
            card: card.unwrap_or(Card { bytes: 0.0, pace: f64::MAX, read: 1.0 }),
            span: order.unwrap_or(peer.span(now)),
            usable: card.is_some() && peer.ready() && (!reached || !peer.counts_as_dead()),
            busy: order.is_some(),
            slow: peer.slowdown.get() > STAND_IN,
        }
    };
    let servers: Vec<layers::Server> = peers.iter().map(server).collect();
    let gaps = gaps(peers, &servers, &model.shape);
    say(state, &gaps);
    let lasting = lasting(state, &gaps) > RETURN;
    let places = placement::plan(&servers, &model.shape, lasting);
    let age = |server: Index| now.saturating_sub(peers[server].first_seen());
    let lost = |zone: Zone| lost(state, peers, zone);
    let places = placement::keep_started(places, &servers, &model.shape, age, lost);
    let planned = |place: &Place| Planned {
        server: peers[place.server].server().id.clone(),
        span: place.span,
    };
    places.iter().map(planned).collect()
}

/// How long ago a data centre lost servers of a model without word that they leave. One that is silent and still listed may have been
/// lost at any time; it counts for those that have just started.
fn lost(state: &State, peers: &[Rc<Peer>], zone: Zone) -> Vec<Duration> {
    let was_here = |server: &Server| server.card.is_some() && route::zone(&server.zone) == zone;
    let gone = state.gone_within(RETURNS).into_iter();
    let gone = gone.filter(|(s, _)| was_here(s) && s.state == server::State::Ready);
    let silent = peers.iter().filter(|p| p.counts_as_dead() && was_here(&p.server()));
    gone.map(|(_, ago)| ago).chain(silent.map(|_| STARTED)).collect()
}

/// What each data centre lacks, by name.
fn gaps(peers: &[Rc<Peer>], servers: &[layers::Server], shape: &Shape) -> Vec<Gap> {
    let mut names: Vec<String> = peers.iter().map(|p| p.server().zone.clone()).collect();
    names.sort();
    names.dedup();
    let gap = |data_centre: String| {
        let zone = route::zone(&data_centre);
        let usable = servers.iter().filter(|s| s.usable && s.zone == zone).count();
        Gap { data_centre, usable, missing: placement::missing(servers, shape, zone) }
    };
    names.into_iter().map(gap).collect()
}

/// How long some data centre has lacked layers that nobody is loading.
fn lasting(state: &State, gaps: &[Gap]) -> Duration {
    let whole = gaps.iter().all(|gap| gap.missing.is_empty());
    match (whole, state.broken_since.get()) {
        (true, _) => state.broken_since.set(None),
        (false, None) => state.broken_since.set(Some(state.now())),
        (false, Some(_)) => {}
    }
    state.broken_since.get().map_or(Duration::ZERO, |since| state.now().saturating_sub(since))
}

/// Says which layers each data centre lacks, when that has changed.
fn say(state: &State, gaps: &[Gap]) {
    let lacks = gaps.iter().map(|gap| {
        let missing: Vec<String> = gap.missing.iter().map(Span::to_string).collect();
        format!("{}: servers={} missing=[{}]", gap.data_centre, gap.usable, missing.join(" "))
    });
    let text = lacks.collect::<Vec<_>>().join(", ");
    if *state.placement.borrow() != text {
        log::info!("gateway: placement {text}");
        *state.placement.borrow_mut() = text;
    }
}
