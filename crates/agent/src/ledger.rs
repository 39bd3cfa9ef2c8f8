//! What the log says of writes: which intent of a key was first, and its outcome.
//!
//! A pure state machine: every agent beside a service applies the records of the
//! service's stream in order and comes to the same answer. Before a write is sent
//! to the service its intent stands in the log; the first intent of a key runs,
//! every other gets its outcome.
//!
//! Records expire, so a reader may not have seen the intent that was first. It
//! lets nothing run until it is *complete*: it has read the stream from its start,
//! or has taken up what another complete reader carried and read_end from there on.
//! `docs/design/writes.md` has the argument.
//!
//! The contract (key, fingerprint, receipt, replay, conflict) follows the paper
//! "Agent tools need idempotency contracts"; what it leaves to a database table
//! is here a stream of the platform's log.

mod entry;
mod catch_up;
mod record;

pub use entry::{Answer, Batch, Body, CheckpointRecord, Entry, MAX_KEPT_BODY_BYTES, Reset};
pub use entry::{CheckpointEnd, Intent, Receipt, TryId, TryRef};

pub use record::{Record, State};

use catch_up::{CatchUp, Checkpoint, Pending};
use wire::id;

/// Shards of the table, so that an insertion moves few records.
const SHARDS: usize = 256;

/// The writes of one service.
#[derive(Debug, Clone)]
pub struct Ledger {
    /// Each sorted by key.
    shards: Vec<Vec<Record>>,
    /// Latest incarnation started on each VM, sorted by VM.
    starts: Vec<(id::Vm, id::Incarnation)>,
    /// Next offset to read.
    pub next: u64,
    /// What has been read while this reader is not complete.
    catch_up: Option<CatchUp>,
    /// Newest offset before which everything has been carried.
    checkpointed: u64,
    /// Offset after the newest record with an intent or a `CheckpointEnd`: somebody could judge.
    last_active: u64,
    /// Writes older than this have been forgotten, by the log's clock.
    cutoff_ms: u64,
    /// The log's clock at the last record.
    time_ms: u64,
    /// Records that did not decode.
    pub undecodable: u64,
}

impl Ledger {
    /// Nothing known.
    ///
    /// ```
    /// assert!(agent::ledger::Ledger::new().find("w/k").is_none());
    /// ```
    pub fn new() -> Ledger {
        Ledger {
            shards: vec![Vec::new(); SHARDS],
            starts: Vec::new(),
            next: 0,
            catch_up: None,
            checkpointed: 0,
            last_active: 0,
            cutoff_ms: 0,
            time_ms: 0,
            undecodable: 0,
        }
    }

    /// Notes the oldest kept offset, which every page of the log tells. True when records
    /// have expired unread: everything known is dropped, as in a reader that starts there.
    ///
    /// A process that was paused for longer than the log keeps records would else take its
    /// own late intent for the first of its key, though another's was in the gap and has run.
    ///
    /// ```
    /// let mut ledger = agent::ledger::Ledger::new();
    /// assert!(ledger.skip_expired(7) && !ledger.is_complete());
    /// ```
    pub fn skip_expired(&mut self, first_kept: u64) -> bool {
        let gap = first_kept > self.next;
        if gap {
            let undecodable = self.undecodable;
            let catch_up = Some(CatchUp::new(first_kept));
            *self = Ledger { next: first_kept, catch_up, undecodable, ..Ledger::new() };
        }
        gap
    }

    /// True when every remembered write is known here. A reader that is not complete
    /// lets no write run.
    ///
    /// ```
    /// assert!(agent::ledger::Ledger::new().is_complete());
    /// ```
    pub fn is_complete(&self) -> bool {
        self.catch_up.is_none()
    }

    /// Offset after the newest record that shows that somebody could judge: an intent, or all
    /// that an agent knew.
    ///
    /// ```
    /// assert_eq!(agent::ledger::Ledger::new().last_active(), 0);
    /// ```
    pub fn last_active(&self) -> u64 {
        self.last_active
    }

    /// What a late reader appends when [`Ledger::active`] has not moved for the key window:
    /// no write is remembered any more, and nobody is there to say so. `None` when this
    /// reader can judge.
    ///
    /// Were it to take what it has read for complete by its own clock, it could know other
    /// writes than a reader that had waited longer. So it is a record, and all begin there.
    ///
    /// ```
    /// let mut ledger = agent::ledger::Ledger::new();
    /// assert!(ledger.reset_entry().is_none());
    /// ledger.skip_expired(7);
    /// assert_eq!(ledger.reset_entry().unwrap().read_end, 7);
    /// ```
    pub fn reset_entry(&self) -> Option<Reset> {
        (!self.is_complete()).then_some(Reset { read_end: self.next })
    }

    /// Newest offset before which everything has been carried.
    ///
    /// ```
    /// assert_eq!(agent::ledger::Ledger::new().checkpointed(), 0);
    /// ```
    pub fn checkpointed(&self) -> u64 {
        self.checkpointed
    }

