//! Frames that a peer of another version, or a broken one, could send.

use rstest::rstest;
use wire::frame::{self, Ask, Error, Step, Tell, decode, encode};

#[rstest]
#[case::ask(encode(&Ask::Status).unwrap())]
#[case::step(encode(&Tell::Step(Step { position: 3, inputs: vec![1, u64::MAX] })).unwrap())]
fn a_frame_carries_its_length(#[case] raw: Vec<u8>) {
    let length = u32::from_be_bytes(raw[..4].try_into().unwrap());
    assert_eq!(length as usize, raw.len() - 4);
}

#[test]
fn a_step_comes_out_as_it_went_in() {
    let step = Tell::Step(Step { position: 7, inputs: vec![0, 1, u64::MAX] });
    let raw = encode(&step).unwrap();
    assert_eq!(decode::<Tell>(&raw[4..]).unwrap(), step);
}

/// A process of another release sends frames that this one does not know. If
/// they were half understood, a request would run with wrong content.
#[rstest]
#[case::other_format(vec![frame::FORMAT + 1, 0], |e: &Error| matches!(e, Error::Format { .. }))]
#[case::empty(vec![], |e: &Error| matches!(e, Error::Decode { .. }))]
#[case::no_such_message(vec![frame::FORMAT, 200], |e: &Error| matches!(e, Error::Decode { .. }))]
#[case::cut_off(vec![frame::FORMAT], |e: &Error| matches!(e, Error::Decode { .. }))]
fn a_strange_frame_is_an_error(#[case] raw: Vec<u8>, #[case] fits: fn(&Error) -> bool) {
    let error = decode::<Ask>(&raw).unwrap_err();
    assert!(fits(&error), "{error}");
}

/// Bytes after the message mean that the peer put more in it than this process
/// understands. To drop them silently would drop part of what a caller asked.
#[test]
fn bytes_after_the_message_are_an_error() {
    let mut raw = encode(&Ask::Status).unwrap();
    raw.push(0);
    let error = decode::<Ask>(&raw[4..]).unwrap_err();
    assert!(matches!(error, Error::Trailing { count: 1 }), "{error}");
}
