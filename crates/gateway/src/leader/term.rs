//! The right to give orders, which one router of the group holds at a time.

use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use crate::clock;
use crate::state::State;
use crate::store::{Assignment, Call, End, Fault, Generation, Log, Offset, Reply};

/// How long a seat lasts. A dead holder is replaced after this time; layers that it would have
/// ordered meanwhile are missing.
const TTL: Duration = Duration::from_millis(2000);

/// The same for a router that asks rarely, as it holds other seats only: nothing waits for those.
const CALM_TTL: Duration = Duration::from_millis(4000);

/// Part of the seat's time in which orders are given. The rest is for the order to arrive.
const SURE: f64 = 0.7;

/// The right to give orders, from a record of its own in the log of orders on.
///
/// Under a term, records are added only where the log ends as far as it is known: once another term has begun, also one of
/// the same router, nothing more is taken under this one, whenever it arrives.
#[derive(Debug, Clone, Copy)]
pub(super) struct Term {
    /// Generation of the group in which it was gained, for log lines.
    pub(super) epoch: Generation,
    /// Where the log of orders ends.
    pub(super) end: End,
    /// When it ends, by the clock that counts suspended time.
    pub(super) until: Duration,
}

/// The first record of a term.
#[derive(Debug, Serialize)]
struct Began<'a> {
    epoch: Generation,
    vm: &'a str,
}

impl Term {
    pub(super) fn lasts(&self) -> bool {
        clock::boot() < self.until
    }

    /// Adds records to the log of orders, if it ends where this term left it. A lost answer ends the term: the next one begins with
    /// what the log then says.
    pub(super) async fn write(&mut self, state: &State, records: Vec<Bytes>) -> Result<(), Fault> {
        let call = Call::Append { log: Log::Orders, records, at: Some(self.end) };
        match state.store.call(call).await? {
            Reply::Appended(end) => self.end.offset = end,
            other => return Err(Fault::Unreadable(format!("{other:?}"))),
        }
        Ok(())
    }
}

/// Asks for the seat; until when a term under it lasts.
pub(super) async fn keep(
    state: &State,
    generation: Generation,
    calm: bool,
) -> Result<(Assignment, Duration), Fault> {
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

/// Begins a term, if the log of orders ends at `end`.
pub(super) async fn begin(
    state: &State,
    seat: Assignment,
    until: Duration,
    end: Offset,
) -> Result<Term, Fault> {
    let (epoch, era) = (seat.generation, state.store.era());
    let record = serde_json::to_vec(&Began { epoch, vm: &state.setup.vm }).expect("plain fields");
    let mut term = Term { epoch, end: End { offset: end, era }, until };
    term.write(state, vec![record.into()]).await?;
    Ok(term)
}
