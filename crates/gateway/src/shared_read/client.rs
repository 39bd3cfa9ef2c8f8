//! Asks the source for news, and for all it holds at a start.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use tokio::time::{Instant, sleep, timeout};

use super::availability::has_store_answered;
use super::forward::receive;
use super::gossip::Origin;
use super::members::{adopt, locate};
use super::page::{LONGEST, Page, Snapshot};
use super::view::{self, View};
use super::{LOGS, LOOK, OLD, WAIT, poll_pause, position, renew, source};
use crate::pool::Pool;
use crate::roster::{MAX_DIRECT_ROUTERS, MIN_SHARING_ROUTERS, Source};
use crate::state::State;
use crate::store::{Log, Offset};

/// Time another router gets to answer, beyond that for which it may hold an answer back.
pub(super) const ANSWER: Duration = Duration::from_millis(400);

/// Time for which a router that did not answer is passed over.
const AVOIDED: Duration = Duration::from_secs(4);

/// Time within which a router finds out whether a store that is said to be away answers it.
const CHECK: Duration = Duration::from_millis(500);

/// Longest wait of a router that has just started for the members. Where all start at once, the group names few of them
/// for a second; callers wait for none of that.
const START: Duration = Duration::from_millis(100);

/// Longest wait after a restore of the store until another router holds all again.
const RESTORED: Duration = Duration::from_millis(1200);

/// Longest wait for all that another router holds.
const SNAPSHOT: Duration = Duration::from_millis(250);

/// Asks the source for news as long as the process runs, and reads the members when they have changed.
pub async fn run(state: Rc<State>) {
    loop {
        locate(&state).await;
        let address = match source(&state) {
            Source::Store => {
                let _ = timeout(LOOK, state.sharing.news.notified()).await;
                continue;
            }
            Source::Reader(address) | Source::Relay(address) => address,
        };
        let pool = pool(&state, address);
        renew(&state);
        let (from, era) = (offsets(&state), state.store.era());
        let limit = WAIT + ANSWER;
        match timeout(limit, ask(&state, &pool, from)).await {
            // An answer from before the restore that this router has heard of meanwhile.
            Ok(Ok(page)) if page.era < state.store.era() => {
                log::debug!("gateway: a page of era {} is left out", page.era);
            }
            Ok(Ok(page)) if page.era > era => {
                state.store.adopt_era(page.era);
                renew(&state);
                continue;
            }
            Ok(Ok(page)) => take(&state, address, page),
            Ok(Err(why)) => lose(&state, address, &why),
            Err(_) => lose(&state, address, &format!("no answer within {limit:?}")),
        }
        sleep(poll_pause(state.routers())).await;
    }
}

/// Connections to a source.
pub(super) fn pool(state: &State, address: SocketAddr) -> Rc<Pool> {
    let mut source = state.sharing.source.borrow_mut();
    match source.as_ref() {
        Some((known, pool)) if *known == address => pool.clone(),
        _ => {
            log::info!("gateway: source={address} members={}", state.sharing.members());
            let pool = Rc::new(Pool::new(address));
            *source = Some((address, pool.clone()));
            state.sharing.source_view.set(None);
            pool
        }
    }
}

/// Offsets from which on records are wanted; all from the first on where nothing is known yet.
fn offsets(state: &State) -> [Offset; LOGS.len()] {
    let tails = state.sharing.tails.borrow();
    std::array::from_fn(|at| tails[at].end().unwrap_or_default())
}

async fn ask(state: &State, pool: &Pool, from: [Offset; LOGS.len()]) -> Result<Page, String> {
    let [settings, servers, notices] = from;
    let generation = state.sharing.generation();
    let (incarnation, heard) = state.sharing.heard_notices.get();
    let answered = u8::from(has_store_answered(state));
    let list = state.sharing.view.get();
    let list = list.map(|View { end, digest }| format!("&list_end={end}&list={digest}"));
    let path = format!(
        "/tail?settings={settings}&servers={servers}&notices={notices}&generation={generation}\
         &incarnation={incarnation}&heard={heard}&answered={answered}&era={}{}",
        state.store.era(),
        list.unwrap_or_default()
    );
    let body = get(pool, &path, Bytes::new()).await?;
    Page::decode(&body, from).map_err(|e| e.to_string())
}

/// Body of a router's answer.
pub(crate) async fn get(pool: &Pool, path: &str, body: Bytes) -> Result<Bytes, String> {
    let mut link = pool.take().await.map_err(|e| e.to_string())?;
    let mut request = Request::new(Full::new(body));
    *request.uri_mut() = path.parse().expect("names and digits");
    let answer = link.sender.send_request(request).await.map_err(|e| e.to_string())?;
    let (head, body) = answer.into_parts();
    let body = Limited::new(body, LONGEST).collect().await.map_err(|e| e.to_string())?.to_bytes();
    pool.keep(link, &head.headers);
    match head.status {
        StatusCode::OK => Ok(body),
        status => Err(format!("status {status}")),
    }
}

