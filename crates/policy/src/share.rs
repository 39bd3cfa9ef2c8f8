//! Weighted fair shares of slot time among workspaces.
//!
//! Load pattern: one workspace sends most of the requests. In a queue in order of arrival every other workspace waits
//! behind that flood and misses its deadlines.
//!
//! Each workspace has a virtual time that grows by the slot time it was given divided by its weight (start-time fair
//! queueing). Those within [`QUANTUM_S`] of the least served waiting one are ordered by priority and then by the
//! earlier virtual finish, so that priority can't be used to take another workspace's share. Only workspaces with
//! waiting requests are compared: unused share is lent, never left idle. A workspace that returns after a pause
//! starts at the virtual time then served: it neither accumulates what it didn't use nor pays for what was lent to
//! it.
//!
//! The system's virtual time is not kept as a separate clock (WF2Q+). Charges are corrected when a request ends early
//! or was refused by the agents; such a clock isn't corrected, runs ahead, and puts returning workspaces behind the
//! flood (Jain index 0.22 under many refusals).

/// Slot time in seconds, for a weight of one, by which a workspace may be ahead of the least served one and still go
/// before it by priority or shortness. About one draft of medium length: with less, priority has no effect; more is a
/// debt that the others wait for.
pub const QUANTUM_S: f64 = 10.0;

/// Number of workspaces compared by how well their next request suits the free slots. More find better matches, but
/// each costs a hash for each replica.
pub const MAX_COMPARED: usize = 8;

/// State of a workspace in bytes, without its name's text and its waiting requests.
pub const BYTES: usize = size_of::<Workspace>();

/// Settings of a workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// Name of the workspace.
    pub workspace: String,
    /// Its weight; 0 counts as 1.
    pub weight: u32,
    /// Largest number of its requests that may wait in this queue.
    pub limit: u32,
}

/// State of one workspace.
#[derive(Debug, Clone)]
pub(crate) struct Workspace {
    pub(crate) share: Share,
    /// Virtual start of its next request, in seconds of slot time for a weight of one.
    pub(crate) start: f64,
    /// Slot time of its waiting requests, in seconds.
    pub(crate) backlog: f64,
    /// How far behind the order of its queue it was when it last started a request, in seconds: the time less the
    /// request's place in the order. `None` when nothing waits.
    pub(crate) lag: Option<f64>,
    /// Run in seconds by weight, and priority, of its next request, kept here so that a choice among many workspaces
    /// reads one list.
    pub(crate) next: Option<(f64, u8)>,
    /// Requests that run.
    pub(crate) running: u32,
}

/// The next request of a workspace, for [`Clock::pick`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct Head {
    pub(crate) index: usize,
    pub(crate) start: f64,
    pub(crate) finish: f64,
    pub(crate) priority: u8,
}

/// Virtual time of the least served workspace when one was last served.
#[derive(Debug, Clone, Default)]
pub(crate) struct Clock {
    now: f64,
}

impl Workspace {
    pub(crate) fn head(&self, index: usize) -> Option<Head> {
        let (cost, priority) = self.next?;
        let finish = self.start + cost;
        Some(Head { index, start: self.start, finish, priority })
    }

    pub(crate) fn new(share: Share) -> Workspace {
        Workspace { share, start: 0.0, backlog: 0.0, lag: None, next: None, running: 0 }
    }

    pub(crate) fn weight(&self) -> f64 {
        f64::from(self.share.weight.max(1))
    }
}

impl Clock {
    /// Returns the workspace to serve, among the heads of those with waiting requests; `affinity` measures, for the
    /// first [`MAX_COMPARED`] of equal right, how well each suits the free slots.
    pub(crate) fn pick(
        &mut self,
        heads: impl Iterator<Item = Head> + Clone,
        quantum: f64,
        affinity: impl Fn(usize) -> u32,
    ) -> Option<usize> {
        self.now = heads.clone().map(|h| h.start).min_by(f64::total_cmp)?;
        let limit = self.now + quantum;
        let mut best = [None::<Head>; MAX_COMPARED];
        for head in heads.filter(|h| h.start <= limit) {
            if best[MAX_COMPARED - 1].is_some_and(|last| !precedes(&head, &last)) {
                continue;
            }
            let mut next = Some(head);
            for place in &mut best {
                match (&next, &place) {
                    (Some(a), Some(b)) if !precedes(a, b) => {}
                    _ => std::mem::swap(place, &mut next),
                }
            }
        }
        let first = best[0]?;
        let equal = best.iter().flatten().filter(|h| h.priority == first.priority);
        let suits = equal.map(|h| (affinity(h.index), h));
        let best = suits.reduce(|a, b| if b.0 > a.0 { b } else { a });
        best.map(|(_, h)| h.index)
    }

    /// Returns the present virtual time.
    pub(crate) fn now(&self) -> f64 {
        self.now
    }

    /// Moves the virtual time on to the start of the least served workspace, for a caller that keeps the order itself.
    pub(crate) fn advance(&mut self, start: f64) {
        self.now = self.now.max(start);
    }

    /// Moves a workspace that had no waiting requests to the present virtual time: it may not use what it didn't use
    /// before.
    pub(crate) fn activate(&self, workspace: &mut Workspace) {
        workspace.start = workspace.start.max(self.now);
    }

    /// Charges a workspace for a request of `run` seconds that starts.
    pub(crate) fn charge(&mut self, workspace: &mut Workspace, run: f64) {
        workspace.start += run / workspace.weight();
    }
}

fn precedes(a: &Head, b: &Head) -> bool {
    (b.priority, a.finish) < (a.priority, b.finish)
}
