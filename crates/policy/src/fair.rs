//! Fair shares of the room among workspaces, while requests are refused for lack of room.
//!
//! Load pattern: one workspace asks for ten times what it usually does. The servers are full, each free place goes to
//! whoever asks next, and most of those who ask belong to that workspace.
//!
//! - [`share`] is the max-min fair share: what each workspace may take if none gets more than it asks for and what some
//!   leave goes to the others.
//! - [`Shares`] gives the factor by which a workspace above its share narrows its limit, so that the others find room.
//! - `Order` gives waiting requests their virtual start, by the start-time fair queueing of [`crate::share`].

use std::time::Duration;

use crate::census::{Census, Rank, Report};
use crate::share::{Clock, Share, Workspace};

/// Limit on the workspaces whose state a router keeps.
pub const MAX_WORKSPACES: usize = 256;

/// Time constant of the decay of what was served to each workspace. The bound against starvation holds over some tens of
/// seconds.
const SERVED_DECAY: Duration = Duration::from_secs(10);

/// Ratio of the demand that is refused from which on a workspace above its share leaves all the room that it can. Below
/// it leaves less, so that a single refusal changes little.
const SHORT_RATIO: f64 = 0.02;

/// Room that a workspace leaves whose demand is far above its share.
const MAX_RESERVE: f64 = 0.4;

/// Part of the demand above the share from which on a workspace leaves all of its reserve. The share is measured by what
/// is served, which grows with what the workspace itself gets, so that the excess is small while it takes most.
const FULL_EXCESS: f64 = 0.2;

/// Part of the demand above the share from which on a workspace counts as above it. Reports are seconds old, and the
/// demand of a workspace within its share varies by a tenth in that time.
const BEGIN_EXCESS: f64 = 0.05;

/// Part of the demand above the share below which it no longer counts as above it.
const END_EXCESS: f64 = 0.02;

/// Ratio between how often a workspace is served and how often the others are, at which it leaves no room. Callers are
/// promised a quarter.
const STARVED_RATIO: f64 = 0.27;

/// The same ratio from which on it leaves all of its reserve. Between both the reserve grows in proportion: with one
/// bound alone the workspace would alternate between full limits and none.
const SOUND_RATIO: f64 = 0.35;

/// Demand in tokens a second below which a workspace counts as unused.
const MIN_DEMAND: f64 = 1.0;

/// Demand of the workspaces that compete for the same room, in tokens a second at all routers.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// What arrived.
    pub arrived: f64,
    /// What was refused, as there was no room.
    pub refused: f64,
    /// The workspaces that routers reported, with their shares and what they asked for, sorted by name.
    pub named: Vec<(Share, f64)>,
    /// Number of the other workspaces. What the named ones did not ask for is theirs.
    pub others: usize,
}

impl Demand {
    /// Adds up the demand at all `routers`, of ranks for which `counts` holds and of a number of workspaces; `member` has
    /// the share of each. What the workspaces ask for that are `gone` is no demand of the others.
    pub fn of(
        (census, own, routers): (&Census, &Report, u32),
        workspaces: usize,
        member: impl Fn(&str) -> Option<Share>,
        counts: impl Fn(Rank) -> bool,
        gone: impl Fn(&str) -> bool,
        now: Duration,
    ) -> Demand {
        let (mut named, mut left) = (Vec::new(), 0.0);
        for (workspace, tokens) in census.by_workspace(own, routers, now) {
            if let Some(share) = member(&workspace) {
                named.push((share, tokens));
            } else if gone(&workspace) {
                left += tokens;
            }
        }
        let ranks = census.by_rank(own, routers, now);
        let (all, refused) = ranks
            .iter()
            .filter(|demand| counts(demand.rank))
            .fold((0.0, 0.0), |sum, demand| (sum.0 + demand.arrived, sum.1 + demand.refused));
        let arrived = (all - left).max(0.0);
        let refused = refused * arrived / all.max(MIN_DEMAND);
        Demand { arrived, refused, others: workspaces.saturating_sub(named.len()), named }
    }

    /// Returns the ratio of the demand that was refused.
    fn refused_ratio(&self) -> f64 {
        (self.refused / self.arrived.max(MIN_DEMAND)).min(1.0)
    }

    /// Whether room is short and several workspaces compete for it.
    fn is_contested(&self) -> bool {
        self.refused >= MIN_DEMAND && self.named.len() + self.others >= 2
    }
}