    /// The latest incarnation whose start was read for a VM.
    ///
    /// ```
    /// assert_eq!(agent::ledger::Ledger::new().incarnation_of("desk-1"), None);
    /// ```
    pub fn incarnation_of(&self, vm: &str) -> Option<id::Incarnation> {
        let i = self.starts.binary_search_by(|s| s.0.as_str().cmp(vm)).ok()?;
        Some(self.starts[i].1)
    }

    /// True when `owner` may append intents and judge them: this reader is complete and
    /// has read the owner's start, and none after it.
    ///
    /// Its intents are void for all while the start of its predecessor on the VM is the last
    /// one: it would take writes and refuse every one of them after a wait.
    ///
    /// ```
    /// assert!(!agent::ledger::Ledger::new().is_ready(&("desk-1".into(), 1)));
    /// ```
    pub fn is_ready(&self, owner: &(id::Vm, id::Incarnation)) -> bool {
        self.is_complete() && self.incarnation_of(&owner.0) == Some(owner.1)
    }

    /// Whether a try of `owner` runs: `None` while its intent has not been read.
    ///
    /// ```
    /// let owner = ("desk-1".to_string(), 1);
    /// assert_eq!(agent::ledger::Ledger::new().is_first("w/k", "t", &owner), None);
    /// ```
    pub fn is_first(&self, key: &str, id: &str, owner: &(id::Vm, id::Incarnation)) -> Option<bool> {
        let record = self.find(key)?;
        let first = record.id == id && record.owner == *owner && record.state == State::Open;
        Some(first && self.is_ready(owner))
    }

    /// True when records should be carried: some have expired that nobody has carried
    /// (`Some(true)`), or the older half of what the log keeps has not been carried yet.
    ///
    /// ```
    /// assert_eq!(agent::ledger::Ledger::new().checkpoint_due(0, 100), None);
    /// ```
    pub fn checkpoint_due(&self, first_kept: u64, next: u64) -> Option<bool> {
        match () {
            () if !self.is_complete() || first_kept == 0 => None,
            () if self.checkpointed < first_kept => Some(true),
            () if self.checkpointed < first_kept + (next - first_kept) / 2 => Some(false),
            () => None,
        }
    }

    /// All that is known, to be appended again: the writes, and after all of them stand in
    /// the log, the `CheckpointEnd`. `None` while this reader is not complete and might miss some.
    ///
    /// ```
    /// let (carried, kept) = agent::ledger::Ledger::new().checkpoint(1_000).unwrap();
    /// assert!(carried.is_empty() && end.read_end == 0);
    /// ```
    pub fn checkpoint(&self, window_ms: u64) -> Option<(Vec<CheckpointRecord>, CheckpointEnd)> {
        if !self.is_complete() {
            return None;
        }
        let read_end = self.next;
        let known = self.shards.iter().flatten().cloned();
        let records: Vec<_> = known.map(|record| CheckpointRecord { read_end, record }).collect();
        let cutoff_ms = self.time_ms.saturating_sub(window_ms).max(self.cutoff_ms);
        let (count, starts) = (records.len(), self.starts.clone());
        Some((records, CheckpointEnd { read_end, count, starts, cutoff_ms }))
    }

    /// What is known of a key.
    ///
    /// ```
    /// assert!(agent::ledger::Ledger::new().find("w/k").is_none());
    /// ```
    pub fn find(&self, key: &str) -> Option<&Record> {
        let shard = &self.shards[shard(key)];
        let i = shard.binary_search_by(|r| r.key.as_str().cmp(key)).ok()?;
        Some(&shard[i])
    }

