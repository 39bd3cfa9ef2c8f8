//! Rate limits that overloaded backend servers set for all routers together.
//!
//! A server's answers name how many requests a second it accepts from all routers. The first router that reads this
//! notifies the others. From then on, a request to that server needs a permit. One router owns the ledger of the
//! permits ([`policy::quota`]): every router derives the same owner from the members of the group and the id of the
//! server.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use policy::quota::{Grant, Ledger, MIN_LIMIT, Permits, Request};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};

use crate::answer::{self, Body, Reason};
use crate::notice::Notice;
use crate::peer::Peer;
use crate::server::Id;
use crate::shared_read;
use crate::state::State;
use crate::statement::Field;

/// Time limit for an answer of a ledger's owner. Routers are some milliseconds apart, and callers wait for the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which an owner that did not answer is avoided.
const OWNER_BACKOFF: Duration = Duration::from_secs(4);

/// Time after which a router that got no answer requests permits again.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time without requests after which a ledger is dropped.
const LEDGER_TTL: Duration = Duration::from_secs(30);

/// Version of a request for permits.
const VERSION: u16 = 1;

/// The limit of a server.
#[derive(Debug)]
pub struct Limit {
    /// Requests a second that the server accepts from all routers together.
    pub per_s: f64,
    /// When this router first learned of a limit.
    pub since: Duration,
    permits: Permits,
    requesting: bool,
}

/// A server's limit, if it has set one, and the permits that this router holds.
#[derive(Debug, Default)]
pub struct Limited {
    limit: RefCell<Option<Limit>>,
    /// Requests that wait for permits.
    waiting: Cell<u32>,
    /// Notified when a request for permits has ended.
    answered: Notify,
}

/// The ledgers that this router owns, by id of the server.
#[derive(Debug, Default)]
pub struct Ledgers {
    by_server: RefCell<Vec<(Id, Ledger)>>,
}

/// A request for permits as it is sent.
#[derive(Debug, Serialize, Deserialize)]
struct PermitRequest {
    version: u16,
    server: Id,
    router: String,
    limit: f64,
    free: u32,
    free_age_ms: u64,
    want: u32,
}

/// The reply: permits, and the time in milliseconds after which the router may send a request again.
type Reply = (u32, u64);

impl Limited {
    /// Returns the requests a second that the server accepts from all routers together, if it has a limit.
    pub fn per_s(&self) -> Option<f64> {
        self.limit.borrow().as_ref().map(|limit| limit.per_s)
    }

    /// Whether a request may be sent to the server now.
    pub fn allows(&self, now: Duration) -> bool {
        self.limit.borrow_mut().as_mut().is_none_or(|limit| limit.permits.available(now) > 0)
    }

    /// Uses a permit; true if there was one, or if none is needed.
    pub fn take(&self, now: Duration) -> bool {
        self.limit.borrow_mut().as_mut().is_none_or(|limit| limit.permits.take(now))
    }

    /// Returns the time after which a caller that was refused because of the limit may retry.
    pub fn retry_after(&self, routers: u32, now: Duration) -> Option<Duration> {
        let mut limit = self.limit.borrow_mut();
        limit.as_mut().map(|limit| limit.permits.retry_after(limit.per_s, routers, now))
    }

    /// Removes the limit.
    pub fn clear(&self) {
        self.limit.take();
    }

    fn is_requesting(&self) -> bool {
        self.limit.borrow().as_ref().is_some_and(|limit| limit.requesting)
    }

    fn may_request(&self, now: Duration) -> bool {
        self.limit.borrow_mut().as_mut().is_some_and(|limit| limit.permits.may_ask(now))
    }

    /// Sets or removes the limit. Returns whether that changes it.
    fn set(&self, per_s: Option<f64>, now: Duration) -> bool {
        let mut known = self.limit.borrow_mut();
        match (known.as_mut(), per_s) {
            (None, None) => false,
            (Some(limit), Some(per_s)) => std::mem::replace(&mut limit.per_s, per_s) != per_s,
            (None, Some(per_s)) => {
                let permits = Permits::default();
                *known = Some(Limit { per_s, since: now, permits, requesting: false });
                true
            }
            (Some(_), None) => {
                *known = None;
                true
            }
        }
    }
}

