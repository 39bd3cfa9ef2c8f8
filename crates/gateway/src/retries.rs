//! Retries of requests, out of the budget that all routers share.
//!
//! A router uses its own share of the budget of a service ([`policy::window`]) and borrows from other routers when that
//! is used up ([`policy::loan`]). One request for a loan covers everything that waits for retries. Loans are requested
//! by datagram, since a request is worthless after some milliseconds and goes to many routers with which there is no
//! connection yet.

mod datagram;
mod handover;
mod heavy;
mod lender;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use policy::loan::{Borrower, LENDER_BACKOFF, LOAN_VALIDITY, Loan, Request};
use policy::window::Need;
use tokio::sync::{Notify, mpsc};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};

use crate::count::Counted;
use crate::logging::{Line, Quota};
use crate::state::State;
use datagram::Endpoint;
pub use datagram::run;
use handover::Status;
pub use handover::{hand_over, take_over};
use heavy::Heavy;
pub use heavy::{finish_replay, predecessor, receive_heavy_use, replay_heavy_use};

/// Time after which loans are requested from further routers if one has not answered.
const HEDGE_DELAY: Duration = Duration::from_millis(30);

/// Longest time that a request waits for borrowed retries.
const MAX_BORROW_WAIT: Duration = Duration::from_millis(100);

/// Limit on the log lines about loans in a second.
const MAX_LINES_PER_S: u32 = 10;

/// Retries that a router has borrowed and lent.
#[derive(Debug, Default)]
pub struct Retries {
    /// Sorted by service and need.
    accounts: RefCell<Vec<(Key, Rc<Account>)>>,
    endpoint: Endpoint,
    heavy: Heavy,
    handover: Status,
    lines: RefCell<Quota>,
    lent: Cell<u64>,
    borrowed: Cell<u64>,
    refused: Cell<u64>,
}

/// A service, and what its retries are needed for.
type Key = (String, Need);

/// Borrowed retries of one service for one kind of need.
#[derive(Debug, Default)]
struct Account {
    borrower: RefCell<Borrower<SocketAddr>>,
    /// Requests that wait for retries.
    waiting: Cell<u32>,
    /// Whether a loan is being requested from other routers.
    requesting: Cell<bool>,
    /// Notified when a lender has answered.
    answered: Notify,
}

impl Account {
    /// Number of waiting requests for which no borrowed retry is available.
    fn shortfall(&self, now: Duration) -> u32 {
        self.waiting.get().saturating_sub(self.borrower.borrow_mut().available(now) as u32)
    }
}

impl Retries {
    /// Whether this process has stopped using and lending its own shares.
    pub fn has_ended(&self) -> bool {
        self.handover.has_ended()
    }

    /// Clears the backoff of a router that did not answer, since it has shown to be running.
    pub(crate) fn clear_backoff(&self, lender: SocketAddr) {
        let accounts = self.accounts.borrow();
        accounts
            .iter()
            .for_each(|(_, account)| account.borrower.borrow_mut().clear_backoff(lender));
    }

    fn account(&self, service: &str, need: Need) -> Rc<Account> {
        let mut accounts = self.accounts.borrow_mut();
        let key = (service, need);
        let found = accounts.binary_search_by(|((name, need), _)| (name.as_str(), *need).cmp(&key));
        let at = found.unwrap_or_else(|at| {
            accounts.insert(at, ((service.to_owned(), need), Rc::default()));
            at
        });
        accounts[at].1.clone()
    }
}

/// Whether a retry of a service is available for a need.
pub fn is_available(state: &State, service: &str, need: Need) -> bool {
    let (now, routers) = (state.now(), state.routers());
    state.retries.account(service, need).borrower.borrow_mut().available(now) > 0
        || state.budget(service, |budget| budget.left_for(need, now, routers)) > 0
}

/// Whether other routers may have retries to lend. They ignore requests of a router that has not been a member of the
/// group yet.
pub fn may_borrow(state: &State, service: &str, need: Need) -> bool {
    if !state.sharing.was_member() {
        return false;
    }
    let now = state.now();
    let others = state.sharing.others(now);
    state.retries.account(service, need).borrower.borrow_mut().may_ask(&others, now)
}

/// Takes one retry, if one is available.
pub fn take(state: &State, service: &str, need: Need) -> bool {
    let (now, routers) = (state.now(), state.routers());
    let taken = state.retries.account(service, need).borrower.borrow_mut().take(now)
        || state.budget(service, |budget| budget.take_for(need, now, routers));
    match taken {
        true => heavy::report_if_heavy(state, service),
        false => {
            state.retries.refused.set(state.retries.refused.get() + 1);
            state.metrics.budget_empty();
        }
    }
    taken
}

