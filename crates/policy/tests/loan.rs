//! Routers that lend each other retries, without a network.

use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use policy::loan::{Borrower, LENDER_BACKOFF, Loan, Request, Round};
use policy::window::{Budget, Handover, Need, Predecessor};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use rstest::rstest;

const RATIO: f64 = 0.2;
const SLACK: f64 = 196.0;
const WINDOW: Duration = Duration::from_secs(10);
const MS: Duration = Duration::from_millis(1);

/// When streams begin to break off, and when the simulation ends.
const NEEDS_START: Duration = Duration::from_secs(25);
const SIMULATION_END: Duration = Duration::from_secs(60);

/// Time after its start at which a router knows the other routers.
const JOIN_DELAY: Duration = Duration::from_millis(300);

/// When the first router is restarted.
const RESTART_START: Duration = Duration::from_secs(29);

/// Until when streams break off in a simulation of a restart only, before a whole window has passed.
const BEFORE_NEXT_WINDOW: Duration = Duration::from_secs(38);

/// Time after which heavy use is known to routers that start, and for which it counts.
const HEAVY_USE_DELAY: Duration = Duration::from_millis(50);
const HEAVY_USE_LIFETIME: Duration = Duration::from_secs(24);

/// Time for which a process that is stopping still serves its streams.
const STOP_TIME: Duration = Duration::from_secs(3);

/// Time for which the streams of one router break off in a loss.
const LOSS_TIME: Duration = Duration::from_secs(2);

/// Time for which a router waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);

/// How the handover of a process is delivered to the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    /// It is available at the start.
    Ready,
    /// It arrives some time after the start.
    Late(Duration),
    /// It does not arrive.
    Lost,
    /// The time between the two processes is not known, and the handover is ignored.
    Undated,
    /// The process after the next one receives it as well.
    Twice,
}

/// A rolling restart: processes are stopped, one router after the other, and replaced by new ones.
#[derive(Debug, Clone, Copy)]
struct Rolling {
    /// Time between two routers.
    every: Duration,
    /// Time from the end of a process to the start of the next one.
    gap: Duration,
    /// Whether callers move to other routers meanwhile.
    moves: bool,
    /// Whether processes end at all, or only their callers move.
    ends: bool,
    delivery: Delivery,
    /// Time after which the new process is killed and replaced by another one.
    killed: Option<Duration>,
}

/// A group of routers with callers.
#[derive(Clone)]
struct Scenario {
    routers: usize,
    /// Requests a second of each router's callers.
    requests: f64,
    /// Routers whose streams break off.
    needy: usize,
    /// How many streams of each of them break off at once, and at which interval.
    needs: (usize, Duration),
    /// Until when streams break off.
    until: Duration,
    /// Longest transit time of a request or an answer.
    late: Duration,
    /// Ratio of the requests and answers that are lost.
    lost: f64,
    /// Longest time from sending a retry to its arrival.
    flight: Duration,
    /// Time between the restarts of two routers.
    restarts: Option<Duration>,
    /// A rolling restart of all routers.
    rolling: Option<Rolling>,
    /// A router whose streams break off, and when.
    loss: Option<(usize, Duration)>,
    /// When the simulation ends.
    end: Duration,
    /// Ratio of the streams that break off before the first restart.
    calm: f64,
    /// When requests fall to a tenth.
    falls: Option<Duration>,
    /// When they become five times as many.
    rises: Option<Duration>,
    /// Routers that do not answer.
    dead: usize,
    /// Whether routers lend at all.
    lend: bool,
    /// Ratio of the budget that has to be used in some window.
    least: f64,
}

const DEFAULT: Scenario = Scenario {
    routers: 26,
    requests: 10.0,
    needy: 1,
    needs: (30, Duration::from_millis(50)),
    until: SIMULATION_END,
    late: Duration::from_millis(3),
    lost: 0.0,
    flight: Duration::from_millis(10),
    restarts: None,
    rolling: None,
    loss: None,
    end: SIMULATION_END,
    calm: 1.0,
    falls: None,
    rises: None,
    dead: 0,
    lend: true,
    least: 0.5,
};

/// A request that a router answers for itself and others.
struct Relay {
    message: usize,
    request: Request<usize>,
    sent_at: Duration,
    round: Round<usize>,
    loan: Loan,
    open: usize,
}

struct Router {
    /// When its process started.
    started: Duration,
    budget: Budget,
    borrower: Borrower<usize>,
    /// When streams broke off that wait for a retry.
    waiting: VecDeque<Duration>,
    /// The round in progress, and the number of its requests without an answer.
    round: Option<(Round<usize>, usize)>,
    /// Whether its callers have moved, and whether its process has ended.
    left: bool,
    down: bool,
}

