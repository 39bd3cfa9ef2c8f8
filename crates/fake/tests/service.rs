//! The plain service records each write and can drop its answers.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use fake::serve::{self, Server};
use fake::service::{self, Fault, Lookup, Options, Write};
use rstest::rstest;

fn start(ledger: Option<String>) -> (Server, rest::Client) {
    let listener = serve::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let server = service::start(listener, Options { delay_ms: 0, ledger }).unwrap();
    let client = rest::Client::new(&server.url(), Duration::from_secs(5));
    (server, client)
}

async fn order(client: &rest::Client, key: &str) -> Option<u16> {
    let headers = [
        ("idempotency-key".to_string(), key.to_string()),
        ("x-workspace".to_string(), "w".to_string()),
    ];
    let sent = client.send("POST", "/orders", &headers, Bytes::from_static(b"{}")).await;
    sent.ok().map(|answer| answer.status)
}

struct Case {
    fault: Fault,
    status: Option<u16>,
    recorded: bool,
}

// The answer to an order is lost, the order fails, or the service is down. Whether
// the order is recorded differs; a caller that assumes the wrong case would print the bands twice.
#[rstest]
#[case::fine(Case { fault: Fault::default(), status: Some(201), recorded: true })]
#[case::lost(Case {
    fault: Fault { lose_answers: Some(1), ..Fault::default() },
    status: None,
    recorded: true,
})]
#[case::failed(Case {
    fault: Fault { fail_next: Some(1), ..Fault::default() },
    status: Some(500),
    recorded: false,
})]
#[case::down(Case {
    fault: Fault { down: Some(true), ..Fault::default() },
    status: None,
    recorded: false,
})]
#[tokio::test]
async fn the_ledger_shows_whether_a_write_is_recorded(#[case] case: Case) {
    let (_server, client) = start(None);
    let () = client.post("/~fake/control", &case.fault).await.unwrap();
    assert_eq!(order(&client, "k1").await, case.status);
    let up = Fault { down: Some(false), ..Fault::default() };
    let () = client.post("/~fake/control", &up).await.unwrap();
    let found: Lookup = client.get("/orders/k1").await.unwrap();
    assert_eq!((found.key.as_str(), found.recorded), ("k1", case.recorded));
    let writes: Vec<Write> = client.get("/~fake/books").await.unwrap();
    assert_eq!(writes.len(), usize::from(case.recorded));
}

#[tokio::test]
async fn services_that_share_a_ledger_count_together() {
    let (first, client) = start(None);
    let (_second, other) = start(Some(first.url()));
    assert_eq!(order(&client, "k1").await, Some(201));
    assert_eq!(order(&other, "k1").await, Some(201));
    assert_eq!(order(&other, "k2").await, Some(201));
    let runs: HashMap<String, u64> = client.get("/~fake/runs").await.unwrap();
    assert_eq!((runs["k1"], runs["k2"]), (2, 1));
    let found: Lookup = other.get("/orders/k2").await.unwrap();
    assert!(found.recorded);
    let writes: Vec<Write> = client.get("/~fake/books").await.unwrap();
    let numbers: Vec<u64> = writes.iter().map(|w| w.number).collect();
    assert_eq!(numbers, [0, 1, 2]);
    assert!(writes.iter().all(|w| w.workspace == "w" && w.body == "{}" && w.path == "/orders"));
}
