//! A model of a fleet for the decisions only: agents with slots and step times, routers that decide on their own on
//! late reports, and a heap of events in virtual time. There is no network and no engine; a draft takes its tokens
//! times the step times of its chain and their links.

#![allow(dead_code, missing_docs)]

pub mod fleet;
pub mod load;
pub mod result;
pub mod variant;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use policy::limit::{Admit, Kind, Slots};
use policy::queue::Request as Queued;
use policy::retry::{Failure, Outcome, Retry};
use policy::route::{self, End};
use policy::work::{Cost, PREFILL_TOKENS_PER_STEP};

use fleet::{AGENTS, Agent, CACHE, Router, SLOTS, agent, bound, centre, hash, router, workspace};
use load::{END, Fault, Load, OWN, Request, SHARED};
use result::Result;
use variant::{Pick, Start, Variant};

/// Routers that decide on their own.
pub const ROUTERS: usize = 6;

const TICK: Duration = Duration::from_millis(100);
const REPORT: Duration = Duration::from_millis(250);

/// Time until a try at a lost VM fails, and until routers notice that their connection to it is dead.
const CONNECT: Duration = Duration::from_secs(1);
const DETECT: Duration = Duration::from_secs(1);

struct Session {
    start: Option<Start>,
    request: usize,
    router: usize,
    chain: Vec<usize>,
    began: Duration,
    changed: Duration,
    /// Ratio of the run that was done when its speed last changed.
    done: f64,
    /// Steps run at each agent of the chain.
    steps: Vec<f64>,
    epoch: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    End(usize, u32),
    Retry(usize),
    Sample(usize),
    Deliver(usize, u32, u64),
    Listed(usize, bool),
    Fault(usize),
    Detect,
    Tick,
}

/// A fleet in virtual time.
pub struct Fleet {
    variant: Variant,
    load: Load,
    agents: Vec<Agent>,
    routers: Vec<Router>,
    requests: Vec<Request>,
    sessions: Vec<Session>,
    tries: Vec<u32>,
    heap: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    events: u64,
    now: Duration,
    result: Result,
}

/// Simulates a load under a policy.
pub fn simulate(load: &Load, variant: Variant, seed: u64) -> Result {
    Fleet::new(load.clone(), variant, seed).run()
}

impl Fleet {
    /// A fleet of the present size.
    pub fn new(load: Load, variant: Variant, seed: u64) -> Fleet {
        let agents: Vec<Agent> =
            (0..AGENTS.iter().sum()).map(|i| agent(i, variant.objective)).collect();
        let bound = bound(&agents);
        let requests = load.requests(bound, ROUTERS, seed);
        let routers = (0..ROUTERS).map(|i| router(i, &agents, variant, seed)).collect();
        let mut fleet = Fleet {
            variant,
            agents,
            routers,
            tries: vec![0; requests.len()],
            result: Result::new(variant.name, load.name, requests.len(), bound),
            load,
            requests,
            sessions: Vec::new(),
            heap: BinaryHeap::new(),
            events: 0,
            now: Duration::ZERO,
        };
        for i in 0..fleet.requests.len() {
            fleet.at(fleet.requests[i].arrival, Event::Arrive(i));
        }
        for i in 0..fleet.agents.len() {
            fleet.at(REPORT.mul_f64(i as f64 / 40.0), Event::Sample(i));
        }
        for (i, (t, _)) in fleet.load.faults.iter().enumerate() {
            fleet.at(Duration::from_secs_f64(*t), Event::Fault(i));
        }
        fleet.at(TICK, Event::Tick);
        fleet
    }

    /// Simulates the load to its end.
    pub fn run(mut self) -> Result {
        while let Some(Reverse((now, _, event))) = self.heap.pop() {
            self.now = now;
            match event {
                Event::Arrive(i) => self.arrive(i),
                Event::End(i, epoch) if self.sessions[i].epoch == epoch => self.end(i),
                Event::End(..) => {}
                Event::Retry(i) => self.retry(i),
                Event::Sample(i) => self.sample(i),
                Event::Deliver(i, busy, step) => self.deliver(i, busy, step),
                Event::Listed(i, up) => self.listed(i, up),
                Event::Fault(i) => self.fault(i),
                Event::Detect => self.detect(),
                Event::Tick => self.tick(),
            }
        }
        self.result.finish(&self.requests);
        self.result
    }

    fn at(&mut self, time: Duration, event: Event) {
        self.events += 1;
        self.heap.push(Reverse((time, self.events, event)));
    }

