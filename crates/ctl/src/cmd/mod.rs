//! One module for each command, with its arguments and a function `run`.

pub mod audit;
pub mod certs;
pub mod check;
pub mod diff;
pub mod explain;
pub mod lines;
pub mod publish;
pub mod quarantine;
pub mod show;
pub mod status;
pub mod suspects;
