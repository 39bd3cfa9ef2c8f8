//! What belongs to one model or plain service: a queue, a table of agents and a retry
//! budget of the `policy` crate.

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

use crate::admission::{Slip, Target, Wait};

/// Agents whose first report comes within this time of the router's own start are
/// taken as warm: nothing shifts to them because this router is new.
const WARM: Duration = Duration::from_secs(3);

/// Time assumed for a link between two data centres. At 1 ms every chain over more than
/// one data centre counted as a bad match beside steps of 2 to 5 ms, so that free slots
/// were held back for a better one that never came (see docs/design/decisions.md).
const LINK: Duration = Duration::from_micros(100);

/// What belongs to one model or plain service.
pub(crate) struct Pool {
    pub(crate) target: Target,
    /// Version and ranges of the model; `None` for a service.
    pub(crate) model: Option<Model>,
    pub(crate) table: Table,
    pub(crate) queue: Queue<Wait>,
    pub(crate) budget: Budget,
    /// Requests in progress without a head.
    pub(crate) recovering: Vec<Slip>,
    /// Refused requests and when they go on.
    pub(crate) paused: Vec<(Duration, Slip)>,
    /// VMs in the table, sorted.
    pub(crate) vms: Vec<Vm>,
    /// True once an agent has reported a step time.
    measured: bool,
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
            measured: false,
        }
    }

    pub(crate) fn name(&self) -> &str {
        match &self.target {
            Target::Model(name) | Target::Service(name) => name,
        }
    }

    pub(crate) fn ask(&self, wait: &Wait, left: Duration, now: Duration) -> queue::Request {
        let run = wait.want.cost.run(self.table.step());
        queue::Request {
            workspace: wait.want.workspace.clone(),
            priority: wait.want.priority,
            // Before the first step time nothing is known, and nothing is refused as too long.
            run: if self.measured { run } else { run.min(left / 2) },
            deadline: now + left,
        }
    }

    /// Notes which agents refused a request, and that the others did not run it.
    pub(crate) fn tried(
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
    pub(crate) fn report(
        &mut self,
        (data_centre, report): &(String, Report),
        now: Duration,
    ) -> bool {
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

    /// The best chain for a request; `None` when it has to wait.
    pub(crate) fn chain(
        &mut self,
        slip: &Slip,
        data_centre: &str,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<Chain> {
        let wait = slip.wait();
        let mut ask = route::Request {
            cost: wait.want.cost,
            left: wait.want.until.saturating_duration_since(Instant::now()),
            prefix: wait.want.prefix,
            keyed: wait.want.keyed,
            recovery: matches!(slip, Slip::Recovery(_)),
            from: self.table.data_centre(data_centre),
            avoid: &wait.avoid,
        };
        let mut chain = self.table.chain(&ask, now, rng);
        // Better one that failed it before than none.
        if chain.is_none() && !ask.avoid.is_empty() {
            ask.avoid = &[];
            chain = self.table.chain(&ask, now, rng);
        }
        chain.filter(|c| c.iter().all(|list| !list.is_empty()))
    }

    /// Replicas of a range for a draft that has lost its stage there, best first.
    pub(crate) fn replicas(
        &mut self,
        stage: Stage,
        data_centre: &str,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<Vm> {
        let Some(range) = self.range(&Backend::Stage(stage)) else { return Vec::new() };
        let ask = route::Request {
            cost: Cost { prompt: 1, output: 1 },
            left: Duration::from_secs(1),
            prefix: None,
            keyed: false,
            recovery: true,
            from: self.table.data_centre(data_centre),
            avoid: &[],
        };
        let chain = self.table.chain(&ask, now, rng).unwrap_or_default();
        chain.into_iter().nth(range).unwrap_or_default()
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

/// A table for a model; for a plain service without one.
pub(crate) fn table(model: Option<&Model>) -> Table {
    Table::new(model.map_or(1, |m| m.ranges.len()), Links::new(LINK))
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
