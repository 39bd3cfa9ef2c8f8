//! Stand-ins for backend servers: model servers that run requests along paths, and servers of a plain service.

use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;

/// Time between two entries of a server.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Time without an entry after which the store drops it.
const LIFETIME: Duration = Duration::from_millis(3600);

/// Time after which a crashed server is back.
const RESTART: Duration = Duration::from_millis(3300);

/// Time for which work that depends on a dead server stalls.
const STALL: Duration = Duration::from_millis(3000);

/// Time to read a prompt, and pause between two events.
const READ_TIME: Duration = Duration::from_millis(40);
const EVENT_PAUSE: Duration = Duration::from_millis(50);

/// Layers of the model, and seconds to load all of them.
pub const LAYERS: u32 = 80;
const LOAD_S: f64 = 14.0;

/// When a request with a deadly body ends the server that runs it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Deadly {
    /// Never.
    No,
    /// This time after a server has begun to run this layer of it.
    AtLayer(u32, Duration),
    /// This time after the first server has begun; the server goes dark: it answers nothing and closes nothing.
    Dark(Duration),
}

/// Beginning of a deadly body.
pub const DEADLY: &str = "deadly";

/// Kind of card: name, memory in MB, factors on steps and on reading.
pub const CARDS: [(&str, f64, f64, f64); 3] =
    [("a100s", 36000.0, 3.1, 3.2), ("l4", 21600.0, 16.0, 8.2), ("t4", 14400.0, 15.0, 15.0)];
pub const LAYER_MB: f64 = 1750.0;

#[derive(Debug, Clone, PartialEq)]
struct Hop {
    address: SocketAddr,
    from: u32,
    to: u32,
    /// Start of the server when the path was taken.
    start: u64,
}

struct Live {
    path: Vec<Hop>,
    /// When the request began to run along the path.
    since: Instant,
    waits_for: Option<SocketAddr>,
}

struct State {
    alive: bool,
    /// Whether it has reported that it is leaving.
    leaves: bool,
    /// Whether it is dark until it starts again.
    dark: bool,
    id: String,
    born: u64,
    start: u64,
    entries: u64,
    last_entry: Instant,
    listed: bool,
    orders: u64,
    busy: bool,
    span: (u32, u32),
    running: HashMap<String, Arc<Mutex<Live>>>,
    connections: Vec<TcpStream>,
}

pub struct Server {
    pub service: String,
    zone: String,
    card: Option<usize>,
    pub address: SocketAddr,
    state: Mutex<State>,
}

/// All servers, and what they did.
pub struct Fleet {
    servers: Mutex<Vec<Arc<Server>>>,
    store: Arc<Store>,
    record: Arc<Record>,
    deadly: Deadly,
    has_run: AtomicBool,
    starts: AtomicU64,
    /// Requests that arrived: when, id of the server, and whether the body is deadly.
    pub arrivals: Mutex<Vec<(Instant, String, bool)>>,
    /// When servers crashed under a deadly request.
    pub crashes: Mutex<Vec<Instant>>,
    /// Paths that a deadly request got by an order.
    pub repaths: Mutex<Vec<Instant>>,
    random: AtomicU64,
}

impl Server {
    fn new(service: &str, zone: &str, card: Option<usize>, address: SocketAddr) -> Arc<Server> {
        let state = State {
            alive: false,
            leaves: false,
            dark: false,
            id: String::new(),
            born: 0,
            start: 0,
            entries: 0,
            last_entry: Instant::now(),
            listed: false,
            orders: 0,
            busy: false,
            span: (0, 0),
            running: HashMap::new(),
            connections: Vec::new(),
        };
        let (service, zone) = (service.to_owned(), zone.to_owned());
        Arc::new(Server { service, zone, card, address, state: Mutex::new(state) })
    }

