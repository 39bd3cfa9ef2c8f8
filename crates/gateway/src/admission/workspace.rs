//! Workspaces that compete for room: their fair shares, and the order in the queue that follows from them.
//!
//! [`policy::fair::Shares::factor`] is not applied to limits: on a saturated deployment with a few large workspaces, narrower
//! limits for those left a tenth of the room unused.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use policy::census::{Census, Report};
use policy::fair::{Change, Demand, Shares};
use policy::share::Share;

use crate::logging::{Line, Quota};
use crate::request::Call;
use crate::settings::{Rank, Settings, Version};
use crate::state::State;

/// Time for which the shares are kept before they are computed again.
const SHARES_VALIDITY: Duration = Duration::from_millis(100);

/// Limit on the lines about workspaces that begin or cease to be above their shares, in a second.
const MAX_LINES_PER_S: u32 = 4;

/// The workspaces of one set of settings and their shares of the room of one model.
#[derive(Debug, Default)]
pub(super) struct Workspaces {
    version: Option<Version>,
    /// Workspaces that have keys, each with its own rank, sorted by name.
    known: Vec<(String, Option<Rank>)>,
    /// Shares among the workspaces of equal rank: rank comes before workspace.
    groups: Vec<(Option<Rank>, Shares)>,
    computed_at: Option<Duration>,
}

/// Requests of workspaces within and above their shares.
#[derive(Debug, Default)]
pub(super) struct Counts {
    within: Count,
    above: Count,
    lines: RefCell<Quota>,
}

#[derive(Debug, Default)]
struct Count {
    arrived: Cell<u64>,
    refused: Cell<u64>,
}

/// How the workspace of a request stands while room is short.
#[derive(Debug, Clone)]
pub(super) struct Standing {
    /// Its share.
    pub(super) share: Share,
    /// Whether it is above its share.
    pub(super) is_above: bool,
    /// Whether it is served much less often than the others.
    pub(super) is_starved: bool,
}

impl Workspaces {
    /// Takes the workspaces of newer settings and drops the state of those that no longer exist; whether they changed.
    pub(super) fn apply(&mut self, settings: &Settings) -> bool {
        if self.version.is_some_and(|version| version >= settings.version) {
            return false;
        }
        self.version = Some(settings.version);
        self.known = settings.keys.iter().map(|key| (key.workspace.clone(), key.rank)).collect();
        self.known.sort();
        self.known.dedup_by(|a, b| a.0 == b.0);
        let mut ranks: Vec<Option<Rank>> = self.known.iter().map(|(_, rank)| *rank).collect();
        ranks.sort_unstable();
        ranks.dedup();
        self.groups.retain(|(rank, _)| ranks.contains(rank));
        for rank in ranks {
            if !self.groups.iter().any(|(r, _)| *r == rank) {
                self.groups.push((rank, Shares::default()));
            }
        }
        for (rank, shares) in &mut self.groups {
            let known = &self.known;
            shares.retain(|name| rank_in(known, name) == Some(*rank));
        }
        self.computed_at = None;
        true
    }

    /// Whether the settings in force have a workspace.
    pub(super) fn exists(&self, workspace: &str) -> bool {
        rank_in(&self.known, workspace).is_some()
    }

    /// Returns the shares among the workspaces of equal rank.
    fn shares(&mut self, workspace: &str) -> Option<&mut Shares> {
        let rank = rank_in(&self.known, workspace)?;
        self.groups.iter_mut().find(|(r, _)| *r == rank).map(|(_, shares)| shares)
    }

    /// Records a request that arrived, or one that was refused.
    pub(super) fn record(&mut self, call: &Call, is_refused: bool, now: Duration) {
        let Some(workspace) = call.workspace.as_deref() else { return };
        let Some(shares) = self.shares(workspace) else { return };
        match is_refused {
            true => shares.refused(workspace, call.tokens.total(), now),
            false => shares.arrived(workspace, call.tokens.total(), now),
        }
    }

