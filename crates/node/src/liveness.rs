//! Detects the loss of a peer while an answer of it is awaited.
//!
//! UDP does not report that the process at the other end has died, and a backend server may need
//! long for a step. So the peer's transport is checked while an answer is awaited, instead of the
//! time that the answer takes: a slow engine with a live agent is never treated as lost.
//!
//! There are two signs of a loss. A closed port is certain: the kernel of the peer's VM answers a
//! datagram with "port unreachable" only if no process holds the port. Silence is a heuristic: a
//! live peer acknowledges a ping within milliseconds.

use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use quinn::Connection;
use tokio::sync::Notify;

/// Pause between two checks of a connection on which an answer is awaited.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Number of checks in a row without a datagram received after which a peer counts as lost: 300 ms.
/// Checks are counted instead of time, so that a process that was itself frozen or had no processor
/// time does not treat its peers as lost.
const MAX_SILENT_CHECKS: u32 = 12;

/// Number of round trips within which a ping has to be acknowledged on a slow link.
const MAX_PING_ROUND_TRIPS: u32 = 4;

/// Pause between two checks of a port while a connection is being opened.
const PORT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Counts the waiters for answers of a peer.
#[derive(Debug, Default)]
pub struct Waiters {
    count: AtomicU32,
    added: Notify,
}

/// Counts as a waiter for the peer until it is dropped.
#[derive(Debug)]
pub struct WaitGuard {
    waiters: Arc<Waiters>,
}

impl Waiters {
    /// Registers a waiter until the returned guard is dropped.
    ///
    /// ```
    /// let waiters = std::sync::Arc::new(node::liveness::Waiters::default());
    /// let wait = waiters.register();
    /// assert!(waiters.any());
    /// drop(wait);
    /// assert!(!waiters.any());
    /// ```
    pub fn register(self: &Arc<Waiters>) -> WaitGuard {
        self.count.fetch_add(1, Ordering::AcqRel);
        self.added.notify_one();
        WaitGuard { waiters: self.clone() }
    }

    /// True while there are waiters.
    pub fn any(&self) -> bool {
        self.count.load(Ordering::Acquire) > 0
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.waiters.count.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A port of a peer, checked through a separate socket.
#[derive(Debug)]
struct Port {
    socket: UdpSocket,
}

impl Port {
    fn new(own_ip: IpAddr, address: SocketAddr) -> Option<Port> {
        let socket = UdpSocket::bind((own_ip, 0)).ok()?;
        socket.connect(address).ok()?;
        socket.set_nonblocking(true).ok()?;
        Some(Port { socket })
    }

    /// True once the peer's kernel has reported that no process holds the port. A live peer drops the
    /// byte that is sent, as it is not a QUIC packet.
    fn is_closed(&self) -> bool {
        let refused = |e: std::io::Error| e.kind() == ErrorKind::ConnectionRefused;
        self.socket.recv(&mut [0]).is_err_and(refused) || self.socket.send(&[0]).is_err_and(refused)
    }
}

/// Resolves once no process holds the peer's port.
pub async fn port_closed(own_ip: IpAddr, address: &str) {
    let port = address.parse().ok().and_then(|a| Port::new(own_ip, a));
    let Some(port) = port else { return std::future::pending().await };
    while !port.is_closed() {
        tokio::time::sleep(PORT_CHECK_INTERVAL).await;
    }
}

/// Closes the connection if its peer is lost while there are waiters, so that all of them fail at
/// once. Returns why the connection was closed.
pub async fn watch(own_ip: IpAddr, connection: Connection, waiters: Arc<Waiters>) -> &'static str {
    let mut last_received = 0;
    let mut silent = 0;
    let mut port = None;
    loop {
        while !waiters.any() {
            tokio::select! {
                () = waiters.added.notified() => {}
                _ = connection.closed() => return "closed",
            }
            (silent, port) = (0, None);
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
        if connection.close_reason().is_some() {
            return "closed";
        }
        let received = connection.stats().udp_rx.datagrams;
        if received != last_received {
            (last_received, silent) = (received, 0);
            continue;
        }
        silent += 1;
        let port = port.get_or_insert_with(|| Port::new(own_ip, connection.remote_address()));
        let why = match () {
            () if port.as_ref().is_some_and(Port::is_closed) => "no process holds its port",
            () if silent >= max_silent_checks(connection.rtt()) => "it gives no sign of life",
            () => {
                // The peer's transport has to acknowledge it, even if the process is busy.
                let _ = connection.send_datagram(Bytes::from_static(&[0]));
                continue;
            }
        };
        connection.close(1u32.into(), why.as_bytes());
        return why;
    }
}

fn max_silent_checks(rtt: Duration) -> u32 {
    let ticks = (rtt * MAX_PING_ROUND_TRIPS).as_millis() / CHECK_INTERVAL.as_millis();
    MAX_SILENT_CHECKS.max(ticks.min(u128::from(u32::MAX)) as u32)
}
