//! Limits that backend servers in need name for all routers together.
//!
//! A server's answers name how many requests a second it takes from all routers. The first router that reads this tells
//! the others. From then on a request goes to that server with a permit only, and one router keeps the ledger of
//! the permits ([`policy::quota`]): the one that all routers work out from the members of the group and the server's name.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::header::HeaderValue;
use policy::quota::{Ask, Grant, LEAST, Ledger, Permits};
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

/// Time that the keeper of a ledger gets to answer. Routers are some milliseconds apart, and callers wait for it.
const ANSWER: Duration = Duration::from_millis(100);

/// Time for which a keeper that did not answer is passed over.
const AVOIDED: Duration = Duration::from_secs(4);

/// Time after which a router that got no answer asks for permits again.
const RETRY: Duration = Duration::from_millis(100);

/// Time after which a ledger that nobody asks is dropped.
const FORGOTTEN: Duration = Duration::from_secs(30);

/// Version of a question.
const VERSION: u16 = 1;

/// A limit that a server names.
#[derive(Debug)]
pub struct Limit {
    /// Requests a second that it takes from all routers together.
    pub per_s: f64,
    /// When this router first knew of a limit.
    pub since: Duration,
    permits: Permits,
    asking: bool,
}

/// What a router knows of a server's limit.
#[derive(Debug, Default)]
pub struct Limited {
    limit: RefCell<Option<Limit>>,
    /// Requests that wait for permits.
    waiting: Cell<u32>,
    /// Woken when a question for permits has ended.
    answered: Notify,
}

/// What a router keeps for servers that name limits.
#[derive(Debug, Default)]
pub struct Keeper {
    ledgers: RefCell<Vec<(Id, Ledger)>>,
}

/// A question for permits as it is sent.
#[derive(Debug, Serialize, Deserialize)]
struct Question {
    version: u16,
    server: Id,
    router: String,
    limit: f64,
    free: u32,
    free_age_ms: u64,
    want: u32,
}

/// The answer: permits, and the time in milliseconds after which the router may ask again.
type Reply = (u32, u64);

impl Limited {
    /// Requests a second that the server takes from all routers together, if it names a limit.
    pub fn per_s(&self) -> Option<f64> {
        self.limit.borrow().as_ref().map(|limit| limit.per_s)
    }

    /// Whether a request may be sent to the server now.
    pub fn allows(&self, now: Duration) -> bool {
        self.limit.borrow_mut().as_mut().is_none_or(|limit| limit.permits.held(now) > 0)
    }

    /// Uses a permit; true if there was one, or if none is needed.
    pub fn take(&self, now: Duration) -> bool {
        self.limit.borrow_mut().as_mut().is_none_or(|limit| limit.permits.take(now))
    }

    /// When a caller that was refused for the limit is to come back.
    pub fn come_back(&self, routers: u32, now: Duration) -> Option<Duration> {
        let mut limit = self.limit.borrow_mut();
        limit.as_mut().map(|limit| limit.permits.come_back(limit.per_s, routers, now))
    }

    /// Forgets the limit.
    pub fn end(&self) {
        self.limit.take();
    }

    fn is_asking(&self) -> bool {
        self.limit.borrow().as_ref().is_some_and(|limit| limit.asking)
    }

    fn may_ask(&self, now: Duration) -> bool {
        self.limit.borrow_mut().as_mut().is_some_and(|limit| limit.permits.may_ask(now))
    }

    /// Takes a limit over, or its end; whether that is news.
    fn set(&self, per_s: Option<f64>, now: Duration) -> bool {
        let mut known = self.limit.borrow_mut();
        match (known.as_mut(), per_s) {
            (None, None) => false,
            (Some(limit), Some(per_s)) => std::mem::replace(&mut limit.per_s, per_s) != per_s,
            (None, Some(per_s)) => {
                let permits = Permits::default();
                *known = Some(Limit { per_s, since: now, permits, asking: false });
                true
            }
            (Some(_), None) => {
                *known = None;
                true
            }
        }
    }
}

