//! A relay: a listening socket, and an upstream socket per source.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::queue::Queue;
use super::{Counters, Effect, Link, Table};
use crate::serve;

/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Maximum number of sources per relay; the source idle for longest is removed for a new one.
const MAX_SOURCES: usize = 1024;

/// A relay that runs until it is dropped.
pub(crate) struct Relay {
    pub link: Link,
    core: Arc<Core>,
    tasks: Vec<JoinHandle<()>>,
}

impl Relay {
    pub(crate) fn count(&self) -> Counters {
        serve::lock(&self.core.chance).count.clone()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

struct Core {
    link: Link,
    table: Arc<Mutex<Table>>,
    chance: Arc<Mutex<Chance>>,
    queue: Queue<Datagram>,
}

struct Chance {
    rng: Pcg64,
    count: Counters,
}

struct Datagram {
    source: IpAddr,
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    data: Bytes,
}

struct Flow {
    source: SocketAddr,
    upstream: Arc<UdpSocket>,
    used: Instant,
    answers: JoinHandle<()>,
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.answers.abort();
    }
}

/// Starts a relay. Port 0 in `link.listen` selects a free port.
pub(crate) async fn start(
    mut link: Link,
    table: Arc<Mutex<Table>>,
    seed: u64,
) -> std::io::Result<Relay> {
    let socket = Arc::new(UdpSocket::bind(link.listen).await?);
    link.listen = socket.local_addr()?;
    let chance = Chance { rng: Pcg64::seed_from_u64(seed), count: Counters::default() };
    let core = Arc::new(Core {
        link: link.clone(),
        table,
        chance: Arc::new(Mutex::new(chance)),
        queue: Queue::new(),
    });
    let tasks = vec![
        tokio::spawn(forward(core.clone(), socket)),
        tokio::spawn(deliver_delayed(core.clone())),
    ];
    Ok(Relay { link, core, tasks })
}

async fn forward(core: Arc<Core>, socket: Arc<UdpSocket>) {
    let mut flows: Vec<Flow> = Vec::new();
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error here reports that the port of an earlier datagram was unreachable.
        let Ok((len, source)) = socket.recv_from(&mut buf).await else { continue };
        let Ok(upstream) = upstream_for(&core, &socket, &mut flows, source).await else { continue };
        let data = Bytes::copy_from_slice(&buf[..len]);
        let to = core.link.target;
        relay_datagram(&core, Datagram { source: source.ip(), socket: upstream, to, data }).await;
    }
}

async fn upstream_for(
    core: &Arc<Core>,
    socket: &Arc<UdpSocket>,
    flows: &mut Vec<Flow>,
    source: SocketAddr,
) -> std::io::Result<Arc<UdpSocket>> {
    let now = Instant::now();
    let i = match flows.binary_search_by(|f| f.source.cmp(&source)) {
        Ok(i) => i,
        Err(_) => {
            if flows.len() >= MAX_SOURCES {
                let idle = (0..flows.len()).min_by_key(|i| flows[*i].used).unwrap_or(0);
                flows.remove(idle);
            }
            let upstream = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?);
            let answers = forward_answers(core.clone(), upstream.clone(), socket.clone(), source);
            let flow = Flow { source, upstream, used: now, answers: tokio::spawn(answers) };
            let i = flows.partition_point(|f| f.source < source);
            flows.insert(i, flow);
            i
        }
    };
    flows[i].used = now;
    Ok(flows[i].upstream.clone())
}

async fn forward_answers(
    core: Arc<Core>,
    upstream: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    source: SocketAddr,
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, from)) = upstream.recv_from(&mut buf).await else { continue };
        // Only datagrams from the target belong to this flow.
        if from == core.link.target {
            let data = Bytes::copy_from_slice(&buf[..len]);
            let socket = socket.clone();
            relay_datagram(&core, Datagram { source: source.ip(), socket, to: source, data }).await;
        }
    }
}

/// Forwards, delays or drops a datagram, depending on the active faults.
async fn relay_datagram(core: &Core, datagram: Datagram) {
    let effect = serve::lock(&core.table).effect(datagram.source, &core.link);
    let copies = draw_copies(core, &effect);
    for _ in 0..copies {
        let Datagram { source, to, .. } = datagram;
        let (socket, data) = (datagram.socket.clone(), datagram.data.clone());
        let copy = Datagram { source, socket, to, data };
        match effect.delay.is_zero() {
            true => send(core, copy).await,
            false if core.queue.push(Instant::now() + effect.delay, copy) => {}
            false => serve::lock(&core.chance).count.overflow += 1,
        }
    }
}

fn draw_copies(core: &Core, effect: &Effect) -> u32 {
    let mut chance = serve::lock(&core.chance);
    chance.count.received += 1;
    match () {
        _ if effect.cut => {
            chance.count.cut += 1;
            0
        }
        _ if effect.loss > 0.0 && chance.rng.random::<f64>() < effect.loss => {
            chance.count.lost += 1;
            0
        }
        _ if effect.duplicate > 0.0 && chance.rng.random::<f64>() < effect.duplicate => {
            chance.count.doubled += 1;
            2
        }
        _ => 1,
    }
}

/// Sends delayed datagrams when they are due. Datagrams that were queued when the link was
/// cut are dropped; otherwise a cut link would still deliver datagrams for as long as its delay.
async fn deliver_delayed(core: Arc<Core>) {
    loop {
        let datagram = core.queue.pop().await;
        let cut = serve::lock(&core.table).effect(datagram.source, &core.link).cut;
        match cut {
            true => serve::lock(&core.chance).count.cut += 1,
            false => send(&core, datagram).await,
        }
    }
}

async fn send(core: &Core, datagram: Datagram) {
    if datagram.socket.send_to(&datagram.data, datagram.to).await.is_ok() {
        serve::lock(&core.chance).count.delivered += 1;
    }
}
