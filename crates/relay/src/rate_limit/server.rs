//! Grants that this daemon gives.

use std::net;

use acaciabank_core::rate_limit::{GrantAnswer, GrantRequest};
use serde::{Deserialize, Serialize};

use super::{LimitEntry, apply_limits};
use crate::{
    clock, platform,
    scheduler::{self, PeerMessage},
    state,
};

/// Share of the registered daemons from which a part of the fleet grants whole limits.
const MAJORITY_SHARE: f64 = 0.5;

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
    let share = fleet_share(state);
    let mut granted = limits.granted.borrow_mut();
    granted.decide(request, limit, share, now_ms)
}

/// Returns the share of the limits that this daemon grants: all of it, unless most of the daemons are
/// not known, as they may have a granter of their own.
fn fleet_share<Codec, Store>(state: &state::RelayState<Codec, Store>) -> f64 {
    let known = state.peers.borrow().member_count() + 1;
    let registered = state.registered_hosts.get() + 1;
    let share = known as f64 / registered as f64;
    match share < MAJORITY_SHARE {
        true => share,
        false => 1.0,
    }
}
