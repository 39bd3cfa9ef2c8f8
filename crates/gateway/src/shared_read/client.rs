//! Polls the source for updates, and requests a snapshot at the start of the process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use tokio::time::{Instant, sleep, timeout};

use super::availability::{has_store_answered, reaches_store};
use super::forward::receive;
use super::freshness::{age, alternative, avoid, current, is_late, is_timely, own_limits};
use super::gossip::Origin;
use super::members::{adopt, refresh};
use super::page::{MAX_ANSWER_BYTES, Page, Snapshot};
use super::view::{self, View};
use super::{
    CHECK_INTERVAL, LOGS, MAX_POLL_WAIT, MIN_POLL_PAUSE, drop_former_era, is_avoided, poll_pause,
    position, source,
};
use crate::pool::{self, Pool};
use crate::roster::{MAX_DIRECT_ROUTERS, MIN_SHARING_ROUTERS, Source};
use crate::state::State;
use crate::store::{Log, Offset};
use crate::task::isolate;

/// Time that another router has to answer, in addition to the time for which it may hold an answer back.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Time that another router has to answer at least, also if this router's data is about to be too old.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

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
        match source(&state) {
            Source::Store => {
                let left =
                    own_limits(&state).source.saturating_sub(age(&state).unwrap_or_default());
                let wait = left.clamp(MIN_POLL_PAUSE, CHECK_INTERVAL);
                let _ = timeout(wait, state.sharing.updated.notified()).await;
            }
            Source::Reader(address) | Source::Relay(address) => {
                poll(&state, address).await;
                let pause = poll_pause(state.routers()).min(own_limits(&state).poll);
                sleep(if is_late(&state) { MIN_POLL_PAUSE } else { pause }).await;
            }
        }
        look_elsewhere(&state).await;
    }
}

/// Polls the source once.
async fn poll(state: &Rc<State>, address: SocketAddr) {
    // The answer is of no use once the data is too old.
    let left = own_limits(state).source.saturating_sub(age(state).unwrap_or_default());
    let limit = left.clamp(MIN_ANSWER_TIMEOUT, MAX_POLL_WAIT + ANSWER_TIMEOUT);
    let (pool, sent) = (pool(state, address), state.now());
    match request_page(state, &pool, limit, limit.saturating_sub(MIN_ANSWER_TIMEOUT / 2)).await {
        Ok(Some(page)) => {
            if let Err(why) = isolate(|| apply_page(state, address, page, sent)) {
                avoid(state, address, &format!("panic: {why:?}"));
            }
        }
        Ok(None) => {}
        Err(why) => avoid(state, address, &why),
    }
}

