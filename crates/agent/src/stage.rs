//! Sessions at the engine beside this agent: slots, order of positions and fencing.

use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use engine::Client;
use node::Node;
use policy::limit::{Kind, Objective};
use policy::quarantine::Verdict;
use tokio::time::timeout;
use wire::frame::{Open, Output, Sample, Stage, Step};
use wire::id;
use wire::quarantine::Running;
use wire::refusal::{Cause, Refusal};

use crate::crash;
use crate::fence::Fence;
use crate::sequencer::{Decision, Sequencer};
use crate::slot::{Slot, Slots};

/// Time-out of an answer of the engine. The head replaces a silent stage long before; this only
/// ends calls that would otherwise wait forever.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which the engine's info is read. A crash is noticed within this time.
const INFO_INTERVAL: Duration = Duration::from_millis(200);

/// Reads of the engine's info after a lost answer. If none shows that the process has ended, the
/// engine is assumed to be alive.
const CRASH_CHECKS: u32 = 3;

/// Time-out of such a read, and the pause after one without a result.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(200);
const CRASH_CHECK_PAUSE: Duration = Duration::from_millis(10);

/// Retry-after time given when all slots are taken.
const BUSY_RETRY: Duration = Duration::from_millis(200);

/// The engine and its sessions.
#[derive(Debug)]
pub struct Table {
    node: Arc<Node>,
    vm: String,
    engine: Client,
    slots: Slots,
    info: RwLock<Option<engine::Info>>,
    fence: Mutex<Fence>,
    crash: crash::Monitor,
    /// The ordered range, until it is loaded or the time has passed.
    pending_order: Mutex<Option<(Stage, Instant)>>,
}

/// An open session, which is cancelled at the engine when it is dropped.
#[derive(Debug)]
pub struct Session {
    table: Arc<Table>,
    name: String,
    fence_key: String,
    running: Running,
    fingerprint: id::Fingerprint,
    /// Incarnation of the engine process that holds the session.
    incarnation: String,
    suspect: bool,
    attempt: id::Attempt,
    sequencer: Sequencer,
    _slot: Slot,
}

/// Starts monitoring the engine. Sessions of an earlier agent are cancelled first: nobody waits
/// for them any more, and they would occupy the engine's slots.
pub async fn start(node: &Arc<Node>, address: &str, slots: Slots) -> Arc<Table> {
    let table = Arc::new(Table {
        node: node.clone(),
        vm: node.process.vm.clone(),
        engine: Client::new(address, ENGINE_TIMEOUT),
        slots,
        info: RwLock::new(None),
        fence: Mutex::default(),
        crash: crash::Monitor::default(),
        pending_order: Mutex::default(),
    });
    if let Err(e) = table.engine.cancel_all().await {
        log::warn!("stage: can't cancel the sessions of an earlier agent at the engine: {e}");
    }
    tokio::spawn(follow_objective(node.clone(), table.slots.clone()));
    let watched = table.clone();
    tokio::spawn(async move { watched.watch().await });
    table
}

/// Applies the objective of the settings in force, which sets the slots reserved for
/// replacements.
async fn follow_objective(node: Arc<Node>, slots: Slots) {
    let mut settings = node.settings.clone();
    loop {
        let objective = settings.borrow_and_update().fleet.defaults.objective;
        slots.set_objective(match objective {
            config::fleet::Objective::Throughput => Objective::Throughput,
            config::fleet::Objective::Recovery => Objective::Recovery,
        });
        if settings.changed().await.is_err() {
            return;
        }
    }
}

impl Table {
    /// Returns the range of layers that the engine holds, if it can be used.
    pub fn loaded(&self) -> Option<Stage> {
        let info = self.info.read().expect("no panic while held");
        let held = info.as_ref().and_then(range)?;
        let ordered = self.pending_order.lock().expect("no panic while held");
        // Its previous range is already being unloaded, so nothing must be sent there for it.
        match &*ordered {
            Some((stage, until)) if *until > Instant::now() && *stage != held => None,
            _ => Some(held),
        }
    }

    /// Returns true if the engine answers.
    pub fn is_up(&self) -> bool {
        self.info.read().expect("no panic while held").is_some()
    }

    /// Returns true if the engine answers and holds nothing.
    pub fn is_spare(&self) -> bool {
        let info = self.info.read().expect("no panic while held");
        info.as_ref().is_some_and(|i| range(i).is_none())
    }

    /// Returns true while the engine loads an ordered range.
    pub fn is_order_pending(&self) -> bool {
        let ordered = self.pending_order.lock().expect("no panic while held");
        let held = self.info.read().expect("no panic while held").as_ref().and_then(range);
        ordered
            .as_ref()
            .is_some_and(|(s, until)| *until > Instant::now() && held.as_ref() != Some(s))
    }

