//! Requests to plain services: one server, one answer.

use std::rc::Rc;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use policy::pick::{Choice, pick};
use tokio::time::Instant;

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

/// Serves one request.
pub async fn serve(state: &Rc<State>, call: &Call, service: &str) -> Response<Body> {
    let mut asked: Vec<String> = Vec::new();
    let mut ran = 0;
    // What the caller gets if nothing better comes.
    let mut fallback = answer::own(Reason::NoServer);
    for _ in 0..TRIES {
        let Some(peer) = choose(state, service, &asked) else { break };
        // Only what reached a server counts as a repeat there.
        if !asked.is_empty() && !state.may_repeat(service) {
            break;
        }
        let id = peer.server().id.clone();
        let last = ran + 1 >= call.route.attempts || !call.route.class.repeatable();
        let until = if last { call.until } else { limit(call, &peer) };
        let _load = Load::new(peer.clone(), 0.0);
        let outcome = exchange::send(state, &peer, call, fields(state, call, &id), until).await;
        match outcome {
            Outcome::Answer(answer) => {
                ran += 1;
                let bad = answer.head.status().is_server_error();
                match answer.collect(until).await {
                    Some((head, body)) if !bad || last => return answer::whole(head, body),
                    Some((head, body)) => fallback = answer::whole(head, body),
                    None if Instant::now() >= call.until => return late(state, call, &peer),
                    None if last => return answer::own(Reason::Lost),
                    None => fallback = answer::own(Reason::Lost),
                }
            }
            Outcome::NotSent(why) => {
                pass_over(state, &peer, &why);
                asked.push(id);
                continue;
            }
            Outcome::NotRun(status, _) => {
                log::info!("gateway: request={} server={id} declined status={status}", call.id);
                if ran == 0 {
                    fallback = answer::own(Reason::Full);
                }
                if status == StatusCode::MISDIRECTED_REQUEST {
                    peer.fail(state.now());
                }
            }
            Outcome::Unknown(why) => {
                ran += 1;
                log::info!("gateway: request={} server={id} outcome=unknown why={why}", call.id);
                if last {
                    return answer::own(Reason::Lost);
                }
                fallback = answer::own(Reason::Lost);
            }
            Outcome::Late => {
                ran += 1;
                let mut pace = peer.pace.get();
                pace.add(call.route.goal.as_secs_f64() * 2e3);
                peer.pace.set(pace);
                if last || Instant::now() >= call.until {
                    return late(state, call, &peer);
                }
                fallback = answer::own(Reason::Late);
            }
        }
        asked.push(id);
        if call.left().is_zero() || ran >= call.route.attempts {
            break;
        }
    }
    fallback
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
