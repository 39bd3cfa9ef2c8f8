//! Watching a stream for silence, and mending its path.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};

use super::open::Beside;
use super::{LOOK, Next, Obstacle, Progress, SHORTEST, SILENCE, STUCK, Source, Unmended};
use crate::probe;
use crate::route::{self, Crossing, Path};

/// Time the first server of a path gets to take an order for another path.
const MEND: Duration = Duration::from_millis(150);

/// Why a path is taken for silent.
const NO_ANSWER: &str = "a server of the path does not answer";

/// Multiple of a stream's usual pause after which an event that has not come will not come, once a server of
/// the path is suspected. Streams through a dead server stop within a pause of each other, and the
/// first to notice tells the others of the same router.
const OVERDUE: f64 = 1.5;

impl Progress<'_> {
    /// The next event of a path, or that it has been silent for too long.
    pub(super) async fn next(&mut self, source: &mut Source) -> Next {
        source.since = Instant::now();
        let mut wait = source.pause.mul_f64(SILENCE).max(SHORTEST);
        loop {
            let (last, until) = (self.last, self.call.deadline);
            let due = source.since + wait;
            let came = tokio::select! {
                came = timeout_at(due, source.event(last, until)) => came,
                () = self.state.lost.notified() => {
                    let overdue = source.pause.mul_f64(OVERDUE);
                    match source.path.is_suspected(self.state.now()) {
                        true if source.since.elapsed() >= overdue => return Next::Silent(NO_ANSWER),
                        true => wait = wait.min(overdue),
                        false => {}
                    }
                    continue;
                }
            };
            match came {
                Ok(next) => return next,
                // A part of an event came meanwhile.
                Err(_) if source.since + wait > due => {
                    wait = source.pause.mul_f64(SILENCE).max(SHORTEST);
                }
                Err(_) if wait >= STUCK => return Next::Silent("no event for too long"),
                Err(_) => {
                    wait += LOOK;
                    if self.look_into(&source.path).await {
                        return Next::Silent(NO_ANSWER);
                    }
                }
            }
        }
    }

    /// Waits for the next event of a silent path, and meanwhile has the path mended or another one opened
    /// beside it, whichever sends an event first.
    pub(super) async fn outlast(&mut self, source: &mut Source, why: &'static str) -> Next {
        log::info!(
            "gateway: request={} path_silent={why} first={} last_event={:?} pause={:?}",
            self.call.id,
            source.path.first().server().id,
            self.last,
            self.passed.elapsed()
        );
        self.held_up = "silent path";
        self.avoid(source.path.first());
        let mut look = Instant::now();
        let mut crossing = Crossing::IMMEDIATE;
        loop {
            if Instant::now() >= look {
                look = Instant::now() + LOOK;
                let lost = source.path.is_suspected(self.state.now());
                let lost = lost || self.look_into(&source.path).await;
                if lost && self.mend(&mut source.path, crossing).await {
                    return self.next(source).await;
                }
                crossing = Crossing::DEFAULT;
            }
            let event = source.event(self.last, self.call.deadline);
            match self.beside(event, |next| matches!(next, Next::Broken(_))).await {
                Beside::Kept(next) => return next,
                Beside::Other(fresh, event) => {
                    self.held_up = "resumed";
                    self.leave(source);
                    *source = *fresh;
                    return Next::Event(event);
                }
                Beside::Neither => {}
            }
        }
    }

    /// Asks all servers of a silent path whether they live, and the first one whom it waits for;
    /// true if some server is found to be at fault.
    ///
    /// If none of several servers answers at the same moment, it is this router that stood still or is cut
    /// off. Taking them all for dead would break live streams and leave no path to mend them with.
    pub(super) async fn look_into(&mut self, path: &Path) -> bool {
        let (asked, dead) = probe::find_silent_on_path(self.state, &path.peers).await;
        if dead.len() > 1 && dead.len() == asked {
            log::info!("gateway: request={} silent=all servers={}", self.call.id, dead.len());
            return false;
        }
        for peer in &dead {
            self.suspect(peer, "no answer to a probe");
        }
        // A server may answer us and yet not be reached by the one before it.
        let stalled =
            path.first().stalled.borrow().iter().find(|s| s.request == self.call.id).cloned();
        let waited_for = stalled.and_then(|s| self.state.at(s.address));
        let waited_for = waited_for.filter(|p| path.peers.iter().any(|q| Rc::ptr_eq(p, q)));
        if let Some(peer) = &waited_for {
            self.suspect(peer, "a request waits for it");
        }
        !dead.is_empty() || waited_for.is_some()
    }

    /// Has the request go on along another path from the same first server, which keeps the stream.
    /// Cheaper than a new run: only the new servers read the tokens so far, and the caller's pause
    /// is shorter by that.
    ///
    /// A stream that has no run left has this way only. It then waits longer for a link between data centres, and asks a
    /// first server that is suspected as well: as far as it is not known to have ended, it may be at work.
    pub(super) async fn mend(&mut self, path: &mut Path, crossing: Crossing) -> bool {
        let last = self.obstacle == Some(Obstacle::Attempts);
        if !last && path.first().suspicion.borrow().holds(self.state.now()) {
            self.unmended = Some(Unmended::FirstSilent);
            return false;
        }
        let crossing = if last { Crossing::LAST_RESORT } else { crossing };
        let size = self.call.tokens;
        let found = route::repath(self.state, self.service, self.model, size, path, crossing);
        let Some(mut mended) = found else {
            self.unmended = Some(Unmended::NoPath);
            return false;
        };
        mended.charge(self.state);
        let ask = (self.state.codec.repath)(&self.call.id, &mended.hops);
        let answer = probe::send(mended.first(), ask, MEND).await;
        let done = answer.as_ref().is_ok_and(|(status, _)| status.is_success());
        log::info!(
            "gateway: request={} repath={done} first={} answer={:?} last_event={:?} path={}",
            self.call.id,
            mended.first().server().id,
            answer.map(|(status, _)| status),
            self.last,
            (self.state.codec.path)(&mended.hops)
        );
        match done {
            true => (*path, self.held_up) = (mended, "repath"),
            false => self.unmended = Some(Unmended::Declined),
        }
        done
    }

    pub(super) fn suspect(&self, peer: &Rc<crate::peer::Peer>, why: &str) {
        probe::suspect(self.state, peer, why);
    }
}
