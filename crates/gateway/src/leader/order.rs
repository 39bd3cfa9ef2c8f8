//! Orders to hold layers: written down, given, and looked after until they are done.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use layers::{Shape, Span};
use serde::{Deserialize, Serialize};

use super::term::Term;
use crate::notice::Notice;
use crate::peer::Peer;
use crate::probe;
use crate::server::{Id, Report};
use crate::settings::Model;
use crate::state::State;
use crate::store::{Call, End, Fault, Log, Offset, Reply};
use crate::wire::Order;

/// Longest time an order may take before it counts as failed, as a multiple of the time to load its
/// layers alone.
const SLOW: f64 = 4.0;

/// Time in which a server that got an order and does not answer counts as carrying it out.
const LATE: Duration = Duration::from_millis(2500);

/// Orders that are given at once. Each is two exchanges over new connections, some six milliseconds of the
/// smallest VM; a thousand at once take longer than servers get to answer, and the router then takes
/// live servers for dead, and tells all others so.
const AT_ONCE: usize = 40;

/// Time after which a server's report shows an order that it has accepted. If it shows none, the
/// order was lost; should it arrive yet, it names a number of accepted orders that is past by
/// then, or it is just the order that is given again.
const SHOWN: Duration = Duration::from_millis(700);

/// Records of terms before that a router reads which takes over: a whole batch, and first records of some terms.
const INHERITED: Offset = 48;

/// An order that was given and is not known to be done.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Given {
    pub(super) server: String,
    pub(super) span: Span,
    sent: Duration,
    until: Duration,
}

/// An order that is still to be given.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Planned {
    pub(super) server: Id,
    pub(super) span: Span,
}

/// What is written down before an order is given.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Record {
    server: String,
    from: u32,
    to: u32,
    after: u64,
}

/// Orders of the router before that may still be under way. They count as given, so that no
/// server gets the same order twice.
pub(super) async fn inherit(state: &State, end: End) -> Vec<Given> {
    let (from, era) = (end.offset.saturating_sub(INHERITED), end.era);
    let call = Call::Read { log: Log::Orders, from, era, wait: Duration::ZERO };
    let records = match state.store.call(call).await {
        Ok(Reply::Records(records, _)) => records,
        other => {
            log::info!("gateway: orders of the router before are not known: {other:?}");
            return Vec::new();
        }
    };
    let (sent, until) = (state.now(), state.now() + LATE);
    let mut given: Vec<Given> = Vec::new();
    for record in records.iter().filter_map(|r| serde_json::from_slice::<Record>(r).ok()) {
        given.retain(|g| g.server != record.server);
        given.push(Given {
            server: record.server,
            span: Span::new(record.from, record.to),
            sent,
            until,
        });
    }
    given.retain(|g| state.peer(&g.server).is_some_and(|p| p.span(state.now()) != g.span));
    given
}

/// Takes the next orders out of those that are planned for a service's servers, and drops what is planned for
/// servers that can't be used any more.
pub(super) fn next(
    state: &State,
    service: &str,
    planned: &mut Vec<Planned>,
) -> Vec<(Span, Rc<Peer>)> {
    let mut batch = Vec::new();
    planned.retain(|plan| match state.peer(&plan.server) {
        None => false,
        Some(peer) if !peer.usable(state.now()) => false,
        Some(peer) if peer.server().service != service || batch.len() >= AT_ONCE => true,
        Some(peer) => {
            batch.push((plan.span, peer));
            false
        }
    });
    batch
}

