//! Notices on their way from router to router.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{sleep, timeout};

use super::client::{ANSWER, get, pool};
use super::page::Told;
use super::rumour::Origin;
use super::source;
use crate::notice::{self, Notice};
use crate::roster::{FROM, Source};
use crate::state::State;

/// Time in which notices are gathered before the source is told.
const GATHER: Duration = Duration::from_millis(20);

/// Takes notices of other routers over, and passes on those that are news.
pub(super) fn hear(state: &Rc<State>, notices: Vec<Vec<u8>>, from: Origin) {
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
    let news = state.sharing.rumours.borrow_mut().hear(notice, from, state.now());
    if news {
        state.sharing.news.notify_waiters();
        state.sharing.tell.notify_one();
    }
    news
}

/// Tells the other routers by way of those that read for others; false if there are none.
pub fn say(state: &State, notice: &Notice) -> bool {
    if state.sharing.members() < FROM || state.setup.inner.is_none() {
        return false;
    }
    keep(state, notice.encode(), Origin::Below);
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
