//! Drafts that this agent drives as their head.
//!
//! A draft runs in its own task, and the router's stream only follows it. So the draft survives
//! the loss of the router, and the caller can resume it through another one.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use policy::quarantine::Verdict;
use tokio::sync::watch;
use tokio::time::Instant;
use wire::frame::{Accepted, Attach, Cancel, Done, Draft, Frame, Sample, Token};
use wire::id;
use wire::link::Stream;
use wire::refusal::{Cause, Refusal};

use crate::chain::{Chain, Params};
use crate::{Agent, crash};

/// Time without a follower after which a draft is cancelled: its caller is gone, and so is the
/// router. Long enough for a caller to notice a broken connection and reconnect through the load
/// balancer.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval at which the followers of a draft are counted.
const FOLLOWER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Characters of the prompt that are shown to operators.
const MAX_TAG_CHARS: usize = 60;

/// Tokens generated so far, and the outcome once the draft has ended.
#[derive(Debug, Default, Clone)]
struct Progress {
    samples: Vec<Sample>,
    end: Option<Result<Done, Refusal>>,
}

/// A draft that is running or has recently ended.
#[derive(Debug)]
pub struct Run {
    request: id::Request,
    workspace: id::Workspace,
    prompt_tokens: u32,
    /// Number of generated tokens that the caller had before this head took over.
    offset: u32,
    progress: watch::Sender<Progress>,
    cancelled: watch::Sender<bool>,
}

/// Drafts of which this agent is the head.
#[derive(Debug, Default)]
pub struct Table {
    /// Sorted by request id.
    runs: Mutex<Vec<Arc<Run>>>,
}

impl Table {
    /// Returns the number of drafts in progress.
    pub fn running(&self) -> usize {
        let runs = self.runs.lock().expect("no panic while held");
        runs.iter().filter(|r| r.progress.borrow().end.is_none()).count()
    }

    /// Inserts a run and returns the previous one with the same id, if any.
    fn replace(&self, run: Arc<Run>) -> Option<Arc<Run>> {
        let mut runs = self.runs.lock().expect("no panic while held");
        match runs.binary_search_by(|r| r.request.cmp(&run.request)) {
            Ok(i) => Some(std::mem::replace(&mut runs[i], run)),
            Err(i) => {
                runs.insert(i, run);
                None
            }
        }
    }

    fn remove(&self, run: &Arc<Run>) {
        self.runs.lock().expect("no panic while held").retain(|r| !Arc::ptr_eq(r, run));
    }

    /// Returns the draft, if it belongs to `workspace`.
    fn find(&self, request: &str, workspace: &str) -> Option<Arc<Run>> {
        let runs = self.runs.lock().expect("no panic while held");
        let i = runs.binary_search_by(|r| r.request.as_str().cmp(request)).ok()?;
        Some(runs[i].clone()).filter(|r| r.workspace == workspace)
    }
}

/// Starts a draft with this agent as its head and sends its tokens on the router's stream.
pub async fn run(agent: Arc<Agent>, draft: Draft, mut stream: Stream) {
    match begin(&agent, draft).await {
        Ok(run) => {
            let accepted = Accepted { prompt_tokens: run.prompt_tokens };
            if stream.send(&Frame::Accepted(accepted)).await.is_ok() {
                follow(&run, run.offset, stream).await;
            }
        }
        Err(refusal) => {
            let _ = stream.send(&Frame::Refused(refusal)).await;
            stream.finish();
        }
    }
}

/// Sends the tokens of a draft to a caller that already has the first `after` of them.
pub async fn attach(agent: Arc<Agent>, command: Attach, mut stream: Stream) {
    let vm = &agent.node.process.vm;
    let found = agent.drafts.find(&command.request, &command.workspace);
    let sent = match found {
        Some(run) if command.after < run.offset => {
            let why = format!("tokens before {} are kept by nobody", run.offset);
            let refusal = Refusal::refused(Cause::NotFound, "attach", vm, why);
            stream.send(&Frame::Refused(refusal)).await
        }
        Some(run) => {
            let accepted = Accepted { prompt_tokens: run.prompt_tokens };
            if stream.send(&Frame::Accepted(accepted)).await.is_ok() {
                follow(&run, command.after, stream).await;
            }
            return;
        }
        None => {
            let why = "no such request is running or has ended lately";
            let refusal = Refusal::refused(Cause::NotFound, "attach", vm, why);
            stream.send(&Frame::Refused(refusal)).await
        }
    };
    match sent {
        Ok(()) => stream.finish(),
        Err(e) => log::debug!("draft: {e}"),
    }
}

/// Cancels a draft whose caller is gone.
pub fn cancel(agent: &Agent, command: &Cancel) {
    if let Some(run) = agent.drafts.find(&command.request, &command.workspace) {
        agent.node.trace.add(&command.request, "cancel", "the caller has gone");
        run.cancelled.send_replace(true);
    }
}

