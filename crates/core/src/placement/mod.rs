//! Placing of generation requests on engines that prefill or decode.
//!
//! Load answered: prompts of 1,000 to 20,000 tokens of which a long beginning is shared, and outputs
//! of some ten tokens, so that prefill binds. A request runs whole at a decode engine, which
//! prefills at a fraction of the speed, or its prompt is processed by a prefill engine and the KV
//! cache is fetched by a decode engine. An engine that lacks the shared beginning can fetch it from
//! one that holds it, which takes a twentieth of the time to process it again. The plan with the
//! earliest first token wins; the engine time it uses counts as well, since that delays the requests
//! behind it.

use crate::route;

/// Stage that an engine is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub enum EngineStage {
    /// Processes prompts and hands over their KV cache.
    Prefill,
    /// Generates tokens; prefills at reduced speed.
    Decode,
}

/// Speeds of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineRates {
    /// Prompt tokens that a prefill engine processes in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// The same for a decode engine that prefills by itself.
    pub decode_prefill_tokens_per_ms: f64,
    /// Time for a prompt besides its tokens.
    pub prompt_base_ms: f64,
    /// Time to move the KV cache of a thousand tokens inside an availability zone.
    pub transfer_ms_per_k_tokens: f64,
    /// Time from a prefill to the first token that no other term covers.
    pub handover_ms: f64,
    /// Time by which a running request delays the first token of another one.
    pub per_running_request_ms: f64,
}

/// What a placement knows of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCandidate {
    /// Whether it accepts new work.
    pub is_available: bool,
    /// Its stage.
    pub stage: EngineStage,
    /// Prompt tokens that all daemons have sent it and that are not processed yet.
    pub backlog_tokens: u64,
    /// Requests that run there; at a prefill engine, prompts that are being processed.
    pub running: u32,
    /// Time that transfers of KV cache to it are expected to take that have not ended yet.
    pub transfer_ms: f64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens at the start of the prompt that are believed to be cached there.
    pub cached_tokens: u64,
    /// The same as far as another engine can fetch them now.
    pub ready_tokens: u64,
    /// Rank as home of the shared part of the prompt; the lowest is the home.
    pub home_rank: u64,
    /// One-way distance in milliseconds.
    pub distance_ms: f64,
    /// Its availability zone, as a number that only serves to compare.
    pub zone: u64,
    /// Time by which its recent trouble makes it less attractive.
    pub penalty_ms: f64,
}

/// Tokens of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSize {
    /// All tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of its beginning that other requests share.
    pub shared_tokens: u64,
}

/// Engines that a request is placed on, by their positions in the list of views.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementPlan {
    /// Engine that processes the prompt for the one that generates; absent when that one does both.
    pub prefill: Option<usize>,
    /// Engine that generates.
    pub decode: usize,
    /// Engine from which the one that processes the prompt fetches what it lacks of it.
    pub source: Option<usize>,
}

/// A plan and when its first token is expected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementChoice {
    /// The plan.
    pub plan: PlacementPlan,
    /// Expected time to the first token.
    pub first_token_ms: f64,
    /// Expected time until the prompt is processed.
    pub prompt_ms: f64,
    /// The part of the time to the first token that other requests cause.
    pub wait_ms: f64,
    /// Prompt tokens that the engine must process.
    pub uncached_tokens: u64,
}

/// Weight of the time of a prefill engine that a plan uses, against the time that its caller waits:
/// half of the requests meet another one there.
const WORK_WEIGHT: f64 = 0.5;
/// The same for prompts at decode engines, for each request that the engine runs: a prompt there
/// delays every token of every stream.
const DECODE_WORK_WEIGHT: f64 = 1.0;
/// Requests that a decode engine is assumed to run at least, as more arrive while the prompt is
/// processed.
const LEAST_DELAYED: f64 = 3.0;
/// Weight of the time for which a transfer occupies the links.
const TRANSFER_WEIGHT: f64 = 1.0;
/// Factor of transfers between availability zones.
const FAR_TRANSFER: f64 = 2.0;
/// Tokens from which fetching the beginning of a prompt is worth a call between engines.
const LEAST_FETCH_TOKENS: u64 = 256;
/// Advantage of the home of a shared part that no engine is known to hold, as a share of the time to
/// process it: another daemon may have sent it there a moment ago.
const HOME_SHARE: f64 = 0.5;
/// Least advantage of a home, so that two daemons that see the same loads choose the same engine.
const LEAST_HOME_MS: f64 = 10.0;

