//! A service whose overloaded servers ask for backoffs, used by a group of routers in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use policy::availability::{MAX_BACKOFF, MAX_RETURN_TIME, Obstacle, Register, Use, return_spread};
use policy::crash::Start;
use policy::pick::{Choice, Pace, pick};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

/// One way between a router and a server.
const DELAY: Duration = Duration::from_millis(1);

/// Longest time from the choice of a server until the request is sent, as it waits for a retry and a connection.
const MAX_SENDING_DELAY: Duration = Duration::from_millis(900);

/// Requests that a server runs at once, and those that wait there before it declines more.
const SLOTS: usize = 6;
const QUEUE: usize = 6;

/// Mean time of a run.
const RUN: Duration = Duration::from_millis(60);

/// Time from which on requests count that reach a server after it has asked for a backoff, and how many may.
const GRACE: Duration = Duration::from_millis(500);
const MAX_WITHIN: usize = 2;

/// Time until a caller gives up, and until which it waits for an answer.
const DEADLINE: Duration = Duration::from_millis(1500);

/// Servers that one request is sent to at most.
const MAX_TRIES: usize = 3;

const END: Duration = Duration::from_secs(40);

/// What a router does with requests after a backoff.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Return {
    /// Sends all of them again.
    AtOnce,
    /// Sends one, and more with each one that is answered.
    Gradual,
}

#[derive(Debug, Clone)]
struct Scenario {
    routers: usize,
    servers: usize,
    /// Requests a second of all callers.
    demand: f64,
    /// Periods in seconds in which servers decline, how many of them, and the ratio of the requests they decline.
    overloads: Vec<(f64, f64, usize, f64)>,
    /// Times in seconds that servers ask for.
    backoffs: Vec<f64>,
    /// Interval between two restarts of routers, and between two freezes.
    restarts: Option<Duration>,
    freezes: Option<Duration>,
    after: Return,
}

#[derive(Debug, Default, Clone)]
struct Outcome {
    /// Most requests of one router that reached a server within a backoff.
    within: usize,
    callers: usize,
    served: usize,
    /// Requests that servers declined.
    declined: usize,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller's request arrives at a router, or a router tries it again.
    Request {
        router: usize,
        caller: usize,
    },
    /// The connection to a server is established.
    Connected {
        router: usize,
        caller: usize,
        server: usize,
    },
    /// A request reaches a server.
    Arrival {
        router: usize,
        caller: usize,
        server: usize,
        epoch: u32,
        counted: bool,
    },
    /// A run ends.
    Done {
        router: usize,
        caller: usize,
        server: usize,
        epoch: u32,
        counted: bool,
    },
    /// An answer reaches a router: served, or declined with a backoff in milliseconds.
    Answer {
        router: usize,
        caller: usize,
        server: usize,
        epoch: u32,
        counted: bool,
        declined: Option<u64>,
    },
    Restart {
        router: usize,
    },
    Freeze {
        router: usize,
    },
}

#[derive(Debug, Clone, Default)]
struct Router {
    register: Register,
    running: Vec<u32>,
    pace: Vec<Pace>,
    /// Number of restarts.
    epoch: u32,
    /// Until when it is frozen.
    frozen: Duration,
    /// Ends of restarts and freezes, which excuse it.
    disturbed: Vec<Duration>,
}

#[derive(Debug, Clone, Default)]
struct Server {
    running: usize,
    waiting: std::collections::VecDeque<(usize, usize, u32, bool)>,
    /// By router: times of its requests, and of the refusals it got with the backoff.
    arrivals: Vec<Vec<Duration>>,
    refusals: Vec<Vec<(Duration, Duration)>>,
}

#[derive(Debug, Clone)]
struct Caller {
    arrived: Duration,
    tried: Vec<usize>,
    came_back: bool,
    answered: bool,
}

struct Play<'a> {
    scenario: &'a Scenario,
    rng: Pcg64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    pushed: u64,
    routers: Vec<Router>,
    servers: Vec<Server>,
    callers: Vec<Caller>,
    outcome: Outcome,
}

fn start(server: usize) -> Start {
    Start { id: format!("desk-{server}"), born: 1_000 }
}

