//! Choice of engines for a generation request: by a scheduler, or by what this daemon knows.

use std::{net, rc};

use acaciabank_core::{parts, place, refuse};

use super::{
    choose,
    refusal::RefusalAnswer,
    request::{RelayRequest, RequestProgress},
};
use crate::{clock, config, edge, scheduler, state, target};

/// One-way distances inside an availability zone and between zones.
const NEAR_MS: f64 = 0.2;
const FAR_MS: f64 = 1.5;
/// Speeds of the engines as requests see them; see docs/CAPACITY.md.
const PREFILL_TOKENS_PER_MS: f64 = 38.0;
const DECODE_PREFILL_TOKENS_PER_MS: f64 = 19.0;
/// Time for a prompt besides its tokens: a step of the engine and the way there.
const PROMPT_BASE_MS: f64 = 12.0;
/// Time from a prefill to the first token besides the transfer: one step and the set-up of it.
const HANDOVER_MS: f64 = 14.0;
/// Time that each running request adds to a step.
const RUNNING_MS: f64 = 0.5;

/// Engines for a generation request.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    /// Engine that processes the prompt for another one.
    pub prefill: Option<rc::Rc<target::TargetState>>,
    /// Engine that generates.
    pub decode: rc::Rc<target::TargetState>,
    /// Engine that holds the beginning of the prompt, for the one that processes the rest.
    pub source: Option<rc::Rc<target::TargetState>>,
    /// Prompt tokens that have to be processed.
    pub uncached_tokens: u64,
    /// Expected time to the first token.
    pub first_token_ms: f64,
    /// Expected time until the prompt is processed.
    pub prompt_ms: f64,
    /// The part of the time to the first token that other requests cause.
    pub wait_ms: f64,
    /// The scheduler's count of the work, if one has placed it.
    pub assigned: Option<rc::Rc<scheduler::AssignedWork>>,
}

/// Work at an engine, counted until dropped.
#[derive(Debug)]
pub enum EngineWork {
    /// By this daemon.
    Own(target::TargetWork),
    /// By a scheduler.
    Assigned(rc::Rc<scheduler::AssignedWork>),
}

impl EngineWork {
    /// The prompt has been processed, or its KV cache fetched: the engine holds its parts.
    pub fn end_prefill<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
        &self,
        state: &state::RelayState<Codec, Store>,
        parts: &[parts::PromptPart],
    ) {
        match self {
            Self::Own(work) => {
                work.end_prefill();
                state.record_parts(&work.target, parts, state::PartsReady::Now);
            }
            Self::Assigned(work) => work.end_prefill(),
        }
    }
}

impl EnginePlan {
    /// Address of the engine that holds the beginning of the prompt.
    pub fn source_address(&self) -> Option<net::SocketAddr> {
        self.source.as_ref().map(|engine| engine.entry.address)
    }

    /// Counts the work of the next call: at the engine that generates if it or another one has
    /// processed the prompt already.
    pub fn start_work<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
        &self,
        state: &state::RelayState<Codec, Store>,
        parts: &[parts::PromptPart],
        is_prefilled: bool,
    ) -> EngineWork {
        match &self.assigned {
            Some(work) => EngineWork::Assigned(rc::Rc::clone(work)),
            None => EngineWork::Own(self.commit(state, parts, is_prefilled)),
        }
    }

    /// The same, counted by this daemon, which also records what the engine will hold.
    pub fn commit<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
        &self,
        state: &state::RelayState<Codec, Store>,
        parts: &[parts::PromptPart],
        is_prefilled: bool,
    ) -> target::TargetWork {
        if is_prefilled {
            let transfer_ms = (self.first_token_ms - self.wait_ms) as u64;
            let ready = state::PartsReady::Expected(transfer_ms);
            state.record_parts(&self.decode, parts, ready);
            return target::TargetWork::start(&self.decode, 0, transfer_ms);
        }
        let engine = self.prefill.as_ref().unwrap_or(&self.decode);
        let ready = state::PartsReady::Expected(self.prompt_ms as u64);
        state.record_parts(engine, parts, ready);
        target::TargetWork::start(engine, self.uncached_tokens, 0)
    }
}

/// A prompt for which engines are chosen.
#[derive(Clone, Copy, Debug)]
pub struct PromptView<'a> {
    /// Service.
    pub service: &'a str,
    /// Parts of the prompt.
    pub parts: &'a [parts::PromptPart],
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Short names of engines that have failed the request.
    pub avoided: &'a [u64],
    /// Availability zone of the daemon that sends it, as a number that only serves to compare.
    pub zone: u64,
}

impl PromptView<'_> {
    /// Key of the part that the prompt shares with most others.
    fn shared_key(&self) -> u64 {
        let shared = shared_parts(self.parts).last();
        shared.map_or(0, |part| part.key)
    }
}

/// Waits a little for engines for a generation request; only for one that generates if the engine
/// `prefilled` has processed the prompt. A scheduler chooses them, or this daemon when none answers.
pub async fn engine_plan<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    progress: &RequestProgress,
    prefilled: Option<&rc::Rc<target::TargetState>>,
) -> Result<EnginePlan, RefusalAnswer> {
    let until = choose::wait_until(request);
    let prompt = PromptView {
        service: &request.service,
        parts: &request.parts,
        prompt_tokens: request.prompt_tokens(),
        avoided: &progress.avoided,
        zone: state.zone_hash,
    };
    let terms = request.intake_terms(progress);
    loop {
        if let Some(plan) = scheduled_plan(state, &prompt, terms, prefilled).await {
            return Ok(plan);
        }
        if let Some(plan) = pick_engines(state, &prompt, prefilled) {
            return Ok(plan);
        }
        choose::look_later(until, progress).await?;
    }
}

