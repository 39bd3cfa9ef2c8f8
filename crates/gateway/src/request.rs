//! Requests of callers, checked against the settings in force.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Uri};
use policy::crash::{Fingerprint, Part};
use tokio::time::{Instant, timeout_at};

use crate::answer::{self, Reason};
use crate::content;
use crate::settings::{Rank, Route, Settings};
use crate::startup;
use crate::state::State;

/// Time-out for receiving a body, counted from the end of the head.
const BODY_TIMEOUT: Duration = Duration::from_secs(8);

/// Time and bytes up to which the rest of a refused request's body is read. A caller that sends more, or slower, may
/// lose its answer.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_DISCARDED_BYTES: usize = 4 << 20;

/// Most tokens that a request may name.
const MAX_TOKENS: f64 = 1e9;

/// Fraction of the VM's memory that the bodies of all requests may take together.
const BODY_MEMORY_FRACTION: f64 = 0.25;

/// A request that may be sent to backend servers.
#[derive(Debug)]
pub struct Call {
    /// Id of this attempt of the caller.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Header fields that are forwarded.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Its route.
    pub route: Route,
    /// The settings it was checked against.
    pub settings: Rc<Settings>,
    /// The caller's workspace.
    pub workspace: Option<String>,
    /// Its rank.
    pub rank: Rank,
    /// Whether that is the rank of its workspace.
    pub has_own_rank: bool,
    /// When it arrived.
    pub arrived: Instant,
    /// When its caller's or its route's time-out ends, whichever is earlier.
    pub deadline: Instant,
    /// Prompt tokens and maximum output tokens.
    pub tokens: Tokens,
    /// Fingerprint of its content.
    pub content: Fingerprint,
    /// The parts of its prompt that other requests may share.
    pub parts: Vec<Part>,
    reservation: Reservation,
}

/// Size of a request to a model.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Tokens {
    /// Tokens of the prompt.
    pub prompt: f64,
    /// Maximum tokens of the answer.
    pub answer: f64,
}

impl Tokens {
    /// Returns the tokens of context that the request takes at its end.
    pub fn total(self) -> f64 {
        self.prompt + self.answer
    }
}

/// Memory reserved for a body, released when dropped.
#[derive(Debug)]
struct Reservation {
    state: Rc<State>,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.state.body_bytes.set(self.state.body_bytes.get() - self.bytes);
    }
}

impl Reservation {
    fn grow(&mut self, bytes: usize) -> Result<(), Reason> {
        let max_bytes = (self.state.setup.memory as f64 * BODY_MEMORY_FRACTION) as usize;
        if self.state.body_bytes.get() + bytes > max_bytes {
            return Err(Reason::NoMemory);
        }
        self.bytes += bytes;
        self.state.body_bytes.set(self.state.body_bytes.get() + bytes);
        Ok(())
    }
}

/// Checks a request and reads its body.
pub async fn read(state: &Rc<State>, head: Parts, body: &mut Incoming) -> Result<Call, Reason> {
    let arrived = Instant::now();
    let settings = startup::settings(state).await?;
    let host = host(&head.headers, &head.uri)?;
    let route = settings.route(&host, head.uri.path()).ok_or(Reason::NoRoute)?.clone();
    let (workspace, own_rank) = authenticate(state, &settings, &route, &head.headers)?;
    let rank = match (own_rank, &workspace) {
        (None, None) => route.rank,
        (own, _) => own.unwrap_or(route.rank).min(9),
    };
    check_framing(&head.headers)?;
    if body.size_hint().lower() > settings.limits.body as u64 {
        return Err(Reason::TooLong);
    }
    let names = &state.codec.names;
    let id = head.headers.get(&names.request).and_then(|id| id.to_str().ok());
    let id = id.ok_or(Reason::Malformed)?.to_owned();
    let deadline =
        arrived + caller_timeout(state, &head.headers).unwrap_or(route.timeout).min(route.timeout);
    let tokens = head.headers.get(&names.tokens).and_then(|value| value.to_str().ok());
    let tokens = tokens.map(parse_tokens).unwrap_or_default();
    let headers = forwarded_headers(state, head.headers);
    let mut reservation = Reservation { state: state.clone(), bytes: 0 };
    let body =
        collect(body, settings.limits.body, deadline.min(arrived + BODY_TIMEOUT), &mut reservation)
            .await?;
    let uri = head.uri.path_and_query().map_or(head.uri.clone(), |p| Uri::from(p.clone()));
    let content = content::fingerprint(workspace.as_deref(), &host, &head.method, &uri, &body);
    let parts = content::shared_parts(&state.codec, workspace.as_deref(), &headers);
    Ok(Call {
        id,
        method: head.method,
        uri,
        headers,
        body,
        route,
        settings,
        workspace,
        rank,
        has_own_rank: own_rank.is_some(),
        arrived,
        deadline,
        tokens,
        content,
        parts,
        reservation,
    })
}

/// Reads and discards what the caller of a refused request still sends.
///
/// A connection that is closed with unread bytes is reset, and the caller's side then drops the answer that it has not
/// read yet: the caller never learns that the request was refused.
pub fn discard(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    let rest = async move {
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > MAX_DISCARDED_BYTES {
                return log::info!("gateway: rest of a refused body not read bytes={bytes}");
            }
        }
    };
    tokio::task::spawn_local(tokio::time::timeout(DISCARD_TIMEOUT, rest));
}

