//! Keeps settings, servers and notices up to date from the store.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Instant, sleep};

use crate::notice::{self, Notice};
use crate::peer::Peer;
use crate::server::{Id, Server};
use crate::settings::Settings;
use crate::shared_read;
use crate::state::State;
use crate::store::{Call, Fault, Item, Log, Offset, Reply};

/// Time the store may wait for new settings. An answer is overdue soon after, and a connection that
/// went silent is given up before settings are in force too late.
const WAIT: Duration = Duration::from_millis(1500);

/// Time the store may wait for notices, which come rarely and are worth nothing when late.
const NOTICES: Duration = Duration::from_millis(2500);

/// Time between two looks at the list of servers. Servers write every 1.2 s; half of the shortest
/// time a leaving one may still get work.
const LIST: Duration = Duration::from_millis(1000);

/// Longest time that the router which reads for all lets the store wait.
const FRESH: Duration = Duration::from_millis(900);

/// Pause after the store did not answer. Short against the two seconds within which settings are
/// to be in force; each refused call costs the platform as much as a good one.
const PAUSE: Duration = Duration::from_millis(300);

/// Doublings of that pause while the store stays away. Tens of routers would otherwise make hundreds of
/// calls a second to a store that answers none; 1.2 s is short against the time that lost layers take.
const DOUBLINGS: u32 = 2;

/// Longest time that the readers of other logs wait while one asks whether the store is back. That one
/// wakes them; this is for a store that answers for some logs only.
const OTHERS: Duration = Duration::from_millis(4000);

/// Time within which entries that lapsed while the store was away come back.
const LAPSED: Duration = Duration::from_millis(2200);

/// Time after the store was regained in which a missing entry may have lapsed meanwhile.
const REGAINED: Duration = Duration::from_millis(1500);

/// A key and its value; none if the key was dropped.
pub type Keyed = (String, Option<Bytes>);

/// Reads the records of one kind that the platform keeps.
#[derive(Debug, Clone, Copy)]
pub struct Reader {
    /// Key of the record that holds the settings.
    pub settings_key: &'static str,
    /// Reads settings.
    pub settings: fn(&[u8]) -> Option<Settings>,
    /// Reads a server's entry.
    pub server: fn(&str, &[u8]) -> Option<Server>,
    /// Takes a record with a key apart.
    pub item: fn(&[u8]) -> Option<Keyed>,
}

/// Keeps the settings up to date.
pub async fn settings(state: Rc<State>, reader: Reader) {
    let take = |item: &Item| {
        let Some(value) = item.value.as_ref().filter(|_| item.key == reader.settings_key) else {
            return;
        };
        match (reader.settings)(value) {
            Some(settings) => {
                let version = settings.version;
                let newer = state.apply(settings);
                log::info!("gateway: settings={version} offset={} in_force={newer}", item.offset);
            }
            None => log::error!("gateway: settings at offset {} can't be read", item.offset),
        }
    };
    follow(&state, Log::Settings, reader, WAIT, Duration::ZERO, |items, _| {
        items.iter().for_each(&take)
    })
    .await;
}

/// Keeps the list of servers up to date.
pub async fn servers(state: Rc<State>, reader: Reader) {
    let take = |items: &[Item], view: View| {
        let before = state.peers().len();
        for item in items {
            change(&state, reader, item, view.regained);
        }
        if view.whole {
            drop_missing(&state, items, view.regained);
        }
        drop_expired(&state);
        state.listed.set(true);
        let after = state.peers().len();
        if after != before {
            log::info!(
                "gateway: servers={after} before={before} offset={:?}",
                items.last().map(|i| i.offset)
            );
        }
        if !items.is_empty() {
            state.changed.notify_waiters();
        }
    };
    follow(&state, Log::Servers, reader, Duration::ZERO, LIST, take).await;
}

/// How records were read.
#[derive(Debug, Clone, Copy)]
struct View {
    /// Whether they are all there are, not only changes.
    whole: bool,
    /// Whether the store was away until shortly before.
    regained: bool,
}

