//! Requests to a model: relays a stream of events from a path of servers to the caller, and resumes it on another
//! path when a server of the first one dies.

mod open;
mod run;
mod send;
mod upstream;
mod watch;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Response, StatusCode, Version};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;

use crate::admission;
use crate::answer::{self, Body, BodyError, Reason};
use crate::availability::{self, RETURN_RETRY_AFTER};
use crate::crash;
use crate::event::Id;
use crate::limited;
use crate::peer::Peer;
use crate::request::Call;
use crate::route::Path;
use crate::settings::Model;
use crate::state::State;
use open::Opened;
use run::Run;
use upstream::{Next, Upstream};

/// Multiple of a stream's mean pause after which the servers of its path are probed. With the time for the probe
/// and for the prefill on another path, the next event is then still on time or only slightly late.
const SILENCE_FACTOR: f64 = 2.5;

/// Mean pause that is assumed before the first pauses have been measured.
const INITIAL_PAUSE: Duration = Duration::from_millis(30);

/// Shortest silence after which a path is probed: a pass over a full batch takes some 30 ms on the slowest
/// accelerators.
const MIN_SILENCE: Duration = Duration::from_millis(55);

/// Silence after which another path is tried even though all servers of this one answer probes.
/// Callers leave after two seconds without an event; half of that time is left for the new path.
const MAX_SILENCE: Duration = Duration::from_millis(1000);

/// Interval between two checks of a silent path. The reports of servers are some hundred milliseconds old.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a stream whose move off a slow server failed tries again. Meanwhile memory may be released.
const MOVE_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Limit on the events queued for one caller. A caller that does not read blocks only its own stream.
const MAX_QUEUED_EVENTS: usize = 64;

/// Cause of the pause before an event that no failure delayed.
const CAUSE_STEPS: &str = "steps";

/// Progress of one request and its stream.
struct Progress<'a> {
    state: &'a Rc<State>,
    call: &'a Call,
    service: &'a str,
    model: &'a Model,
    /// Servers that further paths of this request avoid.
    excluded: Vec<String>,
    /// Paths that the request was sent along, or chosen for.
    tries: u32,
    /// Whether the next attempt takes no retry: nothing was sent yet, or the last attempt was not sent after all.
    is_paid: bool,
    /// Runs of the request that may have begun.
    runs: Vec<Run>,
    /// Completes when it is known whether the server of the last broken run has ended.
    end_check: Option<JoinHandle<()>>,
    /// Paths that the request was sent along and whose servers did not decline it.
    unrefused: u32,
    /// Why the last search for another path failed.
    obstacle: Option<Obstacle>,
    /// Why the last attempt to repath the stream failed.
    repath_failure: Option<RepathFailure>,
    /// Whether the current path is kept because it may still send events while another one is tried in parallel.
    path_kept: bool,
    /// Last event that was forwarded to the caller.
    last_event: Option<Id>,
    /// When that event was forwarded.
    forwarded_at: Instant,
    /// What has happened since then that may delay the next event; a label of the metrics.
    held_up: &'static str,
    /// When the stream may next leave a slow server; none before its first event.
    next_move: Option<Instant>,
    /// Random number below one that decides whether the request may cross a link between data centres.
    random: f64,
    /// Whether the request has been counted in the demand for such a link.
    counted_for_link: Cell<bool>,
}

/// Why a request can't be continued on another path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
enum Obstacle {
    #[display("no path: {_0}")]
    Path(Reason),
    #[display("the retry budget is used up")]
    Budget,
    #[display("all attempts of its route are used up")]
    Attempts,
    #[display("backend servers ended while they ran it")]
    Crashes,
}

/// Why a silent stream was not moved to another path from the same first server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
enum RepathFailure {
    #[display("the first server of its path is suspected")]
    FirstSilent,
    #[display("no other path from its first server")]
    NoPath,
    #[display("its first server did not accept the order")]
    Declined,
}