impl Call {
    /// Returns its place in the order of urgency, from 0. The rank of the workspace comes first, and among requests of
    /// equal rank that of the route.
    pub fn urgency(&self) -> Rank {
        urgency(self.rank, self.route.rank)
    }

    /// Returns the rank of the workspaces, from the place in the order of urgency.
    pub fn workspace_rank(urgency: Rank) -> Rank {
        urgency / 10
    }

    /// Returns the bytes of its body.
    pub fn size(&self) -> usize {
        self.reservation.bytes
    }

    /// Returns the time until its deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Returns the place in the order of urgency of a request with this rank on a route with that one.
pub(crate) fn urgency(rank: Rank, route: Rank) -> Rank {
    rank.min(9) * 10 + route.min(9)
}

fn host(headers: &HeaderMap, uri: &Uri) -> Result<String, Reason> {
    let mut hosts = headers.get_all(HOST).iter();
    match (hosts.next(), hosts.next(), uri.authority()) {
        (Some(host), None, _) => host.to_str().map(str::to_owned).map_err(|_| Reason::Malformed),
        (None, None, Some(authority)) => Ok(authority.to_string()),
        _ => Err(Reason::Malformed),
    }
}

/// Finds the workspace that the caller's key belongs to, and its rank if it has its own.
fn authenticate(
    state: &State,
    settings: &Settings,
    route: &Route,
    headers: &HeaderMap,
) -> Result<(Option<String>, Option<Rank>), Reason> {
    if route.public || !settings.requires_key {
        return Ok((None, None));
    }
    let mut keys = headers.get_all(&state.codec.names.key).iter();
    let key = match (keys.next(), keys.next()) {
        (Some(key), None) => key.to_str().map_err(|_| Reason::NoKey)?,
        _ => return Err(Reason::NoKey),
    };
    let holder = settings.key(key).ok_or(Reason::NoKey)?;
    Ok((Some(holder.workspace.clone()), holder.rank))
}

/// Refuses requests whose body length is ambiguous. What one parser reads as the body, another would read as a second
/// request, which would run without a key.
fn check_framing(headers: &HeaderMap) -> Result<(), Reason> {
    let lengths = headers.get_all(CONTENT_LENGTH).iter().count();
    let codings = headers.get_all(TRANSFER_ENCODING).iter().count();
    match lengths + codings {
        0 | 1 => Ok(()),
        _ => Err(Reason::Malformed),
    }
}

fn caller_timeout(state: &State, headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(&state.codec.names.deadline)?.to_str().ok()?;
    text.trim().parse::<u64>().ok().map(Duration::from_millis)
}

/// Parses the tokens of a prompt and of the answer, divided by a comma. Other texts count as no tokens: what they would
/// add to the load of servers affects the requests of all callers.
///
/// ```
/// use gateway::request::{Tokens, parse_tokens};
/// assert_eq!(parse_tokens("1460, 80"), Tokens { prompt: 1460.0, answer: 80.0 });
/// assert_eq!(parse_tokens("nan,80"), Tokens::default());
/// assert_eq!(parse_tokens("1e300,80"), Tokens::default());
/// ```
pub fn parse_tokens(text: &str) -> Tokens {
    let number = |text: &str| {
        let number = text.trim().parse::<f64>().ok();
        number.filter(|number| (0.0..=MAX_TOKENS).contains(number))
    };
    let parsed = text.split_once(',').and_then(|(prompt, answer)| {
        Some(Tokens { prompt: number(prompt)?, answer: number(answer)? })
    });
    parsed.unwrap_or_default()
}

/// Returns the header fields to forward to the backend server: all except hop-by-hop fields and those that this router
/// sets itself, which a caller could otherwise forge.
fn forwarded_headers(state: &State, mut headers: HeaderMap) -> HeaderMap {
    let names = &state.codec.names;
    let protected =
        [&names.request, &names.tokens, &names.last_event, &names.weights, &names.deadline, &HOST];
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !protected.contains(&name) && !names.protected.contains(name))
        .collect();
    for name in listed {
        headers.remove(name);
    }
    answer::strip(&mut headers);
    headers.remove("expect");
    for name in [&names.key, &names.workspace, &names.server, &names.path, &names.rank] {
        headers.remove(name);
    }
    headers
}

async fn collect(
    body: &mut Incoming,
    max_bytes: usize,
    until: Instant,
    reservation: &mut Reservation,
) -> Result<Bytes, Reason> {
    let mut collected = BytesMut::new();
    loop {
        match timeout_at(until, body.frame()).await {
            Err(_) => return Err(Reason::SlowCaller),
            Ok(None) => return Ok(collected.freeze()),
            Ok(Some(Err(_))) => return Err(Reason::Malformed),
            Ok(Some(Ok(frame))) => {
                let Some(data) = frame.data_ref() else { continue };
                if collected.len() + data.len() > max_bytes {
                    return Err(Reason::TooLong);
                }
                reservation.grow(data.len())?;
                collected.extend_from_slice(data);
            }
        }
    }
}
