//! Runs a draft through all ranges of layers of its model, on behalf of its head.
//!
//! The head sends each position through the ranges in order and records the inputs of every
//! range. When the stage that runs a range is lost, the recorded inputs are replayed at another
//! replica under a higher attempt number, so only the lost layers run again.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use wire::frame::{Hop, Open, Output, Place, Sample, Step};
use wire::id;
use wire::refusal::{Cause, Refusal};

use crate::Agent;
use crate::session::{self, Session, lost};

/// Added to the step time-out for each position after the first: a step with a long prompt takes
/// longer.
const TIMEOUT_PER_POSITION: Duration = Duration::from_millis(10);

/// Pause before a draft that was running at a crash runs alone elsewhere. Engines that fail
/// together for another reason have crashed by then. Without the pause, a draft that had just
/// started to run alone on the second of them would be blamed for its crash.
const ISOLATION_DELAY: Duration = Duration::from_millis(100);

/// Pause between two rounds of trying all replicas.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// Parameters of a draft that are the same for all ranges.
#[derive(Debug, Clone)]
pub struct Params {
    /// Id of the request.
    pub request: id::Request,
    /// Engine priority.
    pub priority: u8,
    /// Hash of the request's content.
    pub fingerprint: id::Fingerprint,
    /// True when the draft was running at a crash of an engine.
    pub suspect: bool,
    /// Model and start of the prompt, shown to operators.
    pub tag: String,
    /// Time without an answer after which a stage is replaced.
    pub step_timeout: Duration,
    /// Time at which the caller gives up.
    pub deadline: Instant,
}

/// A range of layers and the session that runs it.
#[derive(Debug)]
struct Range {
    hop: Hop,
    session: Session,
    place: Option<id::Vm>,
    attempt: id::Attempt,
    inputs: Vec<u64>,
    /// True when the draft was running at a crash of an engine of this range.
    suspect: bool,
}

/// The ranges of a draft with their sessions.
#[derive(Debug)]
pub struct Chain {
    agent: Arc<Agent>,
    params: Params,
    ranges: Vec<Range>,
    position: id::Position,
    /// Stages replaced so far.
    pub replaced: u32,
    /// Layer runs repeated so far because a stage was lost.
    pub repeated: u64,
}

impl Chain {
    /// Opens a session at one replica of every range; the first range runs at this agent. On a
    /// refusal all opened sessions are closed, and nothing has run.
    pub async fn open(
        agent: Arc<Agent>,
        params: Params,
        hops: Vec<Hop>,
        attempt: id::Attempt,
    ) -> Result<Chain, Refusal> {
        let ranges = hops
            .into_iter()
            .map(|hop| Range {
                hop,
                session: Session::Closed,
                place: None,
                attempt,
                inputs: Vec::new(),
                suspect: params.suspect,
            })
            .collect();
        let mut chain = Chain { agent, params, ranges, position: 0, replaced: 0, repeated: 0 };
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
        self.open_session(i, &places).await
    }

    /// Runs all ranges on the next positions and returns the token sampled after them.
    pub async fn run(&mut self, inputs: &[u64]) -> Result<Sample, Refusal> {
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
        self.ranges[i].inputs.extend(&step.inputs);
        Ok(output)
    }

    /// Runs one step in the range's session, and checks that the output belongs to this step.
    async fn step(&mut self, i: usize, step: Step) -> Result<Output, Refusal> {
        let timeout =
            self.params.step_timeout + TIMEOUT_PER_POSITION * (step.inputs.len() as u32 - 1);
        let until = self.params.deadline.min(Instant::now() + timeout);
        let (position, count) = (step.position, step.inputs.len());
        let range = &mut self.ranges[i];
        let peer = range.place.clone().unwrap_or_default();
        let ran = timeout_at(until, range.session.step(step)).await;
        let output = ran.map_err(|_| lost("step", &peer, "no answer in time"))??;
        match output.position == position && output.outputs.len() == count {
            true => Ok(output),
            // With the output of another step the positions would get out of order, and the text
            // would differ from that of an uninterrupted run.
            false => Err(lost("step", &peer, "the answer belongs to another step")),
        }
    }

