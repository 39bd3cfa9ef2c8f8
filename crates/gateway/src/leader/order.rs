//! Orders to hold layers: recorded, sent, and tracked until they are done.

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
use crate::store::{Call, End, Fault, Generation, Log, Offset, Reply};
use crate::wire::Order;

/// Longest time an order may take before it counts as failed, as a multiple of the time to load only its layers.
const MAX_LOAD_TIME_FACTOR: f64 = 4.0;

/// Time for which a server that got an order and does not answer counts as carrying it out.
const ANSWER_GRACE: Duration = Duration::from_millis(2500);

/// Limit on the orders that are sent at once. Each is two exchanges over new connections, which take some six
/// milliseconds of the smallest VM. A thousand at once take longer than the time limit for servers to answer; the
/// router would then treat live servers as dead and report them to all others.
const MAX_CONCURRENT_ORDERS: usize = 40;

/// Time after which a server's report shows an order that it has accepted. If it shows none, the order was lost. An
/// order that arrives even later names an outdated number of accepted orders, or is the same order that is sent again.
const REPORT_DELAY: Duration = Duration::from_millis(700);

/// Number of records of former terms that the next leader reads: a whole batch, and the first records of some terms.
const INHERITED_RECORDS: Offset = 48;

/// An order that was sent and is not known to be done.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Issued {
    pub(super) server: String,
    pub(super) span: Span,
    sent: Duration,
    until: Duration,
}

/// An order that is still to be sent.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Planned {
    pub(super) server: Id,
    pub(super) span: Span,
}

/// Record that is appended to the log before an order is sent, or later if the order was given without a term.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Record {
    server: String,
    from: u32,
    to: u32,
    after: u64,
}

/// By what right orders are given.
#[derive(Debug)]
pub(super) enum Authority<'a> {
    /// Under a valid term; records are appended first.
    Term(&'a mut Term),
    /// As the last leader while the store answers no router; records are collected here.
    Holdover(&'a mut Vec<Record>),
}

impl Authority<'_> {
    async fn record(&mut self, state: &State, records: Vec<Record>) -> Result<(), Fault> {
        match self {
            Authority::Term(term) => append(state, term, &records).await,
            Authority::Holdover(unrecorded) => {
                log::warn!("gateway: orders_unwritten={} term=none", records.len());
                unrecorded.extend(records);
                Ok(())
            }
        }
    }

    /// Whether orders may still be sent.
    fn is_valid(&self) -> bool {
        match self {
            Authority::Term(term) => term.is_valid(),
            Authority::Holdover(_) => true,
        }
    }

    /// Whether a server may get an order although its report shows other layers than this router knew of. Without a
    /// term, another router may have ordered it.
    fn accepts(&self, reported: Span, known: Span) -> bool {
        matches!(self, Authority::Term(_)) || reported == known
    }

    fn epoch(&self) -> Option<Generation> {
        match self {
            Authority::Term(term) => Some(term.epoch),
            Authority::Holdover(_) => None,
        }
    }
}

async fn append(state: &State, term: &mut Term, records: &[Record]) -> Result<(), Fault> {
    let encode = |record| Bytes::from(serde_json::to_vec(record).expect("plain fields"));
    term.append(state, records.iter().map(encode).collect()).await?;
    log::info!(
        "gateway: orders_written={} epoch={} end={}",
        records.len(),
        term.epoch,
        term.end.offset
    );
    Ok(())
}

/// Records the orders that this router gave without a term.
pub(super) async fn record_late(
    state: &State,
    term: &mut Term,
    unrecorded: &mut Vec<Record>,
) -> Result<(), Fault> {
    if !unrecorded.is_empty() {
        append(state, term, unrecorded).await?;
        unrecorded.clear();
    }
    Ok(())
}

/// Reads the orders of the previous leader that may still be in progress. They count as sent, so that no server gets
/// the same order twice.
pub(super) async fn inherit(state: &State, end: End) -> Vec<Issued> {
    let (from, era) = (end.offset.saturating_sub(INHERITED_RECORDS), end.era);
    let call = Call::Read { log: Log::Orders, from, era, wait: Duration::ZERO };
    let records = match state.store.call(call).await {
        Ok(Reply::Records(records, _)) => records,
        other => {
            log::info!("gateway: orders of the previous leader are not known: {other:?}");
            return Vec::new();
        }
    };
    let (sent, until) = (state.now(), state.now() + ANSWER_GRACE);
    let mut issued: Vec<Issued> = Vec::new();
    for record in records.iter().filter_map(|r| serde_json::from_slice::<Record>(r).ok()) {
        issued.retain(|i| i.server != record.server);
        issued.push(Issued {
            server: record.server,
            span: Span::new(record.from, record.to),
            sent,
            until,
        });
    }
    issued.retain(|i| state.peer(&i.server).is_some_and(|p| p.span(state.now()) != i.span));
    issued
}

/// Takes the next batch of orders out of those that are planned for a service's servers, and drops those for servers
/// that can't be used any more.
pub(super) fn next_batch(
    state: &State,
    service: &str,
    planned: &mut Vec<Planned>,
) -> Vec<(Span, Rc<Peer>)> {
    let mut batch = Vec::new();
    planned.retain(|plan| match state.peer(&plan.server) {
        None => false,
        Some(peer) if !peer.usable(state.now()) => false,
        Some(peer) if peer.backoff_end(state.now()).is_some() => false,
        Some(peer) if peer.server().service != service || batch.len() >= MAX_CONCURRENT_ORDERS => {
            true
        }
        Some(peer) => {
            batch.push((plan.span, peer));
            false
        }
    });
    batch
}

