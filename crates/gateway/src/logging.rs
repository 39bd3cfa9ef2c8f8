//! Log lines on standard output that never hold a request up.
//!
//! Lines go through a bounded queue to a thread that writes them. If nobody reads standard
//! output, the queue fills and lines are left out and counted, where a blocking write would stop
//! all requests of the process.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use simplelog::{Config, ConfigBuilder, LevelFilter, WriteLogger};

/// Longest time at the end of the process for the last lines to be written.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Lines about broken runs in a second.
pub const MAX_LOSS_LINES_PER_S: u32 = 100;

/// Lines that wait at most: a second of the busiest measured minute.
const MAX_QUEUED_LINES: usize = 2048;

/// Hands lines on without waiting.
#[derive(Debug)]
pub struct Lines {
    sender: SyncSender<Vec<u8>>,
    line: Vec<u8>,
    counts: Arc<Counts>,
}

/// Lines on their way.
#[derive(Debug, Default)]
pub struct Counts {
    /// Handed on and not yet written.
    pub waiting: AtomicU64,
    /// Left out since the last line that said so.
    pub left_out: AtomicU64,
}

impl Counts {
    /// Waits until all lines are written, but not for a reader that has stopped reading. Without
    /// it the last lines of a process are lost, which say how it ended.
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
    /// A writer, and the end that lines come out of.
    pub fn new(most: usize) -> (Lines, Receiver<Vec<u8>>, Arc<Counts>) {
        let (sender, receiver) = sync_channel(most);
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

/// Refusals that are logged in a second. A caller with a wrong key that asks a thousand times a second
/// would otherwise push out the lines of everybody else.
pub const MAX_REFUSAL_LINES_PER_S: u32 = 20;

/// How many lines of one sort were written in the current second.
#[derive(Debug, Default)]
pub struct Quota {
    second: u64,
    written: u32,
    left_out: u32,
}

/// Whether a line is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Line {
    /// It is; before it, as many were left out.
    Written(u32),
    /// It is not.
    LeftOut,
}

impl Quota {
    /// Decides about one line at a time since the start.
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
    pub fn take(&mut self, now: Duration, most: u32) -> Line {
        if now.as_secs() != self.second {
            (self.second, self.written) = (now.as_secs(), 0);
        }
        if self.written >= most {
            self.left_out += 1;
            return Line::LeftOut;
        }
        self.written += 1;
        Line::Written(std::mem::take(&mut self.left_out))
    }
}

/// Starts logging to standard output.
pub fn start(level: LevelFilter) -> Result<Arc<Counts>, log::SetLoggerError> {
    let (lines, receiver, counts) = Lines::new(MAX_QUEUED_LINES);
    let shared = counts.clone();
    thread::spawn(move || copy(&receiver, &shared, &mut io::stdout()));
    WriteLogger::init(level, config(), lines)?;
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

/// Copies lines until the writer is gone; says how many were left out.
pub fn copy(lines: &Receiver<Vec<u8>>, counts: &Counts, out: &mut impl Write) {
    while let Ok(line) = lines.recv() {
        let lost = counts.left_out.swap(0, Ordering::Relaxed);
        let written = match lost {
            0 => out.write_all(&line),
            n => out.write_all(&line).and_then(|()| {
                writeln!(out, "gateway: lines_left_out={n} why=standard output is not read")
            }),
        };
        if written.and_then(|()| out.flush()).is_err() {
            // Nobody can be told; counting goes on for a reader that comes back.
            counts.left_out.fetch_add(1 + lost, Ordering::Relaxed);
        }
        counts.waiting.fetch_sub(1, Ordering::Release);
    }
}
