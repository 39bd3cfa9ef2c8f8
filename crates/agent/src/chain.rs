//! The ranges of layers of one draft, as its head sees them.
//!
//! The head sends each position through the ranges in order and keeps the inputs
//! of every range. When a range's stage is lost, a replica gets the kept inputs
//! again under a higher attempt number: only the lost layers run again.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use wire::frame::{Hop, Open, Output, Place, Sample, Step};
use wire::id;
use wire::refusal::{Cause, Refusal};

use crate::Agent;
use crate::session::{self, Session, lost};

/// Extra patience for each position of a step beyond the first, for long prompts.
const TIMEOUT_PER_POSITION: Duration = Duration::from_millis(10);

/// Pause before a draft that ran at a crash runs alone elsewhere. Engines that
/// die together by another cause have died by then; without it a draft that has
/// just begun to run alone at the second of them would be held to be at fault.
const ISOLATION_DELAY: Duration = Duration::from_millis(100);

/// Pauses between rounds of looking for a replica.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// What stays the same for all ranges of a draft.
#[derive(Debug, Clone)]
pub struct Params {
    /// The request.
    pub request: id::Request,
    /// Engine priority.
    pub priority: u8,
    /// Hash of the content.
    pub fingerprint: id::Fingerprint,
    /// True when it was running at a crash of an engine.
    pub suspect: bool,
    /// Model and start of the prompt.
    pub tag: String,
    /// Silence after which a stage is replaced.
    pub step_timeout: Duration,
    /// When the caller no longer waits.
    pub deadline: Instant,
}

/// One range of a draft.
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

/// All ranges of a draft.
#[derive(Debug)]
pub struct Chain {
    agent: Arc<Agent>,
    params: Params,
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

    /// Runs all ranges on the next positions and returns the token after them.
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

    /// Sends one step to where the range runs, and checks that the answer is that step's.
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
            // An answer to another step would put layers out of order: the
            // text would differ from the straight-through one.
            false => Err(lost("step", &peer, "the answer belongs to another step")),
        }
    }

    /// Finds a replica for a lost stage and runs its kept inputs and the new step there.
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
            // At one crash it is not known which of the requests that ran is at
            // fault: run beside others again, it would take them down once more.
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

    /// Adds replicas of the range that the draft did not come with.
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

    /// Replicas to try, those that failed oftener later: they may have come back.
    fn places(&self, i: usize, failed: &[id::Vm]) -> Vec<Place> {
        let mut places = self.ranges[i].hop.replicas.clone();
        if i == 0 && !places.iter().any(|p| p.vm == self.agent.node.process.vm) {
            places.push(self.own_place());
        }
        places.sort_by_key(|p| failed.iter().filter(|f| **f == p.vm).count());
        places
    }

    /// Opens a session of the range at the first of the places that has room.
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

/// True when trying elsewhere is of no use or would do harm.
fn is_final(cause: Cause) -> bool {
    matches!(cause, Cause::Quarantined | Cause::Fenced | Cause::Cancelled)
}
