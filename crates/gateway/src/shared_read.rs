//! One router reads the store, and the others hear from it.
//!
//! [`crate::roster`] says who reads for whom. A router asks its source for all logs with one request, which is answered
//! as soon as there is news. What is heard is kept for a while, so that any router can be asked by others at once when
//! it becomes the next reader.
//!
//! What could go wrong is that the reader is cut off from the store and the others with it, without
//! any of them noticing. So each answer says how old the reader's knowledge is, and whether the store answers it; a
//! router whose source knows too little asks the next one, and reads the store itself if it has heard nothing for
//! more than a second.

pub mod page;
mod rumour;
mod tail;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::notice::{self, Notice};
use crate::pool::Pool;
use crate::roster::{DIRECT, FROM, Roster, Source};
use crate::state::State;
use crate::store::{Call, Generation, Item, Log, Offset, Reply, Seat};
use page::{LONGEST, Page, Part, Snapshot, Told};
pub use rumour::{From, Rumours};
pub use tail::{Placed, Tail};

/// Logs that are shared.
pub const LOGS: [Log; 3] = [Log::Settings, Log::Servers, Log::Notices];

/// Age from which on what a router knows is not used. The store is read at least once a second, and an answer may
/// wait for [`WAIT`] twice on its way.
const OLD: Duration = Duration::from_millis(1900);

/// Time for which an answer is held back if there is no news.
const WAIT: Duration = Duration::from_millis(400);

/// Time a router gets to answer beyond that.
const ANSWER: Duration = Duration::from_millis(400);

/// Time since the last answer after which a router reads the store itself. Two sources may be lost one after the
/// other; a leaving server gets no more work after two seconds.
const GRACE: Duration = Duration::from_millis(1200);

/// Pause after an answer: what comes meanwhile is asked for at once.
const PAUSE: Duration = Duration::from_millis(100);

/// Routers up to which they ask at that pace. The pause grows with their number, to four times as long.
const CROWD: f64 = 60.0;

/// Time for which a router that did not answer is passed over.
const AVOIDED: Duration = Duration::from_secs(4);

/// Time within which a router finds out whether a store that is said to be away answers it.
const CHECK: Duration = Duration::from_millis(500);

/// Time for which an answer of the store shows that it is there.
const ANSWERED: Duration = Duration::from_secs(2);

/// Time after the store is back within which all logs are read again.
const REGAINED: Duration = Duration::from_secs(2);

/// Shortest time between two reads of the members.
const LOCATE: Duration = Duration::from_millis(400);

/// Time in which notices are gathered before the source is told.
const GATHER: Duration = Duration::from_millis(20);

/// Time without an answer of any source after which a router reads the members itself.
const LOST: Duration = Duration::from_secs(3);

/// Longest wait of a router that has just started for the members. Where all start at once, the group names few of them
/// for a second; callers wait for none of that.
const START: Duration = Duration::from_millis(100);

/// Longest wait for all that another router holds.
const SNAPSHOT: Duration = Duration::from_millis(250);

/// Longest wait of a router that is asked for all it holds, until it holds it.
const SETTLE: Duration = Duration::from_millis(50);

/// Longest time between two looks whether there is anything to do.
const LOOK: Duration = Duration::from_millis(300);

/// What a router knows of those that read for others.
#[derive(Debug, Default)]
pub struct Sharing {
    /// The members of the group.
    roster: RefCell<Roster>,
    /// Generation of the group that this router last heard as a member.
    joined: Cell<Generation>,
    /// When a source last gave a useful answer.
    heard: Cell<Option<Duration>>,
    /// Whether the source said that the store does not answer it.
    away: Cell<bool>,
    /// When the source first said so.
    told_away: Cell<Duration>,
    /// When this router is to find out whether the store answers it.
    check: Cell<Option<Duration>>,
    /// When the store answered this router though the source says that it is away.
    answered: Cell<Option<Duration>>,
    /// Routers that are passed over, and until when.
    avoided: RefCell<Vec<(SocketAddr, Duration)>>,
    /// Connections to the source.
    source: RefCell<Option<(SocketAddr, Rc<Pool>)>>,
    /// When the members were last read.
    located: Cell<Option<Duration>>,
    /// What was read or heard of each log.
    tails: RefCell<[Tail; LOGS.len()]>,
    /// Newest value of each key of the settings and of the list of servers.
    newest: RefCell<[Vec<(String, Bytes)>; 2]>,
    /// Woken when there is news, or another source.
    news: Notify,
    /// Notices that were heard or said.
    rumours: RefCell<Rumours>,
    /// Start of the source's process and the number of its next notice.
    heard_notices: Cell<(u64, u64)>,
    /// Number of the next own notice that the source is to be told.
    told: Cell<u64>,
    /// Woken when there are notices for the source.
    tell: Notify,
    /// Start of this process, as a random number.
    incarnation: std::cell::OnceCell<u64>,
}