impl Router {
    fn new(started: Duration) -> Router {
        let budget = Budget::new(RATIO, SLACK, WINDOW);
        let (waiting, borrower) = (VecDeque::new(), Borrower::default());
        let round = None;
        Router { started, budget, borrower, waiting, round, left: false, down: false }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request(usize),
    /// That many streams of a router break off.
    Break(usize, usize),
    Restart(usize),
    /// A router learns the other routers.
    Join(usize),
    /// A request of a router arrives at another one, its answer arrives, or it times out; by its index among all
    /// messages.
    RequestArrives(usize),
    AnswerArrives(usize),
    TimesOut(usize),
    /// A process is asked to stop.
    Stop(usize),
    End(usize),
    /// The next process starts.
    Start(usize),
    /// The handover of the previous process arrives.
    Handover(usize),
    Kill(usize),
}

/// A request in transit, for a router's own needs or on behalf of another one.
struct Message {
    from: usize,
    to: usize,
    request: Request<usize>,
    sent_at: Duration,
    loan: Option<Loan>,
    relay: Option<usize>,
    done: bool,
}

#[derive(Default)]
struct Outcome {
    requests: Vec<Duration>,
    arrivals: Vec<Duration>,
    /// Time from when a stream broke off until it got a retry or was refused one.
    decided: Vec<Duration>,
    refused: usize,
    /// Ratio of all shares that was unused, when streams were refused.
    free: Vec<f64>,
    /// Requests that arrived at each router.
    requests_received: Vec<usize>,
}

struct World {
    scenario: Scenario,
    rng: Pcg64,
    events: BinaryHeap<std::cmp::Reverse<(Duration, Event)>>,
    routers: Vec<Router>,
    messages: Vec<Message>,
    relays: Vec<Relay>,
    /// When routers reported heavy use.
    heavy: Vec<Duration>,
    /// What the last process of each router handed over, and when it ended.
    handovers: Vec<Option<(Handover, Duration)>>,
    out: Outcome,
}

impl World {
    fn push(&mut self, at: Duration, event: Event) {
        self.events.push(std::cmp::Reverse((at, event)));
    }

    fn send(&mut self, from: usize, request: Request<usize>, relay: Option<usize>, now: Duration) {
        let id = self.messages.len();
        let to = request.lenders[0];
        let delay = self.scenario.late.mul_f64(self.rng.random());
        let up = to >= self.scenario.dead && !self.routers[to].down;
        let received = up && self.rng.random::<f64>() >= self.scenario.lost;
        let timeout = if relay.is_some() { ANSWER_TIMEOUT / 2 } else { ANSWER_TIMEOUT };
        self.messages.push(Message {
            from,
            to,
            request,
            sent_at: now,
            loan: None,
            relay,
            done: false,
        });
        self.push(now + timeout, Event::TimesOut(id));
        if received {
            self.push(now + delay, Event::RequestArrives(id));
        }
    }

    fn reply(&mut self, id: usize, loan: Loan, now: Duration) {
        self.messages[id].loan = Some(loan);
        if self.rng.random::<f64>() >= self.scenario.lost {
            let delay = self.scenario.late.mul_f64(self.rng.random());
            self.push(now + delay, Event::AnswerArrives(id));
        }
    }

    fn take_one(&mut self, n: usize, now: Duration) -> bool {
        let (count, router) = (self.scenario.routers as u32, &mut self.routers[n]);
        let taken = router.borrower.take(now) || router.budget.take(now - router.started, count);
        self.record_use(n, now);
        taken
    }

    fn record_use(&mut self, n: usize, now: Duration) {
        let (count, router) = (self.scenario.routers as u32, &mut self.routers[n]);
        if router.budget.is_heavy(now - router.started, count) {
            self.heavy.push(now);
        }
    }

    /// What a router that starts knows of its previous process.
    fn predecessor(&self, now: Duration) -> Predecessor {
        let counts =
            |at: &&Duration| **at + HEAVY_USE_DELAY <= now && now < **at + HEAVY_USE_LIFETIME;
        if self.heavy.iter().rev().any(|at| counts(&at)) {
            Predecessor::Unknown
        } else {
            Predecessor::Light
        }
    }

    /// Starts a new process, which may receive the handover of the previous one.
    fn start(&mut self, n: usize, delivery: Option<Delivery>, now: Duration) {
        self.routers[n] = Router::new(now);
        let predecessor = self.predecessor(now);
        self.routers[n].budget.set_predecessor(predecessor);
        self.push(now + JOIN_DELAY, Event::Join(n));
        match delivery {
            Some(Delivery::Late(late)) => self.push(now + late, Event::Handover(n)),
            Some(Delivery::Lost) | None => {}
            Some(_) => self.receive_handover(n, delivery),
        }
    }

    fn receive_handover(&mut self, n: usize, delivery: Option<Delivery>) {
        let router = &mut self.routers[n];
        match &self.handovers[n] {
            Some((handover, ended)) if delivery != Some(Delivery::Undated) => {
                router.budget.set_predecessor(Predecessor::Told);
                router.budget.take_over(handover, router.started - *ended);
            }
            _ => {}
        }
    }

