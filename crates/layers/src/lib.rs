//! Decisions about a model that is spread over many backend servers, without a network or a clock.
//!
//! [`placement`] says which server is to hold which layers, at the first start and after each
//! loss, and [`path`] joins held layers to a path for one request. Both are pure functions of
//! what is known now: whoever takes over computes the same answer from the same view, so there is
//! no state that a lost process could take with it.

pub mod pass;
pub mod path;
pub mod placement;
pub mod server;
pub mod slots;
pub mod span;

pub use server::{Card, Server, Shape};
pub use span::Span;
