//! Connections to one backend server.
//!
//! A connection serves one request at a time. One that a server closed, or on which bytes came that
//! nobody asked for, is dropped: those bytes would be taken for the next answer.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::HeaderMap;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

/// Time for a connection to be made. Round trips take a few milliseconds; a lost opening packet
/// is sent again after a second, and another server answers sooner than that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which unacknowledged bytes end a connection. A server behind a cut would otherwise
/// keep it for minutes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle connections kept to one server. More are open at once only in a burst.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Longest time an idle connection is used again if its server says nothing of it. Servers close
/// idle ones after a few seconds, and what is sent at that moment is reset.
const DEFAULT_REUSE_TIME: Duration = Duration::from_secs(3);

/// Part of the time a server says it keeps an idle connection, in which it is used again.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// Why there is no connection.
#[derive(Debug, Clone, Display, Error)]
#[display("connecting to {peer}: {why}")]
pub struct Fault {
    /// The server.
    pub peer: SocketAddr,
    /// What went wrong.
    pub why: String,
    /// What kept it from being made.
    pub cause: Cause,
}

/// What keeps a connection from being made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Nothing listens at the address.
    Refused,
    /// Nothing answers there in time.
    Silent,
    /// Anything else.
    Other,
}

/// A connection that is in use by one request.
#[derive(Debug)]
pub struct Connection {
    /// Sends the request.
    pub sender: SendRequest<Full<Bytes>>,
    task: Task,
    /// Whether it was used before.
    pub reused: bool,
}

/// Ends the connection's task when dropped: the server sees the close at once and stops work
/// that nobody waits for.
#[derive(Debug)]
struct Task(AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct Idle {
    link: Connection,
    until: Instant,
}

/// Connections to one server.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: RefCell<Vec<Idle>>,
    /// Connections made.
    pub made: Cell<u64>,
}

impl Pool {
    /// No connections yet.
    pub fn new(address: SocketAddr) -> Pool {
        Pool { address, idle: RefCell::default(), made: Cell::new(0) }
    }

    /// An idle connection, if one may still be used.
    pub fn idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        idle.retain(|i| i.until > now && i.link.sender.is_ready());
        idle.pop().map(|i| i.link)
    }

    /// A connection: an idle one or a new one.
    pub async fn take(&self) -> Result<Connection, Fault> {
        match self.idle() {
            Some(link) => Ok(link),
            None => self.connect().await,
        }
    }

    /// A new connection.
    pub async fn connect(&self) -> Result<Connection, Fault> {
        let fault = |why: String, cause| Fault { peer: self.address, why, cause };
        let stream = match timeout(CONNECT_TIMEOUT, open(self.address)).await {
            Ok(stream) => {
                let cause = |e: &io::Error| match e.kind() {
                    io::ErrorKind::ConnectionRefused => Cause::Refused,
                    io::ErrorKind::TimedOut => Cause::Silent,
                    _ => Cause::Other,
                };
                stream.map_err(|e| fault(e.to_string(), cause(&e)))?
            }
            Err(_) => return Err(fault("no answer in time".to_owned(), Cause::Silent)),
        };
        let (sender, connection) = Builder::new()
            .max_headers(64)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| fault(e.to_string(), Cause::Other))?;
        let peer = self.address;
        let task = tokio::task::spawn_local(async move {
            if let Err(e) = connection.await {
                log::debug!("gateway: connection to {peer} ended: {e}");
            }
        });
        self.made.set(self.made.get() + 1);
        Ok(Connection { sender, task: Task(task.abort_handle()), reused: false })
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn keep(&self, mut link: Connection, headers: &HeaderMap) {
        let closes = headers
            .get(hyper::header::CONNECTION)
            .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        let mut idle = self.idle.borrow_mut();
        if closes || link.sender.is_closed() || idle.len() >= MAX_IDLE_CONNECTIONS {
            return;
        }
        link.reused = true;
        idle.push(Idle { link, until: Instant::now() + reuse_time(headers) });
    }

    /// Drops all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// How long an idle connection is used again.
fn reuse_time(headers: &HeaderMap) -> Duration {
    let announced = headers.get("keep-alive").and_then(|v| v.to_str().ok()).and_then(|text| {
        let seconds = text.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
        seconds.trim().parse::<u32>().ok()
    });
    announced.map_or(DEFAULT_REUSE_TIME, |s| {
        Duration::from_secs(s.into()).mul_f64(KEEP_ALIVE_FRACTION).min(DEFAULT_REUSE_TIME * 4)
    })
}

async fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_nodelay(true)?;
    let stream = socket.connect(address).await?;
    if let Err(e) = SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)) {
        log::debug!("gateway: no limit for unacknowledged bytes to {address}: {e}");
    }
    Ok(stream)
}

impl Connection {
    /// Whether the server closed it.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.task.0.is_finished()
    }
}
