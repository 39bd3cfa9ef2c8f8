//! Requests to a model: a stream of events from a path of servers, gone on with on another path
//! when a server of the first one dies.

mod open;
mod run;
mod watch;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};
use tokio_stream::wrappers::ReceiverStream;

use crate::answer::{self, Body, BodyError, Reason};
use crate::crash;
use crate::event::{Event, Id, Splitter};
use crate::exchange::Answer;
use crate::limited;
use crate::notice::Notice;
use crate::peer::Peer;
use crate::request::Call;
use crate::route::{self, Path};
use crate::settings::Model;
use crate::state::State;
use open::Opened;
use run::Run;

/// Multiple of a stream's usual pause after which the servers of its path are asked whether they
/// live. With the time to ask and to read the prompt elsewhere, the next event then still comes on
/// time or shortly after it.
const SILENCE: f64 = 2.5;

/// Usual pause that is assumed before the first ones were measured.
const PAUSE: Duration = Duration::from_millis(30);

/// Weight of the newest pause in the mean.
const NEWEST: f64 = 0.2;

/// Shortest silence that is looked into: a pass over a full batch takes some 30 ms on the slowest
/// cards.
const SHORTEST: Duration = Duration::from_millis(55);

/// Silence after which another path is tried even though all servers of this one answer.
/// Callers leave after two seconds without an event; half of it is left for the new path.
const STUCK: Duration = Duration::from_millis(1000);

/// Pause between two looks at a silent path. What a server reports is some hundred milliseconds old.
const LOOK: Duration = Duration::from_millis(250);

/// Part of a server's memory from which on it may decline a request for want of memory.
const NEARLY_FULL: f64 = 0.85;

/// Events on their way to one caller. A caller that does not read holds up its own stream only.
const AHEAD: usize = 64;

/// What an event waits for that comes in the usual way.
const STEPS: &str = "steps";

/// What the stream of one request has come to.
struct Progress<'a> {
    state: &'a Rc<State>,
    call: &'a Call,
    service: &'a str,
    model: &'a Model,
    /// Servers that are not asked again.
    but: Vec<String>,
    /// Paths asked.
    tries: u32,
    /// Runs of it that may have begun.
    runs: Vec<Run>,
    /// Ends when it is known whether the last server that broke off has ended.
    looked: Option<JoinHandle<()>>,
    /// Paths that it was sent along and whose servers did not say that they won't run it.
    sent: u32,
    /// What stood in the way when another path was last looked for.
    obstacle: Option<Obstacle>,
    /// Why its path could not be mended when that was last tried.
    unmended: Option<Unmended>,
    /// Whether a path is kept that may still send events, so that another one is only looked for beside it.
    kept: bool,
    /// Last event that was handed on.
    last: Option<Id>,
    /// When it was handed on.
    passed: Instant,
    /// What happened since then that may have held the next event up.
    held_up: &'static str,
    /// A random number below one, by which requests are chosen that may cross a link between data centres.
    luck: f64,
    /// Whether it is counted among those that want to.
    wants_link: Cell<bool>,
}

/// Why a request can't go on along another path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
enum Obstacle {
    #[display("no path: {_0}")]
    Path(Reason),
    #[display("the retry budget is used up")]
    Budget,
    #[display("it ran as often as its route allows")]
    Attempts,
    #[display("servers ended under it")]
    Crashes,
}

/// Why the path of a silent stream was not mended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
enum Unmended {
    #[display("its first server is silent")]
    FirstSilent,
    #[display("no path behind its first server")]
    NoPath,
    #[display("its first server declined")]
    Declined,
}

/// A path that is sending events.
struct Source {
    path: Path,
    answer: Box<Answer>,
    splitter: Splitter,
    began: Instant,
    /// Mean pause between two events.
    pause: Duration,
    /// When bytes last came along it, or since when they are waited for.
    since: Instant,
    /// Whether the connection to its first server broke.
    broken: bool,
}

