//! Selection of engines for a generation request, by a scheduler or by this daemon itself.

use std::{net, rc};

use acaciabank_core::{fair_share, load_shed, placement, prefix};

use super::{
    pause,
    refusal::RefusalResponse,
    request::{RelayRequest, RequestProgress},
    selection,
};
use crate::{clock, config, platform, scheduler, state, target};

/// One-way network latency within an availability zone.
const SAME_ZONE_MS: f64 = 0.2;
/// One-way network latency between availability zones.
const OTHER_ZONE_MS: f64 = 1.5;
/// Prefill speed of a decode engine, as a share of that of a prefill engine.
const DECODE_PREFILL_SHARE: f64 = 0.5;
/// Time of a prefill that does not depend on the prompt's length: one engine step and the network
/// latency.
pub const PREFILL_OVERHEAD_MS: f64 = 12.0;
/// Time from a prefill to the first token besides the KV cache transfer: one engine step and the
/// set-up of the transfer.
const HANDOVER_OVERHEAD_MS: f64 = 14.0;
/// Largest number of engines that a placement request excludes because of their signals. The
/// daemon itself overrides a placement at any further one.
const MAX_BLOCKED_EXCLUDED: usize = 64;
/// Time that each running request adds to an engine step.
const PER_RUNNING_REQUEST_MS: f64 = 0.5;

/// Engines selected for a generation request, with the expected latency.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    /// Engine that only processes the prompt; `None` if the decode engine does that itself.
    pub prefill: Option<rc::Rc<target::TargetState>>,
    /// Engine that generates the tokens.
    pub decode: rc::Rc<target::TargetState>,
    /// Engine from which the KV cache of the prompt's beginning is fetched.
    pub source: Option<rc::Rc<target::TargetState>>,
    /// Number of prompt tokens that have to be processed.
    pub uncached_tokens: u64,
    /// Expected time to the first token, in milliseconds.
    pub first_token_ms: f64,
    /// Expected time until the prompt is processed, in milliseconds.
    pub prompt_ms: f64,
    /// Part of `first_token_ms` that is spent waiting for other requests.
    pub wait_ms: f64,
    /// Time for which the KV cache transfer to the decode engine occupies its link.
    pub transfer_ms: f64,
    /// Factor of the caller's team on the wait that load shedding allows.
    pub wait_factor: f64,
    /// Load counted by the scheduler; `None` if this daemon selected the engines.
    pub assigned: Option<rc::Rc<scheduler::AssignedWork>>,
}

/// Counts a request as load of an engine until dropped.
#[derive(Debug)]
pub enum EngineWork {
    /// Counted by this daemon.
    Own(target::TargetWork),
    /// Counted by the scheduler that selected the engine.
    Assigned(rc::Rc<scheduler::AssignedWork>),
}

impl EngineWork {
    /// Stops counting the prompt: it has been processed or its KV cache has been fetched, so the
    /// engine now holds its parts.
    pub fn end_prefill<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
        &self,
        state: &state::RelayState<Codec, Store>,
        parts: &[prefix::PromptPart],
    ) {
        match self {
            Self::Own(work) => {
                if let Some(processed) = work.end_prefill() {
                    state.record_prompt_speed(&work.target, processed, PREFILL_OVERHEAD_MS);
                }
                state.record_parts(&work.target, parts, state::PartsReady::Now);
            }
            Self::Assigned(work) => work.end_prefill(),
        }
    }
}

impl EnginePlan {
    /// Returns the address of the engine from which the prompt's beginning is fetched.
    pub fn source_address(&self) -> Option<net::SocketAddr> {
        self.source.as_ref().map(|engine| engine.entry.address)
    }

    /// Returns the time that an engine takes for the prompt, without waiting.
    fn work_ms(&self, prefill_tokens_per_ms: f64) -> f64 {
        let tokens_per_ms = match self.prefill {
            Some(_) => prefill_tokens_per_ms,
            None => prefill_tokens_per_ms * DECODE_PREFILL_SHARE,
        };
        self.uncached_tokens as f64 / tokens_per_ms + PREFILL_OVERHEAD_MS
    }

