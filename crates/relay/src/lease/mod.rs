//! The lease that gives one daemon at a time the right to order stage changes and to call the
//! platform.
//!
//! One task acquires and renews it. The tasks of the holder ask for the grant immediately before
//! each write; none of them waits for the store, so that none of them delays a renewal.

mod task;

pub use task::run;

use std::cell::{Cell, RefCell};

use acaciabank_core::lease;
use acaciabank_protocol::ids;
use tokio::sync::Notify;

use crate::clock;

/// Name of the lease in the store, from the first task that it was used for.
pub const LEASE_NAME: &str = "stages";
/// The holder acts for `ttl - margin` after a renewal; a challenger waits `ttl + margin` after it
/// first saw the row. Orders of two holders are therefore at least two margins apart: more than the
/// three seconds that engines need if they do not check fencing tokens.
const LEASE_TIMERS: lease::LeaseTimers = lease::LeaseTimers {
    ttl_ms: 4_000,
    renewal_ms: 1_200,
    margin_ms: 1_600,
};

/// This daemon's state as the holder of the lease or as a candidate for it.
#[derive(Debug)]
pub struct LeaseState {
    elector: RefCell<lease::LeaseElector>,
    /// Number of times that this run has acquired the lease.
    tenure: Cell<u64>,
    /// Wakes the tasks of the holder when this daemon has acquired the lease.
    acquired: Notify,
}

impl LeaseState {
    /// Creates the state of a daemon that has not read the lease yet.
    pub fn new(daemon: &str, boot_id: u64) -> Self {
        let daemon = ids::DaemonId::new(daemon);
        Self {
            elector: RefCell::new(lease::LeaseElector::new(daemon, boot_id, LEASE_TIMERS)),
            tenure: Cell::new(0),
            acquired: Notify::new(),
        }
    }

    /// Returns the grant if this daemon may act as the holder at the given time.
    pub fn grant(&self, now_ms: u64) -> Option<lease::LeaseGrant> {
        self.elector.borrow().grant(now_ms)
    }

    /// Returns a number that rises whenever this daemon acquires the lease. While it stays the same,
    /// no other daemon has held the lease.
    pub fn tenure(&self) -> u64 {
        self.tenure.get()
    }

    /// Waits until this daemon holds the lease; returns at once if it does.
    pub async fn wait_held(&self) {
        loop {
            // Created before the check, so that it receives a notification after it.
            let acquired = self.acquired.notified();
            if self.grant(clock::now_ms()).is_some() {
                return;
            }
            acquired.await;
        }
    }
}