impl Source {
    /// The next event, which has to follow after `last`, until the caller's time is up. May be dropped at any
    /// moment without loss.
    async fn event(&mut self, last: Option<Id>, until: Instant) -> Next {
        loop {
            match self.splitter.next() {
                Some(event) if event.follows(last) => return Next::Event(event),
                Some(_) => return Next::Broken("an event is missing"),
                None if self.splitter.overflows() => return Next::Broken("an event is too long"),
                None => {}
            }
            match timeout_at(until, self.answer.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        self.splitter.push(data);
                        self.measure();
                    }
                }
                Ok(Some(Err(_))) => {
                    self.broken = true;
                    return Next::Broken("the server broke off");
                }
                Ok(None) if self.splitter.is_empty() => return Next::End,
                Ok(None) => return Next::Broken("the stream ends in the middle of an event"),
                Err(_) => return Next::Late,
            }
        }
    }

    fn measure(&mut self) {
        let pause = self.since.elapsed();
        self.pause = self.pause.mul_f64(1.0 - NEWEST) + pause.mul_f64(NEWEST);
        self.since = Instant::now();
    }
}

/// What came next on a path.
enum Next {
    Event(Event),
    /// The stream is complete.
    End,
    /// The path sends nothing, but may live.
    Silent(&'static str),
    /// The path is broken and sends nothing more.
    Broken(&'static str),
    /// The caller's or the route's time is up.
    Late,
}

/// Serves one request.
pub async fn serve(
    state: &Rc<State>,
    call: Rc<Call>,
    service: &str,
    model: &Model,
) -> Response<Body> {
    let mut progress = Progress {
        state,
        call: &call,
        service,
        model,
        but: Vec::new(),
        tries: 0,
        runs: Vec::new(),
        looked: None,
        sent: 0,
        obstacle: None,
        unmended: None,
        kept: false,
        last: None,
        passed: Instant::now(),
        held_up: "start",
        luck: rand::random(),
        wants_link: Cell::new(false),
    };
    let (mut source, first) = match progress.open().await {
        Ok(Opened::Stream(source, first)) => (source, first),
        Ok(Opened::Whole(answer)) => return answer,
        Err(Reason::Full) => {
            let again = state.shortage.borrow_mut().refused(state.now());
            return answer::error_after(Reason::Full, Some(again));
        }
        Err(Reason::NoPath) => {
            let again = state.missing.borrow_mut().refused(state.now());
            return answer::error_after(Reason::NoPath, Some(again));
        }
        Err(Reason::Limited) => {
            return limited::refuse(state, service);
        }
        Err(Reason::Crashes) => {
            let refusal = crash::refuse(state, &call);
            return refusal.unwrap_or_else(|| answer::error(Reason::Crashes));
        }
        Err(reason) => return answer::error(reason),
    };
    state.shortage.borrow_mut().placed(state.now());
    state.missing.borrow_mut().ends();
    let mut head = std::mem::replace(&mut source.answer.head, Response::new(()));
    // The connection's own fields decide later whether it is kept.
    source.answer.head.headers_mut().clone_from(head.headers());
    answer::strip(head.headers_mut());
    let (sender, receiver) = mpsc::channel::<Result<Frame<Bytes>, BodyError>>(AHEAD);
    let (runs, sent) = (progress.runs, progress.sent);
    let (but, tries) = (progress.but, progress.tries);
    let (state, service, model) = (state.clone(), service.to_owned(), model.clone());
    let call = call.clone();
    tokio::task::spawn_local(async move {
        let progress = Progress {
            state: &state,
            call: &call,
            service: &service,
            model: &model,
            but,
            tries,
            runs,
            looked: None,
            sent,
            obstacle: None,
            unmended: None,
            kept: false,
            last: None,
            passed: Instant::now(),
            held_up: STEPS,
            luck: 0.0,
            wants_link: Cell::new(true),
        };
        relay(progress, source, first, sender).await;
    });
    head.map(|()| StreamBody::new(ReceiverStream::new(receiver).map(|f| f)).boxed_unsync())
}

/// Hands events on until the stream is complete, the caller leaves, or nothing can go on with it.
async fn relay(
    mut progress: Progress<'_>,
    mut source: Source,
    first: Event,
    sender: mpsc::Sender<Result<Frame<Bytes>, BodyError>>,
) {
    let mut next = Next::Event(first);
    loop {
        let why = match next {
            Next::Event(event) => {
                progress.last = event.id.or(progress.last);
                source.path.record_event(progress.state.now());
                progress.say_held_up(&source.path);
                if sender.send(Ok(Frame::data(event.bytes))).await.is_err() {
                    return progress.gone();
                }
                next = tokio::select! {
                    next = progress.next(&mut source) => next,
                    () = sender.closed() => return progress.gone(),
                };
                continue;
            }
            Next::End => {
                progress.state.metrics.streamed(progress.call.arrived.elapsed());
                crash::completed(progress.state, progress.call);
                progress.state.note_lasting(progress.call.arrived.elapsed());
                return source.answer.finish();
            }
            Next::Silent(why) => {
                next = tokio::select! {
                    next = progress.outlast(&mut source, why) => next,
                    () = sender.closed() => return progress.gone(),
                };
                continue;
            }
            Next::Late => "time is up",
            Next::Broken(why) => why,
        };
        log::info!(
            "gateway: request={} path_broken={why} first={} last_event={:?} age={:?}",
            progress.call.id,
            source.path.first().server().id,
            progress.last,
            progress.call.arrived.elapsed()
        );
        progress.held_up = "resumed";
        progress.leave(&source);
        drop(source);
        let opened = tokio::select! {
            opened = progress.resume() => opened,
            () = sender.closed() => return progress.gone(),
        };
        match opened {
            Some((fresh, event)) => (source, next) = (fresh, Next::Event(event)),
            None => {
                progress.state.metrics.cut();
                log::warn!(
                    "gateway: request={} outcome=cut {}",
                    progress.call.id,
                    progress.ending()
                );
                // Ends the caller's connection without the mark of a complete body.
                let _ = sender.send(Err("the stream broke off".into())).await;
                return;
            }
        }
    }
}

impl Progress<'_> {
    fn gone(&self) {
        self.state.metrics.left();
        log::info!("gateway: request={} outcome=left {}", self.call.id, self.ending());
    }

    /// How far a stream has come that ends early, and what it waited for, for the log.
    fn ending(&self) -> String {
        format!(
            "last_event={:?} pause={:?} held_up={} tries={} ran={} broken={} obstacle={} unmended={} age={:?}",
            self.last,
            self.passed.elapsed(),
            self.held_up,
            self.tries,
            self.runs.len(),
            self.runs.iter().filter(|run| run.broken.is_some()).count(),
            self.obstacle.map_or_else(|| "none".to_owned(), |o| o.to_string()),
            self.unmended.map_or_else(|| "none".to_owned(), |u| u.to_string()),
            self.call.arrived.elapsed()
        )
    }

    /// Begins no other path at the first server of this one, which is given up.
    fn leave(&mut self, source: &Source) {
        let first = source.path.first();
        self.avoid(first);
        if source.broken {
            self.note_broken(first);
        }
    }

    /// Begins no other path at this server.
    fn avoid(&mut self, first: &Peer) {
        let id = first.server().id.clone();
        if !self.but.contains(&id) {
            self.but.push(id);
        }
    }

    /// Says of an event that comes late, or first on another path, what held it up.
    fn say_held_up(&mut self, path: &Path) {
        let pause = self.passed.elapsed();
        let late = pause > self.call.route.gap;
        if late || self.held_up != STEPS {
            log::info!(
                "gateway: request={} event={:?} late={late} pause={pause:?} why={} first={} path_length={}",
                self.call.id,
                self.last,
                self.held_up,
                path.first().server().id,
                path.hops.len()
            );
        }
        if late {
            self.state.metrics.late_event(self.held_up);
        }
        (self.passed, self.held_up) = (Instant::now(), STEPS);
        (self.obstacle, self.unmended) = (None, None);
    }
}

/// Passes over a server that declined a request, and tells the other routers. Not if its memory was nearly full a moment
/// ago: it may have room again by the time they hear of it.
fn note_declined(state: &State, peer: &Peer) {
    let now = state.now();
    let known = peer.declines.borrow().holds(now);
    peer.declines.borrow_mut().fail(now);
    let full = route::reported_fill(peer, now).is_some_and(|part| part > NEARLY_FULL);
    if !known && !full {
        state.announce(Notice::Declines { server: peer.server().id.clone() });
    }
}
