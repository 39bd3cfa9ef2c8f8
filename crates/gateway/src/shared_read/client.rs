//! Polls the source for updates, and requests a snapshot at the start of the process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use tokio::time::{Instant, sleep, timeout};

use super::availability::has_store_answered;
use super::forward::receive;
use super::gossip::Origin;
use super::members::{adopt, refresh};
use super::page::{MAX_ANSWER_BYTES, Page, Snapshot};
use super::view::{self, View};
use super::{
    CHECK_INTERVAL, LOGS, MAX_AGE, MAX_POLL_WAIT, drop_former_era, poll_pause, position, source,
};
use crate::pool::{self, Pool};
use crate::roster::{MAX_DIRECT_ROUTERS, MIN_SHARING_ROUTERS, Source};
use crate::state::State;
use crate::store::{Log, Offset};
use crate::task::isolate;

/// Time that another router has to answer, in addition to the time for which it may hold an answer back.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which a router that did not answer is avoided.
const SOURCE_BACKOFF: Duration = Duration::from_secs(4);

/// Time within which a router checks whether a store that is reported as unavailable answers it.
const STORE_CHECK_TIME: Duration = Duration::from_millis(500);

/// Longest wait for the members at the start of a router. If all routers start at once, the group has few members for a
/// second; callers do not wait for this.
const MAX_MEMBERS_WAIT: Duration = Duration::from_millis(100);

/// Longest wait after a restore of the store until the source has read all records again.
pub const MAX_RESTORE_WAIT: Duration = Duration::from_millis(1200);

/// Time limit for a snapshot of the source.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(250);

/// Polls the source as long as the process runs, and reads the members when they have changed.
pub async fn run(state: Rc<State>) {
    loop {
        refresh(&state).await;
        let address = match source(&state) {
            Source::Store => {
                let _ = timeout(CHECK_INTERVAL, state.sharing.updated.notified()).await;
                continue;
            }
            Source::Reader(address) | Source::Relay(address) => address,
        };
        let pool = pool(&state, address);
        drop_former_era(&state);
        let (from, era) = (offsets(&state), state.store.era());
        let limit = MAX_POLL_WAIT + ANSWER_TIMEOUT;
        match timeout(limit, request_page(&state, &pool, from)).await {
            // The answer is from before a restore that this router has learned of meanwhile.
            Ok(Ok(page)) if page.era < state.store.era() => {
                log::debug!("gateway: a page of era {} is ignored", page.era);
            }
            Ok(Ok(page)) if page.era > era => {
                state.store.adopt_era(page.era);
                drop_former_era(&state);
                continue;
            }
            Ok(Ok(page)) => {
                if let Err(why) = isolate(|| apply_page(&state, address, page)) {
                    avoid_source(&state, address, &format!("panic: {why:?}"));
                }
            }
            Ok(Err(why)) => avoid_source(&state, address, &why),
            Err(_) => avoid_source(&state, address, &format!("no answer within {limit:?}")),
        }
        sleep(poll_pause(state.routers())).await;
    }
}

/// Returns the connections to a source.
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

/// Returns the offsets from which on records are requested; zero where nothing is known yet.
fn offsets(state: &State) -> [Offset; LOGS.len()] {
    let tails = state.sharing.tails.borrow();
    std::array::from_fn(|at| tails[at].end().unwrap_or_default())
}

async fn request_page(
    state: &State,
    pool: &Pool,
    from: [Offset; LOGS.len()],
) -> Result<Page, String> {
    let [settings, servers, notices] = from;
    let generation = state.sharing.generation();
    let (incarnation, next_notice) = state.sharing.next_source_notice.get();
    let answered = u8::from(has_store_answered(state));
    let list = state.sharing.view.get();
    let list = list.map(|View { end, digest }| format!("&list_end={end}&list={digest}"));
    let path = format!(
        "/tail?settings={settings}&servers={servers}&notices={notices}&generation={generation}\
         &incarnation={incarnation}&heard={next_notice}&answered={answered}&era={}{}",
        state.store.era(),
        list.unwrap_or_default()
    );
    let body = get(pool, &path, Bytes::new()).await?;
    Page::decode(&body, from).map_err(|e| e.to_string())
}

/// Sends a request to another router and returns the body of the answer.
pub(crate) async fn get(pool: &Pool, path: &str, body: Bytes) -> Result<Bytes, String> {
    let mut connection = pool.take().await.map_err(|e| e.to_string())?;
    let mut request = Request::new(Full::new(body));
    *request.uri_mut() = path.parse().expect("names and digits");
    let answer = connection.send(request).await.map_err(|e| e.into_error().to_string())?;
    let (head, body) = answer.into_parts();
    let body = pool::read_body(body, MAX_ANSWER_BYTES).await?;
    pool.keep(connection, &head.headers);
    match head.status {
        StatusCode::OK => Ok(body),
        status => Err(format!("status {status}")),
    }
}

