//! A reader that began after the first records had expired.
//!
//! It can't judge what it reads: an intent may look like the first of its key only because
//! the first one has gone. It keeps the records, and what others carry, until one author has
//! carried all it knew at an offset from which on this reader has everything.

use wire::id;

use super::{Batch, CheckpointEnd, CheckpointRecord, Entry, Record};

/// What one author knew at one offset, as far as it has been read.
#[derive(Debug, Clone)]
struct PartialCheckpoint {
    owner: (id::Vm, id::Incarnation),
    read_end: u64,
    /// Sorted by key.
    records: Vec<Record>,
}

/// A record of the log that waits to be read_end.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub(super) offset: u64,
    pub(super) time_ms: u64,
    pub(super) batch: Batch,
}

/// What a late reader has read so far.
#[derive(Debug, Clone)]
pub(super) struct CatchUp {
    first: u64,
    pending: Vec<Pending>,
    partial: Vec<PartialCheckpoint>,
}

/// What was known before an offset, and the records from there on.
#[derive(Debug)]
pub(super) struct Checkpoint {
    pub(super) records: Vec<Record>,
    pub(super) end: CheckpointEnd,
    pub(super) pending: Vec<Pending>,
}

impl CatchUp {
    pub(super) fn new(first: u64) -> CatchUp {
        CatchUp { first, pending: vec![], partial: vec![] }
    }

    /// Keeps a record; the base as soon as one is known.
    pub(super) fn add(&mut self, record: Pending) -> Option<Checkpoint> {
        let owner = (record.batch.vm.clone(), record.batch.incarnation);
        let mut found = None;
        for entry in &record.batch.entries {
            match entry {
                // Its author had not read all that this reader has missed.
                Entry::CheckpointRecord(CheckpointRecord { read_end, .. })
                    if *read_end < self.first => {}
                Entry::CheckpointRecord(new) => self.add_record(&owner, new),
                Entry::CheckpointEnd(end) if end.read_end >= self.first => {
                    found = found.or_else(|| self.find_checkpoint(&owner, end));
                }
                _ => {}
            }
        }
        self.pending.push(record);
        let (records, end) = found?;
        let from = end.read_end;
        let pending = std::mem::take(&mut self.pending).into_iter();
        Some(Checkpoint { records, end, pending: pending.filter(|w| w.offset >= from).collect() })
    }

    /// True when everything from an offset on has been read.
    pub(super) fn has_read_from(&self, offset: u64) -> bool {
        self.first <= offset
    }

    fn add_record(&mut self, owner: &(id::Vm, id::Incarnation), new: &CheckpointRecord) {
        let same = |k: &PartialCheckpoint| k.read_end == new.read_end && k.owner == *owner;
        let at = self.partial.iter().position(same).unwrap_or_else(|| {
            let (owner, read_end) = (owner.clone(), new.read_end);
            self.partial.push(PartialCheckpoint { owner, read_end, records: vec![] });
            self.partial.len() - 1
        });
        let records = &mut self.partial[at].records;
        // A carried record whose append was repeated after a lost answer comes twice.
        if let Err(i) = records.binary_search_by(|r| r.key.cmp(&new.record.key)) {
            records.insert(i, new.record.clone());
        }
    }

    fn find_checkpoint(
        &self,
        owner: &(id::Vm, id::Incarnation),
        end: &CheckpointEnd,
    ) -> Option<(Vec<Record>, CheckpointEnd)> {
        let same = |k: &&PartialCheckpoint| k.read_end == end.read_end && k.owner == *owner;
        let records = self.partial.iter().find(same).map_or(vec![], |k| k.records.clone());
        (records.len() == end.count).then(|| (records, end.clone()))
    }
}
