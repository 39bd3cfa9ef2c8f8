//! Links to other processes: one connection a peer, opened when first needed.

use std::sync::{Arc, Mutex};

use quinn::{Connection, Endpoint};
use serde::{Serialize, de::DeserializeOwned};
use wire::link::{self, Stream};

use crate::traffic::Traffic;

/// Name and address of a peer, and its connection once there is one.
type Peer = (String, String, Arc<tokio::sync::Mutex<Option<Connection>>>);

/// The open links of a process.
#[derive(Debug, Clone)]
pub struct Peers {
    endpoint: Endpoint,
    /// Counts the bytes of all links, opened here or by peers.
    pub traffic: Traffic,
    /// Sorted by name and address.
    list: Arc<Mutex<Vec<Peer>>>,
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
    pub async fn ask<T: Serialize, A: DeserializeOwned>(
        &self,
        vm: &str,
        address: &str,
        first: &T,
    ) -> Result<A, link::Error> {
        let mut stream = self.open(vm, address, first).await?;
        stream.finish();
        stream.expect().await
    }

    /// The connection to a peer; a new one when there is none or it has ended.
    /// Callers that come together wait for the one attempt.
    pub async fn connection(&self, vm: &str, address: &str) -> Result<Connection, link::Error> {
        let cell = self.cell(vm, address);
        let mut held = cell.lock().await;
        match &*held {
            Some(open) if open.close_reason().is_none() => Ok(open.clone()),
            _ => {
                let opened = link::connect(&self.endpoint, vm, address).await?;
                self.traffic.add(opened.clone());
                *held = Some(opened.clone());
                Ok(opened)
            }
        }
    }

    /// Forgets peers that are not in `vms`, so that replaced VMs do not pile up.
    pub fn retain(&self, vms: &[platform::vm::Entry]) {
        let mut list = self.list.lock().expect("no panic while held");
        list.retain(|(vm, address, cell)| {
            let listed = vms.iter().any(|e| e.vm == *vm && e.address == *address);
            if let (false, Ok(held)) = (listed, cell.try_lock())
                && let Some(connection) = &*held
            {
                connection.close(0u32.into(), b"not listed");
            }
            listed
        });
    }

    fn cell(&self, vm: &str, address: &str) -> Arc<tokio::sync::Mutex<Option<Connection>>> {
        let mut list = self.list.lock().expect("no panic while held");
        match list.binary_search_by(|(v, a, _)| (v.as_str(), a.as_str()).cmp(&(vm, address))) {
            Ok(i) => list[i].2.clone(),
            Err(i) => {
                let cell = Arc::default();
                list.insert(i, (vm.to_string(), address.to_string(), Arc::clone(&cell)));
                cell
            }
        }
    }
}
