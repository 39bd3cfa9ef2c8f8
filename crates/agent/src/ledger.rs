//! What the log says of writes: which intent of a key was first, and its outcome.
//!
//! A pure state machine: every agent beside a service applies the records of the
//! service's stream in order and comes to the same answer. Before a write is sent
//! to the service its intent stands in the log; the first intent of a key runs,
//! every other gets its outcome.
//!
//! The contract (key, fingerprint, receipt, replay, conflict) follows the paper
//! "Agent tools need idempotency contracts"; what it leaves to a database table
//! is here a stream of the platform's log.

use serde::{Deserialize, Serialize};
use wire::frame::Reply;
use wire::id;

/// Shards of the table, so that an insertion moves few records.
const SHARDS: usize = 256;

/// Id of one try to write, unique in the fleet.
pub type Try = String;

/// One record of the stream: what an agent appended together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The agent's VM.
    pub vm: id::Vm,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// What it says, in order.
    pub entries: Vec<Entry>,
}

/// One entry of a batch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Entry {
    /// The agent has started. Writes that earlier incarnations on its VM left
    /// open have an unknown outcome from here on, and their later intents are void.
    Start,
    /// The agent wants to run a write.
    Intent(Intent),
    /// The agent has not run the write of its own intent and never will.
    Void(Mark),
    /// The agent sent the write and got no answer.
    Lost(Mark),
    /// The service answered.
    Receipt(Receipt),
    /// A settled write, appended again so that it does not expire with its record.
    Carry(Carry),
}

/// Wants to run a write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Intent {
    /// Workspace and key.
    pub key: String,
    /// Hash of the content.
    pub print: String,
    /// This try.
    pub id: Try,
}

/// Names a try.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// Workspace and key.
    pub key: String,
    /// The try.
    pub id: Try,
}

/// What the service answered to a try.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Receipt {
    /// Workspace and key.
    pub key: String,
    /// The try.
    pub id: Try,
    /// The answer.
    pub reply: Reply,
}

/// A settled write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Carry {
    /// Workspace and key.
    pub key: String,
    /// Hash of the content.
    pub print: String,
    /// The try that was first.
    pub id: Try,
    /// When its intent was appended, by the log's clock, in milliseconds.
    pub time_ms: u64,
    /// The answer, or none when the outcome is unknown.
    pub reply: Option<Reply>,
}

/// What is known of a key.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Workspace and key.
    pub key: String,
    /// Hash of the content.
    pub print: String,
    /// The try that was first.
    pub id: Try,
    /// Who made it.
    pub owner: (id::Vm, id::Incarnation),
    /// Where its newest record stands in the log.
    pub offset: u64,
    /// When its intent was appended, by the log's clock, in milliseconds.
    pub time_ms: u64,
    /// What became of it.
    pub state: State,
}

/// What became of a write.
#[derive(Debug, Clone, PartialEq)]
pub enum State {
    /// Its owner may run it now.
    Open,
    /// It has this answer.
    Settled(Reply),
    /// It may have run; nobody runs it again.
    Unknown,
}

