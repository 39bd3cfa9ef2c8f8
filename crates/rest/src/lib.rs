//! A client for JSON over HTTP/1.1, used for the platform and the backend servers.
//!
//! Clones of a client share its pool of idle connections. Every error tells whether the peer may have
//! received the request, since only a request that was never sent is certain not to have run.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full};
use hyper::body::Body;
use hyper::{HeaderMap, Method, Request, StatusCode, Uri, header};
use hyper_util::client::legacy::{Client as Pool, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use serde::{Serialize, de::DeserializeOwned};

/// Longest answer body that is read, in bytes. A longer one is an error.
pub const BODY_LIMIT: usize = 16 << 20;

static SENT: AtomicU64 = AtomicU64::new(0);
static RECEIVED: AtomicU64 = AtomicU64::new(0);

/// Bytes that all clients of this process have sent and received: bodies and header lines, without
/// the overhead of TCP and IP.
///
/// ```
/// assert_eq!(rest::traffic(), (0, 0));
/// ```
pub fn traffic() -> (u64, u64) {
    (SENT.load(Ordering::Relaxed), RECEIVED.load(Ordering::Relaxed))
}

/// Size of a start line and header lines, in bytes.
fn head_size(start: usize, headers: &HeaderMap) -> usize {
    let lines = headers.iter().map(|(name, value)| name.as_str().len() + value.len() + 4);
    start + lines.sum::<usize>() + 4
}

/// Why a call returned no usable answer.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// No connection could be opened: the peer has not received the request.
    #[display("could not connect to {peer}: {reason}")]
    Connect {
        /// Address that was called.
        peer: String,
        /// Error of the transport.
        reason: String,
    },
    /// The connection failed or timed out after the request may have been sent.
    #[display("no answer from {peer}: {reason}")]
    Lost {
        /// Address that was called.
        peer: String,
        /// Error of the transport, or the timeout.
        reason: String,
    },
    /// The peer answered with a status other than 2xx.
    #[display("{peer} answered {status}: {body}")]
    Status {
        /// Address that was called.
        peer: String,
        /// HTTP status.
        status: u16,
        /// Start of the body.
        body: String,
    },
    /// The body could not be decoded.
    #[display("answer of {peer} does not decode: {reason}")]
    Decode {
        /// Address that was called.
        peer: String,
        /// Error of the decoder.
        reason: String,
    },
}

impl Error {
    /// True if the peer can't have acted on the request.
    ///
    /// ```
    /// let e = rest::Error::Connect { peer: "127.0.0.1:1".into(), reason: "refused".into() };
    /// assert!(e.unsent());
    /// ```
    pub fn unsent(&self) -> bool {
        matches!(self, Error::Connect { .. })
    }

    /// The HTTP status, if there was an answer other than 2xx.
    ///
    /// ```
    /// let e = rest::Error::Connect { peer: "127.0.0.1:1".into(), reason: "refused".into() };
    /// assert_eq!(e.status(), None);
    /// ```
    pub fn status(&self) -> Option<u16> {
        match self {
            Error::Status { status, .. } => Some(*status),
            _ => None,
        }
    }
}

/// An answer that has not been decoded.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Header lines in order; values that are not UTF-8 are left out.
    pub headers: Vec<(String, String)>,
    /// The body, at most [`BODY_LIMIT`] bytes.
    pub body: Bytes,
}

