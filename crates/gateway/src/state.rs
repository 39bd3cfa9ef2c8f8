//! State of one router that its tasks share, all of which run on one thread.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use layers::server::Zone;
use policy::availability::{Obstacle, Register, Use};
use policy::demand::Demand;
use policy::expiry::Silence;
use policy::intake::Intake;
use policy::meter::Meter;
use policy::missing::Missing;
use policy::shortage::Shortage;
use policy::startup::Startup;
use policy::tenure::Tenure;
use policy::window::{Budget, Handover, Routers};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::admission::Admission;
use crate::availability::RETURN_RETRY_AFTER;
use crate::crash::Crashes;
use crate::failing::Failing;
use crate::limited::Ledgers;
use crate::logging::Quota;
use crate::metrics::Metrics;
use crate::neighbours::Neighbours;
use crate::peer::Peer;
use crate::retries::{self, Retries};
use crate::roster::Member;
use crate::server::{Id, Server};
use crate::settings::Settings;
use crate::setup::Setup;
use crate::shared_read::Sharing;
use crate::slowness::Slowness;
use crate::store::{Client, Log};
use crate::task::Failed;
use crate::wire::Codec;

/// Time for which a router that left the group is still counted. One that is only cut off from the store continues to
/// send retries, from its share of the common budget.
const DEPARTED_ROUTER_TIME: Duration = Duration::from_secs(30);

/// Time for which the last entry of a removed server is kept. A store that is restored from an older copy lists it
/// again, until the entry expires there.
const REMOVED_ENTRY_RETENTION: Duration = Duration::from_secs(60);

/// Number of routers that is assumed until the group has answered. High, so that a router that has just started does
/// not use more than its share of the common retry budget.
pub const DEFAULT_ROUTERS: u32 = 16;

/// Assumed duration of a stream until one has ended.
const DEFAULT_STREAM_DURATION: Duration = Duration::from_millis(1500);

/// Weight of the newest stream in the mean duration of streams.
const NEWEST_STREAM_WEIGHT: f64 = 0.05;

