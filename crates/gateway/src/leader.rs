//! Issues orders to hold layers to the model servers, from one router at a time.
//!
//! The router that holds the first partition of the group is the leader. It issues orders under a term, which begins
//! with a record in the log of orders. It appends orders to that log before it sends them, each time on condition that
//! no other record was added since. A router that was paused or cut off and does not know that another term has begun
//! therefore fails to append and sends no order. Each order names the number of orders that the server has accepted
//! before, so an outdated order that arrives late has no effect.
//!
//! While the store answers no router, the last leader continues without a term, with orders for missing layers only, and
//! records them once it has a term again, see [`policy::holdover`].

mod gap;
mod order;
mod survey;
mod term;

use std::rc::Rc;
use std::time::Duration;

use layers::Span;
use policy::holdover::Holdover;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clock;
use crate::peer::Peer;
use crate::server::Id;
use crate::settings::Model;
use crate::shared_read;
use crate::state::State;
use crate::store::{Assignment, Call, Fault, Generation, Offset};
use order::{Authority, Issued, Planned, Record};
use term::Term;

/// Time between two join calls that keep the first partition, or any partition while no other router forwards changes
/// of the group. Two calls in a row may be lost.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(650);

/// Time between two join calls of a router that learns of changes from another one and then joins at once.
const IDLE_RENEWAL_INTERVAL: Duration = Duration::from_millis(1500);

/// Time until the next join call after a change of the group. The new holder of a partition learns of it that much
/// sooner than by [`RENEWAL_INTERVAL`], at a tenth of a call for each router and change.
const REBALANCE_RENEWAL_INTERVAL: Duration = Duration::from_millis(150);

/// Answers in a row with the same generation after which partitions have been reassigned: a router releases
/// partitions with its next call after a change.
const MIN_STABLE_ANSWERS: u32 = 2;

/// Time between two checks for missing layers.
const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Time for which the list of servers must not have grown before a new fleet gets its first orders.
const FLEET_SETTLE_TIME: Duration = Duration::from_millis(1300);

/// Time between two surveys of model servers. Servers stay slow for some seconds at least; a survey costs as much as a
/// heartbeat of each server.
const SURVEY_INTERVAL: Duration = Duration::from_millis(1000);

/// Limit on the join calls in a row to begin one term. The first one may find that the log of orders has grown, and the
/// router has to join again.
const MAX_JOIN_ATTEMPTS: usize = 3;

/// State of the orders and of this router's right to issue them.
struct Leader {
    state: Rc<State>,
    /// Generation of the group in the last answer.
    generation: Generation,
    /// Answers in a row with that generation.
    stable_answers: u32,
    /// When the last join call was sent; none if the next one is due at once.
    last_join: Option<Duration>,
    /// Whether the last join call had no answer.
    last_join_failed: bool,
    /// Whether this router held the first partition in the last answer.
    holds_first: bool,
    /// The current term, while this router has one.
    term: Option<Term>,
    /// Whether it continues as the last leader while the store answers no router.
    holdover: Holdover,
    /// Orders that it gave without a term and that are still to be recorded.
    unrecorded: Vec<Record>,
    /// End of the log of orders as last reported by the store.
    end: Offset,
    issued: Vec<Issued>,
    /// Orders that are still to be sent.
    planned: Vec<Planned>,
    /// Largest number of servers listed so far, and since when.
    most_servers: (usize, Duration),
    /// When model servers were last surveyed.
    last_survey: Duration,
    /// Index of the first server of the next survey.
    next_server: usize,
}

/// Keeps a partition of the group and issues orders while that includes the first one.
pub async fn run(state: Rc<State>) {
    let now = state.now();
    let mut leader = Leader {
        generation: 0,
        stable_answers: 0,
        last_join: None,
        last_join_failed: false,
        holds_first: false,
        term: None,
        holdover: Holdover::default(),
        unrecorded: Vec::new(),
        end: 0,
        issued: Vec::new(),
        planned: Vec::new(),
        most_servers: (0, now),
        last_survey: now,
        next_server: 0,
        state,
    };
    loop {
        // A router that stops leaves the group, see `shutdown`.
        if leader.state.stopping.get().is_none() && !leader.has_left() {
            leader.keep_partition().await;
            leader.manage_servers().await;
        }
        let state = &leader.state;
        state.is_leader.set(leader.term.is_some_and(|term| term.is_valid()));
        let _ = tokio::time::timeout(CHECK_INTERVAL, state.changed.notified()).await;
        sleep(CHECK_INTERVAL / 5).await;
    }
}

/// Returns the layers that servers lack, as this router would plan them if it had given no orders: the servers, and the
/// layers that each one is to hold.
pub fn places(state: &State, peers: &[Rc<Peer>], model: &Model) -> Vec<(Id, Span)> {
    let planned = gap::plan(state, peers, model, &[], &[]).places();
    planned.into_iter().map(|planned| (planned.server, planned.span)).collect()
}

