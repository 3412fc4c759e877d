//! Refusal of requests to a service all of whose targets want no requests for now: they have asked
//! for a pause, or their rate limits leave none.

use std::time::{Duration, Instant};

use acaciabank_core::{placement, target_signal};

use super::{
    refusal::RefusalResponse,
    request::{RelayRequest, RequestProgress},
};
use crate::{clock, platform, state, target, telemetry::RefusalCause};

/// Refuses a request if no target can take it before `deadline` because all of them are closed. The
/// caller may return when the first one opens.
pub fn check_pauses<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    progress: &RequestProgress,
    deadline: Instant,
) -> Result<(), RefusalResponse> {
    let Some(first) = first_opening(state, request, progress) else {
        return Ok(());
    };
    let remaining_ms = first.open_ms.saturating_sub(clock::now_ms());
    if Instant::now() + Duration::from_millis(remaining_ms) <= deadline {
        return Ok(());
    }
    Err(refuse_until(request, progress, first))
}

/// Refuses a request that has got no grant for any target that was tried.
pub fn refuse_limited<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    progress: &RequestProgress,
) -> RefusalResponse {
    match first_opening(state, request, progress) {
        Some(first) => refuse_until(request, progress, first),
        None => RefusalResponse::after(RefusalCause::TargetsLimited, progress.verdict),
    }
}

fn refuse_until(
    request: &RelayRequest,
    progress: &RequestProgress,
    first: target::ClosedTarget,
) -> RefusalResponse {
    let remaining_ms = first.return_ms.saturating_sub(clock::now_ms());
    let priority = request.priority;
    let return_ms = target_signal::retry_after_ms(remaining_ms, priority, rand::random());
    let cause = match first.cause {
        target::ClosedCause::Pause => RefusalCause::TargetsPaused,
        target::ClosedCause::Limit => RefusalCause::TargetsLimited,
    };
    let refusal = RefusalResponse::after(cause, progress.verdict);
    RefusalResponse {
        retry_after_ms: refusal.retry_after_ms.map(|_| return_ms),
        ..refusal
    }
}

/// Returns the target of a service that opens first, or `None` if a target is open or none is left.
fn first_opening<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    progress: &RequestProgress,
) -> Option<target::ClosedTarget> {
    let now_ms = clock::now_ms();
    let targets = state.targets.borrow();
    let targets = targets.of_service(&request.service).iter();
    let mut first: Option<target::ClosedTarget> = None;
    for target in targets.filter(|target| can_run(target, now_ms)) {
        match target.closed(now_ms) {
            Some(closed) if first.is_none_or(|first| closed.open_ms < first.open_ms) => {
                first = Some(closed);
            }
            Some(_) => {}
            // A target that has failed the request is of no use to it.
            None if progress.excluded.contains(&target.hash) => {}
            None => return None,
        }
    }
    first
}

/// Whether a target could run the request apart from a pause or limit. A prefill engine alone cannot.
fn can_run(target: &target::TargetState, now_ms: u64) -> bool {
    let is_leaving = target.is_draining.get() || target.is_leaving() || target.is_replaced.get();
    !is_leaving && target.stage(now_ms) != Some(placement::EngineStage::Prefill)
}
