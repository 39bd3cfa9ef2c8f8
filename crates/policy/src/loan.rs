//! Repeats that a router borrows from others.
//!
//! Load pattern: a server dies, and most of the streams that pass through it are those of a few routers. Each of these
//! may send some ten repeats, its part of the common budget ([`crate::window`]), and gives the rest of its streams up
//! while the parts of all others lie idle.
//!
//! A router that is short requests others, and each that has something left lends it and counts it as used. So nothing has to
//! be agreed on: a question or an answer that is late or lost costs at most a loan that nobody uses.
//!
//! Among many, a router requests groups of others, one of each group, which requests the rest: twenty questions for four hundred
//! routers. Routers that had nothing to lend are not asked again until some of what they used is past.

use std::collections::VecDeque;
use std::time::Duration;

use rand::seq::SliceRandom;

/// Time for which a loan may be used, from when it was asked for.
pub const LOAN_VALIDITY: Duration = Duration::from_millis(300);

/// Time for which a router that did not answer is not asked.
pub const LENDER_BACKOFF: Duration = Duration::from_secs(4);

/// Routers up to which each is asked by itself.
const MAX_UNGROUPED_LENDERS: usize = 32;

/// Part of what is left to a router on average, of its part; a guess of how many to ask.
const EXPECTED_LEFT_RATIO: f64 = 0.5;

/// Factor on the number of groups that are asked from one wave to the next.
const WAVE_GROWTH: usize = 3;

/// What a router lends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loan {
    /// Repeats.
    pub lent: u32,
    /// Time after which it may lend more, if that was less than was wanted.
    pub retry_after: Duration,
}

/// A question to the first of some routers, which requests the rest of them where it has too little itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request<M> {
    /// The routers.
    pub lenders: Vec<M>,
    /// Repeats wanted.
    pub want: u32,
}

/// What one router borrows of one service's budget.
#[derive(Debug, Clone)]
pub struct Borrower<M> {
    /// Until when each repeat that was borrowed may be used.
    valid_until: VecDeque<Duration>,
    /// Routers that are not asked, sorted.
    backoffs: Vec<Backoff<M>>,
}

/// A router that had too little to lend, or did not answer.
#[derive(Debug, Clone, Copy)]
struct Backoff<M> {
    member: M,
    /// Until when it is not asked.
    until: Duration,
    silent: bool,
}

impl<M> Default for Borrower<M> {
    fn default() -> Self {
        Borrower { valid_until: VecDeque::new(), backoffs: Vec::new() }
    }
}

impl<M: Copy + Ord> Borrower<M> {
    /// Repeats that were borrowed and may be used now.
    pub fn available(&mut self, now: Duration) -> usize {
        while self.valid_until.front().is_some_and(|until| *until <= now) {
            self.valid_until.pop_front();
        }
        self.valid_until.len()
    }

    /// Uses one, if there is one.
    pub fn take(&mut self, now: Duration) -> bool {
        self.available(now);
        self.valid_until.pop_front().is_some()
    }

    /// Takes over what was lent in answer to a question that was asked at `asked`.
    pub fn receive(&mut self, request: &Request<M>, loan: Loan, asked: Duration, now: Duration) {
        self.valid_until.extend((0..loan.lent.min(request.want)).map(|_| asked + LOAN_VALIDITY));
        if loan.lent < request.want {
            request
                .lenders
                .iter()
                .for_each(|lender| self.set_backoff(*lender, now + loan.retry_after, false));
        }
    }

    /// Does not ask a router before `until` that did not answer in time.
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

    /// Asks a router again that had not answered in time.
    pub fn clear_backoff(&mut self, lender: M) {
        self.backoffs.retain(|backoff| backoff.member != lender || !backoff.silent);
    }

    /// Whether some of the routers, which are sorted, may have something to lend.
    pub fn may_ask(&mut self, members: &[M], now: Duration) -> bool {
        self.backoffs.retain(|backoff| {
            now < backoff.until && members.binary_search(&backoff.member).is_ok()
        });
        self.backoffs.len() < members.len()
    }

    /// Plans whom of the routers, which are sorted, to ask for `want` repeats; `share` is the part of this router.
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

/// Questions to routers until enough is lent.
#[derive(Debug, Clone)]
pub struct Round<M> {
    /// Routers that are still to be asked.
    groups: VecDeque<Vec<M>>,
    /// Repeats that are still wanted.
    want: u32,
    /// Repeats that a group is guessed to have.
    left: f64,
    /// Groups that are asked next.
    width: usize,
    /// Questions of the last wave without an answer. So many more are asked at once, as the next may be dead as well.
    timeouts: usize,
}

impl<M: Copy + Ord> Round<M> {
    /// Asks each of `lenders` by itself, all at once, as the first of a group does.
    pub fn each(lenders: &[M], want: u32) -> Round<M> {
        let groups = lenders.iter().map(|lender| vec![*lender]).collect();
        Round { groups, want, left: 1.0, width: lenders.len(), timeouts: 0 }
    }

    /// Asks for so many, if that is more than is still wanted: more came to need one meanwhile.
    pub fn raise(&mut self, want: u32) {
        self.want = self.want.max(want);
        self.width = self.width.max((f64::from(want) / self.left).ceil() as usize);
    }

    /// Questions to ask at once now; none if enough was lent, or if nobody is left to ask.
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

    /// Takes over an answer. Who gave all that was asked for may have more.
    pub fn record(&mut self, request: Request<M>, loan: Loan) {
        self.want = self.want.saturating_sub(loan.lent);
        if loan.lent >= request.want {
            self.groups.push_front(request.lenders);
        }
    }

    /// Notes that the first router of a question did not answer. Another one is asked for the rest.
    pub fn timed_out(&mut self, request: Request<M>) {
        self.timeouts += 1;
        let rest = request.lenders[1..].to_vec();
        if !rest.is_empty() {
            self.groups.push_front(rest);
        }
    }

    /// Repeats that are still wanted.
    pub fn want(&self) -> u32 {
        self.want
    }
}
