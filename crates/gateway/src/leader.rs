//! One router at a time orders the model servers to hold layers.
//!
//! The router that holds the first seat of the group gives orders. Before it does, it writes them
//! down in a log that accepts only the newest holder: one that was paused or cut off, and does not
//! know that another took over, is refused there and gives none. Each order names the number of
//! orders that the server has accepted before, so an order of the past that is carried out late
//! changes nothing.

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
use crate::store::{Fault, Generation};
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
    /// The right to give orders, while this router has it.
    term: Option<Term>,
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
        term: None,
        given: Vec::new(),
        planned: Vec::new(),
        grown: (0, now),
        visited: now,
        turn: 0,
        state,
    };
    loop {
        // A router that stops gives its seat up, see `shutdown`.
        if leader.state.stopping.get().is_none() {
            leader.keep_seat().await;
            leader.act().await;
        }
        let state = &leader.state;
        state.gives.set(leader.term.is_some_and(|term| term.lasts()));
        let _ = tokio::time::timeout(LOOK, state.changed.notified()).await;
        sleep(LOOK / 5).await;
    }
}

impl Leader {
    /// Asks for the seat again when it is time.
    async fn keep_seat(&mut self) {
        let now = self.state.now();
        let state = &self.state;
        let calm = self.term.is_none() && (shared_read::hears(state) || state.store_away());
        let pause = match calm {
            true => CALM_KEEP,
            false => KEEP,
        };
        let heard = state.sharing.generation() > self.generation
            || self.kept.is_some_and(|kept| kept < state.regained());
        let due = shared_read::is_check_due(state);
        let wait = if heard && !self.failed { HAND_OVER } else { pause };
        if !due && self.kept.is_some_and(|kept| now < kept + wait) {
            return;
        }
        self.kept = Some(now);
        let (seat, until) = match term::keep(&self.state, self.generation, calm).await {
            Ok(kept) => kept,
            Err(e) => {
                shared_read::note_silence(&self.state);
                self.failed = true;
                return log::debug!("gateway: seat not kept: {e}");
            }
        };
        self.failed = false;
        shared_read::note_answer(&self.state, now);
        self.steady = if seat.generation == self.generation { self.steady + 1 } else { 0 };
        self.generation = seat.generation;
        if self.steady == 0 {
            // A seat that moves is free once its holder has joined with the new generation.
            // Until then nobody gives orders, and what is lost stays lost.
            self.kept = Some((now + HAND_OVER).saturating_sub(pause));
        }
        self.state.sharing.joined(seat);
        if !seat.first {
            self.state.idle_since.set(None);
        }
        // While seats change hands, a router may hold few of its own, or none.
        if self.steady >= STEADY && seat.held > 0 {
            let before = self.state.routers();
            self.state.count_routers((seat.all / seat.held).max(1));
            let routers = self.state.routers();
            if routers != before {
                log::info!(
                    "gateway: routers={routers} before={before} seats={} generation={}",
                    seat.held,
                    seat.generation
                );
            }
        }
        let (term, began) = term::renew(&self.state, self.term, seat, until).await;
        self.term = term;
        if seat.first && self.term.is_none() {
            self.note_idle();
        }
        if let Some(end) = began {
            self.given = order::inherit(&self.state, end).await;
            self.planned.clear();
        }
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
                self.state.idle_since.set(None);
                Some(term)
            }
            Err(e) => {
                let idle = self.state.seat_idle();
                log::warn!(
                    "gateway: gives_orders=false epoch={} idle={idle:?} why={e}",
                    term.epoch
                );
                self.note_idle();
                None
            }
        };
    }

    /// Notes that this router holds the first seat and could not give orders.
    fn note_idle(&self) {
        let idle = &self.state.idle_since;
        idle.set(idle.get().or(Some(self.state.now())));
    }

    /// Looks at what is missing and orders it.
    async fn give(&mut self, term: &mut Term) -> Result<(), Fault> {
        let state = &self.state;
        let settled = state.now() > self.grown.1 + SETTLED;
        let Some(settings) = state.settings() else { return Ok(()) };
        for service in &settings.services {
            let Some(model) = &service.model else { continue };
            let peers = state.of(&service.name);
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
