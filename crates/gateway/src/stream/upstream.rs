//! A stream of events as it arrives along a path.

use std::time::Duration;

use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};

use crate::event::{Event, Id, Splitter};
use crate::exchange::Answer;
use crate::route::Path;

/// Weight of the newest pause in the moving average.
const NEWEST_PAUSE_WEIGHT: f64 = 0.2;

/// A path along which a stream arrives.
pub(super) struct Upstream {
    pub(super) path: Path,
    pub(super) answer: Box<Answer>,
    pub(super) splitter: Splitter,
    pub(super) started: Instant,
    /// Moving average of the pause between two events.
    pub(super) pause: Duration,
    /// The pause before the bytes that were received last, until it is used.
    pub(super) observed: Option<Duration>,
    /// When bytes were last received, or when waiting for them began.
    pub(super) since: Instant,
    /// Whether the connection to the first server broke.
    pub(super) disconnected: bool,
}

impl Upstream {
    /// Returns the next event, which must follow `last`; waits until the deadline `until` at most. Cancel-safe: no
    /// bytes are lost if the future is dropped.
    pub(super) async fn event(&mut self, last: Option<Id>, until: Instant) -> Next {
        loop {
            match self.splitter.next() {
                Some(event) if event.follows(last) => return Next::Event(event),
                Some(_) => return Next::Broken("an event is missing"),
                None if self.splitter.overflows() => return Next::Broken("an event is too long"),
                None => {}
            }
            match timeout_at(until, self.answer.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        self.splitter.push(data);
                        self.record_pause();
                    }
                }
                Ok(Some(Err(_))) => {
                    self.disconnected = true;
                    return Next::Broken("the connection to the first server broke");
                }
                Ok(None) if self.splitter.is_empty() || self.splitter.holds_comments_only() => {
                    return Next::End;
                }
                Ok(None) => {
                    self.disconnected |= self.answer.ends_with_connection();
                    return Next::Broken("the stream ended in the middle of an event");
                }
                Err(_) => return Next::Late,
            }
        }
    }

    /// Returns the item that follows the last event: the end of the stream, unless its server may have ended early.
    pub(super) async fn end(&mut self) -> Next {
        match self.answer.may_be_cut().await {
            true => {
                self.disconnected = true;
                Next::Broken("the first server ended with the connection")
            }
            false => Next::End,
        }
    }

    fn record_pause(&mut self) {
        let pause = self.since.elapsed();
        self.observed = Some(pause);
        self.pause =
            self.pause.mul_f64(1.0 - NEWEST_PAUSE_WEIGHT) + pause.mul_f64(NEWEST_PAUSE_WEIGHT);
        self.since = Instant::now();
    }
}

/// Next item of a stream.
pub(super) enum Next {
    Event(Event),
    /// The stream is complete.
    End,
    /// No event for too long, but the servers may still be alive.
    Silent(&'static str),
    /// A server of the path is too slow, and the stream may leave it.
    Slow,
    /// The stream is broken and will send no more events.
    Broken(&'static str),
    /// The deadline of the caller or the route has passed.
    Late,
}
