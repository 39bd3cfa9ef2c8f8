//! The path of a request through the model servers, from what is believed now.

use std::rc::Rc;

use layers::path::{self, Ask, Holder};
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

/// Factor on the transfer of activations between data centres: all paths share one link, so a
/// transfer mostly waits for others.
const SHARED: f64 = 3.0;

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

    /// Memory of its parts is given back early.
    pub fn release(&mut self) {
        self.loads.clear();
    }
}

/// The best path for a request of that size that avoids the servers in `but`.
pub fn find(
    state: &State,
    service: &str,
    model: &Model,
    tokens: Tokens,
    but: &[String],
) -> Option<Path> {
    let now = state.now();
    let peers: Vec<Rc<Peer>> = state.of(service);
    let shape = &model.shape;
    let bytes = (tokens.prompt + tokens.answer) * shape.token_bytes;
    let holders: Vec<Holder> = peers
        .iter()
        .enumerate()
        .filter(|(_, p)| p.usable(now) && !but.contains(&p.server().id))
        .filter_map(|(i, p)| holder(p, i, model, tokens, bytes, p.span(now)))
        .collect();
    let whole = whole_ms(shape, tokens, 10.0);
    let ask = Ask {
        layers: shape.layers,
        zone: zone(&state.setup.zone),
        away_ms: AWAY * whole,
        cross_ms: tokens.answer * shape.cross_ms + SHARED * tokens.prompt * shape.cross_token_ms,
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
) -> Option<Holder> {
    let entry = peer.server();
    let card = model.card(entry.card.as_deref()?)?;
    if span.is_empty() {
        return None;
    }
    let shape = &model.shape;
    let memory = card.bytes - f64::from(span.len()) * shape.layer_bytes;
    let taken = peer.context.get() + bytes * f64::from(span.len());
    let full = taken / memory.max(1.0);
    if full > FULL || peer.running.get() >= entry.slots {
        return None;
    }
    let read = tokens.prompt / shape.read_per_ms * card.read;
    let write = tokens.answer * shape.step_ms * card.pace * peer.slow.get();
    // Grows without bound as memory fills, so that copies fill evenly.
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
pub fn zone(name: &str) -> layers::server::Zone {
    (xxhash_rust::xxh3::xxh3_64(name.as_bytes()) & 0xffff) as u16
}
