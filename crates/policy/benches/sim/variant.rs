//! The policy under test and the baselines it is compared with.

use std::collections::VecDeque;
use std::time::Duration;

use policy::limit::Objective;
use policy::queue::{Admit, Entry, Queue, Request};
use policy::refusal::{OUTAGE_RETRY_AFTER, Reason, Refusal};
use policy::room::Room;
use policy::share::Share;
use policy::tuning::Tuning;
use rand::RngExt;
use rand_pcg::Pcg64;

/// How replicas are chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Pick {
    Policy,
    Random,
    RoundRobin,
    LeastOutstanding,
    /// Power of two choices by load, without ejection.
    TwoChoices,
}

/// A change of thresholds.
pub type Tune = fn(&mut Tuning);

/// A policy or baseline, by what it replaces in the policy.
#[derive(Debug, Clone, Copy)]
pub struct Variant {
    pub name: &'static str,
    pub pick: Pick,
    /// First come, first served; requests wait until their deadline.
    pub fifo: bool,
    /// Retries under the budget, with backoff.
    pub budget: bool,
    /// The agents' objective.
    pub objective: Objective,
    /// Whether the age of reports is known.
    pub aged: bool,
    /// Changes thresholds for a sweep.
    pub tune: Tune,
}

/// The policy.
pub const POLICY: Variant = Variant {
    name: "policy",
    pick: Pick::Policy,
    fifo: false,
    budget: true,
    objective: Objective::Throughput,
    aged: true,
    tune: |_| {},
};

/// The policy and the baselines. The routing baselines keep the policy's queue and its
/// view of free slots, which helps them.
pub const ALL: [Variant; 9] = [
    POLICY,
    Variant { name: "random", pick: Pick::Random, ..POLICY },
    Variant { name: "round robin", pick: Pick::RoundRobin, ..POLICY },
    Variant { name: "least outstanding", pick: Pick::LeastOutstanding, ..POLICY },
    Variant { name: "two choices", pick: Pick::TwoChoices, ..POLICY },
    Variant { name: "fifo queue", fifo: true, ..POLICY },
    Variant { name: "no retry budget", budget: false, ..POLICY },
    // Only differs where VMs are lost.
    Variant { name: "objective recovery", objective: Objective::Recovery, ..POLICY },
    // Only differs where reports are late.
    Variant { name: "age unknown", aged: false, ..POLICY },
];

/// A baseline's own counts for each replica of a range.
#[derive(Debug, Clone, Default)]
pub struct Count {
    pub agent: usize,
    pub own: i32,
    pub reported: i32,
    pub gone: bool,
}

/// Chooses replicas as a baseline does.
pub fn pick(pick: Pick, range: &[Count], turn: &mut usize, rng: &mut Pcg64) -> Vec<usize> {
    let live: Vec<&Count> = range.iter().filter(|c| !c.gone).collect();
    let mut any = || live[rng.random_range(0..live.len())];
    let first = match pick {
        _ if live.is_empty() => return Vec::new(),
        Pick::RoundRobin => {
            *turn += 1;
            live[*turn % live.len()]
        }
        Pick::LeastOutstanding => {
            let start = any().agent;
            live.iter().min_by_key(|c| (c.own, c.agent.wrapping_sub(start))).expect("some")
        }
        Pick::TwoChoices => {
            let (a, b) = (any(), any());
            if a.own.max(a.reported) <= b.own.max(b.reported) { a } else { b }
        }
        Pick::Policy | Pick::Random => any(),
    };
    let mut picks = vec![first.agent, any().agent, any().agent];
    picks.dedup();
    picks
}

/// The queue of a variant.
#[derive(Debug)]
#[allow(clippy::large_enum_variant)]
pub enum Waiting {
    Fair(Queue<usize>),
    Fifo(VecDeque<(Request, usize)>),
}

/// A request to start.
#[derive(Debug)]
pub struct Start {
    pub ask: Request,
    pub request: usize,
    entry: Option<Entry<usize>>,
}

impl Variant {
    pub fn tuning(&self) -> Tuning {
        let mut tuning = Tuning::default();
        (self.tune)(&mut tuning);
        tuning
    }
}

impl Waiting {
    pub fn new(fifo: bool, shares: Vec<Share>, tuning: Tuning) -> Waiting {
        if fifo {
            Waiting::Fifo(VecDeque::new())
        } else {
            Waiting::Fair(Queue::new(shares).tuned(tuning))
        }
    }

    /// Admits a request, or returns its refusal.
    pub fn admit(
        &mut self,
        ask: Request,
        request: usize,
        room: Room,
        now: Duration,
    ) -> Result<Option<Start>, Refusal> {
        match self {
            Waiting::Fifo(list) => {
                list.push_back((ask, request));
                Ok(None)
            }
            Waiting::Fair(queue) => match queue.admit(ask, request, room, now) {
                Admit::Start(entry) => Ok(Some(Start::from(entry))),
                Admit::Wait(_) => Ok(None),
                Admit::Refuse(_, refusal) => Err(refusal),
            },
        }
    }

    pub fn next(
        &mut self,
        room: Room,
        now: Duration,
        likes: impl Fn(&usize) -> u32,
    ) -> Option<Start> {
        match self {
            Waiting::Fifo(list) if room.free > 0 => {
                list.pop_front().map(|(ask, request)| Start { ask, request, entry: None })
            }
            Waiting::Fifo(_) => None,
            Waiting::Fair(queue) => queue.next_by(room, now, likes).map(Start::from),
        }
    }

    /// Returns the requests that have to be refused.
    pub fn expired(&mut self, room: Room, now: Duration) -> Vec<(usize, Refusal)> {
        match self {
            Waiting::Fifo(list) => {
                let refusal =
                    Refusal { reason: Reason::Deadline, retry_after: Some(OUTAGE_RETRY_AFTER) };
                let (late, left) = list.drain(..).partition(|(ask, _)| ask.deadline <= now);
                *list = left;
                let late: VecDeque<(Request, usize)> = late;
                late.into_iter().map(|(_, request)| (request, refusal)).collect()
            }
            Waiting::Fair(queue) => {
                queue.expired(room, now).into_iter().map(|(e, r)| (e.item, r)).collect()
            }
        }
    }

    pub fn done(&mut self, start: &Start, held: Duration) {
        if let Waiting::Fair(queue) = self {
            queue.done(&start.ask, held);
        }
    }

    pub fn back(&mut self, start: Start, lost: bool) {
        match (self, start.entry) {
            (Waiting::Fair(queue), Some(entry)) if lost => queue.requeue_first(entry),
            (Waiting::Fair(queue), Some(entry)) => queue.requeue(entry),
            (Waiting::Fifo(list), _) => list.push_front((start.ask, start.request)),
            _ => {}
        }
    }
}

impl From<Entry<usize>> for Start {
    fn from(entry: Entry<usize>) -> Start {
        Start { ask: entry.request.clone(), request: entry.item, entry: Some(entry) }
    }
}
