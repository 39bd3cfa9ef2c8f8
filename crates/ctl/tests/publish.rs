//! `publish`, `show`, `diff` and `audit` against a log service.

mod scratch;

use config::change::{Change, STREAM};
use fake::log::{Expire, Fault};
use fake::serve::Server;
use rstest::rstest;
use scratch::{Run, Scratch, control, log};

struct Bench {
    scratch: Scratch,
    log: Server,
}

impl Bench {
    fn new(name: &str) -> Bench {
        Bench { scratch: Scratch::new(name), log: log() }
    }

    async fn run(&self, args: &[&str]) -> Run {
        let url = self.log.url();
        self.scratch.run(&[&["--log", &url], args].concat()).await
    }

    async fn publish(&self, limit: u32, more: &[&str]) -> Run {
        let file = format!("{limit}.ini");
        self.scratch.write(&file, &text(limit));
        let args = ["publish", &file, "--author", "asel", "--reason", "quarter end"];
        self.run(&[&args, more].concat()).await
    }

    async fn append(&self, data: &str) {
        let log = cloud::log::Client::new(&self.log.url(), std::time::Duration::from_secs(5));
        log.append(STREAM, data).await.unwrap();
    }
}

fn text(limit: u32) -> String {
    format!("[defaults]\nqueue-limit = {limit}\n")
}

#[tokio::test]
async fn a_change_is_published_shown_compared_and_audited() {
    let bench = Bench::new("publish-whole");
    assert_eq!(bench.run(&["show"]).await.code, 1, "nothing is published yet");
    let run = bench.publish(1, &[]).await;
    assert_eq!((run.code, run.out.as_str()), (0, "version 1 is in force\n"), "{run:?}");
    bench.append("garbage").await;
    let run = bench.publish(2, &["--json"]).await;
    assert!(run.out.contains("\"version\": 3"), "{run:?}");

    assert_eq!(bench.run(&["show"]).await.out, text(2));
    assert_eq!(bench.run(&["show", "--version", "1"]).await.out, text(1));
    assert_eq!(bench.run(&["show", "--version", "2"]).await.code, 1);
    let run = bench.run(&["diff", "1.ini"]).await;
    let row = run.out.lines().nth(2).unwrap();
    assert_eq!(row.split_whitespace().collect::<Vec<_>>(), ["[defaults]", "queue-limit", "2", "1"]);
    let run = bench.run(&["audit"]).await;
    let verdicts: Vec<_> =
        run.out.lines().skip(1).filter_map(|line| line.split_whitespace().nth(2)).collect();
    assert_eq!(verdicts, ["accepted", "refused", "accepted"], "{run:?}");
    assert!(run.out.contains("asel") && run.out.contains("quarter end"));
    assert_eq!(bench.run(&["audit", "--limit", "1"]).await.out.lines().count(), 2);
}

// Two operators edit version 1. The second to publish is refused instead of undoing the first
// operator's change.
#[tokio::test]
async fn a_change_made_from_an_older_version_is_refused() {
    let bench = Bench::new("publish-older");
    bench.publish(1, &[]).await;
    bench.publish(2, &["--base", "1"]).await;
    let run = bench.publish(3, &["--base", "1"]).await;
    assert_eq!(run.code, 1, "{run:?}");
    let refusal = "version 2 by asel is in force, made from 1; yours was made from 1";
    assert!(run.err.contains(refusal), "{run:?}");
    assert_eq!(bench.run(&["show"]).await.out, text(2));
}

// Operators publish at the same time, after each has read the same version.
#[tokio::test(flavor = "multi_thread")]
async fn of_changes_at_the_same_time_exactly_one_wins() {
    let bench = Bench::new("publish-race");
    bench.publish(1, &[]).await;
    let base = ["--base", "1"];
    let (a, b, c, d) = tokio::join!(
        bench.publish(2, &base),
        bench.publish(3, &base),
        bench.publish(4, &base),
        bench.publish(5, &base),
    );
    let mut codes = [a.code, b.code, c.code, d.code];
    codes.sort();
    assert_eq!(codes, [0, 1, 1, 1]);
}

// The log appends the record, and the connection breaks before its answer. If the command
// reported a failure, the operator would publish again or assume that the old limits apply.
#[tokio::test]
async fn a_lost_answer_is_replaced_by_reading_back() {
    let bench = Bench::new("publish-lost");
    control(&bench.log.url(), &Fault { lose_answers: Some(1), ..Fault::default() }).await;
    let run = bench.publish(1, &[]).await;
    assert_eq!((run.code, run.out.as_str()), (0, "version 1 is in force\n"), "{run:?}");
    let run = bench.publish(1, &["--base", "0"]).await;
    assert!(run.code == 0 && run.out.contains("in force already"), "{run:?}");
}

