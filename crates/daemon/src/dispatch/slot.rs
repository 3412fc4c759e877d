//! Slots at targets.

use std::{
    sync,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use acaciabank_protocol::settings;

use super::{pool::TargetPool, speed};
use crate::target;

/// A slot at a target, held until dropped.
#[derive(Debug)]
pub(super) struct TargetSlot {
    pub(super) target: sync::Arc<target::TargetState>,
    pub(super) pool: sync::Arc<TargetPool>,
    pub(super) isolated: bool,
    pub(super) role: settings::EngineRole,
    /// Requests at the target, as a share of its slots, when the slot was taken.
    pub(super) utilization: f64,
    /// Prompt tokens to process there before this request's first token, its own included.
    pub(super) queued_tokens: u64,
    /// Time that the request is expected to take there.
    pub(super) expected_duration: Duration,
    /// Prompt tokens of this request that are counted at the target.
    pub(super) reserved_tokens: AtomicU64,
}

impl TargetSlot {
    /// Records that the prompt has been processed, `elapsed` after the request was sent.
    pub(super) fn record_prefill(&self, elapsed: Duration) {
        if self.release_prefill_tokens() > 0 {
            let speed = &self.pool.speeds[speed::role_index(self.role)];
            speed.record_prefill(elapsed, self.queued_tokens);
        }
    }

    /// Records the time between two tokens.
    pub(super) fn record_decode(&self, elapsed: Duration) {
        let speed = &self.pool.speeds[speed::role_index(self.role)];
        speed.record_decode(elapsed, 1.0 + self.utilization.min(1.0));
    }

    fn release_prefill_tokens(&self) -> u64 {
        let tokens = self.reserved_tokens.swap(0, Ordering::AcqRel);
        let marks = &self.target.marks;
        marks.own_prefill_tokens.fetch_sub(tokens, Ordering::AcqRel);
        tokens
    }
}

impl Drop for TargetSlot {
    fn drop(&mut self) {
        self.release_prefill_tokens();
        self.target.own_in_flight.fetch_sub(1, Ordering::AcqRel);
        if self.isolated {
            self.target.marks.suspects.fetch_sub(1, Ordering::AcqRel);
        }
        self.pool.lock().wake();
    }
}
