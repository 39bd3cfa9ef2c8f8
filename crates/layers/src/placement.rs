//! Decides which backend server holds which layers.
//!
//! Load pattern: servers of unequal memory join, leave and crash while requests run. Each data
//! centre keeps a whole copy of the model if its memory allows, since the activations of every
//! prompt would otherwise cross the link between data centres: 16 MB for 760 tokens, so that
//! some seventy requests a second fill 9.3 Gbit/s. Servers that the copy does not need hold
//! second copies of some layers. They are the reserve: a loss that they cover interrupts nothing.
//!
//! Without repair, one lost server makes the copy of its data centre unusable for good.

mod copies;
mod reserve;

use std::cmp::Ordering;

use crate::server::{Card, Index, Server, Shape, Zone};
use crate::span::Span;
pub use reserve::{REPLACEMENT_WINDOW, RESERVE_DELAY, defer_reserves};

/// Tokens of context for which a data centre's copy is planned, if its memory allows: half as much again
/// as the hundred requests of nine hundred tokens that run while one copy carries the load of three
/// data centres.
pub const TARGET_CONTEXT_TOKENS: f64 = 150_000.0;

/// Most tokens of context for which a copy is planned. More context needs more servers on a path; each of them
/// costs every token a transfer, and its loss breaks the path.
pub const MAX_CONTEXT_TOKENS: f64 = 250_000.0;

/// Tokens of context for each of several whole copies in a data centre, if its memory holds them. With two copies, a
/// loss breaks half as many streams, and the other copy takes them over without loading anything.
pub const MULTI_COPY_CONTEXT_TOKENS: f64 = 110_000.0;

/// Share of a data centre's memory for its first copy. The rest holds second copies.
const FIRST_COPY_MEMORY_SHARE: f64 = 0.65;

/// Fewest tokens of context that a longer span must leave room for: thirty requests of nine hundred tokens.
/// With less, requests would be preempted.
pub const MIN_CONTEXT_TOKENS: f64 = 27_000.0;

/// Whole copies that can carry the load of all data centres for the seconds in which a crashed server
/// restarts. Redistributing a copy loads most of its layers again and delays the requests that pass through it.
pub const MIN_WHOLE_COPIES: usize = 2;

/// An order to hold layers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// The server that gets the order.
    pub server: Index,
    /// The layers that it holds from then on.
    pub span: Span,
}

/// Returns the orders that lead from the layers held now to a whole copy in each data centre.
///
/// Busy servers count as holding what they were ordered to hold and get no second order.
/// `lasting` says that layers have been missing for longer than a crashed server needs to restart. In
/// this case, or if few whole copies are left, copies that can't be repaired are redistributed.
pub fn plan(servers: &[Server], shape: &Shape, lasting: bool) -> Vec<Place> {
    let room =
        servers.iter().filter(|s| s.usable).map(|s| s.card.capacity(shape, MIN_CONTEXT_TOKENS));
    if room.sum::<u32>() < shape.layers {
        return Vec::new();
    }
    let mut planner = Planner { servers: servers.to_vec(), shape, orders: Vec::new() };
    let mut zones: Vec<Zone> = servers.iter().map(|s| s.zone).collect();
    zones.sort_unstable();
    zones.dedup();
    let groups = groups(servers, shape, &zones);
    let mut whole = true;
    for group in &groups {
        let fresh = planner.members(group).all(|i| planner.servers[i].span.is_empty());
        if fresh {
            planner.place_copies(group);
        } else {
            whole &= planner.missing(group, None).is_empty();
        }
        planner.repair(group);
    }
    let broken = |group: &&Vec<Zone>| !planner.missing(group, None).is_empty();
    let broken: Vec<&Vec<Zone>> = groups.iter().filter(broken).collect();
    if lasting || groups.len() - broken.len() < MIN_WHOLE_COPIES {
        broken.into_iter().for_each(|group| planner.rebuild(group));
    }
    // Only while no missing layers are being loaded, since simultaneous loads slow each other down. A gap that can't be
    // closed now must not leave the other groups without reserves.
    let loads = planner.servers.iter().any(|s| s.usable && s.busy);
    for group in &groups {
        if whole || !loads && planner.missing(group, None).is_empty() {
            planner.back_up_slow(group);
            planner.reserve(group);
        }
    }
    planner.orders
}

