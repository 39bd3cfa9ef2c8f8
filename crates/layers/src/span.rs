//! A span of consecutive layers.

use std::fmt::{self, Display, Formatter};

/// Layers `from` up to, not including, `to`.
///
/// ```
/// let span = layers::Span::new(8, 12);
/// assert_eq!(span.len(), 4);
/// assert_eq!(span.to_string(), "8-12");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Span {
    /// First layer.
    pub from: u32,
    /// One past the last layer.
    pub to: u32,
}

impl Span {
    /// Creates the span `from..to`.
    pub fn new(from: u32, to: u32) -> Span {
        Span { from, to }
    }

    /// Returns the number of layers, which is zero if the ends are swapped.
    pub fn len(self) -> u32 {
        self.to.saturating_sub(self.from)
    }

    /// Returns whether the span contains no layer.
    pub fn is_empty(self) -> bool {
        self.len() == 0
    }

    /// Returns whether the span contains `layer`.
    pub fn contains(self, layer: u32) -> bool {
        self.from <= layer && layer < self.to
    }

    /// Returns whether the span contains all layers of `other`.
    pub fn covers(self, other: Span) -> bool {
        self.from <= other.from && other.to <= self.to
    }

    /// Returns whether some layer is in both spans.
    ///
    /// ```
    /// # use layers::Span;
    /// assert!(Span::new(0, 5).overlaps(Span::new(4, 8)));
    /// assert!(!Span::new(0, 4).overlaps(Span::new(4, 8)));
    /// ```
    pub fn overlaps(self, other: Span) -> bool {
        self.from < other.to && other.from < self.to
    }

    /// Returns the part of the span that lies in a model of that many layers.
    ///
    /// ```
    /// # use layers::Span;
    /// assert_eq!(Span::new(2, 12).within(8), Span::new(2, 8));
    /// assert!(Span::new(9, 12).within(8).is_empty());
    /// assert!(Span::new(5, 2).within(8).is_empty());
    /// ```
    pub fn within(self, layers: u32) -> Span {
        let to = self.to.min(layers);
        Span { from: self.from.min(to), to }
    }

    /// Returns the spans of layers that are not held. `held` has an entry for each layer in order.
    ///
    /// ```
    /// # use layers::Span;
    /// assert_eq!(Span::gaps(&[true, false, false, true]), [Span::new(1, 3)]);
    /// ```
    pub fn gaps(held: &[bool]) -> Vec<Span> {
        let mut gaps: Vec<Span> = Vec::new();
        for (layer, _) in held.iter().enumerate().filter(|(_, held)| !**held) {
            let layer = layer as u32;
            match gaps.last_mut() {
                Some(gap) if gap.to == layer => gap.to += 1,
                _ => gaps.push(Span::new(layer, layer + 1)),
            }
        }
        gaps
    }
}

impl Display for Span {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.from, self.to)
    }
}
