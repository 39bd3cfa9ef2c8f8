//! Stopping a router without cutting off its callers.
//!
//! After SIGTERM three spans follow, all within the setting `drain`:
//!
//! 1. `/readyz` says 503 at once while new requests are still served, each on a
//!    connection that is closed after its answer. A balancer needs a few of its
//!    checks to notice; a listener closed at once would reset the connections
//!    that the balancer opens until then.
//! 2. The listener closes; requests in progress go on to their end.
//! 3. What still runs shortly before the limit is answered as unknown, with a
//!    time to come back. Drafts go on at their heads for callers that resume.

use std::sync::Arc;
use std::time::Duration;

use salvo::http::{HeaderValue, header};
use salvo::prelude::*;
use salvo::server::ServerHandle;
use wire::refusal::{Cause, Refusal};

use crate::Router;

/// Time that new requests are still served after SIGTERM: several checks of a
/// balancer that looks each 500 ms.
const NOTICE: Duration = Duration::from_secs(2);

/// Part of `drain` that the notice takes at most, so that a short limit still
/// leaves time for the requests.
const NOTICE_PART: u32 = 4;

/// Time kept before the limit for the last answers to leave.
const LAST_ANSWERS: Duration = Duration::from_secs(1);

/// When a caller whose answer was not finished may come back.
const RETRY: Duration = Duration::from_millis(100);

/// How `drain` is divided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spans {
    /// New requests are still served.
    pub notice: Duration,
    /// Requests in progress go on.
    pub work: Duration,
    /// The rest is answered.
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
    let notice = NOTICE.min(drain / NOTICE_PART);
    let answers = LAST_ANSWERS.min(drain / NOTICE_PART);
    Spans { notice, work: drain - notice - answers, answers }
}

/// Waits for the stop, then drains the HTTP side.
pub async fn run(router: Arc<Router>, handle: ServerHandle) {
    router.node.stop.wait().await;
    let spans = spans(router.node.settings.borrow().fleet.defaults.drain);
    tokio::time::sleep(spans.notice).await;
    handle.stop_graceful(spans.work + spans.answers);
    tokio::time::sleep(spans.work).await;
    let left = router.admission.running();
    log::warn!("drain: {left} requests are answered as unfinished after {:?}", spans.work);
    router.ending.raise();
}

/// The answer to a request that outlasts the time to drain.
pub fn unfinished(router: &Router) -> Refusal {
    let vm = &router.node.process.vm;
    let why = "the router stops before the answer is complete; ask another one";
    Refusal::unknown(Cause::Leaving, "drain", vm, why).with_retry_after(RETRY)
}

/// Ends each connection after its answer once the router stops, so that none is
/// in use again when the listener closes.
pub struct Close(pub Arc<Router>);

#[handler]
impl Close {
    async fn handle(&self, res: &mut Response) {
        if self.0.node.stop.raised() {
            res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }
}
