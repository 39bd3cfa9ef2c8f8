//! Events of recent requests, kept in memory for `hyssopctl explain`.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;

/// Largest number of events kept, about 200 bytes each; the oldest are evicted first.
pub const MAX_EVENTS: usize = 20_000;

/// One event of a request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Event {
    /// Milliseconds since the Unix epoch by this VM's clock.
    pub time_ms: u64,
    /// Id of the request.
    pub request: String,
    /// Step at which it happened.
    pub step: &'static str,
    /// What happened, in a short sentence.
    pub text: String,
}

/// The events kept.
#[derive(Debug, Default)]
pub struct Trace {
    events: Mutex<VecDeque<Event>>,
}

impl Trace {
    /// Adds an event.
    ///
    /// ```
    /// let trace = node::trace::Trace::default();
    /// trace.add("gpu-1.5.abc", "open", "session opened at gpu-2");
    /// assert_eq!(trace.find("abc").len(), 1);
    /// ```
    pub fn add(&self, request: &str, step: &'static str, text: impl Into<String>) {
        let time_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
        let event = Event {
            time_ms: time_ms as u64,
            request: request.to_string(),
            step,
            text: text.into(),
        };
        let mut events = self.events.lock().expect("no panic while held");
        if events.len() == MAX_EVENTS {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// Events of a request, oldest first. Ids are compared by their last part, which stays the same
    /// when the request moves to another head.
    ///
    /// ```
    /// assert!(node::trace::Trace::default().find("gpu-1.5.abc").is_empty());
    /// ```
    pub fn find(&self, request: &str) -> Vec<Event> {
        let unique = unique(request);
        let events = self.events.lock().expect("no panic while held");
        events.iter().filter(|e| self::unique(&e.request) == unique).cloned().collect()
    }
}

fn unique(request: &str) -> &str {
    request.rsplit('.').next().unwrap_or(request)
}
