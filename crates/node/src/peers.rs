//! Links to other processes: one connection a peer, opened when first needed.

use std::net::IpAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use quinn::{Connection, Endpoint};
use serde::{Serialize, de::DeserializeOwned};
use wire::link::{self, Stream};

use crate::liveness::{self, WaitGuard, Waiters};
use crate::traffic::Traffic;

/// A peer that was lost is not connected to again for this long. Without it all
/// who need the peer would wait for a new connection in turn, each for a second.
const REST: Duration = Duration::from_millis(250);

/// Name and address of a peer, and what is known of it.
type Entry = (String, String, Arc<Peer>);

/// What is known of a peer.
#[derive(Debug, Default)]
struct Peer {
    link: tokio::sync::Mutex<Option<Connection>>,
    waits: Arc<Waiters>,
    lost: Mutex<Option<Instant>>,
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
    /// No links yet.
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

    /// Sends one frame and returns the one answer.
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

    /// Says that an answer of a peer is awaited until the result is dropped. Its
    /// loss then breaks all streams to it within a few hundred milliseconds.
    pub fn register_wait(&self, vm: &str, address: &str) -> WaitGuard {
        self.peer(vm, address).waits.register()
    }

    /// The connection to a peer; a new one when there is none or it has ended.
    /// Callers that come together wait for the one attempt.
    pub async fn connection(&self, vm: &str, address: &str) -> Result<Connection, link::Error> {
        let peer = self.peer(vm, address);
        let mut held = peer.link.lock().await;
        match &*held {
            Some(open) if open.close_reason().is_none() => return Ok(open.clone()),
            _ if peer.rests() => return Err(error("connect", vm, "it was lost a moment ago")),
            _ => {}
        }
        let opened = tokio::select! {
            opened = link::connect(&self.endpoint, vm, address) => opened,
            () = liveness::port_closed(self.own(), address) => {
                Err(error("connect", vm, "no process holds its port"))
            }
        };
        let opened = opened.inspect_err(|_| peer.lose())?;
        self.traffic.add(opened.clone());
        *held = Some(opened.clone());
        tokio::spawn(watch(self.own(), vm.to_string(), opened.clone(), peer.clone()));
        Ok(opened)
    }

    /// Closes the link to a peer whose daemon no longer answers as it should.
    ///
    /// A daemon that was started again on the same address knows nothing of the old link. Work
    /// sent on it is lost, and a write would end as unknown that the new daemon never saw.
    pub fn close(&self, vm: &str, address: &str) {
        let peer = self.peer(vm, address);
        let held = peer.link.try_lock();
        if let Ok(held) = held
            && let Some(connection) = &*held
        {
            connection.close(0u32.into(), b"no reports");
        }
    }

    /// Forgets peers that are not in `vms`, so that replaced VMs do not pile up.
    pub fn retain(&self, vms: &[cloud::vm::Entry]) {
        let mut list = self.list.lock().expect("no panic while held");
        list.retain(|(vm, address, peer)| {
            let listed = vms.iter().any(|e| e.vm == *vm && e.address == *address);
            if let (false, Ok(held)) = (listed, peer.link.try_lock())
                && let Some(connection) = &*held
            {
                connection.close(0u32.into(), b"not listed");
            }
            listed
        });
    }

    fn own(&self) -> IpAddr {
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
    fn lose(&self) {
        *self.lost.lock().expect("no panic while held") = Some(Instant::now());
    }

    fn rests(&self) -> bool {
        let lost = self.lost.lock().expect("no panic while held");
        lost.is_some_and(|at| at.elapsed() < REST)
    }
}

async fn watch(own: IpAddr, vm: String, connection: Connection, peer: Arc<Peer>) {
    let why = liveness::watch(own, connection.clone(), peer.waits.clone()).await;
    if connection.close_reason() == Some(quinn::ConnectionError::LocallyClosed) {
        peer.lose();
        log::warn!("link: {vm} is lost: {why}");
    }
}

fn error(step: &'static str, peer: &str, reason: &str) -> link::Error {
    link::Error { step, peer: peer.to_string(), reason: reason.to_string() }
}
