//! The newest records of a log, kept for other routers.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;

use crate::store::Offset;

/// Limit on the records that are kept of each log: all servers of a large fleet may change within some seconds.
const MAX_RECORDS: usize = 4096;

/// Time for which records are kept. A router that lags further behind reads the store.
const RETENTION: Duration = Duration::from_secs(15);

/// An offset in a log and the record there.
pub type LogRecord = (Offset, Bytes);

/// The newest records of a log that have new content.
///
/// Most entries of servers are heartbeats. A thousand servers write 200 KB of them a second, which a reader on a link
/// of 20 Mbit/s can't forward to a hundred routers: all of them would lose their source, read the store themselves, and
/// meanwhile suspect any server that answers late.
#[derive(Debug, Default)]
pub struct Tail {
    /// First offset from which on all new records are kept.
    base: Offset,
    /// Offset after the last record read.
    end: Offset,
    /// Each record, and when this router received it.
    records: VecDeque<(LogRecord, Duration)>,
    /// As of when the log is known: when the last read of the store was sent, by this router or another one.
    read: Option<Duration>,
}

impl Tail {
    /// Adds at `now` what was read from the store at `read`; `is_new` says which records have new content. Returns
    /// whether any has.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let (read, now) = (Duration::from_millis(996), Duration::from_millis(1000));
    /// let mut tail = gateway::shared_read::Tail::default();
    /// tail.add(7, &["a".into(), "b".into()], |record| record != "b", read, now);
    /// assert_eq!(tail.records_from(7).unwrap(), (vec![(7, "a".into())], 9));
    /// assert_eq!(tail.records_from(8).unwrap(), (vec![], 9));
    /// assert!(tail.records_from(6).is_none());
    /// ```
    pub fn add(
        &mut self,
        from: Offset,
        records: &[Bytes],
        is_new: impl Fn(&Bytes) -> bool,
        read: Duration,
        now: Duration,
    ) -> bool {
        let log_records =
            (from..).zip(records.iter().cloned()).filter(|(_, record)| is_new(record));
        let log_records = log_records.collect();
        self.append(from, log_records, from + records.len() as Offset, read, now)
    }

    /// Adds records up to `end` that this router or another one read at `read`; returns whether any is new.
    ///
    /// Known records are left out, so that answers may overlap.
    pub fn append(
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
        let new = records.into_iter().filter(|(offset, _)| *offset >= known);
        let before = self.records.len();
        self.records.extend(new.map(|record| (record, now)));
        let has_new = self.records.len() > before;
        self.end = self.end.max(end);
        let old = |at: Duration| at + RETENTION < now;
        while self
            .records
            .front()
            .is_some_and(|(_, at)| self.records.len() > MAX_RECORDS || old(*at))
        {
            if let Some(((offset, _), _)) = self.records.pop_front() {
                self.base = offset + 1;
            }
        }
        self.read = self.read.max(Some(read));
        has_new
    }

    /// Returns the records from an offset on, and the offset after the last one read; none if some are not kept.
    pub fn records_from(&self, from: Offset) -> Option<(Vec<LogRecord>, Offset)> {
        let known = self.read.is_some() && self.base <= from;
        let skip = self.records.partition_point(|((offset, _), _)| *offset < from);
        let records = || self.records.iter().skip(skip).map(|(record, _)| record.clone()).collect();
        known.then(|| (records(), self.end.max(from)))
    }

    /// Returns the records that are kept.
    pub fn kept(&self) -> Vec<LogRecord> {
        self.records.iter().map(|(record, _)| record.clone()).collect()
    }

    /// Returns the offset after the last record read; none if nothing was read.
    pub fn end(&self) -> Option<Offset> {
        self.read.map(|_| self.end)
    }

    /// Returns as of when the log is known.
    pub fn read(&self) -> Option<Duration> {
        self.read
    }

    /// Returns the time since the store was read.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.read.map(|read| now.saturating_sub(read))
    }

    /// Drops all records.
    pub fn clear(&mut self) {
        *self = Tail::default();
    }
}
