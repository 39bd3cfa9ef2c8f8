//! Load on servers and links, as known from the answers of servers and from what this router sent.

use std::rc::Rc;
use std::time::Duration;

use layers::Span;
use layers::server::Zone;
use policy::demand::Demand;
use policy::meter::Meter;

use super::zone;
use crate::admission;
use crate::peer::Peer;
use crate::request::Tokens;
use crate::settings::Model;
use crate::state::State;

/// Fraction of a link between data centres that is used for prompts. The rest is for tokens, for copies of layers, and
/// for routers that learn of each other with a delay.
pub(super) const MAX_LINK_UTILIZATION: f64 = 0.7;

/// Queueing time at a link up to which further transfers are sent over it. Half of the usual goal for the first event
/// is then left.
pub(super) const MAX_LINK_WAIT: Duration = Duration::from_millis(250);

/// Time for which a load that a server reported in an answer is used.
pub(super) const LOAD_VALIDITY: Duration = Duration::from_millis(1500);

/// Time for which a reported use of memory is valid. Reports are polled each second; when several of them were missed,
/// an estimate from this router's own requests is better.
pub(super) const FILL_VALIDITY: Duration = Duration::from_millis(3000);

/// Requests that run through the copy of one data centre.
#[derive(Debug, Clone, Copy)]
pub(super) struct ZoneLoad {
    pub(super) zone: Zone,
    /// Requests of all routers, as reported by the first servers of its paths.
    pub(super) running: f64,
    /// Requests of this router.
    pub(super) own: f64,
    /// Ratio of the requests of all routers to those of this router, over all data centres; at least one.
    pub(super) total_ratio: f64,
    /// Ratio of the requests of all routers to those of this router in this data centre; at least one.
    pub(super) zone_ratio: f64,
    /// Ratio of the prompts of all routers in this data centre to those that this router may send there; at least one.
    pub(super) prompt_ratio: f64,
}

impl ZoneLoad {
    /// Returns the load of a data centre without reports. The ratio is assumed to be the square root of the number of
    /// routers.
    pub(super) fn unknown(zone: Zone, routers: u32) -> ZoneLoad {
        let zone_ratio = f64::from(routers).sqrt();
        ZoneLoad {
            zone,
            running: 0.0,
            own: 0.0,
            total_ratio: zone_ratio,
            zone_ratio,
            prompt_ratio: zone_ratio,
        }
    }
}

/// Returns the requests of all routers that run through the copy of each data centre, as reported by the first servers
/// of its paths. A router sees only its own; when copies are lost, the requests of the others move to the remaining
/// copies, and no router would detect that their memory is full.
pub(super) fn zone_loads(state: &State, service: &str, peers: &[Rc<Peer>]) -> Vec<ZoneLoad> {
    let (now, routers) = (state.now(), state.routers());
    let (home, demand_ratio) = (zone(&state.setup.zone), admission::demand_ratio(state, service));
    let mut zone_loads: Vec<ZoneLoad> = Vec::new();
    for peer in peers {
        let Some((running, _)) =
            peer.reported_load.get().filter(|(_, at)| now < *at + LOAD_VALIDITY)
        else {
            continue;
        };
        let zone = zone(&peer.server().zone);
        let at = match zone_loads.binary_search_by_key(&zone, |load| load.zone) {
            Ok(at) => at,
            Err(at) => {
                zone_loads.insert(
                    at,
                    ZoneLoad {
                        zone,
                        running: 0.0,
                        own: 0.0,
                        total_ratio: 1.0,
                        zone_ratio: 1.0,
                        prompt_ratio: 1.0,
                    },
                );
                at
            }
        };
        zone_loads[at].running += f64::from(running);
        zone_loads[at].own += f64::from(peer.running.get());
    }
    let all =
        zone_loads.iter().fold((0.0, 0.0), |all, load| (all.0 + load.running, all.1 + load.own));
    for zone_load in &mut zone_loads {
        zone_load.total_ratio =
            (all.0 / f64::max(all.1, 1.0)).clamp(1.0, f64::from(routers.max(1)));
        let ratio = zone_load.running / zone_load.own.max(1.0);
        zone_load.zone_ratio = ratio.clamp(1.0, f64::from(routers.max(1)));
        let demand_ratio = demand_ratio.filter(|_| zone_load.zone != home);
        zone_load.prompt_ratio =
            demand_ratio.map_or(zone_load.zone_ratio, |ratio| ratio.min(zone_load.zone_ratio));
    }
    zone_loads
}

/// Most work that one request is taken to add. What it adds follows from sizes that callers name.
const MAX_WORK: Duration = Duration::from_secs(3600);

pub(super) fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Returns the meter of the link between two data centres.
pub(super) fn link_meter(state: &State, from: Zone, to: Zone) -> Meter {
    let links = state.links.borrow();
    let found = links.binary_search_by_key(&(from, to), |(ends, _)| *ends);
    found.map_or(Meter::default(), |at| links[at].1)
}

/// Returns the time that work of `ms` milliseconds takes, at most [`MAX_WORK`].
fn work(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1e3).map_or(MAX_WORK, |time| time.min(MAX_WORK))
}

/// Work that a request adds to a server or a link, to be recorded in its meter.
#[derive(Debug)]
pub(super) struct Charge {
    target: Target,
    /// Time that the work takes.
    work: Duration,
    /// This router's share of the capacity.
    share: f64,
}

/// Where work is done.
#[derive(Debug)]
enum Target {
    Server(Rc<Peer>),
    Link((Zone, Zone)),
}

impl Charge {
    /// Creates the charge of a prompt that crosses a link between data centres.
    pub(super) fn link(ends: (Zone, Zone), ms: f64, share: f64) -> Charge {
        Charge { target: Target::Link(ends), work: work(ms), share }
    }

    /// Creates the charge of the prefill of a prompt in some layers of a server; `None` if its accelerator type is
    /// unknown.
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
        Some(Charge {
            target: Target::Server(peer.clone()),
            work: work(ms),
            share: 1.0 / zone_load.prompt_ratio,
        })
    }

    /// Whether a new request may add this work to a link; always true for servers.
    pub(super) fn allows(&self, state: &State, random: f64, wants: bool) -> bool {
        let Target::Link(ends) = self.target else { return true };
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
        match self.target {
            Target::Server(peer) => {
                let mut backlog = peer.prefill_backlog.get();
                backlog.add(now, self.work, self.share);
                peer.prefill_backlog.set(backlog);
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
