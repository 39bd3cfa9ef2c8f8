//! Who may give orders, explored over all interleavings of a few steps.
//!
//! The model has the steps of `leader`: a term is begun by an append with the generation as epoch, the
//! server is asked how many orders it accepted, the order is written down under the epoch, and then
//! sent with that number. Each step may come at any time after the one before, so a router that
//! is frozen or cut off between two of them is covered, and a sent order may arrive at any
//! time or never.

use std::collections::{HashSet, VecDeque};

type Epoch = u8;

/// Changes of the group that are explored.
const GENERATIONS: Epoch = 3;

/// Orders that each router may send.
const ORDERS: u8 = 2;

/// What one router has come to.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Router {
    /// Generation in which it heard that it holds the first seat.
    joined: Option<Epoch>,
    term: Option<Epoch>,
    /// Number of orders the server said it had accepted.
    asked: Option<u8>,
    written: bool,
    sent: u8,
}

/// An order under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Order {
    epoch: Epoch,
    after: u8,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct World {
    generation: Epoch,
    /// Router that holds the first seat.
    holder: usize,
    /// Highest epoch that the log of orders has seen.
    epoch: Epoch,
    routers: [Router; 2],
    under_way: Vec<Order>,
    /// Epochs of the orders that the server carried out.
    done: Vec<Epoch>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Step {
    MoveSeat(usize),
    Join(usize),
    Begin(usize),
    Ask(usize),
    Write(usize),
    Send(usize),
    Arrive(usize),
}

/// What is left out of the protocol, to see that the check would notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// The log accepts any epoch.
    Fence,
    /// The server carries out orders whatever number they name.
    Number,
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
                Step::Send(i),
            ]
        };
        let steps = (0..world.routers.len()).flat_map(of);
        let arrivals = (0..world.under_way.len()).map(Step::Arrive);
        steps.chain(arrivals).filter_map(|step| self.step(world, step)).collect()
    }

    /// What a step leads to; none if it can't be made now.
    fn step(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::MoveSeat(i) if i != world.holder && world.generation < GENERATIONS => {
                (next.holder, next.generation) = (i, world.generation + 1);
            }
            Step::Join(i) if i == world.holder && world.routers[i].term.is_none() => {
                next.routers[i].joined = Some(world.generation);
            }
            // The seat may have moved since the join.
            Step::Begin(i) if world.routers[i].term.is_none() => {
                let epoch = next.routers[i].joined.take()?;
                if epoch >= world.epoch || self.0 == Without::Fence {
                    (next.epoch, next.routers[i].term) = (world.epoch.max(epoch), Some(epoch));
                }
            }
            Step::Ask(i) if world.routers[i].term.is_some() && world.routers[i].sent < ORDERS => {
                next.routers[i].asked = Some(world.done.len() as u8);
                next.routers[i].written = false;
            }
            Step::Write(i) if world.routers[i].asked.is_some() && !world.routers[i].written => {
                let epoch = world.routers[i].term?;
                match epoch >= world.epoch || self.0 == Without::Fence {
                    true => next.routers[i].written = true,
                    // Refused: its term is over.
                    false => {
                        next.routers[i] =
                            Router { sent: world.routers[i].sent, ..Router::default() }
                    }
                }
            }
            Step::Send(i) if world.routers[i].written => {
                let router = &mut next.routers[i];
                let (epoch, after) = (router.term?, router.asked.take()?);
                (router.written, router.sent) = (false, router.sent + 1);
                next.under_way.push(Order { epoch, after });
                next.under_way.sort();
            }
            Step::Arrive(at) => {
                let order = next.under_way.remove(at);
                if usize::from(order.after) == world.done.len() || self.0 == Without::Number {
                    next.done.push(order.epoch);
                }
            }
            _ => return None,
        }
        Some(next)
    }

    /// All worlds that any series of steps leads to.
    fn worlds(&self) -> HashSet<World> {
        let start = World { generation: 1, ..World::default() };
        let (mut seen, mut open) = (HashSet::from([start.clone()]), VecDeque::from([start]));
        while let Some(world) = open.pop_front() {
            for next in self.after(&world) {
                if seen.insert(next.clone()) {
                    open.push_back(next);
                }
            }
        }
        seen
    }
}

/// Whether an order of an older epoch was carried out behind one of a newer epoch.
fn undone(world: &World) -> bool {
    world.done.windows(2).any(|epochs| epochs[0] > epochs[1])
}

/// A router that was frozen or cut off goes on where it stopped while another has taken over, and its orders
/// arrive seconds late. If one of them were carried out behind a newer one, a server would drop the
/// layers that the newer one gave it, and all requests through them.
#[test]
fn no_order_of_the_past_undoes_a_newer_one() {
    let worlds = Protocol(Without::Nothing).worlds();
    let undone = worlds.iter().find(|world| undone(world));
    assert!(undone.is_none(), "{undone:?}");
    // The search did come to where both routers gave orders, and to more than a handful of worlds.
    assert!(worlds.iter().any(|w| w.done.windows(2).any(|epochs| epochs[0] < epochs[1])));
    assert!(worlds.len() > 1000, "{} worlds", worlds.len());
}

/// The check must notice what the fence and the number of orders are for.
#[rstest::rstest]
#[case::fence(Without::Fence)]
#[case::number(Without::Number)]
fn the_check_notices_what_is_left_out(#[case] without: Without) {
    assert!(Protocol(without).worlds().iter().any(undone));
}