    fn arrive(&mut self, i: usize) {
        let (now, request) = (self.now, &self.requests[i]);
        let router = &mut self.routers[request.router];
        let cost = Cost { prompt: (SHARED + OWN) * PREFILL_TOKENS_PER_STEP, output: request.most };
        let ask = Queued {
            workspace: workspace(request.workspace),
            priority: 5,
            run: cost.run(router.table.step()),
            deadline: request.deadline,
        };
        let room = router.table.room(ROUTERS as u32, now);
        let r = request.router;
        match router.queue.admit(ask, i, room, now) {
            Ok(Some(start)) => {
                self.launch(start, Kind::New, false);
            }
            Ok(None) => self.pump(r),
            Err(_) => self.result.refuse(i, now, now),
        }
    }

    fn tick(&mut self) {
        for r in 0..ROUTERS {
            self.pump(r);
            let router = &mut self.routers[r];
            let room = router.table.room(ROUTERS as u32, self.now);
            for (i, _) in router.queue.expired(room, self.now) {
                self.result.refuse(i, self.requests[i].arrival, self.now);
            }
        }
        if self.now.as_secs_f64() < END + 130.0 {
            self.at(self.now + TICK, Event::Tick);
        }
    }

    /// Starts what may start at a router.
    fn pump(&mut self, r: usize) {
        let mut failures = 0;
        while failures < 4 {
            let router = &mut self.routers[r];
            let room = router.table.room(ROUTERS as u32, self.now);
            let (table, requests, now) = (&router.table, &self.requests, self.now);
            let aware = self.variant.pick == Pick::Policy;
            let likes = |i: &usize| {
                if aware { table.cached_ranges(hash(requests[*i].prefix), now) } else { 0 }
            };
            let Some(start) = router.queue.next(room, now, likes) else { return };
            let kind = match self.tries[start.request] {
                0 => Kind::New,
                _ => Kind::Recovery,
            };
            if !self.launch(start, kind, false) {
                failures += 1;
            }
        }
    }

    /// Tries to start a request; puts it back when it was refused everywhere.
    fn launch(&mut self, start: Start, kind: Kind, reserve: bool) -> bool {
        let r = self.requests[start.request].router;
        let lost = kind == Kind::Recovery;
        let Some(lists) = self.choose(start.request, reserve) else {
            self.routers[r].queue.back(start, lost);
            return false;
        };
        let (mut chain, mut wait) = (Vec::new(), Duration::ZERO);
        for list in lists {
            match self.hop(&list, r, kind, &mut wait) {
                Some(agent) => chain.push(agent),
                None => break,
            }
        }
        if chain.len() < AGENTS.len() {
            chain.iter().for_each(|&a| self.leave(r, a, End::Neutral));
            self.routers[r].queue.back(start, lost);
            return false;
        }
        self.begin(start, r, chain, wait);
        true
    }

    /// Asks the replicas of a range in order.
    fn hop(&mut self, list: &[usize], r: usize, kind: Kind, wait: &mut Duration) -> Option<usize> {
        for (n, &a) in list.iter().enumerate() {
            if n > 0 {
                self.result.retries += 1;
                if self.variant.budget && !self.routers[r].refusals.take() {
                    return None;
                }
            }
            let (vm, up) = (self.agents[a].vm.clone(), self.agents[a].up);
            self.routers[r].started(&vm, a, self.now);
            match up.then(|| self.agents[a].slots.admit(kind)) {
                Some(Admit::Granted) => return Some(a),
                Some(Admit::Full { .. }) => {
                    self.routers[r].table.refused(&vm, self.now);
                    self.routers[r].count(a, -1);
                }
                None => {
                    *wait += CONNECT;
                    self.ended(r, a, End::Failed);
                }
            }
        }
        None
    }

    fn begin(&mut self, start: Start, r: usize, chain: Vec<usize>, wait: Duration) {
        let request = &self.requests[start.request];
        let (prefix, output) = (request.prefix, f64::from(request.output));
        let mut steps = Vec::new();
        for &a in &chain {
            let cache = &mut self.agents[a].cache;
            let hit = cache.iter().position(|p| *p == prefix).and_then(|at| cache.remove(at));
            cache.push_back(prefix);
            if cache.len() > CACHE {
                cache.pop_front();
            }
            let prompt = if hit.is_some() { OWN } else { OWN + SHARED };
            self.result.looked_up(hit.is_some());
            steps.push(output + f64::from(prompt));
        }
        let (i, now) = (self.sessions.len(), self.now);
        self.result.began(start.request, now);
        let request = start.request;
        let start = Some(start);
        let (began, changed) = (now, now + wait);
        self.sessions.push(Session {
            start,
            request,
            router: r,
            chain,
            began,
            changed,
            done: 0.0,
            steps,
            epoch: 0,
        });
        self.schedule(i);
    }

