//! Loading a range of layers of which every replica is lost.
//!
//! Nobody decides for others: an agent whose engine can be spared sees the gap,
//! claims it in the log, and orders its own engine when its claim is the first.
//! An agent is the only process that gives its engine orders, and its bound port
//! admits one agent on a VM; so an engine that ignores fencing numbers never gets
//! orders from two processes, and one that checks them refuses a late one.

use std::sync::Arc;
use std::time::Duration;

use cloud::log::Client;
use cloud::vm::Role;
use engine::Order;
use node::Node;
use rand::seq::IndexedRandom;
use tokio::time::{sleep, timeout};
use wire::frame::{Command, Frame, Gaps, Stage};
use wire::order::{CLAIM_VALIDITY, Claim, LogRecord, STREAM, filter_valid};

use crate::Agent;

/// Pause between two looks for gaps of a spare engine, or once a gap is seen;
/// each draws up to twice this.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The same of an engine that holds a range, while all is well. There are
/// hundreds of them, and each look asks two routers.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Looks in a row in which a range has no replica before an engine that holds
/// nothing is ordered, and before one that holds another range is. The first is
/// longer than a restart of a stage takes; the second lets the first go ahead.
const SPARE_CHECKS: u32 = 3;
const DONOR_CHECKS: u32 = 8;

/// Replicas a range has to have for one of them to be spared.
const DONOR_REPLICAS: usize = 3;

/// Time a router has to answer.
const GAPS_TIMEOUT: Duration = Duration::from_millis(300);

/// Looks for gaps for as long as the agent runs.
pub async fn run(agent: Arc<Agent>) {
    let log = Client::new(&agent.node.process.platform.log, Duration::from_secs(2));
    let (mut gap, mut seen) = (None, 0);
    loop {
        let holds = agent.stage.as_ref().is_some_and(|t| !t.is_spare());
        let pause = if holds && gap.is_none() { IDLE_CHECK_INTERVAL } else { CHECK_INTERVAL };
        sleep(pause.mul_f64(rand::random_range(1.0..2.0))).await;
        let Some((required, found)) = find_gap(&agent).await else {
            gap = None;
            continue;
        };
        seen = if found.is_some() && found == gap { seen + 1 } else { 1 };
        gap = found;
        if let Some(stage) = gap.clone().filter(|_| seen >= required) {
            seen = 0;
            if let Err(e) = claim_and_load(&agent, &log, stage).await {
                log::warn!("order: {e}");
            }
        }
    }
}

/// Looks that are needed before this engine is ordered, and the first range without a
/// replica; `None` when the engine can't be spared.
async fn find_gap(agent: &Agent) -> Option<(u32, Option<Stage>)> {
    let table = agent
        .stage
        .as_ref()
        .filter(|t| t.is_up() && !t.is_order_pending() && !agent.is_leaving())?;
    let held = table.loaded();
    let gaps = gaps(&agent.node, held.clone()).await?;
    let spared = gaps.replicas as usize >= DONOR_REPLICAS;
    let required = match held {
        None => SPARE_CHECKS,
        Some(_) if spared => DONOR_CHECKS,
        Some(_) => return None,
    };
    Some((required, gaps.lost.into_iter().next()))
}

/// Ranges without a replica by the view of two routers; `None` when they can't tell.
/// One router alone may have been cut off, so a range is lost only when both say so.
///
/// One question covers all ranges: asked range by range, the answers of a fleet with
/// many agents and models would be most of its control traffic.
async fn gaps(node: &Node, own: Option<Stage>) -> Option<Gaps> {
    let list = node.vms.borrow().clone();
    let routers: Vec<_> = list.iter().filter(|e| e.role == Role::Router).collect();
    let asked: Vec<_> = routers.sample(&mut rand::rng(), 2).collect();
    let mut found: Option<Gaps> = None;
    for router in asked {
        let ask = Command::Gaps(own.clone());
        let asked = node.peers.ask(&router.vm, &router.address, &ask);
        if let Ok(Ok(Frame::Gaps(mut gaps))) = timeout(GAPS_TIMEOUT, asked).await {
            if let Some(other) = found.take() {
                gaps.lost.retain(|stage| other.lost.contains(stage));
                gaps.replicas = gaps.replicas.max(other.replicas);
            }
            found = Some(gaps);
        }
    }
    found
}

/// Claims the gap and, when the claim counts, orders the engine.
async fn claim_and_load(agent: &Agent, log: &Client, stage: Stage) -> Result<(), String> {
    let vm = agent.node.process.vm.clone();
    let table = agent.stage.as_ref().ok_or("no engine stands here")?;
    let id = uuid::Uuid::new_v4().to_string();
    let claim = Claim { id: id.clone(), vm, stage: stage.clone(), from: table.loaded() };
    let data = serde_json::to_string(&claim).map_err(|e| e.to_string())?;
    // A lost answer is settled by reading: the record stands or it does not.
    let appended = log.append(STREAM, &data).await;
    let claims = filter_valid(read_claims(log).await?);
    let Some(own) = claims.iter().find(|c| c.claim.id == id) else {
        let why = appended.err().map_or("another agent was first".to_string(), |e| e.to_string());
        log::info!("order: layers {}-{} are not loaded here: {why}", stage.first, stage.last);
        return Ok(());
    };
    log::info!("order: layers {}-{} of {} are loaded here", stage.first, stage.last, stage.model);
    let order = Order {
        fence: own.offset,
        model: stage.model.clone(),
        version: stage.version,
        first: stage.first,
        last: stage.last,
    };
    table.order(&order, stage, CLAIM_VALIDITY).await.map_err(|e| e.to_string())
}

async fn read_claims(log: &Client) -> Result<Vec<LogRecord>, String> {
    let mut records = Vec::new();
    let mut from = 0;
    loop {
        let page = log
            .read(STREAM, from, Duration::ZERO)
            .await
            .map_err(|e| format!("read claims: {e}"))?;
        let Some(last) = page.records.last() else { return Ok(records) };
        from = last.offset + 1;
        for record in &page.records {
            match serde_json::from_str(&record.data) {
                Ok(claim) => {
                    let (offset, time_ms) = (record.offset, record.time_ms);
                    records.push(LogRecord { offset, time_ms, claim });
                }
                Err(e) => log::warn!("order: record {} is unreadable: {e}", record.offset),
            }
        }
    }
}