    /// A router that a caller of another one moves to.
    fn elsewhere(&mut self, n: usize) -> usize {
        let open = |m: &usize| !self.routers[*m].left && !self.routers[*m].down;
        let open: Vec<usize> = (0..self.scenario.routers).filter(open).collect();
        if open.is_empty() { n } else { open[self.rng.random_range(0..open.len())] }
    }

    /// Gives retries to streams that wait, and asks other routers for more.
    fn serve(&mut self, n: usize, now: Duration) {
        while let Some(since) = self.routers[n].waiting.front().copied() {
            if !self.take_one(n, now) {
                break;
            }
            self.routers[n].waiting.pop_front();
            self.out.decided.push(now - since);
            let flight = self.scenario.flight.mul_f64(self.rng.random());
            self.out.arrivals.push(now + flight);
        }
        if self.routers[n].waiting.is_empty() || self.routers[n].round.is_some() {
            return;
        }
        let members: Vec<usize> = (0..self.scenario.routers).filter(|m| *m != n).collect();
        let router = &mut self.routers[n];
        if !self.scenario.lend || !router.borrower.may_ask(&members, now) {
            return self.refuse(n, now);
        }
        let share = router.budget.share(now - router.started, self.scenario.routers as u32);
        let want = router.waiting.len() as u32;
        let round = router.borrower.round(&members, want, share, now, &mut self.rng);
        router.round = Some((round, 0));
        self.ask_next(n, now);
    }

    /// Ratio of the shares of all routers that is unused.
    fn free(&mut self, now: Duration) -> f64 {
        let (count, dead) = (self.scenario.routers as u32, self.scenario.dead);
        let (mut left, mut all) = (0, 0);
        for router in self.routers.iter_mut().skip(dead).filter(|router| !router.down) {
            left += router.budget.left(now - router.started, count);
            all += router.budget.share(now - router.started, count);
        }
        f64::from(left) / f64::from(all.max(1))
    }

    fn refuse(&mut self, n: usize, now: Duration) {
        let free = self.free(now);
        for since in std::mem::take(&mut self.routers[n].waiting) {
            self.out.free.push(free);
            self.out.decided.push(now - since);
            self.out.refused += 1;
        }
    }

    /// Sends the next requests of a round, or ends it.
    fn ask_next(&mut self, n: usize, now: Duration) {
        let Some((round, open)) = self.routers[n].round.as_mut() else { return };
        if *open > 0 {
            return;
        }
        let requests = round.wave();
        *open = requests.len();
        if requests.is_empty() {
            let short = round.want() > 0;
            self.routers[n].round = None;
            match short {
                true => self.refuse(n, now),
                false => self.serve(n, now),
            }
            return;
        }
        requests.into_iter().for_each(|request| self.send(n, request, None, now));
    }

    fn receive_request(&mut self, id: usize, now: Duration) {
        if self.routers[self.messages[id].to].down {
            return;
        }
        let (to, request) = (self.messages[id].to, self.messages[id].request.clone());
        self.out.requests_received[to] += 1;
        let count = self.scenario.routers as u32;
        let router = &mut self.routers[to];
        let loan = router.budget.lend(Need::Begun, request.want, now - router.started, count);
        self.record_use(to, now);
        if loan.lent == request.want || request.lenders.len() == 1 {
            return self.reply(id, loan, now);
        }
        let round = Round::each(&request.lenders[1..], request.want - loan.lent);
        self.relays.push(Relay { message: id, request, sent_at: now, round, loan, open: 0 });
        self.relay_next(self.relays.len() - 1, now);
    }

    fn relay_next(&mut self, at: usize, now: Duration) {
        let relay = &mut self.relays[at];
        if relay.open > 0 {
            return;
        }
        // The router that sent the request no longer waits after a while.
        let late = now - relay.sent_at > ANSWER_TIMEOUT / 2;
        let requests = if late { Vec::new() } else { relay.round.wave() };
        relay.open = requests.len();
        let (id, loan, from) = (relay.message, relay.loan, relay.request.lenders[0]);
        match requests.is_empty() {
            true => self.reply(id, loan, now),
            false => {
                requests.into_iter().for_each(|request| self.send(from, request, Some(at), now))
            }
        }
    }

