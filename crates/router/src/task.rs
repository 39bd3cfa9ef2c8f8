//! The task that admits and places requests: it holds a [`Pool`] for each model and each plain
//! service, and passes requests between their handlers and the `policy` crate.

use std::sync::Arc;
use std::time::Duration;

use cloud::vm::Role;
use node::Node;
use node::metrics::Gauges;
use policy::health::State;
use policy::queue::{Admit, Entry};
use policy::refusal;
use policy::replica::Vm;
use policy::retry::{self, Retry, Stop};
use policy::route::{Chain, End};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::frame::Report;
use wire::refusal::{Cause, Refusal};

use crate::admission::{
    self, Admission, Answer, EndReason, Job, Message, Pending, RunGuard, Target,
};
use crate::pool::{Pool, shares, table, targets};

/// How often all queues are checked, besides after each message: for expired deadlines, ramps and
/// ejections, and for requests held back for a better match.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Pause of a request that agents refused as often as the retry budget allows: about the time
/// until each agent has reported again.
const OVER_BUDGET_PAUSE: Duration = Duration::from_millis(250);

/// Pause before a request whose head is lost is offered again after a refusal.
const RECOVERY_PAUSE: Duration = Duration::from_millis(30);

/// Step at which an agent refuses a write that the log did not accept. The fleet shares the log's
/// rate: if such refusals counted as faults, all agents of a service would be ejected.
const LOG_STEP: &str = "write";

/// The task's state.
struct Task {
    node: Arc<Node>,
    admission: Admission,
    start: Instant,
    rng: Pcg64,
    pools: Vec<Pool>,
    /// Data centre and last report of each agent, sorted by VM.
    reports: Vec<(String, Report)>,
    routers: u32,
}

/// Runs the task until the router ends.
pub(crate) async fn run(
    node: Arc<Node>,
    admission: Admission,
    mut rx: mpsc::UnboundedReceiver<Message>,
) {
    let mut settings = node.settings.clone();
    let mut task = Task {
        node,
        admission,
        start: Instant::now(),
        rng: Pcg64::seed_from_u64(rand::random()),
        pools: Vec::new(),
        reports: Vec::new(),
        routers: 1,
    };
    task.apply_settings();
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            message = rx.recv() => match message {
                Some(message) => task.handle(message),
                None => return,
            },
            changed = settings.changed() => match changed {
                Ok(()) => task.apply_settings(),
                Err(_) => return,
            },
            _ = tick.tick() => task.tick(),
        }
    }
}