    /// Opens the range at another replica after its stage was lost, and replays the recorded
    /// inputs and the new step there.
    async fn replace(&mut self, i: usize, step: &Step, cause: Refusal) -> Result<Output, Refusal> {
        let mut failed = Vec::new();
        let mut last = cause;
        while Instant::now() < self.params.deadline {
            let text = format!("layers from {} are lost: {last}", self.ranges[i].hop.stage.first);
            self.agent.node.trace.add(&self.params.request, "replace", text);
            if is_final(last.cause) {
                return Err(last);
            }
            let range = &mut self.ranges[i];
            // After one crash it is not known which of the running requests caused it. If this
            // one did and ran beside others again, it would crash another engine under them.
            range.suspect |= last.cause == Cause::Crashed;
            if last.cause == Cause::Crashed {
                tokio::time::sleep(ISOLATION_DELAY).await;
            }
            range.session = Session::Closed;
            failed.extend(range.place.take());
            range.attempt += 1;
            let places = self.places(i, &failed);
            let all_failed = places.iter().all(|p| failed.contains(&p.vm));
            match self.replay(i, &places, step).await {
                Ok(output) => return Ok(output),
                Err(refusal) => last = refusal,
            }
            if all_failed || self.ranges[i].place.is_none() {
                self.refresh_replicas(i).await;
                tokio::time::sleep(ROUND_PAUSE).await;
            }
        }
        let why = format!("no replica took over before the deadline; the last said: {last}");
        Err(Refusal::unknown(Cause::Deadline, "replace", &last.peer, why))
    }

    /// Asks a router for the current replicas of the range and puts them first in the list.
    async fn refresh_replicas(&mut self, i: usize) {
        let found = session::query_replicas(&self.agent, &self.ranges[i].hop.stage).await;
        let known = &mut self.ranges[i].hop.replicas;
        known.retain(|k| !found.iter().any(|f| f.vm == k.vm));
        known.splice(0..0, found);
    }

    async fn replay(&mut self, i: usize, places: &[Place], step: &Step) -> Result<Output, Refusal> {
        self.open_session(i, places).await?;
        let count = self.ranges[i].inputs.len();
        let inputs = [&self.ranges[i].inputs[..], &step.inputs].concat();
        let replayed = self.step(i, Step { position: 0, inputs }).await?;
        self.ranges[i].suspect = false;
        let stage = &self.ranges[i].hop.stage;
        let layers = u64::from(stage.last - stage.first + 1);
        self.replaced += 1;
        self.repeated += count as u64 * layers;
        let text = format!("layers from {} go on at {:?}", stage.first, self.ranges[i].place);
        self.agent.node.trace.add(&self.params.request, "replace", text);
        Ok(Output {
            position: step.position,
            outputs: replayed.outputs[count..].to_vec(),
            token: replayed.token,
        })
    }

    /// Returns the replicas to try, those with more failures later. Failed ones stay in the list,
    /// since they may have recovered.
    fn places(&self, i: usize, failed: &[id::Vm]) -> Vec<Place> {
        let mut places = self.ranges[i].hop.replicas.clone();
        if i == 0 && !places.iter().any(|p| p.vm == self.agent.node.process.vm) {
            places.push(self.own_place());
        }
        places.sort_by_key(|p| failed.iter().filter(|f| **f == p.vm).count());
        places
    }

    /// Opens a session of the range at the first of `places` that accepts it.
    async fn open_session(&mut self, i: usize, places: &[Place]) -> Result<(), Refusal> {
        let range = &self.ranges[i];
        let open = Open {
            request: self.params.request.clone(),
            attempt: range.attempt,
            stage: range.hop.stage.clone(),
            priority: self.params.priority,
            fingerprint: self.params.fingerprint,
            tag: self.params.tag.clone(),
            suspect: range.suspect,
        };
        let (session, place) = session::open_any(&self.agent, places, &open).await?;
        self.ranges[i].session = session;
        self.ranges[i].place = Some(place.vm);
        Ok(())
    }

    fn own_place(&self) -> Place {
        let process = &self.agent.node.process;
        Place { vm: process.vm.clone(), address: process.listen.to_string() }
    }
}

/// True when a retry at another replica is useless or harmful.
fn is_final(cause: Cause) -> bool {
    matches!(cause, Cause::Quarantined | Cause::Fenced | Cause::Cancelled)
}
