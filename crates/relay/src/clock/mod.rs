//! Clocks of the process.

use std::{
    sync::OnceLock,
    time::{Duration, SystemTime},
};

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

/// Returns the time of day in Unix milliseconds as it follows from that of the first call. Unlike
/// [`unix_ms`] it never jumps; it serves for comparisons with times that others state.
pub fn steady_unix_ms() -> u64 {
    static START_MS: OnceLock<(u64, u64)> = OnceLock::new();
    let (unix_start_ms, start_ms) = *START_MS.get_or_init(|| (unix_ms(), now_ms()));
    unix_start_ms + now_ms().saturating_sub(start_ms)
}

/// Returns the time of day in Unix milliseconds. It may jump.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    // A clock before 1970 is older than every stated time.
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Converts an estimated time in milliseconds to a duration of at most `max`. An estimate that is
/// negative, not finite or not a number says nothing, and gives `max`: values of a configuration
/// and of messages enter it unchecked.
pub fn estimated_duration(time_ms: f64, max: Duration) -> Duration {
    let duration = Duration::try_from_secs_f64(time_ms / 1_000.0);
    duration.map_or(max, |duration| duration.min(max))
}
