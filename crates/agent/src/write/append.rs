//! Appending to the stream of a service, many entries in one record.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

use super::{LOG_RETRY_PAUSE, Owner, Writer};
use crate::ledger::{Batch, Entry};

/// Entries appended together at most. One append is in flight at a time, so that
/// a burst of writes costs the log few appends.
const MAX_BATCH_ENTRIES: usize = 256;

/// Text of a record at which the next entry goes into another one, in bytes.
const MAX_RECORD_BYTES: usize = 256 << 10;

/// First pause between two appends after the log refused one for its rate.
const MIN_APPEND_PAUSE: Duration = Duration::from_millis(2);

/// Longest such pause.
const MAX_APPEND_PAUSE: Duration = Duration::from_millis(100);

/// Times a record is tried again that was refused for the log's rate.
const MAX_RATE_RETRIES: u32 = 10;

/// What became of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Appended {
    /// It stands in the log.
    Yes,
    /// The answer was lost: it may stand in the log.
    Maybe,
    /// It does not stand in the log.
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

    /// Appends an entry however long the log is out, also when the caller no longer
    /// waits. Appending it twice does no harm. A receipt whose append was lost with its
    /// answer would else be missing for good, and a repeat be told "unknown".
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

/// Appends what is queued, as many entries at once as have come together.
pub async fn run(writer: Arc<Writer>, mut queue: mpsc::Receiver<Queued>) {
    let mut queued = Vec::new();
    // The rate of the log is shared by all agents, and none knows how many others append.
    // So each pauses longer after a refusal and gathers more entries for its next record;
    // without it refused receipts kept callers waiting by a fixed pause each time.
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
            log::warn!("write: the log did not take a record: {e}");
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

/// Bytes that an entry takes in a record, at least.
fn length(entry: &Entry) -> usize {
    serde_json::to_string(entry).map_or(0, |text| text.len())
}