    fn receive_answer(&mut self, id: usize, silent: bool, now: Duration) {
        let done = std::mem::replace(&mut self.messages[id].done, true);
        let m = &self.messages[id];
        let (from, request, sent_at, loan) = (m.from, m.request.clone(), m.sent_at, m.loan);
        let loan = loan.filter(|_| !silent);
        match m.relay {
            _ if done && silent => {}
            // A late answer is used by streams that wait by then.
            None if done => {
                let borrower = &mut self.routers[from].borrower;
                borrower.clear_backoff(request.lenders[0]);
                borrower.receive(&request, loan.expect("an answer"), sent_at, now);
                self.serve(from, now);
            }
            Some(_) if done => {}
            Some(at) => {
                let relay = &mut self.relays[at];
                relay.open -= 1;
                if let Some(loan) = loan {
                    relay.loan.lent += loan.lent;
                    relay.loan.retry_after = relay.loan.retry_after.min(loan.retry_after);
                    relay.round.record(request, loan);
                }
                self.relay_next(at, now);
            }
            None => {
                let router = &mut self.routers[from];
                if let Some((round, open)) = router.round.as_mut() {
                    *open -= 1;
                    match loan {
                        Some(loan) => {
                            router.borrower.receive(&request, loan, sent_at, now);
                            round.record(request, loan);
                        }
                        None => {
                            router.borrower.back_off(request.lenders[0], now + LENDER_BACKOFF);
                            round.timed_out(request);
                        }
                    }
                    self.serve(from, now);
                    self.ask_next(from, now);
                }
            }
        }
    }
}

fn simulate(scenario: &Scenario, seed: u64) -> Outcome {
    let routers = scenario.routers;
    let mut world = World {
        scenario: scenario.clone(),
        rng: Pcg64::seed_from_u64(seed),
        events: BinaryHeap::new(),
        routers: (0..routers).map(|_| Router::new(Duration::ZERO)).collect(),
        messages: Vec::new(),
        relays: Vec::new(),
        heavy: Vec::new(),
        handovers: vec![None; routers],
        out: Outcome { requests_received: vec![0; routers], ..Outcome::default() },
    };
    for n in 0..routers {
        world.push(JOIN_DELAY, Event::Join(n));
        let mut at = Duration::ZERO;
        loop {
            let rate = match scenario.falls {
                Some(falls) if at > falls => scenario.requests / 10.0,
                _ if scenario.rises.is_some_and(|rises| at > rises) => scenario.requests * 5.0,
                _ => scenario.requests,
            };
            at += Duration::from_secs_f64(-world.rng.random::<f64>().max(1e-9).ln() / rate);
            if at > scenario.end {
                break;
            }
            world.push(at, Event::Request(n));
        }
    }
    let first = scenario.dead.min(routers - 1);
    for n in first..(first + scenario.needy).min(routers) {
        let mut at = NEEDS_START;
        while at < scenario.until {
            // Routers notice a loss some milliseconds apart.
            let part = if at < RESTART_START { scenario.calm } else { 1.0 };
            let count = (scenario.needs.0 as f64 * part).round() as usize;
            world.push(at + MS * (n % 40) as u32, Event::Break(n, count));
            at += scenario.needs.1;
        }
    }
    if let Some(every) = scenario.restarts {
        for n in 0..routers {
            world.push(RESTART_START + every * n as u32, Event::Restart(n));
        }
    }
    for (n, rolling) in (0..routers).flat_map(|n| scenario.rolling.map(|rolling| (n, rolling))) {
        let at = RESTART_START + rolling.every * n as u32;
        world.push(at, Event::Stop(n));
        if rolling.ends {
            world.push(at + STOP_TIME, Event::End(n));
        }
        world.push(at + STOP_TIME + rolling.gap, Event::Start(n));
    }
    let (moves, ends) = scenario.rolling.map_or((false, false), |r| (r.moves, r.ends));
    if let Some((n, from)) = scenario.loss {
        let times = LOSS_TIME.as_millis() / scenario.needs.1.as_millis();
        for i in 0..times as u32 {
            world.push(from + scenario.needs.1 * i, Event::Break(n, scenario.needs.0));
        }
    }
    while let Some(std::cmp::Reverse((now, event))) = world.events.pop() {
        if now > scenario.end {
            break;
        }
        match event {
            Event::Request(n) if world.routers[n].down && !moves => {}
            Event::Request(n) => {
                world.out.requests.push(now);
                let gone = world.routers[n].left || world.routers[n].down;
                let n = if gone { world.elsewhere(n) } else { n };
                let started = world.routers[n].started;
                world.routers[n].budget.record_request(now - started);
            }
            // A router that has just started has no streams.
            Event::Break(n, _) if now < world.routers[n].started + JOIN_DELAY => {}
            Event::Break(n, _) if world.routers[n].down => {}
            Event::Break(n, count) => {
                world.routers[n].waiting.extend((0..count).map(|_| now));
                world.serve(n, now);
            }
            Event::Restart(n) => {
                world.routers[n] = Router::new(now);
                let predecessor = world.predecessor(now);
                world.routers[n].budget.set_predecessor(predecessor);
                world.push(now + JOIN_DELAY, Event::Join(n));
            }
            Event::Stop(n) => world.routers[n].left = moves,
            Event::End(n) => {
                let router = &mut world.routers[n];
                let handover = router.budget.close(now - router.started);
                world.handovers[n] = handover.map(|handover| (handover, now));
                router.down = true;
                router.waiting.clear();
                router.round = None;
            }
            Event::Start(n) if !ends => world.routers[n].left = false,
            Event::Start(n) => {
                world.start(n, scenario.rolling.map(|rolling| rolling.delivery), now);
                if let Some(killed) = scenario.rolling.and_then(|rolling| rolling.killed) {
                    world.push(now + killed, Event::Kill(n));
                }
            }
            Event::Handover(n) => {
                world.receive_handover(n, scenario.rolling.map(|rolling| rolling.delivery))
            }
            Event::Kill(n) => {
                let twice =
                    scenario.rolling.is_some_and(|rolling| rolling.delivery == Delivery::Twice);
                world.start(n, twice.then_some(Delivery::Twice), now);
            }
            Event::Join(n) => world.routers[n].budget.set_rank(n as u32, routers as u32),
            Event::RequestArrives(id) => world.receive_request(id, now),
            Event::AnswerArrives(id) => world.receive_answer(id, false, now),
            Event::TimesOut(id) => world.receive_answer(id, true, now),
        }
    }
    world.out.arrivals.sort_unstable();
    world.out
}

fn count(times: &[Duration], from: Duration, to: Duration) -> usize {
    times.partition_point(|at| *at <= to) - times.partition_point(|at| *at <= from)
}

/// The ratio of the common budget that was used in the window that ends with each retry, where the budget is the
/// largest of the windows that end some time before.
fn used_ratios<'a>(
    out: &'a Outcome,
    before: &'a [Duration],
) -> impl Iterator<Item = (Duration, f64)> + 'a {
    out.arrivals.iter().map(move |end| {
        let window = |back: &Duration| {
            let end = end.saturating_sub(*back);
            count(&out.requests, end.saturating_sub(WINDOW), end)
        };
        let requests = before.iter().map(window).max();
        let bound = RATIO * requests.unwrap_or(0) as f64 + SLACK;
        (*end, count(&out.arrivals, end.saturating_sub(WINDOW), *end) as f64 / bound)
    })
}

