//! Clocks that go on beyond one process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// Time since the VM started, which goes on while it is suspended.
pub fn boot() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => Duration::from(time),
        Err(e) => {
            log::error!("gateway: no clock that counts suspended time: {e}");
            Duration::MAX
        }
    }
}

/// Time since 1970 by the wall clock, which may jump.
pub fn wall() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