    /// Computes the shares from the demand at all routers.
    fn compute(
        &mut self,
        own: impl FnOnce() -> Report,
        census: &Census,
        routers: u32,
        now: Duration,
    ) -> Vec<Change> {
        if self.computed_at.is_some_and(|at| now < at + SHARES_VALIDITY) {
            return Vec::new();
        }
        self.computed_at = Some(now);
        let own = own();
        let own_ranks: Vec<Rank> = self.groups.iter().filter_map(|(rank, _)| *rank).collect();
        let is_single = self.groups.len() == 1;
        let mut changes = Vec::new();
        for (rank, shares) in &mut self.groups {
            let members = self.known.iter().filter(|(_, r)| r == rank).count();
            if census.is_empty() {
                let demand = shares.own_demand(members, share, now);
                changes.extend(shares.update(&demand));
                continue;
            }
            let member =
                |name: &str| (rank_in(&self.known, name) == Some(*rank)).then(|| share(name));
            // Workspaces without a rank have those of the routes, and requests of all of them are one demand.
            let counts = |urgency| {
                let first = Call::workspace_rank(urgency);
                rank.map_or(!own_ranks.contains(&first), |rank| rank.min(9) == first)
            };
            // While ranks differ, that of a workspace that no longer exists is not known.
            let gone = |name: &str| is_single && rank_in(&self.known, name).is_none();
            let reports = (census, &own, routers);
            let demand = Demand::of(reports, members, member, counts, gone, now);
            changes.extend(shares.update(&demand));
        }
        changes
    }
}

impl Counts {
    /// Counts a request that arrived, or one that was refused.
    pub(super) fn record(&self, is_above: bool, is_refused: bool) {
        let count = if is_above { &self.above } else { &self.within };
        let count = if is_refused { &count.refused } else { &count.arrived };
        count.set(count.get() + 1);
    }

    /// Returns the metrics text.
    pub(super) fn page(&self) -> String {
        let lines = [("within", &self.within), ("above", &self.above)].map(|(class, count)| {
            format!(
                "hyssop_share_requests_total{{share=\"{class}\"}} {}\nhyssop_share_refusals_total{{share=\"{class}\"}} {}\n",
                count.arrived.get(),
                count.refused.get()
            )
        });
        lines.concat()
    }
}

/// Returns the rank of a workspace that is known.
fn rank_in(known: &[(String, Option<Rank>)], workspace: &str) -> Option<Option<Rank>> {
    let at = known.binary_search_by(|(name, _)| name.as_str().cmp(workspace)).ok()?;
    Some(known[at].1)
}

/// Returns the share of a workspace. The settings give all of them the same weight.
fn share(workspace: &str) -> Share {
    Share { workspace: workspace.to_owned(), weight: 1, limit: u32::MAX }
}

/// Returns how the workspace of a request stands, if workspaces compete for room that is short.
pub(super) fn standing(state: &State, call: &Call, service: &str) -> Option<Standing> {
    let workspace = call.workspace.as_deref()?;
    let (now, routers) = (state.now(), state.routers());
    let (standing, changes) = state.admission.service(service, |s| {
        s.apply(&call.settings);
        let own = || s.tally.report(&state.setup.zone, now);
        let changes = s.workspaces.compute(own, &s.census, routers, now);
        let shares = s.workspaces.shares(workspace);
        let standing = shares.filter(|shares| shares.is_contested()).map(|shares| Standing {
            share: share(workspace),
            is_above: shares.is_above(workspace),
            is_starved: shares.is_starved(workspace, now),
        });
        (standing, changes)
    });
    changes.iter().for_each(|change| log_change(state, service, change));
    standing
}

fn log_change(state: &State, service: &str, change: &Change) {
    let lines = &state.admission.counts.lines;
    if let Line::Written(left_out) = lines.borrow_mut().take(state.now(), MAX_LINES_PER_S) {
        log::info!(
            "gateway: service={service} workspace={} above_share={} demand={:.0} share={:.0} left_out={left_out}",
            change.workspace,
            change.above,
            change.demand,
            change.share
        );
    }
}
