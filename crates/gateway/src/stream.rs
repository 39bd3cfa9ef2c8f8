//! Requests to a model: a stream of events from a path of servers, gone on with on another path
//! when a server of the first one dies.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};
use tokio_stream::wrappers::ReceiverStream;

use crate::answer::{self, Body, Cut, Reason};
use crate::event::{Event, Id, Splitter};
use crate::exchange::{self, Answer, Outcome};
use crate::plain;
use crate::probe;
use crate::request::Call;
use crate::route::{self, Path};
use crate::settings::Model;
use crate::state::State;

/// Paths tried for one request at most, counting those whose servers decline it.
const TRIES: u32 = 5;

/// Multiple of a stream's usual pause after which the servers of its path are asked whether they
/// live. With the time to ask and to read the prompt elsewhere, the next event then still comes on
/// time or shortly after it.
const SILENCE: f64 = 2.5;

/// Usual pause that is assumed before the first ones were measured.
const PAUSE: Duration = Duration::from_millis(30);

/// Weight of the newest pause in the mean.
const NEWEST: f64 = 0.2;

/// Part of the goal after which the servers of the path are asked, before the first event.
const SILENT_START: f64 = 0.5;

/// Shortest silence that is looked into: a pass over a full batch takes some 30 ms on the slowest
/// cards.
const SHORTEST: Duration = Duration::from_millis(55);

/// Silence after which another path is tried even though all servers of this one answer.
/// Callers leave after two seconds without an event; half of it is left for the new path.
const STUCK: Duration = Duration::from_millis(1000);

/// Pause between two looks for a path for a stream that has none.
const AGAIN: Duration = Duration::from_millis(60);

/// Time the first server of a path gets to take an order for another path.
const MEND: Duration = Duration::from_millis(150);

/// Pause between two looks at a silent path. What a server reports is some hundred milliseconds old.
const LOOK: Duration = Duration::from_millis(250);

/// Events on their way to one caller. A caller that does not read holds up its own stream only.
const AHEAD: usize = 64;

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
    /// Paths that count as having run it.
    ran: u32,
    /// Whether some server may have begun to run it.
    sent: bool,
    /// Last event that was handed on.
    last: Option<Id>,
    /// When it was handed on.
    passed: Instant,
    /// What happened since then that may have held the next event up.
    held_up: &'static str,
}

/// A path that is sending events.
struct Source {
    path: Path,
    answer: Box<Answer>,
    splitter: Splitter,
    began: Instant,
    /// Mean pause between two events.
    pause: Duration,
}

impl Source {
    fn measure(&mut self, pause: Duration) {
        self.pause = self.pause.mul_f64(1.0 - NEWEST) + pause.mul_f64(NEWEST);
    }
}

/// What came next on a path.
enum Next {
    Event(Event),
    /// The stream is complete.
    End,
    /// A server of the path does not answer.
    Lost,
    /// The path is broken or stuck.
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
        ran: 0,
        sent: false,
        last: None,
        passed: Instant::now(),
        held_up: "start",
    };
    let (mut source, first) = match progress.open().await {
        Ok(Opened::Stream(source, first)) => (source, first),
        Ok(Opened::Whole(answer)) => return answer,
        Err(reason) => return answer::own(reason),
    };
    let mut head = std::mem::replace(&mut source.answer.head, Response::new(()));
    // The connection's own fields decide later whether it is kept.
    source.answer.head.headers_mut().clone_from(head.headers());
    answer::strip(head.headers_mut());
    let (sender, receiver) = mpsc::channel::<Result<Frame<Bytes>, Cut>>(AHEAD);
    let (ran, but, tries) = (progress.ran, progress.but, progress.tries);
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
            ran,
            sent: true,
            last: None,
            passed: Instant::now(),
            held_up: "steps",
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
    sender: mpsc::Sender<Result<Frame<Bytes>, Cut>>,
) {
    let mut next = Next::Event(first);
    loop {
        let why = match next {
            Next::Event(event) => {
                progress.last = event.id.or(progress.last);
                progress.say_late(&source.path);
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
                progress.state.metrics.streamed(progress.call.came.elapsed());
                return source.answer.done();
            }
            Next::Late => "time is up",
            Next::Lost if progress.mend(&mut source).await => {
                next = tokio::select! {
                    next = progress.next(&mut source) => next,
                    () = sender.closed() => return progress.gone(),
                };
                continue;
            }
            Next::Lost => "a server of the path does not answer",
            Next::Broken(why) => why,
        };
        log::info!(
            "gateway: request={} path_broken={why} first={} last_event={:?} age={:?}",
            progress.call.id,
            source.path.first().server().id,
            progress.last,
            progress.call.came.elapsed()
        );
        progress.held_up = "resumed";
        // The old path stops work before the new one begins, and is not taken again.
        progress.but.push(source.path.first().server().id.clone());
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
                    "gateway: request={} outcome=cut last_event={:?}",
                    progress.call.id,
                    progress.last
                );
                // Ends the caller's connection without the mark of a complete body.
                let _ = sender.send(Err("the stream broke off".into())).await;
                return;
            }
        }
    }
}

