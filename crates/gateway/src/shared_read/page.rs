//! Messages between routers that share reads of the store.

use std::io::{Read, Write};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};

use super::LOGS;
use super::gossip::Number;
use super::tail::LogRecord;
use super::view::View;
use crate::roster::Roster;
use crate::store::{Era, Offset};

/// Version of a page. Routers of another version read the store until all are upgraded.
const VERSION: u16 = 6;

/// Version of a snapshot, distinct from those of pages, so that the two can't be confused.
const SNAPSHOT_VERSION: u16 = 0x103;

/// Longest answer that is read, in bytes. Fleet settings take up to a megabyte.
pub(super) const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Longest snapshot, in bytes before compression: five times a megabyte of settings, or the entries of ten thousand
/// servers.
const MAX_SNAPSHOT_BYTES: u64 = 5 << 20;

/// Answer to a poll.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    version: u16,
    /// The store's era that offsets belong to.
    pub era: Era,
    /// Whether the store does not answer the router that reads it.
    pub store_unavailable: bool,
    /// Number of routers through which the records have passed before the sender.
    pub hops: u8,
    /// Time for which the answer was held back, in milliseconds.
    pub held_ms: u64,
    /// The members of the group, if they have changed.
    pub roster: Option<Roster>,
    /// One part for each of [`LOGS`].
    pub parts: Vec<Part>,
    /// The sender's view of the list of servers.
    pub view: Option<View>,
    /// Notices from the requested one on.
    pub notices: Vec<Vec<u8>>,
    /// Incarnation of the process that numbers them.
    pub incarnation: u64,
    /// Number of the next notice.
    pub next_notice: Number,
}

/// Updates of one log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// First offset requested.
    pub from: Offset,
    /// Offset after the last record read.
    pub end: Offset,
    /// Time since the store was read, in milliseconds; none if the requested records are not kept.
    pub age_ms: Option<u64>,
    /// Records with new content.
    pub records: Vec<(Offset, Vec<u8>)>,
}

/// Why a page is not used.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// It can't be decoded.
    #[display("its answer can't be decoded: {_0}")]
    Unreadable(#[error(not(source))] String),
    /// It has the version of another release.
    #[display("its answer has version {_0}")]
    Version(#[error(not(source))] u16),
    /// It holds records that were not requested, or not in order.
    #[display("its answer holds records that were not requested or are out of order")]
    Discontinuous,
}

impl Page {
    /// Creates a page of this version without notices.
    pub fn new(store_unavailable: bool, roster: Option<Roster>, parts: Vec<Part>) -> Page {
        let (notices, incarnation, next_notice) = (Vec::new(), 0, 0);
        let (version, era, view, hops, held_ms) = (VERSION, 0, None, 0, 0);
        Page {
            version,
            era,
            store_unavailable,
            hops,
            held_ms,
            roster,
            parts,
            view,
            notices,
            incarnation,
            next_notice,
        }
    }

    /// Encodes the answer.
    pub fn encode(&self) -> Bytes {
        Bytes::from(postcard::to_allocvec(self).expect("plain fields"))
    }

    /// Decodes the answer to a request for records from these offsets on.
    ///
    /// ```
    /// use gateway::shared_read::page::{Fault, Page, Part};
    /// let part = |from, end| Part { from, end, age_ms: Some(3), records: vec![(from, vec![1])] };
    /// let page = Page::new(false, None, vec![part(4, 5), part(0, 1), part(9, 10)]);
    /// assert_eq!(Page::decode(&page.encode(), [4, 0, 9]).unwrap(), page);
    /// assert_eq!(Page::decode(&page.encode(), [4, 0, 11]), Err(Fault::Discontinuous));
    /// ```
    pub fn decode(bytes: &[u8], from: [Offset; LOGS.len()]) -> Result<Page, Fault> {
        let unreadable = |e: postcard::Error| Fault::Unreadable(e.to_string());
        let (version, _) = postcard::take_from_bytes::<u16>(bytes).map_err(unreadable)?;
        if version != VERSION {
            return Err(Fault::Version(version));
        }
        let mut page: Page = postcard::from_bytes(bytes).map_err(unreadable)?;
        let follows = page.parts.len() == from.len()
            && page.parts.iter().zip(from).all(|(part, from)| part.follows(from));
        page.roster = page.roster.map(Roster::received);
        if follows { Ok(page) } else { Err(Fault::Discontinuous) }
    }
}

impl Part {
    /// Whether the part holds records from `from` on, in order and none beyond its end.
    fn follows(&self, from: Offset) -> bool {
        let offsets = || self.records.iter().map(|(offset, _)| *offset);
        let ordered = offsets().zip(offsets().skip(1)).all(|(a, b)| a < b);
        let within = offsets().all(|offset| (from..self.end).contains(&offset));
        self.from == from && self.end >= from && ordered && within
    }

    /// Returns the time since the store was read.
    pub fn age(&self) -> Option<Duration> {
        self.age_ms.map(Duration::from_millis)
    }

    /// Returns the records.
    pub fn log_records(self) -> Vec<LogRecord> {
        self.records.into_iter().map(|(offset, record)| (offset, Bytes::from(record))).collect()
    }
}

/// All records that a router holds of one log, for a router that has just started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The store's era that the offset belongs to.
    pub era: Era,
    /// Offset after the last record read.
    pub end: Offset,
    /// The newest value of each key, or the newest records without keys.
    pub items: Vec<(String, Vec<u8>)>,
}

