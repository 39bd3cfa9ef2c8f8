//! Sending one request to one backend server, up to the head of its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};
use policy::availability::Use;
use policy::window::Need;
use tokio::time::{Instant, timeout_at};

use crate::availability::{self, Withheld};
use crate::content;
use crate::departure;
use crate::limited;
use crate::peer::Peer;
use crate::pool::Connection;
use crate::probe;
use crate::request::Call;
use crate::retries;
use crate::server::Server;
use crate::shared_read;
use crate::state::State;
use crate::statement::Statement;
use crate::store::Log;

/// Longest answer of a service without a model; it is buffered before the caller gets any of it.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Result of sending a request.
#[derive(Debug)]
pub enum Outcome {
    /// The head of the server's answer was received.
    Answer(Box<Answer>),
    /// The server never received the request.
    NotSent(String),
    /// Not sent, as a server does not want it.
    Withheld(Withheld),
    /// The server declined the request; the address, if there is one, is that of the server of the path that is at
    /// fault.
    NotRun(StatusCode, Option<std::net::SocketAddr>),
    /// The request may have run, and there is no answer.
    Unknown(String),
    /// The request may have run or may still be running, and the deadline has passed.
    Late,
}

/// An answer whose body has not been read yet.
#[derive(Debug)]
pub struct Answer {
    /// Status and header fields.
    pub head: Response<()>,
    /// Body, not read yet.
    pub body: Incoming,
    connection: Connection,
    peer: Rc<Peer>,
}

impl Answer {
    /// Whether the body has neither a length nor chunks, so that the end of the connection is its end.
    pub fn ends_with_connection(&self) -> bool {
        let headers = self.head.headers();
        !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
    }

    /// Whether the body may have ended early although no error was seen: nothing but the connection marks its end, and
    /// the server no longer accepts connections.
    pub async fn may_be_cut(&self) -> bool {
        self.ends_with_connection() && probe::refuses_connections(&self.peer).await
    }

    /// Returns the connection to the pool after the body was read to its end.
    pub fn finish(self) {
        if !self.ends_with_connection() {
            self.peer.pool.keep(self.connection, self.head.headers());
        }
    }

    /// Reads the complete body. `None` if the connection breaks, the server ends, the body is too long, or `until`
    /// passes.
    pub async fn collect(mut self, until: Instant) -> Option<(Response<()>, Bytes)> {
        let mut collected = Vec::new();
        loop {
            match timeout_at(until, self.body.frame()).await {
                Ok(None) => break,
                Ok(Some(Ok(frame))) => {
                    if let Some(data) = frame.data_ref() {
                        collected.extend_from_slice(data);
                    }
                    if collected.len() > MAX_ANSWER_BYTES {
                        return None;
                    }
                }
                Ok(Some(Err(_))) | Err(_) => return None,
            }
        }
        if self.may_be_cut().await {
            return None;
        }
        let mut head = Response::new(());
        *head.status_mut() = self.head.status();
        *head.headers_mut() = self.head.headers().clone();
        self.finish();
        Some((head, collected.into()))
    }
}

/// Sends a request along a path and waits for the head of the answer of its first server until `until`.
///
/// `extra` are the header fields that this router sets for this server, `need` is what a retry would be for.
pub async fn send(
    state: &Rc<State>,
    path: &[Rc<Peer>],
    call: &Call,
    need: Need,
    extra: HeaderMap,
    until: Instant,
) -> Outcome {
    let peer = &path[0];
    // A request that must not run twice is not sent on an idle connection, which the server may just be closing.
    let connection = match call.route.class.is_retryable() {
        true => peer.pool.take().await,
        false => peer.pool.connect().await,
    };
    let connection = match connection {
        Ok(connection) => connection,
        Err(e) => {
            peer.pool.clear();
            return Outcome::NotSent(e.to_string());
        }
    };
    let reused = connection.reused;
    let outcome = exchange(state, path, call, &extra, connection, until).await;
    // A reused connection that ends before any byte of the answer was most likely idle for too long.
    let stale = reused && call.route.class.is_retryable() && matches!(outcome, Outcome::Unknown(_));
    if !stale || Instant::now() >= until || !may_resend(state, peer, need).await {
        return outcome;
    }
    log::debug!("gateway: request={} sent again: {outcome:?}", call.id);
    match peer.pool.connect().await {
        Ok(connection) => match exchange(state, path, call, &extra, connection, until).await {
            Outcome::Withheld(_) => outcome,
            second => second,
        },
        Err(e) => Outcome::Unknown(e.to_string()),
    }
}

