//! Several whole copies in one data centre, distributed by the rates of its servers.
//!
//! Load pattern: requests come as fast as a data centre's fast cards can read them. If layers are distributed by memory
//! alone, a few fast cards hold a whole copy, each with so many layers that little memory is left for requests
//! and its passes take long, while the other cards form a copy that is as slow as its
//! slowest card. Both copies are full at a third of what the cards could serve together.
//!
//! Here each server gets layers in proportion to its rate, so that all servers of a copy reach full load at the
//! same time, and the servers are split into the copies that together serve the most requests on time.

use std::ops::Range;

use crate::pass::Pass;
use crate::server::{Card, Shape};
use crate::span::Span;

/// Most copies among which splits are compared. For more, their number is derived from memory.
pub(super) const MAX_COMPARED_COPIES: u32 = 3;

/// Share of a server's rate for which a copy is planned, since requests don't arrive evenly.
const RATE_SHARE: f64 = 0.8;

/// Share of a server's memory for requests for which a copy is planned.
const MEMORY_SHARE: f64 = 0.8;

/// Passes of a server for one event: the pass that computes it, and most of the pass that is in progress
/// when it arrives.
const PASSES_PER_EVENT: f64 = 2.0;

/// Share of the slots of first servers for which copies are planned.
const SLOT_SHARE: f64 = 0.45;

/// Time of the transfer of an event to the next server, in milliseconds.
const HOP_MS: f64 = 0.3;

/// Number of layers of a whole copy for each of `cards`, in proportion to their rates, with room for
/// `tokens` of context beside them. None if the cards can't hold a copy.
pub(super) fn assign(cards: &[Card], shape: &Shape, tokens: f64) -> Option<Vec<u32>> {
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
    // Round down to whole layers. The remaining layers go where the largest fractions were cut off.
    let mut layers: Vec<u32> = (0..cards.len()).map(|i| share(i, high) as u32).collect();
    while layers.iter().sum::<u32>() < shape.layers {
        let cut = |i: &usize| share(*i, high) - f64::from(layers[*i]);
        let free = (0..cards.len()).filter(|i| layers[*i] < most[*i]);
        let next = free.max_by(|a, b| cut(a).total_cmp(&cut(b)).then(b.cmp(a)))?;
        layers[next] += 1;
    }
    Some(layers)
}

/// A copy at the rate for which it is planned.
#[derive(Debug, Clone, PartialEq)]
struct Copy {
    layers: Vec<u32>,
    /// Mean requests per millisecond.
    rate: f64,
    /// Requests that run at that rate.
    running: f64,
    /// The rate, weighted down by the time that events take.
    on_time_rate: f64,
}

/// The copy that these servers hold together, and its rate.
fn copy(cards: &[Card], shape: &Shape, pass: &Pass, tokens: f64) -> Option<Copy> {
    let layers = assign(cards, shape, tokens)?;
    let held: Vec<(&Card, u32)> =
        cards.iter().zip(layers.iter().copied()).filter(|(_, layers)| *layers > 0).collect();
    let rates = held.iter().filter_map(|(card, layers)| shape.rate(card, *layers, 1.0));
    let top = rates.fold(f64::INFINITY, f64::min) * RATE_SHARE;
    let rooms = held.iter().map(|(card, layers)| card.room(shape, *layers));
    let tokens = rooms.fold(f64::INFINITY, f64::min) * MEMORY_SHARE;
    let events = pass.answer / pass.stride;
    let event_ms = |rate: f64| -> f64 {
        let passes = held.iter().map(|(card, layers)| shape.pass_ms(card, *layers, rate));
        PASSES_PER_EVENT * passes.sum::<f64>() + HOP_MS * held.len() as f64
    };
    let running = |rate: f64| rate * events * event_ms(rate);
    let context = pass.prompt + pass.answer / 2.0;
    let rate = super::largest(top, |rate| running(rate) * context <= tokens);
    let on_time_rate = rate * (1.0 - event_ms(rate) / (2.0 * shape.pause_ms)).max(0.0);
    Some(Copy { layers, rate, running: running(rate), on_time_rate })
}