impl Play<'_> {
    fn push(&mut self, at: Duration, event: Event) {
        self.pushed += 1;
        self.events.push(Reverse((at, self.pushed, event)));
    }

    fn obstacle(&self, router: usize, server: usize, now: Duration) -> Option<Obstacle> {
        let id = start(server);
        let found = self.routers[router].register.obstacle(&id.id, id.born, Use::Direct, now);
        found.filter(|o| *o != Obstacle::Return || self.scenario.after == Return::Gradual)
    }

    /// Disturbs one of the routers after each interval.
    fn disturb(&mut self, interval: Option<Duration>, event: fn(usize) -> Event) {
        let Some(interval) = interval else { return };
        let mut at = interval;
        while at < END {
            let router = self.rng.random_range(0..self.scenario.routers);
            self.push(at, event(router));
            at += interval;
        }
    }

    /// Chooses a server for a request, or refuses it.
    fn dispatch(&mut self, now: Duration, router: usize, caller: usize) {
        if self.callers[caller].answered || now >= self.callers[caller].arrived + DEADLINE {
            return;
        }
        let tried = self.callers[caller].tried.clone();
        let servers = 0..self.scenario.servers;
        let free: Vec<usize> = servers
            .filter(|s| !tried.contains(s) && self.obstacle(router, *s, now).is_none())
            .collect();
        let choices: Vec<Choice> = free
            .iter()
            .map(|s| Choice {
                running: self.routers[router].running[*s],
                slots: SLOTS as u32,
                pace: self.routers[router].pace[*s],
                near: true,
            })
            .collect();
        match pick(&choices, &mut self.rng) {
            Some(at) if tried.len() < MAX_TRIES => {
                let connect = MAX_SENDING_DELAY.mul_f64(self.rng.random::<f64>().powi(20));
                self.push(now + connect, Event::Connected { router, caller, server: free[at] });
            }
            _ => self.refuse_for_backoffs(now, router, caller),
        }
    }

    fn refuse_for_backoffs(&mut self, now: Duration, router: usize, caller: usize) {
        let register = &self.routers[router].register;
        let ends = (0..self.scenario.servers).filter_map(|s| {
            let id = start(s);
            let end = register.backoff_end(&id.id, id.born, Use::Direct, now);
            end.or_else(|| register.obstacle(&id.id, id.born, Use::Direct, now).map(|_| now + RUN))
        });
        let wait = ends.min().map_or(Duration::from_secs(1), |end| end.saturating_sub(now));
        self.refuse(now, caller, wait);
    }

    /// The caller comes back once, after the time that it is told or a third of the time that it has left.
    fn refuse(&mut self, now: Duration, caller: usize, retry_after: Duration) {
        let left = (self.callers[caller].arrived + DEADLINE).saturating_sub(now);
        if !std::mem::replace(&mut self.callers[caller].came_back, true) {
            self.callers[caller].tried.clear();
            let router = self.rng.random_range(0..self.scenario.routers);
            let spread =
                return_spread(retry_after, self.scenario.routers as u32, self.rng.random());
            let at = now + (retry_after + spread).min(left / 3) + DELAY * 2;
            self.push(at, Event::Request { router, caller });
        }
    }

    fn arrive(&mut self, now: Duration, event: (usize, usize, usize, u32, bool)) {
        let (router, caller, server, epoch, counted) = event;
        let overloaded = self.scenario.overloads.iter().any(|(from, to, servers, ratio)| {
            let at = now.as_secs_f64();
            (*from..*to).contains(&at) && server < *servers && self.rng.random_bool(*ratio)
        });
        self.servers[server].arrivals[router].push(now);
        if overloaded || self.servers[server].waiting.len() >= QUEUE {
            let seconds =
                self.scenario.backoffs[self.rng.random_range(0..self.scenario.backoffs.len())];
            self.outcome.declined += 1;
            self.servers[server].refusals[router].push((now, Duration::from_secs_f64(seconds)));
            let declined = Some((seconds * 1e3) as u64);
            let answer = Event::Answer { router, caller, server, epoch, counted, declined };
            return self.push(now + DELAY, answer);
        }
        self.servers[server].waiting.push_back((router, caller, epoch, counted));
        self.run_next(now, server);
    }

    fn run_next(&mut self, now: Duration, server: usize) {
        if self.servers[server].running >= SLOTS {
            return;
        }
        let Some((router, caller, epoch, counted)) = self.servers[server].waiting.pop_front()
        else {
            return;
        };
        self.servers[server].running += 1;
        let time = RUN.mul_f64(self.rng.random_range(0.7..1.3));
        self.push(now + time, Event::Done { router, caller, server, epoch, counted });
    }

    fn handle(&mut self, now: Duration, event: Event) {
        match event {
            Event::Request { router, .. }
            | Event::Connected { router, .. }
            | Event::Answer { router, .. }
                if now < self.routers[router].frozen =>
            {
                self.push(self.routers[router].frozen, event);
            }
            Event::Request { router, caller } => self.dispatch(now, router, caller),
            Event::Connected { router, caller, server } => {
                let id = start(server);
                let gradual = self.scenario.after == Return::Gradual;
                if self.obstacle(router, server, now).is_some() {
                    return self.dispatch(now, router, caller);
                }
                let register = &mut self.routers[router].register;
                let counted =
                    gradual && register.admit(&id.id, id.born, Use::Direct, now) == Ok(true);
                self.callers[caller].tried.push(server);
                self.routers[router].running[server] += 1;
                let epoch = self.routers[router].epoch;
                self.push(now + DELAY, Event::Arrival { router, caller, server, epoch, counted });
            }
            Event::Arrival { router, caller, server, epoch, counted } => {
                self.arrive(now, (router, caller, server, epoch, counted));
            }
            Event::Done { router, caller, server, epoch, counted } => {
                self.servers[server].running -= 1;
                self.run_next(now, server);
                let answer =
                    Event::Answer { router, caller, server, epoch, counted, declined: None };
                self.push(now + DELAY, answer);
            }
            Event::Answer { router, epoch, .. } if epoch != self.routers[router].epoch => {}
            Event::Answer { router, caller, server, counted, declined, .. } => {
                let id = start(server);
                let (routers, phase) = (self.scenario.routers as u32, self.rng.random());
                let state = &mut self.routers[router];
                state.running[server] -= 1;
                if counted {
                    let served_at = declined.is_none().then_some(now);
                    state.register.settle(&id.id, id.born, served_at);
                }
                match declined {
                    None => {
                        state.pace[server].add(RUN.as_secs_f64() * 1e3);
                        let answered = std::mem::replace(&mut self.callers[caller].answered, true);
                        let in_time = now <= self.callers[caller].arrived + DEADLINE;
                        self.outcome.served += usize::from(!answered && in_time);
                    }
                    Some(ms) => {
                        let time = Duration::from_millis(ms);
                        state.register.back_off(&id, Use::Path, time, now, routers, phase);
                        self.dispatch(now, router, caller);
                    }
                }
            }
            Event::Restart { router } => {
                let state = &mut self.routers[router];
                state.register = Register::default();
                state.running.iter_mut().for_each(|running| *running = 0);
                state.epoch += 1;
                state.disturbed.push(now);
            }
            Event::Freeze { router } => {
                let state = &mut self.routers[router];
                state.frozen = now + Duration::from_millis(1200);
                state.disturbed.push(now);
                state.disturbed.push(state.frozen);
            }
        }
    }

    /// Counts the requests that reached servers within backoffs, except those of disturbed routers.
    fn count_within(&mut self) {
        for server in &self.servers {
            for (router, refusals) in server.refusals.iter().enumerate() {
                for (at, time) in refusals {
                    let disturbed = &self.routers[router].disturbed;
                    if disturbed.iter().any(|d| *d + GRACE > *at && *d < *at + *time) {
                        continue;
                    }
                    let span = *at + GRACE..*at + *time;
                    let within =
                        server.arrivals[router].iter().filter(|a| span.contains(a)).count();
                    self.outcome.within = self.outcome.within.max(within);
                }
            }
        }
    }
}

