//! What the ledger of writes makes of records.

use agent::ledger::{Answer, Batch, Body, CheckpointRecord, Entry, MAX_KEPT_BODY_BYTES};
use agent::ledger::{CheckpointEnd, Intent, Ledger, Receipt, Record, State, TryRef};
use rstest::rstest;
use wire::frame::Reply;

fn answer(n: u64) -> Answer {
    Answer { status: 201, headers: vec![], body: Body::Text(n.to_string()) }
}

fn record(vm: &str, incarnation: u64, entries: Vec<Entry>) -> String {
    serde_json::to_string(&Batch { vm: vm.into(), incarnation, entries }).unwrap()
}

fn intent(key: &str, id: &str) -> Entry {
    Entry::Intent(Intent { key: key.into(), content_hash: "p".into(), id: id.into() })
}

fn mark(key: &str, id: &str) -> TryRef {
    TryRef { key: key.into(), id: id.into() }
}

struct Case {
    name: &'static str,
    records: Vec<String>,
    first: Option<&'static str>,
    state: Option<State>,
}

#[test]
fn the_log_decides() {
    let receipt =
        |id: &str| Entry::Receipt(Receipt { key: "k".into(), id: id.into(), answer: answer(1) });
    let cases = [
        Case {
            name: "the first of two intents counts",
            records: vec![
                record("a", 1, vec![intent("k", "x")]),
                record("b", 1, vec![intent("k", "y")]),
            ],
            first: Some("x"),
            state: Some(State::Open),
        },
        Case {
            name: "a receipt of the loser changes nothing",
            records: vec![
                record("a", 1, vec![intent("k", "x")]),
                record("b", 1, vec![intent("k", "y"), receipt("y")]),
            ],
            first: Some("x"),
            state: Some(State::Open),
        },
        Case {
            name: "a voided intent makes room",
            records: vec![
                record("a", 1, vec![intent("k", "x"), Entry::Void(mark("k", "x"))]),
                record("b", 1, vec![intent("k", "y")]),
            ],
            first: Some("y"),
            state: Some(State::Open),
        },
        Case {
            name: "nobody but its owner can void an intent",
            records: vec![
                record("a", 1, vec![intent("k", "x")]),
                record("b", 1, vec![Entry::Void(mark("k", "x")), intent("k", "y")]),
            ],
            first: Some("x"),
            state: Some(State::Open),
        },
        Case {
            name: "a new start on the VM leaves the old open writes unknown",
            records: vec![
                record("a", 1, vec![Entry::Start, intent("k", "x")]),
                record("a", 2, vec![Entry::Start]),
            ],
            first: Some("x"),
            state: Some(State::Unknown),
        },
        Case {
            name: "an intent of a process that was replaced is void",
            records: vec![
                record("a", 2, vec![Entry::Start]),
                record("a", 1, vec![intent("k", "x")]),
                record("b", 1, vec![intent("k", "y")]),
            ],
            first: Some("y"),
            state: Some(State::Open),
        },
        Case {
            name: "a late receipt settles an unknown write",
            records: vec![
                record("a", 1, vec![intent("k", "x")]),
                record("a", 2, vec![Entry::Start]),
                record("a", 1, vec![receipt("x")]),
            ],
            first: Some("x"),
            state: Some(State::Settled(answer(1))),
        },
        Case {
            name: "an answer is not taken back",
            records: vec![record(
                "a",
                1,
                vec![intent("k", "x"), receipt("x"), Entry::Lost(mark("k", "x"))],
            )],
            first: Some("x"),
            state: Some(State::Settled(answer(1))),
        },
        Case {
            name: "a record that does not decode is skipped",
            records: vec!["{".into(), record("a", 1, vec![intent("k", "x")])],
            first: Some("x"),
            state: Some(State::Open),
        },
    ];
    for case in cases {
        let mut ledger = Ledger::new();
        for (offset, data) in case.records.iter().enumerate() {
            ledger.apply(offset as u64, 1_000, data);
        }
        let found = ledger.find("k");
        assert_eq!(found.map(|r| r.id.as_str()), case.first, "{}", case.name);
        assert_eq!(found.map(|r| r.state.clone()), case.state, "{}", case.name);
    }
}

/// An answer that comes back changed from the log would tell the caller another number than
/// the one it was given; a body as an array of numbers would fill the log's limit of a record.
#[rstest]
#[case::text(b"{\"number\":7}".to_vec(), 20)]
#[case::other_bytes(vec![0xff; 100], 210)]
#[case::empty(vec![], 10)]
fn a_kept_answer_comes_back_as_it_was(#[case] body: Vec<u8>, #[case] most: usize) {
    let headers = vec![("x-a".to_string(), "b".to_string())];
    let reply = Reply { status: 201, headers, body, replayed: true };
    let kept = Answer::from_reply(&reply);
    assert_eq!(kept.to_reply(), Some(reply));
    let empty = Answer { body: Body::Text(String::new()), ..kept.clone() };
    let length = |a: &Answer| serde_json::to_string(a).unwrap().len();
    assert!(length(&kept) - length(&empty) <= most);
}

