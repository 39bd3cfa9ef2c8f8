//! A reader that began after the first records had expired.
//!
//! It can't judge what it reads: an intent may look like the first of its key only because
//! the first one has gone. It keeps the records, and what others carry, until one author has
//! carried all it knew at an offset from which on this reader has everything.

use wire::id;

use super::{Batch, Carry, Entry, Kept, Record};

/// What one author knew at one offset, as far as it has been read.
#[derive(Debug, Clone)]
struct Known {
    owner: (id::Vm, id::Incarnation),
    judged: u64,
    /// Sorted by key.
    records: Vec<Record>,
}

/// A record of the log that waits to be judged.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    pub(super) offset: u64,
    pub(super) time_ms: u64,
    pub(super) batch: Batch,
}

/// What a late reader has read so far.
#[derive(Debug, Clone)]
pub(super) struct Late {
    floor: u64,
    waiting: Vec<Waiting>,
    known: Vec<Known>,
}

/// What was known before an offset, and the records from there on.
#[derive(Debug)]
pub(super) struct Base {
    pub(super) records: Vec<Record>,
    pub(super) kept: Kept,
    pub(super) waiting: Vec<Waiting>,
}

impl Late {
    pub(super) fn new(floor: u64) -> Late {
        Late { floor, waiting: vec![], known: vec![] }
    }

    /// Keeps a record; the base as soon as one is known.
    pub(super) fn read(&mut self, record: Waiting) -> Option<Base> {
        let owner = (record.batch.vm.clone(), record.batch.incarnation);
        let mut base = None;
        for entry in &record.batch.entries {
            match entry {
                // Its author had not read all that this reader has missed.
                Entry::Carry(Carry { judged, .. }) if *judged < self.floor => {}
                Entry::Carry(carry) => self.carried(&owner, carry),
                Entry::Kept(kept) if kept.judged >= self.floor => {
                    base = base.or_else(|| self.base(&owner, kept));
                }
                _ => {}
            }
        }
        self.waiting.push(record);
        let (records, kept) = base?;
        let from = kept.judged;
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        Some(Base { records, kept, waiting: waiting.filter(|w| w.offset >= from).collect() })
    }

    /// True when everything from an offset on has been read.
    pub(super) fn has(&self, offset: u64) -> bool {
        self.floor <= offset
    }

    fn carried(&mut self, owner: &(id::Vm, id::Incarnation), carry: &Carry) {
        let same = |k: &Known| k.judged == carry.judged && k.owner == *owner;
        let at = self.known.iter().position(same).unwrap_or_else(|| {
            let (owner, judged) = (owner.clone(), carry.judged);
            self.known.push(Known { owner, judged, records: vec![] });
            self.known.len() - 1
        });
        let records = &mut self.known[at].records;
        // A carried record whose append was repeated after a lost answer comes twice.
        if let Err(i) = records.binary_search_by(|r| r.key.cmp(&carry.record.key)) {
            records.insert(i, carry.record.clone());
        }
    }

    fn base(&self, owner: &(id::Vm, id::Incarnation), kept: &Kept) -> Option<(Vec<Record>, Kept)> {
        let same = |k: &&Known| k.judged == kept.judged && k.owner == *owner;
        let records = self.known.iter().find(same).map_or(vec![], |k| k.records.clone());
        (records.len() == kept.count).then(|| (records, kept.clone()))
    }
}
