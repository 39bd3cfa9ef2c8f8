//! Requests for loans of retries and the replies to them, one datagram each.

use std::cell::{Cell, OnceCell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use policy::loan::{Loan, Request};
use policy::window::Need;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::lender;
use crate::state::State;
use crate::task::isolated;

/// Version of the datagrams.
const VERSION: u16 = 1;

/// Longest datagram: the name of a service and the addresses of twenty routers.
const MAX_DATAGRAM_BYTES: usize = 1200;

/// Time after which a port is bound again that could not be bound.
const BIND_RETRY_DELAY: Duration = Duration::from_secs(5);

/// A datagram between routers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Datagram {
    Ask(LoanRequest),
    Loan(LoanReply),
}

/// A request for retries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LoanRequest {
    version: u16,
    /// Number of the request; the reply has the same one.
    id: u64,
    pub(super) service: String,
    pub(super) want: u32,
    /// Whether the retries are for answers that have begun.
    begun: bool,
    /// Routers from which to request the rest if the lender can't lend all.
    pub(super) others: Vec<SocketAddr>,
}

impl LoanRequest {
    pub(super) fn need(&self) -> Need {
        if self.begun { Need::Begun } else { Need::New }
    }
}

/// A reply to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LoanReply {
    version: u16,
    id: u64,
    lent: u32,
    /// Time in milliseconds after which a new request may be granted.
    again_ms: u64,
}

/// The socket, and the requests without a reply.
#[derive(Debug, Default)]
pub(super) struct Endpoint {
    socket: OnceCell<Rc<UdpSocket>>,
    next_id: Cell<u64>,
    pending: RefCell<Vec<(u64, SocketAddr, oneshot::Sender<Loan>)>>,
}

/// Returns the socket, which is bound once; as long as that fails, it is tried again.
async fn socket(state: &State, address: SocketAddr) -> Rc<UdpSocket> {
    let socket = &state.retries.endpoint.socket;
    loop {
        match socket.get() {
            Some(socket) => return socket.clone(),
            None => match UdpSocket::bind(address).await {
                Ok(bound) => return socket.get_or_init(|| Rc::new(bound)).clone(),
                Err(e) => log::error!(
                    "gateway: retries are neither lent nor borrowed address={address} why={e}"
                ),
            },
        }
        sleep(BIND_RETRY_DELAY).await;
    }
}

/// Handles requests and replies of other routers for as long as the process runs.
pub async fn run(state: Rc<State>, address: SocketAddr) {
    let socket = socket(&state, address).await;
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            // An earlier datagram reached a closed port.
            Err(e) => {
                log::debug!("gateway: a datagram could not be received: {e}");
                continue;
            }
        };
        // Only members of the group have a share of the budget.
        if state.sharing.others(state.now()).binary_search(&from).is_err() {
            log::debug!("gateway: datagram from {from} ignored: not a member of the group");
            continue;
        }
        state.retries.clear_backoff(from);
        if let Err(why) = isolated(receive(&state, &buffer[..length], from)).await {
            log::error!("gateway: datagram from {from} ignored: panic: {why:?}");
        }
    }
}

/// Handles a datagram of another router.
async fn receive(state: &Rc<State>, bytes: &[u8], from: SocketAddr) {
    match postcard::from_bytes(bytes) {
        Ok(Datagram::Ask(request)) if request.version == VERSION => {
            receive_request(state, request, from).await;
        }
        Ok(Datagram::Loan(reply)) if reply.version == VERSION => receive_reply(state, &reply, from),
        other => log::debug!("gateway: datagram from {from} ignored: {other:?}"),
    }
}

async fn receive_request(state: &Rc<State>, request: LoanRequest, from: SocketAddr) {
    let loan = lender::lend(state, &request.service, request.need(), request.want);
    if loan.lent == request.want || request.others.is_empty() {
        return reply(state, request.id, loan, from).await;
    }
    let state = state.clone();
    spawn_local(async move {
        let more = lender::borrow_for(&state, &request, request.want - loan.lent).await;
        let loan = Loan {
            lent: loan.lent.saturating_add(more.lent),
            retry_after: loan.retry_after.min(more.retry_after),
        };
        reply(&state, request.id, loan, from).await;
    });
}

async fn reply(state: &State, id: u64, loan: Loan, to: SocketAddr) {
    let again_ms = loan.retry_after.as_millis() as u64;
    let reply = LoanReply { version: VERSION, id, lent: loan.lent, again_ms };
    if let Err(e) = send(state, &Datagram::Loan(reply), to).await {
        log::debug!("gateway: loan could not be sent to {to}: {e}");
    }
}

fn receive_reply(state: &State, reply: &LoanReply, from: SocketAddr) {
    let mut pending = state.retries.endpoint.pending.borrow_mut();
    let found = pending.iter().position(|(id, to, _)| *id == reply.id && *to == from);
    if let Some(at) = found {
        let (_, _, waiter) = pending.swap_remove(at);
        let loan = Loan { lent: reply.lent, retry_after: Duration::from_millis(reply.again_ms) };
        // Fails if the request has timed out in the meantime.
        let _ = waiter.send(loan);
    }
}

async fn send(state: &State, datagram: &Datagram, to: SocketAddr) -> io::Result<()> {
    let bytes = postcard::to_allocvec(datagram).expect("plain fields");
    match state.retries.endpoint.socket.get() {
        Some(socket) => socket.send_to(&bytes, to).await.map(drop),
        None => Err(io::ErrorKind::NotConnected.into()),
    }
}

/// Requests a loan from a router. None if there is no reply within `limit`.
pub(super) async fn request_loan(
    state: &State,
    service: &str,
    need: Need,
    request: &Request<SocketAddr>,
    limit: Duration,
) -> Option<Loan> {
    let (endpoint, to) = (&state.retries.endpoint, request.lenders[0]);
    // Ids begin at the incarnation, so that a late reply to the previous process matches no request of this one.
    let id = state
        .sharing
        .incarnation()
        .wrapping_add(endpoint.next_id.replace(endpoint.next_id.get() + 1));
    let (sender, reply) = oneshot::channel();
    endpoint.pending.borrow_mut().push((id, to, sender));
    let datagram = LoanRequest {
        version: VERSION,
        id,
        service: service.to_owned(),
        want: request.want,
        begun: need == Need::Begun,
        others: request.lenders[1..].to_vec(),
    };
    let loan = match send(state, &Datagram::Ask(datagram), to).await {
        Ok(()) => timeout(limit, reply).await.ok().and_then(Result::ok),
        Err(e) => {
            log::debug!("gateway: request for retries could not be sent to {to}: {e}");
            None
        }
    };
    endpoint.pending.borrow_mut().retain(|(pending, ..)| *pending != id);
    loan.map(|loan| Loan { lent: loan.lent.min(request.want), ..loan })
}
