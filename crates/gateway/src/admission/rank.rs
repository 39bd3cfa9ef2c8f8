//! Requests of different ranks that compete for room: their limits, the order in which they wait, and when refused
//! callers come back. Requests of one rank wait in the same queue while data centres differ.

use std::cell::Cell;
use std::time::Duration;

use policy::census::Demand;
use policy::headroom::Limit;
use policy::rank::{self, Place, Queue, Returns, Turn};
use tokio::time::Instant;

use super::workspace::{self, Standing};
use crate::request::Call;
use crate::state::State;

/// Time for which the demand by rank is kept before it is added up again.
const DEMAND_VALIDITY: Duration = Duration::from_millis(100);

/// Time from a place to the first event that is assumed until one was measured.
const INITIAL_FIRST_EVENT: Duration = Duration::from_millis(100);

/// Weight of the newest time to a first event in their mean.
const NEWEST_FIRST_EVENT_WEIGHT: f64 = 0.05;

/// Multiple of the mean time to a first event that is left for it after the wait.
const FIRST_EVENT_FACTOR: f64 = 1.5;

/// Fraction of the goal that is at least spent on waiting for a place, if it takes that long.
const MIN_WAIT_FRACTION: f64 = 0.5;

/// Longest wait of a request that is late already. Callers leave after two seconds without an event.
const MAX_LATE_WAIT: Duration = Duration::from_millis(1200);

/// Fraction of the time that a caller has left after which it returns at the latest.
const MAX_RETURN_FRACTION: f64 = 0.3;

/// What one router keeps of the requests to one model while ranks or data centres differ.
#[derive(Debug, Default)]
pub(super) struct Ranks {
    queue: Queue,
    returns: Returns,
    demand: Vec<Demand>,
    demand_at: Option<Duration>,
    first_event: Option<Duration>,
}

impl Ranks {
    /// Returns the number of waiting requests.
    pub(super) fn queue_length(&self) -> usize {
        self.queue.len()
    }

    /// Drops the state of workspaces that are not to be kept.
    pub(super) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.queue.retain(keep);
    }
}

/// A request in the queue, which it leaves when this is dropped.
pub struct Waiting<'a> {
    state: &'a State,
    call: &'a Call,
    service: &'a str,
    place: Place,
    entered: Duration,
    waited: Cell<bool>,
    placed: Cell<bool>,
    /// Workspace that is charged for the place, and tokens.
    charged: Option<(String, f64)>,
}

impl Waiting<'_> {
    /// Returns what the request does now.
    pub fn turn(&self) -> Turn {
        let now = self.state.now();
        self.state.admission.service(self.service, |s| s.ranks.queue.turn(self.place, now))
    }

    /// Records that the request found no path at once.
    pub fn waits(&self) {
        self.waited.set(true);
    }

    /// Records that the request got a path.
    pub fn found(&self) {
        self.placed.set(true);
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let (now, placed) = (self.state.now(), self.placed.get());
        self.state.admission.service(self.service, |s| {
            s.ranks.queue.leave(self.place, placed, now);
            if let Some((workspace, tokens)) = self.charged.as_ref().filter(|_| !placed) {
                s.ranks.queue.refund(workspace, *tokens);
            }
        });
        if self.waited.get() {
            let waited = now.saturating_sub(self.entered);
            self.state.metrics.admission.queued(&self.state.setup.zone, self.call, waited);
        }
        self.state.admission.queue_moved.notify_waiters();
    }
}

/// Returns the limit of a request where ranks differ.
pub(super) fn limit(state: &State, call: &Call, service: &str) -> Limit {
    Limit::full().scaled(with_demand(state, service, |demand| rank::share(call.urgency(), demand)))
}

/// Runs `work` on the demand of all routers by rank.
fn with_demand<T>(state: &State, service: &str, work: impl FnOnce(&[Demand]) -> T) -> T {
    let (now, routers) = (state.now(), state.routers());
    state.admission.service(service, |s| {
        if s.ranks.demand_at.is_none_or(|at| now >= at + DEMAND_VALIDITY) {
            let own = s.tally.report(&state.setup.zone, now);
            s.ranks.demand = s.census.by_rank(&own, routers, now);
            s.ranks.demand_at = Some(now);
        }
        work(&s.ranks.demand)
    })
}

/// Adds a new request to the queue, if ranks or data centres differ. A request of a data centre that is full then waits
/// for room in another one up to its goal: a refused caller comes back only when its answer is late.
pub fn enter<'a>(state: &'a State, call: &'a Call, service: &'a str) -> Option<Waiting<'a>> {
    let rank = match super::ranks_differ(&call.settings, service) {
        true => with_demand(state, service, |demand| rank::queue_rank(call.urgency(), demand)),
        false if super::data_centre::differ(state, service) => 0,
        false => return None,
    };
    // A starved workspace waits as if it had been served least.
    let standing = workspace::standing(state, call, service).filter(|s| !s.is_starved);
    let tokens = call.tokens.total();
    let now = state.now();
    let waited = call.arrived.elapsed();
    let place = state.admission.service(service, |s| {
        let late = s.usual.is_return(call);
        let first_event = s.ranks.first_event.unwrap_or(INITIAL_FIRST_EVENT);
        let goal = call.route.goal;
        let wait = match late {
            true => MAX_LATE_WAIT,
            false => goal
                .saturating_sub(first_event.mul_f64(FIRST_EVENT_FACTOR))
                .max(goal.mul_f64(MIN_WAIT_FRACTION)),
        };
        let (queue, until) = (&mut s.ranks.queue, now + wait.saturating_sub(waited));
        match &standing {
            Some(Standing { share, is_above, .. }) => {
                queue.enter_share(rank, late, until, share, tokens, *is_above)
            }
            None => queue.enter(rank, late, until),
        }
    });
    let charged = standing.map(|standing| (standing.share.workspace, tokens));
    Some(Waiting {
        state,
        call,
        service,
        place,
        entered: now,
        waited: Cell::new(false),
        placed: Cell::new(false),
        charged,
    })
}

/// Records a first event: how long it took from the place, and whether it was on time.
pub fn first_event(state: &State, call: &Call, service: &str, sent: Instant) {
    let (now, took) = (state.now(), sent.elapsed());
    let is_late = call.arrived.elapsed() > call.route.goal;
    state.metrics.admission.first_event(&state.setup.zone, call, is_late);
    state.admission.service(service, |s| {
        let mean = s.ranks.first_event.unwrap_or(took);
        s.ranks.first_event = Some(
            mean.mul_f64(1.0 - NEWEST_FIRST_EVENT_WEIGHT) + took.mul_f64(NEWEST_FIRST_EVENT_WEIGHT),
        );
        if is_late && !s.usual.is_return(call) {
            s.tally.refused(call.urgency(), call.tokens.total(), now);
        }
    });
}

/// Returns the time after which the caller of a refused request is to come back, if ranks differ.
pub fn retry_after(state: &State, call: &Call, service: &str) -> Option<Duration> {
    if !super::ranks_differ(&call.settings, service) {
        return None;
    }
    let (now, longest) = (state.now(), call.time_left().mul_f64(MAX_RETURN_FRACTION));
    let more_urgent =
        with_demand(state, service, |demand| demand.partition_point(|d| d.rank < call.urgency()));
    Some(state.admission.service(service, |s| {
        let rate = s.ranks.queue.rate(now);
        s.ranks.returns.retry_after(more_urgent, rate, longest, rand::random(), now)
    }))
}
