//! A request on its way through a queue.
//!
//! Load pattern: any overload. A queue that doesn't know what a request costs and how long its caller waits
//! can only count requests, and serves those first that are of no use any more. So each carries
//! its run, its deadline and its workspace.

use std::time::Duration;

use crate::refusal::Refusal;

/// Bytes of a waiting request beside its item and the text of its workspace's name.
pub const WAITING_BYTES: usize = size_of::<Entry<()>>();

/// Names a waiting request.
pub type Ticket = u64;

/// A request as the decision sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Whose it is.
    pub workspace: String,
    /// Higher goes first among workspaces inside their share.
    pub priority: u8,
    /// Time it will hold its slots, see [`crate::work::Cost::run`].
    pub run: Duration,
    /// Its deadline, since the router's start.
    pub deadline: Duration,
}

/// A request with what belongs to it.
#[derive(Debug, Clone)]
pub struct Entry<T> {
    /// The request.
    pub request: Request,
    /// When it arrived.
    pub arrival: Duration,
    /// Its name while it waits.
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
    /// It waits under this name; [`crate::queue::Queue::next`] or [`crate::queue::Queue::expired`] returns it.
    Wait(Ticket),
    /// Refuse it at once.
    Refuse(T, Refusal),
}