/// Takes a retry and the server's permit for a request that is sent to the same server again.
async fn may_resend(state: &Rc<State>, peer: &Peer, need: Need) -> bool {
    let service = peer.server().service.clone();
    let accepts = || peer.obstacle(Use::Direct, state.now()).is_none();
    if !peer.limited.allows(state.now()) || !accepts() {
        return false;
    }
    retries::borrow(state, &service, need).await;
    let now = state.now();
    let may = peer.limited.allows(now) && accepts();
    may && retries::take(state, &service, need) && peer.limited.take(now)
}

/// Logs which server a request is sent to, and which entry of it this router knows.
fn log_sent(state: &State, peer: &Peer, call: &Call) {
    let (server, entry, now) = (peer.server(), peer.entry(), state.now());
    let backoff_end = state.availability.borrow().last_backoff_end(&server.id, server.born);
    log::info!(
        "gateway: request={} sent_to={} sequence={} offset={} heard={:?} ago list={} backoff_ended={:?} ago parts={}",
        call.id,
        server.id,
        server.sequence,
        entry.offset,
        now.saturating_sub(entry.received),
        shared_read::read_position(state, Log::Servers),
        backoff_end.map(|end| now.saturating_sub(end)),
        content::describe_parts(&state.codec, call)
    );
}

async fn exchange(
    state: &Rc<State>,
    path: &[Rc<Peer>],
    call: &Call,
    extra: &HeaderMap,
    mut connection: Connection,
    until: Instant,
) -> Outcome {
    let peer = &path[0];
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    for (name, value) in extra {
        request.headers_mut().insert(name, value.clone());
    }
    let left = until.saturating_duration_since(Instant::now()).as_millis().max(1) as u64;
    request.headers_mut().insert(&state.codec.names.deadline, HeaderValue::from(left));
    let servers: Vec<Rc<Server>> = path.iter().map(|peer| peer.server()).collect();
    let permit = match availability::permit(&state.availability, &servers, state.now()) {
        Ok(permit) => permit,
        Err(withheld) => {
            state.metrics.withheld();
            log::info!("gateway: request={} withheld {withheld}", call.id);
            peer.pool.keep(connection, &HeaderMap::new());
            return Outcome::Withheld(withheld);
        }
    };
    log_sent(state, peer, call);
    let sent = Instant::now();
    peer.sent.borrow_mut().record(state.now());
    let answer = match timeout_at(until, connection.send(request)).await {
        Err(_) => return Outcome::Late,
        Ok(Err(mut e)) => {
            let unsent = e.take_message().is_some();
            let why = e.into_error().to_string();
            return if unsent { Outcome::NotSent(why) } else { Outcome::Unknown(why) };
        }
        Ok(Ok(answer)) => answer,
    };
    let outcome = classify(state, peer, &servers[0], call, answer, connection, sent.elapsed());
    if matches!(outcome, Outcome::Answer(_)) {
        permit.served(state.now());
    }
    outcome
}

/// Decides whether an answer belongs to this request, and whether the request ran.
fn classify(
    state: &Rc<State>,
    peer: &Rc<Peer>,
    server: &Server,
    call: &Call,
    answer: Response<Incoming>,
    connection: Connection,
    took: Duration,
) -> Outcome {
    let names = &state.codec.names;
    let (status, headers) = (answer.status(), answer.headers());
    let statement = Statement::parse(names, status, headers);
    departure::record_statement(state, server, &statement, &call.id);
    // A late answer to an earlier request may arrive on the connection.
    let foreign = headers.get(&names.request).is_some_and(|id| id.as_bytes() != call.id.as_bytes());
    if foreign {
        return Outcome::Unknown("the answer belongs to another request".to_owned());
    }
    limited::record(state, peer, statement.limit, statement.own, took);
    if statement.not_run {
        let (head, body) = answer.into_parts();
        drop(body);
        // The short body is not read, so the connection can't be reused.
        drop(connection);
        return Outcome::NotRun(head.status, statement.culprit);
    }
    if !statement.own || headers.contains_key(CONTENT_ENCODING) {
        return Outcome::Unknown(format!(
            "the answer with status {status} was not sent by the backend server"
        ));
    }
    peer.record_answer(took, status.is_server_error());
    if let Some(running) = statement.running {
        peer.reported_load.set(Some((running, state.now())));
    }
    let (parts, body) = answer.into_parts();
    let head = Response::from_parts(parts, ());
    Outcome::Answer(Box::new(Answer { head, body, connection, peer: peer.clone() }))
}
