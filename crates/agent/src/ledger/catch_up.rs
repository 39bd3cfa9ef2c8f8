//! Catching up of a reader that started after the first records had expired.
//!
//! Such a reader can't decide on what it reads: an intent may look like the first of its key only
//! because the first one has expired. It keeps the records and the checkpoints of others until
//! one author has completed a checkpoint at an offset from which on this reader has read
//! everything.

use wire::id;

use super::{Batch, CheckpointEnd, CheckpointRecord, Entry, Record};

/// A checkpoint of one author at one offset, as far as it has been read.
#[derive(Debug, Clone)]
struct PartialCheckpoint {
    owner: (id::Vm, id::Incarnation),
    read_end: u64,
    /// Sorted by key.
    records: Vec<Record>,
}

/// A record of the log that has not been applied yet.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub(super) offset: u64,
    pub(super) time_ms: u64,
    pub(super) batch: Batch,
}

/// What an incomplete reader has read so far.
#[derive(Debug, Clone)]
pub(super) struct CatchUp {
    first: u64,
    pending: Vec<Pending>,
    partial: Vec<PartialCheckpoint>,
}

/// The writes known before an offset, and the records to apply from there on.
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

    /// Keeps a record. Returns a checkpoint as soon as one is complete.
    pub(super) fn add(&mut self, record: Pending) -> Option<Checkpoint> {
        let owner = (record.batch.vm.clone(), record.batch.incarnation);
        let mut found = None;
        for entry in &record.batch.entries {
            match entry {
                // The author had not read all records that this reader has missed.
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

    /// Returns true if every record from `offset` on has been read.
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
        // A record whose append was retried after a lost answer is in the log twice.
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
