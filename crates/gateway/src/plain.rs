//! Requests to plain services: one server, one answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use policy::pick::{Choice, pick};
use policy::window::Need;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout};

use crate::answer::{self, Body, Reason};
use crate::crash;
use crate::exchange::{self, Outcome};
use crate::limited;
use crate::peer::{Load, Peer};
use crate::request::Call;
use crate::retries;
use crate::state::State;

/// Servers asked for one request at most, counting those that decline it.
const MAX_TRIES: usize = 4;

/// Part of a repeatable request's goal after which another server is asked. The answer of the
/// second one then still comes within the goal, where the first has lost it.
const SLOW_FRACTION: f64 = 0.6;

/// Shortest time a server is given before another one is asked.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(100);

/// Multiple of a server's mean time that it is given at least: one answer in a hundred takes five
/// times the usual, and asking twice for each of these would double the load of a slow service.
const MEAN_TIME_FACTOR: f64 = 4.0;

/// What came of asking one server.
enum Attempt {
    /// Its whole answer.
    Answered(Response<()>, Bytes),
    /// Its answer broke off.
    Broken,
    /// It never got the request.
    NotSent(String),
    /// It says that it did not run it.
    NotRun(StatusCode),
    /// It did not get it, as servers ended under the request.
    Stopped,
    /// It may have run it, and there is no answer.
    Unknown(String),
    /// Time is up.
    Late,
}

/// What asking for one request has come to.
struct Progress<'a> {
    state: &'a Rc<State>,
    call: &'a Call,
    service: &'a str,
    /// Servers asked so far.
    asked: Vec<String>,
    /// Servers that have run it, or may have.
    ran: u32,
    /// Ends when it is known whether the last server that broke off has ended.
    end_check: Option<JoinHandle<()>>,
    /// What the caller gets if nothing better comes.
    fallback: Response<Body>,
}

/// Serves one request.
///
/// A server that is slow goes on while another one is asked, and the first answer counts: the other one may decline,
/// or be slower still.
pub async fn serve(state: &Rc<State>, call: &Call, service: &str) -> Response<Body> {
    let (asked, fallback) = (Vec::new(), answer::error(Reason::NoServer));
    let mut progress = Progress { state, call, service, asked, ran: 0, end_check: None, fallback };
    let mut pending = FuturesUnordered::new();
    limited::request_permits(state, service, |_| true).await;
    let mut next = choose(state, service, &progress.asked);
    if next.is_none() && over_limit(state, service) {
        return limited::refuse(state, service);
    }
    let mut slow_timer = None;
    loop {
        if let Some(peer) = next.take().filter(|peer| peer.limited.take(state.now())) {
            progress.asked.push(peer.server().id.clone());
            slow_timer = Some((slow_deadline(call, &peer), peer.clone()));
            pending.push(ask(state, call, peer));
        }
        let running = pending.len() as u32;
        let slow_at = slow_timer.as_ref().filter(|_| progress.may_ask(running)).map(|(at, _)| *at);
        let (peer, attempt) = tokio::select! {
            Some(attempt) = pending.next() => attempt,
            () = sleep_until(slow_at.unwrap_or(call.deadline)), if slow_at.is_some() => {
                next = progress.retry().await;
                if let (true, Some((_, slow))) = (next.is_some(), slow_timer.take()) {
                    record_slow(call, &slow);
                }
                continue;
            }
            else => return progress.fallback,
        };
        if let Some(answer) = progress.handle_attempt(&peer, attempt, pending.len() as u32) {
            return answer;
        }
        if pending.is_empty() {
            if call.time_left().is_zero() || !progress.may_ask(0) {
                return progress.fallback;
            }
            next = progress.retry().await;
            if next.is_none() {
                return progress.fallback;
            }
        }
    }
}