/// The largest ratio of the common budget that was used in any window.
fn most(out: &Outcome) -> f64 {
    let before = [Duration::ZERO, WINDOW / 2, WINDOW];
    used_ratios(out, &before).map(|(_, used)| used).fold(0.0, f64::max)
}

/// The largest ratio that was used in windows that end at `from` or later, of the budget of that window itself.
fn most_from(out: &Outcome, from: Duration) -> f64 {
    let late = used_ratios(out, &[Duration::ZERO]).filter(|(end, _)| *end >= from);
    late.map(|(_, used)| used).fold(0.0, f64::max)
}

/// The streams of one router or a few break off. They must not be given up while the shares of the other routers are
/// unused.
#[rstest]
#[case::one(Scenario { routers: 1, ..DEFAULT })]
#[case::five(Scenario { routers: 5, ..DEFAULT })]
#[case::twenty_six(DEFAULT)]
#[case::sixty_eight(Scenario { routers: 68, ..DEFAULT })]
#[case::four_hundred(Scenario { routers: 400, needs: (200, Duration::from_millis(50)), ..DEFAULT })]
#[case::four_of_five(Scenario { routers: 5, needy: 4, ..DEFAULT })]
#[case::four_of_twenty_six(Scenario { needy: 4, ..DEFAULT })]
#[case::four_of_sixty_eight(Scenario { routers: 68, needy: 4, ..DEFAULT })]
#[case::four_of_four_hundred(Scenario { routers: 400, needy: 4, needs: (100, Duration::from_millis(50)), ..DEFAULT })]
#[case::all(Scenario { needy: 26, ..DEFAULT })]
fn the_budget_is_used_and_kept(#[case] case: Scenario) {
    for seed in 0..if case.routers > 100 { 2 } else { 5 } {
        let used = most(&simulate(&case, seed));
        assert!(used <= 1.0, "seed {seed}: {used:.3} used");
        assert!(used >= 0.9, "seed {seed}: {used:.3} used");
    }
}

