//! Several routers and three servers in virtual time, with notices that arrive late.

use std::collections::VecDeque;
use std::time::Duration;

use policy::crash::Start;
use policy::failure::{Change, Context, Report, Service, Treatment};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

/// Routes of the service: failure ratio, and requests per second. Reads may be repeated.
const ROUTES: [(&str, bool, f64); 2] = [("write", false, 24.5), ("read", true, 9.8)];
const SERVERS: usize = 3;
const NOTICE_DELAY: Duration = Duration::from_millis(40);

/// A service under steady load.
struct Play {
    routers: Vec<Service>,
    random: Pcg64,
    /// Failure ratio of each route on a sound server.
    usual: [f64; 2],
    /// Start of each server.
    born: [u64; SERVERS],
    /// Factor on the rates of the routes.
    load: f64,
    /// A router to whose requests all servers seem to fail.
    blind: Option<usize>,
    notices: VecDeque<(Duration, usize, Start, f64)>,
    seen: Seen,
}

#[derive(Default)]
struct Seen {
    /// Requests of each route at each server, and those that failed.
    sent: [[u32; 2]; SERVERS],
    failed: [[u32; 2]; SERVERS],
    /// Sum of the ejections by routers whose own link is sound.
    held: Duration,
    common_cause: u32,
    notices: u32,
}

impl Play {
    fn new(routers: usize, usual: [f64; 2], seed: u64) -> Play {
        let (routers, random) = (vec![Service::default(); routers], Pcg64::seed_from_u64(seed));
        let (notices, seen) = (VecDeque::new(), Seen::default());
        Play { routers, random, usual, born: [1; SERVERS], load: 1.0, blind: None, notices, seen }
    }

    fn context(&mut self, now: Duration) -> Context {
        let (routers, random) = (self.routers.len() as u32, self.random.random());
        Context { now, routers, servers: SERVERS, random }
    }

    fn start(&self, server: usize) -> Start {
        Start { id: server.to_string(), born: self.born[server] }
    }

    fn note(&mut self, router: usize, change: Option<Change>) {
        match change {
            Some(Change::Ejected { hold, .. }) if self.blind != Some(router) => {
                self.seen.held += hold;
            }
            Some(Change::CommonCause) => self.seen.common_cause += 1,
            Some(Change::Ejected { .. } | Change::Returns) | None => {}
        }
    }

    fn deliver(&mut self, now: Duration) {
        while let Some((_, from, start, evidence)) = self.notices.pop_front_if(|n| n.0 <= now) {
            for to in (0..self.routers.len()).filter(|to| *to != from) {
                let context = self.context(now);
                let report = Report { router: &from.to_string(), evidence };
                let change = self.routers[to].receive(&start, report, context);
                self.note(to, change);
            }
        }
    }

    fn choose(&mut self, router: usize, repeatable: bool, now: Duration) -> usize {
        let first = self.random.random_range(0..SERVERS);
        let order = (0..SERVERS).map(|n| (first + n) % SERVERS);
        let used = |s| (s, self.routers[router].treatment(&self.start(s), repeatable, now));
        let treatments: Vec<(usize, Treatment)> = order.map(used).collect();
        if let Some((server, _)) = treatments.iter().find(|(_, t)| *t == Treatment::Probe) {
            let start = self.start(*server);
            self.routers[router].probe(&start, now);
            return *server;
        }
        let takes = treatments.iter().find(|(_, treatment)| match treatment {
            Treatment::Normal | Treatment::Probe => true,
            Treatment::Share(share) => self.random.random::<f64>() < *share,
            Treatment::Avoid => false,
        });
        takes.map_or(first, |(server, _)| *server)
    }

    /// Runs the load from `from` until `to`; `failing` is the failure ratio of each server, if not the usual one.
    fn run(&mut self, from: f64, to: f64, failing: [Option<f64>; SERVERS]) {
        let rate: f64 = ROUTES.iter().map(|route| route.2).sum();
        let mut at = from;
        loop {
            at -= (1.0 - self.random.random::<f64>()).ln() / (rate * self.load);
            if at >= to {
                return;
            }
            let now = Duration::from_secs_f64(at);
            self.deliver(now);
            let route = usize::from(self.random.random::<f64>() * rate > ROUTES[0].2);
            let router = self.random.random_range(0..self.routers.len());
            let server = self.choose(router, ROUTES[route].1, now);
            let ratio = failing[server].unwrap_or(self.usual[route]);
            let ratio = if self.blind == Some(router) { 1.0 } else { ratio };
            let failed = self.random.random::<f64>() < ratio;
            self.seen.sent[server][route] += 1;
            self.seen.failed[server][route] += u32::from(failed);
            let (start, context) = (self.start(server), self.context(now));
            let effect = self.routers[router].record(&start, ROUTES[route].0, failed, context);
            self.note(router, effect.change);
            if let Some(evidence) = effect.notify {
                self.seen.notices += 1;
                self.notices.push_back((now + NOTICE_DELAY, router, start, evidence));
            }
        }
    }

