//! Usage by team in windows of the wall clock: what each daemon counts, what the holder of the
//! lease collects, when it settles a window and what it reports next. Times are Unix milliseconds
//! if their name says so, else milliseconds of the daemon's own clock.
//!
//! # Example
//!
//! ```
//! use acaciabank_core::usage::{UsageCollector, WindowCounter};
//!
//! let mut counter = WindowCounter::new(5_000);
//! counter.record(12_000, 7);
//! let mut collector = UsageCollector::default();
//! let counts = counter.report(12_100, 100);
//! collector.apply(1, &counts, 2);
//! collector.apply(1, &counts, 2);
//! assert_eq!(collector.totals(2).get(&7), Some(&1));
//! ```

mod collector;
mod correction;
mod counter;
mod ledger;

pub use collector::{CheckpointWindow, UsageCheckpoint, UsageCollector};
pub use correction::clock_correction_ms;
pub use counter::{DaemonCounts, WindowCounter, WindowCounts};
pub use ledger::{ReportLedger, ReportStep, ResumePoint, StoredUsage};

use xxhash_rust::xxh3;

/// Number of windows for which a daemon keeps counts.
pub const MAX_WINDOWS: usize = 8;

/// Identity of one run of one daemon.
pub type RunKey = u64;

/// Returns the identity of a run.
pub fn run_key(daemon_hash: u64, boot_id: u64) -> RunKey {
    xxh3::xxh3_64_with_seed(&daemon_hash.to_le_bytes(), boot_id)
}

/// Returns the number of the window that contains a time.
pub fn window_at(unix_ms: u64, window_ms: u64) -> u64 {
    unix_ms / window_ms.max(1)
}

/// Returns the time at which a window ends.
pub fn window_end_ms(window: u64, window_ms: u64) -> u64 {
    window.saturating_add(1).saturating_mul(window_ms)
}
