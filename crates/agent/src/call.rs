//! Calls to the plain service beside this agent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use node::Node;
use wire::frame::{Call, Class, Reply};
use wire::refusal::{Cause, Refusal};

use crate::slot::{Slot, Slots};
use crate::write::Writer;
use crate::{Agent, write};

/// Retry-after time given when all slots are taken.
const BUSY_RETRY: Duration = Duration::from_millis(100);

/// Retry-after time given when the service can't be reached.
const DOWN_RETRY: Duration = Duration::from_secs(1);

/// Hop-by-hop header fields, which are not forwarded.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "content-length",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A plain service used as the backend server.
#[derive(Debug)]
pub struct Service {
    /// Name in the settings.
    pub name: String,
    /// Ensures that a write runs at most once for each key.
    pub writer: Arc<Writer>,
    vm: String,
    http: rest::Client,
    slots: Slots,
}

/// Creates the service and starts its writer.
pub fn start(node: &Arc<Node>, name: String, address: &str, slots: Slots) -> Arc<Service> {
    let writer = write::start(node, &name);
    let http = rest::Client::new(address, Duration::from_secs(30));
    let vm = node.process.vm.clone();
    Arc::new(Service { name, writer, vm, http, slots })
}

/// Runs a call according to the class of its route.
pub async fn run(agent: Arc<Agent>, service: Arc<Service>, call: Call) -> Result<Reply, Refusal> {
    if agent.is_leaving() {
        let why = "the VM is leaving";
        return Err(Refusal::not_run(Cause::Leaving, "accept", &service.vm, why));
    }
    match call.class {
        Class::ReadOnly | Class::Idempotent => {
            let slot = service.slot()?;
            service.send(&call, slot).await
        }
        Class::NonIdempotent => write::run(agent, service, call).await,
    }
}

impl Service {
    /// Takes a slot, or refuses at once if none is free.
    pub fn slot(&self) -> Result<Slot, Refusal> {
        self.slots.take().ok_or_else(|| {
            let why = format!("all {} slots are taken", self.slots.total());
            Refusal::not_run(Cause::Busy, "call", &self.vm, why).with_retry_after(BUSY_RETRY)
        })
    }

    /// Sends the call to the service, once.
    pub async fn send(&self, call: &Call, _slot: Slot) -> Result<Reply, Refusal> {
        let begun = Instant::now();
        let headers: Vec<_> = call.headers.iter().filter(|h| is_forwarded(&h.0)).cloned().collect();
        let body = Bytes::from(call.body.clone());
        let http = self.http.with_timeout(call.deadline);
        match http.send(&call.method, &call.path, &headers, body).await {
            Ok(answer) => {
                self.slots.record_time(begun.elapsed());
                let headers = answer.headers.into_iter().filter(|h| is_forwarded(&h.0)).collect();
                let body = answer.body.to_vec();
                Ok(Reply { status: answer.status, headers, body, replayed: false })
            }
            Err(e) if e.unsent() => {
                let why = format!("the service can't be reached: {e}");
                let refusal = Refusal::not_run(Cause::Unavailable, "call", &self.vm, why);
                Err(refusal.with_retry_after(DOWN_RETRY))
            }
            Err(e) => {
                let why = format!("the service was asked and did not answer: {e}");
                Err(Refusal::unknown(Cause::Lost, "call", &self.vm, why))
            }
        }
    }
}

fn is_forwarded(name: &str) -> bool {
    !HOP_BY_HOP.iter().any(|h| name.eq_ignore_ascii_case(h))
}
