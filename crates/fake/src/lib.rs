//! Stand-ins for what the system meets: engine, service, log, VM list, weight store, link.
//!
//! Each module has its `Options` (the command line of its subcommand) and a `start`
//! that serves on a bound listener, so that tests run a stand-in in their own process.
//! Faults are set at `POST /~fake/control`; what happened is read at `GET /~fake/books`.

pub mod serve;
pub mod bucket;
pub mod model;
pub mod engine;
pub mod service;
pub mod log;
pub mod vms;
pub mod weights;
pub mod link;
