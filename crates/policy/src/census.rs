//! The demand that routers see, by rank, workspace and data centre.
//!
//! Load pattern: tens of routers share the servers, each sees a small part of the demand, and few see the burst. Each
//! router counts what arrives at it and tells the others from time to time; what a router was not told, it estimates.

use std::time::Duration;

/// Place of a request in the order of urgency; 0 comes first.
pub type Rank = u8;

/// Time constant of the decay: after it a request counts for a third of what it did.
pub const DECAY_TIME: Duration = Duration::from_secs(2);

/// Interval between two reports of a router in a small group.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Limit on the reports that all routers together send in a second.
const MAX_REPORTS_PER_S: u32 = 30;

/// Intervals after which a report expires.
const VALID_INTERVALS: u32 = 3;

/// Limit on the workspaces that a report names: those with the highest demand.
pub const MAX_WORKSPACES: usize = 8;

/// Limit on the workspaces that one router counts.
const MAX_COUNTED_WORKSPACES: usize = 256;

/// Demand of one rank, in tokens of prompt and answer a second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// The rank.
    pub rank: Rank,
    /// What arrived.
    pub arrived: f64,
    /// What was refused, as there was no room.
    pub refused: f64,
}

/// What one router tells the others.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Data centre of the router.
    pub data_centre: String,
    /// Demand by rank, sorted by rank.
    pub ranks: Vec<Demand>,
    /// Tokens a second that the largest workspaces asked for, sorted by name.
    pub workspaces: Vec<(String, f64)>,
}

impl Report {
    /// Returns the demand of all ranks together.
    pub fn total(&self) -> Demand {
        self.ranks.iter().fold(Demand::default(), |all, demand| Demand {
            rank: 0,
            arrived: all.arrived + demand.arrived,
            refused: all.refused + demand.refused,
        })
    }
}

/// Returns the interval between two reports of a router in a group of `routers`.
///
/// ```
/// # use std::time::Duration;
/// assert_eq!(policy::census::interval(12), Duration::from_secs(1));
/// assert_eq!(policy::census::interval(300), Duration::from_secs(10));
/// ```
pub fn interval(routers: u32) -> Duration {
    MIN_INTERVAL.max(Duration::from_secs(1) * routers / MAX_REPORTS_PER_S)
}

/// Demand that this router has seen itself, with exponential decay.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    ranks: Vec<Demand>,
    workspaces: Vec<(String, f64)>,
    at: Duration,
}

impl Tally {
    /// Records a request that arrived.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use policy::census::{DECAY_TIME, Tally};
    /// let mut tally = Tally::default();
    /// tally.arrived(0, Some("north"), 1000.0, Duration::ZERO);
    /// let report = tally.report("a", Duration::ZERO);
    /// assert_eq!(report.ranks[0].arrived, 1000.0 / DECAY_TIME.as_secs_f64());
    /// assert_eq!(report.workspaces[0].0, "north");
    /// ```
    pub fn arrived(&mut self, rank: Rank, workspace: Option<&str>, tokens: f64, now: Duration) {
        self.decay(now);
        self.rank(rank).arrived += tokens;
        let Some(workspace) = workspace else { return };
        match self.workspaces.binary_search_by(|(name, _)| name.as_str().cmp(workspace)) {
            Ok(at) => self.workspaces[at].1 += tokens,
            Err(at) if self.workspaces.len() < MAX_COUNTED_WORKSPACES => {
                self.workspaces.insert(at, (workspace.to_owned(), tokens));
            }
            Err(_) => {}
        }
    }

    /// Records a request that was refused, as there was no room for it.
    pub fn refused(&mut self, rank: Rank, tokens: f64, now: Duration) {
        self.decay(now);
        self.rank(rank).refused += tokens;
    }

    /// Returns the report of a router in `data_centre`.
    pub fn report(&self, data_centre: &str, now: Duration) -> Report {
        let factor = self.left(now) / DECAY_TIME.as_secs_f64();
        let rate = |demand: &Demand| Demand {
            rank: demand.rank,
            arrived: demand.arrived * factor,
            refused: demand.refused * factor,
        };
        let mut workspaces: Vec<(String, f64)> =
            self.workspaces.iter().map(|(name, tokens)| (name.clone(), tokens * factor)).collect();
        workspaces.sort_by(|a, b| b.1.total_cmp(&a.1));
        workspaces.truncate(MAX_WORKSPACES);
        workspaces.sort_by(|a, b| a.0.cmp(&b.0));
        Report {
            data_centre: data_centre.to_owned(),
            ranks: self.ranks.iter().map(rate).collect(),
            workspaces,
        }
    }

    fn rank(&mut self, rank: Rank) -> &mut Demand {
        let at = match self.ranks.binary_search_by_key(&rank, |demand| demand.rank) {
            Ok(at) => at,
            Err(at) => {
                self.ranks.insert(at, Demand { rank, ..Demand::default() });
                at
            }
        };
        &mut self.ranks[at]
    }

