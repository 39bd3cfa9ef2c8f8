//! Requests whose content crashes the servers that run them: records the losses, exchanges them with other routers, and
//! refuses requests that are at fault.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use policy::crash::{FIRST_LOSS_DELAY, Fingerprint, List, Loss, Start, Update, Verdict};
use tokio::sync::{Notify, Semaphore, SemaphorePermit};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::answer::{self, Body, Reason};
use crate::clock;
use crate::content;
use crate::logging::{Line, MAX_BROKEN_RUN_LINES_PER_S};
use crate::notice::Notice;
use crate::peer::Peer;
use crate::probe;
use crate::request::Call;
use crate::state::State;

/// Longest time that a suspect request waits for others that run alone. After a much longer wait, its caller would have
/// left.
const MAX_ALONE_WAIT: Duration = Duration::from_millis(400);

/// Time in which losses are gathered before other routers are notified.
const GATHER_DELAY: Duration = Duration::from_millis(20);

/// Longest time between two checks for due notifications while requests are suspected or refused.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time between these checks while no request is suspected or refused.
const IDLE_INTERVAL: Duration = Duration::from_secs(3600);

/// Longest time that a request whose answer has not begun waits for the result of the probe of its server.
pub const PROBE_WAIT: Duration = Duration::from_millis(50);

/// Requests that are suspected or refused, and counts of them.
#[derive(Debug)]
pub struct Crashes {
    list: RefCell<List>,
    /// Held by the suspect that runs alone.
    alone: Semaphore,
    /// Notified when there may be something to send to other routers.
    changed: Notify,
    refused: Cell<u64>,
    lost: Cell<u64>,
}

impl Default for Crashes {
    fn default() -> Crashes {
        let (list, alone, changed) = (RefCell::default(), Semaphore::new(1), Notify::new());
        Crashes { list, alone, changed, refused: Cell::default(), lost: Cell::default() }
    }
}

/// Formats a fingerprint as 16 hexadecimal digits.
pub fn format_fingerprint(fingerprint: Fingerprint) -> String {
    format!("{fingerprint:016x}")
}

/// Parses a fingerprint from hexadecimal digits.
pub fn parse_fingerprint(text: &str) -> Option<Fingerprint> {
    Fingerprint::from_str_radix(text, 16).ok()
}

/// Returns the current verdict on a request.
pub fn verdict(state: &State, call: &Call) -> Verdict {
    let verdict = state.crashes.list.borrow_mut().verdict(call.content, state.now());
    if matches!(verdict, Verdict::Refused { .. }) {
        state.crashes.changed.notify_one();
    }
    verdict
}

/// Whether a request may not be sent now.
pub fn is_blocked(state: &State, call: &Call) -> bool {
    matches!(verdict(state, call), Verdict::Refused { .. } | Verdict::Later { .. })
}

/// Returns the response to a request that may not be sent. None if it may be.
pub fn refuse(state: &State, call: &Call) -> Option<Response<Body>> {
    let left = match verdict(state, call) {
        Verdict::Refused { left } | Verdict::Later { left } => left,
        Verdict::Clear | Verdict::Alone => return None,
    };
    state.crashes.refused.set(state.crashes.refused.get() + 1);
    Some(answer::error_after(Reason::Crashes, Some(left)))
}

/// Waits until a request may be sent: a suspect waits up to `MAX_ALONE_WAIT` for others that run alone, and then holds
/// the permit. Fails if the request is refused. One whose answer has `begun` continues unless it is in quarantine.
pub async fn admit<'a>(
    state: &'a State,
    call: &Call,
    begun: bool,
) -> Result<Option<SemaphorePermit<'a>>, Reason> {
    let permit = match verdict(state, call) {
        Verdict::Alone if !begun => {
            timeout(MAX_ALONE_WAIT, state.crashes.alone.acquire()).await.ok().and_then(Result::ok)
        }
        _ => None,
    };
    match verdict(state, call) {
        Verdict::Refused { .. } => Err(Reason::Crashes),
        Verdict::Later { .. } if !begun => Err(Reason::Crashes),
        _ => Ok(permit),
    }
}

/// Records that the connection broke over which a request ran, after `events` events of its answer in all. The task
/// ends when the probe has shown whether the server has ended.
pub fn record_broken_run(
    state: &Rc<State>,
    call: &Call,
    peer: &Rc<Peer>,
    events: u64,
) -> JoinHandle<()> {
    let (content, description) = (call.content, content::description(&state.codec.names, call));
    let (id, bytes, workspace) = (call.id.clone(), call.size(), call.workspace.clone());
    let parts = content::describe_parts(&state.codec, call);
    let (server, at) = (peer.server(), state.now());
    let announce = peer.record_break(at);
    let (state, peer) = (state.clone(), peer.clone());
    spawn_local(async move {
        let ended = probe::refuses_connections(&peer).await;
        state.metrics.run_broken(ended);
        if let Line::Written(left_out) =
            state.broken_run_lines.borrow_mut().take(state.now(), MAX_BROKEN_RUN_LINES_PER_S)
        {
            log::info!(
                "gateway: request={id} run=broken server={} server_ended={ended} events={events} content={} \
                 description={} parts={parts} bytes={bytes} workspace={} lines_left_out={left_out}",
                server.id,
                format_fingerprint(content),
                format_fingerprint(description),
                workspace.as_deref().unwrap_or("none"),
            );
        }
        if ended {
            let start = Start { id: server.id.clone(), born: server.born };
            return record_loss(&state, content, Loss { start, at, events }, false);
        }
        if announce {
            state.announce(Notice::Broke { server: server.id.clone() });
        }
        if peer.count_break(state.now()) {
            log::warn!(
                "gateway: server={} passed_over=true why=its runs break repeatedly",
                server.id
            );
            state.announce(Notice::Declines { server: server.id.clone() });
        }
    })
}

