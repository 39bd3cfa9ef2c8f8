//! The ranges of layers of one draft, as its head sees them.
//!
//! The head sends each position through the ranges in order and keeps the inputs
//! of every range. When a range's stage is lost, a replica gets the kept inputs
//! again under a higher attempt number: only the lost layers run again.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, timeout, timeout_at};
use wire::frame::{Ask, Cause, Hop, Open, Output, Place, Refusal, Step, Tell, Word};
use wire::id;
use wire::link::Stream;

use crate::{Agent, stage};

/// Time to open a session at a stage. Longer than a new connection takes over a
/// slow link, and short against a caller's deadline.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1500);

/// Extra patience for each position of a step beyond the first, for long prompts.
const POSITION_PATIENCE: Duration = Duration::from_millis(10);

/// Pauses between rounds of looking for a replica.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// What stays the same for all ranges of a draft.
#[derive(Debug, Clone)]
pub struct Terms {
    /// The request.
    pub request: id::Request,
    /// Engine priority.
    pub priority: u8,
    /// Hash of the content.
    pub fingerprint: id::Fingerprint,
    /// Model and start of the prompt.
    pub tag: String,
    /// Silence after which a stage is replaced.
    pub step_timeout: Duration,
    /// When the caller no longer waits.
    pub deadline: Instant,
}

/// Where a range runs now.
#[derive(Debug)]
enum Seat {
    Nowhere,
    Here(Box<stage::Session>),
    There(Stream),
}

/// One range of a draft.
#[derive(Debug)]
struct Range {
    hop: Hop,
    seat: Seat,
    place: Option<id::Vm>,
    attempt: id::Attempt,
    kept: Vec<u64>,
}

/// All ranges of a draft.
#[derive(Debug)]
pub struct Chain {
    agent: Arc<Agent>,
    terms: Terms,
    ranges: Vec<Range>,
    position: id::Position,
    /// Stages replaced so far.
    pub replaced: u32,
    /// Layer runs repeated so far.
    pub repeated: u64,
}

impl Chain {
    /// Opens a session at one replica of every range, the first one here. On a
    /// refusal all that was opened is closed and nothing has run.
    pub async fn open(
        agent: Arc<Agent>,
        terms: Terms,
        hops: Vec<Hop>,
        attempt: id::Attempt,
    ) -> Result<Chain, Refusal> {
        let ranges = hops
            .into_iter()
            .map(|hop| Range { hop, seat: Seat::Nowhere, place: None, attempt, kept: Vec::new() })
            .collect();
        let mut chain = Chain { agent, terms, ranges, position: 0, replaced: 0, repeated: 0 };
        for i in 0..chain.ranges.len() {
            chain.open_first(i).await?;
        }
        Ok(chain)
    }

    async fn open_first(&mut self, i: usize) -> Result<(), Refusal> {
        let places = match i {
            0 => vec![self.own_place()],
            _ => self.ranges[i].hop.replicas.clone(),
        };
        let mut last = self.no_replica(i);
        for place in &places {
            match self.seat(i, place).await {
                Ok(()) => return Ok(()),
                Err(refusal) => last = refusal,
            }
        }
        Err(last)
    }

    /// Runs all ranges on the next positions and returns the token after them.
    pub async fn run(&mut self, inputs: &[u64]) -> Result<Word, Refusal> {
        let mut hidden = inputs.to_vec();
        let mut token = None;
        for i in 0..self.ranges.len() {
            let output = self.run_range(i, hidden).await?;
            (hidden, token) = (output.outputs, output.token);
        }
        self.position += inputs.len() as id::Position;
        token.ok_or_else(|| {
            let why = "the last range gave no token";
            Refusal::unknown(Cause::Unavailable, "sample", &self.agent.node.process.vm, why)
        })
    }

    async fn run_range(&mut self, i: usize, inputs: Vec<u64>) -> Result<Output, Refusal> {
        let step = Step { position: self.position, inputs };
        let output = match self.step(i, step.clone()).await {
            Ok(output) => output,
            Err(refusal) => self.replace(i, &step, refusal).await?,
        };
        self.ranges[i].kept.extend(&step.inputs);
        Ok(output)
    }

    /// Sends one step to where the range runs, and checks that the answer is that step's.
    async fn step(&mut self, i: usize, step: Step) -> Result<Output, Refusal> {
        let patience = self.terms.step_timeout + POSITION_PATIENCE * (step.inputs.len() as u32 - 1);
        let until = self.terms.deadline.min(Instant::now() + patience);
        let (position, count) = (step.position, step.inputs.len());
        let range = &mut self.ranges[i];
        let peer = range.place.clone().unwrap_or_default();
        let ran = match &mut range.seat {
            Seat::Nowhere => return Err(lost("step", &peer, "the range runs nowhere")),
            Seat::Here(session) => timeout_at(until, session.step(step)).await,
            Seat::There(stream) => timeout_at(until, exchange(stream, step)).await,
        };
        let output = ran.map_err(|_| lost("step", &peer, "no answer in time"))??;
        match output.position == position && output.outputs.len() == count {
            true => Ok(output),
            // An answer to another step would put layers out of order: the
            // text would differ from the straight-through one.
            false => Err(lost("step", &peer, "the answer belongs to another step")),
        }
    }

