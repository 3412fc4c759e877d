//! Refusal of requests to a service all of whose targets want no requests for now.

use std::time::{Duration, Instant};

use acaciabank_core::{placement, target_signal};

use super::{
    refusal::RefusalResponse,
    request::{RelayRequest, RequestProgress},
};
use crate::{clock, platform, state, target, telemetry::RefusalCause};

/// Refuses a request if no target can take it before `deadline` because all of them are paused. The
/// caller may return when the first pause ends.
pub fn check_pauses<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    progress: &RequestProgress,
    deadline: Instant,
) -> Result<(), RefusalResponse> {
    let Some(remaining_ms) = shortest_pause_ms(state, request, progress) else {
        return Ok(());
    };
    if Instant::now() + Duration::from_millis(remaining_ms) <= deadline {
        return Ok(());
    }
    let priority = request.priority;
    let return_ms = target_signal::retry_after_ms(remaining_ms, priority, rand::random());
    let refusal = RefusalResponse::after(RefusalCause::TargetsPaused, progress.verdict);
    Err(RefusalResponse {
        retry_after_ms: refusal.retry_after_ms.map(|_| return_ms),
        ..refusal
    })
}

/// Returns the time until the first pause of a service's targets ends, or `None` if a target is not
/// paused or none is left.
fn shortest_pause_ms<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    progress: &RequestProgress,
) -> Option<u64> {
    let now_ms = clock::now_ms();
    let targets = state.targets.borrow();
    let targets = targets.of_service(&request.service).iter();
    let mut first_end_ms = None;
    for target in targets.filter(|target| can_run(target, now_ms)) {
        match target.paused_until_ms(now_ms) {
            Some(until_ms) => {
                first_end_ms =
                    Some(first_end_ms.map_or(until_ms, |first: u64| first.min(until_ms)));
            }
            // A target that has failed the request is of no use to it.
            None if progress.excluded.contains(&target.hash) => {}
            None => return None,
        }
    }
    first_end_ms.map(|end_ms| end_ms - now_ms)
}

/// Whether a target could run the request apart from a pause. A prefill engine alone cannot.
fn can_run(target: &target::TargetState, now_ms: u64) -> bool {
    let is_leaving = target.is_draining.get() || target.is_leaving() || target.is_replaced.get();
    !is_leaving && target.stage(now_ms) != Some(placement::EngineStage::Prefill)
}
