//! Repeats that a router borrows from others.
//!
//! Load pattern: a server dies, and most of the streams that pass through it are those of a few routers. Each of these
//! may send some ten repeats, its part of the common budget ([`crate::window`]), and gives the rest of its streams up
//! while the parts of all others lie idle.
//!
//! A router that is short asks others, and each that has something left lends it and counts it as used. So nothing has to
//! be agreed on: a question or an answer that is late or lost costs at most a loan that nobody uses.
//!
//! Among many, a router asks groups of others, one of each group, which asks the rest: twenty questions for four hundred
//! routers. Routers that had nothing to lend are not asked again until some of what they used is past.

use std::collections::VecDeque;
use std::time::Duration;

use rand::seq::SliceRandom;

/// Time for which a loan may be used, from when it was asked for.
pub const HELD: Duration = Duration::from_millis(300);

/// Time for which a router that did not answer is not asked.
pub const AVOIDED: Duration = Duration::from_secs(4);

/// Routers up to which each is asked by itself.
const SINGLE: usize = 32;

/// Part of what is left to a router on average, of its part; a guess of how many to ask.
const LEFT: f64 = 0.5;

/// Factor on the number of groups that are asked from one wave to the next.
const WIDER: usize = 3;

/// What a router lends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loan {
    /// Repeats.
    pub lent: u32,
    /// Time after which it may lend more, if that was less than was wanted.
    pub again: Duration,
}

/// A question to the first of some routers, which asks the rest of them where it has too little itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask<M> {
    /// The routers.
    pub lenders: Vec<M>,
    /// Repeats wanted.
    pub want: u32,
}

/// What one router borrows of one service's budget.
#[derive(Debug, Clone)]
pub struct Borrower<M> {
    /// Until when each repeat that was borrowed may be used.
    held: VecDeque<Duration>,
    /// Routers that are not asked, sorted.
    dry: Vec<Dry<M>>,
}

/// A router that had too little to lend, or did not answer.
#[derive(Debug, Clone, Copy)]
struct Dry<M> {
    member: M,
    /// Until when it is not asked.
    until: Duration,
    silent: bool,
}

impl<M> Default for Borrower<M> {
    fn default() -> Self {
        Borrower { held: VecDeque::new(), dry: Vec::new() }
    }
}

impl<M: Copy + Ord> Borrower<M> {
    /// Repeats that were borrowed and may be used now.
    pub fn held(&mut self, now: Duration) -> usize {
        while self.held.front().is_some_and(|until| *until <= now) {
            self.held.pop_front();
        }
        self.held.len()
    }

    /// Uses one, if there is one.
    pub fn take(&mut self, now: Duration) -> bool {
        self.held(now);
        self.held.pop_front().is_some()
    }

    /// Takes over what was lent in answer to a question that was asked at `asked`.
    pub fn receive(&mut self, ask: &Ask<M>, loan: Loan, asked: Duration, now: Duration) {
        self.held.extend((0..loan.lent.min(ask.want)).map(|_| asked + HELD));
        if loan.lent < ask.want {
            ask.lenders.iter().for_each(|lender| self.pass_over(*lender, now + loan.again, false));
        }
    }

    /// Does not ask a router before `until` that did not answer in time.
    pub fn avoid(&mut self, lender: M, until: Duration) {
        self.pass_over(lender, until, true);
    }

    fn pass_over(&mut self, member: M, until: Duration, silent: bool) {
        match self.dry.binary_search_by_key(&member, |dry| dry.member) {
            Ok(at) if self.dry[at].until >= until => {}
            Ok(at) => self.dry[at] = Dry { member, until, silent },
            Err(at) => self.dry.insert(at, Dry { member, until, silent }),
        }
    }

    /// Asks a router again that had not answered in time.
    pub fn trust(&mut self, lender: M) {
        self.dry.retain(|dry| dry.member != lender || !dry.silent);
    }

