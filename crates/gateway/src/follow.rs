//! Keeps settings, servers and notices up to date from the store.

mod entries;
mod notices;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use crate::record;
use crate::roster::Source;
use crate::server::{Id, Server};
use crate::settings::Settings;
use crate::shared_read;
use crate::state::State;
use crate::store::{Call, End, Fault, Item, Log, Offset, Reply};
use crate::task::isolate;

pub use notices::{notices, send_notices};

/// Time the store may wait for new settings. An answer counts as overdue soon after, so that a connection without
/// answers is closed before settings come into force too late.
const MAX_SETTINGS_WAIT: Duration = Duration::from_millis(1500);

/// Time between two reads of the list of servers. Servers write every 1.2 s; this is half of the shortest time in which
/// a leaving server may still get work.
const SERVER_LIST_INTERVAL: Duration = Duration::from_millis(1000);

/// Longest time that the tasks of other logs wait while one probes whether the store is available again. That one wakes
/// them; the limit is for a store that answers for some logs only.
const MAX_PROBE_WAIT: Duration = Duration::from_millis(4000);

/// Longest wait for a source that is reading a list of several pages itself. If hundreds of routers that start at the
/// same time read all pages from the store, each of them takes seconds.
const MAX_LONG_LIST_WAIT: Duration = Duration::from_millis(1500);

/// A key and its value; the value is none if the key was deleted.
pub type Keyed = (String, Option<Bytes>);

/// Decodes the records that the platform keeps.
#[derive(Debug, Clone, Copy)]
pub struct Decoder {
    /// Key of the record that holds the settings.
    pub settings_key: &'static str,
    /// Decodes settings.
    pub settings: fn(&[u8]) -> Result<Settings, record::Fault>,
    /// Decodes a server's entry.
    pub server: fn(&str, &[u8]) -> Result<Server, record::Fault>,
    /// Splits a record into its key and its value.
    pub item: fn(&[u8]) -> Option<Keyed>,
}

impl Decoder {
    /// Decodes a server's entry; a panic is a fault of that entry alone.
    fn entry(&self, id: &str, value: &[u8]) -> Result<Server, record::Fault> {
        isolate(|| (self.server)(id, value)).map_err(record::Fault::Panic)?
    }
}

/// Keeps the settings up to date, as long as the process runs.
pub async fn settings(state: Rc<State>, decoder: Decoder) {
    let apply = |item: &Item, info: BatchInfo| {
        let value = item.value.as_ref().filter(|_| item.key == decoder.settings_key);
        let Some(value) = value else { return true };
        let settings = isolate(|| (decoder.settings)(value));
        match settings.map_err(record::Fault::Panic).flatten() {
            Ok(settings) => {
                let version = settings.version;
                let newer = state.apply(settings);
                log::info!(
                    "gateway: settings={version} offset={} in_force={newer} delay={:?}",
                    item.offset,
                    info.delay
                );
                newer || state.settings().is_some_and(|s| s.version == version)
            }
            Err(why) => {
                state.metrics.invalid_record(Log::Settings);
                log::error!("gateway: settings invalid offset={} why={why}", item.offset);
                false
            }
        }
    };
    follow(&state, Log::Settings, decoder, MAX_SETTINGS_WAIT, Duration::ZERO, |items, info| {
        items.iter().map(|item| apply(item, info)).collect()
    })
    .await;
}

/// Keeps the list of servers up to date, as long as the process runs.
pub async fn servers(state: Rc<State>, decoder: Decoder) {
    let apply = |items: &[Item], info: BatchInfo| {
        let before = state.peers().len();
        entries::record_read(&state, &info);
        let change = |item: &Item| {
            let applied = isolate(|| entries::apply(&state, decoder, item));
            applied.unwrap_or_else(|why| {
                entries::record_invalid(&state, item, &record::Fault::Panic(why));
                false
            })
        };
        let applied: Vec<bool> = items.iter().map(change).collect();
        if info.complete {
            entries::drop_missing(&state, items);
        }
        shared_read::record_list(&state, info.end);
        state.servers_read.set(true);
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
        applied
    };
    follow(&state, Log::Servers, decoder, Duration::ZERO, SERVER_LIST_INTERVAL, apply).await;
}

/// How a batch of records was read.
#[derive(Debug, Clone, Copy)]
struct BatchInfo {
    /// Offset after the last record.
    end: Offset,
    /// Whether the batch holds all newest records, not only changes.
    complete: bool,
    /// As of when the records are known.
    read: Duration,
    /// Whether it is the first batch after the store was restored.
    restored: bool,
    /// Longest time since any of the records was written: the age of what was known before. None for the first batch.
    delay: Option<Duration>,
}

