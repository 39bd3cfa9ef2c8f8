//! Finding the path of a request through the model servers, from what this router currently knows of them.

mod crossing;
mod explain;
mod load;

use std::rc::Rc;
use std::time::Duration;

use layers::path::{self, Holder, Query};
use layers::server::Zone;
use layers::{Shape, Span, slots};
use policy::availability::Use;
use policy::fill::Report;
use policy::headroom::{Limit, MAX_MEMORY, MAX_PREFILL};

use crate::answer::Reason;
use crate::peer::{Load, Peer};
use crate::request::Tokens;
use crate::settings::Model;
use crate::slowness;
use crate::state::State;
use crate::wire::Hop;
pub use crossing::Crossing;
use crossing::spread;
pub use explain::{describe, explain};
use load::{
    Charge, FILL_VALIDITY, LOAD_VALIDITY, MAX_LINK_UTILIZATION, ZoneLoad, link_meter, millis,
    zone_loads,
};

/// Cost of beginning in another data centre, as a fraction of the total time of a request. More than the copies differ
/// in speed, so that the requests of a data centre stay there while its copy is complete, and small compared to the
/// cost of a missing layer.
const REMOTE_START_COST: f64 = 0.35;

/// Time for a token to reach the next server of a path in the same data centre, in milliseconds.
const HOP_MS: f64 = 0.2;

/// Cost of crossing to another data centre, as a fraction of the total time of a request. All paths share one link
/// between data centres, which some seventy prompts a second saturate; paths that cross it only for speed would leave
/// no capacity for those that have no alternative. Such a path also fails with a server of either data centre.
const CROSSING_COST: f64 = 0.5;

/// Additional cost of a server that runs all of this router's requests, compared to one that runs none. More than two
/// servers with the same accelerator differ, and less than the cost of another accelerator or a further hop; at 0.4,
/// requests take slow detours and the grown deployments lose 0.01 to 0.02 of their worth.
const BALANCE_COST: f64 = 0.15;

/// Factor on the cost of a server that has already done the prefill of the request.
const KEPT_COST_FACTOR: f64 = 0.3;

/// Factor on the cost of a server with which the pause goal can't be kept. Higher than what any other path costs more, so
/// that it is used only where nothing else holds its layers or has room.
const SLOW_COST_FACTOR: f64 = 20.0;

/// A path of one request.
#[derive(Debug)]
pub struct Path {
    /// The servers, in order.
    pub peers: Vec<Rc<Peer>>,
    /// Address and layers of each server.
    pub hops: Vec<Hop>,
    /// Nominal time of a pass of each server, in milliseconds.
    pub nominal_ms: Vec<f64>,
    loads: Vec<Load>,
    charges: Vec<Charge>,
    /// Bytes of context that the request adds on servers which hold none of it yet.
    new_context: Vec<(Rc<Peer>, f64)>,
}

impl Path {
    /// Returns the server that the request is sent to.
    pub fn first(&self) -> &Rc<Peer> {
        &self.peers[0]
    }

    /// Charges the prompt to the meters of the servers that do its prefill and of the links that it crosses. Only
    /// called for a path that a request is sent along: streams that wait for a retry search for a path many times a
    /// second.
    pub fn charge(&mut self, state: &State) {
        self.charges.drain(..).for_each(|charge| charge.apply(state));
        let now = state.now();
        self.new_context
            .drain(..)
            .for_each(|(peer, bytes)| peer.sent_context.borrow_mut().record(now, bytes));
    }

    /// Whether a new request with the fixed random number `random` may take the path: of the requests that need a link
    /// between data centres, all routers together send only as many as it can carry. With `wants`, the request is
    /// counted in the demand for the link.
    pub fn may_cross(&self, state: &State, random: f64, wants: bool) -> bool {
        self.charges.iter().all(|charge| charge.allows(state, random, wants))
    }

    /// Records that an event came along the path.
    pub fn record_event(&self, now: Duration) {
        self.peers.iter().for_each(|peer| peer.last_event_at.set(now));
    }

