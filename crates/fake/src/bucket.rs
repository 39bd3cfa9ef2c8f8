//! A token bucket for the stand-ins that limit a rate.

use std::time::{Duration, Instant};

/// A token bucket: tokens refill at a steady rate up to the burst size.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// Creates a full bucket that gains `rate` tokens a second and holds what it gains in `burst`,
    /// at least one token.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let mut b = fake::bucket::Bucket::new(10, Duration::from_millis(250), now);
    /// assert!(b.take(now) && b.take(now) && !b.take(now));
    /// assert!(b.take(now + Duration::from_millis(100)));
    /// ```
    pub fn new(rate: u32, burst: Duration, now: Instant) -> Bucket {
        let burst = (f64::from(rate) * burst.as_secs_f64()).max(1.0);
        Bucket { rate: f64::from(rate), burst, tokens: burst, refilled_at: now }
    }

    /// Takes one token; returns false if there is none.
    pub fn take(&mut self, now: Instant) -> bool {
        let gained = now.saturating_duration_since(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.refilled_at = now;
        let available = self.tokens >= 1.0;
        self.tokens -= if available { 1.0 } else { 0.0 };
        available
    }
}
