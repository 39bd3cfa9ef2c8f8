//! The right to issue orders, which one router of the group has at a time.

use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use crate::clock;
use crate::state::State;
use crate::store::{Assignment, Call, End, Fault, Generation, Log, Offset, Reply};

/// How long a membership lasts without a further join call. A dead leader is replaced after this time; the layers that
/// it would have ordered meanwhile are missing.
const MEMBERSHIP_TTL: Duration = Duration::from_millis(2000);

/// The same for an idle router, which joins rarely: it holds other partitions only, and nothing depends on those.
const IDLE_MEMBERSHIP_TTL: Duration = Duration::from_millis(4000);

/// Fraction of the membership's time in which orders are sent. The rest is for the order to arrive.
const USABLE_TTL_RATIO: f64 = 0.7;

/// The right to issue orders, which begins with its own record in the log of orders.
///
/// Under a term, records are appended only where the log ends as far as this router knows. Once another term has begun,
/// also one of the same router, the store refuses all later appends of this one, whenever they arrive.
#[derive(Debug, Clone, Copy)]
pub(super) struct Term {
    /// Generation of the group in which the term began, for log lines.
    pub(super) epoch: Generation,
    /// End of the log of orders.
    pub(super) end: End,
    /// When the term ends, by the clock that counts suspended time.
    pub(super) until: Duration,
}

/// The first record of a term.
#[derive(Debug, Serialize)]
struct TermRecord<'a> {
    epoch: Generation,
    vm: &'a str,
}

impl Term {
    pub(super) fn is_valid(&self) -> bool {
        clock::boot() < self.until
    }

    /// Appends records to the log of orders, if it ends where this term left it. A lost answer ends the term: the next
    /// one begins at the end that the store then reports.
    pub(super) async fn append(&mut self, state: &State, records: Vec<Bytes>) -> Result<(), Fault> {
        let call = Call::Append { log: Log::Orders, records, at: Some(self.end) };
        match state.store.call(call).await? {
            Reply::Appended(end) => self.end.offset = end,
            other => return Err(Fault::Unreadable(format!("{other:?}"))),
        }
        Ok(())
    }
}

/// Returns the call that joins the group, or keeps this router in it.
pub(super) fn membership(state: &State, generation: Generation, idle: bool) -> Call {
    let ttl = if idle { IDLE_MEMBERSHIP_TTL } else { MEMBERSHIP_TTL };
    Call::Join { member: state.member(), ttl, generation }
}

/// Joins the group; returns the assignment, and until when a term under it is valid.
pub(super) async fn join(
    state: &State,
    generation: Generation,
    idle: bool,
) -> Result<(Assignment, Duration), Fault> {
    // The membership's time runs from the arrival of the call, so counting from its sending is safe. The shorter time
    // also counts for a call that requested the longer one: the next call shortens it.
    let until = clock::boot() + MEMBERSHIP_TTL.mul_f64(USABLE_TTL_RATIO);
    match state.store.call(membership(state, generation, idle)).await? {
        Reply::Joined(assignment) => Ok((assignment, until)),
        other => Err(Fault::Unreadable(format!("{other:?}"))),
    }
}

/// Begins a term, if the log of orders ends at `end`.
pub(super) async fn begin(
    state: &State,
    assignment: Assignment,
    until: Duration,
    end: Offset,
) -> Result<Term, Fault> {
    let (epoch, era) = (assignment.generation, state.store.era());
    let record =
        serde_json::to_vec(&TermRecord { epoch, vm: &state.setup.vm }).expect("plain fields");
    let mut term = Term { epoch, end: End { offset: end, era }, until };
    term.append(state, vec![record.into()]).await?;
    Ok(term)
}
