//! Keeps settings, servers and notices up to date from the store.

mod entries;
mod news;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use crate::server::{Id, Server};
use crate::settings::Settings;
use crate::shared_read;
use crate::state::State;
use crate::store::{Call, End, Fault, Item, Log, Offset, Reply};

pub use news::{announce, notices};

/// Time the store may wait for new settings. An answer is overdue soon after, and a connection that
/// went silent is given up before settings are in force too late.
const WAIT: Duration = Duration::from_millis(1500);

/// Time between two looks at the list of servers. Servers write every 1.2 s; half of the shortest
/// time a leaving one may still get work.
const LIST: Duration = Duration::from_millis(1000);

/// Longest time that a router which reads for others lets the store wait.
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
        let value = item.value.as_ref().filter(|_| item.key == reader.settings_key);
        let settings = value.map(|value| (reader.settings)(value));
        match settings {
            Some(Some(settings)) => {
                let version = settings.version;
                let newer = state.apply(settings);
                log::info!("gateway: settings={version} offset={} in_force={newer}", item.offset);
                newer || state.settings().is_some_and(|s| s.version == version)
            }
            Some(None) => {
                log::error!("gateway: settings at offset {} can't be read", item.offset);
                false
            }
            None => true,
        }
    };
    follow(&state, Log::Settings, reader, WAIT, Duration::ZERO, |items, _| {
        items.iter().map(&take).collect()
    })
    .await;
}

/// Keeps the list of servers up to date.
pub async fn servers(state: Rc<State>, reader: Reader) {
    let take = |items: &[Item], view: View| {
        let before = state.peers().len();
        let change = |item| entries::change(&state, reader, item, view.regained);
        let taken: Vec<bool> = items.iter().map(change).collect();
        if view.whole {
            entries::drop_missing(&state, items, view.regained);
        }
        entries::drop_expired(&state);
        shared_read::note_list(&state, view.end);
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
        taken
    };
    follow(&state, Log::Servers, reader, Duration::ZERO, LIST, take).await;
}

/// How records were read.
#[derive(Debug, Clone, Copy)]
struct View {
    /// Offset after the last one.
    end: Offset,
    /// Whether they are all there are, not only changes.
    whole: bool,
    /// Whether the store was away until shortly before.
    regained: bool,
}

/// Reads all newest records of a log, and then changes, for good. `take` says of each whether it was taken over.
async fn follow(
    state: &State,
    log: Log,
    reader: Reader,
    wait: Duration,
    pause: Duration,
    mut take: impl FnMut(&[Item], View) -> Vec<bool>,
) {
    let mut at: Option<Offset> = None;
    let mut away: Option<Instant> = None;
    let mut back: Option<Instant> = None;
    // When another router first said that the store is away.
    let mut told: Option<Duration> = None;
    let mut failures = 0;
    // Whether all is read since the store was restored.
    let mut restored = false;
    // The era that the offset belongs to.
    let mut era = state.store.era();
    loop {
        let now_era = state.store.era();
        if now_era != era {
            // None was known before the first answer.
            restored = era > 0;
            log::info!("gateway: log={log} from={at:?} era={now_era} before={era} reading all");
            (at, era) = (None, now_era);
        }
        if restored {
            // Entries that the copy lacks are written again as lapsed ones are.
            back = Some(Instant::now());
        }
        if log == Log::Servers && shared_read::take_read_all(state) {
            at = None;
        }
        let read = match at {
            None => newest(state, log, restored).await,
            Some(from) => changes(state, log, reader, End { offset: from, era }, wait).await,
        };
        match read {
            Ok(Batch { items, end, source }) => {
                (era, restored) = (state.store.era(), false);
                if source != Source::Router {
                    state.store_answers();
                }
                failures = 0;
                if let Some(since) =
                    told.take().filter(|since| shared_read::was_silent(state, *since))
                {
                    log::info!("gateway: store regained log={log} told_away={since:?}");
                    back = Some(Instant::now());
                }
                if let Some(since) = away.take() {
                    log::info!("gateway: store regained log={log} away={:?}", since.elapsed());
                    back = Some(Instant::now());
                }
                let regained = back.is_some_and(|b| b.elapsed() < REGAINED);
                let whole = source == Source::Newest;
                let taken = take(&items, View { end, whole, regained });
                shared_read::keep_newest(state, log, &items, &taken, end, whole);
                at = Some(end);
                if source != Source::Router {
                    shared_read::pause_after_read(state, pause).await;
                }
            }
            Err(Fault::Gone) => {
                log::info!("gateway: log={log} from={at:?} records were deleted, reading all");
                at = None;
            }
            Err(Fault::Told) => {
                told.get_or_insert(state.now());
                rest(state, log, PAUSE).await;
            }
            Err(e) => {
                if away.is_none() {
                    log::warn!("gateway: store lost log={log} why={e}");
                    away = Some(Instant::now());
                }
                state.metrics.store_failed();
                let asks = rest(state, log, PAUSE * (1 << failures.min(DOUBLINGS))).await;
                failures += u32::from(asks);
            }
        }
    }
}