/// Chooses the plan with the lowest cost for a prompt; `None` when no decode
/// engine is available. `seed`, a fresh random number, spreads fetches over the engines that hold a
/// part.
pub fn choose_plan(
    size: PromptSize,
    rates: &EngineRates,
    engines: &[EngineCandidate],
    seed: u64,
) -> Option<PlacementChoice> {
    let scene = Scene::new(size, rates, engines, seed);
    let whole = scene
        .available(EngineStage::Decode)
        .map(|decode| scene.price_whole(decode));
    let prefills = scene.available(EngineStage::Prefill);
    let split = prefills.flat_map(|prefill| {
        let prompt = scene.price_prompt(prefill, EngineStage::Prefill);
        let decodes = scene.available(EngineStage::Decode);
        decodes.map(move |decode| (prefill, decode, prompt))
    });
    let split = split.map(|(prefill, decode, prompt)| scene.price_split(prefill, decode, prompt));
    let best = whole
        .chain(split)
        .min_by(|left, right| left.0.total_cmp(&right.0));
    best.map(|(_, choice)| choice)
}

/// Chooses the decode engine for a prompt that the engine at position `prefill` has processed.
pub fn choose_decode(
    size: PromptSize,
    prefill: usize,
    rates: &EngineRates,
    engines: &[EngineCandidate],
) -> Option<PlacementChoice> {
    let scene = Scene::new(size, rates, engines, 0);
    let done = PromptPrice {
        done_ms: 0.0,
        wait_ms: 0.0,
        extra: 0.0,
        uncached_tokens: 0,
        source: None,
    };
    let decodes = scene.available(EngineStage::Decode);
    let priced = decodes.map(|decode| scene.price_split(prefill, decode, done));
    let best = priced.min_by(|left, right| left.0.total_cmp(&right.0));
    best.map(|(_, choice)| choice)
}

/// Share of the longest held beginning from which an engine serves as a source as well: transfers of
/// an engine run one after another, so a part that several hold is not always fetched from one.
const SOURCE_SHARE: f64 = 0.9;

/// One of the engines that hold most of the prompt in each availability zone, whatever its stage; one
/// that is leaving still serves as a source. Drawn anew for each request.
fn best_sources(engines: &[EngineCandidate], seed: u64) -> Vec<usize> {
    let most = engines
        .iter()
        .map(|view| view.ready_tokens)
        .max()
        .unwrap_or(0);
    let least = ((most as f64 * SOURCE_SHARE) as u64).max(LEAST_FETCH_TOKENS);
    let holders = engines.iter().enumerate();
    let holders = holders.filter(|(_, view)| view.ready_tokens >= least);
    let mut drawn: Vec<usize> = holders.map(|(position, _)| position).collect();
    drawn.sort_by_key(|position| route::mix(seed, *position));
    let mut zones = Vec::new();
    drawn.retain(|position| {
        let zone = engines[*position].zone;
        let is_first = !zones.contains(&zone);
        zones.push(zone);
        is_first
    });
    drawn
}

/// One request before the engines.
struct Scene<'a> {
    prompt_tokens: u64,
    rates: &'a EngineRates,
    engines: &'a [EngineCandidate],
    /// Engines to fetch from, those of different availability zones apart.
    sources: Vec<usize>,
    /// The prefill engine that is the home of the shared part.
    home: Option<usize>,
    home_advantage_ms: f64,
}

/// Expected course of the prompt at one engine.
#[derive(Clone, Copy)]
struct PromptPrice {
    /// Time until it is processed.
    done_ms: f64,
    /// The part of it that is spent on other prompts.
    wait_ms: f64,
    /// Cost beyond that time.
    extra: f64,
    uncached_tokens: u64,
    source: Option<usize>,
}

impl<'a> Scene<'a> {
    fn new(
        size: PromptSize,
        rates: &'a EngineRates,
        engines: &'a [EngineCandidate],
        seed: u64,
    ) -> Self {
        let prefills = engines.iter().enumerate();
        let prefills =
            prefills.filter(|(_, view)| view.is_available && view.stage == EngineStage::Prefill);
        let home = prefills.min_by_key(|(_, view)| view.home_rank);
        let held = engines
            .iter()
            .map(|view| view.cached_tokens)
            .max()
            .unwrap_or(0);
        let unknown = size.shared_tokens.saturating_sub(held) as f64;
        let home_advantage_ms = HOME_SHARE * unknown / rates.prefill_tokens_per_ms;
        Self {
            prompt_tokens: size.prompt_tokens,
            rates,
            engines,
            home_advantage_ms: home_advantage_ms.max(LEAST_HOME_MS),
            sources: best_sources(engines, seed),
            home: home.map(|(position, _)| position),
        }
    }

    /// The source for an engine, in its own availability zone if there is one.
    fn source_for(&self, position: usize) -> Option<usize> {
        let zone = self.engines[position].zone;
        let others = self
            .sources
            .iter()
            .copied()
            .filter(|source| *source != position);
        let near = others
            .clone()
            .find(|source| self.engines[*source].zone == zone);
        near.or_else(|| others.clone().next())
    }

