//! A model of eighty layers and three accelerator types, for tests and the benchmark.

// Each test uses only some of the items.
#![allow(dead_code)]

use layers::pass::Pass;
use layers::{Card, Shape};

pub const PASS: Pass = Pass {
    stride: 4.0,
    chunk: 512.0,
    per_seq_ms: 0.0067,
    slots: 192.0,
    prompt: 775.0,
    answer: 214.0,
};

pub const SHAPE: Shape = Shape {
    layers: 80,
    layer_bytes: 1.75e9,
    token_bytes: 4912.0,
    step_ms: 1.02,
    read_per_ms: 245.0,
    cross_ms: 0.75,
    cross_token_ms: 0.025,
    pause_ms: 200.0,
    pass: Some(PASS),
};

pub const FAST: Card = Card { bytes: 72e9, pace: 2.4, read: 3.2 };
pub const MIDDLE: Card = Card { bytes: 43.2e9, pace: 5.6, read: 2.7 };
pub const SLOW: Card = Card { bytes: 21.6e9, pace: 16.0, read: 8.2 };