/// Serves one request to a model.
pub async fn serve(
    state: &Rc<State>,
    call: Rc<Call>,
    service: &str,
    model: &Model,
) -> Response<Body> {
    admission::arrived(state, &call, service);
    state.slowness.stream_began();
    let mut progress = Progress {
        state,
        call: &call,
        service,
        model,
        excluded: Vec::new(),
        tries: 0,
        is_paid: true,
        runs: Vec::new(),
        end_check: None,
        unrefused: 0,
        obstacle: None,
        repath_failure: None,
        path_kept: false,
        last_event: None,
        forwarded_at: Instant::now(),
        held_up: "start",
        next_move: None,
        random: rand::random(),
        counted_for_link: Cell::new(false),
    };
    let opened = progress.open().await;
    match &opened {
        Ok(_) => state.metrics.admission.admitted(&state.setup.zone, &call),
        Err(reason) if reason.is_refusal() => {
            admission::refusal::record(state, &call, service, *reason);
        }
        Err(_) => {}
    }
    let (mut upstream, first) = match opened {
        Ok(Opened::Stream(upstream, first)) => (upstream, first),
        Ok(Opened::Complete(answer)) => return answer,
        Err(Reason::Full) => {
            admission::refused(state, &call, service);
            let usual = state.shortage.borrow_mut().refused(state.now());
            let retry_after = admission::retry_after(state, &call, service).unwrap_or(usual);
            return answer::error_after(Reason::Full, Some(retry_after));
        }
        Err(Reason::NoPath) => {
            let retry_after = state.missing.borrow_mut().refused(state.now());
            return answer::error_after(Reason::NoPath, Some(retry_after));
        }
        Err(Reason::Limited) => {
            return limited::refuse(state, service);
        }
        Err(Reason::Backoff) => {
            let wait = state.first_return(service).unwrap_or(RETURN_RETRY_AFTER);
            return availability::refuse(wait, state.routers(), call.time_left());
        }
        Err(Reason::Crashes) => {
            let refusal = crash::refuse(state, &call);
            return refusal.unwrap_or_else(|| answer::error(Reason::Crashes));
        }
        Err(reason) => return answer::error(reason),
    };
    state.shortage.borrow_mut().placed(state.now());
    state.missing.borrow_mut().found();
    let mut head = std::mem::replace(&mut upstream.answer.head, Response::new(()));
    // The original header fields are needed later to decide whether the connection can be reused.
    upstream.answer.head.headers_mut().clone_from(head.headers());
    answer::strip(head.headers_mut());
    // A server's answer in HTTP/1.0 would be passed on without chunks, and a cut one would look complete.
    *head.version_mut() = Version::HTTP_11;
    let (sender, receiver) = mpsc::channel::<Result<Frame<Bytes>, BodyError>>(MAX_QUEUED_EVENTS);
    let (runs, unrefused) = (progress.runs, progress.unrefused);
    let (excluded, tries) = (progress.excluded, progress.tries);
    let (state, service, model) = (state.clone(), service.to_owned(), model.clone());
    let call = call.clone();
    tokio::task::spawn_local(async move {
        let progress = Progress {
            state: &state,
            call: &call,
            service: &service,
            model: &model,
            excluded,
            tries,
            is_paid: false,
            runs,
            end_check: None,
            unrefused,
            obstacle: None,
            repath_failure: None,
            path_kept: false,
            last_event: None,
            forwarded_at: Instant::now(),
            held_up: CAUSE_STEPS,
            next_move: None,
            random: 0.0,
            counted_for_link: Cell::new(true),
        };
        relay(progress, upstream, first, sender).await;
    });
    head.map(|()| StreamBody::new(ReceiverStream::new(receiver).map(|f| f)).boxed_unsync())
}

