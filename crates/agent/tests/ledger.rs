//! Decisions of the ledger of writes on given records.

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

fn try_ref(key: &str, id: &str) -> TryRef {
    TryRef { key: key.into(), id: id.into() }
}

struct Case {
    name: &'static str,
    records: Vec<String>,
    first: Option<&'static str>,
    state: Option<State>,
}

#[test]
fn the_order_of_the_log_decides() {
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
            name: "a voided intent frees the key",
            records: vec![
                record("a", 1, vec![intent("k", "x"), Entry::Void(try_ref("k", "x"))]),
                record("b", 1, vec![intent("k", "y")]),
            ],
            first: Some("y"),
            state: Some(State::Open),
        },
        Case {
            name: "nobody but its owner can void an intent",
            records: vec![
                record("a", 1, vec![intent("k", "x")]),
                record("b", 1, vec![Entry::Void(try_ref("k", "x")), intent("k", "y")]),
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
            name: "an answer is not replaced",
            records: vec![record(
                "a",
                1,
                vec![intent("k", "x"), receipt("x"), Entry::Lost(try_ref("k", "x"))],
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

/// A kept answer must be returned unchanged: otherwise a retry would give the caller another
/// answer than the first try. A body as an array of numbers would exceed the log's limit of a
/// record.
#[rstest]
#[case::text(b"{\"number\":7}".to_vec(), 20)]
#[case::other_bytes(vec![0xff; 100], 210)]
#[case::empty(vec![], 10)]
fn a_kept_answer_is_returned_unchanged(#[case] body: Vec<u8>, #[case] most: usize) {
    let headers = vec![("x-a".to_string(), "b".to_string())];
    let reply = Reply { status: 201, headers, body, replayed: true };
    let kept = Answer::from_reply(&reply);
    assert_eq!(kept.to_reply(), Some(reply));
    let empty = Answer { body: Body::Text(String::new()), ..kept.clone() };
    let length = |a: &Answer| serde_json::to_string(a).unwrap().len();
    assert!(length(&kept) - length(&empty) <= most);
}

#[test]
fn a_long_answer_is_not_kept() {
    let body = vec![b'a'; MAX_KEPT_BODY_BYTES + 1];
    let kept = Answer::from_reply(&Reply { status: 201, headers: vec![], body, replayed: false });
    assert_eq!(kept.body, Body::Long(MAX_KEPT_BODY_BYTES as u64 + 1));
    assert_eq!(kept.to_reply(), None);
}

fn checkpoint_record(id: &str, read_end: u64) -> Entry {
    let (key, id, content_hash) = ("k".into(), id.into(), "p".into());
    let (owner, state) = (("a".to_string(), 1), State::Settled(answer(1)));
    Entry::CheckpointRecord(CheckpointRecord {
        read_end,
        record: Record { key, content_hash, id, owner, time_ms: 1_000, state },
    })
}

fn checkpoint_end(read_end: u64, count: usize, cutoff_ms: u64) -> Entry {
    Entry::CheckpointEnd(CheckpointEnd {
        read_end,
        count,
        starts: vec![("a".into(), 2)],
        cutoff_ms,
    })
}

struct CatchUpCase {
    name: &'static str,
    entries: Vec<Entry>,
    complete: bool,
    found: Option<&'static str>,
}

/// An agent starts after the first records of the log have expired. If it decided on what is
/// left, it would run a write whose intent and receipt are gone, and the order would be placed
/// twice.
#[test]
fn an_incomplete_reader_waits_for_a_checkpoint() {
    let cases = [
        CatchUpCase {
            name: "no checkpoint",
            entries: vec![intent("k", "x")],
            complete: false,
            found: None,
        },
        CatchUpCase {
            name: "a checkpoint at the first kept record",
            entries: vec![checkpoint_record("x", 5), checkpoint_end(5, 1, 0)],
            complete: true,
            found: Some("x"),
        },
        CatchUpCase {
            name: "the author had not read all missed records",
            entries: vec![checkpoint_record("x", 4), checkpoint_end(4, 1, 0)],
            complete: false,
            found: None,
        },
        CatchUpCase {
            name: "a record of the checkpoint is missing",
            entries: vec![checkpoint_record("x", 5), checkpoint_end(5, 2, 0)],
            complete: false,
            found: None,
        },
        CatchUpCase {
            name: "a record that was appended twice counts once",
            entries: vec![
                checkpoint_record("x", 5),
                checkpoint_record("x", 5),
                checkpoint_end(5, 1, 0),
            ],
            complete: true,
            found: Some("x"),
        },
        CatchUpCase {
            name: "records of checkpoints at two offsets are not combined",
            entries: vec![checkpoint_record("x", 5), checkpoint_end(6, 1, 0)],
            complete: false,
            found: None,
        },
        CatchUpCase {
            name: "an intent that only looked like the first",
            entries: vec![intent("k", "y"), checkpoint_record("x", 5), checkpoint_end(5, 1, 0)],
            complete: true,
            found: Some("x"),
        },
        CatchUpCase {
            name: "an intent after the checkpoint",
            entries: vec![checkpoint_end(5, 0, 0), intent("k", "y")],
            complete: true,
            found: Some("y"),
        },
        CatchUpCase {
            name: "an intent before the checkpoint, voided before it",
            entries: vec![intent("k", "y"), checkpoint_end(6, 0, 0)],
            complete: true,
            found: None,
        },
        CatchUpCase {
            name: "older than the window",
            entries: vec![checkpoint_record("x", 5), checkpoint_end(5, 1, 2_000)],
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

/// A VM was restarted, and an incomplete reader has not read that start. The old process's intent
/// is void for all other readers, so it must be void for this one as well.
#[test]
fn a_checkpoint_contains_the_starts() {
    let mut ledger = Ledger::new();
    ledger.skip_expired(5);
    ledger.apply(5, 1_000, &record("b", 1, vec![checkpoint_end(5, 0, 0)]));
    ledger.apply(6, 1_000, &record("a", 1, vec![intent("k", "old")]));
    assert!(ledger.find("k").is_none());
    ledger.apply(7, 1_000, &record("a", 2, vec![intent("k", "new")]));
    assert_eq!(ledger.find("k").map(|r| r.id.as_str()), Some("new"));
}