/// Reads all newest records of a log, and then changes, for good.
async fn follow(
    state: &State,
    log: Log,
    reader: Reader,
    wait: Duration,
    pause: Duration,
    mut take: impl FnMut(&[Item], View),
) {
    let mut at: Option<Offset> = None;
    let mut away: Option<Instant> = None;
    let mut back: Option<Instant> = None;
    let mut failures = 0;
    loop {
        let read = match at {
            None => newest(state, log).await,
            Some(from) => changes(state, log, reader, from, wait).await,
        };
        match read {
            Ok(Batch { items, end, source }) => {
                state.store_answers();
                failures = 0;
                if let Some(since) = away.take() {
                    log::info!("gateway: store regained log={log} away={:?}", since.elapsed());
                    back = Some(Instant::now());
                }
                let regained = back.is_some_and(|b| b.elapsed() < REGAINED);
                take(&items, View { whole: source == Source::Newest, regained });
                at = Some(end);
                sleep(match source {
                    Source::Router => shared_read::rest(state.routers()),
                    Source::Newest | Source::Store => shared_read::pause(state, pause),
                })
                .await;
            }
            Err(Fault::Gone) => {
                log::info!("gateway: log={log} from={at:?} records were deleted, reading all");
                at = None;
            }
            Err(e) => {
                if away.is_none() {
                    log::warn!("gateway: store lost log={log} why={e}");
                    away = Some(Instant::now());
                }
                state.metrics.store_failed();
                if state.store_fails(log) {
                    sleep(PAUSE * (1 << failures.min(DOUBLINGS))).await;
                    failures += 1;
                } else {
                    let _ = tokio::time::timeout(OTHERS, state.store_back.notified()).await;
                }
            }
        }
    }
}

/// Records of a log.
struct Batch {
    items: Vec<Item>,
    /// Offset after the last one.
    end: Offset,
    source: Source,
}

/// Where records were read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// In the store, the newest ones of all keys.
    Newest,
    /// In the store, those from an offset on.
    Store,
    /// With the router that reads for all, those from an offset on.
    Router,
}

async fn newest(state: &State, log: Log) -> Result<Batch, Fault> {
    let (mut items, mut after, mut first_end) = (Vec::new(), None, None);
    loop {
        match state.store.call(Call::Newest { log, after: after.take() }).await? {
            Reply::Page(page, more, end) => {
                // Pages are no snapshot: what changed since the first one is read again.
                let end = *first_end.get_or_insert(end);
                after = page.last().map(|i| i.key.clone());
                items.extend(page);
                if !more || after.is_none() {
                    return Ok(Batch { items, end, source: Source::Newest });
                }
            }
            other => return Err(Fault::Unreadable(format!("{other:?}"))),
        }
    }
}

async fn changes(
    state: &State,
    log: Log,
    reader: Reader,
    from: Offset,
    wait: Duration,
) -> Result<Batch, Fault> {
    let (records, end, source) = match shared(state, log, from).await {
        Some((records, end)) => (records, end, Source::Router),
        None => {
            let wait = longest(state, wait);
            match state.store.call(Call::Read { log, from, wait }).await? {
                Reply::Records(records, _) => {
                    let end = from + records.len() as Offset;
                    let news = changed(state, log, reader, &records);
                    let worth = |record: &Bytes| match (log, (reader.item)(record)) {
                        (Log::Servers, Some((key, _))) => news.binary_search(&key).is_ok(),
                        _ => true,
                    };
                    shared_read::keep(state, log, from, &records, worth);
                    ((from..).zip(records).collect(), end, Source::Store)
                }
                other => return Err(Fault::Unreadable(format!("{other:?}"))),
            }
        }
    };
    let keyed = |(offset, record): (Offset, Bytes)| {
        let (key, value) = (reader.item)(&record)?;
        Some(Item { key, value, offset })
    };
    Ok(Batch { items: records.into_iter().filter_map(keyed).collect(), end, source })
}

/// Servers of which records tell anything that this router does not know; heartbeats do not. All records of
/// such a server count: of a change and its undoing, the second says what is known already.
fn changed(state: &State, log: Log, reader: Reader, records: &[Bytes]) -> Vec<Id> {
    if log != Log::Servers {
        return Vec::new();
    }
    let keyed = records.iter().filter_map(|record| (reader.item)(record));
    let mut news: Vec<Id> = keyed
        .filter(|(key, value)| {
            let entry = value.as_ref().and_then(|value| (reader.server)(key, value));
            match (entry, state.peer(key)) {
                (Some(entry), Some(peer)) => peer.lapsed() || !entry.says_same(&peer.server()),
                _ => true,
            }
        })
        .map(|(key, _)| key)
        .collect();
    news.sort_unstable();
    news.dedup();
    news
}

/// Records that the router which reads for all gives, and the offset after the last one it read.
async fn shared(
    state: &State,
    log: Log,
    from: Offset,
) -> Option<(Vec<shared_read::Placed>, Offset)> {
    match shared_read::applies(state) {
        true => shared_read::read(state, log, from).await,
        false => None,
    }
}

/// How long the store may wait for records.
fn longest(state: &State, usual: Duration) -> Duration {
    match () {
        // The answer tells that the store is back.
        () if state.store_away() => Duration::ZERO,
        // What others ask of this router must not grow old.
        () if state.gives.get() => usual.min(FRESH),
        () => usual,
    }
}