/// No more retries than allowed may arrive when requests, routers or retries in transit are lost or late.
#[rstest]
#[case::late(Scenario { late: Duration::from_millis(60), needy: 4, ..DEFAULT })]
#[case::very_late(Scenario { late: Duration::from_millis(900), needy: 4, least: 0.1, ..DEFAULT })]
#[case::lost(Scenario { lost: 0.3, needy: 4, ..DEFAULT })]
#[case::dead(Scenario { dead: 6, needy: 4, ..DEFAULT })]
#[case::in_flight(Scenario { flight: Duration::from_millis(600), needy: 4, ..DEFAULT })]
#[case::restarts(Scenario { restarts: Some(Duration::from_secs(1)), needy: 26, ..DEFAULT })]
#[case::restarts_of_four(Scenario { routers: 4, restarts: Some(Duration::from_secs(4)), needy: 4, ..DEFAULT })]
#[case::restarts_of_many(Scenario { routers: 68, restarts: Some(Duration::from_millis(300)), needy: 68, ..DEFAULT })]
#[case::restarts_at_once(Scenario { restarts: Some(Duration::ZERO), needy: 26, ..DEFAULT })]
#[case::restarts_while_calm(Scenario {
    restarts: Some(Duration::ZERO), needy: 26, needs: (10, Duration::from_millis(500)), calm: 0.1,
    until: BEFORE_NEXT_WINDOW, ..DEFAULT
})]
#[case::requests_fall(Scenario { falls: Some(Duration::from_secs(32)), needy: 4, ..DEFAULT })]
#[case::requests_fall_in_flight(Scenario {
    falls: Some(Duration::from_secs(32)), flight: Duration::from_millis(600), needy: 26, ..DEFAULT
})]
#[case::few_requests(Scenario { requests: 0.1, needy: 26, ..DEFAULT })]
fn the_budget_is_kept_under_faults(#[case] case: Scenario) {
    for seed in 0..10 {
        let used = most(&simulate(&case, seed));
        assert!(used <= 1.0, "seed {seed}: {used:.3} used");
        assert!(used >= case.least, "seed {seed}: {used:.3} used");
    }
}

/// A server with 250 streams dies. It has to be known within 50 ms for each stream whether it may be retried, and all
/// that fit the budget are retried.
#[rstest]
#[case::of_one(Scenario { needs: (250, Duration::from_millis(200)), ..DEFAULT }, 1)]
#[case::of_four(Scenario { needy: 4, needs: (13, Duration::from_millis(40)), ..DEFAULT }, 5)]
#[case::of_sixty_eight(Scenario { routers: 68, needs: (250, Duration::from_millis(200)), ..DEFAULT }, 1)]
#[case::of_four_hundred(Scenario { routers: 400, needs: (250, Duration::from_millis(200)), ..DEFAULT }, 1)]
fn a_loss_is_decided_at_once(#[case] case: Scenario, #[case] times: u32) {
    let case = Scenario { until: NEEDS_START + case.needs.1 * times, ..case };
    for seed in 0..10 {
        let out = simulate(&case, seed);
        let longest = out.decided.iter().max().copied().unwrap_or_default();
        assert!(longest <= 50 * MS, "seed {seed}: {longest:?}");
        assert_eq!(out.refused, 0, "seed {seed}");
    }
}

/// Routers that do not answer must delay the decisions on a loss by no more than one short wait.
#[test]
fn dead_lenders_cost_one_wait() {
    let needs = (100, Duration::from_millis(200));
    let case = Scenario { dead: 3, needs, until: NEEDS_START + needs.1, ..DEFAULT };
    for seed in 0..10 {
        let out = simulate(&case, seed);
        let longest = out.decided.iter().max().copied().unwrap_or_default();
        assert!(longest <= 2 * ANSWER_TIMEOUT + 50 * MS, "seed {seed}: {longest:?}");
        assert_eq!(out.refused, 0, "seed {seed}");
    }
}

/// All routers are short at once. They must not ask each other again and again.
#[test]
fn a_lasting_shortage_makes_few_requests() {
    for (routers, most) in [(26, 40.0), (400, 40.0)] {
        let out = simulate(&Scenario { routers, needy: routers, ..DEFAULT }, 1);
        let received = out.requests_received.iter().max().copied().unwrap_or_default() as f64;
        let rate = received / (SIMULATION_END - NEEDS_START).as_secs_f64();
        assert!(rate <= most, "{rate:.1} requests a second at one of {routers} routers");
    }
}

/// Without loans most of the budget is unused, which shows that the scenarios need them.
#[test]
fn without_loans_the_budget_is_unused() {
    let used = most(&simulate(&Scenario { lend: false, ..DEFAULT }, 1));
    assert!(used < 0.1, "{used:.3} used");
}

const ROLLING_RESTART: Rolling = Rolling {
    every: Duration::from_millis(600),
    gap: Duration::ZERO,
    moves: false,
    ends: true,
    delivery: Delivery::Ready,
    killed: None,
};

const SLOW_RESTART: Rolling = Rolling { every: Duration::from_secs(1), ..ROLLING_RESTART };

/// Callers move to other routers from when a process is asked to stop until the next one starts.
const MOVING_CALLERS: Rolling =
    Rolling { gap: Duration::from_secs(1), moves: true, ..ROLLING_RESTART };

/// All routers have heavy use, and are then restarted one after the other.
const HEAVY_USE: Scenario = Scenario {
    needy: 26,
    until: RESTART_START,
    rolling: Some(ROLLING_RESTART),
    end: Duration::from_secs(70),
    ..DEFAULT
};

/// All routers are restarted one after the other while no stream breaks off.
const NO_USE: Scenario = Scenario { needy: 0, ..HEAVY_USE };

