//! Calls of plain services, forwarded by the contract of their route.

use std::sync::Arc;
use std::time::Duration;

use config::fleet::{self, Fleet, Service, Workspace};
use policy::work::Cost;
use salvo::http::{HeaderName, HeaderValue, StatusCode};
use salvo::prelude::*;
use tokio::time::{Instant, timeout};
use wire::frame::{Call, Class, Command, Frame, Place, Reply};
use wire::refusal::{Cause, Outcome, Refusal};

use crate::admission::{self, Requirements, Target};
use crate::{Router, caller, drain, problem};

/// Header with the caller's idempotency key for a write.
pub const KEY_HEADER: &str = "idempotency-key";

/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 200;

/// When a caller may retry if no agent could take the call.
const BUSY_RETRY: Duration = Duration::from_millis(500);

/// Headers of the caller that are meant for the router and not forwarded.
const ROUTER_HEADERS: [&str; 3] = ["authorization", caller::DEADLINE_HEADER, "host"];

/// Handles all paths that are not the router's own.
pub struct Forward(pub Arc<Router>);

#[handler]
impl Forward {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let router = &self.0;
        let (caller, body) = match caller::receive(router, req).await {
            Ok(received) => received,
            Err((status, refusal)) => return problem::render_as(res, status, &refusal, ""),
        };
        match parse(router, &caller.fleet, &caller.workspace, req, body) {
            Ok((call, deadline)) => {
                let request = call.request.clone();
                let done = tokio::select! {
                    done = run(router, call, caller.workspace.priority, deadline) => done,
                    () = router.drain_expired.wait() => Err(drain::unfinished(router)),
                };
                let outcome = done
                    .as_ref()
                    .map_or_else(|refusal| refusal.outcome.to_string(), |_| "answered".into());
                router.node.metrics.count_request("call", &outcome);
                match done {
                    Ok(reply) => render(res, reply, &request),
                    Err(refusal) => problem::render(res, &refusal, &request),
                }
            }
            Err(refusal) => problem::render(res, &refusal, ""),
        }
    }
}

fn parse(
    router: &Router,
    fleet: &Fleet,
    workspace: &Workspace,
    req: &Request,
    body: Vec<u8>,
) -> Result<(Call, Instant), Refusal> {
    let vm = &router.node.process.vm;
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str());
    let Some((service, rest)) = fleet.service(path) else {
        let why = format!("no service stands under {}", req.uri().path());
        return Err(Refusal::refused(Cause::NotFound, "parse", vm, why));
    };
    let method = req.method().as_str().to_string();
    let class = class(service, &method, rest);
    let key = key(req, class, vm)?;
    let deadline = caller::deadline(fleet, workspace, req, vm)?;
    let unique = uuid::Uuid::now_v7().simple().to_string();
    let request = format!("{vm}.{}.{unique}", router.node.incarnation);
    let mut headers = forwarded_headers(req);
    headers.push(("x-workspace".into(), workspace.name.clone()));
    headers.push(("x-request-id".into(), request.clone()));
    let content = [method.as_bytes(), rest.as_bytes(), &body].concat();
    let call = Call {
        request,
        workspace: workspace.name.clone(),
        service: service.name.clone(),
        method,
        path: rest.to_string(),
        headers,
        body,
        key,
        class,
        deadline,
        fingerprint: xxhash_rust::xxh3::xxh3_64(&content),
    };
    Ok((call, Instant::now() + deadline))
}

fn class(service: &Service, method: &str, path: &str) -> Class {
    match service.class(method, path) {
        fleet::Class::ReadOnly => Class::ReadOnly,
        fleet::Class::Idempotent => Class::Idempotent,
        fleet::Class::NonIdempotent => Class::NonIdempotent,
    }
}

/// The caller's idempotency key. A route that is not idempotent requires one: without it, a caller
/// that retries after a lost answer would write twice.
fn key(req: &Request, class: Class, vm: &str) -> Result<Option<String>, Refusal> {
    let key = req.headers().get(KEY_HEADER).map(|v| v.to_str().unwrap_or_default().to_string());
    match key {
        None if class == Class::NonIdempotent => {
            let why = "this route may run only once: name the write in an Idempotency-Key header";
            Err(Refusal::refused(Cause::Bad, "parse", vm, why))
        }
        Some(key) if key.is_empty() || key.len() > MAX_KEY_BYTES => {
            let why =
                format!("an Idempotency-Key has 1 to {MAX_KEY_BYTES} visible ASCII characters");
            Err(Refusal::refused(Cause::Bad, "parse", vm, why))
        }
        key => Ok(key),
    }
}

fn forwarded_headers(req: &Request) -> Vec<(String, String)> {
    req.headers()
        .iter()
        .filter(|(name, _)| {
            !ROUTER_HEADERS.contains(&name.as_str()) && !name.as_str().starts_with("x-workspace")
        })
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_string())))
        .collect()
}

