//! The choice of a server of a plain service.
//!
//! Load pattern: few servers with few slots each, of which one turns slow, and several routers that don't exchange
//! their load. Of two servers drawn at random the one with the shorter expected time is taken: if the best of all
//! were always taken, all routers would send to the same one.

use rand::{Rng, RngExt};

/// Weight of the newest time in the mean. At a tenth, some ten requests move the mean.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Mean time of a server's answers, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    mean: f64,
}

impl Default for Pace {
    /// A server without measured times counts as fast, so that it is tried.
    fn default() -> Pace {
        Pace { mean: 10.0 }
    }
}

impl Pace {
    /// Adds a measured time.
    pub fn add(&mut self, ms: f64) {
        self.mean += SAMPLE_WEIGHT * (ms - self.mean);
    }

    /// Returns the mean time in milliseconds.
    pub fn mean(&self) -> f64 {
        self.mean
    }
}

/// A server that may be taken.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Requests of this router that run there.
    pub running: u32,
    /// Requests it runs at once.
    pub slots: u32,
    /// Times of its answers.
    pub pace: Pace,
    /// Whether it is in this router's data centre.
    pub near: bool,
}

/// Factor on the expected time of a server in another data centre. Small, because requests are short.
const REMOTE_FACTOR: f64 = 1.1;

impl Choice {
    /// Returns the expected time of one more request, in milliseconds.
    fn expected(&self) -> f64 {
        let load = 1.0 + f64::from(self.running) / f64::from(self.slots.max(1));
        self.pace.mean() * load * if self.near { 1.0 } else { REMOTE_FACTOR }
    }
}

/// Returns the index of the server to take; none if there is none.
///
/// ```
/// use policy::pick::{Choice, Pace, pick};
/// let idle = Choice { running: 0, slots: 6, pace: Pace::default(), near: true };
/// let full = Choice { running: 6, ..idle };
/// let mut random = rand::rng();
/// assert_eq!(pick(&[full, idle], &mut random), Some(1));
/// assert_eq!(pick(&[], &mut random), None);
/// ```
pub fn pick(choices: &[Choice], random: &mut impl Rng) -> Option<usize> {
    match choices.len() {
        0 => None,
        1 => Some(0),
        n => {
            let a = random.random_range(0..n);
            let b = (a + random.random_range(1..n)) % n;
            Some(if choices[a].expected() <= choices[b].expected() { a } else { b })
        }
    }
}
