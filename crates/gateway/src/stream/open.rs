//! Finding a path for a request, and waiting for its first event.

use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use policy::window::Need;
use tokio::sync::SemaphorePermit;
use tokio::time::{Instant, timeout};

use super::{LOOK, Next, Obstacle, PAUSE, Progress, SHORTEST, STUCK, Source, note_declined};
use crate::answer::{self, Body, Reason};
use crate::count::Counted;
use crate::crash;
use crate::event::{Event, Splitter};
use crate::exchange::{self, Answer, Outcome};
use crate::limited;
use crate::plain;
use crate::probe;
use crate::repeats;
use crate::route::{self, Crossing, Path};

/// Paths tried for one request at most, counting those whose servers decline it.
const TRIES: u32 = 5;

/// Part of the goal after which the servers of the path are asked, before the first event.
const SILENT_START: f64 = 0.5;

/// Pause between two looks for a path.
const AGAIN: Duration = Duration::from_millis(60);

/// Requests of one router that wait for a place.
const WAITING: u32 = 3;

/// Part of the goal for which a new request waits for a place; the rest is for its first event.
const PLACE: f64 = 0.5;

/// What opening a path led to.
pub(super) enum Opened {
    Stream(Source, Event),
    /// An answer that is no stream.
    Whole(Response<Body>),
}

/// What came first while another path was looked for beside one that is silent.
pub(super) enum Beside<T> {
    /// This came along the silent path.
    Kept(T),
    /// Another path has sent an event.
    Other(Box<Source>, Event),
    /// There is no other path now.
    Neither,
}

/// Why a path gave no stream.
enum Failed {
    NotRun,
    Unknown,
    Late,
}

impl<T> From<(Source, Event)> for Beside<T> {
    fn from((source, event): (Source, Event)) -> Beside<T> {
        Beside::Other(Box::new(source), event)
    }
}

impl<'a> Progress<'a> {
    /// Waits until it may be sent, beside no other suspect if servers have ended under it.
    async fn admit(&mut self) -> Result<Option<SemaphorePermit<'a>>, Reason> {
        let begun = self.last.is_some();
        // What has begun is not held up: it is unlikely to be at fault, and its caller sees the pause.
        if let Some(looked) = self.looked.take().filter(|_| !begun) {
            let _ = timeout(crash::KNOWN, looked).await;
        }
        crash::admit(self.state, self.call, begun).await
    }
}

