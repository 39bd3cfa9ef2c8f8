//! Retries that a router borrows from other routers.
//!
//! Load pattern: a server dies, and most of the streams that pass through it belong to a few routers. Each of these
//! may send some ten retries, its share of the common budget ([`crate::window`]), and gives up the rest of its
//! streams while the shares of all other routers are unused.
//!
//! A router that runs short asks others. Each router that has retries left lends some and counts them as used. No
//! agreement between routers is needed: a request or an answer that is late or lost costs at most a loan that nobody
//! uses.
//!
//! In a large group a router sends its request to one router of each of several groups of others, and that router
//! asks the rest of its group: twenty requests for four hundred routers. Routers that had nothing to lend are not
//! asked again until some of their own use has left the window.

use std::collections::VecDeque;
use std::time::Duration;

use rand::seq::SliceRandom;

/// Time for which a loan may be used, counted from when it was requested.
pub const LOAN_VALIDITY: Duration = Duration::from_millis(300);

/// Time for which a router that did not answer is not asked.
pub const LENDER_BACKOFF: Duration = Duration::from_secs(4);

/// Number of lenders up to which each is asked directly.
const MAX_UNGROUPED_LENDERS: usize = 32;

/// Ratio of its share that a router is expected to have left; an estimate that sets how many routers are asked.
const EXPECTED_LEFT_RATIO: f64 = 0.5;

/// Factor by which the number of groups asked grows from one wave to the next.
const WAVE_GROWTH: usize = 3;

/// The answer to a request for retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loan {
    /// Retries lent.
    pub lent: u32,
    /// Time after which the lender may lend more, if it lent less than was wanted.
    pub retry_after: Duration,
}

/// A request to the first of some routers, which asks the others for what it can't lend itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request<M> {
    /// The routers to borrow from; the first receives the request.
    pub lenders: Vec<M>,
    /// Retries wanted.
    pub want: u32,
}

/// What one router has borrowed of one service's budget.
#[derive(Debug, Clone)]
pub struct Borrower<M> {
    /// Expiry of each borrowed retry.
    valid_until: VecDeque<Duration>,
    /// Routers that are not asked, sorted.
    backoffs: Vec<Backoff<M>>,
}

/// A router that had too little to lend or did not answer.
#[derive(Debug, Clone, Copy)]
struct Backoff<M> {
    member: M,
    /// End of the time for which it is not asked.
    until: Duration,
    silent: bool,
}

impl<M> Default for Borrower<M> {
    fn default() -> Self {
        Borrower { valid_until: VecDeque::new(), backoffs: Vec::new() }
    }
}

impl<M: Copy + Ord> Borrower<M> {
    /// Returns the number of borrowed retries that may be used now.
    pub fn available(&mut self, now: Duration) -> usize {
        while self.valid_until.front().is_some_and(|until| *until <= now) {
            self.valid_until.pop_front();
        }
        self.valid_until.len()
    }

    /// Uses one borrowed retry; returns false if there is none.
    pub fn take(&mut self, now: Duration) -> bool {
        self.available(now);
        self.valid_until.pop_front().is_some()
    }

    /// Adds what was lent in answer to a request that was sent at `sent_at`.
    pub fn receive(&mut self, request: &Request<M>, loan: Loan, sent_at: Duration, now: Duration) {
        self.valid_until.extend((0..loan.lent.min(request.want)).map(|_| sent_at + LOAN_VALIDITY));
        if loan.lent < request.want {
            request
                .lenders
                .iter()
                .for_each(|lender| self.set_backoff(*lender, now + loan.retry_after, false));
        }
    }

    /// Excludes a router that did not answer in time until `until`.
    pub fn back_off(&mut self, lender: M, until: Duration) {
        self.set_backoff(lender, until, true);
    }

    fn set_backoff(&mut self, member: M, until: Duration, silent: bool) {
        match self.backoffs.binary_search_by_key(&member, |backoff| backoff.member) {
            Ok(at) if self.backoffs[at].until >= until => {}
            Ok(at) => self.backoffs[at] = Backoff { member, until, silent },
            Err(at) => self.backoffs.insert(at, Backoff { member, until, silent }),
        }
    }

    /// Allows requests again to a router that had not answered in time.
    pub fn clear_backoff(&mut self, lender: M) {
        self.backoffs.retain(|backoff| backoff.member != lender || !backoff.silent);
    }

    /// Returns whether any of the routers `members`, which are sorted, may have something to lend.
    pub fn may_ask(&mut self, members: &[M], now: Duration) -> bool {
        self.backoffs.retain(|backoff| {
            now < backoff.until && members.binary_search(&backoff.member).is_ok()
        });
        self.backoffs.len() < members.len()
    }

