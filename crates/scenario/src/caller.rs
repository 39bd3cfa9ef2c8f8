//! HTTP as callers speak it: through any router, by workspace, streams read as they come.

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

/// Longest wait for the head of an answer; above every deadline a scenario sets.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(40);
/// Shortest pause before a caller comes back.
pub const MIN_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause before a caller comes back, whatever the refusal asks for.
pub const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Pause between two looks of the balancer at a router.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time a router has to answer the balancer's look.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// A refusal, `application/problem+json`.
#[derive(Debug, Clone, Default, Deserialize, PartialEq)]
#[serde(default)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// One line.
    pub title: String,
    /// More of it.
    pub detail: String,
    /// `not-run`, `unknown` or `refused`.
    pub outcome: String,
    /// Why.
    pub cause: String,
    /// Step at which it arose.
    pub step: String,
    /// Peer at which it arose.
    pub peer: String,
    /// When coming back makes sense.
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Reads a refusal; a body of another kind becomes a problem without an outcome.
    /// A status of 0 leaves the one in the body, as for a refusal inside a stream.
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

    /// One line for a table of failures.
    pub fn line(&self) -> String {
        let parts = [&self.outcome, &self.cause, &self.title, &self.detail, &self.step, &self.peer];
        let parts: Vec<&str> = parts.iter().map(|p| p.as_str()).filter(|p| !p.is_empty()).collect();
        format!("{} {}", self.status, parts.join(", "))
    }

    /// How long to wait before coming back; `None` when that makes no sense.
    pub fn pause(&self) -> Option<Duration> {
        let ms = self.retry_after_ms?;
        Some(Duration::from_millis(ms).clamp(MIN_PAUSE, MAX_PAUSE))
    }
}

/// What all callers of a scenario share.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Routers, each `http://IP:PORT`.
    pub routers: Vec<String>,
    /// What the last look at each router's `/readyz` said.
    ready: Arc<Vec<AtomicBool>>,
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Callers of these routers.
    pub fn new(routers: Vec<String>) -> Caller {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(500)));
        let pool = Pool::builder(TokioExecutor::new())
            // A connection kept from before a router's restart fails on its next use.
            // That failure would count as a lost request though the router cut none.
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        let ready = Arc::new(routers.iter().map(|_| AtomicBool::new(true)).collect());
        Caller { routers, ready, pool }
    }

    /// A router by number; any number will do. A balancer stands before the routers:
    /// one that says it is not ready is passed over while another is ready.
    pub fn router(&self, number: usize) -> &str {
        let count = self.routers.len();
        let turn = (number..number + count).map(|n| n % count);
        let ready = |n: &usize| self.ready[*n].load(Ordering::Relaxed);
        let chosen = turn.clone().find(ready).unwrap_or(number % count);
        &self.routers[chosen]
    }

    /// Looks at the routers as a platform's balancer does, for as long as it is polled.
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

    /// Sends a request and returns the head of the answer.
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
            Err(_) => {
                Err(rest::Error::Lost { peer, reason: format!("nothing in {ANSWER_TIMEOUT:?}") })
            }
        }
    }
}

/// A header of an answer.
pub fn header(res: &Response<Incoming>, name: &str) -> Option<String> {
    res.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_string)
}
