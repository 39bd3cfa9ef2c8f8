//! Lends repeats to other routers.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use policy::loan::{Loan, Round};
use policy::window::Need;
use tokio::time::Instant;

use super::datagram::{self, Question};
use super::{ANSWER, heavy};
use crate::state::State;

/// Time after which a router that does not know a service is asked again.
const UNKNOWN: Duration = Duration::from_secs(1);

/// Lends repeats out of this router's own part.
pub(super) fn lend(state: &State, service: &str, need: Need, want: u32) -> Loan {
    let (now, routers) = (state.now(), state.routers());
    let known = state.settings().is_some_and(|settings| settings.service(service).is_some());
    if !known {
        return Loan { lent: 0, again: UNKNOWN };
    }
    let loan = state.budget(service, |budget| budget.lend(need, want, now, routers));
    state.retries.lent.set(state.retries.lent.get() + u64::from(loan.lent));
    heavy::note_use(state, service);
    loan
}

/// Asks members of the group in the name of another router, for what this one can't lend itself.
pub(super) async fn ask_for(state: &State, question: &Question, want: u32) -> Loan {
    let members = state.sharing.others(state.now());
    let known = question.others.iter().copied();
    let known: Vec<SocketAddr> =
        known.filter(|other| members.binary_search(other).is_ok()).collect();
    let until = Instant::now() + ANSWER / 2;
    let mut all = Loan { lent: 0, again: Duration::MAX };
    let mut round = Round::each(&known, want);
    loop {
        let asks = round.wave();
        let left = until.saturating_duration_since(Instant::now());
        if asks.is_empty() || left.is_zero() {
            return all;
        }
        let (service, need) = (&question.service, question.need());
        let answers = asks.iter().map(|ask| datagram::ask(state, service, need, ask, left));
        let answers = join_all(answers).await;
        for (ask, loan) in asks.into_iter().zip(answers) {
            if let Some(loan) = loan {
                all.lent += loan.lent;
                all.again = all.again.min(loan.again);
                round.note(ask, loan);
            }
        }
    }
}