/// When the last router knows the other routers again after its restart.
fn restarted(case: &Scenario) -> Duration {
    let rolling = case.rolling.expect("a rolling restart");
    RESTART_START + rolling.every * (case.routers as u32 - 1) + STOP_TIME + rolling.gap + JOIN_DELAY
}

/// The largest ratio that was used in windows that end at `from` or later, by seed; all windows have to be within the
/// budget.
fn used_from(case: &Scenario, from: Duration) -> Vec<f64> {
    let outs: Vec<Outcome> = (0..5).map(|seed| simulate(case, seed)).collect();
    let all: Vec<f64> = outs.iter().map(most).collect();
    assert!(all.iter().all(|used| *used <= 1.0), "used at most: {all:.3?}");
    outs.iter().map(|out| most_from(out, from)).collect()
}

/// Routers are restarted one after the other and then the streams of one break off. The unused shares of the routers
/// that have started must be available to them.
#[rstest]
#[case::used_twenty_six(HEAVY_USE, 0)]
#[case::used_twenty_six_slowly(Scenario { rolling: Some(SLOW_RESTART), ..HEAVY_USE }, 0)]
#[case::used_twenty_two(Scenario { routers: 22, needy: 22, ..HEAVY_USE }, 0)]
#[case::used_twenty_two_slowly(Scenario { routers: 22, needy: 22, rolling: Some(SLOW_RESTART), ..HEAVY_USE }, 0)]
#[case::used_loss_at_the_last(HEAVY_USE, 25)]
#[case::quiet_loss_at_the_first(NO_USE, 0)]
#[case::quiet_loss_at_the_last(NO_USE, 25)]
#[case::quiet_twenty_two(Scenario { routers: 22, ..NO_USE }, 0)]
#[case::quiet_twenty_two_slowly(Scenario { routers: 22, rolling: Some(SLOW_RESTART), ..NO_USE }, 21)]
fn planned_restarts_leave_the_budget_usable(#[case] case: Scenario, #[case] loser: usize) {
    let at = restarted(&case) + 50 * MS;
    let used = used_from(&Scenario { loss: Some((loser, at)), ..case }, at);
    assert!(used.iter().all(|used| *used >= 0.9), "used after the restarts: {used:.3?}");
}

/// The callers of routers that are restarted move to others for some seconds. This must not make a part of the budget
/// unusable for two windows.
#[rstest]
#[case::used(Scenario { rolling: Some(MOVING_CALLERS), ..HEAVY_USE })]
#[case::used_slowly(Scenario {
    rolling: Some(Rolling { every: Duration::from_secs(1), ..MOVING_CALLERS }), ..HEAVY_USE
})]
#[case::quiet(Scenario { rolling: Some(MOVING_CALLERS), ..NO_USE })]
#[case::no_process_ends(Scenario { rolling: Some(Rolling { ends: false, ..MOVING_CALLERS }), ..NO_USE })]
fn callers_that_move_leave_the_budget_usable(#[case] case: Scenario) {
    let at = restarted(&case) + 50 * MS;
    let used = used_from(&Scenario { loss: Some((0, at)), ..case }, at);
    assert!(used.iter().all(|used| *used >= 0.9), "used after the restarts: {used:.3?}");
}

/// The use with which the scenarios above begin is heavy, as they require.
#[test]
fn the_budget_is_used_before_the_restarts() {
    for seed in 0..5 {
        let used =
            most(&simulate(&Scenario { rolling: None, end: RESTART_START, ..HEAVY_USE }, seed));
        assert!((0.9..=1.0).contains(&used), "seed {seed}: {used:.3} used");
    }
}

/// A process that receives the handover of the previous one late must use its whole share from then on, and not only a
/// small part of it.
#[rstest]
#[case::used(HEAVY_USE, 0)]
#[case::quiet(NO_USE, 25)]
fn a_late_handover_makes_the_budget_usable(#[case] case: Scenario, #[case] loser: usize) {
    let late = Duration::from_secs(2);
    let rolling = Some(Rolling { delivery: Delivery::Late(late), ..ROLLING_RESTART });
    let case = Scenario { rolling, ..case };
    let at = restarted(&case) + late;
    let used = used_from(&Scenario { loss: Some((loser, at)), ..case }, at);
    assert!(used.iter().all(|used| *used >= 0.9), "used after the handover: {used:.3?}");
}

/// The scenarios above without restarts, which shows that their losses can use the whole budget.
#[rstest]
#[case::used(Scenario { rolling: None, ..HEAVY_USE })]
#[case::quiet(Scenario { rolling: None, ..NO_USE })]
fn without_restarts_the_budget_is_usable(#[case] case: Scenario) {
    let at = restarted(&HEAVY_USE) + 50 * MS;
    let used = used_from(&Scenario { loss: Some((0, at)), ..case }, at);
    assert!(used.iter().all(|used| *used >= 0.9), "used: {used:.3?}");
}

