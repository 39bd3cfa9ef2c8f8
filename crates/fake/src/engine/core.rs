//! State of an engine without the HTTP interface: sessions, batches and orders.

use std::time::Duration;

use engine::{Event, Info, Kv, Load, Order, Output, Session, Step};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::cache::Cache;
use super::history::{History, Run};
use super::load::{LoadSamples, Loading};
use super::{CRASH_EXIT_CODE, CRASH_TAG, Fault, Options};
use crate::model::{self, Range};
use crate::serve;

/// HTTP status and reason of a refusal.
pub(crate) type Refusal = (u16, &'static str);

/// Result of a step.
pub(crate) type Answer = Result<Output, Refusal>;

/// A new batch has a weight of one in this many in the mean batch time.
const MEAN_BATCHES: u64 = 8;

/// The state of an engine.
pub(crate) struct Core {
    options: Options,
    incarnation: String,
    range: Option<Range>,
    /// Number of the order whose layers are being loaded.
    loading: Option<u64>,
    orders: u64,
    fence: u64,
    /// Sorted by id.
    sessions: Vec<OpenSession>,
    /// Counts sessions and steps. Numbers a session, to distinguish it from a later one of the
    /// same id, and orders steps by arrival.
    count: u64,
    crash_tag: String,
    hang: bool,
    fail_next: u32,
    mean_us: u64,
    cache: Cache,
    samples: LoadSamples,
    pub history: History,
}

struct OpenSession {
    session: Session,
    number: u64,
    next: u32,
    state: Vec<u64>,
    pending: Option<Pending>,
    history_index: Option<usize>,
}

struct Pending {
    arrival: u64,
    step: Step,
    cached: u32,
    reply: oneshot::Sender<Answer>,
}

/// A session that takes part in a batch.
#[derive(Debug, Clone)]
pub(crate) struct BatchEntry {
    session: String,
    number: u64,
}

impl Core {
    pub(crate) fn new(options: Options, now: Instant) -> Core {
        let incarnation = format!("{:016x}", rand::random::<u64>());
        let Options { model, version, layers, first, last, .. } = &options;
        let range = Range::new(model, *version, *layers, *first, *last);
        let mut core = Core {
            range: Some(range).filter(|_| !options.model.is_empty()),
            loading: None,
            orders: 0,
            fence: 0,
            sessions: Vec::new(),
            count: 0,
            crash_tag: String::new(),
            hang: false,
            fail_next: 0,
            mean_us: options.step_us,
            cache: Cache::new(options.prefix_cache),
            samples: LoadSamples::default(),
            history: History { incarnation: incarnation.clone(), ..History::default() },
            incarnation,
            options,
        };
        core.sample_load(now);
        core
    }

    pub(crate) fn info(&self) -> Info {
        let range = self.range.as_ref();
        Info {
            model: range.map(|r| r.model.clone()).unwrap_or_default(),
            version: range.map_or(0, |r| r.version),
            first: range.map_or(0, |r| r.first),
            last: range.map_or(0, Range::last),
            layers: range.map_or(0, |r| r.layers),
            slots: self.options.slots,
            checks_fence: self.options.checks_fence,
            incarnation: self.incarnation.clone(),
        }
    }

    pub(crate) fn set_fault(&mut self, fault: Fault) {
        if let Some(tag) = fault.crash_tag {
            self.crash_tag = tag;
        }
        self.options.step_us = fault.step_us.unwrap_or(self.options.step_us);
        self.options.token_us = fault.token_us.unwrap_or(self.options.token_us);
        self.hang = fault.hang.unwrap_or(self.hang);
        self.fail_next = fault.fail_next.unwrap_or(self.fail_next);
    }

    pub(crate) fn is_hung(&self) -> bool {
        self.hang
    }

    pub(crate) fn open(&mut self, session: Session) -> Result<(), Refusal> {
        let at = self.find(&session.session);
        let range = self.range.as_ref().filter(|_| self.loading.is_none());
        match (at, range) {
            (Ok(_), _) => Err((409, "the session exists")),
            (_, None) => Err((503, "nothing is loaded")),
            _ if self.sessions.len() >= self.options.slots as usize => Err((429, "no free slot")),
            (Err(i), Some(range)) => {
                self.count += 1;
                let history_index = self.history.record_session(&session, range);
                let (number, state) = (self.count, range.initial_state());
                let live =
                    OpenSession { session, number, next: 0, state, pending: None, history_index };
                self.sessions.insert(i, live);
                Ok(())
            }
        }
    }

    /// Queues a step for a batch; its result is sent to `reply`.
    pub(crate) fn enqueue_step(
        &mut self,
        id: &str,
        step: Step,
        reply: oneshot::Sender<Answer>,
    ) -> Result<(), Refusal> {
        self.count += 1;
        let arrival = self.count;
        let i = self.find(id).map_err(|_| (404, "no such session"))?;
        let live = &mut self.sessions[i];
        match () {
            _ if live.pending.is_some() => Err((409, "a step of the session is running")),
            _ if step.position != live.next => Err((409, "not the session's next position")),
            _ if step.inputs.is_empty() => Err((400, "no inputs")),
            _ if serve::take_one(&mut self.fail_next) => Err((500, "failed before the step")),
            _ => {
                live.pending = Some(Pending { arrival, step, cached: 0, reply });
                Ok(())
            }
        }
    }

    /// Ends a session. A pending step is dropped and answered with 410.
    pub(crate) fn cancel(&mut self, id: &str) -> Result<(), Refusal> {
        let i = self.find(id).map_err(|_| (404, "no such session"))?;
        self.sessions.remove(i);
        Ok(())
    }

    pub(crate) fn cancel_all(&mut self) {
        self.sessions.clear();
    }

    pub(crate) fn export(&self, id: &str) -> Result<Kv, Refusal> {
        let i = self.find(id).map_err(|_| (404, "no such session"))?;
        let live = &self.sessions[i];
        match live.pending {
            Some(_) => Err((409, "a step of the session is running")),
            None => Ok(Kv { position: live.next, state: live.state.clone() }),
        }
    }

    pub(crate) fn import(&mut self, id: &str, kv: Kv) -> Result<(), Refusal> {
        let i = self.find(id).map_err(|_| (404, "no such session"))?;
        let live = &mut self.sessions[i];
        match () {
            _ if live.next > 0 || live.pending.is_some() => Err((409, "the session has run")),
            _ if kv.state.len() != live.state.len() => Err((400, "state of another range")),
            _ => {
                (live.next, live.state) = (kv.position, kv.state);
                Ok(())
            }
        }
    }

    /// Returns the next batch and its duration; `None` while no step is pending or the engine hangs.
    pub(crate) fn next_batch(&mut self) -> Option<(Vec<BatchEntry>, Duration)> {
        let waits = |i: &usize| self.sessions[*i].pending.is_some();
        let mut order: Vec<usize> = (0..self.sessions.len()).filter(waits).collect();
        if order.is_empty() || self.hang {
            return None;
        }
        let rank = |live: &OpenSession| {
            let arrival = live.pending.as_ref().map_or(0, |p| p.arrival);
            (std::cmp::Reverse(live.session.priority), arrival)
        };
        order.sort_by_key(|i| rank(&self.sessions[*i]));
        order.truncate(self.options.batch.max(1));
        let mut computed = 0;
        let mut batch = Vec::new();
        for i in order {
            let live = &mut self.sessions[i];
            exit_on_crash_tag(&live.session.tag, &self.crash_tag);
            batch.push(BatchEntry { session: live.session.session.clone(), number: live.number });
            let Some(pending) = &mut live.pending else { continue };
            if pending.step.position == 0 {
                pending.cached = self.cache.cached_positions(&pending.step.inputs);
            }
            computed += pending.step.inputs.len() as u64 - u64::from(pending.cached);
        }
        let us = self.options.step_us + self.options.token_us * computed;
        Some((batch, Duration::from_micros(us)))
    }

    /// Computes a batch and answers its steps. Skips sessions that ended meanwhile.
    pub(crate) fn finish_batch(&mut self, batch: &[BatchEntry], time: Duration) {
        let us = time.as_micros() as u64;
        self.mean_us = (self.mean_us * (MEAN_BATCHES - 1) + us) / MEAN_BATCHES;
        self.history.batches += 1;
        self.history.busy_us += us;
        for entry in batch {
            match self.find(&entry.session) {
                Ok(i) if self.sessions[i].number == entry.number => self.run(i),
                _ => {}
            }
        }
    }

    fn run(&mut self, i: usize) {
        let live = &mut self.sessions[i];
        let (Some(range), Some(pending)) = (&self.range, live.pending.take()) else { return };
        let Step { position, inputs } = pending.step;
        let mut outputs = Vec::with_capacity(inputs.len());
        for (position, input) in (position..).zip(&inputs) {
            outputs.push(range.run(&mut live.state, position, *input));
        }
        let count = inputs.len() as u32;
        live.next = position + count;
        self.history.record_run(
            live.history_index,
            Run { start: position, count },
            range.seeds.len(),
        );
        self.history.cached += u64::from(pending.cached);
        if position == 0 {
            self.cache.insert(&inputs, Instant::now());
        }
        let last = outputs.last().filter(|_| range.is_last());
        let token = last.map(|x| model::sample(*x));
        let _ = pending.reply.send(Ok(Output { outputs, token, cached: pending.cached }));
    }

    /// Accepts an order and ends all sessions.
    pub(crate) fn accept_order(&mut self, order: &Order) -> Result<Loading, Refusal> {
        let layers = self.layers_of(&order.model);
        match () {
            _ if self.options.checks_fence && order.fence < self.fence => {
                self.history.refused += 1;
                return Err((409, "old fencing number"));
            }
            _ if order.first > order.last || order.last >= layers => {
                return Err((400, "the model has no such layers"));
            }
            _ => {}
        }
        self.fence = self.fence.max(order.fence);
        self.orders += 1;
        self.loading = Some(self.orders);
        self.history.record_order(order);
        self.sessions.clear();
        Ok(Loading { order: order.clone(), layers, number: self.orders })
    }

    pub(crate) fn is_loading(&self, number: u64) -> bool {
        self.loading == Some(number)
    }

    /// Replaces the layers with those of an order, unless a newer order arrived.
    pub(crate) fn finish_loading(&mut self, number: u64, range: Range) {
        if self.is_loading(number) {
            self.loading = None;
            self.range = Some(range);
            self.cache.clear(Instant::now());
        }
    }

    pub(crate) fn load(&self, now: Instant) -> Load {
        match self.options.load_lag_ms {
            0 => self.current_load(),
            _ => self.samples.delayed(now, self.lag()),
        }
    }

    pub(crate) fn sample_load(&mut self, now: Instant) {
        let (load, lag) = (self.current_load(), self.lag());
        self.samples.push(now, load, lag);
    }

    pub(crate) fn events(&self, from: u64, now: Instant) -> Vec<Event> {
        self.cache.events(from, self.lag(), now)
    }

    fn current_load(&self) -> Load {
        let waiting = self.sessions.iter().filter(|s| s.pending.is_some()).count();
        Load {
            sessions: self.sessions.len() as u32,
            waiting: waiting as u32,
            step_us: self.mean_us,
            age_ms: 0,
        }
    }

    fn lag(&self) -> Duration {
        Duration::from_millis(self.options.load_lag_ms)
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.sessions.binary_search_by(|s| s.session.session.as_str().cmp(id))
    }

    fn layers_of(&self, model: &str) -> u32 {
        let named = |known: &String| known.split_once('=').filter(|k| k.0 == model)?.1.parse().ok();
        self.options.knows.iter().find_map(named).unwrap_or(self.options.layers)
    }
}

/// Exits the process if a tag demands it, as in a crash: at once, without answering any request.
fn exit_on_crash_tag(tag: &str, crash_tag: &str) {
    if tag.contains(CRASH_TAG) || (!crash_tag.is_empty() && tag.contains(crash_tag)) {
        log::error!("engine: request with a crash tag; exiting");
        std::process::exit(CRASH_EXIT_CODE);
    }
}
