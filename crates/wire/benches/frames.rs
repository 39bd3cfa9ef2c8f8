//! Time and size of the frequent frames: one step and one output for each token and range.
//!
//! `cargo bench -p wire` prints, for one position and for a prompt of 512, the bytes of a frame
//! and the nanoseconds of encoding and decoding it, beside those of the same message with derived
//! serde implementations.

use std::hint::black_box;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use wire::codec;
use wire::frame::{Output, Sample, Step};

const ROUNDS: u32 = 20_000;

/// [`Step`] with derived visitors, for comparison.
#[derive(Serialize, Deserialize)]
struct DerivedStep {
    position: u32,
    inputs: Vec<u64>,
}

/// [`Output`] with derived visitors, for comparison.
#[derive(Serialize, Deserialize)]
struct DerivedOutput {
    position: u32,
    outputs: Vec<u64>,
    token: Option<Sample>,
}

fn main() {
    let mut rng = Pcg64::seed_from_u64(1);
    println!("{:<28}{:>8}{:>12}{:>12}", "frame", "bytes", "encode ns", "decode ns");
    for count in [1, 512] {
        let states: Vec<u64> = (0..count).map(|_| rng.random()).collect();
        let token = Some(Sample { id: 77, text: " w77".into(), end: false });
        row("step, derived", count, &DerivedStep { position: 9, inputs: states.clone() });
        row("step", count, &Step { position: 9, inputs: states.clone() });
        let derived = DerivedOutput { position: 9, outputs: states.clone(), token: token.clone() };
        row("output, derived", count, &derived);
        row("output", count, &Output { position: 9, outputs: states, token });
    }
}

fn row<T: Serialize + DeserializeOwned>(name: &str, count: usize, message: &T) {
    let raw = codec::encode(message).expect("a message encodes");
    let encode = time(|| {
        black_box(codec::encode(black_box(message)).expect("a message encodes"));
    });
    let decode = time(|| {
        black_box(codec::decode::<T>(black_box(&raw[4..])).expect("a frame decodes"));
    });
    println!(
        "{:<28}{:>8}{:>12}{:>12}",
        format!("{name}, {count} positions"),
        raw.len(),
        encode.as_nanos(),
        decode.as_nanos(),
    );
}

fn time(mut run: impl FnMut()) -> Duration {
    let begun = Instant::now();
    for _ in 0..ROUNDS {
        run();
    }
    begun.elapsed() / ROUNDS
}
