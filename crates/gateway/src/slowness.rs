//! Servers that become slow, found by each router from the pauses of its own streams.
//!
//! [`policy::slowness`] finds the suspects. Their reports are requested at once, and what they say is announced to the
//! other routers, without the leader and the store. Known slow servers are probed until they have recovered. Streams
//! leave servers with which their pauses can't be kept, see `stream::watch`.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use layers::{Card, Shape};
use policy::slowness::{self, Bucket, Evidence, MIN_SLOWDOWN, Observed, Pause, Usual};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::notice::Notice;
use crate::peer::Peer;
use crate::probe;
use crate::route::Path;
use crate::settings::Model;
use crate::state::State;

/// Relative change of a server's pace from which on the other routers are notified.
const MIN_PACE_CHANGE: f64 = MIN_SLOWDOWN - 1.0;

/// Suspects that are probed at once.
const MAX_CONCURRENT_PROBES: usize = 4;

/// Probes of suspects and of slow servers in a burst, and in each second. A probe takes three milliseconds of the
/// smallest VM, so that they take less than two percent of it.
const MAX_PROBES: (f64, f64) = (8.0, 6.0);

/// Time between two probes of each slow server by any of the routers.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(500);

/// Longest delay of a probe for each router of the group: the first one announces what it finds.
const PROBE_SPREAD_PER_ROUTER: Duration = Duration::from_millis(2);

/// Longest delay of a probe.
const MAX_PROBE_SPREAD: Duration = Duration::from_millis(60);

/// Streams that may leave slow servers in a burst, and for each stream that begins. Each move repeats a prefill, so all
/// moves together add half of the usual prompts.
const MAX_MOVES: (f64, f64) = (4.0, 0.5);

/// Share of the rate that a server could serve at its usual speed that is assumed to reach it. Paths through a slow server
/// cost more in proportion, so that it gets less than its usual load; one that is two or three times slower still serves
/// that in time.
const ASSUMED_LOAD: f64 = 0.25;

/// Time of a hop in addition to the passes, in milliseconds.
const HOP_MS: f64 = 1.0;

/// What this router finds out about slow servers.
#[derive(Debug)]
pub struct Slowness {
    usual: Cell<Usual>,
    /// Whether some server is known to be slow.
    any_slow: Cell<bool>,
    probes: RefCell<Bucket>,
    moves: RefCell<Bucket>,
    /// Notified when a server may have become slow or recovered.
    suspected: Notify,
    /// Notified when a server is found to be slow.
    pub(crate) found: Notify,
}

impl Default for Slowness {
    fn default() -> Slowness {
        Slowness {
            usual: Cell::default(),
            any_slow: Cell::new(false),
            probes: RefCell::new(Bucket::new(MAX_PROBES.0, MAX_PROBES.1)),
            moves: RefCell::new(Bucket::new(MAX_MOVES.0, 0.0)),
            suspected: Notify::new(),
            found: Notify::new(),
        }
    }
}

impl Slowness {
    /// Records that a stream begins.
    pub fn stream_began(&self) {
        self.moves.borrow_mut().add(MAX_MOVES.1);
    }

    /// Whether one more stream may leave a slow server now.
    pub fn may_move(&self, now: Duration) -> bool {
        self.moves.borrow_mut().take(now)
    }

    /// Returns the usual ratio of pauses to the nominal time of passes.
    pub fn usual_ratio(&self) -> f64 {
        self.usual.get().ratio().unwrap_or(1.0)
    }
}

/// Whether a server is known to be slow.
pub fn is_slow(peer: &Peer) -> bool {
    peer.slowdown.get() > MIN_SLOWDOWN
}

/// Returns the nominal time of a pass of a server without load, in milliseconds.
pub fn nominal_ms(shape: &Shape, card: &Card, layers: u32) -> f64 {
    let steps = f64::from(layers) / f64::from(shape.layers) * card.pace * shape.step_ms;
    shape.pass_ms(card, layers, 0.0).max(steps) + HOP_MS
}