impl Progress<'_> {
    /// Goes on after the last event on another path, for as long as the caller may still be there.
    pub(super) async fn resume(&mut self) -> Option<(Source, Event)> {
        while self.last.is_some() && self.may_run_again().await {
            match self.open().await {
                Ok(Opened::Stream(source, event)) => return Some((source, event)),
                Ok(Opened::Whole(_)) => return None,
                Err(reason)
                    if Instant::now() >= self.call.deadline
                        || self.tries >= TRIES
                        || reason == Reason::Crashes =>
                {
                    self.say_no_path(reason);
                    return None;
                }
                Err(_) => {}
            }
            // Layers that were just loaded, or memory that was given back, may open a path.
            let _ = timeout(AGAIN, self.state.changed.notified()).await;
        }
        self.obstacle = Some(Obstacle::Attempts);
        None
    }

    /// Looks once for another path while what comes along the silent one is awaited in `kept`; `ends` tells of
    /// what came whether nothing more will.
    ///
    /// A silent path may live: its servers stood still, or this router did. It is kept until another one has
    /// sent an event. If it were left for a path that is only looked for, or that then declines, its
    /// caller would get half a text, or none, though the whole one was on its way.
    pub(super) async fn beside<T>(
        &mut self,
        kept: impl Future<Output = T>,
        ends: impl Fn(&T) -> bool,
    ) -> Beside<T> {
        self.kept = true;
        let found = {
            let mut another = self.another();
            tokio::select! {
                biased;
                came = kept => match ends(&came) {
                    true => another.await.map_or(Beside::Kept(came), Beside::from),
                    false => Beside::Kept(came),
                },
                found = &mut another => found.map_or(Beside::Neither, Beside::from),
            }
        };
        self.kept = false;
        found
    }

    /// Another path and its first event; none, after a short wait, if there is no other way now.
    fn another(&mut self) -> LocalBoxFuture<'_, Option<(Source, Event)>> {
        Box::pin(async {
            match self.may_run_again().await {
                true => match self.open().await {
                    Ok(Opened::Stream(source, event)) => return Some((source, event)),
                    Ok(Opened::Whole(_)) | Err(_) => {}
                },
                false => self.obstacle = Some(Obstacle::Attempts),
            }
            let _ = timeout(AGAIN, self.state.changed.notified()).await;
            None
        })
    }

    /// Finds a path and waits for its first event; tries others while that is allowed.
    pub(super) async fn open(&mut self) -> Result<Opened, Reason> {
        let mut reason = None;
        let until = self.call.arrived + self.call.route.goal.mul_f64(PLACE);
        while self.tries < TRIES {
            let _alone = match self.admit().await {
                Ok(alone) => alone,
                Err(refused) => {
                    self.obstacle = Some(Obstacle::Crashes);
                    reason = Some(refused);
                    break;
                }
            };
            let Some(path) = self.place(until).await else {
                let none = self.no_path();
                self.obstacle = Some(Obstacle::Path(none));
                if self.last.is_none() && !self.kept {
                    self.say_no_path(none);
                }
                reason = Some(none);
                break;
            };
            let again = self.tries > 0;
            // A repeat that meets a dead server is lost, and the next one may be one too many.
            if again && self.may_find_repeat() && self.look_and_borrow(&path).await {
                continue;
            }
            if again && !repeats::take(self.state, self.service, self.need()) {
                self.obstacle = Some(Obstacle::Budget);
                // A stream that waits for another path looks for it many times a second.
                if self.last.is_none() && !self.kept {
                    log::info!("gateway: request={} repeat=false why=retry budget", self.call.id);
                }
                break;
            }
            // Another request may have used the last permit meanwhile.
            if !path.first().limited.take(self.state.now()) {
                continue;
            }
            self.tries += 1;
            reason = Some(match self.begin(path).await {
                Ok(opened) => return Ok(opened),
                Err(Failed::NotRun) if self.sent == 0 => Reason::Full,
                Err(Failed::NotRun) => Reason::Lost,
                Err(Failed::Unknown) if self.may_run_again().await => Reason::Lost,
                Err(Failed::Unknown) => return Err(Reason::Lost),
                Err(Failed::Late) => return Err(Reason::Late),
            });
        }
        Err(match reason {
            _ if self.sent > 0 && self.last.is_none() => Reason::Lost,
            Some(reason) => reason,
            None => self.no_path(),
        })
    }

    /// What a repeat is for.
    fn need(&self) -> Need {
        if self.last.is_some() { Need::Begun } else { Need::New }
    }

    /// Whether there may be a repeat, here or at another router.
    fn may_find_repeat(&self) -> bool {
        repeats::has(self.state, self.service, self.need())
            || repeats::may_borrow(self.state, self.service, self.need())
    }

    /// Asks the servers of a path whether they live, and other routers for a repeat meanwhile if there is none here;
    /// true if some server is found to be at fault.
    async fn look_and_borrow(&mut self, path: &Path) -> bool {
        let borrowed = repeats::borrow(self.state, self.service, self.need());
        tokio::join!(self.look_into(path), borrowed).0
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

    fn no_path(&self) -> Reason {
        route::no_path_reason(self.state, self.service, self.model, &self.but)
    }

    /// A path; a new request waits for one until then if the servers are only full.
    ///
    /// Load pattern: a data centre runs near its limit, and a place is free again every few milliseconds. A request
    /// that is refused comes back a second or more later, so that even if it is then served, it is late. Where
    /// many wait, few of them would get a place in time, so the rest are refused at once.
    async fn place(&self, until: Instant) -> Option<Path> {
        let now = self.state.now();
        limited::ask(self.state, self.service, |peer| route::holds_first_layer(peer, now)).await;
        let path = self.path();
        if path.is_some() || self.last.is_some() || self.state.placeless.get() >= WAITING {
            return path;
        }
        let _waits = Counted::new(&self.state.placeless);
        loop {
            let path = self.path();
            let late = Instant::now() + AGAIN >= until;
            if path.is_some() || late || self.no_path() != Reason::Full {
                return path;
            }
            let _ = timeout(AGAIN, self.state.changed.notified()).await;
        }
    }

    /// A path; one across links between data centres only where there is no other, and for a new request only as far as
    /// the links carry what all routers send.
    fn path(&self) -> Option<Path> {
        let avoiding = |but: &[String], willing, crosses| {
            let tokens = self.call.tokens;
            route::find(self.state, self.service, self.model, tokens, but, willing, crosses)
        };
        let find = |willing, crosses| avoiding(&self.but, willing, crosses);
        // Few runs are allowed: none is spent on a server that has just broken one off, if there is another way.
        let wary = match self.runs.is_empty() {
            true => None,
            false => avoiding(&self.but_breaking(), true, false),
        };
        let crossing = |willing| {
            let path = find(willing, true)?;
            let wants = !self.wants_link.replace(true);
            let new = self.last.is_none() && self.tries == 0;
            (!new || path.may_cross(self.state, self.luck, wants)).then_some(path)
        };
        let willing = wary.or_else(|| find(true, false)).or_else(|| crossing(true));
        // Servers that declined may take it after all, if there is no way without them. A new request is refused: most
        // are declined again, and then sent elsewhere out of the retry budget.
        match self.last {
            Some(_) => willing.or_else(|| find(false, false)).or_else(|| crossing(false)),
            None => willing,
        }
    }

    /// Servers that are not asked again, and those that have just broken off a run of any request.
    fn but_breaking(&self) -> Vec<String> {
        let now = self.state.now();
        let peers = self.state.of(self.service);
        let broke = peers.iter().filter(|p| p.broke_recently(now)).map(|p| p.server().id.clone());
        self.but.iter().cloned().chain(broke).collect()
    }

    /// Sends the request along a path and waits for the first event.
    async fn begin(&mut self, mut path: Path) -> Result<Opened, Failed> {
        let began = Instant::now();
        path.charge(self.state);
        let peer = path.first().clone();
        let hops = path.hops.clone();
        let id = peer.server().id.clone();
        self.note_run(&peer);
        self.sent += 1;
        let outcome = {
            let (state, call) = (self.state, self.call);
            let (need, fields) = (self.need(), self.fields(&path, &id));
            let sending = exchange::send(state, &peer, call, need, fields, call.deadline);
            tokio::pin!(sending);
            let mut wait = self.call.route.goal.mul_f64(SILENT_START).max(SHORTEST);
            let mut silent = false;
            loop {
                let until = began + wait;
                if !silent {
                    tokio::select! {
                        outcome = &mut sending => break outcome,
                        () = tokio::time::sleep_until(until) => {}
                        () = self.state.lost.notified() => {}
                    }
                }
                let due = Instant::now() >= until;
                if due {
                    wait += LOOK;
                    self.look_into(&path).await;
                }
                let lost = path.is_suspected(self.state.now());
                // Servers that stay on the path need not read the prompt again, and it is no repeat.
                if lost && (due || !silent) && self.mend(&mut path, Crossing::IMMEDIATE).await {
                    silent = false;
                    continue;
                }
                silent = (lost || wait > STUCK) && self.may_run_again().await;
                if !silent {
                    continue;
                }
                self.avoid(&peer);
                let ends = |outcome: &Outcome| !matches!(outcome, Outcome::Answer(_));
                match self.beside(&mut sending, ends).await {
                    Beside::Kept(outcome) => break outcome,
                    Beside::Other(source, event) => return Ok(Opened::Stream(*source, event)),
                    Beside::Neither => {}
                }
            }
        };
        match outcome {
            Outcome::Answer(answer) => self.first(path, answer, began).await,
            Outcome::NotSent(why) => {
                self.forget_run(&peer);
                self.sent -= 1;
                self.suspect(&peer, &why);
                Err(Failed::NotRun)
            }
            Outcome::NotRun(status, culprit) => {
                self.forget_run(&peer);
                self.sent -= 1;
                self.declined(&id, status, culprit);
                Err(Failed::NotRun)
            }
            Outcome::Unknown(why) => {
                // The first server may have begun it, whatever happened to those after it.
                self.note_broken(&peer);
                log::info!(
                    "gateway: request={} first={id} outcome=unknown why={why} path={}",
                    self.call.id,
                    (self.state.codec.path)(&hops)
                );
                self.avoid(&peer);
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
        let first = path.first().clone();
        if status != StatusCode::OK {
            let again = status.is_server_error() && self.may_run_again().await;
            let whole = answer.collect(self.call.deadline).await;
            if whole.is_some() {
                crash::completed(self.state, self.call);
            }
            log::info!(
                "gateway: request={} first={} status={status} again={again}",
                self.call.id,
                first.server().id
            );
            return match whole {
                Some((head, body)) if !again => Ok(Opened::Whole(answer::from_server(head, body))),
                _ => {
                    self.avoid(&first);
                    Err(Failed::Unknown)
                }
            };
        }
        let splitter = Splitter::default();
        let (pause, since) = (PAUSE, began);
        let mut source = Source { path, answer, splitter, began, pause, since, broken: false };
        let mut next = self.next(&mut source).await;
        while let Next::Silent(why) = next {
            next = self.outlast(&mut source, why).await;
        }
        match next {
            Next::Event(event) => {
                self.state.metrics.first_event(source.began.elapsed());
                source.path.first().count_continued();
                crash::reached(self.state, self.call, event.id.map_or(1, |id| id + 1));
                Ok(Opened::Stream(source, event))
            }
            Next::Late => Err(Failed::Late),
            Next::End | Next::Silent(_) | Next::Broken(_) => {
                self.leave(&source);
                Err(Failed::Unknown)
            }
        }
    }

    /// A path declined the request: some part of it is dead, leaving, full or has other layers.
    fn declined(&mut self, first: &str, status: StatusCode, culprit: Option<std::net::SocketAddr>) {
        let culprit = culprit.and_then(|address| self.state.at(address));
        log::info!(
            "gateway: request={} first={first} declined status={status} culprit={:?} new={} believed={}",
            self.call.id,
            culprit.as_ref().map(|p| p.server().id.clone()),
            self.last.is_none(),
            culprit.as_ref().map_or_else(String::new, |p| route::describe(p, self.state.now()))
        );
        match culprit {
            Some(peer) => {
                self.but.push(peer.server().id.clone());
                note_declined(self.state, &peer);
                // If it is dead rather than full, the streams that pass through it are helped at once.
                let state = self.state.clone();
                tokio::task::spawn_local(async move {
                    for dead in probe::find_silent(&state, &[peer]).await {
                        probe::suspect(&state, &dead, "no answer to a probe");
                    }
                });
            }
            None => {
                if let Some(peer) = self.state.peer(first) {
                    note_declined(self.state, &peer);
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
