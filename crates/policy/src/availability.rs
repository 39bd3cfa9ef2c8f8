//! What backend servers ask of this router in their answers: to send no requests for a while, or none at all.
//!
//! Load pattern: an overloaded server declines requests and names the time for which it wants none. It answers at once
//! and runs nothing, so a choice by load and answer time prefers it to servers that work, and each request that it
//! declines takes a retry. When the time has passed, all requests and all routers that got the same time would return
//! at once to a server that was overloaded a moment ago. Therefore routers return at different times, each with one
//! request, and send more with each one that is answered.
//!
//! A statement applies to one start of a server. It outlasts the server's entry in the list, and nothing shortens it.

use std::time::Duration;

use derive_more::Display;

use crate::crash::Start;

/// Longest backoff that one answer can set. A server that wants a longer one sets it again with its next answer.
pub const MAX_BACKOFF: Duration = Duration::from_secs(600);

/// Fraction of a backoff over which many routers spread their return.
pub const SPREAD_FRACTION: f64 = 0.5;

/// Requests in progress at a server from which on a return is complete.
const FULL_WINDOW: u32 = 16;

/// Time after a backoff after which a return is complete in any case, as the requests sent since may take long.
pub const MAX_RETURN_TIME: Duration = Duration::from_secs(2);

/// Limit on the starts of servers that are remembered; the one that spoke longest ago is dropped first.
const MAX_STARTS: usize = 1024;

/// Returns by how much later than the end of a wait this router, or a caller that it refuses, returns; `random` is a
/// number below one. Routers that return together would overload the server again.
///
/// ```
/// # use std::time::Duration;
/// use policy::availability::return_spread;
/// let wait = Duration::from_secs(4);
/// assert_eq!(return_spread(wait, 1, 0.9), Duration::ZERO);
/// assert_eq!(return_spread(wait, 2, 0.5), Duration::from_millis(500));
/// ```
pub fn return_spread(wait: Duration, routers: u32, random: f64) -> Duration {
    let others = 1.0 - 1.0 / f64::from(routers.max(1));
    wait.mul_f64(SPREAD_FRACTION * others * random.clamp(0.0, 1.0))
}

/// Which requests a statement of a server applies to, or how a request uses a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Use {
    /// Requests that are sent to the server itself.
    Direct,
    /// Requests that reach it along a path, from the server before it, as well.
    Path,
}

/// Why no request may be sent to a server now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Obstacle {
    /// It said that it is leaving.
    #[display("leaving")]
    Leaving,
    /// It asked for a backoff that has not passed.
    #[display("backoff")]
    Backoff,
    /// Its backoff has passed, and requests sent since then have not been answered yet.
    #[display("return")]
    Return,
}

/// Backoff of one start of a server.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct Backoff {
    /// End for requests that are sent to the server itself.
    direct: Duration,
    /// End for requests along paths through it.
    path: Duration,
    /// Time that the server asked for.
    length: Duration,
    /// Random number below one that decides when in the spread this router returns.
    phase: f64,
    /// Limit on the requests in progress after the end; none if the return is complete.
    window: Option<u32>,
    /// Requests in progress that were admitted under that limit.
    trials: u32,
}

impl Backoff {
    fn end(&self, how: Use) -> Duration {
        match how {
            Use::Direct => self.direct,
            Use::Path => self.path,
        }
    }
}

/// What one start of a server has said.
#[derive(Debug, Clone, PartialEq)]
struct Record {
    start: Start,
    leaving: bool,
    backoff: Backoff,
    /// When it last said something.
    spoke_at: Duration,
    /// Whether it has sent a statement that can't be read.
    unreadable: bool,
}

impl Record {
    fn obstacle(&self, how: Use, now: Duration) -> Option<Obstacle> {
        let Backoff { window, trials, .. } = self.backoff;
        match window {
            _ if self.leaving => Some(Obstacle::Leaving),
            _ if now < self.backoff.end(how) => Some(Obstacle::Backoff),
            Some(window) if trials >= window && now < self.backoff.end(how) + MAX_RETURN_TIME => {
                Some(Obstacle::Return)
            }
            Some(_) | None => None,
        }
    }
}

