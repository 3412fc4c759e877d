//! Trials that this daemon grants.

use std::net;

use super::{TrialDecision, TrialEnd, TrialRequest, TrialResponse};
use crate::{clock, platform, scheduler::PeerMessage, state};

/// Decides whether a request of another daemon may run, and sends the response.
pub fn handle_request<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &TrialRequest,
    sender: net::SocketAddr,
) {
    let report = (&request.suspects).into();
    state
        .suspects
        .borrow_mut()
        .merge_report(&report, clock::now_ms());
    let response = TrialResponse {
        id: request.id,
        answer: decide(state, request.id, &request.keys),
    };
    let message = PeerMessage::TrialResponse(response);
    state.scheduler.send(&message, sender);
}

/// Decides whether a request may run.
pub fn decide<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    id: u64,
    keys: &[u64],
) -> TrialDecision {
    let mut granted = state.trials.granted.borrow_mut();
    let mut suspects = state.suspects.borrow_mut();
    let answer = granted.request(id, keys, &mut suspects, clock::now_ms());
    answer.into()
}

/// Records the end of a trial and what it has shown.
pub fn handle_end<Codec, Store>(state: &state::RelayState<Codec, Store>, end: &TrialEnd) {
    let report = (&end.suspects).into();
    let mut suspects = state.suspects.borrow_mut();
    suspects.merge_report(&report, clock::now_ms());
    state.trials.granted.borrow_mut().end(end.id);
    state.trials.wake_waiting();
}
