//! Placement of generation requests on prefill and decode engines.
//!
//! The cost model is made for prompts of 1,000 to 20,000 tokens with a long shared prefix and for
//! outputs of about ten tokens, for which prefill is the bottleneck. A request either runs entirely
//! at a decode engine, which prefills at a fraction of the speed, or a prefill engine processes its
//! prompt and a decode engine fetches the KV cache. An engine that lacks the shared prefix can
//! fetch it from one that has it cached, in a twentieth of the time that processing takes. The plan
//! with the lowest cost wins: the expected time to the first token, plus the engine time that the
//! plan uses, since that delays the requests behind it.

use crate::{prompt_backlog::WorkAhead, route};

/// Stage of generation that an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum EngineStage {
    /// Processes prompts and hands over their KV cache.
    Prefill,
    /// Generates tokens; prefills at reduced speed.
    Decode,
}

/// Performance of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineRates {
    /// Prompt tokens that a prefill engine processes per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Prompt tokens that a decode engine processes per millisecond.
    pub decode_prefill_tokens_per_ms: f64,
    /// Fixed time per prompt, in addition to the time for its tokens.
    pub prompt_base_ms: f64,
    /// Time to transfer the KV cache of a thousand tokens inside an availability zone.
    pub transfer_ms_per_k_tokens: f64,
    /// Fixed time from the end of the prefill to the first token at a decode engine, in addition to
    /// transfer and waiting.
    pub handover_ms: f64,
    /// Time by which each running request delays the first token of another one.
    pub per_running_request_ms: f64,
}

/// An engine as a candidate for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCandidate {
    /// Whether the engine accepts the request.
    pub is_available: bool,
    /// Stage that the engine serves.
    pub stage: EngineStage,
    /// Prompt tokens that all daemons have sent to the engine and that it has not processed yet.
    pub backlog_tokens: u64,
    /// Those that the engine processes before the request's prompt.
    pub ahead: WorkAhead,
    /// Running requests; at a prefill engine, prompts that are being processed.
    pub running: u32,
    /// Expected time of the KV cache transfers to the engine that have not ended yet.
    pub transfer_ms: f64,
    /// Requests that the engine can run at the same time.
    pub slots: u32,
    /// Tokens at the start of the prompt that the engine has presumably cached.
    pub cached_tokens: u64,
    /// Those of the cached tokens that other engines can fetch now.
    pub ready_tokens: u64,
    /// Rank as the home of the prompt's shared part; the engine with the lowest rank is the home.
    pub home_rank: u64,
    /// One-way network latency to the engine.
    pub distance_ms: f64,
    /// Hash of the engine's availability zone, for comparisons only.
    pub zone_hash: u64,
    /// Cost that is added for recent failures of the engine.
    pub penalty_ms: f64,
}

/// Size of a prompt, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSize {
    /// All tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens at its start that other requests share.
    pub shared_tokens: u64,
}

/// Engines for a request, by their positions in the list of candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementPlan {
    /// Prefill engine that processes the prompt; `None` if the decode engine does so itself.
    pub prefill: Option<usize>,
    /// Decode engine that generates the output.
    pub decode: usize,
    /// Engine from which the one that processes the prompt fetches the part of the prefix that it
    /// lacks; `None` if it fetches nothing.
    pub source: Option<usize>,
}

/// A plan with its expected times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementChoice {
    /// Engines that serve the request.
    pub plan: PlacementPlan,
    /// Expected time to the first token.
    pub first_token_ms: f64,
    /// Expected time until the prompt is processed.
    pub prompt_ms: f64,
    /// Part of the time to the first token that other requests cause.
    pub wait_ms: f64,
    /// Time for which the KV cache transfer to the decode engine occupies its link.
    pub transfer_ms: f64,
    /// Prompt tokens that have to be processed.
    pub uncached_tokens: u64,
    /// Cost by which plans are compared: the time to the first token and the weighted engine and
    /// link time.
    pub cost_ms: f64,
}