impl Task {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::New(pending) => self.admit(pending),
            Message::Recover(pending) => {
                let target = pending.requirements.target.clone();
                match self.pool_index(&target) {
                    Some(i) => self.pools[i].recovering.push(Job::Recovery(Box::new(pending))),
                    None => self.refuse_unknown(pending),
                }
                self.dispatch(&target);
            }
            Message::Cancel(target, workspace, ticket) => {
                if let Some(i) = self.pool_index(&target) {
                    self.pools[i].queue.cancel(&workspace, ticket);
                }
            }
            Message::End { job, chain, run_time, reason } => {
                self.end(job, &chain, run_time, &reason)
            }
            Message::Retry { job, chain, refusal, outcome } => {
                self.retry(job, &chain, refusal, outcome);
            }
            Message::Replicas(stage, reply) => {
                let target = Target::Model(stage.model.clone());
                let (now, from) = (self.start.elapsed(), &self.node.process.data_centre);
                let found = self.pools.iter_mut().find(|p| p.target == target);
                let list = found.map(|p| p.replicas(stage, from, now, &mut self.rng));
                let _ = reply.send(list.unwrap_or_default());
            }
            Message::Report { data_centre, report } => self.apply_report(data_centre, *report),
            Message::Down(vm) | Message::Unlisted(vm) => {
                self.reports.retain(|r| r.1.vm != vm);
                let now = self.now();
                self.pools.iter_mut().for_each(|p| p.table.gone(&vm, now));
            }
        }
    }

    fn admit(&mut self, pending: Pending) {
        let target = pending.requirements.target.clone();
        let Some(i) = self.pool_index(&target) else { return self.refuse_unknown(pending) };
        let (now, routers) = (self.now(), self.routers);
        let pool = &mut self.pools[i];
        let room = pool.table.room(routers, now);
        let reply = pending.reply.clone();
        let left = pending.requirements.deadline.saturating_duration_since(Instant::now());
        let request = pool.queue_request(&pending, left, now);
        match pool.queue.admit(request, pending, room, now) {
            Admit::Start(entry) => match self.start(i, Job::Queued(Box::new(entry))) {
                None => {}
                Some(job) => self.requeue(i, job),
            },
            Admit::Wait(ticket) => {
                let _ = reply.try_send(Answer::Waiting(ticket));
            }
            Admit::Refuse(_, refused) => self.refuse(&reply, refused),
        }
    }

    /// Starts a request on the best chain; returns it if there is no chain now.
    fn start(&mut self, i: usize, job: Job) -> Option<Job> {
        let now = self.now();
        let pool = &mut self.pools[i];
        let chain = pool.chain(&job, &self.node.process.data_centre, now, &mut self.rng);
        let Some(chain) = chain else {
            return Some(job);
        };
        chain.iter().for_each(|list| pool.table.started(&list[0], now));
        let reply = job.pending().reply.clone();
        let started = RunGuard::new(job, chain, self.admission.sender());
        // If the caller has disconnected, dropping the guard ends the request.
        let _ = reply.try_send(Answer::Start(started));
        None
    }

    fn requeue(&mut self, i: usize, job: Job) {
        match job {
            Job::Queued(entry) => {
                let _ = entry.item.reply.try_send(Answer::Waiting(entry.ticket));
                self.pools[i].queue.requeue(*entry);
            }
            Job::Recovery(_) => self.pools[i].recovering.push(job),
        }
    }

    /// Starts all requests that may start, those in progress first.
    fn dispatch(&mut self, target: &Target) {
        let Some(i) = self.pool_index(target) else { return };
        for job in std::mem::take(&mut self.pools[i].recovering) {
            let pending = job.pending();
            match pending.requirements.deadline <= Instant::now() {
                true => {
                    let why = "no backend server could go on with it before its deadline";
                    let vm = &self.node.process.vm;
                    let refusal = Refusal::not_run(Cause::Deadline, "recover", vm, why);
                    let _ = pending.reply.try_send(Answer::Refused(refusal));
                }
                false => {
                    if let Some(job) = self.start(i, job) {
                        self.requeue(i, job);
                    }
                }
            }
        }
        loop {
            let (now, routers) = (self.now(), self.routers);
            let pool = &mut self.pools[i];
            let room = pool.table.room(routers, now);
            let table = &pool.table;
            let cached_ranges = |p: &Pending| {
                p.requirements.prefix.map_or(0, |prefix| table.cached_ranges(prefix, now))
            };
            let Some(entry) = pool.queue.next_by(room, now, cached_ranges) else { break };
            if let Some(job) = self.start(i, Job::Queued(Box::new(entry))) {
                self.requeue(i, job);
                break;
            }
        }
    }

    fn end(&mut self, job: Job, chain: &Chain, run_time: Duration, reason: &EndReason) {
        let now = self.now();
        let target = job.pending().requirements.target.clone();
        let Some(i) = self.pool_index(&target) else { return };
        let pool = &mut self.pools[i];
        for vm in chain.iter().filter_map(|list| list.first()) {
            let end = match reason {
                EndReason::Succeeded => End::Succeeded,
                EndReason::Fault(at) if at == vm => End::Failed,
                _ => End::Neutral,
            };
            if pool.table.ended(vm, end, now) {
                log::warn!("pool: {vm} ejected for a while: its requests fail");
            }
        }
        if *reason == EndReason::Succeeded {
            pool.budget.succeeded();
        }
        match job {
            Job::Queued(entry) => pool.queue.done(&entry.request, run_time),
            Job::Recovery(_) => {}
        }
        self.dispatch(&target);
    }

    /// Records which agents refused a try, and returns the request to its place in the queue, now
    /// or after a pause, if retry budget and deadline allow.
    fn retry(&mut self, mut job: Job, chain: &Chain, failed: Refusal, outcome: retry::Outcome) {
        let now = self.now();
        let target = job.pending().requirements.target.clone();
        let Some(i) = self.pool_index(&target) else { return };
        let pool = &mut self.pools[i];
        let busy = matches!(failed.cause, Cause::Busy | Cause::Leaving);
        let blamed = !busy && failed.step != LOG_STEP;
        pool.record_refusal(chain, &failed.peer, (busy, blamed), now);
        let pending = job.pending_mut();
        pending.tries += 1;
        if blamed && !pending.avoid.contains(&failed.peer) {
            pending.avoid.push(failed.peer.clone());
        }
        let tries = pending.tries;
        let entry = match job {
            Job::Recovery(_) => {
                pool.paused.push((now + RECOVERY_PAUSE, job));
                return;
            }
            Job::Queued(entry) => entry,
        };
        let keeps_waiting = busy || blamed && outcome == retry::Outcome::NotRun;
        let (run, deadline) = (entry.request.run, entry.request.deadline);
        let failure = retry::Failure { outcome, tries, run, deadline };
        let pause = match pool.budget.decide(&failure, now, &mut self.rng) {
            // The agent that refused counts as full until its next report, so the next try goes
            // elsewhere or waits for a slot: a pause would only leave free slots unused.
            Retry::After(_) if busy => Duration::ZERO,
            Retry::After(pause) => pause.max(failed.retry_after.unwrap_or_default()),
            // It did not run: it keeps its place until the agents have reported again, and is
            // refused once its deadline can no longer be met.
            Retry::Stop(Stop::Tries | Stop::Budget) if keeps_waiting => OVER_BUDGET_PAUSE,
            Retry::Stop(stop) => return self.refuse_failed(i, *entry, failed, stop),
        };
        pool.paused.push((now + pause, Job::Queued(entry)));
        if pause.is_zero() {
            self.resume(i);
            self.dispatch(&target);
        }
    }

    fn refuse_failed(&mut self, i: usize, entry: Entry<Pending>, failed: Refusal, stop: Stop) {
        self.pools[i].queue.done(&entry.request, Duration::ZERO);
        let why = format!("{}; {stop}", failed.reason);
        let after =
            failed.retry_after.unwrap_or(refusal::MIN_RETRY_AFTER).max(refusal::MIN_RETRY_AFTER);
        let refusal = Refusal { reason: why, ..failed }.with_retry_after(after);
        self.count_refusal(&refusal);
        let _ = entry.item.reply.try_send(Answer::Refused(refusal));
    }

    /// Requeues the requests whose pause has ended.
    fn resume(&mut self, i: usize) {
        let now = self.now();
        let paused = std::mem::take(&mut self.pools[i].paused);
        let (due, later) = paused.into_iter().partition(|p| p.0 <= now);
        self.pools[i].paused = later;
        due_jobs(due).for_each(|job| self.requeue(i, job));
    }

    fn tick(&mut self) {
        let list = self.node.vms.borrow().clone();
        self.routers = list.iter().filter(|e| e.role == Role::Router).count().max(1) as u32;
        for i in 0..self.pools.len() {
            self.resume(i);
            let target = self.pools[i].target.clone();
            self.dispatch(&target);
            let (now, routers) = (self.now(), self.routers);
            let pool = &mut self.pools[i];
            let room = pool.table.room(routers, now);
            for (entry, refused) in pool.queue.expired(room, now) {
                self.refuse(&entry.item.reply, refused);
            }
        }
        self.admission.set_running(self.pools.iter().map(|p| p.queue.running()).sum());
        self.record_gauges();
    }

    fn record_gauges(&self) {
        let now = self.now();
        for pool in &self.pools {
            let ejected =
                |vm: &&Vm| matches!(pool.table.state(vm, now), Some(State::Ejected { .. }));
            self.node.metrics.record_gauges(&Gauges {
                target: pool.name(),
                waiting: (pool.queue.waiting() + pool.recovering.len()) as u64,
                running: pool.queue.running().into(),
                free: pool.table.room(self.routers, now).free.into(),
                ejected: pool.vms.iter().filter(ejected).count() as u64,
                budget: pool.budget.left().into(),
            });
        }
    }

    fn apply_report(&mut self, data_centre: String, report: Report) {
        match self.reports.binary_search_by(|r| r.1.vm.cmp(&report.vm)) {
            Ok(at) => self.reports[at] = (data_centre, report.clone()),
            Err(at) => self.reports.insert(at, (data_centre, report.clone())),
        }
        let now = self.now();
        for i in 0..self.pools.len() {
            let at = self.reports.binary_search_by(|r| r.1.vm.cmp(&report.vm));
            if let Ok(at) = at
                && self.pools[i].apply_report(&self.reports[at], now)
            {
                let target = self.pools[i].target.clone();
                self.dispatch(&target);
            }
        }
    }

    /// Applies new settings: shares, models and services.
    fn apply_settings(&mut self) {
        let fleet = self.node.settings.borrow().fleet.clone();
        let mut old = std::mem::take(&mut self.pools);
        let now = self.now();
        for (target, model) in targets(&fleet) {
            let found = old.iter().position(|p| p.target == target);
            let mut pool = match found {
                Some(i) => old.swap_remove(i),
                None => Pool::new(target, model.clone()),
            };
            if pool.model != model {
                // The version or the ranges differ: the state of the agents no longer applies.
                pool.table = table(model.as_ref());
                pool.vms.clear();
                pool.model = model;
            }
            pool.queue.set_shares(shares(&fleet));
            for report in &self.reports {
                pool.apply_report(report, now);
            }
            self.pools.push(pool);
        }
        for pool in old {
            log::info!("pool: {} removed: no longer in the settings", pool.name());
        }
    }

    fn pool_index(&self, target: &Target) -> Option<usize> {
        self.pools.iter().position(|p| p.target == *target)
    }

    fn refuse_unknown(&self, pending: Pending) {
        let vm = &self.node.process.vm;
        let why = "the settings have no such model or service";
        let refusal = Refusal::refused(Cause::NotFound, "queue", vm, why);
        let _ = pending.reply.try_send(Answer::Refused(refusal));
    }

    fn refuse(&self, reply: &mpsc::Sender<Answer>, refused: refusal::Refusal) {
        let refusal = admission::refusal(&self.node.process.vm, refused);
        self.count_refusal(&refusal);
        let _ = reply.try_send(Answer::Refused(refusal));
    }

    fn count_refusal(&self, refusal: &Refusal) {
        self.node.metrics.count_refusal(&refusal.cause.to_string());
    }
}

fn due_jobs(due: Vec<(Duration, Job)>) -> impl Iterator<Item = Job> {
    due.into_iter().map(|d| d.1)
}