/// Sends the call to agents of the service, one after the other, until one gives a final answer,
/// the retry budget is used up or no time is left.
async fn run(
    router: &Arc<Router>,
    call: Call,
    priority: u8,
    deadline: Instant,
) -> Result<Reply, Refusal> {
    // Once an agent may have started the call, a refusal of a later agent with outcome not run
    // does not mean that the first agent did not run it.
    let mut maybe_run: Option<Refusal> = None;
    let mut turn = router.admission.admit(requirements(&call, priority, deadline)).await;
    loop {
        let grant = match turn {
            Ok(grant) => grant,
            Err(refusal) => return Err(final_refusal(maybe_run, refusal)),
        };
        let vm = grant.chain().first().and_then(|list| list.first()).cloned().unwrap_or_default();
        let left = deadline.saturating_duration_since(Instant::now());
        let answer = match router.view.find(&vm) {
            Some(agent) => send_call(router, &agent.place, &call, left).await,
            None => {
                let why = "the agent is no longer listed";
                Err(Refusal::not_run(Cause::Unavailable, "choose", &vm, why))
            }
        };
        let refusal = match answer {
            Ok(reply) => {
                grant.succeeded();
                return Ok(reply);
            }
            Err(refusal) => refusal,
        };
        router.node.trace.add(&call.request, "call", refusal.to_string());
        match refusal.outcome {
            Outcome::Refused => return Err(refusal),
            Outcome::NotRun => {}
            // The link was lost: the log decides whether the write may run.
            Outcome::Unknown if refusal.step == LINK_STEP => maybe_run = Some(refusal.clone()),
            Outcome::Unknown if call.class == Class::NonIdempotent => return Err(refusal),
            Outcome::Unknown => maybe_run = Some(refusal.clone()),
        }
        router.node.metrics.retries.add(1, &[]);
        let outcome = admission::retry_outcome(&refusal);
        turn = grant.retry(refusal, outcome).await;
    }
}

fn requirements(call: &Call, priority: u8, deadline: Instant) -> Requirements {
    let key = call.key.as_deref();
    Requirements {
        target: Target::Service(call.service.clone()),
        workspace: call.workspace.clone(),
        priority,
        cost: Cost { prompt: 1, output: 1 },
        deadline,
        prefix: key.map(|key| policy::affinity::prefix(key, key.len())),
        keyed: key.is_some(),
    }
}

/// The refusal for the caller: that of an earlier try that may have run, if there is one.
fn final_refusal(maybe_run: Option<Refusal>, last: Refusal) -> Refusal {
    let refusal = maybe_run.unwrap_or(last);
    match refusal.retry_after {
        // Only the queue knows that a request will never fit; it then gives no time to retry.
        None if refusal.step != admission::STEP => refusal.with_retry_after(BUSY_RETRY),
        _ => refusal,
    }
}

/// Step name of refusals that this router makes if the link to an agent is lost.
const LINK_STEP: &str = "ask agent";

async fn send_call(
    router: &Arc<Router>,
    place: &Place,
    call: &Call,
    left: Duration,
) -> Result<Reply, Refusal> {
    let (vm, address) = (place.vm.as_str(), place.address.as_str());
    let peers = &router.node.peers;
    let connection = peers
        .connection(vm, address)
        .await
        .map_err(|e| Refusal::not_run(Cause::Unavailable, "connect", vm, e.to_string()))?;
    let lost = |why: String| Refusal::unknown(Cause::Lost, LINK_STEP, vm, why);
    // Without the liveness check a call to an agent that has died would wait until its deadline,
    // although another agent could answer it at once.
    let _wait = peers.register_wait(vm, address);
    let answer = async {
        let ask = Command::Call(Call { deadline: left, ..call.clone() });
        let mut stream = wire::link::open(&connection, vm, &ask).await?;
        stream.finish();
        stream.expect::<Frame>().await
    };
    match timeout(left, answer).await {
        Ok(Ok(Frame::Reply(reply))) => Ok(reply),
        Ok(Ok(Frame::Refused(refusal))) => Err(refusal),
        Ok(Ok(_)) => Err(lost("unexpected frame".into())),
        Ok(Err(e)) => Err(lost(e.to_string())),
        Err(_) => {
            Err(Refusal::unknown(Cause::Deadline, LINK_STEP, vm, "no answer before the deadline"))
        }
    }
}

fn render(res: &mut Response, reply: Reply, request: &str) {
    res.status_code(StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY));
    let headers = res.headers_mut();
    for (name, value) in &reply.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    if let Ok(value) = HeaderValue::from_str(request) {
        headers.insert("x-request-id", value);
    }
    if reply.replayed {
        headers.insert("idempotent-replayed", HeaderValue::from_static("true"));
    }
    if let Err(e) = res.write_body(reply.body) {
        log::warn!("service: could not write the response: {e}");
    }
}