impl Sharing {
    /// Records of a log from an offset on, and the offset after the last one; none if some are not kept.
    pub fn from(&self, log: Log, from: Offset) -> Option<(Vec<Placed>, Offset)> {
        self.tails.borrow()[position(log)?].from(from)
    }

    /// Notes the generation of the group and the seats of this router.
    pub fn joined(&self, seat: Seat) {
        let generation = seat.generation;
        if self.joined.replace(generation) != generation {
            self.news.notify_waiters();
        }
    }

    /// Generation of the group that some router has heard.
    pub fn generation(&self) -> Generation {
        self.roster.borrow().generation
    }

    /// A number of this process that no earlier one had.
    fn incarnation(&self) -> u64 {
        *self.incarnation.get_or_init(rand::random)
    }

    /// Members of the group, as far as they are known.
    pub fn members(&self) -> usize {
        self.roster.borrow().members().len()
    }
}

fn position(log: Log) -> Option<usize> {
    LOGS.iter().position(|l| *l == log)
}

/// Where this router gets what the store holds.
pub fn source(state: &State) -> Source {
    if state.setup.inner.is_none() {
        return Source::Store;
    }
    let (now, sharing) = (state.now(), &state.sharing);
    let avoided = sharing.avoided.borrow();
    let avoid = |address| avoided.iter().any(|(a, until)| *a == address && now < *until);
    sharing.roster.borrow().source(&state.setup.vm, &state.setup.zone, avoid)
}

/// Whether this router reads the store for others.
pub fn reads(state: &State) -> bool {
    state.sharing.members() >= FROM && source(state) == Source::Store
}

/// Whether this router hears from another one.
pub fn hears(state: &State) -> bool {
    let recently = |at: Duration| state.now() < at + GRACE;
    !state.sharing.away.get()
        && source(state) != Source::Store
        && state.sharing.heard.get().is_some_and(recently)
}

/// Whether the router that this one hears from says that the store does not answer.
fn is_told_away(state: &State) -> bool {
    state.sharing.away.get() && source(state) != Source::Store
}

/// Whether this router may read the store now. While another router says that the store is away, only the calls that
/// keep the seat go there: they tell as much, and are the cheapest.
pub fn may_ask(state: &State) -> bool {
    !is_told_away(state)
}

/// Whether the seat is to be asked for at once, to see whether the store answers this router.
pub fn is_check_due(state: &State) -> bool {
    is_told_away(state) && state.sharing.check.get().is_some_and(|at| at <= state.now())
}

/// Notes that the store answered a call that this router began at `began`. A source that said before that the store is
/// away is asked to look again; it may be cut off alone, or have missed that the store is back.
pub fn note_answer(state: &State, began: Duration) {
    state.sharing.check.set(None);
    match is_told_away(state) {
        true if state.sharing.told_away.get() < began => {
            state.sharing.answered.set(Some(state.now()));
        }
        true => {}
        false if state.store_away() => state.store_back.notify_waiters(),
        false => {}
    }
}

/// Notes that the store did not answer a call of this router.
pub fn note_silence(state: &State) {
    state.sharing.check.set(None);
    state.sharing.answered.set(None);
}

/// Whether the store has answered this router since its source said that it is away.
fn is_answered(state: &State) -> bool {
    state.sharing.answered.get().is_some_and(|at| state.now() < at + ANSWERED)
}