/// The writes of one service.
#[derive(Debug, Clone)]
pub struct Ledger {
    /// Each sorted by key.
    shards: Vec<Vec<Record>>,
    /// Latest incarnation started on each VM, sorted by VM.
    starts: Vec<(id::Vm, id::Incarnation)>,
    /// Next offset to read.
    pub next: u64,
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
        Ledger { shards: vec![Vec::new(); SHARDS], starts: Vec::new(), next: 0, undecodable: 0 }
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
        let batch: Batch = match serde_json::from_str(data) {
            Ok(batch) => batch,
            Err(_) => {
                self.undecodable += 1;
                return;
            }
        };
        let owner = (batch.vm, batch.incarnation);
        for entry in batch.entries {
            self.enter(&owner, offset, time_ms, entry);
        }
    }

    /// Forgets writes whose intent is older than `window_ms` before `now_ms`.
    ///
    /// ```
    /// agent::ledger::Ledger::new().forget(5_000, 1_000);
    /// ```
    pub fn forget(&mut self, now_ms: u64, window_ms: u64) {
        for shard in &mut self.shards {
            shard.retain(|r| r.time_ms + window_ms >= now_ms);
        }
    }

    /// Settled and unknown writes whose newest record stands before `offset`.
    ///
    /// ```
    /// assert!(agent::ledger::Ledger::new().older_than(10).is_empty());
    /// ```
    pub fn older_than(&self, offset: u64) -> Vec<Carry> {
        let old = |r: &&Record| r.offset < offset && r.state != State::Open;
        self.shards.iter().flatten().filter(old).map(carry).collect()
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

    fn enter(
        &mut self,
        owner: &(id::Vm, id::Incarnation),
        offset: u64,
        time_ms: u64,
        entry: Entry,
    ) {
        match entry {
            Entry::Start => self.start(owner),
            Entry::Intent(intent) if !self.outdated(owner) => {
                let record = Record {
                    key: intent.key,
                    print: intent.print,
                    id: intent.id,
                    owner: owner.clone(),
                    offset,
                    time_ms,
                    state: State::Open,
                };
                self.add(record);
            }
            // An old process that thaws after its VM was started again: the new
            // one has declared the old one's writes closed, so the old one's
            // intent may not win. It sees that itself and does not run it.
            Entry::Intent(_) => {}
            Entry::Void(mark) => self.remove(&mark, owner),
            Entry::Lost(mark) => self.settle(&mark.key, &mark.id, offset, State::Unknown),
            Entry::Receipt(r) => self.settle(&r.key, &r.id, offset, State::Settled(r.reply)),
            Entry::Carry(carry) => self.carried(owner, offset, carry),
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

    /// True when another incarnation has started on the VM since. A VM whose
    /// start was never read counts as current: a reader that begins after the
    /// start has expired must judge as those that saw it.
    fn outdated(&self, owner: &(id::Vm, id::Incarnation)) -> bool {
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
    fn remove(&mut self, mark: &Mark, owner: &(id::Vm, id::Incarnation)) {
        let shard = &mut self.shards[shard(&mark.key)];
        if let Ok(i) = shard.binary_search_by(|r| r.key.cmp(&mark.key)) {
            let own = shard[i].id == mark.id && shard[i].owner == *owner;
            if own && !matches!(shard[i].state, State::Settled(_)) {
                shard.remove(i);
            }
        }
    }

    fn settle(&mut self, key: &str, id: &str, offset: u64, state: State) {
        let shard = &mut self.shards[shard(key)];
        if let Ok(i) = shard.binary_search_by(|r| r.key.as_str().cmp(key)) {
            let record = &mut shard[i];
            // An answer is never taken back by a later word that it was lost.
            if record.id == id && !matches!(record.state, State::Settled(_)) {
                record.state = state;
                record.offset = offset;
            }
        }
    }

    fn carried(&mut self, owner: &(id::Vm, id::Incarnation), offset: u64, carry: Carry) {
        let state = carry.reply.map_or(State::Unknown, State::Settled);
        self.add(Record {
            key: carry.key.clone(),
            print: carry.print,
            id: carry.id.clone(),
            owner: owner.clone(),
            offset,
            time_ms: carry.time_ms,
            state: state.clone(),
        });
        self.settle(&carry.key, &carry.id, offset, state);
        let shard = &mut self.shards[shard(&carry.key)];
        if let Ok(i) = shard.binary_search_by(|r| r.key.cmp(&carry.key)) {
            shard[i].offset = shard[i].offset.max(offset);
        }
    }
}

impl Default for Ledger {
    fn default() -> Ledger {
        Ledger::new()
    }
}

fn carry(record: &Record) -> Carry {
    let reply = match &record.state {
        State::Settled(reply) => Some(reply.clone()),
        _ => None,
    };
    Carry {
        key: record.key.clone(),
        print: record.print.clone(),
        id: record.id.clone(),
        time_ms: record.time_ms,
        reply,
    }
}

fn shard(key: &str) -> usize {
    xxhash_rust::xxh3::xxh3_64(key.as_bytes()) as usize % SHARDS
}
