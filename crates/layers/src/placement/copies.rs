//! Several whole copies of a data centre, dealt by what their servers can do.
//!
//! Load pattern: requests come as fast as a data centre's fast cards can read them. Dealt by memory alone, few
//! of the fast cards hold a whole copy, each so many layers that little memory is left for requests
//! and that its passes take long, while the others are spread over a copy that is as slow as its
//! slowest card. Both are full at a third of what the cards could do together.
//!
//! Here each server gets layers in proportion to its rate, so that all servers of a copy are busy at the
//! same time, and the servers are split into the copies that together serve most on time.

use std::ops::Range;

use crate::pass::Pass;
use crate::server::{Card, Shape};
use crate::span::Span;

/// Copies that are weighed against each other at most. With more, their number follows from memory.
pub(super) const MAX_COMPARED_COPIES: u32 = 3;

/// Part of the rate of a server that a copy is planned for; what comes does not come evenly.
const BUSY: f64 = 0.8;

/// Part of a server's memory for requests that a copy is planned for.
const FILLED: f64 = 0.8;

/// Passes of a server that an event takes: the one that it is made in, and most of the one under way
/// when it arrives.
const PASSES: f64 = 2.0;

/// Part of the slots of first servers that is planned with.
const TAKEN: f64 = 0.45;

/// Time for an event to the next server, in milliseconds.
const HOP_MS: f64 = 0.3;

/// Layers of a whole copy for each of `cards`, in proportion to what they can do, with room for
/// `tokens` of context beside them. None if they can't hold it.
pub(super) fn deal(cards: &[Card], shape: &Shape, tokens: f64) -> Option<Vec<u32>> {
    let most: Vec<u32> = cards.iter().map(|card| card.capacity(shape, tokens)).collect();
    if most.iter().sum::<u32>() < shape.layers {
        return None;
    }
    let rates: Option<Vec<f64>> =
        cards.iter().map(|card| shape.rate(card, shape.layers, 1.0)).collect();
    let rates = rates?;
    let share = |i: usize, scale: f64| (rates[i] * scale).min(f64::from(most[i]));
    let sum = |scale: f64| (0..cards.len()).map(|i| share(i, scale)).sum::<f64>();
    let slowest = rates.iter().copied().fold(f64::INFINITY, f64::min);
    let (mut low, mut high) = (0.0, f64::from(shape.layers) / slowest);
    for _ in 0..40 {
        let middle = (low + high) / 2.0;
        if sum(middle) < f64::from(shape.layers) { low = middle } else { high = middle }
    }
    // Whole layers; those that are left go where the part that was cut off is largest.
    let mut layers: Vec<u32> = (0..cards.len()).map(|i| share(i, high) as u32).collect();
    while layers.iter().sum::<u32>() < shape.layers {
        let cut = |i: &usize| share(*i, high) - f64::from(layers[*i]);
        let free = (0..cards.len()).filter(|i| layers[*i] < most[*i]);
        let next = free.max_by(|a, b| cut(a).total_cmp(&cut(b)).then(b.cmp(a)))?;
        layers[next] += 1;
    }
    Some(layers)
}

/// A copy at the rate that it is planned for.
#[derive(Debug, Clone, PartialEq)]
struct Copy {
    layers: Vec<u32>,
    /// Mean requests in a millisecond.
    rate: f64,
    /// Requests that run at that rate.
    running: f64,
    /// The rate, counted less the longer events take.
    worth: f64,
}

/// The copy that these servers hold together, and what it serves.
fn copy(cards: &[Card], shape: &Shape, pass: &Pass, tokens: f64) -> Option<Copy> {
    let layers = deal(cards, shape, tokens)?;
    let held: Vec<(&Card, u32)> =
        cards.iter().zip(layers.iter().copied()).filter(|(_, layers)| *layers > 0).collect();
    let rates = held.iter().filter_map(|(card, layers)| shape.rate(card, *layers, 1.0));
    let top = rates.fold(f64::INFINITY, f64::min) * BUSY;
    let rooms = held.iter().map(|(card, layers)| card.room(shape, *layers));
    let tokens = rooms.fold(f64::INFINITY, f64::min) * FILLED;
    let events = pass.answer / pass.stride;
    let event_ms = |rate: f64| -> f64 {
        let passes = held.iter().map(|(card, layers)| shape.pass_ms(card, *layers, rate));
        PASSES * passes.sum::<f64>() + HOP_MS * held.len() as f64
    };
    let running = |rate: f64| rate * events * event_ms(rate);
    let context = pass.prompt + pass.answer / 2.0;
    let rate = super::most(top, |rate| running(rate) * context <= tokens);
    let worth = rate * (1.0 - event_ms(rate) / (2.0 * shape.pause_ms)).max(0.0);
    Some(Copy { layers, rate, running: running(rate), worth })
}

