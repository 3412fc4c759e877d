//! Time after which a keyed request may no longer be written to a target.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use nix::time::{ClockId, clock_gettime};

/// Value of a [`WriteGate`] without a limit.
const NO_DEADLINE_MS: u64 = u64::MAX;

/// Time after which no byte of a request may be written. It is counted by the clock that also runs
/// while the host is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteDeadline {
    boot_ms: u64,
}

impl WriteDeadline {
    /// The limit that is reached after `wait`.
    pub fn after(wait: Duration) -> Self {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(NO_DEADLINE_MS);
        Self {
            boot_ms: now_ms().saturating_add(wait_ms),
        }
    }

    /// Time left until the limit.
    pub fn remaining(self) -> Duration {
        Duration::from_millis(self.boot_ms.saturating_sub(now_ms()))
    }
}

/// Limit of the request that a connection carries at present. It is checked directly before each
/// write to the socket, so that a process that was paused before the write does not write after the
/// limit.
#[derive(Debug)]
pub(crate) struct WriteGate(AtomicU64);

impl Default for WriteGate {
    fn default() -> Self {
        Self(AtomicU64::new(NO_DEADLINE_MS))
    }
}

impl WriteGate {
    pub(crate) fn set(&self, limit: Option<WriteDeadline>) {
        let limit_ms = limit.map_or(NO_DEADLINE_MS, |limit| limit.boot_ms);
        self.0.store(limit_ms, Ordering::Release);
    }

    pub(crate) fn has_passed(&self) -> bool {
        match self.0.load(Ordering::Acquire) {
            NO_DEADLINE_MS => false,
            limit_ms => now_ms() >= limit_ms,
        }
    }
}

/// Without the clock every limit counts as passed, which refuses a request but repeats none.
fn now_ms() -> u64 {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(NO_DEADLINE_MS, |now| {
        u64::try_from(Duration::from(now).as_millis()).unwrap_or(NO_DEADLINE_MS)
    })
}
