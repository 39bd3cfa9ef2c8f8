//! The model that the engines compute: a real function of every layer run.
//!
//! Each layer mixes its seed, its input, its state so far and the position, and then
//! its output into its state. A layer that is skipped, run twice or run out of order
//! changes every later token, so an answer proves how it was computed.

use engine::Token;
use xxhash_rust::xxh3::xxh3_64;

/// Number of token ids.
pub const VOCAB: u64 = 4096;

/// One token in this many ends the answer.
const END_ONE_IN: u64 = 64;

/// Digits of a token's word.
const DIGITS: &[u8; 36] = b"0123456789abcdefghijklmnopqrstuvwxyz";

/// Length of a token's word after its `w`.
const WORD_DIGITS: usize = 3;

/// Seed of a layer, as the weight store hands it out.
///
/// ```
/// use fake::model::seed;
/// assert_eq!(seed("m", 1, 0), seed("m", 1, 0));
/// assert_ne!(seed("m", 1, 0), seed("m", 2, 0));
/// ```
pub fn seed(model: &str, version: u32, layer: u32) -> u64 {
    mix([xxh3_64(model.as_bytes()), u64::from(version), u64::from(layer), 1])
}

/// Hidden state that a token id enters the first layer with.
pub fn embed(id: u64) -> u64 {
    mix([id])
}

/// Token sampled from the hidden state that left the last layer.
///
/// ```
/// let token = fake::model::sample(4097);
/// assert_eq!((token.id, token.text.as_str()), (1, " w001"));
/// ```
pub fn sample(x: u64) -> Token {
    let id = x % VOCAB;
    Token { id, text: format!(" {}", word(id)), end: (x >> 32).is_multiple_of(END_ONE_IN) }
}

/// Ids of the words of `text`, at least one. The text of a token gives its own id back.
///
/// ```
/// use fake::model::{sample, tokenize};
/// assert_eq!(tokenize(&sample(77).text), [77]);
/// assert_eq!(tokenize("").len(), 1);
/// ```
pub fn tokenize(text: &str) -> Vec<u64> {
    let ids: Vec<u64> = text.split_whitespace().map(token_id).collect();
    match ids.is_empty() {
        true => vec![0],
        false => ids,
    }
}

/// Hash of a prefix, the name under which engines cache it and publish events.
///
/// ```
/// use fake::model::{extend_hash, prefix_hash};
/// assert_eq!(prefix_hash(&[1, 2, 3]), extend_hash(prefix_hash(&[1]), &[2, 3]));
/// ```
pub fn prefix_hash(inputs: &[u64]) -> u64 {
    extend_hash(0, inputs)
}

/// Hash of a prefix of hash `prefix` followed by `inputs`.
pub fn extend_hash(prefix: u64, inputs: &[u64]) -> u64 {
    inputs.iter().fold(prefix, |hash, input| mix([hash, *input]))
}

/// A range of layers of one model with their weights.
#[derive(Debug, Clone, PartialEq)]
pub struct Range {
    /// Name of the model.
    pub model: String,
    /// Version of its weights.
    pub version: u32,
    /// Layers of the whole model.
    pub layers: u32,
    /// First layer held.
    pub first: u32,
    /// Seed of each layer held, in order.
    pub seeds: Vec<u64>,
}

impl Range {
    /// The range from `first` to `last`, inclusive, with the seeds of [`seed`].
    pub fn new(model: &str, version: u32, layers: u32, first: u32, last: u32) -> Range {
        let seeds = (first..=last).map(|layer| seed(model, version, layer)).collect();
        Range { model: model.to_string(), version, layers, first, seeds }
    }

    /// Last layer held, inclusive.
    pub fn last(&self) -> u32 {
        (self.first + self.seeds.len() as u32).saturating_sub(1)
    }

    /// True when the model's output leaves this range.
    pub fn is_last(&self) -> bool {
        self.last() + 1 == self.layers
    }

    /// State of a session before its first position, one word a layer.
    pub fn initial_state(&self) -> Vec<u64> {
        vec![0; self.seeds.len()]
    }

    /// Runs each layer once on one position. The first range takes a token id.
    pub fn run(&self, state: &mut [u64], position: u32, input: u64) -> u64 {
        let x = match self.first {
            0 => embed(input),
            _ => input,
        };
        let layer = |x, (seed, state): (&u64, &mut u64)| {
            let out = mix([*seed, x, *state, u64::from(position)]);
            *state = mix([*state, out]);
            out
        };
        self.seeds.iter().zip(state).fold(x, layer)
    }
}

/// The answer to `prompt`, computed straight through all layers in one place.
///
/// ```
/// let answer = fake::model::expected_answer("m", 1, 12, "draft a label", 5);
/// assert!(!answer.is_empty() && answer.len() <= 5);
/// ```
pub fn expected_answer(
    model: &str,
    version: u32,
    layers: u32,
    prompt: &str,
    max_tokens: usize,
) -> Vec<Token> {
    let range = Range::new(model, version, layers, 0, layers.saturating_sub(1));
    let mut state = range.initial_state();
    let mut inputs = tokenize(prompt);
    let mut position = 0;
    let mut answer: Vec<Token> = Vec::new();
    while answer.len() < max_tokens && !answer.last().is_some_and(|t| t.end) {
        let mut x = 0;
        for input in inputs.drain(..) {
            x = range.run(&mut state, position, input);
            position += 1;
        }
        let token = sample(x);
        inputs.push(token.id);
        answer.push(token);
    }
    answer
}

fn word(id: u64) -> String {
    let digit = |place: u32| DIGITS[(id / 36u64.pow(place) % 36) as usize] as char;
    format!("w{}{}{}", digit(2), digit(1), digit(0))
}

fn token_id(text: &str) -> u64 {
    let digits = text.strip_prefix('w').filter(|w| w.len() == WORD_DIGITS);
    match digits.and_then(|w| u64::from_str_radix(w, 36).ok()) {
        Some(id) if id < VOCAB && word(id) == text => id,
        _ => xxh3_64(text.as_bytes()) % VOCAB,
    }
}

fn mix<const N: usize>(words: [u64; N]) -> u64 {
    let mut raw = [0; 32];
    for (to, word) in raw.chunks_exact_mut(8).zip(words) {
        to.copy_from_slice(&word.to_le_bytes());
    }
    xxh3_64(&raw[..8 * N])
}
