//! Routers that lend each other repeats, without a network.

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

/// When needs begin, and when the play ends.
const FROM: Duration = Duration::from_secs(25);
const END: Duration = Duration::from_secs(60);

/// Time after its start in which a router learns who the others are.
const JOIN: Duration = Duration::from_millis(300);

/// When routers begin to be restarted.
const RESTART: Duration = Duration::from_secs(29);

/// Until when streams break off in a play that looks at a restart only, before a window has passed.
const CALM: Duration = Duration::from_secs(38);

/// Time after which heavy use is known to routers that start, and for which it counts.
const TOLD: Duration = Duration::from_millis(50);
const COUNTS: Duration = Duration::from_secs(24);

/// Time for which a process that was told to stop still serves its streams.
const STOPPING: Duration = Duration::from_secs(3);

/// Time for which one router has all the loss.
const LOSS: Duration = Duration::from_secs(2);

/// Time that a router waits for an answer.
const ANSWER: Duration = Duration::from_millis(30);

/// How what a process hands over comes to the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Word {
    /// It is there at the start.
    Ready,
    /// It comes some time after the start.
    Late(Duration),
    /// It does not come.
    Lost,
    /// The time between the two processes is not known, and it is left out.
    Undated,
    /// The process after the next one is given it as well.
    Twice,
}

/// Processes that are told to stop, one router after the other, and are followed by new ones.
#[derive(Debug, Clone, Copy)]
struct Rolling {
    /// Time between two routers.
    every: Duration,
    /// Time from the end of a process until the next one starts.
    gap: Duration,
    /// Whether callers go to other routers meanwhile.
    moves: bool,
    /// Whether processes end at all, or their callers go elsewhere only.
    ends: bool,
    word: Word,
    /// Time after which the new process is killed and followed by another one.
    killed: Option<Duration>,
}

/// A group of routers with callers.
#[derive(Clone)]
struct Play {
    routers: usize,
    /// Requests a second of each router's callers.
    requests: f64,
    /// Routers whose streams break off.
    needy: usize,
    /// Streams of each of them that break off at once, and how often.
    needs: (usize, Duration),
    /// Until when they do.
    until: Duration,
    /// Longest way of a question or an answer.
    late: Duration,
    /// Part of the questions and answers that are lost.
    lost: f64,
    /// Longest time from sending a repeat to its arrival.
    flight: Duration,
    /// Time between two restarts of routers, one after the other.
    restarts: Option<Duration>,
    /// Routers that are told to stop, one after the other.
    rolling: Option<Rolling>,
    /// A router that has all the loss, and when.
    loss: Option<(usize, Duration)>,
    /// When the play ends.
    end: Duration,
    /// Part of their streams that break off before the first restart.
    calm: f64,
    /// When requests fall to a tenth.
    falls: Option<Duration>,
    /// When they become five times as many.
    rises: Option<Duration>,
    /// Routers that do not answer.
    dead: usize,
    /// Whether routers lend at all.
    lend: bool,
    /// Part of the budget that has to be used in some window.
    least: f64,
}

const PLAY: Play = Play {
    routers: 26,
    requests: 10.0,
    needy: 1,
    needs: (30, Duration::from_millis(50)),
    until: END,
    late: Duration::from_millis(3),
    lost: 0.0,
    flight: Duration::from_millis(10),
    restarts: None,
    rolling: None,
    loss: None,
    end: END,
    calm: 1.0,
    falls: None,
    rises: None,
    dead: 0,
    lend: true,
    least: 0.5,
};

/// A question that a router answers for itself and others.
struct Relay {
    asker: usize,
    ask: Request<usize>,
    asked: Duration,
    round: Round<usize>,
    loan: Loan,
    open: usize,
}

struct Router {
    /// When its process started.
    born: Duration,
    budget: Budget,
    borrower: Borrower<usize>,
    /// When streams broke off that wait for a repeat.
    waiting: VecDeque<Duration>,
    /// The round under way, and its questions that are open.
    round: Option<(Round<usize>, usize)>,
    /// Whether its callers go elsewhere, and whether its process has ended.
    left: bool,
    down: bool,
}

