//! The fleet settings in force: tails the log's stream, and fetches newer versions from peers while
//! the log does not answer.

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

/// How long one read of the stream waits for new records. With [`MAX_READ_DELAY`] and a few rounds of
/// [`PEER_CHECK_INTERVAL`] a process whose read hangs is still current within 6 s.
const READ_WAIT: Duration = Duration::from_secs(3);

/// Time beyond its wait after which a read counts as hanging, and peers are checked.
const MAX_READ_DELAY: Duration = Duration::from_millis(500);

/// Mean pause after a failed read. With up to 1,000 processes the log service gets at most 1,000 reads
/// a second when it is available again, spread by jitter.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Shortest pause between two checks of a peer's version; each process draws up to twice this. Without
/// the checks a process that can't reach the log, or whose read hangs, would keep old settings in force
/// until its read fails, while the rest of the fleet uses newer ones. Each check is a small request to
/// one random peer, so a version that few know spreads to all in a few rounds. There are no checks
/// while the log answers: checks of random peers open links between all daemons.
const PEER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Longest pause before carrying the version in force for processes that start late and need it.
const MAX_CARRY_DELAY: Duration = Duration::from_secs(2);

/// Age of the newest record of the version in force at which a process carries the version: appends it
/// again, so that it does not expire. Each process draws its own age of up to twice this; the first to
/// append resets the others. The log has to keep records for more than twice this.
const CARRY_AGE: Duration = Duration::from_secs(10 * 60);

/// The settings in force at one time.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Version; 0 if there is none.
    pub version: id::Version,
    /// Text of the settings.
    pub text: Arc<String>,
    /// The settings read from the text.
    pub fleet: Arc<Fleet>,
    /// True once the whole stream has been read, or a peer's settings during an outage.
    pub caught_up: bool,
}

/// Receiver of the settings in force.
pub type Watch = watch::Receiver<Snapshot>;

/// Starts the task that keeps the settings up to date.
pub fn start(process: &Process, peers: Peers, vms: vms::Watch) -> Watch {
    let state = State::new();
    let (tx, rx) = watch::channel(snapshot(&state, false));
    let log = Client::new(&process.platform.log, Duration::from_secs(2));
    let vm = process.vm.clone();
    let (carry_at, peer_check_at) = (next_carry(), next_peer_check());
    let tail = Tail { vm, log, peers, vms, state, tx, carried: None, carry_at, peer_check_at };
    log::info!("settings: version 0 is in force at the start, {} ms", now_ms());
    tokio::spawn(tail.run());
    rx
}

fn next_peer_check() -> Instant {
    Instant::now() + PEER_CHECK_INTERVAL.mul_f64(rand::random_range(1.0..2.0))
}

/// Milliseconds since the Unix epoch, by which the log lines record when a version came into force.
fn now_ms() -> u128 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis())
}

fn next_carry() -> Instant {
    Instant::now() + CARRY_AGE.mul_f64(rand::random_range(1.0..2.0))
}

