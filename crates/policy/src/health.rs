//! Ejection of slow and failing replicas by comparison with their peers.
//!
//! Load pattern: one backend server runs ten times slower than before, or fails its requests. A draft holds a slot in
//! every range of its chain, so one slow stage holds back fast ones in the other ranges; and since a failing server
//! is soon idle again, least-loaded choices send it more than its share.
//!
//! A fixed limit on the step time fails on mixed accelerators, so a replica is compared with the median of its range.
//! [`SLOW_FACTOR`] is above the spread of healthy accelerators (a factor of about three) and below the faults that
//! matter. A replica must be slow in [`FAULTS_TO_EJECT`] reports in a row, since one long batch is no fault. At most
//! one in [`SLOW_EJECTION_DIVISOR`] is ejected for slowness and one in [`FAIL_EJECTION_DIVISOR`] for failures: when
//! most look bad, the cause is elsewhere, and ejecting them would put their load on the rest. Each ejection of a
//! replica lasts twice as long as the last, from [`MIN_EJECTION`] to [`MAX_EJECTION`]; then it is probed with one
//! request, and each success doubles the number of requests allowed.

use std::time::Duration;

use crate::tuning::Tuning;

/// Step time relative to the range's median above which a replica is too slow.
pub const SLOW_FACTOR: f64 = 4.0;

/// Consecutive slow reports, or failures among the last results, that eject a replica.
pub const FAULTS_TO_EJECT: u8 = 3;

/// At most one in this many replicas of a range is ejected for slowness.
pub const SLOW_EJECTION_DIVISOR: usize = 5;

/// At most one in this many replicas of a range is ejected for failures.
pub const FAIL_EJECTION_DIVISOR: usize = 2;

/// Length of a first ejection.
pub const MIN_EJECTION: Duration = Duration::from_secs(5);

/// Length of the longest ejection.
pub const MAX_EJECTION: Duration = Duration::from_secs(60);

/// Why a replica is ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Its step time is far above its peers'.
    Slow,
    /// Its requests fail.
    Failing,
}

/// State of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    Live,
    /// Takes no work for a time.
    Ejected {
        /// End of the ejection.
        until: Duration,
        /// Why it is ejected.
        cause: Cause,
    },
    /// Takes a limited number of requests at once.
    Probing {
        /// The limit.
        allowed: u32,
    },
}

/// Health of one replica.
///
/// ```
/// use std::time::Duration;
/// use policy::health::{Health, Peers, State, FAULTS_TO_EJECT};
/// use policy::tuning::Tuning;
/// let peers = Peers { replicas: 10, ejected: 0, median_us: 10_000.0 };
/// let (mut health, tuning, now) = (Health::default(), Tuning::default(), Duration::ZERO);
/// let out = (0..FAULTS_TO_EJECT).any(|_| health.step(90_000.0, true, peers, &tuning, now));
/// assert!(out && matches!(health.state(now), State::Ejected { .. }));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    state: State,
    slow: u8,
    failed: u8,
    ejections: u8,
}

impl Default for Health {
    fn default() -> Health {
        Health { state: State::Live, slow: 0, failed: 0, ejections: 0 }
    }
}

/// The figures of a range that a replica is compared with.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Peers {
    /// Number of replicas in the range.
    pub replicas: usize,
    /// Number of replicas that are ejected now.
    pub ejected: usize,
    /// Median step time in microseconds; 0 when unknown.
    pub median_us: f64,
}

impl Health {
    /// Returns its state at `now`; an ejection whose time is over becomes a probe.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::health::{Health, State};
    /// assert_eq!(Health::default().state(Duration::ZERO), State::Live);
    /// ```
    pub fn state(&self, now: Duration) -> State {
        match self.state {
            State::Ejected { until, .. } if now >= until => State::Probing { allowed: 1 },
            state => state,
        }
    }

    /// Returns how many of `slots` slots may be used at `now`.
    ///
    /// ```
    /// use std::time::Duration;
    /// assert_eq!(policy::health::Health::default().allowed(8, Duration::ZERO), 8);
    /// ```
    pub fn allowed(&self, slots: u32, now: Duration) -> u32 {
        match self.state(now) {
            State::Live => slots,
            State::Ejected { .. } => 0,
            State::Probing { allowed } => slots.min(allowed),
        }
    }

    /// Records a fresh step time of the replica, in microseconds. `busy` is false when nothing ran, and then the
    /// figure is an old one and is ignored. Returns true when this ejects it.
    pub fn step(
        &mut self,
        step_us: f64,
        busy: bool,
        peers: Peers,
        tuning: &Tuning,
        now: Duration,
    ) -> bool {
        let known = busy && step_us > 0.0 && peers.median_us > 0.0;
        match step_us > tuning.slow_factor * peers.median_us {
            _ if !known => false,
            false => {
                self.slow = 0;
                false
            }
            true => {
                self.slow = self.slow.saturating_add(1);
                self.slow >= tuning.faults_to_eject && self.eject(Cause::Slow, peers, tuning, now)
            }
        }
    }

    /// Records a request that succeeded on a replica of `slots`.
    pub fn succeeded(&mut self, slots: u32, now: Duration) {
        self.failed = self.failed.saturating_sub(1);
        self.state = match self.state(now) {
            State::Probing { allowed } if allowed >= slots => {
                self.ejections = self.ejections.saturating_sub(1);
                State::Live
            }
            State::Probing { allowed } => State::Probing { allowed: allowed.saturating_mul(2) },
            state => state,
        };
    }

    /// Records a request that failed by the replica's fault: no answer, lost connection, crash; not a refusal
    /// because no slot is free. Returns true when this ejects it.
    pub fn failed(&mut self, peers: Peers, tuning: &Tuning, now: Duration) -> bool {
        self.failed = self.failed.saturating_add(1);
        self.failed >= tuning.faults_to_eject && self.eject(Cause::Failing, peers, tuning, now)
    }

    fn eject(&mut self, cause: Cause, peers: Peers, tuning: &Tuning, now: Duration) -> bool {
        let cap = match cause {
            Cause::Slow => SLOW_EJECTION_DIVISOR,
            Cause::Failing => FAIL_EJECTION_DIVISOR,
        };
        let probing = matches!(self.state(now), State::Probing { .. });
        let live = matches!(self.state(now), State::Live);
        let room = peers.ejected < (peers.replicas / cap).max(usize::from(peers.replicas > 2));
        if !(probing || live && room) {
            return false;
        }
        let time = tuning.min_ejection.saturating_mul(1 << self.ejections.min(8)).min(MAX_EJECTION);
        self.state = State::Ejected { until: now + time, cause };
        self.ejections = self.ejections.saturating_add(1);
        (self.slow, self.failed) = (tuning.faults_to_eject - 1, tuning.faults_to_eject - 1);
        true
    }
}