impl Router {
    fn new(born: Duration) -> Router {
        let budget = Budget::new(RATIO, SLACK, WINDOW);
        let (waiting, borrower) = (VecDeque::new(), Borrower::default());
        let round = None;
        Router { born, budget, borrower, waiting, round, left: false, down: false }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request(usize),
    /// So many streams of a router break off.
    Break(usize, usize),
    Restart(usize),
    /// A router learns who the others are.
    Join(usize),
    /// A question of a router comes to another one, or its answer back, or none; by its position among all messages.
    Asked(usize),
    Answered(usize),
    Silent(usize),
    /// A process is told to stop.
    Stop(usize),
    End(usize),
    /// The next process starts.
    Start(usize),
    /// The word of the process before comes.
    Told(usize),
    Kill(usize),
}

/// A question on its way, for a router's own needs or in the name of another one.
struct Message {
    from: usize,
    to: usize,
    ask: Request<usize>,
    asked: Duration,
    loan: Option<Loan>,
    relay: Option<usize>,
    done: bool,
}

#[derive(Default)]
struct Outcome {
    requests: Vec<Duration>,
    arrivals: Vec<Duration>,
    /// Time from when a stream broke off until it got a repeat or was told that there is none.
    decided: Vec<Duration>,
    refused: usize,
    /// Part of all parts that nobody had used, when streams were refused.
    free: Vec<f64>,
    /// Questions that came to each router.
    questions: Vec<usize>,
}

struct World {
    play: Play,
    rng: Pcg64,
    events: BinaryHeap<std::cmp::Reverse<(Duration, Event)>>,
    routers: Vec<Router>,
    messages: Vec<Message>,
    relays: Vec<Relay>,
    /// When routers told of heavy use.
    heavy: Vec<Duration>,
    /// What the last process of each router handed over, and when it ended.
    words: Vec<Option<(Handover, Duration)>>,
    out: Outcome,
}

impl World {
    fn push(&mut self, at: Duration, event: Event) {
        self.events.push(std::cmp::Reverse((at, event)));
    }

    fn send(&mut self, from: usize, ask: Request<usize>, relay: Option<usize>, now: Duration) {
        let id = self.messages.len();
        let to = ask.lenders[0];
        let way = self.play.late.mul_f64(self.rng.random());
        let up = to >= self.play.dead && !self.routers[to].down;
        let heard = up && self.rng.random::<f64>() >= self.play.lost;
        let patience = if relay.is_some() { ANSWER / 2 } else { ANSWER };
        self.messages.push(Message { from, to, ask, asked: now, loan: None, relay, done: false });
        self.push(now + patience, Event::Silent(id));
        if heard {
            self.push(now + way, Event::Asked(id));
        }
    }

    fn reply(&mut self, id: usize, loan: Loan, now: Duration) {
        self.messages[id].loan = Some(loan);
        if self.rng.random::<f64>() >= self.play.lost {
            let way = self.play.late.mul_f64(self.rng.random());
            self.push(now + way, Event::Answered(id));
        }
    }

    fn takes_one(&mut self, n: usize, now: Duration) -> bool {
        let (count, router) = (self.play.routers as u32, &mut self.routers[n]);
        let taken = router.borrower.take(now) || router.budget.take(now - router.born, count);
        self.note_use(n, now);
        taken
    }

    fn note_use(&mut self, n: usize, now: Duration) {
        let (count, router) = (self.play.routers as u32, &mut self.routers[n]);
        if router.budget.is_heavy(now - router.born, count) {
            self.heavy.push(now);
        }
    }

    /// What a router that starts knows of the process before it.
    fn before(&self, now: Duration) -> Predecessor {
        let counts = |at: &&Duration| **at + TOLD <= now && now < **at + COUNTS;
        if self.heavy.iter().rev().any(|at| counts(&at)) {
            Predecessor::Unknown
        } else {
            Predecessor::Light
        }
    }

    /// Starts a new process, which may find the word of the one before it.
    fn start(&mut self, n: usize, word: Option<Word>, now: Duration) {
        self.routers[n] = Router::new(now);
        let before = self.before(now);
        self.routers[n].budget.set_predecessor(before);
        self.push(now + JOIN, Event::Join(n));
        match word {
            Some(Word::Late(late)) => self.push(now + late, Event::Told(n)),
            Some(Word::Lost) | None => {}
            Some(_) => self.hear(n, word),
        }
    }

    fn hear(&mut self, n: usize, word: Option<Word>) {
        let router = &mut self.routers[n];
        match &self.words[n] {
            Some((handover, ended)) if word != Some(Word::Undated) => {
                router.budget.set_predecessor(Predecessor::Told);
                router.budget.take_over(handover, router.born - *ended);
            }
            _ => {}
        }
    }