    /// Runs a sound service for half a minute, in which routers learn its usual ratios, and returns its play.
    fn warm(routers: usize, seed: u64) -> Play {
        let mut play = Play::new(routers, [0.004, 0.004], seed);
        play.run(0.0, 30.0, [None; SERVERS]);
        play.seen = Seen::default();
        play
    }

    /// Runs a sound service and returns the share of its requests that the first server gets.
    fn share(&mut self, from: f64, to: f64) -> f64 {
        self.seen = Seen::default();
        self.run(from, to, [None; SERVERS]);
        f64::from(sum(&self.seen.sent[..1])) / f64::from(sum(&self.seen.sent))
    }
}

fn sum(counts: &[[u32; 2]]) -> u32 {
    counts.iter().flatten().sum()
}

/// Guards against a server that fails at once and gets requests for as long as it does.
#[rstest]
fn a_failing_server_gets_few_requests(#[values(1, 12, 27)] routers: usize) {
    let (mut failed, mut writes, mut arrived, mut share) = (0, 0, 0, 0.0);
    for seed in 0..20 {
        let mut play = Play::warm(routers, seed);
        play.run(30.0, 36.0, [Some(1.0), None, None]);
        let here = sum(&play.seen.failed[..1]);
        assert!(here <= 15, "seed {seed}: {here} requests failed");
        failed += here;
        writes += play.seen.failed[0][0];
        arrived += play.seen.sent.iter().map(|sent| sent[0]).sum::<u32>();
        play.run(36.0, 60.0, [None; SERVERS]);
        share += play.share(60.0, 70.0) / 20.0;
    }
    let ratio = f64::from(writes) / f64::from(arrived);
    println!(
        "{routers} routers: {failed} failed, {ratio:.4} of the writes, then {share:.3} of all"
    );
    assert!(ratio <= 0.02, "{ratio} of the writes failed");
    assert!(share > 0.28, "the server gets {share} of the requests again");
}

/// Guards against the ejection of sound servers by a usual failure ratio that is high on all of them.
#[rstest]
fn a_usual_failure_ratio_ejects_nothing_for_long(#[values(1, 12, 27)] routers: usize) {
    let mut ratio = 0.0;
    for seed in 0..10 {
        let mut play = Play::new(routers, [0.14, 0.004], seed);
        play.run(0.0, 120.0, [None; SERVERS]);
        ratio += play.seen.held.as_secs_f64() / (10.0 * 120.0 * (routers * SERVERS) as f64);
    }
    println!("{routers} routers: ejected for {ratio:.4} of the time");
    assert!(ratio < 0.02, "ejected for {ratio} of the time");
}

/// Guards against a service whose servers are all ejected when all of them fail, and against a flood of notices then.
#[rstest]
fn no_service_is_ejected_whole(#[values(1, 12, 27)] routers: usize) {
    let mut play = Play::warm(routers, 1);
    play.load = 10.0;
    for n in 0..40 {
        let at = 30.0 + f64::from(n) / 4.0;
        play.run(at, at + 0.25, [Some(1.0); SERVERS]);
        assert!(play.routers.iter().all(|router| router.ejected().count() <= 1));
    }
    let told = play.seen.notices;
    println!("{routers} routers: {told} notices in 10 s");
    assert!(play.seen.common_cause > 0);
    assert!(told <= 25 * 10, "{told} notices in 10 s");
    play.load = 1.0;
    play.run(40.0, 70.0, [None; SERVERS]);
    let share = play.share(70.0, 80.0);
    assert!(share > 0.2, "a server gets {share} of the requests");
    assert!((0..SERVERS).all(|s| 5 * sum(&play.seen.sent[s..=s]) > sum(&play.seen.sent)));
}

/// Guards against a server that fails every other moment and is trusted again each time it answers.
#[test]
fn a_flapping_server_is_ejected_for_longer() {
    let mut play = Play::warm(12, 1);
    for n in 0..10 {
        let at = 30.0 + 6.0 * f64::from(n);
        play.run(at, at + 3.0, [Some(1.0), None, None]);
        play.run(at + 3.0, at + 6.0, [None; SERVERS]);
    }
    let failed = sum(&play.seen.failed[..1]);
    println!("{failed} failed in ten times three seconds");
    assert!(failed <= 80, "{failed} requests failed");
}

/// Guards against the evidence of a former start that holds for a new one.
#[test]
fn a_new_start_is_trusted() {
    let mut play = Play::warm(12, 1);
    play.run(30.0, 32.0, [Some(1.0), None, None]);
    play.born[0] = 2;
    assert!(play.share(32.0, 34.0) > 0.2);
}

/// Guards against a router whose own link is at fault and that takes out sound servers for all others.
#[test]
fn one_router_ejects_nothing_for_the_others() {
    let mut play = Play::warm(12, 1);
    play.blind = Some(3);
    play.run(30.0, 60.0, [None; SERVERS]);
    let ratio = play.seen.held.as_secs_f64() / (30.0 * (11 * SERVERS) as f64);
    println!("ejected for {ratio:.4} of the time");
    assert!(ratio < 0.05, "ejected for {ratio} of the time");
}