    /// Orders the engine to load a range, which may take up to `limit`.
    pub async fn order(
        &self,
        order: &engine::Order,
        stage: Stage,
        limit: Duration,
    ) -> Result<(), rest::Error> {
        let until = Instant::now() + limit;
        *self.pending_order.lock().expect("no panic while held") = Some((stage, until));
        let done = self.engine.order(order).await;
        if done.is_err() {
            *self.pending_order.lock().expect("no panic while held") = None;
        }
        done
    }

    /// Returns the engine's token ids of a text.
    pub async fn tokenize(&self, text: &str) -> Result<Vec<u64>, Refusal> {
        match self.engine.tokenize(text).await {
            Ok(tokens) => Ok(tokens.tokens),
            Err(e) => Err(self.refuse(Cause::Unavailable, "tokenize", e.to_string())),
        }
    }

    /// Opens a session, or refuses at once. After a refusal nothing has run.
    pub async fn open(self: &Arc<Table>, open: &Open) -> Result<Session, Refusal> {
        if let Verdict::Refused { left } = self.node.quarantine.verdict(open.fingerprint) {
            return Err(crash::refusal(&self.vm, "open", left));
        }
        // Any higher attempt continues a draft that has lost a stage or its head.
        let kind = if open.attempt == 0 { Kind::New } else { Kind::Recovery };
        let slot = match self.loaded() {
            Some(held) if held == open.stage => self.slots.take_for(kind),
            Some(held) => {
                let why = format!("holds layers {}-{} of {}", held.first, held.last, held.model);
                return Err(self.refuse(Cause::Unavailable, "open", why));
            }
            None => return Err(self.refuse(Cause::Unavailable, "open", "the engine is down")),
        };
        let Some(slot) = slot else {
            let why = format!("all {} slots are taken", self.slots.total());
            return Err(self.refuse(Cause::Busy, "open", why).with_retry_after(BUSY_RETRY));
        };
        // An engine that was ordered to load another range may run two ranges of one request in
        // succession. Each range has its own attempts.
        let fence_key = format!("{}.{}", stable_id(&open.request), open.stage.first);
        let admitted =
            self.fence.lock().expect("no panic while held").admit(&fence_key, open.attempt);
        admitted.map_err(|newest| {
            let why = format!("attempt {}, but {newest} was seen", open.attempt);
            self.refuse(Cause::Fenced, "open", why)
        })?;

        let incarnation = self.incarnation();
        let name = format!("{}.{}.{}", open.request, open.attempt, open.stage.first);
        let session = engine::Session {
            session: name.clone(),
            priority: open.priority,
            tag: open.tag.clone(),
        };
        match self.engine.open(&session).await {
            Ok(()) => Ok(Session {
                table: self.clone(),
                name,
                fence_key,
                running: crash::running(open.fingerprint, &open.request, &open.tag),
                fingerprint: open.fingerprint,
                incarnation,
                suspect: open.suspect,
                attempt: open.attempt,
                sequencer: Sequencer::default(),
                _slot: slot,
            }),
            Err(e) if e.status() == Some(429) => {
                Err(self.refuse(Cause::Busy, "open", e.to_string()).with_retry_after(BUSY_RETRY))
            }
            Err(e) => {
                // The session may have been opened nevertheless. It would occupy an engine slot
                // forever, and fewer and fewer drafts would fit.
                cancel(self.engine.clone(), name);
                Err(self.refuse(Cause::Unavailable, "open", e.to_string()))
            }
        }
    }

    fn incarnation(&self) -> String {
        let info = self.info.read().expect("no panic while held");
        info.as_ref().map(|i| i.incarnation.clone()).unwrap_or_default()
    }

    /// Returns true if the engine process of that incarnation has ended: nothing listens at its
    /// port, or another process does.
    async fn has_process_ended(&self, incarnation: &str) -> bool {
        for _ in 0..CRASH_CHECKS {
            match timeout(CRASH_CHECK_TIMEOUT, self.engine.info()).await {
                Ok(Ok(info)) => {
                    let ended = info.incarnation != incarnation;
                    self.set_info(Some(info));
                    return ended;
                }
                Ok(Err(e)) if e.unsent() => {
                    self.set_info(None);
                    return true;
                }
                // A pooled connection to the ended process may fail first.
                _ => tokio::time::sleep(CRASH_CHECK_PAUSE).await,
            }
        }
        false
    }

