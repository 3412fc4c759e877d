//! Decides which requests a stopping daemon still accepts, and when it ends them.
//!
//! A daemon that stops is still listed in the address lists that callers have cached, so it serves
//! the requests that end before the process does. A refusal costs the caller one retry at another
//! daemon; a response that is cut costs it the whole response, and perhaps its last retry.
//!
//! - A request whose deadline is before the end of the process is always accepted.
//! - Until callers no longer have the address cached, one with a later deadline is accepted if its
//!   route's responses are expected to take less time than is left.
//! - From then on, only the deadline counts: no expectation rules out a response that is cut.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use acaciabank_core::shutdown::{PendingRequest, ShutdownTimes};
//!
//! let received = Instant::now();
//! let times = ShutdownTimes::new(received, Duration::from_secs(3), Duration::from_secs(8));
//! let request = |read_ms, deadline_ms| PendingRequest {
//!     read_at: received + Duration::from_millis(read_ms),
//!     deadline: received + Duration::from_millis(deadline_ms),
//!     expected: Duration::from_millis(500),
//! };
//! let now = received + Duration::from_millis(1_000);
//! assert!(times.accepts(&request(1_000, 9_000), now));
//! let now = received + Duration::from_millis(3_100);
//! assert!(!times.accepts(&request(3_100, 11_100), now));
//! assert!(times.accepts(&request(3_100, 5_100), now));
//! ```

mod route_times;

pub use route_times::RouteTimes;

use std::time::{Duration, Instant};

/// Time before the end of the grace period at which running requests end: for the final responses
/// to be written, the last lines of the log, and timers that are late on a busy host.
const END_MARGIN: Duration = Duration::from_millis(700);
/// Largest part of the grace period that [`END_MARGIN`] may take, as a divisor.
const END_MARGIN_DIVISOR: u32 = 6;
/// Longest time from the signal to its handling on a busy host. Callers count from the signal.
const SIGNAL_DELAY: Duration = Duration::from_millis(200);
/// Time that is left beside the expected one.
const HEADROOM: Duration = Duration::from_millis(300);

/// A request that a stopping daemon has read, and has not sent to a target that may run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingRequest {
    /// Time at which it was read whole.
    pub read_at: Instant,
    /// Time by which its final response is sent.
    pub deadline: Instant,
    /// Time that its response is expected to take from now.
    pub expected: Duration,
}

/// Moments of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// Time until which callers may have the daemon's address cached.
    pub cached_until: Instant,
    /// Time at which requests that still run end.
    pub end: Instant,
}

impl ShutdownTimes {
    /// Creates the times of a stop whose signal was received at `received`. Callers cache addresses
    /// for `cached`, and the process is killed after `grace`.
    pub fn new(received: Instant, cached: Duration, grace: Duration) -> Self {
        let margin = END_MARGIN.min(grace / END_MARGIN_DIVISOR);
        let end = received + (grace - margin);
        Self {
            cached_until: end.min(received + cached),
            end,
        }
    }

    /// Whether a request may be sent to a target at the time `now`.
    pub fn accepts(&self, request: &PendingRequest, now: Instant) -> bool {
        if request.deadline <= self.end {
            return true;
        }
        let is_early = request.read_at + SIGNAL_DELAY <= self.cached_until;
        is_early && now + request.expected + HEADROOM <= self.end
    }

    /// Whether a stream that has begun may be resumed at another target at the time `now`.
    pub fn allows_resume(&self, now: Instant) -> bool {
        now + HEADROOM <= self.end
    }

    /// Returns the time until which a request may still be sent to a target, if its response is
    /// expected to take `expected` from then on.
    pub fn latest_start(&self, expected: Duration) -> Instant {
        self.end
            .checked_sub(expected + HEADROOM)
            .unwrap_or(self.end)
    }
}