/// Returns the layers that no usable server of a data centre holds or loads.
///
/// ```
/// # use layers::{Card, Server, Shape, Span, placement};
/// let shape = Shape { layers: 8, layer_bytes: 1e9, token_bytes: 1e3, step_ms: 1.0,
///     read_per_ms: 100.0, cross_ms: 0.6, cross_token_ms: 0.01,
///     pause_ms: 200.0, pass: None };
/// let card = Card { bytes: 9e9, pace: 1.0, read: 1.0 };
/// let server = Server { zone: 0, card, span: Span::new(0, 5), usable: true, busy: false, slow: false };
/// assert_eq!(placement::missing(&[server], &shape, 0), [Span::new(5, 8)]);
/// ```
pub fn missing(servers: &[Server], shape: &Shape, zone: Zone) -> Vec<Span> {
    let planner = Planner { servers: servers.to_vec(), shape, orders: Vec::new() };
    planner.missing(&[zone], None)
}

/// Returns the orders that fill a gap of their data centre and leave none elsewhere in it, also if the others are not
/// carried out. If `rearranges`, also those by which a server takes over layers that another one has to give up for that,
/// and then those of that one.
///
/// ```
/// # use layers::{Card, Server, Shape, Span, placement::{Place, repairs}};
/// # let shape = Shape { layers: 8, layer_bytes: 1e9, token_bytes: 1e3, step_ms: 1.0,
/// #     read_per_ms: 100.0, cross_ms: 0.6, cross_token_ms: 0.01, pause_ms: 200.0, pass: None };
/// # let card = Card { bytes: 9e9, pace: 1.0, read: 1.0 };
/// let held = |from, to| Server { zone: 0, card, span: Span::new(from, to), usable: true, busy: false, slow: false };
/// let servers = [held(0, 4), held(0, 4), held(4, 6), held(0, 0)];
/// let fills = |server| Place { server, span: Span::new(6, 8) };
/// let second = Place { server: 3, span: Span::new(0, 4) };
/// // Nothing else holds the layers of the third server, and no layers between 0 and 4 are missing.
/// assert_eq!(repairs(&[fills(0), fills(2), second], &servers, &shape, false), [fills(0)]);
/// // The second server takes over the layer that the first one gives up, and only then the first one fills the gap.
/// let shifts = [Place { server: 0, span: Span::new(4, 8) }, Place { server: 1, span: Span::new(0, 4) }];
/// assert_eq!(repairs(&shifts, &[held(3, 7), held(0, 3)], &shape, true), [shifts[1]]);
/// assert_eq!(repairs(&shifts, &[held(3, 7), held(0, 4)], &shape, true), [shifts[0]]);
/// assert_eq!(repairs(&shifts, &[held(3, 7), held(0, 3)], &shape, false), []);
/// ```
pub fn repairs(
    places: &[Place],
    servers: &[Server],
    shape: &Shape,
    rearranges: bool,
) -> Vec<Place> {
    let planner = Planner { servers: servers.to_vec(), shape, orders: Vec::new() };
    let is_repair = |place: &&Place| {
        let group = [servers[place.server].zone];
        let fills = |place: &Place| {
            planner.missing(&group, None).iter().any(|gap| gap.overlaps(place.span))
        };
        let held = servers[place.server].span;
        let may_give_up = |place: &Place| {
            planner.redundant(&group, place.server)
                || rearranges && planner.gives_up_redundant(&group, place)
        };
        // Takes over layers that another server has to give up before it may fill the gap.
        let prepares = || {
            let gives_up = |other: &&Place| {
                let span = servers[other.server].span;
                (span.from..span.to).any(|l| !other.span.contains(l) && place.span.contains(l))
            };
            let same_zone = |other: &&Place| servers[other.server].zone == group[0];
            let others = places.iter().filter(|other| other.server != place.server);
            let blocked = |other: &&Place| fills(other) && !may_give_up(other);
            others.filter(same_zone).filter(blocked).any(|other| gives_up(&other))
        };
        match place.span.covers(held) {
            true => fills(place) || (rearranges && place.span != held && prepares()),
            false => fills(place) && may_give_up(place),
        }
    };
    places.iter().filter(is_repair).copied().collect()
}

