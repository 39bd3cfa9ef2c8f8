//! Second copies of layers: those that cover the loss of a server, and those that replace a slow one.

use std::time::Duration;

use super::{Place, Planner, missing};
use crate::server::{Index, Server, Shape, Zone};
use crate::span::Span;

/// Tokens of context for which a second copy leaves room.
pub const RESERVE_CONTEXT_TOKENS: f64 = 100_000.0;

/// Factor on the times of a server that counts as slow.
const SLOW_FACTOR: f64 = 6.0;

/// Time after its start in which a server gets no second copy if no layers are missing.
pub const RESERVE_DELAY: Duration = Duration::from_millis(1500);

/// Time after the loss of a server in which one that starts counts as its replacement.
pub const REPLACEMENT_WINDOW: Duration = Duration::from_secs(10);

/// Removes the orders for second copies to servers that have just started.
///
/// Load pattern: a release replaces servers one after the other; each new one starts up to a second before the old one
/// leaves. An empty server loads what the old one held in a second or two. If it is busy with a second copy instead, a
/// server that holds another second copy has to give that up first, which takes until all requests that pass through it
/// have ended. In this time the data centre begins no requests, and the remaining copies carry all of them when the
/// next server dies.
///
/// A server that restarts after a crash replaces none that has yet to leave, and its data centre lacks the second
/// copies that the crashed one held. `lost` returns how long ago a data centre lost servers, within
/// [`REPLACEMENT_WINDOW`]; the orders of as many servers that have started since are not removed.
///
/// ```
/// use std::time::Duration;
/// use layers::placement::{Place, defer_reserves};
/// use layers::{Card, Server, Shape, Span};
/// let shape = Shape { layers: 8, layer_bytes: 1e9, token_bytes: 1e3, step_ms: 1.0,
///     read_per_ms: 100.0, cross_ms: 0.6, cross_token_ms: 0.01,
///     pause_ms: 200.0, pass: None };
/// let card = Card { bytes: 9e9, pace: 1.0, read: 1.0 };
/// let server = |to| Server { zone: 0, card, span: Span::new(0, to), usable: true, busy: false, slow: false };
/// let order = vec![Place { server: 1, span: Span::new(4, 8) }];
/// let ages = [Duration::from_secs(60), Duration::from_secs(1)];
/// let kept = |held, lost: &[Duration]| {
///     let lost = |_| lost.to_vec();
///     defer_reserves(order.clone(), &[server(held), server(0)], &shape, |i| ages[i], lost)
/// };
/// assert!(kept(8, &[]).is_empty());
/// assert_eq!(kept(8, &[Duration::from_secs(4)]), order);
/// assert_eq!(kept(4, &[]), order);
/// ```
pub fn defer_reserves(
    places: Vec<Place>,
    servers: &[Server],
    shape: &Shape,
    age: impl Fn(Index) -> Duration,
    lost: impl Fn(Zone) -> Vec<Duration>,
) -> Vec<Place> {
    let fills = |place: &Place| {
        let missing = missing(servers, shape, servers[place.server].zone);
        missing.iter().any(|gap| gap.overlaps(place.span))
    };
    let returns = |server: Index| {
        let zone = servers[server].zone;
        let mut lost = lost(zone);
        lost.retain(|ago| *ago >= age(server));
        let first = lost.iter().max().copied().unwrap_or_default();
        let came_before = |i: &Index| {
            servers[*i].zone == zone && age(*i) < first && (age(*i), server) > (age(server), *i)
        };
        (0..servers.len()).filter(came_before).count() < lost.len()
    };
    let waits = |place: &Place| {
        let started = servers[place.server].span.is_empty() && age(place.server) < RESERVE_DELAY;
        started && !fills(place) && !returns(place.server)
    };
    places.into_iter().filter(|place| !waits(place)).collect()
}

