//! Questions to model servers: whether they live, what they hold, how fast they are.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Request, StatusCode};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

use crate::crash;
use crate::notice::Notice;
use crate::peer::{Peer, Probe, Reachability};
use crate::pool::Cause;
use crate::server::Report;
use crate::state::State;
use crate::wire::Command;

/// Time a server gets to answer a probe. A round trip takes up to two milliseconds, so a live one
/// answers far sooner; a longer wait would be added to the pause that the caller sees.
const PROBE_TIMEOUT: Duration = Duration::from_millis(45);

/// Multiple of this process's own delay that is added to a probe's time. A VM that is slow itself
/// would otherwise take all servers for dead.
const LAG_FACTOR: u32 = 4;

/// Time between two measurements of this process's own delay.
const LAG_INTERVAL: Duration = Duration::from_millis(100);

/// Measures by how much timers are late here, which tells how slow this VM is.
pub async fn measure_lag(state: Rc<State>) {
    loop {
        let before = Instant::now();
        tokio::time::sleep(LAG_INTERVAL).await;
        let late = before.elapsed().saturating_sub(LAG_INTERVAL);
        // A delay is forgotten over about a second.
        state.lag.set(late.max(state.lag.get().mul_f64(0.8)));
    }
}

/// Time for which the answer to a probe holds. When a server dies, all streams that pass through it
/// fall silent within a pass of each other, and each asks all servers of its path.
const PROBE_VALIDITY: Duration = Duration::from_millis(150);

/// Time a server gets to answer an order or a question that nothing waits for.
pub const BACKGROUND_TIMEOUT: Duration = Duration::from_millis(600);

/// Time a server gets to answer a question that orders to other servers wait for: several times what a probe
/// of a live one takes (99 in 100 within 25 ms).
const URGENT_TIMEOUT: Duration = Duration::from_millis(200);

/// The same with what this process's own delay adds.
pub fn urgent_timeout(state: &State) -> Duration {
    URGENT_TIMEOUT + state.lag.get() * LAG_FACTOR
}

/// Sends a question or an order; the status and body of the answer.
pub async fn send(
    peer: &Peer,
    command: Command,
    limit: Duration,
) -> Result<(StatusCode, Vec<u8>), String> {
    send_over(peer, command, limit, false).await
}

/// The same; over a kept connection if `kept`. A kept one may have gone silent while its server
/// lives, so what depends on the answer goes over a new one.
async fn send_over(
    peer: &Peer,
    command: Command,
    limit: Duration,
    reuse: bool,
) -> Result<(StatusCode, Vec<u8>), String> {
    match timeout(limit, exchange(peer, command, reuse)).await {
        Ok(answer) => answer,
        Err(_) => Err(format!("no answer from {} within {limit:?}", peer.server().address)),
    }
}

async fn exchange(
    peer: &Peer,
    command: Command,
    reuse: bool,
) -> Result<(StatusCode, Vec<u8>), String> {
    let connection = if reuse { peer.pool.take().await } else { peer.pool.connect().await };
    let mut connection = connection.map_err(|e| e.to_string())?;
    let mut request = Request::new(Full::new(command.body));
    *request.method_mut() = command.method;
    *request.uri_mut() = command.path.parse().map_err(|e| format!("path {}: {e}", command.path))?;
    let host = HeaderValue::from_str(&peer.server().address.to_string()).expect("an address");
    request.headers_mut().insert(HOST, host);
    request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let fault = |e: hyper::Error| format!("asking {}: {e}", peer.server().address);
    let answer = connection.sender.send_request(request).await.map_err(fault)?;
    let (head, body) = answer.into_parts();
    let body = body.collect().await.map_err(fault)?.to_bytes();
    peer.pool.keep(connection, &head.headers);
    Ok((head.status, body.to_vec()))
}

/// Asks a server for its state over a new connection.
pub async fn fetch_report(state: &State, peer: &Peer, limit: Duration) -> Result<Report, String> {
    let (status, body) = send(peer, (state.codec.report)(), limit).await?;
    read(state, peer, status, &body)
}

/// Asks a server for its state, over a kept connection first.
pub async fn fetch_report_pooled(state: &State, peer: &Peer) -> Result<Report, String> {
    match send_over(peer, (state.codec.report)(), BACKGROUND_TIMEOUT, true).await {
        Ok((status, body)) => read(state, peer, status, &body),
        Err(_) => fetch_report(state, peer, BACKGROUND_TIMEOUT).await,
    }
}

fn read(state: &State, peer: &Peer, status: StatusCode, body: &[u8]) -> Result<Report, String> {
    let report = (state.codec.read_report)(body).filter(|_| status == StatusCode::OK);
    if report.is_some() {
        peer.suspicion.borrow_mut().clear();
    }
    report.ok_or_else(|| format!("unreadable report of {}, status {status}", peer.server().address))
}

/// Asks servers at the same time; those that do not answer.
pub async fn find_silent(state: &State, peers: &[Rc<Peer>]) -> Vec<Rc<Peer>> {
    let answers = join_all(peers.iter().map(|peer| is_alive(state, peer))).await;
    let dead = answers.iter().zip(peers).filter(|(is_alive, _)| !**is_alive);
    dead.map(|(_, peer)| peer.clone()).collect()
}

/// Time for which an event that came through a server shows that it lives. Shorter than any silence that is
/// looked into, so that an event from before that silence shows nothing.
const EVENT_VALIDITY: Duration = Duration::from_millis(40);

