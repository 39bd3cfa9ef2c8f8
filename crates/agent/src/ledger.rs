//! The ledger of writes: which intent of a key was first in the log, and its outcome.
//!
//! A pure state machine. Every agent of a service applies the records of the service's stream in
//! order and reaches the same result. The intent of a write is appended to the log before the
//! write is sent to the service. The first intent of a key runs; every other one gets the outcome
//! of the first.
//!
//! Records expire, so a reader may have missed the first intent of a key. It lets no write run
//! until it is *complete*: it has read the stream from its start, or has loaded a checkpoint that
//! a complete reader appended and has applied all records since. `docs/design/writes.md` has the
//! argument.
//!
//! The contract (key, fingerprint, receipt, replay, conflict) follows the paper "Agent tools need
//! idempotency contracts". Where the paper uses a database table, this module uses a stream of
//! the platform's log.

mod entry;
mod catch_up;
mod record;

pub use entry::{Answer, Batch, Body, CheckpointRecord, Entry, MAX_KEPT_BODY_BYTES, Reset};
pub use entry::{CheckpointEnd, Intent, Receipt, TryId, TryRef};

pub use record::{Record, State};

use catch_up::{CatchUp, Checkpoint, Pending};
use wire::id;

/// Number of shards of the table. Shards keep an insertion into a sorted list cheap.
const SHARDS: usize = 256;

/// The writes of one service.
#[derive(Debug, Clone)]
pub struct Ledger {
    /// Records by hash of the key; each shard is sorted by key.
    shards: Vec<Vec<Record>>,
    /// Latest incarnation started on each VM, sorted by VM.
    starts: Vec<(id::Vm, id::Incarnation)>,
    /// Next offset to read.
    pub next: u64,
    /// Records read while this reader is not complete.
    catch_up: Option<CatchUp>,
    /// End of the records that a checkpoint covers.
    checkpointed: u64,
    /// Offset after the newest intent or end of a checkpoint. Its author was complete.
    last_active: u64,
    /// Writes with an older intent have expired, by the log's clock.
    cutoff_ms: u64,
    /// Time of the newest record, by the log's clock.
    time_ms: u64,
    /// Number of records that did not decode.
    pub undecodable: u64,
}

impl Ledger {
    /// Returns an empty ledger that reads the stream from its start.
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

    /// Skips to `first_kept`, the oldest offset in the log, as given with every page. Returns
    /// true if records have expired unread: the ledger is then cleared, as in a reader that
    /// starts there.
    ///
    /// Otherwise a process that was paused for longer than the log keeps records would treat its
    /// own late intent as the first of its key, though another intent in the gap has already run.
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

    /// Returns true if this reader knows every write that has not expired. A reader that is not
    /// complete lets no write run.
    ///
    /// ```
    /// assert!(agent::ledger::Ledger::new().is_complete());
    /// ```
    pub fn is_complete(&self) -> bool {
        self.catch_up.is_none()
    }

    /// Returns the offset after the newest record that shows that some agent was complete: an
    /// intent, or the end of a checkpoint.
    ///
    /// ```
    /// assert_eq!(agent::ledger::Ledger::new().last_active(), 0);
    /// ```
    pub fn last_active(&self) -> u64 {
        self.last_active
    }

    /// Returns the entry that an incomplete reader appends when [`Ledger::last_active`] has not
    /// changed for the key window: no write needs to be remembered any more, and no agent is left
    /// that could append a checkpoint. `None` if this reader is complete.
    ///
    /// If a reader declared itself complete by its own clock, it could know other writes than a
    /// reader that had waited longer. So the reset is a record, and all readers restart at its
    /// offset.
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

    /// Returns the offset before which a checkpoint covers all records.
    ///
    /// ```
    /// assert_eq!(agent::ledger::Ledger::new().checkpointed(), 0);
    /// ```
    pub fn checkpointed(&self) -> u64 {
        self.checkpointed
    }

    /// Returns the latest incarnation of a VM whose start has been read.
    ///
    /// ```
    /// assert_eq!(agent::ledger::Ledger::new().incarnation_of("desk-1"), None);
    /// ```
    pub fn incarnation_of(&self, vm: &str) -> Option<id::Incarnation> {
        let i = self.starts.binary_search_by(|s| s.0.as_str().cmp(vm)).ok()?;
        Some(self.starts[i].1)
    }