/// State of one router.
#[derive(Debug)]
pub struct State {
    /// Settings of the process.
    pub setup: Setup,
    /// Names and formats of the platform.
    pub codec: Codec,
    /// The store.
    pub store: Client,
    /// Counters and histograms.
    pub metrics: Metrics,
    settings: RefCell<Option<Rc<Settings>>>,
    peers: RefCell<Vec<Rc<Peer>>>,
    /// What starts of servers have asked of this router; shared with the peers.
    pub availability: Rc<RefCell<Register>>,
    /// When the list of servers could be read.
    pub silence: RefCell<Silence>,
    /// Last entries of servers that were removed, and when.
    removed: RefCell<Vec<(Rc<Server>, Duration)>>,
    budgets: RefCell<Vec<(String, Budget)>>,
    routers: RefCell<Routers>,
    /// Whether the list of servers was read once.
    pub servers_read: Cell<bool>,
    /// Whether requests are held until settings and servers are read.
    pub startup: RefCell<Startup>,
    /// Requests that are held until then.
    pub held_requests: Cell<u32>,
    /// When the process received the stop signal.
    pub stopping: Cell<Option<Duration>>,
    /// The task that ends too often, once there is one.
    pub failed: Failed,
    /// Callers' open connections.
    pub callers: Cell<u32>,
    /// Requests that are being served.
    pub serving: Cell<u32>,
    /// Demand for the models.
    pub admission: Admission,
    /// Servers that become slow.
    pub slowness: Slowness,
    /// Requests to models that found no free server lately.
    pub shortage: RefCell<Shortage>,
    /// For how long some layers of a model have been missing.
    pub missing: RefCell<Missing>,
    /// New requests that wait until a server has a slot for them.
    pub unplaced_requests: Cell<u32>,
    /// Bytes of request bodies in memory.
    pub body_bytes: Cell<usize>,
    /// Notified when servers or settings change.
    pub changed: Notify,
    /// Notified when a server is suspected.
    pub server_suspected: Notify,
    /// Traffic that this router sent over the links between data centres, by pair of data centres.
    pub links: RefCell<Vec<((Zone, Zone), Meter)>>,
    /// Requests that had to cross a link between data centres, by pair of data centres.
    pub crossings: RefCell<Vec<((Zone, Zone), Demand)>>,
    /// Mean duration of streams.
    pub stream_duration: Cell<Duration>,
    /// By how much timers are late in this process.
    pub lag: Cell<Duration>,
    /// Decides whether to take a new connection of a caller.
    pub intake: RefCell<Intake>,
    /// The log whose task probes whether the store is available again, while it is unavailable.
    probing_log: Cell<Option<Log>>,
    /// When the store last answered again after it was unavailable.
    regained: Cell<Duration>,
    /// Notified when the store may be available again, so that failed reads are retried.
    pub store_regained: Notify,
    /// Last logged line about the layers that data centres lack.
    pub placement: RefCell<String>,
    /// Since when some data centre lacks layers, as the leader sees it.
    pub layers_missing_since: Cell<Option<Duration>>,
    /// Whether this router is the leader, which issues orders.
    pub is_leader: Cell<bool>,
    /// Successes and failures of this router as the holder of the first partition.
    pub tenure: RefCell<Tenure>,
    /// State of the shared reads of the store.
    pub sharing: Sharing,
    /// Requests during which servers ended.
    pub crashes: Crashes,
    /// Servers that answer with errors.
    pub failing: Failing,
    /// Ledgers that this router owns for servers that set limits.
    pub ledgers: Ledgers,
    /// Retries that this router borrowed from others.
    pub retries: Retries,
    /// Connections to other routers.
    pub neighbours: Neighbours,
    /// Log lines about refused requests.
    pub refusal_lines: RefCell<Quota>,
    /// Log lines about broken runs.
    pub broken_run_lines: RefCell<Quota>,
    /// Notices for the other routers that are still to be sent.
    pub notices: RefCell<Vec<crate::notice::Notice>>,
    /// Notified when there are notices to send.
    pub notices_queued: Notify,
    start: Instant,
}

