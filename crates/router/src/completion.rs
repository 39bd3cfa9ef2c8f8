//! Drafts over HTTP, in the widely used format of completions.

use std::sync::Arc;

use config::fleet::{Fleet, Workspace};
use salvo::http::body::BodySender;
use salvo::http::{HeaderValue, StatusCode, header};
use salvo::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::frame::{Attach, Cancel, Done, Place, Token};
use wire::id;
use wire::refusal::{Cause, Refusal};

use crate::draft::{Event, Spec};
use crate::head;
use crate::{Router, caller, drain, problem};

/// Capacity of a caller's queue of events. If the caller reads slowly, its draft continues at the
/// head, and the router holds only this many tokens.
const MAX_QUEUED_EVENTS: usize = 64;

/// Number of tokens generated if the caller gives no limit.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// JSON body of a request.
#[derive(Debug, Deserialize)]
struct Body {
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

/// `POST /v1/completions`.
pub struct Post(pub Arc<Router>);

/// `GET /v1/completions/{id}`: continues after the last token that the caller has.
pub struct Get(pub Arc<Router>);

/// `DELETE /v1/completions/{id}`: cancels a draft.
pub struct Delete(pub Arc<Router>);

/// `GET /v1/models`.
pub struct Models(pub Arc<Router>);

#[handler]
impl Post {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let router = &self.0;
        let (caller, body) = match caller::receive(router, req).await {
            Ok(received) => received,
            Err((status, refusal)) => return problem::render_as(res, status, &refusal, ""),
        };
        match parse(router, &caller.fleet, &caller.workspace, req, &body) {
            Ok((spec, stream)) => {
                let (tx, rx) = mpsc::channel(MAX_QUEUED_EVENTS);
                tokio::spawn(head::run(router.clone(), spec.clone(), tx));
                respond(router, res, rx, &spec.model.name, stream).await;
            }
            Err(refusal) => problem::render(res, &refusal, ""),
        }
    }
}

#[handler]
impl Get {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let router = &self.0;
        let vm = &router.node.process.vm;
        let workspace = match caller::identify(router, req) {
            Ok(caller) => caller.workspace,
            Err((status, refusal)) => return problem::render_as(res, status, &refusal, ""),
        };
        let (request, after) = resume_point(req);
        let Some(head) = locate_head(router, &request) else {
            return problem::render(res, &not_found(vm), &request);
        };
        let attach = Attach { request, workspace: workspace.name.clone(), after };
        let (tx, rx) = mpsc::channel(MAX_QUEUED_EVENTS);
        tokio::spawn(head::attach(router.clone(), attach, head, tx));
        respond(router, res, rx, "", true).await;
    }
}

#[handler]
impl Delete {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let router = &self.0;
        let vm = &router.node.process.vm;
        let workspace = match caller::identify(router, req) {
            Ok(caller) => caller.workspace,
            Err((status, refusal)) => return problem::render_as(res, status, &refusal, ""),
        };
        let request: id::Request = req.param("id").unwrap_or_default();
        let Some(head) = locate_head(router, &request) else {
            return problem::render(res, &not_found(vm), &request);
        };
        let cancel = Cancel { request: request.clone(), workspace: workspace.name.clone() };
        let ask = wire::frame::Command::Cancel(cancel);
        let answer =
            router.node.peers.request::<_, wire::frame::Frame>(&head.vm, &head.address, &ask);
        match answer.await {
            Ok(_) => {
                res.status_code(StatusCode::NO_CONTENT);
            }
            Err(e) => {
                let refusal = Refusal::unknown(Cause::Lost, "cancel", &head.vm, e.to_string());
                problem::render(res, &refusal, &request);
            }
        }
    }
}

#[handler]
impl Models {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let fleet = match caller::identify(&self.0, req) {
            Ok(caller) => caller.fleet,
            Err((status, refusal)) => return problem::render_as(res, status, &refusal, ""),
        };
        let list: Vec<Value> =
            fleet.models.iter().map(|m| json!({"id": m.name, "object": "model"})).collect();
        res.render(Json(json!({"object": "list", "data": list})));
    }
}

