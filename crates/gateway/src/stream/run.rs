//! Runs of a request that may have begun, and whether the request may run again.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;

use super::Progress;
use crate::crash;
use crate::peer::Peer;
use crate::probe;
use crate::state::State;

/// A run of a request that may have begun.
pub(super) struct Run {
    first: Rc<Peer>,
    /// Start time of the first server when the request was sent.
    born: u64,
    /// When the connection to that server broke.
    pub(super) broken_at: Option<Duration>,
}

impl Run {
    /// Whether the server has ended. One that only broke its connection, or that answers again, may still be running
    /// the request.
    async fn has_ended(&self, state: &State) -> bool {
        let born = self.first.server().born;
        // Not every server reports its start time.
        let started_again = born != self.born && born != 0 && self.born != 0;
        match self.broken_at {
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
    /// Whether the request may run on another path. Runs on servers that have ended do not count as attempts.
    pub(super) async fn may_run_again(&self) -> bool {
        let attempts = self.call.route.attempts as usize;
        match self.call.route.class.is_retryable() {
            true if self.runs.len() >= attempts => {
                self.runs.len() - self.count_ended().await < attempts
            }
            retryable => retryable,
        }
    }

    /// Counts the runs on servers that have ended.
    async fn count_ended(&self) -> usize {
        let checks = self.runs.iter().map(|run| run.has_ended(self.state));
        join_all(checks).await.into_iter().filter(|ended| *ended).count()
    }

    /// Records a run before the request is sent: the sending future may be dropped at any moment, and the run may have
    /// begun by then.
    pub(super) fn record_run(&mut self, first: &Rc<Peer>) {
        let (first, born) = (first.clone(), first.server().born);
        self.runs.push(Run { first, born, broken_at: None });
    }

    /// Removes a run that never began.
    pub(super) fn remove_run(&mut self, first: &Rc<Peer>) {
        let at = self.runs.iter().rposition(|run| Rc::ptr_eq(&run.first, first));
        at.map(|at| self.runs.remove(at));
    }

    /// Records that the connection broke over which the request may have run.
    pub(super) fn record_broken_run(&mut self, first: &Rc<Peer>) {
        let events = self.last_event.map_or(0, |last| last + 1);
        self.end_check = Some(crash::record_broken_run(self.state, self.call, first, events));
        let run = self.runs.iter_mut().rfind(|run| Rc::ptr_eq(&run.first, first));
        run.into_iter().for_each(|run| run.broken_at = Some(self.state.now()));
    }
}
