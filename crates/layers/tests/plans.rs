//! Placement of a small fleet, checked over all interleavings of losses, restarts and completed orders.

use std::collections::{HashSet, VecDeque};

use layers::placement::plan;
use layers::{Card, Server, Shape, Span};

const SHAPE: Shape = Shape {
    layers: 6,
    layer_bytes: 1e9,
    token_bytes: 1e3,
    step_ms: 1.0,
    read_per_ms: 100.0,
    cross_ms: 0.6,
    cross_token_ms: 0.01,
    pause_ms: 200.0,
    pass: None,
};

/// Room for two and three layers: five servers hold the model twice, less one layer.
const CARDS: [Card; 5] = [
    Card { bytes: 3.4e9, pace: 1.0, read: 1.0 },
    Card { bytes: 3.4e9, pace: 1.0, read: 1.0 },
    Card { bytes: 2.3e9, pace: 2.0, read: 2.0 },
    Card { bytes: 2.3e9, pace: 2.0, read: 2.0 },
    Card { bytes: 2.3e9, pace: 2.0, read: 2.0 },
];

/// Most servers that are lost in one sequence.
const MAX_LOSSES: u8 = 2;

/// Rounds of planning and loading after which there must be no more orders.
const MAX_ROUNDS: usize = 20;

/// One server, with the layers that it holds or will hold once its order is done.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Slot {
    span: Span,
    busy: bool,
    gone: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Fleet {
    slots: [Slot; CARDS.len()],
    losses: u8,
}

impl Fleet {
    fn servers(&self) -> Vec<Server> {
        let server = |(slot, card): (&Slot, &Card)| Server {
            zone: 0,
            card: *card,
            span: slot.span,
            usable: !slot.gone,
            busy: slot.busy,
            slow: false,
        };
        self.slots.iter().zip(&CARDS).map(server).collect()
    }

    fn held(&self, layer: u32) -> bool {
        self.slots.iter().any(|slot| !slot.gone && slot.span.contains(layer))
    }

    /// The fleet after the orders of a plan are given. None if there are no orders.
    fn planned(&self, lasting: bool) -> Option<Fleet> {
        let orders = plan(&self.servers(), &SHAPE, lasting);
        let mut next = self.clone();
        for order in &orders {
            let slot = &mut next.slots[order.server];
            assert!(!slot.gone && !slot.busy, "{order:?} in {self:?}");
            let memory = f64::from(order.span.len()) * SHAPE.layer_bytes;
            assert!(memory <= CARDS[order.server].bytes, "{order:?} in {self:?}");
            (slot.span, slot.busy) = (order.span, true);
        }
        let given_up = (0..SHAPE.layers).find(|layer| self.held(*layer) && !next.held(*layer));
        assert_eq!(given_up, None, "{orders:?} in {self:?}");
        (!orders.is_empty()).then_some(next)
    }

    /// All fleets that one step can lead to.
    fn after(&self) -> Vec<Fleet> {
        let mut all: Vec<Fleet> =
            [false, true].into_iter().filter_map(|lasting| self.planned(lasting)).collect();
        for (i, slot) in self.slots.iter().enumerate() {
            let mut next = self.clone();
            match () {
                () if slot.gone => next.slots[i] = Slot::default(),
                () if self.losses < MAX_LOSSES => {
                    next.slots[i] = Slot { gone: true, ..Slot::default() };
                    next.losses += 1;
                }
                () => {}
            }
            all.push(next);
            if slot.busy {
                let mut next = self.clone();
                next.slots[i].busy = false;
                all.push(next);
            }
        }
        all
    }

    /// Plans and loads until there are no more orders. None if they don't end.
    fn settled(&self) -> Option<Fleet> {
        let mut fleet = self.clone();
        for _ in 0..MAX_ROUNDS {
            fleet.slots.iter_mut().for_each(|slot| slot.busy = false);
            match fleet.planned(true) {
                Some(next) => fleet = next,
                None => return Some(fleet),
            }
        }
        None
    }
}

/// Servers are lost, restart empty and complete their orders at any time between two plans. A plan must never order
/// a server that is gone or busy, order more layers than fit a server's memory, or give up the last copy of a layer:
/// requests through it would fail until it is loaded again. Orders must also end, or servers would load forever.
#[test]
fn plans_under_all_interleavings() {
    let start = Fleet { slots: [Slot::default(); CARDS.len()], losses: 0 };
    let (mut seen, mut open) = (HashSet::from([start.clone()]), VecDeque::from([start]));
    while let Some(fleet) = open.pop_front() {
        assert!(fleet.settled().is_some(), "orders never end from {fleet:?}");
        for next in fleet.after() {
            if seen.insert(next.clone()) {
                open.push_back(next);
            }
        }
    }
    assert!(seen.len() > 1000, "{} fleets", seen.len());
}