    /// Whether some of the routers, which are sorted, may have something to lend.
    pub fn may_ask(&mut self, members: &[M], now: Duration) -> bool {
        self.dry.retain(|dry| now < dry.until && members.binary_search(&dry.member).is_ok());
        self.dry.len() < members.len()
    }

    /// Plans whom of the routers, which are sorted, to ask for `want` repeats; `part` is the part of this router.
    ///
    /// ```
    /// use std::time::Duration;
    /// use policy::loan::{Borrower, Loan};
    /// use rand::SeedableRng;
    /// let mut rng = rand_pcg::Pcg64::seed_from_u64(1);
    /// let (mut borrower, now) = (Borrower::default(), Duration::from_secs(20));
    /// let mut round = borrower.round(&[1, 2, 3, 4], 5, 20, now, &mut rng);
    /// let asks = round.wave();
    /// assert_eq!((asks.len(), asks[0].want), (1, 5));
    /// let loan = Loan { lent: 5, again: Duration::ZERO };
    /// borrower.receive(&asks[0], loan, now, now);
    /// round.note(asks[0].clone(), loan);
    /// assert!(round.wave().is_empty());
    /// assert_eq!(borrower.held(now), 5);
    /// ```
    pub fn round(
        &mut self,
        members: &[M],
        want: u32,
        part: u32,
        now: Duration,
        rng: &mut impl rand::Rng,
    ) -> Round<M> {
        self.may_ask(members, now);
        let dry = |member: &M| self.dry.binary_search_by_key(member, |dry| dry.member).is_ok();
        let mut lenders: Vec<M> = members.iter().copied().filter(|member| !dry(member)).collect();
        lenders.shuffle(rng);
        let size = match lenders.len() {
            count if count <= SINGLE => 1,
            count => (count as f64).sqrt().ceil() as usize,
        };
        let groups: Vec<Vec<M>> = lenders.chunks(size).map(<[M]>::to_vec).collect();
        let left = (f64::from(part) * LEFT).max(1.0) * size as f64;
        let mut round = Round { groups: groups.into(), want: 0, left, width: 0, lost: 0 };
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
    lost: usize,
}

impl<M: Copy + Ord> Round<M> {
    /// Asks each of `lenders` by itself, all at once, as the first of a group does.
    pub fn each(lenders: &[M], want: u32) -> Round<M> {
        let groups = lenders.iter().map(|lender| vec![*lender]).collect();
        Round { groups, want, left: 1.0, width: lenders.len(), lost: 0 }
    }

    /// Asks for so many, if that is more than is still wanted: more came to need one meanwhile.
    pub fn raise(&mut self, want: u32) {
        self.want = self.want.max(want);
        self.width = self.width.max((f64::from(want) / self.left).ceil() as usize);
    }

    /// Questions to ask at once now; none if enough was lent, or if nobody is left to ask.
    pub fn wave(&mut self) -> Vec<Ask<M>> {
        let lost = std::mem::take(&mut self.lost);
        let most = if self.want > 0 { self.want as usize + lost } else { 0 };
        let count = self.groups.len().min(self.width).min(most);
        self.width *= WIDER;
        let mut left = self.want;
        let groups = self.groups.drain(..count).enumerate();
        let asks = groups.map(|(at, lenders)| {
            let want = left.div_ceil((count - at) as u32).max(1);
            left = left.saturating_sub(want);
            Ask { lenders, want }
        });
        asks.collect()
    }

    /// Takes over an answer. Who gave all that was asked for may have more.
    pub fn note(&mut self, ask: Ask<M>, loan: Loan) {
        self.want = self.want.saturating_sub(loan.lent);
        if loan.lent >= ask.want {
            self.groups.push_front(ask.lenders);
        }
    }

    /// Notes that the first router of a question did not answer. Another one is asked for the rest.
    pub fn lost(&mut self, ask: Ask<M>) {
        self.lost += 1;
        let rest = ask.lenders[1..].to_vec();
        if !rest.is_empty() {
            self.groups.push_front(rest);
        }
    }

    /// Repeats that are still wanted.
    pub fn want(&self) -> u32 {
        self.want
    }
}