/// Takes a source's answer over.
fn take(state: &Rc<State>, address: SocketAddr, page: Page) {
    let (sharing, now) = (&state.sharing, state.now());
    if let Some(roster) = page.roster {
        adopt(state, roster);
    }
    sharing.heard_notices.set((page.incarnation, page.next_notice));
    receive(state, page.notices, Origin::Source);
    // Notices come by the way; those in the store are of routers that have no source.
    let timely = page.parts.iter().zip(LOGS).filter(|(_, log)| *log != Log::Notices);
    let oldest = timely.filter_map(|(part, _)| part.age()).max().unwrap_or_default();
    let told = sharing.store_unavailable.replace(page.store_unavailable);
    if page.store_unavailable {
        // It says so at once when the store is back.
        state.record_store_failure(Log::Settings);
        if !told {
            sharing.reported_unavailable.set(now);
            sharing.check.set(Some(now + CHECK.mul_f64(rand::random())));
        }
        if has_store_answered(state) {
            sharing.store_unavailable.set(false);
            state.record_store_answer();
            lose(state, address, "the store answers this router");
        }
        sharing.news.notify_waiters();
        return;
    }
    sharing.answered.set(None);
    if oldest > OLD {
        return lose(state, address, &format!("what it knows is {oldest:?} old"));
    }
    sharing.heard.set(Some(now));
    state.record_store_answer();
    let (mut news, list) = (false, page.view);
    let restored = sharing.renewed.get().is_some_and(|at| now < at + RESTORED);
    for (tail, part) in sharing.tails.borrow_mut().iter_mut().zip(page.parts) {
        match part.age() {
            Some(age) => {
                let (from, end) = (part.from, part.end);
                news |= tail.take(from, part.log_records(), end, now.saturating_sub(age), now);
            }
            // More may have been read since the question was asked.
            None if tail.end().is_some_and(|end| end != part.from) => {}
            // The source is about to read all again.
            None if restored => {}
            None => tail.clear(),
        }
    }
    if news {
        sharing.news.notify_waiters();
    }
    view::hear_source(state, list);
}

/// Passes over a router that gave no useful answer.
fn lose(state: &State, address: SocketAddr, why: &str) {
    log::info!("gateway: source lost address={address} why={why}");
    state.metrics.source_lost();
    let (now, sharing) = (state.now(), &state.sharing);
    sharing.source.borrow_mut().take();
    let mut avoided = sharing.avoided.borrow_mut();
    avoided.retain(|(a, until)| now < *until && *a != address);
    avoided.push((address, now + AVOIDED));
    drop(avoided);
    sharing.news.notify_waiters();
}

/// All that another router holds of a log, for a router that has just started. None if it has to read the store.
///
/// After a restore of the store, `patient`, it waits until the other router has read all again: hundreds that read the store
/// at once would be turned away.
pub async fn snapshot(state: &State, log: Log, patient: bool) -> Option<Snapshot> {
    let until = Instant::now() + if patient { RESTORED } else { Duration::ZERO };
    loop {
        let snapshot = ask_all(state, log).await;
        if snapshot.is_some() || Instant::now() >= until || giver(state).is_none() {
            return snapshot;
        }
        sleep(LOOK / 3).await;
    }
}

/// The router that is asked for all it holds. Those that pass on to others have it from the store: all may have started at
/// the same moment.
fn giver(state: &State) -> Option<SocketAddr> {
    match source(state) {
        Source::Relay(address) => Some(address),
        Source::Reader(address) if state.sharing.members() <= MAX_DIRECT_ROUTERS => Some(address),
        Source::Reader(_) | Source::Store => None,
    }
}

async fn ask_all(state: &State, log: Log) -> Option<Snapshot> {
    let known = async {
        while state.sharing.members() < MIN_SHARING_ROUTERS {
            state.sharing.news.notified().await;
        }
    };
    if state.setup.inner.is_none() || timeout(START, known).await.is_err() {
        return None;
    }
    let address = giver(state)?;
    let pool = pool(state, address);
    let asked = timeout(SNAPSHOT, get(&pool, &format!("/all?log={log}"), Bytes::new())).await;
    let body = match asked {
        Ok(Ok(body)) => body,
        other => {
            log::info!("gateway: no snapshot log={log} address={address} why={other:?}");
            return None;
        }
    };
    match Snapshot::decode(&body) {
        Ok(snapshot) if snapshot.era < state.store.era() => {
            log::info!("gateway: no snapshot log={log} why=it is of era {}", snapshot.era);
            None
        }
        Ok(snapshot) => {
            state.store.adopt_era(snapshot.era);
            renew(state);
            log::info!("gateway: snapshot log={log} address={address} end={}", snapshot.end);
            let at = position(log)?;
            let now = state.now();
            state.sharing.tails.borrow_mut()[at].take(snapshot.end, vec![], snapshot.end, now, now);
            Some(snapshot)
        }
        Err(why) => {
            log::warn!("gateway: no snapshot log={log} address={address} why={why}");
            None
        }
    }
}
