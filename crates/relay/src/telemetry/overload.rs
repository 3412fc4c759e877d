//! Counter and log lines of what the process does to clients outside the limits.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock;

/// Shortest time between two log lines of one reason.
const LOG_INTERVAL_MS: u64 = 1_000;

/// What was done to a client, or why its request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadReason {
    /// A body is larger than allowed.
    BodyTooLarge,
    /// A body found no room in the memory budget.
    NoMemory,
    /// No byte of a body arrived for the allowed time.
    BodyStalled,
    /// A body was not complete at its deadline.
    BodyLate,
    /// A stalled body gave way to a small one.
    BodyEvicted,
    /// The rest of a refused body was not read to its end.
    DrainEnded,
    /// A response found no room in the memory budget.
    ResponseNoMemory,
    /// A caller has read nothing of a response for the allowed time.
    ResponseUnread,
    /// An idle connection was closed for a new one.
    IdleClosed,
    /// A new connection was closed, as no other one was idle.
    ConnectionRefused,
}

/// Number of reasons.
const REASON_COUNT: usize = 10;

/// Events of one reason since its last log line.
struct ReasonState {
    unlogged: AtomicU64,
    /// Time of the last line by [`clock::now_ms`]; 0 before the first one.
    logged_ms: AtomicU64,
}

static STATES: [ReasonState; REASON_COUNT] = [const {
    ReasonState {
        unlogged: AtomicU64::new(0),
        logged_ms: AtomicU64::new(0),
    }
}; REASON_COUNT];

impl OverloadReason {
    /// Returns the value used in log lines and metric labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BodyTooLarge => "body_too_large",
            Self::NoMemory => "no_memory",
            Self::BodyStalled => "body_stalled",
            Self::BodyLate => "body_late",
            Self::BodyEvicted => "body_evicted",
            Self::DrainEnded => "drain_ended",
            Self::ResponseNoMemory => "response_no_memory",
            Self::ResponseUnread => "response_unread",
            Self::IdleClosed => "idle_closed",
            Self::ConnectionRefused => "connection_refused",
        }
    }
}

/// Counts events of a reason, and logs them at most once a second with their number since the last
/// line.
pub fn count_overload(reason: OverloadReason, count: u64) {
    metrics::counter!("acaciabank_overload_total", "reason" => reason.as_str()).increment(count);
    let state = &STATES[reason as usize];
    state.unlogged.fetch_add(count, Ordering::AcqRel);
    let now_ms = clock::now_ms();
    let logged_ms = state.logged_ms.load(Ordering::Acquire);
    if logged_ms != 0 && now_ms.saturating_sub(logged_ms) < LOG_INTERVAL_MS {
        return;
    }
    let exchange = (Ordering::AcqRel, Ordering::Acquire);
    let swapped = state
        .logged_ms
        .compare_exchange(logged_ms, now_ms, exchange.0, exchange.1);
    if swapped.is_ok() {
        let events = state.unlogged.swap(0, Ordering::AcqRel);
        log::warn!(reason = reason.as_str(), count = events; "overload");
    }
}
