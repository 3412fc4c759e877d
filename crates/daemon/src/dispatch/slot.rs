//! Reservation of capacity at a target.

use std::{
    sync,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use acaciabank_protocol::settings;

use super::{pool::TargetPool, token_times};
use crate::target;

/// A reserved slot at a target; dropping it releases the slot.
#[derive(Debug)]
pub(super) struct TargetSlot {
    pub(super) target: sync::Arc<target::TargetState>,
    pub(super) pool: sync::Arc<TargetPool>,
    /// Whether the request is a crash suspect.
    pub(super) isolated: bool,
    pub(super) role: settings::EngineRole,
    /// Requests at the target divided by its slots, when this slot was reserved.
    pub(super) utilization: f64,
    /// Prompt tokens that the target processes before this request's first token, including its
    /// own.
    pub(super) queued_tokens: u64,
    /// Expected time of the request at the target.
    pub(super) expected_duration: Duration,
    /// Prompt tokens of this request that still count towards the target's prefill backlog.
    pub(super) reserved_tokens: AtomicU64,
}

impl TargetSlot {
    /// Records that the prompt has been processed, `elapsed` after the request was sent. Only the
    /// first call for a slot counts.
    pub(super) fn record_prefill(&self, elapsed: Duration) {
        if self.release_prefill_tokens() > 0 {
            let estimate = &self.pool.token_time_estimates[token_times::role_index(self.role)];
            estimate.record_prefill(elapsed, self.queued_tokens);
        }
    }

    /// Records the time between two generated tokens.
    pub(super) fn record_decode(&self, elapsed: Duration) {
        let estimate = &self.pool.token_time_estimates[token_times::role_index(self.role)];
        estimate.record_decode(elapsed, 1.0 + self.utilization.min(1.0));
    }

    fn release_prefill_tokens(&self) -> u64 {
        let tokens = self.reserved_tokens.swap(0, Ordering::AcqRel);
        let tracker = &self.target.tracker;
        tracker
            .own_prefill_tokens
            .fetch_sub(tokens, Ordering::AcqRel);
        tokens
    }
}

impl Drop for TargetSlot {
    fn drop(&mut self) {
        self.release_prefill_tokens();
        self.target.own_in_flight.fetch_sub(1, Ordering::AcqRel);
        if self.isolated {
            self.target.tracker.suspects.fetch_sub(1, Ordering::AcqRel);
        }
        self.pool.lock().wake();
    }
}
