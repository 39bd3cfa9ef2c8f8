//! One router reads the store for all.
//!
//! Load pattern: tens of routers that all follow the same logs. Each reads them two or three times a
//! second, so the calls to the store grow with the routers while what is read stays the same. From
//! [`FROM`] routers on, the one that gives orders keeps the newest records of each log, and the
//! others ask it.
//!
//! What could go wrong is that the reader is cut off from the store and the others with it, without
//! any of them noticing. So each answer says how old the reader's knowledge is; if it is too old,
//! or there is no answer, a router reads the store itself.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::pool::Pool;
use crate::state::State;
use crate::store::{Call, Log, Offset, Reply};

/// Routers from which on one reads for all. With fewer, the calls saved are not worth another way for
/// settings to arrive late.
pub const FROM: u32 = 3;

/// Records that are kept of each log: some seconds of heartbeats of several hundred servers.
const KEPT: usize = 4096;

/// Age from which on a reader's knowledge is not used. It reads each log at least once a second.
const OLD: Duration = Duration::from_millis(1500);

/// The same for the list of servers. With the pauses of both routers, a leaving server gets no more
/// work after one and a half seconds; the shortest time in which that is asked is two.
const OLD_LIST: Duration = Duration::from_millis(900);

/// Time a reader gets to answer.
const ANSWER: Duration = Duration::from_millis(250);

/// Time between two looks for who reads. A look is one call; a router that reads alone makes three to
/// five a second.
const LOCATE: Duration = Duration::from_secs(1);

/// Logs that are shared.
pub const LOGS: [Log; 3] = [Log::Settings, Log::Servers, Log::Notices];

/// The newest records of a log.
#[derive(Debug, Default)]
pub struct Tail {
    base: Offset,
    records: VecDeque<Bytes>,
    read: Option<Duration>,
}

/// A reader's answer.
#[derive(Debug, Serialize, Deserialize)]
struct Page {
    records: Vec<Vec<u8>>,
    age_ms: u64,
}

impl Tail {
    /// Adds records read from the store.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let mut tail = gateway::shared_read::Tail::default();
    /// tail.add(7, &["a".into(), "b".into()], Duration::from_secs(1));
    /// assert_eq!(tail.from(8).unwrap(), ["b"]);
    /// assert!(tail.from(6).is_none());
    /// ```
    pub fn add(&mut self, from: Offset, records: &[Bytes], now: Duration) {
        if from != self.base + self.records.len() as Offset {
            self.records.clear();
            self.base = from;
        }
        self.records.extend(records.iter().cloned());
        while self.records.len() > KEPT {
            self.records.pop_front();
            self.base += 1;
        }
        self.read = Some(now);
    }

    /// Records from an offset on; none if some of them are not kept.
    pub fn from(&self, from: Offset) -> Option<Vec<Bytes>> {
        let skip = usize::try_from(from.checked_sub(self.base)?).ok()?;
        (skip <= self.records.len()).then(|| self.records.iter().skip(skip).cloned().collect())
    }

    /// How long ago the store was read.
    fn age(&self, now: Duration) -> Option<Duration> {
        self.read.map(|read| now.saturating_sub(read))
    }
}

/// Whether this router should ask another one.
pub fn applies(state: &State) -> bool {
    state.setup.inner.is_some() && state.routers() >= FROM && !state.gives.get()
}

/// Pause after a read of the list of servers from the store, where a router that reads alone pauses for
/// `alone`. The router that reads for all does it twice as often, as what it knows ages on its way.
pub fn pause(state: &State, alone: Duration) -> Duration {
    match state.routers() >= FROM && state.gives.get() {
        true => alone / 2,
        false => alone,
    }
}