/// Weight of the prefill engine time that a plan uses, relative to the time that its caller waits:
/// half of the requests find another one at the engine.
const PREFILL_WORK_WEIGHT: f64 = 0.5;
/// Weight of the decode engine time that a prompt uses, for each request that the engine runs. A
/// prompt there delays every token of every stream, but a stream is late only if the pause between
/// two of its events becomes too long.
const DECODE_WORK_WEIGHT: f64 = 0.5;
/// Minimum number of requests that a prompt at a decode engine is assumed to delay, as more arrive
/// while it is processed.
const MIN_DELAYED_REQUESTS: f64 = 3.0;
/// Number of running requests as which each request beyond an engine's slots counts: it has to wait
/// until another one ends.
const EXCESS_REQUEST_FACTOR: u32 = 20;
/// Weight of the time for which a transfer occupies the links.
const TRANSFER_WEIGHT: f64 = 1.0;
/// Factor of the transfer time between availability zones, relative to inside one.
const CROSS_ZONE_FACTOR: f64 = 2.0;
/// Minimum number of tokens for which fetching a prefix is worth a call between engines.
const MIN_FETCH_TOKENS: u64 = 256;
/// Cost advantage of the home of a shared part that no engine is known to have cached, as a share
/// of the time to process it: another daemon may have just sent it there.
const HOME_ADVANTAGE_SHARE: f64 = 0.5;
/// Minimum cost advantage of a home, so that daemons that see the same loads choose the same
/// engine.
const MIN_HOME_ADVANTAGE_MS: f64 = 10.0;

/// Chooses the plan with the lowest cost for a prompt, or returns `None` if no decode engine is
/// available. `seed`, a fresh random number, spreads fetches over the engines that have a part
/// cached.
pub fn choose_plan(
    size: PromptSize,
    rates: &EngineRates,
    engines: &[EngineCandidate],
    seed: u64,
) -> Option<PlacementChoice> {
    let model = CostModel::new(size, rates, engines, seed);
    let whole = model
        .available(EngineStage::Decode)
        .map(|decode| model.estimate_whole(decode));
    let decodes = model.best_decodes();
    let prefills = model.available(EngineStage::Prefill);
    let split = prefills.flat_map(|prefill| {
        let prompt = model.estimate_prompt(prefill, EngineStage::Prefill);
        let decodes = decodes.iter();
        decodes.map(move |decode| (prefill, *decode, prompt))
    });
    let split =
        split.map(|(prefill, decode, prompt)| model.estimate_split(prefill, decode, prompt));
    lowest_cost(whole.chain(split))
}

fn lowest_cost(choices: impl Iterator<Item = PlacementChoice>) -> Option<PlacementChoice> {
    choices.min_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms))
}

/// Chooses the decode engine for a prompt that the engine at position `prefill` has processed.
pub fn choose_decode(
    size: PromptSize,
    prefill: usize,
    rates: &EngineRates,
    engines: &[EngineCandidate],
) -> Option<PlacementChoice> {
    let model = CostModel::new(size, rates, engines, 0);
    let processed = PromptEstimate {
        done_ms: 0.0,
        wait_ms: 0.0,
        extra_cost_ms: 0.0,
        uncached_tokens: 0,
        source: None,
    };
    let decodes = model.available(EngineStage::Decode);
    lowest_cost(decodes.map(|decode| model.estimate_split(prefill, decode, processed)))
}

/// Shortest prefix with which an engine serves as a source, as a share of the longest one that can
/// be fetched. An engine runs its transfers one after another, so fetches of a part are spread over
/// the engines that have it.
const MIN_SOURCE_SHARE: f64 = 0.9;

/// Selects one source in each availability zone at random among the engines that have the longest
/// prefixes of the prompt ready, whatever their stage. Engines that accept no work can be sources.
fn select_sources(engines: &[EngineCandidate], seed: u64) -> Vec<usize> {
    let longest = engines
        .iter()
        .map(|candidate| candidate.ready_tokens)
        .max()
        .unwrap_or(0);
    let min_tokens = ((longest as f64 * MIN_SOURCE_SHARE) as u64).max(MIN_FETCH_TOKENS);
    let holders = engines.iter().enumerate();
    let holders = holders.filter(|(_, candidate)| candidate.ready_tokens >= min_tokens);
    let mut sources: Vec<usize> = holders.map(|(position, _)| position).collect();
    sources.sort_by_key(|position| route::mix(seed, *position));
    let mut zones = Vec::new();
    sources.retain(|position| {
        let zone_hash = engines[*position].zone_hash;
        let is_first = !zones.contains(&zone_hash);
        zones.push(zone_hash);
        is_first
    });
    sources
}

/// Cost model of one request at the candidate engines.
struct CostModel<'a> {
    prompt_tokens: u64,
    rates: &'a EngineRates,
    engines: &'a [EngineCandidate],
    /// Engines to fetch from, at most one in each availability zone.
    sources: Vec<usize>,
    /// The prefill engine that is the home of the shared part.
    home: Option<usize>,
    /// Cost by which plans with the home are preferred.
    home_advantage_ms: f64,
}