    /// A router that a caller of another one goes to.
    fn elsewhere(&mut self, n: usize) -> usize {
        let open = |m: &usize| !self.routers[*m].left && !self.routers[*m].down;
        let open: Vec<usize> = (0..self.play.routers).filter(open).collect();
        if open.is_empty() { n } else { open[self.rng.random_range(0..open.len())] }
    }

    /// Gives repeats to streams that wait, and asks others for more.
    fn serve(&mut self, n: usize, now: Duration) {
        while let Some(since) = self.routers[n].waiting.front().copied() {
            if !self.takes_one(n, now) {
                break;
            }
            self.routers[n].waiting.pop_front();
            self.out.decided.push(now - since);
            let flight = self.play.flight.mul_f64(self.rng.random());
            self.out.arrivals.push(now + flight);
        }
        if self.routers[n].waiting.is_empty() || self.routers[n].round.is_some() {
            return;
        }
        let members: Vec<usize> = (0..self.play.routers).filter(|m| *m != n).collect();
        let router = &mut self.routers[n];
        if !self.play.lend || !router.borrower.may_ask(&members, now) {
            return self.refuse(n, now);
        }
        let part = router.budget.share(now - router.born, self.play.routers as u32);
        let want = router.waiting.len() as u32;
        let round = router.borrower.round(&members, want, part, now, &mut self.rng);
        router.round = Some((round, 0));
        self.ask_next(n, now);
    }

