//! Stopping a router without breaking its callers' connections.
//!
//! After SIGTERM three spans follow, all within the setting `drain`:
//!
//! 1. `/readyz` answers 503 at once while new requests are still served, each on a connection that
//!    is closed after its answer. A load balancer notices after a few of its checks; if the
//!    listener closed at once, the connections that the balancer opens until then would be reset.
//! 2. The listener closes; requests in progress continue.
//! 3. Shortly before the limit, requests still in progress are answered with outcome unknown and a
//!    time after which to retry. Drafts continue at their heads for callers that resume.

use std::sync::Arc;
use std::time::Duration;

use salvo::http::{HeaderValue, header};
use salvo::prelude::*;
use salvo::server::ServerHandle;
use wire::refusal::{Cause, Refusal};

use crate::Router;

/// Longest time for which new requests are served after SIGTERM: several checks of a load balancer
/// that checks each 500 ms.
const MAX_NOTICE_TIME: Duration = Duration::from_secs(2);

/// The first and last spans take at most one in this many parts of `drain` each, so that a short
/// limit still leaves time for the requests.
const DRAIN_PARTS: u32 = 4;

/// Longest time kept before the limit to send the last answers.
const MAX_ANSWERS_TIME: Duration = Duration::from_secs(1);

/// When a caller whose answer was not finished may retry.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// How `drain` is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spans {
    /// New requests are still served.
    pub notice: Duration,
    /// Requests in progress continue.
    pub work: Duration,
    /// Requests still in progress are answered as unfinished.
    pub answers: Duration,
}

/// Divides the time to drain.
///
/// ```
/// use std::time::Duration;
/// let spans = router::drain::spans(Duration::from_secs(30));
/// assert_eq!(spans.notice, Duration::from_secs(2));
/// assert_eq!(spans.notice + spans.work + spans.answers, Duration::from_secs(30));
/// ```
pub fn spans(drain: Duration) -> Spans {
    let notice = MAX_NOTICE_TIME.min(drain / DRAIN_PARTS);
    let answers = MAX_ANSWERS_TIME.min(drain / DRAIN_PARTS);
    Spans { notice, work: drain - notice - answers, answers }
}

/// Waits for the stop signal, then drains the HTTP server.
pub async fn run(router: Arc<Router>, handle: ServerHandle) {
    router.node.stop.wait().await;
    let spans = spans(router.node.settings.borrow().fleet.defaults.drain);
    tokio::time::sleep(spans.notice).await;
    handle.stop_graceful(spans.work + spans.answers);
    tokio::time::sleep(spans.work).await;
    let left = router.admission.running();
    log::warn!("drain: {left} requests answered as unfinished after {:?}", spans.work);
    router.drain_expired.raise();
}

/// The refusal of a request that outlasts the time to drain.
pub fn unfinished(router: &Router) -> Refusal {
    let vm = &router.node.process.vm;
    let why = "the router stops before the answer is complete; ask another one";
    Refusal::unknown(Cause::Leaving, "drain", vm, why).with_retry_after(RETRY_AFTER)
}

/// Closes each connection after its answer once the router is stopping, so that no connection is
/// reused when the listener closes.
pub struct Close(pub Arc<Router>);

#[handler]
impl Close {
    async fn handle(&self, res: &mut Response) {
        if self.0.node.stop.raised() {
            res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }
}