impl State {
    /// Creates the state of a router that has just started.
    pub fn new(setup: Setup, codec: Codec, store: Client, metrics: Metrics) -> Rc<State> {
        let start = Instant::now();
        store.count_from(start);
        Rc::new(State {
            silence: RefCell::new(Silence::new(setup.heartbeat)),
            setup,
            codec,
            store,
            metrics,
            settings: RefCell::default(),
            peers: RefCell::default(),
            availability: Rc::default(),
            removed: RefCell::default(),
            budgets: RefCell::default(),
            routers: RefCell::new(Routers::new(DEFAULT_ROUTERS, DEPARTED_ROUTER_TIME)),
            servers_read: Cell::new(false),
            startup: RefCell::default(),
            held_requests: Cell::new(0),
            stopping: Cell::new(None),
            failed: Failed::default(),
            callers: Cell::new(0),
            serving: Cell::new(0),
            admission: Admission::default(),
            slowness: Slowness::default(),
            shortage: RefCell::default(),
            missing: RefCell::default(),
            unplaced_requests: Cell::new(0),
            body_bytes: Cell::new(0),
            changed: Notify::new(),
            server_suspected: Notify::new(),
            links: RefCell::default(),
            crossings: RefCell::default(),
            stream_duration: Cell::new(DEFAULT_STREAM_DURATION),
            lag: Cell::default(),
            intake: RefCell::default(),
            probing_log: Cell::new(None),
            regained: Cell::default(),
            store_regained: Notify::new(),
            placement: RefCell::default(),
            is_leader: Cell::new(false),
            tenure: RefCell::default(),
            sharing: Sharing::default(),
            crashes: Crashes::default(),
            failing: Failing::default(),
            ledgers: Ledgers::default(),
            retries: Retries::default(),
            neighbours: Neighbours::default(),
            refusal_lines: RefCell::default(),
            broken_run_lines: RefCell::default(),
            layers_missing_since: Cell::new(None),
            notices: RefCell::default(),
            notices_queued: Notify::new(),
            start,
        })
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Option<Rc<Settings>> {
        self.settings.borrow().clone()
    }

    /// Puts settings in force, if they are newer. A process never returns to older ones: a caller that saw a change
    /// would see it undone.
    pub fn apply(&self, settings: Settings) -> bool {
        let newer = self.settings.borrow().as_ref().is_none_or(|s| s.version < settings.version);
        if newer {
            *self.settings.borrow_mut() = Some(Rc::new(settings));
            self.changed.notify_waiters();
        }
        newer
    }

    /// Whether the store did not answer the last read.
    pub fn store_unavailable(&self) -> bool {
        self.probing_log.get().is_some()
    }

    /// Records that the store answered.
    pub fn record_store_answer(&self) {
        if self.probing_log.take().is_some() {
            self.regained.set(self.now());
            self.store_regained.notify_waiters();
        }
    }

    /// Returns when the store last answered again after it was unavailable.
    pub fn store_regained_at(&self) -> Duration {
        self.regained.get()
    }

    /// Records that a read of a log failed; returns whether its task is the one to retry soon. If tens of routers each
    /// retried for each log, they would send hundreds of calls a second to a store that answers none, and all of them
    /// would send their calls at once when the store is available again. One call shows as much. Other logs don't wait for
    /// notices, which are read again later.
    pub fn record_store_failure(&self, log: Log) -> bool {
        let probing_log = self.probing_log.get().filter(|log| *log != Log::Notices).unwrap_or(log);
        self.probing_log.set(Some(probing_log));
        probing_log == log
    }

    /// Returns the name of this router in the group: its VM, its address, its data centre, and for how many routers it
    /// can read.
    pub fn member(&self) -> String {
        match self.setup.inner {
            Some(address) => Member {
                vm: self.setup.vm.clone(),
                address,
                data_centre: self.setup.zone.clone(),
                strength: self.setup.strength(),
            }
            .to_string(),
            None => self.setup.vm.clone(),
        }
    }

    /// Whether callers may be sent here.
    pub fn ready(&self) -> bool {
        self.stopping.get().is_none() && self.servers_read.get() && self.settings.borrow().is_some()
    }

    /// Returns all servers, sorted by id.
    pub fn peers(&self) -> Vec<Rc<Peer>> {
        self.peers.borrow().clone()
    }

    /// Returns the servers of one service.
    pub fn peers_of(&self, service: &str) -> Vec<Rc<Peer>> {
        let peers = self.peers.borrow();
        peers.iter().filter(|p| p.server().service == service).cloned().collect()
    }

    /// Returns how long it takes until the first backoff of a service's servers ends; none if no server has asked for one.
    pub fn first_return(&self, service: &str) -> Option<Duration> {
        let now = self.now();
        let wait = |peer: &Rc<Peer>| match peer.obstacle(Use::Direct, now) {
            _ if !peer.stays(now) => None,
            Some(Obstacle::Backoff) => peer.backoff_end(now).map(|end| end.saturating_sub(now)),
            Some(Obstacle::Return) => Some(RETURN_RETRY_AFTER),
            Some(Obstacle::Leaving) | None => None,
        };
        self.peers_of(service).iter().filter_map(wait).min()
    }

    /// Returns the server with that id.
    pub fn peer(&self, id: &str) -> Option<Rc<Peer>> {
        let peers = self.peers.borrow();
        let at = peers.binary_search_by(|p| p.server().id.as_str().cmp(id)).ok()?;
        Some(peers[at].clone())
    }

    /// Returns the server at that address.
    pub fn peer_at(&self, address: SocketAddr) -> Option<Rc<Peer>> {
        self.peers.borrow().iter().find(|p| p.server().address == address).cloned()
    }

    /// Adds a server.
    pub fn add(&self, peer: Peer) {
        let mut peers = self.peers.borrow_mut();
        let id = peer.server().id.clone();
        let at = peers.partition_point(|p| p.server().id < id);
        peers.insert(at, Rc::new(peer));
    }

    /// Removes a server and keeps its last entry for a while.
    pub fn remove(&self, id: &Id) {
        let (now, mut gone) = (self.now(), self.removed.borrow_mut());
        gone.retain(|(server, at)| now < *at + REMOVED_ENTRY_RETENTION && server.id != *id);
        gone.extend(self.peer(id).map(|peer| (peer.server(), now)));
        self.peers.borrow_mut().retain(|p| p.server().id != *id);
    }

    /// Returns the last entry of a server that was removed lately, if it belongs to the same start.
    pub fn removed(&self, server: &Server) -> Option<Rc<Server>> {
        let gone = self.removed.borrow();
        let same = |gone: &Server| gone.id == server.id && gone.is_same_start(server);
        gone.iter().map(|(gone, _)| gone).find(|gone| same(gone)).cloned()
    }

    /// Returns the last entries of the servers that were removed within a time, and how long ago.
    pub fn removed_within(&self, time: Duration) -> Vec<(Rc<Server>, Duration)> {
        let (now, gone) = (self.now(), self.removed.borrow());
        let ago = gone.iter().map(|(server, at)| (server.clone(), now.saturating_sub(*at)));
        ago.filter(|(_, ago)| *ago < time).collect()
    }

    /// Runs `work` on the retry budget of a service.
    pub fn budget<T>(&self, service: &str, work: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let at = match budgets.binary_search_by(|(name, _)| name.as_str().cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let setup = &self.setup;
                let mut fresh =
                    Budget::new(setup.retry_ratio, setup.retry_slack, setup.retry_window);
                if self.retries.has_ended() {
                    fresh.close(self.now());
                }
                budgets.insert(at, (service.to_owned(), fresh));
                at
            }
        };
        let budget = &mut budgets[at].1;
        budget.set_predecessor(retries::predecessor(self));
        if let Some((rank, routers)) = self.sharing.rank().filter(|(_, routers)| *routers > 1) {
            budget.set_rank(rank, routers);
        }
        work(budget)
    }