    /// Part of the parts of all routers that is left.
    fn free(&mut self, now: Duration) -> f64 {
        let (count, dead) = (self.play.routers as u32, self.play.dead);
        let (mut left, mut all) = (0, 0);
        for router in self.routers.iter_mut().skip(dead).filter(|router| !router.down) {
            left += router.budget.left(now - router.born, count);
            all += router.budget.share(now - router.born, count);
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

    /// Sends the next questions of a round, or ends it.
    fn ask_next(&mut self, n: usize, now: Duration) {
        let Some((round, open)) = self.routers[n].round.as_mut() else { return };
        if *open > 0 {
            return;
        }
        let asks = round.wave();
        *open = asks.len();
        if asks.is_empty() {
            let short = round.want() > 0;
            self.routers[n].round = None;
            match short {
                true => self.refuse(n, now),
                false => self.serve(n, now),
            }
            return;
        }
        asks.into_iter().for_each(|ask| self.send(n, ask, None, now));
    }

    fn asked(&mut self, id: usize, now: Duration) {
        if self.routers[self.messages[id].to].down {
            return;
        }
        let (to, ask) = (self.messages[id].to, self.messages[id].ask.clone());
        self.out.questions[to] += 1;
        let count = self.play.routers as u32;
        let router = &mut self.routers[to];
        let loan = router.budget.lend(Need::Begun, ask.want, now - router.born, count);
        self.note_use(to, now);
        if loan.lent == ask.want || ask.lenders.len() == 1 {
            return self.reply(id, loan, now);
        }
        let round = Round::each(&ask.lenders[1..], ask.want - loan.lent);
        self.relays.push(Relay { asker: id, ask, asked: now, round, loan, open: 0 });
        self.relay_next(self.relays.len() - 1, now);
    }

    fn relay_next(&mut self, at: usize, now: Duration) {
        let relay = &mut self.relays[at];
        if relay.open > 0 {
            return;
        }
        // The router that asked is no longer waiting after a while.
        let late = now - relay.asked > ANSWER / 2;
        let asks = if late { Vec::new() } else { relay.round.wave() };
        relay.open = asks.len();
        let (id, loan, from) = (relay.asker, relay.loan, relay.ask.lenders[0]);
        match asks.is_empty() {
            true => self.reply(id, loan, now),
            false => asks.into_iter().for_each(|ask| self.send(from, ask, Some(at), now)),
        }
    }

    fn answered(&mut self, id: usize, silent: bool, now: Duration) {
        let done = std::mem::replace(&mut self.messages[id].done, true);
        let m = &self.messages[id];
        let (from, ask, asked, loan) = (m.from, m.ask.clone(), m.asked, m.loan);
        let loan = loan.filter(|_| !silent);
        match m.relay {
            _ if done && silent => {}
            // An answer that comes late is used by streams that wait by then.
            None if done => {
                let borrower = &mut self.routers[from].borrower;
                borrower.clear_backoff(ask.lenders[0]);
                borrower.receive(&ask, loan.expect("an answer"), asked, now);
                self.serve(from, now);
            }
            Some(_) if done => {}
            Some(at) => {
                let relay = &mut self.relays[at];
                relay.open -= 1;
                if let Some(loan) = loan {
                    relay.loan.lent += loan.lent;
                    relay.loan.retry_after = relay.loan.retry_after.min(loan.retry_after);
                    relay.round.record(ask, loan);
                }
                self.relay_next(at, now);
            }
            None => {
                let router = &mut self.routers[from];
                if let Some((round, open)) = router.round.as_mut() {
                    *open -= 1;
                    match loan {
                        Some(loan) => {
                            router.borrower.receive(&ask, loan, asked, now);
                            round.record(ask, loan);
                        }
                        None => {
                            router.borrower.back_off(ask.lenders[0], now + LENDER_BACKOFF);
                            round.timed_out(ask);
                        }
                    }
                    self.serve(from, now);
                    self.ask_next(from, now);
                }
            }
        }
    }
}

fn play(play: &Play, seed: u64) -> Outcome {
    let routers = play.routers;
    let mut world = World {
        play: play.clone(),
        rng: Pcg64::seed_from_u64(seed),
        events: BinaryHeap::new(),
        routers: (0..routers).map(|_| Router::new(Duration::ZERO)).collect(),
        messages: Vec::new(),
        relays: Vec::new(),
        heavy: Vec::new(),
        words: vec![None; routers],
        out: Outcome { questions: vec![0; routers], ..Outcome::default() },
    };
    for n in 0..routers {
        world.push(JOIN, Event::Join(n));
        let mut at = Duration::ZERO;
        loop {
            let rate = match play.falls {
                Some(falls) if at > falls => play.requests / 10.0,
                _ if play.rises.is_some_and(|rises| at > rises) => play.requests * 5.0,
                _ => play.requests,
            };
            at += Duration::from_secs_f64(-world.rng.random::<f64>().max(1e-9).ln() / rate);
            if at > play.end {
                break;
            }
            world.push(at, Event::Request(n));
        }
    }
    let first = play.dead.min(routers - 1);
    for n in first..(first + play.needy).min(routers) {
        let mut at = FROM;
        while at < play.until {
            // Routers notice a loss some milliseconds apart.
            let part = if at < RESTART { play.calm } else { 1.0 };
            let count = (play.needs.0 as f64 * part).round() as usize;
            world.push(at + MS * (n % 40) as u32, Event::Break(n, count));
            at += play.needs.1;
        }
    }
    if let Some(every) = play.restarts {
        for n in 0..routers {
            world.push(RESTART + every * n as u32, Event::Restart(n));
        }
    }
    for (n, rolling) in (0..routers).flat_map(|n| play.rolling.map(|rolling| (n, rolling))) {
        let at = RESTART + rolling.every * n as u32;
        world.push(at, Event::Stop(n));
        if rolling.ends {
            world.push(at + STOPPING, Event::End(n));
        }
        world.push(at + STOPPING + rolling.gap, Event::Start(n));
    }
    let (moves, ends) = play.rolling.map_or((false, false), |r| (r.moves, r.ends));
    if let Some((n, from)) = play.loss {
        let times = LOSS.as_millis() / play.needs.1.as_millis();
        for i in 0..times as u32 {
            world.push(from + play.needs.1 * i, Event::Break(n, play.needs.0));
        }
    }
    while let Some(std::cmp::Reverse((now, event))) = world.events.pop() {
        if now > play.end {
            break;
        }
        match event {
            Event::Request(n) if world.routers[n].down && !moves => {}
            Event::Request(n) => {
                world.out.requests.push(now);
                let gone = world.routers[n].left || world.routers[n].down;
                let n = if gone { world.elsewhere(n) } else { n };
                let born = world.routers[n].born;
                world.routers[n].budget.record_request(now - born);
            }
            // A router that has just started has no streams.
            Event::Break(n, _) if now < world.routers[n].born + JOIN => {}
            Event::Break(n, _) if world.routers[n].down => {}
            Event::Break(n, count) => {
                world.routers[n].waiting.extend((0..count).map(|_| now));
                world.serve(n, now);
            }
            Event::Restart(n) => {
                world.routers[n] = Router::new(now);
                let before = world.before(now);
                world.routers[n].budget.set_predecessor(before);
                world.push(now + JOIN, Event::Join(n));
            }
            Event::Stop(n) => world.routers[n].left = moves,
            Event::End(n) => {
                let router = &mut world.routers[n];
                let handover = router.budget.close(now - router.born);
                world.words[n] = handover.map(|handover| (handover, now));
                router.down = true;
                router.waiting.clear();
                router.round = None;
            }
            Event::Start(n) if !ends => world.routers[n].left = false,
            Event::Start(n) => {
                world.start(n, play.rolling.map(|rolling| rolling.word), now);
                if let Some(killed) = play.rolling.and_then(|rolling| rolling.killed) {
                    world.push(now + killed, Event::Kill(n));
                }
            }
            Event::Told(n) => world.hear(n, play.rolling.map(|rolling| rolling.word)),
            Event::Kill(n) => {
                let twice = play.rolling.is_some_and(|rolling| rolling.word == Word::Twice);
                world.start(n, twice.then_some(Word::Twice), now);
            }
            Event::Join(n) => world.routers[n].budget.set_rank(n as u32, routers as u32),
            Event::Asked(id) => world.asked(id, now),
            Event::Answered(id) => world.answered(id, false, now),
            Event::Silent(id) => world.answered(id, true, now),
        }
    }
    world.out.arrivals.sort_unstable();
    world.out
}

fn count(times: &[Duration], from: Duration, to: Duration) -> usize {
    times.partition_point(|at| *at <= to) - times.partition_point(|at| *at <= from)
}

/// The part of the common budget that was used in the window that ends with each repeat, where the budget is the largest of
/// the windows that end some time before.
fn parts<'a>(
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

/// The most of the common budget that was used in any window.
fn most(out: &Outcome) -> f64 {
    let before = [Duration::ZERO, WINDOW / 2, WINDOW];
    parts(out, &before).map(|(_, used)| used).fold(0.0, f64::max)
}

/// The most of it that was used in windows that end at some moment or later, of the budget of that window itself.
fn most_from(out: &Outcome, from: Duration) -> f64 {
    let late = parts(out, &[Duration::ZERO]).filter(|(end, _)| *end >= from);
    late.map(|(_, used)| used).fold(0.0, f64::max)
}

/// One router's streams break off, or those of a few, and they are given up while the other routers' parts lie idle.
#[rstest]
#[case::one(Play { routers: 1, ..PLAY })]
#[case::five(Play { routers: 5, ..PLAY })]
#[case::twenty_six(PLAY)]
#[case::sixty_eight(Play { routers: 68, ..PLAY })]
#[case::four_hundred(Play { routers: 400, needs: (200, Duration::from_millis(50)), ..PLAY })]
#[case::four_of_five(Play { routers: 5, needy: 4, ..PLAY })]
#[case::four_of_twenty_six(Play { needy: 4, ..PLAY })]
#[case::four_of_sixty_eight(Play { routers: 68, needy: 4, ..PLAY })]
#[case::four_of_four_hundred(Play { routers: 400, needy: 4, needs: (100, Duration::from_millis(50)), ..PLAY })]
#[case::all(Play { needy: 26, ..PLAY })]
fn the_budget_is_used_and_kept(#[case] case: Play) {
    for seed in 0..if case.routers > 100 { 2 } else { 5 } {
        let used = most(&play(&case, seed));
        assert!(used <= 1.0, "seed {seed}: {used:.3} used");
        assert!(used >= 0.9, "seed {seed}: {used:.3} used");
    }
}

/// More repeats than allowed arrive, as questions, routers or repeats on their way are lost or late.
#[rstest]
#[case::late(Play { late: Duration::from_millis(60), needy: 4, ..PLAY })]
#[case::very_late(Play { late: Duration::from_millis(900), needy: 4, least: 0.1, ..PLAY })]
#[case::lost(Play { lost: 0.3, needy: 4, ..PLAY })]
#[case::dead(Play { dead: 6, needy: 4, ..PLAY })]
#[case::in_flight(Play { flight: Duration::from_millis(600), needy: 4, ..PLAY })]
#[case::restarts(Play { restarts: Some(Duration::from_secs(1)), needy: 26, ..PLAY })]
#[case::restarts_of_four(Play { routers: 4, restarts: Some(Duration::from_secs(4)), needy: 4, ..PLAY })]
#[case::restarts_of_many(Play { routers: 68, restarts: Some(Duration::from_millis(300)), needy: 68, ..PLAY })]
#[case::restarts_at_once(Play { restarts: Some(Duration::ZERO), needy: 26, ..PLAY })]
#[case::restarts_while_calm(Play {
    restarts: Some(Duration::ZERO), needy: 26, needs: (10, Duration::from_millis(500)), calm: 0.1, until: CALM, ..PLAY
})]
#[case::requests_fall(Play { falls: Some(Duration::from_secs(32)), needy: 4, ..PLAY })]
#[case::requests_fall_in_flight(Play {
    falls: Some(Duration::from_secs(32)), flight: Duration::from_millis(600), needy: 26, ..PLAY
})]
#[case::few_requests(Play { requests: 0.1, needy: 26, ..PLAY })]
fn the_budget_is_kept_under_faults(#[case] case: Play) {
    for seed in 0..10 {
        let used = most(&play(&case, seed));
        assert!(used <= 1.0, "seed {seed}: {used:.3} used");
        assert!(used >= case.least, "seed {seed}: {used:.3} used");
    }
}

