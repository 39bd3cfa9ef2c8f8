//! Server-sent events, as far as callers need them.

/// An event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Event {
    /// Value of the `id:` line.
    pub id: Option<String>,
    /// Value of the `event:` line.
    pub event: Option<String>,
    /// Values of the `data:` lines, joined by line feeds.
    pub data: String,
}

/// Parses events from a stream of bytes.
#[derive(Debug, Clone, Default)]
pub struct Reader {
    buf: Vec<u8>,
}

impl Reader {
    /// Adds bytes and returns the events that they complete.
    ///
    /// ```
    /// let mut rdr = scenario::sse::Reader::default();
    /// assert!(rdr.push(b"id: a:1\nda").is_empty());
    /// let events = rdr.push(b"ta: x\n\n");
    /// assert_eq!((events[0].id.as_deref(), events[0].data.as_str()), (Some("a:1"), "x"));
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.buf.extend(bytes.iter().filter(|b| **b != b'\r'));
        let mut events = Vec::new();
        while let Some(end) = self.buf.windows(2).position(|w| w == b"\n\n") {
            let block: Vec<u8> = self.buf.drain(..end + 2).collect();
            events.extend(event(&String::from_utf8_lossy(&block)));
        }
        events
    }
}

/// Parses an event. Returns `None` for a block of comments only, which servers send to keep a
/// connection alive.
fn event(block: &str) -> Option<Event> {
    let mut event = Event::default();
    let mut data = Vec::new();
    for line in block.lines() {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => event.id = Some(value.to_string()),
            "event" => event.event = Some(value.to_string()),
            "data" => data.push(value),
            _ => {}
        }
    }
    event.data = data.join("\n");
    (!data.is_empty() || event.event.is_some()).then_some(event)
}
