//! Which servers may have become slow, and which slow ones may have recovered, from the pauses between events of streams.
//!
//! Load pattern: some model servers become several times slower at once, while the leader ends or the store is away.
//! Each stream passes through many servers, so a late event does not show which of them is slow, and a survey of all
//! servers each second finds it seconds later.
//!
//! Each pause counts for or against all servers of its path. A server through which a quick event came after the slow
//! ones is not the cause. The servers with the most slow pauses in a row are suspects, and their reports decide. A pause
//! that known slow servers explain counts against none.

use std::time::Duration;

/// Multiple of the usual pause from which on a pause is slow. Among twelve servers of a path, one that is twelve times
/// slower doubles the pause; prompts that are read between steps lengthen it by less.
const SLOW_FACTOR: f64 = 1.8;

/// Multiple of the usual pause up to which a pause is quick.
const QUICK_FACTOR: f64 = 1.3;

/// Fraction of the goal for pauses from which on a pause is slow. A shorter one harms no caller.
const MIN_SLOW_FRACTION: f64 = 0.4;

/// Pauses after which the usual ratio of pauses to their estimates is known.
const MIN_PAUSES: u32 = 50;

/// Weight of the newest pause in the usual ratio. The load of a deployment changes over seconds, in each of which a
/// router sees some hundred events.
const NEWEST_WEIGHT: f64 = 0.002;

/// Largest factor by which one pause may differ from the usual one in the mean.
const MAX_DEVIATION: f64 = 2.0;

/// Slow or quick pauses in a row that make a suspect: a single one is often a long prompt.
const MIN_STREAK: u16 = 3;

/// Time for which a pause is evidence. Longer than the pause goals of streams.
const VALIDITY: Duration = Duration::from_millis(600);

/// Time until a suspect whose report shows nothing is probed again. Reports of servers lag by some hundred milliseconds.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(120);

/// Longest such time; it doubles with each report that shows nothing.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(4);

/// Time after which a notice of another router about a server is checked at the earliest.
const NOTICE_VALIDITY: Duration = Duration::from_secs(1);

/// Slowdown from which on a server counts as slow: the change of pace that routers announce.
pub const MIN_SLOWDOWN: f64 = 1.3;

/// Fraction of the goal for pauses that the passes of one server of a path may take.
const MAX_GOAL_FRACTION: f64 = 0.6;

/// Whether a server with these passes can't keep the pause goal: `pass_ms` is the estimated time of its passes.
///
/// ```
/// use policy::slowness::exceeds_goal;
/// assert!(exceeds_goal(160.0, 250.0) && exceeds_goal(f64::INFINITY, 250.0));
/// assert!(!exceeds_goal(60.0, 250.0));
/// ```
pub fn exceeds_goal(pass_ms: f64, goal_ms: f64) -> bool {
    pass_ms > goal_ms * MAX_GOAL_FRACTION
}

/// What a pause says of the servers of its path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pause {
    /// One of them is slow.
    Slow,
    /// None of them is slow.
    Quick,
    /// Neither is certain.
    Unclear,
}

/// A pause between two events of a stream, and its estimates in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observed {
    /// The pause.
    pub pause_ms: f64,
    /// Time of the passes of all servers of the path at their nominal speed.
    pub nominal_ms: f64,
    /// The same with the slowdowns that are known.
    pub known_ms: f64,
    /// Longest pause that counts as on time.
    pub goal_ms: f64,
}

/// Usual ratio of pauses to the nominal time of the passes, which grows with the load of the servers.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Usual {
    ratio: f64,
    count: u32,
}

impl Usual {
    /// Returns the ratio; none until enough pauses were seen.
    pub fn ratio(&self) -> Option<f64> {
        (self.count >= MIN_PAUSES).then_some(self.ratio)
    }

    /// Records a pause, and returns what it says of the servers of its path.
    pub fn record(&mut self, observed: &Observed) -> Pause {
        let Observed { pause_ms, nominal_ms, known_ms, goal_ms } = *observed;
        if !(nominal_ms > 0.0 && pause_ms >= 0.0) {
            return Pause::Unclear;
        }
        let known = self.ratio();
        // Pauses that known slow servers lengthen are not usual.
        if known_ms <= nominal_ms * MIN_SLOWDOWN {
            let sample = match known {
                Some(r) => (pause_ms / nominal_ms).clamp(r / MAX_DEVIATION, r * MAX_DEVIATION),
                None => pause_ms / nominal_ms,
            };
            self.count = self.count.saturating_add(1);
            self.ratio += (sample - self.ratio) * (1.0 / f64::from(self.count)).max(NEWEST_WEIGHT);
        }
        known.map_or(Pause::Unclear, |ratio| judge(pause_ms, ratio, observed, goal_ms))
    }