/// Requests a second that a field names, in whole thousandths as notices tell them; none if it is no such number.
///
/// ```
/// use hyper::header::HeaderValue;
/// let named = |text| gateway::limited::parse(&HeaderValue::from_static(text));
/// assert_eq!(named("2.9"), Some(2.9));
/// assert_eq!(named("4.12345"), Some(4.123));
/// assert_eq!(named("-1"), None);
/// assert_eq!(named("inf"), None);
/// ```
pub fn parse(value: &HeaderValue) -> Option<f64> {
    let limit = value.to_str().ok()?.trim().parse::<f64>().ok()?;
    (limit.is_finite() && limit >= 0.0).then(|| (limit * 1e3).round() / 1e3)
}

/// Takes what a server's answer says of its limit, to a request that was sent `took` ago. `own` says that the
/// answer is the server's own, so that a limit it does not name has ended.
pub fn note(
    state: &Rc<State>,
    peer: &Rc<Peer>,
    named: Option<&HeaderValue>,
    own: bool,
    took: Duration,
) {
    let now = state.now();
    let named = named.and_then(|value| {
        let limit = parse(value);
        if limit.is_none() {
            log::warn!("gateway: server={} limit can't be read: {value:?}", peer.server().id);
        }
        limit
    });
    let since = peer.limited.limit.borrow().as_ref().map(|limit| limit.since);
    // An answer to a request of before the limit says nothing of its end.
    let ended = own && since.is_some_and(|since| since < now.saturating_sub(took));
    if (named.is_some() || ended) && peer.limited.set(named, now) {
        say(state, peer, "its answer");
        let per_s_milli = named.map(|limit| (limit * 1e3).round() as u64);
        state.announce(Notice::Limit { server: peer.server().id.clone(), per_s_milli });
        report(state, peer, since.is_none());
    }
}

/// Takes over what another router read of a server's limit.
pub fn hear(state: &Rc<State>, peer: &Rc<Peer>, per_s_milli: Option<u64>) {
    let fresh = peer.limited.per_s().is_none();
    if peer.limited.set(per_s_milli.map(|limit| limit as f64 / 1e3), state.now()) {
        say(state, peer, "another router says so");
        report(state, peer, fresh);
    }
}

fn say(state: &State, peer: &Peer, why: &str) {
    let sent = peer.sent.borrow_mut().count(state.now());
    let (id, limit) = (peer.server().id.clone(), peer.limited.per_s());
    log::info!("gateway: server={id} limit={limit:?} sent_lately={sent} why={why}");
    state.metrics.limit_named();
    state.changed.notify_waiters();
}

/// Reports to the keeper of the ledger what was sent before the limit was known: the server has had that already.
fn report(state: &Rc<State>, peer: &Rc<Peer>, fresh: bool) {
    let sent = peer.sent.borrow_mut().count(state.now()) > 0;
    if fresh && sent && peer.limited.per_s().is_some() {
        start(state, peer);
    }
}

/// Asks for permits of those servers of a service that name limits and to which `suits` applies, if it is time for that,
/// and waits for the answers for a moment.
pub async fn ask(state: &Rc<State>, service: &str, suits: impl Fn(&Peer) -> bool) {
    let mut peers = state.of(service);
    peers.retain(|p| p.limited.per_s().is_some() && p.ready() && suits(p));
    let until = Instant::now() + ANSWER;
    for peer in peers {
        let limited = &peer.limited;
        let answered = async {
            while limited.may_ask(state.now()) || limited.is_asking() {
                if !limited.is_asking() {
                    start(state, &peer);
                }
                limited.answered.notified().await;
            }
        };
        limited.waiting.set(limited.waiting.get() + 1);
        let _ = timeout_at(until, answered).await;
        limited.waiting.set(limited.waiting.get() - 1);
    }
}

/// The answer to a caller whose request is over the limits of a service's servers.
pub fn refuse(state: &State, service: &str) -> Response<Body> {
    let (now, routers) = (state.now(), state.routers());
    let peers = state.of(service);
    let times = peers.iter().filter_map(|p| p.limited.come_back(routers, now));
    answer::error_after(Reason::Limited, times.min())
}