/// Pause after a read of the list of servers from the store, where a router that reads alone pauses for
/// `alone`. The router that reads for others does it twice as often, as what it knows ages on its way.
pub fn pause(state: &State, alone: Duration) -> Duration {
    if reads(state) { alone / 2 } else { alone }
}

/// Pause after an answer of another router, among that many.
///
/// ```
/// # use std::time::Duration;
/// assert_eq!(gateway::shared_read::rest(4), Duration::from_millis(100));
/// assert_eq!(gateway::shared_read::rest(300), Duration::from_millis(400));
/// ```
pub fn rest(routers: u32) -> Duration {
    PAUSE.mul_f64((f64::from(routers) / CROWD).clamp(1.0, 4.0))
}

/// Records that another router gave, and the offset after the last one it read; waits a moment if there are none.
/// None if this router has to read the store itself.
pub async fn read(state: &State, log: Log, from: Offset) -> Option<(Vec<Placed>, Offset)> {
    if !hears(state) {
        return None;
    }
    let (records, end) = state.sharing.from(log, from)?;
    if !records.is_empty() {
        return Some((records, end));
    }
    let _ = timeout(LOOK, state.sharing.news.notified()).await;
    state.sharing.from(log, from).filter(|_| hears(state))
}

/// Keeps what was read from the store for the others; `worth` says which records tell something new.
pub fn keep(
    state: &State,
    log: Log,
    from: Offset,
    records: &[Bytes],
    worth: impl Fn(&Bytes) -> bool,
) {
    let Some(at) = position(log) else { return };
    if state.sharing.tails.borrow_mut()[at].add(from, records, worth, state.now()) {
        state.sharing.news.notify_waiters();
    }
}

/// Keeps the newest values of keys for routers that start.
pub fn keep_newest<'a>(state: &State, log: Log, items: impl Iterator<Item = &'a Item>) {
    let mut newest = state.sharing.newest.borrow_mut();
    let Some(newest) = position(log).and_then(|at| newest.get_mut(at)) else { return };
    for item in items {
        let found = newest.binary_search_by(|(key, _)| key.cmp(&item.key));
        match (found, &item.value) {
            (Ok(at), Some(value)) => newest[at].1 = value.clone(),
            (Ok(at), None) => drop(newest.remove(at)),
            (Err(at), Some(value)) => newest.insert(at, (item.key.clone(), value.clone())),
            (Err(_), None) => {}
        }
    }
}

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
        let from = offsets(&state);
        let limit = WAIT + ANSWER;
        match timeout(limit, ask(&state, &pool, from)).await {
            Ok(Ok(page)) => take(&state, address, page),
            Ok(Err(why)) => lose(&state, address, &why),
            Err(_) => lose(&state, address, &format!("no answer within {limit:?}")),
        }
        sleep(rest(state.routers())).await;
    }
}