/// Records the limit that a server's answer names, to a request that was sent `took` ago. `own` says that the answer
/// comes from the server itself, so that it has no limit if it names none.
pub fn record(state: &Rc<State>, peer: &Rc<Peer>, named: Field<f64>, own: bool, took: Duration) {
    let now = state.now();
    if let Field::Unreadable(text) = &named {
        log::warn!("gateway: server={} limit can't be read: {text:?}", peer.server().id);
    }
    let named = named.value();
    let since = peer.limited.limit.borrow().as_ref().map(|limit| limit.since);
    // The answer to a request that was sent before the limit was known is no sign that the limit has ended.
    let ended = own && since.is_some_and(|since| since < now.saturating_sub(took));
    if (named.is_some() || ended) && peer.limited.set(named, now) {
        signal_change(state, peer, "its answer");
        let per_s_milli = named.map(|limit| (limit * 1e3).round() as u64);
        state.announce(Notice::Limit { server: peer.server().id.clone(), per_s_milli });
        report_sent(state, peer, since.is_none());
    }
}

/// Records that another router reported a change of a server's limit, or its end.
pub fn receive(state: &Rc<State>, peer: &Rc<Peer>, per_s_milli: Option<u64>) {
    let first = peer.limited.per_s().is_none();
    if peer.limited.set(per_s_milli.map(|limit| limit as f64 / 1e3), state.now()) {
        signal_change(state, peer, "reported by another router");
        report_sent(state, peer, first);
    }
}

/// Logs and counts a change of a server's limit, and notifies requests that wait for servers.
fn signal_change(state: &State, peer: &Peer, why: &str) {
    let sent = peer.sent.borrow_mut().count(state.now());
    let (id, limit) = (peer.server().id.clone(), peer.limited.per_s());
    log::info!("gateway: server={id} limit={limit:?} sent_lately={sent} why={why}");
    state.metrics.limit_named();
    state.changed.notify_waiters();
}

/// Reports to the owner of the ledger what was sent before the limit was known, since it counts against the limit too.
fn report_sent(state: &Rc<State>, peer: &Rc<Peer>, first: bool) {
    let sent = peer.sent.borrow_mut().count(state.now()) > 0;
    if first && sent && peer.limited.per_s().is_some() {
        spawn_request(state, peer);
    }
}

/// Requests permits for those servers of a service that have limits and to which `suits` applies, as soon as a request
/// is due, and waits up to `ANSWER_TIMEOUT` for the replies.
pub async fn request_permits(state: &Rc<State>, service: &str, suits: impl Fn(&Peer) -> bool) {
    let mut peers = state.peers_of(service);
    peers.retain(|p| p.limited.per_s().is_some() && p.ready() && suits(p));
    let until = Instant::now() + ANSWER_TIMEOUT;
    for peer in peers {
        let limited = &peer.limited;
        let answered = async {
            while limited.may_request(state.now()) || limited.is_requesting() {
                if !limited.is_requesting() {
                    spawn_request(state, &peer);
                }
                limited.answered.notified().await;
            }
        };
        limited.waiting.set(limited.waiting.get() + 1);
        let _ = timeout_at(until, answered).await;
        limited.waiting.set(limited.waiting.get() - 1);
    }
}

/// Returns the response to a request that exceeds the limits of a service's servers.
pub fn refuse(state: &State, service: &str) -> Response<Body> {
    let (now, routers) = (state.now(), state.routers());
    let peers = state.peers_of(service);
    let times = peers.iter().filter_map(|p| p.limited.retry_after(routers, now));
    answer::error_after(Reason::Limited, times.min())
}

/// Spawns a task that requests permits from the owner of a server's ledger.
fn spawn_request(state: &Rc<State>, peer: &Rc<Peer>) {
    if let Some(limit) = peer.limited.limit.borrow_mut().as_mut() {
        limit.requesting = true;
    }
    let (state, peer) = (state.clone(), peer.clone());
    spawn_local(async move {
        let grant = fetch_permits(&state, &peer).await;
        if let Some(limit) = peer.limited.limit.borrow_mut().as_mut() {
            limit.permits.receive(grant, state.now());
            limit.requesting = false;
        }
        peer.limited.answered.notify_waiters();
    });
}

