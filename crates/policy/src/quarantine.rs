//! Requests that crash the engine which runs them.
//!
//! Load pattern: one request crashes each backend server that runs it, and its caller sends it again. Retried as
//! usual it takes down one server after another, with all that ran beside it.
//!
//! An engine batches, so a crash names several fingerprints and only one of them is at fault. All become suspects and
//! run only alone from then on. A suspect that completes is cleared; one that runs at a second crash is refused
//! everywhere for a set time. Two crashes are the fewest that tell the request at fault from those beside it. Agents
//! list both kinds in their reports, and a suspect that a peer reports counts the crash it had there. At most
//! [`MAX_FINGERPRINTS`] fingerprints are kept; the oldest suspect is evicted first.

use std::time::Duration;

/// Largest number of fingerprints kept.
pub const MAX_FINGERPRINTS: usize = 1024;

/// State of a fingerprint in bytes.
pub const BYTES: usize = size_of::<Record>();

/// Hash of a request's content.
pub type Fingerprint = u64;

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Run it as any other.
    Clear,
    /// Run it with nothing beside it.
    Alone,
    /// Refuse it for this long.
    Refused {
        /// Time until it may run again.
        left: Duration,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Record {
    fingerprint: Fingerprint,
    /// End of the quarantine; for a suspect, when it expires.
    until: Duration,
    refused: bool,
}

/// Suspects and refused fingerprints, sorted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct List {
    hold: Duration,
    records: Vec<Record>,
}

impl List {
    /// Creates an empty list that refuses a fingerprint for `hold`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::quarantine::{List, Verdict};
    /// let mut list = List::new(Duration::from_secs(600));
    /// list.crashed(&[7, 8], Duration::ZERO);
    /// assert_eq!(list.verdict(7, Duration::ZERO), Verdict::Alone);
    /// list.completed(8);
    /// assert_eq!(list.verdict(8, Duration::ZERO), Verdict::Clear);
    /// list.crashed(&[7], Duration::ZERO);
    /// assert!(matches!(list.verdict(7, Duration::ZERO), Verdict::Refused { .. }));
    /// ```
    pub fn new(hold: Duration) -> List {
        List { hold, records: Vec::new() }
    }

    /// Sets the time for which fingerprints that are added from now on are kept.
    pub fn set_hold(&mut self, hold: Duration) {
        self.hold = hold;
    }

    /// Allows a request to run again by order of an operator.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::quarantine::{List, Verdict};
    /// let mut list = List::new(Duration::from_secs(600));
    /// list.merge(&[], &[7], Duration::ZERO);
    /// list.lift(7);
    /// assert_eq!(list.verdict(7, Duration::ZERO), Verdict::Clear);
    /// ```
    pub fn lift(&mut self, fingerprint: Fingerprint) {
        self.records.retain(|r| r.fingerprint != fingerprint);
    }

    /// Returns what may be done with a request.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Duration) -> Verdict {
        match self.find(fingerprint).map(|i| self.records[i]) {
            Ok(r) if r.until <= now => Verdict::Clear,
            Ok(r) if r.refused => Verdict::Refused { left: r.until - now },
            Ok(_) => Verdict::Alone,
            Err(_) => Verdict::Clear,
        }
    }

    /// Records an engine crash while these requests were running. Returns those refused from now on.
    pub fn crashed(&mut self, running: &[Fingerprint], now: Duration) -> Vec<Fingerprint> {
        let second = |f: &Fingerprint| self.verdict(*f, now) != Verdict::Clear;
        let (refused, suspects): (Vec<_>, Vec<_>) = running.iter().copied().partition(second);
        refused.iter().for_each(|f| self.insert(*f, true, now));
        suspects.iter().for_each(|f| self.insert(*f, false, now));
        refused
    }

    /// Records a request that completed: it does not crash engines.
    pub fn completed(&mut self, fingerprint: Fingerprint) {
        match self.find(fingerprint) {
            Ok(i) if !self.records[i].refused => {
                self.records.remove(i);
            }
            _ => {}
        }
    }

    /// Merges what a peer reports. What is refused here stays refused.
    pub fn merge(&mut self, suspects: &[Fingerprint], refused: &[Fingerprint], now: Duration) {
        for &fingerprint in suspects {
            if self.verdict(fingerprint, now) == Verdict::Clear {
                self.insert(fingerprint, false, now);
            }
        }
        for &fingerprint in refused {
            if !matches!(self.verdict(fingerprint, now), Verdict::Refused { .. }) {
                self.insert(fingerprint, true, now);
            }
        }
    }

    /// Returns the suspects, sorted, for the report to peers.
    pub fn suspects(&self, now: Duration) -> Vec<Fingerprint> {
        self.listed(false, now)
    }

    /// Returns the refused fingerprints, sorted, for the report to peers.
    pub fn refused(&self, now: Duration) -> Vec<Fingerprint> {
        self.listed(true, now)
    }

    fn listed(&self, refused: bool, now: Duration) -> Vec<Fingerprint> {
        let valid = self.records.iter().filter(|r| r.refused == refused && r.until > now);
        valid.map(|r| r.fingerprint).collect()
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.records.binary_search_by_key(&fingerprint, |r| r.fingerprint)
    }

    fn insert(&mut self, fingerprint: Fingerprint, refused: bool, now: Duration) {
        let record = Record { fingerprint, until: now + self.hold, refused };
        match self.find(fingerprint) {
            Ok(i) => self.records[i] = record,
            Err(i) => self.records.insert(i, record),
        }
        if self.records.len() > MAX_FINGERPRINTS {
            self.records.retain(|r| r.until > now);
        }
        if self.records.len() > MAX_FINGERPRINTS {
            // A caller could evict its own refused fingerprint with many that are only suspects.
            let place = |&i: &usize| (self.records[i].refused, self.records[i].until);
            let oldest = (0..self.records.len()).min_by_key(place);
            oldest.map(|i| self.records.remove(i));
        }
    }
}
