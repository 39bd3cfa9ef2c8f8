//! The limit that follows from the demand of the data centres.

use std::time::Duration;

use policy::balance::{self, Balance, refused};
use policy::census::{Census, Demand, Report};
use policy::headroom::Limit;

use super::Service;
use crate::state::State;

/// Time for which a decision is kept before the demand is added up again.
const DECISION_VALIDITY: Duration = Duration::from_millis(100);

/// Change of the share of the limit that is logged.
const LOGGED_CHANGE: f64 = 0.05;

/// Time between two log lines of a service.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limit on the data centres that the metrics of a service name.
const MAX_LISTED_DATA_CENTRES: usize = 16;

/// What one router keeps of the demand of the data centres for one model.
#[derive(Debug, Default)]
pub(super) struct DataCentres {
    balance: Balance,
    demand: Vec<(String, Demand)>,
    /// Demand of all routers for each token of this one's.
    demand_ratio: Option<f64>,
    updated: Option<Duration>,
    logged: Option<(f64, Duration)>,
}

impl DataCentres {
    /// Applies the census, and logs a noticeable change of the limit.
    fn update(&mut self, service: &str, census: &Census, own: Report, routers: u32, now: Duration) {
        self.updated = Some(now);
        self.demand = census.by_data_centre(&own, routers, now);
        self.demand_ratio =
            balance::demand_ratio(&own.total(), &census.by_rank(&own, routers, now));
        self.balance.update(&own.data_centre, &self.demand, now);
        let share = self.balance.share();
        let (before, at) = self.logged.unwrap_or((1.0, Duration::ZERO));
        let changed = (share - before).abs() >= LOGGED_CHANGE || share == 1.0 && before < 1.0;
        if changed && (self.logged.is_none() || now >= at + MIN_LOG_INTERVAL) {
            self.logged = Some((share, now));
            log::info!(
                "gateway: service={service} data_centre={} limit_share={share:.2} before={before:.2} refused=[{}]",
                own.data_centre,
                self.refused()
                    .map(|(n, part)| format!("{n}:{part:.2}"))
                    .collect::<Vec<_>>()
                    .join(" ")
            );
        }
    }

    /// Returns the refused part of the demand of each data centre.
    fn refused(&self) -> impl Iterator<Item = (&str, f64)> {
        self.demand.iter().filter_map(|(name, demand)| Some((name.as_str(), refused(demand)?)))
    }
}

/// Brings the decision up to date and runs `work` on it.
fn with_census<T>(state: &State, service: &str, work: impl FnOnce(&DataCentres) -> T) -> T {
    let (now, routers) = (state.now(), state.routers());
    state.admission.service(service, |s: &mut Service| {
        if s.data_centres.updated.is_none_or(|at| now >= at + DECISION_VALIDITY) {
            let own = s.tally.report(&state.setup.zone, now);
            s.data_centres.update(service, &s.census, own, routers, now);
        }
        work(&s.data_centres)
    })
}

/// Returns the limit of a request where ranks are alike.
pub(super) fn limit(state: &State, service: &str) -> Limit {
    Limit::full().scaled(with_census(state, service, |d| d.balance.share()))
}

/// Whether the callers of one data centre are refused clearly more often than those of another one.
pub(super) fn differ(state: &State, service: &str) -> bool {
    let now = state.now();
    with_census(state, service, |d| d.balance.differs(now))
}

/// Returns the demand of all routers for each token of this one's, while data centres differ.
pub(super) fn demand_ratio(state: &State, service: &str) -> Option<f64> {
    let now = state.now();
    with_census(state, service, |d| d.demand_ratio.filter(|_| d.balance.differs(now)))
}

/// Returns the metrics text: the share of the limit that callers of this data centre may take, and the refused part of
/// the demand of each one.
pub(super) fn page(state: &State) -> String {
    let services = state.admission.services.borrow();
    let mut text = String::new();
    for (service, s) in services.iter() {
        let share = s.data_centres.balance.share();
        text.push_str(&format!("hyssop_limit_share{{service=\"{service}\"}} {share:.3}\n"));
        for (name, part) in s.data_centres.refused().take(MAX_LISTED_DATA_CENTRES) {
            text.push_str(&format!(
                "hyssop_refused_share{{service=\"{service}\",data_centre=\"{name}\"}} {part:.3}\n"
            ));
        }
    }
    text
}
