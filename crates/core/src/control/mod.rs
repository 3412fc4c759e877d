//! Pace of the calls that the holder of the lease makes to the platform.
//!
//! # Example
//!
//! ```
//! use acaciabank_core::control::{CallOutcome, CallPacer};
//!
//! let mut pacer = CallPacer::new(50.0);
//! assert_eq!(pacer.reserve(1_000), 1_000);
//! pacer.record(1_000, CallOutcome::Failed);
//! assert!(pacer.reserve(1_000) > 1_000);
//! ```

/// Share of the platform's limit that the calls of the holder may take together. The rest is left
/// to calls of an earlier holder and to whoever else calls the platform.
const RATE_SHARE: f64 = 0.1;
/// Time over which unused calls may be made up for, in milliseconds.
const BURST_MS: f64 = 1_000.0;
/// Wait after the first failure, in milliseconds; it doubles with each further one.
const MIN_BACKOFF_MS: u64 = 300;
/// Longest wait after a failure, in milliseconds.
const MAX_BACKOFF_MS: u64 = 1_000;

/// Outcome of a call for the pace of the next ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The platform answered the call.
    Answered,
    /// The platform has limited the rate, has failed or has not answered.
    Failed,
}

/// Decides when the next call may be made.
#[derive(Clone, Debug)]
pub struct CallPacer {
    interval_ms: f64,
    /// Time at which the calls reserved so far are used up at the allowed rate.
    used_until_ms: f64,
    blocked_until_ms: u64,
    failures: u32,
}

impl CallPacer {
    /// Creates a pacer for a platform that accepts the given number of calls per second.
    pub fn new(platform_calls_per_s: f64) -> Self {
        Self {
            interval_ms: 1_000.0 / (platform_calls_per_s * RATE_SHARE).max(f64::MIN_POSITIVE),
            used_until_ms: 0.0,
            blocked_until_ms: 0,
            failures: 0,
        }
    }

    /// Reserves the next call and returns the time from which it may be made.
    pub fn reserve(&mut self, now_ms: u64) -> u64 {
        let now = now_ms as f64;
        let at = (self.used_until_ms - BURST_MS).max(now);
        self.used_until_ms = self.used_until_ms.max(now) + self.interval_ms;
        (at.ceil() as u64).max(self.blocked_until_ms)
    }

    /// Records the outcome of a call.
    pub fn record(&mut self, now_ms: u64, outcome: CallOutcome) {
        match outcome {
            CallOutcome::Answered => self.failures = 0,
            CallOutcome::Failed => {
                let doubled_ms = MIN_BACKOFF_MS << self.failures.min(8);
                self.failures += 1;
                self.blocked_until_ms = now_ms + doubled_ms.min(MAX_BACKOFF_MS);
            }
        }
    }
}
