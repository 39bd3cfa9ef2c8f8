//! Noticing that a peer has gone while something waits for its answer.
//!
//! UDP tells nobody that the process at the other end has died, and a backend
//! server may rightly take long for a step. So the transport is asked for signs
//! of life while an answer is awaited, not the answer itself: a slow engine
//! beside a live agent is never taken for a loss.
//!
//! Two signs are looked at. A closed port is certain: the kernel of the peer's
//! VM answers a datagram with "port unreachable" only when no process holds the
//! port. Silence is a guess: a live peer acknowledges a ping within milliseconds.

use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use quinn::Connection;
use tokio::sync::Notify;

/// Pause between two looks at a connection on which something waits.
const TICK: Duration = Duration::from_millis(25);

/// Looks in a row without a sign of life after which a peer counts as lost:
/// 300 ms. Looks are counted, not time, so that a process that was itself
/// frozen or starved of its processor does not take its peers for dead.
const SILENT: u32 = 12;

/// Round trips that a ping may take on a slow link before silence counts.
const ROUND_TRIPS: u32 = 4;

/// Pause between two looks at a port while a connection is being made.
const PORT_TICK: Duration = Duration::from_millis(5);

/// Counts who waits for a peer.
#[derive(Debug, Default)]
pub struct Waiters {
    count: AtomicU32,
    more: Notify,
}

/// Somebody waits for the peer until this is dropped.
#[derive(Debug)]
pub struct WaitGuard {
    waits: Arc<Waiters>,
}

impl Waiters {
    /// Counts one more until the answer is dropped.
    ///
    /// ```
    /// let waits = std::sync::Arc::new(node::liveness::Waiters::default());
    /// let wait = waits.register();
    /// assert!(waits.any());
    /// drop(wait);
    /// assert!(!waits.any());
    /// ```
    pub fn register(self: &Arc<Waiters>) -> WaitGuard {
        self.count.fetch_add(1, Ordering::AcqRel);
        self.more.notify_one();
        WaitGuard { waits: self.clone() }
    }

    /// True while somebody waits.
    pub fn any(&self) -> bool {
        self.count.load(Ordering::Acquire) > 0
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.waits.count.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A port of a peer, looked at through a socket of its own.
#[derive(Debug)]
struct Port {
    socket: UdpSocket,
}

impl Port {
    fn new(own: IpAddr, address: SocketAddr) -> Option<Port> {
        let socket = UdpSocket::bind((own, 0)).ok()?;
        socket.connect(address).ok()?;
        socket.set_nonblocking(true).ok()?;
        Some(Port { socket })
    }

    /// True once the peer's kernel has said that no process holds the port. A
    /// live peer drops the byte, which is no QUIC packet.
    fn closed(&self) -> bool {
        let refused = |e: std::io::Error| e.kind() == ErrorKind::ConnectionRefused;
        self.socket.recv(&mut [0]).is_err_and(refused) || self.socket.send(&[0]).is_err_and(refused)
    }
}

/// Resolves when no process holds the peer's port.
pub async fn port_closed(own: IpAddr, address: &str) {
    let port = address.parse().ok().and_then(|a| Port::new(own, a));
    let Some(port) = port else { return std::future::pending().await };
    while !port.closed() {
        tokio::time::sleep(PORT_TICK).await;
    }
}

/// Closes the connection when its peer has gone while somebody waits, so that
/// all who wait hear of it at once. Returns why.
pub async fn watch(own: IpAddr, connection: Connection, waits: Arc<Waiters>) -> &'static str {
    let mut heard = 0;
    let mut silent = 0;
    let mut port = None;
    loop {
        while !waits.any() {
            tokio::select! {
                () = waits.more.notified() => {}
                _ = connection.closed() => return "closed",
            }
            (silent, port) = (0, None);
        }
        tokio::time::sleep(TICK).await;
        if connection.close_reason().is_some() {
            return "closed";
        }
        let received = connection.stats().udp_rx.datagrams;
        if received != heard {
            (heard, silent) = (received, 0);
            continue;
        }
        silent += 1;
        let port = port.get_or_insert_with(|| Port::new(own, connection.remote_address()));
        let why = match () {
            () if port.as_ref().is_some_and(Port::closed) => "no process holds its port",
            () if silent >= limit(connection.rtt()) => "it gives no sign of life",
            () => {
                // An acknowledgement is owed for it, whatever the peer is busy with.
                let _ = connection.send_datagram(Bytes::from_static(&[0]));
                continue;
            }
        };
        connection.close(1u32.into(), why.as_bytes());
        return why;
    }
}

fn limit(rtt: Duration) -> u32 {
    let ticks = (rtt * ROUND_TRIPS).as_millis() / TICK.as_millis();
    SILENT.max(ticks.min(u128::from(u32::MAX)) as u32)
}
