//! The HTTP client of callers: any router, authorization per workspace, streamed answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::{Client as Pool, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

/// Time-out for the head of an answer; above every deadline in the scenarios.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(40);
/// Shortest pause before a caller retries.
pub const MIN_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause before a caller retries, whatever the refusal demands.
pub const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Interval between two readiness probes of a router by the load balancer.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time-out of a readiness probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// A refusal, `application/problem+json`.
#[derive(Debug, Clone, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// Summary in one line.
    pub title: String,
    /// Details.
    pub detail: String,
    /// `not-run`, `unknown` or `refused`.
    pub outcome: String,
    /// Cause.
    pub cause: String,
    /// Step at which the refusal arose.
    pub step: String,
    /// Peer at which the refusal arose.
    pub peer: String,
    /// Milliseconds after which to retry, if a retry makes sense.
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Decodes a refusal; any other body gives a problem without an outcome. With a status of 0
    /// the status in the body is kept, as for a refusal within a stream.
    ///
    /// ```
    /// let problem = scenario::caller::Problem::read(503, b"{\"outcome\":\"not-run\"}");
    /// assert_eq!((problem.status, problem.outcome.as_str()), (503, "not-run"));
    /// ```
    pub fn read(status: u16, body: &[u8]) -> Problem {
        let mut problem: Problem = serde_json::from_slice(body).unwrap_or_else(|_| Problem {
            detail: String::from_utf8_lossy(body).chars().take(120).collect(),
            ..Problem::default()
        });
        if status != 0 {
            problem.status = status;
        }
        problem
    }

    /// Returns a line for a table of failures.
    pub fn line(&self) -> String {
        let parts = [&self.outcome, &self.cause, &self.title, &self.detail, &self.step, &self.peer];
        let parts: Vec<&str> = parts.iter().map(|p| p.as_str()).filter(|p| !p.is_empty()).collect();
        format!("{} {}", self.status, parts.join(", "))
    }

    /// Returns the time to wait before a retry; `None` if a retry makes no sense.
    pub fn pause(&self) -> Option<Duration> {
        let ms = self.retry_after_ms?;
        Some(Duration::from_millis(ms).clamp(MIN_PAUSE, MAX_PAUSE))
    }
}

/// State shared by all callers of a scenario.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Base URLs of the routers, each `http://IP:PORT`.
    pub routers: Vec<String>,
    /// Result of the last readiness probe (`/readyz`) of each router.
    ready: Arc<Vec<AtomicBool>>,
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Creates the callers of these routers.
    pub fn new(routers: Vec<String>) -> Caller {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(500)));
        let pool = Pool::builder(TokioExecutor::new())
            // A pooled connection from before a router's restart fails on its next use, which
            // would count as a lost request although the router dropped none.
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        let ready = Arc::new(routers.iter().map(|_| AtomicBool::new(true)).collect());
        Caller { routers, ready, pool }
    }

    /// Returns a router by number, modulo the number of routers. As behind a load balancer, a
    /// router that is not ready is skipped while another one is ready.
    pub fn router(&self, number: usize) -> &str {
        let count = self.routers.len();
        let turn = (number..number + count).map(|n| n % count);
        let ready = |n: &usize| self.ready[*n].load(Ordering::Relaxed);
        let chosen = turn.clone().find(ready).unwrap_or(number % count);
        &self.routers[chosen]
    }

    /// Probes the readiness of the routers as a load balancer does, until the future is dropped.
    pub async fn probe_readiness(self) {
        let probes = self.routers.iter().zip(self.ready.iter()).map(|(base, ready)| async {
            let http = rest::Client::new(base, PROBE_TIMEOUT);
            loop {
                let probe = http.send("GET", "/readyz", &[], Bytes::new()).await;
                ready.store(probe.is_ok_and(|a| a.status == 200), Ordering::Relaxed);
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
        });
        futures_util::future::join_all(probes).await;
    }

    /// Sends a request and returns the head of the answer with its body stream.
    pub async fn send(
        &self,
        method: &str,
        uri: &str,
        headers: &[(&str, String)],
        body: Bytes,
    ) -> Result<Response<Incoming>, rest::Error> {
        let mut req = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            req = req.header(*name, value);
        }
        let peer = uri.to_string();
        let req = req
            .body(Full::new(body))
            .map_err(|e| rest::Error::Connect { peer: peer.clone(), reason: e.to_string() })?;
        match tokio::time::timeout(ANSWER_TIMEOUT, self.pool.request(req)).await {
            Ok(Ok(res)) => Ok(res),
            Ok(Err(e)) if e.is_connect() => {
                Err(rest::Error::Connect { peer, reason: e.to_string() })
            }
            Ok(Err(e)) => Err(rest::Error::Lost { peer, reason: e.to_string() }),
            Err(_) => Err(rest::Error::Lost {
                peer,
                reason: format!("no answer within {ANSWER_TIMEOUT:?}"),
            }),
        }
    }
}

/// Returns a header of an answer.
pub fn header(res: &Response<Incoming>, name: &str) -> Option<String> {
    res.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_string)
}
