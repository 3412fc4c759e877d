//! Target selection: scores of candidates and the routing policies that use them.

use acaciabank_protocol::settings::{EngineRole, RoutingPolicy};

/// Time per prompt token at a mixed engine, assumed before any is observed, in microseconds.
pub const DEFAULT_PREFILL_US_PER_TOKEN: u64 = 50;
/// Time per generated token at a mixed engine, assumed before any is observed, in microseconds.
pub const DEFAULT_DECODE_US_PER_TOKEN: u64 = 25_000;

/// Amount of work that a request causes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCost {
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Length of one piece of the prefix cache.
    pub piece_tokens: u64,
}

/// Processing time per token in an empty batch, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenTimes {
    /// Time per prompt token.
    pub prefill_us: u64,
    /// Time per generated token.
    pub decode_us: u64,
}

impl TokenTimes {
    /// Returns the times assumed before any are observed. A role is assumed to be twice as fast in
    /// its own phase and half as fast in the other one.
    pub fn assumed(role: EngineRole) -> Self {
        let (prefill_us, decode_us) = match role {
            EngineRole::Mixed => (DEFAULT_PREFILL_US_PER_TOKEN, DEFAULT_DECODE_US_PER_TOKEN),
            EngineRole::Prefill => (
                DEFAULT_PREFILL_US_PER_TOKEN / 2,
                DEFAULT_DECODE_US_PER_TOKEN * 2,
            ),
            EngineRole::Decode => (
                DEFAULT_PREFILL_US_PER_TOKEN * 2,
                DEFAULT_DECODE_US_PER_TOKEN / 2,
            ),
        };
        Self {
            prefill_us,
            decode_us,
        }
    }
}

/// State of a target that the selection considers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CandidateView {
    /// Whether the target accepts new requests and is below its concurrency limit.
    pub is_available: bool,
    /// Current role of the engine.
    pub role: EngineRole,
    /// Times per token observed at targets with this role.
    pub token_times: TokenTimes,
    /// Estimated number of requests at the target; see [`estimated_load`].
    pub load: u32,
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Prompt tokens that wait for prefill.
    pub waiting_prefill_tokens: u64,
    /// Number of pieces of the prompt that are believed to be in the target's cache.
    pub cached_pieces: u32,
    /// One-way network latency in microseconds.
    pub distance_us: u32,
}

impl CandidateView {
    /// Returns the same target without any load.
    fn without_load(&self) -> Self {
        Self {
            load: 0,
            waiting_prefill_tokens: 0,
            ..*self
        }
    }
}

/// Estimates the requests at a target now: the reported load, corrected by this daemon's own change
/// since the report and by the growth caused by other daemons, which is extrapolated from the last
/// two reports.
pub fn estimated_load(reported: u32, own_at_report: u32, own_now: u32, others_growth: u32) -> u32 {
    let others = reported.saturating_sub(own_at_report);
    others.saturating_add(own_now).saturating_add(others_growth)
}

/// Number of prompt tokens that a target must process because they are not in its cache.
pub fn uncached_tokens(cost: &RequestCost, view: &CandidateView) -> u64 {
    let cached_tokens = u64::from(view.cached_pieces).saturating_mul(cost.piece_tokens);
    cost.prompt_tokens.saturating_sub(cached_tokens)
}

/// Expected cost of a request at a target, in microseconds: the time to its completion plus the
/// delay that its prompt causes to the requests already there.
pub fn score(cost: &RequestCost, view: &CandidateView) -> u64 {
    prefill_score(cost, view)
        .saturating_add(decode_score(cost, view))
        .saturating_add(2 * u64::from(view.distance_us))
}

/// Part of the score that the prompt causes.
pub fn prefill_score(cost: &RequestCost, view: &CandidateView) -> u64 {
    let own = uncached_tokens(cost, view).saturating_mul(view.token_times.prefill_us);
    let delay = own.saturating_mul(u64::from(view.load.min(view.slots)));
    let waiting = view.waiting_prefill_tokens;
    waiting
        .saturating_mul(view.token_times.prefill_us)
        .saturating_add(own)
        .saturating_add(delay)
}

/// Part of the score that the generated tokens cause.
pub fn decode_score(cost: &RequestCost, view: &CandidateView) -> u64 {
    let slots = u64::from(view.slots.max(1));
    let load = u64::from(view.load);
    let decode = cost.max_tokens.saturating_mul(view.token_times.decode_us);
    // A batch slows down as it fills: a full one takes twice the time per token.
    let decode = decode.saturating_add(decode.saturating_mul(load.min(slots)) / slots);
    let excess = (load + 1).saturating_sub(slots);
    let wait = decode.saturating_mul(excess) / slots;
    wait.saturating_add(decode)
}

/// Expected time to the completion of a request at a target, in microseconds. It leaves out the
/// wait for a full batch, because a request is only placed below the target's concurrency limit.
pub fn expected_us(cost: &RequestCost, view: &CandidateView) -> u64 {
    let queued = view
        .waiting_prefill_tokens
        .saturating_add(uncached_tokens(cost, view));
    let prefill = queued.saturating_mul(view.token_times.prefill_us);
    let slots = u64::from(view.slots.max(1));
    let decode = cost.max_tokens.saturating_mul(view.token_times.decode_us);
    let slowdown = decode.saturating_mul(u64::from(view.load).min(slots)) / slots;
    prefill.saturating_add(decode).saturating_add(slowdown)
}

