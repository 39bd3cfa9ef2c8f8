//! The VMs of a fleet and their range of loopback addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::script;
use crate::settings::{BACKEND_PORT, HTTP_PORT, LINK_PORT, RELAY_PORT};

/// Port on which a run listens to reserve its range of loopback addresses.
const CLAIM_PORT: u16 = 8999;
/// The backend server of a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Backend {
    /// None: the VM of a router.
    None,
    /// An engine: index of its range, first and last layer, microseconds per batch.
    Engine(usize, u32, u32, u64),
    /// A plain service.
    Service,
}

/// A VM.
#[derive(Debug, Clone)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// IP address.
    pub ip: IpAddr,
    /// Its backend server.
    pub backend: Backend,
    /// True for an engine that starts with nothing loaded.
    pub empty: bool,
}

impl Vm {
    /// Returns the base URL of the daemon.
    pub fn http(&self) -> String {
        format!("http://{}:{HTTP_PORT}", self.ip)
    }

    /// Returns the base URL of the backend server.
    pub fn backend_http(&self) -> String {
        format!("http://{}:{BACKEND_PORT}", self.ip)
    }

    /// Returns the address at which other daemons reach the daemon: its own or that of its relay.
    pub fn link(&self, relayed: bool) -> SocketAddr {
        SocketAddr::new(self.ip, if relayed { RELAY_PORT } else { LINK_PORT })
    }

    /// Returns the name of the backend server's process.
    pub fn backend_process(&self) -> String {
        format!("{}.backend", self.name)
    }
}

/// Number of fleets that this process has started.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// Reserves a range of loopback addresses that no other run uses.
///
/// Each run starts its search at another address: processes of the previous run may still be
/// ending, and a port that is still bound would make the next script fail without a fault in
/// the system.
pub fn claim() -> Result<(u8, TcpListener), String> {
    let start = std::process::id() + 7 * RUNS.fetch_add(1, Ordering::Relaxed);
    for i in 0..200 {
        let octet = (16 + (start + i) % 200) as u8;
        let address = SocketAddr::new(Ipv4Addr::new(127, octet, 0, 1).into(), CLAIM_PORT);
        if let Ok(listener) = TcpListener::bind(address) {
            return Ok((octet, listener));
        }
    }
    Err("no free range of loopback addresses".to_string())
}

/// Returns the VMs of a plan, sorted by name.
pub fn plan(plan: &script::Fleet, octet: u8) -> Vec<Vm> {
    let data_centre = |i: usize| format!("dc-{}", (b'a' + (i % plan.data_centres) as u8) as char);
    let vm = |name: String, i: usize, net: usize, host: usize, backend: Backend| Vm {
        name,
        data_centre: data_centre(i),
        ip: Ipv4Addr::new(127, octet, net as u8, host as u8).into(),
        backend,
        empty: false,
    };
    let mut vms = Vec::new();
    for i in 0..plan.routers {
        vms.push(vm(format!("router-{}", i + 1), i, 1, i + 1, Backend::None));
    }
    for i in 0..plan.services {
        vms.push(vm(format!("desk-{}", i + 1), i, 3, i + 1, Backend::Service));
    }
    for (r, range) in plan.ranges.iter().enumerate() {
        for k in 0..plan.replicas {
            let speed = plan.speeds[k % plan.speeds.len()];
            let backend = Backend::Engine(r, range.low, range.high, speed);
            vms.push(vm(format!("gpu-{r}-{}", k + 1), r + k, 10 + r, k + 1, backend));
        }
    }
    vms.sort_by(|a, b| a.name.cmp(&b.name));
    vms
}
