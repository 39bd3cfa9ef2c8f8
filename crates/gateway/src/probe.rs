//! Probes and commands to model servers: whether they are alive, which layers they hold, how fast they are.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};
use layers::Span;
use policy::departure::Health;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

use crate::clock;
use crate::crash;
use crate::departure;
use crate::notice::Notice;
use crate::peer::{Peer, Probe, Reachability};
use crate::pool::{self, Cause};
use crate::server::Report;
use crate::slowness;
use crate::state::State;
use crate::statement::Statement;
use crate::wire::Command;

/// Time-out of a probe. A round trip takes up to two milliseconds, so a live server answers far sooner; a longer
/// time-out would be added to the pause that the caller sees.
const PROBE_TIMEOUT: Duration = Duration::from_millis(45);

/// Multiple of this process's own scheduling delay that is added to a time-out. A router on a slow VM would otherwise
/// treat all servers as dead.
const LAG_FACTOR: u32 = 4;

/// Longest answer to a command. A report of a thousand waiting requests is a tenth as long.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Interval between two measurements of this process's own delay.
const LAG_INTERVAL: Duration = Duration::from_millis(100);

/// Measurements of that delay between two of the processor time in use.
const LAGS_PER_USE: u32 = 10;

/// Measures by how much timers are late in this process, which shows how slow its VM is, and which share of the VM's
/// processor time it uses.
pub async fn measure_lag(state: Rc<State>) {
    loop {
        let (began, used) = (Instant::now(), clock::processor());
        for _ in 0..LAGS_PER_USE {
            let before = Instant::now();
            tokio::time::sleep(LAG_INTERVAL).await;
            let late = before.elapsed().saturating_sub(LAG_INTERVAL);
            // A delay decays within about a second.
            state.lag.set(late.max(state.lag.get().mul_f64(0.8)));
            state.intake.borrow_mut().record_delay(late);
        }
        let used = clock::processor().zip(used).map(|(now, before)| now.saturating_sub(before));
        if let (Some(used), Some(share)) = (used, state.setup.processor.filter(|s| *s > 0.0)) {
            let available = began.elapsed().mul_f64(share);
            state.intake.borrow_mut().record_use(used.div_duration_f64(available));
        }
        let (turned_away, capacity) = state.intake.borrow_mut().take_turned_away();
        if turned_away > 0 {
            log::info!(
                "gateway: connections turned_away={turned_away} capacity={capacity:.1} per second open={} lag={:?}",
                state.callers.get(),
                state.lag.get()
            );
        }
    }
}

/// Time for which the result of a probe is reused. When a server dies, all streams through it fall silent within one
/// pass of each other, and each of them probes all servers of its path.
const PROBE_VALIDITY: Duration = Duration::from_millis(150);

/// Longest time for which the answer of a server to a probe is reused while it wants no requests.
const MAX_PROBE_VALIDITY: Duration = Duration::from_secs(5);

/// Time-out of commands on which no request and no other order waits.
pub const BACKGROUND_TIMEOUT: Duration = Duration::from_millis(600);

/// Time-out of probes on which requests or orders to other servers wait: several times the answer time of a live
/// server (99 in 100 within 25 ms).
const URGENT_TIMEOUT: Duration = Duration::from_millis(200);

/// Returns the time-out of probes on which requests or orders wait, extended by this process's own delay.
pub fn urgent_timeout(state: &State) -> Duration {
    URGENT_TIMEOUT + state.lag.get() * LAG_FACTOR
}

/// Sends a command over a new connection; returns the status and body of the answer.
pub async fn send(
    state: &State,
    peer: &Peer,
    command: Command,
    limit: Duration,
) -> Result<(StatusCode, Vec<u8>), String> {
    send_over(state, peer, command, limit, false).await
}

/// Sends a command, over an idle connection of the pool if `reuse`. An idle connection may have gone dead while its
/// server is alive, so commands whose result decides about a server use a new one.
async fn send_over(
    state: &State,
    peer: &Peer,
    command: Command,
    limit: Duration,
    reuse: bool,
) -> Result<(StatusCode, Vec<u8>), String> {
    match timeout(limit, exchange(state, peer, command, reuse)).await {
        Ok(answer) => answer.map(|(status, _, body)| (status, body)),
        Err(_) => Err(format!("no answer from {} within {limit:?}", peer.server().address)),
    }
}