async fn fetch_permits(state: &State, peer: &Peer) -> Grant {
    let none = Grant { permits: 0, retry_after: RETRY_DELAY };
    let Some(limit) = peer.limited.limit.borrow().as_ref().map(|l| (l.per_s, l.since)) else {
        return none;
    };
    let (now, id) = (state.now(), peer.server().id.clone());
    let (free, last) = peer.sent.borrow_mut().before(limit.1, now);
    let free_age = last.map_or(Duration::ZERO, |last| now.saturating_sub(last));
    let request = Request { limit: limit.0, free, free_age, want: peer.limited.waiting.get() };
    let avoid = |address| state.neighbours.avoids(address, now);
    match shared_read::owner(state, &id, avoid) {
        // Without a known owner, each router takes an equal share.
        None => {
            let limit = request.limit.max(MIN_LIMIT) / f64::from(state.routers());
            grant(state, &id, &state.setup.vm, Request { limit, ..request })
        }
        Some(member) if member.vm == state.setup.vm => grant(state, &id, &state.setup.vm, request),
        Some(member) => match send_to_owner(state, member.address, &id, request).await {
            Ok(grant) => grant,
            Err(why) => {
                log::info!(
                    "gateway: server={id} ledger owner did not answer address={} why={why}",
                    member.address
                );
                state.neighbours.avoid(member.address, now, now + OWNER_BACKOFF);
                none
            }
        },
    }
}

async fn send_to_owner(
    state: &State,
    address: SocketAddr,
    server: &str,
    request: Request,
) -> Result<Grant, String> {
    let Request { limit, free, free_age, want } = request;
    let request = PermitRequest {
        version: VERSION,
        server: server.to_owned(),
        router: state.setup.vm.clone(),
        limit,
        free,
        free_age_ms: free_age.as_millis() as u64,
        want,
    };
    let (permits, again_ms): Reply =
        state.neighbours.request(address, "/permits", &request, ANSWER_TIMEOUT).await?;
    Ok(Grant { permits: permits.min(want), retry_after: Duration::from_millis(again_ms) })
}

/// Answers another router's request for permits. None if the request can't be decoded.
pub fn answer_request(state: &State, body: &[u8]) -> Option<Bytes> {
    let request: PermitRequest = match postcard::from_bytes(body) {
        Ok(request) => request,
        Err(e) => {
            log::warn!("gateway: request for permits can't be decoded: {e}");
            return None;
        }
    };
    let PermitRequest { version, server, router, limit, free, free_age_ms, want } = request;
    if version != VERSION || !limit.is_finite() {
        return None;
    }
    let request = Request { limit, free, free_age: Duration::from_millis(free_age_ms), want };
    let grant = grant(state, &server, &router, request);
    let reply: Reply = (grant.permits, grant.retry_after.as_millis() as u64);
    Some(Bytes::from(postcard::to_allocvec(&reply).expect("plain fields")))
}

/// Grants permits from a ledger that this router owns.
fn grant(state: &State, server: &str, router: &str, request: Request) -> Grant {
    let now = state.now();
    let mut ledgers = state.ledgers.by_server.borrow_mut();
    ledgers.retain(|(_, ledger)| ledger.last_request().is_some_and(|at| now < at + LEDGER_TTL));
    let at = ledgers.binary_search_by(|(id, _)| id.as_str().cmp(server)).unwrap_or_else(|at| {
        ledgers.insert(at, (server.to_owned(), Ledger::default()));
        at
    });
    ledgers[at].1.grant(router, request, now)
}

/// Returns the metrics text: limits of servers, and what this router has sent there recently.
pub fn page(state: &State) -> String {
    let line = |peer: Rc<Peer>| {
        let per_s = peer.limited.per_s()?;
        let sent = peer.sent.borrow_mut().count(state.now());
        let id = &peer.server().id;
        let named = format!("hyssop_server_limit{{server=\"{id}\"}} {per_s}\n");
        Some(format!("{named}hyssop_limited_sent{{server=\"{id}\"}} {sent}\n"))
    };
    state.peers().into_iter().filter_map(line).collect()
}
