//! Reads and writes the notices that routers exchange through the store.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::wait_after_failure;
use crate::notice::{self, Notice};
use crate::retries;
use crate::roster;
use crate::shared_read;
use crate::state::State;
use crate::store::{Call, Era, Fault, Log, Offset, Reply};

/// Time the store may wait for notices, which come rarely and are useless when late.
const MAX_NOTICES_WAIT: Duration = Duration::from_millis(2500);

/// Pause of the reader after a read of notices: around the loss of servers they come one by one.
const BATCH_PAUSE: Duration = Duration::from_millis(400);

/// Pause after the store did not answer a call for notices, which wait for nothing.
const RETRY_PAUSE: Duration = Duration::from_millis(1200);

/// Time between two checks whether the servers are known, at the start of the process.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Limit on the notices from before its start that a process reads. The leader announces the load of all servers each
/// second; around a dead server some tens of routers announce it once each.
const MAX_REPLAYED_NOTICES: Offset = 100;

/// Reads the notices from shortly before the start of this process, and returns the end of the log.
///
/// Without them, a router that has just started sends requests through servers that all others know to be slow or full,
/// until the next notice a second later.
async fn read_earlier(state: &Rc<State>) -> Option<(Offset, Era)> {
    if let Some(snapshot) = shared_read::snapshot(state, Log::Notices, Duration::ZERO, 0).await {
        replay(state, snapshot.items.iter().map(|(_, record)| &record[..])).await;
        return Some((snapshot.end, snapshot.era));
    }
    let call = Call::Append { log: Log::Notices, records: Vec::new(), at: None };
    let end = match state.store.call(call).await {
        Ok(Reply::Appended(end)) => end,
        other => {
            log::debug!("gateway: end of the log of notices not known: {other:?}");
            return None;
        }
    };
    state.record_store_answer();
    let era = state.store.era();
    let from = end.saturating_sub(MAX_REPLAYED_NOTICES);
    let call = Call::Read { log: Log::Notices, from, era, wait: Duration::ZERO };
    let records = match state.store.call(call).await {
        Ok(Reply::Records(records, _)) => records,
        // The notices were deleted, or the store is unavailable again. They are announced again.
        other => {
            log::debug!("gateway: earlier notices not read: {other:?}");
            return Some((end, era));
        }
    };
    shared_read::cache_records(state, Log::Notices, from, &records, |_| true, state.now());
    replay(state, records.iter().map(|record| &record[..])).await;
    Some((from + records.len() as Offset, era))
}

/// Replays earlier notices once the servers that they name are known.
async fn replay(state: &Rc<State>, earlier: impl Iterator<Item = &[u8]>) {
    let earlier: Vec<Notice> = earlier.filter_map(Notice::decode).collect();
    while !state.servers_read.get() {
        let _ = tokio::time::timeout(START_CHECK_INTERVAL, state.changed.notified()).await;
    }
    notice::replay(state, &earlier);
    retries::finish_replay(state);
}

/// Receives the notices of other routers, as long as the process runs.
pub async fn notices(state: Rc<State>) {
    let mut at: Option<(Offset, Era)> = read_earlier(&state).await;
    loop {
        if at.is_some_and(|(_, era)| era != state.store.era()) {
            let wait = shared_read::MAX_RESTORE_WAIT;
            let snapshot = shared_read::snapshot(&state, Log::Notices, wait, 0).await;
            at = snapshot.map(|snapshot| (snapshot.end, snapshot.era));
        }
        // After a gap, the notices of the time between are out of date.
        let call = match at {
            None => Call::Append { log: Log::Notices, records: Vec::new(), at: None },
            Some((from, era)) => {
                let received = shared_read::read_from_source(&state, Log::Notices, from).await;
                if let Some((records, end)) = received.filter(|_| state.store.era() == era) {
                    at = Some((end, era));
                    records
                        .iter()
                        .filter_map(|(_, r)| Notice::decode(r))
                        .for_each(|notice| notice::receive(&state, &notice));
                    continue;
                }
                if !shared_read::may_read_store(&state, Log::Notices) {
                    wait_after_failure(&state, Log::Notices, RETRY_PAUSE).await;
                    continue;
                }
                // The answer shows that the store is available again.
                let unavailable = state.store_unavailable();
                let wait = if unavailable { Duration::ZERO } else { MAX_NOTICES_WAIT };
                Call::Read { log: Log::Notices, from, era, wait }
            }
        };
        match state.store.call(call).await {
            Ok(Reply::Appended(end)) => {
                state.record_store_answer();
                shared_read::cache_records(&state, Log::Notices, end, &[], |_| true, state.now());
                at = Some((end, state.store.era()));
            }
            Ok(Reply::Records(records, _)) => {
                state.record_store_answer();
                if let Some((from, _)) = at {
                    shared_read::cache_records(
                        &state,
                        Log::Notices,
                        from,
                        &records,
                        |_| true,
                        state.now(),
                    );
                }
                at = at.map(|(from, era)| (from + records.len() as Offset, era));
                records
                    .iter()
                    .filter_map(|r| Notice::decode(r))
                    .for_each(|notice| notice::receive(&state, &notice));
                if shared_read::is_reader(&state) {
                    sleep(BATCH_PAUSE).await;
                }
            }
            Ok(other) => log::error!(
                "gateway: unexpected reply of the store to a call for notices: {other:?}"
            ),
            // The offset belongs to another era, or the records were deleted.
            Err(Fault::Gone) => at = at.filter(|(_, era)| *era != state.store.era()),
            Err(e) => {
                log::debug!("gateway: notices not read: {e}");
                wait_after_failure(&state, Log::Notices, RETRY_PAUSE).await;
            }
        }
    }
}

/// Longest time that a notice waits for another router to announce the same, for each router of the group. All routers
/// that send work to a dead server detect that within the same tenth of a second.
const DUPLICATE_WAIT_PER_ROUTER: Duration = Duration::from_millis(6);

/// Sends the queued notices to the other routers, by gossip and through the store, as long as the process runs.
pub async fn send_notices(state: Rc<State>) {
    loop {
        state.notices_queued.notified().await;
        let max_wait = DUPLICATE_WAIT_PER_ROUTER * state.routers();
        if state.sharing.members() < roster::MIN_SHARING_ROUTERS {
            sleep(max_wait.mul_f64(rand::random())).await;
        }
        let mut notices: Vec<Notice> = state.notices.borrow_mut().drain(..).collect();
        notices.retain(|notice| !notice::was_announced(&state, notice));
        notices.retain(|notice| {
            let published = shared_read::publish(&state, notice);
            notice.is_durable() || !published && !notice.is_transient()
        });
        // Notices from before the store was regained are out of date.
        if notices.is_empty() || state.store_unavailable() {
            continue;
        }
        let records = notices.iter().map(Notice::encode).collect();
        if let Err(e) =
            state.store.call(Call::Append { log: Log::Notices, records, at: None }).await
        {
            log::info!("gateway: {} notices to other routers not written: {e}", notices.len());
        }
    }
}