async fn begin(agent: &Arc<Agent>, draft: Draft) -> Result<Arc<Run>, Refusal> {
    let vm = &agent.node.process.vm;
    if agent.is_leaving() {
        let why = "the VM is leaving";
        return Err(Refusal::not_run(Cause::Leaving, "accept", vm, why));
    }
    if let Verdict::Refused { left } = agent.node.quarantine.verdict(draft.fingerprint) {
        return Err(crash::refusal(vm, "accept", left));
    }
    let table = agent.stage.as_ref().ok_or_else(|| {
        Refusal::not_run(Cause::Unavailable, "accept", vm, "no engine stands here")
    })?;
    let mut inputs = table.tokenize(&draft.prompt).await?;
    let prompt_tokens = inputs.len() as u32;
    inputs.extend(&draft.delivered);

    let chain =
        Chain::open(agent.clone(), params(agent, &draft), draft.chain.clone(), draft.attempt)
            .await?;
    let run = Arc::new(Run {
        request: draft.request.clone(),
        workspace: draft.workspace.clone(),
        prompt_tokens,
        offset: draft.delivered.len() as u32,
        progress: watch::Sender::default(),
        cancelled: watch::Sender::new(false),
    });
    if let Some(old) = agent.drafts.replace(run.clone()) {
        // The router treated this head as lost and then chose it again. The first run would
        // continue beside the new one, and the caller could receive the tokens of either.
        old.cancelled.send_replace(true);
    }
    agent.node.trace.add(&draft.request, "accept", format!("accepted as head by {vm}"));
    tokio::spawn(drive(agent.clone(), run.clone(), chain, inputs, draft));
    Ok(run)
}

fn params(agent: &Agent, draft: &Draft) -> Params {
    let settings = agent.node.settings.borrow();
    Params {
        request: draft.request.clone(),
        priority: draft.priority,
        fingerprint: draft.fingerprint,
        suspect: draft.suspect,
        tag: draft.prompt.chars().take(MAX_TAG_CHARS).collect(),
        step_timeout: settings.fleet.defaults.step_timeout,
        deadline: Instant::now() + draft.deadline,
    }
}

/// Runs the draft to its end, then keeps it for a while for callers that reconnect.
async fn drive(agent: Arc<Agent>, run: Arc<Run>, mut chain: Chain, inputs: Vec<u64>, draft: Draft) {
    let mut cancelled = run.cancelled.subscribe();
    let generated = tokio::select! {
        end = generate(&run, &mut chain, inputs, draft.max_tokens) => end,
        _ = cancelled.wait_for(|c| *c) => Err(cancelled_refusal(&agent, "the caller cancelled it")),
        () = wait_until_orphaned(&run) => Err(cancelled_refusal(&agent, "its caller has gone")),
    };
    let end =
        generated.map(|tokens| Done { tokens, replaced: chain.replaced, repeated: chain.repeated });
    agent.node.metrics.stages_replaced.add(chain.replaced.into(), &[]);
    agent.node.metrics.layer_runs_repeated.add(chain.repeated, &[]);
    let text = match &end {
        Ok(done) => format!("complete with {} tokens", done.tokens),
        Err(refusal) => refusal.to_string(),
    };
    agent.node.trace.add(&run.request, "end", text);
    // Frees the slots of all stages before the router receives the end.
    drop(chain);
    run.progress.send_modify(|p| p.end = Some(end));

    let keep = agent.node.settings.borrow().fleet.defaults.keep_finished;
    tokio::time::sleep(keep).await;
    agent.drafts.remove(&run);
}

async fn generate(
    run: &Run,
    chain: &mut Chain,
    mut inputs: Vec<u64>,
    max_tokens: u32,
) -> Result<u32, Refusal> {
    let mut count = run.offset;
    while count < max_tokens {
        let sample = chain.run(&inputs).await?;
        inputs = vec![sample.id];
        count += 1;
        let end = sample.end;
        run.progress.send_modify(|p| p.samples.push(sample));
        if end {
            break;
        }
    }
    Ok(count)
}

/// Completes when nobody has followed the draft for [`ORPHAN_TIMEOUT`].
async fn wait_until_orphaned(run: &Run) {
    let mut since = Instant::now();
    loop {
        // `drive` itself does not subscribe to the progress.
        if run.progress.receiver_count() > 0 {
            since = Instant::now();
        }
        if since.elapsed() > ORPHAN_TIMEOUT {
            return;
        }
        tokio::time::sleep(FOLLOWER_CHECK_INTERVAL).await;
    }
}

fn cancelled_refusal(agent: &Agent, why: &str) -> Refusal {
    Refusal::unknown(Cause::Cancelled, "generate", &agent.node.process.vm, why)
}

/// Sends the tokens from index `after` on as they are generated, then the outcome.
async fn follow(run: &Run, after: u32, mut stream: Stream) {
    let mut progress = run.progress.subscribe();
    let mut sent = (after - run.offset) as usize;
    loop {
        let (new, end) = {
            let now = progress.borrow_and_update();
            (now.samples.get(sent..).unwrap_or_default().to_vec(), now.end.clone())
        };
        for sample in new {
            let index = run.offset + sent as u32;
            if stream.send(&Frame::Token(Token { index, sample })).await.is_err() {
                return;
            }
            sent += 1;
        }
        let last = match end {
            Some(Ok(done)) => Frame::Done(done),
            Some(Err(refusal)) => Frame::Refused(refusal),
            None => {
                // Also returns when the router no longer reads the stream.
                tokio::select! {
                    _ = progress.changed() => continue,
                    () = stream.stopped() => return,
                }
            }
        };
        if stream.send(&last).await.is_ok() {
            stream.finish();
            stream.stopped().await;
        }
        return;
    }
}