/// Whether the pause goal of a model can't be kept with a server of that slowdown. Never true for a server that is not
/// slow, nor for one that is only so slow that its capacity is still of use.
///
/// ```
/// # use gateway::slowness::exceeds_goal;
/// # use layers::{Card, Shape, pass::Pass};
/// # let pass = Pass { stride: 4.0, chunk: 512.0, per_seq_ms: 0.01, slots: 192.0, prompt: 512.0, answer: 200.0 };
/// # let shape = Shape { layers: 80, layer_bytes: 1750e6, token_bytes: 5000.0, step_ms: 0.85, read_per_ms: 272.0,
/// #     cross_ms: 0.6, cross_token_ms: 0.02, pause_ms: 250.0, pass: Some(pass) };
/// for (pace, read, layers) in [(2.4, 3.2, 30), (5.6, 2.7, 20), (16.0, 8.2, 8)] {
///     let card = Card { bytes: 72e9, pace, read };
///     assert!([1.0, 1.3, 2.0, 3.0].iter().all(|slow| !exceeds_goal(&shape, &card, layers, *slow, 1.5)));
///     assert!(exceeds_goal(&shape, &card, layers, 12.0, 1.5));
/// }
/// ```
pub fn exceeds_goal(shape: &Shape, card: &Card, layers: u32, slowdown: f64, usual: f64) -> bool {
    if slowdown <= MIN_SLOWDOWN {
        return false;
    }
    let slow = Card { pace: card.pace * slowdown, read: card.read * slowdown, ..*card };
    let rate = shape.rate(card, layers, 1.0).map_or(0.0, |rate| rate * ASSUMED_LOAD);
    let loaded = shape.pass_ms(&slow, layers, rate);
    let pass_ms = loaded.max(usual * nominal_ms(shape, &slow, layers));
    slowness::exceeds_goal(pass_ms, shape.pause_ms)
}

/// Whether a path passes through a server with which the pause goal can't be kept.
pub fn path_exceeds_goal(state: &State, model: &Model, path: &Path) -> bool {
    state.slowness.any_slow.get()
        && path.peers.iter().zip(&path.hops).any(|(peer, hop)| {
            let card = peer.server().card.as_deref().and_then(|name| model.card(name));
            let usual = state.slowness.usual_ratio();
            card.is_some_and(|card| {
                exceeds_goal(&model.shape, &card, hop.span.len(), peer.slowdown.get(), usual)
            })
        })
}

/// Returns a pause of a path with its estimates.
fn observed(state: &State, path: &Path, pause: Duration, goal: Duration) -> Observed {
    let nominal_ms = path.nominal_ms.iter().sum();
    let known_ms = match state.slowness.any_slow.get() {
        false => nominal_ms,
        true => {
            let servers = path.nominal_ms.iter().zip(&path.peers);
            servers.map(|(ms, peer)| ms * peer.slowdown.get()).sum()
        }
    };
    // What this process was late itself is not the servers' doing.
    let pause_ms = pause.saturating_sub(state.lag.get()).as_secs_f64() * 1e3;
    Observed { pause_ms, nominal_ms, known_ms, goal_ms: goal.as_secs_f64() * 1e3 }
}

/// Records the pause before an event of a stream, which nothing but the servers of its path delayed.
pub fn record_pause(state: &State, path: &Path, pause: Duration, goal: Duration) {
    let observed = observed(state, path, pause, goal);
    let mut usual = state.slowness.usual.get();
    let pause = usual.record(&observed);
    state.slowness.usual.set(usual);
    record(state, path, pause);
}

/// Records that an event of a stream has not come for some time.
pub fn record_silence(state: &State, path: &Path, silence: Duration, goal: Duration) {
    let observed = observed(state, path, silence, goal);
    let pause = state.slowness.usual.get().judge_unfinished(&observed);
    record(state, path, pause);
}

fn record(state: &State, path: &Path, pause: Pause) {
    if pause == Pause::Unclear {
        return;
    }
    let (now, mut suspected) = (state.now(), false);
    for peer in &path.peers {
        let mut evidence = peer.slowness.get();
        suspected |= evidence.record(pause, is_slow(peer), now);
        peer.slowness.set(evidence);
    }
    if suspected {
        state.slowness.suspected.notify_one();
    }
}

