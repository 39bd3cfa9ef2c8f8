//! Decisions about a model that is distributed over many backend servers, without a network or a clock.
//!
//! [`placement`] decides which server holds which layers, at the first start and after each
//! loss, and [`path`] combines held layers into a path for one request. Both are pure functions of
//! the current view: a process that takes over computes the same result from the same view, so no
//! state is lost with a process.

pub mod pass;
pub mod path;
pub mod placement;
pub mod server;
pub mod slots;
pub mod span;

pub use server::{Card, Server, Shape};
pub use span::Span;
