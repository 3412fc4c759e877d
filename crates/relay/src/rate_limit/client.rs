//! Grants that this daemon asks for.

use std::time::Duration;

use acaciabank_core::rate_limit::{GRANT_TTL_MS, GrantAnswer, GrantRequest};

use super::{GrantQuestion, GrantReply, LimitEntry, server};
use crate::{
    clock, platform,
    scheduler::{self, PeerMessage},
    state, target,
};

/// Time limit for the answer to a question: a round trip between availability zones, and the time
/// that other tasks take on a small host.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Daemons that are asked.
const MAX_GRANTERS: usize = 2;
/// Time for which a target is left out if no daemon grants requests to it.
const UNANSWERED_PAUSE_MS: u32 = 250;

/// Permission to write one request to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendGrant {
    /// Hash of the target's incarnation.
    pub target_hash: u64,
    /// Time until which the request may be written.
    until_ms: u64,
}

impl SendGrant {
    /// Whether it permits a request to a target now.
    pub fn permits(&self, target_hash: u64, now_ms: u64) -> bool {
        self.target_hash == target_hash && now_ms < self.until_ms
    }
}

/// Asks for the permission to send a request to a target with a limit. Without one the target is left
/// out for as long as the answer says, and `None` is returned.
pub async fn admit<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    target: &target::TargetState,
    priority: u8,
    team: Option<u64>,
) -> Option<SendGrant> {
    let request = GrantRequest {
        id: rand::random(),
        target_hash: target.hash,
        priority,
        team,
    };
    let answer = request_grant(state, request).await;
    let label = match answer {
        Some(GrantAnswer::Granted) => "granted",
        Some(GrantAnswer::Denied { .. }) => "denied",
        Some(GrantAnswer::NotGranter) => "not_granter",
        None => "unanswered",
    };
    metrics::counter!("acaciabank_rate_grants_total", "answer" => label).increment(1);
    let now_ms = clock::now_ms();
    let (open_in_ms, return_in_ms) = match answer {
        Some(GrantAnswer::Granted) => {
            return Some(SendGrant {
                target_hash: target.hash,
                until_ms: now_ms + GRANT_TTL_MS,
            });
        }
        Some(GrantAnswer::Denied {
            open_in_ms,
            return_in_ms,
        }) => (open_in_ms, return_in_ms),
        Some(GrantAnswer::NotGranter) | None => (UNANSWERED_PAUSE_MS, UNANSWERED_PAUSE_MS),
    };
    target.hold_back(target::HeldTarget {
        open_ms: now_ms + u64::from(open_in_ms),
        return_ms: now_ms + u64::from(return_in_ms),
    });
    None
}

/// Asks the daemons of the first ranks; returns `None` if none of them answers.
async fn request_grant<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: GrantRequest,
) -> Option<GrantAnswer> {
    let candidates = scheduler::candidates(state, clock::now_ms());
    if candidates.is_empty() {
        // This daemon stops and knows no other one.
        return Some(server::decide(state, &request));
    }
    let mut last_answer = None;
    for candidate in candidates.iter().take(MAX_GRANTERS) {
        let answer = match candidate.daemon_hash == state.daemon_hash {
            true => Some(server::decide(state, &request)),
            false => ask(state, &request, candidate.daemon_hash).await,
        };
        match answer {
            Some(GrantAnswer::NotGranter) | None => last_answer = answer.or(last_answer),
            Some(answer) => return Some(answer),
        }
    }
    last_answer
}

/// Asks one daemon; returns `None` without an answer in time.
async fn ask<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &GrantRequest,
    granter: u64,
) -> Option<GrantAnswer> {
    let address = state.peers.borrow().address_of(granter)?;
    let limits = &state.rate_limits;
    let id = request.id;
    let record = limits.known.borrow().record_of(request.target_hash);
    let now_ms = clock::now_ms();
    let message = PeerMessage::GrantRequest(GrantQuestion {
        request: *request,
        limit: record.map(|record| LimitEntry::new(request.target_hash, record, now_ms)),
    });
    let send = || state.scheduler.send(&message, address);
    limits.pending.ask(id, ANSWER_TIMEOUT, send).await
}

/// Passes a response to the task that waits for it.
pub fn receive_response<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    response: GrantReply,
) {
    let pending = &state.rate_limits.pending;
    pending.resolve(response.id, response.answer);
}