/// What opening a path led to.
enum Opened {
    Stream(Source, Event),
    /// An answer that is no stream.
    Whole(Response<Body>),
}

impl Progress<'_> {
    fn gone(&self) {
        self.state.metrics.left();
        log::debug!("gateway: request={} outcome=left", self.call.id);
    }

    /// Whether something that may have run may run on another path.
    fn may_run_again(&self) -> bool {
        self.call.route.class.repeatable() && self.ran < self.call.route.attempts
    }

    /// Goes on after the last event on another path, for as long as the caller may still be there.
    async fn resume(&mut self) -> Option<(Source, Event)> {
        let until = (Instant::now() + STUCK).min(self.call.until);
        while self.may_run_again() && self.last.is_some() {
            match self.open().await {
                Ok(Opened::Stream(source, event)) => return Some((source, event)),
                Ok(Opened::Whole(_)) => return None,
                Err(reason) if Instant::now() >= until || self.tries >= TRIES => {
                    self.say_no_path(reason);
                    return None;
                }
                Err(_) => {}
            }
            // Layers that were just loaded, or memory that was given back, may open a path.
            let _ = tokio::time::timeout(AGAIN, self.state.changed.notified()).await;
        }
        None
    }

    /// Finds a path and waits for its first event; tries others while that is allowed.
    async fn open(&mut self) -> Result<Opened, Reason> {
        let mut reason = self.no_path();
        while self.tries < TRIES {
            let Some(path) = self.path() else {
                reason = self.no_path();
                if self.last.is_none() {
                    self.say_no_path(reason);
                }
                break;
            };
            if self.tries > 0 && !self.state.may_repeat(self.service) {
                log::info!("gateway: request={} repeat=false why=retry budget", self.call.id);
                break;
            }
            self.tries += 1;
            reason = match self.begin(path).await {
                Ok(opened) => return Ok(opened),
                Err(Failed::NotRun) if !self.sent => Reason::Full,
                Err(Failed::NotRun) => Reason::Lost,
                Err(Failed::Unknown) if self.may_run_again() => Reason::Lost,
                Err(Failed::Unknown) => return Err(Reason::Lost),
                Err(Failed::Late) => return Err(Reason::Late),
            };
        }
        Err(if self.sent && self.last.is_none() { Reason::Lost } else { reason })
    }

    /// Says once what stood in the way.
    fn say_no_path(&self, reason: Reason) {
        log::info!(
            "gateway: request={} no_path={reason} tries={} last_event={:?} {}",
            self.call.id,
            self.tries,
            self.last,
            route::explain(self.state, self.service, self.model, self.call.tokens, &self.but)
        );
    }

    /// Why there is no path. Memory that is full is free again sooner than lost layers are loaded.
    fn no_path(&self) -> Reason {
        match route::whole(self.state, self.service, self.model, &self.but) {
            true => Reason::Full,
            false if self.state.away.get() => Reason::NoPathAway,
            false => Reason::NoPath,
        }
    }

    fn path(&self) -> Option<Path> {
        let find = |but: &[String], willing| {
            route::find(self.state, self.service, self.model, self.call.tokens, but, willing)
        };
        // Servers that declined may take it after all, if there is no way without them.
        find(&self.but, true).or_else(|| find(&self.but, false))
    }

    /// Sends the request along a path and waits for the first event.
    async fn begin(&mut self, path: Path) -> Result<Opened, Failed> {
        let began = Instant::now();
        let peer = path.first().clone();
        let hops = path.hops.clone();
        let id = peer.server().id.clone();
        let outcome = {
            let fields = self.fields(&path, &id);
            let sending = exchange::send(self.state, &peer, self.call, fields, self.call.until);
            tokio::pin!(sending);
            let mut wait = self.call.route.goal.mul_f64(SILENT_START).max(SHORTEST);
            loop {
                let until = began + wait;
                tokio::select! {
                    outcome = &mut sending => break outcome,
                    () = tokio::time::sleep_until(until) => {}
                    () = self.state.lost.notified() => {}
                }
                let may_go = self.ran + 1 < self.call.route.attempts;
                if may_go && path.is_lost(self.state.now()) {
                    break Outcome::Unknown("a server of the path is suspected".to_owned());
                }
                if Instant::now() < until {
                    continue;
                }
                wait += LOOK;
                match self.look_into(&path).await {
                    true if may_go => {
                        break Outcome::Unknown("a server of the path does not answer".to_owned());
                    }
                    false if may_go && wait > STUCK => {
                        break Outcome::Unknown("no event for too long".to_owned());
                    }
                    _ => {}
                }
            }
        };
        match outcome {
            Outcome::Answer(answer) => {
                (self.ran, self.sent) = (self.ran + 1, true);
                self.first(path, answer, began).await
            }
            Outcome::NotSent(why) => {
                self.suspect(&peer, &why);
                Err(Failed::NotRun)
            }
            Outcome::NotRun(status, culprit) => {
                self.declined(&id, status, culprit);
                Err(Failed::NotRun)
            }
            Outcome::Unknown(why) => {
                self.sent = true;
                // A run begins with its first token, and none gets past a server that is lost.
                let lost = path.is_lost(self.state.now());
                self.ran += u32::from(!lost);
                log::info!(
                    "gateway: request={} first={id} outcome=unknown why={why} path={}",
                    self.call.id,
                    (self.state.codec.path)(&hops)
                );
                self.but.push(id);
                Err(Failed::Unknown)
            }
            Outcome::Late => Err(Failed::Late),
        }
    }

    /// Waits for the first event of an answer that began.
    async fn first(
        &mut self,
        path: Path,
        answer: Box<Answer>,
        began: Instant,
    ) -> Result<Opened, Failed> {
        let status = answer.head.status();
        let id = path.first().server().id.clone();
        if status != StatusCode::OK {
            let again = status.is_server_error() && self.may_run_again();
            let whole = answer.collect(self.call.until).await;
            log::info!(
                "gateway: request={} first={id} status={status} again={again}",
                self.call.id
            );
            return match whole {
                Some((head, body)) if !again => Ok(Opened::Whole(answer::whole(head, body))),
                _ => {
                    self.but.push(id);
                    Err(Failed::Unknown)
                }
            };
        }
        let mut source =
            Source { path, answer, splitter: Splitter::default(), began, pause: PAUSE };
        let mut next = self.next(&mut source).await;
        while matches!(next, Next::Lost) && self.mend(&mut source).await {
            next = self.next(&mut source).await;
        }
        match next {
            Next::Event(event) if self.follows(&event) => {
                self.state.metrics.first_event(source.began.elapsed());
                Ok(Opened::Stream(source, event))
            }
            Next::Event(_) | Next::End | Next::Lost | Next::Broken(_) => {
                self.but.push(id);
                Err(Failed::Unknown)
            }
            Next::Late => Err(Failed::Late),
        }
    }

    /// Has the request go on along another path from the same first server, which keeps the stream.
    /// Cheaper than a new run: only the new servers read the tokens so far, and the caller's pause
    /// is shorter by that.
    async fn mend(&mut self, source: &mut Source) -> bool {
        let size = self.call.tokens;
        let found = route::mend(self.state, self.service, self.model, size, &source.path);
        let Some(path) = found else { return false };
        let ask = (self.state.codec.repath)(&self.call.id, &path.hops);
        let answer = probe::ask(path.first(), ask, MEND).await;
        let done = answer.as_ref().is_ok_and(|(status, _)| status.is_success());
        log::info!(
            "gateway: request={} repath={done} first={} answer={:?} last_event={:?}",
            self.call.id,
            path.first().server().id,
            answer.map(|(status, _)| status),
            self.last
        );
        if done {
            source.path = path;
            self.held_up = "repath";
        }
        done
    }

    /// Says of an event that comes late what held it up.
    fn say_late(&mut self, path: &Path) {
        let pause = self.passed.elapsed();
        if pause > self.call.route.gap {
            log::info!(
                "gateway: request={} late_event={:?} pause={pause:?} why={} first={} path_length={}",
                self.call.id,
                self.last,
                self.held_up,
                path.first().server().id,
                path.hops.len()
            );
            self.state.metrics.late_event(self.held_up);
        }
        (self.passed, self.held_up) = (Instant::now(), "steps");
    }

    /// Whether an event may come after those that the caller has. Ids rise within a stream.
    fn follows(&self, event: &Event) -> bool {
        match (self.last, event.id) {
            (Some(last), Some(id)) => id == last + 1,
            (Some(_), None) => false,
            (None, _) => true,
        }
    }

    /// The next event of a path.
    async fn next(&mut self, source: &mut Source) -> Next {
        let mut since = Instant::now();
        let mut wait = source.pause.mul_f64(SILENCE).max(SHORTEST);
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
            match timeout_at((since + wait).min(self.call.until), source.answer.body.frame()).await
            {
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
                Err(_) if wait >= STUCK && self.may_run_again() => {
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

    /// Asks all servers of a silent path whether they live, and the first one whom it waits for;
    /// true if some server is found to be at fault.
    async fn look_into(&mut self, path: &Path) -> bool {
        let dead = probe::ask_all(self.state, &path.peers).await;
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

    fn suspect(&self, peer: &Rc<crate::peer::Peer>, why: &str) {
        probe::suspect(self.state, peer, why);
    }

    /// A path declined the request: some part of it is dead, leaving, full or has other layers.
    fn declined(&mut self, first: &str, status: StatusCode, culprit: Option<std::net::SocketAddr>) {
        let culprit = culprit.and_then(|address| self.state.at(address));
        log::info!(
            "gateway: request={} first={first} declined status={status} culprit={:?}",
            self.call.id,
            culprit.as_ref().map(|p| p.server().id.clone())
        );
        match culprit {
            Some(peer) => {
                self.but.push(peer.server().id.clone());
                peer.declines.borrow_mut().fail(self.state.now());
                // If it is dead rather than full, the streams that pass through it are helped at once.
                let state = self.state.clone();
                tokio::task::spawn_local(async move {
                    for dead in probe::ask_all(&state, &[peer]).await {
                        probe::suspect(&state, &dead, "no answer to a probe");
                    }
                });
            }
            None => {
                if let Some(peer) = self.state.peer(first) {
                    peer.declines.borrow_mut().fail(self.state.now());
                }
                self.but.push(first.to_owned());
            }
        }
    }

    fn fields(&self, path: &Path, id: &str) -> hyper::HeaderMap {
        let names = &self.state.codec.names;
        let mut fields = plain::fields(self.state, self.call, id);
        let text = (self.state.codec.path)(&path.hops);
        fields.insert(&names.path, HeaderValue::from_str(&text).expect("addresses and digits"));
        // A stream that was broken off is already late; its caller leaves if it waits behind new ones.
        let rank = if self.last.is_some() { 0 } else { self.call.rank.max(1) };
        fields.insert(&names.rank, HeaderValue::from(u16::from(rank)));
        if let Some(last) = self.last {
            fields.insert(&names.last_event, HeaderValue::from(last));
        }
        fields
    }
}

/// Why a path gave no stream.
enum Failed {
    NotRun,
    Unknown,
    Late,
}
