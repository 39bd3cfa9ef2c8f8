//! Weighted fair shares of slot time among workspaces.
//!
//! Load pattern: one workspace sends most of the requests. In a queue in order of arrival
//! every other workspace waits behind that flood and loses its deadlines.
//!
//! Each workspace has a virtual time that grows by the slot time it was given divided
//! by its weight. A workspace is inside its share while its virtual time is
//! not past the system's (worst-case fair weighted fair queueing, WF2Q+). Those inside
//! their share go first, by priority and then by the earlier virtual finish, so
//! priority can't be used to take another's share. When all that wait are past
//! their share, the one least past it goes: unused share is lent, never left idle.
//! A workspace that comes back after a pause starts at the system's virtual time:
//! it neither saves up what it didn't use nor pays for what was lent to it.

/// State of a workspace in bytes, without its name's text and its waiting requests.
pub const BYTES: usize = size_of::<Workspace>();

/// Settings of a workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// Name of the workspace.
    pub workspace: String,
    /// Its weight; 0 counts as 1.
    pub weight: u32,
    /// Requests it may have waiting in this queue.
    pub limit: u32,
}

/// What is known of one workspace.
#[derive(Debug, Clone)]
pub(crate) struct Workspace {
    pub(crate) share: Share,
    /// Virtual start of its next request, in seconds of slot time for a weight of one.
    pub(crate) start: f64,
    /// Slot time that waits, in seconds.
    pub(crate) backlog: f64,
    /// Requests that run.
    pub(crate) running: u32,
}

/// What the next request of a workspace looks like, for [`Clock::pick`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct Head {
    pub(crate) index: usize,
    pub(crate) start: f64,
    pub(crate) finish: f64,
    pub(crate) priority: u8,
}

/// The system's virtual time.
#[derive(Debug, Clone, Default)]
pub(crate) struct Clock {
    now: f64,
}

impl Workspace {
    pub(crate) fn new(share: Share) -> Workspace {
        Workspace { share, start: 0.0, backlog: 0.0, running: 0 }
    }

    pub(crate) fn weight(&self) -> f64 {
        f64::from(self.share.weight.max(1))
    }
}

impl Clock {
    /// The workspace to serve, among the heads of those that wait.
    pub(crate) fn pick(&mut self, heads: impl Iterator<Item = Head>) -> Option<usize> {
        let mut inside: Option<Head> = None;
        let mut past: Option<Head> = None;
        for head in heads {
            match head.start <= self.now {
                true if inside.is_none_or(|best| before(&head, &best)) => inside = Some(head),
                false if past.is_none_or(|best| head.start < best.start) => past = Some(head),
                _ => {}
            }
        }
        match (inside, past) {
            (Some(head), _) => Some(head.index),
            (None, Some(head)) => {
                self.now = head.start;
                Some(head.index)
            }
            (None, None) => None,
        }
    }

    /// A workspace without waiting requests gets one: it may not use what it didn't use before.
    pub(crate) fn wake(&self, workspace: &mut Workspace) {
        workspace.start = workspace.start.max(self.now);
    }

    /// A request of `run` seconds starts, while workspaces of `weights` in all wait or start.
    pub(crate) fn charge(&mut self, workspace: &mut Workspace, run: f64, weights: f64) {
        workspace.start += run / workspace.weight();
        self.now += run / weights.max(1.0);
    }
}

fn before(a: &Head, b: &Head) -> bool {
    (b.priority, a.finish) < (a.priority, b.finish)
}
