//! Appends to the stream of a service, many entries in one record.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::{LOG_RETRY_PAUSE, Owner, Writer};
use crate::ledger::{Batch, Entry};

/// Maximum number of entries in a record. One append is in flight at a time, so a burst of writes
/// needs few appends.
const MAX_BATCH_ENTRIES: usize = 256;

/// Maximum length of a record's text; the next entry goes into another record.
const MAX_RECORD_BYTES: usize = 256 << 10;

/// Shortest pause between two appends after the log refused one for its rate.
const MIN_APPEND_PAUSE: Duration = Duration::from_millis(2);

/// Longest such pause.
const MAX_APPEND_PAUSE: Duration = Duration::from_millis(100);

/// Maximum number of retries of a record that the log refused for its rate.
const MAX_RATE_RETRIES: u32 = 10;

/// Outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Appended {
    /// It is in the log.
    Yes,
    /// The answer was lost: it may be in the log.
    Maybe,
    /// It is not in the log.
    No,
}

/// An entry that waits to be appended.
#[derive(Debug)]
pub struct Queued {
    owner: Owner,
    entry: Entry,
    done: oneshot::Sender<Appended>,
}

impl Writer {
    /// Appends an entry once.
    pub(super) async fn append(&self, owner: &Owner, entry: Entry) -> Appended {
        let (done, appended) = oneshot::channel();
        match self.queue.try_send(Queued { owner: owner.clone(), entry, done }) {
            Ok(()) => appended.await.unwrap_or(Appended::Maybe),
            Err(_) => Appended::No,
        }
    }

    /// Appends an entry however long the log is unavailable, even if the caller no longer waits.
    /// A duplicate does no harm. Without retries, a receipt whose append failed together with its
    /// answer would be missing for good, and a retry of the write would get "unknown".
    pub(super) async fn append_until_confirmed(self: &Arc<Writer>, owner: Owner, entry: Entry) {
        let writer = self.clone();
        let task = tokio::spawn(async move {
            while writer.append(&owner, entry.clone()).await != Appended::Yes {
                tokio::time::sleep(LOG_RETRY_PAUSE).await;
            }
        });
        let _ = task.await;
    }
}

/// Appends the queued entries, as many together as have arrived.
pub async fn run(writer: Arc<Writer>, mut queue: mpsc::Receiver<Queued>) {
    let mut queued = Vec::new();
    // The rate limit of the log is shared by all agents, and none knows how many others append.
    // So each agent pauses longer after a refusal and collects more entries for its next record;
    // with a fixed pause, every refused receipt would keep its caller waiting that long.
    let mut pause = Duration::ZERO;
    while queue.recv_many(&mut queued, MAX_BATCH_ENTRIES).await > 0 {
        let mut rest = queued.drain(..).peekable();
        while let Some(first) = rest.next() {
            let mut length = length(&first.entry);
            let mut batch = vec![first];
            while let Some(next) = rest.next_if(|q| {
                length += self::length(&q.entry);
                length <= MAX_RECORD_BYTES && q.owner == batch[0].owner
            }) {
                batch.push(next);
            }
            append_batch(&writer, batch, &mut pause).await;
            tokio::time::sleep(pause).await;
        }
    }
}

async fn append_batch(writer: &Writer, batch: Vec<Queued>, pause: &mut Duration) {
    let (vm, incarnation) = batch[0].owner.clone();
    let (entries, waiting): (Vec<_>, Vec<_>) = batch.into_iter().map(|q| (q.entry, q.done)).unzip();
    let batch = Batch { vm, incarnation, entries };
    let data = serde_json::to_string(&batch).expect("plain data encodes");
    let mut result = writer.log.append(&writer.stream, &data).await;
    for _ in 0..MAX_RATE_RETRIES {
        if !matches!(result, Err(rest::Error::Status { status: 429, .. })) {
            break;
        }
        *pause = (*pause * 2).clamp(MIN_APPEND_PAUSE, MAX_APPEND_PAUSE);
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.5))).await;
        result = writer.log.append(&writer.stream, &data).await;
    }
    let appended = match result {
        Ok(_) => {
            *pause = pause.mul_f64(0.9);
            Appended::Yes
        }
        Err(e) => {
            log::warn!("write: the log did not accept a record: {e}");
            match e {
                rest::Error::Connect { .. } => Appended::No,
                rest::Error::Status { status: 429 | 503, .. } => Appended::No,
                _ => Appended::Maybe,
            }
        }
    };
    for done in waiting {
        let _ = done.send(appended);
    }
}

/// Returns the bytes that an entry takes in a record, at least.
fn length(entry: &Entry) -> usize {
    serde_json::to_string(entry).map_or(0, |text| text.len())
}
