//! The path of a request through the model servers, from what is believed now.

mod crossing;
mod explain;
mod load;

use std::rc::Rc;
use std::time::Duration;

use layers::path::{self, Holder, Query};
use layers::server::Zone;
use layers::{Shape, Span, slots};
use policy::fill::Report;

use crate::answer::Reason;
use crate::peer::{Load, Peer};
use crate::request::Tokens;
use crate::settings::Model;
use crate::state::State;
use crate::wire::Hop;
pub use crossing::Crossing;
use crossing::spread;
pub use explain::{describe, explain};
use load::{
    Charge, FILL_VALIDITY, LOAD_VALIDITY, MAX_LINK_UTILIZATION, MAX_PREFILL_WAIT, ZoneLoad,
    link_meter, millis, zone_loads,
};

/// Cost of beginning in another data centre, as a part of the whole time of a request. More than
/// the copies differ in speed, so that each data centre's requests stay there while its copy is
/// whole, and small against what a missing layer costs.
const REMOTE_START_COST: f64 = 0.35;

/// Part of a server's memory for requests up to which this router sends it more. Other routers
/// send to it too, and a request that meets full memory is declined or preempts another.
const MAX_MEMORY_FILL: f64 = 0.97;

/// Time for a token to get to the next server of a path in the same data centre, in milliseconds.
const HOP_MS: f64 = 0.2;

/// Cost of going on in another data centre, as a part of the whole time of a request. All paths share
/// one link between data centres, which some seventy prompts a second fill; paths that cross it
/// for speed alone would leave nothing for those that have no other way. Such a path also ends with
/// the loss of a server in either data centre.
const CROSSING_COST: f64 = 0.5;

/// Cost of a server that has all of this router's requests over one that has none. More than two servers of
/// the same card differ, and less than what another card or a further hop takes; at 0.4, requests
/// take slow ways round and the grown deployments lose 0.01 to 0.02 of their worth.
const BALANCE_COST: f64 = 0.15;

/// Part of the cost of a server that has read the request already.
const KEPT_COST_FACTOR: f64 = 0.3;

/// A path of one request.
#[derive(Debug)]
pub struct Path {
    /// The servers, in order.
    pub peers: Vec<Rc<Peer>>,
    /// What each runs.
    pub hops: Vec<Hop>,
    loads: Vec<Load>,
    charges: Vec<Charge>,
    /// Bytes of context that the request brings to servers which have none of it.
    new_context: Vec<(Rc<Peer>, f64)>,
}

impl Path {
    /// The server that the request is sent to.
    pub fn first(&self) -> &Rc<Peer> {
        &self.peers[0]
    }

    /// Counts the prompt in the meters of the servers that read it and of the links that it crosses. Only for a path
    /// that a request is sent along: streams that wait for a repeat look for one many times a second.
    pub fn charge(&mut self, state: &State) {
        self.charges.drain(..).for_each(|charge| charge.apply(state));
        let now = state.now();
        self.new_context
            .drain(..)
            .for_each(|(peer, bytes)| peer.sent_context.borrow_mut().record(now, bytes));
    }

    /// Whether a new request may take it, of which a fixed random number is `luck`: of those that want a link between
    /// data centres, all routers together send as many as it carries. With `wants`, it is counted among them.
    pub fn may_cross(&self, state: &State, random: f64, wants: bool) -> bool {
        self.charges.iter().all(|charge| charge.allows(state, random, wants))
    }

    /// Notes that an event came along it.
    pub fn record_event(&self, now: Duration) {
        self.peers.iter().for_each(|peer| peer.last_event_at.set(now));
    }

    /// Whether one of its servers is suspected.
    pub fn is_suspected(&self, now: Duration) -> bool {
        self.peers.iter().any(|p| p.suspicion.borrow().holds(now))
    }
}

/// The best path for a request of that size that avoids the servers in `but`, and unless `crosses`, links between data
/// centres; with `willing`, also those that have just declined others.
pub fn find(
    state: &State,
    service: &str,
    model: &Model,
    tokens: Tokens,
    excluded: &[String],
    accepting_only: bool,
    may_cross: bool,
) -> Option<Path> {
    let zone = zone(&state.setup.zone);
    let crossing = if may_cross { Crossing::DEFAULT } else { Crossing::NONE };
    let constraints = Constraints { from: 0, zone, kept: &[], accepting_only, crossing };
    search(state, service, model, tokens, excluded, &constraints)
}

