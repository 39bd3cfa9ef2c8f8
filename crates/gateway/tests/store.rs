//! Handling of the store's answers by the client.

use gateway::store::{Answer, Call, Client, End, Era, Fault, Log, Reply, ReportedEra};
use rstest::rstest;

/// Returns a client of a store that accepts each append and reports the given eras one after the other.
fn client(eras: &'static [Era]) -> Client {
    let answers = std::cell::Cell::new(0);
    Client::new(move |_| {
        let era = eras[answers.replace(answers.get() + 1)];
        async move { Answer { reply: Ok(Reply::Appended(8)), era: ReportedEra::Era(era) } }
    })
}

fn append(at: Option<End>) -> Call {
    Call::Append { log: Log::Orders, records: vec!["record".into()], at }
}

/// Guards against taking the answer to an earlier append for that to the last one, so that a record that was never
/// written counts as written.
#[test]
fn an_append_with_the_answer_of_another_one_does_not_count() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    let client = client(&[1, 1]);
    runtime.block_on(async {
        client.call(append(None)).await.unwrap();
        let at = Some(End { offset: 41, era: 1 });
        let answer = client.call(append(at)).await;
        assert!(matches!(answer, Err(Fault::Unreadable(_))), "{answer:?}");
    });
}

/// Guards against counting an append to a restored store: its log may happen to end where the call says, although
/// records were lost.
#[rstest]
#[case::same_era(&[1, 1], 1, Ok(Reply::Appended(8)))]
#[case::restored_meanwhile(&[1, 2], 1, Err(Fault::Stale))]
#[case::restored_before(&[2], 1, Err(Fault::Stale))]
fn an_append_counts_in_the_era_of_its_offset_only(
    #[case] eras: &'static [Era],
    #[case] era: Era,
    #[case] expected: Result<Reply, Fault>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    let client = client(eras);
    runtime.block_on(async {
        client.call(append(None)).await.unwrap();
        let at = Some(End { offset: 7, era });
        assert_eq!(client.call(append(at)).await, expected);
    });
}
