//! The session that runs a range of a draft, at this agent or at another one.

use std::sync::Arc;
use std::time::Duration;

use cloud::vm::Role;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use node::liveness::WaitGuard;
use rand::seq::IndexedRandom;
use tokio::time::{sleep, timeout};
use wire::frame::{Command, Frame, Open, Output, Place, Stage, Step};
use wire::link::Stream;
use wire::refusal::{Cause, Refusal};

use crate::{Agent, stage};

/// Time-out of opening a session at a stage. Longer than a new connection takes over a slow link,
/// and short compared with a caller's deadline.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1500);

/// Delay after which the next replica is tried as well. A replica that is frozen or cut off costs
/// this time, not that of a whole connection attempt.
const HEDGE_DELAY: Duration = Duration::from_millis(100);

/// Time-out of a router's list of replicas.
const REPLICAS_TIMEOUT: Duration = Duration::from_millis(300);

/// The session that runs a range.
#[derive(Debug)]
pub enum Session {
    /// Not opened yet, or lost.
    Closed,
    /// At the engine beside this agent.
    Local(Box<stage::Session>),
    /// At another agent, which is monitored while the draft runs.
    Remote(Stream, WaitGuard),
}

impl Session {
    /// Runs one step.
    pub async fn step(&mut self, step: Step) -> Result<Output, Refusal> {
        match self {
            Session::Closed => Err(lost("step", "", "the range runs nowhere")),
            Session::Local(session) => session.step(step).await,
            Session::Remote(stream, _) => run_remote_step(stream, step).await,
        }
    }
}

/// Opens a session at the first of `places` that answers. The next place is tried when one
/// refuses or does not answer within `HEDGE_DELAY`. A session that is opened later is closed
/// unused.
pub async fn open_any(
    agent: &Arc<Agent>,
    places: &[Place],
    open: &Open,
) -> Result<(Session, Place), Refusal> {
    let mut last = no_replica(agent, &open.stage);
    let mut rest = places.iter();
    let mut opening = FuturesUnordered::new();
    loop {
        match rest.next() {
            Some(place) => opening.push(open_one(agent, place, open.clone())),
            None if opening.is_empty() => return Err(last),
            None => {}
        }
        let more = rest.len() > 0;
        tokio::select! {
            Some((place, opened)) = opening.next() => match opened {
                Ok(seat) => return Ok((seat, place.clone())),
                Err(refusal) if refusal.cause == Cause::Quarantined => return Err(refusal),
                Err(refusal) => last = refusal,
            },
            () = sleep(HEDGE_DELAY), if more => {}
        }
    }
}

async fn open_one<'a>(
    agent: &Arc<Agent>,
    place: &'a Place,
    open: Open,
) -> (&'a Place, Result<Session, Refusal>) {
    let opened = timeout(OPEN_TIMEOUT, open_at(agent, place, open)).await;
    let silent = Refusal::not_run(Cause::Unavailable, "open", &place.vm, "no answer in time");
    (place, opened.unwrap_or(Err(silent)))
}

async fn open_at(agent: &Arc<Agent>, place: &Place, open: Open) -> Result<Session, Refusal> {
    if place.vm == agent.node.process.vm {
        let table = agent.stage.as_ref().ok_or_else(|| {
            Refusal::not_run(Cause::Unavailable, "open", &place.vm, "no engine stands here")
        })?;
        return table.open(&open).await.map(|s| Session::Local(Box::new(s)));
    }
    let down = |e: wire::link::Error| {
        Refusal::not_run(Cause::Unavailable, "open", &place.vm, e.to_string())
    };
    let peers = &agent.node.peers;
    let wait = peers.register_wait(&place.vm, &place.address);
    let mut stream =
        peers.open(&place.vm, &place.address, &Command::Open(open)).await.map_err(down)?;
    match stream.expect().await.map_err(down)? {
        Frame::Opened => Ok(Session::Remote(stream, wait)),
        Frame::Refused(refusal) => Err(refusal),
        _ => Err(Refusal::not_run(Cause::Unavailable, "open", &place.vm, "unexpected frame")),
    }
}

async fn run_remote_step(stream: &mut Stream, step: Step) -> Result<Output, Refusal> {
    let peer = stream.peer.clone();
    let down = |e: wire::link::Error| lost("step", &peer, &e.to_string());
    stream.send(&Frame::Step(step)).await.map_err(down)?;
    match stream.expect().await.map_err(down)? {
        Frame::Output(output) => Ok(output),
        Frame::Refused(refusal) => Err(refusal),
        _ => Err(lost("step", &peer, "unexpected frame")),
    }
}

/// Returns the replicas of a range that a router knows now; none if no router answers. The list
/// in a draft is as old as the draft and lacks replicas that joined or were ordered to load the
/// range since.
pub async fn query_replicas(agent: &Arc<Agent>, stage: &Stage) -> Vec<Place> {
    let list = agent.node.vms.borrow().clone();
    let routers: Vec<_> = list.iter().filter(|e| e.role == Role::Router).collect();
    let Some(router) = routers.choose(&mut rand::rng()) else { return Vec::new() };
    let ask = Command::Replicas(stage.clone());
    let asked = agent.node.peers.request(&router.vm, &router.address, &ask);
    match timeout(REPLICAS_TIMEOUT, asked).await {
        Ok(Ok(Frame::Places(places))) => places,
        _ => Vec::new(),
    }
}

fn no_replica(agent: &Agent, stage: &Stage) -> Refusal {
    let why = format!("no replica of layers {}-{} is known", stage.first, stage.last);
    Refusal::not_run(Cause::Unavailable, "open", &agent.node.process.vm, why)
}

/// Returns the refusal for a step that may or may not have run.
pub fn lost(step: &str, peer: &str, why: &str) -> Refusal {
    Refusal::unknown(Cause::Lost, step, peer, why)
}