/// Groups of data centres that hold a copy together: each data centre alone if its memory suffices, the rest as one
/// group.
fn groups(servers: &[Server], shape: &Shape, zones: &[Zone]) -> Vec<Vec<Zone>> {
    let holds = |zone: &Zone| {
        let cards = servers.iter().filter(|s| s.usable && s.zone == *zone).map(|s| s.card);
        cards.map(|card| card.capacity(shape, MIN_CONTEXT_TOKENS)).sum::<u32>() >= shape.layers
    };
    let (whole, part): (Vec<Zone>, Vec<Zone>) = zones.iter().partition(|zone| holds(zone));
    let mut groups: Vec<Vec<Zone>> = whole.into_iter().map(|zone| vec![zone]).collect();
    if !part.is_empty() {
        groups.push(part);
    }
    groups
}

/// Servers as the orders given so far leave them, and those orders.
struct Planner<'a> {
    servers: Vec<Server>,
    shape: &'a Shape,
    orders: Vec<Place>,
}

impl Planner<'_> {
    fn members<'b>(&'b self, group: &'b [Zone]) -> impl Iterator<Item = Index> + 'b {
        let of = move |s: &Server| s.usable && group.contains(&s.zone);
        self.servers.iter().enumerate().filter(move |(_, s)| of(s)).map(|(i, _)| i)
    }

    /// Servers of a group, ordered by memory per step time, the highest first: a path through few
    /// and fast servers is quicker, and fewer losses break it.
    fn by_value(&self, group: &[Zone]) -> Vec<Index> {
        let mut order: Vec<Index> = self.members(group).collect();
        let value = |i: &Index| self.servers[*i].card.bytes / self.servers[*i].card.pace;
        order.sort_by(|a, b| value(b).total_cmp(&value(a)).then(a.cmp(b)));
        order
    }

    fn order(&mut self, server: Index, span: Span) {
        self.servers[server].span = span;
        self.servers[server].busy = true;
        self.orders.push(Place { server, span });
    }

    /// Places the first copies of an empty group, with context as memory allows, from [`TARGET_CONTEXT_TOKENS`] to
    /// [`MAX_CONTEXT_TOKENS`], on the fewest and fastest servers.
    fn place_copies(&mut self, group: &[Zone]) {
        let order = self.by_value(group);
        let sum = |tokens: f64| -> u32 {
            order.iter().map(|i| self.servers[*i].card.capacity(self.shape, tokens)).sum()
        };
        if sum(0.0) < self.shape.layers {
            return;
        }
        let all = Span::new(0, self.shape.layers);
        // Memory that stays unused at the ends of copies is missing from the last copy, which then serves as reserve.
        let copies = sum(MULTI_COPY_CONTEXT_TOKENS) / self.shape.layers;
        let copies_by_rate =
            self.holds_copies(group).then(|| self.copies_by_rate(&order)).flatten();
        if let Some(spans) = copies_by_rate {
            return spans.into_iter().for_each(|(i, span)| self.order(i, span));
        }
        if copies >= 2 {
            let tokens =
                largest(MAX_CONTEXT_TOKENS, |tokens| sum(tokens) >= copies * self.shape.layers);
            let mut rest = order;
            for _ in 0..copies {
                rest = self.assign(&rest, all, tokens);
            }
            return;
        }
        let memory: f64 = order.iter().map(|i| self.servers[*i].card.bytes).sum();
        let layer = memory * FIRST_COPY_MEMORY_SHARE / f64::from(self.shape.layers)
            - self.shape.layer_bytes;
        let aim = (layer / self.shape.token_bytes).clamp(TARGET_CONTEXT_TOKENS, MAX_CONTEXT_TOKENS);
        let tokens = largest(aim, |tokens| sum(tokens) >= self.shape.layers);
        self.assign(&order, all, tokens);
    }

    /// Returns whether a group's memory holds several whole copies, and few enough to compare ways to split it.
    fn holds_copies(&self, group: &[Zone]) -> bool {
        let cards = self.members(group).map(|i| self.servers[i].card);
        let layers: u32 =
            cards.map(|card| card.capacity(self.shape, MULTI_COPY_CONTEXT_TOKENS)).sum();
        (2..=copies::MAX_COMPARED_COPIES).contains(&(layers / self.shape.layers))
    }

    /// Returns the copies that together serve the highest rate, or `None` if the engines' passes are unknown.
    fn copies_by_rate(&self, members: &[Index]) -> Option<Vec<(Index, Span)>> {
        let mut order = members.to_vec();
        let rate = |i: &Index| self.shape.rate(&self.servers[*i].card, self.shape.layers, 1.0);
        order.sort_by(|a, b| rate(b).partial_cmp(&rate(a)).unwrap_or(Ordering::Equal));
        let cards: Vec<Card> = order.iter().map(|i| self.servers[*i].card).collect();
        let spans = copies::split(&cards, self.shape, MULTI_COPY_CONTEXT_TOKENS)?;
        Some(spans.into_iter().map(|(at, span)| (order[at], span)).collect())
    }

    /// Assigns layers to servers in order, each with room for `tokens` of context. Returns the servers left over.
    fn assign(&mut self, order: &[Index], layers: Span, tokens: f64) -> Vec<Index> {
        let mut at = layers.from;
        let mut left = Vec::new();
        for i in order {
            let most = self.servers[*i].card.capacity(self.shape, tokens);
            let span = Span::new(at, layers.to.min(at + most));
            at = span.to;
            match () {
                () if span.is_empty() => left.push(*i),
                () if span != self.servers[*i].span => self.order(*i, span),
                () => {}
            }
        }
        left
    }

    /// Returns the spans of layers that no usable server of the group holds, with `but` left out.
    fn missing(&self, group: &[Zone], but: Option<Index>) -> Vec<Span> {
        let mut held = vec![false; self.shape.layers as usize];
        for i in self.members(group).filter(|i| Some(*i) != but) {
            let span = self.servers[i].span;
            held.iter_mut().take(span.to as usize).skip(span.from as usize).for_each(|h| *h = true);
        }
        Span::gaps(&held)
    }

    /// Returns whether the group holds all layers of this server elsewhere.
    fn redundant(&self, group: &[Zone], server: Index) -> bool {
        let span = self.servers[server].span;
        let gaps = self.missing(group, Some(server));
        span.is_empty() || !gaps.iter().any(|gap| gap.overlaps(span))
    }

    /// Returns whether servers of the group hold, and do not only load, the layers that this server gives up for others.
    fn gives_up_redundant(&self, group: &[Zone], place: &Place) -> bool {
        let span = self.servers[place.server].span;
        let holds = |layer: u32| {
            let mut others = self.members(group).filter(|i| *i != place.server);
            others.any(|i| !self.servers[i].busy && self.servers[i].span.contains(layer))
        };
        (span.from..span.to).filter(|layer| !place.span.contains(*layer)).all(holds)
    }

    /// Assigns missing layers to redundant servers, then to the servers beside the gap if they have room.
    fn repair(&mut self, group: &[Zone]) {
        // Each round orders at least one server, so the number of servers bounds the rounds.
        while let Some(gap) = self.missing(group, None).first().copied() {
            // Longer spans leave less memory for requests, so they are the last resort.
            let done = self.assign_spare(group, gap, true)
                || self.assign_spare(group, gap, false)
                || self.extend(group, gap);
            if !done {
                return;
            }
        }
    }

    /// Closes gaps beside which no memory is free: redistributes the missing layers and those of the
    /// servers around the gap among the fewest servers that have the memory. Each keeps its position
    /// in the order, so most layers stay where they are. This breaks no whole copy, as the group has none.
    fn rebuild(&mut self, group: &[Zone]) {
        for gap in self.missing(group, None) {
            if let Some(window) = self.window(group, gap) {
                let layers = self.extent(&window, gap);
                let tokens = self.room(&window, layers);
                self.assign(&window, layers, tokens);
            }
        }
    }

    /// Returns the fewest servers around a gap that together can hold the gap and their own layers.
    fn window(&self, group: &[Zone], gap: Span) -> Option<Vec<Index>> {
        let free = |i: &Index| !self.servers[*i].busy && !self.servers[*i].span.is_empty();
        let mut order: Vec<Index> = self.members(group).filter(free).collect();
        order.sort_by_key(|i| (self.servers[*i].span, *i));
        let at = order.partition_point(|i| self.servers[*i].span.from < gap.from);
        let fits = |window: &[Index]| {
            let room: u32 = window
                .iter()
                .map(|i| self.servers[*i].card.capacity(self.shape, MIN_CONTEXT_TOKENS))
                .sum();
            room >= self.extent(window, gap).len()
        };
        (2..=order.len()).find_map(|width| {
            let starts = at.saturating_sub(width)..=at.min(order.len() - width);
            starts.map(|from| &order[from..from + width]).find(|w| fits(w)).map(<[Index]>::to_vec)
        })
    }

    /// Returns the smallest span that contains a gap and the layers of the servers of a window.
    fn extent(&self, window: &[Index], gap: Span) -> Span {
        let spans = window.iter().map(|i| self.servers[*i].span);
        spans.fold(gap, |all, s| Span::new(all.from.min(s.from), all.to.max(s.to)))
    }

    /// Returns the tokens of context that fit beside these layers on these servers, at most [`TARGET_CONTEXT_TOKENS`].
    fn room(&self, order: &[Index], layers: Span) -> f64 {
        largest(TARGET_CONTEXT_TOKENS, |tokens| {
            let cards = order.iter().map(|i| self.servers[*i].card);
            cards.map(|card| card.capacity(self.shape, tokens)).sum::<u32>() >= layers.len()
        })
    }

    /// Assigns a gap to a server that is empty, or to one whose layers are redundant.
    ///
    /// A server that gives up layers first completes all requests that pass through them, which takes
    /// seconds on the fast cards that most paths use. So an empty server is best, and then the one
    /// that gives up the fewest layers.
    fn assign_spare(&mut self, group: &[Zone], gap: Span, empty: bool) -> bool {
        let members: Vec<Index> = self.members(group).collect();
        let spare = |i: &Index| {
            let server = &self.servers[*i];
            !server.busy && server.span.is_empty() == empty && self.redundant(group, *i)
        };
        let capacity = |i: Index| self.servers[i].card.capacity(self.shape, MIN_CONTEXT_TOKENS);
        let key = |i: &Index| (capacity(*i) < gap.len(), self.servers[*i].span.len(), capacity(*i));
        let Some(server) = members.into_iter().filter(spare).min_by_key(key) else {
            return false;
        };
        let len = capacity(server).min(gap.len());
        if len == 0 {
            return false;
        }
        self.order(server, Span::new(gap.from, gap.from + len));
        true
    }

    /// Extends the spans on both sides of a gap.
    fn extend(&mut self, group: &[Zone], gap: Span) -> bool {
        let room = |i: Index| {
            let server = &self.servers[i];
            server.card.capacity(self.shape, MIN_CONTEXT_TOKENS).saturating_sub(server.span.len())
        };
        let free: Vec<Index> =
            self.members(group).filter(|i| !self.servers[*i].busy && room(*i) > 0).collect();
        let below = free.iter().copied().find(|i| self.servers[*i].span.to == gap.from);
        let above = free.iter().copied().find(|i| self.servers[*i].span.from == gap.to);
        let (server, span) = match (below, above) {
            (Some(i), other) => {
                let part = other.map_or(gap.len(), |o| {
                    gap.len().div_ceil(2).max(gap.len().saturating_sub(room(o)))
                });
                (i, Span::new(self.servers[i].span.from, gap.from + room(i).min(part)))
            }
            (None, Some(i)) => {
                let len = room(i).min(gap.len());
                (i, Span::new(gap.to - len, self.servers[i].span.to))
            }
            (None, None) => return false,
        };
        self.order(server, span);
        true
    }
}

/// Returns the largest number up to `top` for which `fits` is true, to within `top / 65,536`.
fn largest(top: f64, fits: impl Fn(f64) -> bool) -> f64 {
    if fits(top) {
        return top;
    }
    let (mut low, mut high) = (0.0, top);
    for _ in 0..16 {
        let middle = (low + high) / 2.0;
        if fits(middle) { low = middle } else { high = middle }
    }
    low
}
