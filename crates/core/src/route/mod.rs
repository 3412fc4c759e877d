//! Choice of a target: scores and the policies that use them.

use acaciabank_protocol::settings::{EngineRole, RoutingPolicy};

/// Time to process one prompt token at a mixed engine, assumed before any is observed.
pub const DEFAULT_PREFILL_US: u64 = 50;
/// Time between two tokens at a mixed engine, assumed before any is observed.
pub const DEFAULT_DECODE_US: u64 = 25_000;

/// What a request costs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCost {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens to generate at most.
    pub max_tokens: u64,
    /// Tokens in one cache piece.
    pub piece_tokens: u64,
}

/// Times for one prompt token and for one generated token in an empty batch, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenSpeed {
    /// For one prompt token.
    pub prefill_us: u64,
    /// For one generated token.
    pub decode_us: u64,
}

impl TokenSpeed {
    /// Speeds assumed before any is observed. A role makes its own phase faster and the other one
    /// slower; the factor 2 is an assumption.
    pub fn assumed(role: EngineRole) -> Self {
        let (prefill_us, decode_us) = match role {
            EngineRole::Mixed => (DEFAULT_PREFILL_US, DEFAULT_DECODE_US),
            EngineRole::Prefill => (DEFAULT_PREFILL_US / 2, DEFAULT_DECODE_US * 2),
            EngineRole::Decode => (DEFAULT_PREFILL_US * 2, DEFAULT_DECODE_US / 2),
        };
        Self {
            prefill_us,
            decode_us,
        }
    }
}

/// What the choice knows of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CandidateView {
    /// Whether the target accepts new work and is below its limit.
    pub is_available: bool,
    /// Role in force.
    pub role: EngineRole,
    /// Speeds observed at targets of this role.
    pub speed: TokenSpeed,
    /// Estimated requests at the target; see [`estimated_load`].
    pub load: u32,
    /// Requests that it batches at most.
    pub slots: u32,
    /// Prompt tokens that are not processed yet.
    pub waiting_prefill_tokens: u64,
    /// Whole prompt pieces believed to be in its cache.
    pub cached_pieces: u32,
    /// One-way distance in microseconds.
    pub distance_us: u32,
}

impl CandidateView {
    /// The same target without any load.
    fn idle(&self) -> Self {
        Self {
            load: 0,
            waiting_prefill_tokens: 0,
            ..*self
        }
    }
}

/// Requests at a target now: the report, this daemon's change since then, and the growth caused by
/// other daemons, extrapolated from their growth between the last two reports.
pub fn estimated_load(reported: u32, own_at_report: u32, own_now: u32, others_growth: u32) -> u32 {
    let others = reported.saturating_sub(own_at_report);
    others.saturating_add(own_now).saturating_add(others_growth)
}

/// Prompt tokens that a target must process for a request.
pub fn uncached_tokens(cost: &RequestCost, view: &CandidateView) -> u64 {
    let cached_tokens = u64::from(view.cached_pieces).saturating_mul(cost.piece_tokens);
    cost.prompt_tokens.saturating_sub(cached_tokens)
}

/// Expected cost of a request at a target, in microseconds: the time to its end, and the time by
/// which its prompt delays as many other requests as are there now.
pub fn score(cost: &RequestCost, view: &CandidateView) -> u64 {
    prefill_score(cost, view)
        .saturating_add(decode_score(cost, view))
        .saturating_add(2 * u64::from(view.distance_us))
}

/// The part of the score that the prompt causes.
pub fn prefill_score(cost: &RequestCost, view: &CandidateView) -> u64 {
    let own = uncached_tokens(cost, view).saturating_mul(view.speed.prefill_us);
    let delay = own.saturating_mul(u64::from(view.load.min(view.slots)));
    let waiting = view.waiting_prefill_tokens;
    waiting
        .saturating_mul(view.speed.prefill_us)
        .saturating_add(own)
        .saturating_add(delay)
}

/// The part of the score that the generated tokens cause.
pub fn decode_score(cost: &RequestCost, view: &CandidateView) -> u64 {
    let slots = u64::from(view.slots.max(1));
    let load = u64::from(view.load);
    let decode = cost.max_tokens.saturating_mul(view.speed.decode_us);
    // A batch grows slower as it fills: a full one takes twice the time for each token.
    let decode = decode.saturating_add(decode.saturating_mul(load.min(slots)) / slots);
    let excess = (load + 1).saturating_sub(slots);
    let wait = decode.saturating_mul(excess) / slots;
    wait.saturating_add(decode)
}

