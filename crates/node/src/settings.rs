//! The fleet settings in force: the log's stream is tailed, and peers that know a
//! newer version are asked for it.

use std::sync::Arc;
use std::time::Duration;

use cloud::log::Client;
use config::change::{self, State, Verdict};
use config::fleet::Fleet;
use config::process::Process;
use rand::seq::IndexedRandom;
use tokio::sync::watch;
use tokio::time::Instant;
use wire::frame::{Command, Frame, Settings};
use wire::{id, link};

use crate::peers::Peers;
use crate::vms;

/// How long one read of the stream waits for news. With [`OVERDUE`] and a few
/// rounds of [`LOOK`] a process whose read hangs is still current within 6 s.
const WAIT: Duration = Duration::from_secs(3);

/// Time beyond its wait after which a read counts as hanging, and peers are asked.
const OVERDUE: Duration = Duration::from_millis(500);

/// Pause after a failed read. With up to 1,000 processes this is at most 1,000
/// reads a second on the log service when it comes back, spread by jitter.
const PAUSE: Duration = Duration::from_secs(1);

/// Pause between two looks at a peer's version; each process draws up to twice this. A process
/// that can't reach the log, or whose read hangs, would else keep old settings in force until
/// its read fails, while the rest of the fleet goes on. Each look is a small question to one
/// random peer, so a version known to few spreads to all in a few rounds. While the log answers
/// nobody looks: looks at random peers open links from each daemon to each other.
const LOOK: Duration = Duration::from_secs(1);

/// Longest pause before the version in force is carried that a late starter waits for.
const SOON: Duration = Duration::from_secs(2);

/// Age of the newest record of the version in force at which a process appends
/// it again, so that it does not expire. Each process draws its own age up to
/// twice this; the first one to act resets the others. The log has to keep
/// records for more than twice this.
const CARRY_AGE: Duration = Duration::from_secs(10 * 60);

/// What is in force.
#[derive(Debug, Clone)]
pub struct Force {
    /// Version; 0 when there is none.
    pub version: id::Version,
    /// Text of the settings.
    pub text: Arc<String>,
    /// The settings.
    pub fleet: Arc<Fleet>,
    /// True once the whole stream, or a peer's settings in an outage, has been read.
    pub caught_up: bool,
}

/// The settings in force, watched.
pub type Watch = watch::Receiver<Force>;

/// Starts the task that keeps the settings up to date.
pub fn start(process: &Process, peers: Peers, vms: vms::Watch) -> Watch {
    let state = State::new();
    let (tx, rx) = watch::channel(force(&state, false));
    let log = Client::new(&process.platform.log, Duration::from_secs(2));
    let vm = process.vm.clone();
    let (carry_at, look_at) = (carry_at(), look_at());
    let tail = Tail { vm, log, peers, vms, state, tx, carried: None, carry_at, look_at };
    log::info!("settings: version 0 is in force at the start, {} ms", now_ms());
    tokio::spawn(tail.run());
    rx
}

fn look_at() -> Instant {
    Instant::now() + LOOK.mul_f64(rand::random_range(1.0..2.0))
}

/// Milliseconds since the Unix epoch, for the trace of versions in the log lines.
fn now_ms() -> u128 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis())
}

fn carry_at() -> Instant {
    Instant::now() + CARRY_AGE.mul_f64(rand::random_range(1.0..2.0))
}

fn force(state: &State, caught_up: bool) -> Force {
    Force {
        version: state.version,
        text: Arc::new(state.text.clone()),
        fleet: Arc::new(state.fleet.clone()),
        caught_up,
    }
}

struct Tail {
    vm: String,
    log: Client,
    peers: Peers,
    vms: vms::Watch,
    state: State,
    tx: watch::Sender<Force>,
    /// Newest offset up to which the author of a carried record had judged.
    carried: Option<u64>,
    carry_at: Instant,
    look_at: Instant,
}

impl Tail {
    async fn run(mut self) {
        while !self.tx.is_closed() {
            let wait = match () {
                () if !self.tx.borrow().caught_up => Duration::ZERO,
                // Peers are asked between reads, so the reads are short.
                () if !self.state.knows_base() => PAUSE,
                () => WAIT,
            };
            match self.read(wait).await {
                Ok(page) => {
                    self.carry_soon(&page);
                    self.take(page);
                    if !self.state.knows_base() {
                        self.ask_peer().await;
                    }
                    self.carry().await;
                }
                Err(e) => {
                    log::warn!("settings: the log can't be read: {e}");
                    self.ask_peer().await;
                    tokio::time::sleep(PAUSE.mul_f64(rand::random_range(0.5..1.5))).await;
                }
            }
        }
    }

