//! Repeats of requests, out of the budget that all routers share.
//!
//! A router uses its own part of the budget of a service ([`policy::window`]) and borrows from others when that is used up
//! ([`policy::loan`]). What waits for repeats is asked for together, by datagrams: a question is worth nothing after a
//! moment, and a router that is short asks many others of which it knows none yet.

mod datagram;
mod handover;
mod heavy;
mod lender;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use policy::loan::{AVOIDED, Ask, Borrower, HELD, Loan};
use policy::window::Need;
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};

use crate::count::Counted;
use crate::logging::{Line, Quota};
use crate::state::State;
use datagram::Post;
pub use datagram::run;
use handover::Succession;
pub use handover::{hand_over, take_over};
use heavy::Heavy;
pub use heavy::{before, catch_up, hear, note_read};

/// Time after which others are asked beside a router that has not answered.
const ANSWER: Duration = Duration::from_millis(30);

/// Longest time that something waits for repeats of others.
const WAIT: Duration = Duration::from_millis(100);

/// Lines about loans in a second.
const LINES: u32 = 10;

/// What a router has of others' parts of the budgets.
#[derive(Debug, Default)]
pub struct Repeats {
    /// Sorted by service and need.
    purses: RefCell<Vec<(Key, Rc<Purse>)>>,
    post: Post,
    heavy: Heavy,
    succession: Succession,
    lines: RefCell<Quota>,
    lent: Cell<u64>,
    borrowed: Cell<u64>,
    refused: Cell<u64>,
}

/// A service, and what repeats of it are for.
type Key = (String, Need);

/// What it has of one service's for one kind of need.
#[derive(Debug, Default)]
struct Purse {
    borrower: RefCell<Borrower<SocketAddr>>,
    /// Answers that wait for repeats.
    waiting: Cell<u32>,
    /// Whether others are being asked.
    asking: Cell<bool>,
    /// Woken when an answer has come.
    answered: Notify,
}

impl Purse {
    /// Answers that wait for a repeat and for which none is held.
    fn short(&self, now: Duration) -> u32 {
        self.waiting.get().saturating_sub(self.borrower.borrow_mut().held(now) as u32)
    }
}

impl Repeats {
    /// Whether this process uses and lends nothing more of its own parts.
    pub fn has_ended(&self) -> bool {
        self.succession.has_ended()
    }

    /// Asks a router again that did not answer, as it gives a sign of life.
    pub(crate) fn trust(&self, lender: SocketAddr) {
        let purses = self.purses.borrow();
        purses.iter().for_each(|(_, purse)| purse.borrower.borrow_mut().trust(lender));
    }

    fn of(&self, service: &str, need: Need) -> Rc<Purse> {
        let mut purses = self.purses.borrow_mut();
        let key = (service, need);
        let found = purses.binary_search_by(|((name, need), _)| (name.as_str(), *need).cmp(&key));
        let at = found.unwrap_or_else(|at| {
            purses.insert(at, ((service.to_owned(), need), Rc::default()));
            at
        });
        purses[at].1.clone()
    }
}

/// Whether a repeat of a service is there for a need.
pub fn has(state: &State, service: &str, need: Need) -> bool {
    let (now, routers) = (state.now(), state.routers());
    state.retries.of(service, need).borrower.borrow_mut().held(now) > 0
        || state.budget(service, |budget| budget.left_for(need, now, routers)) > 0
}

/// Whether others may have some. They leave out what a router asks that has not been a member of the group yet.
pub fn may_borrow(state: &State, service: &str, need: Need) -> bool {
    if !state.sharing.was_member() {
        return false;
    }
    let now = state.now();
    let others = state.sharing.others(now);
    state.retries.of(service, need).borrower.borrow_mut().may_ask(&others, now)
}

/// Takes one repeat, if there is one.
pub fn take(state: &State, service: &str, need: Need) -> bool {
    let (now, routers) = (state.now(), state.routers());
    let taken = state.retries.of(service, need).borrower.borrow_mut().take(now)
        || state.budget(service, |budget| budget.take_for(need, now, routers));
    match taken {
        true => heavy::note_use(state, service),
        false => {
            state.retries.refused.set(state.retries.refused.get() + 1);
            state.metrics.budget_empty();
        }
    }
    taken
}

