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

/// Records that are kept of each log: all servers of a large fleet may change within some seconds.
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

/// A record and where it stands in its log.
pub type Placed = (Offset, Bytes);

/// The newest records of a log that tell something new.
///
/// Most entries of servers are heartbeats. A thousand servers write 200 KB of them a second, which a reader
/// on a link of 20 Mbit/s can't pass on to a hundred routers: all of them lose it, read the store
/// themselves, and suspect whoever answers late meanwhile.
#[derive(Debug, Default)]
pub struct Tail {
    base: Offset,
    end: Offset,
    records: VecDeque<Placed>,
    read: Option<Duration>,
}

/// A reader's answer.
#[derive(Debug, Serialize, Deserialize)]
struct Page {
    records: Vec<(Offset, Vec<u8>)>,
    end: Offset,
    age_ms: u64,
}

impl Tail {
    /// Adds what was read from the store, of which `worth` says what tells something new.
    ///
    /// ```
    /// # use std::time::Duration;
    /// let mut tail = gateway::shared_read::Tail::default();
    /// tail.add(7, &["a".into(), "b".into()], |record| record != "b", Duration::from_secs(1));
    /// assert_eq!(tail.from(7).unwrap(), (vec![(7, "a".into())], 9));
    /// assert_eq!(tail.from(8).unwrap(), (vec![], 9));
    /// assert!(tail.from(6).is_none());
    /// ```
    pub fn add(
        &mut self,
        from: Offset,
        records: &[Bytes],
        worth: impl Fn(&Bytes) -> bool,
        now: Duration,
    ) {
        if from != self.end {
            self.records.clear();
            self.base = from;
        }
        let placed = (from..).zip(records.iter().cloned());
        self.records.extend(placed.filter(|(_, record)| worth(record)));
        self.end = from + records.len() as Offset;
        while self.records.len() > KEPT {
            if let Some((offset, _)) = self.records.pop_front() {
                self.base = offset + 1;
            }
        }
        self.read = Some(now);
    }

    /// Records from an offset on, and the offset after the last one read; none if some are not kept.
    pub fn from(&self, from: Offset) -> Option<(Vec<Placed>, Offset)> {
        let known = self.base <= from && from <= self.end;
        let skip = self.records.partition_point(|(offset, _)| *offset < from);
        known.then(|| (self.records.iter().skip(skip).cloned().collect(), self.end))
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

/// Pause after an answer of the reader. Settings are in force everywhere half a second after the reader has them.
const PAUSE: Duration = Duration::from_millis(400);

/// Routers up to which they ask at that pace. Three hundred make over two thousand requests a second, more than
/// the reader's VM can answer; the pause grows with their number, to twice as long: what they
/// know is then still younger than the shortest time within which settings are to be in force.
const CROWD: f64 = 60.0;

/// Pause after an answer of the reader, among that many routers.
///
/// ```
/// # use std::time::Duration;
/// assert_eq!(gateway::shared_read::rest(4), Duration::from_millis(400));
/// assert_eq!(gateway::shared_read::rest(300), Duration::from_millis(800));
/// ```
pub fn rest(routers: u32) -> Duration {
    PAUSE.mul_f64((f64::from(routers) / CROWD).clamp(1.0, 2.0))
}

/// Pause after a read of the list of servers from the store, where a router that reads alone pauses for
/// `alone`. The router that reads for all does it twice as often, as what it knows ages on its way.
pub fn pause(state: &State, alone: Duration) -> Duration {
    match state.routers() >= FROM && state.gives.get() {
        true => alone / 2,
        false => alone,
    }
}

/// Asks the reader for records, and the offset after the last one it read. None if it is not known, does not
/// answer, or knows too little.
pub async fn read(state: &State, log: Log, from: Offset) -> Option<(Vec<Placed>, Offset)> {
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
    let records = page.records.into_iter().map(|(offset, record)| (offset, Bytes::from(record)));
    Some((records.collect(), page.end))
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
    let (records, end) = tails[at].from(value("from")?.parse().ok()?)?;
    let records = records.iter().map(|(offset, record)| (*offset, record.to_vec())).collect();
    Some(Page { records, end, age_ms: age.as_millis() as u64 })
}

/// Keeps what was read from the store for the others, if it tells something new.
pub fn keep(
    state: &State,
    log: Log,
    from: Offset,
    records: &[Bytes],
    worth: impl Fn(&Bytes) -> bool,
) {
    if let Some(at) = LOGS.iter().position(|l| *l == log) {
        state.tails.borrow_mut()[at].add(from, records, worth, state.now());
    }
}
