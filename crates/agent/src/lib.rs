//! The daemon that runs beside each backend server.
//!
//! It is the only process that talks to its backend server, so it alone knows what runs there: it
//! admits requests to slots, enforces the order of steps, fences off old attempts, ensures that a
//! write runs at most once, and drains the server.

pub mod handler;
pub mod call;
pub mod chain;
pub mod crash;
pub mod draft;
pub mod fence;
pub mod ledger;
pub mod order;
pub mod session;
pub mod slot;
pub mod stage;
pub mod sequencer;
pub mod write;

use std::sync::Arc;
use std::time::Duration;

use config::process::{Kind, Process};
use node::stop::Work;
use node::{Error, Node};
use salvo::Listener;
use salvo::conn::TcpListener;
use wire::frame::{Backend, Report};

/// State of one agent.
#[derive(Debug)]
pub struct Agent {
    /// State that every daemon has.
    pub node: Arc<Node>,
    /// Admits requests to the backend server.
    pub slots: slot::Slots,
    /// Sessions at the engine, if the backend server is an engine.
    pub stage: Option<Arc<stage::Table>>,
    /// The plain service, if the backend server is one.
    pub service: Option<Arc<call::Service>>,
    /// Drafts that this agent drives as their head.
    pub drafts: draft::Table,
    /// Requests being answered, until the last byte is sent, and receipts not yet appended to the
    /// log. A drain waits for them: a slot is free before its answer has been sent, and if that
    /// answer were cut off, the outcome of the request would be unknown.
    pub work: Work,
}

impl Agent {
    /// Returns the backend server if it can be used now.
    pub fn backend(&self) -> Backend {
        match (&self.stage, &self.service) {
            (Some(stage), _) => stage.loaded().map_or(Backend::None, Backend::Stage),
            (_, Some(service)) => Backend::Service(service.name.clone()),
            _ => Backend::None,
        }
    }

    /// True when the agent accepts no new work: it is stopping, or its VM is listed as leaving.
    pub fn is_leaving(&self) -> bool {
        let list = self.node.vms.borrow();
        let vm = &self.node.process.vm;
        let listed = list.iter().any(|e| e.vm == *vm && e.state == cloud::vm::State::Leaving);
        listed || self.node.stop.raised()
    }

    /// Returns the state that is reported to the routers.
    pub fn report(&self) -> Report {
        let (suspects, quarantined) = self.node.quarantine.suspects_and_refused();
        Report {
            vm: self.node.process.vm.clone(),
            incarnation: self.node.incarnation,
            data_centre: self.node.process.data_centre.clone(),
            backend: self.backend(),
            slots: self.slots.open(),
            busy: self.slots.busy(),
            step_us: self.slots.step_us(),
            leaving: self.is_leaving(),
            version: self.node.settings.borrow().version,
            quarantined,
            suspects,
        }
    }

    /// False while this agent would refuse the non-idempotent writes of its service.
    ///
    /// Without this check a rolling restart would proceed to the next agent while this one still
    /// reads the log, until no agent of the service accepts writes.
    fn accepts_writes(&self) -> bool {
        // Routes that are not listed count as non-idempotent, so any service can have some.
        self.service.as_ref().is_none_or(|service| service.writer.is_ready())
    }

    fn ready(&self) -> Result<(), String> {
        match () {
            () if self.is_leaving() => Err("leaving".into()),
            () if !self.node.settings.borrow().caught_up => {
                Err("the settings have not been read yet".into())
            }
            // An engine without layers is a spare: it can be ordered to load some.
            () if self.stage.as_ref().is_some_and(|t| t.is_spare()) => Ok(()),
            () if self.backend() == Backend::None => {
                Err("the backend server can't be used now".into())
            }
            // Reports don't wait for this: reads are served while the log is unavailable, and a
            // router that gets "not run" sends the write to the next agent.
            () if !self.accepts_writes() => Err("the log of writes has not been read yet".into()),
            () => Ok(()),
        }
    }
}

/// Runs an agent until it is stopped and its requests have ended.
pub async fn run(process: Process) -> Result<(), Error> {
    let backend = process
        .backend
        .clone()
        .ok_or_else(|| Error::new("read settings", "section [backend] is missing"))?;
    let node = node::start(process).await?;
    let slots = slot::Slots::new(backend.slots);
    let mut agent = Agent {
        node: node.clone(),
        slots: slots.clone(),
        stage: None,
        service: None,
        drafts: draft::Table::default(),
        work: Work::default(),
    };
    match backend.kind {
        Kind::Engine => {
            agent.stage = Some(stage::start(&node, &backend.address, slots).await);
        }
        Kind::Service(name) => {
            agent.service = Some(call::start(&node, name, &backend.address, slots));
        }
    }
    let agent = Arc::new(agent);

    let handle = agent.clone();
    tokio::spawn(node::serve::run(node.clone(), move |command, stream| {
        handler::handle(handle.clone(), command, stream)
    }));
    if agent.stage.is_some() {
        tokio::spawn(order::run(agent.clone()));
    }
    serve_health(agent.clone()).await?;
    log::info!("agent: {} listens on {}", node.process.vm, node.process.listen);

    node.stop.wait().await;
    let limit = node.settings.borrow().fleet.defaults.drain;
    let busy = || agent.slots.busy() as usize + agent.drafts.running() + agent.work.running();
    let left = node::stop::drain(limit, busy).await;
    if left > 0 {
        log::warn!("agent: stopping with {left} requests in progress after {limit:?}");
    }
    // Leaves time to deliver the last answers.
    tokio::time::sleep(Duration::from_millis(300)).await;
    node.peers.endpoint().close(0u32.into(), b"stopped");
    node.peers.endpoint().wait_idle().await;
    log::info!("agent: stopped");
    Ok(())
}

async fn serve_health(agent: Arc<Agent>) -> Result<(), Error> {
    let http = agent.node.process.http;
    let acceptor =
        TcpListener::new(http).try_bind().await.map_err(|e| Error::new("bind health port", e))?;
    let node = agent.node.clone();
    let ready = Arc::new(move || agent.ready());
    let mut router = salvo::Router::new();
    for route in node::health::routes(node, ready) {
        router = router.push(route);
    }
    tokio::spawn(salvo::Server::new(acceptor).serve(router));
    Ok(())
}
