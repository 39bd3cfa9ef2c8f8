//! The state of one model or plain service: its queue, table of agents and retry budget of the
//! `policy` crate.

use std::time::Duration;

use config::fleet::{Fleet, Model};
use policy::link::Links;
use policy::queue::{self, Queue};
use policy::replica::Vm;
use policy::retry::Budget;
use policy::route::{self, Chain, End, Load, Table};
use policy::share::Share;
use policy::work::Cost;
use rand::Rng;
use tokio::time::Instant;
use wire::frame::{Backend, Report, Stage};

use crate::admission::{Job, Pending, Target};

/// Agents whose first report arrives within this time of the router's start count as warm and are
/// not ramped up: they are new to this router only.
const WARM_START_PERIOD: Duration = Duration::from_secs(3);

/// Time assumed for a link between two data centres. At 1 ms every chain across data centres
/// counted as a bad match beside steps of 2 to 5 ms, and free slots were held back for a better
/// match that never came (see docs/design/decisions.md).
const ASSUMED_LINK_TIME: Duration = Duration::from_micros(100);

/// The state of one model or plain service.
pub(crate) struct Pool {
    pub(crate) target: Target,
    /// Version and ranges of the model; `None` for a service.
    pub(crate) model: Option<Model>,
    pub(crate) table: Table,
    pub(crate) queue: Queue<Pending>,
    pub(crate) budget: Budget,
    /// Requests in progress whose head is lost.
    pub(crate) recovering: Vec<Job>,
    /// Refused requests, with the time at which they are queued again.
    pub(crate) paused: Vec<(Duration, Job)>,
    /// VMs in the table, sorted.
    pub(crate) vms: Vec<Vm>,
    /// True once an agent has reported a step time.
    has_step_time: bool,
}

impl Pool {
    pub(crate) fn new(target: Target, model: Option<Model>) -> Pool {
        Pool {
            target,
            table: table(model.as_ref()),
            model,
            queue: Queue::new(Vec::new()),
            budget: Budget::default(),
            recovering: Vec::new(),
            paused: Vec::new(),
            vms: Vec::new(),
            has_step_time: false,
        }
    }

    pub(crate) fn name(&self) -> &str {
        match &self.target {
            Target::Model(name) | Target::Service(name) => name,
        }
    }

    pub(crate) fn queue_request(
        &self,
        pending: &Pending,
        left: Duration,
        now: Duration,
    ) -> queue::Request {
        let run = pending.requirements.cost.run(self.table.step());
        queue::Request {
            workspace: pending.requirements.workspace.clone(),
            priority: pending.requirements.priority,
            // Before the first step time is known no request is refused as too long.
            run: if self.has_step_time { run } else { run.min(left / 2) },
            deadline: now + left,
        }
    }

    /// Records which agents refused a request, and that the others did not run it.
    pub(crate) fn record_refusal(
        &mut self,
        chain: &Chain,
        peer: &str,
        (busy, blamed): (bool, bool),
        now: Duration,
    ) {
        for (i, list) in chain.iter().enumerate() {
            let Some(first) = list.first() else { continue };
            let refused = list.iter().any(|vm| vm == peer) && (i > 0 || first == peer);
            match (refused, busy, blamed) {
                (true, false, true) => {
                    self.table.ended(first, End::Neutral, now);
                    self.table.started(peer, now);
                    self.table.ended(peer, End::Failed, now);
                }
                // Of the first range only the head itself was tried; of a later range the head
                // tries all replicas before it refuses.
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

    /// Applies a report; returns true if the agent belongs to this pool.
    pub(crate) fn apply_report(
        &mut self,
        (data_centre, report): &(String, Report),
        now: Duration,
    ) -> bool {
        let vm = &report.vm;
        let position = self.vms.binary_search(vm);
        let Some(range) = self.range(&report.backend) else {
            if position.is_ok() {
                self.table.gone(vm, now);
            }
            return false;
        };
        match position {
            Err(at) => {
                self.vms.insert(at, vm.clone());
                match now < WARM_START_PERIOD {
                    true => self.table.warm(range, vm, data_centre, report.slots),
                    false => self.table.join(range, vm, data_centre, report.slots, now),
                }
            }
            // Has an effect only on a VM that was removed.
            Ok(_) => self.table.join(range, vm, data_centre, report.slots, now),
        }
        self.has_step_time |= report.step_us > 0;
        let load = Load {
            slots: report.slots,
            busy: report.busy,
            step_us: report.step_us,
            leaving: report.leaving,
            age: Duration::ZERO,
        };
        if self.table.report(vm, &load, now) {
            log::warn!("pool: {vm} ejected for a while: it is far slower than its peers");
        }
        true
    }

    /// The best chain for a request; `None` if the request has to wait.
    pub(crate) fn chain(
        &mut self,
        job: &Job,
        data_centre: &str,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<Chain> {
        let pending = job.pending();
        let mut request = route::Request {
            cost: pending.requirements.cost,
            left: pending.requirements.deadline.saturating_duration_since(Instant::now()),
            prefix: pending.requirements.prefix,
            keyed: pending.requirements.keyed,
            recovery: matches!(job, Job::Recovery(_)),
            from: self.table.data_centre(data_centre),
            avoid: &pending.avoid,
        };
        let mut chain = self.table.chain(&request, now, rng);
        // A VM that failed the request before is better than none.
        if chain.is_none() && !request.avoid.is_empty() {
            request.avoid = &[];
            chain = self.table.chain(&request, now, rng);
        }
        chain.filter(|c| c.iter().all(|list| !list.is_empty()))
    }

    /// Replicas of a range for a draft whose stage there is lost, best first.
    pub(crate) fn replicas(
        &mut self,
        stage: Stage,
        data_centre: &str,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<Vm> {
        let Some(range) = self.range(&Backend::Stage(stage)) else { return Vec::new() };
        let request = route::Request {
            cost: Cost { prompt: 1, output: 1 },
            left: Duration::from_secs(1),
            prefix: None,
            keyed: false,
            recovery: true,
            from: self.table.data_centre(data_centre),
            avoid: &[],
        };
        let chain = self.table.chain(&request, now, rng).unwrap_or_default();
        chain.into_iter().nth(range).unwrap_or_default()
    }

    fn range(&self, backend: &Backend) -> Option<usize> {
        match (&self.target, backend, &self.model) {
            (Target::Service(name), Backend::Service(at), _) => (name == at).then_some(0),
            (Target::Model(name), Backend::Stage(stage), Some(model)) => {
                let same = *name == stage.model && model.version == stage.version;
                let range = (stage.first, stage.last);
                model.ranges.iter().position(|r| same && *r == range)
            }
            _ => None,
        }
    }
}

/// A table of agents for a model, or for a plain service if there is no model.
pub(crate) fn table(model: Option<&Model>) -> Table {
    Table::new(model.map_or(1, |m| m.ranges.len()), Links::new(ASSUMED_LINK_TIME))
}

/// All models and plain services of the settings.
pub(crate) fn targets(fleet: &Fleet) -> Vec<(Target, Option<Model>)> {
    let models = fleet.models.iter().map(|m| (Target::Model(m.name.clone()), Some(m.clone())));
    let services = fleet.services.iter().map(|s| (Target::Service(s.name.clone()), None));
    models.chain(services).collect()
}

/// The shares of the workspaces.
pub(crate) fn shares(fleet: &Fleet) -> Vec<Share> {
    let share = |w: &config::fleet::Workspace| Share {
        workspace: w.name.clone(),
        weight: w.share,
        limit: w.queue_limit,
    };
    fleet.workspaces.iter().map(share).collect()
}
