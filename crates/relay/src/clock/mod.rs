//! Monotonic clock of the process.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Returns the milliseconds since the host booted, including time in suspension: after a
/// suspension, state is as old here as it is for the other daemons.
pub fn now_ms() -> u64 {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(now) => u64::try_from(Duration::from(now).as_millis()).unwrap_or(u64::MAX),
        Err(error) => {
            log::error!("cannot read CLOCK_BOOTTIME: {error}");
            u64::MAX
        }
    }
}