/// Waits after a read of a log that failed: for `pause` if its reader is the one that asks whether the store is
/// back, else until that one has an answer. Whether it is the one that asks.
///
/// A router that hears from another one does not ask: that one says when the store is back.
async fn rest(state: &State, log: Log, pause: Duration) -> bool {
    let asks = state.store_fails(log);
    let pause = if asks && shared_read::may_ask(state) { pause } else { OTHERS };
    let _ = tokio::time::timeout(pause, state.store_back.notified()).await;
    asks
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

async fn newest(state: &State, log: Log, restored: bool) -> Result<Batch, Fault> {
    if let Some(snapshot) = shared_read::snapshot(state, log, restored).await {
        let end = snapshot.end;
        let item = |(key, value): (String, Vec<u8>)| Item {
            key,
            value: Some(value.into()),
            offset: end.saturating_sub(1),
        };
        let items = snapshot.items.into_iter().map(item).collect();
        return Ok(Batch { items, end, source: Source::Newest });
    }
    let (mut items, mut after, mut first_end) = (Vec::new(), None, None);
    let mut era = None;
    loop {
        match state.store.call(Call::Newest { log, after: after.take() }).await? {
            Reply::Page(page, more, end) => {
                if *era.get_or_insert(state.store.era()) != state.store.era() {
                    return Err(Fault::Gone);
                }
                // Pages are no snapshot: what changed since the first one is read again.
                let end = *first_end.get_or_insert(end);
                after = page.last().map(|i| i.key.clone());
                items.extend(page);
                if !more || after.is_none() {
                    shared_read::keep(state, log, end, &[], |_| true);
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
    End { offset: from, era }: End,
    wait: Duration,
) -> Result<Batch, Fault> {
    let heard = shared_read::read(state, log, from).await.filter(|_| state.store.era() == era);
    let (records, end, source) = match heard {
        Some((records, end)) => (records, end, Source::Router),
        None if !shared_read::may_ask(state) => return Err(Fault::Told),
        None => {
            let wait = longest(state, wait);
            match state.store.call(Call::Read { log, from, era, wait }).await? {
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
                (Some(entry), Some(peer)) => {
                    let known = peer.server();
                    !entry.is_before(&known) && (peer.is_expired() || !entry.says_same(&known))
                }
                _ => true,
            }
        })
        .map(|(key, _)| key)
        .collect();
    news.sort_unstable();
    news.dedup();
    news
}

/// How long the store may wait for records.
fn longest(state: &State, usual: Duration) -> Duration {
    match () {
        // The answer tells that the store is back.
        () if state.store_away() => Duration::ZERO,
        // What others ask of this router must not grow old.
        () if shared_read::reads(state) => usual.min(FRESH),
        () => usual,
    }
}
