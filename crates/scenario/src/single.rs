//! Verbs that send one request and check how it ends.

use std::time::Instant;

use bytes::Bytes;

use crate::caller::Caller;
use crate::draft;
use crate::load::{self, Record};
use crate::outcome::{Kind, Outcome, Verdict};
use crate::script;
use crate::settings;
use crate::write;

/// Plays a `draft` line.
pub async fn draft(
    caller: &Caller,
    line: &script::Draft,
    layers: u32,
    line_index: u64,
    record: &Record,
) -> Result<(), String> {
    let line_index = line.number.unwrap_or(line_index);
    // An engine crashes when the session's tag contains this text; agents put the prompt in the tag.
    let name = match line.crash {
        true => format!("{}-{line_index}", fake::engine::CRASH_TAG),
        false => format!("single-{line_index}"),
    };
    let prompt = load::prompt(&mut load::random(line_index, 0), &name, line.prompt_words);
    for n in 0..line.times {
        let job = draft::Job {
            prompt: prompt.clone(),
            max_tokens: line.tokens,
            workspace: 1,
            router: n as usize,
            tries: 10,
            layers,
        };
        let began = Instant::now();
        let mut out = draft::run(caller, &job).await;
        out.crash = line.crash;
        out.judged_by_script = line.crash || line.expect.is_some();
        let found = status_and_reason(&out);
        let id = out.id.clone();
        record.push(out, began);
        match line.expect {
            Some(status) if n + 1 == line.times && status != found.0 => {
                return Err(format!("status {} in place of {status}: {}", found.0, found.1));
            }
            _ if line.stolen => request_from_other_workspace(caller, &id).await?,
            _ => {}
        }
    }
    Ok(())
}

/// Checks that another workspace can't read a request by its id and its own workspace can.
async fn request_from_other_workspace(caller: &Caller, id: &str) -> Result<(), String> {
    for (workspace, status) in [(2, 404), (1, 200)] {
        let bearer = format!("Bearer {}", settings::key(workspace));
        let uri = format!("{}/v1/completions/{id}", caller.router(0));
        let headers = [("authorization", bearer)];
        let res = caller.send("GET", &uri, &headers, Bytes::new()).await;
        match res.map(|r| r.status().as_u16()) {
            Ok(found) if found == status => {}
            Ok(found) => return Err(format!("workspace {workspace} got {found}, not {status}")),
            Err(e) => return Err(e.to_string()),
        }
    }
    Ok(())
}

/// Returns the status and text of an end; the line of a refusal begins with its status.
fn status_and_reason(out: &Outcome) -> (u16, String) {
    match &out.verdict {
        Verdict::Right => (200, String::new()),
        Verdict::Wrong(why)
        | Verdict::NotRun(why)
        | Verdict::Refused(why)
        | Verdict::Unknown(why)
        | Verdict::Lost(why) => {
            let first = why.split(' ').next().and_then(|w| w.parse().ok());
            (first.unwrap_or(0), why.clone())
        }
    }
}

/// Calls again while the answer is "not run" with a retry time, unless the line expects that.
async fn call_until_final(
    caller: &Caller,
    job: &write::Job,
    line: &script::Order,
) -> Result<write::Reply, rest::Error> {
    let began = Instant::now();
    loop {
        let reply = write::call(caller, Kind::Order, job, job.router).await?;
        let pause = match &reply.problem {
            Some(p) if p.outcome == "not-run" && !is_expected(line, p.status) => p.pause(),
            _ => None,
        };
        match pause {
            Some(pause) if began.elapsed() < write::MAX_DURATION => tokio::time::sleep(pause).await,
            _ => return Ok(reply),
        }
    }
}

/// Returns true if the line expects a "not run" with this status.
fn is_expected(line: &script::Order, status: u16) -> bool {
    line.expect == Some(status) || line.outcome.as_deref() == Some("not-run")
}

/// Plays an `order` line through one router.
pub async fn order(caller: &Caller, line: &script::Order, record: &Record) -> Result<(), String> {
    let job = write::Job {
        key: line.key.clone(),
        body: line.body.clone(),
        workspace: line.workspace,
        router: line.router.saturating_sub(1),
        tries: 0,
    };
    let began = Instant::now();
    let reply = call_until_final(caller, &job, line).await;
    let reply = reply.map_err(|e| e.to_string())?;
    let problem = reply.problem.as_ref().map(|p| p.line()).unwrap_or_default();
    let outcome = reply.problem.as_ref().map(|p| p.outcome.clone());
    let mut out = Outcome::new(Kind::Order, &line.key);
    out.judged_by_script = true;
    out.verdict = match (&outcome, reply.status) {
        (Some(o), _) if o == "not-run" => {
            out.not_run.push(reply.request.clone());
            Verdict::NotRun(problem.clone())
        }
        (Some(o), _) if o == "unknown" => Verdict::Unknown(problem.clone()),
        (None, 200..300) => Verdict::Right,
        _ => Verdict::Refused(problem.clone()),
    };
    record.push(out, began);
    let expect = line.expect.or(line.outcome.is_none().then_some(201));
    match () {
        _ if expect.is_some_and(|status| status != reply.status) => {
            Err(format!("status {} in place of {expect:?}: {problem}", reply.status))
        }
        _ if line.replayed && !reply.replayed => Err("the answer is not a stored one".to_string()),
        _ if line.outcome.is_some() && line.outcome != outcome => {
            Err(format!("outcome {outcome:?} in place of {:?}", line.outcome))
        }
        _ => Ok(()),
    }
}
