//! The model that the engines compute: a function of every layer run.
//!
//! Each layer hashes its seed, its input, its current state and the position, then hashes
//! its output into its state. A layer that is skipped, run twice or run out of order
//! changes every later token, so an answer proves how it was computed.

use engine::Token;
use xxhash_rust::xxh3::xxh3_64;

/// Number of token ids.
pub const VOCAB: u64 = 4096;

/// One in this many tokens ends the answer.
const END_ONE_IN: u64 = 64;

/// Digits of the word that stands for a token.
const DIGITS: &[u8; 36] = b"0123456789abcdefghijklmnopqrstuvwxyz";

/// Number of digits after the `w` of a token's word.
const WORD_DIGITS: usize = 3;

/// Returns the seed of a layer, as the weight store serves it.
///
/// ```
/// use fake::model::seed;
/// assert_eq!(seed("m", 1, 0), seed("m", 1, 0));
/// assert_ne!(seed("m", 1, 0), seed("m", 2, 0));
/// ```
pub fn seed(model: &str, version: u32, layer: u32) -> u64 {
    mix([xxh3_64(model.as_bytes()), u64::from(version), u64::from(layer), 1])
}

/// Returns the hidden state with which a token id enters the first layer.
pub fn embed(id: u64) -> u64 {
    mix([id])
}

/// Samples a token from the hidden state that the last layer returned.
///
/// ```
/// let token = fake::model::sample(4097);
/// assert_eq!((token.id, token.text.as_str()), (1, " w001"));
/// ```
pub fn sample(x: u64) -> Token {
    let id = x % VOCAB;
    Token { id, text: format!(" {}", word(id)), end: (x >> 32).is_multiple_of(END_ONE_IN) }
}

/// Returns the ids of the words of `text`, at least one. The text of a token maps back to its id.
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

/// Hashes a prefix. Engines use the hash as the cache key and in cache events.
///
/// ```
/// use fake::model::{extend_hash, prefix_hash};
/// assert_eq!(prefix_hash(&[1, 2, 3]), extend_hash(prefix_hash(&[1]), &[2, 3]));
/// ```
pub fn prefix_hash(inputs: &[u64]) -> u64 {
    extend_hash(0, inputs)
}

/// Hashes a prefix with the hash `prefix` followed by `inputs`.
pub fn extend_hash(prefix: u64, inputs: &[u64]) -> u64 {
    inputs.iter().fold(prefix, |hash, input| mix([hash, *input]))
}

/// A range of layers of one model, with weights.
#[derive(Debug, Clone, PartialEq)]
pub struct Range {
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: u32,
    /// Number of layers of the whole model.
    pub layers: u32,
    /// First layer of the range.
    pub first: u32,
    /// Seed of each layer of the range, in order.
    pub seeds: Vec<u64>,
}

impl Range {
    /// Creates the range from `first` to `last`, inclusive, with seeds from [`seed`].
    pub fn new(model: &str, version: u32, layers: u32, first: u32, last: u32) -> Range {
        let seeds = (first..=last).map(|layer| seed(model, version, layer)).collect();
        Range { model: model.to_string(), version, layers, first, seeds }
    }

    /// Returns the last layer of the range, inclusive.
    pub fn last(&self) -> u32 {
        (self.first + self.seeds.len() as u32).saturating_sub(1)
    }

    /// Returns true if the range holds the model's last layer.
    pub fn is_last(&self) -> bool {
        self.last() + 1 == self.layers
    }

    /// Returns the state of a session before its first position, one word per layer.
    pub fn initial_state(&self) -> Vec<u64> {
        vec![0; self.seeds.len()]
    }

    /// Runs each layer once on one position. The first range expects a token id as its input.
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

/// Computes the answer to `prompt` through all layers in one process.
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
