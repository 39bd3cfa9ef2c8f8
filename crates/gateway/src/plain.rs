//! Requests to services without a model: one server gives one complete answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use policy::availability::Use;
use policy::pick::{Choice, pick};
use policy::window::Need;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout};

use crate::answer::{self, Body, Reason};
use crate::availability;
use crate::crash;
use crate::exchange::{self, Outcome};
use crate::failing;
use crate::limited;
use crate::peer::{Load, Peer};
use crate::request::Call;
use crate::retries;
use crate::state::State;

/// Limit on the servers tried for one request, including those that decline it.
const MAX_TRIES: usize = 4;

/// Fraction of a retryable request's goal after which another server is tried. If the first server has lost the
/// request, the answer of the second one then still comes within the goal.
const SLOW_FRACTION: f64 = 0.6;

/// Shortest time that a server gets before another one is tried.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(100);

/// Multiple of a server's mean answer time that it gets at least: one answer in a hundred takes five times the usual
/// time, and sending all of these requests twice would double the load on a slow service.
const MEAN_TIME_FACTOR: f64 = 4.0;

/// Result of sending a request to one server.
enum Attempt {
    /// The complete answer.
    Answered(Response<()>, Bytes),
    /// The connection broke before the answer was complete.
    Broken,
    /// The server never received the request.
    NotSent(String),
    /// Not sent, as the server does not want it.
    Withheld,
    /// The server declined the request.
    NotRun(StatusCode),
    /// Not sent, as backend servers ended while they ran the request.
    Blocked,
    /// The server may have run the request, and there is no answer.
    Unknown(String),
    /// The deadline has passed.
    Late,
}

/// Progress of one request.
struct Progress<'a> {
    state: &'a Rc<State>,
    call: &'a Call,
    service: &'a str,
    /// Servers tried so far.
    tried: Vec<String>,
    /// Whether the next attempt takes no retry: nothing was sent yet, or the last attempt was not sent after all.
    is_paid: bool,
    /// Number of servers that ran the request, or may have.
    ran: u32,
    /// Completes when it is known whether the server of the last broken run has ended.
    end_check: Option<JoinHandle<()>>,
    /// Answer to the caller if no better one comes.
    fallback: Response<Body>,
}

/// Serves one request.
///
/// A slow server continues while another one is tried, and the first answer is used: the other server may decline, or
/// be even slower.
pub async fn serve(state: &Rc<State>, call: &Call, service: &str) -> Response<Body> {
    let (tried, fallback) = (Vec::new(), answer::error(Reason::NoServer));
    let mut progress =
        Progress { state, call, service, tried, is_paid: true, ran: 0, end_check: None, fallback };
    let mut pending = FuturesUnordered::new();
    limited::request_permits(state, service, |_| true).await;
    let mut next = choose(state, call, service, &progress.tried);
    if next.is_none() && over_limit(state, service) {
        return limited::refuse(state, service);
    }
    let mut slow_timer = None;
    loop {
        if let Some(peer) = next.take().filter(|peer| peer.limited.take(state.now())) {
            progress.is_paid = false;
            progress.tried.push(peer.server().id.clone());
            failing::record_sent(state, call, &peer);
            slow_timer = Some((slow_deadline(call, &peer), peer.clone()));
            pending.push(try_server(state, call, peer));
        }
        let running = pending.len() as u32;
        let slow_at = slow_timer.as_ref().filter(|_| progress.may_try(running)).map(|(at, _)| *at);
        let (peer, attempt) = tokio::select! {
            Some(attempt) = pending.next() => attempt,
            () = sleep_until(slow_at.unwrap_or(call.deadline)), if slow_at.is_some() => {
                next = progress.retry().await;
                if let (true, Some((_, slow))) = (next.is_some(), slow_timer.take()) {
                    record_slow(call, &slow);
                }
                continue;
            }
            else => return progress.give_up(),
        };
        if let Some(answer) = progress.handle_attempt(&peer, attempt, pending.len() as u32) {
            return answer;
        }
        if pending.is_empty() {
            if call.time_left().is_zero() || !progress.may_try(0) {
                return progress.give_up();
            }
            next = progress.retry().await;
            if next.is_none() {
                return progress.give_up();
            }
        }
    }
}

