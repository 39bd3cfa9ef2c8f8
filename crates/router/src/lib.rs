//! The entry daemon: accepts callers' requests, chooses backend servers, and keeps each caller's
//! connection and deadline.

pub mod admission;
pub mod caller;
pub mod completion;
pub mod draft;
pub mod drain;
pub mod head;
mod pool;
pub mod problem;
pub mod service;
mod task;
pub mod view;

use std::sync::Arc;
use std::time::Duration;

use config::process::Process;
use node::stop::Stop;
use node::{Error, Node};
use salvo::conn::TcpListener;
use salvo::{Listener, Server};
use serde_json::json;
use wire::frame::{Backend, Command, Frame, Gaps, Place, Stage};
use wire::link::Stream;

/// The shared state of a router.
#[derive(Debug)]
pub struct Router {
    /// What all daemons have.
    pub node: Arc<Node>,
    /// The agents as last reported to this router.
    pub view: Arc<view::View>,
    /// Admission and placement of requests.
    pub admission: admission::Admission,
    /// Raised when the time to drain has passed: requests in progress are answered at once.
    pub drain_expired: Stop,
}

impl Router {
    fn ready(&self) -> Result<(), String> {
        match () {
            () if self.node.stop.raised() => Err("leaving".into()),
            () if !self.node.settings.borrow().caught_up => {
                Err("the settings have not been read yet".into())
            }
            () if self.view.none_usable() => Err("no backend server is known yet".into()),
            () => Ok(()),
        }
    }

    fn status(&self) -> serde_json::Value {
        let process = &self.node.process;
        let state = match self.ready() {
            _ if self.node.stop.raised() => "draining",
            Ok(()) => "serving",
            Err(_) => "starting",
        };
        json!({
            "vm": process.vm,
            "role": "router",
            "data_centre": process.data_centre,
            "incarnation": self.node.incarnation,
            "version": self.node.settings.borrow().version,
            "state": state,
            "busy": self.admission.running(),
        })
    }
}

/// Runs a router until it receives a stop signal and its callers have their answers.
pub async fn run(process: Process) -> Result<(), Error> {
    let node = node::start(process).await?;
    let (admission, messages) = admission::Admission::new();
    tokio::spawn(task::run(node.clone(), admission.clone(), messages));
    let view = view::start(&node, admission.clone());
    let router =
        Arc::new(Router { node: node.clone(), view, admission, drain_expired: Stop::new() });

    let handle = router.clone();
    tokio::spawn(node::serve::run(node.clone(), move |ask, stream| {
        answer_peer(handle.clone(), ask, stream)
    }));
    let served = serve_callers(router.clone()).await?;
    log::info!("router: {} accepts callers on {}", node.process.vm, node.process.http);
    served.await.map_err(|e| Error::new("serve callers", e))?;

    // Leaves time to send the last frames on the links.
    tokio::time::sleep(Duration::from_millis(200)).await;
    node.peers.endpoint().close(0u32.into(), b"stopped");
    node.peers.endpoint().wait_idle().await;
    log::info!("router: stopped");
    Ok(())
}

/// Starts the HTTP server. The handle resolves when the server has drained after a stop.
async fn serve_callers(router: Arc<Router>) -> Result<tokio::task::JoinHandle<()>, Error> {
    let http = router.node.process.http;
    let acceptor =
        TcpListener::new(http).try_bind().await.map_err(|e| Error::new("bind HTTP port", e))?;
    let server = Server::new(acceptor);
    let handle = server.handle();
    tokio::spawn(drain::run(router.clone(), handle));
    Ok(tokio::spawn(server.serve(routes(router))))
}

fn routes(router: Arc<Router>) -> salvo::Router {
    let ready = router.clone();
    let health = node::health::routes(router.node.clone(), Arc::new(move || ready.ready()));
    let mut routes = salvo::Router::new().hoop(drain::Close(router.clone()));
    for route in health {
        routes = routes.push(route);
    }
    routes
        .push(salvo::Router::with_path("v1/models").get(completion::Models(router.clone())))
        .push(salvo::Router::with_path("v1/completions").post(completion::Post(router.clone())))
        .push(
            salvo::Router::with_path("v1/completions/{id}")
                .get(completion::Get(router.clone()))
                .delete(completion::Delete(router.clone())),
        )
        .push(salvo::Router::with_path("{**path}").goal(service::Forward(router)))
}

async fn answer_peer(router: Arc<Router>, ask: Command, mut stream: Stream) {
    let tell = match ask {
        Command::Status => Frame::Text(router.status().to_string()),
        Command::Replicas(stage) => Frame::Places(replicas(&router, stage).await),
        Command::Gaps(own) => Frame::Gaps(gaps(&router, own)),
        _ => return,
    };
    if stream.send(&tell).await.is_ok() {
        stream.finish();
        stream.stopped().await;
    }
}

/// Replicas of a range in the policy's order, followed by all other usable ones: a draft in
/// progress tries them all before it fails.
async fn replicas(router: &Router, stage: Stage) -> Vec<Place> {
    let best = router.admission.replicas(stage.clone()).await;
    let mut places: Vec<Place> =
        best.iter().filter_map(|vm| Some(router.view.find(vm)?.place)).collect();
    for agent in router.view.usable() {
        let holds = agent.report.is_some_and(|r| r.backend == Backend::Stage(stage.clone()));
        if holds && !places.contains(&agent.place) {
            places.push(agent.place);
        }
    }
    places
}

/// Ranges in the settings that no usable agent holds, and the number of agents that hold `own`.
fn gaps(router: &Router, own: Option<Stage>) -> Gaps {
    let stage = |backend| match backend {
        Backend::Stage(stage) => Some(stage),
        _ => None,
    };
    let backends = router.view.usable().into_iter().filter_map(|a| Some(a.report?.backend));
    let mut ranges: Vec<Stage> = backends.filter_map(stage).collect();
    ranges.sort();
    let count = |stage: &Stage| {
        ranges.partition_point(|s| s <= stage) - ranges.partition_point(|s| s < stage)
    };
    let fleet = router.node.settings.borrow().fleet.clone();
    let stages = fleet.models.iter().flat_map(|m| {
        let stage = |&(first, last): &(u32, u32)| {
            let (model, version) = (m.name.clone(), m.version);
            Stage { model, version, first, last }
        };
        m.ranges.iter().map(stage)
    });
    let lost = stages.filter(|stage| count(stage) == 0).collect();
    Gaps { lost, replicas: own.map_or(0, |own| count(&own) as u32) }
}