    /// Plans which of the routers `members`, which are sorted, to ask for `want` retries; `share` is the share of
    /// this router.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::loan::{Borrower, Loan};
    /// use rand::SeedableRng;
    /// let mut rng = rand_pcg::Pcg64::seed_from_u64(1);
    /// let (mut borrower, now) = (Borrower::default(), Duration::from_secs(20));
    /// let mut round = borrower.round(&[1, 2, 3, 4], 5, 20, now, &mut rng);
    /// let requests = round.wave();
    /// assert_eq!((requests.len(), requests[0].want), (1, 5));
    /// let loan = Loan { lent: 5, retry_after: Duration::ZERO };
    /// borrower.receive(&requests[0], loan, now, now);
    /// round.record(requests[0].clone(), loan);
    /// assert!(round.wave().is_empty());
    /// assert_eq!(borrower.available(now), 5);
    /// ```
    pub fn round(
        &mut self,
        members: &[M],
        want: u32,
        share: u32,
        now: Duration,
        rng: &mut impl rand::Rng,
    ) -> Round<M> {
        self.may_ask(members, now);
        let backs_off = |member: &M| {
            self.backoffs.binary_search_by_key(member, |backoff| backoff.member).is_ok()
        };
        let mut lenders: Vec<M> =
            members.iter().copied().filter(|member| !backs_off(member)).collect();
        lenders.shuffle(rng);
        let size = match lenders.len() {
            count if count <= MAX_UNGROUPED_LENDERS => 1,
            count => (count as f64).sqrt().ceil() as usize,
        };
        let groups: Vec<Vec<M>> = lenders.chunks(size).map(<[M]>::to_vec).collect();
        let left = (f64::from(share) * EXPECTED_LEFT_RATIO).max(1.0) * size as f64;
        let mut round = Round { groups: groups.into(), want: 0, left, width: 0, timeouts: 0 };
        round.raise(want);
        round
    }
}

/// Requests to routers until enough is lent.
#[derive(Debug, Clone)]
pub struct Round<M> {
    /// Groups that have not been asked yet.
    groups: VecDeque<Vec<M>>,
    /// Retries that are still wanted.
    want: u32,
    /// Retries that a group is expected to have left.
    left: f64,
    /// Number of groups to ask in the next wave.
    width: usize,
    /// Requests of the last wave without an answer. The next wave has that many more, as the next routers may be dead
    /// as well.
    timeouts: usize,
}

impl<M: Copy + Ord> Round<M> {
    /// Asks each of `lenders` directly and all at once, as the first router of a group does.
    pub fn each(lenders: &[M], want: u32) -> Round<M> {
        let groups = lenders.iter().map(|lender| vec![*lender]).collect();
        Round { groups, want, left: 1.0, width: lenders.len(), timeouts: 0 }
    }

    /// Raises the number of retries wanted to `want`, as more streams have come to need one.
    pub fn raise(&mut self, want: u32) {
        self.want = self.want.max(want);
        self.width = self.width.max((f64::from(want) / self.left).ceil() as usize);
    }

    /// Returns the requests to send at once now; none if enough was lent or no router is left to ask.
    pub fn wave(&mut self) -> Vec<Request<M>> {
        let timeouts = std::mem::take(&mut self.timeouts);
        let most = if self.want > 0 { self.want as usize + timeouts } else { 0 };
        let count = self.groups.len().min(self.width).min(most);
        self.width *= WAVE_GROWTH;
        let mut left = self.want;
        let groups = self.groups.drain(..count).enumerate();
        let requests = groups.map(|(at, lenders)| {
            let want = left.div_ceil((count - at) as u32).max(1);
            left = left.saturating_sub(want);
            Request { lenders, want }
        });
        requests.collect()
    }

    /// Records an answer. A router that lent all that was asked for may have more and is asked again.
    pub fn record(&mut self, request: Request<M>, loan: Loan) {
        self.want = self.want.saturating_sub(loan.lent);
        if loan.lent >= request.want {
            self.groups.push_front(request.lenders);
        }
    }

    /// Records that the first router of a request did not answer. The next router of its group is asked for the rest.
    pub fn timed_out(&mut self, request: Request<M>) {
        self.timeouts += 1;
        let rest = request.lenders[1..].to_vec();
        if !rest.is_empty() {
            self.groups.push_front(rest);
        }
    }

    /// Returns the number of retries that are still wanted.
    pub fn want(&self) -> u32 {
        self.want
    }
}
