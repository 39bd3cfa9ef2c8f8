//! Answers the routers whose source this one is.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::time::timeout;

use super::availability::{is_reported_unavailable, request_check};
use super::forward::receive;
use super::freshness::{is_late, known_as_of_all, own_limits};
use super::gossip::{self, Origin};
use super::page::{NoticeBatch, Page, Part, Snapshot};
use super::tail::Tail;
use super::view::{self, View};
use super::{Encoded, LOGS, MAX_POLL_WAIT, drop_former_era, known_as_of, source};
use crate::limited;
use crate::roster::Source;
use crate::state::State;
use crate::store::{Generation, Log, Offset};

/// Time after the store was regained within which all logs are read again.
const REREAD_TIME: Duration = Duration::from_secs(2);

/// Longest wait until this router can answer the request for a snapshot.
const MAX_SNAPSHOT_WAIT: Duration = Duration::from_millis(50);

/// Longest request for permits, in bytes: two names and some numbers.
const MAX_REQUEST_BYTES: usize = 1 << 10;

/// Answers another router.
pub async fn answer(state: &Rc<State>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let query = head.uri.query().unwrap_or_default();
    let body = match head.uri.path() {
        "/tail" => answer_poll(state, query).await,
        "/all" => answer_snapshot(state, query).await,
        "/told" => receive_notices(state, body).await,
        "/permits" => read_body(body).await.and_then(|body| limited::answer_request(state, &body)),
        _ => None,
    };
    let mut response = Response::new(Full::new(body.clone().unwrap_or_default()));
    if body.is_none() {
        *response.status_mut() = StatusCode::GONE;
    }
    response
}

/// Receives the notices of another router.
async fn receive_notices(state: &Rc<State>, body: Incoming) -> Option<Bytes> {
    let body = Limited::new(body, gossip::MAX_NOTICE_BYTES * 4).collect().await;
    let batch = body.map_err(|e| e.to_string());
    match batch.and_then(|body| NoticeBatch::decode(&body.to_bytes()).map_err(|e| e.to_string())) {
        Ok(batch) => {
            receive(state, batch.notices, Origin::Downstream);
            Some(Bytes::new())
        }
        Err(why) => {
            log::warn!("gateway: notices of another router ignored why={why}");
            None
        }
    }
}

/// Returns the body of a request; none if it is too long or breaks off.
async fn read_body(body: Incoming) -> Option<Bytes> {
    match Limited::new(body, MAX_REQUEST_BYTES).collect().await {
        Ok(body) => Some(body.to_bytes()),
        Err(e) => {
            log::warn!("gateway: request of another router not read: {e}");
            None
        }
    }
}

fn query_value<'a>(query: &'a str, key: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
}

/// Answers a poll with the updates since the offsets in the query; waits a while for them.
async fn answer_poll(state: &State, query: &str) -> Option<Bytes> {
    let number = |key: &str| query_value(query, key)?.parse::<u64>().ok();
    let from = [number("settings")?, number("servers")?, number("notices")?];
    let generation = number("generation")?;
    let era = number("era").unwrap_or_default();
    state.store.adopt_era(era);
    drop_former_era(state);
    if let (Some(end), Some(digest)) = (number("list_end"), number("list"))
        && state.store.era() == era
    {
        view::compare_with_poller(state, View { end, digest });
    }
    let began = state.now();
    let refresh = own_limits(state).read / 2;
    let known = number("age").map(|age| began.saturating_sub(Duration::from_millis(age)));
    let is_fresher =
        || known.zip(known_as_of_all(state)).is_some_and(|(known, own)| own >= known + refresh);
    let incarnation = state.sharing.incarnation();
    // Notices from before it knew this process are not updates.
    let next = state.sharing.gossip.borrow().next();
    let next_wanted = number("heard").filter(|_| number("incarnation") == Some(incarnation));
    let next_wanted = next_wanted.unwrap_or(next).min(next);
    // The other router knows that the store is available: this one checks again before it reports it as unavailable.
    let check_again = number("answered") == Some(1) && is_store_unavailable(state);
    if check_again {
        request_check(state);
    }
    let unavailable = || !check_again && is_store_unavailable(state);
    let no_notices = || state.sharing.gossip.borrow().next() == next_wanted;
    let update = async {
        while !unavailable()
            && state.store.era() == era
            && !has_updates(state, from, generation)
            && no_notices()
            && !is_fresher()
        {
            tokio::select! {
                () = state.sharing.updated.notified() => {}
                () = state.sharing.refreshed.notified() => {}
            }
        }
    };
    let max_hold = number("hold").map_or(MAX_POLL_WAIT, Duration::from_millis).min(MAX_POLL_WAIT);
    let _ = timeout(max_hold, update).await;
    drop_former_era(state);
    let tails = state.sharing.tails.borrow();
    let parts = tails.iter().zip(from).map(|(tail, from)| {
        match (tail.records_from(from), tail.age(state.now())) {
            (Some((records, end)), Some(age)) => Part {
                from,
                end,
                age_ms: Some(age.as_millis() as u64),
                records: records.iter().map(|(offset, r)| (*offset, r.to_vec())).collect(),
            },
            _ => Part { from, end: from, ..Part::default() },
        }
    });
    let parts = parts.collect();
    let roster = state.sharing.roster.borrow();
    let roster = (roster.generation > generation).then(|| roster.clone());
    let (notices, next_notice) = state.sharing.gossip.borrow().since(next_wanted);
    let notices = notices.iter().map(|notice| notice.to_vec()).collect();
    let mut page = Page::new(is_store_unavailable(state), roster, parts);
    (page.notices, page.incarnation, page.next_notice) = (notices, incarnation, next_notice);
    (page.view, page.era) = (state.sharing.view.get(), state.store.era());
    page.held_ms = state.now().saturating_sub(began).as_millis() as u64;
    page.hops = match source(state) {
        Source::Store => 0,
        Source::Reader(_) | Source::Relay(_) => state.sharing.hops.get().saturating_add(1),
    };
    Some(page.encode())
}

