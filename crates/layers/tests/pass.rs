//! Rates of servers by the passes of their engines.

mod model;

use layers::{Card, Shape};
use model::{PASS, SHAPE};
use rstest::rstest;

struct Case {
    card: Card,
    layers: u32,
    /// Upper bound of the mean prompts that a simulated server reads in a second.
    most: f64,
}

/// Simulates passes of a server that always has prompts to read. Returns the prompts that it reads in a second.
/// Each prompt that is read leads to one event for each `stride` tokens of an answer.
fn simulated_rate(card: &Card, layers: u32) -> f64 {
    let part = f64::from(layers) / f64::from(SHAPE.layers);
    let (mut now, mut read, mut pass_ms) = (0.0, 0.0, 10.0);
    for _ in 0..20_000 {
        let rate = PASS.chunk / PASS.prompt / pass_ms;
        let writers = rate * PASS.answer / PASS.stride * pass_ms;
        let step = SHAPE.step_ms + PASS.per_seq_ms * writers;
        let reading = PASS.chunk * card.read / SHAPE.read_per_ms;
        pass_ms = part * (PASS.stride * card.pace * step + reading);
        (now, read) = (now + pass_ms, read + PASS.chunk);
    }
    read / PASS.prompt / now * 1e3
}

/// A slow card with an eighth of the model gets all requests of its data centre, since the nominal rate of its
/// accelerator suffices. It reads one chunk of a prompt in a pass, and its passes are long: prompts wait for
/// seconds. The rate that a router expects must be the rate that the passes allow.
#[rstest]
#[case::fast(Case { card: Card { bytes: 72e9, pace: 2.4, read: 3.2 }, layers: 28, most: 110.0 })]
#[case::middle(Case { card: Card { bytes: 43.2e9, pace: 5.6, read: 2.7 }, layers: 16, most: 110.0 })]
#[case::slow(Case { card: Card { bytes: 21.6e9, pace: 16.0, read: 8.2 }, layers: 8, most: 75.0 })]
fn rate_is_what_passes_allow(#[case] case: Case) {
    let rate = SHAPE.rate(&case.card, case.layers, 1.0).unwrap() * 1e3;
    let simulated = simulated_rate(&case.card, case.layers);
    assert!((rate - simulated).abs() < 0.02 * simulated, "{rate} {simulated}");
    assert!(rate < case.most);
    let busy = SHAPE.prefill_ms(&case.card, case.layers, 1.0, PASS.prompt);
    assert!((busy * rate - 1e3).abs() < 1.0, "busy all the time at that rate: {busy}");
}

/// The platform gives no parameters of passes, or invalid ones. Requests must still be served, by the rate of the
/// accelerator.
#[test]
fn without_passes_the_accelerator_counts() {
    let shape = Shape { pass: None, ..SHAPE };
    let card = Card { bytes: 72e9, pace: 2.4, read: 3.2 };
    assert_eq!(shape.rate(&card, 28, 1.0), None);
    let ms = shape.prefill_ms(&card, 80, 1.0, 245.0);
    assert!((ms - 3.2 / 0.6).abs() < 1e-9, "{ms}");
}