    /// Whether one of its servers is suspected.
    pub fn is_suspected(&self, now: Duration) -> bool {
        self.peers.iter().any(|p| p.suspicion.borrow().holds(now))
    }
}

/// What a path of a request has to keep to.
#[derive(Debug, Clone, Copy)]
pub struct Search<'a> {
    /// Servers that it avoids.
    pub excluded: &'a [String],
    /// Whether it also avoids those that have just declined a request.
    pub accepting_only: bool,
    /// Whether it may cross links between data centres.
    pub may_cross: bool,
    /// How full its servers may be.
    pub limit: Limit,
}

/// Finds the best path for a request of that size.
pub fn find(
    state: &State,
    service: &str,
    model: &Model,
    tokens: Tokens,
    options: Search<'_>,
) -> Option<Path> {
    let Search { excluded, accepting_only, may_cross, limit } = options;
    let zone = zone(&state.setup.zone);
    let crossing = if may_cross { Crossing::DEFAULT } else { Crossing::NONE };
    let constraints = Constraints {
        from: 0,
        zone,
        kept: &[],
        accepting_only,
        listed_only: true,
        crossing,
        limit,
    };
    search_listed_first(state, service, model, tokens, excluded, constraints)
}

/// Finds a path with the same first server as `path` that avoids suspected servers. Servers of `path` are preferred,
/// since they have already done the prefill of the request.
pub fn repath(
    state: &State,
    service: &str,
    model: &Model,
    tokens: Tokens,
    path: &Path,
    crossing: Crossing,
) -> Option<Path> {
    let first = path.first();
    let hop = path.hops[0];
    let excluded = [first.server().id.clone()];
    let constraints = Constraints {
        from: hop.span.to,
        zone: zone(&first.server().zone),
        kept: &path.peers,
        accepting_only: true,
        listed_only: true,
        crossing,
        limit: Limit::full(),
    };
    let mut rest = search_listed_first(state, service, model, tokens, &excluded, constraints)?;
    let bytes = context_bytes(model, tokens) * f64::from(hop.span.len());
    rest.peers.insert(0, first.clone());
    rest.hops.insert(0, hop);
    rest.nominal_ms.insert(0, path.nominal_ms[0]);
    rest.loads.push(Load::new(first.clone(), bytes));
    Some(rest)
}

/// Returns why there is no path that avoids the servers in `excluded`. The reasons differ in when a caller should
/// retry: full memory is released sooner than lost layers are loaded.
pub fn no_path_reason(state: &State, service: &str, model: &Model, excluded: &[String]) -> Reason {
    let now = state.now();
    let accepts = |p: &Peer| {
        let begins = !holds_first_layer(p, now) || p.obstacle(Use::Direct, now).is_none();
        begins && p.accepts_requests(now)
    };
    match () {
        () if covers_all_layers(state, service, model, excluded, accepts) => {
            if over_limit(state, service, excluded) { Reason::Limited } else { Reason::Full }
        }
        () if state.first_return(service).is_some()
            && covers_all_layers(state, service, model, excluded, |p| p.usable(now)) =>
        {
            Reason::Backoff
        }
        () if state.store_unavailable() => Reason::NoPathAway,
        () => Reason::NoPath,
    }
}

/// Whether each layer of the model is held by some server that `accepts` requests and is not in `excluded`.
fn covers_all_layers(
    state: &State,
    service: &str,
    model: &Model,
    excluded: &[String],
    accepts: impl Fn(&Peer) -> bool,
) -> bool {
    let now = state.now();
    let peers = state.peers_of(service);
    let accepting = |p: &&Rc<Peer>| accepts(p) && !excluded.contains(&p.server().id);
    let spans = peers.iter().filter(accepting).map(|p| p.span(now));
    let mut spans: Vec<Span> = spans.collect();
    spans.sort_unstable();
    let covered = spans.iter().fold(0, |at, s| if s.from <= at { at.max(s.to) } else { at });
    covered >= model.shape.layers
}

