//! Watching a stream for silence, and mending its path.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use tokio::time::{Instant, timeout_at};

use super::{LOOK, Next, Progress, SHORTEST, SILENCE, STUCK, Source};
use crate::probe;
use crate::route::{self, Path};

/// Time the first server of a path gets to take an order for another path.
const MEND: Duration = Duration::from_millis(150);

/// Multiple of a stream's usual pause after which an event that has not come will not come, once a server of
/// the path is suspected. Streams through a dead server stop within a pause of each other, and the
/// first to notice tells the others of the same router.
const OVERDUE: f64 = 1.5;

impl Progress<'_> {
    /// The next event of a path.
    pub(super) async fn next(&mut self, source: &mut Source) -> Next {
        let mut since = Instant::now();
        let mut wait = source.pause.mul_f64(SILENCE).max(SHORTEST);
        wait = wait.max(source.look.saturating_duration_since(since));
        loop {
            if let Some(event) = source.splitter.next() {
                return match self.follows(&event) {
                    true => Next::Event(event),
                    false => Next::Broken("an event is missing"),
                };
            }
            if source.splitter.overflows() {
                return Next::Broken("an event is too long");
            }
            let frame = tokio::select! {
                frame = timeout_at((since + wait).min(self.call.until), source.answer.body.frame()) => frame,
                () = self.state.lost.notified() => {
                    let due = source.pause.mul_f64(OVERDUE);
                    match source.path.is_lost(self.state.now()) {
                        true if since.elapsed() >= due => return Next::Lost,
                        true => wait = wait.min(due),
                        false => {}
                    }
                    continue;
                }
            };
            match frame {
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        source.splitter.push(data);
                        source.measure(since.elapsed());
                        (since, wait) =
                            (Instant::now(), source.pause.mul_f64(SILENCE).max(SHORTEST));
                    }
                }
                Ok(Some(Err(_))) => return Next::Broken("the server broke off"),
                Ok(None) if source.splitter.is_empty() => return Next::End,
                Ok(None) => return Next::Broken("the stream ends in the middle of an event"),
                Err(_) if Instant::now() >= self.call.until => return Next::Late,
                Err(_) if wait >= STUCK && self.may_leave() => {
                    return Next::Broken("no event for too long");
                }
                Err(_) => {
                    wait += LOOK;
                    if self.look_into(&source.path).await {
                        return Next::Lost;
                    }
                }
            }
        }
    }

    /// Whether a stream stays on its path though a server of it does not answer: the path could be mended, or
    /// the stream can't be sent again.
    pub(super) async fn stays(&mut self, source: &mut Source) -> bool {
        if self.mend(&mut source.path).await {
            return true;
        }
        source.look = Instant::now() + LOOK;
        !self.may_leave()
    }

    /// Asks all servers of a silent path whether they live, and the first one whom it waits for;
    /// true if some server is found to be at fault.
    ///
    /// If none of several servers answers at the same moment, it is this router that stood still or is cut
    /// off. Taking them all for dead would break live streams and leave no path to mend them with.
    pub(super) async fn look_into(&mut self, path: &Path) -> bool {
        let (asked, dead) = probe::ask_path(self.state, &path.peers).await;
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
    pub(super) async fn mend(&mut self, path: &mut Path) -> bool {
        let size = self.call.tokens;
        let found = route::mend(self.state, self.service, self.model, size, path);
        let Some(mended) = found else { return false };
        let ask = (self.state.codec.repath)(&self.call.id, &mended.hops);
        let answer = probe::ask(mended.first(), ask, MEND).await;
        let done = answer.as_ref().is_ok_and(|(status, _)| status.is_success());
        log::info!(
            "gateway: request={} repath={done} first={} answer={:?} last_event={:?}",
            self.call.id,
            mended.first().server().id,
            answer.map(|(status, _)| status),
            self.last
        );
        if done {
            *path = mended;
            self.held_up = "repath";
        }
        done
    }

    pub(super) fn suspect(&self, peer: &Rc<crate::peer::Peer>, why: &str) {
        probe::suspect(self.state, peer, why);
    }
}
