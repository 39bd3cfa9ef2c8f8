//! Opening a stream: finds a path for a request, sends the request along it and waits for the first event.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use hyper::Response;
use policy::headroom::Limit;
use policy::rank::Turn;
use policy::window::Need;
use tokio::sync::SemaphorePermit;
use tokio::time::{Instant, timeout};

use super::{Next, Obstacle, Progress, Upstream};
use crate::admission;
use crate::answer::{Body, Reason};
use crate::count::Counted;
use crate::crash;
use crate::failing;
use crate::limited;
use crate::retries;
use crate::route::{self, Path};

/// Limit on the paths tried for one request, including those whose servers decline it.
const MAX_TRIES: u32 = 5;

/// Interval between two searches for a path.
const PATH_RETRY_INTERVAL: Duration = Duration::from_millis(60);

/// Interval between two checks of a request in the queue whether it is its turn.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Limit on the new requests of one router that wait for a free slot or memory at the same time.
const MAX_WAITING_REQUESTS: u32 = 3;

/// Fraction of the goal for which a new request waits for a path; the rest is left for its first event.
const MAX_PATH_WAIT_FRACTION: f64 = 0.5;

/// Answer that came along a path.
pub(super) enum Opened {
    /// A stream and its first item: an event, or the end if the caller has all events.
    Stream(Upstream, Next),
    /// A complete answer that is not a stream, such as an error.
    Complete(Response<Body>),
}

/// Outcome of a race between a silent path and a search for another one.
pub(super) enum Race<T> {
    /// The silent path produced this first.
    Kept(T),
    /// Another path sent its first item before that.
    Other(Box<Upstream>, Next),
    /// No other path is available now.
    Neither,
}

/// Why no stream came along a path.
pub(super) enum Failure {
    /// No server ran the request.
    NotRun,
    /// A server may have run it.
    Unknown,
    /// The deadline has passed.
    Late,
}

impl<T> From<(Upstream, Next)> for Race<T> {
    fn from((upstream, next): (Upstream, Next)) -> Race<T> {
        Race::Other(Box::new(upstream), next)
    }
}

impl<'a> Progress<'a> {
    /// Waits until the request may be sent. One whose earlier runs ended with their servers runs alone among the
    /// suspects.
    async fn admit(&mut self) -> Result<Option<SemaphorePermit<'a>>, Reason> {
        let begun = self.last_event.is_some();
        // A stream that has sent events is not delayed: it is unlikely to be at fault, and its caller sees the pause.
        if let Some(end_check) = self.end_check.take().filter(|_| !begun) {
            let _ = timeout(crash::PROBE_WAIT, end_check).await;
        }
        crash::admit(self.state, self.call, begun).await
    }
}

