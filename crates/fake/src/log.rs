//! The append-only log service, in memory.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cloud::log::{Append, Appended, Offset, Page, Record};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::bucket::Bucket;
use crate::serve::{self, Call, Reply, Server};

/// Maximum number of records in a page.
pub const MAX_PAGE_RECORDS: usize = 1000;

/// Maximum size of the texts in a page, so that it stays below the client's limit.
const MAX_PAGE_BYTES: usize = 4 << 20;

/// Maximum size of the text of a record.
const MAX_RECORD_BYTES: usize = 1 << 20;

/// Maximum number of streams.
const MAX_STREAMS: usize = 10_000;

/// Burst size: appends that the rate allows in this time are accepted at once.
const BURST: Duration = Duration::from_millis(250);

/// Longest time that a read waits for a record.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Command-line options of the log service.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Maximum number of appends a second, over all streams.
    #[arg(long, default_value_t = 400)]
    pub rate: u32,
    /// Number of records retained per stream.
    #[arg(long, default_value_t = 200_000)]
    pub retain: usize,
}

/// Faults of the log service; an omitted field keeps its value.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// Answers every request with 503.
    pub outage: Option<bool>,
    /// Number of next appends that take effect but whose connection is closed without an answer.
    pub lose_answers: Option<u32>,
    /// Number of next appends that fail with 503 and have no effect.
    pub refuse_next: Option<u32>,
    /// Delay of every answer in milliseconds, after an append has taken effect.
    pub delay_ms: Option<u64>,
    /// Maximum number of appends a second, over all streams.
    pub rate: Option<u32>,
    /// Number of records retained per stream.
    pub retain: Option<usize>,
    /// Expires old records of a stream at once.
    pub expire: Option<Expire>,
}

/// The records to expire.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Expire {
    /// Name of the stream.
    pub stream: String,
    /// Oldest offset that is retained.
    pub before: Offset,
}

/// Counters of the log service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Streams, sorted by name.
    pub streams: Vec<StreamStats>,
    /// Number of appends that took effect.
    pub appends: u64,
    /// Number of appends in the busiest second.
    pub busiest_second: u64,
    /// Number of appends refused because of the rate limit.
    pub refused: u64,
    /// Number of reads answered.
    pub reads: u64,
}

/// Extent of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StreamStats {
    /// Name of the stream.
    pub stream: String,
    /// Oldest offset retained.
    pub first: Offset,
    /// Offset of the next record.
    pub next: Offset,
    /// Bytes of text appended since the process started.
    pub bytes: u64,
}

struct Stream {
    name: String,
    first: Offset,
    records: VecDeque<Record>,
    bytes: u64,
    appended: Arc<Notify>,
}

struct Service {
    streams: Vec<Stream>,
    bucket: Bucket,
    retain: usize,
    outage: bool,
    lose_answers: u32,
    refuse_next: u32,
    delay: Duration,
    stats: Stats,
    second: u64,
    appends_in_second: u64,
}

type Shared = Arc<Mutex<Service>>;

/// Serves a log service on `listener`.
pub fn start(listener: TcpListener, options: Options) -> std::io::Result<Server> {
    let shared = Arc::new(Mutex::new(Service {
        streams: Vec::new(),
        bucket: Bucket::new(options.rate, BURST, Instant::now()),
        retain: options.retain.max(1),
        outage: false,
        lose_answers: 0,
        refuse_next: 0,
        delay: Duration::ZERO,
        stats: Stats::default(),
        second: 0,
        appends_in_second: 0,
    }));
    serve::start(listener, move |call| {
        let shared = shared.clone();
        async move { route(&shared, &call).await.unwrap_or_else(|refusal| refusal) }
    })
}

async fn route(shared: &Shared, call: &Call) -> Result<Reply, Reply> {
    match (call.method.as_str(), call.segments().as_slice()) {
        ("GET", ["~fake", "books"]) => Ok(Reply::json(200, &stats(&serve::lock(shared)))),
        ("POST", ["~fake", "control"]) => {
            set_fault(&mut serve::lock(shared), call.json()?);
            Ok(Reply::ok())
        }
        ("POST", ["v1", "streams", name]) => {
            let body: Append = call.json()?;
            let reply = append(&mut serve::lock(shared), name, body.data);
            // The delay follows the effect, so a client that times out meanwhile can't know
            // whether its record was appended. The system under test has to resolve this case.
            let delay = serve::lock(shared).delay;
            tokio::time::sleep(delay).await;
            reply
        }
        ("GET", ["v1", "streams", name]) => {
            let wait = Duration::from_millis(call.query_number("wait_ms")).min(MAX_WAIT);
            let page = read(shared, name, call.query_number("from"), wait).await?;
            let delay = serve::lock(shared).delay;
            tokio::time::sleep(delay).await;
            Ok(Reply::json(200, &page))
        }
        _ => Err(Reply::error(404, "no such path")),
    }
}

