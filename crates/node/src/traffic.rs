//! Counts the bytes that this process has sent and received on its links.

use std::sync::{Arc, Mutex};

use quinn::Connection;

/// Bytes in UDP datagrams, without the headers of IP and UDP.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Bytes {
    /// Sent.
    pub sent: u64,
    /// Received.
    pub received: u64,
}

/// The links whose bytes are counted.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    open: Vec<Connection>,
    closed: Bytes,
}

impl Traffic {
    /// Counts a link from now on, and removes the closed links, whose bytes stay counted.
    pub fn add(&self, connection: Connection) {
        let mut inner = self.inner.lock().expect("no panic while held");
        inner.remove_closed();
        inner.open.push(connection);
    }

    /// Bytes of all links so far, open and closed.
    ///
    /// ```
    /// assert_eq!(node::traffic::Traffic::default().total().sent, 0);
    /// ```
    pub fn total(&self) -> Bytes {
        let mut inner = self.inner.lock().expect("no panic while held");
        inner.remove_closed();
        inner.open.iter().fold(inner.closed, sum)
    }
}

impl Inner {
    fn remove_closed(&mut self) {
        let closed = self.open.extract_if(.., |c| c.close_reason().is_some());
        self.closed = closed.fold(self.closed, |total, c| sum(total, &c));
    }
}

fn sum(total: Bytes, connection: &Connection) -> Bytes {
    let stats = connection.stats();
    Bytes { sent: total.sent + stats.udp_tx.bytes, received: total.received + stats.udp_rx.bytes }
}
