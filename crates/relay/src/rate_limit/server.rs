//! Grants that this daemon gives.

use std::net;

use acaciabank_core::rate_limit::{self, GrantAnswer, GrantRequest};
use serde::{Deserialize, Serialize};

use super::{LimitEntry, apply_limits};
use crate::{
    clock, platform,
    scheduler::{self, PeerMessage},
    state,
};

/// A question whether a request may be sent to a target with a limit.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct GrantQuestion {
    /// The request.
    pub request: GrantRequest,
    /// What the asking daemon knows of the limit: it may have heard of it first.
    pub limit: Option<LimitEntry>,
}

/// GrantReply to a [`GrantQuestion`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct GrantReply {
    /// Id of the request.
    pub id: u64,
    /// Whether it may be sent.
    pub answer: GrantAnswer,
}

/// Decides on a request of another daemon, and sends the response.
pub fn handle_request<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    question: &GrantQuestion,
    sender: net::SocketAddr,
) {
    apply_limits(state, question.limit.as_slice(), clock::now_ms());
    let response = GrantReply {
        id: question.request.id,
        answer: decide(state, &question.request),
    };
    state
        .scheduler
        .send(&PeerMessage::GrantResponse(response), sender);
}

/// Decides whether a request may be sent, if this daemon is the one that grants.
pub(super) fn decide<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    request: &GrantRequest,
) -> GrantAnswer {
    let now_ms = clock::now_ms();
    let limits = &state.rate_limits;
    let candidates = scheduler::candidates(state, now_ms);
    let first = candidates.first();
    let is_first = first.is_none_or(|first| first.daemon_hash == state.daemon_hash);
    if limits.is_granter.replace(is_first) != is_first {
        // What another daemon grants meanwhile is unknown here.
        limits.granted.borrow_mut().clear();
        log::info!(granter = is_first; "rate_granter");
    }
    if !is_first {
        return GrantAnswer::NotGranter;
    }
    let Some(limit) = limits.limit_of(request.target_hash) else {
        return GrantAnswer::Granted;
    };
    let known = state.peers.borrow().member_count() + 1;
    let share = rate_limit::granted_share(known, state.registered_hosts.get() + 1);
    let mut granted = limits.granted.borrow_mut();
    granted.decide(request, limit, share, now_ms)
}