fn parse(
    router: &Router,
    fleet: &Fleet,
    workspace: &Workspace,
    req: &Request,
    body: &[u8],
) -> Result<(Spec, bool), Refusal> {
    let vm = &router.node.process.vm;
    let bad = |why: String| Refusal::refused(Cause::Bad, "parse", vm, why);
    let body: Body =
        serde_json::from_slice(body).map_err(|e| bad(format!("the body is not valid: {e}")))?;
    let Some(model) = fleet.model(&body.model) else {
        let why = format!("there is no model '{}'", body.model);
        return Err(Refusal::refused(Cause::NotFound, "parse", vm, why));
    };
    let max_tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS.min(workspace.max_tokens));
    if max_tokens == 0 || max_tokens > workspace.max_tokens {
        let why = format!("max_tokens has to be 1 to {}, not {max_tokens}", workspace.max_tokens);
        return Err(bad(why));
    }
    let deadline = caller::deadline(fleet, workspace, req, vm)?;
    let content = format!("{}\n{}", body.model, body.prompt);
    let spec = Spec {
        unique: uuid::Uuid::now_v7().simple().to_string(),
        workspace: workspace.name.clone(),
        model: model.clone(),
        prompt: body.prompt,
        max_tokens,
        priority: workspace.priority,
        fingerprint: xxhash_rust::xxh3::xxh3_64(content.as_bytes()),
        deadline: Instant::now() + deadline,
    };
    Ok((spec, body.stream))
}

/// The request and the number of tokens that the caller has: from `Last-Event-ID: REQUEST:N`, or
/// from the path and `?after=N`. If the draft has moved to another head, the header has the newer
/// request id.
fn resume_point(req: &Request) -> (id::Request, u32) {
    let header = req.headers().get("last-event-id").and_then(|v| v.to_str().ok());
    match header.and_then(|h| h.rsplit_once(':')) {
        Some((request, after)) => (request.to_string(), after.parse().unwrap_or(0)),
        None => (req.param("id").unwrap_or_default(), req.query("after").unwrap_or(0)),
    }
}

/// The place of the head named in a request id, if the same process still runs there.
fn locate_head(router: &Router, request: &str) -> Option<Place> {
    let mut parts = request.splitn(3, '.');
    let (vm, incarnation) = (parts.next()?, parts.next()?.parse::<id::Incarnation>().ok()?);
    let agent = router.view.find(vm)?;
    let same = agent.report.is_none_or(|r| r.incarnation == incarnation);
    same.then_some(agent.place)
}

fn not_found(vm: &str) -> Refusal {
    let why = "no such request is running or has ended lately; a draft may be sent again";
    Refusal::refused(Cause::NotFound, "attach", vm, why)
}

/// Responds with a stream of events or one JSON body.
async fn respond(
    router: &Arc<Router>,
    res: &mut Response,
    mut events: mpsc::Receiver<Event>,
    model: &str,
    stream: bool,
) {
    let started_at = Instant::now();
    let first = events.recv().await;
    let (request, prompt_tokens) = match first {
        Some(Event::Accepted(request, prompt_tokens)) => (request, prompt_tokens),
        Some(Event::Refused(request, refusal)) => return problem::render(res, &refusal, &request),
        _ => {
            let vm = &router.node.process.vm;
            let refusal = Refusal::unknown(Cause::Lost, "answer", vm, "the draft ended early");
            return problem::render(res, &refusal, "");
        }
    };
    if let Ok(value) = HeaderValue::from_str(&request) {
        res.headers_mut().insert("x-request-id", value);
    }
    match stream {
        true => {
            let kind = HeaderValue::from_static("text/event-stream");
            res.headers_mut().insert(header::CONTENT_TYPE, kind);
            res.headers_mut().insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
            let sender = res.channel();
            let (router, model) = (router.clone(), model.to_string());
            tokio::spawn(async move {
                send_events(&router, sender, events, &request, &model, started_at).await;
            });
        }
        false => respond_whole(router, res, events, (&request, prompt_tokens), model).await,
    }
}

