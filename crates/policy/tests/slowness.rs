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
    probes: Vec<usize>,
    paths: Vec<Vec<usize>>,
    random: Pcg64,
    now: Duration,
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
            probes: Vec::new(),
            paths: (0..streams).map(|_| path()).collect(),
            random: Pcg64::seed_from_u64(seed + 1),
            now: Duration::ZERO,
        }
    }

    /// Runs for some time; `load` lengthens all passes.
    fn run(&mut self, time: Duration, load: f64) {
        let until = self.now + time;
        let mut due: Vec<(Duration, f64)> = vec![(self.now, 0.0); self.paths.len()];
        while self.now < until {
            let next = (0..due.len()).min_by_key(|i| due[*i].0).unwrap();
            self.now = due[next].0;
            let path = self.paths[next].clone();
            if due[next].1 > 0.0 {
                let known = path.iter().map(|i| self.known[*i]).sum::<f64>() * PASS_MS;
                let nominal_ms = PASS_MS * PATH as f64;
                let observed =
                    Observed { pause_ms: due[next].1, nominal_ms, known_ms: known, goal_ms: 250.0 };
                let pause = self.usual.record(&observed);
                for i in &path {
                    self.evidence[*i].record(pause, self.known[*i] > 1.3, self.now);
                }
                self.probe();
            }
            let noise = self.random.random_range(0.8..1.2) * load;
            let pause = path.iter().map(|i| self.real[*i]).sum::<f64>() * PASS_MS * noise;
            due[next] = (self.now + Duration::from_secs_f64(pause / 1e3), pause);
        }
    }

    fn probe(&mut self) {
        let servers = (0..SERVERS).map(|i| (i, self.evidence[i], self.known[i] > 1.3));
        for i in suspects(servers, self.now, 4) {
            self.probes.push(i);
            self.evidence[i].probed(self.now);
            if (self.known[i] - self.real[i]).abs() > 0.3 {
                self.known[i] = self.real[i];
                self.evidence[i].settled(self.now);
            }
        }
    }
}

/// Guards against slow servers that are found only by a survey of all, and against recovered ones that stay avoided.
#[rstest]
fn slow_servers_are_found_and_found_to_recover(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut router = Router::new(60, seed);
    router.run(Duration::from_secs(10), 1.0);
    assert_eq!(router.probes, [] as [usize; 0]);
    let slow: Vec<usize> = (0..SERVERS).step_by(28).collect();
    slow.iter().for_each(|i| router.real[*i] = 12.0);
    router.run(Duration::from_millis(1000), 1.0);
    assert!(slow.iter().all(|i| router.known[*i] == 12.0), "{:?}", router.probes);
    assert!(router.probes.len() <= 40, "{} probes", router.probes.len());
    slow.iter().for_each(|i| router.real[*i] = 1.0);
    router.run(Duration::from_millis(1500), 1.0);
    assert!(router.known.iter().all(|slowdown| *slowdown == 1.0));
}

/// Guards against probing all servers again and again while load lengthens all pauses and no server is slow.
#[test]
fn load_causes_few_probes() {
    let mut router = Router::new(60, 7);
    router.run(Duration::from_secs(10), 1.0);
    router.run(Duration::from_secs(10), 3.0);
    assert!(router.probes.len() < 6 * SERVERS, "{} probes", router.probes.len());
}

/// Guards against probes and moves of streams without a bound.
#[test]
fn a_bucket_bounds_a_rate() {
    let mut bucket = Bucket::new(4.0, 6.0);
    let taken = (0..1000).filter(|n| bucket.take(Duration::from_millis(n * 10))).count();
    assert!((60..=65).contains(&taken), "{taken}");
}
