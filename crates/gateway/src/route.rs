//! The path of a request through the model servers, from what is believed now.

mod crossing;
mod explain;
mod load;

use std::rc::Rc;
use std::time::Duration;

use layers::path::{self, Ask, Holder};
use layers::server::Zone;
use layers::{Shape, Span, slots};
use policy::fill::Told;

use crate::answer::Reason;
use crate::peer::{Load, Peer};
use crate::request::Tokens;
use crate::settings::Model;
use crate::state::State;
use crate::wire::Hop;
pub use crossing::Crossing;
use crossing::spread;
pub use explain::{describe, explain};
use load::{Charge, Crowd, FILLED, LINK, READING_FULL, TOLD, crowds, link, millis};

/// Cost of beginning in another data centre, as a part of the whole time of a request. More than
/// the copies differ in speed, so that each data centre's requests stay there while its copy is
/// whole, and small against what a missing layer costs.
const AWAY: f64 = 0.35;

/// Part of a server's memory for requests up to which this router sends it more. Other routers
/// send to it too, and a request that meets full memory is declined or preempts another.
const FULL: f64 = 0.97;

/// Time for a token to get to the next server of a path in the same data centre, in milliseconds.
const HOP: f64 = 0.2;

/// Cost of going on in another data centre, as a part of the whole time of a request. All paths share
/// one link between data centres, which some seventy prompts a second fill; paths that cross it
/// for speed alone would leave nothing for those that have no other way. Such a path also ends with
/// the loss of a server in either data centre.
const CROSS: f64 = 0.5;

/// Cost of a server that has all of this router's requests over one that has none. More than two servers of
/// the same card differ, and less than what another card or a further hop takes; at 0.4, requests
/// take slow ways round and the grown deployments lose 0.01 to 0.02 of their worth.
const EVEN: f64 = 0.15;

/// Part of the cost of a server that has read the request already.
const KEPT: f64 = 0.3;

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
    brings: Vec<(Rc<Peer>, f64)>,
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
        self.brings
            .drain(..)
            .for_each(|(peer, bytes)| peer.sent_context.borrow_mut().note(now, bytes));
    }

    /// Whether a new request may take it, of which a fixed random number is `luck`: of those that want a link between
    /// data centres, all routers together send as many as it carries. With `wants`, it is counted among them.
    pub fn may_cross(&self, state: &State, luck: f64, wants: bool) -> bool {
        self.charges.iter().all(|charge| charge.allows(state, luck, wants))
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
    but: &[String],
    willing: bool,
    crosses: bool,
) -> Option<Path> {
    let zone = zone(&state.setup.zone);
    let crossing = if crosses { Crossing::DEFAULT } else { Crossing::NONE };
    let want = Want { from: 0, zone, kept: &[], willing, crossing };
    search(state, service, model, tokens, but, &want)
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
    let but = [first.server().id.clone()];
    let want = Want {
        from: hop.span.to,
        zone: zone(&first.server().zone),
        kept: &path.peers,
        willing: true,
        crossing,
    };
    let mut rest = search(state, service, model, tokens, &but, &want)?;
    let bytes = size(model, tokens) * f64::from(hop.span.len());
    rest.peers.insert(0, first.clone());
    rest.hops.insert(0, hop);
    rest.loads.push(Load::new(first.clone(), bytes));
    Some(rest)
}

/// Why there is no path that avoids the servers in `but`. Memory that is full is free again sooner than lost layers are
/// loaded.
pub fn no_path_reason(state: &State, service: &str, model: &Model, but: &[String]) -> Reason {
    match whole(state, service, model, but) {
        true if over_limit(state, service, but) => Reason::Limited,
        true => Reason::Full,
        false if state.store_away() => Reason::NoPathAway,
        false => Reason::NoPath,
    }
}

/// Whether each layer of the model is held by some server that takes requests and is not in `but`.
fn whole(state: &State, service: &str, model: &Model, but: &[String]) -> bool {
    let now = state.now();
    let peers = state.of(service);
    let taking = |p: &&Rc<Peer>| p.accepts_requests(now) && !but.contains(&p.server().id);
    let spans = peers.iter().filter(taking).map(|p| p.span(now));
    let mut spans: Vec<Span> = spans.collect();
    spans.sort_unstable();
    let reached = spans.iter().fold(0, |at, s| if s.from <= at { at.max(s.to) } else { at });
    reached >= model.shape.layers
}

