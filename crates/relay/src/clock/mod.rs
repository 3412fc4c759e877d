//! The clock of the process.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Milliseconds since the host started, counted while it is suspended too: what was believed before
/// a pause is as old as it is for everybody else.
pub fn now_ms() -> u64 {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(now) => u64::try_from(Duration::from(now).as_millis()).unwrap_or(u64::MAX),
        Err(error) => {
            log::error!("the clock cannot be read: {error}");
            u64::MAX
        }
    }
}