/// Records orders in the log and sends them.
pub(super) async fn issue(
    state: &Rc<State>,
    authority: &mut Authority<'_>,
    model: &Model,
    orders: Vec<(Span, Rc<Peer>)>,
    issued: &mut Vec<Issued>,
) -> Result<(), Fault> {
    // The number of orders accepted so far comes from the server itself: its entry in the list lags.
    let queries = orders.into_iter().map(|(span, peer)| async move {
        let known = peer.span(state.now());
        (span, known, probe::fetch_report(state, &peer, probe::urgent_timeout(state)).await, peer)
    });
    let reports = futures_util::future::join_all(queries).await;
    let mut ready = Vec::new();
    for (span, known, report, peer) in reports {
        match report {
            Ok(report) if report.span == span => peer.record_span(report.span, state.now()),
            Ok(report) if report.busy => {
                let (sent, until) = (state.now(), state.now() + ANSWER_GRACE);
                issued.push(Issued {
                    server: peer.server().id.clone(),
                    span: report.span,
                    sent,
                    until,
                });
            }
            Ok(report) if !authority.accepts(report.span, known) => {
                peer.record_span(report.span, state.now());
            }
            Ok(report) => ready.push((span, report.orders, peer)),
            Err(why) => probe::suspect(state, &peer, &why),
        }
    }
    if ready.is_empty() {
        return Ok(());
    }
    authority.record(state, ready.iter().map(record).collect()).await?;
    let authority = &*authority;
    let sent = ready.iter().map(|(span, after, peer)| send(state, authority, peer, *span, *after));
    for ((span, _, peer), accepted) in ready.iter().zip(futures_util::future::join_all(sent).await)
    {
        if accepted {
            let until = state.now() + time_limit(&model.shape, model.load_time, *span, ready.len());
            issued.push(Issued {
                server: peer.server().id.clone(),
                span: *span,
                sent: state.now(),
                until,
            });
        }
    }
    Ok(())
}

fn record((span, after, peer): &(Span, u64, Rc<Peer>)) -> Record {
    let server = peer.server().id.clone();
    Record { server, from: span.from, to: span.to, after: *after }
}

/// Sends one order; returns whether it may be in progress now.
async fn send(
    state: &State,
    authority: &Authority<'_>,
    peer: &Rc<Peer>,
    span: Span,
    after: u64,
) -> bool {
    let id = peer.server().id.clone();
    if !authority.is_valid() {
        log::warn!("gateway: order not sent server={id} layers={span} why=the term has ended");
        return false;
    }
    state.metrics.ordered();
    let answer = probe::send(
        state,
        peer,
        (state.codec.order)(&Order { span, after }),
        probe::BACKGROUND_TIMEOUT,
    )
    .await;
    log::info!(
        "gateway: order server={id} layers={span} after={after} epoch={:?} answer={:?}",
        authority.epoch(),
        answer.as_ref().map(|(status, _)| status)
    );
    match answer {
        Ok((status, _)) => status.is_success(),
        // The order may have arrived, or may arrive later.
        Err(_) => true,
    }
}

/// Returns how long an order may take if `concurrent` orders are sent at once.
fn time_limit(shape: &Shape, load_time: Duration, span: Span, concurrent: usize) -> Duration {
    let alone = load_time.mul_f64(f64::from(span.len()) / f64::from(shape.layers));
    alone.mul_f64(MAX_LOAD_TIME_FACTOR * (concurrent as f64 / 6.0).max(1.0)) + ANSWER_GRACE
}

/// Fetches a server's report, unless the server is suspected: its order has been overdue for some time, and the orders
/// of other servers must not wait for it each time.
async fn query(state: &State, peer: &Peer) -> Result<Report, String> {
    if peer.suspicion.borrow().holds(state.now()) {
        return Err("it is suspected".to_owned());
    }
    probe::fetch_report(state, peer, probe::urgent_timeout(state)).await
}

/// Updates the orders that were sent: removes those that are done, failed or overdue.
pub(super) async fn update(state: &Rc<State>, peers: &[Rc<Peer>], issued: &mut Vec<Issued>) {
    let now = state.now();
    let open: Vec<Issued> = issued.clone();
    let queries = open.iter().filter_map(|i| {
        let peer = peers.iter().find(|p| p.server().id == i.server)?.clone();
        if peer.backoff_end(now).is_some() && now <= i.until {
            return None;
        }
        Some(async move { (i, query(state, &peer).await, peer) })
    });
    for (order, report, peer) in futures_util::future::join_all(queries).await {
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
            Ok(report) => (!report.busy && now > order.sent + REPORT_DELAY) || now > order.until,
            Err(why) => {
                probe::suspect(state, &peer, &why);
                now > order.until
            }
        };
        if done {
            issued.retain(|i| i.server != order.server);
        }
    }
    issued.retain(|i| peers.iter().any(|p| p.server().id == i.server));
}
