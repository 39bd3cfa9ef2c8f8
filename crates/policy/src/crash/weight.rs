//! How much the losses of a suspect speak against it.

use std::time::Duration;

use super::record::{Record, find};
use super::{
    Fingerprint, Kind, Loss, MAX_ENDED_SERVERS, MIN_LOSSES_TO_REFUSE, MIN_LOSSES_TO_SUSPECT,
    MIN_WEIGHT_TO_ISOLATE, Start,
};

/// Time within which servers that end count as ending together.
const BULK_WINDOW: Duration = Duration::from_secs(1);

/// Number of suspects of one kind with many losses up to which each of them explains the end of its servers. With more
/// of them servers end in bulk.
const MAX_EXPLAINING_SUSPECTS: usize = 8;

/// Number of other servers ending together that can speak for a part. An answer on it anywhere clears it, so one that
/// is lost again and again is at fault even while servers end in bulk.
const MAX_OTHERS_FOR_PARTS: usize = 1;

/// Time within which losses of a part on several servers have one cause. A request that ends servers takes longer from
/// one to the next.
const COINCIDENCE: Duration = Duration::from_millis(20);

/// Servers that have ended lately.
#[derive(Debug, Default)]
pub(super) struct Ended {
    /// The oldest first.
    servers: Vec<(Start, Duration)>,
}

impl Ended {
    pub(super) fn record(&mut self, start: Start, now: Duration) {
        if self.servers.iter().any(|(known, _)| *known == start) {
            return;
        }
        if self.servers.len() >= MAX_ENDED_SERVERS {
            self.servers.remove(0);
        }
        self.servers.push((start, now));
    }
}

/// Weights of the losses of one suspect.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct Weight {
    /// By which it runs alone; smaller the more other servers ended at the same time for no known reason.
    pub(super) isolate: f64,
    /// By which it is refused; also smaller the more suspects share the losses.
    pub(super) refuse: f64,
}

/// The suspects by which the ends of servers are explained.
struct Explanations<'a> {
    /// Parts of several losses. One is no coincidence, as any answer on the part would have cleared it.
    suspected_parts: Vec<&'a Record>,
    /// Parts and contents with as many losses as it takes to refuse them.
    parts: Vec<&'a Record>,
    contents: Vec<&'a Record>,
    records: &'a [Record],
    ended: &'a Ended,
}

impl<'a> Explanations<'a> {
    fn new(records: &'a [Record], ended: &'a Ended) -> Explanations<'a> {
        let of = |parts, losses| {
            let all = records
                .iter()
                .filter(move |r| r.kind.is_part() == parts && r.losses.len() >= losses);
            all.collect::<Vec<_>>()
        };
        Explanations {
            suspected_parts: of(true, MIN_LOSSES_TO_SUSPECT),
            parts: of(true, MIN_LOSSES_TO_REFUSE),
            contents: of(false, MIN_LOSSES_TO_REFUSE),
            records,
            ended,
        }
    }

    fn is_content(&self, suspect: Fingerprint) -> bool {
        find(self.records, suspect).is_ok_and(|at| !self.records[at].kind.is_part())
    }

    /// Counts the other servers that ended together with one, unless some suspect explains their end.
    fn count_unexplained(&self, record: &Record, loss: &Loss) -> usize {
        let is_explained = |start: &Start| {
            let explain = |suspects: &[&Record]| {
                suspects.len() <= MAX_EXPLAINING_SUSPECTS
                    && suspects.iter().any(|r| r.lost_at(start))
            };
            explain(&self.suspected_parts) || explain(&self.contents)
        };
        let others = self.ended.servers.iter().filter(|(start, when)| {
            loss.at.abs_diff(*when) <= BULK_WINDOW && !record.lost_at(start) && !is_explained(start)
        });
        others.count()
    }

    /// Counts the suspects among `suspects` that share a loss of one, itself included. Its companions can't be told apart
    /// from it and are not counted, nor is the same part of other workspaces.
    fn count_sharers(record: &Record, loss: &Loss, suspects: &[&Record]) -> usize {
        let is_itself = |r: &Record| r.fingerprint == record.fingerprint;
        let is_same_part = |r: &Record| r.kind.is_part() && r.kind == record.kind;
        let shares = |r: &&&Record| {
            r.lost_at(&loss.start)
                && (is_itself(r) || !is_same_part(r))
                && !record.companions().contains(&r.fingerprint)
        };
        suspects.iter().filter(shares).count()
    }

    /// A part that many requests have runs on all servers, so that it is lost several times where a few end at once.
    /// These losses count as one.
    fn weigh_part(&self, record: &Record) -> Weight {
        let mut weight = Weight::default();
        // A part that only one request had is lost as often as that request.
        let is_single = record.companions().iter().any(|companion| self.is_content(*companion));
        let mut losses: Vec<&Loss> = record.losses.iter().collect();
        losses.sort_unstable_by_key(|loss| loss.at);
        for losses in losses.chunk_by(|a, b| b.at - a.at < COINCIDENCE) {
            let loss = losses[0];
            let others = match is_single {
                true => self.count_unexplained(record, loss),
                false => self.count_unexplained(record, loss).min(MAX_OTHERS_FOR_PARTS),
            };
            weight.add(others, Self::count_sharers(record, loss, &self.suspected_parts));
        }
        weight
    }

    /// A part on which no answer begins is a better explanation than the content of a request beside it: losses that
    /// such a part explains do not count against contents. Another router may have the last loss of the part, and
    /// report it after those of the contents beside it, so it need not have enough losses to be refused.
    fn weigh_content(&self, record: &Record) -> Weight {
        let few = self.suspected_parts.len() <= MAX_EXPLAINING_SUSPECTS;
        let is_at_fault = |part: &&&Record| {
            // A part that was never lost without this content explains nothing.
            !part.companions().contains(&record.fingerprint)
                && (part.refused_until.is_some()
                    || few && self.weigh_part(part).isolate >= MIN_WEIGHT_TO_ISOLATE)
        };
        let at_fault = self.suspected_parts.iter().filter(is_at_fault);
        let at_fault: Vec<&Record> = at_fault.copied().collect();
        let mut weight = Weight::default();
        for loss in &record.losses {
            if at_fault.iter().any(|part| part.lost_at(&loss.start)) {
                continue;
            }
            let others = self.count_unexplained(record, loss);
            let sharers = Self::count_sharers(record, loss, &self.parts)
                + Self::count_sharers(record, loss, &self.contents);
            weight.add(others, sharers);
        }
        weight
    }
}

impl Weight {
    /// Adds a loss that `sharers` suspects share, while `others` servers ended for no known reason.
    fn add(&mut self, others: usize, sharers: usize) {
        self.isolate += 1.0 / (1.0 + others as f64);
        self.refuse += 1.0 / (sharers.max(1) + others) as f64;
    }
}

/// Weighs the losses of a suspect.
pub(super) fn weigh(record: &Record, records: &[Record], ended: &Ended) -> Weight {
    let explanations = Explanations::new(records, ended);
    match record.kind {
        Kind::Part { .. } => explanations.weigh_part(record),
        Kind::Content => explanations.weigh_content(record),
    }
}