/// Extends this router's membership by a call that has to be answered within `limit`, which shows whether the store answers.
/// The assignment is left to the next join call of [`run`].
pub async fn keep_membership(state: &State, limit: Duration) -> Result<(), Fault> {
    let (generation, holds_first) = state.sharing.joined();
    let call = term::membership(state, generation, !holds_first);
    state.store.call_within(call, limit).await.map(drop)
}

/// Returns the time between two join calls.
fn pause(idle: bool) -> Duration {
    if idle { IDLE_RENEWAL_INTERVAL } else { RENEWAL_INTERVAL }
}

impl Leader {
    /// Joins the group again when that is due, and begins or ends a term according to the answer.
    async fn keep_partition(&mut self) {
        if !self.is_join_due() {
            return;
        }
        for _ in 0..MAX_JOIN_ATTEMPTS {
            let Some((assignment, until)) = self.join().await else { return };
            match self.update_term(assignment, until).await {
                // Another router that appended to the log may hold the first partition by now, so this one joins again
                // before it retries.
                Err(Fault::EndMismatch { end: Some(end) }) if !self.has_left() => self.end = end,
                Ok(()) | Err(_) => return,
            }
        }
    }

    /// Whether this router has left the group a moment ago.
    fn has_left(&self) -> bool {
        self.state.tenure.borrow().is_withdrawn(self.state.now())
    }

    fn is_join_due(&self) -> bool {
        let (now, state) = (self.state.now(), &self.state);
        let pause = pause(self.is_idle());
        let changed = state.sharing.generation() > self.generation
            || self.last_join.is_some_and(|joined| joined < state.store_regained_at());
        let wait =
            if changed && !self.last_join_failed { REBALANCE_RENEWAL_INTERVAL } else { pause };
        self.last_join.is_none_or(|joined| now >= joined + wait)
    }

    /// Whether no decision waits for the next answer: this router is not the leader and learns of changes from another
    /// router, or the store is unavailable.
    fn is_idle(&self) -> bool {
        let state = &self.state;
        let follows = !self.holds_first && shared_read::has_source(state);
        self.term.is_none() && (follows || state.store_unavailable())
    }

    /// Joins the group; returns the assignment, and until when a term under it is valid.
    async fn join(&mut self) -> Option<(Assignment, Duration)> {
        let (now, idle) = (self.state.now(), self.is_idle());
        self.last_join = Some(now);
        let (assignment, until) = match term::join(&self.state, self.generation, idle).await {
            Ok(joined) => joined,
            Err(e) => {
                shared_read::record_store_silence(&self.state);
                self.state.tenure.borrow_mut().released();
                if !std::mem::replace(&mut self.last_join_failed, true) {
                    log::info!("gateway: joining the group failed why={e}");
                }
                return None;
            }
        };
        self.last_join_failed = false;
        shared_read::record_store_answer(&self.state);
        self.stable_answers =
            if assignment.generation == self.generation { self.stable_answers + 1 } else { 0 };
        self.generation = assignment.generation;
        self.holds_first = assignment.holds_first;
        if self.stable_answers == 0 {
            // A partition that moves is free once its holder has joined with the new generation. Until then there is no
            // leader, and missing layers stay missing.
            self.last_join = Some((now + REBALANCE_RENEWAL_INTERVAL).saturating_sub(pause(idle)));
        }
        self.state.sharing.record_assignment(assignment);
        // During a rebalance, a router may hold few partitions, or none.
        if self.stable_answers >= MIN_STABLE_ANSWERS && assignment.assigned > 0 {
            let before = self.state.routers();
            self.state.record_routers((assignment.total / assignment.assigned).max(1));
            let routers = self.state.routers();
            if routers != before {
                log::info!(
                    "gateway: routers={routers} before={before} seats={} generation={}",
                    assignment.assigned,
                    assignment.generation
                );
            }
        }
        Some((assignment, until))
    }

    /// Extends, begins or ends a term; returns an error if none could be begun.
    async fn update_term(&mut self, assignment: Assignment, until: Duration) -> Result<(), Fault> {
        let (generation, era) = (assignment.generation, self.state.store.era());
        match self.term.filter(|term| term.end.era == era) {
            _ if !assignment.holds_first => {
                self.holdover.end();
                if self.term.take().is_some() {
                    log::info!("gateway: gives_orders=false generation={generation}");
                }
                self.state.tenure.borrow_mut().released();
            }
            Some(term) => self.term = Some(Term { until, ..term }),
            None => {
                self.term = None;
                let mut term = match term::begin(&self.state, assignment, until, self.end).await {
                    Ok(term) => term,
                    Err(fault) => {
                        log::info!("gateway: gives_orders=false epoch={generation} why={fault}");
                        self.record_failure().await;
                        return Err(fault);
                    }
                };
                log::info!("gateway: gives_orders=true epoch={generation} end={}", term.end.offset);
                order::record_late(&self.state, &mut term, &mut self.unrecorded).await?;
                (self.term, self.end) = (Some(term), term.end.offset);
                self.issued = order::inherit(&self.state, term.end).await;
                self.planned.clear();
            }
        }
        Ok(())
    }