/// Asks the reader for records. None if it is not known, does not answer, or knows too little.
pub async fn read(state: &State, log: Log, from: Offset) -> Option<Vec<Bytes>> {
    let reader = locate(state).await?;
    let path = format!("/tail?log={log}&from={from}");
    let asked = timeout(ANSWER, ask(&reader, &path)).await;
    let page = match asked {
        Ok(Ok(page)) => page,
        Ok(Err(Unshared::Unknown(status))) => {
            log::debug!("gateway: reader gave nothing for {log}: status {status}");
            return None;
        }
        // It is gone; another router reads for all from now on.
        Ok(Err(Unshared::Silent(why))) => {
            log::info!("gateway: reader lost why={why}");
            state.reader.borrow_mut().take();
            return None;
        }
        Err(_) => {
            log::info!("gateway: reader lost why=no answer within {ANSWER:?}");
            state.reader.borrow_mut().take();
            return None;
        }
    };
    let old = if log == Log::Servers { OLD_LIST } else { OLD };
    if Duration::from_millis(page.age_ms) > old {
        state.reader.borrow_mut().take();
        return None;
    }
    Some(page.records.into_iter().map(Bytes::from).collect())
}

/// Why the reader gave no records.
enum Unshared {
    /// It does not know all that was asked for.
    Unknown(StatusCode),
    /// It does not answer, or not so that one could read it.
    Silent(String),
}

async fn ask(reader: &Pool, path: &str) -> Result<Page, Unshared> {
    let silent = |e: hyper::Error| Unshared::Silent(e.to_string());
    let mut link = reader.take().await.map_err(|e| Unshared::Silent(e.to_string()))?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = path.parse().expect("names and digits");
    let answer = link.sender.send_request(request).await.map_err(silent)?;
    let (head, body) = answer.into_parts();
    let body = body.collect().await.map_err(silent)?.to_bytes();
    reader.keep(link, &head.headers);
    match head.status {
        StatusCode::OK => postcard::from_bytes(&body).map_err(|e| Unshared::Silent(e.to_string())),
        status => Err(Unshared::Unknown(status)),
    }
}

/// Connections to the router that reads for all.
async fn locate(state: &State) -> Option<Rc<Pool>> {
    if let Some(reader) = state.reader.borrow().as_ref() {
        return Some(reader.clone());
    }
    let now = state.now();
    if now < state.located.get() + LOCATE || state.store_away() {
        return None;
    }
    state.located.set(now);
    let holder = match state.store.call(Call::Holder).await {
        Ok(Reply::Holder(holder)) => holder?,
        other => {
            log::debug!("gateway: nobody knows who reads: {other:?}");
            return None;
        }
    };
    let (_, address) = holder.rsplit_once('@')?;
    let address: SocketAddr = address.parse().ok()?;
    if Some(address) == state.setup.inner {
        return None;
    }
    let pool = Rc::new(Pool::new(address));
    *state.reader.borrow_mut() = Some(pool.clone());
    Some(pool)
}

/// Answers another router.
pub fn answer(state: &State, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let page = page(state, request.uri().query().unwrap_or_default());
    let (status, body) = match page {
        Some(page) => (StatusCode::OK, postcard::to_allocvec(&page).expect("plain fields")),
        None => (StatusCode::GONE, Vec::new()),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

fn page(state: &State, query: &str) -> Option<Page> {
    let value =
        |key: &str| query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
    let name = value("log")?;
    let at = LOGS.iter().position(|log| log.to_string() == name)?;
    let tails = state.tails.borrow();
    let age = tails[at].age(state.now())?;
    let records = tails[at].from(value("from")?.parse().ok()?)?;
    let records = records.iter().map(|r| r.to_vec()).collect();
    Some(Page { records, age_ms: age.as_millis() as u64 })
}

/// Keeps what was read from the store for the others.
pub fn keep(state: &State, log: Log, from: Offset, records: &[Bytes]) {
    if let Some(at) = LOGS.iter().position(|l| *l == log) {
        state.tails.borrow_mut()[at].add(from, records, state.now());
    }
}
