//! Requests whose content ends the servers that run them: what this router sees of them, what routers tell each other, and
//! what is refused.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use policy::crash::{Fingerprint, GATHER, List, Loss, News, Start, Verdict};
use tokio::sync::{Notify, Semaphore, SemaphorePermit};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::answer::{self, Body, Reason};
use crate::clock;
use crate::content;
use crate::logging::{LOSSES, Line};
use crate::notice::Notice;
use crate::peer::Peer;
use crate::probe;
use crate::request::Call;
use crate::state::State;

/// Longest time that a suspect waits for others that run alone. Its caller leaves if it takes much longer.
const WAIT: Duration = Duration::from_millis(400);

/// Time in which losses are gathered before it is looked what others are told.
const BATCH: Duration = Duration::from_millis(20);

/// Longest time until others are told again of what is refused.
const LOOK: Duration = Duration::from_millis(500);

/// The same where nothing is known of any request.
const IDLE: Duration = Duration::from_secs(3600);

/// Longest time that a request which has not begun waits until it is known whether its server has ended.
pub const KNOWN: Duration = Duration::from_millis(50);

/// What a router knows of such requests.
#[derive(Debug)]
pub struct Crashes {
    list: RefCell<List>,
    /// Held by the suspect that runs alone.
    alone: Semaphore,
    /// Woken when there is something to tell.
    news: Notify,
    refused: Cell<u64>,
    lost: Cell<u64>,
}

impl Default for Crashes {
    fn default() -> Crashes {
        let (list, alone, news) = (RefCell::default(), Semaphore::new(1), Notify::new());
        Crashes { list, alone, news, refused: Cell::default(), lost: Cell::default() }
    }
}

/// How a fingerprint is written.
pub fn show(fingerprint: Fingerprint) -> String {
    format!("{fingerprint:016x}")
}

/// Reads a fingerprint.
pub fn read(text: &str) -> Option<Fingerprint> {
    Fingerprint::from_str_radix(text, 16).ok()
}

/// What may be done with a request.
pub fn verdict(state: &State, call: &Call) -> Verdict {
    let verdict = state.crashes.list.borrow_mut().verdict(call.content, state.now());
    if matches!(verdict, Verdict::Refused { .. }) {
        state.crashes.news.notify_one();
    }
    verdict
}

/// Whether a request is not sent now.
pub fn is_stopped(state: &State, call: &Call) -> bool {
    matches!(verdict(state, call), Verdict::Refused { .. } | Verdict::Later { .. })
}

/// The answer to a request that is not sent; none if it may be.
pub fn refuse(state: &State, call: &Call) -> Option<Response<Body>> {
    let left = match verdict(state, call) {
        Verdict::Refused { left } | Verdict::Later { left } => left,
        Verdict::Clear | Verdict::Alone => return None,
    };
    state.crashes.refused.set(state.crashes.refused.get() + 1);
    Some(answer::error_after(Reason::Crashes, Some(left)))
}

/// Waits until a request may be sent, beside no other suspect if it is one; whether it may at all. One that has `begun` to
/// send events goes on unless it is refused for good.
pub async fn admit<'a>(
    state: &'a State,
    call: &Call,
    begun: bool,
) -> Result<Option<SemaphorePermit<'a>>, Reason> {
    let permit = match verdict(state, call) {
        Verdict::Alone if !begun => {
            timeout(WAIT, state.crashes.alone.acquire()).await.ok().and_then(Result::ok)
        }
        _ => None,
    };
    match verdict(state, call) {
        Verdict::Refused { .. } => Err(Reason::Crashes),
        Verdict::Later { .. } if !begun => Err(Reason::Crashes),
        _ => Ok(permit),
    }
}

/// Notes that the connection broke over which a request ran; `events` of its answer had come in all. The handle ends when it
/// is known whether the server has ended.
pub fn note_broken(state: &Rc<State>, call: &Call, peer: &Rc<Peer>, events: u64) -> JoinHandle<()> {
    let (content, description) = (call.content, content::description(&state.codec.names, call));
    let (id, bytes, workspace) = (call.id.clone(), call.size(), call.workspace.clone());
    let (server, at) = (peer.server(), state.now());
    let news = peer.record_break(at);
    let (state, peer) = (state.clone(), peer.clone());
    spawn_local(async move {
        let ended = probe::refuses_connections(&peer).await;
        state.metrics.run_broken(ended);
        if let Line::Written(left_out) = state.losses.borrow_mut().take(state.now(), LOSSES) {
            log::info!(
                "gateway: request={id} run=broken server={} server_ended={ended} events={events} content={} \
                 description={} bytes={bytes} workspace={} lines_left_out={left_out}",
                server.id,
                show(content),
                show(description),
                workspace.as_deref().unwrap_or("none"),
            );
        }
        if ended {
            let start = Start { id: server.id.clone(), born: server.born };
            return lose(&state, content, Loss { start, at, events }, false);
        }
        if news {
            state.announce(Notice::Broke { server: server.id.clone() });
        }
        if peer.count_break(state.now()) {
            log::warn!(
                "gateway: server={} passed_over=true why=it breaks off what it runs",
                server.id
            );
            state.announce(Notice::Declines { server: server.id.clone() });
        }
    })
}

fn lose(state: &State, content: Fingerprint, loss: Loss, heard: bool) {
    let crashes = &state.crashes;
    crashes.lost.set(crashes.lost.get() + u64::from(!heard));
    crashes.list.borrow_mut().lost(content, loss, heard);
    if !heard {
        crashes.news.notify_one();
    }
}

