//! The protocols spoken to the platform: the append-only log service, the VM
//! list and the weight store. No other crate knows their paths and JSON shapes.

pub mod log;
pub mod vm;
pub mod weight;
