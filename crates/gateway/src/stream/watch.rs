//! Detecting silent streams, and moving them to another path.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use super::open::Race;
use super::{
    CAUSE_STEPS, MAX_SILENCE, MIN_SILENCE, MOVE_RETRY_INTERVAL, Next, Obstacle, Progress,
    RepathFailure, SILENCE_CHECK_INTERVAL, SILENCE_FACTOR, Upstream,
};
use crate::peer::Peer;
use crate::probe;
use crate::route::{self, Crossing, Path};
use crate::slowness;

/// Time-out for the first server of a path to accept a repath order.
const REPATH_TIMEOUT: Duration = Duration::from_millis(150);

/// Why a path is treated as silent.
const NO_ANSWER: &str = "a server of the path does not answer";

/// Multiple of a stream's mean pause after which its next event is treated as lost once a server of the path is
/// suspected. Streams through a dead server stop within one pause of each other, and the first to detect it
/// notifies the others of the same router.
const OVERDUE_FACTOR: f64 = 1.5;

impl Progress<'_> {
    /// Waits for the next event of a path; returns [`Next::Silent`] if it has been silent for too long.
    pub(super) async fn next_event(&mut self, upstream: &mut Upstream) -> Next {
        if self.may_leave(upstream) {
            return Next::Slow;
        }
        upstream.since = Instant::now();
        let mut wait = upstream.pause.mul_f64(SILENCE_FACTOR).max(MIN_SILENCE);
        loop {
            let (last, until) = (self.last_event, self.call.deadline);
            let due = upstream.since + wait;
            let outcome = tokio::select! {
                outcome = timeout_at(due, upstream.event(last, until)) => outcome,
                () = self.state.server_suspected.notified() => {
                    let overdue = upstream.pause.mul_f64(OVERDUE_FACTOR);
                    match upstream.path.is_suspected(self.state.now()) {
                        true if upstream.since.elapsed() >= overdue => return Next::Silent(NO_ANSWER),
                        true => wait = wait.min(overdue),
                        false => {}
                    }
                    continue;
                }
                () = self.state.slowness.found.notified() => {
                    if self.may_leave(upstream) {
                        return Next::Slow;
                    }
                    continue;
                }
            };
            match outcome {
                Ok(Next::End) => return upstream.end().await,
                Ok(next) => return next,
                // Part of an event was received meanwhile.
                Err(_) if upstream.since + wait > due => {
                    wait = upstream.pause.mul_f64(SILENCE_FACTOR).max(MIN_SILENCE);
                }
                Err(_) if wait >= MAX_SILENCE => return Next::Silent("no event for too long"),
                Err(_) => {
                    wait += SILENCE_CHECK_INTERVAL;
                    if self.check_path(&upstream.path).await {
                        return Next::Silent(NO_ANSWER);
                    }
                    // All servers answer, so that one of them may be slow.
                    if self.held_up == CAUSE_STEPS {
                        let (goal, silence) = (self.call.route.gap, upstream.since.elapsed());
                        slowness::record_silence(self.state, &upstream.path, silence, goal);
                    }
                }
            }
        }
    }

    /// Waits for the next event of a silent path, and meanwhile repaths the stream or opens another path in parallel;
    /// takes whichever sends an event first.
    pub(super) async fn recover(&mut self, upstream: &mut Upstream, why: &'static str) -> Next {
        log::info!(
            "gateway: request={} path_silent={why} first={} last_event={:?} pause={:?}",
            self.call.id,
            upstream.path.first().server().id,
            self.last_event,
            self.forwarded_at.elapsed()
        );
        self.held_up = "silent path";
        self.exclude(upstream.path.first());
        let mut next_check = Instant::now();
        let mut crossing = Crossing::IMMEDIATE;
        loop {
            if Instant::now() >= next_check {
                next_check = Instant::now() + SILENCE_CHECK_INTERVAL;
                let suspected = upstream.path.is_suspected(self.state.now());
                let suspected = suspected || self.check_path(&upstream.path).await;
                if suspected && self.repath(&mut upstream.path, crossing).await {
                    return self.next_event(upstream).await;
                }
                crossing = Crossing::DEFAULT;
            }
            let event = upstream.event(self.last_event, self.call.deadline);
            match self.race_other_path(event, |next| matches!(next, Next::Broken(_))).await {
                Race::Kept(Next::End) => return upstream.end().await,
                Race::Kept(next) => return next,
                Race::Other(fresh, next) => {
                    self.held_up = "resumed";
                    self.abandon(upstream);
                    *upstream = *fresh;
                    return next;
                }
                Race::Neither => {}
            }
        }
    }

    /// Probes all servers of a silent path, and checks which server the first one reports to wait for; true if some
    /// server is found to be at fault.
    ///
    /// If none of several servers answers at the same moment, this router itself stalled or is cut off. Treating all of
    /// them as dead would break live streams and leave no path to move them to.
    pub(super) async fn check_path(&mut self, path: &Path) -> bool {
        let (probed, dead) = probe::find_silent_on_path(self.state, &path.peers).await;
        if dead.len() > 1 && dead.len() == probed {
            log::info!("gateway: request={} silent=all servers={}", self.call.id, dead.len());
            return false;
        }
        for peer in &dead {
            self.suspect(peer, "no answer to a probe");
        }
        // A server may answer this router and still be unreachable from the server before it on the path.
        let stalled =
            path.first().stalled.borrow().iter().find(|s| s.request == self.call.id).cloned();
        let waited_for = stalled.and_then(|s| self.state.peer_at(s.address));
        let waited_for = waited_for.filter(|p| path.peers.iter().any(|q| Rc::ptr_eq(p, q)));
        if let Some(peer) = &waited_for {
            self.suspect(peer, "a request waits for it");
        }
        !dead.is_empty() || waited_for.is_some()
    }

    /// Orders the first server to continue the request along another path; the connection to it is kept. Cheaper than a
    /// new run: only the new servers need a prefill of the tokens so far, which shortens the pause for the caller.
    ///
    /// A stream with no attempts left can only be repathed. It then waits longer for a link between data centres, and
    /// sends the order to a suspected first server as well: unless that is known to have ended, it may still be
    /// running.
    pub(super) async fn repath(&mut self, path: &mut Path, crossing: Crossing) -> bool {
        let no_attempts_left = self.obstacle == Some(Obstacle::Attempts);
        if !no_attempts_left && path.first().suspicion.borrow().holds(self.state.now()) {
            self.repath_failure = Some(RepathFailure::FirstSilent);
            return false;
        }
        let crossing = if no_attempts_left { Crossing::LAST_RESORT } else { crossing };
        let tokens = self.call.tokens;
        let found = route::repath(self.state, self.service, self.model, tokens, path, crossing);
        let Some(new_path) = found else {
            self.repath_failure = Some(RepathFailure::NoPath);
            return false;
        };
        self.order(path, new_path, "repath").await
    }

    /// Orders the first server to continue the request along `new_path`; `why` is the cause of the pause.
    async fn order(&mut self, path: &mut Path, mut new_path: Path, why: &'static str) -> bool {
        new_path.charge(self.state);
        let command = (self.state.codec.repath)(&self.call.id, &new_path.hops);
        let answer = probe::send(self.state, new_path.first(), command, REPATH_TIMEOUT).await;
        let done = answer.as_ref().is_ok_and(|(status, _)| status.is_success());
        log::info!(
            "gateway: request={} repath={done} first={} answer={:?} last_event={:?} path={}",
            self.call.id,
            new_path.first().server().id,
            answer.map(|(status, _)| status),
            self.last_event,
            (self.state.codec.path)(&new_path.hops)
        );
        match done {
            true => (*path, self.held_up) = (new_path, why),
            false => self.repath_failure = Some(RepathFailure::Declined),
        }
        done
    }

    /// Records the pause before an event, unless something else than the servers of the path delayed it.
    pub(super) fn record_pause(&self, upstream: &mut Upstream) {
        if let Some(pause) = upstream.observed.take().filter(|_| self.held_up == CAUSE_STEPS) {
            slowness::record_pause(self.state, &upstream.path, pause, self.call.route.gap);
        }
    }

    /// Whether the stream is to leave a slow server with which its pauses can't be kept.
    fn may_leave(&mut self, upstream: &Upstream) -> bool {
        if self.path_kept
            || !self.is_too_slow(upstream)
            || self.next_move.is_none_or(|at| Instant::now() < at)
            || !self.state.slowness.may_move(self.state.now())
        {
            return false;
        }
        self.next_move = Some(Instant::now() + MOVE_RETRY_INTERVAL);
        true
    }

    /// Whether a server of the path other than the first one is so slow that pauses exceed the goal, as estimated or as
    /// seen.
    fn is_too_slow(&self, upstream: &Upstream) -> bool {
        let path = &upstream.path;
        if slowness::is_slow(path.first()) {
            return false;
        }
        slowness::path_exceeds_goal(self.state, self.model, path)
            || upstream.pause > self.call.route.gap
                && path.peers.iter().any(|peer| slowness::is_slow(peer))
    }

    /// Moves the stream to a path without servers that are too slow, if there is room on one with the same first server,
    /// and waits for the next event.
    ///
    /// A stream that begins at a slow server stays: it could only be run again, which takes a retry, and its path would
    /// be given up for one that may decline.
    pub(super) async fn leave_slow_path(&mut self, upstream: &mut Upstream) -> Next {
        let (state, model, tokens) = (self.state, self.model, self.call.tokens);
        let path = &upstream.path;
        let found = route::repath(state, self.service, model, tokens, path, Crossing::IMMEDIATE);
        let found = found.filter(|found| {
            let stays = |p: &Rc<Peer>| path.peers.iter().any(|old| Rc::ptr_eq(old, p));
            let keeps_slow = found.peers.iter().any(|p| slowness::is_slow(p) && stays(p));
            !keeps_slow && !slowness::path_exceeds_goal(state, model, found)
        });
        if let Some(found) = found
            && self.order(&mut upstream.path, found, "slow server").await
        {
            state.metrics.stream_moved();
        }
        self.next_event(upstream).await
    }

    pub(super) fn suspect(&self, peer: &Rc<Peer>, why: &str) {
        probe::suspect(self.state, peer, why);
    }
}