/// Applies an answer of the source.
fn apply_page(state: &Rc<State>, address: SocketAddr, page: Page) {
    let (sharing, now) = (&state.sharing, state.now());
    if let Some(roster) = page.roster {
        adopt(state, roster);
    }
    sharing.next_source_notice.set((page.incarnation, page.next_notice));
    receive(state, page.notices, Origin::Source);
    // Notices arrive as gossip; those in the store are from routers that have no source.
    let timely = page.parts.iter().zip(LOGS).filter(|(_, log)| *log != Log::Notices);
    let oldest = timely.filter_map(|(part, _)| part.age()).max().unwrap_or_default();
    let reported = sharing.store_unavailable.replace(page.store_unavailable);
    if page.store_unavailable {
        // The source reports at once when the store is available again.
        state.record_store_failure(Log::Settings);
        if !reported {
            sharing.reported_unavailable_at.set(now);
            sharing.store_check_at.set(Some(now + STORE_CHECK_TIME.mul_f64(rand::random())));
        }
        if has_store_answered(state) {
            sharing.store_unavailable.set(false);
            state.record_store_answer();
            avoid_source(state, address, "the store answers this router");
        }
        sharing.updated.notify_waiters();
        return;
    }
    sharing.store_answered_at.set(None);
    if oldest > MAX_AGE {
        return avoid_source(state, address, &format!("its data is {oldest:?} old"));
    }
    sharing.last_answer.set(Some(now));
    state.record_store_answer();
    let (mut updated, list) = (false, page.view);
    let restored = sharing.era_began_at.get().is_some_and(|at| now < at + MAX_RESTORE_WAIT);
    for (tail, part) in sharing.tails.borrow_mut().iter_mut().zip(page.parts) {
        match part.age() {
            Some(age) => {
                let (from, end) = (part.from, part.end);
                updated |= tail.append(from, part.log_records(), end, now.saturating_sub(age), now);
            }
            // More may have been read since the request was sent.
            None if tail.end().is_some_and(|end| end != part.from) => {}
            // The source is about to read all records again.
            None if restored => {}
            None => tail.clear(),
        }
    }
    if updated {
        sharing.updated.notify_waiters();
    }
    view::record_source_view(state, list);
}

/// Avoids a router that gave no usable answer.
fn avoid_source(state: &State, address: SocketAddr, why: &str) {
    log::info!("gateway: source lost address={address} why={why}");
    state.metrics.source_lost();
    let (now, sharing) = (state.now(), &state.sharing);
    sharing.source.borrow_mut().take();
    let mut avoided = sharing.avoided.borrow_mut();
    avoided.retain(|(a, until)| now < *until && *a != address);
    avoided.push((address, now + SOURCE_BACKOFF));
    drop(avoided);
    sharing.updated.notify_waiters();
}

/// Requests all records that the source holds of a log, for a router that has just started. Returns none if this router
/// has to read the store.
///
/// Waits up to `wait` for a source that is still reading the store itself: after a restore, or if all routers have just
/// started, the store would refuse or delay hundreds of routers that read it at once.
pub async fn snapshot(state: &State, log: Log, wait: Duration) -> Option<Snapshot> {
    let until = Instant::now() + wait;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let snapshot = request_snapshot(state, log, left.max(SNAPSHOT_TIMEOUT)).await;
        if snapshot.is_some() || Instant::now() >= until || snapshot_source(state).is_none() {
            return snapshot;
        }
        sleep(CHECK_INTERVAL / 3).await;
    }
}

/// Returns the router to request a snapshot from. Relays read the store instead, as all routers may have started at the
/// same moment.
fn snapshot_source(state: &State) -> Option<SocketAddr> {
    match source(state) {
        Source::Relay(address) => Some(address),
        Source::Reader(address) if state.sharing.members() <= MAX_DIRECT_ROUTERS => Some(address),
        Source::Reader(_) | Source::Store => None,
    }
}

async fn request_snapshot(state: &State, log: Log, limit: Duration) -> Option<Snapshot> {
    let has_members = async {
        while state.sharing.members() < MIN_SHARING_ROUTERS {
            state.sharing.updated.notified().await;
        }
    };
    if state.setup.inner.is_none() || timeout(MAX_MEMBERS_WAIT, has_members).await.is_err() {
        return None;
    }
    let address = snapshot_source(state)?;
    let pool = pool(state, address);
    let answer = timeout(limit, get(&pool, &format!("/all?log={log}"), Bytes::new())).await;
    let body = match answer {
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
            drop_former_era(state);
            log::info!("gateway: snapshot log={log} address={address} end={}", snapshot.end);
            let at = position(log)?;
            let now = state.now();
            state.sharing.tails.borrow_mut()[at].append(
                snapshot.end,
                vec![],
                snapshot.end,
                now,
                now,
            );
            Some(snapshot)
        }
        Err(why) => {
            log::warn!("gateway: no snapshot log={log} address={address} why={why}");
            None
        }
    }
}
