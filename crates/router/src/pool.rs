//! The task that decides: for each model and each plain service a queue, a table of
//! agents and a retry budget of the `policy` crate.

use std::sync::Arc;
use std::time::Duration;

use config::fleet::{Fleet, Model};
use node::Node;
use node::metrics::Gauges;
use platform::vm::Role;
use policy::health::State;
use policy::link::Links;
use policy::queue::{Admit, Entry, Queue};
use policy::replica::Vm;
use policy::retry::{self, Budget, Retry, Stop};
use policy::route::{self, Chain, End, Load, Table};
use policy::share::Share;
use policy::work::Cost;
use policy::{queue, refusal};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::frame::{Backend, Cause, Refusal, Report, Stage};

use crate::admission::{self, Admission, Answer, Ended, Message, Slip, Started, Target, Wait};

/// How often all queues are looked at, beside at each message: for deadlines, ramps
/// and ejections that have run out, and matches held back for a better one.
const TICK: Duration = Duration::from_millis(50);

/// Agents whose first report comes within this time of the router's own start are
/// taken as warm: nothing shifts to them because this router is new.
const WARM: Duration = Duration::from_secs(3);

/// Pause of a request that agents refused as often as the retry budget allows: about
/// the time until each agent has reported again.
const PAUSE: Duration = Duration::from_millis(250);

/// Pause before a request that has lost its head is offered again after a refusal.
const RECOVERY_PAUSE: Duration = Duration::from_millis(30);

/// Step at which an agent refuses a write that the log did not take. The log's rate is
/// shared by the fleet: without this all agents of a service would be ejected for it.
const LOG_STEP: &str = "write";

/// Time assumed for a link between two data centres. At 1 ms every chain over more than
/// one data centre counted as a bad match beside steps of 2 to 5 ms, so that free slots
/// were held back for a better one that never came (see docs/design/decisions.md).
const LINK: Duration = Duration::from_micros(100);