/// Whether all servers at which a request could begin have set limits that are used up.
fn over_limit(state: &State, service: &str, excluded: &[String]) -> bool {
    let now = state.now();
    let mut firsts = state.peers_of(service);
    firsts.retain(|p| {
        p.accepts_requests(now) && holds_first_layer(p, now) && !excluded.contains(&p.server().id)
    });
    !firsts.is_empty() && firsts.iter().all(|p| !p.limited.allows(now))
}

/// Whether requests can begin at a server, that is, whether it holds the first layer.
pub fn holds_first_layer(peer: &Peer, now: Duration) -> bool {
    let span = peer.span(now);
    span.from == 0 && !span.is_empty()
}

/// Constraints on the search for a path.
struct Constraints<'a> {
    /// First layer to run on the path.
    from: u32,
    /// Data centre in which the path begins.
    zone: Zone,
    /// Servers that have already done the prefill of the request.
    kept: &'a [Rc<Peer>],
    accepting_only: bool,
    /// Whether servers whose entries are gone are avoided: they may be leaving.
    listed_only: bool,
    crossing: Crossing,
    limit: Limit,
}

/// Searches for a path along servers on the list, and if there is none, also along those whose entries are gone.
fn search_listed_first(
    state: &State,
    service: &str,
    model: &Model,
    tokens: Tokens,
    excluded: &[String],
    constraints: Constraints<'_>,
) -> Option<Path> {
    let listed = search(state, service, model, tokens, excluded, &constraints);
    if listed.is_some() || state.peers_of(service).iter().all(|peer| !peer.is_expired()) {
        return listed;
    }
    let constraints = Constraints { listed_only: false, ..constraints };
    search(state, service, model, tokens, excluded, &constraints)
}

/// Returns the bytes of context that a request takes in one layer.
fn context_bytes(model: &Model, tokens: Tokens) -> f64 {
    (tokens.prompt + tokens.answer) * model.shape.token_bytes
}

