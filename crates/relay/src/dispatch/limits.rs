//! Grants for requests to targets that name a rate limit.

use super::{
    engines::EnginePlan,
    pause,
    refusal::RefusalResponse,
    request::{RelayRequest, RequestProgress},
    selection,
};
use crate::{clock, platform, rate_limit, state, target};

/// Number of targets without a grant after which a request is refused.
const MAX_DENIALS: u32 = 6;

/// Gets a grant for a request to a target if it names a limit; returns whether the request may be sent.
/// A target without a grant is not selected again before it may have one.
pub async fn admit<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    progress: &mut RequestProgress,
    target: &target::TargetState,
) -> Result<bool, RefusalResponse> {
    if !needs_grant(state, request, target.hash) {
        return Ok(true);
    }
    let team = request.team.as_ref().map(|team| team.hash);
    let granted = rate_limit::admit(state, target, request.priority, team).await;
    if let Some(grant) = granted {
        request.grants.borrow_mut().push(grant);
        return Ok(true);
    }
    log::debug!(id = request.id.as_str(), target_id = target.entry.id.as_str(); "rate_denied");
    progress.denials += 1;
    progress.wait_until = Some(selection::wait_deadline(request, progress));
    match progress.denials > MAX_DENIALS {
        true => Err(pause::refuse_limited(state, request, progress)),
        false => Ok(false),
    }
}

/// Gets grants for the engines of a plan that are called next, so that no prompt is processed for a
/// decode engine that will not take it.
pub async fn admit_plan<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    progress: &mut RequestProgress,
    plan: &EnginePlan,
    is_prefilled: bool,
) -> Result<bool, RefusalResponse> {
    if !admit(state, request, progress, &plan.decode).await? {
        return Ok(false);
    }
    match &plan.prefill {
        Some(engine) if !is_prefilled => admit(state, request, progress, engine).await,
        _ => Ok(true),
    }
}

/// Whether a request has a grant for a target that still takes it. What the target's limit leaves to
/// other requests does not matter.
pub fn is_granted(
    request: &RelayRequest,
    progress: &RequestProgress,
    target: &target::TargetState,
) -> bool {
    let now_ms = clock::now_ms();
    let grants = request.grants.borrow();
    let mut grants = grants.iter();
    grants.any(|grant| grant.permits(target.hash, now_ms))
        && target.takes_granted(now_ms)
        && !progress.excluded.contains(&target.hash)
}

/// Takes the grant of a request for a target, if it has one.
pub fn take_grant(request: &RelayRequest, target_hash: u64) -> Option<rate_limit::SendGrant> {
    let now_ms = clock::now_ms();
    let mut grants = request.grants.borrow_mut();
    let mut positions = grants.iter();
    let position = positions.position(|grant| grant.permits(target_hash, now_ms))?;
    metrics::counter!("acaciabank_limited_sends_total").increment(1);
    Some(grants.swap_remove(position))
}

/// Whether a request may be written to a target now, by the target's limit and the grant that was taken.
pub fn allows_write<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    target_hash: u64,
    grant: Option<&rate_limit::SendGrant>,
) -> bool {
    let now_ms = clock::now_ms();
    let is_granted = grant.is_some_and(|grant| grant.permits(target_hash, now_ms));
    is_granted || state.rate_limits.limit_of(target_hash).is_none()
}

/// Whether a target names a limit and the request has no grant for it.
fn needs_grant<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    target_hash: u64,
) -> bool {
    if state.rate_limits.limit_of(target_hash).is_none() {
        return false;
    }
    let now_ms = clock::now_ms();
    let grants = request.grants.borrow();
    !grants
        .iter()
        .any(|grant| grant.permits(target_hash, now_ms))
}
