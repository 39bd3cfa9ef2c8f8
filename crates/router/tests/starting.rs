//! Answers of a router that has just started and has no settings yet.

mod work;

use std::time::Duration;

use serde_json::Value;
use work::{WINERY, header};

struct Case {
    method: &'static str,
    path: &'static str,
    body: &'static str,
}

fn cases() -> Vec<Case> {
    let draft = r#"{"model":"draft","prompt":"a"}"#;
    vec![
        Case { method: "POST", path: "/v1/completions", body: draft },
        Case { method: "GET", path: "/v1/completions/gpu-1.1.a", body: "" },
        Case { method: "DELETE", path: "/v1/completions/gpu-1.1.a", body: "" },
        Case { method: "GET", path: "/v1/models", body: "" },
        Case { method: "POST", path: "/orders/orders", body: "{}" },
        Case { method: "GET", path: "/orders/orders/7", body: "" },
    ]
}

/// A router that is restarted while the log is unavailable has no settings and knows no workspaces.
/// If it answered 401 or 404 to a valid key, callers would not retry. It has to answer that nothing
/// ran and when to retry.
#[tokio::test]
async fn a_router_without_settings_answers_not_run_with_a_time_to_retry() {
    let lone = work::LoneRouter::start().await;
    let client = rest::Client::new(&lone.router, Duration::from_secs(20));
    for case in cases() {
        let bearer = header("authorization", &format!("Bearer {WINERY}"));
        let headers = [bearer, header("idempotency-key", "k")];
        let body = case.body.as_bytes().to_vec().into();
        let answer = client.send(case.method, case.path, &headers, body).await.unwrap();
        assert_eq!(answer.status, 503, "{}", case.path);
        let problem: Value = serde_json::from_slice(&answer.body).unwrap();
        assert_eq!(problem["outcome"], "not-run", "{}", case.path);
        assert!(problem["retry_after_ms"].as_u64().is_some_and(|ms| ms > 0), "{}", case.path);
        let retry = answer.headers.iter().find(|(name, _)| name == "retry-after");
        assert!(retry.is_some(), "{}", case.path);
    }
}
