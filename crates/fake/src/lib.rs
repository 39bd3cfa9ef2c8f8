//! Stand-ins for the external systems: engine, service, log, VM list, weight store, link.
//!
//! Each module has `Options` (the command line of its subcommand) and `start`, which
//! serves on a bound listener, so that tests can run a stand-in in their own process.
//! `POST /~fake/control` injects faults; `GET /~fake/books` returns what the stand-in did:
//! the history of an engine, the writes of a service, the counters of the others.

pub mod serve;
pub mod bucket;
pub mod model;
pub mod engine;
pub mod service;
pub mod log;
pub mod vms;
pub mod weights;
pub mod link;