/// Returns what a workspace of weight 1 may take of the room at most, in tokens a second.
///
/// ```
/// use policy::fair::{Demand, share};
/// use policy::share::Share;
/// let named = |name: &str, tokens| (Share { workspace: name.into(), weight: 1, limit: 0 }, tokens);
/// let named = vec![named("large", 800.0), named("small", 100.0)];
/// // Three others ask for 100 each. What they and the small one leave of 700 is for the large one.
/// let demand = Demand { arrived: 1200.0, refused: 500.0, named, others: 3 };
/// assert_eq!(share(&demand), 300.0);
/// ```
pub fn share(demand: &Demand) -> f64 {
    let named: f64 = demand.named.iter().map(|(_, tokens)| tokens).sum();
    let rest = (demand.arrived - named).max(0.0);
    let mut claims: Vec<(f64, f64)> = demand
        .named
        .iter()
        .map(|(share, tokens)| (*tokens, f64::from(share.weight.max(1))))
        .collect();
    if demand.others > 0 {
        // The others count as equal: each router reports only its largest workspaces.
        claims.push((rest, demand.others as f64));
    }
    claims.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    let mut weights: f64 = claims.iter().map(|claim| claim.1).sum();
    let mut room = (named + rest - demand.refused).max(0.0);
    for (tokens, weight) in claims {
        if tokens / weight >= room / weights {
            return room / weights;
        }
        room -= tokens;
        weights -= weight;
    }
    f64::INFINITY
}

/// What one router keeps of a workspace.
#[derive(Debug, Clone)]
struct Entry {
    workspace: String,
    arrived: f64,
    refused: f64,
    /// Part of its demand that is above its share, while it counts as above it.
    excess: Option<f64>,
}

/// A workspace that begins or ceases to be above its share.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The workspace.
    pub workspace: String,
    /// Whether it is above its share now.
    pub above: bool,
    /// What it asks for, in tokens a second.
    pub demand: f64,
    /// Its share.
    pub share: f64,
}

/// Which workspaces are above their shares, and by how much they narrow their limits.
///
/// ```
/// # use std::time::Duration;
/// use policy::fair::{Demand, Shares};
/// use policy::share::Share;
/// let named = |name: &str, tokens| (Share { workspace: name.into(), weight: 1, limit: 0 }, tokens);
/// let named = vec![named("large", 900.0), named("small", 100.0)];
/// let demand = Demand { arrived: 1000.0, refused: 500.0, named, others: 0 };
/// let (mut shares, now) = (Shares::default(), Duration::ZERO);
/// assert_eq!(shares.update(&demand)[0].workspace, "large");
/// assert!(shares.factor("large", now) < 1.0);
/// assert_eq!(shares.factor("small", now), 1.0);
/// shares.update(&Demand { refused: 0.0, ..demand });
/// assert_eq!(shares.factor("large", now), 1.0);
/// ```
#[derive(Debug, Default)]
pub struct Shares {
    /// By name, sorted.
    entries: Vec<Entry>,
    /// Part of the reserve that the shortage calls for.
    pressure: f64,
    is_contested: bool,
    at: Duration,
}

impl Shares {
    /// Records a request of a workspace that arrived at this router.
    pub fn arrived(&mut self, workspace: &str, tokens: f64, now: Duration) {
        self.decay(now);
        if let Some(entry) = self.entry(workspace) {
            entry.arrived += tokens;
        }
    }

    /// Records a request of a workspace that this router refused, as there was no room.
    pub fn refused(&mut self, workspace: &str, tokens: f64, now: Duration) {
        self.decay(now);
        if let Some(entry) = self.entry(workspace) {
            entry.refused += tokens;
        }
    }