    /// Reads the stream, and looks at peers when the answer is overdue.
    async fn read(&mut self, wait: Duration) -> Result<cloud::log::Page, rest::Error> {
        let (log, next) = (self.log.clone(), self.state.next);
        self.look_at = Instant::now() + wait + OVERDUE;
        let mut read = Box::pin(async move { log.read(change::STREAM, next, wait).await });
        loop {
            tokio::select! {
                page = &mut read => return page,
                () = tokio::time::sleep_until(self.look_at) => self.ask_peer().await,
            }
        }
    }

    /// Carries soon when the last carried record is of no use any more to one who starts now.
    fn carry_soon(&mut self, page: &cloud::log::Page) {
        let useless = page.first > 0 && self.carried.is_none_or(|judged| judged < page.first);
        if useless && self.carry_at > Instant::now() + SOON {
            self.carry_at = Instant::now() + SOON.mul_f64(rand::random_range(0.0..1.0));
        }
    }

    fn take(&mut self, page: cloud::log::Page) {
        self.state.skip(page.first);
        for record in &page.records {
            for (offset, verdict) in self.state.settle(record.offset, &record.data) {
                self.judged(offset, verdict);
            }
            // What a late starter can take up is the same for a process that can judge.
            if let Ok(change) = serde_json::from_str::<change::Change>(&record.data)
                && change.carried.is_some()
            {
                self.carried = self.carried.max(Some(change.judged));
            }
        }
        let read = self.state.next >= page.next;
        let known = self.state.knows_base() || self.state.version > 0;
        let caught_up = read && known || self.tx.borrow().caught_up;
        self.show(caught_up);
    }

    fn judged(&mut self, offset: u64, verdict: Verdict) {
        match verdict {
            Verdict::Accepted(v) => log::info!("settings: record {offset} is version {v}"),
            Verdict::Refused(why) => {
                log::info!("settings: record {offset} is not in force: {why}");
            }
            // Only a carried record lets a late starter judge: an accepted one
            // must not put off the next carrying.
            Verdict::Carried(_) => self.carry_at = carry_at(),
            Verdict::Pending => {}
        }
    }

    /// Appends the version in force again when its newest record has grown old.
    async fn carry(&mut self) {
        if Instant::now() < self.carry_at {
            return;
        }
        self.carry_at = carry_at();
        let id = format!("{}-{}", self.vm, self.state.next);
        let Some(change) = self.state.carry(&id, &self.vm) else { return };
        let data = serde_json::to_string(&change).expect("plain data encodes");
        match self.log.append(change::STREAM, &data).await {
            Ok(_) => log::info!("settings: version {} is kept from expiring", self.state.version),
            Err(e) => log::warn!("settings: the version can't be kept from expiring yet: {e}"),
        }
    }

    /// Takes newer settings from one other process, chosen at random.
    async fn ask_peer(&mut self) {
        self.look_at = look_at();
        let list = self.vms.borrow().clone();
        let others: Vec<_> = list.iter().filter(|e| e.vm != self.vm).collect();
        let Some(peer) = others.choose(&mut rand::rng()) else { return };
        match tokio::time::timeout(PAUSE, self.newer(&peer.vm, &peer.address)).await {
            Ok(Ok(Some(Settings { version, text }))) if self.state.adopt(version, &text) => {
                log::info!("settings: version {version} was taken from {}", peer.vm);
                self.show(true);
            }
            Ok(Ok(_)) => {}
            Ok(Err(e)) => log::debug!("settings: {e}"),
            Err(_) => log::debug!("settings: {} did not answer", peer.vm),
        }
    }

    /// The settings of a peer, when they are newer. Its version is asked for first: the
    /// text of a large fleet is long.
    async fn newer(&self, vm: &str, address: &str) -> Result<Option<Settings>, link::Error> {
        let Frame::Text(status) = self.peers.ask(vm, address, &Command::Status).await? else {
            return Ok(None);
        };
        let status: serde_json::Value = serde_json::from_str(&status).unwrap_or_default();
        if status["version"].as_u64().unwrap_or(0) <= self.state.version {
            return Ok(None);
        }
        match self.peers.ask(vm, address, &Command::Settings).await? {
            Frame::Settings(settings) => Ok(Some(settings)),
            _ => Ok(None),
        }
    }

    fn show(&self, caught_up: bool) {
        self.tx.send_if_modified(|old| {
            let news = old.version != self.state.version || old.caught_up != caught_up;
            if old.version != self.state.version {
                let (new, old) = (self.state.version, old.version);
                log::info!("settings: version {new} is in force after {old}, {} ms", now_ms());
            }
            if news {
                *old = force(&self.state, caught_up);
            }
            news
        });
    }
}
