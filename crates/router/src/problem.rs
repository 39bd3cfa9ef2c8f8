//! Refusals as `application/problem+json` (RFC 9457).

use std::time::Duration;

use salvo::http::{HeaderValue, StatusCode, header};
use salvo::prelude::*;
use serde_json::{Value, json};
use wire::refusal::{Cause, Outcome, Refusal};

/// The HTTP status of a refusal.
///
/// ```
/// use wire::refusal::{Cause, Refusal};
/// let busy = Refusal::not_run(Cause::Busy, "open", "gpu-1", "full");
/// assert_eq!(router::problem::status(&busy), 503);
/// ```
pub fn status(refusal: &Refusal) -> u16 {
    match (refusal.outcome, refusal.cause) {
        (Outcome::Refused, Cause::NotFound) => 404,
        (Outcome::Refused, Cause::Conflict) => 409,
        (Outcome::Refused, Cause::Quarantined) => 422,
        (Outcome::Refused, _) => 400,
        (Outcome::NotRun, Cause::Quarantined) => 422,
        (Outcome::NotRun, _) => 503,
        (Outcome::Unknown, Cause::Deadline) => 504,
        (Outcome::Unknown, _) => 502,
    }
}

/// The body of a refusal.
///
/// ```
/// use wire::refusal::{Cause, Refusal};
/// let busy = Refusal::not_run(Cause::Busy, "open", "gpu-1", "full");
/// assert_eq!(router::problem::body(&busy, "id")["outcome"], "not-run");
/// ```
pub fn body(refusal: &Refusal, request: &str) -> Value {
    json!({
        "type": "about:blank",
        "title": refusal.cause.to_string(),
        "status": status(refusal),
        "detail": refusal.reason,
        "outcome": refusal.outcome.to_string(),
        "cause": refusal.cause,
        "step": refusal.step,
        "peer": refusal.peer,
        "request": request,
        "retry_after_ms": refusal.retry_after.map(|d| d.as_millis() as u64),
    })
}

/// Writes a refusal as the response.
pub fn render(res: &mut Response, refusal: &Refusal, request: &str) {
    render_as(res, status(refusal), refusal, request);
}

/// Writes a refusal as the response, with the given status.
pub fn render_as(res: &mut Response, status: u16, refusal: &Refusal, request: &str) {
    res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY));
    let mut body = body(refusal, request);
    body["status"] = status.into();
    let headers = res.headers_mut();
    let kind = HeaderValue::from_static("application/problem+json");
    headers.insert(header::CONTENT_TYPE, kind);
    if let Some(after) = refusal.retry_after {
        headers.insert(header::RETRY_AFTER, whole_seconds(after).into());
    }
    if let Ok(value) = HeaderValue::from_str(request) {
        headers.insert("x-request-id", value);
    }
    if let Err(e) = res.write_body(body.to_string()) {
        log::warn!("problem: could not write the response: {e}");
    }
}

/// The time in whole seconds, as Retry-After has them; rounded up so that nobody retries too early.
fn whole_seconds(time: Duration) -> u64 {
    time.as_millis().div_ceil(1000) as u64
}