impl Progress<'_> {
    /// Whether another server may be tried while `running` others work on the request.
    fn may_try(&self, running: u32) -> bool {
        let route = &self.call.route;
        let allowed = running == 0 || route.class.is_retryable();
        allowed && self.ran + running < route.attempts && self.tried.len() < MAX_TRIES
    }

    /// Returns another server, if there is one and a retry is left for it.
    async fn retry(&mut self) -> Option<Rc<Peer>> {
        if let Some(end_check) = self.end_check.take() {
            let _ = timeout(crash::PROBE_WAIT, end_check).await;
        }
        if crash::is_blocked(self.state, self.call) {
            return None;
        }
        let other = choose(self.state, self.call, self.service, &self.tried)?;
        if self.is_paid {
            return Some(other);
        }
        retries::borrow(self.state, self.service, Need::New).await;
        retries::take(self.state, self.service, Need::New).then_some(other)
    }

    /// Returns the answer to the caller if no server gives one. A request that did not run is refused until the first
    /// backoff ends if no server accepts it before.
    fn give_up(self) -> Response<Body> {
        let (state, call, service) = (self.state, self.call, self.service);
        let refused = self.ran == 0 && choose(state, call, service, &[]).is_none();
        match state.first_return(service).filter(|_| refused) {
            Some(wait) => availability::refuse(wait, state.routers(), call.time_left()),
            None => self.fallback,
        }
    }

    /// Handles the result of one attempt; returns the answer to the caller if that ends the request.
    fn handle_attempt(
        &mut self,
        peer: &Rc<Peer>,
        attempt: Attempt,
        running: u32,
    ) -> Option<Response<Body>> {
        let (state, call) = (self.state, self.call);
        match attempt {
            Attempt::Answered(head, body) => {
                self.ran += 1;
                crash::record_completion(state, call, head.status());
                failing::record(state, call, peer, head.status());
                peer.count_continued();
                let answer = answer::from_server(head, body);
                let better = call.route.class.is_retryable() && (running > 0 || self.may_try(0));
                if !better || !answer.status().is_server_error() {
                    return Some(answer);
                }
                self.fallback = answer;
            }
            Attempt::NotSent(why) => mark_suspect(state, peer, &why),
            Attempt::Blocked if self.ran + running == 0 => {
                let refusal = crash::refuse(state, call);
                return Some(refusal.unwrap_or_else(|| answer::error(Reason::Crashes)));
            }
            Attempt::Blocked => {}
            Attempt::Withheld => self.is_paid = true,
            Attempt::NotRun(status) => {
                let id = &peer.server().id;
                log::info!("gateway: request={} server={id} declined status={status}", call.id);
                if self.ran == 0 {
                    self.fallback = answer::error(Reason::Full);
                }
                match status {
                    StatusCode::MISDIRECTED_REQUEST => drop(peer.record_failure(state.now())),
                    // Without requests it would be preferred. Its slots are free again within a moment.
                    _ => peer.declines.borrow_mut().record_report(state.now()),
                }
            }
            Attempt::Broken | Attempt::Unknown(_) => {
                self.ran += 1;
                self.end_check = Some(crash::record_broken_run(state, call, peer, 0));
                if let Attempt::Unknown(why) = attempt {
                    let id = &peer.server().id;
                    log::info!(
                        "gateway: request={} server={id} outcome=unknown why={why}",
                        call.id
                    );
                }
                self.fallback = answer::error(Reason::Lost);
                if !call.route.class.is_retryable() {
                    return Some(answer::error(Reason::Lost));
                }
            }
            Attempt::Late => {
                record_slow(call, peer);
                return Some(answer_late(state, call, peer));
            }
        }
        None
    }
}

/// Sends a request to one server and waits for the complete answer, until the request's deadline.
async fn try_server(state: &Rc<State>, call: &Call, peer: Rc<Peer>) -> (Rc<Peer>, Attempt) {
    let _alone = match crash::admit(state, call, false).await {
        Ok(alone) => alone,
        Err(_) => return (peer, Attempt::Blocked),
    };
    let _load = Load::new(peer.clone(), 0.0);
    let fields = fields(state, call, &peer.server().id);
    let path = std::slice::from_ref(&peer);
    let attempt = match exchange::send(state, path, call, Need::New, fields, call.deadline).await {
        Outcome::Answer(answer) => match answer.collect(call.deadline).await {
            Some((head, body)) => Attempt::Answered(head, body),
            None if Instant::now() >= call.deadline => Attempt::Late,
            None => Attempt::Broken,
        },
        Outcome::NotSent(why) => Attempt::NotSent(why),
        Outcome::Withheld(_) => Attempt::Withheld,
        Outcome::NotRun(status, _) => Attempt::NotRun(status),
        Outcome::Unknown(why) => Attempt::Unknown(why),
        Outcome::Late => Attempt::Late,
    };
    (peer, attempt)
}

