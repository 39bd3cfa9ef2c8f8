//! The prefix cache and its events, which are delayed and have gaps.

use std::collections::VecDeque;
use std::time::Duration;

use engine::Event;
use tokio::time::Instant;

use crate::model;

/// Positions per block; prefixes are cached in whole blocks.
pub const BLOCK_POSITIONS: usize = 16;

/// Maximum number of events kept for readers.
const MAX_EVENTS: usize = 4096;

/// Maximum number of events in one answer.
const MAX_PAGE_EVENTS: usize = 1000;

/// One in this many events is never published.
const GAP_ONE_IN: u64 = 8;

/// Prefixes by hash; the least recently used one is evicted when the cache is full.
#[derive(Debug)]
pub(crate) struct Cache {
    /// Sorted by hash.
    entries: Vec<Entry>,
    limit: usize,
    uses: u64,
    events: VecDeque<(Instant, Event)>,
    next: u64,
}

#[derive(Debug)]
struct Entry {
    prefix: u64,
    used: u64,
}

impl Cache {
    pub(crate) fn new(limit: usize) -> Cache {
        Cache { entries: Vec::new(), limit, uses: 0, events: VecDeque::new(), next: 0 }
    }

    /// Returns the number of positions at the start of `inputs` that are cached.
    pub(crate) fn cached_positions(&mut self, inputs: &[u64]) -> u32 {
        let mut cached = 0;
        for prefix in block_hashes(inputs) {
            self.uses += 1;
            match self.entries.binary_search_by_key(&prefix, |e| e.prefix) {
                Ok(i) => self.entries[i].used = self.uses,
                Err(_) => break,
            }
            cached += BLOCK_POSITIONS as u32;
        }
        cached
    }

    /// Caches every block of `inputs`.
    pub(crate) fn insert(&mut self, inputs: &[u64], now: Instant) {
        for prefix in block_hashes(inputs).take(self.limit) {
            self.uses += 1;
            let used = self.uses;
            match self.entries.binary_search_by_key(&prefix, |e| e.prefix) {
                Ok(i) => self.entries[i].used = used,
                Err(_) => {
                    self.evict_if_full(now);
                    let i = self.entries.partition_point(|e| e.prefix < prefix);
                    self.entries.insert(i, Entry { prefix, used });
                    self.publish(prefix, true, now);
                }
            }
        }
    }

    /// Evicts all entries, as when other weights are loaded.
    pub(crate) fn clear(&mut self, now: Instant) {
        for entry in std::mem::take(&mut self.entries) {
            self.publish(entry.prefix, false, now);
        }
    }

    /// Returns the events from number `from` on that are older than `lag`.
    pub(crate) fn events(&self, from: u64, lag: Duration, now: Instant) -> Vec<Event> {
        let visible = |e: &&(Instant, Event)| e.0 + lag <= now && e.1.number >= from;
        self.events.iter().filter(visible).take(MAX_PAGE_EVENTS).map(|e| e.1.clone()).collect()
    }

    fn evict_if_full(&mut self, now: Instant) {
        if self.entries.len() < self.limit {
            return;
        }
        let oldest = (0..self.entries.len()).min_by_key(|i| self.entries[*i].used);
        if let Some(i) = oldest {
            let prefix = self.entries.remove(i).prefix;
            self.publish(prefix, false, now);
        }
    }

    fn publish(&mut self, prefix: u64, cached: bool, now: Instant) {
        let number = self.next;
        self.next += 1;
        if model::prefix_hash(&[number]).is_multiple_of(GAP_ONE_IN) {
            return;
        }
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((now, Event { number, prefix, cached }));
    }
}

/// Returns the hash of the first block, of the first two blocks, and so on.
fn block_hashes(inputs: &[u64]) -> impl Iterator<Item = u64> {
    let blocks = inputs.chunks_exact(BLOCK_POSITIONS);
    blocks.scan(0, |hash, block| {
        *hash = model::extend_hash(*hash, block);
        Some(*hash)
    })
}
