//! Clients of the platform's services: the append-only log, the VM list and the weight store. Their
//! paths and JSON formats are defined in this crate only.

pub mod log;
pub mod vm;
pub mod weight;
