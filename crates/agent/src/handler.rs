//! Handles the commands of routers, heads and operators.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use wire::frame::{Backend, Command, Frame, Open, Watch};
use wire::link::Stream;
use wire::refusal::{Cause, Refusal};

use crate::{Agent, call, draft, stage};

/// Interval of checks for a change that is reported to the routers at once.
const CHANGE_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Handles the command that opened a stream.
pub async fn handle(agent: Arc<Agent>, command: Command, mut stream: Stream) {
    let _work = match command {
        Command::Draft(_) | Command::Attach(_) | Command::Open(_) | Command::Call(_) => {
            Some(agent.work.begin())
        }
        _ => None,
    };
    match command {
        Command::Watch(watch) => report(agent, watch, stream).await,
        Command::Draft(draft) => draft::run(agent, draft, stream).await,
        Command::Attach(attach) => draft::attach(agent, attach, stream).await,
        Command::Cancel(cancel) => {
            draft::cancel(&agent, &cancel);
            reply(&mut stream, Frame::Ok).await;
        }
        Command::Open(open) => match agent.stage.clone() {
            Some(table) => serve_stage(&agent, table, open, stream).await,
            None => {
                let frame = Frame::Refused(no_backend(&agent, "open"));
                reply(&mut stream, frame).await;
            }
        },
        Command::Call(call) => {
            let frame = match &agent.service {
                Some(service) => call::run(agent.clone(), service.clone(), call).await,
                None => Err(no_backend(&agent, "call")),
            };
            let frame = frame.map_or_else(Frame::Refused, Frame::Reply);
            reply(&mut stream, frame).await;
        }
        Command::Status => {
            let text = status(&agent).to_string();
            reply(&mut stream, Frame::Text(text)).await;
        }
        // Handled by the node crate before it calls this crate.
        Command::Settings | Command::Explain(_) => {}
        // Only routers know the replicas of a range.
        Command::Replicas(_) | Command::Gaps(_) => {}
    }
}

async fn reply(stream: &mut Stream, frame: Frame) {
    match stream.send(&frame).await {
        Ok(()) => {
            stream.finish();
            stream.stopped().await;
        }
        Err(e) => log::debug!("command: {e}"),
    }
}

fn no_backend(agent: &Agent, step: &str) -> Refusal {
    let why = "no such backend server stands here";
    Refusal::not_run(Cause::Unavailable, step, &agent.node.process.vm, why)
}

/// Sends the agent's state at each report interval, and at once after a change without which a
/// router would send requests in vain: the agent is leaving, or the backend state or the
/// quarantine differs. Also sends it when a slot becomes free after a report without free slots:
/// only the router whose draft ended knows of that slot, and drafts queued at the other routers
/// would keep waiting.
async fn report(agent: Arc<Agent>, watch: Watch, mut stream: Stream) {
    log::debug!("report: sending reports to {}", watch.vm);
    loop {
        let sent = agent.report();
        if stream.send(&Frame::Report(Box::new(sent.clone()))).await.is_err() {
            return;
        }
        let interval = agent.node.settings.borrow().fleet.defaults.report_interval;
        let due = tokio::time::Instant::now() + interval;
        while tokio::time::Instant::now() < due {
            tokio::time::sleep(CHANGE_CHECK_INTERVAL.min(interval)).await;
            let freed = sent.busy >= sent.slots && agent.slots.busy() < agent.slots.open();
            let refused = agent.node.quarantine.suspects_and_refused().1;
            let changed = agent.is_leaving() != sent.leaving || refused != sent.quarantined;
            if freed || changed || agent.backend() != sent.backend {
                break;
            }
        }
    }
}

/// Runs the steps of a session for a head at another agent.
async fn serve_stage(agent: &Agent, table: Arc<stage::Table>, open: Open, mut stream: Stream) {
    // A leaving agent still accepts a replacement session: it serves a draft in progress.
    let fresh = open.attempt.is_multiple_of(wire::frame::HEAD_STRIDE);
    let opened = match fresh && agent.is_leaving() {
        true => Err(Refusal::not_run(
            Cause::Leaving,
            "open",
            &agent.node.process.vm,
            "the VM is leaving",
        )),
        false => table.open(&open).await,
    };
    let mut session = match opened {
        Ok(session) => session,
        Err(refusal) => return reply(&mut stream, Frame::Refused(refusal)).await,
    };
    if stream.send(&Frame::Opened).await.is_err() {
        return;
    }
    while let Ok(Some(Frame::Step(step))) = stream.next().await {
        // A head that has given up on this stage stops reading the stream. Without this check the
        // slot would stay taken for as long as the engine hangs.
        let frame = tokio::select! {
            ran = session.step(step) => ran.map_or_else(Frame::Refused, Frame::Output),
            () = stream.stopped() => return,
        };
        if stream.send(&frame).await.is_err() {
            return;
        }
    }
}

fn status(agent: &Agent) -> serde_json::Value {
    let process = &agent.node.process;
    let settings = agent.node.settings.borrow();
    let backend = match agent.backend() {
        Backend::None => "none".to_string(),
        Backend::Stage(s) => format!("{} v{} layers {}-{}", s.model, s.version, s.first, s.last),
        Backend::Service(name) => format!("service {name}"),
    };
    let state = match () {
        () if agent.is_leaving() => "draining",
        () if !settings.caught_up || backend == "none" => "starting",
        () => "serving",
    };
    json!({
        "vm": process.vm,
        "role": "agent",
        "data_centre": process.data_centre,
        "incarnation": agent.node.incarnation,
        "version": settings.version,
        "state": state,
        "busy": agent.slots.busy(),
        "slots": agent.slots.total(),
        "drafts": agent.drafts.running(),
        "step_us": agent.slots.step_us(),
        "backend": backend,
    })
}
