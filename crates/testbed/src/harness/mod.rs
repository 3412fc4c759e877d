//! Starts simulated engines, services and platforms and real daemons as processes, each on its own
//! loopback address, and acts as a caller of the daemons.

mod caller;
mod fleet;
mod journals;
mod launch;
mod links;
mod presets;

use std::time;

pub use caller::{CallOutcome, Caller, CompletionRequest, Refusal, ServiceRequest};
pub use fleet::{
    DaemonOverride, DaemonProcess, Fleet, FleetSpec, TargetProcess, interrupted_count,
};
pub use journals::{EntryCounts, JournalEntries, body_hash, read_journals};
pub use launch::{Launcher, Process};
pub use links::{LinkProxy, ProxiedLinks, peer_link, table_link, target_link};

/// Interval between two evaluations of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Maximum number of fleets that one test binary runs at the same time. More of them would starve
/// other processes on the machine.
const MAX_CONCURRENT_FLEETS: usize = 3;

static FLEET_PERMITS: tokio::sync::Semaphore =
    tokio::sync::Semaphore::const_new(MAX_CONCURRENT_FLEETS);

/// Waits until a test may start its fleet. Hold the permit for as long as the fleet runs.
///
/// # Panics
///
/// Never: the semaphore is not closed.
pub async fn acquire_fleet_permit() -> tokio::sync::SemaphorePermit<'static> {
    FLEET_PERMITS
        .acquire()
        .await
        .expect("the semaphore is never closed")
}

/// Polls a condition; returns whether it became true within the timeout.
pub async fn holds_within(
    timeout: time::Duration,
    mut condition: impl AsyncFnMut() -> bool,
) -> bool {
    let deadline = time::Instant::now() + timeout;
    loop {
        if condition().await {
            return true;
        }
        if time::Instant::now() >= deadline {
            return false;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a condition is true.
///
/// # Panics
///
/// Panics with the description when the condition does not become true within the timeout.
pub async fn wait_until(
    timeout: time::Duration,
    description: &str,
    condition: impl AsyncFnMut() -> bool,
) {
    let holds = holds_within(timeout, condition).await;
    assert!(holds, "condition not met within {timeout:?}: {description}");
}
