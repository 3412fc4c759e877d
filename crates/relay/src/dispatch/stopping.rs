//! Requests that the stop of the daemon refuses or ends.

use std::{future, time::Instant};

use acaciabank_core::shutdown::PendingRequest;
use acaciabank_protocol::verdict::Verdict;

use super::{refusal::RefusalResponse, request::RelayRequest};
use crate::{state, telemetry::RefusalCause};

/// Refuses a request that may not end before the process does, so that the caller retries at
/// another daemon immediately. `verdict` is that of the attempts so far. A stream that has begun is
/// not refused.
pub fn check<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    verdict: Verdict,
) -> Result<(), RefusalResponse> {
    let Some(times) = state.shutdown.times() else {
        return Ok(());
    };
    let route = &request.route;
    let expected_first = state.shutdown.expected_first(route);
    let expected_rest = state.shutdown.expected_rest(route, request.max_tokens());
    let pending = PendingRequest {
        read_at: request.read_at,
        deadline: request.deadline,
        expected: expected_first + expected_rest,
    };
    let now = Instant::now();
    if request.has_output.get() || times.accepts(&pending, now) {
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