fn simulate(scenario: &Scenario, seed: u64) -> Outcome {
    let (routers, servers) = (scenario.routers, scenario.servers);
    let router = Router {
        running: vec![0; servers],
        pace: vec![Pace::default(); servers],
        ..Router::default()
    };
    let server = Server {
        arrivals: vec![vec![]; routers],
        refusals: vec![vec![]; routers],
        ..Server::default()
    };
    let mut play = Play {
        scenario,
        rng: Pcg64::seed_from_u64(seed),
        events: BinaryHeap::new(),
        pushed: 0,
        routers: vec![router; routers],
        servers: vec![server; servers],
        callers: Vec::new(),
        outcome: Outcome::default(),
    };
    let mut at = Duration::ZERO;
    while at < END - DEADLINE {
        at += Duration::from_secs_f64(-play.rng.random::<f64>().max(1e-9).ln() / scenario.demand);
        let (router, caller) = (play.rng.random_range(0..routers), play.callers.len());
        play.callers.push(Caller {
            arrived: at,
            tried: Vec::new(),
            came_back: false,
            answered: false,
        });
        play.push(at, Event::Request { router, caller });
    }
    play.disturb(scenario.restarts, |router| Event::Restart { router });
    play.disturb(scenario.freezes, |router| Event::Freeze { router });
    play.outcome.callers = play.callers.len();
    while let Some(Reverse((now, _, event))) = play.events.pop() {
        if now < END {
            play.handle(now, event);
        }
    }
    play.count_within();
    play.outcome
}

const DEFAULT: Scenario = Scenario {
    routers: 5,
    servers: 3,
    demand: 120.0,
    overloads: Vec::new(),
    backoffs: Vec::new(),
    restarts: None,
    freezes: None,
    after: Return::Gradual,
};