    /// Counts the load of the next call. It is the decode engine's if the prompt has been processed
    /// already or no prefill engine is used.
    pub fn start_work<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
        &self,
        state: &state::RelayState<Codec, Store>,
        parts: &[prefix::PromptPart],
        priority: u8,
        is_prefilled: bool,
    ) -> EngineWork {
        match &self.assigned {
            Some(work) => EngineWork::Assigned(rc::Rc::clone(work)),
            None => EngineWork::Own(self.reserve(state, parts, priority, is_prefilled)),
        }
    }

    /// Counts the load of the next call in this daemon, and records the prompt parts that the
    /// engine is going to hold.
    pub fn reserve<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
        &self,
        state: &state::RelayState<Codec, Store>,
        parts: &[prefix::PromptPart],
        priority: u8,
        is_prefilled: bool,
    ) -> target::TargetWork {
        if is_prefilled {
            let unloaded_ms = (self.first_token_ms - self.wait_ms) as u64;
            let ready = state::PartsReady::Expected(unloaded_ms);
            state.record_parts(&self.decode, parts, ready);
            return target::TargetWork::start(&self.decode, self.transfer_ms as u64);
        }
        let engine = self.prefill.as_ref().unwrap_or(&self.decode);
        let ready = state::PartsReady::Expected(self.prompt_ms as u64);
        state.record_parts(engine, parts, ready);
        let work = target::TargetWork::start_prompt(engine, priority, self.uncached_tokens);
        // The time of these prompts includes a fetch, or the tokens of other requests.
        match self.prefill.is_none() || self.source.is_some() {
            true => work.without_timer(),
            false => work,
        }
    }
}

/// A prompt for which engines are selected.
#[derive(Clone, Copy, Debug)]
pub struct PromptView<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Parts of the prompt.
    pub parts: &'a [prefix::PromptPart],
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u8,
    /// Hashes of engines that failed the request and are not selected again.
    pub excluded: &'a [u64],
    /// Hash of the software version that the engine which generates must have, if any.
    pub software: Option<u64>,
    /// Hash of the availability zone of the daemon that handles the request.
    pub zone_hash: u64,
}

impl<'a> PromptView<'a> {
    /// The prompt of a request, with the engines that have failed it.
    fn of<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
        state: &state::RelayState<Codec, Store>,
        request: &'a RelayRequest,
        progress: &'a RequestProgress,
    ) -> Self {
        Self {
            service: &request.service,
            parts: &request.parts,
            prompt_tokens: request.prompt_tokens(),
            priority: request.priority,
            excluded: &progress.excluded,
            software: request.software.get(),
            zone_hash: state.zone_hash,
        }
    }

    /// Whether an engine may do its part: one that generates needs the version of the stream.
    fn may_run(&self, engine: &target::TargetState, now_ms: u64) -> bool {
        let is_prefill = engine.stage(now_ms) == Some(placement::EngineStage::Prefill);
        let mut versions = self.software.iter();
        is_prefill || versions.all(|software| *software == engine.software_hash)
    }

    /// Returns the key of the last part that other requests share; 0 if there is none.
    fn shared_key(&self) -> u64 {
        let shared = prefix::shared_parts(self.parts).last();
        shared.map_or(0, |part| part.key)
    }
}

/// Selects engines for a generation request, waiting briefly if none accepts requests. Only a
/// decode engine is selected if the engine `prefilled` has processed the prompt. A scheduler
/// selects them, or this daemon if no scheduler responds.
pub async fn plan_engines<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    progress: &RequestProgress,
    prefilled: Option<&rc::Rc<target::TargetState>>,
) -> Result<EnginePlan, RefusalResponse> {
    let deadline = selection::wait_deadline(request, progress);
    let prompt = PromptView::of(state, request, progress);
    let team = request.team.as_ref().map(|team| team.hash);
    let intake = request.intake_request(progress);
    loop {
        if let Some(plan) = scheduled_plan(state, &prompt, team, intake, prefilled).await {
            return Ok(plan);
        }
        if let Some(mut plan) = pick_engines(state, &prompt, prefilled) {
            if prefilled.is_none() {
                plan.wait_factor = decide_share(state, &prompt, team, &plan, &intake).wait_factor;
            }
            return Ok(plan);
        }
        pause::check_pauses(state, request, progress, deadline)?;
        selection::wait_for_poll(state, request, progress, deadline).await?;
    }
}

