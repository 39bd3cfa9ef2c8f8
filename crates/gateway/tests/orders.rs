//! Who may give orders, explored over all interleavings of a few steps.
//!
//! The model has the steps of `leader`: a term is begun by a record where the log ends, the server is asked how many
//! orders it accepted, the order is written down where the log ended under the term, and then sent with that number. Each
//! step may come at any time after the one before, so a router that is frozen or cut off between two of them is covered. An
//! append may be carried out without an answer, or later, a process may end and the next one begin, and a sent order may
//! arrive at any time or never.

use std::collections::{HashSet, VecDeque};

/// Number of a term, in the order in which the log took them.
type Number = u8;

/// Position in the log of orders.
type Offset = u8;

/// Changes of the group that are explored.
const MOVES: u8 = 2;

/// Orders that each router may send.
const ORDERS: u8 = 2;

/// Appends without an answer, and ends of processes.
const LOST: u8 = 1;
const RESTARTS: u8 = 1;

/// Joins after which the holder of the seat has to give orders, if nothing else happens.
const JOINS: usize = 2;

/// The right to give orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Term {
    number: Number,
    /// Where the log ends, as far as the router knows.
    end: Offset,
}

/// What one router has come to.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Router {
    /// Whether it heard that it holds the first seat, and has not begun a term since.
    joined: bool,
    /// Where it last heard that the log ends.
    end: Offset,
    term: Option<Term>,
    /// Number of orders the server said it had accepted.
    asked: Option<u8>,
    written: bool,
    sent: u8,
}

impl Router {
    /// Ends its term.
    fn stop(&mut self, end: Offset) {
        *self = Router { end, sent: self.sent, ..Router::default() };
    }
}

/// An order under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Order {
    term: Number,
    after: u8,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct World {
    moves: u8,
    /// Router that holds the first seat.
    holder: usize,
    /// Where the log of orders ends.
    end: Offset,
    /// Terms that were begun.
    terms: Number,
    routers: [Router; 2],
    /// Where the log has to end for appends that arrive late.
    late: Vec<Offset>,
    lost: u8,
    restarts: u8,
    under_way: Vec<Order>,
    /// Terms of the orders that the server carried out.
    done: Vec<Number>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Step {
    MoveSeat(usize),
    Join(usize),
    Begin(usize),
    Ask(usize),
    Write(usize),
    /// Its append is carried out, and not answered.
    WriteUnanswered(usize),
    /// Its append is not answered, and arrives later.
    WriteLate(usize),
    ArriveLate(usize),
    Restart(usize),
    Send(usize),
    Arrive(usize),
}

/// What is left out of the protocol, to see that the checks would notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// The log takes appends wherever it ends.
    Condition,
    /// The server carries out orders whatever number they name.
    Number,
    /// A router that is refused does not hear where the log ends.
    End,
}

/// The protocol, with one part left out.
struct Protocol(Without);

impl Protocol {
    /// All worlds that one step leads to.
    fn after(&self, world: &World) -> Vec<World> {
        let of = |i| {
            [
                Step::MoveSeat(i),
                Step::Join(i),
                Step::Begin(i),
                Step::Ask(i),
                Step::Write(i),
                Step::WriteUnanswered(i),
                Step::WriteLate(i),
                Step::Restart(i),
                Step::Send(i),
            ]
        };
        let steps = (0..world.routers.len()).flat_map(of);
        let late = (0..world.late.len()).map(Step::ArriveLate);
        let arrivals = (0..world.under_way.len()).map(Step::Arrive);
        steps.chain(late).chain(arrivals).filter_map(|step| self.step(world, step)).collect()
    }

    /// Whether the log takes an append that names an end.
    fn takes(&self, world: &World, end: Offset) -> bool {
        end == world.end || self.0 == Without::Condition
    }

    /// Where a router that is refused takes the log to end.
    fn heard(&self, world: &World, before: Offset) -> Offset {
        if self.0 == Without::End { before } else { world.end }
    }

