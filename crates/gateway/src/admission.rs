//! How much room a request to a model may take, from its rank, its workspace and the demand of all data centres.
//!
//! [`policy::headroom::Limit`] bounds the load of the servers of its path. It follows from rank where ranks differ, and from
//! the data centre elsewhere; workspaces only change the order of the queue. Routers tell each other what demand they see
//! ([`policy::census`]) while ranks differ or room is short.

mod data_centre;
pub mod metrics;
mod rank;
pub(crate) mod refusal;
mod usual;
mod workspace;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use policy::census::{self, Census, Report, Tally};
use policy::headroom::Limit;
use tokio::sync::Notify;
use tokio::time::sleep;

pub use rank::{Waiting, enter, first_event, retry_after};

use crate::notice::Notice;
use crate::request::Call;
use crate::settings::Settings;
use crate::state::State;

/// Refused demand, in tokens a second, from which on room counts as short.
const MIN_REFUSED_DEMAND: f64 = 1.0;

/// Time without refusals after which all requests that arrive count as first attempts.
const QUIET_TIME: Duration = Duration::from_secs(8);

/// Demand for the models, as this router knows it.
#[derive(Debug, Default)]
pub struct Admission {
    /// By name of the service, sorted.
    services: RefCell<Vec<(String, Service)>>,
    counts: workspace::Counts,
    /// Notified when a request leaves the queue.
    pub(crate) queue_moved: Notify,
}

/// Demand for one model.
#[derive(Debug, Default)]
struct Service {
    tally: Tally,
    census: Census,
    ranks: rank::Ranks,
    data_centres: data_centre::DataCentres,
    usual: usual::Usual,
    workspaces: workspace::Workspaces,
    /// When a request was last refused.
    short_at: Option<Duration>,
}

impl Admission {
    /// Runs `work` on the demand for a service.
    fn service<T>(&self, name: &str, work: impl FnOnce(&mut Service) -> T) -> T {
        let mut services = self.services.borrow_mut();
        let at = match services.binary_search_by(|(n, _)| n.as_str().cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                services.insert(at, (name.to_owned(), Service::default()));
                at
            }
        };
        work(&mut services[at].1)
    }
}

impl Service {
    /// Takes the workspaces of newer settings.
    fn apply(&mut self, settings: &Settings) {
        if self.workspaces.apply(settings) {
            self.ranks.retain(|workspace| self.workspaces.exists(workspace));
        }
    }

    /// Whether this or another router has refused requests lately, as there was no room.
    fn is_short(&self, own: &Report, routers: u32, now: Duration) -> bool {
        let demand = self.census.by_rank(own, routers, now);
        demand.iter().any(|demand| demand.refused >= MIN_REFUSED_DEMAND)
    }
}

/// Returns the limit of a request and the name of what gives it. Where ranks differ, room is kept by rank alone: with the
/// limit of the data centre as well, room stays unused while servers are lost.
fn limit_by(state: &State, call: &Call, service: &str) -> (&'static str, Limit) {
    let (by, limit) = match ranks_differ(&call.settings, service) {
        true => ("rank", rank::limit(state, call, service)),
        false => ("data_centre", data_centre::limit(state, service)),
    };
    (if limit == Limit::full() { "none" } else { by }, limit)
}

/// Returns the limit of a request.
pub fn limit(state: &State, call: &Call, service: &str) -> Limit {
    limit_by(state, call, service).1
}

/// Records a request to a model that arrived.
pub fn arrived(state: &State, call: &Call, service: &str) {
    let (now, tokens) = (state.now(), call.tokens.total());
    let workspace = call.workspace.as_deref();
    let is_above = workspace::standing(state, call, service).is_some_and(|s| s.is_above);
    state.admission.counts.record(is_above, false);
    state.admission.service(service, |s| {
        s.tally.arrived(call.urgency(), workspace, tokens, now);
        s.workspaces.record(call, false, now);
        // While requests are refused, some of those that arrive are further attempts.
        if s.short_at.is_none_or(|at| now >= at + QUIET_TIME) {
            s.usual.record(call);
        }
    });
}

/// Records a request to a model that was refused, as there was no room for it.
pub fn refused(state: &State, call: &Call, service: &str) {
    let (now, tokens) = (state.now(), call.tokens.total());
    let is_above = workspace::standing(state, call, service).is_some_and(|s| s.is_above);
    state.admission.counts.record(is_above, true);
    state.admission.service(service, |s| {
        s.tally.refused(call.urgency(), tokens, now);
        s.workspaces.record(call, true, now);
        s.short_at = Some(now);
    });
}

/// Whether requests of different ranks go to a service.
pub fn ranks_differ(settings: &Settings, service: &str) -> bool {
    let routes = settings.routes.iter();
    let mut leading = routes.filter(|r| r.targets.iter().any(|t| t.service == service));
    let Some(rank) = leading.next().map(|route| route.rank) else { return false };
    let mut workspaces = settings.keys.iter().map(|key| key.rank.unwrap_or(rank));
    let first = workspaces.next();
    leading.any(|route| route.rank != rank) || workspaces.any(|rank| Some(rank) != first)
}

/// Applies the report of another router.
pub fn receive(state: &State, router: &str, service: &str, report: Report) {
    if router == state.setup.vm {
        return;
    }
    let now = state.now();
    state.admission.service(service, |s| {
        if report.total().refused >= MIN_REFUSED_DEMAND {
            s.short_at = Some(now);
        }
        s.census.insert(router, report, now);
    });
}

/// Returns the demand of all routers for each token of this one's, while data centres differ: a router with a burst
/// may then use servers of other data centres in proportion to it.
pub fn demand_ratio(state: &State, service: &str) -> Option<f64> {
    data_centre::demand_ratio(state, service)
}

/// Returns the metrics text: requests by how their workspaces stand to their shares, and the demand of the data centres.
pub fn page(state: &State) -> String {
    state.admission.counts.page() + &data_centre::page(state)
}

/// Tells the other routers what demand this one sees, as long as the process runs and ranks differ or room is short.
pub async fn send_reports(state: Rc<State>) {
    loop {
        sleep(census::interval(state.routers())).await;
        let (now, routers) = (state.now(), state.routers());
        let Some(settings) = state.settings() else { continue };
        let models = settings.services.iter().filter(|s| s.model.is_some());
        for service in models.map(|s| s.name.as_str()) {
            let differ = ranks_differ(&settings, service);
            let report = state.admission.service(service, |s| {
                s.census.expire(routers, now);
                let report = s.tally.report(&state.setup.zone, now);
                (differ || s.is_short(&report, routers, now)).then_some(report)
            });
            // Without requests, the limit would stay as it was in the metrics.
            data_centre::differ(&state, service);
            if let Some(report) = report {
                let router = state.setup.vm.clone();
                state.announce(Notice::demand(router, service.to_owned(), &report));
            }
        }
    }
}