fn record_loss(state: &State, content: Fingerprint, loss: Loss, remote: bool) {
    let crashes = &state.crashes;
    crashes.lost.set(crashes.lost.get() + u64::from(!remote));
    crashes.list.borrow_mut().record_loss(content, loss, remote);
    if !remote {
        crashes.changed.notify_one();
    }
}

/// Probes whether a server that does not answer has ended.
pub fn check_silent_server(state: &Rc<State>, peer: &Rc<Peer>) {
    let (state, peer, server) = (state.clone(), peer.clone(), peer.server());
    spawn_local(async move {
        if probe::refuses_connections(&peer).await {
            let start = Start { id: server.id.clone(), born: server.born };
            state.crashes.list.borrow_mut().record_end(start, state.now());
        }
    });
}

/// Records that a run of a request has produced that many events.
pub fn record_progress(state: &State, call: &Call, events: u64) {
    state.crashes.list.borrow_mut().reached(call.content, events);
}

/// Records that a request has completed.
pub fn record_completion(state: &State, call: &Call) {
    state.crashes.list.borrow_mut().completed(call.content, state.now());
}

/// Records runs that another router lost when their server ended, `ago` before now.
pub fn receive_losses(state: &State, start: &Start, ago: Duration, runs: &[(String, u64)]) {
    let at = state.now().saturating_sub(ago);
    for (content, events) in runs {
        let loss = Loss { start: start.clone(), at, events: *events };
        parse_fingerprint(content)
            .into_iter()
            .for_each(|content| record_loss(state, content, loss.clone(), true));
    }
}

/// Records that another router found requests not to be at fault.
pub fn receive_cleared(state: &State, contents: &[String]) {
    let mut list = state.crashes.list.borrow_mut();
    contents
        .iter()
        .filter_map(|c| parse_fingerprint(c))
        .for_each(|content| list.clear(content, state.now()));
}

/// Records that another router refuses a request until `until_ms`, in milliseconds of Unix time.
pub fn receive_refusal(state: &State, content: &str, until_ms: u64, servers: u32) {
    let left = Duration::from_millis(until_ms).saturating_sub(clock::wall());
    let mut list = state.crashes.list.borrow_mut();
    parse_fingerprint(content)
        .into_iter()
        .for_each(|content| list.refuse(content, left, servers, state.now(), rand::random()));
    state.crashes.changed.notify_one();
}

/// Lifts the quarantine of a request. Returns whether it was known.
pub fn lift(state: &State, content: &str) -> bool {
    let known = parse_fingerprint(content)
        .is_some_and(|content| state.crashes.list.borrow_mut().lift(content, state.now()));
    log::warn!("gateway: quarantine content={content} lifted={known} why=lifted by an operator");
    state.crashes.changed.notify_one();
    known
}

/// Notifies the other routers of losses and verdicts for as long as the process runs.
pub async fn notify_routers(state: Rc<State>) {
    let mut wait = IDLE_INTERVAL;
    loop {
        let woken = timeout(wait, state.crashes.changed.notified()).await.is_ok();
        sleep(GATHER_DELAY).await;
        let now = state.now();
        let update = state.crashes.list.borrow_mut().take_update(now, rand::random());
        wait = match state.crashes.list.borrow().counts(now) {
            // Pending notifications are due after this time.
            _ if woken => FIRST_LOSS_DELAY,
            (0, _) => IDLE_INTERVAL,
            _ => NOTIFY_INTERVAL,
        };
        to_notices(update, now).into_iter().for_each(|notice| {
            if let Notice::Refused { content, servers, until_ms } = &notice {
                log::warn!(
                    "gateway: quarantine content={content} servers_ended={servers} until_ms={until_ms}"
                );
            }
            state.announce(notice);
        });
    }
}

fn to_notices(update: Update, now: Duration) -> Vec<Notice> {
    let mut all: Vec<Notice> = Vec::new();
    let mut lost = update.lost;
    lost.sort_by(|(_, a), (_, b)| a.start.cmp(&b.start));
    for runs in lost.chunk_by(|(_, a), (_, b)| a.start == b.start) {
        let loss = &runs[0].1;
        all.push(Notice::Ended {
            server: loss.start.id.clone(),
            born: loss.start.born,
            ago_ms: now.saturating_sub(loss.at).as_millis() as u64,
            runs: runs
                .iter()
                .map(|(content, loss)| (format_fingerprint(*content), loss.events))
                .collect(),
        });
    }
    for refused in [false, true] {
        let cleared = update.cleared.iter().filter(|(_, was_refused)| *was_refused == refused);
        let contents: Vec<String> =
            cleared.map(|(content, _)| format_fingerprint(*content)).collect();
        if !contents.is_empty() {
            all.push(Notice::Cleared { contents, refused });
        }
    }
    for (content, left, servers) in update.refused {
        let until_ms = (clock::wall() + left).as_millis() as u64;
        all.push(Notice::Refused { content: format_fingerprint(content), until_ms, servers });
    }
    all
}

/// Returns the metrics text.
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

/// Returns the requests that are refused or suspected and the reasons, one line each.
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
            format_fingerprint(entry.fingerprint),
            entry.verdict,
            entry.servers
        )
    };
    entries.iter().map(line).collect()
}