/// Adds an answer that did not come in time to its server's mean answer time, as twice the goal.
fn record_slow(call: &Call, peer: &Peer) {
    let mut pace = peer.pace.get();
    pace.add(call.route.goal.as_secs_f64() * 2e3);
    peer.pace.set(pace);
}

fn answer_late(state: &State, call: &Call, peer: &Peer) -> Response<Body> {
    log::info!(
        "gateway: request={} server={} outcome=late age={:?}",
        call.id,
        peer.server().id,
        call.arrived.elapsed()
    );
    state.metrics.answer_late();
    answer::error(Reason::Late)
}

/// Marks a server that can't be reached as suspected. The other routers are not notified: a router that is itself cut
/// off would make all of them avoid the few servers of the service, and each detects a dead one with one connection.
fn mark_suspect(state: &Rc<State>, peer: &Rc<Peer>, why: &str) {
    if peer.record_failure(state.now()) {
        crash::check_silent_server(state, peer);
        log::warn!("gateway: server={} suspect=true why={why}", peer.server().id);
    }
}

/// Returns when another server is tried if this one has not answered.
fn slow_deadline(call: &Call, peer: &Peer) -> Instant {
    let usual = Duration::from_secs_f64(peer.pace.get().mean() * MEAN_TIME_FACTOR / 1e3);
    let time = call.route.goal.mul_f64(SLOW_FRACTION).max(MIN_ANSWER_TIME).max(usual);
    (Instant::now() + time).min(call.deadline)
}

/// Chooses a server for a request. One that fails gets none while another accepts it, apart from probes.
fn choose(state: &State, call: &Call, service: &str, excluded: &[String]) -> Option<Rc<Peer>> {
    let now = state.now();
    let mut peers = state.peers_of(service);
    peers.retain(|p| {
        let accepts = p.obstacle(Use::Direct, now).is_none() && p.limited.allows(now);
        p.ready() && accepts && !excluded.contains(&p.server().id)
    });
    // One whose entry is gone may be leaving.
    if peers.iter().any(|p| !p.is_expired() && p.accepts_requests(now)) {
        peers.retain(|p| !p.is_expired());
    }
    // A probe is not the second attempt of a request, which may have no further one.
    let probed = peers.iter().filter(|p| p.accepts_requests(now) && excluded.is_empty());
    if let Some(peer) = probed.into_iter().find(|p| failing::is_probed(state, call, p)) {
        return Some(peer.clone());
    }
    let sound: Vec<Rc<Peer>> = peers
        .iter()
        .filter(|p| p.usable(now) && !failing::avoids(state, call, p))
        .cloned()
        .collect();
    if !sound.is_empty() {
        peers = sound;
    }
    // If all are suspected, the network is more likely at fault than all servers.
    let preferences: [fn(&Peer, Duration) -> bool; 3] =
        [Peer::accepts_requests, Peer::usable, |_, _| true];
    let fitting = |fits: &fn(&Peer, Duration) -> bool| -> Vec<&Rc<Peer>> {
        peers.iter().filter(|p| fits(p, now)).collect()
    };
    let candidates = preferences.iter().map(fitting).find(|fit| !fit.is_empty())?;
    let choices: Vec<Choice> = candidates
        .iter()
        .map(|p| Choice {
            running: p.running.get(),
            slots: p.server().slots,
            pace: p.pace.get(),
            near: p.server().zone == state.setup.zone,
        })
        .collect();
    pick(&choices, &mut rand::rng()).map(|at| Rc::clone(candidates[at]))
}

/// Whether all servers that take requests have set limits that are used up.
fn over_limit(state: &State, service: &str) -> bool {
    let now = state.now();
    let mut peers = state.peers_of(service);
    peers.retain(|p| p.ready());
    !peers.is_empty() && peers.iter().all(|p| !p.limited.allows(now))
}

/// Returns the header fields that this router sets for one server.
pub fn fields(state: &State, call: &Call, id: &str) -> HeaderMap {
    let names = &state.codec.names;
    let mut fields = HeaderMap::with_capacity(5);
    let mut set = |name: &hyper::header::HeaderName, text: &str| match HeaderValue::from_str(text) {
        Ok(value) => drop(fields.insert(name, value)),
        Err(e) => log::warn!("gateway: request={} field {name} left out: {e}", call.id),
    };
    set(&names.server, id);
    if let Some(workspace) = &call.workspace {
        set(&names.workspace, workspace);
    }
    fields
}
