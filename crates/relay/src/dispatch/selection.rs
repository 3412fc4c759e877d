//! Selection of a target of a plain service, and waiting while no target accepts requests.

use std::{
    rc,
    time::{Duration, Instant},
};

use super::{
    pause,
    refusal::RefusalResponse,
    request::{RelayRequest, RequestProgress},
};
use crate::{clock, platform, state, target, telemetry::RefusalCause};

/// Interval at which a waiting request looks for a target.
pub const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Longest wait of a request while no target accepts requests, as a share of the target latency. A
/// refusal would cost the caller its single retry, and most targets accept requests again almost
/// immediately.
const MAX_WAIT_SHARE: f64 = 0.12;
/// Cost of a target in another availability zone, as a share of its slots.
const OTHER_ZONE_LOAD: f64 = 0.1;

/// Selects a target of a plain service, waiting briefly if none accepts requests.
pub async fn select_target<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    progress: &RequestProgress,
) -> Result<rc::Rc<target::TargetState>, RefusalResponse> {
    let deadline = wait_deadline(request, progress);
    loop {
        if let Some(target) = pick_service_target(state, request, progress) {
            return Ok(target);
        }
        pause::check_pauses(state, request, progress, deadline)?;
        wait_for_poll(state, request, progress, deadline).await?;
    }
}

/// Returns the time until which a request waits for a target. Targets that open and are taken by
/// others do not prolong it.
pub fn wait_deadline(request: &RelayRequest, progress: &RequestProgress) -> Instant {
    let wait_ms = request.route.target_latency_ms as f64 * MAX_WAIT_SHARE;
    let until = Instant::now() + Duration::from_millis(wait_ms as u64);
    let until = progress.wait_until.unwrap_or(until).min(until);
    request.deadline.min(until)
}

/// Waits for one poll interval; refuses the request once `deadline` has passed.
pub async fn wait_for_poll<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    progress: &RequestProgress,
    deadline: Instant,
) -> Result<(), RefusalResponse> {
    if Instant::now() >= deadline {
        log_unavailable(state, request, progress);
        return Err(RefusalResponse::after(
            RefusalCause::NoTarget,
            progress.verdict,
        ));
    }
    tokio::time::sleep(POLL_INTERVAL).await;
    Ok(())
}

/// Logs how many targets of the service of a request get no requests, by reason. Targets that have
/// crashed are missing, or ejected until the platform removes them from its list.
fn log_unavailable<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    request: &RelayRequest,
    progress: &RequestProgress,
) {
    use target::TargetAvailability as Availability;
    let now_ms = clock::now_ms();
    let targets = state.targets.borrow();
    let targets = targets.of_service(&request.service);
    let count = |availability: Availability| {
        let matching = targets
            .iter()
            .filter(|target| target.availability(now_ms) == availability);
        matching.count()
    };
    let accepting = targets.iter().filter(|target| target.is_accepting(now_ms));
    let decode = accepting.filter(|target| {
        target.stage(now_ms) == Some(acaciabank_core::placement::EngineStage::Decode)
    });
    log::info!(
        id = request.id.as_str(), service = request.service.as_str(), listed = targets.len(),
        accepting = count(Availability::Accepting), decode = decode.count(),
        leaving = count(Availability::Leaving), paused = count(Availability::Paused), limited = count(Availability::Limited), switching = count(Availability::Switching),
        backing_off = count(Availability::BackingOff), ejected = count(Availability::Ejected),
        excluded = progress.excluded.len();
        "targets_unavailable"
    );
}

/// Whether a target of a plain service other than `target` accepts the request.
pub fn has_other_target<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    progress: &RequestProgress,
    target: &target::TargetState,
) -> bool {
    let now_ms = clock::now_ms();
    let targets = state.targets.borrow();
    let mut others = targets.of_service(&request.service).iter().filter(|other| {
        other.hash != target.hash
            && other.is_accepting(now_ms)
            && !progress.excluded.contains(&other.hash)
    });
    others.next().is_some()
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
        .filter(|target| target.is_accepting(now_ms) && !progress.excluded.contains(&target.hash));
    let cost = |target: &rc::Rc<target::TargetState>| {
        let peer_running = peers.load_of(target.hash).running;
        let load =
            f64::from(peer_running + target.running.get()) / f64::from(target.entry.slots.max(1));
        let zone_load = if target.entry.zone == state.settings.zone {
            0.0
        } else {
            OTHER_ZONE_LOAD
        };
        let jitter = 0.05 * rand::random::<f64>();
        load + zone_load + jitter + target.detector.borrow().penalty_ms() / 400.0
    };
    let costs = accepting.map(|target| (cost(target), target));
    let best = costs.min_by(|left, right| left.0.total_cmp(&right.0));
    best.map(|(_, target)| rc::Rc::clone(target))
}