impl Progress<'_> {
    /// Whether another server may be asked while `running` others work on it.
    fn may_ask(&self, running: u32) -> bool {
        let route = &self.call.route;
        let repeats = running == 0 || route.class.is_retryable();
        repeats && self.ran + running < route.attempts && self.asked.len() < MAX_TRIES
    }

    /// Another server, if there is one and a repeat is left for it.
    async fn retry(&mut self) -> Option<Rc<Peer>> {
        if let Some(end_check) = self.end_check.take() {
            let _ = timeout(crash::PROBE_WAIT, end_check).await;
        }
        if crash::is_blocked(self.state, self.call) {
            return None;
        }
        let other = choose(self.state, self.service, &self.asked)?;
        retries::borrow(self.state, self.service, Need::New).await;
        retries::take(self.state, self.service, Need::New).then_some(other)
    }

    /// Takes over what came of asking a server; the caller's answer if it is that.
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
                crash::record_completion(state, call);
                peer.count_continued();
                let answer = answer::from_server(head, body);
                let better = call.route.class.is_retryable() && (running > 0 || self.may_ask(0));
                if !better || !answer.status().is_server_error() {
                    return Some(answer);
                }
                self.fallback = answer;
            }
            Attempt::NotSent(why) => mark_suspect(state, peer, &why),
            Attempt::Stopped if self.ran + running == 0 => {
                let refusal = crash::refuse(state, call);
                return Some(refusal.unwrap_or_else(|| answer::error(Reason::Crashes)));
            }
            Attempt::Stopped => {}
            Attempt::NotRun(status) => {
                let id = &peer.server().id;
                log::info!("gateway: request={} server={id} declined status={status}", call.id);
                if self.ran == 0 {
                    self.fallback = answer::error(Reason::Full);
                }
                if status == StatusCode::MISDIRECTED_REQUEST {
                    peer.record_failure(state.now());
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

/// Sends a request to one server and waits for its whole answer, until the caller's time is up.
async fn ask(state: &Rc<State>, call: &Call, peer: Rc<Peer>) -> (Rc<Peer>, Attempt) {
    let _alone = match crash::admit(state, call, false).await {
        Ok(alone) => alone,
        Err(_) => return (peer, Attempt::Stopped),
    };
    let _load = Load::new(peer.clone(), 0.0);
    let fields = fields(state, call, &peer.server().id);
    let attempt = match exchange::send(state, &peer, call, Need::New, fields, call.deadline).await {
        Outcome::Answer(answer) => match answer.collect(call.deadline).await {
            Some((head, body)) => Attempt::Answered(head, body),
            None if Instant::now() >= call.deadline => Attempt::Late,
            None => Attempt::Broken,
        },
        Outcome::NotSent(why) => Attempt::NotSent(why),
        Outcome::NotRun(status, _) => Attempt::NotRun(status),
        Outcome::Unknown(why) => Attempt::Unknown(why),
        Outcome::Late => Attempt::Late,
    };
    (peer, attempt)
}

/// Counts an answer that did not come in time in its server's mean.
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

/// Passes over a server that can't be reached. The other routers are not told: a router that is itself cut off
/// would take the few servers of the service from all of them, and each finds out by one connection.
fn mark_suspect(state: &Rc<State>, peer: &Rc<Peer>, why: &str) {
    if peer.record_failure(state.now()) {
        crash::check_silent_server(state, peer);
        log::warn!("gateway: server={} suspect=true why={why}", peer.server().id);
    }
}

/// How long a server gets before another one is asked.
fn slow_deadline(call: &Call, peer: &Peer) -> Instant {
    let usual = Duration::from_secs_f64(peer.pace.get().mean() * MEAN_TIME_FACTOR / 1e3);
    let time = call.route.goal.mul_f64(SLOW_FRACTION).max(MIN_ANSWER_TIME).max(usual);
    (Instant::now() + time).min(call.deadline)
}

fn choose(state: &State, service: &str, excluded: &[String]) -> Option<Rc<Peer>> {
    let now = state.now();
    let mut peers = state.peers_of(service);
    peers.retain(|p| p.ready() && p.limited.allows(now) && !excluded.contains(&p.server().id));
    let healthy: Vec<_> = peers.iter().filter(|p| p.usable(now)).cloned().collect();
    // If all are suspected, the suspicion is more likely about the way there than about each.
    let from = if healthy.is_empty() { peers } else { healthy };
    let choices: Vec<Choice> = from
        .iter()
        .map(|p| Choice {
            running: p.running.get(),
            slots: p.server().slots,
            pace: p.pace.get(),
            near: p.server().zone == state.setup.zone,
        })
        .collect();
    pick(&choices, &mut rand::rng()).map(|at| from[at].clone())
}

/// Whether all servers that take work name limits, which are used up.
fn over_limit(state: &State, service: &str) -> bool {
    let now = state.now();
    let mut peers = state.peers_of(service);
    peers.retain(|p| p.ready());
    !peers.is_empty() && peers.iter().all(|p| !p.limited.allows(now))
}

/// Fields that this router sets for one server.
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