/// Asks the keeper of a server's ledger, beside what else goes on.
fn start(state: &Rc<State>, peer: &Rc<Peer>) {
    if let Some(limit) = peer.limited.limit.borrow_mut().as_mut() {
        limit.asking = true;
    }
    let (state, peer) = (state.clone(), peer.clone());
    spawn_local(async move {
        let grant = permits(&state, &peer).await;
        if let Some(limit) = peer.limited.limit.borrow_mut().as_mut() {
            limit.permits.receive(grant, state.now());
            limit.asking = false;
        }
        peer.limited.answered.notify_waiters();
    });
}

async fn permits(state: &State, peer: &Peer) -> Grant {
    let none = Grant { permits: 0, again: RETRY };
    let Some(limit) = peer.limited.limit.borrow().as_ref().map(|l| (l.per_s, l.since)) else {
        return none;
    };
    let (now, id) = (state.now(), peer.server().id.clone());
    let (free, last) = peer.sent.borrow_mut().before(limit.1, now);
    let free_age = last.map_or(Duration::ZERO, |last| now.saturating_sub(last));
    let ask = Ask { limit: limit.0, free, free_age, want: peer.limited.waiting.get() };
    let avoid = |address| state.neighbours.avoids(address, now);
    match shared_read::keeper(state, &id, avoid) {
        // Nobody is known: each takes an equal part.
        None => {
            let limit = ask.limit.max(LEAST) / f64::from(state.routers());
            keep(state, &id, &state.setup.vm, Ask { limit, ..ask })
        }
        Some(member) if member.vm == state.setup.vm => keep(state, &id, &state.setup.vm, ask),
        Some(member) => match question(state, member.address, &id, ask).await {
            Ok(grant) => grant,
            Err(why) => {
                log::info!("gateway: server={id} keeper lost address={} why={why}", member.address);
                state.neighbours.avoid(member.address, now, now + AVOIDED);
                none
            }
        },
    }
}

async fn question(
    state: &State,
    address: SocketAddr,
    server: &str,
    ask: Ask,
) -> Result<Grant, String> {
    let Ask { limit, free, free_age, want } = ask;
    let question = Question {
        version: VERSION,
        server: server.to_owned(),
        router: state.setup.vm.clone(),
        limit,
        free,
        free_age_ms: free_age.as_millis() as u64,
        want,
    };
    let (permits, again_ms): Reply =
        state.neighbours.ask(address, "/permits", &question, ANSWER).await?;
    Ok(Grant { permits: permits.min(want), again: Duration::from_millis(again_ms) })
}

/// Answers another router's question for permits; none if it can't be read.
pub fn answer(state: &State, body: &[u8]) -> Option<Bytes> {
    let question: Question = match postcard::from_bytes(body) {
        Ok(question) => question,
        Err(e) => {
            log::warn!("gateway: a question for permits can't be read: {e}");
            return None;
        }
    };
    let Question { version, server, router, limit, free, free_age_ms, want } = question;
    if version != VERSION || !limit.is_finite() {
        return None;
    }
    let ask = Ask { limit, free, free_age: Duration::from_millis(free_age_ms), want };
    let grant = keep(state, &server, &router, ask);
    let reply: Reply = (grant.permits, grant.again.as_millis() as u64);
    Some(Bytes::from(postcard::to_allocvec(&reply).expect("plain fields")))
}

/// Gives permits from the ledger that this router keeps.
fn keep(state: &State, server: &str, router: &str, ask: Ask) -> Grant {
    let now = state.now();
    let mut ledgers = state.keeper.ledgers.borrow_mut();
    ledgers.retain(|(_, ledger)| ledger.asked().is_some_and(|at| now < at + FORGOTTEN));
    let at = ledgers.binary_search_by(|(id, _)| id.as_str().cmp(server)).unwrap_or_else(|at| {
        ledgers.insert(at, (server.to_owned(), Ledger::default()));
        at
    });
    ledgers[at].1.ask(router, ask, now)
}

/// Lines for the metrics: limits that servers name, and what this router sent there lately.
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