/// Whether a request could begin only at servers that name limits, which are used up.
fn over_limit(state: &State, service: &str, but: &[String]) -> bool {
    let now = state.now();
    let mut firsts = state.of(service);
    firsts.retain(|p| {
        p.accepts_requests(now) && holds_first_layer(p, now) && !but.contains(&p.server().id)
    });
    !firsts.is_empty() && firsts.iter().all(|p| !p.limited.allows(now))
}

/// Whether requests can begin at a server.
pub fn holds_first_layer(peer: &Peer, now: Duration) -> bool {
    let span = peer.span(now);
    span.from == 0 && !span.is_empty()
}

/// Where a path is to begin.
struct Want<'a> {
    from: u32,
    zone: Zone,
    /// Servers that have read the request already.
    kept: &'a [Rc<Peer>],
    willing: bool,
    crossing: Crossing,
}

/// Bytes of context in one layer.
fn size(model: &Model, tokens: Tokens) -> f64 {
    (tokens.prompt + tokens.answer) * model.shape.token_bytes
}

fn search(
    state: &State,
    service: &str,
    model: &Model,
    tokens: Tokens,
    but: &[String],
    want: &Want<'_>,
) -> Option<Path> {
    let now = state.now();
    let peers: Vec<Rc<Peer>> = state.of(service);
    let shape = &model.shape;
    let bytes = size(model, tokens);
    let crowds = crowds(&peers, now, state.routers());
    let crowd_of = |zone: Zone| {
        let found = crowds.binary_search_by_key(&zone, |c| c.zone);
        found.map_or(Crowd::unknown(zone, state.routers()), |at| crowds[at])
    };
    let holders: Vec<Holder> = peers
        .iter()
        .enumerate()
        .filter(|(_, p)| if want.willing { p.accepts_requests(now) } else { p.usable(now) })
        .filter(|(_, p)| !but.contains(&p.server().id))
        .filter_map(|(i, p)| {
            let kept = want.kept.iter().any(|k| Rc::ptr_eq(k, p));
            let crowd = crowd_of(zone(&p.server().zone));
            let known = Known { now, crowd, lasting: state.lasting.get() };
            let mut holder = holder(p, i, model, tokens, kept, known)?;
            holder.layer_ms *= if kept { KEPT } else { 1.0 };
            Some(holder)
        })
        .collect();
    let whole = whole_ms(shape, tokens, 10.0);
    let transfer = (tokens.prompt + tokens.answer) * shape.cross_token_ms;
    let luck = rand::random();
    let cross_ms = |from: Zone, to: Zone| {
        let (link, others) = (link(state, from, to), crowd_of(from).others);
        let Crossing { max_transfer_ms: limit_ms, max_wait } = want.crossing;
        if transfer > limit_ms || !link.takes(now, LINK, others, max_wait) {
            return f64::INFINITY;
        }
        let waiting = link.waiting(now, LINK / others).min(max_wait);
        // Of new requests, only as many are let through as the links carry.
        let spread = if want.from > 0 { spread(luck, (from, to)) } else { 0.0 };
        (CROSS + spread) * whole + tokens.answer * shape.cross_ms + millis(waiting)
    };
    let ask = Ask {
        from: want.from,
        layers: shape.layers,
        zone: want.zone,
        away_ms: AWAY * whole,
        cross_ms: &cross_ms,
    };
    let (parts, _) = path::find(&holders, &ask)?;
    let of = |part: &path::Part| peers[part.server].clone();
    let (mut charges, mut brings) = (Vec::new(), Vec::new());
    let mut before = (want.from > 0).then_some(want.zone);
    for part in &parts {
        let peer = of(part);
        let here = zone(&peer.server().zone);
        if let Some(before) = before.replace(here).filter(|before| *before != here) {
            let share = LINK / crowd_of(before).others;
            charges.push(Charge::link((before, here), transfer, share));
        }
        if !want.kept.iter().any(|k| Rc::ptr_eq(k, &peer)) {
            charges.extend(Charge::prefill(&peer, model, tokens, part.span, crowd_of(here)));
            brings.push((peer, bytes * f64::from(part.span.len())));
        }
    }
    Some(Path {
        hops: parts.iter().map(|p| Hop { address: of(p).server().address, span: p.span }).collect(),
        loads: parts.iter().map(|p| Load::new(of(p), bytes * f64::from(p.span.len()))).collect(),
        peers: parts.iter().map(of).collect(),
        charges,
        brings,
    })
}

