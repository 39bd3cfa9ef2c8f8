//! Answers the routers that hear from this one.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::time::timeout;

use super::availability::is_reported_unavailable;
use super::forward::receive;
use super::gossip::{self, Origin};
use super::page::{NoticeBatch, Page, Part, Snapshot};
use super::tail::Tail;
use super::view::{self, View};
use super::{LOGS, OLD, WAIT, renew};
use crate::limited;
use crate::state::State;
use crate::store::{Generation, Log, Offset};

/// Time after the store is back within which all logs are read again.
const REGAINED: Duration = Duration::from_secs(2);

/// Longest wait of a router that is asked for all it holds, until it holds it.
const SETTLE: Duration = Duration::from_millis(50);

/// Longest question for permits, in bytes: two names and some numbers.
const QUESTION: usize = 1 << 10;

/// Answers another router.
pub async fn answer(state: &Rc<State>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let query = head.uri.query().unwrap_or_default();
    let body = match head.uri.path() {
        "/tail" => page(state, query).await,
        "/all" => all(state, query).await,
        "/told" => listen(state, body).await,
        "/permits" => read(body).await.and_then(|body| limited::answer(state, &body)),
        _ => None,
    };
    let mut response = Response::new(Full::new(body.clone().unwrap_or_default()));
    if body.is_none() {
        *response.status_mut() = StatusCode::GONE;
    }
    response
}

/// Hears the notices of another router.
async fn listen(state: &Rc<State>, body: Incoming) -> Option<Bytes> {
    let body = Limited::new(body, gossip::LONGEST * 4).collect().await;
    let told = body.map_err(|e| e.to_string());
    match told.and_then(|body| NoticeBatch::decode(&body.to_bytes()).map_err(|e| e.to_string())) {
        Ok(told) => {
            receive(state, told.notices, Origin::Downstream);
            Some(Bytes::new())
        }
        Err(why) => {
            log::warn!("gateway: notices of another router left out why={why}");
            None
        }
    }
}

/// Body of a question; none if it is too long or breaks off.
async fn read(body: Incoming) -> Option<Bytes> {
    match Limited::new(body, QUESTION).collect().await {
        Ok(body) => Some(body.to_bytes()),
        Err(e) => {
            log::warn!("gateway: a question of another router is not read: {e}");
            None
        }
    }
}

fn value<'a>(query: &'a str, key: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
}

/// What is new since the offsets in the query; waits a while for it.
async fn page(state: &State, query: &str) -> Option<Bytes> {
    let number = |key: &str| value(query, key)?.parse::<u64>().ok();
    let from = [number("settings")?, number("servers")?, number("notices")?];
    let generation = number("generation")?;
    let era = number("era").unwrap_or_default();
    state.store.adopt_era(era);
    renew(state);
    if let (Some(end), Some(digest)) = (number("list_end"), number("list"))
        && state.store.era() == era
    {
        view::hear_asker(state, View { end, digest });
    }
    let incarnation = state.sharing.incarnation();
    // Notices of before it knew this process are not news.
    let next = state.sharing.gossip.borrow().next();
    let heard = number("heard").filter(|_| number("incarnation") == Some(incarnation));
    let heard = heard.unwrap_or(next).min(next);
    // The other router knows that the store is there: this one looks again before it says that it is away.
    let look_again = number("answered") == Some(1) && is_away(state);
    if look_again {
        state.sharing.check.set(Some(state.now()));
        state.store_returned.notify_waiters();
    }
    let away = || !look_again && is_away(state);
    let silent = || state.sharing.gossip.borrow().next() == heard;
    let news = async {
        while !away() && state.store.era() == era && !has_news(state, from, generation) && silent()
        {
            state.sharing.news.notified().await;
        }
    };
    let _ = timeout(WAIT, news).await;
    renew(state);
    let tails = state.sharing.tails.borrow();
    let parts =
        tails.iter().zip(from).map(|(tail, from)| match (tail.from(from), tail.age(state.now())) {
            (Some((records, end)), Some(age)) => Part {
                from,
                end,
                age_ms: Some(age.as_millis() as u64),
                records: records.iter().map(|(offset, r)| (*offset, r.to_vec())).collect(),
            },
            _ => Part { from, end: from, ..Part::default() },
        });
    let parts = parts.collect();
    let roster = state.sharing.roster.borrow();
    let roster = (roster.generation > generation).then(|| roster.clone());
    let (notices, next_notice) = state.sharing.gossip.borrow().since(heard);
    let notices = notices.iter().map(|notice| notice.to_vec()).collect();
    let mut page = Page::new(is_away(state), roster, parts);
    (page.notices, page.incarnation, page.next_notice) = (notices, incarnation, next_notice);
    (page.view, page.era) = (state.sharing.view.get(), state.store.era());
    Some(page.encode())
}

/// Whether what this router knows comes from a store that does not answer, or has not been read again since.
fn is_away(state: &State) -> bool {
    let old = || {
        let tails = state.sharing.tails.borrow();
        let mut timely = tails.iter().zip(LOGS).filter(|(_, log)| *log != Log::Notices);
        timely.any(|(tail, _)| tail.age(state.now()).is_some_and(|age| age > OLD))
    };
    let regained = state.now() < state.store_regained_at() + REGAINED;
    state.store_unavailable() || is_reported_unavailable(state) || (regained && old())
}

fn has_news(state: &State, from: [Offset; LOGS.len()], generation: Generation) -> bool {
    let tails = state.sharing.tails.borrow();
    let new = |(tail, from): (&Tail, Offset)| tail.from(from).is_none_or(|(r, _)| !r.is_empty());
    state.sharing.generation() > generation || tails.iter().zip(from).any(new)
}

/// All that this router holds of the log in the query; waits a while until it holds it.
async fn all(state: &State, query: &str) -> Option<Bytes> {
    let name = value(query, "log")?;
    let at = LOGS.iter().position(|log| log.to_string() == name)?;
    // Records that were heard of are taken over by another task: values are as new as their own offset.
    let held = || {
        renew(state);
        let end = match state.sharing.newest.borrow().get(at) {
            Some(newest) => newest.end,
            None => state.sharing.tails.borrow()[at].end(),
        };
        end.filter(|_| state.ready())
    };
    let settled = async {
        while held().is_none() {
            state.sharing.news.notified().await;
        }
    };
    let _ = timeout(SETTLE, settled).await;
    let end = held().filter(|_| !is_away(state))?;
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
    Some(Snapshot::new(state.store.era(), end, items).encode())
}