/// The next event; once the time to drain has passed, the refusal that sends the caller to another
/// router, while the draft continues at its head.
async fn next_event(
    router: &Router,
    events: &mut mpsc::Receiver<Event>,
    request: &str,
) -> Option<Event> {
    tokio::select! {
        biased;
        event = events.recv() => event,
        () = router.drain_expired.wait() => {
            Some(Event::Refused(request.to_string(), drain::unfinished(router)))
        }
    }
}

async fn respond_whole(
    router: &Router,
    res: &mut Response,
    mut events: mpsc::Receiver<Event>,
    (request, prompt_tokens): (&str, u32),
    model: &str,
) {
    let mut tokens = Vec::new();
    while let Some(event) = next_event(router, &mut events, request).await {
        match event {
            Event::Token(_, token) => tokens.push(token.sample),
            Event::Done(_) => {
                let stopped = tokens.last().is_some_and(|w| w.end);
                let text: String = tokens.iter().map(|w| w.text.as_str()).collect();
                let ids: Vec<u64> = tokens.iter().map(|w| w.id).collect();
                router.node.metrics.tokens.add(ids.len() as u64, &[]);
                let finish = if stopped { "stop" } else { "length" };
                return res.render(Json(json!({
                    "id": request,
                    "object": "text_completion",
                    "model": model,
                    "choices": [{
                        "index": 0, "text": text, "token_ids": ids, "finish_reason": finish,
                    }],
                    "usage": {
                        "prompt_tokens": prompt_tokens,
                        "completion_tokens": ids.len(),
                        "total_tokens": prompt_tokens as usize + ids.len(),
                    },
                })));
            }
            Event::Refused(_, refusal) => return problem::render(res, &refusal, request),
            Event::Accepted(..) => {}
        }
    }
    let vm = &router.node.process.vm;
    let refusal = Refusal::unknown(Cause::Lost, "answer", vm, "the draft ended early");
    problem::render(res, &refusal, request);
}

async fn send_events(
    router: &Router,
    mut sender: BodySender,
    mut events: mpsc::Receiver<Event>,
    request: &str,
    model: &str,
    started_at: Instant,
) {
    let mut last = started_at;
    let mut final_token: Option<(id::Request, Token)> = None;
    while let Some(event) = next_event(router, &mut events, request).await {
        let text = match event {
            Event::Token(at, token) => {
                router.node.metrics.tokens.add(1, &[]);
                let now = Instant::now();
                let time = (now - last).as_secs_f64();
                match token.index {
                    0 => router.node.metrics.first_token.record(time, &[]),
                    _ => router.node.metrics.between_tokens.record(time, &[]),
                }
                last = now;
                // The chunk of the last token has the finish reason, so a token that ends the text
                // is held back until the draft is done.
                match token.sample.end {
                    true => {
                        final_token = Some((at, token));
                        continue;
                    }
                    false => chunk(request, model, &at, &token, None),
                }
            }
            Event::Done(done) => end(request, model, final_token.take(), &done),
            Event::Refused(at, refusal) => {
                let body = problem::body(&refusal, &at);
                let text = format!("event: error\ndata: {body}\n\n");
                let _ = sender.send_data(text).await;
                return;
            }
            Event::Accepted(..) => continue,
        };
        // The caller has disconnected: dropping the receiver of events cancels the draft.
        if sender.send_data(text).await.is_err() {
            return;
        }
    }
}

fn chunk(request: &str, model: &str, at: &str, token: &Token, finish: Option<&str>) -> String {
    let data = json!({
        "id": request,
        "object": "text_completion",
        "model": model,
        "choices": [{
            "index": 0,
            "text": token.sample.text,
            "token_id": token.sample.id,
            "finish_reason": finish,
        }],
    });
    format!("id: {at}:{}\ndata: {data}\n\n", token.index + 1)
}

fn end(
    request: &str,
    model: &str,
    final_token: Option<(id::Request, Token)>,
    done: &Done,
) -> String {
    let last = match final_token {
        Some((at, token)) => chunk(request, model, &at, &token, Some("stop")),
        None => {
            let data = json!({
                "id": request,
                "object": "text_completion",
                "model": model,
                "choices": [{"index": 0, "text": "", "finish_reason": "length"}],
                "usage": {"completion_tokens": done.tokens},
            });
            format!("data: {data}\n\n")
        }
    };
    format!("{last}data: [DONE]\n\n")
}