/// Waits for a moment until a repeat is there, or others have none.
pub async fn borrow(state: &Rc<State>, service: &str, need: Need) {
    let purse = state.retries.of(service, need);
    let until = Instant::now() + WAIT;
    let _waits = Counted::new(&purse.waiting);
    while !has(state, service, need) {
        if !purse.asking.get() {
            if !may_borrow(state, service, need) {
                return;
            }
            purse.asking.set(true);
            spawn_local(ask_others(state.clone(), service.to_owned(), need, purse.clone()));
        }
        if timeout_at(until, purse.answered.notified()).await.is_err() {
            return;
        }
    }
}

/// Asks other routers for all that waits.
async fn ask_others(state: Rc<State>, service: String, need: Need, purse: Rc<Purse>) {
    let (began, routers) = (state.now(), state.routers());
    let part = state.budget(&service, |budget| budget.part(began, routers));
    let others = state.sharing.others(began);
    let mut round = purse.borrower.borrow_mut().round(&others, 0, part, began, &mut rand::rng());
    let (sender, mut answers) = mpsc::unbounded_channel();
    let (mut asked, mut wanted) = (0, 0);
    loop {
        let short = purse.short(state.now());
        wanted += short.saturating_sub(round.want());
        round.raise(short);
        let mut open = round.wave();
        if open.is_empty() {
            break;
        }
        asked += open.len();
        for ask in &open {
            let borrowed = borrow_of(
                state.clone(),
                service.clone(),
                need,
                purse.clone(),
                ask.clone(),
                sender.clone(),
            );
            spawn_local(borrowed);
        }
        let until = Instant::now() + ANSWER;
        while !open.is_empty() {
            let Ok(Some((lender, loan))) = timeout_at(until, answers.recv()).await else { break };
            purse.answered.notify_waiters();
            if let Some(at) = open.iter().position(|ask: &Ask<_>| ask.lenders[0] == lender) {
                match loan {
                    Some(loan) => round.note(open.swap_remove(at), loan),
                    None => round.lost(open.swap_remove(at)),
                }
            }
        }
        open.into_iter().for_each(|ask| round.lost(ask));
    }
    purse.asking.set(false);
    purse.answered.notify_waiters();
    if let Line::Written(left_out) = state.retries.lines.borrow_mut().take(began, LINES) {
        let (refused, took) = (round.want(), state.now().saturating_sub(began));
        log::info!(
            "gateway: repeats service={service} need={need:?} part={part} wanted={wanted} borrowed={} \
             refused={refused} asked={asked} routers={} took={took:?} lines_left_out={left_out}",
            wanted.saturating_sub(refused),
            others.len(),
        );
    }
}

/// Asks one router, and tells the round what it lends. What it lends later than the round waits is used by what waits then.
async fn borrow_of(
    state: Rc<State>,
    service: String,
    need: Need,
    purse: Rc<Purse>,
    ask: Ask<SocketAddr>,
    round: mpsc::UnboundedSender<(SocketAddr, Option<Loan>)>,
) {
    let (asked, lender) = (state.now(), ask.lenders[0]);
    let loan = datagram::ask(&state, &service, need, &ask, HELD).await;
    let now = state.now();
    let mut borrower = purse.borrower.borrow_mut();
    match loan {
        Some(loan) => {
            borrower.receive(&ask, loan, asked, now);
            state.retries.borrowed.set(state.retries.borrowed.get() + u64::from(loan.lent));
        }
        None => {
            log::info!("gateway: no repeats of address={lender} why=no answer within {HELD:?}");
            borrower.avoid(lender, now + AVOIDED);
        }
    }
    drop(borrower);
    // The round has ended if this came late.
    let _ = round.send((lender, loan));
    purse.answered.notify_waiters();
}

/// Lines for the metrics: this router's parts of the budgets, what is left of them, and loans.
pub fn page(state: &State) -> String {
    let (now, routers, repeats) = (state.now(), state.routers(), &state.retries);
    let mut text = format!(
        "hyssop_repeats_lent_total {}\nhyssop_repeats_borrowed_total {}\nhyssop_repeats_refused_total {}\n",
        repeats.lent.get(),
        repeats.borrowed.get(),
        repeats.refused.get()
    );
    let settings = state.settings();
    for service in settings.iter().flat_map(|settings| &settings.services) {
        let name = &service.name;
        let part = state.budget(name, |budget| budget.part(now, routers));
        let left = state.budget(name, |budget| budget.left(now, routers));
        text.push_str(&format!(
            "hyssop_repeats_part{{service=\"{name}\"}} {part}\nhyssop_repeats_left{{service=\"{name}\"}} {left}\n"
        ));
    }
    text
}
