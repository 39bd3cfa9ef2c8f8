//! What routers tell each other through the store.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::{DOUBLINGS, PAUSE, longest, rest};
use crate::notice::{self, Notice};
use crate::repeats;
use crate::roster;
use crate::shared_read;
use crate::state::State;
use crate::store::{Call, Era, Fault, Log, Offset, Reply};

/// Time the store may wait for notices, which come rarely and are worth nothing when late.
const NOTICES: Duration = Duration::from_millis(2500);

/// Pause of a router that reads for others after a read of notices: around a loss they come one by one.
const BATCH: Duration = Duration::from_millis(400);

/// Notices of before this process started that it reads. The giver of orders tells each second how all servers work;
/// around a dead server some tens of routers tell of it once each.
const BEFORE: Offset = 100;

/// Reads what was said shortly before this process started, and where the log ends.
///
/// Without it, a router that starts anew sends requests through servers that all others know to be slow or full, for
/// the second until that is said again.
async fn before(state: &Rc<State>) -> Option<(Offset, Era)> {
    if let Some(snapshot) = shared_read::snapshot(state, Log::Notices, false).await {
        catch_up(state, snapshot.items.iter().map(|(_, record)| &record[..])).await;
        return Some((snapshot.end, snapshot.era));
    }
    let call = Call::Append { log: Log::Notices, records: Vec::new(), at: None };
    let end = match state.store.call(call).await {
        Ok(Reply::Appended(end)) => end,
        other => {
            log::debug!("gateway: no end of the notices: {other:?}");
            return None;
        }
    };
    state.record_store_answer();
    let era = state.store.era();
    let from = end.saturating_sub(BEFORE);
    let call = Call::Read { log: Log::Notices, from, era, wait: Duration::ZERO };
    let records = match state.store.call(call).await {
        Ok(Reply::Records(records, _)) => records,
        // Deleted, or the store is away again: they are said anew.
        other => {
            log::debug!("gateway: no notices of before: {other:?}");
            return Some((end, era));
        }
    };
    shared_read::cache_records(state, Log::Notices, from, &records, |_| true);
    catch_up(state, records.iter().map(|record| &record[..])).await;
    Some((from + records.len() as Offset, era))
}

/// Takes over what was said before, once the servers are known that it speaks of.
async fn catch_up(state: &Rc<State>, said: impl Iterator<Item = &[u8]>) {
    let said: Vec<Notice> = said.filter_map(Notice::decode).collect();
    while !state.servers_read.get() {
        let _ = tokio::time::timeout(PAUSE, state.changed.notified()).await;
    }
    notice::catch_up(state, &said);
    repeats::note_read(state);
}

/// Hears what other routers say.
pub async fn notices(state: Rc<State>) {
    let mut at: Option<(Offset, Era)> = before(&state).await;
    loop {
        if at.is_some_and(|(_, era)| era != state.store.era()) {
            let snapshot = shared_read::snapshot(&state, Log::Notices, true).await;
            at = snapshot.map(|snapshot| (snapshot.end, snapshot.era));
        }
        // After a gap, what was said meanwhile is out of date.
        let call = match at {
            None => Call::Append { log: Log::Notices, records: Vec::new(), at: None },
            Some((from, era)) => {
                let heard = shared_read::read_from_source(&state, Log::Notices, from).await;
                if let Some((records, end)) = heard.filter(|_| state.store.era() == era) {
                    at = Some((end, era));
                    records
                        .iter()
                        .filter_map(|(_, r)| Notice::decode(r))
                        .for_each(|w| notice::receive(&state, &w));
                    continue;
                }
                if !shared_read::may_read_store(&state) {
                    rest(&state, Log::Notices, PAUSE * (1 << DOUBLINGS)).await;
                    continue;
                }
                let wait = longest(&state, NOTICES);
                Call::Read { log: Log::Notices, from, era, wait }
            }
        };
        match state.store.call(call).await {
            Ok(Reply::Appended(end)) => {
                state.record_store_answer();
                shared_read::cache_records(&state, Log::Notices, end, &[], |_| true);
                at = Some((end, state.store.era()));
            }
            Ok(Reply::Records(records, _)) => {
                state.record_store_answer();
                if let Some((from, _)) = at {
                    shared_read::cache_records(&state, Log::Notices, from, &records, |_| true);
                }
                at = at.map(|(from, era)| (from + records.len() as Offset, era));
                records
                    .iter()
                    .filter_map(|r| Notice::decode(r))
                    .for_each(|w| notice::receive(&state, &w));
                if shared_read::is_reader(&state) {
                    sleep(BATCH).await;
                }
            }
            Ok(other) => log::error!("gateway: unexpected answer of the store: {other:?}"),
            // Of another era, or deleted.
            Err(Fault::Gone) => at = at.filter(|(_, era)| *era != state.store.era()),
            Err(e) => {
                log::debug!("gateway: no notices: {e}");
                rest(&state, Log::Notices, PAUSE * (1 << DOUBLINGS)).await;
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
        state.notices_queued.notified().await;
        let most = SAME * state.routers();
        if state.sharing.members() < roster::MIN_SHARING_ROUTERS {
            sleep(most.mul_f64(rand::random())).await;
        }
        let mut notices: Vec<Notice> = state.notices.borrow_mut().drain(..).collect();
        notices.retain(|notice| !notice::was_announced(&state, notice));
        notices.retain(|notice| !shared_read::publish(&state, notice) || notice.is_durable());
        // What is told after the store is back is out of date.
        if notices.is_empty() || state.store_unavailable() {
            continue;
        }
        let records = notices.iter().map(Notice::encode).collect();
        if let Err(e) =
            state.store.call(Call::Append { log: Log::Notices, records, at: None }).await
        {
            log::info!("gateway: {} notices to other routers lost: {e}", notices.len());
        }
    }
}
