//! The right to give orders, which one router of the group holds at a time.

use std::time::Duration;

use crate::clock;
use crate::state::State;
use crate::store::{Call, Era, Fault, Generation, Log, Offset, Reply, Seat};

/// How long a seat lasts. A dead holder is replaced after this time; layers that it would have
/// ordered meanwhile are missing.
const TTL: Duration = Duration::from_millis(2000);

/// The same for a router that asks rarely, as it holds other seats only: nothing waits for those.
const CALM_TTL: Duration = Duration::from_millis(4000);

/// Part of the seat's time in which orders are given. The rest is for the order to arrive.
const SURE: f64 = 0.7;

/// The right to give orders.
#[derive(Debug, Clone, Copy)]
pub(super) struct Term {
    /// Generation in which it was gained: the fencing number.
    pub(super) epoch: Generation,
    /// Era of the store in which it was gained.
    era: Era,
    /// Number of the next call under it.
    pub(super) next: u64,
    /// When it ends, by the clock that counts suspended time.
    until: Duration,
}

impl Term {
    pub(super) fn lasts(&self) -> bool {
        clock::boot() < self.until
    }
}

pub(super) async fn keep(
    state: &State,
    generation: Generation,
    calm: bool,
) -> Result<(Seat, Duration), Fault> {
    // The seat's time runs from the call's arrival, so counting from its sending is safe. The shorter time counts also
    // for a call that asked for more: the next one shortens it.
    let until = clock::boot() + TTL.mul_f64(SURE);
    let member = state.member();
    let ttl = if calm { CALM_TTL } else { TTL };
    match state.store.call(Call::Join { member, ttl, generation }).await? {
        Reply::Joined(seat) => Ok((seat, until)),
        other => Err(Fault::Unreadable(format!("{other:?}"))),
    }
}

/// Goes on with a term, begins one, or ends it; where the log of orders ended when it began.
pub(super) async fn renew(
    state: &State,
    term: Option<Term>,
    seat: Seat,
    until: Duration,
) -> (Option<Term>, Option<Offset>) {
    // What another router was given in the same era is fenced by its generation, which holds the era.
    let term = term.filter(|term| state.store.era() == term.era);
    match term {
        _ if !seat.first => {
            if term.is_some() {
                log::info!("gateway: gives_orders=false generation={}", seat.generation);
            }
            (None, None)
        }
        Some(term) => (Some(Term { until, ..term }), None),
        None => {
            let epoch = seat.generation;
            let call =
                Call::Append { log: Log::Orders, records: Vec::new(), epoch: Some((epoch, 0)) };
            match state.store.call(call).await {
                Ok(Reply::Appended(end)) => {
                    log::info!("gateway: gives_orders=true epoch={epoch} orders_end={end}");
                    let era = state.store.era();
                    (Some(Term { epoch, era, next: 0, until }), Some(end))
                }
                other => {
                    log::info!("gateway: gives_orders=false epoch={epoch} why={other:?}");
                    (None, None)
                }
            }
        }
    }
}