/// Expected times and costs of processing the prompt at one engine.
#[derive(Clone, Copy)]
struct PromptEstimate {
    /// Time until the prompt is processed.
    done_ms: f64,
    /// Part of that time that is spent on other prompts.
    wait_ms: f64,
    /// Cost in addition to that time.
    extra_cost_ms: f64,
    uncached_tokens: u64,
    source: Option<usize>,
}

impl<'a> CostModel<'a> {
    fn new(
        size: PromptSize,
        rates: &'a EngineRates,
        engines: &'a [EngineCandidate],
        seed: u64,
    ) -> Self {
        let prefills = engines.iter().enumerate();
        let prefills = prefills.filter(|(_, candidate)| {
            candidate.is_available && candidate.stage == EngineStage::Prefill
        });
        let home = prefills.min_by_key(|(_, candidate)| candidate.home_rank);
        let longest_cached = engines
            .iter()
            .map(|candidate| candidate.cached_tokens)
            .max()
            .unwrap_or(0);
        let uncached = size.shared_tokens.saturating_sub(longest_cached) as f64;
        let home_advantage_ms = HOME_ADVANTAGE_SHARE * uncached / rates.prefill_tokens_per_ms;
        Self {
            prompt_tokens: size.prompt_tokens,
            rates,
            engines,
            home_advantage_ms: home_advantage_ms.max(MIN_HOME_ADVANTAGE_MS),
            sources: select_sources(engines, seed),
            home: home.map(|(position, _)| position),
        }
    }

    /// Returns the source for an engine, in its own availability zone if there is one.
    fn source_for(&self, position: usize) -> Option<usize> {
        let zone_hash = self.engines[position].zone_hash;
        let others = self
            .sources
            .iter()
            .copied()
            .filter(|source| *source != position);
        let same_zone = others
            .clone()
            .find(|source| self.engines[*source].zone_hash == zone_hash);
        same_zone.or_else(|| others.clone().next())
    }

