//! One router at a time orders the model servers to hold layers.
//!
//! The router that holds the first seat of the group gives orders, under a term that begins with a record in a log. It
//! writes orders down there before it gives them, each time on condition that nobody else has added anything since: one that
//! was paused or cut off, and does not know that another term has begun, is refused and gives none. Each order names the
//! number of orders that the server has accepted before, so an order of the past that is carried out late changes nothing.

mod gap;
mod order;
mod survey;
mod term;

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::shared_read;
use crate::state::State;
use crate::store::{Assignment, Call, Fault, Generation, Offset};
use order::{Given, Planned};
use term::Term;

/// Time between two calls that keep the first seat, or any while no other router tells of changes: two may be lost.
const KEEP: Duration = Duration::from_millis(650);

/// The same for a router that hears of changes from another one, and then asks at once.
const CALM_KEEP: Duration = Duration::from_millis(1500);

/// Time until the seat is kept again after a change of the group: its new holder hears of it that much sooner
/// than by [`KEEP`], at a tenth of a call for each router and change.
const HAND_OVER: Duration = Duration::from_millis(150);

/// Answers of the same generation after which seats have been dealt out: a router gives seats up
/// with its next call after a change.
const STEADY: u32 = 2;

/// Time between two looks at what is missing.
const LOOK: Duration = Duration::from_millis(150);

/// Time for which the list of servers must not have grown before the first orders of a fleet.
const SETTLED: Duration = Duration::from_millis(1300);

/// Time between two visits to model servers. Servers are slow for some seconds at least; a visit
/// is as dear as a heartbeat of each.
const VISIT: Duration = Duration::from_millis(1000);

/// Joins in a row for one term. The first one may find that the log of orders has grown, and then has to ask again.
const TRIES: usize = 3;

/// What a router knows of its right to give orders, and of those it gave.
struct Leader {
    state: Rc<State>,
    /// Generation of the group in the last answer.
    generation: Generation,
    /// Answers in a row with that generation.
    steady: u32,
    /// When the seat was last asked for.
    kept: Option<Duration>,
    /// Whether the last call had no answer.
    failed: bool,
    /// Whether this router held the first seat in the last answer.
    first: bool,
    /// The right to give orders, while this router has it.
    term: Option<Term>,
    /// Where the log of orders ended when that was last heard.
    end: Offset,
    given: Vec<Given>,
    /// Orders that are still to be given.
    planned: Vec<Planned>,
    /// Most servers that were on the list, and since when.
    grown: (usize, Duration),
    /// When model servers were last asked for their state.
    visited: Duration,
    /// Position of the first one that is asked next.
    turn: usize,
}

/// Holds a seat and gives orders while it is the first one.
pub async fn run(state: Rc<State>) {
    let now = state.now();
    let mut leader = Leader {
        generation: 0,
        steady: 0,
        kept: None,
        failed: false,
        first: false,
        term: None,
        end: 0,
        given: Vec::new(),
        planned: Vec::new(),
        grown: (0, now),
        visited: now,
        turn: 0,
        state,
    };
    loop {
        // A router that stops gives its seat up, see `shutdown`.
        if leader.state.stopping.get().is_none() && !leader.is_out() {
            leader.keep_seat().await;
            leader.act().await;
        }
        let state = &leader.state;
        state.is_leader.set(leader.term.is_some_and(|term| term.lasts()));
        let _ = tokio::time::timeout(LOOK, state.changed.notified()).await;
        sleep(LOOK / 5).await;
    }
}

/// Time between two calls that keep a seat.
fn pause(calm: bool) -> Duration {
    if calm { CALM_KEEP } else { KEEP }
}

impl Leader {
    /// Asks for the seat again when it is time, and begins or ends a term by the answer.
    async fn keep_seat(&mut self) {
        if !self.is_due() {
            return;
        }
        for _ in 0..TRIES {
            let Some((seat, until)) = self.join().await else { return };
            match self.renew(seat, until).await {
                // Whoever added to the log may hold the seat by now: it is asked for again before the next try.
                Err(Fault::EndMismatch { end: Some(end) }) if !self.is_out() => self.end = end,
                Ok(()) | Err(_) => return,
            }
        }
    }

    /// Whether it has given the seat up a moment ago.
    fn is_out(&self) -> bool {
        self.state.tenure.borrow().is_out(self.state.now())
    }

    fn is_due(&self) -> bool {
        let (now, state) = (self.state.now(), &self.state);
        let pause = pause(self.is_calm());
        let heard = state.sharing.generation() > self.generation
            || self.kept.is_some_and(|kept| kept < state.store_regained_at());
        let wait = if heard && !self.failed { HAND_OVER } else { pause };
        shared_read::is_store_check_due(state) || self.kept.is_none_or(|kept| now >= kept + wait)
    }

    /// Whether nothing waits for the next answer: this router has no part in giving orders and hears of changes from
    /// another one, or the store is away.
    fn is_calm(&self) -> bool {
        let state = &self.state;
        let idle = !self.first && shared_read::has_source(state);
        self.term.is_none() && (idle || state.store_unavailable())
    }

