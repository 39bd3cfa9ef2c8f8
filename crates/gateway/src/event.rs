//! Splitting a stream of bytes into server-sent events.

use bytes::{Buf, Bytes, BytesMut};

/// Number of an event within its stream.
pub type Id = u64;

/// Longest event that is buffered. The events of these services are shorter; buffering more would let one server use up
/// the router's memory.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its number, if it has one.
    pub id: Option<Id>,
    /// All of its bytes, including the empty line that ends it.
    pub bytes: Bytes,
}

impl Event {
    /// Whether it is the next event after the last one that the caller received. Ids increase by one within a stream.
    ///
    /// ```
    /// let mut splitter = gateway::event::Splitter::default();
    /// splitter.push(b"id: 4\ndata: a\n\n");
    /// let event = splitter.next().unwrap();
    /// assert!(event.follows(None) && event.follows(Some(3)));
    /// assert!(!event.follows(Some(4)));
    /// ```
    pub fn follows(&self, last: Option<Id>) -> bool {
        match (last, self.id) {
            (Some(last), Some(id)) => id == last + 1,
            (Some(_), None) => false,
            (None, _) => true,
        }
    }
}

/// Buffers bytes until an event is complete.
///
/// Only complete events are returned. If a server died in the middle of an event, the caller would otherwise get a part
/// of it, and the first event of the next server would be appended to that part.
///
/// ```
/// let mut splitter = gateway::event::Splitter::default();
/// splitter.push(b"id: 4\ndata: a\n\nid: 5\nda");
/// let event = splitter.next().unwrap();
/// assert_eq!(event.id, Some(4));
/// assert!(splitter.next().is_none());
/// assert!(!splitter.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes already searched for the end of the event.
    scanned: usize,
}

impl Splitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether no part of an incomplete event is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether the incomplete event is longer than [`MAX_EVENT_BYTES`].
    pub fn overflows(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    fn find_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let found = self.buffer[from..].windows(2).position(|w| w == b"\n\n");
        self.scanned = self.buffer.len();
        found.map(|at| from + at + 2)
    }
}

impl Iterator for Splitter {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buffer.copy_to_bytes(end);
        self.scanned = 0;
        Some(Event { id: id(&bytes), bytes })
    }
}

fn id(event: &[u8]) -> Option<Id> {
    let line = event.split(|b| *b == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
