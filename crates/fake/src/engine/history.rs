//! The history of an engine process, for tests that count layer runs.

use engine::{Order, Session};
use serde::{Deserialize, Serialize};

use crate::model::Range;

/// Maximum number of sessions listed; later ones are only counted.
pub const MAX_SESSIONS: usize = 200_000;

/// Maximum number of orders listed; later ones are not recorded.
pub const MAX_ORDERS: usize = 10_000;

/// What an engine process did since its start.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    /// Incarnation of the process.
    pub incarnation: String,
    /// Accepted orders, oldest first.
    pub orders: Vec<Order>,
    /// Number of orders refused for an old fencing number.
    pub refused: u64,
    /// Sessions in the order in which they were opened.
    pub sessions: Vec<SessionRuns>,
    /// Number of sessions opened after [`MAX_SESSIONS`] was reached.
    pub unlisted: u64,
    /// Number of positions run, over all sessions.
    pub positions: u64,
    /// Number of layer runs, over all positions.
    pub layer_runs: u64,
    /// Number of batches run.
    pub batches: u64,
    /// Total duration of the batches, in microseconds.
    pub busy_us: u64,
    /// Number of positions served from the prefix cache.
    pub cached: u64,
}

/// A session and the positions that it ran.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SessionRuns {
    /// Session id, chosen by the agent.
    pub session: String,
    /// Tag, chosen by the agent.
    pub tag: String,
    /// Model that ran.
    pub model: String,
    /// Version of the weights.
    pub version: u32,
    /// First layer of the range that ran.
    pub first: u32,
    /// Last layer of the range, inclusive.
    pub last: u32,
    /// Positions run, in order; each position ran every layer of the range once.
    pub runs: Vec<Run>,
}

/// A run of consecutive positions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// First position.
    pub start: u32,
    /// Number of positions.
    pub count: u32,
}

impl SessionRuns {
    /// Returns the number of positions run; a repeated position counts each time.
    pub fn positions(&self) -> u64 {
        self.runs.iter().map(|r| u64::from(r.count)).sum()
    }

    /// Returns a position that ran twice in this session, if there is one.
    ///
    /// ```
    /// use fake::engine::history::{SessionRuns, Run};
    /// let runs = vec![Run { start: 0, count: 4 }, Run { start: 3, count: 2 }];
    /// let session = SessionRuns { runs, ..SessionRuns::default() };
    /// assert_eq!(session.repeated_position(), Some(3));
    /// ```
    pub fn repeated_position(&self) -> Option<u32> {
        let mut runs = self.runs.clone();
        runs.sort_by_key(|r| r.start);
        let overlap = |pair: &[Run]| pair[1].start < pair[0].start + pair[0].count;
        runs.windows(2).find(|pair| overlap(pair)).map(|pair| pair[1].start)
    }
}

impl History {
    /// Returns the sessions whose id or tag contains `part`, such as a request id.
    pub fn find<'a>(&'a self, part: &'a str) -> impl Iterator<Item = &'a SessionRuns> {
        self.sessions.iter().filter(move |s| s.session.contains(part) || s.tag.contains(part))
    }

    /// Returns a copy that lists `sessions` instead of all sessions.
    pub(crate) fn with_sessions(&self, sessions: Vec<SessionRuns>) -> History {
        let History { incarnation, orders, .. } = self;
        let (incarnation, orders) = (incarnation.clone(), orders.clone());
        History { incarnation, orders, sessions, ..*self }
    }

    /// Adds a session; returns its index, or `None` if the list is full.
    pub(crate) fn record_session(&mut self, session: &Session, range: &Range) -> Option<usize> {
        if self.sessions.len() >= MAX_SESSIONS {
            self.unlisted += 1;
            return None;
        }
        self.sessions.push(SessionRuns {
            session: session.session.clone(),
            tag: session.tag.clone(),
            model: range.model.clone(),
            version: range.version,
            first: range.first,
            last: range.last(),
            runs: Vec::new(),
        });
        Some(self.sessions.len() - 1)
    }

    /// Adds the positions of a step.
    pub(crate) fn record_run(&mut self, index: Option<usize>, run: Run, layers: usize) {
        self.positions += u64::from(run.count);
        self.layer_runs += u64::from(run.count) * layers as u64;
        let Some(session) = index.and_then(|i| self.sessions.get_mut(i)) else { return };
        match session.runs.last_mut() {
            Some(last) if last.start + last.count == run.start => last.count += run.count,
            _ => session.runs.push(run),
        }
    }

    /// Adds an accepted order.
    pub(crate) fn record_order(&mut self, order: &Order) {
        if self.orders.len() < MAX_ORDERS {
            self.orders.push(order.clone());
        }
    }
}
