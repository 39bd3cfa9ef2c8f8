//! Records which servers answer with errors, and tells the other routers. [`policy::failure`] decides.

use std::cell::RefCell;
use std::rc::Rc;

use hyper::StatusCode;
use policy::crash::Start;
use policy::failure::{Change, Context, Effect, Report, Service, Treatment};
use rand::RngExt;

use crate::notice::Notice;
use crate::peer::Peer;
use crate::request::Call;
use crate::state::State;

/// Outcomes of the requests of this router, by service.
#[derive(Debug, Default)]
pub struct Failing {
    /// Sorted by name of the service.
    services: RefCell<Vec<(String, Service)>>,
}

impl Failing {
    fn service<T>(&self, name: &str, work: impl FnOnce(&mut Service) -> T) -> T {
        let mut services = self.services.borrow_mut();
        let at = services.binary_search_by(|(known, _)| known.as_str().cmp(name));
        let at = at.unwrap_or_else(|at| {
            services.insert(at, (name.to_owned(), Service::default()));
            at
        });
        work(&mut services[at].1)
    }
}

/// Returns what the decision needs besides outcomes, and drops what is known of servers that are no longer listed.
fn context(state: &State, service: &str) -> Context {
    let peers = state.peers_of(service);
    state.failing.service(service, |known| {
        if known.len() > peers.len() {
            known.retain(|start| peers.iter().any(|peer| peer.server().start() == *start));
        }
    });
    Context {
        now: state.now(),
        routers: state.routers(),
        servers: peers.iter().filter(|peer| peer.ready()).count(),
        random: rand::rng().random(),
    }
}

/// Records the status of a server's own answer to a request.
pub fn record(state: &State, call: &Call, peer: &Peer, status: StatusCode) {
    let (server, route) = (peer.server(), &call.route.name);
    let (start, failed) = (server.start(), status.is_server_error());
    let context = context(state, &server.service);
    if state.peer(&start.id).is_none_or(|listed| listed.server().start() != start) {
        return;
    }
    let (effect, usual) = state.failing.service(&server.service, |service| {
        let usual = service.usual(route);
        (service.record(&start, route, failed, context), usual)
    });
    let Effect { change, notify } = effect;
    if failed {
        log::info!(
            "gateway: request={} server={} route={route} failed status={status} usual={usual:.4} evidence={notify:?}",
            call.id,
            start.id
        );
    }
    if let Some(evidence) = notify {
        state.announce(Notice::Failing {
            router: state.setup.vm.clone(),
            server: start.id.clone(),
            born: start.born,
            evidence_percent: (evidence * 100.0) as u64,
        });
    }
    signal(state, &start, change, "own requests");
}

/// Applies the evidence of another router. It is never passed on as this router's own.
pub fn receive(state: &State, router: &str, server: &str, born: u64, evidence_percent: u64) {
    let Some(peer) = state.peer(server).filter(|peer| peer.server().born == born) else {
        return;
    };
    if router == state.setup.vm {
        return;
    }
    let (start, service) = (peer.server().start(), peer.server().service.clone());
    let context = context(state, &service);
    let report = Report { router, evidence: evidence_percent as f64 / 100.0 };
    let change = state.failing.service(&service, |s| s.receive(&start, report, context));
    signal(state, &start, change, "reported by another router");
}

/// Logs and counts a change, and notifies requests that wait for servers.
fn signal(state: &State, start: &Start, change: Option<Change>, why: &str) {
    let (id, born) = (&start.id, start.born);
    match change {
        None => return,
        Some(Change::Ejected { hold, confirmed }) => {
            log::warn!(
                "gateway: server={id} failing=true born={born} hold={hold:?} confirmed={confirmed} why={why}"
            );
        }
        Some(Change::Returns) => log::info!("gateway: server={id} failing=false born={born}"),
        Some(Change::CommonCause) => {
            log::warn!("gateway: server={id} failing=false why=most servers of the service fail");
        }
    }
    state.metrics.failing_changed(change);
    state.changed.notify_waiters();
}

/// Returns how a server is used for a request.
fn treatment(state: &State, call: &Call, peer: &Peer) -> Treatment {
    let (server, repeatable) = (peer.server(), call.route.class.is_retryable());
    let (start, now) = (server.start(), state.now());
    state.failing.service(&server.service, |s| s.treatment(&start, repeatable, now))
}

/// Whether a request should be sent elsewhere while other servers accept it.
pub fn avoids(state: &State, call: &Call, peer: &Peer) -> bool {
    match treatment(state, call, peer) {
        Treatment::Normal | Treatment::Probe => false,
        Treatment::Avoid => true,
        Treatment::Share(share) => rand::rng().random::<f64>() >= share,
    }
}

/// Whether the next request to an ejected server is a probe.
pub fn is_probed(state: &State, call: &Call, peer: &Peer) -> bool {
    treatment(state, call, peer) == Treatment::Probe
}

/// Records that a request is sent to a server, which may be a probe.
pub fn record_sent(state: &State, call: &Call, peer: &Peer) {
    if is_probed(state, call, peer) {
        let server = peer.server();
        log::info!("gateway: request={} server={} probes=true", call.id, server.id);
        state.failing.service(&server.service, |s| s.probe(&server.start(), state.now()));
    }
}

/// Returns the ids of the servers of a service that a request should avoid.
pub fn avoided(state: &State, call: &Call, service: &str) -> Vec<String> {
    if state.failing.service(service, |service| service.is_undisturbed()) {
        return Vec::new();
    }
    let avoided = |peer: &Rc<Peer>| avoids(state, call, peer).then(|| peer.server().id.clone());
    state.peers_of(service).iter().filter_map(avoided).collect()
}

/// Returns the metrics text: servers that are ejected or probed.
pub fn page(state: &State) -> String {
    let services = state.failing.services.borrow();
    let out = services.iter().flat_map(|(_, service)| service.ejected());
    out.map(|start| format!("hyssop_server_failing{{server=\"{}\"}} 1\n", start.id)).collect()
}
