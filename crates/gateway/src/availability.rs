//! What backend servers ask of this router, and the last check before a request is sent to them.
//!
//! [`policy::availability`] decides; this module feeds it with the answers of servers and asks it at the last moment.
//! Requests wait for retries, permits and connections after a server was chosen, and it may have asked for a backoff
//! meanwhile.

use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use hyper::Response;
use policy::availability::{Obstacle, Use, return_spread};
use policy::crash::Start;
use policy::departure::MAX_HOLD;

use crate::answer::{self, Body, Reason};
use crate::notice::Notice;
use crate::peer::Peer;
use crate::request::Call;
use crate::server::Id;
use crate::state::State;
use crate::statement::{Field, Statement};

/// Time after which a caller retries if the only servers have just ended their backoffs: several answers later.
const RETURN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Why a request was not sent.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("server={server} obstacle={obstacle}")]
pub struct Withheld {
    /// The server that does not want it.
    pub server: Id,
    /// Why it does not.
    pub obstacle: Obstacle,
}

/// Permission to send one request. Until it is dropped, the request counts as in progress at servers that return from a
/// backoff.
#[derive(Debug)]
pub struct Permit {
    state: Rc<State>,
    counted: Vec<Start>,
    served: bool,
}

impl Permit {
    /// Ends the permit; `served` says whether the servers answered the request.
    pub fn settle(mut self, served: bool) {
        self.served = served;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.state.now();
        let mut register = self.state.availability.borrow_mut();
        for start in &self.counted {
            register.settle(&start.id, start.born, self.served, now);
        }
        if !self.counted.is_empty() {
            self.state.changed.notify_waiters();
        }
    }
}

/// Checks whether a request may be sent to the first of `path`, and on to the others, right before it is sent.
pub fn permit(state: &Rc<State>, path: &[Rc<Peer>]) -> Result<Permit, Withheld> {
    let now = state.now();
    let mut permit = Permit { state: state.clone(), counted: Vec::new(), served: false };
    for (at, peer) in path.iter().enumerate() {
        let start = peer.start();
        let how = if at == 0 { Use::Direct } else { Use::Path };
        let admitted = state.availability.borrow_mut().admit(&start.id, start.born, how, now);
        match admitted {
            Ok(true) => permit.counted.push(start),
            Ok(false) => {}
            Err(obstacle) => {
                state.metrics.withheld();
                return Err(Withheld { server: start.id, obstacle });
            }
        }
    }
    Ok(permit)
}

/// Records what a server asks for in an answer. `start` is its start when `request` was sent.
pub fn record(state: &State, peer: &Rc<Peer>, start: &Start, statement: &Statement, request: &str) {
    match &statement.backoff {
        Field::Value(time) if !time.is_zero() => {
            back_off(state, peer, start, *time, statement, request);
        }
        Field::Unreadable(text) => record_unreadable(state, start, "backoff", text),
        Field::Value(_) | Field::Absent => {}
    }
    match &statement.leaving {
        Field::Value(true) => record_leaving(state, start, "its answer", true),
        Field::Unreadable(text) => record_unreadable(state, start, "leaving", text),
        Field::Value(false) | Field::Absent => {}
    }
}

/// Records a backoff. If a later server of the path is at fault, that one gets no requests at all, and the first one,
/// which gave the answer, none that are sent to it directly.
fn back_off(
    state: &State,
    peer: &Rc<Peer>,
    start: &Start,
    time: Duration,
    statement: &Statement,
    request: &str,
) {
    state.metrics.backoff_asked();
    let (now, routers) = (state.now(), state.routers());
    let culprit = statement.culprit.filter(|address| *address != peer.server().address);
    let at_fault = culprit.and_then(|address| state.peer_at(address)).map(|peer| peer.start());
    let how = if culprit.is_some() { Use::Direct } else { Use::Path };
    for (start, how) in
        std::iter::once((start, how)).chain(at_fault.iter().map(|start| (start, Use::Path)))
    {
        let mut register = state.availability.borrow_mut();
        if register.back_off(start, how, time, now, routers, rand::random()) {
            let end = register.backoff_end(&start.id, start.born, Use::Direct, now);
            log::info!(
                "gateway: server={} backoff={time:?} until={:?} use={how:?} asked_by={} asked_at={request}",
                start.id,
                end.unwrap_or(now),
                peer.server().id
            );
        }
    }
    state.changed.notify_waiters();
}

fn record_unreadable(state: &State, start: &Start, field: &str, text: &str) {
    if state.availability.borrow_mut().record_unreadable(start, state.now()) {
        log::warn!("gateway: server={} {field} can't be read: {text:?}", start.id);
    }
}

/// Records that a start of a server is leaving for good; `first_hand` says that it said so to this router, which then
/// notifies the others.
pub fn record_leaving(state: &State, start: &Start, why: &str, first_hand: bool) {
    if !state.availability.borrow_mut().leave(start, state.now()) {
        return;
    }
    let Start { id, born } = start;
    log::info!("gateway: server={id} leaving=true born={born} why={why}");
    if first_hand {
        let (server, born) = (id.clone(), *born);
        let hold_ms = MAX_HOLD.as_millis() as u64;
        state.announce(Notice::Leaving { server, born, hold_ms, stated: true });
    }
    state.changed.notify_waiters();
}

/// Returns how long it takes until the first backoff of a service's servers ends; none if no server has asked for one.
pub fn first_return(state: &State, service: &str) -> Option<Duration> {
    let now = state.now();
    let mut peers = state.peers_of(service);
    peers.retain(|p| p.stays(now));
    let wait = |peer: &Rc<Peer>| match peer.obstacle(Use::Direct, now) {
        Some(Obstacle::Backoff) => peer.backoff_end(now).map(|end| end.saturating_sub(now)),
        Some(Obstacle::Return) => Some(RETURN_RETRY_AFTER),
        Some(Obstacle::Leaving) | None => None,
    };
    let waits: Vec<Duration> = peers.iter().filter_map(wait).collect();
    waits.iter().min().copied()
}

/// Returns the response to a request that must wait for the end of a backoff.
pub fn refuse(state: &State, call: &Call, service: &str) -> Response<Body> {
    let wait = first_return(state, service).unwrap_or(RETURN_RETRY_AFTER);
    let wait = wait + return_spread(wait, state.routers(), rand::random());
    // A later return is of no use to this caller, and until then another server may have started.
    answer::error_after(Reason::Backoff, Some(wait.min(call.time_left())))
}

/// Returns the metrics text: remaining backoffs of servers, and servers that said they are leaving.
pub fn page(state: &State) -> String {
    let now = state.now();
    let line = |peer: Rc<Peer>| {
        let id = &peer.server().id;
        match peer.obstacle(Use::Direct, now)? {
            Obstacle::Leaving => Some(format!("hyssop_server_leaving{{server=\"{id}\"}} 1\n")),
            Obstacle::Backoff | Obstacle::Return => {
                let left = peer.backoff_end(now).map_or(0.0, |end| (end - now).as_secs_f64());
                Some(format!("hyssop_server_backoff_seconds{{server=\"{id}\"}} {left:.1}\n"))
            }
        }
    };
    state.peers().into_iter().filter_map(line).collect()
}