#[rstest]
#[case::outage("publish-outage", Fault { outage: Some(true), ..Fault::default() })]
#[case::refused("publish-refused", Fault { refuse_next: Some(1), ..Fault::default() })]
#[tokio::test]
async fn a_log_that_appends_nothing_is_reported(#[case] name: &str, #[case] fault: Fault) {
    let bench = Bench::new(name);
    control(&bench.log.url(), &fault).await;
    assert_eq!(bench.publish(1, &[]).await.code, 3);
    control(&bench.log.url(), &Fault { outage: Some(false), ..Fault::default() }).await;
    let run = bench.run(&["audit"]).await;
    assert_eq!(run.out.lines().count(), 1, "something was appended: {run:?}");
}

#[tokio::test]
async fn a_file_with_faults_is_not_published() {
    let bench = Bench::new("publish-faults");
    let run = bench.publish(0, &[]).await;
    assert!(run.code == 1 && run.err.contains("queue-limit"), "{run:?}");
    assert_eq!(bench.run(&["audit"]).await.out.lines().count(), 1);
}

// The change in force has expired in the log. Without a carried record the log alone does not
// give the version in force, and a guess could undo a change; with one an operator can publish.
#[tokio::test]
async fn after_expiry_a_carried_record_is_needed() {
    let bench = Bench::new("publish-expired");
    bench.publish(1, &[]).await;
    bench.append("garbage").await;
    let expire = |before| Fault {
        expire: Some(Expire { stream: STREAM.into(), before }),
        ..Fault::default()
    };
    control(&bench.log.url(), &expire(1)).await;
    let run = bench.publish(2, &[]).await;
    assert!(run.code == 3 && run.err.contains("expired"), "{run:?}");

    let carried = Change {
        id: "c".into(),
        base: 1,
        author: "gpu-1".into(),
        reason: "kept".into(),
        text: text(1),
        carried: Some(1),
        judged: 2,
    };
    bench.append(&serde_json::to_string(&carried).unwrap()).await;
    assert_eq!(bench.run(&["show"]).await.out, text(1));
    let run = bench.publish(2, &["--base", "1"]).await;
    assert_eq!((run.code, run.out.as_str()), (0, "version 4 is in force\n"), "{run:?}");
}

// All VMs were down for longer than the log keeps records.
#[tokio::test]
async fn a_fleet_that_was_down_for_long_can_restart_the_stream() {
    let bench = Bench::new("publish-restart");
    bench.scratch.run(&["certs", "--out", ".", "--vm", "op"]).await;
    let list = fake::serve::bind(scratch::any()).unwrap();
    let list = fake::vms::start(list, fake::vms::Options { lag_ms: 0 }).unwrap();
    let url = list.url();
    let restart = ["--restart", "--vms", &url, "--tls", ".", "--as", "op"];

    bench.publish(1, &[]).await;
    let run = bench.publish(2, &restart).await;
    assert!(run.code == 1 && run.err.contains("version 1 is in force"), "{run:?}");
    let expire = Some(Expire { stream: STREAM.into(), before: 1 });
    control(&bench.log.url(), &Fault { expire, ..Fault::default() }).await;
    assert_eq!(bench.publish(2, &[]).await.code, 3);
    let run = bench.publish(2, &restart).await;
    assert_eq!((run.code, run.out.as_str()), (0, "version 2 is in force\n"), "{run:?}");
    assert_eq!(bench.publish(3, &["--base", "2"]).await.out, "version 3 is in force\n");
    assert_eq!(bench.run(&["show"]).await.out, text(3));
}

#[tokio::test]
async fn the_daemons_streams_are_part_of_the_audit() {
    let bench = Bench::new("audit-raw");
    let log = cloud::log::Client::new(&bench.log.url(), std::time::Duration::from_secs(5));
    log.append("quarantine", "{\"fingerprint\":7}").await.unwrap();
    let run = bench.run(&["audit"]).await;
    assert!(run.out.contains("\nquarantine\n0 ") && run.out.contains("{\"fingerprint\":7}"));
}

#[tokio::test]
async fn a_missing_log_is_unreachable() {
    let scratch = Scratch::new("publish-nowhere");
    let run = scratch.run(&["--log", "http://127.0.0.1:1", "show"]).await;
    assert_eq!(run.code, 3, "{run:?}");
}
