//! Several copies of the model in one data centre, distributed by the rates of its servers.

mod model;

use layers::placement::plan;
use layers::{Card, Server, Span};
use model::{FAST, MIDDLE, PASS, SHAPE, SLOW};

/// Requests per millisecond of one data centre on a day without load peaks.
const BASE_RATE: f64 = 0.08;

fn server(card: Card) -> Server {
    Server { zone: 0, card, span: Span::default(), usable: true, busy: false, slow: false }
}

/// A data centre of unequal cards that has carried out all orders of placement.
fn settled() -> Vec<Server> {
    let mut servers = cards(&[(FAST, 2), (MIDDLE, 5), (SLOW, 13)]);
    settle(&mut servers);
    servers
}

fn cards(counts: &[(Card, usize)]) -> Vec<Server> {
    counts.iter().flat_map(|(card, n)| (0..*n).map(|_| server(*card))).collect()
}

fn settle(servers: &mut [Server]) {
    for _ in 0..20 {
        for order in plan(servers, &SHAPE, false) {
            assert!(servers[order.server].card.room(&SHAPE, order.span.len()) > 0.0);
            servers[order.server].span = order.span;
        }
    }
}

/// Requests per millisecond that the servers can run of the layer with the lowest rate.
fn rate(servers: &[Server]) -> f64 {
    let of = |layer: u32| -> f64 {
        let held = servers.iter().filter(|s| s.usable && s.span.contains(layer));
        held.filter_map(|s| SHAPE.rate(&s.card, s.span.len(), 1.0)).sum()
    };
    (0..SHAPE.layers).map(of).fold(f64::INFINITY, f64::min)
}

/// Requests whose context fits beside the layer with the least free memory.
fn room(servers: &[Server]) -> f64 {
    let of = |layer: u32| -> f64 {
        let held = servers.iter().filter(|s| s.usable && s.span.contains(layer));
        held.map(|s| s.card.room(&SHAPE, s.span.len())).sum()
    };
    let tokens = (0..SHAPE.layers).map(of).fold(f64::INFINITY, f64::min);
    tokens / (PASS.prompt + PASS.answer / 2.0)
}

/// The few fast cards that hold a whole copy take all requests of a data centre, while most of its cards are idle.
/// Callers wait for the prefill of prompts although the cards together could read twice as many.
#[test]
fn copies_carry_twice_the_base_rate() {
    let servers = settled();
    assert!(rate(&servers) >= 2.0 * BASE_RATE, "{}", rate(&servers));
    // A request takes two and a half seconds when nothing waits.
    assert!(room(&servers) >= 2.0 * BASE_RATE * 2500.0, "{}", room(&servers));
    let heads = servers.iter().filter(|s| s.span.from == 0 && !s.span.is_empty()).count();
    assert!(
        heads as f64 * PASS.slots >= 2.0 * BASE_RATE * 2500.0,
        "{heads} servers begin requests"
    );
}

/// One server crashes. Until it is back, the other copies serve the callers of the data centre; at every layer they
/// must have the rate for the requests of a day without load peaks.
#[test]
fn any_loss_leaves_the_base_rate() {
    let servers = settled();
    for lost in 0..servers.len() {
        let mut after = servers.clone();
        after[lost].usable = false;
        assert!(rate(&after) >= BASE_RATE, "server {lost}: {}", rate(&after));
    }
}

/// A crashed server restarts empty. If it got other layers than those that it held, the rate of its data centre would
/// stay as low as right after the crash.
#[test]
fn an_empty_server_takes_the_slowest_layers() {
    let servers = settled();
    let before = rate(&servers);
    for lost in 0..servers.len() {
        let mut after = servers.clone();
        after[lost].span = Span::default();
        settle(&mut after);
        assert!(rate(&after) >= 0.9 * before, "server {lost}: {} of {before}", rate(&after));
    }
}

/// Small cards begin requests, and by their rate alone could hold many layers for it. A server that is
/// ordered to hold more layers than fit its memory crashes, and all requests that pass through it break off.
#[test]
fn no_card_gets_more_than_its_memory_holds() {
    let large = Card { bytes: 36e9, pace: 3.1, read: 3.2 };
    let middle = Card { bytes: 21.6e9, pace: 16.0, read: 8.2 };
    let small = Card { bytes: 14.4e9, pace: 15.0, read: 15.0 };
    for counts in (0..6).flat_map(|l| (0..14).flat_map(move |m| (0..20).map(move |s| (l, m, s)))) {
        let mut servers = cards(&[(large, counts.0), (middle, counts.1), (small, counts.2)]);
        settle(&mut servers);
        for server in &servers {
            assert!(server.span.len() <= server.card.capacity(&SHAPE, 0.0), "{counts:?}");
        }
    }
}