    /// Finds a replica for a lost stage and runs its kept inputs and the new step there.
    async fn replace(&mut self, i: usize, step: &Step, cause: Refusal) -> Result<Output, Refusal> {
        let request = self.terms.request.clone();
        let trace = |text: String| self.agent.node.trace.add(&request, "replace", text);
        trace(format!("layers from {} are lost: {cause}", self.ranges[i].hop.stage.first));
        let failed = self.ranges[i].place.take();
        self.ranges[i].seat = Seat::Nowhere;
        let mut last = cause;
        while Instant::now() < self.terms.deadline {
            for place in self.places(i, failed.as_deref()) {
                self.ranges[i].attempt += 1;
                match self.replay(i, &place, step).await {
                    Ok(output) => return Ok(output),
                    Err(refusal) => last = refusal,
                }
                if Instant::now() >= self.terms.deadline {
                    break;
                }
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
        let why = format!("no replica took over before the deadline; the last said: {last}");
        Err(Refusal::unknown(Cause::Deadline, "replace", &last.peer, why))
    }

    async fn replay(&mut self, i: usize, place: &Place, step: &Step) -> Result<Output, Refusal> {
        self.seat(i, place).await?;
        let kept = self.ranges[i].kept.len();
        let inputs = [&self.ranges[i].kept[..], &step.inputs].concat();
        let whole = match self.step(i, Step { position: 0, inputs }).await {
            Ok(whole) => whole,
            Err(refusal) => {
                self.ranges[i].seat = Seat::Nowhere;
                return Err(refusal);
            }
        };
        let stage = &self.ranges[i].hop.stage;
        let layers = u64::from(stage.last - stage.first + 1);
        self.replaced += 1;
        self.repeated += kept as u64 * layers;
        let text = format!("layers from {} go on at {}", stage.first, place.vm);
        self.agent.node.trace.add(&self.terms.request, "replace", text);
        Ok(Output {
            position: step.position,
            outputs: whole.outputs[kept..].to_vec(),
            token: whole.token,
        })
    }

    /// Replicas to try, the failed one last: it may have come back.
    fn places(&self, i: usize, failed: Option<&str>) -> Vec<Place> {
        let mut places = self.ranges[i].hop.replicas.clone();
        if i == 0 && !places.iter().any(|p| p.vm == self.agent.node.process.vm) {
            places.push(self.own_place());
        }
        places.sort_by_key(|p| Some(p.vm.as_str()) == failed);
        places
    }

    /// Opens a session of the range at a place.
    async fn seat(&mut self, i: usize, place: &Place) -> Result<(), Refusal> {
        let range = &self.ranges[i];
        let open = Open {
            request: self.terms.request.clone(),
            attempt: range.attempt,
            stage: range.hop.stage.clone(),
            priority: self.terms.priority,
            fingerprint: self.terms.fingerprint,
            tag: self.terms.tag.clone(),
        };
        let opened = timeout(OPEN_TIMEOUT, open_at(&self.agent, place, open)).await;
        let seat = opened.unwrap_or_else(|_| {
            Err(Refusal::not_run(Cause::Unavailable, "open", &place.vm, "no answer in time"))
        })?;
        self.ranges[i].seat = seat;
        self.ranges[i].place = Some(place.vm.clone());
        Ok(())
    }

    fn own_place(&self) -> Place {
        let process = &self.agent.node.process;
        Place { vm: process.vm.clone(), address: process.listen.to_string() }
    }

    fn no_replica(&self, i: usize) -> Refusal {
        let stage = &self.ranges[i].hop.stage;
        let why = format!("no replica of layers {}-{} is known", stage.first, stage.last);
        Refusal::not_run(Cause::Unavailable, "open", &self.agent.node.process.vm, why)
    }
}

async fn open_at(agent: &Arc<Agent>, place: &Place, open: Open) -> Result<Seat, Refusal> {
    if place.vm == agent.node.process.vm {
        let table = agent.stage.as_ref().ok_or_else(|| {
            Refusal::not_run(Cause::Unavailable, "open", &place.vm, "no engine stands here")
        })?;
        return table.open(&open).await.map(|s| Seat::Here(Box::new(s)));
    }
    let down = |e: wire::link::Error| {
        Refusal::not_run(Cause::Unavailable, "open", &place.vm, e.to_string())
    };
    let mut stream =
        agent.node.peers.open(&place.vm, &place.address, &Ask::Open(open)).await.map_err(down)?;
    match stream.expect().await.map_err(down)? {
        Tell::Opened => Ok(Seat::There(stream)),
        Tell::Refused(refusal) => Err(refusal),
        _ => Err(Refusal::not_run(Cause::Unavailable, "open", &place.vm, "unexpected frame")),
    }
}

async fn exchange(stream: &mut Stream, step: Step) -> Result<Output, Refusal> {
    let peer = stream.peer.clone();
    let down = |e: wire::link::Error| lost("step", &peer, &e.to_string());
    stream.send(&Tell::Step(step)).await.map_err(down)?;
    match stream.expect().await.map_err(down)? {
        Tell::Output(output) => Ok(output),
        Tell::Refused(refusal) => Err(refusal),
        _ => Err(lost("step", &peer, "unexpected frame")),
    }
}

fn lost(step: &str, peer: &str, why: &str) -> Refusal {
    Refusal::unknown(Cause::Lost, step, peer, why)
}