/// What the starts of servers have asked of one router.
#[derive(Debug, Clone, Default)]
pub struct Register {
    /// Sorted by start.
    records: Vec<Record>,
}

impl Register {
    /// Records that a start of a server asked for a backoff of `time`, one of `routers` that may have got the same time.
    /// `phase` is a random number below one. Returns whether requests were accepted until now.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use policy::availability::{Obstacle, Register, Use};
    /// use policy::crash::Start;
    /// let start = Start { id: "desk-1".to_owned(), born: 1_000 };
    /// let (mut register, now) = (Register::default(), Duration::from_secs(5));
    /// assert!(register.back_off(&start, Use::Path, Duration::from_secs(3), now, 1, 0.0));
    /// assert!(!register.back_off(&start, Use::Path, Duration::from_secs(1), now, 1, 0.0));
    /// let at = |seconds| register.obstacle(&start.id, start.born, Use::Direct, now + Duration::from_secs(seconds));
    /// assert_eq!(at(2), Some(Obstacle::Backoff));
    /// assert_eq!(at(3), None);
    /// ```
    pub fn back_off(
        &mut self,
        start: &Start,
        how: Use,
        time: Duration,
        now: Duration,
        routers: u32,
        phase: f64,
    ) -> bool {
        let time = time.min(MAX_BACKOFF);
        let backoff = &mut self.record(start, now).backoff;
        let begins = now >= backoff.direct;
        if begins {
            backoff.phase = phase;
        }
        let end = now + time + return_spread(time, routers, backoff.phase);
        if end > backoff.direct {
            (backoff.direct, backoff.length) = (end, time);
        }
        if how == Use::Path {
            backoff.path = backoff.path.max(end);
        }
        backoff.window = Some(1);
        begins
    }

    /// Records that a start of a server said that it is leaving; returns whether that was not known.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use policy::availability::Register;
    /// use policy::crash::Start;
    /// let start = Start { id: "desk-1".to_owned(), born: 1_000 };
    /// let (mut register, now) = (Register::default(), Duration::from_secs(5));
    /// assert!(register.leave(&start, now));
    /// assert!(register.is_leaving("desk-1", 1_000) && !register.is_leaving("desk-1", 2_000));
    /// assert!(!register.leave(&start, now));
    /// ```
    pub fn leave(&mut self, start: &Start, now: Duration) -> bool {
        !std::mem::replace(&mut self.record(start, now).leaving, true)
    }

    /// Records a statement that can't be read; returns whether it is the first one of that start.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use policy::availability::Register;
    /// use policy::crash::Start;
    /// let start = Start { id: "desk-1".to_owned(), born: 1_000 };
    /// let mut register = Register::default();
    /// assert!(register.record_unreadable(&start, Duration::ZERO));
    /// assert!(!register.record_unreadable(&start, Duration::ZERO));
    /// ```
    pub fn record_unreadable(&mut self, start: &Start, now: Duration) -> bool {
        !std::mem::replace(&mut self.record(start, now).unreadable, true)
    }

    /// Whether a start of a server said that it is leaving.
    pub fn is_leaving(&self, id: &str, born: u64) -> bool {
        self.find(id, born).is_some_and(|record| record.leaving)
    }

    /// Returns why no request may use a start of a server now; none if one may.
    pub fn obstacle(&self, id: &str, born: u64, how: Use, now: Duration) -> Option<Obstacle> {
        self.find(id, born)?.obstacle(how, now)
    }