/// Looks whether a server that does not answer has ended.
pub fn note_silent(state: &Rc<State>, peer: &Rc<Peer>) {
    let (state, peer, server) = (state.clone(), peer.clone(), peer.server());
    spawn_local(async move {
        if probe::refuses_connections(&peer).await {
            let start = Start { id: server.id.clone(), born: server.born };
            state.crashes.list.borrow_mut().ended(start, state.now());
        }
    });
}

/// Notes that a run of a request got so many events.
pub fn reached(state: &State, call: &Call, events: u64) {
    state.crashes.list.borrow_mut().reached(call.content, events);
}

/// Notes that a request came to its end.
pub fn completed(state: &State, call: &Call) {
    state.crashes.list.borrow_mut().completed(call.content, state.now());
}

/// Hears of runs that ended with their server some time ago.
pub fn hear_lost(state: &State, start: &Start, ago: Duration, runs: &[(String, u64)]) {
    let at = state.now().saturating_sub(ago);
    for (content, events) in runs {
        let loss = Loss { start: start.clone(), at, events: *events };
        read(content).into_iter().for_each(|content| lose(state, content, loss.clone(), true));
    }
}

/// Hears that requests are not at fault.
pub fn hear_cleared(state: &State, contents: &[String]) {
    let mut list = state.crashes.list.borrow_mut();
    contents.iter().filter_map(|c| read(c)).for_each(|content| list.clear(content, state.now()));
}

/// Hears that a request is refused until then, by the wall clock in milliseconds.
pub fn hear_refused(state: &State, content: &str, until_ms: u64, servers: u32) {
    let left = Duration::from_millis(until_ms).saturating_sub(clock::wall());
    let mut list = state.crashes.list.borrow_mut();
    read(content)
        .into_iter()
        .for_each(|content| list.refuse(content, left, servers, state.now(), rand::random()));
    state.crashes.news.notify_one();
}

/// Lets a request run again; whether it was known.
pub fn lift(state: &State, content: &str) -> bool {
    let known = read(content)
        .is_some_and(|content| state.crashes.list.borrow_mut().lift(content, state.now()));
    log::warn!("gateway: quarantine content={content} lifted={known} why=an operator says so");
    state.crashes.news.notify_one();
    known
}

/// Tells the other routers, as long as the process runs.
pub async fn tell(state: Rc<State>) {
    let mut wait = IDLE;
    loop {
        let woken = timeout(wait, state.crashes.news.notified()).await.is_ok();
        sleep(BATCH).await;
        let now = state.now();
        let news = state.crashes.list.borrow_mut().news(now, rand::random());
        wait = match state.crashes.list.borrow().counts(now) {
            // What is not told yet is due by then.
            _ if woken => GATHER,
            (0, _) => IDLE,
            _ => LOOK,
        };
        notices(news, now).into_iter().for_each(|notice| {
            if let Notice::Refused { content, servers, until_ms } = &notice {
                log::warn!(
                    "gateway: quarantine content={content} servers_ended={servers} until_ms={until_ms}"
                );
            }
            state.announce(notice);
        });
    }
}

fn notices(news: News, now: Duration) -> Vec<Notice> {
    let mut all: Vec<Notice> = Vec::new();
    let mut lost = news.lost;
    lost.sort_by(|(_, a), (_, b)| a.start.cmp(&b.start));
    for runs in lost.chunk_by(|(_, a), (_, b)| a.start == b.start) {
        let loss = &runs[0].1;
        all.push(Notice::Ended {
            server: loss.start.id.clone(),
            born: loss.start.born,
            ago_ms: now.saturating_sub(loss.at).as_millis() as u64,
            runs: runs.iter().map(|(content, loss)| (show(*content), loss.events)).collect(),
        });
    }
    for refused in [false, true] {
        let some = news.cleared.iter().filter(|(_, was)| *was == refused);
        let contents: Vec<String> = some.map(|(content, _)| show(*content)).collect();
        if !contents.is_empty() {
            all.push(Notice::Cleared { contents, refused });
        }
    }
    for (content, left, servers) in news.refused {
        let until_ms = (clock::wall() + left).as_millis() as u64;
        all.push(Notice::Refused { content: show(content), until_ms, servers });
    }
    all
}

/// Lines for the metrics.
pub fn page(state: &State) -> String {
    let crashes = &state.crashes;
    let (suspects, refused) = crashes.list.borrow().counts(state.now());
    format!(
        "hyssop_crash_suspects {suspects}\nhyssop_quarantined {refused}\n\
         hyssop_quarantine_refusals_total {}\nhyssop_runs_lost_total {}\n",
        crashes.refused.get(),
        crashes.lost.get()
    )
}

/// What is refused or suspected and why, a line each.
pub fn quarantine(state: &State) -> String {
    let now = state.now();
    let entries = state.crashes.list.borrow_mut().entries(now);
    let line = |entry: &policy::crash::Entry| {
        let last = entry.last.as_ref().map_or_else(
            || "last=unknown".to_owned(),
            |loss| {
                let ago = now.saturating_sub(loss.at);
                format!("last={} ago={ago:?} events={}", loss.start.id, loss.events)
            },
        );
        format!(
            "content={} verdict={:?} servers_ended={} {last}\n",
            show(entry.fingerprint),
            entry.verdict,
            entry.servers
        )
    };
    entries.iter().map(line).collect()
}