    fn left(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.at).as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }

    fn decay(&mut self, now: Duration) {
        let left = self.left(now);
        for demand in &mut self.ranks {
            (demand.arrived, demand.refused) = (demand.arrived * left, demand.refused * left);
        }
        self.workspaces.iter_mut().for_each(|(_, tokens)| *tokens *= left);
        self.workspaces.retain(|(_, tokens)| *tokens >= 1.0);
        self.at = now;
    }
}

/// Reports of the other routers.
///
/// ```
/// # use std::time::Duration;
/// use policy::census::{Census, Demand, Report};
/// let ranks = vec![Demand { rank: 1, arrived: 600.0, refused: 200.0 }];
/// let other = Report { data_centre: "b".into(), ranks, ..Report::default() };
/// let own = Report { data_centre: "a".into(), ..Report::default() };
/// let mut census = Census::default();
/// census.insert("router-2", other, Duration::ZERO);
/// // The third router was not heard: it counts as the mean of the others.
/// let ranks = census.by_rank(&own, 3, Duration::ZERO);
/// assert_eq!(ranks[0], Demand { rank: 1, arrived: 900.0, refused: 300.0 });
/// ```
#[derive(Debug, Clone, Default)]
pub struct Census {
    entries: Vec<Entry>,
}

#[derive(Debug, Clone)]
struct Entry {
    router: String,
    report: Report,
    received: Duration,
}

impl Census {
    /// Records the report of another router.
    pub fn insert(&mut self, router: &str, report: Report, now: Duration) {
        let entry = Entry { router: router.to_owned(), report, received: now };
        match self.entries.binary_search_by(|e| e.router.as_str().cmp(router)) {
            Ok(at) => self.entries[at] = entry,
            Err(at) => self.entries.insert(at, entry),
        }
    }

    /// Drops the reports that have expired.
    pub fn expire(&mut self, routers: u32, now: Duration) {
        let validity = interval(routers) * VALID_INTERVALS;
        self.entries.retain(|entry| now < entry.received + validity);
    }

    /// Whether no report is valid.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the demand of all `routers` by rank, sorted by rank, with `own` as the report of this router.
    pub fn by_rank(&self, own: &Report, routers: u32, now: Duration) -> Vec<Demand> {
        let mut ranks: Vec<Demand> = Vec::new();
        for demand in self.valid(own, routers, now).flat_map(|report| &report.ranks) {
            match ranks.binary_search_by_key(&demand.rank, |d| d.rank) {
                Ok(at) => {
                    ranks[at].arrived += demand.arrived;
                    ranks[at].refused += demand.refused;
                }
                Err(at) => ranks.insert(at, *demand),
            }
        }
        let scale = self.scale(own, routers, now);
        for demand in &mut ranks {
            (demand.arrived, demand.refused) = (demand.arrived * scale, demand.refused * scale);
        }
        ranks
    }

    /// Returns the demand of each data centre that is known, sorted by name.
    pub fn by_data_centre(
        &self,
        own: &Report,
        routers: u32,
        now: Duration,
    ) -> Vec<(String, Demand)> {
        let mut data_centres: Vec<(String, Demand)> = Vec::new();
        for report in self.valid(own, routers, now) {
            let total = report.total();
            let name = report.data_centre.as_str();
            match data_centres.binary_search_by(|(n, _)| n.as_str().cmp(name)) {
                Ok(at) => {
                    data_centres[at].1.arrived += total.arrived;
                    data_centres[at].1.refused += total.refused;
                }
                Err(at) => data_centres.insert(at, (name.to_owned(), total)),
            }
        }
        data_centres
    }

    /// Returns the tokens a second that workspaces ask of all `routers`, sorted by name. Routers report only their
    /// largest workspaces.
    pub fn by_workspace(&self, own: &Report, routers: u32, now: Duration) -> Vec<(String, f64)> {
        let mut workspaces: Vec<(String, f64)> = Vec::new();
        for (name, tokens) in self.valid(own, routers, now).flat_map(|report| &report.workspaces) {
            match workspaces.binary_search_by(|(n, _)| n.cmp(name)) {
                Ok(at) => workspaces[at].1 += tokens,
                Err(at) => workspaces.insert(at, (name.clone(), *tokens)),
            }
        }
        let scale = self.scale(own, routers, now);
        workspaces.iter_mut().for_each(|(_, tokens)| *tokens *= scale);
        workspaces
    }

    fn valid<'a>(
        &'a self,
        own: &'a Report,
        routers: u32,
        now: Duration,
    ) -> impl Iterator<Item = &'a Report> {
        let validity = interval(routers) * VALID_INTERVALS;
        let others = self.entries.iter().filter(move |e| now < e.received + validity);
        std::iter::once(own).chain(others.map(|e| &e.report))
    }

    /// Returns the ratio of all routers to those whose demand is known.
    fn scale(&self, own: &Report, routers: u32, now: Duration) -> f64 {
        let known = self.valid(own, routers, now).count() as f64;
        (f64::from(routers) / known).max(1.0)
    }
}