    /// What a step leads to; none if it can't be made now.
    fn step(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::MoveSeat(i) if i != world.holder && world.moves < MOVES => {
                (next.holder, next.moves) = (i, world.moves + 1);
            }
            Step::Join(i) if i == world.holder && world.routers[i].term.is_none() => {
                next.routers[i].joined = true;
            }
            // The seat may have moved since the join.
            Step::Begin(i) if world.routers[i].joined => {
                let router = &mut next.routers[i];
                router.joined = false;
                match self.takes(world, router.end) {
                    true => {
                        (next.end, next.terms) = (world.end + 1, world.terms + 1);
                        router.end = next.end;
                        router.term = Some(Term { number: next.terms, end: next.end });
                    }
                    false => router.end = self.heard(world, router.end),
                }
            }
            Step::Ask(i) if world.routers[i].sent < ORDERS && world.routers[i].asked.is_none() => {
                world.routers[i].term?;
                next.routers[i].asked = Some(world.done.len() as u8);
                next.routers[i].written = false;
            }
            Step::Write(i) if world.routers[i].asked.is_some() && !world.routers[i].written => {
                let (term, router) = (world.routers[i].term?, &mut next.routers[i]);
                match self.takes(world, term.end) {
                    true => {
                        next.end += 1;
                        router.term = Some(Term { end: next.end, ..term });
                        router.written = true;
                    }
                    false => router.stop(self.heard(world, term.end)),
                }
            }
            Step::WriteUnanswered(i) | Step::WriteLate(i)
                if world.lost < LOST
                    && world.routers[i].asked.is_some()
                    && !world.routers[i].written =>
            {
                let term = world.routers[i].term?;
                next.lost += 1;
                match step {
                    Step::WriteLate(_) => next.late.push(term.end),
                    _ => next.end += u8::from(self.takes(world, term.end)),
                }
                next.routers[i].stop(term.end);
            }
            Step::ArriveLate(at) => {
                let end = next.late.remove(at);
                next.end += u8::from(self.takes(world, end));
            }
            Step::Restart(i) if world.restarts < RESTARTS => {
                next.restarts += 1;
                next.routers[i].stop(0);
            }
            Step::Send(i) if world.routers[i].written => {
                let router = &mut next.routers[i];
                let (term, after) = (router.term?.number, router.asked.take()?);
                (router.written, router.sent) = (false, router.sent + 1);
                next.under_way.push(Order { term, after });
                next.under_way.sort();
            }
            Step::Arrive(at) => {
                let order = next.under_way.remove(at);
                if usize::from(order.after) == world.done.len() || self.0 == Without::Number {
                    next.done.push(order.term);
                }
            }
            _ => return None,
        }
        Some(next)
    }

    /// All worlds that any series of steps leads to, up to the first one that is wanted.
    fn worlds(&self, wanted: impl Fn(&World) -> bool) -> (HashSet<World>, Option<World>) {
        let start = World::default();
        let (mut seen, mut open) = (HashSet::from([start.clone()]), VecDeque::from([start]));
        while let Some(world) = open.pop_front() {
            if wanted(&world) {
                return (seen, Some(world));
            }
            for next in self.after(&world) {
                if seen.insert(next.clone()) {
                    open.push_back(next);
                }
            }
        }
        (seen, None)
    }

    /// Whether the holder of the seat writes an order down soon, if nothing else happens.
    fn goes_on(&self, world: &World) -> bool {
        let (i, mut world) = (world.holder, world.clone());
        // Its last order is as good as sent, and it may send more.
        let router = &mut world.routers[i];
        (router.sent, router.asked, router.written) = (0, None, false);
        let mut take = |step| {
            let next = self.step(&world, step);
            let taken = next.is_some();
            world = next.unwrap_or(world.clone());
            taken && world.routers[i].written
        };
        (0..=JOINS).any(|_| {
            [Step::Join(i), Step::Begin(i), Step::Ask(i), Step::Write(i)].into_iter().any(&mut take)
        })
    }
}

/// Whether an order of an older term was carried out behind one of a newer term.
fn undone(world: &World) -> bool {
    world.done.windows(2).any(|terms| terms[0] > terms[1])
}

/// A router that was frozen or cut off goes on where it stopped while another has taken over, and its orders
/// arrive seconds late. If one of them were carried out behind a newer one, a server would drop the
/// layers that the newer one gave it, and all requests through them.
#[test]
fn no_order_of_the_past_undoes_a_newer_one() {
    let (worlds, undone) = Protocol(Without::Nothing).worlds(undone);
    assert_eq!(undone, None);
    // The search did come to where both routers gave orders, and to more than a handful of worlds.
    assert!(worlds.iter().any(|w| w.done.windows(2).any(|terms| terms[0] < terms[1])));
    assert!(worlds.len() > 1000, "{} worlds", worlds.len());
}

/// An append without an answer, a process that ends or a seat that moves leaves its holder unable to give orders.
#[test]
fn the_holder_of_the_seat_can_always_give_orders() {
    let protocol = Protocol(Without::Nothing);
    let (_, stuck) = protocol.worlds(|world| !protocol.goes_on(world));
    assert_eq!(stuck, None);
}

/// The check must notice what the condition and the number of orders are for.
#[rstest::rstest]
#[case::condition(Without::Condition)]
#[case::number(Without::Number)]
fn the_check_notices_what_is_left_out(#[case] without: Without) {
    assert!(Protocol(without).worlds(undone).1.is_some());
}

/// The check must notice a router that begins at the same end again and again.
#[test]
fn the_check_notices_a_holder_that_is_stuck() {
    let protocol = Protocol(Without::End);
    assert!(protocol.worlds(|world| !protocol.goes_on(world)).1.is_some());
}