/// What belongs to one model or plain service.
struct Pool {
    target: Target,
    /// Version and ranges of the model; `None` for a service.
    model: Option<Model>,
    table: Table,
    queue: Queue<Wait>,
    budget: Budget,
    /// Requests in progress without a head.
    recovering: Vec<Slip>,
    /// Refused requests and when they go on.
    paused: Vec<(Duration, Slip)>,
    /// VMs in the table, sorted.
    vms: Vec<Vm>,
    /// True once an agent has reported a step time.
    measured: bool,
}

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
                let _ = reply.send(self.replicas(&stage));
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
        let from = pool.table.data_centre(&self.node.process.data_centre);
        let wait = slip.wait();
        let mut ask = route::Ask {
            cost: wait.want.cost,
            left: wait.want.until.saturating_duration_since(Instant::now()),
            prefix: wait.want.prefix,
            keyed: wait.want.keyed,
            recovery: matches!(slip, Slip::Recovery(_)),
            from,
            avoid: &wait.avoid,
        };
        let mut chain = pool.table.chain(&ask, now, &mut self.rng);
        // Better one that failed it before than none.
        if chain.is_none() && !ask.avoid.is_empty() {
            ask.avoid = &[];
            chain = pool.table.chain(&ask, now, &mut self.rng);
        }
        let Some(chain) = chain.filter(|c| c.iter().all(|list| !list.is_empty())) else {
            return Some(slip);
        };
        chain.iter().for_each(|list| pool.table.started(&list[0], now));
        let reply = slip.wait().reply.clone();
        let started = Started::new(slip, chain, self.admission.sender());
        // When the caller has gone, dropping what was started ends it.
        let _ = reply.try_send(Answer::Start(started));
        None
    }

    /// Replicas of a range for a draft that has lost its stage there, best first.
    fn replicas(&mut self, stage: &Stage) -> Vec<Vm> {
        let now = self.now();
        let Some(i) = self.pool(&Target::Model(stage.model.clone())) else { return Vec::new() };
        let pool = &mut self.pools[i];
        let Some(range) = pool.range(&Backend::Stage(stage.clone())) else { return Vec::new() };
        let from = pool.table.data_centre(&self.node.process.data_centre);
        let ask = route::Ask {
            cost: Cost { prompt: 1, output: 1 },
            left: Duration::from_secs(1),
            prefix: None,
            keyed: false,
            recovery: true,
            from,
            avoid: &[],
        };
        let chain = pool.table.chain(&ask, now, &mut self.rng).unwrap_or_default();
        chain.into_iter().nth(range).unwrap_or_default()
    }

    fn put_back(&mut self, i: usize, slip: Slip) {
        match slip {
            Slip::Queued(entry) => {
                let _ = entry.item.reply.try_send(Answer::Waiting(entry.ticket));
                self.pools[i].queue.back(*entry);
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
            let likes = |w: &Wait| w.want.prefix.map_or(0, |p| table.likes(p, now));
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
            Slip::Queued(entry) => pool.queue.done(&entry.ask, held),
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
        let (run, deadline) = (entry.ask.run, entry.ask.deadline);
        let failure = retry::Failure { outcome, tries, run, deadline };
        let pause = match pool.budget.decide(&failure, now, &mut self.rng) {
            // The agent that refused counts as full until it says otherwise, so the next
            // try goes elsewhere or waits for a slot: a pause would only leave it idle.
            Retry::After(_) if busy => Duration::ZERO,
            Retry::After(wait) => wait.max(failed.retry_after.unwrap_or_default()),
            Retry::Stop(Stop::Tries | Stop::Budget) if busy => PAUSE,
            Retry::Stop(stop) => return self.give_up(i, *entry, failed, stop),
        };
        pool.paused.push((now + pause, Slip::Queued(entry)));
        if pause.is_zero() {
            self.resume(i);
            self.pump(&target);
        }
    }

    fn give_up(&mut self, i: usize, entry: Entry<Wait>, failed: Refusal, stop: Stop) {
        self.pools[i].queue.done(&entry.ask, Duration::ZERO);
        let why = format!("{}; {stop}", failed.reason);
        let after = failed.retry_after.unwrap_or(refusal::SOON).max(refusal::SOON);
        let refusal = Refusal { reason: why, ..failed }.after(after);
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
            pool.queue.set(shares(&fleet));
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

impl Pool {
    fn new(target: Target, model: Option<Model>) -> Pool {
        Pool {
            target,
            table: table(model.as_ref()),
            model,
            queue: Queue::new(Vec::new()),
            budget: Budget::default(),
            recovering: Vec::new(),
            paused: Vec::new(),
            vms: Vec::new(),
            measured: false,
        }
    }

    fn name(&self) -> &str {
        match &self.target {
            Target::Model(name) | Target::Service(name) => name,
        }
    }

    fn ask(&self, wait: &Wait, left: Duration, now: Duration) -> queue::Ask {
        let run = wait.want.cost.run(self.table.step());
        queue::Ask {
            workspace: wait.want.workspace.clone(),
            priority: wait.want.priority,
            // Before the first step time nothing is known, and nothing is refused as too long.
            run: if self.measured { run } else { run.min(left / 2) },
            deadline: now + left,
        }
    }

    /// Notes which agents refused a request, and that the others did not run it.
    fn tried(&mut self, chain: &Chain, peer: &str, (busy, blamed): (bool, bool), now: Duration) {
        for (i, list) in chain.iter().enumerate() {
            let Some(first) = list.first() else { continue };
            let refused = list.iter().any(|vm| vm == peer) && (i > 0 || first == peer);
            match (refused, busy, blamed) {
                (true, false, true) => {
                    self.table.ended(first, End::Neutral, now);
                    self.table.started(peer, now);
                    self.table.ended(peer, End::Failed, now);
                }
                // The head itself is the only one tried of the first range; of a later
                // range it tries all before it refuses.
                (true, true, _) => {
                    self.table.refused(first, now);
                    for vm in list.iter().skip(1).filter(|_| i > 0) {
                        self.table.started(vm, now);
                        self.table.refused(vm, now);
                    }
                }
                _ => {
                    self.table.ended(first, End::Neutral, now);
                }
            }
        }
    }

    /// Takes over a report; true when the agent is one of this pool's.
    fn report(&mut self, (data_centre, report): &(String, Report), now: Duration) -> bool {
        let vm = &report.vm;
        let known = self.vms.binary_search(vm);
        let Some(range) = self.range(&report.backend) else {
            if known.is_ok() {
                self.table.gone(vm, now);
            }
            return false;
        };
        match known {
            Err(at) => {
                self.vms.insert(at, vm.clone());
                match now < WARM {
                    true => self.table.warm(range, vm, data_centre, report.slots),
                    false => self.table.join(range, vm, data_centre, report.slots, now),
                }
            }
            // Only a VM that was gone is changed by this.
            Ok(_) => self.table.join(range, vm, data_centre, report.slots, now),
        }
        self.measured |= report.step_us > 0;
        let load = Load {
            slots: report.slots,
            busy: report.busy,
            step_us: report.step_us,
            leaving: report.leaving,
            age: Duration::ZERO,
        };
        if self.table.report(vm, &load, now) {
            log::warn!("pool: {vm} is far slower than its peers and gets no work for a while");
        }
        true
    }

    fn range(&self, backend: &Backend) -> Option<usize> {
        match (&self.target, backend, &self.model) {
            (Target::Service(name), Backend::Service(at), _) => (name == at).then_some(0),
            (Target::Model(name), Backend::Stage(stage), Some(model)) => {
                let same = *name == stage.model && model.version == stage.version;
                let held = (stage.first, stage.last);
                model.ranges.iter().position(|r| same && *r == held)
            }
            _ => None,
        }
    }
}

fn due_slips(due: Vec<(Duration, Slip)>) -> impl Iterator<Item = Slip> {
    due.into_iter().map(|d| d.1)
}

fn targets(fleet: &Fleet) -> Vec<(Target, Option<Model>)> {
    let models = fleet.models.iter().map(|m| (Target::Model(m.name.clone()), Some(m.clone())));
    let services = fleet.services.iter().map(|s| (Target::Service(s.name.clone()), None));
    models.chain(services).collect()
}

fn table(model: Option<&Model>) -> Table {
    Table::new(model.map_or(1, |m| m.ranges.len()), Links::new(LINK))
}

fn shares(fleet: &Fleet) -> Vec<Share> {
    let share = |w: &config::fleet::Workspace| Share {
        workspace: w.name.clone(),
        weight: w.share,
        limit: w.queue_limit,
    };
    fleet.workspaces.iter().map(share).collect()
}