/// Whether engines other than the decode engine of `plan` accept the request.
pub fn has_other_engine<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    request: &RelayRequest,
    progress: &RequestProgress,
    plan: &EnginePlan,
) -> bool {
    let mut excluded = progress.excluded.clone();
    excluded.push(plan.decode.hash);
    let prompt = PromptView {
        excluded: &excluded,
        ..PromptView::of(state, request, progress)
    };
    pick_engines(state, &prompt, None).is_some()
}

/// Asks a scheduler for engines; `None` if it assigns none or if they do not accept requests
/// according to this daemon's state.
async fn scheduled_plan<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::SharedState<Codec, Store>,
    prompt: &PromptView<'_>,
    team: Option<u64>,
    intake: load_shed::IntakeRequest,
    prefilled: Option<&rc::Rc<target::TargetState>>,
) -> Option<EnginePlan> {
    let request = scheduler::PlacementRequest {
        id: 0,
        service: prompt.service.to_owned(),
        zone_hash: prompt.zone_hash,
        prompt_tokens: prompt.prompt_tokens,
        parts: prompt.parts.to_vec(),
        excluded: excluded_hashes(state, prompt),
        prefilled: prefilled.map(|engine| engine.hash),
        software: prompt.software,
        intake,
        team,
    };
    let (placed, work) = scheduler::request_placement(state, &request, prompt.shared_key()).await?;
    let now_ms = clock::now_ms();
    let targets = state.targets.borrow();
    let accepting = |hash: u64, stage: placement::EngineStage| {
        let target = targets.by_hash(hash)?;
        let is_available = target.is_accepting(now_ms)
            && target.stage(now_ms) == Some(stage)
            && prompt.may_run(target, now_ms);
        (is_available && !prompt.excluded.contains(&hash)).then(|| rc::Rc::clone(target))
    };
    let prefill = match placed.prefill {
        Some(hash) if prefilled.is_none() => {
            Some(accepting(hash, placement::EngineStage::Prefill)?)
        }
        _ => prefilled.cloned(),
    };
    Some(EnginePlan {
        prefill,
        decode: accepting(placed.decode, placement::EngineStage::Decode)?,
        source: placed
            .source
            .and_then(|hash| targets.by_hash(hash).cloned()),
        uncached_tokens: placed.uncached_tokens,
        first_token_ms: placed.first_token_ms,
        prompt_ms: placed.prompt_ms,
        wait_ms: placed.wait_ms,
        transfer_ms: placed.transfer_ms,
        wait_factor: placed.wait_factor,
        assigned: Some(rc::Rc::new(work)),
    })
}

/// Returns the engines that a scheduler must not select: those that failed the request, and those
/// that this daemon sends nothing because of their signals, of which the scheduler may not know.
fn excluded_hashes<Codec, Store>(
    state: &state::RelayState<Codec, Store>,
    prompt: &PromptView<'_>,
) -> Vec<u64> {
    let mut excluded = prompt.excluded.to_vec();
    let targets = state.targets.borrow();
    let blocked = targets.blocked_hashes(prompt.service, clock::now_ms());
    excluded.extend(blocked.take(MAX_BLOCKED_EXCLUDED));
    excluded
}

/// Decides whether a prompt with these engines is accepted, by the recent work that this daemon has
/// placed for each team, and counts its work.
pub fn decide_share<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    prompt: &PromptView<'_>,
    team: Option<u64>,
    plan: &EnginePlan,
    intake: &load_shed::IntakeRequest,
) -> fair_share::ShareDecision {
    let planned = scheduler::PlannedPrompt {
        service: prompt.service,
        request: fair_share::SharedRequest {
            team,
            // The last part belongs to this request alone.
            prompt_key: prompt.parts.last().map(|part| part.key),
            work_ms: plan.work_ms(state.prompt_tokens_per_ms(prompt.service)),
        },
        wait_ms: plan.wait_ms,
        first_token_ms: plan.first_token_ms,
    };
    state.scheduler.shares.decide(&planned, intake)
}

