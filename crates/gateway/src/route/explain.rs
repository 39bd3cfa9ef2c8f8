//! Explanations for the log of why there is no path for a request.

use std::time::Duration;

use derive_more::Display;
use layers::Span;
use layers::server::Zone;
use policy::availability::Use;
use policy::headroom::{Limit, MAX_PREFILL};
use policy::meter::Meter;

use super::load::{MAX_LINK_UTILIZATION, MAX_LINK_WAIT, ZoneLoad, zone_loads};
use super::{Snapshot, begin_ms, holder, zone};
use crate::peer::Peer;
use crate::request::Tokens;
use crate::settings::Model;
use crate::state::State;

/// Explains for the log why there is no path: how many servers were rejected for which reason, and which layers the
/// remaining servers lack.
pub fn explain(
    state: &State,
    service: &str,
    model: &Model,
    tokens: Tokens,
    excluded: &[String],
) -> String {
    let now = state.now();
    let peers = state.peers_of(service);
    let zone_loads = zone_loads(state, service, &peers);
    let (mut leaving, mut silent, mut backoff) = (0, 0, 0);
    let (mut declined, mut reading, mut scarce) = (0, 0, 0);
    let mut zones: Vec<DataCentre> = Vec::new();
    let (lasting, limit) = (state.stream_duration.get(), Limit::full());
    let usual = state.slowness.usual_ratio();
    let snapshot = |zone_load| Snapshot { now, zone_load, lasting, limit, usual };
    for (i, peer) in peers.iter().enumerate() {
        let zone = zone(&peer.server().zone);
        let zone_load = zone_loads.iter().find(|load| load.zone == zone).copied();
        let zone_load = zone_load.unwrap_or(ZoneLoad::unknown(zone, state.routers()));
        let at = zones.iter().position(|z| z.zone == zone).unwrap_or_else(|| {
            let held = vec![false; model.shape.layers as usize];
            zones.push(DataCentre { zone, name: peer.server().zone.clone(), held, begins: 0 });
            zones.len() - 1
        });
        match () {
            () if !peer.stays(now) => leaving += 1,
            () if !peer.usable(now) => silent += 1,
            () if !peer.accepts_paths(now) => backoff += 1,
            () if !peer.accepts_requests(now) || excluded.contains(&peer.server().id) => {
                declined += 1
            }
            () if !peer.prefill_backlog.get().accepts(
                now,
                1.0,
                zone_load.prompt_ratio,
                MAX_PREFILL,
            ) =>
            {
                reading += 1
            }
            () if holder(peer, i, model, tokens, false, snapshot(zone_load)).is_none() => {
                scarce += 1
            }
            () => {
                let span = peer.span(now).within(model.shape.layers);
                let begins = begin_ms(peer, now, 1.0).is_finite();
                zones[at].begins += u32::from(span.from == 0 && begins);
                let layers = span.from as usize..span.to as usize;
                zones[at].held[layers].iter_mut().for_each(|held| *held = true);
            }
        }
    }
    let views = zones.iter().map(DataCentre::to_string).collect::<Vec<_>>().join(" ");
    let links = state.links.borrow();
    let zone_ratio = |from: Zone| {
        let found = zone_loads.binary_search_by_key(&from, |load| load.zone);
        found.map_or(ZoneLoad::unknown(from, state.routers()), |at| zone_loads[at]).zone_ratio
    };
    let full = |((from, _), link): &&((Zone, Zone), Meter)| {
        !link.accepts(now, MAX_LINK_UTILIZATION, zone_ratio(*from), MAX_LINK_WAIT)
    };
    let full = links.iter().filter(full).count();
    format!(
        "servers={} leaving={leaving} silent={silent} backoff={backoff} declined={declined} reading={reading} memory={scarce} links_full={full} {views} crowds=[{}]",
        peers.len(),
        zone_loads
            .iter()
            .map(|load| format!("{:.0}/{:.1}", load.running, load.zone_ratio))
            .collect::<Vec<_>>()
            .join(" ")
    )
}

/// Describes for the log what this router knows of a server that declined a request.
pub fn describe(peer: &Peer, now: Duration) -> String {
    let (fill, age) = match peer.filled.get() {
        Some((fraction, at)) => (Some(fraction), Some(now.saturating_sub(at))),
        None => (None, None),
    };
    format!(
        "[layers={} filled={fill:?} age={age:?} running={} declines={} slots={:?} obstacle={}]",
        peer.span(now),
        peer.running.get(),
        peer.declines.borrow().holds(now),
        peer.reported_load.get().map(|(running, _)| running),
        peer.obstacle(Use::Path, now).map_or_else(|| "none".to_owned(), |o| o.to_string())
    )
}

/// Servers of one data centre that can take a request.
#[derive(Display)]
#[display("{name}:lacks={},begins={begins}", missing_layers(held))]
struct DataCentre {
    zone: Zone,
    name: String,
    held: Vec<bool>,
    /// Servers with the first layer and a free slot.
    begins: u32,
}

/// Returns the layers that no server holds, as spans.
fn missing_layers(held: &[bool]) -> String {
    let spans = Span::gaps(held).iter().map(Span::to_string).collect::<Vec<_>>();
    spans.join("+")
}
