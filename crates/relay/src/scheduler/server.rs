//! Answers of this daemon as a scheduler.

use std::net;

use acaciabank_core::refuse;

use super::{
    PeerMessage, PlacedEngines, PlacedWork, PlacementRequest, PlacementResponse, PlacementUpdate,
};
use crate::{clock, dispatch, edge, state};

/// Time after the deadline of a request after which its work is forgotten.
const EXPIRY_SLACK_MS: u64 = 1_000;
/// Work kept for other daemons at most. What is beyond it is placed and not counted.
const MAX_PLACED: usize = 20_000;

/// Places a prompt for another daemon.
pub fn handle_request<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::SharedState<Codec, Store>,
    question: &PlacementRequest,
    sender: net::SocketAddr,
) {
    let engines = place(state, question);
    let answer = PlacementResponse {
        id: question.id,
        engines,
    };
    state.scheduler.send(&PeerMessage::Response(answer), sender);
}

fn place<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::SharedState<Codec, Store>,
    question: &PlacementRequest,
) -> Option<PlacedEngines> {
    let now_ms = clock::now_ms();
    let prefilled = question.prefilled.map(|hash| {
        let targets = state.targets.borrow();
        targets.by_hash(hash).cloned()
    });
    let prefilled = match prefilled {
        None => None,
        // The engine that has processed the prompt is not known here.
        Some(None) => return None,
        Some(known) => known,
    };
    let prompt = dispatch::PromptView {
        service: &question.service,
        parts: &question.parts,
        prompt_tokens: question.prompt_tokens,
        avoided: &question.avoided,
        zone: question.zone,
    };
    let plan = dispatch::pick_engines(state, &prompt, prefilled.as_ref())?;
    let verdict = refuse::decide(&question.terms, plan.wait_ms, plan.first_token_ms, 0.0);
    // A request that is going to be refused is not counted.
    if prefilled.is_some() || verdict == refuse::IntakeVerdict::Accept {
        let work = plan.commit(state, &question.parts, prefilled.is_some());
        let mut placed = state.scheduler.placed.borrow_mut();
        if placed.len() < MAX_PLACED {
            let until_ms = now_ms + question.terms.left_ms + EXPIRY_SLACK_MS;
            let kept = PlacedWork {
                work,
                parts: question.parts.clone(),
                until_ms,
            };
            placed.insert(question.id, kept);
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
    })
}

/// Takes news of placed prompts and of engines.
pub fn apply_update<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::RelayState<Codec, Store>,
    news: &PlacementUpdate,
) {
    let mut placed = state.scheduler.placed.borrow_mut();
    for id in &news.started {
        if let Some(kept) = placed.get(id) {
            kept.work.end_prefill();
            state.record_parts(&kept.work.target, &kept.parts, state::PartsReady::Now);
        }
    }
    for id in &news.ended {
        placed.remove(id);
    }
    let targets = state.targets.borrow();
    let now_ms = clock::now_ms();
    for (hash, outcome) in &news.outcomes {
        if let Some(target) = targets.by_hash(*hash) {
            target.judge.borrow_mut().record(*outcome, now_ms);
        }
    }
}
