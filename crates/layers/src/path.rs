//! The path of one request through held layers.
//!
//! Load pattern: a server dies or leaves, and its layers are missing from one data centre for the
//! seconds that loading them elsewhere takes. With fixed chains, that data centre answers nothing
//! in this time. Here any span of layers can follow any other, so the missing layers are run
//! wherever they are held, at the cost of crossing links between data centres.
//!
//! The search is a shortest path over the boundaries of all held spans, by dynamic programming: a
//! few thousand steps for forty servers.

use crate::server::{Index, Zone};
use crate::span::Span;

/// Most parts of a path. Backend servers refuse longer paths.
pub const MAX_PARTS: usize = 32;

/// Layers on one server that a path may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Holder {
    /// The server.
    pub server: Index,
    /// Its data centre.
    pub zone: Zone,
    /// The layers it holds.
    pub span: Span,
    /// Cost of running one layer there, in milliseconds for the whole request.
    pub layer_ms: f64,
    /// Fixed cost of a part on this server, in milliseconds.
    pub hop_ms: f64,
    /// Cost of a new request that begins there, in milliseconds. Infinite if the server accepts none as first server.
    pub begin_ms: f64,
}

/// One step of a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// The server that runs it.
    pub server: Index,
    /// The layers it runs.
    pub span: Span,
}

/// The layers that a path has to cover, its origin, and the costs of crossing links.
#[derive(Clone, Copy)]
pub struct Query<'a> {
    /// First layer that has to be run.
    pub from: u32,
    /// Number of layers of the model.
    pub layers: u32,
    /// Data centre of the router that asks, or of the server that runs the layers before `from`.
    pub zone: Zone,
    /// Cost of beginning a new request in another data centre, in milliseconds. Only the text of the request is
    /// sent there, while continuing after another server sends the activations of all tokens read so far.
    pub remote_begin_ms: f64,
    /// Cost of continuing from one data centre in another, in milliseconds. Infinite if the link
    /// between them has no capacity left.
    pub cross_ms: &'a dyn Fn(Zone, Zone) -> f64,
}

/// Cheapest path found so far that runs all layers up to a boundary, the last of them on a given holder.
#[derive(Debug, Clone, Copy)]
struct Best {
    cost: f64,
    holder: usize,
    from: usize,
    before: Option<usize>,
}

/// Returns the cheapest path and its cost in milliseconds. None if some layer is held nowhere.
///
/// ```
/// use layers::path::{Query, Holder, find};
/// use layers::Span;
/// let holder = |server, from, to| Holder {
///     server, zone: 0, span: Span::new(from, to), layer_ms: 1.0, hop_ms: 0.5, begin_ms: 0.0,
/// };
/// let query = Query { from: 0, layers: 8, zone: 0, remote_begin_ms: 10.0, cross_ms: &|_, _| 5.0 };
/// let (path, _) = find(&[holder(0, 0, 4), holder(1, 4, 8)], &query).unwrap();
/// assert_eq!(path.len(), 2);
/// assert!(find(&[holder(0, 0, 4)], &query).is_none());
/// ```
pub fn find(holders: &[Holder], query: &Query<'_>) -> Option<(Vec<Part>, f64)> {
    let cuts = boundaries(holders, query);
    // One entry for each boundary and data centre suffices, as the cost of the rest depends on nothing else.
    let mut best: Vec<Vec<Best>> = vec![Vec::new(); cuts.len()];
    for at in 0..cuts.len() {
        for (i, holder) in holders.iter().enumerate() {
            if !holder.span.contains(cuts[at]) {
                continue;
            }
            let Some((entry, before)) = enter(&best[at], holder, holders, query, at) else {
                continue;
            };
            for to in at + 1..cuts.len() {
                if cuts[to] > holder.span.to {
                    break;
                }
                let cost = entry + holder.hop_ms + holder.layer_ms * f64::from(cuts[to] - cuts[at]);
                insert(&mut best[to], Best { cost, holder: i, from: at, before }, holders);
            }
        }
    }
    let (last, end) =
        best.last()?.iter().enumerate().min_by(|a, b| a.1.cost.total_cmp(&b.1.cost))?;
    let parts = merge(trace(&best, &cuts, holders, last));
    (parts.len() <= MAX_PARTS).then_some((parts, end.cost))
}

/// Returns the sorted boundaries of all spans, from the first layer of the query to the end of the model.
fn boundaries(holders: &[Holder], query: &Query<'_>) -> Vec<u32> {
    let mut cuts = vec![query.from, query.layers];
    for holder in holders {
        let ends = [holder.span.from, holder.span.to];
        cuts.extend(ends.into_iter().filter(|&cut| query.from < cut && cut < query.layers));
    }
    cuts.sort_unstable();
    cuts.dedup();
    cuts
}

/// Returns the lowest cost of reaching `holder` from the paths that end at this boundary, and the index of that path.
fn enter(
    ends: &[Best],
    holder: &Holder,
    holders: &[Holder],
    query: &Query<'_>,
    at: usize,
) -> Option<(f64, Option<usize>)> {
    let cross = |before: Zone| match before == holder.zone {
        true => 0.0,
        false => (query.cross_ms)(before, holder.zone),
    };
    if at == 0 {
        let cost = match query.from {
            0 if holder.zone == query.zone => holder.begin_ms,
            0 => query.remote_begin_ms + holder.begin_ms,
            _ => cross(query.zone),
        };
        return cost.is_finite().then_some((cost, None));
    }
    let costs = ends
        .iter()
        .enumerate()
        .map(|(i, end)| (end.cost + cross(holders[end.holder].zone), Some(i)));
    costs.filter(|(cost, _)| cost.is_finite()).min_by(|a, b| a.0.total_cmp(&b.0))
}

fn insert(ends: &mut Vec<Best>, found: Best, holders: &[Holder]) {
    let zone = holders[found.holder].zone;
    match ends.iter_mut().find(|end| holders[end.holder].zone == zone) {
        Some(end) if end.cost <= found.cost => {}
        Some(end) => *end = found,
        None => ends.push(found),
    }
}

fn trace(best: &[Vec<Best>], cuts: &[u32], holders: &[Holder], last: usize) -> Vec<Part> {
    let mut parts = Vec::new();
    let (mut at, mut entry) = (cuts.len() - 1, last);
    loop {
        let end = best[at][entry];
        let span = Span::new(cuts[end.from], cuts[at]);
        parts.push(Part { server: holders[end.holder].server, span });
        match end.before {
            Some(before) => (at, entry) = (end.from, before),
            None => break,
        }
    }
    parts.reverse();
    parts
}

/// Merges parts of the same server into one. A server that appears twice on a path refuses it; since it
/// holds one contiguous span, it can also run the layers in between.
fn merge(parts: Vec<Part>) -> Vec<Part> {
    let mut merged: Vec<Part> = Vec::with_capacity(parts.len());
    for part in parts {
        if let Some(at) = merged.iter().position(|p| p.server == part.server) {
            merged.truncate(at + 1);
            merged[at].span.to = part.span.to;
        } else {
            merged.push(part);
        }
    }
    merged
}