/// Asks the servers of a silent path, the first one and those through which no other stream has just got an
/// event; how many were asked, and those that do not answer.
///
/// Load pattern: servers near their limit, so that pauses vary and many streams seem silent for a moment. If each
/// of them asks all servers of its path, a small VM makes thousands of probes in a few seconds, and
/// hears the answers so late that it takes live servers for dead.
pub async fn find_silent_on_path(state: &State, path: &[Rc<Peer>]) -> (usize, Vec<Rc<Peer>>) {
    let now = state.now();
    let shown = |peer: &Rc<Peer>| now < peer.last_event_at.get() + EVENT_VALIDITY;
    let asked = path.iter().enumerate().filter(|(i, peer)| *i == 0 || !shown(peer));
    let asked: Vec<Rc<Peer>> = asked.map(|(_, peer)| peer.clone()).collect();
    (asked.len(), find_silent(state, &asked).await)
}

async fn is_alive(state: &State, peer: &Peer) -> bool {
    !peer.suspicion.borrow().holds(state.now())
        && probe(state, peer, Duration::ZERO, PROBE_TIMEOUT).await.is_some()
}

/// Whether a server that started at `born` does not answer this router any more after `since`, whatever others say of
/// it. One that started again under its name has ended as well. A live one may be too slow for a probe, so it gets longer.
pub async fn has_ended(state: &State, peer: &Peer, born: u64, since: Duration) -> bool {
    match probe(state, peer, since, URGENT_TIMEOUT).await {
        None => true,
        // Not every server says when it started.
        Some(start) => start != born && start != 0 && born != 0,
    }
}

/// Whether nothing listens any more at a server's address, so that it has ended. One that only resets connections, or that
/// this router can't reach, does not refuse them.
pub async fn refuses_connections(peer: &Peer) -> bool {
    peer.pool.connect().await.is_err_and(|fault| fault.cause == Cause::Refused)
}

/// Servers of a data centre that are asked at most to see whether this router reaches it.
const MAX_NEARBY_PROBES: usize = 2;

/// Whether a server that fell silent without closing its connections has ended or is cut off: nothing listens at its address,
/// or its VM takes no connection while another server of its data centre answers. One that takes connections may be at work,
/// and where no other server answers, it is this router that is cut off.
pub async fn is_gone(state: &State, peer: &Peer) -> bool {
    let mut reachability = peer.reachability.lock().await;
    if state.now() < reachability.at + PROBE_VALIDITY {
        return reachability.gone;
    }
    let (connected, nearby) = tokio::join!(peer.pool.connect(), reaches_nearby(state, peer));
    let gone = match connected.map_err(|fault| fault.cause) {
        Err(Cause::Refused) => true,
        Err(Cause::Silent) => nearby,
        Ok(_) | Err(Cause::Other) => false,
    };
    log::info!("gateway: server={} gone={gone} others_answer={nearby}", peer.server().id);
    *reachability = Reachability { at: state.now(), gone };
    gone
}

/// Whether another server of the same data centre answers now. Those are asked through which events came last.
async fn reaches_nearby(state: &State, peer: &Peer) -> bool {
    let (since, server) = (state.now(), peer.server());
    let mut nearby = state.peers();
    nearby.retain(|p| {
        let other = p.server();
        other.zone == server.zone && other.id != server.id && !p.suspicion.borrow().holds(since)
    });
    nearby.sort_by_key(|p| std::cmp::Reverse(p.last_event_at.get()));
    nearby.truncate(MAX_NEARBY_PROBES);
    let asked = nearby.iter().map(|p| probe(state, p, since, URGENT_TIMEOUT));
    join_all(asked).await.iter().any(Option::is_some)
}

/// Asks a server whether it lives, unless that was just done, after `since` and with as much time to answer; when the
/// start of it that answers began.
async fn probe(state: &State, peer: &Peer, since: Duration, limit: Duration) -> Option<u64> {
    let mut asked = peer.last_probe.lock().await;
    let fresh = since <= asked.at && state.now() < asked.at + PROBE_VALIDITY;
    if fresh && (asked.start.is_some() || limit <= asked.limit) {
        return asked.start;
    }
    let start = match fetch_report(state, peer, limit + state.lag.get() * LAG_FACTOR).await {
        Ok(report) => {
            peer.slowdown.set(report.pace.max(1.0));
            peer.record_span(report.span, state.now());
            *peer.stalled.borrow_mut() = report.stalled;
            Some(report.born)
        }
        Err(why) => {
            log::debug!("gateway: probe failed: {why}");
            None
        }
    };
    *asked = Probe { at: state.now(), limit, start };
    start
}

/// Asks a server itself that another router says does not answer. An answer ends the suspicion.
///
/// Load pattern: a slow router takes a live server for dead and tells all others. If the router that gives orders has its layers
/// loaded elsewhere, the live server counts as spare and is told to give them up; it then refuses other paths to all streams that
/// began there.
pub fn verify(state: &Rc<State>, peer: &Rc<Peer>) {
    let (state, peer) = (state.clone(), peer.clone());
    peer.verifying.set(true);
    spawn_local(async move {
        let answer = fetch_report(&state, &peer, urgent_timeout(&state)).await;
        peer.verifying.set(false);
        if answer.is_ok() {
            log::info!("gateway: server={} suspect=false why=it answers", peer.server().id);
        }
        state.changed.notify_waiters();
    });
}

/// Passes over a server and tells the other routers.
pub fn suspect(state: &Rc<State>, peer: &Rc<Peer>, why: &str) {
    if peer.record_failure(state.now()) {
        crash::check_silent_server(state, peer);
        let server = peer.server();
        log::warn!("gateway: server={} suspect=true why={why}", server.id);
        state.metrics.suspected();
        state.announce(Notice::Silent { server: server.id.clone() });
        state.server_suspected.notify_waiters();
        state.changed.notify_waiters();
    }
}
