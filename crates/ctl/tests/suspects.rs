//! `suspects` with a gateway that answers, and with one that doesn't.

mod scratch;

use fake::serve::{self, Call, Reply};
use scratch::{Scratch, any};

const PAGE: &str = "part=00f3a1b2c4d5e6f7 verdict=Refused { left: 599s } companions=none servers_ended=3\n\
                    content=0123456789abcdef verdict=Alone companions=none servers_ended=2\n";

async fn answer(call: Call) -> Reply {
    match (call.method.as_str(), call.path.as_str()) {
        ("GET", "/quarantine") => Reply::Json(200, PAGE.into()),
        ("DELETE", "/quarantine/00f3a1b2c4d5e6f7") => Reply::ok(),
        _ => Reply::error(404, "unknown"),
    }
}

#[tokio::test]
async fn suspects_of_a_gateway_are_shown_and_lifted() {
    let scratch = Scratch::new("suspects");
    let gateway = serve::start(serve::bind(any()).unwrap(), answer).unwrap();
    let url = gateway.url();
    let run = scratch.run(&["suspects", "--gateway", &url, "list"]).await;
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.contains("00f3a1b2c4d5e6f7") && run.out.contains("servers_ended=3"), "{run:?}");
    let run = scratch.run(&["--json", "suspects", "--gateway", &url, "list"]).await;
    let rows: serde_json::Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!((&rows[0]["kind"], &rows[1]["kind"]), (&"part".into(), &"content".into()));
    for (fingerprint, code) in [("00f3a1b2c4d5e6f7", 0), ("0000000000000000", 1)] {
        let run = scratch.run(&["suspects", "--gateway", &url, "lift", fingerprint]).await;
        assert_eq!(run.code, code, "{run:?}");
    }
}

#[tokio::test]
async fn a_gateway_that_does_not_answer_is_named() {
    let scratch = Scratch::new("suspects-unreachable");
    let gateway = "http://127.0.0.1:1";
    let run = scratch.run(&["suspects", "--gateway", gateway, "list"]).await;
    assert_eq!(run.code, 3, "{run:?}");
    assert!(run.err.contains("127.0.0.1:1"), "{run:?}");
}