/// A way to split servers, by position: those of each copy, and those that only begin requests.
struct Split {
    copies: Vec<Range<usize>>,
    heads: Range<usize>,
}

/// The layers of each server, by position in the list of servers, the fastest first: the copies that together serve
/// most, and servers that only hold the first layers. Every request of a copy takes a slot of its first
/// server; the latter servers offer additional slots. None if the engines' passes are unknown.
pub(super) fn split(cards: &[Card], shape: &Shape, tokens: f64) -> Option<Vec<(usize, Span)>> {
    let pass = shape.pass?;
    let ends = 0..=cards.len();
    let ranges = ends.clone().flat_map(|from| ends.clone().map(move |to| from..to.max(from)));
    let all: Vec<Option<Copy>> =
        ranges.map(|servers| copy(&cards[servers], shape, &pass, tokens)).collect();
    let scored = splits(cards.len()).filter_map(|split| {
        let of =
            |servers: &Range<usize>| all[servers.start * (cards.len() + 1) + servers.end].as_ref();
        let copies = split.copies.iter().map(of).collect::<Option<Vec<&Copy>>>()?;
        let running: f64 = copies.iter().map(|copy| copy.running).sum();
        let slots = pass.slots * SLOT_SHARE * (copies.len() + split.heads.len()) as f64;
        Some((score(&copies) * (slots / running).min(1.0), split, copies))
    });
    let (_, split, copies) = scored.max_by(|a, b| a.0.total_cmp(&b.0))?;
    let rate: f64 = copies.iter().map(|copy| copy.rate).sum();
    let mut spans = Vec::new();
    for (servers, copy) in split.copies.iter().zip(&copies) {
        let mut at = 0;
        for (i, layers) in servers.clone().zip(&copy.layers) {
            spans.push((i, Span::new(at, at + layers)));
            at += layers;
        }
    }
    // So few layers that each of these servers could begin all requests, and that they fit beside their context.
    let heads = &cards[split.heads.clone()];
    let alone = heads.iter().filter_map(|card| shape.rate(card, 1, 1.0));
    let layers = (alone.fold(f64::INFINITY, f64::min) * RATE_SHARE / rate).max(1.0) as u32;
    let fits = heads.iter().map(|card| card.capacity(shape, tokens)).min().unwrap_or(0);
    let layers = layers.min(fits).min(shape.layers);
    spans.extend(split.heads.map(|i| (i, Span::new(0, layers))));
    spans.retain(|(_, span)| !span.is_empty());
    Some(spans)
}

/// Ways to split servers that are sorted by rate, the fastest first: into two or three copies, the fastest servers in
/// the first one, while up to a quarter of all servers, the slowest, only begin requests.
fn splits(count: usize) -> impl Iterator<Item = Split> {
    let heads = 0..=count / 4;
    heads.flat_map(move |heads| {
        let members = count - heads;
        let two = (1..members).map(move |cut| vec![0..cut, cut..members]);
        let cuts = (1..members).flat_map(move |a| (a + 1..members).map(move |b| (a, b)));
        let three = cuts.map(move |(a, b)| vec![0..a, a..b, b..members]);
        two.chain(three).map(move |copies| Split { copies, heads: members..count })
    })
}

/// Score of copies together: what they serve on time, and what remains while the best one lacks a server.
fn score(copies: &[&Copy]) -> f64 {
    let on_time_rate: f64 = copies.iter().map(|copy| copy.on_time_rate).sum();
    let rate: f64 = copies.iter().map(|copy| copy.rate).sum();
    let best = copies.iter().map(|copy| copy.rate).fold(0.0, f64::max);
    on_time_rate + rate - best
}
