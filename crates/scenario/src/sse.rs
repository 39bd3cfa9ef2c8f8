//! Server-sent events, as far as callers meet them.

/// One event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Event {
    /// The `id:` line.
    pub id: Option<String>,
    /// The `event:` line.
    pub event: Option<String>,
    /// The `data:` lines, joined.
    pub data: String,
}

/// Cuts a stream of bytes into events.
#[derive(Debug, Clone, Default)]
pub struct Reader {
    buf: Vec<u8>,
}

impl Reader {
    /// Takes bytes as they come and returns the events they complete.
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

/// `None` for a block of comments only, as servers send to keep a connection alive.
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
