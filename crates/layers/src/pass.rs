//! Throughput of a backend server, derived from the passes of its engine.
//!
//! An engine handles everything that waits for it in one pass: some decode steps for each running request, and
//! a bounded chunk of the prompts that wait for prefill. Prompts are therefore read no faster than
//! passes follow each other, and a server with long passes reads a small part of what its
//! accelerator could. A router that calculates with the accelerator's rate sends such a server several
//! times what it can read: first events come seconds late while the server seems almost idle.

use crate::server::{Card, Shape};

/// Parameters of an engine's passes and of the mean request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pass {
    /// Decode steps in a pass in which at least one request decodes.
    pub stride: f64,
    /// Most prompt tokens that one pass reads.
    pub chunk: f64,
    /// Time that each decoding request adds to a step through all layers at pace 1, in milliseconds.
    pub per_seq_ms: f64,
    /// Requests that a server runs at once as the first server of their paths.
    pub slots: f64,
    /// Mean tokens of a prompt.
    pub prompt: f64,
    /// Mean tokens of an answer.
    pub answer: f64,
}

/// Share of a server's time for prefill, if its passes are unknown. Decode steps of running requests take the
/// rest; with more prefill, the pauses between their events grow.
const PREFILL_SHARE: f64 = 0.6;

impl Shape {
    /// Returns the most mean requests that a server with that many layers serves in a millisecond, with
    /// `slow` as the factor on all its times; `None` if its passes are unknown.
    ///
    /// A pass takes `a + b * requests`: its steps, and what the requests that arrived since the previous pass
    /// add to them. The result is the rate at which the prompts of those requests exactly fill a pass.
    ///
    /// ```
    /// # use layers::{Card, Shape, pass::Pass};
    /// let pass = Pass { stride: 4.0, chunk: 512.0, per_seq_ms: 0.0, slots: 192.0,
    ///     prompt: 512.0, answer: 200.0 };
    /// let shape = Shape { layers: 80, layer_bytes: 1750e6, token_bytes: 4900.0, step_ms: 1.0,
    ///     read_per_ms: 256.0, cross_ms: 0.7, cross_token_ms: 0.02,
    ///     pause_ms: 200.0, pass: Some(pass) };
    /// let card = Card { bytes: 72e9, pace: 2.0, read: 1.0 };
    /// // Four steps of 2 ms, and 2 ms for reading the prompt of one request.
    /// assert_eq!(shape.rate(&card, 80, 1.0), Some(0.1));
    /// assert_eq!(shape.rate(&card, 40, 1.0), Some(0.2));
    /// ```
    pub fn rate(&self, card: &Card, layers: u32, slow: f64) -> Option<f64> {
        let pass = self.pass?;
        let (steps, request) = self.costs(&pass, card, layers, slow);
        let rate = pass.chunk / (pass.prompt * steps + pass.chunk * request);
        (rate.is_finite() && rate > 0.0).then_some(rate)
    }

    /// Returns the time of a pass of a server with that many layers that gets `rate` mean requests in a millisecond,
    /// in milliseconds. It is infinite if the server can't keep up, and zero if its passes are unknown.
    pub fn pass_ms(&self, card: &Card, layers: u32, rate: f64) -> f64 {
        let Some(pass) = self.pass else { return 0.0 };
        let (steps, request) = self.costs(&pass, card, layers, 1.0);
        match request * rate {
            busy if busy < 1.0 => steps / (1.0 - busy),
            _ => f64::INFINITY,
        }
    }

    /// Returns the time of a pass without requests, and the time that each mean request adds to passes, in
    /// milliseconds.
    fn costs(&self, pass: &Pass, card: &Card, layers: u32, slow: f64) -> (f64, f64) {
        let part = f64::from(layers) / f64::from(self.layers) * slow;
        let steps = part * pass.stride * card.pace * self.step_ms;
        let events = pass.answer / pass.stride;
        let decode = part * pass.stride * card.pace * pass.per_seq_ms * events;
        let prefill = part * card.read * pass.prompt / self.read_per_ms;
        (steps, decode + prefill)
    }

    /// Returns the time that a server with that many layers spends on the prefill of a prompt, in milliseconds.
    pub fn prefill_ms(&self, card: &Card, layers: u32, slow: f64, prompt: f64) -> f64 {
        let part = f64::from(layers) / f64::from(self.layers) * slow;
        let nominal = prompt / self.read_per_ms * card.read * part / PREFILL_SHARE;
        match (self.pass, self.rate(card, layers, slow)) {
            (Some(pass), Some(rate)) => (prompt / pass.prompt / rate).max(nominal),
            _ => nominal,
        }
    }
}