/// Selects engines from this daemon's state.
pub fn pick_engines<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    prompt: &PromptView<'_>,
    prefilled: Option<&rc::Rc<target::TargetState>>,
) -> Option<EnginePlan> {
    let targets = state.targets.borrow();
    let targets = targets.of_service(prompt.service);
    let candidates = candidates(state, prompt, targets);
    let config = state.config()?;
    let spec = config.service(prompt.service);
    let rates = engine_rates(
        spec.and_then(|spec| spec.engine.as_ref()),
        state.prompt_tokens_per_ms(prompt.service),
    );
    let shared = prefix::shared_parts(prompt.parts).iter();
    let size = placement::PromptSize {
        prompt_tokens: prompt.prompt_tokens,
        shared_tokens: shared.map(|part| u64::from(part.tokens)).sum(),
    };
    let choice = match prefilled {
        None => placement::choose_plan(size, &rates, &candidates, rand::random())?,
        Some(engine) => {
            let is_engine = |target: &rc::Rc<target::TargetState>| rc::Rc::ptr_eq(target, engine);
            let position = targets.iter().position(is_engine)?;
            placement::choose_decode(size, position, &rates, &candidates)?
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
        transfer_ms: choice.transfer_ms,
        wait_factor: 1.0,
        assigned: None,
    })
}

fn candidates<Codec: platform::MessageCodec, Store: platform::PlatformStore>(
    state: &state::RelayState<Codec, Store>,
    prompt: &PromptView<'_>,
    targets: &[rc::Rc<target::TargetState>],
) -> Vec<placement::EngineCandidate> {
    let now_ms = clock::now_ms();
    state.peers.borrow_mut().refresh_loads(now_ms);
    let peers = state.peers.borrow();
    let shared_key = prompt.shared_key();
    let candidate = |target: &rc::Rc<target::TargetState>| {
        let peer_load = peers.load_of(target.hash);
        let is_same_zone = target.zone_hash == prompt.zone_hash;
        let mut backlog = target.backlog.get();
        backlog.merge(&peer_load.backlog);
        placement::EngineCandidate {
            is_available: target.is_accepting(now_ms)
                && !prompt.excluded.contains(&target.hash)
                && prompt.may_run(target, now_ms),
            stage: target
                .stage(now_ms)
                .unwrap_or(placement::EngineStage::Decode),
            backlog_tokens: backlog.tokens(),
            ahead: backlog.ahead_of(prompt.priority),
            running: peer_load.running + target.running.get(),
            transfer_ms: (peer_load.transfer_ms + target.transfer_ms.get()) as f64,
            slots: target.entry.slots,
            cached_tokens: target.parts.borrow().cached_tokens(prompt.parts),
            ready_tokens: target.parts.borrow().ready_tokens(prompt.parts, now_ms),
            home_rank: prefix::home_rank(shared_key, target.hash),
            distance_ms: if is_same_zone {
                SAME_ZONE_MS
            } else {
                OTHER_ZONE_MS
            },
            zone_hash: target.zone_hash,
            penalty_ms: target.detector.borrow().penalty_ms(),
        }
    };
    targets.iter().map(candidate).collect()
}

fn engine_rates(
    spec: Option<&config::EngineSpec>,
    prefill_tokens_per_ms: f64,
) -> placement::EngineRates {
    let transfer_ms_per_k_tokens = spec.map_or(0.0, |spec| {
        let bits = spec.kv_bytes_per_token as f64 * 8.0 * 1_000.0;
        bits / (spec.link_mbps * 1_000.0)
    });
    placement::EngineRates {
        prefill_tokens_per_ms,
        decode_prefill_tokens_per_ms: prefill_tokens_per_ms * DECODE_PREFILL_SHARE,
        prompt_base_ms: PREFILL_OVERHEAD_MS,
        transfer_ms_per_k_tokens,
        handover_ms: HANDOVER_OVERHEAD_MS,
        per_running_request_ms: PER_RUNNING_REQUEST_MS,
    }
}