impl Progress<'_> {
    /// Resumes the stream after its last event on another path; tries until the caller's deadline.
    pub(super) async fn resume(&mut self) -> Option<(Upstream, Next)> {
        while self.last_event.is_some() && self.may_run_again().await {
            match self.open().await {
                Ok(Opened::Stream(upstream, next)) => return Some((upstream, next)),
                Ok(Opened::Complete(_)) => return None,
                Err(reason)
                    if Instant::now() >= self.call.deadline
                        || self.tries >= MAX_TRIES
                        || reason == Reason::Crashes =>
                {
                    self.log_no_path(reason);
                    return None;
                }
                Err(_) => {}
            }
            // Newly loaded layers or released memory may make a path available.
            let _ = timeout(PATH_RETRY_INTERVAL, self.state.changed.notified()).await;
        }
        self.obstacle = Some(Obstacle::Attempts);
        None
    }

    /// Searches once for another path while `kept` waits for the silent one; `ends` says whether an output of `kept` is
    /// the last one.
    ///
    /// A silent path may still be alive: its servers, or this router, may have stalled. It is kept until another path
    /// has sent an event. If it were abandoned for a path that is not found or that then declines, the caller would get
    /// a truncated text, or none, although the complete one was on its way.
    pub(super) async fn race_other_path<T>(
        &mut self,
        kept: impl Future<Output = T>,
        ends: impl Fn(&T) -> bool,
    ) -> Race<T> {
        self.path_kept = true;
        let found = {
            let mut another = self.try_other_path();
            tokio::select! {
                biased;
                output = kept => match ends(&output) {
                    true => another.await.map_or(Race::Kept(output), Race::from),
                    false => Race::Kept(output),
                },
                found = &mut another => found.map_or(Race::Neither, Race::from),
            }
        };
        self.path_kept = false;
        found
    }

    /// Opens another path and returns it with its first event; after a short wait returns `None` if there is none now.
    fn try_other_path(&mut self) -> LocalBoxFuture<'_, Option<(Upstream, Next)>> {
        Box::pin(async {
            match self.may_run_again().await {
                true => match self.open().await {
                    Ok(Opened::Stream(upstream, next)) => return Some((upstream, next)),
                    Ok(Opened::Complete(_)) | Err(_) => {}
                },
                false => self.obstacle = Some(Obstacle::Attempts),
            }
            let _ = timeout(PATH_RETRY_INTERVAL, self.state.changed.notified()).await;
            None
        })
    }

    /// Finds a path and waits for its first event; tries further paths while retries are allowed.
    pub(super) async fn open(&mut self) -> Result<Opened, Reason> {
        let mut reason = None;
        let until = self.call.arrived + self.call.route.goal.mul_f64(MAX_PATH_WAIT_FRACTION);
        while self.tries < MAX_TRIES {
            let _alone = match self.admit().await {
                Ok(alone) => alone,
                Err(refused) => {
                    self.obstacle = Some(Obstacle::Crashes);
                    reason = Some(refused);
                    break;
                }
            };
            let Some(path) = self.wait_for_path(until).await else {
                let cause = self.no_path();
                self.obstacle = Some(Obstacle::Path(cause));
                if self.last_event.is_none() && !self.path_kept {
                    self.log_no_path(cause);
                }
                reason = Some(cause);
                break;
            };
            let again = !self.is_paid;
            // A retry sent to a dead server is wasted, and none may be left for the next one.
            if again && self.may_find_retry() && self.probe_and_borrow(&path).await {
                continue;
            }
            if again && !retries::take(self.state, self.service, self.need()) {
                self.obstacle = Some(Obstacle::Budget);
                // A stream that waits for another path searches many times a second and would flood the log.
                if self.last_event.is_none() && !self.path_kept {
                    log::info!("gateway: request={} repeat=false why=retry budget", self.call.id);
                }
                break;
            }
            // Another request may have used the last permit meanwhile.
            if !path.first().limited.take(self.state.now()) {
                continue;
            }
            self.tries += 1;
            self.is_paid = false;
            reason = Some(match self.begin(path).await {
                Ok(opened) => return Ok(opened),
                Err(Failure::NotRun) if self.unrefused == 0 => Reason::Full,
                Err(Failure::NotRun) => Reason::Lost,
                Err(Failure::Unknown) if self.may_run_again().await => Reason::Lost,
                Err(Failure::Unknown) => return Err(Reason::Lost),
                Err(Failure::Late) => return Err(Reason::Late),
            });
        }
        Err(match reason {
            _ if self.unrefused > 0 && self.last_event.is_none() => Reason::Lost,
            Some(reason) => reason,
            None => self.no_path(),
        })
    }

    /// Returns what a retry would be for.
    pub(super) fn need(&self) -> Need {
        if self.last_event.is_some() { Need::Begun } else { Need::New }
    }

    /// Whether a retry may be available, from this router's share or from another router.
    fn may_find_retry(&self) -> bool {
        retries::is_available(self.state, self.service, self.need())
            || retries::may_borrow(self.state, self.service, self.need())
    }

    /// Probes the servers of a path and meanwhile requests a loan from other routers if no retry is left here; true if
    /// a server of the path is found to be at fault.
    async fn probe_and_borrow(&mut self, path: &Path) -> bool {
        let borrowed = retries::borrow(self.state, self.service, self.need());
        tokio::join!(self.check_path(path), borrowed).0
    }

    /// Logs why there is no path.
    fn log_no_path(&self, reason: Reason) {
        log::info!(
            "gateway: request={} no_path={reason} tries={} last_event={:?} {}",
            self.call.id,
            self.tries,
            self.last_event,
            route::explain(self.state, self.service, self.model, self.call.tokens, &self.excluded)
        );
    }

    fn no_path(&self) -> Reason {
        route::no_path_reason(self.state, self.service, self.model, &self.excluded)
    }

    /// Finds a path; a new request waits for one until `until` if the servers are only full.
    ///
    /// Load pattern: a data centre runs near its limit, and a slot becomes free every few milliseconds. A refused
    /// request is retried a second or more later, so it is late even if it is then served. Where many requests wait,
    /// only a few of them would get a slot in time, so the rest are refused at once.
    async fn wait_for_path(&self, until: Instant) -> Option<Path> {
        let now = self.state.now();
        limited::request_permits(self.state, self.service, |peer| {
            route::holds_first_layer(peer, now)
        })
        .await;
        if self.last_event.is_none()
            && let Some(waiting) = admission::enter(self.state, self.call, self.service)
        {
            return self.wait_in_queue(waiting).await;
        }
        let path = self.find_path();
        if path.is_some()
            || self.last_event.is_some()
            || self.state.unplaced_requests.get() >= MAX_WAITING_REQUESTS
        {
            return path;
        }
        let _waits = Counted::new(&self.state.unplaced_requests);
        loop {
            let path = self.find_path();
            let late = Instant::now() + PATH_RETRY_INTERVAL >= until;
            if path.is_some() || late || self.no_path() != Reason::Full {
                return path;
            }
            let _ = timeout(PATH_RETRY_INTERVAL, self.state.changed.notified()).await;
        }
    }

    /// Finds a path for a request in the queue; only the first one searches.
    async fn wait_in_queue(&self, waiting: admission::Waiting<'_>) -> Option<Path> {
        let found = |path: Option<Path>| path.inspect(|_| waiting.found());
        let mut has_waited = false;
        loop {
            match waiting.turn() {
                // The first in the queue may need more room than there is while this one needs less.
                Turn::Refuse if has_waited => return found(self.find_path()),
                Turn::Refuse => return None,
                Turn::Search => match found(self.find_path()) {
                    None if self.no_path() == Reason::Full => {}
                    path => return path,
                },
                Turn::Wait => has_waited = true,
            }
            waiting.waits();
            let moved = async {
                tokio::select! {
                    () = self.state.changed.notified() => {}
                    () = self.state.admission.queue_moved.notified() => {}
                }
            };
            let _ = timeout(QUEUE_CHECK_INTERVAL, moved).await;
        }
    }

    /// Finds a path. One that crosses links between data centres is used only if there is no other, and for a new
    /// request only as far as the links can carry the traffic of all routers.
    fn find_path(&self) -> Option<Path> {
        // A stream that has begun may take all room: the work on it would be lost otherwise.
        let limit = match self.last_event {
            Some(_) => Limit::full(),
            None => admission::limit(self.state, self.call, self.service),
        };
        let avoiding = |excluded: &[String], accepting_only, may_cross| {
            let options = route::Search { excluded, accepting_only, may_cross, limit };
            route::find(self.state, self.service, self.model, self.call.tokens, options)
        };
        let find =
            |accepting, may_cross_links| avoiding(&self.excluded, accepting, may_cross_links);
        // No run is spent on a server that answers with errors either. Streams along the same path are not told apart:
        // the first server answers for the later ones.
        let failing = failing::avoided(self.state, self.call, self.service);
        // The number of runs is limited: none is spent on a server that has just broken one if there is another path.
        let is_first_run = self.runs.is_empty();
        let passed_over =
            if is_first_run { self.excluded.clone() } else { self.excluded_and_breaking() };
        let cautious = match is_first_run && failing.is_empty() {
            true => None,
            false => avoiding(&[passed_over, failing].concat(), true, false),
        };
        let crossing = |accepting| {
            let path = find(accepting, true)?;
            let wants = !self.counted_for_link.replace(true);
            let new = self.last_event.is_none() && self.tries == 0;
            (!new || path.may_cross(self.state, self.random, wants)).then_some(path)
        };
        let accepting = cautious.or_else(|| find(true, false)).or_else(|| crossing(true));
        // If there is no path without them, servers that declined lately may accept a stream that has begun. A new
        // request is refused instead: most are declined again and would then be sent elsewhere out of the retry budget.
        match self.last_event {
            Some(_) => accepting.or_else(|| find(false, false)).or_else(|| crossing(false)),
            None => accepting,
        }
    }

    /// Returns the excluded servers and those that have just broken a run of any request.
    fn excluded_and_breaking(&self) -> Vec<String> {
        let now = self.state.now();
        let peers = self.state.peers_of(self.service);
        let broke = peers.iter().filter(|p| p.broke_recently(now)).map(|p| p.server().id.clone());
        self.excluded.iter().cloned().chain(broke).collect()
    }
}
