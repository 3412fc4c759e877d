//! Deadline for writing a request to a target.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use nix::time::{ClockId, clock_gettime};

/// Value of a [`DeadlineCell`] without a deadline.
const NO_DEADLINE_MS: u64 = u64::MAX;

/// Time after which no byte of a request may be written, by the boot-time clock, which also
/// advances while the host is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteDeadline {
    boot_ms: u64,
}

impl WriteDeadline {
    /// Returns the deadline that passes after `wait`.
    pub fn after(wait: Duration) -> Self {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(NO_DEADLINE_MS);
        Self {
            boot_ms: now_ms().saturating_add(wait_ms),
        }
    }

    /// Returns the deadline at a time by [`crate::clock::now_ms`].
    pub fn at_boot_ms(boot_ms: u64) -> Self {
        Self { boot_ms }
    }

    /// Returns the time left until the deadline.
    pub fn remaining(self) -> Duration {
        Duration::from_millis(self.boot_ms.saturating_sub(now_ms()))
    }
}

/// Write deadline of the request that a connection currently carries. It is checked directly before
/// each write to the socket, so that a process that was paused before the write does not write
/// late.
#[derive(Debug)]
pub(crate) struct DeadlineCell(AtomicU64);

impl Default for DeadlineCell {
    fn default() -> Self {
        Self(AtomicU64::new(NO_DEADLINE_MS))
    }
}

impl DeadlineCell {
    pub(crate) fn set(&self, deadline: Option<WriteDeadline>) {
        let deadline_ms = deadline.map_or(NO_DEADLINE_MS, |deadline| deadline.boot_ms);
        self.0.store(deadline_ms, Ordering::Release);
    }

    pub(crate) fn has_passed(&self) -> bool {
        match self.0.load(Ordering::Acquire) {
            NO_DEADLINE_MS => false,
            deadline_ms => now_ms() >= deadline_ms,
        }
    }
}

/// Milliseconds since boot. If the clock cannot be read, every deadline counts as passed: that
/// fails a request but never sends one twice.
fn now_ms() -> u64 {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(NO_DEADLINE_MS, |now| {
        u64::try_from(Duration::from(now).as_millis()).unwrap_or(NO_DEADLINE_MS)
    })
}
