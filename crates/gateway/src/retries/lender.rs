//! Lends retries to other routers.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use policy::loan::{Loan, Round};
use policy::window::Need;
use tokio::time::Instant;

use super::datagram::{self, LoanRequest};
use super::{HEDGE_DELAY, heavy};
use crate::state::State;

/// Time after which a loan may be requested again from a router that does not know the service.
const UNKNOWN_SERVICE_DELAY: Duration = Duration::from_secs(1);

/// Lends retries out of this router's own share.
pub(super) fn lend(state: &State, service: &str, need: Need, want: u32) -> Loan {
    let (now, routers) = (state.now(), state.routers());
    let known = state.settings().is_some_and(|settings| settings.service(service).is_some());
    if !known {
        return Loan { lent: 0, retry_after: UNKNOWN_SERVICE_DELAY };
    }
    let loan = state.budget(service, |budget| budget.lend(need, want, now, routers));
    state.retries.lent.set(state.retries.lent.get() + u64::from(loan.lent));
    heavy::report_if_heavy(state, service);
    loan
}

/// Requests from other members of the group, on behalf of a router, retries that this one can't lend itself.
pub(super) async fn borrow_for(state: &State, request: &LoanRequest, want: u32) -> Loan {
    let members = state.sharing.others(state.now());
    let known = request.others.iter().copied();
    let known: Vec<SocketAddr> =
        known.filter(|other| members.binary_search(other).is_ok()).collect();
    let until = Instant::now() + HEDGE_DELAY / 2;
    let mut all = Loan { lent: 0, retry_after: Duration::MAX };
    let mut round = Round::each(&known, want);
    loop {
        let requests = round.wave();
        let left = until.saturating_duration_since(Instant::now());
        if requests.is_empty() || left.is_zero() {
            return all;
        }
        let (service, need) = (&request.service, request.need());
        let replies = requests
            .iter()
            .map(|request| datagram::request_loan(state, service, need, request, left));
        let replies = join_all(replies).await;
        for (request, loan) in requests.into_iter().zip(replies) {
            if let Some(loan) = loan {
                all.lent = all.lent.saturating_add(loan.lent);
                all.retry_after = all.retry_after.min(loan.retry_after);
                round.record(request, loan);
            }
        }
    }
}
