//! Forwards notices from router to router.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{sleep, timeout};

use super::client::{ANSWER_TIMEOUT, get, pool};
use super::gossip::Origin;
use super::page::NoticeBatch;
use super::source;
use crate::notice::{self, Notice};
use crate::roster::{MIN_SHARING_ROUTERS, Source};
use crate::state::State;

/// Time for which notices are gathered before they are forwarded to the source.
const GATHER_DELAY: Duration = Duration::from_millis(20);

/// Applies notices of other routers, and forwards those that are new.
pub(super) fn receive(state: &Rc<State>, notices: Vec<Vec<u8>>, from: Origin) {
    for notice in notices {
        let notice = Bytes::from(notice);
        if keep(state, notice.clone(), from) {
            match Notice::decode(&notice) {
                Some(notice) => notice::receive(state, &notice),
                None => {
                    log::debug!("gateway: a notice of another version is forwarded, not decoded")
                }
            }
        }
    }
}

/// Keeps a notice and wakes the tasks that forward it; returns false if it is a duplicate.
fn keep(state: &State, notice: Bytes, from: Origin) -> bool {
    let is_new = state.sharing.gossip.borrow_mut().insert(notice, from, state.now());
    if is_new {
        state.sharing.updated.notify_waiters();
        state.sharing.notices_pending.notify_one();
    }
    is_new
}

/// Sends a notice to the other routers through the source and the routers downstream; returns false if the group is
/// too small for that.
pub fn publish(state: &State, notice: &Notice) -> bool {
    if state.sharing.members() < MIN_SHARING_ROUTERS || state.setup.inner.is_none() {
        return false;
    }
    keep(state, notice.encode(), Origin::Downstream);
    true
}

/// Forwards the notices of this router and those downstream to the source, as long as the process runs.
pub async fn forward_notices(state: Rc<State>) {
    loop {
        state.sharing.notices_pending.notified().await;
        sleep(GATHER_DELAY).await;
        let (notices, next) =
            state.sharing.gossip.borrow().from_downstream(state.sharing.next_forwarded.get());
        state.sharing.next_forwarded.set(next);
        let (Source::Reader(address) | Source::Relay(address)) = source(&state) else { continue };
        if notices.is_empty() {
            continue;
        }
        let notices = notices.iter().map(|notice| notice.to_vec()).collect();
        let batch = NoticeBatch::new(notices).encode();
        let pool = pool(&state, address);
        match timeout(ANSWER_TIMEOUT, get(&pool, "/told", batch)).await {
            Ok(Ok(_)) => {}
            other => log::info!("gateway: notices not forwarded address={address} why={other:?}"),
        }
    }
}
