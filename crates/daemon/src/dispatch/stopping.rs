//! Requests that the shutdown of the daemon refuses or ends.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::Instant,
};

use acaciabank_core::shutdown::PendingRequest;
use acaciabank_protocol::{reason, verdict::Verdict};

use super::{CallerRequest, placement, sink};
use crate::process;

/// Refuses a request that may not end before the process does, so that the caller sends it to
/// another daemon. `verdict` is that of the attempts so far. A response that has begun is resumed.
pub(super) fn check(
    state: &process::ProcessState,
    request: &CallerRequest,
    placement: &placement::RequestPlacement,
    read_at: Instant,
    sink: &sink::CallerSink,
    verdict: Verdict,
) -> Result<(), reason::Refusal> {
    let shutdown = &state.shutdown;
    let Some(times) = shutdown.times() else {
        return Ok(());
    };
    if sink.is_head_sent() {
        return Ok(());
    }
    let pending = PendingRequest {
        read_at,
        deadline: request.deadline,
        expected: placement.expected_time(),
    };
    let now = Instant::now();
    if !shutdown.has_ended() && times.accepts(&pending, now) {
        return Ok(());
    }
    log::info!(
        request_id = request.id.as_str(), team = request.team.as_str(),
        expected_ms = pending.expected.as_millis() as u64,
        stop_ms = times.end.saturating_duration_since(now).as_millis() as u64;
        "request refused: it may not end before the shutdown does"
    );
    let message = "the daemon is shutting down before the request can end";
    Err(process::shutdown_refusal(verdict, message))
}

/// Waits until the shutdown ends a request; returns the verdict. One that no target runs ends as
/// soon as the rest of its response cannot be written in time, so that its caller has time left to
/// send it to another daemon.
pub(super) async fn wait_ended(
    state: &process::ProcessState,
    request: &CallerRequest,
    may_have_run: &AtomicBool,
) -> Verdict {
    let times = state.shutdown.wait_begin().await;
    if request.deadline > times.end {
        let rest = placement::expected_rest(state, request);
        tokio::select! {
            () = tokio::time::sleep_until(times.latest_start(rest).into()) => {}
            () = state.shutdown.wait_end() => {}
        }
        if !may_have_run.load(Ordering::Acquire) {
            return Verdict::NotRun;
        }
    }
    state.shutdown.wait_end().await;
    match may_have_run.load(Ordering::Acquire) {
        true => Verdict::MayHaveRun,
        false => Verdict::NotRun,
    }
}

/// Records a request whose response has begun and is cut by the shutdown.
pub(super) fn record_interrupted(
    state: &process::ProcessState,
    request: &CallerRequest,
    sink: &sink::CallerSink,
    started: Instant,
) {
    state.shutdown.record_interrupted(&request.id);
    log::warn!(
        request_id = request.id.as_str(), team = request.team.as_str(),
        elapsed_ms = started.elapsed().as_millis() as u64,
        parts = sink.part_count();
        "response interrupted by the shutdown"
    );
}