async fn exchange(
    state: &State,
    peer: &Peer,
    command: Command,
    reuse: bool,
) -> Result<(StatusCode, Statement, Vec<u8>), String> {
    let connection = if reuse { peer.pool.take().await } else { peer.pool.connect().await };
    let mut connection = connection.map_err(|e| e.to_string())?;
    let mut request = Request::new(Full::new(command.body));
    *request.method_mut() = command.method;
    *request.uri_mut() =
        command.path.parse::<Uri>().map_err(|e| format!("path {}: {e}", command.path))?;
    let host = HeaderValue::from_str(&peer.server().address.to_string()).expect("an address");
    request.headers_mut().insert(HOST, host);
    request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let fault = |e: String| format!("command to {}: {e}", peer.server().address);
    let server = peer.server();
    let answer = connection.send(request).await.map_err(|e| fault(e.into_error().to_string()))?;
    let (head, body) = answer.into_parts();
    let statement = Statement::parse(&state.codec.names, head.status, &head.headers);
    departure::record_statement(state, &server, &statement, "command");
    let body = pool::read_body(body, MAX_ANSWER_BYTES).await.map_err(fault)?;
    peer.pool.keep(connection, &head.headers);
    Ok((head.status, statement, body.to_vec()))
}

/// Fetches a server's report over a new connection.
pub async fn fetch_report(state: &State, peer: &Peer, limit: Duration) -> Result<Report, String> {
    let (status, body) = send(state, peer, (state.codec.report)(), limit).await?;
    read(state, peer, status, &body)
}

