//! What is known of the load on servers and links: from their answers, and from what was sent.

use std::rc::Rc;
use std::time::Duration;

use layers::Span;
use layers::server::Zone;
use policy::demand::Demand;
use policy::meter::Meter;

use super::zone;
use crate::peer::Peer;
use crate::request::Tokens;
use crate::settings::Model;
use crate::state::State;

/// Part of a link between data centres that is used for prompts. The rest is for tokens, for copies
/// of layers, and for routers that count each other late.
pub(super) const MAX_LINK_UTILIZATION: f64 = 0.7;

/// Transfers that wait for a link up to which more are sent over it. Half of the usual goal for
/// the first event is then left.
pub(super) const MAX_LINK_WAIT: Duration = Duration::from_millis(250);

/// Prompts that wait to be read at a server up to which it gets more.
pub(super) const MAX_PREFILL_WAIT: Duration = Duration::from_millis(300);

/// How long what a server tells of its load is used.
pub(super) const LOAD_VALIDITY: Duration = Duration::from_millis(1500);

/// How long it is used how full a server's memory was. It is asked each second; after some that were missed,
/// a guess is better.
pub(super) const FILL_VALIDITY: Duration = Duration::from_millis(3000);

/// Requests that run through one data centre's copy.
#[derive(Debug, Clone, Copy)]
pub(super) struct ZoneLoad {
    pub(super) zone: Zone,
    /// Requests of all routers, as its first servers tell.
    pub(super) running: f64,
    /// Requests of this router.
    pub(super) own: f64,
    /// Requests of all routers for each of this router's, over all data centres, at least one.
    pub(super) total_ratio: f64,
    /// Requests of all routers for each of this router's, at least one.
    pub(super) zone_ratio: f64,
}

impl ZoneLoad {
    /// Nothing is told: each router is taken to send as much as this one.
    pub(super) fn unknown(zone: Zone, routers: u32) -> ZoneLoad {
        let zone_ratio = f64::from(routers).sqrt();
        ZoneLoad { zone, running: 0.0, own: 0.0, total_ratio: zone_ratio, zone_ratio }
    }
}

/// Requests of all routers that run through each data centre's copy, as their first servers tell.
/// A router sees only its own; when copies are lost, the others' requests crowd into the copies
/// that are left, and none of the routers would notice that their memory is full.
pub(super) fn zone_loads(peers: &[Rc<Peer>], now: Duration, routers: u32) -> Vec<ZoneLoad> {
    let mut zone_loads: Vec<ZoneLoad> = Vec::new();
    for peer in peers {
        let Some((running, _)) =
            peer.reported_load.get().filter(|(_, at)| now < *at + LOAD_VALIDITY)
        else {
            continue;
        };
        let zone = zone(&peer.server().zone);
        let at = match zone_loads.binary_search_by_key(&zone, |c| c.zone) {
            Ok(at) => at,
            Err(at) => {
                zone_loads.insert(
                    at,
                    ZoneLoad { zone, running: 0.0, own: 0.0, total_ratio: 1.0, zone_ratio: 1.0 },
                );
                at
            }
        };
        zone_loads[at].running += f64::from(running);
        zone_loads[at].own += f64::from(peer.running.get());
    }
    let all = zone_loads.iter().fold((0.0, 0.0), |all, c| (all.0 + c.running, all.1 + c.own));
    for zone_load in &mut zone_loads {
        zone_load.total_ratio =
            (all.0 / f64::max(all.1, 1.0)).clamp(1.0, f64::from(routers.max(1)));
        let ratio = zone_load.running / zone_load.own.max(1.0);
        zone_load.zone_ratio = ratio.clamp(1.0, f64::from(routers.max(1)));
    }
    zone_loads
}

pub(super) fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// The meter of the link between two data centres.
pub(super) fn link_meter(state: &State, from: Zone, to: Zone) -> Meter {
    let links = state.links.borrow();
    let found = links.binary_search_by_key(&(from, to), |(ends, _)| *ends);
    found.map_or(Meter::default(), |at| links[at].1)
}

/// Work that a request brings to a server or a link, for its meter.
#[derive(Debug)]
pub(super) struct Charge {
    at: Target,
    /// How long the work takes.
    work: Duration,
    /// Part of the worker's time that is this router's.
    share: f64,
}

/// Where work is done.
#[derive(Debug)]
enum Target {
    Server(Rc<Peer>),
    Link((Zone, Zone)),
}

impl Charge {
    /// Prompts that cross a link between data centres.
    pub(super) fn link(ends: (Zone, Zone), ms: f64, share: f64) -> Charge {
        Charge { at: Target::Link(ends), work: Duration::from_secs_f64(ms / 1e3), share }
    }

    /// A prompt that a server reads through some layers; none if its card is not known.
    pub(super) fn prefill(
        peer: &Rc<Peer>,
        model: &Model,
        tokens: Tokens,
        span: Span,
        zone_load: ZoneLoad,
    ) -> Option<Charge> {
        let entry = peer.server();
        let card = entry.card.as_deref().and_then(|name| model.card(name))?;
        let ms = model.shape.prefill_ms(&card, span.len(), peer.slowdown.get(), tokens.prompt);
        let work = Duration::from_secs_f64(ms / 1e3);
        Some(Charge { at: Target::Server(peer.clone()), work, share: 1.0 / zone_load.zone_ratio })
    }

    /// Whether a new request may bring this work to a link.
    pub(super) fn allows(&self, state: &State, random: f64, wants: bool) -> bool {
        let Target::Link(ends) = self.at else { return true };
        let now = state.now();
        let mut crossings = state.crossings.borrow_mut();
        let at = match crossings.binary_search_by_key(&ends, |(ends, _)| *ends) {
            Ok(at) => at,
            Err(at) => {
                crossings.insert(at, (ends, Demand::default()));
                at
            }
        };
        if wants {
            crossings[at].1.record(now);
        }
        random < crossings[at].1.share(now, self.work, MAX_LINK_UTILIZATION, state.routers())
    }

    pub(super) fn apply(self, state: &State) {
        let now = state.now();
        match self.at {
            Target::Server(peer) => {
                let mut reading = peer.prefill_backlog.get();
                reading.add(now, self.work, self.share);
                peer.prefill_backlog.set(reading);
            }
            Target::Link(ends) => {
                let mut links = state.links.borrow_mut();
                let at = match links.binary_search_by_key(&ends, |(ends, _)| *ends) {
                    Ok(at) => at,
                    Err(at) => {
                        links.insert(at, (ends, Meter::default()));
                        at
                    }
                };
                links[at].1.add(now, self.work, self.share);
            }
        }
    }
}
