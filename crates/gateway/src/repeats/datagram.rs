//! Questions for repeats and their answers, a datagram each.

use std::cell::{Cell, OnceCell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use policy::loan::{Ask, Loan};
use policy::window::Need;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::lender;
use crate::state::State;

/// Version of the datagrams.
const VERSION: u16 = 1;

/// Longest datagram, in bytes: a service's name, and the addresses of twenty routers.
const LONGEST: usize = 1200;

/// What routers send each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Datagram {
    Ask(Question),
    Loan(Answer),
}

/// A question for repeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Question {
    version: u16,
    /// Number of the question, which its answer names.
    id: u64,
    pub(super) service: String,
    pub(super) want: u32,
    /// Whether they are for answers that have begun.
    begun: bool,
    /// Routers to ask for what is short.
    pub(super) others: Vec<SocketAddr>,
}

impl Question {
    pub(super) fn need(&self) -> Need {
        if self.begun { Need::Begun } else { Need::New }
    }
}

/// What is lent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Answer {
    version: u16,
    id: u64,
    lent: u32,
    /// Time in milliseconds after which it is worth asking again.
    again_ms: u64,
}

/// The socket, and the questions that are open.
#[derive(Debug, Default)]
pub(super) struct Post {
    socket: OnceCell<Rc<UdpSocket>>,
    next: Cell<u64>,
    open: RefCell<Vec<(u64, SocketAddr, oneshot::Sender<Loan>)>>,
}

/// Answers other routers and takes their answers, as long as the process runs.
pub async fn run(state: Rc<State>, address: SocketAddr) {
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Rc::new(socket),
        Err(e) => {
            return log::error!(
                "gateway: no repeats are lent or borrowed address={address} why={e}"
            );
        }
    };
    state.retries.post.socket.get_or_init(|| socket.clone());
    let mut buffer = [0; LONGEST];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            // A datagram of before met a port that is closed.
            Err(e) => {
                log::debug!("gateway: receiving a datagram failed: {e}");
                continue;
            }
        };
        // Others than members have no part in the budget.
        if state.sharing.others(state.now()).binary_search(&from).is_err() {
            log::debug!("gateway: a datagram of {from}, which is no member, is left out");
            continue;
        }
        state.retries.trust(from);
        match postcard::from_bytes(&buffer[..length]) {
            Ok(Datagram::Ask(question)) if question.version == VERSION => {
                receive_question(&state, question, from).await;
            }
            Ok(Datagram::Loan(answer)) if answer.version == VERSION => {
                receive_answer(&state, &answer, from);
            }
            other => log::debug!("gateway: a datagram of {from} is left out: {other:?}"),
        }
    }
}

async fn receive_question(state: &Rc<State>, question: Question, from: SocketAddr) {
    let loan = lender::lend(state, &question.service, question.need(), question.want);
    if loan.lent == question.want || question.others.is_empty() {
        return answer(state, question.id, loan, from).await;
    }
    let state = state.clone();
    spawn_local(async move {
        let more = lender::ask_for(&state, &question, question.want - loan.lent).await;
        let loan = Loan { lent: loan.lent + more.lent, again: loan.again.min(more.again) };
        answer(&state, question.id, loan, from).await;
    });
}

async fn answer(state: &State, id: u64, loan: Loan, to: SocketAddr) {
    let again_ms = loan.again.as_millis() as u64;
    let answer = Answer { version: VERSION, id, lent: loan.lent, again_ms };
    if let Err(e) = send(state, &Datagram::Loan(answer), to).await {
        log::debug!("gateway: a loan was not sent to {to}: {e}");
    }
}

fn receive_answer(state: &State, answer: &Answer, from: SocketAddr) {
    let mut open = state.retries.post.open.borrow_mut();
    let found = open.iter().position(|(id, to, _)| *id == answer.id && *to == from);
    if let Some(at) = found {
        let (_, _, waits) = open.swap_remove(at);
        let loan = Loan { lent: answer.lent, again: Duration::from_millis(answer.again_ms) };
        // Nobody waits where the question's time is up.
        let _ = waits.send(loan);
    }
}

async fn send(state: &State, datagram: &Datagram, to: SocketAddr) -> io::Result<()> {
    let bytes = postcard::to_allocvec(datagram).expect("plain fields");
    match state.retries.post.socket.get() {
        Some(socket) => socket.send_to(&bytes, to).await.map(drop),
        None => Err(io::ErrorKind::NotConnected.into()),
    }
}

/// Asks a router; what it lends, if it says so within `limit`.
pub(super) async fn ask(
    state: &State,
    service: &str,
    need: Need,
    ask: &Ask<SocketAddr>,
    limit: Duration,
) -> Option<Loan> {
    let (post, to) = (&state.retries.post, ask.lenders[0]);
    // A late answer to the process before this one is none to a question of this one.
    let id = state.sharing.incarnation().wrapping_add(post.next.replace(post.next.get() + 1));
    let (sender, answered) = oneshot::channel();
    post.open.borrow_mut().push((id, to, sender));
    let question = Question {
        version: VERSION,
        id,
        service: service.to_owned(),
        want: ask.want,
        begun: need == Need::Begun,
        others: ask.lenders[1..].to_vec(),
    };
    let loan = match send(state, &Datagram::Ask(question), to).await {
        Ok(()) => timeout(limit, answered).await.ok().and_then(Result::ok),
        Err(e) => {
            log::debug!("gateway: a question for repeats was not sent to {to}: {e}");
            None
        }
    };
    post.open.borrow_mut().retain(|(open, ..)| *open != id);
    loan.map(|loan| Loan { lent: loan.lent.min(ask.want), ..loan })
}
