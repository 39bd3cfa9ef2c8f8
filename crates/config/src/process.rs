//! Settings of one process: who it is, where it listens, whom it asks.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::fault::Faults;

/// Settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct Process {
    /// Name of its VM, a DNS label.
    pub vm: String,
    /// Its data centre.
    pub data_centre: String,
    /// IP and UDP port for the system's own processes.
    pub listen: SocketAddr,
    /// IP and TCP port: callers and health for a router, health for an agent.
    pub http: SocketAddr,
    /// error, warn, info, debug or trace.
    pub log_level: String,
    /// Certificates.
    pub tls: Tls,
    /// The platform.
    pub platform: Platform,
    /// Only for an agent.
    pub backend: Option<Backend>,
}

/// Certificate files (PEM).
#[derive(Debug, Clone, PartialEq)]
pub struct Tls {
    /// The fleet's authority.
    pub authority: PathBuf,
    /// This VM's certificate.
    pub certificate: PathBuf,
    /// Its key.
    pub key: PathBuf,
}

/// Addresses of the platform, each `http://IP:PORT`.
#[derive(Debug, Clone, PartialEq)]
pub struct Platform {
    /// Log service.
    pub log: String,
    /// VM list.
    pub vms: String,
    /// Weight store; agents of engines need it to check an order.
    pub weights: String,
}

/// What stands beside an agent.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// What it is.
    pub kind: Kind,
    /// `http://IP:PORT`.
    pub address: String,
    /// Requests the agent lets in at once.
    pub slots: u32,
}

/// Kind of backend server.
#[derive(Debug, Clone, PartialEq)]
pub enum Kind {
    /// A model engine; it says itself which layers it holds.
    Engine,
    /// A plain service, by its name in the fleet settings.
    Service(String),
}

/// Reads and checks a file's text; `file` names it in faults.
pub fn parse(_file: &str, _text: &str) -> Result<Process, Faults> {
    todo!("config helper")
}