    /// Returns when a backoff ends that has not passed yet.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use policy::availability::{Register, Use};
    /// use policy::crash::Start;
    /// let start = Start { id: "desk-1".to_owned(), born: 1_000 };
    /// let mut register = Register::default();
    /// let (time, now) = (Duration::from_secs(3), Duration::from_secs(5));
    /// register.back_off(&start, Use::Direct, time, now, 1, 0.0);
    /// assert_eq!(register.backoff_end("desk-1", 1_000, Use::Direct, now), Some(now + time));
    /// assert_eq!(register.backoff_end("desk-1", 1_000, Use::Path, now), None);
    /// ```
    pub fn backoff_end(&self, id: &str, born: u64, how: Use, now: Duration) -> Option<Duration> {
        self.find(id, born).map(|record| record.backoff.end(how)).filter(|end| now < *end)
    }

    /// Returns when the last backoff ends or ended; none if there was none.
    pub fn last_backoff_end(&self, id: &str, born: u64) -> Option<Duration> {
        self.find(id, born).map(|record| record.backoff.direct).filter(|end| !end.is_zero())
    }

    /// Returns the length of a backoff that has not passed yet.
    pub fn backoff_length(&self, id: &str, born: u64, now: Duration) -> Option<Duration> {
        let backoff = self.find(id, born)?.backoff;
        (now < backoff.direct).then_some(backoff.length)
    }

    /// Admits a request to a start of a server; returns whether it counts as in progress until it is settled.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use policy::availability::{Obstacle, Register, Use};
    /// use policy::crash::Start;
    /// let start = Start { id: "desk-1".to_owned(), born: 1_000 };
    /// let mut register = Register::default();
    /// let (time, now) = (Duration::from_secs(3), Duration::from_secs(5));
    /// register.back_off(&start, Use::Path, time, now, 1, 0.0);
    /// let mut admit = || register.admit("desk-1", 1_000, Use::Direct, now + time);
    /// assert_eq!(admit(), Ok(true));
    /// assert_eq!(admit(), Err(Obstacle::Return));
    /// register.settle("desk-1", 1_000, Some(now + time));
    /// let mut admit = || register.admit("desk-1", 1_000, Use::Direct, now + time);
    /// assert_eq!((admit(), admit()), (Ok(true), Ok(true)));
    /// ```
    pub fn admit(
        &mut self,
        id: &str,
        born: u64,
        how: Use,
        now: Duration,
    ) -> Result<bool, Obstacle> {
        let Ok(at) = self.position(id, born) else { return Ok(false) };
        let record = &mut self.records[at];
        match record.obstacle(how, now) {
            Some(obstacle) => Err(obstacle),
            None => {
                record.backoff.trials += 1;
                Ok(true)
            }
        }
    }

    /// Records that a counted request ended, and when the server answered it, if it did.
    pub fn settle(&mut self, id: &str, born: u64, served_at: Option<Duration>) {
        let Ok(at) = self.position(id, born) else { return };
        let backoff = &mut self.records[at].backoff;
        backoff.trials = backoff.trials.saturating_sub(1);
        if served_at.is_some_and(|at| at >= backoff.direct) {
            backoff.window = backoff.window.map(|n| n * 2).filter(|n| *n < FULL_WINDOW);
        }
    }

    fn position(&self, id: &str, born: u64) -> Result<usize, usize> {
        let key = (id, born);
        self.records.binary_search_by(|r| (r.start.id.as_str(), r.start.born).cmp(&key))
    }

    fn find(&self, id: &str, born: u64) -> Option<&Record> {
        self.position(id, born).ok().map(|at| &self.records[at])
    }

    /// Returns the record of a start that speaks now, a new one if there is none.
    fn record(&mut self, start: &Start, now: Duration) -> &mut Record {
        if self.position(&start.id, start.born).is_err() && self.records.len() >= MAX_STARTS {
            let oldest = (0..self.records.len()).min_by_key(|at| self.records[*at].spoke_at);
            oldest.map(|at| self.records.remove(at));
        }
        let at = self.position(&start.id, start.born).unwrap_or_else(|at| {
            let start = start.clone();
            let (leaving, unreadable, backoff) = (false, false, Backoff::default());
            let record = Record { start, leaving, backoff, spoke_at: now, unreadable };
            self.records.insert(at, record);
            at
        });
        self.records[at].spoke_at = now;
        &mut self.records[at]
    }
}