    fn duration(&self, i: usize) -> f64 {
        let s = &self.sessions[i];
        let run: f64 = s.chain.iter().zip(&s.steps).map(|(&a, n)| n * self.agents[a].step).sum();
        let link = |a: usize, b: usize| {
            if self.agents[a].data_centre == self.agents[b].data_centre { 0.0 } else { 0.0005 }
        };
        let links: f64 = s.chain.windows(2).map(|w| link(w[0], w[1])).sum();
        run + links * s.steps[0]
    }

    /// Schedules the end of a session: its answer, or its deadline.
    fn schedule(&mut self, i: usize) {
        let left = self.duration(i) * (1.0 - self.sessions[i].done);
        let s = &self.sessions[i];
        let end = s.changed.max(self.now) + Duration::from_secs_f64(left);
        let end = end.min(self.requests[s.request].deadline.max(self.now));
        self.at(end, Event::End(i, s.epoch));
    }

    fn end(&mut self, i: usize) {
        let (r, request) = (self.sessions[i].router, self.sessions[i].request);
        self.sessions[i].epoch += 1;
        let good = self.now < self.requests[request].deadline;
        for a in self.sessions[i].chain.clone() {
            self.leave(r, a, if good { End::Succeeded } else { End::Neutral });
        }
        let held = self.now - self.sessions[i].began;
        if let Some(start) = self.sessions[i].start.take() {
            self.routers[r].queue.done(&start, held);
        }
        self.routers[r].budget.succeeded();
        self.routers[r].refusals.succeeded();
        let began = self.sessions[i].began;
        self.result.ended(request, &self.requests, began, self.now, good);
        self.pump(r);
    }

    /// A session's slot at an agent is free again.
    fn leave(&mut self, r: usize, a: usize, end: End) {
        if self.agents[a].up {
            self.agents[a].slots.release();
        }
        self.ended(r, a, end);
    }

    fn ended(&mut self, r: usize, a: usize, end: End) {
        let end = if self.variant.pick == Pick::Policy { end } else { End::Neutral };
        let vm = self.agents[a].vm.clone();
        self.result.ejections += u32::from(self.routers[r].table.ended(&vm, end, self.now));
        self.routers[r].count(a, -1);
    }

    fn choose(&mut self, request: usize, recovery: bool) -> Option<Vec<Vec<usize>>> {
        let request = &self.requests[request];
        let router = &mut self.routers[request.router];
        if self.variant.pick != Pick::Policy {
            let (counts, turn, rng) = (&router.counts, &mut router.turn, &mut router.rng);
            let lists = counts.iter().map(|c| variant::pick(self.variant.pick, c, turn, rng));
            return Some(lists.collect());
        }
        let cost = Cost { prompt: (SHARED + OWN) * PREFILL_TOKENS_PER_STEP, output: request.most };
        let prefix = Some(hash(request.prefix));
        let from = request.router % 3;
        let left = request.deadline.saturating_sub(self.now);
        let ask = route::Request { cost, left, prefix, keyed: false, recovery, from, avoid: &[] };
        let chain = router.table.chain(&ask, self.now, &mut router.rng)?;
        let index = |vm: &String| vm[3..].parse().expect("a number");
        Some(chain.iter().map(|list| list.iter().map(index).collect()).collect())
    }

    fn sample(&mut self, i: usize) {
        let agent = &self.agents[i];
        if agent.up {
            let step = (agent.step * 1e6) as u64;
            self.result.sampled(self.now, agent.range, agent.slots.busy(), SLOTS);
            self.at(self.now + self.load.lag, Event::Deliver(i, agent.slots.busy(), step));
        }
        if self.now.as_secs_f64() < END + 30.0 {
            self.at(self.now + REPORT, Event::Sample(i));
        }
    }

    fn deliver(&mut self, i: usize, busy: u32, step_us: u64) {
        let step_us = if self.variant.pick == Pick::Policy { step_us } else { 0 };
        let age = if self.variant.aged { self.load.lag } else { Duration::ZERO };
        for r in 0..ROUTERS {
            let agent = &self.agents[i];
            let load =
                route::Load { slots: agent.slots.open(), busy, step_us, leaving: false, age };
            let ejected = self.routers[r].table.report(&agent.vm, &load, self.now);
            self.result.ejections += u32::from(ejected);
            let range = agent.range;
            let count = self.routers[r].counts[range].iter_mut().find(|c| c.agent == i);
            count.expect("known").reported = busy as i32;
            self.pump(r);
        }
    }