fn change(state: &State, reader: Reader, item: &Item, regained: bool) {
    let entry = item.value.as_ref().and_then(|value| (reader.server)(&item.key, value));
    match (entry, state.peer(&item.key)) {
        (Some(server), Some(peer)) => {
            let was = peer.server();
            if was.address != server.address || was.service != server.service {
                state.remove(&item.key);
                state.add(Peer::new(server));
                return;
            }
            if was.state != server.state || was.span != server.span || was.born != server.born {
                log::info!(
                    "gateway: server={} state={:?} layers={} born={} offset={}",
                    item.key,
                    server.state,
                    server.span,
                    server.born,
                    item.offset
                );
            }
            peer.update(server);
        }
        (Some(server), None) => {
            log::info!(
                "gateway: server={} service={} state={:?} layers={} offset={} new=true",
                item.key,
                server.service,
                server.state,
                server.span,
                item.offset
            );
            state.add(Peer::new(server));
        }
        // An entry that can't be read names no server to use.
        (None, Some(_)) => lose(state, &item.key, regained),
        (None, None) => {}
    }
}

/// Handles a server whose entry is gone. Entries lapse while the store is away and come back soon
/// after it; dropping all of them at once would leave nothing to send requests to.
fn lose(state: &State, id: &Id, regained: bool) {
    let Some(peer) = state.peer(id) else { return };
    if regained && peer.ready() {
        log::info!("gateway: server={id} lapsed=true");
        peer.lapse(state.now() + LAPSED);
    } else {
        log::info!("gateway: server={id} gone=true");
        state.remove(id);
    }
}

fn drop_missing(state: &State, items: &[Item], regained: bool) {
    for peer in state.peers() {
        let id = peer.server().id.clone();
        if !items.iter().any(|i| i.key == id) {
            lose(state, &id, regained);
        }
    }
}

fn drop_expired(state: &State) {
    let now = state.now();
    for peer in state.peers().iter().filter(|p| p.expired(now)) {
        let id = peer.server().id.clone();
        log::info!("gateway: server={id} gone=true why=its entry did not come back");
        state.remove(&id);
    }
}

/// Hears what other routers say.
pub async fn notices(state: Rc<State>) {
    let mut at: Option<Offset> = None;
    loop {
        // What was said before this process started is out of date.
        let call = match at {
            None => Call::Append { log: Log::Notices, records: Vec::new(), epoch: None },
            Some(from) => {
                if let Some((records, end)) = shared(&state, Log::Notices, from).await {
                    at = Some(end);
                    records
                        .iter()
                        .filter_map(|(_, r)| Notice::decode(r))
                        .for_each(|w| notice::receive(&state, &w));
                    sleep(shared_read::rest(state.routers())).await;
                    continue;
                }
                let wait = longest(&state, NOTICES);
                Call::Read { log: Log::Notices, from, wait }
            }
        };
        match state.store.call(call).await {
            Ok(Reply::Appended(end)) => {
                state.store_answers();
                at = Some(end);
            }
            Ok(Reply::Records(records, _)) => {
                state.store_answers();
                if let Some(from) = at {
                    shared_read::keep(&state, Log::Notices, from, &records, |_| true);
                }
                at = at.map(|from| from + records.len() as Offset);
                records
                    .iter()
                    .filter_map(|r| Notice::decode(r))
                    .for_each(|w| notice::receive(&state, &w));
                if state.routers() >= shared_read::FROM {
                    sleep(shared_read::rest(state.routers())).await;
                }
            }
            Ok(other) => log::error!("gateway: unexpected answer of the store: {other:?}"),
            Err(Fault::Gone) => at = None,
            Err(e) => {
                log::debug!("gateway: no notices: {e}");
                match state.store_fails(Log::Notices) {
                    true => sleep(PAUSE * (1 << DOUBLINGS)).await,
                    false => {
                        let _ = tokio::time::timeout(OTHERS, state.store_back.notified()).await;
                    }
                }
            }
        }
    }
}

/// Longest time a notice waits for another router to say the same, by the number of routers. All that
/// send work to a dead server notice within the same tenth of a second.
const SAME: Duration = Duration::from_millis(6);

/// Writes down what the other routers are told.
pub async fn announce(state: Rc<State>) {
    loop {
        state.noticed.notified().await;
        let most = SAME * state.routers();
        if state.routers() >= shared_read::FROM {
            sleep(most.mul_f64(rand::random())).await;
        }
        let mut notices: Vec<Notice> = state.notices.borrow_mut().drain(..).collect();
        notices.retain(|notice| !notice::was_announced(&state, notice));
        // What is told after the store is back is out of date.
        if notices.is_empty() || state.store_away() {
            continue;
        }
        let records = notices.iter().map(Notice::encode).collect();
        if let Err(e) =
            state.store.call(Call::Append { log: Log::Notices, records, epoch: None }).await
        {
            log::info!("gateway: {} notices to other routers lost: {e}", notices.len());
        }
    }
}
