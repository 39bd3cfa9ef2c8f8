//! What one router believes and shares among its tasks, all of which run on one thread.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use layers::server::Zone;
use policy::demand::Demand;
use policy::meter::Meter;
use policy::missing::Missing;
use policy::shortage::Shortage;
use policy::tenure::Tenure;
use policy::window::{Budget, Handover, Routers};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::crash::Crashes;
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
use crate::store::{Client, Log};
use crate::wire::Codec;

/// Time for which a router that left the group is still counted. One that is only cut off from the
/// store goes on sending repeats, out of its part of the common budget.
const REMEMBERED: Duration = Duration::from_secs(30);

/// Time for which the last entry of a server that was removed is remembered. A store that is restored from an older copy
/// lists it again, until the entry lapses there.
const GONE: Duration = Duration::from_secs(60);

/// Routers that are assumed until the group of routers has answered. High, so that a router that
/// has just started does not use a larger part of the common retry budget than is its own.
pub const ROUTERS: u32 = 16;

/// How long a stream is taken to last until one has ended.
const LASTING: Duration = Duration::from_millis(1500);

/// Weight of the newest stream in the mean time that they last.
const NEWEST: f64 = 0.05;

/// The beliefs of one router.
#[derive(Debug)]
pub struct State {
    /// Settings of the process.
    pub setup: Setup,
    /// How the platform spells things.
    pub codec: Codec,
    /// The store.
    pub store: Client,
    /// Counters and histograms.
    pub metrics: Metrics,
    settings: RefCell<Option<Rc<Settings>>>,
    peers: RefCell<Vec<Rc<Peer>>>,
    /// Last entries of servers that were removed, and when.
    removed: RefCell<Vec<(Rc<Server>, Duration)>>,
    budgets: RefCell<Vec<(String, Budget)>>,
    routers: RefCell<Routers>,
    /// Whether the list of servers was read once.
    pub servers_read: Cell<bool>,
    /// When the process was told to stop.
    pub stopping: Cell<Option<Duration>>,
    /// Callers' connections that are open.
    pub callers: Cell<u32>,
    /// Requests that are being served.
    pub serving: Cell<u32>,
    /// How many requests to models found no place lately.
    pub shortage: RefCell<Shortage>,
    /// For how long some part of a model has been missing.
    pub missing: RefCell<Missing>,
    /// New requests that wait until a server has a place for them.
    pub unplaced_requests: Cell<u32>,
    /// Bytes of request bodies held.
    pub body_bytes: Cell<usize>,
    /// Woken when servers or settings change.
    pub changed: Notify,
    /// Woken when a server is suspected.
    pub server_suspected: Notify,
    /// What this router sent over the links between data centres, by the pair of them.
    pub links: RefCell<Vec<((Zone, Zone), Meter)>>,
    /// Requests that wanted to cross a link between data centres, by the pair of them.
    pub crossings: RefCell<Vec<((Zone, Zone), Demand)>>,
    /// How long streams last.
    pub stream_duration: Cell<Duration>,
    /// By how much timers are late in this process.
    pub lag: Cell<Duration>,
    /// The log whose reader asks again whether the store answers, while it does not.
    asker: Cell<Option<Log>>,
    /// When the store last answered again after it had not.
    regained: Cell<Duration>,
    /// Woken when the store answers again.
    pub store_returned: Notify,
    /// Last line that was logged of the layers that data centres lack.
    pub placement: RefCell<String>,
    /// Since when some data centre lacks layers, as the router sees it that gives orders.
    pub layers_missing_since: Cell<Option<Duration>>,
    /// Whether this router gives orders.
    pub is_leader: Cell<bool>,
    /// How it gets on with the first seat, while it holds it.
    pub tenure: RefCell<Tenure>,
    /// What it knows of the routers that read the store for others.
    pub sharing: Sharing,
    /// What it knows of requests that end servers.
    pub crashes: Crashes,
    /// What it keeps for servers that name limits.
    pub ledgers: Ledgers,
    /// Repeats that it borrowed from others.
    pub retries: Retries,
    /// Connections to other routers.
    pub neighbours: Neighbours,
    /// Lines about refused requests.
    pub refusal_lines: RefCell<Quota>,
    /// Lines about broken runs.
    pub broken_run_lines: RefCell<Quota>,
    /// Notices for the other routers that are still to be written.
    pub notices: RefCell<Vec<crate::notice::Notice>>,
    /// Woken when there are notices to write.
    pub notices_queued: Notify,
    start: Instant,
}

impl State {
    /// A router that knows nothing yet.
    pub fn new(setup: Setup, codec: Codec, store: Client, metrics: Metrics) -> Rc<State> {
        Rc::new(State {
            setup,
            codec,
            store,
            metrics,
            settings: RefCell::default(),
            peers: RefCell::default(),
            removed: RefCell::default(),
            budgets: RefCell::default(),
            routers: RefCell::new(Routers::new(ROUTERS, REMEMBERED)),
            servers_read: Cell::new(false),
            stopping: Cell::new(None),
            callers: Cell::new(0),
            serving: Cell::new(0),
            shortage: RefCell::default(),
            missing: RefCell::default(),
            unplaced_requests: Cell::new(0),
            body_bytes: Cell::new(0),
            changed: Notify::new(),
            server_suspected: Notify::new(),
            links: RefCell::default(),
            crossings: RefCell::default(),
            stream_duration: Cell::new(LASTING),
            lag: Cell::default(),
            asker: Cell::new(None),
            regained: Cell::default(),
            store_returned: Notify::new(),
            placement: RefCell::default(),
            is_leader: Cell::new(false),
            tenure: RefCell::default(),
            sharing: Sharing::default(),
            crashes: Crashes::default(),
            ledgers: Ledgers::default(),
            retries: Retries::default(),
            neighbours: Neighbours::default(),
            refusal_lines: RefCell::default(),
            broken_run_lines: RefCell::default(),
            layers_missing_since: Cell::new(None),
            notices: RefCell::default(),
            notices_queued: Notify::new(),
            start: Instant::now(),
        })
    }