    /// Returns what a pause that has not ended says; it can only be slow.
    pub fn judge_unfinished(&self, observed: &Observed) -> Pause {
        let pause = self.ratio().map(|r| judge(observed.pause_ms, r, observed, observed.goal_ms));
        pause.filter(|pause| *pause == Pause::Slow).unwrap_or(Pause::Unclear)
    }
}

fn judge(pause_ms: f64, ratio: f64, observed: &Observed, goal_ms: f64) -> Pause {
    let explained = ratio * observed.known_ms;
    match pause_ms {
        ms if ms > explained * SLOW_FACTOR && ms > goal_ms * MIN_SLOW_FRACTION => Pause::Slow,
        ms if ms <= ratio * observed.nominal_ms * QUICK_FACTOR => Pause::Quick,
        _ => Pause::Unclear,
    }
}

/// Evidence on one start of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Evidence {
    slow: u16,
    quick: u16,
    last: Duration,
    /// Time until the next probe after one that shows nothing.
    wait: Duration,
    next_probe: Duration,
}

impl Evidence {
    /// Records a pause of a stream through the server; true if the server may have become slow or recovered, and may be
    /// probed now.
    pub fn record(&mut self, pause: Pause, is_slow: bool, now: Duration) -> bool {
        match pause {
            Pause::Slow => {
                if now > self.last + VALIDITY {
                    self.slow = 0;
                }
                (self.slow, self.quick, self.last) = (self.slow.saturating_add(1), 0, now);
            }
            Pause::Quick => {
                (self.slow, self.quick, self.last) = (0, self.quick.saturating_add(1), now);
                // Later slow pauses belong to another slowdown.
                if !is_slow {
                    self.wait = Duration::ZERO;
                }
            }
            Pause::Unclear => return false,
        }
        self.weight(is_slow, now) > 0
    }

    /// Returns how many pauses in a row contradict that the server is slow, or that it is not; zero if it is not to be
    /// probed now.
    fn weight(&self, is_slow: bool, now: Duration) -> u16 {
        let streak = if is_slow { self.quick } else { self.slow };
        let fresh = now <= self.last + VALIDITY && now >= self.next_probe;
        if fresh && streak >= MIN_STREAK { streak } else { 0 }
    }

    /// Records that the server is probed.
    pub fn probed(&mut self, now: Duration) {
        self.wait = (self.wait * 2).clamp(MIN_PROBE_INTERVAL, MAX_PROBE_INTERVAL);
        self.next_probe = now + self.wait;
    }

    /// Returns the time of the next probe, which follows the last one.
    pub fn next_probe(&self) -> Duration {
        self.next_probe
    }

    /// Records that the speed of the server has changed, as it or another router says.
    pub fn settled(&mut self, now: Duration) {
        *self = Evidence { next_probe: now + NOTICE_VALIDITY, ..Evidence::default() };
    }
}

/// Returns the suspects to probe now, at most `count`: those with the most evidence. Of each server, `servers` gives its
/// evidence and whether it is known to be slow.
pub fn suspects<K>(
    servers: impl Iterator<Item = (K, Evidence, bool)>,
    now: Duration,
    count: usize,
) -> Vec<K> {
    let weighted = servers.map(|(key, evidence, slow)| (evidence.weight(slow, now), key));
    let mut found: Vec<(u16, K)> = weighted.filter(|(weight, _)| *weight > 0).collect();
    found.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    found.into_iter().take(count).map(|(_, key)| key).collect()
}

/// A bound on a rate, with a burst.
///
/// ```
/// # use std::time::Duration;
/// use policy::slowness::Bucket;
/// let mut bucket = Bucket::new(4.0, 6.0);
/// let taken = (0..1000).filter(|n| bucket.take(Duration::from_millis(n * 10))).count();
/// assert!((60..=65).contains(&taken));
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    left: f64,
    burst: f64,
    per_s: f64,
    at: Duration,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(burst: f64, per_s: f64) -> Bucket {
        Bucket { left: burst, burst, per_s, at: Duration::ZERO }
    }

    /// Adds to what is left, up to the burst.
    pub fn add(&mut self, amount: f64) {
        self.left = (self.left + amount).min(self.burst);
    }

    /// Takes one if one is left.
    pub fn take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.add(elapsed * self.per_s);
        let taken = self.left >= 1.0;
        self.left -= if taken { 1.0 } else { 0.0 };
        taken
    }
}
