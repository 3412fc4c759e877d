//! Calls to plain services: the whole answer is read before it is passed on.

use std::{
    rc,
    time::{Duration, Instant},
};

use acaciabank_core::judge;
use bytes::Bytes;
use http_body_util::{Either, Full};

use super::{
    attempt::{self, AttemptFailure},
    refusal::{RefusalResponse, Reply},
    request::{RelayRequest, RequestProgress},
    selection,
};
use crate::{connection, platform, state, target, telemetry};

/// Share of the target latency after which an idempotent request is given up at a target that has
/// not answered, while another one may still answer in time.
const ATTEMPT_TIMEOUT_RATIO: f64 = 1.0;

/// Runs a call to its answer.
pub async fn run<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    mut progress: RequestProgress,
) -> Result<Reply, RefusalResponse> {
    let mut failed_response = None;
    loop {
        let target = match selection::select_target(state, request, &progress).await {
            Ok(target) => target,
            Err(refusal) => return failed_response.ok_or(refusal),
        };
        let kind = attempt::CallKind::Run;
        if let Err(refusal) = attempt::reserve_retry(state, request, &mut progress, kind) {
            return failed_response.ok_or(refusal);
        }
        progress.sends += 1;
        let result = attempt(state, request, &progress, &target).await;
        attempt::record_call(state, request, &mut progress, kind, &result);
        let failure = match result {
            Ok((head, body)) => {
                let is_last = !head.status.is_server_error() || !request.route.kind.is_repeatable();
                let status = head.status;
                let reply = into_reply(head, body);
                if is_last {
                    log_end(request, &target, &progress, status);
                    return Ok(reply);
                }
                failed_response = Some(reply);
                AttemptFailure::broken(format!("the target answered with status {status}"))
            }
            Err(failure) => failure,
        };
        if let Err(refusal) = attempt::decide_retry(request, &target, &mut progress, &failure) {
            return failed_response.ok_or(refusal);
        }
    }
}

async fn attempt<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    progress: &RequestProgress,
    target: &rc::Rc<target::TargetState>,
) -> Result<(http::response::Parts, Bytes), AttemptFailure> {
    let until = until(request, progress);
    let _work = target::TargetWork::start(target, 0, 0);
    let terms = platform::ForwardMetadata {
        target_id: &target.entry.id,
        deadline_ms: request.time_left_ms(),
        ..platform::ForwardMetadata::default()
    };
    let answer = attempt::exchange(state, request, target, &terms, until).await?;
    let is_signed = answer.terms.signed;
    let collected = answer.collect(until).await;
    let record = |outcome| state.record_outcome(target, outcome);
    match collected {
        Ok((head, _)) if head.status.is_success() && !is_signed => {
            record(judge::TargetOutcome::Failed);
            Err(AttemptFailure::broken("the answer has no signature"))
        }
        Ok((head, body)) => {
            record(judge::TargetOutcome::Answered);
            Ok((head, body))
        }
        Err(attempt::CollectError::Broken(message)) => {
            record(judge::TargetOutcome::Failed);
            Err(AttemptFailure::broken(message))
        }
        Err(attempt::CollectError::Timeout) => {
            record(judge::TargetOutcome::Failed);
            Err(AttemptFailure::timeout(request))
        }
    }
}

/// Time until which an answer of this attempt is waited for.
fn until(request: &RelayRequest, progress: &RequestProgress) -> Instant {
    let may_repeat =
        request.route.kind.is_repeatable() && progress.runs + 1 < request.route.max_attempts;
    if !may_repeat {
        return request.deadline;
    }
    let share = request.route.target_latency_ms as f64 * ATTEMPT_TIMEOUT_RATIO;
    request
        .deadline
        .min(Instant::now() + Duration::from_millis(share as u64))
}

fn into_reply(head: http::response::Parts, body: Bytes) -> Reply {
    let mut reply = http::Response::new(Either::Left(Full::new(body)));
    *reply.status_mut() = head.status;
    *reply.headers_mut() = head.headers;
    connection::remove_hop_headers(reply.headers_mut());
    reply
}

fn log_end(
    request: &RelayRequest,
    target: &target::TargetState,
    progress: &RequestProgress,
    status: http::StatusCode,
) {
    telemetry::record_latency(&request.route.name, request.arrival.elapsed());
    log::info!(
        id = request.id.as_str(), route = request.route.name.as_str(),
        target_id = target.entry.id.as_str(), status = status.as_u16(), sends = progress.sends,
        config = request.config_version, elapsed_ms = request.elapsed_ms();
        "answered"
    );
}
