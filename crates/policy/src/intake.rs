//! Whether a router takes a new connection of a caller.
//!
//! Load pattern: for some seconds the load balancer sends most new connections of a data centre or of a region to one
//! router, many times as many as usual. Each brings work for seconds, so that the router is overloaded before any of
//! its requests is late, and then all of them are, while other routers have time. A connection that is closed before
//! its request was read costs the caller one try, which meets another router.
//!
//! While the router's timers are late, a bucket of tokens lets as many connections pass as its processor bears. That
//! follows from the share of it that is in use at the usual rate of connections; it is only an estimate, so nothing is
//! turned away while timers are in time. At up to [`MAX_USUAL_FACTOR`] times the usual rate all connections are taken
//! as well: there the router is slow, not sought out, and others need not be better.

use std::time::Duration;

/// Factor on the usual rate of connections up to which all are taken, and a number per second that chance may add.
pub const MAX_USUAL_FACTOR: f64 = 1.5;
const CHANCE_MARGIN: f64 = 4.0;

/// Share of the processor time that may be in use.
const TARGET_USE: f64 = 0.9;

/// Smallest share that counts as in use, so that an idle router does not expect to bear any number.
const MIN_USE: f64 = 0.05;

/// Mean delay of timers from which on the router has more work than time.
const MIN_DELAY: Duration = Duration::from_millis(15);

/// Mean delay of timers from which on the router is overloaded, and the factor on the usual rate that it takes then.
const MAX_DELAY: Duration = Duration::from_millis(40);
const OVERLOAD_FACTOR: f64 = 0.5;

/// Largest delay of one timer that counts. A process that was stopped for a moment is not overloaded.
const MAX_SAMPLE: Duration = Duration::from_millis(200);

/// Weight of the newest delay in the moving average.
const DELAY_WEIGHT: f64 = 0.3;

/// Weight of the newest second in the averages of what is usual.
const USUAL_WEIGHT: f64 = 0.05;

/// Seconds after which it is known what is usual.
const MIN_SECONDS: u32 = 15;

/// Smallest rate of connections that counts as usual, per second.
const MIN_RATE: f64 = 4.0;

/// Time whose connections may come at once.
const BURST: Duration = Duration::from_secs(2);

const SECOND: Duration = Duration::from_secs(1);

/// Decides on new connections.
///
/// ```
/// use std::time::Duration;
/// let mut intake = policy::intake::Intake::default();
/// let at = Duration::from_millis;
/// // Ten connections a second take 0.45 of the processor, so twenty are borne.
/// (0..200).for_each(|n| {
///     intake.record_use(0.45);
///     assert!(intake.admits(at(100 * n)));
/// });
/// assert!((0..100).all(|n| intake.admits(at(20_000 + n))));
/// (0..10).for_each(|_| intake.record_delay(at(25)));
/// let taken = (0..1000).filter(|n| intake.admits(at(20_100 + n))).count();
/// assert!((15..25).contains(&taken), "{taken}");
/// ```
#[derive(Debug, Default)]
pub struct Intake {
    /// Begin of the current second, and the connections that came in it.
    second: Duration,
    came: u32,
    /// Connections that came in the second before.
    came_before: u32,
    /// Seconds that count for what is usual.
    seconds: u32,
    /// Connections per second, and share of the processor in use, outside surges.
    usual_rate: f64,
    usual_use: Option<f64>,
    /// Moving average of the delay of timers.
    delay: Duration,
    /// Connections turned away since that was last asked.
    turned_away: u32,
    /// Connections that may be taken now, and when that was updated.
    tokens: f64,
    updated: Duration,
}

impl Intake {
    /// Records by how much a timer was late.
    pub fn record_delay(&mut self, late: Duration) {
        self.delay =
            self.delay.mul_f64(1.0 - DELAY_WEIGHT) + late.min(MAX_SAMPLE).mul_f64(DELAY_WEIGHT);
    }

    /// Records the share of the router's processor time that was in use lately.
    pub fn record_use(&mut self, used: f64) {
        if self.is_surge() {
            return;
        }
        let usual = self.usual_use.unwrap_or(used);
        self.usual_use = Some(usual + (used - usual) * USUAL_WEIGHT);
    }

    /// Records a new connection, and returns whether to take it.
    pub fn admits(&mut self, now: Duration) -> bool {
        self.advance(now);
        self.came += 1;
        let rate = self.capacity();
        let refill = rate * now.saturating_sub(self.updated).as_secs_f64();
        self.tokens = (self.tokens + refill).min(rate * BURST.as_secs_f64());
        self.updated = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        let is_late = self.delay > MIN_DELAY && self.seconds >= MIN_SECONDS;
        let admitted = has_token || !is_late || !self.is_surge();
        self.turned_away += u32::from(!admitted);
        admitted
    }

    /// Returns how many connections were turned away since the last call, and how many per second the processor bears.
    pub fn take_turned_away(&mut self) -> (u32, f64) {
        (std::mem::take(&mut self.turned_away), self.capacity())
    }

    /// Whether more connections come than usual.
    fn is_surge(&self) -> bool {
        let most = self.came.max(self.came_before);
        f64::from(most) > self.usual_rate * MAX_USUAL_FACTOR + CHANCE_MARGIN
    }

    /// Returns the connections per second that the processor bears.
    fn capacity(&self) -> f64 {
        let used = self.usual_use.unwrap_or_default().clamp(MIN_USE, TARGET_USE);
        let factor = match self.delay > MAX_DELAY {
            true => OVERLOAD_FACTOR,
            false => TARGET_USE / used,
        };
        self.usual_rate.max(MIN_RATE) * factor
    }

    /// Ends the current second if it is over.
    fn advance(&mut self, now: Duration) {
        if now < self.second + SECOND {
            return;
        }
        if !self.is_surge() || self.seconds < MIN_SECONDS {
            let weight = USUAL_WEIGHT.max(1.0 / f64::from(self.seconds + 1));
            self.usual_rate += (f64::from(self.came) - self.usual_rate) * weight;
            self.seconds += 1;
        }
        let is_next = now < self.second + SECOND * 2;
        self.came_before = if is_next { self.came } else { 0 };
        (self.came, self.second) = (0, now);
    }
}