/// What precedes a snapshot in an answer. It is not compressed, as it differs from answer to answer.
#[derive(Debug, Serialize, Deserialize)]
struct SnapshotHead {
    version: u16,
    age_ms: u64,
}

impl Snapshot {
    /// Compresses the snapshot. The entries of servers differ in a few digits, and a hundred routers may request them
    /// from one relay at the same time.
    pub fn compress(&self) -> Bytes {
        let plain = postcard::to_allocvec(self).expect("plain fields");
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&plain).expect("memory");
        Bytes::from(encoder.finish().expect("memory"))
    }

    /// Encodes an answer with a compressed snapshot, which is as of `age` ago.
    ///
    /// ```
    /// use std::time::Duration;
    /// use gateway::shared_read::page::Snapshot;
    /// let entry = |n| (format!("i-{n}"), br#"{"service":"model","slots":192,"state":"ready"}"#.to_vec());
    /// let (snapshot, age) = (Snapshot { era: 1, end: 9, items: (0..500).map(entry).collect() }, Duration::from_millis(40));
    /// let bytes = Snapshot::encode(&snapshot.compress(), age);
    /// assert!(bytes.len() < 5_000);
    /// assert_eq!(Snapshot::decode(&bytes).unwrap(), (snapshot, age));
    /// ```
    pub fn encode(compressed: &[u8], age: Duration) -> Bytes {
        let head = SnapshotHead { version: SNAPSHOT_VERSION, age_ms: age.as_millis() as u64 };
        let mut bytes = postcard::to_allocvec(&head).expect("plain fields");
        bytes.extend_from_slice(compressed);
        Bytes::from(bytes)
    }

    /// Decodes an answer: a snapshot and its age.
    pub fn decode(bytes: &[u8]) -> Result<(Snapshot, Duration), Fault> {
        let unreadable = |e: postcard::Error| Fault::Unreadable(e.to_string());
        let (version, _) = postcard::take_from_bytes::<u16>(bytes).map_err(unreadable)?;
        if version != SNAPSHOT_VERSION {
            return Err(Fault::Version(version));
        }
        let (head, rest) = postcard::take_from_bytes::<SnapshotHead>(bytes).map_err(unreadable)?;
        let mut plain = Vec::new();
        let mut decoder = DeflateDecoder::new(rest).take(MAX_SNAPSHOT_BYTES);
        decoder.read_to_end(&mut plain).map_err(|e| Fault::Unreadable(e.to_string()))?;
        let snapshot = postcard::from_bytes(&plain).map_err(unreadable)?;
        Ok((snapshot, Duration::from_millis(head.age_ms)))
    }
}

/// Notices that one router forwards to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticeBatch {
    version: u16,
    /// The notices.
    pub notices: Vec<Vec<u8>>,
}

impl NoticeBatch {
    /// Creates a batch of this version.
    pub fn new(notices: Vec<Vec<u8>>) -> NoticeBatch {
        NoticeBatch { version: VERSION, notices }
    }

    /// Encodes the request.
    pub fn encode(&self) -> Bytes {
        Bytes::from(postcard::to_allocvec(self).expect("plain fields"))
    }

    /// Decodes a request.
    pub fn decode(bytes: &[u8]) -> Result<NoticeBatch, Fault> {
        let unreadable = |e: postcard::Error| Fault::Unreadable(e.to_string());
        let batch: NoticeBatch = postcard::from_bytes(bytes).map_err(unreadable)?;
        if batch.version == VERSION { Ok(batch) } else { Err(Fault::Version(batch.version)) }
    }
}