/// Fetches a server's report; tries an idle connection of the pool first.
pub async fn fetch_report_pooled(state: &State, peer: &Peer) -> Result<Report, String> {
    match send_over(state, peer, (state.codec.report)(), BACKGROUND_TIMEOUT, true).await {
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

/// Records the layers that a server reports, and notifies the other routers if `known` were others.
pub fn record_layers(state: &State, peer: &Peer, report: &Report, known: Span) {
    if report.busy || report.span == known {
        return;
    }
    let (server, span) = (peer.server().id.clone(), report.span);
    log::info!("gateway: server={server} layers={span} before={known} why=its report");
    peer.record_span(span, state.now());
    state.announce(Notice::Holds { server, from: span.from, to: span.to });
    state.changed.notify_waiters();
}

/// Probes servers concurrently; returns those that do not answer.
pub async fn find_silent(state: &State, peers: &[Rc<Peer>]) -> Vec<Rc<Peer>> {
    let answers = join_all(peers.iter().map(|peer| is_alive(state, peer))).await;
    let dead = answers.iter().zip(peers).filter(|(is_alive, _)| !**is_alive);
    dead.map(|(_, peer)| peer.clone()).collect()
}

/// Time for which an event that came through a server proves that it is alive. Shorter than any silence that is
/// checked, so that an event from before the silence proves nothing.
const EVENT_VALIDITY: Duration = Duration::from_millis(40);

/// Probes the servers of a silent path: the first one, and those through which no other stream has just received an
/// event. Returns how many were probed, and those that do not answer.
///
/// Load pattern: servers run near their limit, so that pauses vary and many streams seem silent for a moment. If each
/// of them probes all servers of its path, a router on a small VM sends thousands of probes in a few seconds, and
/// receives the answers so late that it treats live servers as dead.
pub async fn find_silent_on_path(state: &State, path: &[Rc<Peer>]) -> (usize, Vec<Rc<Peer>>) {
    let now = state.now();
    let proven_alive = |peer: &Rc<Peer>| now < peer.last_event_at.get() + EVENT_VALIDITY;
    let probed = path.iter().enumerate().filter(|(i, peer)| *i == 0 || !proven_alive(peer));
    let probed: Vec<Rc<Peer>> = probed.map(|(_, peer)| peer.clone()).collect();
    (probed.len(), find_silent(state, &probed).await)
}

async fn is_alive(state: &State, peer: &Peer) -> bool {
    report(state, peer).await.is_some()
}

/// Probes a server and returns its report; none if it does not answer or is suspected.
pub async fn report(state: &State, peer: &Peer) -> Option<Report> {
    let suspected = peer.suspicion.borrow().holds(state.now());
    if suspected { None } else { probe(state, peer, Duration::ZERO, PROBE_TIMEOUT).await }
}

/// Asks a server for its health.
pub async fn health(state: &State, peer: &Peer) -> Health {
    let service = peer.server().service.clone();
    let settings = state.settings();
    let path = settings.as_ref().and_then(|s| s.service(&service)?.health.clone());
    let Some(path) = path else { return Health::Unknown };
    let command = Command { method: Method::GET, path: path.into(), body: Bytes::new() };
    match timeout(urgent_timeout(state), exchange(state, peer, command, false)).await {
        Ok(Ok((StatusCode::OK, ..))) => Health::Well,
        // A server that is only full declines the question like a request.
        Ok(Ok((_, statement, _))) if statement.not_run => Health::Unknown,
        Ok(Ok((StatusCode::SERVICE_UNAVAILABLE, ..))) => Health::Ill,
        Ok(Ok(_) | Err(_)) | Err(_) => Health::Unknown,
    }
}

/// Whether a server that started at `born` no longer answers this router after `since`, whatever other routers report.
/// One that was restarted under its name has ended as well. Uses a longer time-out than a probe, for which a live
/// server may be too slow.
pub async fn has_ended(state: &State, peer: &Peer, born: u64, since: Duration) -> bool {
    match probe(state, peer, since, URGENT_TIMEOUT).await {
        None => true,
        // Not every server reports its start time.
        Some(report) => report.born != born && report.born != 0 && born != 0,
    }
}

/// Whether connections to a server's address are refused, so that it has ended. A server that only resets connections,
/// or that this router can't reach, does not refuse them.
pub async fn refuses_connections(peer: &Peer) -> bool {
    peer.pool.connect().await.is_err_and(|fault| fault.cause == Cause::Refused)
}

/// Limit on the servers of a data centre that are probed to check whether this router reaches that data centre.
const MAX_NEARBY_PROBES: usize = 2;

/// Whether a server that fell silent without closing its connections has ended or is cut off: nothing listens at its
/// address, or its VM accepts no connection while another server of its data centre answers. A server that accepts
/// connections may still be running requests; if no other server answers, it is this router that is cut off.
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

/// Whether another server of the same data centre answers now. Probes those through which events came last.
async fn reaches_nearby(state: &State, peer: &Peer) -> bool {
    let (since, server) = (state.now(), peer.server());
    let mut nearby = state.peers();
    nearby.retain(|p| {
        let other = p.server();
        other.zone == server.zone && other.id != server.id && !p.suspicion.borrow().holds(since)
    });
    nearby.sort_by_key(|p| std::cmp::Reverse(p.last_event_at.get()));
    nearby.truncate(MAX_NEARBY_PROBES);
    let probes = nearby.iter().map(|p| probe(state, p, since, URGENT_TIMEOUT));
    join_all(probes).await.iter().any(Option::is_some)
}

/// Probes a server. Reuses the last result if that is recent and not older than `since`, and is an answer or had at
/// least the same time-out. Returns the server's report, or `None` if it does not answer.
async fn probe(state: &State, peer: &Peer, since: Duration, limit: Duration) -> Option<Report> {
    let mut last = peer.last_probe.lock().await;
    let validity = match peer.backoff_length(state.now()).filter(|_| last.report.is_some()) {
        // At most two probes reach the server meanwhile.
        Some(backoff) => (backoff / 2).clamp(PROBE_VALIDITY, MAX_PROBE_VALIDITY),
        None => PROBE_VALIDITY,
    };
    let fresh = since <= last.at && state.now() < last.at + validity;
    if fresh && (last.report.is_some() || limit <= last.limit) {
        return last.report.clone();
    }
    let report = match fetch_report(state, peer, limit + state.lag.get() * LAG_FACTOR).await {
        Ok(report) => {
            slowness::record_pace(state, peer, report.pace);
            peer.slowdown.set(report.pace.max(1.0));
            peer.record_span(report.span, state.now());
            *peer.stalled.borrow_mut() = report.stalled.clone();
            Some(report)
        }
        Err(why) => {
            log::debug!("gateway: probe failed: {why}");
            None
        }
    };
    *last = Probe { at: state.now(), limit, report: report.clone() };
    report
}

/// Probes a server that another router reported as not answering. An answer ends the suspicion.
///
/// Load pattern: a slow router treats a live server as dead and notifies all others. If the leader then has its layers
/// loaded elsewhere, the live server counts as spare and is ordered to release them; it then refuses to repath all
/// streams that began there.
pub fn verify(state: &Rc<State>, peer: &Rc<Peer>) {
    let (state, peer) = (state.clone(), peer.clone());
    peer.verifying.set(true);
    spawn_local(async move {
        let answer = fetch_report(&state, &peer, urgent_timeout(&state)).await;
        peer.verifying.set(false);
        if answer.is_ok() {
            log::info!("gateway: server={} suspect=false why=the server answers", peer.server().id);
        }
        state.changed.notify_waiters();
    });
}

/// Marks a server as suspected and notifies the other routers.
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
