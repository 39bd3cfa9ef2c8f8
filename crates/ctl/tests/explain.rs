//! `hyssopctl explain` with log lines of gateways.

mod scratch;

use scratch::Scratch;

const ONE: &str = "\
2026-07-04T02:52:36.100000000Z [INFO] gateway: placement east: servers=4 missing=[]
2026-07-04T02:52:36.963000000Z [INFO] gateway: request=aa11 first=i-1 declined status=503 Service Unavailable culprit=Some(\"i-2\")
2026-07-04T02:52:36.965000000Z [WARN] gateway: server=i-2 suspect=true why=no answer to a probe
2026-07-04T02:52:36.966000000Z [WARN] gateway: server=i-9 suspect=true why=no answer to a probe
2026-07-04T02:52:36.970000000Z [INFO] gateway: request=bb22 route=r status=503 Service Unavailable age=1ms
2026-07-04T02:52:36.980000000Z [INFO] gateway: request=aa11 route=r status=503 Service Unavailable age=20ms
2026-07-04T02:53:36.100000000Z [INFO] gateway: placement east: servers=3 missing=[0-4]
no line of a gateway
";

const TWO: &str = "\
 1.5 entry-2 2026-07-04T02:52:36.500000000Z [INFO] gateway: gives_orders=true epoch=7 orders_end=3
";

/// A caller complains of one request, and the engineer on call has the output of two routers. Lines of
/// other requests would hide the cause, and without the lines about the routers' state it would be missing:
/// only lines that concern the request are shown, from both files in the order of time.
#[tokio::test]
async fn a_request_and_the_state_around_it() {
    let scratch = Scratch::new("explain-lines");
    scratch.write("entry-1.log", ONE);
    scratch.write("all.log", TWO);
    let files = ["explain", "aa11", "--output", "entry-1.log", "--output", "all.log"];
    let run = scratch.run(&files).await;
    assert_eq!(run.code, 0, "{run:?}");
    let rows: Vec<&str> = run.out.lines().skip(1).collect();
    let found = |row: &str, parts: [&str; 3]| parts.iter().all(|part| row.contains(part));
    assert_eq!(rows.len(), 5, "{}", run.out);
    assert!(found(rows[0], ["entry-1", "around", "placement east: servers=4"]), "{}", run.out);
    assert!(found(rows[1], ["entry-2", "around", "gives_orders=true epoch=7"]), "{}", run.out);
    assert!(found(rows[2], ["entry-1", "request", "declined status=503"]), "{}", run.out);
    assert!(found(rows[3], ["entry-1", "around", "server=i-2 suspect=true"]), "{}", run.out);
    assert!(found(rows[4], ["entry-1", "request", "age=20ms"]), "{}", run.out);
}

struct Case {
    args: &'static [&'static str],
    code: i32,
    expected: &'static str,
}

const REFUSED: &str = "\
2026-07-04T02:52:36.100000000Z [INFO] gateway: server=i-3 backoff=3s until=9.1s use=Path asked_by=i-3 asked_at=ff00
2026-07-04T02:52:36.200000000Z [INFO] gateway: server=i-4 leaving=true born=7 why=its answer
2026-07-04T02:52:36.300000000Z [INFO] gateway: server=i-5 suspect=true why=no answer to a probe
2026-07-04T02:52:36.980000000Z [INFO] gateway: request=dd44 outcome=refused why=the backend servers asked for a backoff
";

/// Guards against a refusal without its cause where no server is named, as all of them asked to be left alone.
#[tokio::test]
async fn backoffs_explain_a_refusal() {
    let scratch = Scratch::new("explain-backoffs");
    scratch.write("entry-1.log", REFUSED);
    let run = scratch.run(&["explain", "dd44", "--output", "entry-1.log"]).await;
    assert_eq!(run.code, 0, "{run:?}");
    let shown = ["server=i-3 backoff=3s", "server=i-4 leaving=true", "request=dd44"];
    assert!(shown.iter().all(|text| run.out.contains(text)), "{}", run.out);
    assert!(!run.out.contains("server=i-5"), "{}", run.out);
}

const SHORT: &str = "\
2026-07-04T02:52:36.100000000Z [INFO] gateway: request=ee55 admission=refused limit=rank memory=0.74 prefill=228ms rank=12 share=0.76 demand=[10:900/40 12:400/120] queue=5 room=[10:860 12:280] workspaces=[w:700 x:600] routers=27 left_out=0 why=the backend servers are full
2026-07-04T02:52:36.100100000Z [INFO] gateway: request=ff66 admission=refused limit=none memory=0.97 why=the backend servers are full
";

/// Guards against a refusal without the limit, the demand and those who had the room.
#[tokio::test]
async fn a_refusal_by_rank_is_shown() {
    let scratch = Scratch::new("explain-rank");
    scratch.write("entry-1.log", SHORT);
    let run = scratch.run(&["explain", "ee55", "--output", "entry-1.log"]).await;
    assert_eq!(run.code, 0, "{run:?}");
    let shown = [
        "limit=rank",
        "share=0.76",
        "demand=[10:900/40 12:400/120]",
        "queue=5",
        "workspaces=[w:700",
    ];
    assert!(shown.iter().all(|text| run.out.contains(text)), "{}", run.out);
    assert!(!run.out.contains("ff66"), "{}", run.out);
}

/// An unknown id or file gives a message that names it, and the exit code of an error.
#[rstest::rstest]
#[case::unknown(Case { args: &["explain", "cc33", "--output", "entry-1.log"], code: 1, expected: "none of 7 lines is of request cc33" })]
#[case::no_file(Case { args: &["explain", "aa11", "--output", "other.log"], code: 2, expected: "reading other.log" })]
#[tokio::test]
async fn unknown_ids_and_files(#[case] case: Case) {
    let scratch = Scratch::new(case.args[3]);
    scratch.write("entry-1.log", ONE);
    let run = scratch.run(case.args).await;
    assert_eq!(run.code, case.code, "{run:?}");
    assert!(run.err.contains(case.expected), "{run:?}");
}
