//! The HTTP/1.1 server of all stand-ins; it passes whole requests to one handler function.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::{HeaderMap, StatusCode, header};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server as Http, async_trait};
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::JoinHandle;

/// Maximum size of a request body, in bytes; a longer one is answered with 413.
pub const BODY_LIMIT: usize = 16 << 20;

/// Length of the kernel's queue of connections that the server has not accepted yet.
const BACKLOG: u32 = 1024;

/// A request with its whole body.
#[derive(Debug)]
pub struct Call {
    /// Method, in upper case.
    pub method: String,
    /// Path without the query, not decoded.
    pub path: String,
    /// Query without the question mark; empty if there is none.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// Returns the segments of the path.
    pub fn segments(&self) -> Vec<&str> {
        self.path.trim_matches('/').split('/').collect()
    }

    /// Returns the value of `name` in the query, not decoded, or an empty text.
    pub fn query_text<'a>(&'a self, name: &'a str) -> &'a str {
        let value = |pair: &'a str| pair.split_once('=').filter(|p| p.0 == name);
        self.query.split('&').find_map(value).map_or("", |pair| pair.1)
    }

    /// Returns the value of `name` in the query as a number, or zero.
    pub fn query_number(&self, name: &str) -> u64 {
        self.query_text(name).parse().unwrap_or(0)
    }

    /// Returns the items that `from` and `limit` in the query select; by default all.
    ///
    /// A full list exceeds the body limit of clients, so they read it page by page.
    pub fn page<'a, T: Clone + 'a>(&self, items: impl Iterator<Item = &'a T>) -> Vec<T> {
        let limit = match self.query_number("limit") {
            0 => usize::MAX,
            limit => limit as usize,
        };
        items.skip(self.query_number("from") as usize).take(limit).cloned().collect()
    }

    /// Returns the value of a header, or an empty text.
    pub fn header(&self, name: &str) -> String {
        self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default().to_string()
    }

    /// Decodes the body as JSON; the error is a reply with status 400.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|e| Reply::error(400, &e.to_string()))
    }
}

/// The reply to a request.
#[derive(Debug, PartialEq)]
pub enum Reply {
    /// A status and a JSON body.
    Json(u16, Vec<u8>),
    /// Status 200 with an `ETag` and a JSON body.
    Tagged(String, Vec<u8>),
    /// Status 304 without a body: the caller's `ETag` is current.
    Unchanged,
    /// No reply: the connection is closed.
    CloseConnection,
}

impl Reply {
    /// Creates a JSON reply.
    ///
    /// ```
    /// assert_eq!(fake::serve::Reply::json(200, &1), fake::serve::Reply::Json(200, b"1".to_vec()));
    /// ```
    pub fn json<T: Serialize>(status: u16, body: &T) -> Reply {
        match serde_json::to_vec(body) {
            Ok(raw) => Reply::Json(status, raw),
            Err(e) => Reply::error(500, &e.to_string()),
        }
    }

    /// Creates a JSON reply to a conditional read: 304 if the caller's `If-None-Match` is current.
    pub fn tagged<T: Serialize>(call: &Call, body: &T) -> Reply {
        match serde_json::to_vec(body) {
            Ok(raw) => {
                let tag = format!("\"{:x}\"", xxhash_rust::xxh3::xxh3_64(&raw));
                match call.header("if-none-match") == tag {
                    true => Reply::Unchanged,
                    false => Reply::Tagged(tag, raw),
                }
            }
            Err(e) => Reply::error(500, &e.to_string()),
        }
    }

    /// Creates a reply with status 200 and the body `null`.
    pub fn ok() -> Reply {
        Reply::Json(200, b"null".to_vec())
    }

    /// Creates an error reply with a reason.
    ///
    /// ```
    /// let reply = fake::serve::Reply::error(404, "no session");
    /// assert_eq!(reply, fake::serve::Reply::Json(404, b"{\"error\":\"no session\"}".to_vec()));
    /// ```
    pub fn error(status: u16, reason: &str) -> Reply {
        Reply::json(status, &ErrorBody { error: reason.to_string() })
    }
}

/// Body of an error reply.
#[derive(Debug, Serialize)]
struct ErrorBody {
    error: String,
}

/// A running stand-in; dropping it closes its connections.
#[derive(Debug)]
pub struct Server {
    /// Listening address.
    pub address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl Server {
    /// Returns the base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Aborts `task` when the server is dropped.
    pub fn with_task(mut self, task: JoinHandle<()>) -> Server {
        self.tasks.push(task);
        self
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Binds a listener on `address`; port 0 selects a free port. Requires a tokio runtime.
///
/// The address can be bound again right after the process that used it crashed.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves requests with `answer` on `listener` until the returned server is dropped.
pub fn start<F, A>(listener: TcpListener, answer: F) -> std::io::Result<Server>
where
    F: Fn(Call) -> A + Send + Sync + 'static,
    A: Future<Output = Reply> + Send + 'static,
{
    let address = listener.local_addr()?;
    let acceptor = TcpAcceptor::try_from(listener)?;
    let router = Router::with_path("{**rest}").goal(CallHandler(answer));
    let http = Http::new(acceptor).disable_fuse();
    let task = tokio::spawn(async move { http.serve(router).await });
    Ok(Server { address, tasks: vec![task] })
}

/// Locks the state of a stand-in. Ignores poisoning: the panic that closes a connection
/// ([`Reply::CloseConnection`]) never happens under the lock.
pub fn lock<T>(state: &Arc<Mutex<T>>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Decrements the number of remaining faults; returns false if none is left.
pub fn take_one(left: &mut u32) -> bool {
    let available = *left > 0;
    *left = left.saturating_sub(1);
    available
}

struct CallHandler<F>(F);

#[async_trait]
impl<F, A> Handler for CallHandler<F>
where
    F: Fn(Call) -> A + Send + Sync + 'static,
    A: Future<Output = Reply> + Send + 'static,
{
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let reply = match read(req).await {
            Some(call) => (self.0)(call).await,
            None => Reply::error(413, "the body is too long or was cut off"),
        };
        match reply {
            Reply::Json(status, body) => write(res, status, body),
            Reply::Tagged(tag, body) => {
                write(res, 200, body);
                let _ = res.add_header(header::ETAG, tag, true);
            }
            Reply::Unchanged => {
                res.status_code(StatusCode::NOT_MODIFIED);
            }
            // Unwinding ends the task of this connection, which closes the connection without
            // sending any byte of a reply; the panic hook doesn't run, so nothing is printed.
            Reply::CloseConnection => std::panic::resume_unwind(Box::new("answer dropped")),
        }
    }
}

async fn read(req: &mut Request) -> Option<Call> {
    let body = req.payload_with_max_size(BODY_LIMIT).await.ok()?.clone();
    Some(Call {
        method: req.method().as_str().to_string(),
        path: req.uri().path().to_string(),
        query: req.uri().query().unwrap_or_default().to_string(),
        headers: req.headers().clone(),
        body,
    })
}

fn write(res: &mut Response, status: u16, body: Vec<u8>) {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    res.status_code(status);
    let _ = res.add_header(header::CONTENT_TYPE, "application/json", true);
    if matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) {
        let _ = res.add_header(header::RETRY_AFTER, "1", true);
    }
    let _ = res.write_body(body);
}
