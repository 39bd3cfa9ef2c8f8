//! Runs of a request that may have begun, and whether it may have another one.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;

use super::Progress;
use crate::crash;
use crate::peer::Peer;
use crate::probe;
use crate::state::State;

/// A run of a request, which may have begun.
pub(super) struct Run {
    first: Rc<Peer>,
    /// When that server had started.
    born: u64,
    /// When the connection to it broke.
    pub(super) broken: Option<Duration>,
}

impl Run {
    /// Whether the server has ended. One that only broke its connection, or that answers again, may still be at work.
    async fn has_ended(&self, state: &State) -> bool {
        let born = self.first.server().born;
        // Not every server says when it started.
        let started_again = born != self.born && born != 0 && self.born != 0;
        match self.broken {
            _ if started_again => true,
            Some(at) => probe::has_ended(state, &self.first, self.born, at).await,
            None if self.first.suspicion.borrow().holds(state.now()) => {
                probe::is_gone(state, &self.first).await
            }
            None => false,
        }
    }
}

impl Progress<'_> {
    /// Whether something that may have run may run on another path. Runs on servers that have ended do not count.
    pub(super) async fn may_run_again(&self) -> bool {
        let attempts = self.call.route.attempts as usize;
        match self.call.route.class.is_retryable() {
            true if self.runs.len() >= attempts => self.runs.len() - self.ended().await < attempts,
            repeatable => repeatable,
        }
    }

    /// How many runs were on servers that have ended.
    async fn ended(&self) -> usize {
        let asked = self.runs.iter().map(|run| run.has_ended(self.state));
        join_all(asked).await.into_iter().filter(|ended| *ended).count()
    }

    /// Counts a run, before it is sent: what sends it may be dropped at any moment, and it may have begun by then.
    pub(super) fn note_run(&mut self, first: &Rc<Peer>) {
        let (first, born) = (first.clone(), first.server().born);
        self.runs.push(Run { first, born, broken: None });
    }

    /// Forgets a run that never began.
    pub(super) fn forget_run(&mut self, first: &Rc<Peer>) {
        let at = self.runs.iter().rposition(|run| Rc::ptr_eq(&run.first, first));
        at.map(|at| self.runs.remove(at));
    }

    /// Notes that a connection broke over which the request may have run.
    pub(super) fn note_broken(&mut self, first: &Rc<Peer>) {
        let events = self.last.map_or(0, |last| last + 1);
        self.looked = Some(crash::record_broken_run(self.state, self.call, first, events));
        let run = self.runs.iter_mut().rfind(|run| Rc::ptr_eq(&run.first, first));
        run.into_iter().for_each(|run| run.broken = Some(self.state.now()));
    }
}