/// A server with 250 streams dies. Each stream knows within 50 ms whether it may be repeated, and all that fit are.
#[rstest]
#[case::of_one(Play { needs: (250, Duration::from_millis(200)), ..PLAY }, 1)]
#[case::of_four(Play { needy: 4, needs: (13, Duration::from_millis(40)), ..PLAY }, 5)]
#[case::of_sixty_eight(Play { routers: 68, needs: (250, Duration::from_millis(200)), ..PLAY }, 1)]
#[case::of_four_hundred(Play { routers: 400, needs: (250, Duration::from_millis(200)), ..PLAY }, 1)]
fn a_loss_is_decided_at_once(#[case] case: Play, #[case] times: u32) {
    let case = Play { until: FROM + case.needs.1 * times, ..case };
    for seed in 0..10 {
        let out = play(&case, seed);
        let longest = out.decided.iter().max().copied().unwrap_or_default();
        assert!(longest <= 50 * MS, "seed {seed}: {longest:?}");
        assert_eq!(out.refused, 0, "seed {seed}");
    }
}

/// Routers that do not answer hold a loss up for one short wait.
#[test]
fn dead_lenders_cost_one_wait() {
    let needs = (100, Duration::from_millis(200));
    let case = Play { dead: 3, needs, until: FROM + needs.1, ..PLAY };
    for seed in 0..10 {
        let out = play(&case, seed);
        let longest = out.decided.iter().max().copied().unwrap_or_default();
        assert!(longest <= 2 * ANSWER + 50 * MS, "seed {seed}: {longest:?}");
        assert_eq!(out.refused, 0, "seed {seed}");
    }
}