/// Writes orders down and gives them.
pub(super) async fn carry_out(
    state: &Rc<State>,
    term: &mut Term,
    model: &Model,
    orders: Vec<(Span, Rc<Peer>)>,
    given: &mut Vec<Given>,
) -> Result<(), Fault> {
    // The number of orders accepted so far is asked of the server itself: its entry lags.
    let asked = orders.into_iter().map(|(span, peer)| async move {
        (span, probe::fetch_report(state, &peer, probe::urgent_timeout(state)).await, peer)
    });
    let asked = futures_util::future::join_all(asked).await;
    let mut ready = Vec::new();
    for (span, report, peer) in asked {
        match report {
            Ok(report) if report.span == span => peer.record_span(report.span, state.now()),
            Ok(report) if report.busy => {
                let (sent, until) = (state.now(), state.now() + LATE);
                given.push(Given {
                    server: peer.server().id.clone(),
                    span: report.span,
                    sent,
                    until,
                });
            }
            Ok(report) => ready.push((span, report.orders, peer)),
            Err(why) => probe::suspect(state, &peer, &why),
        }
    }
    if ready.is_empty() {
        return Ok(());
    }
    write_down(state, term, &ready).await?;
    let sent = ready.iter().map(|(span, after, peer)| send(state, term, peer, *span, *after));
    for ((span, _, peer), accepted) in ready.iter().zip(futures_util::future::join_all(sent).await)
    {
        if accepted {
            let until = state.now() + patience(&model.shape, model.load, *span, ready.len());
            given.push(Given {
                server: peer.server().id.clone(),
                span: *span,
                sent: state.now(),
                until,
            });
        }
    }
    Ok(())
}

async fn write_down(
    state: &State,
    term: &mut Term,
    ready: &[(Span, u64, Rc<Peer>)],
) -> Result<(), Fault> {
    let record = |(span, after, peer): &(Span, u64, Rc<Peer>)| {
        let server = peer.server().id.clone();
        let record = Record { server, from: span.from, to: span.to, after: *after };
        Bytes::from(serde_json::to_vec(&record).expect("plain fields"))
    };
    let records = ready.iter().map(record).collect();
    term.write(state, records).await?;
    log::info!(
        "gateway: orders_written={} epoch={} end={}",
        ready.len(),
        term.epoch,
        term.end.offset
    );
    Ok(())
}

/// Gives one order; whether it may be under way now.
async fn send(state: &State, term: &Term, peer: &Rc<Peer>, span: Span, after: u64) -> bool {
    let id = peer.server().id.clone();
    if !term.lasts() {
        log::warn!("gateway: order not given server={id} layers={span} why=the term has ended");
        return false;
    }
    state.metrics.ordered();
    let answer =
        probe::send(peer, (state.codec.order)(&Order { span, after }), probe::BACKGROUND_TIMEOUT)
            .await;
    log::info!(
        "gateway: order server={id} layers={span} after={after} epoch={} answer={:?}",
        term.epoch,
        answer.as_ref().map(|(status, _)| status)
    );
    match answer {
        Ok((status, _)) => status.is_success(),
        // It may have arrived, or arrive later.
        Err(_) => true,
    }
}

/// How long an order may take.
fn patience(shape: &Shape, load: Duration, span: Span, at_once: usize) -> Duration {
    let alone = load.mul_f64(f64::from(span.len()) / f64::from(shape.layers));
    alone.mul_f64(SLOW * (at_once as f64 / 6.0).max(1.0)) + LATE
}

/// Asks a server for its state, unless it is suspected: what it was ordered is overdue some time, and
/// the others' orders must not wait for it again and again.
async fn ask(state: &State, peer: &Peer) -> Result<Report, String> {
    if peer.suspicion.borrow().holds(state.now()) {
        return Err("it is suspected".to_owned());
    }
    probe::fetch_report(state, peer, probe::urgent_timeout(state)).await
}

/// Looks which orders are done, failed or overdue.
pub(super) async fn check(state: &Rc<State>, peers: &[Rc<Peer>], given: &mut Vec<Given>) {
    let now = state.now();
    let open: Vec<Given> = given.clone();
    let asked = open.iter().filter_map(|g| {
        let peer = peers.iter().find(|p| p.server().id == g.server)?.clone();
        Some(async move { (g, ask(state, &peer).await, peer) })
    });
    for (order, report, peer) in futures_util::future::join_all(asked).await {
        let done = match report {
            Ok(report) if report.span == order.span && !report.busy => {
                let server = order.server.clone();
                peer.record_span(report.span, now);
                state.announce(Notice::Holds {
                    server,
                    from: report.span.from,
                    to: report.span.to,
                });
                log::info!("gateway: order done server={} layers={}", order.server, order.span);
                true
            }
            Ok(report) => (!report.busy && now > order.sent + SHOWN) || now > order.until,
            Err(why) => {
                probe::suspect(state, &peer, &why);
                now > order.until
            }
        };
        if done {
            given.retain(|g| g.server != order.server);
        }
    }
    given.retain(|g| peers.iter().any(|p| p.server().id == g.server));
}
