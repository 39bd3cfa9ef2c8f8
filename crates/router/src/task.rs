//! The task that decides: it holds a [`Pool`] for each model and each plain service, and
//! moves requests between their callers and the `policy` crate.

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

use crate::admission::{self, Admission, Answer, Ended, Message, Slip, Started, Target, Wait};
use crate::pool::{Pool, shares, table, targets};

/// How often all queues are looked at, beside at each message: for deadlines, ramps
/// and ejections that have run out, and matches held back for a better one.
const TICK: Duration = Duration::from_millis(50);

/// Pause of a request that agents refused as often as the retry budget allows: about
/// the time until each agent has reported again.
const PAUSE: Duration = Duration::from_millis(250);

/// Pause before a request that has lost its head is offered again after a refusal.
const RECOVERY_PAUSE: Duration = Duration::from_millis(30);

/// Step at which an agent refuses a write that the log did not take. The log's rate is
/// shared by the fleet: without this all agents of a service would be ejected for it.
const LOG_STEP: &str = "write";

/// The task's state.
struct Task {
    node: Arc<Node>,
    admission: Admission,
    start: Instant,
    rng: Pcg64,
    pools: Vec<Pool>,
    /// Last report of each agent with its data centre, sorted by VM.
    reports: Vec<(String, Report)>,
    routers: u32,
}

