//! Which server of a plain service gets a request.
//!
//! Load pattern: few servers with few slots each, of which one turns slow, and several routers that
//! do not talk. The server with the shortest expected time of two drawn at random is taken: always
//! taking the best of all makes all routers run to the same one.

use rand::{Rng, RngExt};

/// Weight of the newest time in the mean. At a tenth, some ten requests move it.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Mean time of a server's answers, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    mean: f64,
}

impl Default for Pace {
    /// A server of which nothing is known counts as fast, so that it is tried.
    fn default() -> Pace {
        Pace { mean: 10.0 }
    }
}

impl Pace {
    /// Adds a measured time.
    pub fn add(&mut self, ms: f64) {
        self.mean += SAMPLE_WEIGHT * (ms - self.mean);
    }

    /// Mean time in milliseconds.
    pub fn mean(&self) -> f64 {
        self.mean
    }
}

/// What is known of a server that might be taken.
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

/// Cost of another data centre, as a factor on the expected time. Small: what is sent is short.
const REMOTE_FACTOR: f64 = 1.1;

impl Choice {
    /// Expected time of one more request, in milliseconds.
    fn expected(&self) -> f64 {
        let load = 1.0 + f64::from(self.running) / f64::from(self.slots.max(1));
        self.pace.mean() * load * if self.near { 1.0 } else { REMOTE_FACTOR }
    }
}

/// Position of the one to take; none if there is none.
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
