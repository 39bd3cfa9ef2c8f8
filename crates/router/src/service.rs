//! Calls of plain services, passed on by the contract of their route.

use std::sync::Arc;
use std::time::Duration;

use config::fleet::{self, Fleet, Service, Workspace};
use policy::work::Cost;
use salvo::http::{HeaderName, HeaderValue, StatusCode};
use salvo::prelude::*;
use tokio::time::{Instant, timeout};
use wire::frame::{Call, Class, Command, Frame, Place, Reply};
use wire::refusal::{Cause, Outcome, Refusal};

use crate::admission::{self, Target, Want};
use crate::{Router, caller, drain, problem};

/// Header with the caller's key for a write.
pub const KEY: &str = "idempotency-key";

/// Longest key in bytes.
const KEY_LENGTH: usize = 200;

/// When a caller may come back when no agent could take the call.
const BUSY_RETRY: Duration = Duration::from_millis(500);

/// Headers of the caller that are for the router and not passed on.
const OWN: [&str; 3] = ["authorization", caller::DEADLINE, "host"];

/// Any path that is not the router's own.
pub struct Any(pub Arc<Router>);

#[handler]
impl Any {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let router = &self.0;
        let (caller, body) = match caller::receive(router, req).await {
            Ok(received) => received,
            Err((status, refusal)) => return problem::render_as(res, status, &refusal, ""),
        };
        match call(router, &caller.fleet, &caller.workspace, req, body) {
            Ok((call, until)) => {
                let request = call.request.clone();
                let done = tokio::select! {
                    done = run(router, call, caller.workspace.priority, until) => done,
                    () = router.ending.wait() => Err(drain::unfinished(router)),
                };
                let outcome = done
                    .as_ref()
                    .map_or_else(|refusal| refusal.outcome.to_string(), |_| "answered".into());
                router.node.metrics.ended("call", &outcome);
                match done {
                    Ok(reply) => render(res, reply, &request),
                    Err(refusal) => problem::render(res, &refusal, &request),
                }
            }
            Err(refusal) => problem::render(res, &refusal, ""),
        }
    }
}

fn call(
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
    let mut headers = passed_on(req);
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

/// The caller's key; a route that is not idempotent needs one, since without it
/// a caller that asks again after a lost answer would write twice.
fn key(req: &Request, class: Class, vm: &str) -> Result<Option<String>, Refusal> {
    let key = req.headers().get(KEY).map(|v| v.to_str().unwrap_or_default().to_string());
    match key {
        None if class == Class::NonIdempotent => {
            let why = "this route may run only once: name the write in an Idempotency-Key header";
            Err(Refusal::refused(Cause::Bad, "parse", vm, why))
        }
        Some(key) if key.is_empty() || key.len() > KEY_LENGTH => {
            let why = format!("an Idempotency-Key has 1 to {KEY_LENGTH} visible ASCII characters");
            Err(Refusal::refused(Cause::Bad, "parse", vm, why))
        }
        key => Ok(key),
    }
}

fn passed_on(req: &Request) -> Vec<(String, String)> {
    req.headers()
        .iter()
        .filter(|(name, _)| {
            !OWN.contains(&name.as_str()) && !name.as_str().starts_with("x-workspace")
        })
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_string())))
        .collect()
}

/// Asks agents of the service, one after the other, until one gives an answer that
/// counts, the retry budget is used up or no time is left.
async fn run(
    router: &Arc<Router>,
    call: Call,
    priority: u8,
    until: Instant,
) -> Result<Reply, Refusal> {
    // Once an agent may have started the call, a later "not run" of another
    // agent says nothing about the first.
    let mut maybe_run: Option<Refusal> = None;
    let mut turn = router.admission.ask(want(&call, priority, until)).await;
    loop {
        let grant = match turn {
            Ok(grant) => grant,
            Err(refusal) => return Err(in_doubt(maybe_run, refusal)),
        };
        let vm = grant.chain().first().and_then(|list| list.first()).cloned().unwrap_or_default();
        let left = until.saturating_duration_since(Instant::now());
        let asked = match router.view.find(&vm) {
            Some(agent) => ask(router, &agent.place, &call, left).await,
            None => {
                let why = "the agent is no longer listed";
                Err(Refusal::not_run(Cause::Unavailable, "choose", &vm, why))
            }
        };
        let refusal = match asked {
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
            Outcome::Unknown if refusal.step == LINK => maybe_run = Some(refusal.clone()),
            Outcome::Unknown if call.class == Class::NonIdempotent => return Err(refusal),
            Outcome::Unknown => maybe_run = Some(refusal.clone()),
        }
        router.node.metrics.retries.add(1, &[]);
        let outcome = admission::certain(&refusal);
        turn = grant.again(refusal, outcome).await;
    }
}

fn want(call: &Call, priority: u8, until: Instant) -> Want {
    let key = call.key.as_deref();
    Want {
        target: Target::Service(call.service.clone()),
        workspace: call.workspace.clone(),
        priority,
        cost: Cost { prompt: 1, output: 1 },
        until,
        prefix: key.map(|key| policy::affinity::prefix(key, key.len())),
        keyed: key.is_some(),
    }
}

/// The refusal that the caller gets: of an earlier try that may have run, if there is one.
fn in_doubt(maybe_run: Option<Refusal>, last: Refusal) -> Refusal {
    let refusal = maybe_run.unwrap_or(last);
    match refusal.retry_after {
        // The queue alone knows a request that will never fit, and says so by silence.
        None if refusal.step != admission::STEP => refusal.with_retry_after(BUSY_RETRY),
        _ => refusal,
    }
}

/// Step name of refusals that this router makes when the link to an agent is lost.
const LINK: &str = "ask agent";

async fn ask(
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
    let lost = |why: String| Refusal::unknown(Cause::Lost, LINK, vm, why);
    // Without signs of life a call to an agent that has died would wait for its whole
    // deadline, though another agent could settle it at once.
    let _wait = peers.wait(vm, address);
    let asked = async {
        let ask = Command::Call(Call { deadline: left, ..call.clone() });
        let mut stream = wire::link::open(&connection, vm, &ask).await?;
        stream.finish();
        stream.expect::<Frame>().await
    };
    match timeout(left, asked).await {
        Ok(Ok(Frame::Reply(reply))) => Ok(reply),
        Ok(Ok(Frame::Refused(refusal))) => Err(refusal),
        Ok(Ok(_)) => Err(lost("unexpected frame".into())),
        Ok(Err(e)) => Err(lost(e.to_string())),
        Err(_) => Err(Refusal::unknown(Cause::Deadline, LINK, vm, "no answer before the deadline")),
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
        log::warn!("service: the answer can't be written: {e}");
    }
}