    async fn watch(&self) {
        loop {
            let answered = timeout(Duration::from_secs(2), self.engine.info()).await;
            let info = answered.ok().and_then(Result::ok);
            self.set_info(info);
            tokio::time::sleep(INFO_INTERVAL).await;
        }
    }

    fn set_info(&self, new: Option<engine::Info>) {
        let mut info = self.info.write().expect("no panic while held");
        match (&*info, &new) {
            (Some(_), None) => log::warn!("stage: the engine does not answer"),
            (None, Some(i)) => {
                log::info!("stage: the engine holds layers {}-{} of {}", i.first, i.last, i.model);
            }
            _ => {}
        }
        *info = new;
    }

    fn refuse(&self, cause: Cause, step: &str, why: impl Into<String>) -> Refusal {
        Refusal::not_run(cause, step, &self.vm, why)
    }
}

impl Session {
    /// Runs a step. Positions come in order; a retry of the last step gets the kept output.
    pub async fn step(&mut self, step: Step) -> Result<Output, Refusal> {
        if let Decision::Replay(output) = self.check(&step)? {
            return Ok(output);
        }
        let table = self.table.clone();
        let alone = self.suspect || self.verdict() == Verdict::Alone;
        let _permit = table.crash.acquire(alone).await;
        // A newer attempt or a quarantine may have been recorded while the step waited.
        self.check(&step)?;
        if let Verdict::Refused { left } = self.verdict() {
            return Err(crash::refusal(&table.vm, "step", left));
        }
        let ran = self.run_at_engine(&step, alone).await?;
        let token = ran.token.map(|t| Sample { id: t.id, text: t.text, end: t.end });
        let output = Output { position: step.position, outputs: ran.outputs, token };
        self.sequencer
            .done(step, output.clone())
            .map_err(|r| table.refuse(r.cause, "step", r.why))?;
        Ok(output)
    }

    fn check(&self, step: &Step) -> Result<Decision, Refusal> {
        let newest = self.table.fence.lock().expect("no panic while held").newest(&self.fence_key);
        let decision = self.sequencer.check(step, self.attempt, newest);
        decision.map_err(|r| self.table.refuse(r.cause, "step", r.why))
    }

    fn verdict(&self) -> Verdict {
        self.table.node.quarantine.verdict(self.fingerprint)
    }

    async fn run_at_engine(&mut self, step: &Step, alone: bool) -> Result<engine::Output, Refusal> {
        let table = self.table.clone();
        if alone {
            table.node.quarantine.merge_suspect(self.fingerprint);
        }
        self.sequencer.begin();
        let begun = Instant::now();
        let asked = engine::Step { position: step.position, inputs: step.inputs.clone() };
        let guard = table.crash.begin_step(&self.incarnation, self.running.clone());
        let ran = match table.engine.step(&self.name, &asked).await {
            Ok(ran) => ran,
            Err(e) => {
                let unanswered = e.status().is_none();
                if e.unsent() {
                    // The engine had ended before, so the step was not running at the crash.
                    drop(guard);
                    table.has_process_ended(&self.incarnation).await;
                    return Err(table.refuse(Cause::Lost, "step", e.to_string()));
                }
                if unanswered && table.has_process_ended(&self.incarnation).await {
                    table.crash.report_crash(&table.node, &self.incarnation);
                }
                if guard.in_crash() {
                    return Err(crash::step_refusal(&table.node, self.fingerprint).await);
                }
                return Err(table.refuse(Cause::Lost, "step", e.to_string()));
            }
        };
        drop(guard);
        if step.inputs.len() == 1 {
            table.slots.record_time(begun.elapsed());
        }
        if alone {
            self.suspect = false;
            table.node.quarantine.record_cleared(self.fingerprint);
        }
        Ok(ran)
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        let mut fence = self.table.fence.lock().expect("no panic while held");
        fence.ended(&self.fence_key, Instant::now());
        drop(fence);
        cancel(self.table.engine.clone(), std::mem::take(&mut self.name));
    }
}

fn range(info: &engine::Info) -> Option<Stage> {
    let (model, version) = (info.model.clone(), info.version);
    let stage = Stage { model, version, first: info.first, last: info.last };
    (!stage.model.is_empty()).then_some(stage)
}

fn cancel(engine: Client, session: String) {
    tokio::spawn(async move {
        if let Err(e) = engine.cancel(&session).await {
            log::debug!("stage: can't cancel session {session}: {e}");
        }
    });
}

/// Returns the part of a request id that stays the same when the request moves to another head.
pub fn stable_id(request: &str) -> &str {
    request.rsplit('.').next().unwrap_or(request)
}
