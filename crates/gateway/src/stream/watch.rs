//! Detecting silent streams, and moving them to another path.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use super::open::Race;
use super::{
    MAX_SILENCE, MIN_SILENCE, Next, Obstacle, Progress, RepathFailure, SILENCE_CHECK_INTERVAL,
    SILENCE_FACTOR, Upstream,
};
use crate::probe;
use crate::route::{self, Crossing, Path};

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
        let Some(mut new_path) = found else {
            self.repath_failure = Some(RepathFailure::NoPath);
            return false;
        };
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
            true => (*path, self.held_up) = (new_path, "repath"),
            false => self.repath_failure = Some(RepathFailure::Declined),
        }
        done
    }

    pub(super) fn suspect(&self, peer: &Rc<crate::peer::Peer>, why: &str) {
        probe::suspect(self.state, peer, why);
    }
}