/// Waits until a retry is available, other routers have none, or `MAX_BORROW_WAIT` has passed.
pub async fn borrow(state: &Rc<State>, service: &str, need: Need) {
    let account = state.retries.account(service, need);
    let until = Instant::now() + MAX_BORROW_WAIT;
    let _waiting = Counted::new(&account.waiting);
    while !is_available(state, service, need) {
        if !account.requesting.get() {
            if !may_borrow(state, service, need) {
                return;
            }
            account.requesting.set(true);
            spawn_local(request_loans(state.clone(), service.to_owned(), need, account.clone()));
        }
        if timeout_at(until, account.answered.notified()).await.is_err() {
            return;
        }
    }
}

/// Requests loans from other routers for all requests that wait for retries.
async fn request_loans(state: Rc<State>, service: String, need: Need, account: Rc<Account>) {
    let (began, routers) = (state.now(), state.routers());
    let share = state.budget(&service, |budget| budget.share(began, routers));
    let others = state.sharing.others(began);
    let mut round = account.borrower.borrow_mut().round(&others, 0, share, began, &mut rand::rng());
    let (sender, mut answers) = mpsc::unbounded_channel();
    let (mut asked, mut wanted) = (0, 0);
    loop {
        let shortfall = account.shortfall(state.now());
        wanted += shortfall.saturating_sub(round.want());
        round.raise(shortfall);
        let mut pending = round.wave();
        if pending.is_empty() {
            break;
        }
        asked += pending.len();
        for request in &pending {
            let loan = borrow_from(
                state.clone(),
                service.clone(),
                need,
                account.clone(),
                request.clone(),
                sender.clone(),
            );
            spawn_local(loan);
        }
        let until = Instant::now() + HEDGE_DELAY;
        while !pending.is_empty() {
            let Ok(Some((lender, loan))) = timeout_at(until, answers.recv()).await else { break };
            account.answered.notify_waiters();
            if let Some(at) =
                pending.iter().position(|request: &Request<_>| request.lenders[0] == lender)
            {
                match loan {
                    Some(loan) => round.record(pending.swap_remove(at), loan),
                    None => round.timed_out(pending.swap_remove(at)),
                }
            }
        }
        pending.into_iter().for_each(|request| round.timed_out(request));
    }
    account.requesting.set(false);
    account.answered.notify_waiters();
    if let Line::Written(left_out) = state.retries.lines.borrow_mut().take(began, MAX_LINES_PER_S) {
        let (refused, took) = (round.want(), state.now().saturating_sub(began));
        log::info!(
            "gateway: repeats service={service} need={need:?} part={share} wanted={wanted} borrowed={} \
             refused={refused} asked={asked} routers={} took={took:?} lines_left_out={left_out}",
            wanted.saturating_sub(refused),
            others.len(),
        );
    }
}

/// Requests a loan from one router, and passes it to the round. A loan that arrives after the round has ended is used
/// by requests that wait at that time.
async fn borrow_from(
    state: Rc<State>,
    service: String,
    need: Need,
    account: Rc<Account>,
    request: Request<SocketAddr>,
    round: mpsc::UnboundedSender<(SocketAddr, Option<Loan>)>,
) {
    let (sent, lender) = (state.now(), request.lenders[0]);
    let loan = datagram::request_loan(&state, &service, need, &request, LOAN_VALIDITY).await;
    let now = state.now();
    let mut borrower = account.borrower.borrow_mut();
    match loan {
        Some(loan) => {
            borrower.receive(&request, loan, sent, now);
            state.retries.borrowed.set(state.retries.borrowed.get() + u64::from(loan.lent));
        }
        None => {
            log::info!(
                "gateway: no loan from address={lender} why=no answer within {LOAN_VALIDITY:?}"
            );
            borrower.back_off(lender, now + LENDER_BACKOFF);
        }
    }
    drop(borrower);
    // Fails if the round has ended in the meantime.
    let _ = round.send((lender, loan));
    account.answered.notify_waiters();
}

/// Returns the metrics text: this router's shares of the budgets, what is left of them, and loans.
pub fn page(state: &State) -> String {
    let (now, routers, retries) = (state.now(), state.routers(), &state.retries);
    let mut text = format!(
        "hyssop_repeats_lent_total {}\nhyssop_repeats_borrowed_total {}\nhyssop_repeats_refused_total {}\n",
        retries.lent.get(),
        retries.borrowed.get(),
        retries.refused.get()
    );
    let settings = state.settings();
    for service in settings.iter().flat_map(|settings| &settings.services) {
        let name = &service.name;
        let share = state.budget(name, |budget| budget.share(now, routers));
        let left = state.budget(name, |budget| budget.left(now, routers));
        text.push_str(&format!(
            "hyssop_repeats_part{{service=\"{name}\"}} {share}\nhyssop_repeats_left{{service=\"{name}\"}} {left}\n"
        ));
    }
    text
}
