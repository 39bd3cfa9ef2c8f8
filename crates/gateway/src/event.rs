//! Events of a stream, cut out of the bytes in which they arrive.

use bytes::{Buf, Bytes, BytesMut};

/// Number of an event within its stream.
pub type Id = u64;

/// Longest event that is collected. One that grows larger is no event of these services, and
/// collecting on would let one server take the router's memory.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its number, if it has one.
    pub id: Option<Id>,
    /// All of its bytes with the empty line that ends it.
    pub bytes: Bytes,
}

impl Event {
    /// Whether it may come after the last event that the caller has. Ids rise within a stream.
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

/// Collects bytes until an event is complete.
///
/// Only whole events are handed on. A server that dies in the middle of an event would otherwise
/// leave half of it with the caller, and the next server's first event would be glued to it.
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
    scanned: usize,
}

impl Splitter {
    /// Adds bytes as they arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether nothing of an unfinished event is held.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether the unfinished event is longer than any event may be.
    pub fn overflows(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    fn end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let found = self.buffer[from..].windows(2).position(|w| w == b"\n\n");
        self.scanned = self.buffer.len();
        found.map(|at| from + at + 2)
    }
}

impl Iterator for Splitter {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let end = self.end()?;
        let bytes = self.buffer.copy_to_bytes(end);
        self.scanned = 0;
        Some(Event { id: id(&bytes), bytes })
    }
}

fn id(event: &[u8]) -> Option<Id> {
    let line = event.split(|b| *b == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
