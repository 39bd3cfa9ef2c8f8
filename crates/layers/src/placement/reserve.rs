//! Second copies: those that cover the loss of a server, and those that stand in for a slow one.

use super::Work;
use crate::server::{Index, Zone};
use crate::span::Span;

/// Tokens of context beside a second copy.
pub const SPARE: f64 = 100_000.0;

impl Work<'_> {
    /// Has servers that hold nothing needed take the layers that only slow servers hold.
    ///
    /// Load pattern: a card throttles and works ten times slower. It reads fewer prompts than the others of
    /// its data centre, whose requests all wait for it. What it holds is not taken away: where no
    /// other server is free, slow layers are better than none.
    pub(super) fn relieve(&mut self, group: &[Zone]) {
        let slow: Vec<Index> = self.members(group).filter(|i| self.servers[*i].slow).collect();
        slow.iter().for_each(|i| self.servers[*i].usable = false);
        for gap in self.missing(group, None) {
            let mut left = gap;
            while !left.is_empty()
                && (self.take_spare(group, left, true) || self.take_spare(group, left, false))
            {
                let taken = self.orders.last().map_or(left.to, |order| order.span.to);
                left = Span::new(taken.min(left.to), left.to);
            }
        }
        slow.iter().for_each(|i| self.servers[*i].usable = true);
    }

    /// Lets empty servers hold second copies, so that as many servers as possible may be lost without a gap.
    pub(super) fn reserve(&mut self, group: &[Zone]) {
        let empty: Vec<Index> = self
            .by_worth(group)
            .into_iter()
            .filter(|i| self.servers[*i].span.is_empty() && !self.servers[*i].busy)
            .collect();
        for i in empty {
            let len = self.servers[i].card.capacity(self.shape, SPARE).min(self.shape.layers);
            if len > 0 {
                let span = self.safest(group, len);
                self.order(i, span);
            }
        }
    }

    /// The run of `len` layers whose second copy covers most of the servers that hold them.
    ///
    /// A server counts by the square of the part of its layers that another one holds too: half of two
    /// servers helps with the loss of neither, so a copy that covers one whole server goes first, and
    /// servers with few layers before those with many.
    fn safest(&self, group: &[Zone], len: u32) -> Span {
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
        // Of equals the last, at the highest layers: copies then join to one run from the end of the model
        // on. Scattered ones cover fewer servers, 8 of 16 for 10, and paths need more hops.
        let runs = (0..=self.shape.layers - len).map(|from| Span::new(from, from + len));
        // But first the one with the fewest copies: no part is held thrice before all are held twice.
        let held =
            |span: &Span| -> usize { copies[span.from as usize..span.to as usize].iter().sum() };
        runs.max_by(|a, b| covered(*a).total_cmp(&covered(*b)).then(held(b).cmp(&held(a))))
            .unwrap_or(Span::new(0, len))
    }
}