/// No more retries than allowed may arrive when a handover comes late or not at all, or the process that received it is
/// killed.
#[rstest]
#[case::ready(ROLLING_RESTART)]
#[case::ready_slowly(SLOW_RESTART)]
#[case::at_once(Rolling { every: Duration::ZERO, ..ROLLING_RESTART })]
#[case::late(Rolling { delivery: Delivery::Late(Duration::from_secs(2)), ..ROLLING_RESTART })]
#[case::very_late(Rolling { delivery: Delivery::Late(Duration::from_secs(9)), ..ROLLING_RESTART })]
#[case::lost(Rolling { delivery: Delivery::Lost, ..ROLLING_RESTART })]
#[case::undated(Rolling { delivery: Delivery::Undated, ..ROLLING_RESTART })]
#[case::undated_at_once(Rolling { delivery: Delivery::Undated, every: Duration::ZERO, ..ROLLING_RESTART })]
#[case::killed(Rolling { killed: Some(Duration::from_secs(2)), ..ROLLING_RESTART })]
#[case::killed_at_once(Rolling { every: Duration::ZERO, killed: Some(Duration::from_secs(2)), ..ROLLING_RESTART })]
#[case::moving(MOVING_CALLERS)]
#[case::moving_at_once(Rolling { every: Duration::ZERO, ..MOVING_CALLERS })]
#[case::moving_late(Rolling { delivery: Delivery::Late(Duration::from_secs(2)), ..MOVING_CALLERS })]
#[case::moving_lost(Rolling { delivery: Delivery::Lost, ..MOVING_CALLERS })]
#[case::moving_undated(Rolling { delivery: Delivery::Undated, ..MOVING_CALLERS })]
#[case::moving_killed(Rolling { killed: Some(Duration::from_secs(2)), ..MOVING_CALLERS })]
#[case::killed_before_the_handover(Rolling {
    delivery: Delivery::Late(Duration::from_secs(2)), killed: Some(Duration::from_secs(1)), ..ROLLING_RESTART
})]
fn the_budget_is_kept_over_planned_restarts(#[case] rolling: Rolling) {
    let case = Scenario { until: HEAVY_USE.end, rolling: Some(rolling), ..HEAVY_USE };
    for seed in 0..10 {
        let used = most(&simulate(&case, seed));
        assert!(used <= 1.0, "seed {seed}: {used:.3} used");
        assert!(used >= case.least, "seed {seed}: {used:.3} used");
    }
}

/// Two processes receive one handover. What the first of them used must not be used again.
#[rstest]
#[case::once(Delivery::Ready, 0.9, 1.0)]
#[case::twice(Delivery::Twice, 1.5, 2.0)]
fn a_handover_is_for_one_process(
    #[case] delivery: Delivery,
    #[case] least: f64,
    #[case] highest: f64,
) {
    let killed = Some(Duration::from_millis(1200));
    let rolling = Rolling { every: Duration::ZERO, delivery, killed, ..ROLLING_RESTART };
    let case = Scenario { rolling: Some(rolling), needs: (60, 50 * MS), ..NO_USE };
    let case = Scenario { loss: Some((0, restarted(&case) + 50 * MS)), ..case };
    for seed in 0..5 {
        let used = most(&simulate(&case, seed));
        assert!(used >= least && used <= highest, "seed {seed}: {used:.3} used");
    }
}

/// Streams must not be refused retries while other routers have some left. These are not asked again for some time
/// after they had none.
#[rstest]
#[case::steady(DEFAULT)]
#[case::requests_rise(Scenario { rises: Some(Duration::from_secs(27)), ..DEFAULT })]
fn nobody_is_refused_while_others_have_some(#[case] case: Scenario) {
    let outs: Vec<Outcome> = (0..5).map(|seed| simulate(&case, seed)).collect();
    let free: Vec<f64> =
        outs.iter().map(|out| out.free.iter().copied().fold(0.0, f64::max)).collect();
    let wrongly = outs.iter().map(|out| out.free.iter().filter(|free| **free > 0.1).count());
    let counts: Vec<(usize, usize)> = wrongly.zip(outs.iter().map(|out| out.refused)).collect();
    assert!(
        free.iter().all(|free| *free <= 0.1),
        "free at most: {free:.3?}; wrongly, of all refused: {counts:?}"
    );
}

/// One stream must not ask routers that do not answer one after the other, each with a wait.
#[test]
fn dead_lenders_cost_a_single_stream_one_wait() {
    let needs = (1, Duration::from_millis(200));
    let until = NEEDS_START + Duration::from_secs(5);
    let case = Scenario { dead: 8, requests: 0.1, needs, until, ..DEFAULT };
    let longest: Vec<Duration> = (0..10)
        .map(|seed| simulate(&case, seed).decided.into_iter().max().unwrap_or_default())
        .collect();
    assert!(longest.iter().all(|longest| *longest <= 2 * ANSWER_TIMEOUT + 50 * MS), "{longest:?}");
}
