//! The path of a request through the model servers, from what is believed now.

use std::rc::Rc;
use std::time::Duration;

use layers::path::{self, Ask, Holder};
use layers::server::Zone;
use layers::{Shape, Span};

use crate::peer::{Load, Peer};
use crate::request::Tokens;
use crate::settings::Model;
use crate::state::State;
use crate::wire::Hop;

/// Cost of beginning in another data centre, as a part of the whole time of a request. More than
/// the copies differ in speed, so that each data centre's requests stay there while its copy is
/// whole, and small against what a missing layer costs.
const AWAY: f64 = 0.35;

/// Part of a server's memory for requests up to which this router sends it more. Other routers
/// send to it too, and a request that meets full memory is declined or preempts another.
const FULL: f64 = 0.85;

/// Time for a token to get to the next server of a path in the same data centre, in milliseconds.
const HOP: f64 = 0.2;

/// Cost of going on in another data centre, as a part of the whole time of a request. All paths share
/// one link between data centres, which some seventy prompts a second fill; paths that cross it
/// for speed alone would leave nothing for those that have no other way. Such a path also ends with
/// the loss of a server in either data centre.
const CROSS: f64 = 0.5;

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
}

impl Path {
    /// The server that the request is sent to.
    pub fn first(&self) -> &Rc<Peer> {
        &self.peers[0]
    }

    /// Whether one of its servers is suspected.
    pub fn is_lost(&self, now: Duration) -> bool {
        self.peers.iter().any(|p| p.suspicion.borrow().holds(now))
    }
}

/// The best path for a request of that size that avoids the servers in `but`; with `willing`, also
/// those that have just declined others.
pub fn find(
    state: &State,
    service: &str,
    model: &Model,
    tokens: Tokens,
    but: &[String],
    willing: bool,
) -> Option<Path> {
    let zone = zone(&state.setup.zone);
    let want = Want { from: 0, zone, kept: &[], willing };
    search(state, service, model, tokens, but, &want)
}

/// A path that begins like `path` and avoids servers that are suspected. What its servers have
/// read of a request stays useful, so they are kept where they can be.
pub fn mend(
    state: &State,
    service: &str,
    model: &Model,
    tokens: Tokens,
    path: &Path,
) -> Option<Path> {
    let first = path.first();
    let hop = path.hops[0];
    if first.suspicion.borrow().holds(state.now()) {
        return None;
    }
    let but = [first.server().id.clone()];
    let want = Want {
        from: hop.span.to,
        zone: zone(&first.server().zone),
        kept: &path.peers,
        willing: true,
    };
    let mut rest = search(state, service, model, tokens, &but, &want)?;
    let bytes = size(model, tokens) * f64::from(hop.span.len());
    rest.peers.insert(0, first.clone());
    rest.hops.insert(0, hop);
    rest.loads.push(Load::new(first.clone(), bytes));
    Some(rest)
}

/// Whether each layer of the model is held by some server that takes requests.
pub fn whole(state: &State, service: &str, model: &Model) -> bool {
    let now = state.now();
    let peers = state.of(service);
    let spans = peers.iter().filter(|p| p.willing(now)).map(|p| p.span(now));
    let mut spans: Vec<Span> = spans.collect();
    spans.sort_unstable();
    let reached = spans.iter().fold(0, |at, s| if s.from <= at { at.max(s.to) } else { at });
    reached >= model.shape.layers
}

/// Where a path is to begin.
struct Want<'a> {
    from: u32,
    zone: Zone,
    /// Servers that have read the request already.
    kept: &'a [Rc<Peer>],
    willing: bool,
}

/// How long what a server tells of its load is used.
const TOLD: Duration = Duration::from_millis(1500);

/// Requests of all routers that run through each data centre's copy, as their first servers tell.
/// A router sees only its own; when copies are lost, the others' requests crowd into the copies
/// that are left, and none of the routers would notice that their memory is full.
fn crowds(peers: &[Rc<Peer>], now: Duration) -> Vec<(Zone, f64)> {
    let mut crowds: Vec<(Zone, f64)> = Vec::new();
    for peer in peers {
        let Some((running, _)) = peer.told.get().filter(|(_, at)| now < *at + TOLD) else {
            continue;
        };
        let zone = zone(&peer.server().zone);
        match crowds.binary_search_by_key(&zone, |(z, _)| *z) {
            Ok(at) => crowds[at].1 += f64::from(running),
            Err(at) => crowds.insert(at, (zone, f64::from(running))),
        }
    }
    crowds
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
    let crowds = crowds(&peers, now);
    let holders: Vec<Holder> = peers
        .iter()
        .enumerate()
        .filter(|(_, p)| if want.willing { p.willing(now) } else { p.usable(now) })
        .filter(|(_, p)| !but.contains(&p.server().id))
        .filter_map(|(i, p)| {
            let kept = want.kept.iter().any(|k| Rc::ptr_eq(k, p));
            let bytes = if kept { 0.0 } else { bytes };
            let zone = zone(&p.server().zone);
            let crowd =
                crowds.binary_search_by_key(&zone, |(z, _)| *z).map_or(0.0, |at| crowds[at].1);
            let mut holder = holder(p, i, model, tokens, bytes, p.span(now), crowd)?;
            holder.layer_ms *= if kept { KEPT } else { 1.0 };
            Some(holder)
        })
        .collect();
    let whole = whole_ms(shape, tokens, 10.0);
    let ask = Ask {
        from: want.from,
        layers: shape.layers,
        zone: want.zone,
        away_ms: AWAY * whole,
        cross_ms: CROSS * whole + tokens.answer * shape.cross_ms,
    };
    let (parts, _) = path::find(&holders, &ask)?;
    let of = |part: &path::Part| peers[part.server].clone();
    Some(Path {
        hops: parts.iter().map(|p| Hop { address: of(p).server().address, span: p.span }).collect(),
        loads: parts.iter().map(|p| Load::new(of(p), bytes * f64::from(p.span.len()))).collect(),
        peers: parts.iter().map(of).collect(),
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
    bytes: f64,
    span: Span,
    crowd: f64,
) -> Option<Holder> {
    let entry = peer.server();
    let card = model.card(entry.card.as_deref()?)?;
    if span.is_empty() {
        return None;
    }
    let shape = &model.shape;
    let memory = card.bytes - f64::from(span.len()) * shape.layer_bytes;
    let crowd = crowd * model.usual * shape.token_bytes * f64::from(span.len());
    let taken = peer.context.get().max(crowd) + bytes * f64::from(span.len());
    let full = taken / memory.max(1.0);
    // What it has begun, it keeps.
    if (full > FULL && bytes > 0.0) || peer.running.get() >= entry.slots {
        return None;
    }
    let slow = peer.slow.get();
    let read = tokens.prompt / shape.read_per_ms * card.read * slow;
    let write = tokens.answer * shape.step_ms * card.pace * slow;
    // Grows without bound as memory fills, so that copies fill evenly.
    let full = full.min(FULL);
    let crowd = 1.0 / (1.0 - full * full);
    Some(Holder {
        server,
        zone: zone(&entry.zone),
        span,
        layer_ms: (read + write) / f64::from(shape.layers) * crowd,
        hop_ms: HOP * tokens.answer,
    })
}

/// A number for the name of a data centre; equal names have equal numbers.
pub fn zone(name: &str) -> Zone {
    (xxhash_rust::xxh3::xxh3_64(name.as_bytes()) & 0xffff) as u16
}
