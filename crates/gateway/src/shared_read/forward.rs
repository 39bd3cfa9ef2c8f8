//! Notices on their way from router to router.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{sleep, timeout};

use super::client::{ANSWER, get, pool};
use super::gossip::Origin;
use super::page::NoticeBatch;
use super::source;
use crate::notice::{self, Notice};
use crate::roster::{MIN_SHARING_ROUTERS, Source};
use crate::state::State;

/// Time in which notices are gathered before the source is told.
const GATHER: Duration = Duration::from_millis(20);

/// Takes notices of other routers over, and passes on those that are news.
pub(super) fn receive(state: &Rc<State>, notices: Vec<Vec<u8>>, from: Origin) {
    for notice in notices {
        let notice = Bytes::from(notice);
        if keep(state, notice.clone(), from) {
            match Notice::decode(&notice) {
                Some(notice) => notice::receive(state, &notice),
                None => log::debug!("gateway: a notice of another version is passed on unread"),
            }
        }
    }
}

/// Keeps a notice and wakes those that pass it on; whether it is news.
fn keep(state: &State, notice: Bytes, from: Origin) -> bool {
    let news = state.sharing.gossip.borrow_mut().insert(notice, from, state.now());
    if news {
        state.sharing.news.notify_waiters();
        state.sharing.tell.notify_one();
    }
    news
}

/// Tells the other routers by way of those that read for others; false if there are none.
pub fn publish(state: &State, notice: &Notice) -> bool {
    if state.sharing.members() < MIN_SHARING_ROUTERS || state.setup.inner.is_none() {
        return false;
    }
    keep(state, notice.encode(), Origin::Downstream);
    true
}

/// Tells the source what this router has heard or said, as long as the process runs.
pub async fn forward_notices(state: Rc<State>) {
    loop {
        state.sharing.tell.notified().await;
        sleep(GATHER).await;
        let (notices, next) =
            state.sharing.gossip.borrow().from_downstream(state.sharing.told.get());
        state.sharing.told.set(next);
        let (Source::Reader(address) | Source::Relay(address)) = source(&state) else { continue };
        if notices.is_empty() {
            continue;
        }
        let notices = notices.iter().map(|notice| notice.to_vec()).collect();
        let told = NoticeBatch::new(notices).encode();
        let pool = pool(&state, address);
        match timeout(ANSWER, get(&pool, "/told", told)).await {
            Ok(Ok(_)) => {}
            other => log::info!("gateway: notices not told address={address} why={other:?}"),
        }
    }
}
