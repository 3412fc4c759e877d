//! Rate limits that targets name in their responses.

use std::cell::RefCell;

use acaciabank_core::rate_limit::{AnswerTimes, LimitChange, LimitTable, RateLimit};

/// What this daemon knows of the limits of targets.
#[derive(Debug, Default)]
pub struct RateLimitState {
    known: RefCell<LimitTable>,
}

impl RateLimitState {
    /// Whether nothing is known of any target.
    pub fn is_empty(&self) -> bool {
        self.known.borrow().is_empty()
    }

    /// Returns the limit of a target.
    pub fn limit_of(&self, target_hash: u64) -> Option<RateLimit> {
        self.known.borrow().limit_of(target_hash)
    }

    /// Records what a response to this daemon says about a target's limit.
    pub fn record_answer(
        &self,
        target_hash: u64,
        limit: Option<RateLimit>,
        times: AnswerTimes,
    ) -> LimitChange {
        let mut known = self.known.borrow_mut();
        known.record_answer(target_hash, limit, times)
    }
}
