//! Logging to standard output that never blocks a request.
//!
//! Lines pass through a bounded queue to a thread that writes them. If nobody reads standard
//! output, the queue fills, and further lines are dropped and counted. A blocking write would
//! stop all requests of the process instead.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use simplelog::{Config, ConfigBuilder, LevelFilter, WriteLogger};

/// Longest time at the end of the process for writing the last lines.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Limit on the log lines about broken runs in a second.
pub const MAX_BROKEN_RUN_LINES_PER_S: u32 = 100;

/// Capacity of the queue: the lines of one second in the busiest minute.
const MAX_QUEUED_LINES: usize = 2048;

/// A writer that puts lines into the queue without blocking.
#[derive(Debug)]
pub struct Lines {
    sender: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    counts: Arc<Counts>,
}

/// Counts of queued and dropped lines.
#[derive(Debug, Default)]
pub struct Counts {
    /// Lines in the queue that are not written yet.
    pub waiting: AtomicU64,
    /// Lines dropped since the last report of dropped lines.
    pub left_out: AtomicU64,
}

impl Counts {
    /// Waits until all lines are written, or until the time limit if nobody reads them. Without
    /// this, the last lines of a process are lost, which say how it ended.
    pub fn drain(&self) {
        for _ in 0..DRAIN_TIMEOUT.as_millis() {
            if self.waiting.load(Ordering::Acquire) == 0 {
                return;
            }
            thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Lines {
    /// Creates a writer with a queue of `capacity` lines, and the receiver of the queue.
    pub fn new(capacity: usize) -> (Lines, Receiver<Vec<u8>>, Arc<Counts>) {
        let (sender, receiver) = sync_channel(capacity);
        let counts = Arc::new(Counts::default());
        (Lines { sender, line: Vec::new(), counts: counts.clone() }, receiver, counts)
    }
}

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            self.counts.waiting.fetch_add(1, Ordering::Release);
            if self.sender.try_send(std::mem::take(&mut self.line)).is_err() {
                self.counts.waiting.fetch_sub(1, Ordering::Release);
                self.counts.left_out.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Limit on the log lines about refusals in a second. A caller with a wrong key that sends a thousand requests a second
/// would otherwise displace all other lines.
pub const MAX_REFUSAL_LINES_PER_S: u32 = 20;

/// Limits the lines of one kind that are written in a second.
#[derive(Debug, Default)]
pub struct Quota {
    second: u64,
    written: u32,
    left_out: u32,
}

/// Whether a line is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Line {
    /// It is written. Holds the number of lines dropped before it.
    Written(u32),
    /// It is dropped.
    LeftOut,
}

impl Quota {
    /// Decides whether one line is written, `now` after the start of the process, if at most `max_lines` a second are.
    ///
    /// ```
    /// # use std::time::Duration;
    /// use gateway::logging::{Line, Quota};
    /// let mut quota = Quota::default();
    /// let second = Duration::from_secs(1);
    /// assert_eq!(quota.take(second, 1), Line::Written(0));
    /// assert_eq!(quota.take(second, 1), Line::LeftOut);
    /// assert_eq!(quota.take(2 * second, 1), Line::Written(1));
    /// ```
    pub fn take(&mut self, now: Duration, max_lines: u32) -> Line {
        if now.as_secs() != self.second {
            (self.second, self.written) = (now.as_secs(), 0);
        }
        if self.written >= max_lines {
            self.left_out += 1;
            return Line::LeftOut;
        }
        self.written += 1;
        Line::Written(std::mem::take(&mut self.left_out))
    }
}

/// Starts logging to standard output. Panics are logged as well.
pub fn start(level: LevelFilter) -> Result<Arc<Counts>, log::SetLoggerError> {
    let (lines, receiver, counts) = Lines::new(MAX_QUEUED_LINES);
    let shared = counts.clone();
    thread::spawn(move || copy(&receiver, &shared, &mut io::stdout()));
    WriteLogger::init(level, config(), lines)?;
    std::panic::set_hook(Box::new(|panic| {
        let place = panic.location().map(ToString::to_string).unwrap_or_default();
        let why = panic.payload_as_str().unwrap_or("unknown");
        log::error!("gateway: panic at={place} why={why:?}");
    }));
    Ok(counts)
}

fn config() -> Config {
    ConfigBuilder::new()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .set_time_format_rfc3339()
        .build()
}

/// Copies lines to `out` until the writer is dropped, and reports how many lines were dropped.
pub fn copy(lines: &Receiver<Vec<u8>>, counts: &Counts, out: &mut impl Write) {
    while let Ok(line) = lines.recv() {
        let dropped = counts.left_out.swap(0, Ordering::Relaxed);
        let written = match dropped {
            0 => out.write_all(&line),
            n => out.write_all(&line).and_then(|()| {
                writeln!(out, "gateway: lines_left_out={n} why=standard output is not read")
            }),
        };
        if written.and_then(|()| out.flush()).is_err() {
            // The lines are lost; they stay counted in case that output works again later.
            counts.left_out.fetch_add(1 + dropped, Ordering::Relaxed);
        }
        counts.waiting.fetch_sub(1, Ordering::Release);
    }
}