    fn available(&self, stage: EngineStage) -> impl Iterator<Item = usize> + '_ {
        let engines = self.engines.iter().enumerate();
        let available = engines
            .filter(move |(_, candidate)| candidate.is_available && candidate.stage == stage);
        available.map(|(position, _)| position)
    }

    /// Returns the decode engine with the lowest cost in each availability zone. What a decode
    /// engine adds to the cost of a plan depends on the prefill engine only by the transfer, and
    /// that is the same for all decode engines of a zone, so no other one can be the best for any
    /// prefill engine.
    fn best_decodes(&self) -> Vec<usize> {
        let mut best: Vec<(u64, f64, usize)> = Vec::new();
        for decode in self.available(EngineStage::Decode) {
            let candidate = &self.engines[decode];
            let cost_ms = self.decode_queue_ms(candidate)
                + 2.0 * candidate.distance_ms
                + candidate.penalty_ms;
            let known = best
                .iter_mut()
                .find(|(zone_hash, ..)| *zone_hash == candidate.zone_hash);
            match known {
                None => best.push((candidate.zone_hash, cost_ms, decode)),
                Some((_, lowest_ms, position)) if cost_ms < *lowest_ms => {
                    (*lowest_ms, *position) = (cost_ms, decode);
                }
                Some(_) => {}
            }
        }
        best.into_iter().map(|(_, _, decode)| decode).collect()
    }

    fn home_discount_ms(&self, position: usize) -> f64 {
        if self.home == Some(position) {
            self.home_advantage_ms
        } else {
            0.0
        }
    }

    fn transfer_ms(&self, from: usize, to: usize, tokens: u64) -> f64 {
        let is_same_zone = self.engines[from].zone_hash == self.engines[to].zone_hash;
        let factor = if is_same_zone { 1.0 } else { CROSS_ZONE_FACTOR };
        factor * tokens as f64 / 1_000.0 * self.rates.transfer_ms_per_k_tokens
    }

    /// Estimates the prompt at an engine, with the prefix fetched from another engine if that costs
    /// less.
    fn estimate_prompt(&self, position: usize, stage: EngineStage) -> PromptEstimate {
        let candidate = &self.engines[position];
        let (tokens_per_ms, weight) = match stage {
            EngineStage::Prefill => (self.rates.prefill_tokens_per_ms, PREFILL_WORK_WEIGHT),
            EngineStage::Decode => {
                let delayed = MIN_DELAYED_REQUESTS.max(f64::from(candidate.running));
                (
                    self.rates.decode_prefill_tokens_per_ms,
                    DECODE_WORK_WEIGHT * delayed,
                )
            }
        };
        let estimate = |uncached_tokens: u64, fetch_ms: f64, source| {
            let work_ms = uncached_tokens as f64 / tokens_per_ms + self.rates.prompt_base_ms;
            let ahead = &candidate.ahead;
            // Short prompts are processed together in one step.
            let step_ms = ahead.prompts.min(1.0) * self.rates.prompt_base_ms;
            let wait_ms = ahead.tokens / tokens_per_ms + step_ms;
            let occupied_ms = match stage {
                EngineStage::Prefill => work_ms,
                EngineStage::Decode => work_ms + wait_ms,
            };
            PromptEstimate {
                done_ms: wait_ms + work_ms + fetch_ms + 2.0 * candidate.distance_ms,
                wait_ms,
                extra_cost_ms: weight * occupied_ms
                    + TRANSFER_WEIGHT * fetch_ms
                    + candidate.penalty_ms,
                uncached_tokens,
                source,
            }
        };
        let local = estimate(
            self.prompt_tokens.saturating_sub(candidate.cached_tokens),
            0.0,
            None,
        );
        let Some(source) = self.source_for(position) else {
            return local;
        };
        let ready = self.engines[source].ready_tokens.min(self.prompt_tokens);
        let missing = ready.saturating_sub(candidate.cached_tokens);
        if missing < MIN_FETCH_TOKENS {
            return local;
        }
        let fetch_ms = self.transfer_ms(source, position, missing) + self.rates.handover_ms / 2.0;
        let with_fetch = estimate(self.prompt_tokens - ready, fetch_ms, Some(source));
        match with_fetch.done_ms + with_fetch.extra_cost_ms < local.done_ms + local.extra_cost_ms {
            true => with_fetch,
            false => local,
        }
    }

    /// Returns the expected time until a decode engine admits one more request to its batch.
    fn batch_wait_ms(&self, candidate: &EngineCandidate) -> f64 {
        let excess = (candidate.running + 1).saturating_sub(candidate.slots);
        self.rates.per_running_request_ms
            * f64::from(candidate.running + EXCESS_REQUEST_FACTOR * excess)
    }

    /// Returns the expected time until a decode engine can start a request whose KV cache it
    /// fetches. Prompts that the engine processes itself lengthen its steps.
    fn decode_queue_ms(&self, candidate: &EngineCandidate) -> f64 {
        let backlog_ms = candidate.backlog_tokens as f64 / self.rates.decode_prefill_tokens_per_ms;
        self.batch_wait_ms(candidate) + backlog_ms + candidate.transfer_ms
    }

    fn estimate_whole(&self, decode: usize) -> PlacementChoice {
        let candidate = &self.engines[decode];
        let prompt = self.estimate_prompt(decode, EngineStage::Decode);
        let batch_wait_ms = self.batch_wait_ms(candidate);
        let first_token_ms = prompt.done_ms + batch_wait_ms;
        PlacementChoice {
            plan: PlacementPlan {
                prefill: None,
                decode,
                source: prompt.source,
            },
            first_token_ms,
            prompt_ms: prompt.done_ms,
            wait_ms: prompt.wait_ms + batch_wait_ms,
            transfer_ms: 0.0,
            uncached_tokens: prompt.uncached_tokens,
            cost_ms: first_token_ms + prompt.extra_cost_ms,
        }
    }

    fn estimate_split(
        &self,
        prefill: usize,
        decode: usize,
        prompt: PromptEstimate,
    ) -> PlacementChoice {
        let candidate = &self.engines[decode];
        let transfer_ms = self.transfer_ms(prefill, decode, self.prompt_tokens);
        let queue_ms = self.decode_queue_ms(candidate);
        let after_ms = self.rates.handover_ms + transfer_ms + queue_ms;
        let first_token_ms = prompt.done_ms + after_ms + 2.0 * candidate.distance_ms;
        let extra_cost_ms =
            prompt.extra_cost_ms + TRANSFER_WEIGHT * transfer_ms + candidate.penalty_ms;
        PlacementChoice {
            plan: PlacementPlan {
                prefill: Some(prefill),
                decode,
                source: prompt.source,
            },
            first_token_ms,
            prompt_ms: prompt.done_ms,
            wait_ms: prompt.wait_ms + queue_ms,
            transfer_ms,
            uncached_tokens: prompt.uncached_tokens,
            cost_ms: first_token_ms + extra_cost_ms - self.home_discount_ms(prefill),
        }
    }
}
