//! Finds the layers that data centres lack, and plans which servers hold them.

use std::rc::Rc;
use std::time::Duration;

use layers::placement::{self, Place, REPLACEMENT_WINDOW, RESERVE_DELAY};
use layers::server::{Index, Zone};
use layers::{Card, Shape, Span};

use super::order::{Issued, Planned};
use crate::peer::Peer;
use crate::route;
use crate::server::{self, Server};
use crate::settings::Model;
use crate::state::State;

/// Slowdown of a server, as a factor on the time of its steps, from which on its layers are loaded elsewhere too. A
/// slow server does the prefill of fewer prompts than its data centre receives. With 2, servers that are three times
/// slower use up reserves that the next loss would need: 0.624 instead of 0.636 mean worth on the larger deployment of
/// one user.
const MAX_SLOWDOWN: f64 = 6.0;

/// Time in which a crashed server is available again: two to four and a half seconds in the runs of both deployments.
const RESTART_TIME: Duration = Duration::from_secs(5);

/// Fraction of the servers that must answer for a silent one to count as dead. If most are silent, this router itself
/// is cut off.
const MIN_REACHABLE_RATIO: f64 = 0.6;

/// Layers that one data centre lacks.
struct Gap {
    data_centre: String,
    /// Number of usable servers.
    usable: usize,
    /// Layers that no server there holds or loads.
    missing: Vec<Span>,
}

/// Layers planned for servers that do not hold them yet.
pub(super) struct Plan<'a> {
    peers: &'a [Rc<Peer>],
    shape: &'a Shape,
    servers: Vec<layers::Server>,
    places: Vec<Place>,
    /// Whether a server that is leaving for good has opened a gap.
    by_departure: bool,
}

impl Plan<'_> {
    /// Returns all of them.
    pub(super) fn places(&self) -> Vec<Planned> {
        self.planned(&self.places)
    }

    /// Returns only those that fill a gap and leave none elsewhere.
    pub(super) fn repairs(&self) -> Vec<Planned> {
        self.planned(&placement::repairs(
            &self.places,
            &self.servers,
            self.shape,
            self.by_departure,
        ))
    }

    fn planned(&self, places: &[Place]) -> Vec<Planned> {
        let server = |place: &Place| self.peers[place.server].server().id.clone();
        places.iter().map(|place| Planned { server: server(place), span: place.span }).collect()
    }
}

/// Plans layers for servers that do not hold them yet.
pub(super) fn plan<'a>(
    state: &State,
    peers: &'a [Rc<Peer>],
    model: &'a Model,
    issued: &[Issued],
    planned: &[Planned],
) -> Plan<'a> {
    let now = state.now();
    let issued = issued.iter().map(|i| (i.server.as_str(), i.span));
    let planned = planned.iter().map(|p| (p.server.as_str(), p.span));
    let mut ordered: Vec<(&str, Span)> = issued.chain(planned).collect();
    ordered.sort_unstable();
    let silent = peers.iter().filter(|p| p.counts_as_dead()).count() as f64;
    let reachable = silent <= peers.len() as f64 * (1.0 - MIN_REACHABLE_RATIO);
    let server = |peer: &Rc<Peer>| {
        let entry = peer.server();
        let found = ordered.binary_search_by_key(&entry.id.as_str(), |(server, _)| server);
        let order = found.ok().map(|at| ordered[at].1);
        let card = entry.card.as_deref().and_then(|name| model.card(name));
        layers::Server {
            zone: route::zone(&entry.zone),
            card: card.unwrap_or(Card { bytes: 0.0, pace: f64::MAX, read: 1.0 }),
            span: order.unwrap_or(peer.span(now)).within(model.shape.layers),
            usable: card.is_some() && peer.stays(now) && (!reachable || !peer.counts_as_dead()),
            // A server that wants no requests gets no orders either.
            busy: order.is_some() || peer.backoff_end(now).is_some(),
            slow: peer.slowdown.get() > MAX_SLOWDOWN,
        }
    };
    let servers: Vec<layers::Server> = peers.iter().map(server).collect();
    let gaps = gaps(peers, &servers, &model.shape);
    log_gaps(state, &gaps);
    let by_departure = opened_by_departure(state, peers, &gaps);
    let lasting = gap_duration(state, &gaps) > RESTART_TIME || by_departure;
    let places = placement::plan(&servers, &model.shape, lasting);
    let age = |server: Index| now.saturating_sub(peers[server].first_seen());
    let losses = |zone: Zone| recent_losses(state, peers, zone);
    let places = placement::defer_reserves(places, &servers, &model.shape, age, losses);
    Plan { peers, shape: &model.shape, servers, places, by_departure }
}

/// Whether a data centre lacks layers of a server that said it is leaving while the store answers nobody. Such a server
/// does not return like one that crashed, so that copies are rearranged at once.
fn opened_by_departure(state: &State, peers: &[Rc<Peer>], gaps: &[Gap]) -> bool {
    let now = state.now();
    let leaves = |gap: &Gap, peer: &Rc<Peer>| {
        let span = peer.span(now);
        peer.says_leaving()
            && peer.server().zone == gap.data_centre
            && gap.missing.iter().any(|missing| missing.overlaps(span))
    };
    state.store_unavailable() && gaps.iter().any(|gap| peers.iter().any(|peer| leaves(gap, peer)))
}

/// Returns how long ago a data centre lost model servers that had not announced to leave. A server that is silent and
/// still listed may have been lost at any time; it, and one that says it is leaving, counts as lost before the servers
/// that started a moment ago and are still kept empty.
fn recent_losses(state: &State, peers: &[Rc<Peer>], zone: Zone) -> Vec<Duration> {
    let is_local = |server: &Server| server.card.is_some() && route::zone(&server.zone) == zone;
    let gone = state.removed_within(REPLACEMENT_WINDOW).into_iter();
    let gone = gone.filter(|(s, _)| is_local(s) && s.state == server::State::Ready);
    // While the store answers nobody, a server that says it is leaving is removed from the list only much later.
    let leaves = |p: &Peer| state.store_unavailable() && p.says_leaving();
    let silent =
        peers.iter().filter(|p| (p.counts_as_dead() || leaves(p)) && is_local(&p.server()));
    gone.map(|(_, ago)| ago).chain(silent.map(|_| RESERVE_DELAY)).collect()
}

/// Returns the gaps of each data centre, by name.
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

/// Returns how long some data centre has lacked layers that no server is loading.
fn gap_duration(state: &State, gaps: &[Gap]) -> Duration {
    let complete = gaps.iter().all(|gap| gap.missing.is_empty());
    match (complete, state.layers_missing_since.get()) {
        (true, _) => state.layers_missing_since.set(None),
        (false, None) => state.layers_missing_since.set(Some(state.now())),
        (false, Some(_)) => {}
    }
    state
        .layers_missing_since
        .get()
        .map_or(Duration::ZERO, |since| state.now().saturating_sub(since))
}

/// Logs the layers that each data centre lacks, when they have changed.
fn log_gaps(state: &State, gaps: &[Gap]) {
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