/// Connections to a source.
fn pool(state: &State, address: SocketAddr) -> Rc<Pool> {
    let mut source = state.sharing.source.borrow_mut();
    match source.as_ref() {
        Some((known, pool)) if *known == address => pool.clone(),
        _ => {
            log::info!("gateway: source={address} members={}", state.sharing.members());
            let pool = Rc::new(Pool::new(address));
            *source = Some((address, pool.clone()));
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
    let answered = u8::from(is_answered(state));
    let path = format!(
        "/tail?settings={settings}&servers={servers}&notices={notices}&generation={generation}\
         &incarnation={incarnation}&heard={heard}&answered={answered}"
    );
    let body = get(pool, &path, Bytes::new()).await?;
    Page::decode(&body, from).map_err(|e| e.to_string())
}

/// Body of a router's answer.
async fn get(pool: &Pool, path: &str, body: Bytes) -> Result<Bytes, String> {
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
fn take(state: &State, address: SocketAddr, page: Page) {
    let (sharing, now) = (&state.sharing, state.now());
    if let Some(roster) = page.roster {
        adopt(state, roster);
    }
    sharing.heard_notices.set((page.incarnation, page.next_notice));
    hear(state, page.notices, From::Source);
    // Notices come by the way; those in the store are of routers that have no source.
    let timely = page.parts.iter().zip(LOGS).filter(|(_, log)| *log != Log::Notices);
    let oldest = timely.filter_map(|(part, _)| part.age()).max().unwrap_or_default();
    let told = sharing.away.replace(page.away);
    if page.away {
        // It says so at once when the store is back.
        state.store_fails(Log::Settings);
        if !told {
            sharing.told_away.set(now);
            sharing.check.set(Some(now + CHECK.mul_f64(rand::random())));
        }
        if is_answered(state) {
            sharing.away.set(false);
            state.store_answers();
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
    state.store_answers();
    let mut news = false;
    for (tail, part) in sharing.tails.borrow_mut().iter_mut().zip(page.parts) {
        match part.age() {
            Some(age) => {
                let (from, end) = (part.from, part.end);
                news |= tail.take(from, part.placed(), end, now.saturating_sub(age), now);
            }
            None => tail.clear(),
        }
    }
    if news {
        sharing.news.notify_waiters();
    }
}

/// Takes notices of other routers over, and passes on those that are news.
fn hear(state: &State, notices: Vec<Vec<u8>>, from: From) {
    for notice in notices {
        let notice = Bytes::from(notice);
        if state.sharing.rumours.borrow_mut().hear(notice.clone(), from, state.now()) {
            match Notice::decode(&notice) {
                Some(notice) => notice::receive(state, &notice),
                None => log::debug!("gateway: a notice of another version is passed on unread"),
            }
            state.sharing.news.notify_waiters();
            state.sharing.tell.notify_one();
        }
    }
}

/// Tells the other routers by way of those that read for others; false if there are none.
pub fn say(state: &State, notice: &Notice) -> bool {
    if state.sharing.members() < FROM || state.setup.inner.is_none() {
        return false;
    }
    if state.sharing.rumours.borrow_mut().hear(notice.encode(), From::Below, state.now()) {
        state.sharing.news.notify_waiters();
        state.sharing.tell.notify_one();
    }
    true
}

/// Tells the source what this router has heard or said, as long as the process runs.
pub async fn tell(state: Rc<State>) {
    loop {
        state.sharing.tell.notified().await;
        sleep(GATHER).await;
        let (notices, next) = state.sharing.rumours.borrow().from_below(state.sharing.told.get());
        state.sharing.told.set(next);
        let (Source::Reader(address) | Source::Relay(address)) = source(&state) else { continue };
        if notices.is_empty() {
            continue;
        }
        let notices = notices.iter().map(|notice| notice.to_vec()).collect();
        let told = Told::new(notices).encode();
        let pool = pool(&state, address);
        match timeout(ANSWER, get(&pool, "/told", told)).await {
            Ok(Ok(_)) => {}
            other => log::info!("gateway: notices not told address={address} why={other:?}"),
        }
    }
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

/// Takes a newer list of members over.
fn adopt(state: &State, roster: Roster) {
    if roster.generation <= state.sharing.generation() {
        return;
    }
    let before = source(state);
    *state.sharing.roster.borrow_mut() = roster;
    let after = source(state);
    if before != after {
        log::info!(
            "gateway: source={after:?} before={before:?} members={} generation={}",
            state.sharing.members(),
            state.sharing.generation()
        );
    }
    state.sharing.news.notify_waiters();
}

/// Reads the members, if this router has to: once at its start, when the group has changed and it reads for others, or
/// when no source has answered for a while.
async fn locate(state: &State) {
    let (now, sharing) = (state.now(), &state.sharing);
    let joined = sharing.joined.get();
    if joined == 0 || state.setup.inner.is_none() {
        return;
    }
    let changed = joined > sharing.generation();
    let lost = sharing.heard.get().is_none_or(|at| at + LOST < now) && !sharing.away.get();
    let few = sharing.members() < FROM;
    let due = match sharing.located.get() {
        None => true,
        Some(at) if changed && (few || reads(state)) => at + LOCATE < now,
        Some(at) => changed && lost && at + LOST < now,
    };
    if !due {
        return;
    }
    sharing.located.set(Some(now));
    match state.store.call(Call::Members).await {
        Ok(Reply::Members(names)) => adopt(state, Roster::new(joined, names)),
        other => log::debug!("gateway: members are not known: {other:?}"),
    }
}

/// All that another router holds of a log, for a router that has just started. None if it has to read the store.
pub async fn snapshot(state: &State, log: Log) -> Option<Snapshot> {
    let known = async {
        while state.sharing.members() < FROM {
            state.sharing.news.notified().await;
        }
    };
    if state.setup.inner.is_none() || timeout(START, known).await.is_err() {
        return None;
    }
    // Those that pass on to others have it from the store: all may have started at the same moment.
    let address = match source(state) {
        Source::Relay(address) => address,
        Source::Reader(address) if state.sharing.members() <= DIRECT => address,
        Source::Reader(_) | Source::Store => return None,
    };
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
        Ok(snapshot) => {
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

/// Answers another router.
pub async fn answer(state: &State, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let query = head.uri.query().unwrap_or_default();
    let body = match head.uri.path() {
        "/tail" => page(state, query).await,
        "/all" => all(state, query).await,
        "/told" => listen(state, body).await,
        _ => None,
    };
    let mut response = Response::new(Full::new(body.clone().unwrap_or_default()));
    if body.is_none() {
        *response.status_mut() = StatusCode::GONE;
    }
    response
}

/// Hears the notices of another router.
async fn listen(state: &State, body: Incoming) -> Option<Bytes> {
    let body = Limited::new(body, rumour::LONGEST * 4).collect().await;
    let told = body.map_err(|e| e.to_string());
    match told.and_then(|body| Told::decode(&body.to_bytes()).map_err(|e| e.to_string())) {
        Ok(told) => {
            hear(state, told.notices, From::Below);
            Some(Bytes::new())
        }
        Err(why) => {
            log::warn!("gateway: notices of another router left out why={why}");
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
    let incarnation = state.sharing.incarnation();
    // Notices of before it knew this process are not news.
    let next = state.sharing.rumours.borrow().since(0).1;
    let heard = number("heard").filter(|_| number("incarnation") == Some(incarnation));
    let heard = heard.unwrap_or(next).min(next);
    // The other router knows that the store is there: this one looks again before it says that it is away.
    let look_again = number("answered") == Some(1) && is_away(state);
    if look_again {
        state.sharing.check.set(Some(state.now()));
        state.store_back.notify_waiters();
    }
    let away = || !look_again && is_away(state);
    let rumours = || state.sharing.rumours.borrow().since(heard);
    let news = async {
        while !away() && !has_news(state, from, generation) && rumours().1 == heard {
            state.sharing.news.notified().await;
        }
    };
    let _ = timeout(WAIT, news).await;
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
    let (notices, next_notice) = rumours();
    let notices = notices.iter().map(|notice| notice.to_vec()).collect();
    let mut page = Page::new(is_away(state), roster, parts);
    (page.notices, page.incarnation, page.next_notice) = (notices, incarnation, next_notice);
    Some(page.encode())
}

/// Whether what this router knows comes from a store that does not answer, or has not been read again since.
fn is_away(state: &State) -> bool {
    let old = || {
        let tails = state.sharing.tails.borrow();
        let mut timely = tails.iter().zip(LOGS).filter(|(_, log)| *log != Log::Notices);
        timely.any(|(tail, _)| tail.age(state.now()).is_some_and(|age| age > OLD))
    };
    let regained = state.now() < state.regained() + REGAINED;
    state.store_away() || is_told_away(state) || (regained && old())
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
    let held = || state.sharing.tails.borrow()[at].end().filter(|_| state.ready());
    let settled = async {
        while held().is_none() {
            state.sharing.news.notified().await;
        }
    };
    let _ = timeout(SETTLE, settled).await;
    let end = held().filter(|_| !is_away(state))?;
    let items = match state.sharing.newest.borrow().get(at) {
        Some(newest) => newest.iter().map(|(key, v)| (key.clone(), v.to_vec())).collect(),
        None => {
            let kept = state.sharing.tails.borrow()[at].kept();
            let (rumours, _) = state.sharing.rumours.borrow().since(0);
            let notices = kept.into_iter().map(|(_, record)| record).chain(rumours);
            notices.map(|notice| (String::new(), notice.to_vec())).collect()
        }
    };
    Some(Snapshot::new(end, items).encode())
}
