//! Notices that routers forward to each other, up to the reader and down to all others.
//!
//! Load pattern: a fifth of the servers leave while the store is unavailable. Without gossip, each router would learn
//! only from a request of its own that a server declines requests, and all of them together would use up the retry
//! budget. Through the store, a notice takes half a second, and none arrives while it is unavailable.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;

/// Number of a notice at the router that forwards it.
pub type Number = u64;

/// Limit on the notices that are kept: around the loss of a data centre each router announces some tens of servers.
const MAX_NOTICES: usize = 1024;

/// Time for which notices are kept. Older ones are announced again or out of date.
const RETENTION: Duration = Duration::from_secs(10);

/// Time within which the same notice from several routers counts as one.
const DUPLICATE_WINDOW: Duration = Duration::from_millis(700);

/// Longest notice that is forwarded, in bytes. The longest names a thousand servers.
pub const MAX_NOTICE_BYTES: usize = 64 << 10;

/// Notices that a router received or announced, the oldest first.
#[derive(Debug, Default)]
pub struct Gossip {
    next: Number,
    kept: VecDeque<Entry>,
}

/// A notice and its origin.
#[derive(Debug)]
struct Entry {
    number: Number,
    notice: Bytes,
    at: Duration,
    from: Origin,
}

/// Where a notice came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The source of this router.
    Source,
    /// This router itself, or one whose source it is.
    Downstream,
}

impl Gossip {
    /// Keeps a notice to forward it; returns false if it is a duplicate.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let mut gossip = gateway::shared_read::Gossip::default();
    /// # use gateway::shared_read::Origin;
    /// let at = Duration::from_millis;
    /// assert!(gossip.insert("a".into(), Origin::Downstream, at(0)));
    /// assert!(!gossip.insert("a".into(), Origin::Source, at(100)));
    /// assert!(gossip.insert("a".into(), Origin::Source, at(2000)));
    /// assert_eq!(gossip.since(1), (vec!["a".into()], 2));
    /// assert_eq!(gossip.from_downstream(0), (vec!["a".into()], 2));
    /// ```
    pub fn insert(&mut self, notice: Bytes, from: Origin, now: Duration) -> bool {
        let old = |entry: &Entry| entry.at + RETENTION < now;
        while self.kept.front().is_some_and(|first| self.kept.len() >= MAX_NOTICES || old(first)) {
            self.kept.pop_front();
        }
        let mut recent =
            self.kept.iter().rev().take_while(|entry| now < entry.at + DUPLICATE_WINDOW);
        if recent.any(|entry| entry.notice == notice) || notice.len() > MAX_NOTICE_BYTES {
            return false;
        }
        self.kept.push_back(Entry { number: self.next, notice, at: now, from });
        self.next += 1;
        true
    }

    /// Returns the number of the next notice.
    pub fn next(&self) -> Number {
        self.next
    }

    /// Returns the kept notices from a number on, and the number of the next one.
    pub fn since(&self, from: Number) -> (Vec<Bytes>, Number) {
        (self.kept_from(from).map(|entry| entry.notice.clone()).collect(), self.next)
    }

    /// Returns the same notices without those that came from the source.
    pub fn from_downstream(&self, from: Number) -> (Vec<Bytes>, Number) {
        let downstream = self.kept_from(from).filter(|entry| entry.from == Origin::Downstream);
        (downstream.map(|entry| entry.notice.clone()).collect(), self.next)
    }

    fn kept_from(&self, from: Number) -> impl Iterator<Item = &Entry> {
        let skip = self.kept.partition_point(|entry| entry.number < from);
        self.kept.iter().skip(skip)
    }
}
