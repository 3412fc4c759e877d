//! Requests that the stop of the daemon refuses or ends.

use std::{future, time::Instant};

use acaciabank_core::shutdown::PendingRequest;
use acaciabank_protocol::verdict::Verdict;

use super::{refusal::RefusalResponse, request::RelayRequest};
use crate::{state, telemetry::RefusalCause};

/// What a target still has to do for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingWork {
    /// The whole request.
    Whole,
    /// To generate the tokens of a prompt that has been processed.
    Decode,
}

/// Refuses a request that may not end before the process does, so that the caller retries at
/// another daemon immediately. `verdict` is that of the attempts so far. A stream that has begun
/// goes on as long as a target can be asked for more of it.
pub fn check<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    verdict: Verdict,
    work: PendingWork,
) -> Result<(), RefusalResponse> {
    let Some(times) = state.shutdown.times() else {
        return Ok(());
    };
    let now = Instant::now();
    let pending = pending_request(state, request, work);
    let is_accepted = match request.has_output.get() {
        true => times.allows_resume(now),
        false => times.accepts(&pending, now),
    };
    if is_accepted {
        return Ok(());
    }
    log::info!(
        id = request.id.as_str(), expected_ms = pending.expected.as_millis() as u64,
        left_ms = request.remaining_ms(),
        stop_ms = times.end.saturating_duration_since(now).as_millis() as u64;
        "stop_refused"
    );
    Err(refusal(verdict))
}

/// Whether a request may be sent to another target now.
pub fn allows_attempt<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
) -> bool {
    let pending = || pending_request(state, request, PendingWork::Whole);
    let times = state.shutdown.times();
    times.is_none_or(|times| times.accepts(&pending(), Instant::now()))
}

fn pending_request<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    work: PendingWork,
) -> PendingRequest {
    let rest = state
        .shutdown
        .expected_rest(&request.route, request.max_tokens());
    let expected = match work {
        PendingWork::Whole => state.shutdown.expected_first(&request.route) + rest,
        PendingWork::Decode => rest,
    };
    PendingRequest {
        read_at: request.read_at,
        deadline: request.deadline,
        expected,
    }
}

/// Creates the refusal of a request that the stop leaves no time for.
pub fn refusal(verdict: Verdict) -> RefusalResponse {
    let refusal = RefusalResponse::after(RefusalCause::Stopping, verdict);
    RefusalResponse {
        retry_after_ms: refusal.retry_after_ms.map(|_| 0),
        ..refusal
    }
}

/// Waits until a request without a response cannot get a whole one before the process ends, or until
/// the process ends; returns its refusal.
pub async fn wait_ended<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
) -> RefusalResponse {
    let times = state.shutdown.wait_begin().await;
    // Its deadline ends it in time.
    if request.deadline <= times.end {
        return future::pending().await;
    }
    let rest = state
        .shutdown
        .expected_rest(&request.route, request.max_tokens());
    tokio::time::sleep_until(times.latest_start(rest).into()).await;
    if request.sent.verdict() == Verdict::NotRun {
        return refusal(Verdict::NotRun);
    }
    state.shutdown.wait_end().await;
    refusal(request.sent.verdict())
}
