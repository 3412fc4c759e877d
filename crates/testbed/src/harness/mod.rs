//! Starts stand-ins and daemons as processes on loopback addresses of their own, and acts as a
//! caller.

mod caller;
mod fleet;
mod journals;
mod launch;
mod links;

use std::time;

pub use caller::{CallOutcome, Caller, CompletionRequest, Refusal, ServiceRequest};
pub use fleet::{DaemonOverride, DaemonProcess, Fleet, FleetSpec, TargetProcess};
pub use journals::{Counts, JournalView, body_hash, read_journals};
pub use launch::{Launcher, Process};
pub use links::{LinkProxy, ProxiedLinks, peer_link, table_link, target_link};

/// Time between two evaluations of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Fleets of one test program that run at the same time, so that tests of the same program leave
/// the machine room for others.
const MAX_CONCURRENT_FLEETS: usize = 3;

static FLEET_PERMITS: tokio::sync::Semaphore =
    tokio::sync::Semaphore::const_new(MAX_CONCURRENT_FLEETS);

/// Waits until a test may start its fleet; the permit is kept for as long as the fleet runs.
///
/// # Panics
///
/// Never: the semaphore is not closed.
pub async fn acquire_fleet_permit() -> tokio::sync::SemaphorePermit<'static> {
    FLEET_PERMITS.acquire().await.expect("an open semaphore")
}

/// Waits for a condition; returns whether it came true within the limit.
pub async fn holds_within(limit: time::Duration, mut condition: impl AsyncFnMut() -> bool) -> bool {
    let deadline = time::Instant::now() + limit;
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

/// Waits for a condition.
///
/// # Panics
///
/// Panics with the description when the condition does not come true within the limit.
pub async fn wait_until(
    limit: time::Duration,
    description: &str,
    condition: impl AsyncFnMut() -> bool,
) {
    let holds = holds_within(limit, condition).await;
    assert!(holds, "not within {limit:?}: {description}");
}
