//! A relay of datagrams between VMs that cuts links and delays, drops and duplicates datagrams.
//!
//! Each process of the system binds its own loopback address, so a relay identifies the
//! source of a datagram by its IP address.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::serve::{self, Call, Reply, Server};

mod relay;
mod queue;

/// Maximum number of relays.
const MAX_RELAYS: usize = 1000;

/// Maximum number of active faults.
const MAX_FAULTS: usize = 10_000;

/// Command-line options of the link.
#[derive(Debug, Clone, clap::Args)]
pub struct Options {
    /// Random seed for loss and duplication.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// A relay that forwards datagrams from `listen` to `target`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Link {
    /// Address on which the relay receives datagrams.
    pub listen: SocketAddr,
    /// Address to which it forwards them.
    pub target: SocketAddr,
}

/// A fault of the datagrams between a source and a relay, in both directions.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// IP address of the source, an address prefix that ends with a dot, or `*`.
    pub from: String,
    /// Listening address or IP address of the relay or its target, an address prefix that ends with
    /// a dot, or `*`.
    pub to: String,
    /// Drops all datagrams.
    pub cut: bool,
    /// Delay of each datagram, in milliseconds.
    pub delay_ms: u64,
    /// Share of the datagrams that are dropped, 0 to 1.
    pub loss: f64,
    /// Share of the datagrams that are sent twice, 0 to 1.
    pub duplicate: f64,
    /// Removes the fault with this `from` and `to`.
    pub clear: bool,
    /// Applies also to what the process behind `to` sends through the relay of `from`.
    pub mirror: bool,
}

/// Counters of a relay, for both directions together.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Counters {
    /// Datagrams received.
    pub received: u64,
    /// Datagrams forwarded, duplicates included.
    pub delivered: u64,
    /// Datagrams dropped by a cut link.
    pub cut: u64,
    /// Datagrams dropped by random loss.
    pub lost: u64,
    /// Datagrams sent twice.
    pub doubled: u64,
    /// Datagrams dropped because the queue of delayed datagrams was full.
    pub overflow: u64,
}

/// A relay and its counters.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayStats {
    /// The relay.
    pub link: Link,
    /// Its counters.
    pub count: Counters,
}

/// Combined effect of the faults that apply to a datagram.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Effect {
    pub cut: bool,
    pub delay: Duration,
    pub loss: f64,
    pub duplicate: f64,
}

/// Relays and faults, shared by all relays.
#[derive(Debug, Default)]
pub(crate) struct Table {
    links: Vec<Link>,
    faults: Vec<Fault>,
}

impl Table {
    /// Returns the effect on the datagrams that `source` sends through `link`, and on the answers.
    pub(crate) fn effect(&self, source: IpAddr, link: &Link) -> Effect {
        let holds = |f: &&Fault| {
            let forward = matches(&f.from, source, None) && self.is_end(&f.to, link);
            let reverse = f.mirror && self.is_end(&f.from, link) && self.is_source(&f.to, source);
            forward || reverse
        };
        self.faults.iter().filter(holds).fold(Effect::default(), |sum, f| Effect {
            cut: sum.cut || f.cut,
            delay: sum.delay.max(Duration::from_millis(f.delay_ms)),
            loss: sum.loss.max(f.loss),
            duplicate: sum.duplicate.max(f.duplicate),
        })
    }

    fn is_end(&self, pattern: &str, link: &Link) -> bool {
        matches(pattern, link.listen.ip(), Some(link.listen))
            || matches(pattern, link.target.ip(), Some(link.target))
    }

    fn is_source(&self, pattern: &str, source: IpAddr) -> bool {
        let of_source = |l: &&Link| l.target.ip() == source;
        matches(pattern, source, None)
            || self.links.iter().filter(of_source).any(|l| self.is_end(pattern, l))
    }
}

/// Serves a link on `listener`; `POST /~fake/links` adds relays.
pub fn start(listener: TcpListener, options: Options) -> std::io::Result<Server> {
    let table = Arc::new(Mutex::new(Table::default()));
    let relays = Arc::new(Mutex::new(Vec::new()));
    serve::start(listener, move |call| {
        let (table, relays) = (table.clone(), relays.clone());
        let seed = options.seed;
        async move { route(&table, &relays, seed, &call).await.unwrap_or_else(|refusal| refusal) }
    })
}

async fn route(
    table: &Arc<Mutex<Table>>,
    relays: &Arc<Mutex<Vec<relay::Relay>>>,
    seed: u64,
    call: &Call,
) -> Result<Reply, Reply> {
    match (call.method.as_str(), call.segments().as_slice()) {
        ("POST", ["~fake", "links"]) => add_relay(table, relays, seed, call.json()?).await,
        ("GET", ["~fake", "books"]) => {
            let stats = |r: &relay::Relay| RelayStats { link: r.link.clone(), count: r.count() };
            let stats: Vec<RelayStats> = serve::lock(relays).iter().map(stats).collect();
            Ok(Reply::json(200, &stats))
        }
        ("POST", ["~fake", "faults"]) => set_fault(&mut serve::lock(table), call.json()?),
        ("GET", ["~fake", "faults"]) => Ok(Reply::json(200, &serve::lock(table).faults)),
        ("DELETE", ["~fake", "faults"]) => {
            serve::lock(table).faults.clear();
            Ok(Reply::ok())
        }
        _ => Err(Reply::error(404, "no such path")),
    }
}

async fn add_relay(
    table: &Arc<Mutex<Table>>,
    relays: &Arc<Mutex<Vec<relay::Relay>>>,
    seed: u64,
    link: Link,
) -> Result<Reply, Reply> {
    match () {
        _ if !link.listen.ip().is_loopback() || !link.target.ip().is_loopback() => {
            return Err(Reply::error(400, "only loopback addresses are relayed"));
        }
        _ if serve::lock(relays).len() >= MAX_RELAYS => {
            return Err(Reply::error(507, "too many relays"));
        }
        _ => {}
    }
    let seed = seed.wrapping_add(serve::lock(relays).len() as u64);
    let relay = relay::start(link, table.clone(), seed)
        .await
        .map_err(|e| Reply::error(409, &format!("could not listen: {e}")))?;
    let link = relay.link.clone();
    serve::lock(table).links.push(link.clone());
    serve::lock(relays).push(relay);
    Ok(Reply::json(201, &link))
}

fn set_fault(table: &mut Table, fault: Fault) -> Result<Reply, Reply> {
    table.faults.retain(|f| (&f.from, &f.to) != (&fault.from, &fault.to));
    match fault.clear {
        true => Ok(Reply::ok()),
        false if table.faults.len() >= MAX_FAULTS => Err(Reply::error(507, "too many faults")),
        false => {
            table.faults.push(fault);
            Ok(Reply::ok())
        }
    }
}

fn matches(pattern: &str, ip: IpAddr, address: Option<SocketAddr>) -> bool {
    match pattern {
        "*" => true,
        prefix if prefix.ends_with('.') => ip.to_string().starts_with(prefix),
        exact => exact == ip.to_string() || address.is_some_and(|a| exact == a.to_string()),
    }
}