/// Time of a request on cards of that pace.
fn whole_ms(shape: &Shape, tokens: Tokens, pace: f64) -> f64 {
    tokens.prompt / shape.read_per_ms * pace + tokens.answer * shape.step_ms * pace
}

fn holder(
    peer: &Peer,
    server: usize,
    model: &Model,
    tokens: Tokens,
    kept: bool,
    known: Known,
) -> Option<Holder> {
    let Known { now, crowd, .. } = known;
    let entry = peer.server();
    let card = model.card(entry.card.as_deref()?)?;
    let span = peer.span(now);
    if span.is_empty() {
        return None;
    }
    let shape = &model.shape;
    let layers = f64::from(span.len());
    let bytes = if kept { 0.0 } else { size(model, tokens) };
    let memory = card.bytes - layers * shape.layer_bytes;
    let others = taken_by_all(peer, model, memory, known);
    let taken = peer.context.get().max(others) + bytes * layers;
    let full = taken / memory.max(1.0);
    let reading = peer.prefill_backlog.get();
    let reads = reading.takes(now, 1.0, crowd.others, READING_FULL);
    let reading = reading.waiting(now, 1.0 / crowd.others).min(READING_FULL);
    // What it has begun, it keeps.
    if !kept && (full > FULL || !reads || peer.running.get() >= entry.slots) {
        return None;
    }
    let slow = peer.slowdown.get();
    let read = tokens.prompt / shape.read_per_ms * card.read * slow;
    let write = tokens.answer * shape.step_ms * card.pace * slow;
    // Grows without bound as memory fills, so that copies fill evenly.
    let full = full.min(FULL);
    let scarce = 1.0 / (1.0 - full * full);
    // Where layers are held twice, the server with fewer of this router's requests goes first: a loss then
    // breaks off half as many, and each half is read again in half the time.
    let part = (f64::from(peer.running.get()) / crowd.own.max(1.0)).min(1.0);
    let shared = 1.0 + EVEN * part;
    Some(Holder {
        server,
        zone: zone(&entry.zone),
        span,
        layer_ms: (read + write) / f64::from(shape.layers) * scarce * shared,
        hop_ms: HOP * tokens.answer + millis(reading),
        begin_ms: match peer.limited.allows(now) {
            true => begin_ms(peer, now, whole_ms(shape, tokens, 10.0)),
            false => f64::INFINITY,
        },
    })
}

/// What is known of the load at one moment.
#[derive(Debug, Clone, Copy)]
struct Known {
    now: Duration,
    crowd: Crowd,
    /// How long requests last.
    lasting: Duration,
}

/// Bytes of a server's memory for requests that those of all routers take, by what it told and what was sent since, or
/// else as far as this router's own say: at most all that run in the data centre.
fn taken_by_all(peer: &Peer, model: &Model, memory: f64, known: Known) -> f64 {
    let Known { now, crowd, lasting } = known;
    match peer.filled.get().filter(|(_, at)| now < *at + FILLED) {
        Some((part, heard)) => {
            let at = heard.saturating_sub(model.told_after);
            let told = Told { work: part * memory, at, lasting };
            match crowd.own > 0.0 {
                true => told.now(now, &peer.sent_context.borrow(), crowd.ratio),
                // What others send can't be told from what this router does.
                false => told.work,
            }
        }
        None => {
            let own = f64::from(peer.running.get());
            let running = ((own + own.sqrt() + 1.0) * crowd.ratio).min(crowd.running);
            let layers = f64::from(peer.span(now).len());
            running * model.usual * model.shape.token_bytes * layers
        }
    }
}

/// Part of a server's memory for requests that is taken, if it has told lately.
pub fn reported_fill(peer: &Peer, now: Duration) -> Option<f64> {
    peer.filled.get().filter(|(_, at)| now < *at + FILLED).map(|(part, _)| part)
}

/// Cost of beginning a request that takes `whole` milliseconds at a server, as far as it told of its slots.
fn begin_ms(peer: &Peer, now: Duration, whole: f64) -> f64 {
    let told = peer.reported_load.get().filter(|(_, at)| now < *at + TOLD);
    told.map_or(0.0, |(running, _)| slots::begin_ms(running, peer.server().slots, whole))
}

/// A number for the name of a data centre; equal names have equal numbers.
pub fn zone(name: &str) -> Zone {
    (xxhash_rust::xxh3::xxh3_64(name.as_bytes()) & 0xffff) as u16
}
