//! Clients of the platform: the append-only log service, the VM list and the weight store.
//! Their paths and JSON formats are defined only in this crate.

pub mod log;
pub mod vm;
pub mod weight;