/// Records the pace that a server reports; notifies the other routers if it has changed.
pub fn record_pace(state: &State, peer: &Peer, pace: f64) {
    let (was, is) = (peer.slowdown.get(), pace.max(1.0));
    if (is - was).abs() <= MIN_PACE_CHANGE * was {
        return;
    }
    let server = peer.server().id.clone();
    log::info!("gateway: server={server} slow={is:.1} before={was:.1}");
    set(state, peer, is);
    state.metrics.slowdown_found(is > MIN_SLOWDOWN);
    state.announce(Notice::Slow { server, percent: (is * 100.0) as u32 });
}

/// Records the slowdown that a router has announced.
pub fn receive(state: &State, server: &str, percent: u32) {
    if let Some(peer) = state.peer(server) {
        set(state, &peer, f64::from(percent) / 100.0);
    }
}

fn set(state: &State, peer: &Peer, slowdown: f64) {
    let (was_slow, changed) = (is_slow(peer), peer.slowdown.replace(slowdown) != slowdown);
    if was_slow != is_slow(peer) {
        let mut evidence = peer.slowness.get();
        evidence.settled(state.now());
        peer.slowness.set(evidence);
    }
    if changed && is_slow(peer) {
        state.slowness.any_slow.set(true);
        state.slowness.found.notify_waiters();
    }
}

/// Probes suspects and slow servers, as long as the process runs.
pub async fn run(state: Rc<State>) {
    let mut next_check = state.now();
    loop {
        let wait = next_check.saturating_sub(state.now());
        let suspected = timeout(wait, state.slowness.suspected.notified()).await.is_ok();
        if suspected {
            let spread = (PROBE_SPREAD_PER_ROUTER * state.routers()).min(MAX_PROBE_SPREAD);
            if state.routers() > 1 {
                sleep(spread.mul_f64(rand::random())).await;
            }
            let now = state.now();
            let peers = candidates(&state);
            let evidence = peers.into_iter().map(|peer| {
                let (evidence, slow) = (peer.slowness.get(), is_slow(&peer));
                (peer, evidence, slow)
            });
            probe(&state, slowness::suspects(evidence, now, MAX_CONCURRENT_PROBES)).await;
        }
        if state.now() >= next_check {
            next_check = state.now() + RECOVERY_INTERVAL;
            check_recovery(&state).await;
        }
    }
}

/// Returns the model servers that may be probed: they are in use and have not asked for a backoff.
fn candidates(state: &State) -> Vec<Rc<Peer>> {
    let (mut peers, now) = (state.peers(), state.now());
    peers.retain(|p| p.server().card.is_some() && p.usable(now) && p.backoff_end(now).is_none());
    peers
}

/// Probes slow servers. All routers together probe each of them about once in [`RECOVERY_INTERVAL`], without a leader.
async fn check_recovery(state: &State) {
    let mut slow = candidates(state);
    slow.retain(|peer| is_slow(peer));
    state.slowness.any_slow.set(state.peers().iter().any(|p| is_slow(p)));
    let share = 1.0 / f64::from(state.routers().max(1));
    slow.retain(|_| rand::random::<f64>() < share);
    // Those that were probed last come last.
    slow.sort_by_key(|peer| peer.slowness.get().next_probe());
    slow.truncate(MAX_CONCURRENT_PROBES);
    probe(state, slow).await;
}

async fn probe(state: &State, mut peers: Vec<Rc<Peer>>) {
    let now = state.now();
    peers.retain(|_| state.slowness.probes.borrow_mut().take(now));
    for peer in &peers {
        let mut evidence: Evidence = peer.slowness.get();
        evidence.probed(now);
        peer.slowness.set(evidence);
        state.metrics.slowness_probed();
    }
    let reports = peers.iter().map(|peer| async move {
        let born = peer.server().born;
        match probe::fetch_report_pooled(state, peer).await {
            Ok(report) if peer.server().born == born => record_pace(state, peer, report.pace),
            Ok(_) => {}
            Err(why) => log::debug!("gateway: report of a suspect not received: {why}"),
        }
    });
    join_all(reports).await;
}
