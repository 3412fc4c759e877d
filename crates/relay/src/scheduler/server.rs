//! Placement of prompts by this daemon as a scheduler.

use std::net;

use acaciabank_core::{load_shed, outlier};

use super::{
    PeerMessage, PlacedEngines, PlacedWork, PlacementRequest, PlacementResponse, PlacementUpdate,
};
use crate::{clock, dispatch, platform, state};

/// Time after a request's deadline at which its work expires if its end was not reported.
const EXPIRY_SLACK_MS: u64 = 1_000;
/// Placed prompts that are counted as load. Further ones are placed without being counted.
const MAX_PLACED: usize = 20_000;

/// Time from the end of a prompt until its scheduler hears of it: the delay of an update and the
/// way of the request and the update.
const REPORT_DELAY_MS: f64 = 10.0;

/// Places a prompt for another daemon and sends it the response.
pub fn handle_request<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &PlacementRequest,
    sender: net::SocketAddr,
) {
    let engines = place(state, request);
    let response = PlacementResponse {
        id: request.id,
        engines,
    };
    state
        .scheduler
        .send(&PeerMessage::Response(response), sender);
}

fn place<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &PlacementRequest,
) -> Option<PlacedEngines> {
    let now_ms = clock::now_ms();
    let prefilled = request.prefilled.map(|hash| {
        let targets = state.targets.borrow();
        targets.by_hash(hash).cloned()
    });
    let prefilled = match prefilled {
        None => None,
        // This daemon does not know the engine that has processed the prompt.
        Some(None) => return None,
        Some(known) => known,
    };
    let prompt = dispatch::PromptView {
        service: &request.service,
        parts: &request.parts,
        prompt_tokens: request.prompt_tokens,
        priority: request.intake.priority,
        excluded: &request.excluded,
        software: request.software,
        zone_hash: request.zone_hash,
    };
    let mut plan = dispatch::pick_engines(state, &prompt, prefilled.as_ref())?;
    let is_placed = match prefilled {
        Some(_) => true,
        None => {
            let team = request.team;
            let decided = dispatch::decide_share(state, &prompt, team, &plan, &request.intake);
            plan.wait_factor = decided.wait_factor;
            decided.decision == load_shed::IntakeDecision::Accept
        }
    };
    // A request that the other daemon will refuse is not counted as load.
    if is_placed {
        let work = plan.reserve(
            state,
            &request.parts,
            request.intake.priority,
            prefilled.is_some(),
        );
        let mut placed = state.scheduler.placed.borrow_mut();
        if placed.len() < MAX_PLACED {
            let expires_ms = now_ms + request.intake.remaining_ms + EXPIRY_SLACK_MS;
            let entry = PlacedWork {
                work,
                parts: request.parts.clone(),
                expires_ms,
            };
            placed.insert(request.id, entry);
        }
    }
    Some(PlacedEngines {
        prefill: plan.prefill.as_ref().map(|engine| engine.hash),
        decode: plan.decode.hash,
        source: plan.source.as_ref().map(|engine| engine.hash),
        uncached_tokens: plan.uncached_tokens,
        first_token_ms: plan.first_token_ms,
        prompt_ms: plan.prompt_ms,
        wait_ms: plan.wait_ms,
        transfer_ms: plan.transfer_ms,
        wait_factor: plan.wait_factor,
    })
}

/// Applies the reported progress of placed prompts and the outcomes at engines.
pub fn apply_update<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    update: &PlacementUpdate,
) {
    let mut placed = state.scheduler.placed.borrow_mut();
    for id in &update.prefill_ended {
        if let Some(entry) = placed.get(id) {
            if let Some(processed) = entry.work.end_prefill() {
                let overhead_ms = dispatch::PREFILL_OVERHEAD_MS + REPORT_DELAY_MS;
                state.record_prompt_speed(&entry.work.target, processed, overhead_ms);
            }
            state.record_parts(&entry.work.target, &entry.parts, state::PartsReady::Now);
        }
    }
    for id in &update.ended {
        placed.remove(id);
    }
    let targets = state.targets.borrow();
    let now_ms = clock::now_ms();
    for (hash, outcome) in &update.outcomes {
        if let Some(target) = targets.by_hash(*hash) {
            target.detector.borrow_mut().record(*outcome, now_ms);
            if *outcome == outlier::TargetOutcome::Answered {
                target.has_responded.set(true);
            }
        }
    }
}
