//! A request on its way through a queue.
//!
//! Load pattern: any overload. A queue that doesn't know the cost of a request and how long its caller waits can only
//! count requests, and serves those first that are no longer of use. So each request carries its run, its deadline
//! and its workspace.

use std::time::Duration;

use crate::refusal::Refusal;

/// State of a waiting request in bytes, without its item and the text of its workspace's name.
pub const WAITING_BYTES: usize = size_of::<Entry<()>>();

/// Id of a waiting request.
pub type Ticket = u64;

/// The properties of a request on which admission decides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Workspace that sent it.
    pub workspace: String,
    /// Requests of higher priority go first among workspaces inside their share.
    pub priority: u8,
    /// Time it will hold its slots, see [`crate::work::Cost::run`].
    pub run: Duration,
    /// Its deadline, since the router's start.
    pub deadline: Duration,
}

/// A request in a queue.
#[derive(Debug, Clone)]
pub struct Entry<T> {
    /// The request.
    pub request: Request,
    /// When it arrived.
    pub arrival: Duration,
    /// Its id while it waits.
    pub ticket: Ticket,
    /// The router's own handle.
    pub item: T,
    /// Place in the order of its workspace.
    pub(crate) key: Duration,
}

/// Decision on an arrival.
#[derive(Debug, Clone)]
pub enum Admit<T> {
    /// Start it now.
    Start(Entry<T>),
    /// It waits under this id; [`crate::queue::Queue::next`] or [`crate::queue::Queue::expired`] returns it.
    Wait(Ticket),
    /// Refuse it at once.
    Refuse(T, Refusal),
}