    /// Drops the state of workspaces that are not to be kept.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.entries.retain(|entry| keep(&entry.workspace));
    }

    /// Returns the demand of the last ten seconds at this router alone, for one that hears nothing of the others: what
    /// it sees of each workspace in a second or two is too little to compare them.
    pub fn own_demand(
        &self,
        workspaces: usize,
        share: impl Fn(&str) -> Share,
        now: Duration,
    ) -> Demand {
        let rate = self.left(now) / SERVED_DECAY.as_secs_f64();
        let named: Vec<(Share, f64)> =
            self.entries.iter().map(|e| (share(&e.workspace), e.arrived * rate)).collect();
        Demand {
            arrived: named.iter().map(|(_, tokens)| tokens).sum(),
            refused: self.entries.iter().map(|e| e.refused * rate).sum(),
            others: workspaces.saturating_sub(named.len()),
            named,
        }
    }

    /// Applies the demand at all routers and returns what has changed.
    pub fn update(&mut self, demand: &Demand) -> Vec<Change> {
        self.pressure = (demand.refused_ratio() / SHORT_RATIO).min(1.0);
        self.is_contested = demand.is_contested();
        let share = match self.is_contested {
            true => share(demand),
            false => f64::INFINITY,
        };
        for (named, _) in &demand.named {
            self.entry(&named.workspace);
        }
        let mut changes = Vec::new();
        for entry in &mut self.entries {
            let at = demand.named.binary_search_by(|(s, _)| s.workspace.cmp(&entry.workspace));
            let (own, tokens) = at.map_or((share, 0.0), |at| {
                let (named, tokens) = &demand.named[at];
                (share * f64::from(named.weight.max(1)), *tokens)
            });
            let excess = 1.0 - own / tokens.max(MIN_DEMAND);
            let was_above = entry.excess.is_some();
            let bound = if was_above { END_EXCESS } else { BEGIN_EXCESS };
            entry.excess = (excess > bound).then_some(excess);
            if was_above != entry.excess.is_some() {
                changes.push(Change {
                    workspace: entry.workspace.clone(),
                    above: !was_above,
                    demand: tokens,
                    share: own,
                });
            }
        }
        changes
    }

    /// Returns the factor by which a workspace narrows its limit; 1 for one within its share.
    pub fn factor(&self, workspace: &str, now: Duration) -> f64 {
        let Ok(at) = self.find(workspace) else { return 1.0 };
        let Some(excess) = self.entries[at].excess else { return 1.0 };
        let sound = (self.served_ratio(at, now) - STARVED_RATIO) / (SOUND_RATIO - STARVED_RATIO);
        1.0 - MAX_RESERVE * (excess / FULL_EXCESS).min(1.0) * self.pressure * sound.clamp(0.0, 1.0)
    }

    /// Whether this router served a workspace much less often than the others.
    pub fn is_starved(&self, workspace: &str, now: Duration) -> bool {
        self.find(workspace).is_ok_and(|at| self.served_ratio(at, now) <= STARVED_RATIO)
    }

    /// Whether a workspace is above its share.
    pub fn is_above(&self, workspace: &str) -> bool {
        self.find(workspace).is_ok_and(|at| self.entries[at].excess.is_some())
    }

    /// Whether room is short and several workspaces compete for it.
    pub fn is_contested(&self) -> bool {
        self.is_contested
    }

    /// Whether state of a workspace is kept.
    pub fn is_kept(&self, workspace: &str) -> bool {
        self.find(workspace).is_ok()
    }

    /// Returns the number of workspaces whose state is kept, at most [`MAX_WORKSPACES`].
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no state is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns how often this router served the workspace at `at`, relative to the others; 1 while it has seen too little.
    fn served_ratio(&self, at: usize, now: Duration) -> f64 {
        let left = self.left(now);
        let ratio = |arrived: f64, refused: f64| match arrived * left < MIN_DEMAND {
            true => 1.0,
            false => 1.0 - (refused / arrived).min(1.0),
        };
        let (arrived, refused) =
            self.entries.iter().fold((0.0, 0.0), |sum, e| (sum.0 + e.arrived, sum.1 + e.refused));
        let own = &self.entries[at];
        let others = ratio(arrived - own.arrived, refused - own.refused);
        ratio(own.arrived, own.refused) / others.max(f64::EPSILON)
    }

    fn find(&self, workspace: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.workspace.as_str().cmp(workspace))
    }

    fn entry(&mut self, workspace: &str) -> Option<&mut Entry> {
        let at = match self.find(workspace) {
            Ok(at) => at,
            Err(at) if self.entries.len() < MAX_WORKSPACES => {
                let workspace = workspace.to_owned();
                let entry = Entry { workspace, arrived: 0.0, refused: 0.0, excess: None };
                self.entries.insert(at, entry);
                at
            }
            Err(_) => return None,
        };
        Some(&mut self.entries[at])
    }

    fn left(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.at).as_secs_f64() / SERVED_DECAY.as_secs_f64()).exp()
    }

    fn decay(&mut self, now: Duration) {
        let left = self.left(now);
        for entry in &mut self.entries {
            (entry.arrived, entry.refused) = (entry.arrived * left, entry.refused * left);
        }
        self.entries.retain(|entry| entry.arrived >= MIN_DEMAND || entry.excess.is_some());
        self.at = now;
    }
}

/// Virtual starts of the requests that wait at one router, by start-time fair queueing. Costs are in tokens.
#[derive(Debug, Default)]
pub(crate) struct Order {
    /// By name, sorted.
    workspaces: Vec<Workspace>,
    clock: Clock,
}

impl Order {
    /// Returns the virtual start of a request that arrives, and charges its workspace for it.
    pub(crate) fn enter(&mut self, share: &Share, tokens: f64) -> u64 {
        let at = match self.find(&share.workspace) {
            Ok(at) => at,
            Err(at) if self.workspaces.len() < MAX_WORKSPACES => {
                self.workspaces.insert(at, Workspace::new(share.clone()));
                at
            }
            Err(_) => return self.now(),
        };
        let workspace = &mut self.workspaces[at];
        workspace.share.weight = share.weight;
        self.clock.activate(workspace);
        let start = workspace.start;
        self.clock.charge(workspace, tokens);
        start as u64
    }

    /// Gives back what a request was charged that got no place.
    pub(crate) fn refund(&mut self, workspace: &str, tokens: f64) {
        if let Ok(at) = self.find(workspace) {
            let workspace = &mut self.workspaces[at];
            workspace.start -= tokens / workspace.weight();
        }
    }

    /// Returns the present virtual time.
    pub(crate) fn now(&self) -> u64 {
        self.clock.now() as u64
    }

    /// Records that a request got a place, while `start` is the least virtual start among those that wait.
    pub(crate) fn placed(&mut self, start: u64) {
        self.clock.advance(start as f64);
    }

    /// Drops the state of workspaces that are not to be kept.
    pub(crate) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.workspaces.retain(|workspace| keep(&workspace.share.workspace));
    }

    fn find(&self, workspace: &str) -> Result<usize, usize> {
        self.workspaces.binary_search_by(|w| w.share.workspace.as_str().cmp(workspace))
    }
}
