//! Backend servers as they list themselves.

use std::net::SocketAddr;
use std::time::Duration;

use layers::Span;
use policy::crash::Start;

/// Name of one start of a backend server.
pub type Id = String;

/// Whether a server accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// It accepts new work.
    Ready,
    /// It is leaving and must get no new work.
    Draining,
}

/// An entry of the list of servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Name of the server.
    pub id: Id,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: String,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: State,
    /// Remaining warm-up time, in which it is slow.
    pub cold: Duration,
    /// When it started, in milliseconds of Unix time; zero if that is not known.
    pub born: u64,
    /// Number of this entry since its start.
    pub sequence: u64,
    /// Its accelerator type, if it is a model server.
    pub card: Option<String>,
    /// The layers that it holds.
    pub span: Span,
}

impl Server {
    /// Whether another entry has the same content. The remaining warm-up time and the number of the entry do not count.
    pub fn has_same_content(&self, other: &Server) -> bool {
        let same = Server { cold: other.cold, sequence: other.sequence, ..self.clone() };
        same == *other
    }

    /// Whether both entries are known to belong to the same start of the server.
    pub fn is_same_start(&self, other: &Server) -> bool {
        self.born == other.born && self.born != 0
    }

    /// Returns the start of the server that wrote this entry.
    pub fn start(&self) -> Start {
        Start { id: self.id.clone(), born: self.born }
    }

    /// Whether the same start of the server wrote this entry before the other one; false if that is not known.
    ///
    /// ```
    /// # use gateway::server::{Server, State};
    /// # let entry = |born, sequence| Server {
    /// #     id: "s".into(), service: "desk".into(), address: ([127, 0, 0, 1], 1).into(), zone: "a".into(),
    /// #     slots: 6, state: State::Ready, cold: std::time::Duration::ZERO, born, sequence,
    /// #     card: None, span: layers::Span::default(),
    /// # };
    /// assert!(entry(100, 7).is_before(&entry(100, 8)));
    /// assert!(!entry(200, 1).is_before(&entry(100, 8)));
    /// ```
    pub fn is_before(&self, other: &Server) -> bool {
        self.is_same_start(other) && self.sequence < other.sequence
    }
}

/// State of a model server as it reports it on request.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Report {
    /// Number of orders that it has accepted since its start.
    pub orders: u64,
    /// Whether an order is in progress.
    pub busy: bool,
    /// The layers that it holds.
    pub span: Span,
    /// Factor on the time of its steps; over 1 it is slower than its kind.
    pub pace: f64,
    /// Fraction of its memory for requests that is in use, if it reports that.
    pub filled: Option<f64>,
    /// When it started, in milliseconds of Unix time.
    pub born: u64,
    /// Requests that wait for a server further along their path.
    pub stalled: Vec<Stall>,
}

/// A request that makes no progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stall {
    /// Id of the caller's attempt.
    pub request: String,
    /// The server that it waits for.
    pub address: SocketAddr,
}
