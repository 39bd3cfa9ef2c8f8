//! An answer of the model proves through which layers it was computed.

use fake::model::{Range, expected_answer, sample, tokenize};
use rstest::rstest;

const LAYERS: u32 = 12;
const PROMPT: &str = "check the wording of this label";

/// Runs the model range by range, as a chain of engines does.
fn staged(ranges: &[Range], tokens: usize) -> Vec<engine::Token> {
    let mut states: Vec<Vec<u64>> = ranges.iter().map(Range::initial_state).collect();
    let mut inputs = tokenize(PROMPT);
    let mut position = 0;
    let mut answer: Vec<engine::Token> = Vec::new();
    while answer.len() < tokens && !answer.last().is_some_and(|t| t.end) {
        let mut x = 0;
        for input in std::mem::take(&mut inputs) {
            let stages = ranges.iter().zip(&mut states);
            x = stages.fold(input, |x, (range, state)| range.run(state, position, x));
            position += 1;
        }
        let token = sample(x);
        inputs.push(token.id);
        answer.push(token);
    }
    answer
}

struct Case {
    ranges: &'static [(u32, u32)],
    same: bool,
}

// A router sends a request through the wrong chain: a range is missing, runs twice or runs
// before its predecessor. The caller would get a complete but wrong answer.
#[rstest]
#[case::whole(Case { ranges: &[(0, 11)], same: true })]
#[case::three(Case { ranges: &[(0, 3), (4, 7), (8, 11)], same: true })]
#[case::uneven(Case { ranges: &[(0, 0), (1, 9), (10, 11)], same: true })]
#[case::skipped(Case { ranges: &[(0, 3), (5, 11)], same: false })]
#[case::doubled(Case { ranges: &[(0, 3), (4, 4), (4, 11)], same: false })]
#[case::swapped(Case { ranges: &[(0, 3), (8, 11), (4, 7)], same: false })]
fn the_answer_depends_on_the_chain(#[case] case: Case) {
    let range = |r: &(u32, u32)| Range::new("chat", 3, LAYERS, r.0, r.1);
    let ranges: Vec<Range> = case.ranges.iter().map(range).collect();
    let answer = expected_answer("chat", 3, LAYERS, PROMPT, 8);
    assert!(answer.len() > 1, "the prompt must give an answer worth comparing");
    assert_eq!(staged(&ranges, 8) == answer, case.same);
}

#[test]
fn answers_end_without_a_limit_at_various_lengths() {
    let lengths =
        (0..200).map(|i| expected_answer("chat", 1, 4, &format!("prompt {i}"), 2000).len());
    let mut lengths: Vec<usize> = lengths.collect();
    lengths.sort_unstable();
    assert!(lengths[199] < 2000, "every answer ends");
    assert!(lengths[20] != lengths[180], "lengths vary: {lengths:?}");
}