/// A pooled HTTP/1.1 client for one `http://IP:PORT` peer.
#[derive(Debug, Clone)]
pub struct Client {
    base: String,
    pool: Pool<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Client {
    /// Creates a client for `base` (`http://127.0.0.1:9000`); each call fails after `timeout`.
    ///
    /// ```
    /// let client = rest::Client::new("http://127.0.0.1:9000", std::time::Duration::from_secs(2));
    /// assert_eq!(client.base(), "http://127.0.0.1:9000");
    /// ```
    pub fn new(base: &str, timeout: Duration) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(500).min(timeout)));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(20))
            // A transparent retry would run a write twice if the pooled connection fails after the
            // peer has read the request.
            .retry_canceled_requests(false)
            .build(connector);
        Client { base: base.trim_end_matches('/').to_string(), pool, timeout }
    }

    /// A client of the same peer and pool with another timeout.
    pub fn with_timeout(&self, timeout: Duration) -> Client {
        Client { timeout, ..self.clone() }
    }

    /// Address that this client calls.
    pub fn base(&self) -> &str {
        &self.base
    }

    /// Sends a request and returns the whole answer, whatever its status.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(String, String)],
        body: Bytes,
    ) -> Result<Answer, Error> {
        let req = self.build(method, path, headers, body)?;
        match tokio::time::timeout(self.timeout, self.exchange(req)).await {
            Ok(answer) => answer,
            Err(_) => Err(self.lost_error(format!("no answer within {:?}", self.timeout))),
        }
    }

    /// Sends a GET request and decodes the JSON answer.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.json("GET", path, &()).await
    }

    /// Sends a POST request with a JSON body and decodes the JSON answer.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, Error> {
        self.json("POST", path, body).await
    }

    /// Sends a request with a JSON body and decodes the JSON answer; an empty one decodes as `null`.
    pub async fn json<B: Serialize, T: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: &B,
    ) -> Result<T, Error> {
        let body = match method {
            "GET" | "DELETE" => Bytes::new(),
            _ => serde_json::to_vec(body).map_err(|e| self.decode_error(e))?.into(),
        };
        let headers = [(header::CONTENT_TYPE.to_string(), "application/json".to_string())];
        let answer = self.send(method, path, &headers, body).await?;
        self.decoded(&answer)
    }

    /// Decodes the JSON of an answer with a 2xx status; an empty body decodes as `null`.
    pub fn decoded<T: DeserializeOwned>(&self, answer: &Answer) -> Result<T, Error> {
        if !StatusCode::from_u16(answer.status).is_ok_and(|s| s.is_success()) {
            let body = String::from_utf8_lossy(&answer.body).chars().take(200).collect();
            return Err(Error::Status { peer: self.base.clone(), status: answer.status, body });
        }
        let raw: &[u8] = if answer.body.is_empty() { b"null" } else { &answer.body };
        serde_json::from_slice(raw).map_err(|e| self.decode_error(e))
    }

    fn build(
        &self,
        method: &str,
        path: &str,
        headers: &[(String, String)],
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let bad = |e: String| Error::Connect { peer: self.base.clone(), reason: e };
        let uri: Uri = format!("{}{path}", self.base).parse().map_err(|e| bad(format!("{e}")))?;
        let method: Method = method.parse().map_err(|e| bad(format!("{e}")))?;
        let mut req = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            req = req.header(name, value);
        }
        req.body(Full::new(body)).map_err(|e| bad(e.to_string()))
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<Answer, Error> {
        let start = req.method().as_str().len() + req.uri().path().len() + 32;
        let size = head_size(start, req.headers()) as u64 + req.body().size_hint().lower();
        SENT.fetch_add(size, Ordering::Relaxed);
        let res = self.pool.request(req).await.map_err(|e| match e.is_connect() {
            true => Error::Connect { peer: self.base.clone(), reason: e.to_string() },
            false => self.lost_error(e.to_string()),
        })?;
        let status = res.status().as_u16();
        let headers = res
            .headers()
            .iter()
            .filter_map(|(k, v)| Some((k.to_string(), v.to_str().ok()?.to_string())))
            .collect();
        let head = head_size(20, res.headers()) as u64;
        let limited = http_body_util::Limited::new(res.into_body(), BODY_LIMIT);
        let body = limited.collect().await.map_err(|e| self.lost_error(e.to_string()))?.to_bytes();
        RECEIVED.fetch_add(head + body.len() as u64, Ordering::Relaxed);
        Ok(Answer { status, headers, body })
    }

    fn lost_error(&self, reason: String) -> Error {
        Error::Lost { peer: self.base.clone(), reason }
    }

    fn decode_error(&self, e: serde_json::Error) -> Error {
        Error::Decode { peer: self.base.clone(), reason: e.to_string() }
    }
}