fn snapshot(state: &State, caught_up: bool) -> Snapshot {
    Snapshot {
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
    tx: watch::Sender<Snapshot>,
    /// Highest offset up to which the author of a carried record had judged.
    carried: Option<u64>,
    carry_at: Instant,
    peer_check_at: Instant,
}

impl Tail {
    async fn run(mut self) {
        while !self.tx.is_closed() {
            let wait = match () {
                () if !self.tx.borrow().caught_up => Duration::ZERO,
                // Peers are checked between reads, so the reads are short.
                () if !self.state.knows_base() => RETRY_PAUSE,
                () => READ_WAIT,
            };
            match self.read(wait).await {
                Ok(page) => {
                    self.schedule_carry(&page);
                    self.apply_page(page);
                    if !self.state.knows_base() {
                        self.check_peer().await;
                    }
                    self.carry().await;
                }
                Err(e) => {
                    log::warn!("settings: could not read the log: {e}");
                    self.check_peer().await;
                    tokio::time::sleep(RETRY_PAUSE.mul_f64(rand::random_range(0.5..1.5))).await;
                }
            }
        }
    }

    /// Reads the stream, and checks peers while the answer is overdue.
    async fn read(&mut self, wait: Duration) -> Result<cloud::log::Page, rest::Error> {
        let (log, next) = (self.log.clone(), self.state.next);
        self.peer_check_at = Instant::now() + wait + MAX_READ_DELAY;
        let mut read = Box::pin(async move { log.read(change::STREAM, next, wait).await });
        loop {
            tokio::select! {
                page = &mut read => return page,
                () = tokio::time::sleep_until(self.peer_check_at) => self.check_peer().await,
            }
        }
    }

    /// Schedules an early carry if a process that starts now can no longer use the last carried record.
    fn schedule_carry(&mut self, page: &cloud::log::Page) {
        let useless = page.first > 0 && self.carried.is_none_or(|judged| judged < page.first);
        if useless && self.carry_at > Instant::now() + MAX_CARRY_DELAY {
            self.carry_at = Instant::now() + MAX_CARRY_DELAY.mul_f64(rand::random_range(0.0..1.0));
        }
    }

    fn apply_page(&mut self, page: cloud::log::Page) {
        self.state.skip(page.first);
        for record in &page.records {
            for (offset, verdict) in self.state.judge_with_pending(record.offset, &record.data) {
                self.record_verdict(offset, verdict);
            }
            // Records the judged offset also if this process could judge without the carried record.
            if let Ok(change) = serde_json::from_str::<change::Change>(&record.data)
                && change.carried.is_some()
            {
                self.carried = self.carried.max(Some(change.judged));
            }
        }
        let read = self.state.next >= page.next;
        let known = self.state.knows_base() || self.state.version > 0;
        let caught_up = read && known || self.tx.borrow().caught_up;
        self.publish(caught_up);
    }

    fn record_verdict(&mut self, offset: u64, verdict: Verdict) {
        match verdict {
            Verdict::Accepted(v) => log::info!("settings: record {offset} is version {v}"),
            Verdict::Refused(why) => {
                log::info!("settings: record {offset} is not in force: {why}");
            }
            // Only a carried record lets a process that starts late judge: an accepted one must not
            // delay the next carry.
            Verdict::Carried(_) => self.carry_at = next_carry(),
            Verdict::Pending => {}
        }
    }

    /// Appends the version in force again if its newest record is old.
    async fn carry(&mut self) {
        if Instant::now() < self.carry_at {
            return;
        }
        self.carry_at = next_carry();
        let id = format!("{}-{}", self.vm, self.state.next);
        let Some(change) = self.state.carried_record(&id, &self.vm) else { return };
        let data = serde_json::to_string(&change).expect("plain data encodes");
        match self.log.append(change::STREAM, &data).await {
            Ok(_) => log::info!("settings: version {} appended again", self.state.version),
            Err(e) => log::warn!("settings: could not append the version in force again: {e}"),
        }
    }

    /// Adopts newer settings of one other process, chosen at random.
    async fn check_peer(&mut self) {
        self.peer_check_at = next_peer_check();
        let list = self.vms.borrow().clone();
        let others: Vec<_> = list.iter().filter(|e| e.vm != self.vm).collect();
        let Some(peer) = others.choose(&mut rand::rng()) else { return };
        match tokio::time::timeout(RETRY_PAUSE, self.fetch_newer(&peer.vm, &peer.address)).await {
            Ok(Ok(Some(Settings { version, text }))) if self.state.adopt(version, &text) => {
                log::info!("settings: version {version} fetched from {}", peer.vm);
                self.publish(true);
            }
            Ok(Ok(_)) => {}
            Ok(Err(e)) => log::debug!("settings: {e}"),
            Err(_) => log::debug!("settings: {} did not answer in time", peer.vm),
        }
    }

    /// Fetches the settings of a peer if they are newer. Requests its version first, as the text of a
    /// large fleet's settings is long.
    async fn fetch_newer(&self, vm: &str, address: &str) -> Result<Option<Settings>, link::Error> {
        let Frame::Text(status) = self.peers.request(vm, address, &Command::Status).await? else {
            return Ok(None);
        };
        let status: serde_json::Value = serde_json::from_str(&status).unwrap_or_default();
        if status["version"].as_u64().unwrap_or(0) <= self.state.version {
            return Ok(None);
        }
        match self.peers.request(vm, address, &Command::Settings).await? {
            Frame::Settings(settings) => Ok(Some(settings)),
            _ => Ok(None),
        }
    }

    fn publish(&self, caught_up: bool) {
        self.tx.send_if_modified(|old| {
            let changed = old.version != self.state.version || old.caught_up != caught_up;
            if old.version != self.state.version {
                let (new, old) = (self.state.version, old.version);
                log::info!("settings: version {new} is in force after {old}, {} ms", now_ms());
            }
            if changed {
                *old = snapshot(&self.state, caught_up);
            }
            changed
        });
    }
}