/// Minimum prompt length for prefill and decode at different targets. For shorter prompts the gain
/// is not worth the time of the selection.
pub const MIN_SPLIT_TOKENS: u64 = 100;
/// Assumed time to transfer the KV cache of one token, in microseconds.
const TRANSFER_US_PER_TOKEN: u64 = 5;

/// Chooses a prefill target if prefill there, the KV transfer and decode at the best other target
/// cost less than the whole request at any single target. Returns its position, or `None` if the
/// request should not be split.
pub fn choose_prefill(
    cost: &RequestCost,
    candidates: impl Iterator<Item = CandidateView> + Clone,
    seed: u64,
) -> Option<usize> {
    if cost.prompt_tokens < MIN_SPLIT_TOKENS {
        return None;
    }
    let available = candidates.enumerate().filter(|(_, view)| view.is_available);
    let prefills = available
        .clone()
        .filter(|(_, view)| view.role == EngineRole::Prefill);
    // The prefill call generates one token that is discarded, and takes an additional round trip.
    let prefill_call_score = |view: &CandidateView| {
        prefill_score(cost, view)
            .saturating_add(view.token_times.decode_us * u64::from(view.load + 1))
            .saturating_add(2 * u64::from(view.distance_us))
    };
    let ranked = prefills.map(|(position, view)| {
        let score = prefill_call_score(&view);
        let idle_score = prefill_call_score(&view.without_load());
        (
            add_jitter(idle_score, score, seed, position),
            score,
            position,
        )
    });
    // Jitter ranks the targets but is left out of the comparison that decides on the split.
    let (_, prefill, position) = ranked.min()?;
    let others = available
        .clone()
        .filter(|(_, view)| view.role != EngineRole::Prefill);
    let decode = others.map(|(_, view)| decode_score(cost, &view)).min()?;
    let whole = available.map(|(_, view)| score(cost, &view)).min()?;
    let transfer = cost.prompt_tokens.saturating_mul(TRANSFER_US_PER_TOKEN);
    let split = prefill.saturating_add(decode).saturating_add(transfer);
    (split < whole).then_some(position)
}

/// Chooses a candidate by the policy and returns its position, or `None` if none is available.
/// `seed` is a new random number for each call; for [`RoutingPolicy::RoundRobin`] it is a request
/// counter.
pub fn choose(
    policy: RoutingPolicy,
    cost: &RequestCost,
    candidates: impl Iterator<Item = CandidateView> + Clone,
    seed: u64,
) -> Option<usize> {
    match policy {
        RoutingPolicy::RoundRobin => choose_round_robin(candidates, seed),
        RoutingPolicy::LeastLoad => choose_least_load(candidates, seed),
        RoutingPolicy::Adaptive => choose_adaptive(cost, candidates, seed),
    }
}

fn choose_round_robin(
    candidates: impl Iterator<Item = CandidateView> + Clone,
    counter: u64,
) -> Option<usize> {
    let available = candidates
        .enumerate()
        .filter(|(_, view)| view.is_available)
        .map(|(position, _)| position);
    let count = available.clone().count() as u64;
    let index = counter.checked_rem(count)?;
    available.clone().nth(index as usize)
}

fn choose_least_load(candidates: impl Iterator<Item = CandidateView>, seed: u64) -> Option<usize> {
    let available = candidates.enumerate().filter(|(_, view)| view.is_available);
    let ranked = available.map(|(position, view)| {
        let load_permille = u64::from(view.load) * 1_000 / u64::from(view.slots.max(1));
        (load_permille, mix(seed, position), position)
    });
    ranked.min().map(|(_, _, position)| position)
}

/// Chooses the lowest score after adding jitter, which keeps daemons with the same stale report
/// from choosing the same target.
fn choose_adaptive(
    cost: &RequestCost,
    candidates: impl Iterator<Item = CandidateView>,
    seed: u64,
) -> Option<usize> {
    let available = candidates.enumerate().filter(|(_, view)| view.is_available);
    let ranked = available
        .map(|(position, view)| (score_with_jitter(cost, &view, seed, position), position));
    ranked.min().map(|(_, position)| position)
}

/// Returns the score of a candidate with jitter.
pub fn score_with_jitter(
    cost: &RequestCost,
    view: &CandidateView,
    seed: u64,
    position: usize,
) -> u64 {
    let idle_score = score(cost, &view.without_load());
    add_jitter(idle_score, score(cost, view), seed, position)
}

/// Adds jitter to a score: up to a quarter of the part that is caused by load, plus up to 255 us so
/// that equal targets are chosen equally often. The rest of the score is exact: jitter in
/// proportion to it would outweigh a cached prompt if the request generates many tokens.
fn add_jitter(idle_score: u64, score: u64, seed: u64, position: usize) -> u64 {
    let random_byte = mix(seed, position) & 0xff;
    let load_score = score.saturating_sub(idle_score);
    let jitter = (load_score >> 10)
        .saturating_mul(random_byte)
        .saturating_add(random_byte);
    score.saturating_add(jitter)
}

/// Hashes a seed and a position to a pseudo-random number with the finalizer of SplitMix64.
pub fn mix(seed: u64, position: usize) -> u64 {
    let offset = (position as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut value = seed.wrapping_add(offset);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