/// Engines that a scheduler has chosen, if this daemon also finds that they accept the work.
async fn scheduled_plan<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::SharedState<Codec, Store>,
    prompt: &PromptView<'_>,
    terms: refuse::IntakeTerms,
    prefilled: Option<&rc::Rc<target::TargetState>>,
) -> Option<EnginePlan> {
    let question = scheduler::PlacementRequest {
        id: 0,
        service: prompt.service.to_owned(),
        zone: prompt.zone,
        prompt_tokens: prompt.prompt_tokens,
        parts: prompt.parts.to_vec(),
        avoided: prompt.avoided.to_vec(),
        prefilled: prefilled.map(|engine| engine.hash),
        terms,
    };
    let (placed, work) =
        scheduler::request_placement(state, &question, prompt.shared_key()).await?;
    let now_ms = clock::now_ms();
    let targets = state.targets.borrow();
    let accepting = |hash: u64, stage: place::EngineStage| {
        let target = targets.by_hash(hash)?;
        let is_fit = target.is_accepting(now_ms) && target.stage(now_ms) == Some(stage);
        (is_fit && !prompt.avoided.contains(&hash)).then(|| rc::Rc::clone(target))
    };
    let prefill = match placed.prefill {
        Some(hash) if prefilled.is_none() => Some(accepting(hash, place::EngineStage::Prefill)?),
        _ => prefilled.cloned(),
    };
    Some(EnginePlan {
        prefill,
        decode: accepting(placed.decode, place::EngineStage::Decode)?,
        source: placed
            .source
            .and_then(|hash| targets.by_hash(hash).cloned()),
        uncached_tokens: placed.uncached_tokens,
        first_token_ms: placed.first_token_ms,
        prompt_ms: placed.prompt_ms,
        wait_ms: placed.wait_ms,
        assigned: Some(rc::Rc::new(work)),
    })
}

/// Chooses engines by what this daemon knows.
pub fn pick_engines<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::RelayState<Codec, Store>,
    prompt: &PromptView<'_>,
    prefilled: Option<&rc::Rc<target::TargetState>>,
) -> Option<EnginePlan> {
    let targets = state.targets.borrow();
    let targets = targets.of_service(prompt.service);
    let views = views(state, prompt, targets);
    let config = state.config()?;
    let rates = rates(
        config
            .service(prompt.service)
            .and_then(|spec| spec.engine.as_ref()),
    );
    let shared = shared_parts(prompt.parts).iter();
    let size = place::PromptSize {
        prompt_tokens: prompt.prompt_tokens,
        shared_tokens: shared.map(|part| u64::from(part.tokens)).sum(),
    };
    let choice = match prefilled {
        None => place::choose_plan(size, &rates, &views, rand::random())?,
        Some(engine) => {
            let is_engine = |target: &rc::Rc<target::TargetState>| rc::Rc::ptr_eq(target, engine);
            let position = targets.iter().position(is_engine)?;
            place::choose_decode(size, position, &rates, &views)?
        }
    };
    let target = |position: usize| rc::Rc::clone(&targets[position]);
    Some(EnginePlan {
        prefill: choice.plan.prefill.map(target),
        decode: target(choice.plan.decode),
        source: choice.plan.source.map(target),
        uncached_tokens: choice.uncached_tokens,
        first_token_ms: choice.first_token_ms,
        prompt_ms: choice.prompt_ms,
        wait_ms: choice.wait_ms,
        assigned: None,
    })
}

/// Parts of the prompt that other requests share: all but the last one.
fn shared_parts(parts: &[parts::PromptPart]) -> &[parts::PromptPart] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

fn views<Codec: edge::CodecEdge, Store: edge::StoreEdge>(
    state: &state::RelayState<Codec, Store>,
    prompt: &PromptView<'_>,
    targets: &[rc::Rc<target::TargetState>],
) -> Vec<place::EngineView> {
    let now_ms = clock::now_ms();
    state.peers.borrow_mut().refresh_loads(now_ms);
    let peers = state.peers.borrow();
    let shared = prompt.shared_key();
    let view = |target: &rc::Rc<target::TargetState>| {
        let others = peers.load_of(target.hash);
        let is_near = target.zone_hash == prompt.zone;
        place::EngineView {
            usable: target.is_accepting(now_ms) && !prompt.avoided.contains(&target.hash),
            stage: target.stage(now_ms).unwrap_or(place::EngineStage::Decode),
            backlog_tokens: others.backlog_tokens + target.backlog.get(),
            running: others.running + target.running.get(),
            transfer_ms: (others.transfer_ms + target.transfer_ms.get()) as f64,
            slots: target.entry.slots,
            cached_tokens: target.parts.borrow().cached_tokens(prompt.parts),
            ready_tokens: target.parts.borrow().ready_tokens(prompt.parts, now_ms),
            home_rank: parts::home_rank(shared, target.hash),
            distance_ms: if is_near { NEAR_MS } else { FAR_MS },
            zone: target.zone_hash,
            penalty_ms: target.judge.borrow().penalty_ms(),
        }
    };
    targets.iter().map(view).collect()
}

fn rates(spec: Option<&config::EngineSpec>) -> place::EngineRates {
    let transfer_ms_per_k = spec.map_or(0.0, |spec| {
        let bits = spec.kv_bytes_per_token as f64 * 8.0 * 1_000.0;
        bits / (spec.link_mbps * 1_000.0)
    });
    place::EngineRates {
        prefill_tokens_per_ms: PREFILL_TOKENS_PER_MS,
        decode_prefill_tokens_per_ms: DECODE_PREFILL_TOKENS_PER_MS,
        prompt_base_ms: PROMPT_BASE_MS,
        transfer_ms_per_k,
        handover_ms: HANDOVER_MS,
        running_ms: RUNNING_MS,
    }
}
