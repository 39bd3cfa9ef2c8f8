//! The view of a model and its backend servers from which placement and paths are computed.

use crate::pass::Pass;
use crate::span::Span;

/// Position of a server in the list that the caller passes.
pub type Index = usize;

/// Number of a data centre.
pub type Zone = u16;

/// Share of an accelerator's memory that is used. The rest covers rounding between megabytes on the list
/// and bytes on the card: a server that is ordered to hold more than fits crashes.
const USABLE_SHARE: f64 = 0.995;

/// Most layers that a card is taken to hold, more than any model has. Sums over thousands of cards stay in range.
const MAX_CAPACITY: u32 = 1 << 16;

/// Sizes of a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shape {
    /// Number of layers.
    pub layers: u32,
    /// Bytes of one layer's weights.
    pub layer_bytes: f64,
    /// Bytes of context for one token in one layer.
    pub token_bytes: f64,
    /// Time of one token step through all layers on a card of pace 1, in milliseconds.
    pub step_ms: f64,
    /// Prompt tokens that a card of pace 1 reads in a millisecond through all layers.
    pub read_per_ms: f64,
    /// Time of the transfer of one token to another data centre, in milliseconds.
    pub cross_ms: f64,
    /// Time of the transfer of one prompt token's activations to another data centre, in milliseconds.
    pub cross_token_ms: f64,
    /// Longest pause between two events of an answer that counts as on time, in milliseconds.
    pub pause_ms: f64,
    /// Parameters of the engines' passes, if known.
    pub pass: Option<Pass>,
}

/// An accelerator type.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Card {
    /// Memory for weights and requests, in bytes.
    pub bytes: f64,
    /// Factor on the time of a step.
    pub pace: f64,
    /// Factor on the time of reading a prompt.
    pub read: f64,
}

impl Card {
    /// Returns the number of layers that the card can hold together with `tokens` of context.
    ///
    /// ```
    /// # use layers::{Card, Shape};
    /// let shape = Shape { layers: 80, layer_bytes: 1750e6, token_bytes: 5325.0, step_ms: 0.85,
    ///     read_per_ms: 272.0, cross_ms: 0.62, cross_token_ms: 0.018,
    ///     pause_ms: 200.0, pass: None };
    /// let card = Card { bytes: 14.4e9, pace: 15.0, read: 15.0 };
    /// assert_eq!(card.capacity(&shape, 0.0), 8);
    /// assert_eq!(card.capacity(&shape, 150_000.0), 5);
    /// ```
    pub fn capacity(&self, shape: &Shape, tokens: f64) -> u32 {
        let layers = self.bytes * USABLE_SHARE / (shape.layer_bytes + tokens * shape.token_bytes);
        (layers as u32).min(MAX_CAPACITY)
    }

    /// Returns the tokens of context that fit beside `layers` layers, each token with its context in all of these
    /// layers.
    pub fn room(&self, shape: &Shape, layers: u32) -> f64 {
        let free = self.bytes - f64::from(layers) * shape.layer_bytes;
        (free / (f64::from(layers.max(1)) * shape.token_bytes)).max(0.0)
    }
}

/// A backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Server {
    /// Its data centre.
    pub zone: Zone,
    /// Its accelerator.
    pub card: Card,
    /// The layers it holds, or will hold once its current order is done.
    pub span: Span,
    /// Whether it may be used and get orders: it is on the list, ready and not suspected.
    pub usable: bool,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Whether it is so slow that it delays the requests that pass through it.
    pub slow: bool,
}
