//! Requests to plain services. A response is read completely before it is forwarded.

use std::{
    rc,
    time::{Duration, Instant},
};

use acaciabank_core::outlier;
use bytes::Bytes;
use http_body_util::{Either, Full};

use super::{
    attempt::{self, AttemptFailure},
    limits,
    refusal::{HttpResponse, RefusalResponse},
    request::{RelayRequest, RequestProgress},
    selection, stopping, suspects,
};
use crate::{clock, connection, platform, state, target, telemetry, usage};

/// Share of the target latency after which an attempt at a target is abandoned if the request may
/// be retried and another target accepts it, so that the other one can still respond in time.
const ATTEMPT_TIMEOUT_SHARE: f64 = 1.0;

/// Runs a request to its final response.
pub async fn run<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    mut progress: RequestProgress,
) -> Result<HttpResponse, RefusalResponse> {
    let result = run_attempts(state, request, &mut progress).await;
    attempt::cancel_retry(state, request, &mut progress);
    result
}

/// Makes attempts until one gives the final response.
async fn run_attempts<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    progress: &mut RequestProgress,
) -> Result<HttpResponse, RefusalResponse> {
    let mut failed_response = None;
    loop {
        if let Err(refusal) = suspects::wait_turn(state, request, progress.verdict).await {
            return failed_response.ok_or(refusal);
        }
        let target = match selection::select_target(state, request, progress).await {
            Ok(target) => target,
            Err(refusal) => return failed_response.ok_or(refusal),
        };
        match limits::admit(state, request, progress, &target).await {
            Ok(true) => {}
            Ok(false) => continue,
            Err(refusal) => return failed_response.ok_or(refusal),
        }
        let kind = attempt::CallKind::Run;
        // Another daemon may have reported a crash during the wait for a target.
        match suspects::check(state, request, progress.verdict) {
            Ok(true) => {}
            Ok(false) => continue,
            Err(refusal) => return failed_response.ok_or(refusal),
        }
        let work = stopping::PendingWork::Whole;
        if let Err(refusal) = stopping::check(state, request, progress.verdict, work) {
            return failed_response.ok_or(refusal);
        }
        if let Err(refusal) = attempt::reserve_retry(state, request, progress, kind) {
            return failed_response.ok_or(refusal);
        }
        progress.sends += 1;
        let _counted = usage::PendingRun::start(state, request);
        let result = run_until_replaced(state, request, progress, &target).await;
        attempt::record_call(state, request, progress, kind, &result);
        let failure = match result {
            Ok((head, body)) => {
                let is_final =
                    !head.status.is_server_error() || !request.route.kind.is_repeatable();
                let status = head.status;
                let response = into_response(head, body);
                if is_final {
                    record_end(state, request, &target, progress, status);
                    return Ok(response);
                }
                failed_response = Some(response);
                AttemptFailure::broken(format!("the target responded with status {status}"))
            }
            Err(failure) => failure,
        };
        if let Err(refusal) = attempt::decide_retry(request, &target, progress, &failure) {
            return failed_response.ok_or(refusal);
        }
    }
}

/// Runs an attempt. A target that has not responded for long is given up once another one accepts
/// requests: it may be sound, and go on.
async fn run_until_replaced<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    progress: &RequestProgress,
    target: &rc::Rc<target::TargetState>,
) -> Result<(http::response::Parts, Bytes), AttemptFailure> {
    let has_other = || selection::has_other_target(state, request, progress, target);
    tokio::select! {
        biased;
        result = run_attempt(state, request, target) => result,
        () = attempt::wait_replaceable(state, request, attempt_deadline(request, progress), has_other) => {
            state.record_outcome(target, outlier::TargetOutcome::Failed);
            Err(AttemptFailure::replaced(request))
        }
    }
}

async fn run_attempt<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    target: &rc::Rc<target::TargetState>,
) -> Result<(http::response::Parts, Bytes), AttemptFailure> {
    let deadline = request.deadline;
    let _work = target::TargetWork::start(target, 0);
    let metadata = platform::ForwardMetadata {
        target_id: &target.entry.id,
        deadline_ms: request.remaining_ms(),
        ..platform::ForwardMetadata::default()
    };
    let sent_ms = clock::now_ms();
    let response = attempt::exchange(state, request, target, &metadata, deadline).await?;
    let is_signed = response.metadata.signed;
    let collected = response.collect(&state.memory, deadline).await;
    let record = |outcome| state.record_outcome(target, outcome);
    match collected {
        Ok((head, _)) if head.status.is_success() && !is_signed => {
            record(outlier::TargetOutcome::Failed);
            Err(AttemptFailure::broken("the response has no signature"))
        }
        Ok((head, body)) => {
            record(outlier::TargetOutcome::Answered);
            if !head.status.is_server_error() {
                suspects::record_answer(state, request);
            }
            Ok((head, body))
        }
        Err(connection::BodyError::Timeout) => {
            record(outlier::TargetOutcome::Failed);
            Err(AttemptFailure::timeout(request))
        }
        // Other responses take this daemon's memory, which says nothing about the target.
        Err(error @ connection::BodyError::OutOfMemory) => {
            telemetry::count_overload(telemetry::OverloadReason::ResponseNoMemory, 1);
            Err(AttemptFailure::broken(error))
        }
        Err(error) => {
            record(outlier::TargetOutcome::Failed);
            suspects::confirm_crash(state, request, target, sent_ms);
            Err(AttemptFailure::broken(error))
        }
    }
}

/// Returns the time until which this attempt waits for the response if another target accepts it.
fn attempt_deadline(request: &RelayRequest, progress: &RequestProgress) -> Instant {
    let may_retry =
        request.route.kind.is_repeatable() && progress.runs + 1 < request.route.max_attempts;
    if !may_retry {
        return request.deadline;
    }
    let timeout_ms = request.route.target_latency_ms as f64 * ATTEMPT_TIMEOUT_SHARE;
    request
        .deadline
        .min(Instant::now() + Duration::from_millis(timeout_ms as u64))
}

fn into_response(head: http::response::Parts, body: Bytes) -> HttpResponse {
    let mut response = http::Response::new(Either::Left(Full::new(body)));
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    connection::remove_hop_headers(response.headers_mut());
    response
}

fn record_end<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    target: &target::TargetState,
    progress: &RequestProgress,
    status: http::StatusCode,
) {
    telemetry::record_latency(&request.route.name, request.arrival.elapsed());
    if status.is_success() {
        let time = request.read_at.elapsed();
        state.shutdown.record_first(&request.route.name, time);
    }
    log::info!(
        id = request.id.as_str(), route = request.route.name.as_str(),
        team = request.team_label(),
        target_id = target.entry.id.as_str(), status = status.as_u16(), sends = progress.sends, denials = progress.denials,
        config = request.config_version, elapsed_ms = request.elapsed_ms();
        "answered"
    );
}
