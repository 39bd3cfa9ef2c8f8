//! Frames that a peer of another version, or a faulty one, could send.

use proptest::prelude::*;
use rstest::rstest;
use wire::codec::{self, Error, decode, encode};
use wire::frame::{Command, Frame, Output, Sample, Step};

#[rstest]
#[case::ask(encode(&Command::Status).unwrap())]
#[case::step(encode(&Frame::Step(Step { position: 3, inputs: vec![1, u64::MAX] })).unwrap())]
fn a_frame_carries_its_length(#[case] raw: Vec<u8>) {
    let length = u32::from_be_bytes(raw[..4].try_into().unwrap());
    assert_eq!(length as usize, raw.len() - 4);
}

proptest! {
    #[test]
    fn steps_and_outputs_decode_as_encoded(
        position: u32,
        states: Vec<u64>,
        word: Option<(u64, String, bool)>,
    ) {
        let step = Frame::Step(Step { position, inputs: states.clone() });
        let raw = encode(&step).unwrap();
        prop_assert_eq!(decode::<Frame>(&raw[4..]).unwrap(), step);
        let token = word.map(|(id, text, end)| Sample { id, text, end });
        let output = Frame::Output(Output { position, outputs: states, token });
        let raw = encode(&output).unwrap();
        prop_assert_eq!(decode::<Frame>(&raw[4..]).unwrap(), output);
    }

    /// A faulty peer sends arbitrary bytes. The process must not panic: every request on it would
    /// be cut off.
    #[test]
    fn any_bytes_are_a_message_or_an_error(mut raw: Vec<u8>) {
        raw.insert(0, codec::FORMAT);
        let _ = decode::<Frame>(&raw);
        let _ = decode::<Command>(&raw);
    }
}

/// A peer sends a byte string whose length is not a multiple of a hidden state's. A partial state
/// decoded as a whole one would change the text that a caller gets.
#[test]
fn a_partial_state_is_an_error() {
    let mut raw = encode(&Step { position: 0, inputs: vec![1] }).unwrap();
    raw.pop();
    let length = raw.len() - 1;
    assert_eq!(raw[6], 8, "the byte before the states is their length in bytes");
    raw[6] = 7;
    assert!(decode::<Step>(&raw[4..=length]).is_err());
}

/// A process of another release sends frames that this one does not know. If they decoded in
/// part, a request would run with wrong content.
#[rstest]
#[case::other_format(vec![codec::FORMAT + 1, 0], |e: &Error| matches!(e, Error::Format { .. }))]
#[case::empty(vec![], |e: &Error| matches!(e, Error::Decode { .. }))]
#[case::no_such_message(vec![codec::FORMAT, 200], |e: &Error| matches!(e, Error::Decode { .. }))]
#[case::cut_off(vec![codec::FORMAT], |e: &Error| matches!(e, Error::Decode { .. }))]
fn an_unknown_frame_is_an_error(#[case] raw: Vec<u8>, #[case] fits: fn(&Error) -> bool) {
    let error = decode::<Command>(&raw).unwrap_err();
    assert!(fits(&error), "{error}");
}

/// Bytes after the message mean that the peer sent more than this process understands. Ignoring
/// them would drop a part of a caller's request.
#[test]
fn bytes_after_the_message_are_an_error() {
    let mut raw = encode(&Command::Status).unwrap();
    raw.push(0);
    let error = decode::<Command>(&raw[4..]).unwrap_err();
    assert!(matches!(error, Error::Trailing { count: 1 }), "{error}");
}