/// Asks another router for fresh data if the source has none; if it has, that router is the source from now on.
///
/// While the store answers nobody, no router has fresh data, and the pause between two requests doubles.
async fn look_elsewhere(state: &Rc<State>) {
    let (next, pause) = state.sharing.next_ask.get();
    let (min_pause, max_pause) = own_limits(state).ask;
    if !is_late(state) {
        return state.sharing.next_ask.set((Duration::ZERO, min_pause));
    }
    let (Some(current), Some(other)) = (current(state), alternative(state)) else { return };
    if state.now() < next {
        return;
    }
    state.sharing.next_ask.set((state.now() + pause, (pause * 2).min(max_pause)));
    let (pool, sent) = (Pool::new(other), state.now());
    let page = request_page(state, &pool, MIN_ANSWER_TIMEOUT, Duration::ZERO).await;
    let page = match page {
        Ok(Some(page)) => page,
        Ok(None) => return,
        Err(why) => return log::info!("gateway: no fresh data address={other} why={why}"),
    };
    let age = oldest(&page) + state.now().saturating_sub(sent);
    let is_fresh = !page.store_unavailable && age <= own_limits(state).source;
    if !is_fresh {
        let unavailable = page.store_unavailable;
        log::info!("gateway: no fresh data address={other} age={age:?} unavailable={unavailable}");
    }
    if is_fresh && is_late(state) {
        avoid(state, current, &format!("{other} has data of {age:?}"));
        if let Err(why) = isolate(|| apply_page(state, other, page, sent)) {
            avoid(state, other, &format!("panic: {why:?}"));
        }
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

/// Requests updates from a router, which may hold its answer back for the time `hold` until there are any. Returns none if
/// the answer belongs to another era of the store than this router's data.
async fn request_page(
    state: &State,
    pool: &Pool,
    limit: Duration,
    hold: Duration,
) -> Result<Option<Page>, String> {
    drop_former_era(state);
    let (from, era) = (offsets(state), state.store.era());
    let [settings, servers, notices] = from;
    let generation = state.sharing.generation();
    let (incarnation, next_notice) = state.sharing.next_source_notice.get();
    let answered = u8::from(reaches_store(state));
    let age = age(state).map(|age| format!("&age={}", age.as_millis())).unwrap_or_default();
    let list = state.sharing.view.get();
    let list = list.map(|View { end, digest }| format!("&list_end={end}&list={digest}"));
    let path = format!(
        "/tail?settings={settings}&servers={servers}&notices={notices}&generation={generation}\
         &incarnation={incarnation}&heard={next_notice}&answered={answered}&era={era}&hold={}{}{age}",
        hold.as_millis(),
        list.unwrap_or_default()
    );
    let body = timeout(limit, get(pool, &path, Bytes::new())).await;
    let body = body.map_err(|_| format!("no answer within {limit:?}"))??;
    let page = Page::decode(&body, from).map_err(|e| e.to_string())?;
    match () {
        // The answer is from before a restore that this router has learned of meanwhile.
        () if page.era < state.store.era() => {
            log::debug!("gateway: a page of era {} is ignored", page.era);
            Ok(None)
        }
        () if page.era > era => {
            state.store.adopt_era(page.era);
            drop_former_era(state);
            Ok(None)
        }
        () => Ok(Some(page)),
    }
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

/// Applies an answer of the source to a poll that was sent at `sent`.
fn apply_page(state: &Rc<State>, address: SocketAddr, page: Page, sent: Duration) {
    let (sharing, now) = (&state.sharing, state.now());
    // What the answer took beyond the time for which it was held back may have passed after it was written.
    let transit = now.saturating_sub(sent + Duration::from_millis(page.held_ms));
    let oldest = oldest(&page) + transit;
    if let Some(roster) = page.roster {
        adopt(state, roster);
    }
    sharing.next_source_notice.set((page.incarnation, page.next_notice));
    receive(state, page.notices, Origin::Source);
    let restored = sharing.era_began_at.get().is_some_and(|at| now < at + MAX_RESTORE_WAIT);
    let mut updated = false;
    for (tail, part) in sharing.tails.borrow_mut().iter_mut().zip(page.parts) {
        match part.age() {
            Some(age) => {
                let (from, end) = (part.from, part.end);
                let read = now.saturating_sub(age + transit);
                updated |= tail.append(from, part.log_records(), end, read, now);
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
    sharing.refreshed.notify_waiters();
    // The members may have changed meanwhile.
    if current(state) != Some(address) {
        return;
    }
    sharing.answered_by.set(Some(address));
    sharing.hops.set(page.hops);
    if page.store_unavailable && !sharing.store_unavailable.replace(true) {
        sharing.reported_unavailable_at.set(now);
        sharing.check_changed.notify_one();
    }
    sharing.store_unavailable.set(page.store_unavailable);
    let max_hops = u8::from(matches!(source(state), Source::Relay(_)));
    let is_cut_off = state.setup.inner.is_some_and(|own| is_avoided(state, own));
    match () {
        () if has_store_answered(state) && (page.store_unavailable || is_late(state)) => {
            avoid(state, address, "the store answers this router");
        }
        () if page.store_unavailable => {
            // The source reports at once when the store is available again.
            state.record_store_failure(Log::Settings);
            sharing.updated.notify_waiters();
            state.store_regained.notify_waiters();
        }
        () if oldest > own_limits(state).source => {}
        () if page.hops > max_hops && !is_cut_off => {
            avoid(state, address, "it receives from another router");
        }
        () => {
            sharing.last_answer.set(Some(now));
            state.record_store_answer();
            view::record_source_view(state, page.view);
        }
    }
}

/// Returns the age of the oldest timely data of a page.
fn oldest(page: &Page) -> Duration {
    let timely = page.parts.iter().zip(LOGS).filter(|(_, log)| is_timely(*log));
    timely.filter_map(|(part, _)| part.age()).max().unwrap_or_default()
}

/// Requests all records that the source holds of a log, for a router that has just started or whose records were deleted.
/// Returns none if this router has to read the store; a snapshot that ends before `min_end` is of no use.
///
/// Waits up to `wait` for a source that is still reading the store itself: after a restore, or if all routers have just
/// started, the store would refuse or delay hundreds of routers that read it at once.
pub async fn snapshot(
    state: &State,
    log: Log,
    wait: Duration,
    min_end: Offset,
) -> Option<Snapshot> {
    let until = Instant::now() + wait;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let snapshot = request_snapshot(state, log, left.max(SNAPSHOT_TIMEOUT), min_end).await;
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

async fn request_snapshot(
    state: &State,
    log: Log,
    limit: Duration,
    min_end: Offset,
) -> Option<Snapshot> {
    let has_members = async {
        while state.sharing.members() < MIN_SHARING_ROUTERS {
            state.sharing.updated.notified().await;
        }
    };
    if state.setup.inner.is_none() || timeout(MAX_MEMBERS_WAIT, has_members).await.is_err() {
        return None;
    }
    let address = snapshot_source(state)?;
    match fetch_snapshot(state, address, log, limit, min_end).await {
        Ok(snapshot) => Some(snapshot),
        Err(why) => {
            log::info!("gateway: no snapshot log={log} address={address} why={why}");
            None
        }
    }
}

async fn fetch_snapshot(
    state: &State,
    address: SocketAddr,
    log: Log,
    limit: Duration,
    min_end: Offset,
) -> Result<Snapshot, String> {
    let (pool, sent) = (pool(state, address), state.now());
    let answer = timeout(limit, get(&pool, &format!("/all?log={log}"), Bytes::new())).await;
    let body = answer.map_err(|_| format!("no answer within {limit:?}"))??;
    let (snapshot, age) = Snapshot::decode(&body).map_err(|e| e.to_string())?;
    let (era, end) = (state.store.era(), snapshot.end);
    match () {
        () if snapshot.era < era => Err(format!("it is of era {}", snapshot.era)),
        () if snapshot.era == era && end < min_end => {
            Err(format!("it ends at {end}, wanted={min_end}"))
        }
        () if is_timely(log) && age > own_limits(state).last => Err(format!("it is {age:?} old")),
        () => {
            state.store.adopt_era(snapshot.era);
            drop_former_era(state);
            log::info!("gateway: snapshot log={log} address={address} end={end} age={age:?}");
            if let Some(at) = position(log) {
                let (read, mut tails) =
                    (sent.saturating_sub(age), state.sharing.tails.borrow_mut());
                tails[at].append(end, vec![], end, read, state.now());
            }
            Ok(snapshot)
        }
    }
}
