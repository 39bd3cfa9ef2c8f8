//! Requests to plain services: one server, one answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use policy::pick::{Choice, pick};
use tokio::time::{Instant, timeout_at};

use crate::answer::{self, Body, Reason};
use crate::exchange::{self, Outcome};
use crate::peer::{Load, Peer};
use crate::request::Call;
use crate::state::State;

/// Servers asked for one request at most, counting those that decline it.
const TRIES: u32 = 4;

/// Part of a repeatable request's goal after which another server is asked. The answer of the
/// second one then still comes within the goal, where the first has lost it.
const PATIENCE: f64 = 0.6;

/// Shortest time a server is given before another one is asked.
const SHORTEST: Duration = Duration::from_millis(100);

/// Multiple of a server's mean time that it is given at least: one answer in a hundred takes five
/// times the usual, and asking twice for each of these would double the load of a slow service.
const USUAL: f64 = 4.0;

/// What came of asking one server.
enum Tried {
    /// Its whole answer.
    Answered(Response<()>, Bytes),
    /// Its answer broke off.
    Broken,
    /// It never got the request.
    NotSent(String),
    /// It says that it did not run it.
    NotRun(StatusCode),
    /// It may have run it, and there is no answer.
    Unknown(String),
    /// It has not answered yet, and another one is asked.
    Slow,
    /// Time is up.
    Late,
}

/// Serves one request.
pub async fn serve(state: &Rc<State>, call: &Call, service: &str) -> Response<Body> {
    let mut asked: Vec<String> = Vec::new();
    let mut ran = 0;
    // What the caller gets if nothing better comes.
    let mut fallback = answer::own(Reason::NoServer);
    let mut next = choose(state, service, &asked);
    for _ in 0..TRIES {
        let Some(peer) = next.take() else { break };
        let id = peer.server().id.clone();
        asked.push(id.clone());
        let last = ran + 1 >= call.route.attempts || !call.route.class.repeatable();
        let _load = Load::new(peer.clone(), 0.0);
        let trying = ask(state, call, &peer, &id);
        let tried = match last {
            true => trying.await,
            false => {
                tokio::pin!(trying);
                match timeout_at(limit(call, &peer), &mut trying).await {
                    Ok(tried) => tried,
                    Err(_) => {
                        next = repeat(state, service, &asked);
                        // One that is slow is given up only for another one: it may yet answer.
                        if next.is_some() { Tried::Slow } else { trying.await }
                    }
                }
            }
        };
        match tried {
            Tried::Answered(head, body) => {
                ran += 1;
                let answer = answer::whole(head, body);
                if last || !answer.status().is_server_error() {
                    return answer;
                }
                fallback = answer;
            }
            Tried::NotSent(why) => pass_over(state, &peer, &why),
            Tried::NotRun(status) => {
                log::info!("gateway: request={} server={id} declined status={status}", call.id);
                if ran == 0 {
                    fallback = answer::own(Reason::Full);
                }
                if status == StatusCode::MISDIRECTED_REQUEST {
                    peer.fail(state.now());
                }
            }
            Tried::Broken | Tried::Unknown(_) => {
                ran += 1;
                if let Tried::Unknown(why) = tried {
                    log::info!(
                        "gateway: request={} server={id} outcome=unknown why={why}",
                        call.id
                    );
                }
                fallback = answer::own(Reason::Lost);
                if last {
                    return fallback;
                }
            }
            Tried::Slow => {
                ran += 1;
                note_slow(call, &peer);
                fallback = answer::own(Reason::Late);
            }
            Tried::Late => {
                note_slow(call, &peer);
                return late(state, call, &peer);
            }
        }
        if call.left().is_zero() || ran >= call.route.attempts {
            break;
        }
        next = next.or_else(|| repeat(state, service, &asked));
    }
    fallback
}

/// Sends a request to one server and waits for its whole answer, until the caller's time is up.
async fn ask(state: &State, call: &Call, peer: &Rc<Peer>, id: &str) -> Tried {
    match exchange::send(state, peer, call, fields(state, call, id), call.until).await {
        Outcome::Answer(answer) => match answer.collect(call.until).await {
            Some((head, body)) => Tried::Answered(head, body),
            None if Instant::now() >= call.until => Tried::Late,
            None => Tried::Broken,
        },
        Outcome::NotSent(why) => Tried::NotSent(why),
        Outcome::NotRun(status, _) => Tried::NotRun(status),
        Outcome::Unknown(why) => Tried::Unknown(why),
        Outcome::Late => Tried::Late,
    }
}

/// Another server, if there is one and a repeat is left for it.
fn repeat(state: &State, service: &str, asked: &[String]) -> Option<Rc<Peer>> {
    choose(state, service, asked).filter(|_| state.may_repeat(service))
}

/// Counts an answer that did not come in time in its server's mean.
fn note_slow(call: &Call, peer: &Peer) {
    let mut pace = peer.pace.get();
    pace.add(call.route.goal.as_secs_f64() * 2e3);
    peer.pace.set(pace);
}

fn late(state: &State, call: &Call, peer: &Peer) -> Response<Body> {
    log::info!(
        "gateway: request={} server={} outcome=late age={:?}",
        call.id,
        peer.server().id,
        call.came.elapsed()
    );
    state.metrics.late();
    answer::own(Reason::Late)
}

/// Passes over a server that can't be reached. The other routers are not told: a router that is itself cut off
/// would take the few servers of the service from all of them, and each finds out by one connection.
fn pass_over(state: &State, peer: &Peer, why: &str) {
    if peer.fail(state.now()) {
        log::warn!("gateway: server={} suspect=true why={why}", peer.server().id);
    }
}

/// How long a server gets before another one is asked.
fn limit(call: &Call, peer: &Peer) -> Instant {
    let usual = Duration::from_secs_f64(peer.pace.get().mean() * USUAL / 1e3);
    let time = call.route.goal.mul_f64(PATIENCE).max(SHORTEST).max(usual);
    (Instant::now() + time).min(call.until)
}

fn choose(state: &State, service: &str, but: &[String]) -> Option<Rc<Peer>> {
    let now = state.now();
    let mut peers = state.of(service);
    peers.retain(|p| p.ready() && !but.contains(&p.server().id));
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