impl Planner<'_> {
    /// Orders redundant servers to hold the layers that only slow servers hold.
    ///
    /// Load pattern: a card throttles and works ten times slower. It reads fewer prompts than the others of
    /// its data centre, and all requests there wait for it. It keeps its layers: where no
    /// other server is free, slow layers are better than none.
    pub(super) fn back_up_slow(&mut self, group: &[Zone]) {
        let slow: Vec<Index> = self.members(group).filter(|i| self.servers[*i].slow).collect();
        slow.iter().for_each(|i| self.servers[*i].usable = false);
        for gap in self.missing(group, None) {
            let mut left = gap;
            while !left.is_empty()
                && (self.assign_spare(group, left, true) || self.assign_spare(group, left, false))
            {
                let taken = self.orders.last().map_or(left.to, |order| order.span.to);
                left = Span::new(taken.min(left.to), left.to);
            }
        }
        slow.iter().for_each(|i| self.servers[*i].usable = true);
    }

    /// Orders empty servers to hold second copies, so that the loss of as many servers as possible leaves no gap.
    pub(super) fn reserve(&mut self, group: &[Zone]) {
        let empty: Vec<Index> = self
            .by_value(group)
            .into_iter()
            .filter(|i| self.servers[*i].span.is_empty() && !self.servers[*i].busy)
            .collect();
        let several = self.holds_copies(group);
        for i in empty {
            let len = self.servers[i]
                .card
                .capacity(self.shape, RESERVE_CONTEXT_TOKENS)
                .min(self.shape.layers);
            let slowest = several.then(|| self.slowest_layers(group, i, len)).flatten();
            if len > 0 {
                let span = slowest.unwrap_or_else(|| self.best_cover(group, len));
                self.order(i, span);
            }
        }
    }

    /// The layers, at most `most`, that a server should hold to raise the group's rate most: those that its servers
    /// can run for the fewest requests. None if the engines' passes are unknown.
    ///
    /// Load pattern: a fast server crashes and restarts empty. Another copy holds its layers too, but that one is
    /// slow, and all requests of the data centre now pass through it for these layers. If the restarted server got
    /// other layers, this would last.
    fn slowest_layers(&self, group: &[Zone], server: Index, most: u32) -> Option<Span> {
        let whole = self.rate(server, self.shape.layers)?;
        let mut rates = vec![0.0; self.shape.layers as usize];
        for i in self.members(group) {
            let span = self.servers[i].span;
            let rate = self.rate(i, span.len()).unwrap_or(0.0);
            rates[span.from as usize..span.to as usize].iter_mut().for_each(|r| *r += rate);
        }
        let mut sorted = rates.clone();
        sorted.sort_by(f64::total_cmp);
        let (least, usual) = (sorted[0], sorted[sorted.len() / 2]);
        // As many layers as the server can run at the rate that the slowest ones lack.
        let lack = (usual - least).max(whole);
        let len = (whole * f64::from(self.shape.layers) / lack).ceil() as u32;
        // One or two slow layers left out would limit the rate as much as all of them.
        let low = rates.iter().filter(|rate| **rate < (least + usual) / 2.0).count() as u32;
        let len = if low <= len + len / 2 { len.max(low) } else { len };
        let len = len.clamp(1, most.max(1));
        let sum = |span: &Span| -> f64 {
            let layers = span.from as usize..span.to as usize;
            rates[layers].iter().map(|r| r.min(usual)).sum()
        };
        let runs = (0..=self.shape.layers - len).map(|from| Span::new(from, from + len));
        runs.min_by(|a, b| sum(a).total_cmp(&sum(b)))
    }

    /// Returns the most mean requests per millisecond that a server with that many layers serves.
    fn rate(&self, server: Index, layers: u32) -> Option<f64> {
        let slow = if self.servers[server].slow { SLOW_FACTOR } else { 1.0 };
        self.shape.rate(&self.servers[server].card, layers, slow)
    }

    /// Returns the span of `len` layers whose second copy covers the most of the servers that hold them.
    ///
    /// A server counts by the square of the share of its layers that another one holds too: covering half of two
    /// servers helps with the loss of neither, so a copy that covers one whole server is preferred, and
    /// servers with few layers come before those with many.
    fn best_cover(&self, group: &[Zone], len: u32) -> Span {
        let spans: Vec<Span> = self
            .members(group)
            .map(|i| self.servers[i].span)
            .filter(|span| !span.is_empty())
            .collect();
        let copies: Vec<usize> = (0..self.shape.layers)
            .map(|layer| spans.iter().filter(|s| s.contains(layer)).count())
            .collect();
        let covered = |new: Span| -> f64 {
            let part = |span: &Span| {
                let twice = |layer: &u32| copies[*layer as usize] > 1 || new.contains(*layer);
                let twice = (span.from..span.to).filter(twice).count();
                (twice as f64 / f64::from(span.len())).powi(2)
            };
            spans.iter().map(part).sum()
        };
        // Among equals the last, at the highest layers, so that copies form one contiguous span up to the end of the
        // model. Scattered copies cover fewer servers, 8 of 16 instead of 10, and paths need more hops.
        let runs = (0..=self.shape.layers - len).map(|from| Span::new(from, from + len));
        // Before that, the one with the fewest copies: no layers are held three times before all are held twice.
        let held =
            |span: &Span| -> usize { copies[span.from as usize..span.to as usize].iter().sum() };
        runs.max_by(|a, b| covered(*a).total_cmp(&covered(*b)).then(held(b).cmp(&held(a))))
            .unwrap_or(Span::new(0, len))
    }
}