    /// Applies the log's record at `offset`. One that does not decode is skipped and counted.
    ///
    /// ```
    /// let mut ledger = agent::ledger::Ledger::new();
    /// ledger.apply(0, 1_000, "no JSON");
    /// assert_eq!((ledger.next, ledger.undecodable), (1, 1));
    /// ```
    pub fn apply(&mut self, offset: u64, time_ms: u64, data: &str) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        self.time_ms = self.time_ms.max(time_ms);
        let batch: Batch = match serde_json::from_str(data) {
            Ok(batch) => batch,
            Err(_) => {
                self.undecodable += 1;
                return;
            }
        };
        if self.is_reset(&batch) {
            (self.catch_up, self.checkpointed) = (None, offset);
            self.starts.clear();
            self.shards.iter_mut().for_each(Vec::clear);
            return;
        }
        if batch.entries.iter().any(|e| matches!(e, Entry::Intent(_) | Entry::CheckpointEnd(_))) {
            self.last_active = offset + 1;
        }
        let record = Pending { offset, time_ms, batch };
        let checkpoint = match &mut self.catch_up {
            Some(catch_up) => catch_up.add(record),
            None => return self.apply_batch(record),
        };
        if let Some(checkpoint) = checkpoint {
            self.restore(checkpoint);
        }
    }

    /// Writes known.
    ///
    /// ```
    /// assert_eq!(agent::ledger::Ledger::new().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.shards.iter().map(Vec::len).sum()
    }

    /// True when no write is known.
    ///
    /// ```
    /// assert!(agent::ledger::Ledger::new().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// True for a record after which all know nothing. A process that thaws and can judge may
    /// have appended an intent that the author had not read; then it does not count. Whoever
    /// has read all since the author looked comes to the same verdict, others stay late.
    fn is_reset(&self, batch: &Batch) -> bool {
        let read =
            |reset: &Reset| self.catch_up.as_ref().is_none_or(|c| c.has_read_from(reset.read_end));
        let counts = |reset: &Reset| read(reset) && self.last_active <= reset.read_end;
        batch.entries.iter().any(|e| matches!(e, Entry::Reset(reset) if counts(reset)))
    }

    fn apply_batch(&mut self, record: Pending) {
        let owner = (record.batch.vm, record.batch.incarnation);
        for entry in record.batch.entries {
            self.apply_entry(&owner, record.time_ms, entry);
        }
    }

    /// Takes up what the author of carried writes knew, and judges from there on.
    fn restore(&mut self, checkpoint: Checkpoint) {
        self.catch_up = None;
        self.starts = checkpoint.end.starts;
        checkpoint.records.into_iter().for_each(|record| self.add(record));
        checkpoint.pending.into_iter().for_each(|pending| self.apply_batch(pending));
    }

    fn apply_entry(&mut self, owner: &(id::Vm, id::Incarnation), time_ms: u64, entry: Entry) {
        match entry {
            Entry::Start => self.start(owner),
            Entry::Intent(intent) if !self.is_outdated(owner) => self.add(Record {
                key: intent.key,
                content_hash: intent.content_hash,
                id: intent.id,
                owner: owner.clone(),
                time_ms,
                state: State::Open,
            }),
            // An old process that thaws after its VM was started again: the new
            // one has declared the old one's writes closed, so the old one's
            // intent may not win. It sees that itself and does not run it.
            Entry::Intent(_) => {}
            Entry::Void(mark) => self.void(&mark, owner),
            Entry::Lost(mark) => self.settle(&mark.key, &mark.id, State::Unknown),
            Entry::Receipt(r) => self.settle(&r.key, &r.id, State::Settled(r.answer)),
            // Only late readers need it: what it says is known here.
            Entry::CheckpointRecord(_) | Entry::Reset(_) => {}
            Entry::CheckpointEnd(end) => self.expire(&end),
        }
    }

    fn start(&mut self, owner: &(id::Vm, id::Incarnation)) {
        match self.starts.binary_search_by(|s| s.0.cmp(&owner.0)) {
            Ok(i) => self.starts[i].1 = owner.1,
            Err(i) => self.starts.insert(i, owner.clone()),
        }
        for record in self.shards.iter_mut().flatten() {
            let earlier = record.owner.0 == owner.0 && record.owner.1 != owner.1;
            if earlier && record.state == State::Open {
                record.state = State::Unknown;
            }
        }
    }

    /// True when another incarnation has started on the VM since. A VM whose start was
    /// never read counts as current; nobody makes intents before its own start.
    fn is_outdated(&self, owner: &(id::Vm, id::Incarnation)) -> bool {
        match self.starts.binary_search_by(|s| s.0.cmp(&owner.0)) {
            Ok(i) => self.starts[i].1 != owner.1,
            Err(_) => false,
        }
    }

    /// Adds a record unless the key has one: the first in the log's order counts.
    fn add(&mut self, record: Record) {
        let shard = &mut self.shards[shard(&record.key)];
        if let Err(i) = shard.binary_search_by(|r| r.key.cmp(&record.key)) {
            shard.insert(i, record);
        }
    }

    /// Only the owner of the try can void it: only it knows that it did not run it.
    fn void(&mut self, mark: &TryRef, owner: &(id::Vm, id::Incarnation)) {
        let shard = &mut self.shards[shard(&mark.key)];
        if let Ok(i) = shard.binary_search_by(|r| r.key.cmp(&mark.key)) {
            let own = shard[i].id == mark.id && shard[i].owner == *owner;
            if own && !matches!(shard[i].state, State::Settled(_)) {
                shard.remove(i);
            }
        }
    }

    fn settle(&mut self, key: &str, id: &str, state: State) {
        let shard = &mut self.shards[shard(key)];
        if let Ok(i) = shard.binary_search_by(|r| r.key.as_str().cmp(key)) {
            let record = &mut shard[i];
            // An answer is never taken back by a later word that it was lost.
            if record.id == id && !matches!(record.state, State::Settled(_)) {
                record.state = state;
            }
        }
    }

    /// Forgetting is a record too, so that all forget at the same place of the stream. By
    /// its own clock one agent would let a key run again that others still hold for used;
    /// when they forget it later, they have not noted the second run and allow a third.
    fn expire(&mut self, end: &CheckpointEnd) {
        self.checkpointed = self.checkpointed.max(end.read_end);
        self.cutoff_ms = self.cutoff_ms.max(end.cutoff_ms);
        for shard in &mut self.shards {
            shard.retain(|r| r.time_ms >= self.cutoff_ms);
        }
    }
}

impl Default for Ledger {
    fn default() -> Ledger {
        Ledger::new()
    }
}

fn shard(key: &str) -> usize {
    xxhash_rust::xxh3::xxh3_64(key.as_bytes()) as usize % SHARDS
}
