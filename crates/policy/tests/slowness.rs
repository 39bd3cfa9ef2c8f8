//! Servers that become slow and recover, found from the pauses of streams, in virtual time.

use std::time::Duration;

use policy::slowness::{Bucket, Evidence, Observed, Usual, suspects};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

const SERVERS: usize = 56;
const PATH: usize = 7;
const PASS_MS: f64 = 8.0;

/// One router with some streams; each step is one event of one stream.
struct Router {
    usual: Usual,
    evidence: Vec<Evidence>,
    /// Slowdowns as they are, and as the router knows them.
    real: Vec<f64>,
    known: Vec<f64>,
    /// Slowdowns as the servers report them.
    reported: Vec<f64>,
    probes: Vec<usize>,
    paths: Vec<Vec<usize>>,
    random: Pcg64,
    now: Duration,
    /// When the next event of each stream is due, and the pause before it.
    due: Vec<(Duration, f64)>,
    bucket: Bucket,
}

impl Router {
    fn new(streams: usize, seed: u64) -> Router {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut path = || (0..PATH).map(|i| i * 8 + random.random_range(0..8)).collect();
        Router {
            usual: Usual::default(),
            evidence: vec![Evidence::default(); SERVERS],
            real: vec![1.0; SERVERS],
            known: vec![1.0; SERVERS],
            reported: vec![1.0; SERVERS],
            probes: Vec::new(),
            paths: (0..streams).map(|_| path()).collect(),
            random: Pcg64::seed_from_u64(seed + 1),
            now: Duration::ZERO,
            due: vec![(Duration::ZERO, 0.0); streams],
            bucket: Bucket::new(8.0, 6.0),
        }
    }

    /// Runs for some time; `load` lengthens all passes.
    fn run(&mut self, time: Duration, load: f64) {
        let until = self.now + time;
        loop {
            let next = (0..self.due.len()).min_by_key(|i| self.due[*i].0).unwrap();
            if self.due[next].0 >= until {
                self.now = until;
                return;
            }
            self.now = self.due[next].0;
            let path = self.paths[next].clone();
            if self.due[next].1 > 0.0 {
                let known = path.iter().map(|i| self.known[*i]).sum::<f64>() * PASS_MS;
                let nominal_ms = PASS_MS * PATH as f64;
                let observed = Observed {
                    pause_ms: self.due[next].1,
                    nominal_ms,
                    known_ms: known,
                    goal_ms: 250.0,
                };
                let pause = self.usual.record(&observed);
                for i in &path {
                    self.evidence[*i].record(pause, self.known[*i] > 1.3, self.now);
                }
                self.probe();
            }
            let noise = self.random.random_range(0.8..1.2) * load;
            let pause = path.iter().map(|i| self.real[*i]).sum::<f64>() * PASS_MS * noise;
            self.due[next] = (self.now + Duration::from_secs_f64(pause / 1e3), pause);
        }
    }

    fn probe(&mut self) {
        let servers = (0..SERVERS).map(|i| (i, self.evidence[i], self.known[i] > 1.3));
        for i in suspects(servers, self.now, 4) {
            if !self.bucket.take(self.now) {
                return;
            }
            self.probes.push(i);
            self.evidence[i].probed(self.now);
            if (self.known[i] - self.reported[i]).abs() > 0.3 {
                self.learn(i, self.reported[i]);
            }
        }
    }

    /// Learns a slowdown from a report or a notice.
    fn learn(&mut self, server: usize, slowdown: f64) {
        self.known[server] = slowdown;
        self.evidence[server].settled(self.now);
    }
}

/// Guards against a slowdown that the routers of a large deployment know too late, and against servers that count as slow
/// once they have recovered: 27 routers with 15 streams each,
/// reports that lag by 150 ms and notices that take 50 ms.
#[rstest]
fn all_routers_know_slow_servers_soon(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut routers: Vec<Router> = (0..27).map(|n| Router::new(15, seed * 100 + n)).collect();
    routers.iter_mut().for_each(|r| r.run(Duration::from_secs(10), 1.0));
    assert!(routers.iter().all(|r| r.probes.is_empty()));
    let slow: Vec<usize> = (0..SERVERS).step_by(7).collect();
    let slice = Duration::from_millis(10);
    let mut notices: Vec<(u32, usize)> = Vec::new();
    let mut found_after = None;
    for step in 0..100 {
        for router in &mut routers {
            slow.iter().for_each(|i| router.real[*i] = 12.0);
            if step == 15 {
                slow.iter().for_each(|i| router.reported[*i] = 12.0);
            }
            for (_, server) in notices.iter().filter(|(due, _)| *due == step) {
                router.learn(*server, 12.0);
            }
            let before = router.known.clone();
            router.run(slice, 1.0);
            let new = (0..SERVERS).filter(|i| router.known[*i] > before[*i]);
            notices.extend(new.map(|i| (step + 5, i)));
        }
        if found_after.is_none() && routers.iter().all(|r| slow.iter().all(|i| r.known[*i] > 1.3)) {
            found_after = Some(step * 10);
        }
    }
    let probes: usize = routers.iter().map(|r| r.probes.len()).sum();
    assert!(found_after.is_some_and(|ms| ms <= 500), "{found_after:?} ms, {probes} probes");
    assert!(probes <= 27 * 8, "{probes} probes");
    for router in &mut routers {
        slow.iter().for_each(|i| (router.real[*i], router.reported[*i]) = (1.0, 1.0));
        router.run(Duration::from_millis(1500), 1.0);
    }
    // A router without streams through a server learns of it from the others.
    let recovered = |i: &usize| routers.iter().filter(|r| r.known[*i] == 1.0).count();
    assert!(slow.iter().all(|i| recovered(i) >= 5));
}

/// Guards against probing all servers again and again while load lengthens all pauses and no server is slow.
#[test]
fn load_causes_few_probes() {
    let mut router = Router::new(60, 7);
    router.run(Duration::from_secs(10), 1.0);
    router.run(Duration::from_secs(10), 3.0);
    assert!(router.probes.len() < 40, "{} probes", router.probes.len());
}