    /// Waits until a start of the server is not dark any more.
    fn wait_while_dark(&self, start: u64) {
        let is_dark = || {
            let s = self.state.lock().unwrap();
            s.dark && s.start == start
        };
        while is_dark() {
            thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn id(&self) -> String {
        self.state.lock().unwrap().id.clone()
    }

    /// Entry in the list, with further fields.
    fn entry(&self, s: &State, state: &str, further: &str) -> String {
        let card = self.card.map_or(String::new(), |card| {
            format!(
                ",\"kind\":\"{}\",\"stage\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"layers\":{{\"from\":{},\"to\":{},\"version\":1}}",
                CARDS[card].0, s.span.0, s.span.1
            )
        });
        let slots = if self.card.is_some() { 192 } else { 6 };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"{state}\",\"coldLeftMs\":0,\"sequence\":{}{further}{card}}}",
            self.service, self.address, self.zone, s.entries
        )
    }

    fn listener(&self) -> TcpListener {
        loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => return listener,
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

impl Fleet {
    /// Starts model servers by zone and index of their card, and servers of the plain service by zone.
    pub fn start(
        store: &Arc<Store>,
        record: &Arc<Record>,
        deadly: Deadly,
        models: &[(&str, &str, usize)],
        plain: &[&str],
    ) -> Arc<Fleet> {
        let fresh = |service: &str, zone: &str, card: Option<usize>| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let address = listener.local_addr().expect("an address");
            (Server::new(service, zone, card, address), listener)
        };
        let models = models.iter().map(|(service, zone, card)| fresh(service, zone, Some(*card)));
        let all: Vec<_> = models.chain(plain.iter().map(|z| fresh("desk", z, None))).collect();
        let fleet = Arc::new(Fleet {
            servers: Mutex::new(all.iter().map(|(server, _)| server.clone()).collect()),
            store: store.clone(),
            record: record.clone(),
            deadly,
            has_run: AtomicBool::new(false),
            starts: AtomicU64::new(0),
            arrivals: Mutex::default(),
            crashes: Mutex::default(),
            repaths: Mutex::default(),
            random: AtomicU64::new(unix_ms() | 1),
        });
        for (server, listener) in all {
            fleet.clone().begin(server, listener);
        }
        let beating = fleet.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                beating.all().iter().for_each(|s| beating.beat(s));
            }
        });
        fleet
    }

    /// A number below one.
    fn random(&self) -> f64 {
        let mut x = self.random.load(Ordering::Relaxed);
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.random.store(x, Ordering::Relaxed);
        (x >> 11) as f64 / (1u64 << 53) as f64
    }

    fn all(&self) -> Vec<Arc<Server>> {
        self.servers.lock().unwrap().clone()
    }

    /// Layers that the servers of a service hold.
    pub fn layers_held(&self, service: &str) -> u32 {
        let servers = self.all();
        let held = servers.iter().filter(|s| s.service == service).map(|s| {
            let state = s.state.lock().unwrap();
            state.span.1 - state.span.0
        });
        held.sum()
    }

    /// The server that has an address; the newest one.
    fn at(&self, address: SocketAddr) -> Option<Arc<Server>> {
        self.servers.lock().unwrap().iter().rfind(|s| s.address == address).cloned()
    }

    fn begin(self: Arc<Fleet>, server: Arc<Server>, listener: TcpListener) {
        let start = self.starts.fetch_add(1, Ordering::Relaxed) + 1;
        {
            let mut state = server.state.lock().unwrap();
            (state.alive, state.dark) = (true, false);
            state.id = format!("i-{start:06x}");
            (state.born, state.start) = (unix_ms(), start);
            (state.entries, state.orders, state.busy) = (0, 0, false);
            state.span = (0, 0);
            state.running.clear();
            state.listed = true;
            state.last_entry = Instant::now();
        }
        self.publish(&server);
        // Servers do not write their entries all at the same time.
        let phase = HEARTBEAT.mul_f64(self.random());
        server.state.lock().unwrap().last_entry -= phase;
        let fleet = self;
        thread::spawn(move || {
            for stream in listener.incoming() {
                server.wait_while_dark(start);
                {
                    let mut state = server.state.lock().unwrap();
                    if !state.alive || state.start != start {
                        return;
                    }
                    if let Some(clone) = stream.as_ref().ok().and_then(|s| s.try_clone().ok()) {
                        state.connections.push(clone);
                    }
                }
                let Ok(stream) = stream else { continue };
                let (fleet, server) = (fleet.clone(), server.clone());
                thread::spawn(move || fleet.serve(&server, start, stream));
            }
        });
    }

    fn publish(&self, server: &Server) {
        let (id, entry) = {
            let mut s = server.state.lock().unwrap();
            s.entries += 1;
            s.last_entry = Instant::now();
            let state = if s.leaves { "draining" } else { "ready" };
            (s.id.clone(), server.entry(&s, state, &format!(",\"born\":{}", s.born)))
        };
        self.store.put("keyed.servers", &id, Some(&entry));
    }

    /// Lets a server of the plain service report that it is leaving; returns it.
    pub fn leave(&self) -> Arc<Server> {
        let all = self.all();
        let server = all.iter().find(|s| s.card.is_none()).expect("a plain server");
        server.state.lock().unwrap().leaves = true;
        self.publish(server);
        server.clone()
    }

    /// Writes an entry under the id of a server in the name of another writer: it says that the server is ready, and
    /// has no `born`.
    pub fn forge(&self, server: &Server) {
        let (id, entry) = {
            let s = server.state.lock().unwrap();
            (s.id.clone(), server.entry(&s, "ready", ""))
        };
        self.store.put("keyed.servers", &id, Some(&entry));
    }

    fn beat(&self, server: &Server) {
        let (due, expired, id) = {
            let mut s = server.state.lock().unwrap();
            let silent = s.last_entry.elapsed();
            let expired = !s.alive && s.listed && silent > LIFETIME;
            s.listed &= !expired;
            (s.alive && silent > HEARTBEAT, expired, s.id.clone())
        };
        match () {
            () if due => self.publish(server),
            () if expired => self.store.put("keyed.servers", &id, None),
            () => {}
        }
    }

    /// Ends a server; false if it had ended.
    fn end(&self, server: &Server, why: &str) -> bool {
        let connections = {
            let mut s = server.state.lock().unwrap();
            if !s.alive {
                return false;
            }
            s.alive = false;
            self.record.line(&format!("server {} at {} crashes: {why}", s.id, server.address));
            std::mem::take(&mut s.connections)
        };
        // Wakes the thread that accepts connections, so that the port is closed.
        drop(TcpStream::connect(server.address));
        connections.iter().for_each(|c| drop(c.shutdown(Shutdown::Both)));
        true
    }

    /// Makes a server dark, which comes back at its address under another id.
    fn go_dark(self: &Arc<Fleet>, server: &Arc<Server>, why: &str) {
        {
            let mut s = server.state.lock().unwrap();
            if !s.alive {
                return;
            }
            (s.alive, s.dark) = (false, true);
            self.record.line(&format!("server {} at {} goes dark: {why}", s.id, server.address));
        }
        let (fleet, server) = (self.clone(), server.clone());
        thread::spawn(move || {
            // Fills the backlog, so that further connections are not established.
            let (mut held, began) = (Vec::new(), Instant::now());
            while began.elapsed() < RESTART {
                match TcpStream::connect_timeout(&server.address, Duration::from_millis(100)) {
                    Ok(stream) => held.push(stream),
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            }
            let id = server.state.lock().unwrap().id.clone();
            let (store, left) = (fleet.store.clone(), LIFETIME.saturating_sub(RESTART));
            thread::spawn(move || {
                thread::sleep(left);
                store.put("keyed.servers", &id, None);
            });
            let connections = {
                let mut s = server.state.lock().unwrap();
                s.dark = false;
                std::mem::take(&mut s.connections)
            };
            drop(held);
            connections.iter().for_each(|c| drop(c.shutdown(Shutdown::Both)));
            let listener = server.listener();
            fleet.begin(server, listener);
        });
    }

    /// Ends a server, which comes back at its address under another id.
    fn crash(self: &Arc<Fleet>, server: &Arc<Server>, why: &str) {
        if !self.end(server, why) {
            return;
        }
        let (fleet, server) = (self.clone(), server.clone());
        thread::spawn(move || {
            let id = server.state.lock().unwrap().id.clone();
            thread::sleep(RESTART);
            // The former entry stays until its time is over.
            let (store, left) = (fleet.store.clone(), LIFETIME.saturating_sub(RESTART));
            thread::spawn(move || {
                thread::sleep(left);
                store.put("keyed.servers", &id, None);
            });
            let listener = server.listener();
            fleet.begin(server, listener);
        });
    }

    fn serve(self: Arc<Fleet>, server: &Arc<Server>, start: u64, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Ok(message) = http::read_message(&mut reader) {
            server.wait_while_dark(start);
            if !self.is_running(server, start) {
                return;
            }
            if self.answer(server, start, &message, &mut stream).is_err() {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn is_running(&self, server: &Server, start: u64) -> bool {
        let s = server.state.lock().unwrap();
        s.alive && s.start == start
    }

    fn answer(
        self: &Arc<Fleet>,
        server: &Arc<Server>,
        start: u64,
        m: &Message,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let id = server.state.lock().unwrap().id.clone();
        match m.path() {
            "/health" => http::answer(stream, 200, &[("Instance", &id)], b""),
            "/-/report" if server.card.is_some() => http::json(stream, 200, &report(server)),
            "/-/order" if m.header("expect-instance").is_some_and(|expected| expected != id) => {
                http::answer(stream, 421, &[("Instance", &id)], b"")
            }
            "/-/order" if server.card.is_some() => self.order(server, &m.text(), stream),
            "/-/report" | "/-/order" => http::answer(stream, 400, &[("Not-Executed", "1")], b""),
            _ => {
                let Some(request) = m.header("request-id") else {
                    return http::answer(stream, 400, &[("Not-Executed", "1")], b"");
                };
                let expected = m.header("expect-instance");
                if expected.is_some_and(|expected| expected != id) {
                    return http::answer(stream, 421, &[("Instance", &id)], b"");
                }
                let deadly = m.text().starts_with(DEADLY);
                self.arrivals.lock().unwrap().push((Instant::now(), id.clone(), deadly));
                if deadly {
                    let hops = m.header("hops").unwrap_or("none");
                    self.record.line(&format!("{request} reaches {id}, hops={hops}"));
                }
                self.has_run.store(true, Ordering::Relaxed);
                match server.card {
                    None => {
                        thread::sleep(Duration::from_millis(60));
                        let stamp = format!("stamp-{id}");
                        let headers = [("Request-Id", request), ("Server-Stamp", &stamp)];
                        http::answer(stream, 200, &headers, b"looked up")
                    }
                    Some(_) => self.stream(server, start, m, request, deadly, stream),
                }
            }
        }
    }

    fn order(
        self: &Arc<Fleet>,
        server: &Arc<Server>,
        text: &str,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        if http::text_field(text, "operation").as_deref() == Some("repath") {
            return self.repath(server, text, stream);
        }
        let number = |name| http::number_field(text, name);
        let (Some(from), Some(to)) = (number("from"), number("to")) else {
            return http::answer(stream, 400, &[], b"");
        };
        let span = (from as u32, to as u32);
        let begun = {
            let mut s = server.state.lock().unwrap();
            if s.span == span && !s.busy {
                return http::answer(stream, 200, &[], b"");
            }
            if s.busy || number("precondition").is_some_and(|p| p != s.orders) {
                return http::answer(stream, 409, &[], b"");
            }
            s.orders += 1;
            s.busy = true;
            s.span = (s.span.0.max(span.0), s.span.1.min(span.1));
            if s.span.0 >= s.span.1 {
                s.span = (0, 0);
            }
            s.start
        };
        let card = CARDS[server.card.unwrap_or(0)];
        if f64::from(span.1 - span.0) * LAYER_MB > card.1 {
            self.crash(server, "it was ordered to hold more layers than its memory holds");
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let share = f64::from(span.1 - span.0) / f64::from(LAYERS);
        let first = if self.has_run.load(Ordering::Relaxed) { 1.0 } else { 0.1 };
        let (fleet, server) = (self.clone(), server.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_secs_f64(LOAD_S * share * first));
            if fleet.is_running(&server, begun) {
                {
                    let mut s = server.state.lock().unwrap();
                    (s.span, s.busy) = (span, false);
                }
                fleet.publish(&server);
            }
        });
        http::answer(stream, 202, &[], b"")
    }

    fn repath(&self, server: &Arc<Server>, text: &str, stream: &mut TcpStream) -> io::Result<()> {
        let id = http::text_field(text, "id").unwrap_or_default();
        let path = http::text_field(text, "path").unwrap_or_default();
        let Some(live) = server.state.lock().unwrap().running.get(&id).cloned() else {
            return http::answer(stream, 404, &[], b"");
        };
        match self.path(&path) {
            Ok(path) => {
                self.record.line(&format!("{id} gets another path: {text}"));
                self.repaths.lock().unwrap().push(Instant::now());
                let mut live = live.lock().unwrap();
                (live.path, live.since, live.waits_for) = (path, Instant::now(), None);
                drop(live);
                http::answer(stream, 200, &[], b"")
            }
            Err(Some(address)) => {
                http::json(stream, 409, &format!("{{\"address\":\"{address}\"}}"))
            }
            Err(None) => http::answer(stream, 400, &[], b""),
        }
    }

    /// Parses a path; the error names a part that is not there.
    fn path(&self, text: &str) -> Result<Vec<Hop>, Option<SocketAddr>> {
        let mut path = Vec::new();
        for part in text.split(',') {
            let hop = part.split_once('=').and_then(|(address, span)| {
                let (from, to) = span.split_once('-')?;
                Some((address.parse().ok()?, from.parse().ok()?, to.parse().ok()?))
            });
            let Some((address, from, to)) = hop else { return Err(None) };
            let held = self.at(address).and_then(|server| {
                let s = server.state.lock().unwrap();
                (s.alive && s.span.0 <= from && to <= s.span.1).then_some(s.start)
            });
            let Some(start) = held else { return Err(Some(address)) };
            path.push(Hop { address, from, to, start });
        }
        Ok(path)
    }

    /// Runs a request along its path and sends the events.
    fn stream(
        self: &Arc<Fleet>,
        server: &Arc<Server>,
        start: u64,
        m: &Message,
        request: &str,
        deadly: bool,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let hops = m.header("hops").map(str::to_owned);
        let hops = hops.unwrap_or_else(|| format!("{}=0-{LAYERS}", server.address));
        let path = match self.path(&hops) {
            Ok(path) if path[0].address == server.address => path,
            Err(Some(address)) => {
                let alive = self.at(address).is_some_and(|s| s.state.lock().unwrap().alive);
                let status = if alive { 421 } else { 503 };
                let address = address.to_string();
                let headers = [("Not-Executed", "1"), ("At-Server", address.as_str())];
                return http::answer(stream, status, &headers, b"");
            }
            _ => return http::answer(stream, 400, &[("Not-Executed", "1")], b""),
        };
        let live = Live { path, since: Instant::now(), waits_for: None };
        let live = Arc::new(Mutex::new(live));
        server.state.lock().unwrap().running.insert(request.to_owned(), live.clone());
        let done = self.events(server, start, m, request, deadly, &live, stream);
        server.state.lock().unwrap().running.remove(request);
        done
    }

    #[allow(clippy::too_many_arguments)]
    fn events(
        self: &Arc<Fleet>,
        server: &Arc<Server>,
        start: u64,
        m: &Message,
        request: &str,
        deadly: bool,
        live: &Mutex<Live>,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let began = Instant::now();
        let id = server.state.lock().unwrap().id.clone();
        let most = m.header("token-counts").and_then(|t| t.split_once(',')?.1.trim().parse().ok());
        let events: u64 = most.unwrap_or(80) / 2;
        let from = m.header("last-event-id").and_then(|l| l.parse::<u64>().ok());
        let mut next = from.map_or(0, |last| last + 1);
        let mut head_sent = false;
        let mut due = Instant::now() + READ_TIME;
        let mut stalled_since: Option<Instant> = None;
        while next < events {
            thread::sleep(Duration::from_millis(5));
            server.wait_while_dark(start);
            if !self.is_running(server, start) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            // A caller that has left closes the connection.
            if is_closed(stream) {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
            let (path, since) = {
                let live = live.lock().unwrap();
                (live.path.clone(), live.since)
            };
            let dead = path
                .iter()
                .find(|hop| self.at(hop.address).is_none_or(|s| !self.is_running(&s, hop.start)));
            if let Some(dead) = dead {
                live.lock().unwrap().waits_for = Some(dead.address);
                let stalled = *stalled_since.get_or_insert_with(Instant::now);
                match stalled.elapsed() > STALL {
                    true if head_sent => return Err(io::ErrorKind::ConnectionReset.into()),
                    true => {
                        let address = dead.address.to_string();
                        let headers = [("Not-Executed", "1"), ("At-Server", address.as_str())];
                        return http::answer(stream, 503, &headers, b"");
                    }
                    false => continue,
                }
            }
            if stalled_since.take().is_some() {
                due = Instant::now() + READ_TIME;
            }
            match self.deadly {
                Deadly::AtLayer(layer, after) if deadly && since.elapsed() >= after => {
                    let hop = path.iter().find(|hop| (hop.from..hop.to).contains(&layer));
                    if let Some(victim) = hop.and_then(|hop| self.at(hop.address)) {
                        self.crashes.lock().unwrap().push(Instant::now());
                        self.crash(&victim, &format!("it ran layer {layer} of {request}"));
                    }
                    continue;
                }
                Deadly::AtLayer(..) if deadly => continue,
                Deadly::Dark(after) if deadly && began.elapsed() >= after => {
                    self.crashes.lock().unwrap().push(Instant::now());
                    self.go_dark(server, &format!("it ran {request}"));
                    continue;
                }
                Deadly::Dark(_) if deadly => continue,
                _ => {}
            }
            if Instant::now() < due {
                continue;
            }
            if !head_sent {
                let running = server.state.lock().unwrap().running.len();
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
                     Request-Id: {request}\r\nServer-Stamp: stamp-{id}\r\nServer-Load: {running},0,192\r\n\
                     Weight-Versions: 1\r\n\r\n"
                )?;
                head_sent = true;
            }
            let event = format!("id: {next}\ndata: token-{next}\n\n");
            write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
            next += 1;
            due = Instant::now() + EVENT_PAUSE;
        }
        match head_sent {
            true => stream.write_all(b"0\r\n\r\n"),
            false => {
                let stamp = format!("stamp-{id}");
                let headers = [("Request-Id", request), ("Server-Stamp", &stamp)];
                http::answer(stream, 200, &headers, b"")
            }
        }
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let closed = match stream.peek(&mut [0]) {
        Ok(0) => true,
        Ok(_) => false,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).is_err() || closed
}

fn report(server: &Server) -> String {
    let s = server.state.lock().unwrap();
    let card = CARDS[server.card.unwrap_or(0)];
    let layers = f64::from(s.span.1 - s.span.0);
    // Tokens of context times layers, at 426,000 bytes for a token in all layers.
    let room = (card.1 - layers * LAYER_MB) * 1e6 / (426_000.0 / f64::from(LAYERS));
    let used = s.running.len() as f64 * 800.0 * layers;
    let stalled: Vec<String> = s
        .running
        .iter()
        .filter_map(|(id, live)| {
            let address = live.lock().unwrap().waits_for?;
            Some(format!("{{\"id\":\"{id}\",\"address\":\"{address}\"}}"))
        })
        .collect();
    format!(
        "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":{},\
         \"sequence\":{},\"queued\":0,\"running\":{},\"kvUsed\":{used:.0},\"kvTotal\":{room:.0},\"handles\":0,\
         \"layers\":{{\"from\":{},\"to\":{},\"version\":1}},\"kind\":\"{}\",\"pace\":1.0,\"born\":{},\
         \"stalled\":[{}]}}",
        s.busy,
        s.orders,
        s.running.len(),
        s.span.0,
        s.span.1,
        card.0,
        s.born,
        stalled.join(",")
    )
}
