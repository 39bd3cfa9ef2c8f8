//! HTTP listeners for callers, the load balancer, other routers and the metrics page.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, sleep};

use crate::answer::{self, Body, Reason};
use crate::count::Counted;
use crate::crash;
use crate::logging::{self, Line};
use crate::plain;
use crate::request::{self, Call};
use crate::settings::Route;
use crate::shared_read;
use crate::shutdown;
use crate::startup;
use crate::state::State;
use crate::stream;
use crate::task::isolated;

/// Length of the kernel's queue of connections that are not accepted yet. A restart of other routers brings a burst of
/// hundreds; a connection that finds the queue full is retried only after seconds.
const BACKLOG: u32 = 1024;

/// Fraction of the file descriptors that callers' connections may take; each needs another one for a backend server.
const CALLER_FRACTION: f64 = 0.45;

/// Interval between two checks of a connection for callers that are too slow or idle.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time added to the idle time-out of the settings before a connection is closed. A request that is in flight when the
/// connection is closed would be lost.
const IDLE_MARGIN: Duration = Duration::from_millis(1500);

/// Binds a listener.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts callers' connections until the process ends.
pub async fn serve_callers(state: Rc<State>, listener: Rc<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let max_open = f64::from(state.setup.descriptors) * CALLER_FRACTION;
                if f64::from(state.callers.get()) >= max_open {
                    log::warn!("gateway: connection refused open={}", state.callers.get());
                    continue;
                }
                // Closed before its request is read: the caller's next try meets another router.
                if !state.intake.borrow_mut().admits(state.now()) {
                    state.metrics.turned_away();
                    continue;
                }
                tokio::task::spawn_local(serve_connection(state.clone(), stream));
            }
            Err(e) => {
                log::warn!("gateway: accepting a connection failed: {e}");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Recent activity on a connection.
#[derive(Debug)]
struct Activity {
    last_read: Cell<Instant>,
    /// Whether bytes were received since the last request began.
    partial: Cell<bool>,
    /// Requests being served.
    serving: Cell<u32>,
}

/// A caller's socket that records when bytes are received.
struct Socket {
    stream: TcpStream,
    activity: Rc<Activity>,
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.partial.set(true);
            if self.activity.serving.get() == 0 {
                self.activity.last_read.set(Instant::now());
            }
        }
        polled
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

async fn serve_connection(state: Rc<State>, stream: TcpStream) {
    let _open = Counted::new(&state.callers);
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("gateway: TCP_NODELAY not set, small answers may be delayed: {e}");
    }
    let activity = Rc::new(Activity {
        last_read: Cell::new(Instant::now()),
        partial: Cell::new(false),
        serving: Cell::new(0),
    });
    let head = state.settings().map_or(16 * 1024, |s| s.limits.head);
    let service = service_fn(|request| serve(state.clone(), activity.clone(), request));
    let socket = TokioIo::new(Socket { stream, activity: activity.clone() });
    let connection = http1::Builder::new()
        .max_buf_size(head.max(8 * 1024))
        .pipeline_flush(true)
        .serve_connection(socket, service);
    tokio::pin!(connection);
    let mut closing = false;
    loop {
        tokio::select! {
            ended = &mut connection => {
                if let Err(e) = ended {
                    log::debug!("gateway: connection of a caller ended: {e}");
                }
                return;
            }
            () = sleep(CHECK_INTERVAL) => match check(&state, &activity) {
                Check::Fine => {}
                Check::Close if closing => {}
                Check::Close => {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
                Check::Slow => return log::info!("gateway: connection closed why=slow head"),
            },
        }
    }
}

enum Check {
    Fine,
    /// Close once the requests read so far are answered.
    Close,
    /// Close at once: a request head is incomplete for too long.
    Slow,
}

/// Decides whether a connection has been idle or incomplete for too long.
fn check(state: &State, activity: &Activity) -> Check {
    let Some(settings) = state.settings() else { return Check::Fine };
    let idle = activity.last_read.get().elapsed();
    match activity.serving.get() {
        0 if activity.partial.get() && idle > settings.limits.head_time => Check::Slow,
        0 if idle > settings.limits.idle + IDLE_MARGIN => Check::Close,
        0 if state.stopping.get().is_some() && idle > CHECK_INTERVAL => Check::Close,
        _ => Check::Fine,
    }
}

async fn serve(
    state: Rc<State>,
    activity: Rc<Activity>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    activity.partial.set(false);
    let _on_connection = Counted::new(&activity.serving);
    let _serving = Counted::new(&state.serving);
    let mut response = isolated(answer(&state, request)).await.unwrap_or_else(|why| {
        log::error!("gateway: request outcome=unknown why=panic: {why:?}");
        answer::error(Reason::Lost)
    });
    activity.last_read.set(Instant::now());
    activity.partial.set(false);
    if state.stopping.get().is_some() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

async fn answer(state: &Rc<State>, request: Request<Incoming>) -> Response<Body> {
    let started = Instant::now();
    let (head, mut body) = request.into_parts();
    let value = head.headers.get(&state.codec.names.request);
    let id = value.and_then(|id| id.to_str().ok()).unwrap_or("none").to_owned();
    match request::read(state, head, &mut body).await {
        Ok(call) => {
            let response = dispatch(state, call).await;
            state.metrics.answered(response.status(), started.elapsed());
            response
        }
        Err(reason) => {
            let line = state
                .refusal_lines
                .borrow_mut()
                .take(state.now(), logging::MAX_REFUSAL_LINES_PER_S);
            if let Line::Written(left_out) = line {
                log::info!(
                    "gateway: request={id} outcome=refused why={reason} left_out={left_out}"
                );
            }
            state.metrics.refused(reason);
            request::discard(body);
            let mut response = startup::error(state, reason);
            // The rest of an unread body must not be parsed as the next request.
            if matches!(reason, Reason::Malformed | Reason::TooLong | Reason::SlowCaller) {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            response
        }
    }
}

/// Sends a valid request to its service.
async fn dispatch(state: &Rc<State>, call: Call) -> Response<Body> {
    let Some(name) = choose_target(&call.route) else {
        state.metrics.refused(Reason::NoServer);
        return answer::error(Reason::NoServer);
    };
    let now = state.now();
    state.budget(&name, |budget| budget.record_request(now));
    let settings = call.settings.clone();
    let model = settings.service(&name).and_then(|s| s.model.as_ref());
    if !shutdown::accepts(state, &call, model.is_some()) {
        state.metrics.refused(Reason::Stopping);
        return answer::error(Reason::Stopping);
    }
    if let Some(response) = crash::refuse(state, &call) {
        log_failure(state, &call, &name, &response);
        return response;
    }
    let call = Rc::new(call);
    let response = match model {
        Some(model) => stream::serve(state, call.clone(), &name, model).await,
        None => plain::serve(state, &call, &name).await,
    };
    if response.status() != StatusCode::OK {
        log_failure(state, &call, &name, &response);
    }
    response
}

/// Logs how and why a request failed, and counts refusals.
fn log_failure(state: &State, call: &Call, service: &str, response: &Response<Body>) {
    let reason = answer::reason(response);
    let outcome = match reason {
        Some(reason) if reason.is_refusal() => {
            state.metrics.refused(reason);
            "refused"
        }
        Some(_) => "unknown",
        None => "failed",
    };
    let retry_after = response.headers().get(RETRY_AFTER).and_then(|v| v.to_str().ok());
    log::info!(
        "gateway: request={} outcome={outcome} why={} route={} service={service} settings={} status={} retry_after={} age={:?}",
        call.id,
        reason.map_or_else(|| "answer of the backend server".to_owned(), |r| r.to_string()),
        call.route.name,
        call.settings.version,
        response.status(),
        retry_after.unwrap_or("none"),
        call.arrived.elapsed()
    );
}

/// Chooses the service for a request of this route at random by weight.
fn choose_target(route: &Route) -> Option<String> {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    let mut at = if total > 1 { rand::rng().random_range(0..total) } else { 0 };
    let chosen = route.targets.iter().find(|t| {
        let weight = u64::from(t.weight);
        let hit = at < weight;
        at = at.saturating_sub(weight);
        hit
    });
    chosen.or(route.targets.first()).map(|t| t.service.clone())
}

/// Answers the readiness checks of the load balancer.
pub async fn serve_balancer(state: Rc<State>, listener: Rc<TcpListener>) {
    let state = &state;
    pages(&listener, move |_, path| match path {
        path if path == state.codec.ready && state.ready() => (StatusCode::OK, String::new()),
        path if path == state.codec.ready => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        _ => (StatusCode::NOT_FOUND, String::new()),
    })
    .await;
}

/// Answers other routers that request records read from the store.
pub async fn serve_routers(state: Rc<State>, listener: Rc<TcpListener>) {
    let state = &state;
    let answer =
        move |request: Request<Incoming>| async move { shared_read::answer(state, request).await };
    serve_all(&listener, answer).await;
}

/// Serves the metrics page and the quarantine: `GET /quarantine` lists its requests, `DELETE /quarantine/CONTENT`
/// releases one.
pub async fn serve_metrics(state: Rc<State>, listener: Rc<TcpListener>) {
    let state = &state;
    pages(&listener, move |method, path| match path.strip_prefix("/quarantine/") {
        None if path == "/metrics" => (StatusCode::OK, state.metrics.page(state)),
        None if path == "/quarantine" => (StatusCode::OK, crash::quarantine(state)),
        Some(content) if method == Method::DELETE && crash::lift(state, content) => {
            (StatusCode::OK, String::new())
        }
        _ => (StatusCode::NOT_FOUND, String::new()),
    })
    .await;
}

/// Serves short pages.
async fn pages(listener: &TcpListener, page: impl Fn(&Method, &str) -> (StatusCode, String)) {
    let answer = |request: Request<Incoming>| {
        let (status, text) = page(request.method(), request.uri().path());
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        std::future::ready(response)
    };
    serve_all(listener, answer).await;
}

/// Answers requests without a body; serves all connections in one task, as they are few and short.
async fn serve_all<F: Future<Output = Response<Full<Bytes>>>>(
    listener: &TcpListener,
    answer: impl Fn(Request<Incoming>) -> F,
) {
    let answer = &answer;
    let mut open = futures_util::stream::FuturesUnordered::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(()) = futures_util::StreamExt::next(&mut open) => continue,
        };
        match accepted {
            Ok((stream, _)) => open.push(async move {
                let service = service_fn(move |request: Request<Incoming>| async move {
                    Ok::<_, Infallible>(answer(request).await)
                });
                let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                match isolated(served).await {
                    Ok(Ok(())) => {}
                    Ok(Err(e)) => log::debug!("gateway: connection of a page request ended: {e}"),
                    Err(why) => log::error!("gateway: request for a page failed why={why:?}"),
                }
            }),
            Err(e) => {
                log::warn!("gateway: accepting a connection for a page failed: {e}");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}
