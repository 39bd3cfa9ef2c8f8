//! What placement and path choice know of a model and its backend servers.

use crate::pass::Pass;
use crate::span::Span;

/// Position of a server in the list that is passed in.
pub type Index = usize;

/// Number of a data centre.
pub type Zone = u16;

/// Share of an accelerator's memory that is planned with. The rest covers rounding between
/// megabytes on the list and bytes on the card: a server ordered to hold more than it can crashes.
const USABLE: f64 = 0.995;

/// Sizes of a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shape {
    /// Layers in all.
    pub layers: u32,
    /// Bytes of one layer's weights.
    pub layer_bytes: f64,
    /// Bytes that one token of context takes in one layer.
    pub token_bytes: f64,
    /// Time of one token step through all layers on a card of pace 1, in milliseconds.
    pub step_ms: f64,
    /// Prompt tokens that a card of pace 1 reads in a millisecond through all layers.
    pub read_per_ms: f64,
    /// Time for one token to another data centre, in milliseconds.
    pub cross_ms: f64,
    /// Time for one prompt token's activations over the link between data centres, in milliseconds.
    pub cross_token_ms: f64,
    /// Longest pause between two events with which an answer is on time, in milliseconds.
    pub pause_ms: f64,
    /// How the servers' engines work, if that is known.
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
    /// Layers it can hold when `tokens` of context have to fit beside them.
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
        (self.bytes * USABLE / (shape.layer_bytes + tokens * shape.token_bytes)) as u32
    }

    /// Tokens of context that fit beside `layers` layers, counted through all of these layers.
    pub fn room(&self, shape: &Shape, layers: u32) -> f64 {
        let free = self.bytes - f64::from(layers) * shape.layer_bytes;
        (free / (f64::from(layers.max(1)) * shape.token_bytes)).max(0.0)
    }
}

/// A backend server as the decisions see it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Server {
    /// Its data centre.
    pub zone: Zone,
    /// Its accelerator.
    pub card: Card,
    /// The layers it holds, or will hold once the order it was given is done.
    pub span: Span,
    /// Whether it may be used and ordered: on the list, ready and not suspected.
    pub usable: bool,
    /// Whether an order is under way.
    pub busy: bool,
    /// Whether it works so slowly that it holds up what passes through it.
    pub slow: bool,
}
