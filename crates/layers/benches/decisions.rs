//! Measures the decisions about a model's layers for sixty servers in three data centres: a path for a request,
//! and placement while all servers are empty and while all layers are held.

#[path = "../tests/model/mod.rs"]
mod model;

use std::hint::black_box;
use std::time::{Duration, Instant};

use layers::path::{Holder, Query, find};
use layers::placement::plan;
use layers::{Card, Server, Span};
use model::{FAST, MIDDLE, SHAPE, SLOW};

/// Time for which each decision is measured.
const MEASURE_TIME: Duration = Duration::from_millis(500);

fn main() {
    let empty = servers();
    let mut held = empty.clone();
    for order in plan(&held.clone(), &SHAPE, false) {
        held[order.server].span = order.span;
    }
    let holders: Vec<Holder> = held.iter().enumerate().map(holder).collect();
    let query =
        Query { from: 0, layers: 80, zone: 0, remote_begin_ms: 300.0, cross_ms: &|_, _| 500.0 };
    measure("path", || drop(black_box(find(black_box(&holders), &query))));
    measure("first orders", || drop(black_box(plan(black_box(&empty), &SHAPE, false))));
    measure("no orders", || drop(black_box(plan(black_box(&held), &SHAPE, false))));
}

fn servers() -> Vec<Server> {
    let cards = [(FAST, 2), (MIDDLE, 5), (SLOW, 13)];
    let one = |zone| {
        let of = move |(card, n): (Card, usize)| (0..n).map(move |_| server(zone, card));
        cards.into_iter().flat_map(of)
    };
    (0..3).flat_map(one).collect()
}

fn server(zone: u16, card: Card) -> Server {
    Server { zone, card, span: Span::default(), usable: true, busy: false, slow: false }
}

fn holder((server, of): (usize, &Server)) -> Holder {
    let layer_ms = of.card.pace;
    Holder { server, zone: of.zone, span: of.span, layer_ms, hop_ms: 0.2, begin_ms: 0.0 }
}

fn measure(name: &str, decide: impl Fn()) {
    let (began, mut count) = (Instant::now(), 0_u32);
    while began.elapsed() < MEASURE_TIME {
        decide();
        count += 1;
    }
    println!("{name}: {:.1} µs", began.elapsed().as_secs_f64() * 1e6 / f64::from(count));
}
