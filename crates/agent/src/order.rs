//! Loads a range of layers that has lost all its replicas.
//!
//! Each agent decides for itself: one whose engine can be spared finds the gap, claims it in the
//! log, and orders its own engine if its claim is the first. Only an agent sends orders to its
//! engine, and the port it binds admits one agent on a VM. So an engine that ignores fencing
//! numbers never gets orders from two processes, and one that checks them refuses a late order.

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

/// Shortest interval of checks for gaps, for a spare engine or once a gap is found. Each interval
/// is drawn from one to two times this.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The same for an engine that holds a range, while there is no gap. There are hundreds of such
/// engines, and each check queries two routers.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Consecutive checks without a replica of a range before an engine that holds nothing is ordered
/// to load it, and before one that holds another range is. The first takes longer than a restart
/// of a stage; the second gives spare engines precedence.
const SPARE_CHECKS: u32 = 3;
const DONOR_CHECKS: u32 = 8;

/// Replicas that a range must have for one of them to be spared.
const DONOR_REPLICAS: usize = 3;

/// Time-out of a query to a router.
const GAPS_TIMEOUT: Duration = Duration::from_millis(300);

/// Checks for gaps for as long as the agent runs.
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

/// Returns the checks needed before this engine is ordered, and the first range without a
/// replica; `None` if the engine can't be spared.
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

/// Returns the ranges without a replica according to two routers, or `None` if neither answers. A
/// router may have been cut off, so a range is lost only when both report it.
///
/// One query covers all ranges. With one query per range, the answers would be most of the
/// control traffic of a fleet with many agents and models.
async fn gaps(node: &Node, own: Option<Stage>) -> Option<Gaps> {
    let list = node.vms.borrow().clone();
    let routers: Vec<_> = list.iter().filter(|e| e.role == Role::Router).collect();
    let asked: Vec<_> = routers.sample(&mut rand::rng(), 2).collect();
    let mut found: Option<Gaps> = None;
    for router in asked {
        let ask = Command::Gaps(own.clone());
        let asked = node.peers.request(&router.vm, &router.address, &ask);
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

/// Claims the gap and, if the claim counts, orders the engine to load it.
async fn claim_and_load(agent: &Agent, log: &Client, stage: Stage) -> Result<(), String> {
    let vm = agent.node.process.vm.clone();
    let table = agent.stage.as_ref().ok_or("no engine stands here")?;
    let id = uuid::Uuid::new_v4().to_string();
    let claim = Claim { id: id.clone(), vm, stage: stage.clone(), from: table.loaded() };
    let data = serde_json::to_string(&claim).map_err(|e| e.to_string())?;
    // After a lost answer, reading the log shows whether the claim is in it.
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
