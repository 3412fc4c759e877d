//! Placing of generation requests on engines that prefill or decode.
//!
//! Load answered: prompts of 1,000 to 20,000 tokens of which a long beginning is shared, and outputs
//! of some ten tokens, so that prefill binds. A request runs whole at a decode engine, which
//! prefills at a fraction of the speed, or its prompt is processed by a prefill engine and the KV
//! cache is fetched by a decode engine. The plan with the earliest first token wins; the engine time
//! it uses counts as well, since that delays the requests behind it.

/// Stage that an engine is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
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
    /// Time to move the KV cache of a thousand tokens inside an availability zone.
    pub transfer_ms_per_k: f64,
    /// Time from a prefill to the first token that no other term covers.
    pub handover_ms: f64,
    /// Time by which a running request delays each step, as a share of a whole prefill step.
    pub running_ms: f64,
}

/// What a placement knows of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineView {
    /// Whether it accepts new work.
    pub usable: bool,
    /// Its stage.
    pub stage: EngineStage,
    /// Prompt tokens that all daemons have sent it and that are not processed yet.
    pub backlog_tokens: u64,
    /// Requests that generate there.
    pub running: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens at the start of the prompt that are believed to be cached there.
    pub cached_tokens: u64,
    /// Rank as home of the shared part of the prompt; the lowest is the home.
    pub home_rank: u64,
    /// One-way distance in milliseconds.
    pub distance_ms: f64,
    /// Whether it is in the availability zone of the daemon.
    pub is_near: bool,
    /// Time by which its recent trouble makes it less attractive.
    pub penalty_ms: f64,
}

/// Tokens of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSize {
    /// All tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the parts that other requests share.
    pub shared_tokens: u64,
}

/// Engines that a request is placed on, by their positions in the list of views.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementPlan {
    /// One decode engine does everything.
    Whole {
        /// The engine.
        decode: usize,
    },
    /// A prefill engine processes the prompt, a decode engine generates.
    Split {
        /// The prefill engine.
        prefill: usize,
        /// The decode engine.
        decode: usize,
    },
}

/// A plan and when its first token is expected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementChoice {
    /// The plan.
    pub plan: PlacementPlan,
    /// Expected time to the first token.
    pub first_token_ms: f64,
    /// Prompt tokens that the engine must process.
    pub uncached_tokens: u64,
}

/// Weight of the engine time that a plan uses against the time that its caller waits.
const WORK_WEIGHT: f64 = 0.6;
/// Tokens of the shared part that a home is assumed to hold before this daemon has used it there:
/// the other daemons send requests with that part to the same home.
const HOME_SHARE: f64 = 0.5;
/// Factor of transfers between availability zones.
const FAR_TRANSFER: f64 = 2.0;

/// Chooses the plan with the lowest cost; `None` when no decode engine is usable.
pub fn choose_plan(
    size: PromptSize,
    rates: &EngineRates,
    engines: &[EngineView],
) -> Option<PlacementChoice> {
    let whole = choose_whole(size, rates, engines);
    let split = choose_split(size, rates, engines);
    let better =
        |left: &(f64, PlacementChoice), right: &(f64, PlacementChoice)| left.0.total_cmp(&right.0);
    let best = whole.into_iter().chain(split).min_by(better);
    best.map(|(_, choice)| choice)
}

fn usable(
    engines: &[EngineView],
    stage: EngineStage,
) -> impl Iterator<Item = (usize, &EngineView)> {
    let engines = engines.iter().enumerate();
    engines.filter(move |(_, view)| view.usable && view.stage == stage)
}

fn home_of(engines: &[EngineView], stage: EngineStage) -> Option<usize> {
    let home = usable(engines, stage).min_by_key(|(_, view)| view.home_rank);
    home.map(|(position, _)| position)
}

fn uncached(size: PromptSize, view: &EngineView, is_home: bool) -> u64 {
    let assumed = match is_home {
        true => (size.shared_tokens as f64 * HOME_SHARE) as u64,
        false => 0,
    };
    size.prompt_tokens
        .saturating_sub(view.cached_tokens.max(assumed))
}

/// Time that a decode engine needs to admit one more request beside those that it runs.
fn crowding_ms(rates: &EngineRates, view: &EngineView) -> f64 {
    let excess = (view.running + 1).saturating_sub(view.slots);
    f64::from(view.running) * rates.running_ms + f64::from(excess) * rates.running_ms * 20.0
}

fn choose_whole(
    size: PromptSize,
    rates: &EngineRates,
    engines: &[EngineView],
) -> Option<(f64, PlacementChoice)> {
    let home = home_of(engines, EngineStage::Decode);
    let price = |(position, view): (usize, &EngineView)| {
        let uncached = uncached(size, view, home == Some(position));
        let speed = rates.decode_prefill_tokens_per_ms;
        let work_ms = uncached as f64 / speed;
        let wait_ms = view.backlog_tokens as f64 / speed + crowding_ms(rates, view);
        let first_token_ms = wait_ms + work_ms + 2.0 * view.distance_ms;
        let choice = PlacementChoice {
            plan: PlacementPlan::Whole { decode: position },
            first_token_ms,
            uncached_tokens: uncached,
        };
        (
            first_token_ms + WORK_WEIGHT * work_ms + view.penalty_ms,
            choice,
        )
    };
    let priced = usable(engines, EngineStage::Decode).map(price);
    priced.min_by(|left, right| left.0.total_cmp(&right.0))
}

fn choose_split(
    size: PromptSize,
    rates: &EngineRates,
    engines: &[EngineView],
) -> Option<(f64, PlacementChoice)> {
    let home = home_of(engines, EngineStage::Prefill);
    let price = |(position, view): (usize, &EngineView)| {
        let uncached = uncached(size, view, home == Some(position));
        let work_ms = uncached as f64 / rates.prefill_tokens_per_ms;
        let wait_ms = view.backlog_tokens as f64 / rates.prefill_tokens_per_ms;
        let first_ms = wait_ms + work_ms + 2.0 * view.distance_ms;
        (
            first_ms + WORK_WEIGHT * work_ms + view.penalty_ms,
            first_ms,
            uncached,
            position,
        )
    };
    let prefills = usable(engines, EngineStage::Prefill).map(price);
    let (cost, first_ms, uncached, prefill) =
        prefills.min_by(|left, right| left.0.total_cmp(&right.0))?;
    let transfer = |view: &EngineView| {
        let tokens = size.prompt_tokens.saturating_sub(view.cached_tokens);
        let factor = if view.is_near { 1.0 } else { FAR_TRANSFER };
        factor * tokens as f64 / 1_000.0 * rates.transfer_ms_per_k
    };
    let decode_ms = |view: &EngineView| {
        let wait_ms = crowding_ms(rates, view) + transfer(view) + 2.0 * view.distance_ms;
        // A prefill of its own makes the steps of a decode engine longer.
        let steps_ms = (view.backlog_tokens > 0) as u8 as f64 * rates.handover_ms;
        wait_ms + steps_ms
    };
    let decodes = usable(engines, EngineStage::Decode)
        .map(|(position, view)| (decode_ms(view) + view.penalty_ms, decode_ms(view), position));
    let (decode_cost, after_ms, decode) =
        decodes.min_by(|left, right| left.0.total_cmp(&right.0))?;
    let choice = PlacementChoice {
        plan: PlacementPlan::Split { prefill, decode },
        first_token_ms: first_ms + after_ms + rates.handover_ms,
        uncached_tokens: uncached,
    };
    Some((cost + decode_cost + rates.handover_ms, choice))
}