#[test]
fn a_long_answer_is_not_kept_and_not_made_up() {
    let body = vec![b'a'; MAX_KEPT_BODY_BYTES + 1];
    let kept = Answer::from_reply(&Reply { status: 201, headers: vec![], body, replayed: false });
    assert_eq!(kept.body, Body::Long(MAX_KEPT_BODY_BYTES as u64 + 1));
    assert_eq!(kept.to_reply(), None);
}

fn carry(id: &str, read_end: u64) -> Entry {
    let (key, id, content_hash) = ("k".into(), id.into(), "p".into());
    let (owner, state) = (("a".to_string(), 1), State::Settled(answer(1)));
    Entry::CheckpointRecord(CheckpointRecord {
        read_end,
        record: Record { key, content_hash, id, owner, time_ms: 1_000, state },
    })
}

fn kept(read_end: u64, count: usize, cutoff_ms: u64) -> Entry {
    Entry::CheckpointEnd(CheckpointEnd {
        read_end,
        count,
        starts: vec![("a".into(), 2)],
        cutoff_ms,
    })
}

struct Late {
    name: &'static str,
    entries: Vec<Entry>,
    complete: bool,
    found: Option<&'static str>,
}

/// An agent starts when the first records of the log have expired. Did it judge by what is
/// left, it would run a write whose intent and receipt are gone, and the order stood twice.
#[test]
fn a_late_reader_waits_for_what_it_missed() {
    let cases = [
        Late {
            name: "nothing has been carried",
            entries: vec![intent("k", "x")],
            complete: false,
            found: None,
        },
        Late {
            name: "all that was known at the first kept record",
            entries: vec![carry("x", 5), kept(5, 1, 0)],
            complete: true,
            found: Some("x"),
        },
        Late {
            name: "the author had not read all that was missed",
            entries: vec![carry("x", 4), kept(4, 1, 0)],
            complete: false,
            found: None,
        },
        Late {
            name: "a carried write is missing",
            entries: vec![carry("x", 5), kept(5, 2, 0)],
            complete: false,
            found: None,
        },
        Late {
            name: "a carried write that came twice counts once",
            entries: vec![carry("x", 5), carry("x", 5), kept(5, 1, 0)],
            complete: true,
            found: Some("x"),
        },
        Late {
            name: "writes carried from two offsets make no whole",
            entries: vec![carry("x", 5), kept(6, 1, 0)],
            complete: false,
            found: None,
        },
        Late {
            name: "an intent that only looked like the first",
            entries: vec![intent("k", "y"), carry("x", 5), kept(5, 1, 0)],
            complete: true,
            found: Some("x"),
        },
        Late {
            name: "an intent after what was carried",
            entries: vec![kept(5, 0, 0), intent("k", "y")],
            complete: true,
            found: Some("y"),
        },
        Late {
            name: "an intent before what was carried, and voided before it",
            entries: vec![intent("k", "y"), kept(6, 0, 0)],
            complete: true,
            found: None,
        },
        Late {
            name: "older than the window",
            entries: vec![carry("x", 5), kept(5, 1, 2_000)],
            complete: true,
            found: None,
        },
    ];
    for case in cases {
        let mut ledger = Ledger::new();
        assert!(ledger.skip_expired(5));
        for (n, entry) in case.entries.into_iter().enumerate() {
            ledger.apply(5 + n as u64, 1_500, &record("b", 1, vec![entry]));
        }
        assert_eq!(ledger.is_complete(), case.complete, "{}", case.name);
        assert_eq!(ledger.find("k").map(|r| r.id.as_str()), case.found, "{}", case.name);
    }
}

/// A process whose VM was started again, by a start that a late reader has not read: its
/// intent is void for all others, so it must be void for the late reader as well.
#[test]
fn starts_are_carried() {
    let mut ledger = Ledger::new();
    ledger.skip_expired(5);
    ledger.apply(5, 1_000, &record("b", 1, vec![kept(5, 0, 0)]));
    ledger.apply(6, 1_000, &record("a", 1, vec![intent("k", "old")]));
    assert!(ledger.find("k").is_none());
    ledger.apply(7, 1_000, &record("a", 2, vec![intent("k", "new")]));
    assert_eq!(ledger.find("k").map(|r| r.id.as_str()), Some("new"));
}