    fn available(&self, stage: EngineStage) -> impl Iterator<Item = usize> + '_ {
        let engines = self.engines.iter().enumerate();
        let available = engines.filter(move |(_, view)| view.is_available && view.stage == stage);
        available.map(|(position, _)| position)
    }

    fn home_ms(&self, position: usize) -> f64 {
        if self.home == Some(position) {
            self.home_advantage_ms
        } else {
            0.0
        }
    }

    fn transfer_ms(&self, from: usize, to: usize, tokens: u64) -> f64 {
        let is_near = self.engines[from].zone == self.engines[to].zone;
        let factor = if is_near { 1.0 } else { FAR_TRANSFER };
        factor * tokens as f64 / 1_000.0 * self.rates.transfer_ms_per_k_tokens
    }

    /// The prompt at an engine, with the beginning fetched from another one where that is faster.
    fn price_prompt(&self, position: usize, stage: EngineStage) -> PromptPrice {
        let view = &self.engines[position];
        let (speed, weight) = match stage {
            EngineStage::Prefill => (self.rates.prefill_tokens_per_ms, WORK_WEIGHT),
            EngineStage::Decode => {
                let delayed = LEAST_DELAYED.max(f64::from(view.running));
                (
                    self.rates.decode_prefill_tokens_per_ms,
                    DECODE_WORK_WEIGHT * delayed,
                )
            }
        };
        let price = |uncached_tokens: u64, fetch_ms: f64, source| {
            let work_ms = uncached_tokens as f64 / speed + self.rates.prompt_base_ms;
            // An engine works on all its prompts in turn, so a short one does not wait for the end
            // of long ones.
            let ahead = u64::from(view.running).saturating_mul(uncached_tokens);
            let steps_ms = f64::from(view.running) * self.rates.prompt_base_ms;
            let wait_ms = view.backlog_tokens.min(ahead) as f64 / speed + steps_ms;
            let harm_ms = match stage {
                EngineStage::Prefill => work_ms,
                EngineStage::Decode => work_ms + wait_ms,
            };
            PromptPrice {
                done_ms: wait_ms + work_ms + fetch_ms + 2.0 * view.distance_ms,
                wait_ms,
                extra: weight * harm_ms + TRANSFER_WEIGHT * fetch_ms + view.penalty_ms,
                uncached_tokens,
                source,
            }
        };
        let own = price(
            self.prompt_tokens.saturating_sub(view.cached_tokens),
            0.0,
            None,
        );
        let Some(source) = self.source_for(position) else {
            return own;
        };
        let held = self.engines[source].ready_tokens.min(self.prompt_tokens);
        let missing = held.saturating_sub(view.cached_tokens);
        if missing < LEAST_FETCH_TOKENS {
            return own;
        }
        let fetch_ms = self.transfer_ms(source, position, missing) + self.rates.handover_ms / 2.0;
        let fetched = price(self.prompt_tokens - held, fetch_ms, Some(source));
        match fetched.done_ms + fetched.extra < own.done_ms + own.extra {
            true => fetched,
            false => own,
        }
    }

    /// Time that a decode engine needs to admit one more request beside those that it runs.
    fn crowding_ms(&self, view: &EngineCandidate) -> f64 {
        let excess = (view.running + 1).saturating_sub(view.slots);
        self.rates.per_running_request_ms * f64::from(view.running + 20 * excess)
    }

    fn price_whole(&self, decode: usize) -> (f64, PlacementChoice) {
        let view = &self.engines[decode];
        let prompt = self.price_prompt(decode, EngineStage::Decode);
        let crowding_ms = self.crowding_ms(view);
        let first_token_ms = prompt.done_ms + crowding_ms;
        let choice = PlacementChoice {
            plan: PlacementPlan {
                prefill: None,
                decode,
                source: prompt.source,
            },
            first_token_ms,
            prompt_ms: prompt.done_ms,
            wait_ms: prompt.wait_ms + crowding_ms,
            uncached_tokens: prompt.uncached_tokens,
        };
        (first_token_ms + prompt.extra, choice)
    }

    fn price_split(
        &self,
        prefill: usize,
        decode: usize,
        prompt: PromptPrice,
    ) -> (f64, PlacementChoice) {
        let view = &self.engines[decode];
        let transfer_ms = self.transfer_ms(prefill, decode, self.prompt_tokens);
        // A prompt that the decode engine processes by itself makes its steps longer.
        let backlog_ms = view.backlog_tokens as f64 / self.rates.decode_prefill_tokens_per_ms;
        let queue_ms = self.crowding_ms(view) + backlog_ms + view.transfer_ms;
        let after_ms = self.rates.handover_ms + transfer_ms + queue_ms;
        let first_token_ms = prompt.done_ms + after_ms + 2.0 * view.distance_ms;
        let choice = PlacementChoice {
            plan: PlacementPlan {
                prefill: Some(prefill),
                decode,
                source: prompt.source,
            },
            first_token_ms,
            prompt_ms: prompt.done_ms,
            wait_ms: prompt.wait_ms + queue_ms,
            uncached_tokens: prompt.uncached_tokens,
        };
        let extra = prompt.extra + TRANSFER_WEIGHT * transfer_ms + view.penalty_ms;
        (first_token_ms + extra - self.home_ms(prefill), choice)
    }
}
