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
    /// Whether it is the next event after the last one that the caller received. Ids increase by one within a stream; an
    /// event without one belongs to no stream.
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
            (None, Some(_)) => true,
            (_, None) => false,
        }
    }
}

/// Buffers bytes until an event is complete.
///
/// Comments are returned with the event that follows them, so that comments without end are an event that is too long.
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
    /// Bytes of complete comments before the event.
    comments: usize,
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

    /// Whether only complete comments are buffered.
    pub fn holds_comments_only(&self) -> bool {
        !self.buffer.is_empty() && self.comments == self.buffer.len()
    }

    /// Whether the incomplete event is longer than [`MAX_EVENT_BYTES`].
    pub fn overflows(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns the end of the next event or comment after the known comments.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3).max(self.comments);
        let found = self.buffer[from..].windows(2).position(|w| w == b"\n\n");
        let end = found.map(|at| from + at + 2);
        self.scanned = end.unwrap_or(self.buffer.len());
        end
    }
}

impl Iterator for Splitter {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        let mut end = self.find_end()?;
        while is_comment(&self.buffer[self.comments..end]) {
            self.comments = end;
            end = self.find_end()?;
        }
        let bytes = self.buffer.copy_to_bytes(end);
        (self.scanned, self.comments) = (0, 0);
        Some(Event { id: id(&bytes), bytes })
    }
}

/// Whether all lines are comments or empty.
fn is_comment(lines: &[u8]) -> bool {
    lines.split(|b| *b == b'\n').all(|line| line.is_empty() || line.starts_with(b":"))
}

fn id(event: &[u8]) -> Option<Id> {
    let line = event.split(|b| *b == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