/// Reads all newest records of a log, and after that its changes, as long as the process runs. `apply` applies a batch
/// and returns for each record whether it was applied.
async fn follow(
    state: &State,
    log: Log,
    decoder: Decoder,
    wait: Duration,
    interval: Duration,
    mut apply: impl FnMut(&[Item], BatchInfo) -> Vec<bool>,
) {
    let mut at: Option<Offset> = None;
    let mut unavailable_since: Option<Instant> = None;
    let mut failures = 0;
    // Time by which the store's last answer came later than the time for which it was to wait.
    let mut delay = Duration::ZERO;
    // Where a snapshot has to end at least, as the records before it were deleted.
    let mut min_end: Offset = 0;
    // Whether the store was restored and nothing has been read since.
    let mut restored = false;
    // The era that the offset belongs to.
    let mut era = state.store.era();
    // As of when the records before the offset are known.
    let mut known: Option<Duration> = None;
    loop {
        let current_era = state.store.era();
        if current_era != era {
            // No era is known before the first answer.
            restored = era > 0;
            log::info!(
                "gateway: log={log} from={at:?} era={current_era} before={era} reading all records"
            );
            (at, era, min_end) = (None, current_era, 0);
        }
        if log == Log::Servers && shared_read::take_full_read_request(state) {
            at = None;
        }
        let read = match at {
            None => read_newest(state, log, restored, min_end).await,
            Some(from) => {
                let wait = max_wait(state, wait, delay);
                read_changes(state, log, decoder, End { offset: from, era }, wait).await
            }
        };
        match read {
            Ok(Batch { items, end, kind, read }) => {
                era = state.store.era();
                if kind != ReadKind::SourceChanges {
                    state.record_store_answer();
                    delay = state.now().saturating_sub(read).min(MAX_DELAY);
                }
                (failures, min_end) = (0, 0);
                if let Some(since) = unavailable_since.take() {
                    log::info!("gateway: store regained log={log} away={:?}", since.elapsed());
                    if kind != ReadKind::SourceChanges {
                        shared_read::record_store_answer(state);
                    }
                }
                let complete = kind == ReadKind::Newest;
                let restored = std::mem::take(&mut restored);
                let before = known.replace(read);
                let delay = before.map(|before| state.now().saturating_sub(before));
                if let Some(delay) = delay.filter(|_| !items.is_empty()) {
                    state.metrics.record_delay(log, delay);
                }
                let applied = apply(&items, BatchInfo { end, complete, read, restored, delay });
                shared_read::cache_newest(state, log, &items, &applied, end, complete);
                at = Some(end);
                if kind != ReadKind::SourceChanges {
                    shared_read::pause_after_read(state, interval, read).await;
                }
            }
            Err(Fault::Gone) => {
                log::info!(
                    "gateway: log={log} from={at:?} records were deleted, reading all records"
                );
                min_end = at.take().map_or(min_end, |from| from + 1);
            }
            Err(Fault::SourceCutOff) => {
                state.record_store_failure(log);
                let from = shared_read::may_read_store_from(state, log);
                wait_for_store(state, from.map(|from| from.saturating_sub(state.now()))).await;
            }
            Err(e) => {
                if unavailable_since.is_none() {
                    log::warn!("gateway: store lost log={log} why={e}");
                    unavailable_since = Some(Instant::now());
                }
                state.metrics.store_failed();
                shared_read::record_store_silence(state);
                let pause = shared_read::repeat_pause(state, failures);
                failures += u32::from(wait_after_failure(state, log, pause).await);
            }
        }
    }
}

/// Waits after a failed read of a log: for `pause` if this task is the one that probes whether the store is available
/// again, else until that one has an answer. Returns whether it is the one that probes.
///
/// A router with a source does not probe: the source reports when the store is available again.
async fn wait_after_failure(state: &State, log: Log, pause: Duration) -> bool {
    let probes = state.record_store_failure(log);
    let may_read = shared_read::may_read_store(state, log);
    wait_for_store(state, (probes && may_read).then_some(pause)).await;
    probes
}

/// Waits until the store may be available again, at most for `pause` if that is known.
async fn wait_for_store(state: &State, pause: Option<Duration>) {
    let pause = pause.unwrap_or(MAX_PROBE_WAIT);
    let _ = tokio::time::timeout(pause, state.store_regained.notified()).await;
}

/// Records of a log.
struct Batch {
    items: Vec<Item>,
    /// Offset after the last record.
    end: Offset,
    kind: ReadKind,
    /// As of when the records are known: when the read of the store that they rest on was sent.
    read: Duration,
}

/// Where records were read, and which ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadKind {
    /// The newest ones of all keys, from the store or a snapshot.
    Newest,
    /// Those from an offset on, from the store.
    StoreChanges,
    /// Those from an offset on, from the source.
    SourceChanges,
}