    /// Asks for the seat; the answer, and until when a term under it lasts.
    async fn join(&mut self) -> Option<(Assignment, Duration)> {
        let (now, calm) = (self.state.now(), self.is_calm());
        self.kept = Some(now);
        let (seat, until) = match term::keep(&self.state, self.generation, calm).await {
            Ok(kept) => kept,
            Err(e) => {
                shared_read::record_store_silence(&self.state);
                self.state.tenure.borrow_mut().ends();
                self.failed = true;
                log::debug!("gateway: seat not kept: {e}");
                return None;
            }
        };
        self.failed = false;
        shared_read::record_store_answer(&self.state, now);
        self.steady = if seat.generation == self.generation { self.steady + 1 } else { 0 };
        self.generation = seat.generation;
        self.first = seat.holds_first;
        if self.steady == 0 {
            // A seat that moves is free once its holder has joined with the new generation.
            // Until then nobody gives orders, and what is lost stays lost.
            self.kept = Some((now + HAND_OVER).saturating_sub(pause(calm)));
        }
        self.state.sharing.record_assignment(seat);
        // While seats change hands, a router may hold few of its own, or none.
        if self.steady >= STEADY && seat.assigned > 0 {
            let before = self.state.routers();
            self.state.count_routers((seat.total / seat.assigned).max(1));
            let routers = self.state.routers();
            if routers != before {
                log::info!(
                    "gateway: routers={routers} before={before} seats={} generation={}",
                    seat.assigned,
                    seat.generation
                );
            }
        }
        Some((seat, until))
    }

    /// Goes on with a term, begins one, or ends it; why none was begun.
    async fn renew(&mut self, seat: Assignment, until: Duration) -> Result<(), Fault> {
        let (generation, era) = (seat.generation, self.state.store.era());
        match self.term.filter(|term| term.end.era == era) {
            _ if !seat.holds_first => {
                if self.term.take().is_some() {
                    log::info!("gateway: gives_orders=false generation={generation}");
                }
                self.state.tenure.borrow_mut().ends();
            }
            Some(term) => self.term = Some(Term { until, ..term }),
            None => {
                self.term = None;
                let term = match term::begin(&self.state, seat, until, self.end).await {
                    Ok(term) => term,
                    Err(fault) => {
                        log::info!("gateway: gives_orders=false epoch={generation} why={fault}");
                        self.note_failure().await;
                        return Err(fault);
                    }
                };
                log::info!("gateway: gives_orders=true epoch={generation} end={}", term.end.offset);
                (self.term, self.end) = (Some(term), term.end.offset);
                self.given = order::inherit(&self.state, term.end).await;
                self.planned.clear();
            }
        }
        Ok(())
    }

    /// Looks after the model servers while this router has the right to.
    async fn act(&mut self) {
        let count = self.state.peers().len();
        if count > self.grown.0 {
            self.grown = (count, self.state.now());
        }
        let Some(mut term) = self.term.filter(Term::lasts) else { return };
        if self.state.now() >= self.visited + VISIT {
            self.visited = self.state.now();
            // Beside what follows: a dead server that is asked twice for 0.6 s would hold up all orders,
            // just when layers are missing.
            let (state, from) = (self.state.clone(), self.turn);
            self.turn = self.turn.wrapping_add(survey::AT_ONCE);
            spawn_local(async move { survey::visit(&state, from).await });
        }
        self.term = match self.give(&mut term).await {
            Ok(()) => {
                self.state.tenure.borrow_mut().works();
                Some(term)
            }
            Err(e) => {
                let idle = self.state.tenure.borrow().idle(self.state.now());
                log::warn!(
                    "gateway: gives_orders=false epoch={} idle={idle:?} why={e}",
                    term.epoch
                );
                // The next term begins at once: it tells what became of the append.
                self.kept = None;
                self.end = match e {
                    Fault::EndMismatch { end: Some(end) } => end,
                    _ => term.end.offset,
                };
                self.note_failure().await;
                None
            }
        };
    }

    /// Notes that this router holds the first seat and could not give orders, and leaves the group if others may fare better.
    async fn note_failure(&mut self) {
        let (state, now) = (&self.state, self.state.now());
        let others = state.sharing.members() > 1;
        if !state.tenure.borrow_mut().fails(now, others) {
            return;
        }
        log::warn!("gateway: first seat given up generation={}", self.generation);
        (self.first, self.steady) = (false, 0);
        let call = Call::Leave { member: state.member() };
        if let Err(e) = state.store.call(call).await {
            log::info!("gateway: the group was not left: {e}");
        }
    }

    /// Looks at what is missing and orders it.
    async fn give(&mut self, term: &mut Term) -> Result<(), Fault> {
        let state = &self.state;
        let settled = state.now() > self.grown.1 + SETTLED;
        let Some(settings) = state.settings() else { return Ok(()) };
        for service in &settings.services {
            let Some(model) = &service.model else { continue };
            let peers = state.peers_of(&service.name);
            order::check(state, &peers, &mut self.given).await;
            survey::ask_doubted(state, &peers).await;
            let first = peers.iter().all(|p| p.span(state.now()).is_empty());
            if first && !settled {
                continue;
            }
            let plan = gap::plan(state, &peers, model, &self.given, &self.planned);
            self.planned.extend(plan);
            let orders = order::next(state, &service.name, &mut self.planned);
            if !orders.is_empty() {
                order::carry_out(state, term, model, orders, &mut self.given).await?;
            }
        }
        Ok(())
    }
}
