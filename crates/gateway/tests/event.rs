//! Splitting a stream into events, whatever the chunks in which its bytes arrive.

use gateway::event::{MAX_EVENT_BYTES, Splitter};
use rstest::rstest;

/// A stream may be split at any byte in transit, also inside the empty line that ends an event.
#[test]
fn any_split_gives_the_same_events() {
    let stream: String = (0..20).map(|id| format!("id: {id}\ndata: token {id}\n\n")).collect();
    for size in 1..40 {
        let mut splitter = Splitter::default();
        let mut events = Vec::new();
        for chunk in stream.as_bytes().chunks(size) {
            splitter.push(chunk);
            events.extend(splitter.by_ref());
        }
        let ids: Vec<u64> = events.iter().filter_map(|e| e.id).collect();
        assert_eq!(ids, (0..20).collect::<Vec<_>>(), "chunks of {size}");
        let bytes: Vec<u8> = events.iter().flat_map(|e| e.bytes.to_vec()).collect();
        assert_eq!(bytes, stream.as_bytes());
        assert!(splitter.is_empty());
    }
}

struct Case {
    bytes: &'static str,
    events: usize,
    id: Option<u64>,
    incomplete: bool,
}

#[rstest]
#[case(Case { bytes: "id: 7\ndata: x\n\n", events: 1, id: Some(7), incomplete: false })]
#[case(Case { bytes: "weight-versions: 4\nid: 8\ndata: x\n\n", events: 1, id: Some(8), incomplete: false })]
#[case(Case { bytes: "data: no number\n\n", events: 1, id: None, incomplete: false })]
#[case(Case { bytes: "id: x\ndata: y\n\n", events: 1, id: None, incomplete: false })]
#[case(Case { bytes: "id: 9\ndata: half", events: 0, id: None, incomplete: true })]
#[case(Case { bytes: ": comment\n\nid: 3\ndata: x\n\n", events: 1, id: Some(3), incomplete: false })]
#[case(Case { bytes: ": a\n: b\n\n: c\n\nid: 3\ndata: x\n\n", events: 1, id: Some(3), incomplete: false })]
#[case(Case { bytes: ": comment\n\n", events: 0, id: None, incomplete: true })]
#[case(Case { bytes: "", events: 0, id: None, incomplete: false })]
fn single_chunks(#[case] case: Case) {
    let mut splitter = Splitter::default();
    splitter.push(case.bytes.as_bytes());
    let events: Vec<_> = splitter.by_ref().collect();
    assert_eq!(events.len(), case.events);
    assert_eq!(events.first().and_then(|e| e.id), case.id);
    assert_eq!(!splitter.is_empty(), case.incomplete);
}

/// Guards against bytes lost with a comment, in any split, and against a complete stream taken for a cut one.
#[test]
fn comments_belong_to_the_next_event() {
    let stream = "id: 0\ndata: x\n\n: one\n\n: two\n\nid: 1\ndata: y\n\n: last\n\n";
    for size in 1..20 {
        let mut splitter = Splitter::default();
        let mut events = Vec::new();
        for chunk in stream.as_bytes().chunks(size) {
            splitter.push(chunk);
            events.extend(splitter.by_ref());
        }
        let texts: Vec<_> = events.iter().map(|e| std::str::from_utf8(&e.bytes).unwrap()).collect();
        let second = ": one\n\n: two\n\nid: 1\ndata: y\n\n";
        assert_eq!(texts, ["id: 0\ndata: x\n\n", second], "chunks of {size}");
        assert!(splitter.holds_comments_only());
    }
}

/// Guards against comments without an end, and against searching all of them again with each one.
#[test]
fn endless_comments_are_detected() {
    let mut splitter = Splitter::default();
    while !splitter.overflows() {
        splitter.push(b":\n\n");
        assert!(splitter.next().is_none());
    }
}

/// A server sends endless bytes that never complete an event. Buffering them would use up the router's memory.
#[test]
fn endless_events_are_detected() {
    let mut splitter = Splitter::default();
    while !splitter.overflows() {
        splitter.push(&[b'x'; 1024]);
        assert!(splitter.next().is_none());
    }
    const { assert!(MAX_EVENT_BYTES < 1 << 20) };
}
