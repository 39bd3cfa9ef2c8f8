//! A queue of delayed datagrams.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Mutex};

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::serve;

/// Maximum number of queued datagrams; a further one is dropped, as by a full link buffer.
const MAX_DATAGRAMS: usize = 20_000;

/// A queue ordered by due time, then by arrival.
#[derive(Debug)]
pub(crate) struct Queue<T> {
    heap: Arc<Mutex<Heap<T>>>,
    changed: Arc<Notify>,
}

#[derive(Debug)]
struct Heap<T> {
    entries: BinaryHeap<Reverse<Entry<T>>>,
    count: u64,
}

#[derive(Debug)]
struct Entry<T> {
    due: Instant,
    number: u64,
    item: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.number).cmp(&(other.due, other.number))
    }
}

impl<T> Clone for Queue<T> {
    fn clone(&self) -> Self {
        Queue { heap: self.heap.clone(), changed: self.changed.clone() }
    }
}

impl<T> Queue<T> {
    pub(crate) fn new() -> Queue<T> {
        let heap = Heap { entries: BinaryHeap::new(), count: 0 };
        Queue { heap: Arc::new(Mutex::new(heap)), changed: Arc::new(Notify::new()) }
    }

    /// Queues `item` until `due`; returns false if the queue is full.
    pub(crate) fn push(&self, due: Instant, item: T) -> bool {
        let mut heap = serve::lock(&self.heap);
        if heap.entries.len() >= MAX_DATAGRAMS {
            return false;
        }
        heap.count += 1;
        let number = heap.count;
        let earliest = heap.entries.peek().is_none_or(|first| due < first.0.due);
        heap.entries.push(Reverse(Entry { due, number, item }));
        if earliest {
            self.changed.notify_one();
        }
        true
    }

    /// Waits until the next item is due and returns it.
    pub(crate) async fn pop(&self) -> T {
        loop {
            let due = match self.pop_due(Instant::now()) {
                Ok(item) => return item,
                Err(due) => due,
            };
            let changed = self.changed.notified();
            match due {
                Some(due) => {
                    let _ = tokio::time::timeout_at(due, changed).await;
                }
                None => changed.await,
            }
        }
    }

    fn pop_due(&self, now: Instant) -> Result<T, Option<Instant>> {
        let mut heap = serve::lock(&self.heap);
        match heap.entries.peek() {
            Some(first) if first.0.due > now => Err(Some(first.0.due)),
            Some(_) => heap.entries.pop().map(|h| h.0.item).ok_or(None),
            None => Err(None),
        }
    }
}
