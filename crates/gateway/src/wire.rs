//! What the gateway needs to know of the wire to callers and backend servers.
//!
//! Names and bodies belong to the platform; the adapter fills these in.

use bytes::Bytes;
use hyper::Method;
use hyper::header::HeaderName;
use layers::Span;
use std::net::SocketAddr;

use crate::server::Report;

/// Names of header fields.
#[derive(Debug, Clone)]
pub struct Names {
    /// Id of one try of a caller; backend servers repeat it in answers.
    pub request: HeaderName,
    /// Time the caller still waits, in milliseconds.
    pub deadline: HeaderName,
    /// Mark of a backend server on its own answers.
    pub stamp: HeaderName,
    /// Workspace of the caller, set by the router.
    pub workspace: HeaderName,
    /// Key of the caller, never passed on.
    pub key: HeaderName,
    /// The server that is meant; any other declines.
    pub server: HeaderName,
    /// Statement of a backend server that it did not run the request.
    pub not_run: HeaderName,
    /// The path through the model's layers.
    pub path: HeaderName,
    /// The part of a path that is at fault.
    pub culprit: HeaderName,
    /// Rank of the request at a model server.
    pub rank: HeaderName,
    /// Prompt tokens and most output tokens.
    pub tokens: HeaderName,
    /// Last event that the caller has.
    pub last_event: HeaderName,
    /// Load that a backend server tells.
    pub load: HeaderName,
    /// Requests a second that a backend server in need takes from all routers together.
    pub limit: HeaderName,
    /// Version of the weights that is expected.
    pub weights: HeaderName,
    /// Further fields that a caller can't have removed on the way.
    pub protected: Vec<HeaderName>,
}

/// A call to a model server that is no caller's request.
#[derive(Debug, Clone)]
pub struct Command {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: &'static str,
    /// Body, in JSON.
    pub body: Bytes,
}

/// An order to hold layers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Order {
    /// The layers.
    pub span: Span,
    /// Orders the server must have accepted before, or it declines. So an order that is carried
    /// out late, after a newer one, does nothing.
    pub after: u64,
}

/// A part of a path as it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hop {
    /// Where the server listens.
    pub address: SocketAddr,
    /// The layers it runs.
    pub span: Span,
}

/// How calls are written and read.
#[derive(Debug, Clone)]
pub struct Codec {
    /// Names of header fields.
    pub names: Names,
    /// Path that the balancer asks.
    pub ready: &'static str,
    /// Asks a model server for its state.
    pub report: fn() -> Command,
    /// Reads the answer.
    pub read_report: fn(&[u8]) -> Option<Report>,
    /// Orders a model server to hold layers.
    pub order: fn(&Order) -> Command,
    /// Orders the first server of a path to have a running request go on along another path.
    pub repath: fn(&str, &[Hop]) -> Command,
    /// Writes a path.
    pub path: fn(&[Hop]) -> String,
}