/// Relays events until the stream is complete, the caller disconnects, or no path can resume the stream.
async fn relay(
    mut progress: Progress<'_>,
    mut upstream: Upstream,
    first: Next,
    sender: mpsc::Sender<Result<Frame<Bytes>, BodyError>>,
) {
    let mut next = first;
    // The time to the first event is no pause.
    upstream.observed = None;
    loop {
        let why = match next {
            Next::Event(event) => {
                progress.last_event = event.id.or(progress.last_event);
                upstream.path.record_event(progress.state.now());
                progress.record_pause(&mut upstream);
                progress.next_move.get_or_insert_with(Instant::now);
                progress.log_delay(&upstream.path);
                if sender.send(Ok(Frame::data(event.bytes))).await.is_err() {
                    return progress.log_caller_left();
                }
                next = tokio::select! {
                    next = progress.next_event(&mut upstream) => next,
                    () = sender.closed() => return progress.log_caller_left(),
                };
                continue;
            }
            Next::End => {
                progress.state.metrics.stream_complete(progress.call.arrived.elapsed());
                crash::record_completion(progress.state, progress.call, StatusCode::OK);
                progress.state.record_stream_duration(progress.call.arrived.elapsed());
                return upstream.answer.finish();
            }
            Next::Silent(why) => {
                next = tokio::select! {
                    next = progress.recover(&mut upstream, why) => next,
                    () = sender.closed() => return progress.log_caller_left(),
                };
                continue;
            }
            Next::Slow => {
                next = tokio::select! {
                    next = progress.leave_slow_path(&mut upstream) => next,
                    () = sender.closed() => return progress.log_caller_left(),
                };
                continue;
            }
            Next::Late => "deadline exceeded",
            Next::Broken(why) => why,
        };
        log::info!(
            "gateway: request={} path_broken={why} first={} last_event={:?} age={:?}",
            progress.call.id,
            upstream.path.first().server().id,
            progress.last_event,
            progress.call.arrived.elapsed()
        );
        progress.held_up = "resumed";
        progress.next_move = None;
        progress.abandon(&upstream);
        drop(upstream);
        let opened = tokio::select! {
            opened = progress.resume() => opened,
            () = sender.closed() => return progress.log_caller_left(),
        };
        match opened {
            Some((fresh, first)) => (upstream, next) = (fresh, first),
            None => {
                progress.state.metrics.stream_cut();
                log::warn!(
                    "gateway: request={} outcome=cut {}",
                    progress.call.id,
                    progress.summary()
                );
                // Closes the caller's connection without the terminating chunk of a complete body.
                let _ = sender.send(Err("no path can resume the stream".into())).await;
                return;
            }
        }
    }
}

impl Progress<'_> {
    fn log_caller_left(&self) {
        self.state.metrics.caller_left();
        log::info!("gateway: request={} outcome=left {}", self.call.id, self.summary());
    }

    /// Describes for the log how far a stream got that ended early and what delayed it.
    fn summary(&self) -> String {
        format!(
            "last_event={:?} pause={:?} held_up={} tries={} ran={} broken={} obstacle={} unmended={} age={:?}",
            self.last_event,
            self.forwarded_at.elapsed(),
            self.held_up,
            self.tries,
            self.runs.len(),
            self.runs.iter().filter(|run| run.broken_at.is_some()).count(),
            self.obstacle.map_or_else(|| "none".to_owned(), |o| o.to_string()),
            self.repath_failure.map_or_else(|| "none".to_owned(), |u| u.to_string()),
            self.call.arrived.elapsed()
        )
    }

    /// Excludes the first server of an abandoned path, and records a broken run if its connection broke.
    fn abandon(&mut self, upstream: &Upstream) {
        let first = upstream.path.first();
        self.exclude(first);
        if upstream.disconnected {
            self.record_broken_run(first);
        }
    }

    /// Excludes a server from further paths of this request.
    fn exclude(&mut self, first: &Peer) {
        let id = first.server().id.clone();
        if !self.excluded.contains(&id) {
            self.excluded.push(id);
        }
    }

    /// Logs what delayed an event that is late or the first one on another path.
    fn log_delay(&mut self, path: &Path) {
        let pause = self.forwarded_at.elapsed();
        let late = pause > self.call.route.gap;
        if late || self.held_up != CAUSE_STEPS {
            log::info!(
                "gateway: request={} event={:?} late={late} pause={pause:?} why={} first={} path_length={}",
                self.call.id,
                self.last_event,
                self.held_up,
                path.first().server().id,
                path.hops.len()
            );
        }
        if late {
            self.state.metrics.late_event(self.held_up);
        }
        (self.forwarded_at, self.held_up) = (Instant::now(), CAUSE_STEPS);
        (self.obstacle, self.repath_failure) = (None, None);
    }
}