fn append(service: &mut Service, name: &str, data: String) -> Result<Reply, Reply> {
    match () {
        _ if service.outage => return Err(Reply::error(503, "outage")),
        _ if serve::take_one(&mut service.refuse_next) => return Err(Reply::error(503, "refused")),
        _ if data.len() > MAX_RECORD_BYTES => return Err(Reply::error(413, "record too long")),
        _ if !service.bucket.take(Instant::now()) => {
            service.stats.refused += 1;
            return Err(Reply::error(429, "over the rate"));
        }
        _ => {}
    }
    let retain = service.retain;
    let stream = stream(service, name)?;
    let offset = stream.first + stream.records.len() as u64;
    stream.bytes += data.len() as u64;
    stream.records.push_back(Record { offset, time_ms: now_ms(), data });
    expire(stream, offset + 1, retain);
    stream.appended.notify_waiters();
    count_append(service);
    match serve::take_one(&mut service.lose_answers) {
        true => Err(Reply::CloseConnection),
        false => Ok(Reply::json(200, &Appended { offset })),
    }
}

async fn read(shared: &Shared, name: &str, from: Offset, wait: Duration) -> Result<Page, Reply> {
    let until = tokio::time::Instant::now() + wait;
    loop {
        let appended = {
            let mut service = serve::lock(shared);
            if service.outage {
                return Err(Reply::error(503, "outage"));
            }
            stream(&mut service, name)?.appended.clone()
        };
        // Registers before reading the records, so that an append between the two wakes
        // this read; otherwise it would wait until its time-out.
        let mut notified = std::pin::pin!(appended.notified());
        notified.as_mut().enable();
        let page = page(stream(&mut serve::lock(shared), name)?, from);
        if !page.records.is_empty() || tokio::time::timeout_at(until, notified).await.is_err() {
            serve::lock(shared).stats.reads += 1;
            return Ok(page);
        }
    }
}

fn page(stream: &Stream, from: Offset) -> Page {
    let next = stream.first + stream.records.len() as u64;
    let skip = from.clamp(stream.first, next) - stream.first;
    let mut bytes = 0;
    let fits = |record: &&Record| {
        bytes += record.data.len();
        bytes <= MAX_PAGE_BYTES
    };
    let records = stream.records.range(skip as usize..).take(MAX_PAGE_RECORDS).take_while(fits);
    Page { records: records.cloned().collect(), first: stream.first, next }
}

fn stream<'a>(service: &'a mut Service, name: &str) -> Result<&'a mut Stream, Reply> {
    let i = match service.streams.binary_search_by(|s| s.name.as_str().cmp(name)) {
        Ok(i) => i,
        Err(_) if service.streams.len() >= MAX_STREAMS => {
            return Err(Reply::error(507, "too many streams"));
        }
        Err(i) => {
            let (name, appended) = (name.to_string(), Arc::new(Notify::new()));
            let stream = Stream { name, first: 0, records: VecDeque::new(), bytes: 0, appended };
            service.streams.insert(i, stream);
            i
        }
    };
    Ok(&mut service.streams[i])
}

/// Drops the records before offset `next - retain`.
fn expire(stream: &mut Stream, next: Offset, retain: usize) {
    let first = next.saturating_sub(retain as u64);
    while stream.first < first && stream.records.pop_front().is_some() {
        stream.first += 1;
    }
}

fn count_append(service: &mut Service) {
    let second = now_ms() / 1000;
    if service.second != second {
        service.second = second;
        service.appends_in_second = 0;
    }
    service.appends_in_second += 1;
    service.stats.appends += 1;
    service.stats.busiest_second = service.stats.busiest_second.max(service.appends_in_second);
}

fn set_fault(service: &mut Service, fault: Fault) {
    service.outage = fault.outage.unwrap_or(service.outage);
    service.lose_answers = fault.lose_answers.unwrap_or(service.lose_answers);
    service.refuse_next = fault.refuse_next.unwrap_or(service.refuse_next);
    service.delay = fault.delay_ms.map_or(service.delay, Duration::from_millis);
    service.retain = fault.retain.unwrap_or(service.retain).max(1);
    if let Some(rate) = fault.rate {
        service.bucket = Bucket::new(rate, BURST, Instant::now());
    }
    for stream in &mut service.streams {
        let next = stream.first + stream.records.len() as u64;
        let before = fault.expire.as_ref().filter(|e| e.stream == stream.name).map(|e| e.before);
        expire(stream, next, service.retain.min(next.saturating_sub(before.unwrap_or(0)) as usize));
        // Wakes waiting reads, so that they see an outage at once and not after their time-out.
        stream.appended.notify_waiters();
    }
}

fn stats(service: &Service) -> Stats {
    let count = |s: &Stream| StreamStats {
        stream: s.name.clone(),
        first: s.first,
        next: s.first + s.records.len() as u64,
        bytes: s.bytes,
    };
    Stats { streams: service.streams.iter().map(count).collect(), ..service.stats.clone() }
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
