//! Links to other processes: one connection for each peer, opened when first needed.

use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use quinn::{Connection, Endpoint};
use serde::{Serialize, de::DeserializeOwned};
use wire::link::{self, Stream};

use crate::liveness::{self, WaitGuard, Waiters};
use crate::traffic::Traffic;

/// Time after the loss of a peer in which no new connection to it is opened. Without it all tasks that
/// need the peer would wait for a new connection one after the other, each for a second.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(250);

/// Name, address and state of a peer.
type Entry = (String, String, Arc<Peer>);

/// The state of a peer.
#[derive(Debug, Default)]
struct Peer {
    connection: tokio::sync::Mutex<Option<Connection>>,
    waiters: Arc<Waiters>,
    lost_at: Mutex<Option<Instant>>,
}

/// The open links of a process.
#[derive(Debug, Clone)]
pub struct Peers {
    endpoint: Endpoint,
    /// Counts the bytes of all links, opened here or by peers.
    pub traffic: Traffic,
    /// Sorted by name and address.
    list: Arc<Mutex<Vec<Entry>>>,
}

impl Peers {
    /// Creates a set without links.
    pub fn new(endpoint: Endpoint) -> Peers {
        Peers { endpoint, traffic: Traffic::default(), list: Arc::default() }
    }

    /// The endpoint, to accept connections on.
    pub fn endpoint(&self) -> &Endpoint {
        &self.endpoint
    }

    /// Opens a stream to a peer and sends its first frame.
    pub async fn open<T: Serialize>(
        &self,
        vm: &str,
        address: &str,
        first: &T,
    ) -> Result<Stream, link::Error> {
        let connection = self.connection(vm, address).await?;
        link::open(&connection, vm, first).await
    }

    /// Sends one frame and returns the one frame of the answer.
    pub async fn request<T: Serialize, A: DeserializeOwned>(
        &self,
        vm: &str,
        address: &str,
        first: &T,
    ) -> Result<A, link::Error> {
        let mut stream = self.open(vm, address, first).await?;
        stream.finish();
        stream.expect().await
    }

    /// Registers that an answer of a peer is awaited until the returned guard is dropped. If the peer
    /// is lost meanwhile, all streams to it fail within a few hundred milliseconds.
    pub fn register_wait(&self, vm: &str, address: &str) -> WaitGuard {
        self.peer(vm, address).waiters.register()
    }

    /// The connection to a peer; opens a new one if there is none or it is closed. Concurrent calls
    /// wait for the same attempt.
    pub async fn connection(&self, vm: &str, address: &str) -> Result<Connection, link::Error> {
        let peer = self.peer(vm, address);
        let mut guard = peer.connection.lock().await;
        match &*guard {
            Some(open) if open.close_reason().is_none() => return Ok(open.clone()),
            _ if peer.in_backoff() => return Err(error("connect", vm, "it was lost a moment ago")),
            _ => {}
        }
        let opened = tokio::select! {
            opened = link::connect(&self.endpoint, vm, address) => opened,
            () = liveness::port_closed(self.own_ip(), address) => {
                Err(error("connect", vm, "no process holds its port"))
            }
        };
        let opened = opened.inspect_err(|_| peer.mark_lost())?;
        self.traffic.add(opened.clone());
        *guard = Some(opened.clone());
        tokio::spawn(watch(self.own_ip(), vm.to_string(), opened.clone(), peer.clone()));
        Ok(opened)
    }

    /// Closes the link to a peer whose daemon no longer sends reports.
    ///
    /// A daemon that was restarted on the same address does not know the old link. Work sent on it is
    /// lost, and a write that the new daemon never received would end with outcome unknown.
    pub fn close(&self, vm: &str, address: &str) {
        let peer = self.peer(vm, address);
        let guard = peer.connection.try_lock();
        if let Ok(guard) = guard
            && let Some(connection) = &*guard
        {
            connection.close(0u32.into(), b"no reports");
        }
    }

    /// Removes peers that are not in `vms`, so that replaced VMs do not accumulate.
    pub fn retain(&self, vms: &[cloud::vm::Entry]) {
        let mut list = self.list.lock().expect("no panic while held");
        list.retain(|(vm, address, peer)| {
            let listed = vms.iter().any(|e| e.vm == *vm && e.address == *address);
            if let (false, Ok(guard)) = (listed, peer.connection.try_lock())
                && let Some(connection) = &*guard
            {
                connection.close(0u32.into(), b"not listed");
            }
            listed
        });
    }

    fn own_ip(&self) -> IpAddr {
        let any = IpAddr::from([0, 0, 0, 0]);
        self.endpoint.local_addr().map_or(any, |a| a.ip())
    }

    fn peer(&self, vm: &str, address: &str) -> Arc<Peer> {
        let mut list = self.list.lock().expect("no panic while held");
        match list.binary_search_by(|(v, a, _)| (v.as_str(), a.as_str()).cmp(&(vm, address))) {
            Ok(i) => list[i].2.clone(),
            Err(i) => {
                let peer = Arc::<Peer>::default();
                list.insert(i, (vm.to_string(), address.to_string(), peer.clone()));
                peer
            }
        }
    }
}

impl Peer {
    fn mark_lost(&self) {
        *self.lost_at.lock().expect("no panic while held") = Some(Instant::now());
    }

    fn in_backoff(&self) -> bool {
        let lost_at = self.lost_at.lock().expect("no panic while held");
        lost_at.is_some_and(|at| at.elapsed() < RECONNECT_BACKOFF)
    }
}

async fn watch(own_ip: IpAddr, vm: String, connection: Connection, peer: Arc<Peer>) {
    let why = liveness::watch(own_ip, connection.clone(), peer.waiters.clone()).await;
    if connection.close_reason() == Some(quinn::ConnectionError::LocallyClosed) {
        peer.mark_lost();
        log::warn!("link: connection to {vm} lost: {why}");
    }
}

fn error(step: &'static str, peer: &str, reason: &str) -> link::Error {
    link::Error { step, peer: peer.to_string(), reason: reason.to_string() }
}