/// A way to share servers out: those of each copy, and those that only begin requests, by position.
struct Share {
    copies: Vec<Range<usize>>,
    heads: Range<usize>,
}

/// Who holds what, by position in the list of servers, the fastest first: the copies that together serve
/// most, and servers that only hold the first layers. All requests of a copy take a slot of its first
/// server; these have slots, too. None if nothing is known of the engines' passes.
pub(super) fn split(cards: &[Card], shape: &Shape, tokens: f64) -> Option<Vec<(usize, Span)>> {
    let pass = shape.pass?;
    let ends = 0..=cards.len();
    let ranges = ends.clone().flat_map(|from| ends.clone().map(move |to| from..to.max(from)));
    let all: Vec<Option<Copy>> =
        ranges.map(|servers| copy(&cards[servers], shape, &pass, tokens)).collect();
    let weighed = shares(cards.len()).filter_map(|share| {
        let of =
            |servers: &Range<usize>| all[servers.start * (cards.len() + 1) + servers.end].as_ref();
        let copies = share.copies.iter().map(of).collect::<Option<Vec<&Copy>>>()?;
        let running: f64 = copies.iter().map(|copy| copy.running).sum();
        let slots = pass.slots * TAKEN * (copies.len() + share.heads.len()) as f64;
        Some((total(&copies) * (slots / running).min(1.0), share, copies))
    });
    let (_, share, copies) = weighed.max_by(|a, b| a.0.total_cmp(&b.0))?;
    let rate: f64 = copies.iter().map(|copy| copy.rate).sum();
    let mut spans = Vec::new();
    for (servers, copy) in share.copies.iter().zip(&copies) {
        let mut at = 0;
        for (i, layers) in servers.clone().zip(&copy.layers) {
            spans.push((i, Span::new(at, at + layers)));
            at += layers;
        }
    }
    // So few layers that any of them could begin all requests, and that fit beside their context.
    let heads = &cards[share.heads.clone()];
    let alone = heads.iter().filter_map(|card| shape.rate(card, 1, 1.0));
    let layers = (alone.fold(f64::INFINITY, f64::min) * BUSY / rate).max(1.0) as u32;
    let fits = heads.iter().map(|card| card.capacity(shape, tokens)).min().unwrap_or(0);
    let layers = layers.min(fits).min(shape.layers);
    spans.extend(share.heads.map(|i| (i, Span::new(0, layers))));
    spans.retain(|(_, span)| !span.is_empty());
    Some(spans)
}

/// Ways to share out servers, the fastest first: two copies and more, the fastest servers in the first one, and
/// up to a quarter of all, the slowest, that only begin requests.
fn shares(count: usize) -> impl Iterator<Item = Share> {
    let heads = 0..=count / 4;
    heads.flat_map(move |heads| {
        let members = count - heads;
        let two = (1..members).map(move |cut| vec![0..cut, cut..members]);
        let cuts = (1..members).flat_map(move |a| (a + 1..members).map(move |b| (a, b)));
        let three = cuts.map(move |(a, b)| vec![0..a, a..b, b..members]);
        two.chain(three).map(move |copies| Share { copies, heads: members..count })
    })
}

/// What copies are worth together: what they serve on time, and what is left while the best one lacks a server.
fn total(copies: &[&Copy]) -> f64 {
    let worth: f64 = copies.iter().map(|copy| copy.worth).sum();
    let rate: f64 = copies.iter().map(|copy| copy.rate).sum();
    let best = copies.iter().map(|copy| copy.rate).fold(0.0, f64::max);
    worth + rate - best
}