    /// Time since the process started.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The settings in force.
    pub fn settings(&self) -> Option<Rc<Settings>> {
        self.settings.borrow().clone()
    }

    /// Puts settings in force, if they are newer. A process never goes back to older ones: a
    /// caller that saw a change would see it undone.
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
        self.asker.get().is_some()
    }

    /// Notes that the store answered.
    pub fn record_store_answer(&self) {
        if self.asker.take().is_some() {
            self.regained.set(self.now());
            self.store_returned.notify_waiters();
        }
    }

    /// When the store last answered again after it had not.
    pub fn store_regained_at(&self) -> Duration {
        self.regained.get()
    }

    /// Notes that a read of a log failed; whether its reader is the one to ask again soon. Tens of routers
    /// that each ask for each log make hundreds of calls a second to a store that answers none,
    /// and a store that comes back is met by all of them; one call tells as much.
    pub fn record_store_failure(&self, log: Log) -> bool {
        let asker = self.asker.get().unwrap_or(log);
        self.asker.set(Some(asker));
        asker == log
    }

    /// Name in the group of routers, which tells the others where to reach this one and what its VM can do.
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

    /// All servers, sorted by id.
    pub fn peers(&self) -> Vec<Rc<Peer>> {
        self.peers.borrow().clone()
    }

    /// Servers of one service.
    pub fn peers_of(&self, service: &str) -> Vec<Rc<Peer>> {
        let peers = self.peers.borrow();
        peers.iter().filter(|p| p.server().service == service).cloned().collect()
    }

    /// The server of that id.
    pub fn peer(&self, id: &str) -> Option<Rc<Peer>> {
        let peers = self.peers.borrow();
        let at = peers.binary_search_by(|p| p.server().id.as_str().cmp(id)).ok()?;
        Some(peers[at].clone())
    }

    /// The server at that address.
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

    /// Removes a server.
    pub fn remove(&self, id: &Id) {
        let (now, mut gone) = (self.now(), self.removed.borrow_mut());
        gone.retain(|(server, at)| now < *at + GONE && server.id != *id);
        gone.extend(self.peer(id).map(|peer| (peer.server(), now)));
        self.peers.borrow_mut().retain(|p| p.server().id != *id);
    }

    /// The last entry of a server that was removed lately, if it is of the same start.
    pub fn removed(&self, server: &Server) -> Option<Rc<Server>> {
        let gone = self.removed.borrow();
        let same = |gone: &Server| gone.id == server.id && gone.is_same_start(server);
        gone.iter().map(|(gone, _)| gone).find(|gone| same(gone)).cloned()
    }

    /// Last entries of the servers that were removed within a time, and how long ago.
    pub fn removed_within(&self, time: Duration) -> Vec<(Rc<Server>, Duration)> {
        let (now, gone) = (self.now(), self.removed.borrow());
        let ago = gone.iter().map(|(server, at)| (server.clone(), now.saturating_sub(*at)));
        ago.filter(|(_, ago)| *ago < time).collect()
    }

    /// Works on the retry budget of a service.
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

    /// Ends the use of all retry budgets; what counts of each for the next process, if that is known.
    pub fn close_budgets(&self) -> Option<Vec<(String, Handover)>> {
        let (now, before) = (self.now(), retries::predecessor(self));
        let mut closed = Vec::new();
        for (name, budget) in self.budgets.borrow_mut().iter_mut() {
            budget.set_predecessor(before);
            closed.extend(budget.close(now).map(|handover| (name.clone(), handover)));
        }
        before.is_known(now, self.setup.retry_window).then_some(closed)
    }

    /// Notes how many routers the group has now.
    pub fn count_routers(&self, routers: u32) {
        self.routers.borrow_mut().record(self.now(), routers);
    }

    /// Routers that share the retry budget.
    pub fn routers(&self) -> u32 {
        let members = self.sharing.rank().map_or(0, |(_, routers)| routers);
        self.routers.borrow().count(self.now()).max(members)
    }

    /// Repeats of a service that this router may still send now.
    pub fn retries_left(&self, service: &str) -> u32 {
        let (now, routers) = (self.now(), self.routers());
        self.budget(service, |budget| budget.left(now, routers))
    }

    /// Notes how long a stream took that was delivered to its end.
    pub fn record_stream_duration(&self, took: Duration) {
        self.stream_duration
            .set(self.stream_duration.get().mul_f64(1.0 - NEWEST) + took.mul_f64(NEWEST));
    }

    /// Passes a notice on to the other routers.
    pub fn announce(&self, word: crate::notice::Notice) {
        let mut notices = self.notices.borrow_mut();
        // The store may be away; older notices are worth nothing then.
        if notices.len() < 64 {
            notices.push(word);
        }
        self.notices_queued.notify_one();
    }
}
