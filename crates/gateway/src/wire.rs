//! Wire format between the gateway and callers and backend servers.
//!
//! Names of header fields and formats of bodies are defined by the platform and supplied by the adapter.

use bytes::Bytes;
use hyper::Method;
use hyper::header::HeaderName;
use layers::Span;
use std::borrow::Cow;
use std::net::SocketAddr;

use crate::server::Report;

/// Names of header fields.
#[derive(Debug, Clone)]
pub struct Names {
    /// Id of one attempt of a caller; backend servers echo it in answers.
    pub request: HeaderName,
    /// Time until the caller's deadline, in milliseconds.
    pub deadline: HeaderName,
    /// Set by a backend server on its own answers.
    pub stamp: HeaderName,
    /// Workspace of the caller, set by the router.
    pub workspace: HeaderName,
    /// Key of the caller, never forwarded.
    pub key: HeaderName,
    /// The server that the request is for; any other one declines it.
    pub server: HeaderName,
    /// Set by a backend server that did not run the request.
    pub not_run: HeaderName,
    /// The path through the layers of the model.
    pub path: HeaderName,
    /// The server of a path that is at fault.
    pub culprit: HeaderName,
    /// Rank of the request at a model server.
    pub rank: HeaderName,
    /// Prompt tokens and maximum output tokens.
    pub tokens: HeaderName,
    /// Last event that the caller received.
    pub last_event: HeaderName,
    /// Load that a backend server reports.
    pub load: HeaderName,
    /// Requests a second that an overloaded backend server accepts from all routers together.
    pub limit: HeaderName,
    /// Set by a backend server that is leaving.
    pub leaving: HeaderName,
    /// Expected version of the weights.
    pub weights: HeaderName,
    /// Parts of the prompt, in order.
    pub parts: HeaderName,
    /// Further fields that are forwarded even if the caller lists them as hop-by-hop fields.
    pub protected: Vec<HeaderName>,
}

/// A command or query to a model server that is not a request of a caller.
#[derive(Debug, Clone)]
pub struct Command {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: Cow<'static, str>,
    /// Body, in JSON.
    pub body: Bytes,
}

/// An order to hold layers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Order {
    /// The layers.
    pub span: Span,
    /// Number of orders that the server must have accepted before, otherwise it declines. An order that arrives after a
    /// newer one thus has no effect.
    pub after: u64,
}

/// One server of a path, as sent on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hop {
    /// Where the server listens.
    pub address: SocketAddr,
    /// The layers it runs.
    pub span: Span,
}

/// Functions that encode and decode commands and header fields.
#[derive(Debug, Clone)]
pub struct Codec {
    /// Names of header fields.
    pub names: Names,
    /// Path of the load balancer's readiness checks.
    pub ready: &'static str,
    /// Encodes the query for a model server's report.
    pub report: fn() -> Command,
    /// Decodes the answer to that query.
    pub read_report: fn(&[u8]) -> Option<Report>,
    /// Encodes an order to hold layers.
    pub order: fn(&Order) -> Command,
    /// Encodes an order to the first server of a path to continue a running request along another path.
    pub repath: fn(&str, &[Hop]) -> Command,
    /// Encodes a path.
    pub path: fn(&[Hop]) -> String,
    /// Decodes the ids of the parts of a prompt that other requests may share, in order.
    pub shared_parts: fn(&str) -> Vec<&str>,
}
