//! Requests that crash the servers that run them, by their content or a part of their prompt: records the losses,
//! exchanges them with other routers, and refuses requests that are at fault.

mod page;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use hyper::{Response, StatusCode};
use policy::crash::{
    FIRST_LOSS_DELAY, Fingerprint, Kind, List, Loss, Lost, Part, Refusal, Request, Start, Update,
    Verdict,
};
use tokio::sync::{Notify, Semaphore, SemaphorePermit};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::answer::{self, Body, Reason};
use crate::clock;
use crate::content;
use crate::logging::{Line, MAX_BROKEN_RUN_LINES_PER_S};
use crate::notice::Notice;
use crate::peer::Peer;
use crate::probe;
use crate::request::Call;
use crate::state::State;
use page::{format_fingerprints, kind_name};
pub use page::{page, quarantine};

/// Longest time that a suspect request waits for other suspects, at this router or at others. After a much longer wait,
/// its caller would have left.
const MAX_SUSPECT_WAIT: Duration = Duration::from_millis(500);

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
    /// Notified when requests that are held back may go on: this router or another one has found something of suspects.
    reported: Notify,
    /// Requests refused for their content, and for a part of their prompt.
    refused: [Cell<u64>; 2],
    lost: Cell<u64>,
}

impl Default for Crashes {
    fn default() -> Crashes {
        Crashes {
            list: RefCell::new(List::new(rand::random())),
            alone: Semaphore::new(1),
            changed: Notify::new(),
            reported: Notify::new(),
            refused: Default::default(),
            lost: Cell::default(),
        }
    }
}

/// Returns what a request can be suspected of.
fn request(call: &Call) -> Request<'_> {
    Request { content: call.content, parts: &call.parts }
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
fn verdict(state: &State, request: Request<'_>) -> Verdict {
    let verdict = state.crashes.list.borrow_mut().verdict(request, state.now());
    if matches!(verdict, Verdict::Refused { .. }) {
        state.crashes.changed.notify_one();
    }
    verdict
}

/// Whether a request may not be sent now.
pub fn is_blocked(state: &State, call: &Call) -> bool {
    matches!(verdict(state, request(call)), Verdict::Refused { .. } | Verdict::Later { .. })
}

/// Returns the response to a request that may not be sent. None if it may be.
pub fn refuse(state: &State, call: &Call) -> Option<Response<Body>> {
    let left = match verdict(state, request(call)) {
        Verdict::Refused { left } | Verdict::Later { left } => left,
        Verdict::Clear | Verdict::Alone | Verdict::Held { .. } => return None,
    };
    let for_part = state.crashes.list.borrow_mut().is_for_part(request(call), state.now());
    let count = &state.crashes.refused[usize::from(for_part)];
    count.set(count.get() + 1);
    Some(answer::error_after(Reason::Crashes, Some(left)))
}