    /// Surveys the model servers and issues orders while this router has a valid term.
    async fn manage_servers(&mut self) {
        let count = self.state.peers().len();
        if count > self.most_servers.0 {
            self.most_servers = (count, self.state.now());
        }
        let Some(mut term) = self.term.filter(Term::is_valid) else {
            return self.hold_over().await;
        };
        self.holdover.record_term(clock::boot());
        self.survey_if_due();
        self.term = match self.issue_under(&mut term).await {
            Ok(()) => {
                self.state.tenure.borrow_mut().succeeded();
                Some(term)
            }
            Err(e) => {
                if matches!(e, Fault::EndMismatch { .. }) {
                    self.holdover.end();
                }
                let idle = self.state.tenure.borrow().idle(self.state.now());
                log::warn!(
                    "gateway: gives_orders=false epoch={} idle={idle:?} why={e}",
                    term.epoch
                );
                // The next term begins at once; beginning it shows whether the append was carried out.
                self.last_join = None;
                self.end = match e {
                    Fault::EndMismatch { end: Some(end) } => end,
                    _ => term.end.offset,
                };
                self.record_failure().await;
                None
            }
        };
    }

    /// Records what was ordered without a term, and issues orders under one.
    async fn issue_under(&mut self, term: &mut Term) -> Result<(), Fault> {
        order::record_late(&self.state, term, &mut self.unrecorded).await?;
        self.plan_and_issue(&mut Authority::Term(term)).await
    }

    /// Issues orders for missing layers while the store answers no router, if this one was the last leader.
    async fn hold_over(&mut self) {
        let silent = self.last_join_failed && !shared_read::has_source(&self.state);
        if !self.holdover.may_order(clock::boot(), silent) {
            return;
        }
        self.survey_if_due();
        let mut unrecorded = std::mem::take(&mut self.unrecorded);
        let issued = self.plan_and_issue(&mut Authority::Holdover(&mut unrecorded)).await;
        self.unrecorded = unrecorded;
        if let Err(e) = issued {
            log::warn!("gateway: orders without a term not issued: {e}");
        }
    }

    /// Surveys the model servers if that is due.
    fn survey_if_due(&mut self) {
        if self.state.now() < self.last_survey + SURVEY_INTERVAL {
            return;
        }
        self.last_survey = self.state.now();
        // Runs concurrently with what follows: a dead server that is probed twice for 0.6 s would delay all orders
        // while layers are missing.
        let (state, from) = (self.state.clone(), self.next_server);
        self.next_server = self.next_server.wrapping_add(survey::MAX_CONCURRENT_PROBES);
        spawn_local(async move { survey::survey(&state, from).await });
    }

    /// Records that this router holds the first partition and could not issue orders, and leaves the group if another
    /// router may succeed.
    async fn record_failure(&mut self) {
        let (state, now) = (&self.state, self.state.now());
        let others = state.sharing.members() > 1;
        if !state.tenure.borrow_mut().failed(now, others) {
            return;
        }
        log::warn!(
            "gateway: leaving the group: holds the first partition and can't issue orders generation={}",
            self.generation
        );
        (self.holds_first, self.stable_answers) = (false, 0);
        let call = Call::Leave { member: state.member() };
        if let Err(e) = state.store.call(call).await {
            log::info!("gateway: leaving the group failed: {e}");
        }
    }

    /// Plans orders for missing layers and issues them.
    async fn plan_and_issue(&mut self, authority: &mut Authority<'_>) -> Result<(), Fault> {
        let state = &self.state;
        let settled = state.now() > self.most_servers.1 + FLEET_SETTLE_TIME;
        let Some(settings) = state.settings() else { return Ok(()) };
        for service in &settings.services {
            let Some(model) = &service.model else { continue };
            let peers = state.peers_of(&service.name);
            order::update(state, &peers, &mut self.issued).await;
            survey::recheck_suspects(state, &peers).await;
            let is_new_fleet = peers.iter().all(|p| p.span(state.now()).is_empty());
            if is_new_fleet && !settled {
                continue;
            }
            let plan = gap::plan(state, &peers, model, &self.issued, &self.planned);
            let plan = match authority {
                Authority::Term(_) => plan.places(),
                Authority::Holdover(_) => plan.repairs(),
            };
            self.planned.extend(plan);
            let orders = order::next_batch(state, &service.name, &mut self.planned);
            if !orders.is_empty() {
                order::issue(state, authority, model, orders, &mut self.issued).await?;
            }
        }
        Ok(())
    }
}
