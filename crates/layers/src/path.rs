//! The path of one request through held layers.
//!
//! Load pattern: a server dies or leaves, and its layers are missing from one data centre for the
//! seconds that loading them elsewhere takes. With fixed chains that data centre answers nothing
//! meanwhile. Here any run of layers can follow any other, so the missing layers are borrowed from
//! wherever they are held, at the price of crossing links.
//!
//! It is a shortest path over the boundaries of all held spans, by dynamic programming: a few
//! thousand steps for forty servers.

use crate::server::{Index, Zone};
use crate::span::Span;

/// Parts a path may have at most; backend servers refuse longer ones.
pub const MAX_PARTS: usize = 32;

/// Layers on one server that a path may use.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Holder {
    /// The server.
    pub server: Index,
    /// Its data centre.
    pub zone: Zone,
    /// What it holds.
    pub span: Span,
    /// Cost of running one layer there, in milliseconds for the whole request.
    pub layer_ms: f64,
    /// Cost of being on the path at all, in milliseconds.
    pub hop_ms: f64,
    /// Cost of beginning a new request there, in milliseconds; infinite if it takes none as the first server.
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

/// Where the request comes from and what crossing links costs.
#[derive(Clone, Copy)]
pub struct Query<'a> {
    /// First layer that is still to be run.
    pub from: u32,
    /// Layers of the model.
    pub layers: u32,
    /// Data centre of the router that asks, or of the server that runs the layers before `from`.
    pub zone: Zone,
    /// Cost of beginning a new request in another data centre, in milliseconds. Only its text goes there,
    /// while what goes on behind a server crosses the link with all that was read so far.
    pub away_ms: f64,
    /// Cost of going on from one data centre in another, in milliseconds; infinite if the link
    /// between them carries no more.
    pub cross_ms: &'a dyn Fn(Zone, Zone) -> f64,
}

/// Best way found to have run all layers up to a boundary, the last of them on a given holder.
#[derive(Debug, Clone, Copy)]
struct Best {
    cost: f64,
    holder: usize,
    from: usize,
    before: Option<usize>,
}

/// The cheapest path, and its cost in milliseconds. None if some layer is held nowhere.
///
/// ```
/// use layers::path::{Query, Holder, find};
/// use layers::Span;
/// let holder = |server, from, to| Holder { server, zone: 0, span: Span::new(from, to), layer_ms: 1.0, hop_ms: 0.5, begin_ms: 0.0 };
/// let ask = Query { from: 0, layers: 8, zone: 0, away_ms: 10.0, cross_ms: &|_, _| 5.0 };
/// let (path, _) = find(&[holder(0, 0, 4), holder(1, 4, 8)], &ask).unwrap();
/// assert_eq!(path.len(), 2);
/// assert!(find(&[holder(0, 0, 4)], &ask).is_none());
/// ```
pub fn find(holders: &[Holder], ask: &Query<'_>) -> Option<(Vec<Part>, f64)> {
    let cuts = boundaries(holders, ask);
    // One best entry for each boundary and data centre: what follows depends on no more.
    let mut best: Vec<Vec<Best>> = vec![Vec::new(); cuts.len()];
    for at in 0..cuts.len() {
        for (i, holder) in holders.iter().enumerate() {
            if !holder.span.contains(cuts[at]) {
                continue;
            }
            let Some((entry, before)) = enter(&best[at], holder, holders, ask, at) else {
                continue;
            };
            for to in at + 1..cuts.len() {
                if cuts[to] > holder.span.to {
                    break;
                }
                let cost = entry + holder.hop_ms + holder.layer_ms * f64::from(cuts[to] - cuts[at]);
                keep(&mut best[to], Best { cost, holder: i, from: at, before }, holders);
            }
        }
    }
    let (last, end) =
        best.last()?.iter().enumerate().min_by(|a, b| a.1.cost.total_cmp(&b.1.cost))?;
    let parts = join(trace(&best, &cuts, holders, last));
    (parts.len() <= MAX_PARTS).then_some((parts, end.cost))
}

/// Sorted ends of all spans, from the first layer wanted to the end of the model.
fn boundaries(holders: &[Holder], ask: &Query<'_>) -> Vec<u32> {
    let mut cuts = vec![ask.from, ask.layers];
    for holder in holders {
        let ends = [holder.span.from, holder.span.to];
        cuts.extend(ends.into_iter().filter(|&cut| ask.from < cut && cut < ask.layers));
    }
    cuts.sort_unstable();
    cuts.dedup();
    cuts
}

/// Cheapest cost of coming to `holder` from what ends at this boundary, and which entry that is.
fn enter(
    ends: &[Best],
    holder: &Holder,
    holders: &[Holder],
    ask: &Query<'_>,
    at: usize,
) -> Option<(f64, Option<usize>)> {
    let cross = |before: Zone| match before == holder.zone {
        true => 0.0,
        false => (ask.cross_ms)(before, holder.zone),
    };
    if at == 0 {
        let cost = match ask.from {
            0 if holder.zone == ask.zone => holder.begin_ms,
            0 => ask.away_ms + holder.begin_ms,
            _ => cross(ask.zone),
        };
        return cost.is_finite().then_some((cost, None));
    }
    let costs = ends
        .iter()
        .enumerate()
        .map(|(i, end)| (end.cost + cross(holders[end.holder].zone), Some(i)));
    costs.filter(|(cost, _)| cost.is_finite()).min_by(|a, b| a.0.total_cmp(&b.0))
}

fn keep(ends: &mut Vec<Best>, found: Best, holders: &[Holder]) {
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

/// Joins what one server runs in two places to one part. A server that appears twice on a path
/// refuses it; since it holds one unbroken span, it can run what lies between as well.
fn join(parts: Vec<Part>) -> Vec<Part> {
    let mut joined: Vec<Part> = Vec::with_capacity(parts.len());
    for part in parts {
        if let Some(at) = joined.iter().position(|p| p.server == part.server) {
            joined.truncate(at + 1);
            joined[at].span.to = part.span.to;
        } else {
            joined.push(part);
        }
    }
    joined
}
