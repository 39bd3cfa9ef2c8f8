//! Whether and when a failed request is retried.
//!
//! Load pattern: a third of the fleet is lost at once, or the fleet is full and reports are late. Each failure then
//! causes another try, the tries are load too, and the system stays overloaded after the cause has gone (a retry
//! storm).
//!
//! A request is retried only if it was not run or may run twice. Each retry costs a whole token of a bucket to which
//! each success adds [`RETRY_RATIO`]: in the long run retries are at most that ratio of the work, and at most
//! [`BURST_RETRIES`] at once. Full jitter spreads them: with a fixed backoff all callers of a lost server would come
//! back together. No retry starts that can't end by the deadline.

use std::time::Duration;

use derive_more::Display;
use rand::{Rng, RngExt};

use crate::tuning::Tuning;

/// Tokens that a success adds.
pub const RETRY_RATIO: f64 = 0.1;

/// Tokens that a success adds to the bucket for refusals. Few, because the next replica of a list matches the chain
/// worse than the first, so that in a full fleet a request had better go back to the queue (at 1.0 the simulator
/// loses a point of throughput at saturation).
pub const REFUSAL_RATIO: f64 = 0.1;

/// Capacity of the bucket in tokens; it starts full.
pub const BURST_RETRIES: f64 = 50.0;

/// Upper end of the first backoff.
pub const BASE_BACKOFF: Duration = Duration::from_millis(20);

/// Upper end of any backoff.
pub const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Largest number of tries of one request, the first included.
pub const MAX_TRIES: u32 = 5;

/// What is certain about a failed try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was not run and will not be.
    NotRun,
    /// It may have run, and may be run again without harm.
    Idempotent,
    /// It may have run, and must not run twice.
    Unknown,
}

/// Why a request is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Stop {
    /// It may have run and must not run twice.
    #[display("it may have run and must not run twice")]
    Unsafe,
    /// It was tried [`MAX_TRIES`] times.
    #[display("it was tried as often as allowed")]
    Tries,
    /// The retry budget is empty.
    #[display("the retry budget is used up")]
    Budget,
    /// No time is left before the deadline.
    #[display("no time is left before the deadline")]
    Deadline,
}

/// Decision on a failed try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// Retry after this backoff.
    After(Duration),
    /// Don't retry: answer the caller, or put a request that was not run back into its queue.
    Stop(Stop),
}

/// A failed try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// What is certain about it.
    pub outcome: Outcome,
    /// Tries made, at least 1.
    pub tries: u32,
    /// Time that the request would still run.
    pub run: Duration,
    /// Deadline of the request, since the router's start.
    pub deadline: Duration,
}

/// Token bucket of retries; one for each model or plain service.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    tokens: f64,
    ratio: f64,
    burst: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { tokens: BURST_RETRIES, ratio: RETRY_RATIO, burst: BURST_RETRIES }
    }
}

impl Budget {
    /// Creates a separate bucket for tries at the next replica after a refusal because no slot was free. Counted with
    /// the failures, these would empty the bucket just when a loss needs it.
    ///
    /// ```
    /// assert!(policy::retry::Budget::refusals().take());
    /// ```
    pub fn refusals() -> Budget {
        Budget { ratio: REFUSAL_RATIO, ..Budget::default() }
    }

    /// Creates a full bucket with other thresholds.
    pub fn tuned(tuning: &Tuning) -> Budget {
        Budget {
            tokens: tuning.burst_retries,
            ratio: tuning.retry_ratio,
            burst: tuning.burst_retries,
        }
    }

    /// Records a request that succeeded.
    ///
    /// ```
    /// let mut budget = policy::retry::Budget::default();
    /// budget.succeeded();
    /// assert_eq!(budget.left(), policy::retry::BURST_RETRIES as u32);
    /// ```
    pub fn succeeded(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Returns the whole tokens left.
    pub fn left(&self) -> u32 {
        self.tokens as u32
    }

    /// Takes a token for an immediate try at the next replica of the list; returns false if there is none.
    ///
    /// ```
    /// assert!(policy::retry::Budget::default().take());
    /// ```
    pub fn take(&mut self) -> bool {
        let some = self.tokens >= 1.0;
        if some {
            self.tokens -= 1.0;
        }
        some
    }

    /// Decides on a failed try.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::retry::{Budget, Failure, Outcome, Retry, Stop};
    /// let failure = Failure {
    ///     outcome: Outcome::Unknown,
    ///     tries: 1,
    ///     run: Duration::from_secs(1),
    ///     deadline: Duration::from_secs(9),
    /// };
    /// let mut rng: rand_pcg::Pcg64 = rand::SeedableRng::seed_from_u64(1);
    /// let retry = Budget::default().decide(&failure, Duration::ZERO, &mut rng);
    /// assert_eq!(retry, Retry::Stop(Stop::Unsafe));
    /// ```
    pub fn decide(&mut self, failure: &Failure, now: Duration, rng: &mut impl Rng) -> Retry {
        let most = BASE_BACKOFF
            .saturating_mul(1 << failure.tries.clamp(1, 16).saturating_sub(1))
            .min(MAX_BACKOFF);
        let wait = most.mul_f64(rng.random::<f64>());
        match failure.outcome {
            Outcome::Unknown => Retry::Stop(Stop::Unsafe),
            _ if failure.tries >= MAX_TRIES => Retry::Stop(Stop::Tries),
            _ if now + wait + failure.run > failure.deadline => Retry::Stop(Stop::Deadline),
            _ if !self.take() => Retry::Stop(Stop::Budget),
            _ => Retry::After(wait),
        }
    }
}
