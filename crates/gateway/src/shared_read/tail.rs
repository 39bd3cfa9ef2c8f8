//! The newest records of a log, kept for other routers.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;

use crate::store::Offset;

/// Records that are kept of each log: all servers of a large fleet may change within some seconds.
const KEPT: usize = 4096;

/// Time for which they are kept. A router that is further behind reads the store.
const KEPT_FOR: Duration = Duration::from_secs(15);

/// A record and where it stands in its log.
pub type LogRecord = (Offset, Bytes);

/// The newest records of a log that tell something new.
///
/// Most entries of servers are heartbeats. A thousand servers write 200 KB of them a second, which a reader
/// on a link of 20 Mbit/s can't pass on to a hundred routers: all of them lose it, read the store
/// themselves, and suspect whoever answers late meanwhile.
#[derive(Debug, Default)]
pub struct Tail {
    base: Offset,
    end: Offset,
    records: VecDeque<(LogRecord, Duration)>,
    read: Option<Duration>,
}

impl Tail {
    /// Adds what was read from the store, of which `worth` says what tells something new; whether anything does.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let mut tail = gateway::shared_read::Tail::default();
    /// tail.add(7, &["a".into(), "b".into()], |record| record != "b", Duration::from_secs(1));
    /// assert_eq!(tail.from(7).unwrap(), (vec![(7, "a".into())], 9));
    /// assert_eq!(tail.from(8).unwrap(), (vec![], 9));
    /// assert!(tail.from(6).is_none());
    /// ```
    pub fn add(
        &mut self,
        from: Offset,
        records: &[Bytes],
        worth: impl Fn(&Bytes) -> bool,
        now: Duration,
    ) -> bool {
        let placed = (from..).zip(records.iter().cloned()).filter(|(_, record)| worth(record));
        let placed = placed.collect();
        self.take(from, placed, from + records.len() as Offset, now, now)
    }

    /// Adds records up to `end` that were read at `read`, by this router or another one; whether there are new ones.
    ///
    /// What is known already is left out, so that answers may overlap.
    pub fn take(
        &mut self,
        from: Offset,
        records: Vec<LogRecord>,
        end: Offset,
        read: Duration,
        now: Duration,
    ) -> bool {
        if from > self.end || self.read.is_none() {
            self.records.clear();
            (self.base, self.end) = (from, from);
        }
        let known = self.end;
        let fresh = records.into_iter().filter(|(offset, _)| *offset >= known);
        let before = self.records.len();
        self.records.extend(fresh.map(|placed| (placed, now)));
        let news = self.records.len() > before;
        self.end = self.end.max(end);
        let old = |at: Duration| at + KEPT_FOR < now;
        while self.records.front().is_some_and(|(_, at)| self.records.len() > KEPT || old(*at)) {
            if let Some(((offset, _), _)) = self.records.pop_front() {
                self.base = offset + 1;
            }
        }
        self.read = self.read.max(Some(read));
        news
    }

    /// Records from an offset on, and the offset after the last one read; none if some are not kept.
    pub fn from(&self, from: Offset) -> Option<(Vec<LogRecord>, Offset)> {
        let known = self.read.is_some() && self.base <= from;
        let skip = self.records.partition_point(|((offset, _), _)| *offset < from);
        let records = || self.records.iter().skip(skip).map(|(placed, _)| placed.clone()).collect();
        known.then(|| (records(), self.end.max(from)))
    }

    /// Records that are kept.
    pub fn kept(&self) -> Vec<LogRecord> {
        self.records.iter().map(|(placed, _)| placed.clone()).collect()
    }

    /// Offset after the last one read; none if nothing was read.
    pub fn end(&self) -> Option<Offset> {
        self.read.map(|_| self.end)
    }

    /// How long ago the store was read.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.read.map(|read| now.saturating_sub(read))
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        *self = Tail::default();
    }
}
