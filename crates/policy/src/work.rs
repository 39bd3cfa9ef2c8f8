//! How long a request will hold its slots, from its tokens.
//!
//! Load pattern: a few requests of thousands of tokens among many of a few dozen. Counted as requests, the long ones
//! are nearly free; a workspace that sends only long ones takes most of the fleet, and every estimate of a wait is
//! wrong by the ratio of the lengths. So all decisions count slot time: the cost of a slot is the time it is held,
//! and that follows from prompt and output tokens.

use std::time::Duration;

/// Prompt positions an engine runs in the time of one step of a generated token.
///
/// Prompt positions are known in advance and go through a layer together, so one costs a small part of a generated
/// token. 16 is conservative: engines reach more, and an estimate that is too long refuses a little early while one
/// that is too short breaks deadlines.
pub const PREFILL_TOKENS_PER_STEP: u32 = 16;

/// Tokens of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cost {
    /// Tokens of the prompt, estimated by the router (about a token for four bytes).
    pub prompt: u32,
    /// Largest number of tokens to generate.
    pub output: u32,
}

impl Cost {
    /// Returns the steps of the whole chain, with the prompt in parts of [`PREFILL_TOKENS_PER_STEP`].
    ///
    /// ```
    /// use policy::work::Cost;
    /// assert_eq!(Cost { prompt: 160, output: 100 }.steps(), 110);
    /// ```
    pub fn steps(&self) -> u32 {
        self.prompt.div_ceil(PREFILL_TOKENS_PER_STEP).saturating_add(self.output)
    }

    /// Returns the time for which the request holds its slots when a step of the whole chain takes `step`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::work::Cost;
    /// let cost = Cost { prompt: 160, output: 100 };
    /// assert_eq!(cost.run(Duration::from_millis(10)), Duration::from_millis(1100));
    /// ```
    pub fn run(&self, step: Duration) -> Duration {
        step.saturating_mul(self.steps())
    }
}