    /// Returns true if `owner` may append intents and act on them: this reader is complete, and
    /// the newest start it has read of the owner's VM is that of the owner.
    ///
    /// While the newest start is that of a predecessor on the VM, all readers ignore the owner's
    /// intents: it would accept writes and refuse every one of them after a wait.
    ///
    /// ```
    /// assert!(!agent::ledger::Ledger::new().is_ready(&("desk-1".into(), 1)));
    /// ```
    pub fn is_ready(&self, owner: &(id::Vm, id::Incarnation)) -> bool {
        self.is_complete() && self.incarnation_of(&owner.0) == Some(owner.1)
    }

    /// Returns whether a try of `owner` is the first of its key and may run; `None` while its
    /// intent has not been read.
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

    /// Returns whether a checkpoint should be appended: at once (`Some(true)`) if records have
    /// expired that no checkpoint covers, or soon (`Some(false)`) if none covers the older half
    /// of the log.
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

    /// Returns a checkpoint: the known writes, and the end record, which is to be appended once
    /// all the writes are in the log. `None` if this reader is not complete and may have missed
    /// some.
    ///
    /// ```
    /// let (records, end) = agent::ledger::Ledger::new().checkpoint(1_000).unwrap();
    /// assert!(records.is_empty() && end.read_end == 0);
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

    /// Returns the record of a key.
    ///
    /// ```
    /// assert!(agent::ledger::Ledger::new().find("w/k").is_none());
    /// ```
    pub fn find(&self, key: &str) -> Option<&Record> {
        let shard = &self.shards[shard(key)];
        let i = shard.binary_search_by(|r| r.key.as_str().cmp(key)).ok()?;
        Some(&shard[i])
    }

    /// Applies the log's record at `offset`. A record that does not decode is counted and
    /// skipped.
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

    /// Returns the number of known writes.
    ///
    /// ```
    /// assert_eq!(agent::ledger::Ledger::new().len(), 0);
    /// ```
    pub fn len(&self) -> usize {
        self.shards.iter().map(Vec::len).sum()
    }

    /// Returns true if no write is known.
    ///
    /// ```
    /// assert!(agent::ledger::Ledger::new().is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns true if the batch resets the ledger of every reader. A process that resumes and is
    /// complete may have appended an intent that the author of the reset had not read; then the
    /// reset does not count. Every reader that has read all records since the author's offset
    /// decides alike; others remain incomplete.
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

    /// Loads a checkpoint and applies the records after it.
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
            // An old process that resumes after its VM was restarted: the new one has marked the
            // old one's writes as unknown, so the old one's intent must not win. The old process
            // reads this as well and does not run it.
            Entry::Intent(_) => {}
            Entry::Void(try_ref) => self.void(&try_ref, owner),
            Entry::Lost(try_ref) => self.settle(&try_ref.key, &try_ref.id, State::Unknown),
            Entry::Receipt(r) => self.settle(&r.key, &r.id, State::Settled(r.answer)),
            // Only incomplete readers need these; a complete one already knows their content.
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

    /// Returns true if another incarnation has started on the VM since. A VM without a recorded
    /// start counts as current: no agent appends intents before its own start.
    fn is_outdated(&self, owner: &(id::Vm, id::Incarnation)) -> bool {
        match self.starts.binary_search_by(|s| s.0.cmp(&owner.0)) {
            Ok(i) => self.starts[i].1 != owner.1,
            Err(_) => false,
        }
    }

    /// Adds a record unless the key has one: the first in the order of the log counts.
    fn add(&mut self, record: Record) {
        let shard = &mut self.shards[shard(&record.key)];
        if let Err(i) = shard.binary_search_by(|r| r.key.cmp(&record.key)) {
            shard.insert(i, record);
        }
    }

    /// Removes a try. Only its owner can void it: only the owner knows that it did not run.
    fn void(&mut self, try_ref: &TryRef, owner: &(id::Vm, id::Incarnation)) {
        let shard = &mut self.shards[shard(&try_ref.key)];
        if let Ok(i) = shard.binary_search_by(|r| r.key.cmp(&try_ref.key)) {
            let own = shard[i].id == try_ref.id && shard[i].owner == *owner;
            if own && !matches!(shard[i].state, State::Settled(_)) {
                shard.remove(i);
            }
        }
    }

    fn settle(&mut self, key: &str, id: &str, state: State) {
        let shard = &mut self.shards[shard(key)];
        if let Ok(i) = shard.binary_search_by(|r| r.key.as_str().cmp(key)) {
            let record = &mut shard[i];
            // A later entry that the answer was lost never replaces an answer.
            if record.id == id && !matches!(record.state, State::Settled(_)) {
                record.state = state;
            }
        }
    }

    /// Removes expired writes. This happens at a record, so that all readers do it at the same
    /// offset. By its own clock, one agent would let a key run again that others still treat as
    /// used; when they expired it later, they would not have recorded the second run and would
    /// allow a third.
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