/// Expected time to the end of a request at a target, in microseconds. A full batch's wait is left
/// out: a request is only placed below the target's limit.
pub fn expected_us(cost: &RequestCost, view: &CandidateView) -> u64 {
    let queued = view
        .waiting_prefill_tokens
        .saturating_add(uncached_tokens(cost, view));
    let prefill = queued.saturating_mul(view.speed.prefill_us);
    let slots = u64::from(view.slots.max(1));
    let decode = cost.max_tokens.saturating_mul(view.speed.decode_us);
    let slower = decode.saturating_mul(u64::from(view.load).min(slots)) / slots;
    prefill.saturating_add(decode).saturating_add(slower)
}

/// Prompts from this length on may be processed at another target than the one that generates.
/// Below it the choice is not worth its time.
pub const MIN_SPLIT_TOKENS: u64 = 100;
/// Assumed time to transfer the KV cache of one token, in microseconds.
const TRANSFER_US: u64 = 5;

/// Chooses a prefill target for the prompt alone when that, the transfer and generating at the best
/// other target cost less than the whole request anywhere; `None` otherwise.
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
    // The prefill call generates one token, which nobody uses, and takes another round trip.
    let prefill_call = |view: &CandidateView| {
        prefill_score(cost, view)
            .saturating_add(view.speed.decode_us * u64::from(view.load + 1))
            .saturating_add(2 * u64::from(view.distance_us))
    };
    let ranked = prefills.map(|(position, view)| {
        let score = prefill_call(&view);
        let idle = prefill_call(&view.idle());
        (spread(idle, score, seed, position), score, position)
    });
    // The random addition orders the targets; it must not decide whether a split pays.
    let (_, prefill, position) = ranked.min()?;
    let others = available
        .clone()
        .filter(|(_, view)| view.role != EngineRole::Prefill);
    let decode = others.map(|(_, view)| decode_score(cost, &view)).min()?;
    let whole = available.map(|(_, view)| score(cost, &view)).min()?;
    let transfer = cost.prompt_tokens.saturating_mul(TRANSFER_US);
    let split = prefill.saturating_add(decode).saturating_add(transfer);
    (split < whole).then_some(position)
}

/// Chooses a candidate by its position; `None` when none is available. `seed` is a fresh random
/// number, or the turn for `round_robin`.
pub fn choose(
    policy: RoutingPolicy,
    cost: &RequestCost,
    candidates: impl Iterator<Item = CandidateView> + Clone,
    seed: u64,
) -> Option<usize> {
    match policy {
        RoutingPolicy::RoundRobin => choose_in_turn(candidates, seed),
        RoutingPolicy::LeastLoad => choose_least(candidates, seed),
        RoutingPolicy::Adaptive => choose_adaptive(cost, candidates, seed),
    }
}

fn choose_in_turn(
    candidates: impl Iterator<Item = CandidateView> + Clone,
    turn: u64,
) -> Option<usize> {
    let available = candidates
        .enumerate()
        .filter(|(_, view)| view.is_available)
        .map(|(position, _)| position);
    let count = available.clone().count() as u64;
    let skipped = turn.checked_rem(count)?;
    available.clone().nth(skipped as usize)
}

fn choose_least(candidates: impl Iterator<Item = CandidateView>, seed: u64) -> Option<usize> {
    let available = candidates.enumerate().filter(|(_, view)| view.is_available);
    let ranked = available.map(|(position, view)| {
        let fill = u64::from(view.load) * 1_000 / u64::from(view.slots.max(1));
        (fill, mix(seed, position), position)
    });
    ranked.min().map(|(_, _, position)| position)
}

/// Takes the lowest score after a random addition. The addition keeps daemons with the same stale
/// report from choosing the same target.
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

/// Score with a random addition.
pub fn score_with_jitter(
    cost: &RequestCost,
    view: &CandidateView,
    seed: u64,
    position: usize,
) -> u64 {
    let idle = score(cost, &view.idle());
    spread(idle, score(cost, view), seed, position)
}

/// Adds a pseudo-random part of up to a quarter of what the load adds to the score of an idle target,
/// and up to 255 us so that equal targets are chosen in turn. The rest of the score is known exactly:
/// an addition to it would outweigh a cached prompt where a request generates for long.
fn spread(idle: u64, score: u64, seed: u64, position: usize) -> u64 {
    let share = mix(seed, position) & 0xff;
    let load = score.saturating_sub(idle);
    let addition = (load >> 10).saturating_mul(share).saturating_add(share);
    score.saturating_add(addition)
}

/// Pseudo-random rank of a position (the finaliser of SplitMix64).
pub fn mix(seed: u64, position: usize) -> u64 {
    let step = (position as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut value = seed.wrapping_add(step);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
