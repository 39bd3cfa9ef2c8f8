//! Notices that routers pass on to each other, up to the reader and down to all.
//!
//! Load pattern: a fifth of the servers leave while the store is away. What one router hears from a server that declines
//! a request, each of the others would find out by a request of its own, and all of them together use up the retry
//! budget. Written to the store, a notice takes half a second, and none arrives while it is away.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;

/// Number of a notice at the router that passes it on.
pub type Number = u64;

/// Notices that are kept: around the loss of a data centre each router tells of some tens of servers.
const KEPT: usize = 1024;

/// Time for which they are kept. What is older is said again or out of date.
const KEPT_FOR: Duration = Duration::from_secs(10);

/// Time within which the same notice is the same news, heard from several routers.
const SAME: Duration = Duration::from_millis(700);

/// Longest notice that is passed on, in bytes. The longest tells of a thousand servers.
pub const LONGEST: usize = 64 << 10;

/// Notices that a router has heard or said, the oldest first.
#[derive(Debug, Default)]
pub struct Gossip {
    next: Number,
    kept: VecDeque<Entry>,
}

/// A notice and how it came here.
#[derive(Debug)]
struct Entry {
    number: Number,
    notice: Bytes,
    at: Duration,
    from: Origin,
}

/// Who told of a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The router that this one hears from.
    Source,
    /// This router itself, or one that hears from it.
    Downstream,
}

impl Gossip {
    /// Keeps a notice to pass it on; whether it is news.
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
        let old = |entry: &Entry| entry.at + KEPT_FOR < now;
        while self.kept.front().is_some_and(|first| self.kept.len() >= KEPT || old(first)) {
            self.kept.pop_front();
        }
        let mut recent = self.kept.iter().rev().take_while(|entry| now < entry.at + SAME);
        if recent.any(|entry| entry.notice == notice) || notice.len() > LONGEST {
            return false;
        }
        self.kept.push_back(Entry { number: self.next, notice, at: now, from });
        self.next += 1;
        true
    }

    /// Number of the next notice.
    pub fn next(&self) -> Number {
        self.next
    }

    /// Notices from a number on that are still kept, and the number of the next one.
    pub fn since(&self, from: Number) -> (Vec<Bytes>, Number) {
        (self.kept_from(from).map(|entry| entry.notice.clone()).collect(), self.next)
    }

    /// The same without those that came from the source.
    pub fn from_downstream(&self, from: Number) -> (Vec<Bytes>, Number) {
        let below = self.kept_from(from).filter(|entry| entry.from == Origin::Downstream);
        (below.map(|entry| entry.notice.clone()).collect(), self.next)
    }

    fn kept_from(&self, from: Number) -> impl Iterator<Item = &Entry> {
        let skip = self.kept.partition_point(|entry| entry.number < from);
        self.kept.iter().skip(skip)
    }
}
