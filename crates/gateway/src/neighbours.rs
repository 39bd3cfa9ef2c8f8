//! Requests to other routers that are answered at once.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::pool::Pool;
use crate::shared_read;

/// Connections to other routers, and which of these did not answer lately.
#[derive(Debug, Default)]
pub struct Neighbours {
    pools: RefCell<Vec<(SocketAddr, Rc<Pool>)>>,
    /// Routers that are avoided, and until when.
    avoided: RefCell<Vec<(SocketAddr, Duration)>>,
}

impl Neighbours {
    /// Avoids a router until `until`.
    pub fn avoid(&self, address: SocketAddr, now: Duration, until: Duration) {
        let mut avoided = self.avoided.borrow_mut();
        avoided.retain(|(known, until)| now < *until && *known != address);
        avoided.push((address, until));
    }

    /// Whether a router is avoided.
    pub fn avoids(&self, address: SocketAddr, now: Duration) -> bool {
        self.avoided.borrow().iter().any(|(known, until)| *known == address && now < *until)
    }

    /// Sends a request to a router; returns its answer, or why there is none.
    pub async fn request<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        request: &Q,
        limit: Duration,
    ) -> Result<A, String> {
        let body = Bytes::from(postcard::to_allocvec(request).expect("plain fields"));
        let pool = self.pool(address);
        let answer = timeout(limit, shared_read::get(&pool, path, body)).await;
        let answer = answer.map_err(|_| format!("no answer within {limit:?}"))??;
        postcard::from_bytes(&answer).map_err(|e| format!("unreadable answer: {e}"))
    }

    /// Drops connections to routers that are no members any more; `members` is sorted.
    pub fn keep(&self, members: &[SocketAddr]) {
        self.pools.borrow_mut().retain(|(address, _)| members.binary_search(address).is_ok());
    }

    fn pool(&self, address: SocketAddr) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        let at = pools.binary_search_by_key(&address, |(known, _)| *known).unwrap_or_else(|at| {
            pools.insert(at, (address, Rc::new(Pool::new(address))));
            at
        });
        pools[at].1.clone()
    }
}