    /// Closes all retry budgets; returns what counts of each for the next process, if that is known.
    pub fn close_budgets(&self) -> Option<Vec<(String, Handover)>> {
        let (now, predecessor) = (self.now(), retries::predecessor(self));
        let mut closed = Vec::new();
        for (name, budget) in self.budgets.borrow_mut().iter_mut() {
            budget.set_predecessor(predecessor);
            closed.extend(budget.close(now).map(|handover| (name.clone(), handover)));
        }
        predecessor.is_known(now, self.setup.retry_window).then_some(closed)
    }

    /// Records how many routers the group has now.
    pub fn record_routers(&self, routers: u32) {
        self.routers.borrow_mut().record(self.now(), routers);
    }

    /// Returns the number of routers that share the retry budget.
    pub fn routers(&self) -> u32 {
        let members = self.sharing.rank().map_or(0, |(_, routers)| routers);
        self.routers.borrow().count(self.now()).max(members)
    }

    /// Returns the number of retries of a service that this router may still send now.
    pub fn retries_left(&self, service: &str) -> u32 {
        let (now, routers) = (self.now(), self.routers());
        self.budget(service, |budget| budget.left(now, routers))
    }

    /// Records the duration of a stream that was delivered to its end.
    pub fn record_stream_duration(&self, took: Duration) {
        self.stream_duration.set(
            self.stream_duration.get().mul_f64(1.0 - NEWEST_STREAM_WEIGHT)
                + took.mul_f64(NEWEST_STREAM_WEIGHT),
        );
    }

    /// Queues a notice to the other routers.
    pub fn announce(&self, notice: crate::notice::Notice) {
        let mut notices = self.notices.borrow_mut();
        // The queue is bounded: notices that wait long, because the store is unavailable, are of no use any more.
        if notices.len() < 64 {
            notices.push(notice);
        }
        self.notices_queued.notify_one();
    }
}
