//! What other routers have yet to be notified of.

use std::time::Duration;

use super::record::{Record, find};
use super::{
    FIRST_LOSS_DELAY, Fingerprint, Kind, Loss, MAX_SUSPECTS, MIN_LOSSES_TO_SUSPECT, Part,
    RESEND_INTERVAL, Start,
};

/// Largest number of losses in one update, those of the suspects with most losses first. When a server ends with
/// hundreds of runs, most of these are past their loss by the time it would be sent.
const MAX_LOSSES_PER_UPDATE: usize = 32;

/// The first resends of a refusal come sooner, as a notice may be lost.
const FIRST_RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// Number of resends after the shorter interval.
pub(super) const FAST_RESENDS: u32 = 2;

/// Longest time for which the answer to a loss that another router reported is held back, so that not all routers send
/// the same.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(80);

/// A run that ended with its server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lost {
    /// Content of the request.
    pub content: Fingerprint,
    /// Parts of its prompt that are suspects.
    pub parts: Vec<Part>,
    /// The loss.
    pub loss: Loss,
}

impl Lost {
    fn suspects(&self) -> impl Iterator<Item = Fingerprint> {
        std::iter::once(self.content).chain(self.parts.iter().map(|part| part.fingerprint))
    }
}

/// A suspect that is not at fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cleared {
    /// The suspect.
    pub fingerprint: Fingerprint,
    /// Whether it was refused.
    pub refused: bool,
}

/// A suspect that is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// The suspect.
    pub fingerprint: Fingerprint,
    /// What it identifies.
    pub kind: Kind,
    /// Suspects that all lost requests had as well. A request that lacks one of them is not refused.
    pub companions: Vec<Fingerprint>,
    /// Time until it may be sent again.
    pub left: Duration,
    /// Servers that have ended while they ran it.
    pub servers: u32,
}

/// What other routers have to be notified of.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Update {
    /// Runs that ended with their servers.
    pub lost: Vec<Lost>,
    /// Suspects that got past their losses.
    pub cleared: Vec<Cleared>,
    /// Suspects that are refused.
    pub refused: Vec<Refusal>,
}

/// What is sent with the next updates.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    /// Losses of this router.
    lost: Vec<Lost>,
    cleared: Vec<Cleared>,
    /// Suspects of other routers that are not at fault, and since when the answer is held back; none if it has not
    /// been considered yet.
    answers: Vec<(Cleared, Option<Duration>)>,
}

impl Outbox {
    pub(super) fn add_lost(&mut self, lost: Lost) {
        if self.lost.len() < MAX_SUSPECTS {
            self.lost.push(lost);
        }
    }

    pub(super) fn add_cleared(&mut self, cleared: Cleared) {
        if self.cleared.len() < MAX_SUSPECTS {
            self.cleared.push(cleared);
        }
    }

    /// Adds an answer to another router, which suspects or refuses what is known here not to be at fault.
    pub(super) fn add_answer(&mut self, cleared: Cleared) {
        let known = self.answers.iter().position(|(a, _)| a.fingerprint == cleared.fingerprint);
        match known {
            Some(at) => self.answers[at].0.refused |= cleared.refused,
            None if self.answers.len() < MAX_SUSPECTS => self.answers.push((cleared, None)),
            None => {}
        }
    }

    /// Drops an answer that another router has given.
    pub(super) fn drop_answer(&mut self, fingerprint: Fingerprint) {
        self.answers.retain(|(answer, _)| answer.fingerprint != fingerprint);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.lost.is_empty() && self.cleared.is_empty() && self.answers.is_empty()
    }

    /// Returns what is due now. `jitter` is a random number below one.
    pub(super) fn take(&mut self, records: &mut [Record], now: Duration, jitter: f64) -> Update {
        let mut cleared = std::mem::take(&mut self.cleared);
        for (answer, due) in &mut self.answers {
            let due = due.get_or_insert(now + MAX_ANSWER_DELAY.mul_f64(jitter));
            cleared.extend((*due <= now).then_some(*answer));
        }
        self.answers.retain(|(_, due)| due.is_some_and(|due| due > now));
        let lost = self.take_lost(records, now);
        let refused = records.iter_mut().filter_map(|r| take_refusal(r, now, jitter)).collect();
        Update { lost, cleared, refused }
    }

    fn take_lost(&mut self, records: &mut [Record], now: Duration) -> Vec<Lost> {
        let losses = |suspect: Fingerprint, start: &Start| {
            let record = &records[find(records, suspect).ok()?];
            record.lost_at(start).then_some(record.losses.len())
        };
        let mut due = Vec::new();
        self.lost.retain_mut(|lost| {
            let start = &lost.loss.start;
            lost.parts.retain(|part| losses(part.fingerprint, start).is_some());
            // All that the request was suspected of may have got past the loss.
            let most = lost.suspects().filter_map(|suspect| losses(suspect, start)).max();
            let Some(most) = most else { return false };
            let is_due = most >= MIN_LOSSES_TO_SUSPECT
                || !lost.parts.is_empty()
                || lost.loss.at + FIRST_LOSS_DELAY <= now;
            due.extend(is_due.then(|| (most, lost.clone())));
            !is_due
        });
        due.sort_by_key(|(most, lost)| (std::cmp::Reverse(*most), lost.loss.events));
        due.truncate(MAX_LOSSES_PER_UPDATE);
        let due: Vec<Lost> = due.into_iter().map(|(_, lost)| lost).collect();
        for suspect in due.iter().flat_map(Lost::suspects) {
            if let Ok(at) = find(records, suspect) {
                records[at].known_elsewhere = true;
            }
        }
        due
    }
}

/// Returns the refusal of a suspect if it is to be sent now.
fn take_refusal(record: &mut Record, now: Duration, jitter: f64) -> Option<Refusal> {
    if !record.is_refused(now) || now < record.resend_at {
        return None;
    }
    let fast = record.resends < FAST_RESENDS;
    let interval = if fast { FIRST_RESEND_INTERVAL } else { RESEND_INTERVAL };
    record.resend_at = now + interval.mul_f64(1.0 + jitter);
    record.resends += 1;
    Some(Refusal {
        fingerprint: record.fingerprint,
        kind: record.kind,
        companions: record.companions().to_vec(),
        left: record.refused_until.unwrap_or_default() - now,
        servers: record.servers,
    })
}