/// Drives the queues until the router ends.
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
    task.settings();
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            message = rx.recv() => match message {
                Some(message) => task.take(message),
                None => return,
            },
            changed = settings.changed() => match changed {
                Ok(()) => task.settings(),
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

    fn take(&mut self, message: Message) {
        match message {
            Message::Ask(wait) => self.ask(wait),
            Message::Recover(wait) => {
                let target = wait.want.target.clone();
                match self.pool(&target) {
                    Some(i) => self.pools[i].recovering.push(Slip::Recovery(Box::new(wait))),
                    None => self.unknown(wait),
                }
                self.pump(&target);
            }
            Message::Cancel(target, workspace, ticket) => {
                if let Some(i) = self.pool(&target) {
                    self.pools[i].queue.cancel(&workspace, ticket);
                }
            }
            Message::End { slip, chain, held, ended } => self.end(slip, &chain, held, &ended),
            Message::Again { slip, chain, refusal, outcome } => {
                self.again(slip, &chain, refusal, outcome);
            }
            Message::Replicas(stage, reply) => {
                let target = Target::Model(stage.model.clone());
                let (now, from) = (self.start.elapsed(), &self.node.process.data_centre);
                let found = self.pools.iter_mut().find(|p| p.target == target);
                let list = found.map(|p| p.replicas(stage, from, now, &mut self.rng));
                let _ = reply.send(list.unwrap_or_default());
            }
            Message::Report { data_centre, report } => self.report(data_centre, *report),
            Message::Down(vm) | Message::Unlisted(vm) => {
                self.reports.retain(|r| r.1.vm != vm);
                let now = self.now();
                self.pools.iter_mut().for_each(|p| p.table.gone(&vm, now));
            }
        }
    }

    fn ask(&mut self, wait: Wait) {
        let target = wait.want.target.clone();
        let Some(i) = self.pool(&target) else { return self.unknown(wait) };
        let (now, routers) = (self.now(), self.routers);
        let pool = &mut self.pools[i];
        let room = pool.table.room(routers, now);
        let reply = wait.reply.clone();
        let left = wait.want.until.saturating_duration_since(Instant::now());
        let ask = pool.ask(&wait, left, now);
        match pool.queue.admit(ask, wait, room, now) {
            Admit::Start(entry) => match self.start(i, Slip::Queued(Box::new(entry))) {
                None => {}
                Some(slip) => self.put_back(i, slip),
            },
            Admit::Wait(ticket) => {
                let _ = reply.try_send(Answer::Waiting(ticket));
            }
            Admit::Refuse(_, refused) => self.refuse(&reply, refused),
        }
    }

    /// Starts a request on the best chain; gives it back when there is none now.
    fn start(&mut self, i: usize, slip: Slip) -> Option<Slip> {
        let now = self.now();
        let pool = &mut self.pools[i];
        let chain = pool.chain(&slip, &self.node.process.data_centre, now, &mut self.rng);
        let Some(chain) = chain else {
            return Some(slip);
        };
        chain.iter().for_each(|list| pool.table.started(&list[0], now));
        let reply = slip.wait().reply.clone();
        let started = Started::new(slip, chain, self.admission.sender());
        // When the caller has gone, dropping what was started ends it.
        let _ = reply.try_send(Answer::Start(started));
        None
    }

    fn put_back(&mut self, i: usize, slip: Slip) {
        match slip {
            Slip::Queued(entry) => {
                let _ = entry.item.reply.try_send(Answer::Waiting(entry.ticket));
                self.pools[i].queue.requeue(*entry);
            }
            Slip::Recovery(_) => self.pools[i].recovering.push(slip),
        }
    }

    /// Starts all that may start, those in progress first.
    fn pump(&mut self, target: &Target) {
        let Some(i) = self.pool(target) else { return };
        for slip in std::mem::take(&mut self.pools[i].recovering) {
            let wait = slip.wait();
            match wait.want.until <= Instant::now() {
                true => {
                    let why = "no backend server could go on with it before its deadline";
                    let vm = &self.node.process.vm;
                    let refusal = Refusal::not_run(Cause::Deadline, "recover", vm, why);
                    let _ = wait.reply.try_send(Answer::Refused(refusal));
                }
                false => {
                    if let Some(slip) = self.start(i, slip) {
                        self.put_back(i, slip);
                    }
                }
            }
        }
        loop {
            let (now, routers) = (self.now(), self.routers);
            let pool = &mut self.pools[i];
            let room = pool.table.room(routers, now);
            let table = &pool.table;
            let likes = |w: &Wait| w.want.prefix.map_or(0, |p| table.cached_ranges(p, now));
            let Some(entry) = pool.queue.next_by(room, now, likes) else { break };
            if let Some(slip) = self.start(i, Slip::Queued(Box::new(entry))) {
                self.put_back(i, slip);
                break;
            }
        }
    }

    fn end(&mut self, slip: Slip, chain: &Chain, held: Duration, ended: &Ended) {
        let now = self.now();
        let target = slip.wait().want.target.clone();
        let Some(i) = self.pool(&target) else { return };
        let pool = &mut self.pools[i];
        for vm in chain.iter().filter_map(|list| list.first()) {
            let end = match ended {
                Ended::Well => End::Succeeded,
                Ended::Fault(at) if at == vm => End::Failed,
                _ => End::Neutral,
            };
            if pool.table.ended(vm, end, now) {
                log::warn!("pool: {vm} fails and gets no work for a while");
            }
        }
        if *ended == Ended::Well {
            pool.budget.succeeded();
        }
        match slip {
            Slip::Queued(entry) => pool.queue.done(&entry.request, held),
            Slip::Recovery(_) => {}
        }
        self.pump(&target);
    }

    /// A try has failed: the agents that refused are noted, and the request goes back to
    /// its place in the queue, now or after a pause, as long as budget and deadline allow.
    fn again(&mut self, mut slip: Slip, chain: &Chain, failed: Refusal, outcome: retry::Outcome) {
        let now = self.now();
        let target = slip.wait().want.target.clone();
        let Some(i) = self.pool(&target) else { return };
        let pool = &mut self.pools[i];
        let busy = matches!(failed.cause, Cause::Busy | Cause::Leaving);
        let blamed = !busy && failed.step != LOG_STEP;
        pool.tried(chain, &failed.peer, (busy, blamed), now);
        let wait = slip.wait_mut();
        wait.tries += 1;
        if blamed && !wait.avoid.contains(&failed.peer) {
            wait.avoid.push(failed.peer.clone());
        }
        let tries = wait.tries;
        let entry = match slip {
            Slip::Recovery(_) => {
                pool.paused.push((now + RECOVERY_PAUSE, slip));
                return;
            }
            Slip::Queued(entry) => entry,
        };
        let waits = busy || blamed && outcome == retry::Outcome::NotRun;
        let (run, deadline) = (entry.request.run, entry.request.deadline);
        let failure = retry::Failure { outcome, tries, run, deadline };
        let pause = match pool.budget.decide(&failure, now, &mut self.rng) {
            // The agent that refused counts as full until it says otherwise, so the next
            // try goes elsewhere or waits for a slot: a pause would only leave it idle.
            Retry::After(_) if busy => Duration::ZERO,
            Retry::After(wait) => wait.max(failed.retry_after.unwrap_or_default()),
            // It was not run: it waits at its place until the agents have reported again, and
            // is refused when its deadline can't be met any more.
            Retry::Stop(Stop::Tries | Stop::Budget) if waits => PAUSE,
            Retry::Stop(stop) => return self.give_up(i, *entry, failed, stop),
        };
        pool.paused.push((now + pause, Slip::Queued(entry)));
        if pause.is_zero() {
            self.resume(i);
            self.pump(&target);
        }
    }

    fn give_up(&mut self, i: usize, entry: Entry<Wait>, failed: Refusal, stop: Stop) {
        self.pools[i].queue.done(&entry.request, Duration::ZERO);
        let why = format!("{}; {stop}", failed.reason);
        let after =
            failed.retry_after.unwrap_or(refusal::MIN_RETRY_AFTER).max(refusal::MIN_RETRY_AFTER);
        let refusal = Refusal { reason: why, ..failed }.with_retry_after(after);
        self.count(&refusal);
        let _ = entry.item.reply.try_send(Answer::Refused(refusal));
    }

    /// Puts back what has paused long enough.
    fn resume(&mut self, i: usize) {
        let now = self.now();
        let paused = std::mem::take(&mut self.pools[i].paused);
        let (due, later) = paused.into_iter().partition(|p| p.0 <= now);
        self.pools[i].paused = later;
        due_slips(due).for_each(|slip| self.put_back(i, slip));
    }

    fn tick(&mut self) {
        let list = self.node.vms.borrow().clone();
        self.routers = list.iter().filter(|e| e.role == Role::Router).count().max(1) as u32;
        for i in 0..self.pools.len() {
            self.resume(i);
            let target = self.pools[i].target.clone();
            self.pump(&target);
            let (now, routers) = (self.now(), self.routers);
            let pool = &mut self.pools[i];
            let room = pool.table.room(routers, now);
            for (entry, refused) in pool.queue.expired(room, now) {
                self.refuse(&entry.item.reply, refused);
            }
        }
        self.admission.note_running(self.pools.iter().map(|p| p.queue.running()).sum());
        self.show();
    }

    fn show(&self) {
        let now = self.now();
        for pool in &self.pools {
            let ejected =
                |vm: &&Vm| matches!(pool.table.state(vm, now), Some(State::Ejected { .. }));
            self.node.metrics.gauges(&Gauges {
                target: pool.name(),
                waiting: (pool.queue.waiting() + pool.recovering.len()) as u64,
                running: pool.queue.running().into(),
                free: pool.table.room(self.routers, now).free.into(),
                ejected: pool.vms.iter().filter(ejected).count() as u64,
                budget: pool.budget.left().into(),
            });
        }
    }

    fn report(&mut self, data_centre: String, report: Report) {
        match self.reports.binary_search_by(|r| r.1.vm.cmp(&report.vm)) {
            Ok(at) => self.reports[at] = (data_centre, report.clone()),
            Err(at) => self.reports.insert(at, (data_centre, report.clone())),
        }
        let now = self.now();
        for i in 0..self.pools.len() {
            let at = self.reports.binary_search_by(|r| r.1.vm.cmp(&report.vm));
            if let Ok(at) = at
                && self.pools[i].report(&self.reports[at], now)
            {
                let target = self.pools[i].target.clone();
                self.pump(&target);
            }
        }
    }

    /// Takes over new settings: shares, models and services.
    fn settings(&mut self) {
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
                // Another version or other ranges: what is known of the agents starts anew.
                pool.table = table(model.as_ref());
                pool.vms.clear();
                pool.model = model;
            }
            pool.queue.set_shares(shares(&fleet));
            for report in &self.reports {
                pool.report(report, now);
            }
            self.pools.push(pool);
        }
        for pool in old {
            log::info!("pool: {} is no longer in the settings", pool.name());
        }
    }

    fn pool(&self, target: &Target) -> Option<usize> {
        self.pools.iter().position(|p| p.target == *target)
    }

    fn unknown(&self, wait: Wait) {
        let vm = &self.node.process.vm;
        let why = "the settings have no such model or service";
        let refusal = Refusal::refused(Cause::NotFound, "queue", vm, why);
        let _ = wait.reply.try_send(Answer::Refused(refusal));
    }

    fn refuse(&self, reply: &mpsc::Sender<Answer>, refused: refusal::Refusal) {
        let refusal = admission::refusal(&self.node.process.vm, refused);
        self.count(&refusal);
        let _ = reply.try_send(Answer::Refused(refusal));
    }

    fn count(&self, refusal: &Refusal) {
        self.node.metrics.refused(&refusal.cause.to_string());
    }
}

fn due_slips(due: Vec<(Duration, Slip)>) -> impl Iterator<Item = Slip> {
    due.into_iter().map(|d| d.1)
}
