//! Parsing of streams and refusals as callers receive them.

use rstest::rstest;
use scenario::caller::Problem;
use scenario::{settings, sse};

/// A network may split a stream at any byte. A caller that parsed each piece separately would
/// lose tokens, and the verdict on the fleet would be wrong.
#[rstest]
#[case(1)]
#[case(3)]
#[case(1000)]
fn events_are_complete_however_the_stream_is_split(#[case] piece: usize) {
    let text =
        b": alive\n\nid: r:1\r\ndata: {\"a\":1}\r\n\r\nevent: error\ndata: {}\n\ndata: [DONE]\n\n";
    let mut rdr = sse::Reader::default();
    let events: Vec<sse::Event> = text.chunks(piece).flat_map(|c| rdr.push(c)).collect();
    let data: Vec<&str> = events.iter().map(|e| e.data.as_str()).collect();
    assert_eq!(data, ["{\"a\":1}", "{}", "[DONE]"]);
    assert_eq!(events[0].id.as_deref(), Some("r:1"));
    assert_eq!(events[1].event.as_deref(), Some("error"));
}

/// An error page of a proxy instead of a refusal must not count as "not run".
#[test]
fn a_body_that_is_no_problem_has_no_outcome() {
    let problem = Problem::read(502, b"<html>bad gateway</html>");
    assert_eq!((problem.status, problem.outcome.as_str()), (502, ""));
}

#[test]
fn a_changed_default_replaces_the_old_one_and_a_new_one_is_added() {
    let text = "[defaults]\ndeadline = 30s\n\n[model draft]\nversion = 1\n";
    let changed = settings::with_default(text, "deadline=20s");
    assert_eq!(changed.matches("deadline").count(), 1);
    let added = settings::with_default(text, "max-tokens = 64");
    assert!(added.starts_with("[defaults]\nmax-tokens = 64\ndeadline = 30s\n"), "{added}");
}
