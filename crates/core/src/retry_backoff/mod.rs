//! Exponential backoff after failed calls to a store that many daemons share.
//!
//! Made for an outage of the store: every daemon notices it within a second, and every failed call
//! is charged and takes part of the store's rate when it returns. Two daemons watch the store and
//! report what they read, so only they have to notice its return soon. All others hear of it from
//! the watchers and call rarely until then.
//!
//! # Example
//!
//! ```
//! use acaciabank_core::retry_backoff::{CallerRole, RetryBackoff};
//!
//! let mut backoff = RetryBackoff::default();
//! let first = backoff.next_delay(CallerRole::Watcher, 1.0);
//! let second = backoff.next_delay(CallerRole::Watcher, 1.0);
//! assert_eq!(second, 2 * first);
//! ```

use std::time::Duration;

/// First delay of a daemon that others rely on, before jitter.
const INITIAL_WATCHER_DELAY: Duration = Duration::from_millis(50);
/// First delay of a daemon that hears of changes from others, before jitter. A lost response may
/// delay a change by this time, beside the age at which a daemon reads the store itself.
const INITIAL_FOLLOWER_DELAY: Duration = Duration::from_millis(200);
/// Longest delay of a daemon that others rely on, before jitter.
const MAX_WATCHER_DELAY: Duration = Duration::from_millis(800);
/// Longest delay of a daemon that hears of the store's return from others, before jitter. If their
/// reports are lost, it is current again within the three seconds that are allowed after an outage.
const MAX_FOLLOWER_DELAY: Duration = Duration::from_millis(2_400);
/// Number of failures from which the delay no longer grows.
const MAX_DOUBLINGS: u32 = 6;
/// Smallest part of a delay that jitter leaves, so that the daemons do not call together.
const MIN_JITTER_SHARE: f64 = 0.5;

/// How much a daemon depends on its own calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerRole {
    /// It has no data yet, or others rely on what it reads.
    Watcher,
    /// It has data and hears of changes from watchers.
    Follower,
}

/// Number of consecutive failures of one kind of call.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryBackoff {
    failures: u32,
}

impl RetryBackoff {
    /// Returns the number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a success; returns the number of failures before it.
    pub fn reset(&mut self) -> u32 {
        std::mem::take(&mut self.failures)
    }

    /// Counts a failure and returns the time to wait before the next call. `jitter` is a random
    /// number between 0 and 1.
    pub fn next_delay(&mut self, role: CallerRole, jitter: f64) -> Duration {
        let (initial_delay, max_delay) = match role {
            CallerRole::Watcher => (INITIAL_WATCHER_DELAY, MAX_WATCHER_DELAY),
            CallerRole::Follower => (INITIAL_FOLLOWER_DELAY, MAX_FOLLOWER_DELAY),
        };
        let delay = initial_delay * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        let share = MIN_JITTER_SHARE + (1.0 - MIN_JITTER_SHARE) * jitter;
        delay.min(max_delay).mul_f64(share)
    }
}