/// All routers are short at once, and each asks all others again and again.
#[test]
fn a_lasting_shortage_makes_few_questions() {
    for (routers, most) in [(26, 40.0), (400, 40.0)] {
        let out = play(&Play { routers, needy: routers, ..PLAY }, 1);
        let asked = out.questions.iter().max().copied().unwrap_or_default() as f64;
        let rate = asked / (END - FROM).as_secs_f64();
        assert!(rate <= most, "{rate:.1} questions a second at one of {routers} routers");
    }
}

/// With lending off, most of the budget lies idle: the plays show what they are meant to.
#[test]
fn without_loans_the_budget_lies_idle() {
    let used = most(&play(&Play { lend: false, ..PLAY }, 1));
    assert!(used < 0.1, "{used:.3} used");
}

const ROLLING: Rolling = Rolling {
    every: Duration::from_millis(600),
    gap: Duration::ZERO,
    moves: false,
    ends: true,
    word: Word::Ready,
    killed: None,
};

const SLOW: Rolling = Rolling { every: Duration::from_secs(1), ..ROLLING };

/// Callers go elsewhere from when a process is told to stop until the next one starts.
const MOVING: Rolling = Rolling { gap: Duration::from_secs(1), moves: true, ..ROLLING };

/// All routers have heavy use, and are then restarted in turn.
const USED: Play = Play {
    needy: 26,
    until: RESTART,
    rolling: Some(ROLLING),
    end: Duration::from_secs(70),
    ..PLAY
};

/// All routers are restarted in turn while no stream breaks off.
const QUIET: Play = Play { needy: 0, ..USED };

