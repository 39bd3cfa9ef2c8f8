//! Answers of a router with a small fleet: whole answers, and clear errors for requests that can't
//! be answered.

mod work;

use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use work::{Fleet, STADIUM, WINERY, header, post, wait_until};

const PROMPT: &str = "a label for a dry red wine";

struct Case {
    name: &'static str,
    path: &'static str,
    key: &'static str,
    headers: Vec<(String, String)>,
    body: String,
    status: u16,
    detail: &'static str,
}

fn draft(body: &str) -> Case {
    Case {
        name: "",
        path: "/v1/completions",
        key: WINERY,
        headers: vec![],
        body: body.into(),
        status: 400,
        detail: "",
    }
}

fn order(key: &str) -> Case {
    let headers = vec![header("idempotency-key", key)];
    Case { path: "/orders/orders", headers, ..draft("{}") }
}

fn cases() -> Vec<Case> {
    let good = r#"{"model":"draft","prompt":"a","max_tokens":2}"#;
    vec![
        Case {
            name: "unknown key",
            key: "nobody",
            status: 401,
            detail: "bearer key",
            ..draft(good)
        },
        Case { name: "malformed JSON", detail: "not valid", ..draft("{\"model\":") },
        Case { name: "no prompt", detail: "prompt", ..draft(r#"{"model":"draft"}"#) },
        Case {
            name: "unknown model",
            status: 404,
            detail: "no model 'other'",
            ..draft(r#"{"model":"other","prompt":"a"}"#)
        },
        Case {
            name: "no tokens",
            detail: "1 to 200, not 0",
            ..draft(r#"{"model":"draft","prompt":"a","max_tokens":0}"#)
        },
        Case {
            name: "huge max_tokens",
            detail: "1 to 200, not 4000000000",
            ..draft(r#"{"model":"draft","prompt":"a","max_tokens":4000000000}"#)
        },
        Case {
            name: "max_tokens that fits no number",
            detail: "not valid",
            ..draft(r#"{"model":"draft","prompt":"a","max_tokens":1e30}"#)
        },
        Case {
            name: "body over the limit",
            status: 413,
            detail: "65536 bytes",
            ..draft(&format!("{{\"model\":\"draft\",\"prompt\":\"{}\"}}", "a".repeat(70_000)))
        },
        Case {
            name: "deadline that is no number",
            headers: vec![header("x-deadline-ms", "soon")],
            detail: "whole number of milliseconds",
            ..draft(good)
        },
        Case {
            name: "path of no service",
            path: "/nothing/here",
            status: 404,
            detail: "no service stands under /nothing/here",
            ..draft("{}")
        },
        Case {
            name: "write without a key",
            headers: vec![],
            detail: "Idempotency-Key",
            ..order("")
        },
        Case { name: "write with an empty key", detail: "1 to 200", ..order("") },
        Case { name: "write with a long key", detail: "1 to 200", ..order(&"k".repeat(201)) },
    ]
}

/// A request that can't be answered is refused with the fault to correct. The router keeps serving,
/// and nothing is run.
#[tokio::test]
async fn bad_input_gets_a_clear_error() {
    let fleet = Fleet::start().await;
    let client = fleet.client();
    for case in cases() {
        let answer = post(&client, case.path, case.key, &case.headers, case.body).await;
        assert_eq!(answer.status, case.status, "{}", case.name);
        let kind = answer.headers.iter().find(|h| h.0 == "content-type").unwrap();
        assert_eq!(kind.1, "application/problem+json", "{}", case.name);
        let body: Value = serde_json::from_slice(&answer.body).unwrap();
        let detail = body["detail"].as_str().unwrap();
        assert!(detail.contains(case.detail), "{}: {detail}", case.name);
        assert_eq!(body["outcome"], "refused", "{}", case.name);
    }
}

/// A client sends far too many header lines. Without a limit one connection could use up the router's
/// memory.
#[tokio::test]
async fn a_header_flood_is_refused() {
    let fleet = Fleet::start().await;
    let mut stream = connect(&fleet).await;
    let mut flood = String::from("GET /v1/models HTTP/1.1\r\nhost: a\r\n");
    for i in 0..500 {
        flood.push_str(&format!("x-flood-{i}: 1\r\n"));
    }
    flood.push_str("\r\n");
    stream.write_all(flood.as_bytes()).await.unwrap();
    let mut answer = vec![0; 64];
    let n = stream.read(&mut answer).await.unwrap();
    let line = String::from_utf8_lossy(&answer[..n]).into_owned();
    assert!(line.starts_with("HTTP/1.1 431"), "{line}");
}

#[tokio::test]
async fn a_draft_is_answered_whole_with_the_expected_tokens() {
    let fleet = Fleet::start().await;
    let client = fleet.client();
    let body = format!(r#"{{"model":"draft","prompt":"{PROMPT}","max_tokens":40}}"#);
    let answer = post(&client, "/v1/completions", WINERY, &[], body).await;
    let body: Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(body["choices"][0]["text"], straight(40));
}

/// Operators read from the metrics how requests ended. A metric that is documented but never counted
/// would hide failures.
#[tokio::test]
async fn the_metrics_count_what_callers_got() {
    let fleet = Fleet::start().await;
    let client = fleet.client();
    let order = [header("idempotency-key", "counted")];
    post(&client, "/orders/orders", WINERY, &order, "{}").await;
    let page = client.send("GET", "/metrics", &[], Default::default()).await.unwrap();
    let text = String::from_utf8_lossy(&page.body).into_owned();
    let counted = |kind: &str| {
        let lines = text.lines().filter(|l| l.starts_with("hyssop_requests_total"));
        lines.filter(|l| l.contains(kind) && l.contains("outcome=\"answered\"")).count()
    };
    assert_eq!([counted("kind=\"draft\""), counted("kind=\"call\"")], [1, 1], "{text}");
}

/// Another workspace uses a request id that it guessed or found. The answer must not even show that
/// the request exists.
#[tokio::test]
async fn another_workspace_does_not_get_a_request() {
    let fleet = Fleet::start().await;
    let client = fleet.client();
    let body = format!(r#"{{"model":"draft","prompt":"{PROMPT}","max_tokens":4}}"#);
    let answer = post(&client, "/v1/completions", WINERY, &[], body).await;
    let id = &answer.headers.iter().find(|h| h.0 == "x-request-id").unwrap().1;
    for (key, status) in [(STADIUM, 404), (WINERY, 200)] {
        let bearer = [header("authorization", &format!("Bearer {key}"))];
        let path = format!("/v1/completions/{id}?after=1");
        let again = client.send("GET", &path, &bearer, Default::default()).await.unwrap();
        assert_eq!(again.status, status, "{key}");
    }
}

/// A caller reads slowly. Tokens wait in the router's bounded queue and at the head, and the caller
/// receives all of them.
#[tokio::test]
async fn a_slow_reader_gets_the_whole_answer() {
    let fleet = Fleet::start().await;
    let mut stream = request_stream(&fleet, 120).await;
    let mut raw = Vec::new();
    let mut part = vec![0; 512];
    loop {
        let n = stream.read(&mut part).await.unwrap();
        raw.extend(&part[..n]);
        if n == 0 || raw.windows(6).any(|w| w == b"[DONE]") {
            break;
        }
        tokio::time::sleep(Duration::from_millis(3)).await;
    }
    let text = String::from_utf8_lossy(&raw);
    let expected = fake::model::expected_answer("draft", 1, 4, PROMPT, 120);
    let ids: Vec<u64> = text
        .lines()
        .filter_map(|l| l.strip_prefix("data: {"))
        .filter_map(|l| serde_json::from_str::<Value>(&format!("{{{l}")).ok())
        .filter_map(|v| v["choices"][0]["token_id"].as_u64())
        .collect();
    assert_eq!(ids, expected.iter().map(|t| t.id).collect::<Vec<_>>());
}

/// A caller closes its connection in the middle of the stream. If the draft kept running, it would
/// hold slots for an answer that nobody reads.
#[tokio::test]
async fn a_caller_that_disconnects_frees_its_slots() {
    let fleet = Fleet::start().await;
    let mut stream = request_stream(&fleet, 200).await;
    let mut part = vec![0; 256];
    let n = stream.read(&mut part).await.unwrap();
    assert!(n > 0);
    drop(stream);
    wait_until("no session is left at the engine", async || fleet.sessions().await == 0).await;
}

async fn connect(fleet: &Fleet) -> TcpStream {
    TcpStream::connect(fleet.router.trim_start_matches("http://")).await.unwrap()
}

async fn request_stream(fleet: &Fleet, tokens: u32) -> TcpStream {
    let body =
        format!(r#"{{"model":"draft","prompt":"{PROMPT}","max_tokens":{tokens},"stream":true}}"#);
    let mut stream = connect(fleet).await;
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {WINERY}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

fn straight(tokens: usize) -> String {
    fake::model::expected_answer("draft", 1, 4, PROMPT, tokens)
        .iter()
        .map(|t| t.text.as_str())
        .collect()
}