/// Reads all newest records, from the source if it has those up to `min_end`.
async fn read_newest(
    state: &State,
    log: Log,
    restored: bool,
    min_end: Offset,
) -> Result<Batch, Fault> {
    let wait = if restored { shared_read::MAX_RESTORE_WAIT } else { Duration::ZERO };
    if let Some(batch) = read_snapshot(state, log, wait, min_end).await {
        return Ok(batch);
    }
    let (mut items, mut after, mut first_end) = (Vec::new(), None, None);
    let (mut era, read) = (None, state.now());
    loop {
        match state.store.call(Call::Newest { log, after: after.take() }).await? {
            Reply::Page(page, more, end) => {
                if *era.get_or_insert(state.store.era()) != state.store.era() {
                    return Err(Fault::Gone);
                }
                // Pages are no consistent snapshot: changes since the first page are read again.
                let end = *first_end.get_or_insert(end);
                after = page.last().map(|i| i.key.clone());
                let is_first = items.is_empty();
                items.extend(page);
                if more
                    && is_first
                    && let Some(batch) =
                        read_snapshot(state, log, MAX_LONG_LIST_WAIT, min_end).await
                {
                    return Ok(batch);
                }
                if !more || after.is_none() {
                    shared_read::cache_records(state, log, end, &[], |_| true, read);
                    return Ok(Batch { items, end, kind: ReadKind::Newest, read });
                }
            }
            other => return Err(Fault::Unreadable(format!("{other:?}"))),
        }
    }
}

/// Reads all newest records from the source, which may still be reading them itself for the time `wait`.
async fn read_snapshot(state: &State, log: Log, wait: Duration, min_end: Offset) -> Option<Batch> {
    let snapshot = shared_read::snapshot(state, log, wait, min_end).await?;
    let end = snapshot.end;
    let item = |(key, value): (String, Vec<u8>)| Item {
        key,
        value: Some(value.into()),
        offset: end.saturating_sub(1),
    };
    let items = snapshot.items.into_iter().map(item).collect();
    let read = shared_read::known_as_of(state, log).unwrap_or_else(|| state.now());
    Some(Batch { items, end, kind: ReadKind::Newest, read })
}

async fn read_changes(
    state: &State,
    log: Log,
    decoder: Decoder,
    End { offset: from, era }: End,
    wait: Duration,
) -> Result<Batch, Fault> {
    let received =
        shared_read::read_from_source(state, log, from).await.filter(|_| state.store.era() == era);
    let sent = state.now();
    let (records, end, kind, read) = match received {
        Some((records, end)) => {
            let read = shared_read::known_as_of(state, log).unwrap_or(sent);
            (records, end, ReadKind::SourceChanges, read)
        }
        None if !shared_read::may_read_store(state, log) => return Err(Fault::SourceCutOff),
        None => {
            let looks = shared_read::looks_past_source(state, log);
            // A router that reads beside its source needs an answer at once.
            let wait =
                if shared_read::source(state) == Source::Store { wait } else { Duration::ZERO };
            match state.store.call(Call::Read { log, from, era, wait }).await? {
                Reply::Records(records, _) => {
                    if looks {
                        shared_read::replace_source(state);
                    }
                    let end = from + records.len() as Offset;
                    let changed = changed_servers(state, log, decoder, &records);
                    let is_new = |record: &Bytes| match (log, (decoder.item)(record)) {
                        (Log::Servers, Some((key, _))) => changed.binary_search(&key).is_ok(),
                        _ => true,
                    };
                    // An answer without records shows that there were none until the store had waited.
                    let waited = if records.is_empty() { wait } else { Duration::ZERO };
                    let read = (sent + waited).min(state.now());
                    shared_read::cache_records(state, log, from, &records, is_new, read);
                    ((from..).zip(records).collect(), end, ReadKind::StoreChanges, read)
                }
                other => return Err(Fault::Unreadable(format!("{other:?}"))),
            }
        }
    };
    let keyed = |(offset, record): (Offset, Bytes)| {
        let (key, value) = (decoder.item)(&record)?;
        Some(Item { key, value, offset })
    };
    Ok(Batch { items: records.into_iter().filter_map(keyed).collect(), end, kind, read })
}

/// Returns the servers of which the records say anything that this router does not know; heartbeats do not. All records
/// of such a server count: of a change and its reversal, the second equals what is known already.
fn changed_servers(state: &State, log: Log, decoder: Decoder, records: &[Bytes]) -> Vec<Id> {
    if log != Log::Servers {
        return Vec::new();
    }
    let keyed = records.iter().filter_map(|record| (decoder.item)(record));
    let mut changed: Vec<Id> = keyed
        .filter(|(key, value)| {
            let entry = value.as_ref().and_then(|value| decoder.entry(key, value).ok());
            match (entry, state.peer(key)) {
                (Some(entry), Some(peer)) => {
                    let known = peer.server();
                    !entry.is_before(&known)
                        && (peer.is_expired() || !entry.has_same_content(&known))
                }
                _ => true,
            }
        })
        .map(|(key, _)| key)
        .collect();
    changed.sort_unstable();
    changed.dedup();
    changed
}

/// Longest delay of an answer that shortens the time for which the store may wait.
const MAX_DELAY: Duration = Duration::from_millis(400);

/// Returns how long the store may wait for records; `wait` if nothing requires a shorter time.
fn max_wait(state: &State, wait: Duration, delay: Duration) -> Duration {
    match () {
        // The answer shows that the store is available again.
        () if state.store_unavailable() => Duration::ZERO,
        // The records that the reader serves to others must not grow old.
        () if shared_read::is_reader(state) => wait.min(shared_read::max_reader_wait(state, delay)),
        () => wait,
    }
}
