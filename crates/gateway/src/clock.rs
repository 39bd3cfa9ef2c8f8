//! Clocks whose readings are valid across processes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Returns the time since the VM started, including the time in which it was suspended.
pub fn boot() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(e) => {
            log::error!("gateway: clock that includes suspended time can't be read: {e}");
            Duration::MAX
        }
    }
}

/// Returns the processor time that this process has used, if it is known.
pub fn processor() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID).ok().map(Duration::from)
}

/// Returns the Unix time by the wall clock, which may jump.
pub fn wall() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