fn search(
    state: &State,
    service: &str,
    model: &Model,
    tokens: Tokens,
    excluded: &[String],
    constraints: &Constraints<'_>,
) -> Option<Path> {
    let now = state.now();
    let peers: Vec<Rc<Peer>> = state.peers_of(service);
    let shape = &model.shape;
    let bytes = context_bytes(model, tokens);
    let zone_loads = zone_loads(state, service, &peers);
    let load_of = |zone: Zone| {
        let found = zone_loads.binary_search_by_key(&zone, |load| load.zone);
        found.map_or(ZoneLoad::unknown(zone, state.routers()), |at| zone_loads[at])
    };
    let holders: Vec<Holder> = peers
        .iter()
        .enumerate()
        .filter(|(_, p)| !excluded.contains(&p.server().id))
        .map(|(i, p)| (i, p, constraints.kept.iter().any(|k| Rc::ptr_eq(k, p))))
        .filter(|(_, p, kept)| *kept || !constraints.listed_only || !p.is_expired())
        .filter(|(_, p, kept)| match constraints.accepting_only {
            // A server that already runs the request continues to, whatever it asked for.
            true if *kept => p.usable(now) && !p.declines.borrow().holds(now),
            true => p.accepts_requests(now),
            false => p.accepts_paths(now),
        })
        .filter_map(|(i, p, kept)| {
            let zone_load = load_of(zone(&p.server().zone));
            let lasting = state.stream_duration.get();
            let usual = state.slowness.usual_ratio();
            let snapshot = Snapshot { now, zone_load, lasting, limit: constraints.limit, usual };
            let mut holder = holder(p, i, model, tokens, kept, snapshot)?;
            holder.layer_ms *= if kept { KEPT_COST_FACTOR } else { 1.0 };
            Some(holder)
        })
        .collect();
    let total_ms = request_ms(shape, tokens, 10.0);
    let transfer = (tokens.prompt + tokens.answer) * shape.cross_token_ms;
    let random = rand::random();
    let cross_ms = |from: Zone, to: Zone| {
        let (link, zone_ratio) = (link_meter(state, from, to), load_of(from).zone_ratio);
        let Crossing { max_transfer_ms: limit_ms, max_wait } = constraints.crossing;
        if transfer > limit_ms || !link.accepts(now, MAX_LINK_UTILIZATION, zone_ratio, max_wait) {
            return f64::INFINITY;
        }
        let waiting = link.waiting(now, MAX_LINK_UTILIZATION / zone_ratio).min(max_wait);
        // New requests need no spread: only as many of them are admitted as the links can carry.
        let spread = if constraints.from > 0 { spread(random, (from, to)) } else { 0.0 };
        (CROSSING_COST + spread) * total_ms + tokens.answer * shape.cross_ms + millis(waiting)
    };
    let query = Query {
        from: constraints.from,
        layers: shape.layers,
        zone: constraints.zone,
        remote_begin_ms: REMOTE_START_COST * total_ms,
        cross_ms: &cross_ms,
    };
    let (parts, _) = path::find(&holders, &query)?;
    let of = |part: &path::Part| peers[part.server].clone();
    let nominal_ms = |part: &path::Part| {
        let card = of(part).server().card.as_deref().and_then(|name| model.card(name));
        card.map_or(0.0, |card| slowness::nominal_ms(shape, &card, part.span.len()))
    };
    let (mut charges, mut new_context) = (Vec::new(), Vec::new());
    let mut previous = (constraints.from > 0).then_some(constraints.zone);
    for part in &parts {
        let peer = of(part);
        let current = zone(&peer.server().zone);
        if let Some(previous) = previous.replace(current).filter(|previous| *previous != current) {
            let share = MAX_LINK_UTILIZATION / load_of(previous).zone_ratio;
            charges.push(Charge::link((previous, current), transfer, share));
        }
        if !constraints.kept.iter().any(|k| Rc::ptr_eq(k, &peer)) {
            charges.extend(Charge::prefill(&peer, model, tokens, part.span, load_of(current)));
            new_context.push((peer, bytes * f64::from(part.span.len())));
        }
    }
    Some(Path {
        hops: parts.iter().map(|p| Hop { address: of(p).server().address, span: p.span }).collect(),
        loads: parts.iter().map(|p| Load::new(of(p), bytes * f64::from(p.span.len()))).collect(),
        peers: parts.iter().map(of).collect(),
        nominal_ms: parts.iter().map(nominal_ms).collect(),
        charges,
        new_context,
    })
}

/// Returns the time that a request takes on accelerators of that pace.
fn request_ms(shape: &Shape, tokens: Tokens, pace: f64) -> f64 {
    tokens.prompt / shape.read_per_ms * pace + tokens.answer * shape.step_ms * pace
}