/// When the last router has just learnt who the others are after its restart.
fn restarted(case: &Play) -> Duration {
    let rolling = case.rolling.expect("a rolling restart");
    RESTART + rolling.every * (case.routers as u32 - 1) + STOPPING + rolling.gap + JOIN
}

/// The most that was used in windows that end at some moment or later, by seed, within the bound in all windows.
fn used_from(case: &Play, from: Duration) -> Vec<f64> {
    let outs: Vec<Outcome> = (0..5).map(|seed| play(case, seed)).collect();
    let all: Vec<f64> = outs.iter().map(most).collect();
    assert!(all.iter().all(|used| *used <= 1.0), "used at most: {all:.3?}");
    outs.iter().map(|out| most_from(out, from)).collect()
}

/// Routers are restarted in turn and then one has all the loss, while the parts of those that have started lie idle.
#[rstest]
#[case::used_twenty_six(USED, 0)]
#[case::used_twenty_six_slowly(Play { rolling: Some(SLOW), ..USED }, 0)]
#[case::used_twenty_two(Play { routers: 22, needy: 22, ..USED }, 0)]
#[case::used_twenty_two_slowly(Play { routers: 22, needy: 22, rolling: Some(SLOW), ..USED }, 0)]
#[case::used_loss_at_the_last(USED, 25)]
#[case::quiet_loss_at_the_first(QUIET, 0)]
#[case::quiet_loss_at_the_last(QUIET, 25)]
#[case::quiet_twenty_two(Play { routers: 22, ..QUIET }, 0)]
#[case::quiet_twenty_two_slowly(Play { routers: 22, rolling: Some(SLOW), ..QUIET }, 21)]
fn planned_restarts_leave_the_budget_usable(#[case] case: Play, #[case] loser: usize) {
    let at = restarted(&case) + 50 * MS;
    let used = used_from(&Play { loss: Some((loser, at)), ..case }, at);
    assert!(used.iter().all(|used| *used >= 0.9), "used after the restarts: {used:.3?}");
}

/// The callers of routers that are restarted go to others for some seconds, and a part of the budget lies idle for two
/// windows.
#[rstest]
#[case::used(Play { rolling: Some(MOVING), ..USED })]
#[case::used_slowly(Play { rolling: Some(Rolling { every: Duration::from_secs(1), ..MOVING }), ..USED })]
#[case::quiet(Play { rolling: Some(MOVING), ..QUIET })]
#[case::no_process_ends(Play { rolling: Some(Rolling { ends: false, ..MOVING }), ..QUIET })]
fn callers_that_move_leave_the_budget_usable(#[case] case: Play) {
    let at = restarted(&case) + 50 * MS;
    let used = used_from(&Play { loss: Some((0, at)), ..case }, at);
    assert!(used.iter().all(|used| *used >= 0.9), "used after the restarts: {used:.3?}");
}

/// The use that the plays above begin with is heavy.
#[test]
fn the_budget_is_used_before_the_restarts() {
    for seed in 0..5 {
        let used = most(&play(&Play { rolling: None, end: RESTART, ..USED }, seed));
        assert!((0.9..=1.0).contains(&used), "seed {seed}: {used:.3} used");
    }
}

/// A process that learns late what the one before it used goes on with a small part of its own.
#[rstest]
#[case::used(USED, 0)]
#[case::quiet(QUIET, 25)]
fn a_late_word_makes_the_budget_usable(#[case] case: Play, #[case] loser: usize) {
    let late = Duration::from_secs(2);
    let rolling = Some(Rolling { word: Word::Late(late), ..ROLLING });
    let case = Play { rolling, ..case };
    let at = restarted(&case) + late;
    let used = used_from(&Play { loss: Some((loser, at)), ..case }, at);
    assert!(used.iter().all(|used| *used >= 0.9), "used after the word: {used:.3?}");
}

/// The plays above without restarts: the loss is one that can use the budget.
#[rstest]
#[case::used(Play { rolling: None, ..USED })]
#[case::quiet(Play { rolling: None, ..QUIET })]
fn without_restarts_the_budget_is_usable(#[case] case: Play) {
    let at = restarted(&USED) + 50 * MS;
    let used = used_from(&Play { loss: Some((0, at)), ..case }, at);
    assert!(used.iter().all(|used| *used >= 0.9), "used: {used:.3?}");
}

