//! Trials that this daemon grants.

use std::net;

use acaciabank_core::suspect;

use super::{TrialEnd, TrialRequest, TrialResponse};
use crate::{clock, platform, scheduler::PeerMessage, state};

/// Decides whether a request of another daemon may run, and sends the response.
pub fn handle_request<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &TrialRequest,
    sender: net::SocketAddr,
) {
    let mut suspects = state.suspects.borrow_mut();
    suspects.merge_report(&request.suspects, clock::now_ms());
    drop(suspects);
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
) -> suspect::TrialAnswer {
    let mut granted = state.trials.granted.borrow_mut();
    let suspects = state.suspects.borrow();
    granted.request(id, keys, &suspects, clock::now_ms())
}

/// Records the end of a trial and what it has shown.
pub fn handle_end<Codec, Store>(state: &state::RelayState<Codec, Store>, end: &TrialEnd) {
    let mut suspects = state.suspects.borrow_mut();
    suspects.merge_report(&end.suspects, clock::now_ms());
    state.trials.granted.borrow_mut().end(end.id, end.was_sent);
    state.trials.wake_waiting();
}
