//! Sending a request along a path, up to the first event of its answer.

use std::net::SocketAddr;

use hyper::StatusCode;
use hyper::header::HeaderValue;
use tokio::time::Instant;

use super::open::{Failure, Opened, Race};
use super::{
    INITIAL_PAUSE, MAX_SILENCE, MIN_SILENCE, Next, Progress, SILENCE_CHECK_INTERVAL, Upstream,
};
use crate::admission;
use crate::answer;
use crate::crash;
use crate::departure;
use crate::event::Splitter;
use crate::exchange::{self, Answer, Outcome};
use crate::failing;
use crate::plain;
use crate::route::{self, Crossing, Path};

/// Fraction of the route's goal after which the servers of the path are probed if no event has come.
const FIRST_EVENT_CHECK_FRACTION: f64 = 0.5;

impl Progress<'_> {
    /// Sends the request along a path and waits for the first event.
    pub(super) async fn begin(&mut self, mut path: Path) -> Result<Opened, Failure> {
        let started = Instant::now();
        path.charge(self.state);
        let peer = path.first().clone();
        let hops = path.hops.clone();
        let id = peer.server().id.clone();
        self.record_run(&peer);
        failing::record_sent(self.state, self.call, &peer);
        self.unrefused += 1;
        let outcome = {
            let (state, call) = (self.state, self.call);
            let (need, fields) = (self.need(), self.fields(&path, &id));
            let peers = path.peers.clone();
            let sending = exchange::send(state, &peers, call, need, fields, call.deadline);
            tokio::pin!(sending);
            let mut wait =
                self.call.route.goal.mul_f64(FIRST_EVENT_CHECK_FRACTION).max(MIN_SILENCE);
            let mut silent = false;
            loop {
                let until = started + wait;
                if !silent {
                    tokio::select! {
                        outcome = &mut sending => break outcome,
                        () = tokio::time::sleep_until(until) => {}
                        () = self.state.server_suspected.notified() => {}
                    }
                }
                let due = Instant::now() >= until;
                if due {
                    wait += SILENCE_CHECK_INTERVAL;
                    self.check_path(&path).await;
                }
                let suspected = path.is_suspected(self.state.now());
                // Servers that stay on the path need no second prefill, and a repath uses no retry.
                if suspected
                    && (due || !silent)
                    && self.repath(&mut path, Crossing::IMMEDIATE).await
                {
                    silent = false;
                    continue;
                }
                silent = (suspected || wait > MAX_SILENCE) && self.may_run_again().await;
                if !silent {
                    continue;
                }
                self.exclude(&peer);
                let ends = |outcome: &Outcome| !matches!(outcome, Outcome::Answer(_));
                match self.race_other_path(&mut sending, ends).await {
                    Race::Kept(outcome) => break outcome,
                    Race::Other(upstream, next) => return Ok(Opened::Stream(*upstream, next)),
                    Race::Neither => {}
                }
            }
        };
        match outcome {
            Outcome::Answer(answer) => self.first_event(path, answer, started).await,
            Outcome::NotSent(why) => {
                self.remove_run(&peer);
                self.unrefused -= 1;
                self.suspect(&peer, &why);
                Err(Failure::NotRun)
            }
            Outcome::Withheld(_) => {
                self.remove_run(&peer);
                self.unrefused -= 1;
                self.is_paid = true;
                Err(Failure::NotRun)
            }
            Outcome::NotRun(status, culprit) => {
                self.remove_run(&peer);
                self.unrefused -= 1;
                self.handle_decline(&id, status, culprit);
                Err(Failure::NotRun)
            }
            Outcome::Unknown(why) => {
                // The first server may have begun the run, whatever happened at the servers behind it.
                self.record_broken_run(&peer);
                log::info!(
                    "gateway: request={} first={id} outcome=unknown why={why} path={}",
                    self.call.id,
                    (self.state.codec.path)(&hops)
                );
                self.exclude(&peer);
                Err(Failure::Unknown)
            }
            Outcome::Late => Err(Failure::Late),
        }
    }

    /// Waits for the first event of an answer whose head was received.
    async fn first_event(
        &mut self,
        path: Path,
        answer: Box<Answer>,
        started: Instant,
    ) -> Result<Opened, Failure> {
        let status = answer.head.status();
        let first = path.first().clone();
        if status != StatusCode::OK {
            failing::record(self.state, self.call, &first, status);
            let again = status.is_server_error() && self.may_run_again().await;
            let collected = answer.collect(self.call.deadline).await;
            if collected.is_some() {
                crash::record_completion(self.state, self.call, status);
            }
            log::info!(
                "gateway: request={} first={} status={status} again={again}",
                self.call.id,
                first.server().id
            );
            return match collected {
                Some((head, body)) if !again => {
                    Ok(Opened::Complete(answer::from_server(head, body)))
                }
                _ => {
                    self.exclude(&first);
                    Err(Failure::Unknown)
                }
            };
        }
        let splitter = Splitter::default();
        let (pause, since) = (INITIAL_PAUSE, started);
        let mut upstream = Upstream {
            path,
            answer,
            splitter,
            started,
            pause,
            observed: None,
            since,
            disconnected: false,
        };
        let mut next = self.next_event(&mut upstream).await;
        while let Next::Silent(why) = next {
            next = self.recover(&mut upstream, why).await;
        }
        match next {
            // The former server ended after the last event.
            Next::End if self.last_event.is_some() => Ok(Opened::Stream(upstream, Next::End)),
            Next::Event(event) => {
                self.state.metrics.first_event(upstream.started.elapsed());
                if self.last_event.is_none() {
                    admission::first_event(self.state, self.call, self.service, started);
                }
                upstream.path.first().count_continued();
                failing::record(self.state, self.call, &first, StatusCode::OK);
                crash::record_progress(self.state, self.call, event.id.map_or(1, |id| id + 1));
                Ok(Opened::Stream(upstream, Next::Event(event)))
            }
            Next::Late => Err(Failure::Late),
            Next::End | Next::Silent(_) | Next::Slow | Next::Broken(_) => {
                // Without an event, an end that only the connection marks is no complete stream.
                upstream.disconnected |= upstream.answer.ends_with_connection();
                self.abandon(&upstream);
                Err(Failure::Unknown)
            }
        }
    }

    /// Handles a decline: some server of the path is dead, draining, full or holds other layers.
    fn handle_decline(&mut self, first: &str, status: StatusCode, culprit: Option<SocketAddr>) {
        let culprit = culprit.and_then(|address| self.state.peer_at(address));
        log::info!(
            "gateway: request={} first={first} declined status={status} culprit={:?} new={} believed={}",
            self.call.id,
            culprit.as_ref().map(|p| p.server().id.clone()),
            self.last_event.is_none(),
            culprit.as_ref().map_or_else(String::new, |p| route::describe(p, self.state.now()))
        );
        match culprit.or_else(|| self.state.peer(first)) {
            Some(peer) => {
                self.exclude(&peer);
                departure::record_decline(self.state, &peer);
            }
            None => self.excluded.push(first.to_owned()),
        }
    }

    fn fields(&self, path: &Path, id: &str) -> hyper::HeaderMap {
        let names = &self.state.codec.names;
        let mut fields = plain::fields(self.state, self.call, id);
        let text = (self.state.codec.path)(&path.hops);
        fields.insert(&names.path, HeaderValue::from_str(&text).expect("addresses and digits"));
        // A resumed stream is already late; its caller leaves if it queues behind new requests.
        let rank = if self.last_event.is_some() { 0 } else { self.call.rank.max(1) };
        fields.insert(&names.rank, HeaderValue::from(u16::from(rank)));
        if let Some(last) = self.last_event {
            fields.insert(&names.last_event, HeaderValue::from(last));
        }
        fields
    }
}