/// A path that begins like `path` and avoids servers that are suspected. What its servers have
/// read of a request stays useful, so they are kept where they can be.
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
        crossing,
    };
    let mut rest = search(state, service, model, tokens, &excluded, &constraints)?;
    let bytes = context_bytes(model, tokens) * f64::from(hop.span.len());
    rest.peers.insert(0, first.clone());
    rest.hops.insert(0, hop);
    rest.loads.push(Load::new(first.clone(), bytes));
    Some(rest)
}

/// Why there is no path that avoids the servers in `but`. Memory that is full is free again sooner than lost layers are
/// loaded.
pub fn no_path_reason(state: &State, service: &str, model: &Model, excluded: &[String]) -> Reason {
    match covers_all_layers(state, service, model, excluded) {
        true if over_limit(state, service, excluded) => Reason::Limited,
        true => Reason::Full,
        false if state.store_unavailable() => Reason::NoPathAway,
        false => Reason::NoPath,
    }
}

/// Whether each layer of the model is held by some server that takes requests and is not in `but`.
fn covers_all_layers(state: &State, service: &str, model: &Model, excluded: &[String]) -> bool {
    let now = state.now();
    let peers = state.peers_of(service);
    let taking = |p: &&Rc<Peer>| p.accepts_requests(now) && !excluded.contains(&p.server().id);
    let spans = peers.iter().filter(taking).map(|p| p.span(now));
    let mut spans: Vec<Span> = spans.collect();
    spans.sort_unstable();
    let reached = spans.iter().fold(0, |at, s| if s.from <= at { at.max(s.to) } else { at });
    reached >= model.shape.layers
}

/// Whether a request could begin only at servers that name limits, which are used up.
fn over_limit(state: &State, service: &str, excluded: &[String]) -> bool {
    let now = state.now();
    let mut firsts = state.peers_of(service);
    firsts.retain(|p| {
        p.accepts_requests(now) && holds_first_layer(p, now) && !excluded.contains(&p.server().id)
    });
    !firsts.is_empty() && firsts.iter().all(|p| !p.limited.allows(now))
}

/// Whether requests can begin at a server.
pub fn holds_first_layer(peer: &Peer, now: Duration) -> bool {
    let span = peer.span(now);
    span.from == 0 && !span.is_empty()
}

/// Where a path is to begin.
struct Constraints<'a> {
    from: u32,
    zone: Zone,
    /// Servers that have read the request already.
    kept: &'a [Rc<Peer>],
    accepting_only: bool,
    crossing: Crossing,
}

/// Bytes of context in one layer.
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
    let zone_loads = zone_loads(&peers, now, state.routers());
    let load_of = |zone: Zone| {
        let found = zone_loads.binary_search_by_key(&zone, |c| c.zone);
        found.map_or(ZoneLoad::unknown(zone, state.routers()), |at| zone_loads[at])
    };
    let holders: Vec<Holder> =
        peers
            .iter()
            .enumerate()
            .filter(|(_, p)| {
                if constraints.accepting_only { p.accepts_requests(now) } else { p.usable(now) }
            })
            .filter(|(_, p)| !excluded.contains(&p.server().id))
            .filter_map(|(i, p)| {
                let kept = constraints.kept.iter().any(|k| Rc::ptr_eq(k, p));
                let zone_load = load_of(zone(&p.server().zone));
                let snapshot = Snapshot { now, zone_load, lasting: state.stream_duration.get() };
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
        if transfer > limit_ms || !link.takes(now, MAX_LINK_UTILIZATION, zone_ratio, max_wait) {
            return f64::INFINITY;
        }
        let waiting = link.waiting(now, MAX_LINK_UTILIZATION / zone_ratio).min(max_wait);
        // Of new requests, only as many are let through as the links carry.
        let spread = if constraints.from > 0 { spread(random, (from, to)) } else { 0.0 };
        (CROSSING_COST + spread) * total_ms + tokens.answer * shape.cross_ms + millis(waiting)
    };
    let ask = Query {
        from: constraints.from,
        layers: shape.layers,
        zone: constraints.zone,
        away_ms: REMOTE_START_COST * total_ms,
        cross_ms: &cross_ms,
    };
    let (parts, _) = path::find(&holders, &ask)?;
    let of = |part: &path::Part| peers[part.server].clone();
    let (mut charges, mut new_context) = (Vec::new(), Vec::new());
    let mut before = (constraints.from > 0).then_some(constraints.zone);
    for part in &parts {
        let peer = of(part);
        let here = zone(&peer.server().zone);
        if let Some(before) = before.replace(here).filter(|before| *before != here) {
            let share = MAX_LINK_UTILIZATION / load_of(before).zone_ratio;
            charges.push(Charge::link((before, here), transfer, share));
        }
        if !constraints.kept.iter().any(|k| Rc::ptr_eq(k, &peer)) {
            charges.extend(Charge::prefill(&peer, model, tokens, part.span, load_of(here)));
            new_context.push((peer, bytes * f64::from(part.span.len())));
        }
    }
    Some(Path {
        hops: parts.iter().map(|p| Hop { address: of(p).server().address, span: p.span }).collect(),
        loads: parts.iter().map(|p| Load::new(of(p), bytes * f64::from(p.span.len()))).collect(),
        peers: parts.iter().map(of).collect(),
        charges,
        new_context,
    })
}