/// Waits until a request may be sent, up to `MAX_SUSPECT_WAIT`: one that another router is trying until it has reported
/// the result, a suspect for others that run alone, and then holds the permit. Fails if the request is refused. One
/// whose answer has `begun` continues unless its content is refused; it is past what its parts could do.
pub async fn admit<'a>(
    state: &'a State,
    call: &Call,
    begun: bool,
) -> Result<Option<SemaphorePermit<'a>>, Reason> {
    let request = Request { parts: if begun { &[] } else { &call.parts }, ..request(call) };
    let until = Instant::now() + MAX_SUSPECT_WAIT;
    let permit = loop {
        let verdict = verdict(state, request);
        match verdict {
            Verdict::Held { left } if !begun && Instant::now() < until => {
                let until = until.min(Instant::now() + left);
                let _ = timeout_at(until, state.crashes.reported.notified()).await;
            }
            Verdict::Alone | Verdict::Held { .. } if !begun => {
                let permit = timeout_at(until, state.crashes.alone.acquire()).await;
                break permit.ok().and_then(Result::ok);
            }
            _ => break None,
        }
    };
    match verdict(state, request) {
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
    let shared_parts = call.parts.clone();
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
            let start = server.start();
            let request = Request { content, parts: &shared_parts };
            return record_loss(&state, request, Loss { start, at, events }, false);
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

fn record_loss(state: &State, request: Request<'_>, loss: Loss, remote: bool) {
    let crashes = &state.crashes;
    crashes.lost.set(crashes.lost.get() + u64::from(!remote));
    crashes.list.borrow_mut().record_loss(request, loss, remote);
    if remote {
        crashes.reported.notify_waiters();
    }
    // There may also be an answer to a loss of another router.
    if !remote || !crashes.list.borrow().is_idle() {
        crashes.changed.notify_one();
    }
}

/// Probes whether a server that does not answer has ended.
pub fn check_silent_server(state: &Rc<State>, peer: &Rc<Peer>) {
    let (state, peer, server) = (state.clone(), peer.clone(), peer.server());
    spawn_local(async move {
        if probe::refuses_connections(&peer).await {
            let start = server.start();
            state.crashes.list.borrow_mut().record_end(start, state.now());
        }
    });
}

/// Records that a run of a request has produced that many events.
pub fn record_progress(state: &State, call: &Call, events: u64) {
    let mut list = state.crashes.list.borrow_mut();
    if !list.is_idle() {
        state.crashes.reported.notify_waiters();
    }
    list.reached(request(call), events, state.now());
}

/// Records that a request has completed. An answer that is an error has not begun on the parts of the prompt.
pub fn record_completion(state: &State, call: &Call, status: StatusCode) {
    let parts: &[Part] = if status.is_success() { &call.parts } else { &[] };
    let request = Request { parts, ..request(call) };
    state.crashes.list.borrow_mut().completed(request, state.now());
}

/// Formats a part as its fingerprint and the hash of its id, separated by a dot.
fn format_part(part: &Part) -> String {
    format!("{}.{}", format_fingerprint(part.fingerprint), format_fingerprint(part.id))
}

fn parse_part(text: &str) -> Option<Part> {
    let (fingerprint, id) = text.split_once('.')?;
    Some(Part { fingerprint: parse_fingerprint(fingerprint)?, id: parse_fingerprint(id)? })
}

fn parse_fingerprints(texts: &[String]) -> Vec<Fingerprint> {
    texts.iter().filter_map(|text| parse_fingerprint(text)).collect()
}

/// Records runs that another router lost when their server ended, `ago` before now. `parts` are the suspected parts of
/// the prompts, if there are any.
pub fn receive_losses(
    state: &State,
    start: &Start,
    ago: Duration,
    runs: &[(String, u64)],
    parts: &[Vec<String>],
) {
    let at = state.now().saturating_sub(ago);
    for (n, (content, events)) in runs.iter().enumerate() {
        let loss = Loss { start: start.clone(), at, events: *events };
        let parts = parts.get(n).map_or(&[][..], Vec::as_slice);
        let parts: Vec<Part> = parts.iter().filter_map(|text| parse_part(text)).collect();
        if let Some(content) = parse_fingerprint(content) {
            record_loss(state, Request { content, parts: &parts }, loss, true);
        }
    }
}

/// Records that another router found suspects not to be at fault.
pub fn receive_cleared(state: &State, suspects: &[String]) {
    let mut list = state.crashes.list.borrow_mut();
    parse_fingerprints(suspects).into_iter().for_each(|suspect| list.clear(suspect, state.now()));
    state.crashes.reported.notify_waiters();
}

/// Records that another router refuses a suspect until `until_ms`, in milliseconds of Unix time. A part comes with the
/// hash of its id.
pub fn receive_refusal(
    state: &State,
    (suspect, part): (&str, Option<&str>),
    companions: &[String],
    until_ms: u64,
    servers: u32,
) {
    let Some(fingerprint) = parse_fingerprint(suspect) else { return };
    let kind = match part {
        None => Kind::Content,
        Some(id) => Kind::Part { id: parse_fingerprint(id).unwrap_or_default() },
    };
    let left = Duration::from_millis(until_ms).saturating_sub(clock::wall());
    let companions = parse_fingerprints(companions);
    let refusal = Refusal { fingerprint, kind, companions, left, servers };
    state.crashes.list.borrow_mut().refuse(&refusal, state.now(), rand::random());
    state.crashes.changed.notify_one();
    state.crashes.reported.notify_waiters();
}

/// Lifts the quarantine of a content or part. Returns whether it was known.
pub fn lift(state: &State, suspect: &str) -> bool {
    let known = parse_fingerprint(suspect)
        .is_some_and(|suspect| state.crashes.list.borrow_mut().lift(suspect, state.now()));
    log::warn!("gateway: quarantine suspect={suspect} lifted={known} why=lifted by an operator");
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
        wait = match state.crashes.list.borrow().is_idle() {
            // Pending notifications are due after this time.
            _ if woken => FIRST_LOSS_DELAY,
            true => IDLE_INTERVAL,
            false => NOTIFY_INTERVAL,
        };
        for refusal in &update.refused {
            log::warn!(
                "gateway: quarantine {}={} companions={} servers_ended={} left={:?}",
                kind_name(refusal.kind),
                format_fingerprint(refusal.fingerprint),
                format_fingerprints(&refusal.companions),
                refusal.servers,
                refusal.left
            );
        }
        to_notices(update, now).into_iter().for_each(|notice| state.announce(notice));
    }
}

fn texts(fingerprints: &[Fingerprint]) -> Vec<String> {
    fingerprints.iter().copied().map(format_fingerprint).collect()
}

fn to_notices(update: Update, now: Duration) -> Vec<Notice> {
    let mut all: Vec<Notice> = Vec::new();
    let mut lost = update.lost;
    lost.sort_by(|a, b| a.loss.start.cmp(&b.loss.start));
    for runs in lost.chunk_by(|a, b| a.loss.start == b.loss.start) {
        let loss = &runs[0].loss;
        let run = |lost: &Lost| (format_fingerprint(lost.content), lost.loss.events);
        all.push(Notice::Ended {
            server: loss.start.id.clone(),
            born: loss.start.born,
            ago_ms: now.saturating_sub(loss.at).as_millis() as u64,
            runs: runs.iter().map(run).collect(),
            parts: runs.iter().map(|l| l.parts.iter().map(format_part).collect()).collect(),
        });
    }
    for refused in [false, true] {
        let cleared = update.cleared.iter().filter(|cleared| cleared.refused == refused);
        let contents: Vec<String> =
            cleared.map(|cleared| format_fingerprint(cleared.fingerprint)).collect();
        if !contents.is_empty() {
            all.push(Notice::Cleared { contents, refused });
        }
    }
    for refusal in update.refused {
        all.push(Notice::Refused {
            content: format_fingerprint(refusal.fingerprint),
            part: match refusal.kind {
                Kind::Content => None,
                Kind::Part { id } => Some(format_fingerprint(id)),
            },
            companions: texts(&refusal.companions),
            until_ms: (clock::wall() + refusal.left).as_millis() as u64,
            servers: refusal.servers,
        });
    }
    all
}