/// More repeats than allowed arrive, as what a process handed over comes late or not at all, or its successor is killed.
#[rstest]
#[case::ready(ROLLING)]
#[case::ready_slowly(SLOW)]
#[case::at_once(Rolling { every: Duration::ZERO, ..ROLLING })]
#[case::late(Rolling { word: Word::Late(Duration::from_secs(2)), ..ROLLING })]
#[case::very_late(Rolling { word: Word::Late(Duration::from_secs(9)), ..ROLLING })]
#[case::lost(Rolling { word: Word::Lost, ..ROLLING })]
#[case::undated(Rolling { word: Word::Undated, ..ROLLING })]
#[case::undated_at_once(Rolling { word: Word::Undated, every: Duration::ZERO, ..ROLLING })]
#[case::killed(Rolling { killed: Some(Duration::from_secs(2)), ..ROLLING })]
#[case::killed_at_once(Rolling { every: Duration::ZERO, killed: Some(Duration::from_secs(2)), ..ROLLING })]
#[case::moving(MOVING)]
#[case::moving_at_once(Rolling { every: Duration::ZERO, ..MOVING })]
#[case::moving_late(Rolling { word: Word::Late(Duration::from_secs(2)), ..MOVING })]
#[case::moving_lost(Rolling { word: Word::Lost, ..MOVING })]
#[case::moving_undated(Rolling { word: Word::Undated, ..MOVING })]
#[case::moving_killed(Rolling { killed: Some(Duration::from_secs(2)), ..MOVING })]
#[case::killed_before_the_word(Rolling {
    word: Word::Late(Duration::from_secs(2)), killed: Some(Duration::from_secs(1)), ..ROLLING
})]
fn the_budget_is_kept_over_planned_restarts(#[case] rolling: Rolling) {
    let case = Play { until: USED.end, rolling: Some(rolling), ..USED };
    for seed in 0..10 {
        let used = most(&play(&case, seed));
        assert!(used <= 1.0, "seed {seed}: {used:.3} used");
        assert!(used >= case.least, "seed {seed}: {used:.3} used");
    }
}

/// Two processes use one word, and what the first of them used is used again.
#[rstest]
#[case::once(Word::Ready, 0.9, 1.0)]
#[case::twice(Word::Twice, 1.5, 2.0)]
fn a_word_is_for_one_process(#[case] word: Word, #[case] least: f64, #[case] highest: f64) {
    let killed = Some(Duration::from_millis(1200));
    let rolling = Rolling { every: Duration::ZERO, word, killed, ..ROLLING };
    let case = Play { rolling: Some(rolling), needs: (60, 50 * MS), ..QUIET };
    let case = Play { loss: Some((0, restarted(&case) + 50 * MS)), ..case };
    for seed in 0..5 {
        let used = most(&play(&case, seed));
        assert!(used >= least && used <= highest, "seed {seed}: {used:.3} used");
    }
}

/// Streams are refused repeats while other routers have some, as these are not asked again for some time.
#[rstest]
#[case::steady(PLAY)]
#[case::requests_rise(Play { rises: Some(Duration::from_secs(27)), ..PLAY })]
fn nobody_is_refused_while_others_have_some(#[case] case: Play) {
    let outs: Vec<Outcome> = (0..5).map(|seed| play(&case, seed)).collect();
    let free: Vec<f64> =
        outs.iter().map(|out| out.free.iter().copied().fold(0.0, f64::max)).collect();
    let wrongly = outs.iter().map(|out| out.free.iter().filter(|free| **free > 0.1).count());
    let counts: Vec<(usize, usize)> = wrongly.zip(outs.iter().map(|out| out.refused)).collect();
    assert!(
        free.iter().all(|free| *free <= 0.1),
        "free at most: {free:.3?}; wrongly, of all refused: {counts:?}"
    );
}

/// One stream asks the routers that do not answer one after the other.
#[test]
fn dead_lenders_cost_a_single_stream_one_wait() {
    let needs = (1, Duration::from_millis(200));
    let until = FROM + Duration::from_secs(5);
    let case = Play { dead: 8, requests: 0.1, needs, until, ..PLAY };
    let longest: Vec<Duration> = (0..10)
        .map(|seed| play(&case, seed).decided.into_iter().max().unwrap_or_default())
        .collect();
    assert!(longest.iter().all(|longest| *longest <= 2 * ANSWER + 50 * MS), "{longest:?}");
}