/// Time of a request on cards of that pace.
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
    let Snapshot { now, zone_load, .. } = snapshot;
    let entry = peer.server();
    let card = model.card(entry.card.as_deref()?)?;
    let span = peer.span(now);
    if span.is_empty() {
        return None;
    }
    let shape = &model.shape;
    let layers = f64::from(span.len());
    let bytes = if kept { 0.0 } else { context_bytes(model, tokens) };
    let memory = card.bytes - layers * shape.layer_bytes;
    let in_use = memory_in_use(peer, model, memory, snapshot);
    let taken = peer.context.get().max(in_use) + bytes * layers;
    let full = taken / memory.max(1.0);
    let reading = peer.prefill_backlog.get();
    let reads = reading.takes(now, 1.0, zone_load.zone_ratio, MAX_PREFILL_WAIT);
    let reading = reading.waiting(now, 1.0 / zone_load.zone_ratio).min(MAX_PREFILL_WAIT);
    // What it has begun, it keeps.
    if !kept && (full > MAX_MEMORY_FILL || !reads || peer.running.get() >= entry.slots) {
        return None;
    }
    let slow = peer.slowdown.get();
    let read = tokens.prompt / shape.read_per_ms * card.read * slow;
    let write = tokens.answer * shape.step_ms * card.pace * slow;
    // Grows without bound as memory fills, so that copies fill evenly.
    let full = full.min(MAX_MEMORY_FILL);
    let scarce = 1.0 / (1.0 - full * full);
    // Where layers are held twice, the server with fewer of this router's requests goes first: a loss then
    // breaks off half as many, and each half is read again in half the time.
    let part = (f64::from(peer.running.get()) / zone_load.own.max(1.0)).min(1.0);
    let shared = 1.0 + BALANCE_COST * part;
    Some(Holder {
        server,
        zone: zone(&entry.zone),
        span,
        layer_ms: (read + write) / f64::from(shape.layers) * scarce * shared,
        hop_ms: HOP_MS * tokens.answer + millis(reading),
        begin_ms: match peer.limited.allows(now) {
            true => begin_ms(peer, now, request_ms(shape, tokens, 10.0)),
            false => f64::INFINITY,
        },
    })
}

/// What is known of the load at one moment.
#[derive(Debug, Clone, Copy)]
struct Snapshot {
    now: Duration,
    zone_load: ZoneLoad,
    /// How long requests last.
    lasting: Duration,
}

/// Bytes of a server's memory for requests that those of all routers take, by what it told and what was sent since, or
/// else as far as this router's own say: at most all that run in the data centre.
fn memory_in_use(peer: &Peer, model: &Model, memory: f64, snapshot: Snapshot) -> f64 {
    let Snapshot { now, zone_load, lasting } = snapshot;
    match peer.filled.get().filter(|(_, at)| now < *at + FILL_VALIDITY) {
        Some((part, heard)) => {
            let at = heard.saturating_sub(model.report_lag);
            let told = Report { work: part * memory, at, lasting };
            match zone_load.own > 0.0 {
                true => told.estimate(now, &peer.sent_context.borrow(), zone_load.total_ratio),
                // What others send can't be told from what this router does.
                false => told.work,
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

/// Part of a server's memory for requests that is taken, if it has told lately.
pub fn reported_fill(peer: &Peer, now: Duration) -> Option<f64> {
    peer.filled.get().filter(|(_, at)| now < *at + FILL_VALIDITY).map(|(part, _)| part)
}

/// Cost of beginning a request that takes `whole` milliseconds at a server, as far as it told of its slots.
fn begin_ms(peer: &Peer, now: Duration, total_ms: f64) -> f64 {
    let told = peer.reported_load.get().filter(|(_, at)| now < *at + LOAD_VALIDITY);
    told.map_or(0.0, |(running, _)| slots::begin_ms(running, peer.server().slots, total_ms))
}

/// A number for the name of a data centre; equal names have equal numbers.
pub fn zone(name: &str) -> Zone {
    (xxhash_rust::xxh3::xxh3_64(name.as_bytes()) & 0xffff) as u16
}