fn holder(
    peer: &Peer,
    server: usize,
    model: &Model,
    tokens: Tokens,
    kept: bool,
    snapshot: Snapshot,
) -> Option<Holder> {
    let Snapshot { now, zone_load, limit, usual, .. } = snapshot;
    let entry = peer.server();
    let card = model.card(entry.card.as_deref()?)?;
    let shape = &model.shape;
    let span = peer.span(now).within(shape.layers);
    if span.is_empty() {
        return None;
    }
    let layers = f64::from(span.len());
    let bytes = if kept { 0.0 } else { context_bytes(model, tokens) };
    let memory = card.bytes - layers * shape.layer_bytes;
    let in_use = memory_in_use(peer, model, memory, snapshot);
    let taken = peer.context.get().max(in_use) + bytes * layers;
    let full = taken / memory.max(1.0);
    let backlog = peer.prefill_backlog.get();
    let takes_prompt = backlog.accepts(now, 1.0, zone_load.prompt_ratio, limit.prefill);
    let backlog = backlog.waiting(now, 1.0 / zone_load.prompt_ratio).min(MAX_PREFILL);
    // A server that already runs the request is not subject to these limits.
    if !kept && (full > limit.memory || !takes_prompt || peer.running.get() >= entry.slots) {
        return None;
    }
    let slowdown = peer.slowdown.get();
    let prefill = tokens.prompt / shape.read_per_ms * card.read * slowdown;
    let decode = tokens.answer * shape.step_ms * card.pace * slowdown;
    let slow_factor = match slowness::exceeds_goal(shape, &card, span.len(), slowdown, usual) {
        true => SLOW_COST_FACTOR,
        false => 1.0,
    };
    // Grows without bound as memory fills, so that the copies fill evenly.
    let full = full.min(MAX_MEMORY);
    let memory_factor = 1.0 / (1.0 - full * full);
    // Where two servers hold the same layers, the one with fewer of this router's requests is preferred: a loss then
    // breaks half as many, and their prefill is repeated in half the time.
    let own_share = (f64::from(peer.running.get()) / zone_load.own.max(1.0)).min(1.0);
    let balance_factor = 1.0 + BALANCE_COST * own_share;
    Some(Holder {
        server,
        zone: zone(&entry.zone),
        span,
        layer_ms: (prefill + decode) / f64::from(shape.layers)
            * memory_factor
            * balance_factor
            * slow_factor,
        hop_ms: HOP_MS * tokens.answer + millis(backlog),
        begin_ms: match peer.limited.allows(now) && peer.obstacle(Use::Direct, now).is_none() {
            true => begin_ms(peer, now, request_ms(shape, tokens, 10.0)),
            false => f64::INFINITY,
        },
    })
}

/// Load as known at one moment.
#[derive(Debug, Clone, Copy)]
struct Snapshot {
    now: Duration,
    zone_load: ZoneLoad,
    /// Mean duration of streams.
    lasting: Duration,
    /// How full servers may be.
    limit: Limit,
    /// Usual ratio of pauses to the nominal time of passes.
    usual: f64,
}

/// Estimates the bytes of a server's memory that requests of all routers take: from its last report and what was sent
/// since, or without a recent report from this router's own requests, limited to all that run in the data centre.
fn memory_in_use(peer: &Peer, model: &Model, memory: f64, snapshot: Snapshot) -> f64 {
    let Snapshot { now, zone_load, lasting, .. } = snapshot;
    match peer.filled.get().filter(|(_, at)| now < *at + FILL_VALIDITY) {
        Some((fraction, received)) => {
            let at = received.saturating_sub(model.report_lag);
            let reported = Report { work: fraction * memory, at, lasting };
            match zone_load.own > 0.0 {
                true => reported.estimate(now, &peer.sent_context.borrow(), zone_load.total_ratio),
                // Without requests of its own this router has no estimate of what the others send.
                false => reported.work,
            }
        }
        None => {
            let own = f64::from(peer.running.get());
            let running = ((own + own.sqrt() + 1.0) * zone_load.total_ratio).min(zone_load.running);
            let layers = f64::from(peer.span(now).len());
            running * model.mean_context_tokens * model.shape.token_bytes * layers
        }
    }
}

/// Returns the fraction of a server's memory for requests that is in use, if it was reported lately.
pub fn reported_fill(peer: &Peer, now: Duration) -> Option<f64> {
    peer.filled.get().filter(|(_, at)| now < *at + FILL_VALIDITY).map(|(fraction, _)| fraction)
}

/// Returns the cost of beginning a request that takes `total_ms` milliseconds at a server, from the last load that the
/// server reported; zero if there is no recent report.
fn begin_ms(peer: &Peer, now: Duration, total_ms: f64) -> f64 {
    let reported = peer.reported_load.get().filter(|(_, at)| now < *at + LOAD_VALIDITY);
    reported.map_or(0.0, |(running, _)| slots::begin_ms(running, peer.server().slots, total_ms))
}

/// Returns a number for the name of a data centre; equal names have equal numbers.
pub fn zone(name: &str) -> Zone {
    (xxhash_rust::xxh3::xxh3_64(name.as_bytes()) & 0xffff) as u16
}
