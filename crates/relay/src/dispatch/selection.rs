//! Choice of a target for a plain service, and the wait for targets that are away.

use std::{
    rc,
    time::{Duration, Instant},
};

use super::{
    refusal::RefusalResponse,
    request::{RelayRequest, RequestProgress},
};
use crate::{clock, platform, state, target, telemetry::RefusalCause};

/// Time between two looks for a target while none accepts work.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Part of the target latency for which a request waits while no target accepts work: a caller has
/// one retry, and most targets are back at once.
const WAIT_RATIO: f64 = 0.12;
/// Load of a service target that counts as much as the way to another zone.
const REMOTE_ZONE_LOAD: f64 = 0.1;

/// Waits a little for a target of a plain service.
pub async fn select_target<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    progress: &RequestProgress,
) -> Result<rc::Rc<target::TargetState>, RefusalResponse> {
    let until = wait_deadline(request);
    loop {
        if let Some(target) = pick_service_target(state, request, progress) {
            return Ok(target);
        }
        wait_for_poll(until, progress).await?;
    }
}

/// Time until which a request waits for a target.
pub fn wait_deadline(request: &RelayRequest) -> Instant {
    let wait_ms = request.route.target_latency_ms as f64 * WAIT_RATIO;
    request
        .deadline
        .min(Instant::now() + Duration::from_millis(wait_ms as u64))
}

/// Waits until the next look for a target.
pub async fn wait_for_poll(
    until: Instant,
    progress: &RequestProgress,
) -> Result<(), RefusalResponse> {
    if Instant::now() >= until {
        return Err(RefusalResponse::after(
            RefusalCause::NoTarget,
            progress.verdict,
        ));
    }
    tokio::time::sleep(POLL_INTERVAL).await;
    Ok(())
}

fn pick_service_target<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    progress: &RequestProgress,
) -> Option<rc::Rc<target::TargetState>> {
    let now_ms = clock::now_ms();
    state.peers.borrow_mut().refresh_loads(now_ms);
    let targets = state.targets.borrow();
    let peers = state.peers.borrow();
    let accepting = targets
        .of_service(&request.service)
        .iter()
        .filter(|target| target.is_accepting(now_ms) && !progress.avoided.contains(&target.hash));
    let cost = |target: &rc::Rc<target::TargetState>| {
        let others = peers.load_of(target.hash).running;
        let load = f64::from(others + target.running.get()) / f64::from(target.entry.slots.max(1));
        let far = if target.entry.zone == state.settings.zone {
            0.0
        } else {
            REMOTE_ZONE_LOAD
        };
        let spread = 0.05 * rand::random::<f64>();
        load + far + spread + target.judge.borrow().penalty_ms() / 400.0
    };
    let priced = accepting.map(|target| (cost(target), target));
    let best = priced.min_by(|left, right| left.0.total_cmp(&right.0));
    best.map(|(_, target)| rc::Rc::clone(target))
}