/// Sums the outcomes of ten seeds.
fn simulate_all(scenario: &Scenario) -> Outcome {
    (0..10).map(|seed| simulate(scenario, seed)).fold(Outcome::default(), |sum, one| Outcome {
        within: sum.within.max(one.within),
        callers: sum.callers + one.callers,
        served: sum.served + one.served,
        declined: sum.declined + one.declined,
    })
}

/// Periods in which the first servers decline seven in ten requests.
fn overloads(servers: usize) -> Vec<(f64, f64, usize, f64)> {
    vec![(5.0, 17.0, servers, 0.7), (25.0, 37.0, servers, 0.7)]
}

/// Guards against requests that reach a server within the backoff that it has asked for, whatever happens between the
/// choice of the server and the sending.
#[rstest]
#[case::short(&[0.5, 0.7, 1.0])]
#[case::mixed(&[1.0, 2.0, 3.0, 4.0])]
#[case::long(&[3.0, 20.0])]
fn backoffs_are_kept(
    #[case] backoffs: &[f64],
    #[values(1, 5, 20, 68)] routers: usize,
    #[values(1, 3)] overloaded: usize,
) {
    let (overloads, backoffs) = (overloads(overloaded), backoffs.to_vec());
    let scenario = Scenario {
        routers,
        overloads,
        backoffs,
        restarts: Some(Duration::from_millis(1900)),
        freezes: Some(Duration::from_millis(2700)),
        ..DEFAULT
    };
    let outcome = simulate_all(&scenario);
    assert!(outcome.within <= MAX_WITHIN, "{outcome:?}");
    assert!(outcome.declined > 0);
}

/// Guards against callers that are refused although the servers that work could serve them.
#[rstest]
fn other_servers_serve_all(#[values(1, 5, 20, 68)] routers: usize) {
    let backoffs = vec![1.0, 2.0, 3.0, 4.0];
    let scenario = Scenario { routers, overloads: overloads(1), backoffs, ..DEFAULT };
    let outcome = simulate_all(&scenario);
    let ratio = outcome.served as f64 / outcome.callers as f64;
    assert!(ratio >= 0.99, "{ratio:.3} {outcome:?}");
}

/// Guards against a return of all requests at once, which overloads the servers again.
#[rstest]
fn a_gradual_return_serves_more(#[values(1, 5)] routers: usize) {
    let spikes = [5.0, 15.0, 25.0].map(|at| (at, at + 0.3, 2, 1.0)).to_vec();
    let gradual = Scenario {
        routers,
        servers: 2,
        demand: 140.0,
        overloads: spikes,
        backoffs: vec![3.0],
        ..DEFAULT
    };
    let at_once = Scenario { after: Return::AtOnce, ..gradual.clone() };
    let (gradual, at_once) = (simulate_all(&gradual), simulate_all(&at_once));
    assert!(gradual.served > at_once.served, "{gradual:?} {at_once:?}");
    assert!(gradual.declined < at_once.declined, "{gradual:?} {at_once:?}");
}

/// Guards against a server that is hardly used because its first request after a backoff takes long.
#[test]
fn a_return_ends_in_time() {
    let mut register = Register::default();
    let (server, time, now) = (start(1), Duration::from_secs(1), Duration::from_secs(5));
    register.back_off(&server, Use::Path, time, now, 1, 0.0);
    let mut admit = |at| register.admit(&server.id, server.born, Use::Direct, at);
    assert_eq!(admit(now + time), Ok(true));
    assert_eq!(admit(now + time + MAX_RETURN_TIME / 2), Err(Obstacle::Return));
    assert_eq!(admit(now + time + MAX_RETURN_TIME), Ok(true));
}

/// Guards against a server that is never used again because of one answer, and against overflows.
#[test]
fn no_backoff_lasts_for_ever() {
    let mut register = Register::default();
    let (server, now) = (start(1), Duration::from_secs(5));
    register.back_off(&server, Use::Path, Duration::MAX, now, 68, 1.0);
    let at = |time| register.obstacle(&server.id, server.born, Use::Direct, now + time);
    assert_eq!(at(MAX_BACKOFF), Some(Obstacle::Backoff));
    assert_eq!(at(MAX_BACKOFF * 2), None);
}

/// Guards against memory that grows with each start of a server, and against forgetting the latest ones.
#[test]
fn the_latest_starts_are_remembered() {
    let mut register = Register::default();
    let starts = (0..5_000).map(|born| Start { id: "desk-1".to_owned(), born });
    for (second, start) in (0..).zip(starts) {
        register.leave(&start, Duration::from_secs(second));
    }
    assert!(register.is_leaving("desk-1", 4_999) && register.is_leaving("desk-1", 4_000));
    assert!(!register.is_leaving("desk-1", 0));
}
