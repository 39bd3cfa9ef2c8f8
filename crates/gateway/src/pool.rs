//! Connection pool of one backend server.
//!
//! A connection serves one request at a time. One that the server closed, or on which unsolicited bytes were received,
//! is dropped: those bytes would be read as the next answer.
//!
//! What a peer may send is bounded: until the head of an answer is complete by [`MAX_HEAD_BYTES`], and each body by the
//! limit of [`read_body`] or of the reader that it is passed to.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

use crate::guard::{Allowance, Guard};

/// Time-out for establishing a connection. Round trips take a few milliseconds; a lost SYN packet is retransmitted
/// after a second, and another server answers sooner than that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which unacknowledged bytes close a connection. Without it, a connection to a server behind a network
/// partition would stay open for minutes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Limit on the idle connections kept per server. More are open at the same time only during a burst.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Time for which an idle connection is reused if its server announces no time-out. Servers close idle connections
/// after a few seconds, and a request sent at that moment is reset.
const DEFAULT_REUSE_TIME: Duration = Duration::from_secs(3);

/// Fraction of the idle time-out announced by a server for which a connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// Longest head of an answer, interim heads included. Reading interim heads without a limit would leave the thread to
/// nothing else, as the parser goes on while bytes arrive.
pub const MAX_HEAD_BYTES: usize = 64 << 10;

/// Why no connection could be established.
#[derive(Debug, Clone, Display, Error)]
#[display("connecting to {peer}: {why}")]
pub struct Fault {
    /// The server.
    pub peer: SocketAddr,
    /// Description of the error.
    pub why: String,
    /// Kind of the error.
    pub cause: Cause,
}

/// Kind of error that prevents a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Nothing listens at the address.
    Refused,
    /// Nothing answers there in time.
    Silent,
    /// Anything else.
    Other,
}

/// A connection in use by one request.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Bytes that the peer may still send before the head of its answer is complete.
    allowance: Rc<Allowance>,
    task: Task,
    /// Whether it was used before.
    pub reused: bool,
}

/// Task of a connection, aborted when dropped: the server sees the close at once and stops work that no caller waits
/// for.
#[derive(Debug)]
struct Task(AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// Pool of connections to one server.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: RefCell<Vec<Idle>>,
    /// Number of connections established.
    pub connection_count: Cell<u64>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(address: SocketAddr) -> Pool {
        Pool { address, idle: RefCell::default(), connection_count: Cell::new(0) }
    }

    /// Takes an idle connection, if one can still be used.
    pub fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        idle.retain(|i| i.until > now && i.connection.sender.is_ready());
        idle.pop().map(|i| i.connection)
    }

    /// Takes an idle connection or establishes a new one.
    pub async fn take(&self) -> Result<Connection, Fault> {
        match self.take_idle() {
            Some(connection) => Ok(connection),
            None => self.connect().await,
        }
    }

    /// Establishes a new connection.
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
        let allowance = Rc::new(Allowance::default());
        let (sender, connection) = Builder::new()
            .max_headers(64)
            .handshake(TokioIo::new(Guard::new(stream, allowance.clone())))
            .await
            .map_err(|e| fault(e.to_string(), Cause::Other))?;
        let peer = self.address;
        let task = tokio::task::spawn_local(async move {
            if let Err(e) = connection.await {
                log::debug!("gateway: connection to {peer} ended: {e}");
            }
        });
        self.connection_count.set(self.connection_count.get() + 1);
        Ok(Connection { sender, allowance, task: Task(task.abort_handle()), reused: false })
    }

    /// Returns a connection to the pool after its answer was read to the end.
    pub fn keep(&self, mut connection: Connection, headers: &HeaderMap) {
        let closes = headers
            .get(hyper::header::CONNECTION)
            .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
        let mut idle = self.idle.borrow_mut();
        if closes || connection.sender.is_closed() || idle.len() >= MAX_IDLE_CONNECTIONS {
            return;
        }
        connection.reused = true;
        idle.push(Idle { connection, until: Instant::now() + reuse_time(headers) });
    }

    /// Drops all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }
}

/// Returns for how long an idle connection is reused.
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
        log::debug!("gateway: TCP_USER_TIMEOUT not set for {address}: {e}");
    }
    Ok(stream)
}

/// Reads the complete body of an answer of at most `limit` bytes.
pub async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, String> {
    let body = Limited::new(body, limit).collect().await.map_err(|e| e.to_string())?;
    Ok(body.to_bytes())
}

impl Connection {
    /// Sends a request and returns the head of the answer. The error holds the request if nothing of it was sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.allowance.limit(MAX_HEAD_BYTES);
        let answer = self.sender.try_send_request(request).await;
        self.allowance.lift();
        answer
    }

    /// Whether the server closed it.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.task.0.is_finished()
    }
}
