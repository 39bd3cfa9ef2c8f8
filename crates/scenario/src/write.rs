//! Callers of the plain service: look-ups, and orders that must run at most once.

use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::caller::{ANSWER_TIMEOUT, Caller, MIN_PAUSE, Problem};
use crate::outcome::{Kind, Outcome, Verdict};
use crate::settings;

/// Time after which a caller starts no further attempt of a call.
pub const MAX_DURATION: Duration = Duration::from_secs(60);

/// A call to the plain service.
#[derive(Debug, Clone)]
pub struct Job {
    /// Idempotency key of an order, or the id of a look-up.
    pub key: String,
    /// Body of an order.
    pub body: String,
    /// Workspace, from 1.
    pub workspace: usize,
    /// Number of the first router; taken modulo the number of routers.
    pub router: usize,
    /// Maximum number of retries.
    pub tries: u32,
}

/// The reply to a call.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Request id of this attempt, or empty.
    pub request: String,
    /// True if it is a stored answer.
    pub replayed: bool,
    /// Body.
    pub body: Vec<u8>,
    /// The refusal, if the fleet refused the call.
    pub problem: Option<Problem>,
}

/// Sends a call once, through one router.
pub async fn call(
    caller: &Caller,
    kind: Kind,
    job: &Job,
    router: usize,
) -> Result<Reply, rest::Error> {
    let http = rest::Client::new(caller.router(router), ANSWER_TIMEOUT);
    let bearer = format!("Bearer {}", settings::key(job.workspace));
    let mut headers = vec![("authorization".to_string(), bearer)];
    let (method, path) = match kind {
        Kind::Order => ("POST", "/orders/orders".to_string()),
        _ => ("GET", format!("/orders/orders/{}", job.key)),
    };
    let mut body = Bytes::new();
    if kind == Kind::Order {
        headers.push(("idempotency-key".to_string(), job.key.clone()));
        headers.push(("content-type".to_string(), "application/json".to_string()));
        body = Bytes::from(job.body.clone());
    }
    let answer = http.send(method, &path, &headers, body).await?;
    let header = |name: &str| {
        let found = answer.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    };
    let refused = header("content-type").is_some_and(|t| t.starts_with("application/problem+json"));
    Ok(Reply {
        status: answer.status,
        request: header("x-request-id").unwrap_or_default().to_string(),
        replayed: header("idempotent-replayed") == Some("true"),
        problem: refused.then(|| Problem::read(answer.status, &answer.body)),
        body: answer.body.to_vec(),
    })
}

/// Sends a call and retries it until its outcome is final.
pub async fn run(caller: &Caller, kind: Kind, job: &Job) -> Outcome {
    let mut out = Outcome::new(kind, &job.key);
    out.workspace = job.workspace;
    let began = Instant::now();
    let mut why = String::new();
    for turn in 0..=job.tries {
        if began.elapsed() > MAX_DURATION {
            break;
        }
        let sent = Instant::now();
        let reply = call(caller, kind, job, job.router + turn as usize).await;
        out.latency = Some(sent.elapsed());
        let pause = match judge_reply(kind, reply, &mut out) {
            Ok(verdict) => {
                out.verdict = verdict;
                return out;
            }
            Err((pause, reason)) => {
                why = reason;
                pause
            }
        };
        out.retries += 1;
        tokio::time::sleep(pause).await;
    }
    out.verdict = match out.unknowns {
        0 => Verdict::NotRun(why),
        _ => Verdict::Unknown(why),
    };
    out
}

/// Returns the final verdict, or the time to wait before a retry and its reason.
fn judge_reply(
    kind: Kind,
    reply: Result<Reply, rest::Error>,
    out: &mut Outcome,
) -> Result<Verdict, (Duration, String)> {
    let reply = match reply {
        Ok(reply) => reply,
        Err(e) => {
            // The idempotency key makes it safe to retry an order.
            out.unknowns += u32::from(!e.unsent());
            return Err((MIN_PAUSE, e.to_string()));
        }
    };
    let Some(problem) = reply.problem else { return Ok(judge_answer(kind, reply, out)) };
    let line = problem.line();
    out.refusals.push(format!("{} at {}", problem.title, problem.step));
    match (problem.outcome.as_str(), problem.pause()) {
        ("not-run", pause) => {
            out.not_run.push(reply.request);
            pause.map_or(Ok(Verdict::NotRun(line.clone())), |pause| Err((pause, line)))
        }
        ("unknown", pause) => {
            out.unknowns += 1;
            pause.map_or(Ok(Verdict::Unknown(line.clone())), |pause| Err((pause, line)))
        }
        (_, Some(pause)) => Err((pause, line)),
        (_, None) => Ok(Verdict::Refused(line)),
    }
}

fn judge_answer(kind: Kind, reply: Reply, out: &mut Outcome) -> Verdict {
    let status = reply.status;
    let right = match kind {
        Kind::Order => (200..300).contains(&status),
        // No record exists for the id of a look-up, so the service itself may answer 404.
        _ => status == 200 || status == 404,
    };
    out.answer = Some(reply.body);
    match right {
        true => Verdict::Right,
        false => Verdict::Wrong(format!("status {status}")),
    }
}
