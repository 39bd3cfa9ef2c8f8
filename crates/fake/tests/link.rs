//! The relay forwards datagrams and answers, and applies the injected faults to them.

use std::net::SocketAddr;
use std::time::Duration;

use fake::link::{self, Fault, Link, Options, RelayStats};
use fake::serve::{self, Server};
use rstest::rstest;
use tokio::net::UdpSocket;

/// Two processes, each of which reaches the other through a separate relay.
struct World {
    _server: Server,
    http: rest::Client,
    near: UdpSocket,
    far: UdpSocket,
    to_near: SocketAddr,
    to_far: SocketAddr,
}

async fn relay(http: &rest::Client, socket: &UdpSocket, listen: &str) -> SocketAddr {
    let target = socket.local_addr().unwrap();
    let link = Link { listen: listen.parse().unwrap(), target };
    http.post::<_, Link>("/~fake/links", &link).await.unwrap().listen
}

async fn world() -> World {
    let listener = serve::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let server = link::start(listener, Options { seed: 7 }).unwrap();
    let http = rest::Client::new(&server.url(), Duration::from_secs(5));
    let near = UdpSocket::bind("127.0.1.1:0").await.unwrap();
    let far = UdpSocket::bind("127.0.1.2:0").await.unwrap();
    let to_near = relay(&http, &near, "127.1.1.1:0").await;
    let to_far = relay(&http, &far, "127.1.1.2:0").await;
    World { _server: server, http, near, far, to_near, to_far }
}

impl World {
    async fn set(&self, fault: Fault) {
        let () = self.http.post("/~fake/faults", &fault).await.unwrap();
    }

    /// Returns the counters of the relay to the far process.
    async fn stats(&self) -> RelayStats {
        let relays: Vec<RelayStats> = self.http.get("/~fake/books").await.unwrap();
        relays.into_iter().find(|b| b.link.listen == self.to_far).unwrap()
    }

    /// Waits until the relay to the far process has received `count` datagrams.
    async fn received(&self, count: u64) -> RelayStats {
        loop {
            match self.stats().await {
                stats if stats.count.received >= count => return stats,
                _ => tokio::task::yield_now().await,
            }
        }
    }
}

async fn take(socket: &UdpSocket) -> (Vec<u8>, SocketAddr) {
    let mut buf = vec![0; 2000];
    let (len, from) = socket.recv_from(&mut buf).await.unwrap();
    buf.truncate(len);
    (buf, from)
}

#[tokio::test]
async fn answers_come_back_from_the_relay() {
    let w = world().await;
    w.near.send_to(b"ask", w.to_far).await.unwrap();
    let (data, from) = take(&w.far).await;
    assert_eq!(data, b"ask");
    w.far.send_to(b"answer", from).await.unwrap();
    assert_eq!(take(&w.near).await, (b"answer".to_vec(), w.to_far));
}

struct Case {
    from: &'static str,
    to: &'static str,
    mirror: bool,
    cut: bool,
}

// A link between two VMs is cut. No datagram may pass until it is restored, including answers on
// a path that was open before; a fault of another pair of VMs must not affect this one.
#[rstest]
#[case::all(Case { from: "*", to: "*", mirror: false, cut: true })]
#[case::pair(Case { from: "127.0.1.1", to: "127.1.1.2", mirror: false, cut: true })]
#[case::prefix(Case { from: "127.0.1.", to: "127.1.", mirror: false, cut: true })]
#[case::other_source(Case { from: "127.0.1.3", to: "*", mirror: false, cut: false })]
#[case::other_target(Case { from: "127.0.1.1", to: "127.1.1.1", mirror: false, cut: false })]
#[case::reverse(Case { from: "127.0.1.2", to: "127.1.1.1", mirror: false, cut: false })]
#[case::mirrored(Case { from: "127.0.1.2", to: "127.1.1.1", mirror: true, cut: true })]
#[tokio::test]
async fn a_cut_link_delivers_nothing_until_healed(#[case] case: Case) {
    let w = world().await;
    w.near.send_to(b"before", w.to_far).await.unwrap();
    let (_, back) = take(&w.far).await;
    let (from, to) = (case.from.to_string(), case.to.to_string());
    w.set(Fault { from, to, cut: true, mirror: case.mirror, ..Fault::default() }).await;
    w.near.send_to(b"during", w.to_far).await.unwrap();
    w.far.send_to(b"answer", back).await.unwrap();
    let count = w.received(3).await.count;
    assert_eq!(count.cut, if case.cut { 2 } else { 0 });
    let () = w.http.json("DELETE", "/~fake/faults", &()).await.unwrap();
    w.near.send_to(b"after", w.to_far).await.unwrap();
    let first = take(&w.far).await.0;
    assert_eq!(first, if case.cut { b"after".to_vec() } else { b"during".to_vec() });
}

// A link becomes slow and is then cut. Datagrams in flight must be dropped: delivered later,
// they would reach a process to which the other side was reported as gone.
#[tokio::test]
async fn delayed_datagrams_keep_their_order_and_a_cut_drops_them() {
    let w = world().await;
    let slow = |delay_ms, cut| Fault {
        from: "*".to_string(),
        to: w.to_far.to_string(),
        delay_ms,
        cut,
        ..Fault::default()
    };
    w.set(slow(50, false)).await;
    for i in 0..100u8 {
        w.near.send_to(&[i], w.to_far).await.unwrap();
    }
    for i in 0..100u8 {
        assert_eq!(take(&w.far).await.0, [i]);
    }
    w.set(slow(500, false)).await;
    w.near.send_to(b"held", w.to_far).await.unwrap();
    w.received(101).await;
    w.set(slow(0, true)).await;
    while w.stats().await.count.cut == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let count = w.stats().await.count;
    assert_eq!((count.cut, count.delivered), (1, 100));
}

// A lossy link drops some datagrams and duplicates others. The counters include each one.
#[tokio::test]
async fn lost_and_duplicated_datagrams_are_counted() {
    let w = world().await;
    w.set(Fault {
        from: "127.0.1.1".to_string(),
        to: "*".to_string(),
        loss: 0.3,
        duplicate: 0.3,
        ..Fault::default()
    })
    .await;
    for i in 0..200u32 {
        w.near.send_to(&i.to_be_bytes(), w.to_far).await.unwrap();
        w.received(u64::from(i) + 1).await;
    }
    let count = w.stats().await.count;
    assert!(count.lost > 20 && count.doubled > 20, "{count:?}");
    assert_ne!(w.to_near, w.to_far);
    for _ in 0..200 - count.lost + count.doubled {
        take(&w.far).await;
    }
}