    fn listed(&mut self, i: usize, up: bool) {
        if up != self.agents[i].up {
            return;
        }
        for r in 0..ROUTERS {
            let agent = &self.agents[i];
            let (vm, range) = (&agent.vm, agent.range);
            let count = self.routers[r].counts[range].iter_mut().find(|c| c.agent == i);
            let count = count.expect("known");
            (count.gone, count.reported) = (!up, 0);
            match up {
                true => self.routers[r].table.join(
                    range,
                    vm,
                    &centre(agent.data_centre),
                    SLOTS,
                    self.now,
                ),
                false => self.routers[r].table.gone(vm, self.now),
            }
            self.pump(r);
        }
    }

    fn fault(&mut self, i: usize) {
        let now = self.now;
        match self.load.faults[i].1 {
            Fault::Slow(factor) => {
                let running = self.running(|s| s.chain.contains(&0));
                for &s in &running {
                    let total = self.duration(s);
                    let session = &mut self.sessions[s];
                    session.done += now.saturating_sub(session.changed).as_secs_f64() / total;
                    session.changed = session.changed.max(now);
                    session.epoch += 1;
                }
                self.agents[0].step *= factor;
                running.iter().for_each(|&s| self.schedule(s));
            }
            Fault::Lose => {
                let lost: Vec<usize> = (0..self.agents.len()).filter(|a| a % 3 == 1).collect();
                for &a in &lost {
                    self.agents[a].up = false;
                    self.agents[a].cache.clear();
                }
                for i in self.running(|s| s.chain.iter().any(|a| lost.contains(a))) {
                    self.sessions[i].epoch += 1;
                    self.result.lost(self.sessions[i].request, now);
                }
                self.at(now + DETECT, Event::Detect);
            }
            Fault::Return => {
                for a in (0..self.agents.len()).filter(|a| a % 3 == 1) {
                    self.agents[a].up = true;
                    self.agents[a].slots = Slots::new(SLOTS, self.variant.objective);
                    self.at(now + TICK, Event::Listed(a, true));
                }
            }
        }
        let at = now.as_secs_f64();
        self.result.bound_changed(at, bound(&self.agents));
    }

    /// The routers notice that their connections to the lost VMs are dead.
    fn detect(&mut self) {
        let dead: Vec<usize> = (0..self.agents.len()).filter(|a| !self.agents[*a].up).collect();
        let running = self.running(|s| s.chain.iter().any(|a| dead.contains(a)));
        dead.into_iter().for_each(|a| self.listed(a, false));
        running.into_iter().for_each(|s| self.lose(s));
    }

    fn running(&self, by: impl Fn(&Session) -> bool) -> Vec<usize> {
        (0..self.sessions.len())
            .filter(|&i| self.sessions[i].start.is_some() && by(&self.sessions[i]))
            .collect()
    }

    /// A session lost an agent: it is run again from its start.
    fn lose(&mut self, i: usize) {
        let (r, request) = (self.sessions[i].router, self.sessions[i].request);
        self.sessions[i].epoch += 1;
        for a in self.sessions[i].chain.clone() {
            let end = if self.agents[a].up { End::Neutral } else { End::Failed };
            self.leave(r, a, end);
        }
        self.tries[request] += 1;
        let run = self.sessions[i].start.as_ref().map_or(Duration::ZERO, |s| s.ask.run);
        let deadline = self.requests[request].deadline;
        let (outcome, tries) = (Outcome::Idempotent, self.tries[request]);
        let failure = Failure { outcome, tries, run, deadline };
        let router = &mut self.routers[r];
        match router.budget.decide(&failure, self.now, &mut router.rng) {
            _ if !self.variant.budget => self.at(self.now, Event::Retry(i)),
            Retry::After(wait) => self.at(self.now + wait, Event::Retry(i)),
            Retry::Stop(_) => {
                let start = self.sessions[i].start.take().expect("running");
                router.queue.back(start, true);
            }
        }
    }

    fn retry(&mut self, i: usize) {
        self.result.retries += 1;
        if let Some(start) = self.sessions[i].start.take() {
            self.launch(start, Kind::Recovery, true);
        }
    }
}
