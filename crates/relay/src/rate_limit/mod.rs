//! Rate limits that targets name in their responses, and the grants by which the fleet keeps them.
//!
//! The daemon of the first rank grants the requests to all targets with a limit. A daemon asks it in
//! one datagram and gets the answer in another. Without a grant it sends nothing to the target.

mod client;
mod report;
mod server;

pub use client::{SendGrant, admit, receive_response};
pub use report::{LimitEntry, apply_limits, limit_entries};
pub use server::{GrantQuestion, GrantReply, handle_request};

use std::cell::{Cell, RefCell};

use crate::{reply, state};
use acaciabank_core::rate_limit::{
    AnswerTimes, GrantAnswer, GrantTable, LimitChange, LimitRecord, LimitTable, RateLimit,
};

/// What this daemon knows of the limits of targets, as one that asks for grants and as the one that
/// gives them.
#[derive(Debug, Default)]
pub struct RateLimitState {
    known: RefCell<LimitTable>,
    /// Buckets of the targets for which this daemon grants requests.
    granted: RefCell<GrantTable>,
    /// Questions of this daemon that wait for a response, by id.
    pending: reply::PendingReplies<GrantAnswer>,
    /// Whether this daemon gave the last answer as the granter.
    is_granter: Cell<bool>,
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

    /// Adopts what another daemon says about a target's limit if that is newer.
    fn merge(&self, target_hash: u64, record: LimitRecord) -> LimitChange {
        self.known.borrow_mut().merge(target_hash, record)
    }
}

/// Forgets limits that are over.
pub fn expire<Codec, Store>(state: &state::RelayState<Codec, Store>, now_ms: u64) {
    let mut known = state.rate_limits.known.borrow_mut();
    if known.is_empty() {
        return;
    }
    let targets = state.targets.borrow();
    known.expire(now_ms, |hash| targets.by_hash(hash).is_some());
}
