//! Signals the tasks of a daemon to stop, and waits until its work is done.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

/// A flag that is raised once; from then on no new work is accepted.
#[derive(Debug, Clone)]
pub struct Stop {
    tx: Arc<watch::Sender<bool>>,
    rx: watch::Receiver<bool>,
}

impl Stop {
    /// Creates a flag that only [`Stop::raise`] raises.
    ///
    /// ```
    /// let stop = node::stop::Stop::new();
    /// assert!(!stop.raised());
    /// stop.raise();
    /// assert!(stop.raised());
    /// ```
    pub fn new() -> Stop {
        let (tx, rx) = watch::channel(false);
        Stop { tx: Arc::new(tx), rx }
    }

    /// Creates a flag that SIGTERM and SIGINT raise.
    pub fn on_signals() -> Stop {
        let stop = Stop::new();
        for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
            match signal(kind) {
                Ok(mut signals) => {
                    let stop = stop.clone();
                    tokio::spawn(async move {
                        signals.recv().await;
                        log::info!("stop: signal received, accepting no new work");
                        stop.raise();
                    });
                }
                Err(e) => log::error!("stop: cannot listen for signals: {e}"),
            }
        }
        stop
    }

    /// Raises the flag.
    pub fn raise(&self) {
        self.tx.send_replace(true);
    }

    /// True once raised.
    pub fn raised(&self) -> bool {
        *self.rx.borrow()
    }

    /// Resolves once raised.
    pub async fn wait(&self) {
        let mut rx = self.rx.clone();
        // The sender lives as long as self, so waiting can't fail.
        let _ = rx.wait_for(|raised| *raised).await;
    }
}

impl Default for Stop {
    fn default() -> Stop {
        Stop::new()
    }
}

/// Counts the work in progress that a drain waits for.
#[derive(Debug, Clone, Default)]
pub struct Work {
    count: Arc<AtomicUsize>,
}

/// A piece of work, in progress until the guard is dropped.
#[derive(Debug)]
pub struct WorkGuard {
    count: Arc<AtomicUsize>,
}

impl Work {
    /// Counts a piece of work until the returned guard is dropped.
    ///
    /// ```
    /// let work = node::stop::Work::default();
    /// let piece = work.begin();
    /// assert_eq!(work.running(), 1);
    /// drop(piece);
    /// assert_eq!(work.running(), 0);
    /// ```
    pub fn begin(&self) -> WorkGuard {
        self.count.fetch_add(1, Ordering::AcqRel);
        WorkGuard { count: self.count.clone() }
    }

    /// Number of pieces of work in progress.
    pub fn running(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Waits until `busy` returns 0 or `limit` has passed; returns the amount of work left.
pub async fn drain(limit: Duration, busy: impl Fn() -> usize) -> usize {
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    let end = tokio::time::Instant::now() + limit;
    while busy() > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    busy()
}