/// Whether this router's data comes from a store that does not answer, or has not been read again since.
fn is_store_unavailable(state: &State) -> bool {
    let regained = state.now() < state.store_regained_at() + REREAD_TIME;
    state.store_unavailable() || is_reported_unavailable(state) || (regained && is_late(state))
}

fn has_updates(state: &State, from: [Offset; LOGS.len()], generation: Generation) -> bool {
    let tails = state.sharing.tails.borrow();
    let new =
        |(tail, from): (&Tail, Offset)| tail.records_from(from).is_none_or(|(r, _)| !r.is_empty());
    state.sharing.generation() > generation || tails.iter().zip(from).any(new)
}

/// Answers with all records that this router holds of the log in the query; waits a while until it holds them.
async fn answer_snapshot(state: &State, query: &str) -> Option<Bytes> {
    let name = query_value(query, "log")?;
    let at = LOGS.iter().position(|log| log.to_string() == name)?;
    // Another task applies received records: the values are as new as their own offset.
    let known_end = || {
        drop_former_era(state);
        let end = match state.sharing.newest.borrow().get(at) {
            Some(newest) => newest.end,
            None => state.sharing.tails.borrow()[at].end(),
        };
        end.filter(|_| state.ready())
    };
    let available = async {
        while known_end().is_none() {
            state.sharing.updated.notified().await;
        }
    };
    let _ = timeout(MAX_SNAPSHOT_WAIT, available).await;
    let end = known_end().filter(|_| !is_store_unavailable(state))?;
    // What is not known to be recent is of no use to a router that may read the store.
    let age = state.now().saturating_sub(known_as_of(state, LOGS[at])?);
    let era = state.store.era();
    let is_current = |e: &&Encoded| (e.era, e.log, e.end) == (era, at, end);
    if let Some(encoded) = state.sharing.encoded.borrow().as_ref().filter(is_current) {
        return Some(Snapshot::encode(&encoded.bytes, age));
    }
    let items = match state.sharing.newest.borrow().get(at) {
        Some(newest) => {
            newest.values.iter().map(|(key, value)| (key.clone(), value.to_vec())).collect()
        }
        None => {
            let kept = state.sharing.tails.borrow()[at].kept();
            let (gossip, _) = state.sharing.gossip.borrow().since(0);
            let notices = kept.into_iter().map(|(_, record)| record).chain(gossip);
            notices.map(|notice| (String::new(), notice.to_vec())).collect()
        }
    };
    let bytes = Snapshot { era, end, items }.compress();
    // A snapshot of notices also has those that no offset counts.
    if LOGS[at] != Log::Notices {
        let encoded = Encoded { era, log: at, end, bytes: bytes.clone() };
        *state.sharing.encoded.borrow_mut() = Some(encoded);
    }
    Some(Snapshot::encode(&bytes, age))
}
