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

/// What the choice knows of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CandidateView {
    /// Whether the target accepts new work and is below its limit.
    pub usable: bool,
    /// Role in force.
    pub role: EngineRole,
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

/// Requests at a target now: the report, this daemon's change since then, and the growth caused by
/// other daemons, extrapolated from their growth between the last two reports.
pub fn estimated_load(reported: u32, own_at_report: u32, own_now: u32, others_growth: u32) -> u32 {
    let others = reported.saturating_sub(own_at_report);
    others.saturating_add(own_now).saturating_add(others_growth)
}

/// Expected time to the end of the request at a target, in microseconds.
pub fn score(cost: &RequestCost, view: &CandidateView) -> u64 {
    let (prefill_us, decode_us) = token_times(view.role);
    let slots = u64::from(view.slots.max(1));
    let load = u64::from(view.load);
    let cached_tokens = u64::from(view.cached_pieces).saturating_mul(cost.piece_tokens);
    let prefill_tokens = cost.prompt_tokens.saturating_sub(cached_tokens);
    let decode = cost.max_tokens.saturating_mul(decode_us);
    // A batch grows slower as it fills: a full one takes twice the time for each token.
    let decode = decode.saturating_add(decode.saturating_mul(load.min(slots)) / slots);
    let excess = (load + 1).saturating_sub(slots);
    let wait = decode.saturating_mul(excess) / slots;
    let prefill = view
        .waiting_prefill_tokens
        .saturating_add(prefill_tokens)
        .saturating_mul(prefill_us);
    wait.saturating_add(prefill)
        .saturating_add(decode)
        .saturating_add(2 * u64::from(view.distance_us))
}

/// Times for one prompt token and one generated token. A role makes its own phase faster and the
/// other one slower; the factor 2 is an assumption until times are observed.
fn token_times(role: EngineRole) -> (u64, u64) {
    match role {
        EngineRole::Mixed => (DEFAULT_PREFILL_US, DEFAULT_DECODE_US),
        EngineRole::Prefill => (DEFAULT_PREFILL_US / 2, DEFAULT_DECODE_US * 2),
        EngineRole::Decode => (DEFAULT_PREFILL_US * 2, DEFAULT_DECODE_US / 2),
    }
}

/// Chooses a candidate by its position; `None` when none is usable. `seed` is a fresh random
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
    let usable = candidates
        .enumerate()
        .filter(|(_, view)| view.usable)
        .map(|(position, _)| position);
    let count = usable.clone().count() as u64;
    let skipped = turn.checked_rem(count)?;
    usable.clone().nth(skipped as usize)
}

fn choose_least(candidates: impl Iterator<Item = CandidateView>, seed: u64) -> Option<usize> {
    let usable = candidates.enumerate().filter(|(_, view)| view.usable);
    let ranked = usable.map(|(position, view)| {
        let fill = u64::from(view.load) * 1_000 / u64::from(view.slots.max(1));
        (fill, mix(seed, position), position)
    });
    ranked.min().map(|(_, _, position)| position)
}

/// Draws two random candidates among those with the longest cached prefix and two among all, and
/// takes the lowest score. Drawing keeps daemons with the same stale report from choosing the same
/// target; the second draw keeps a popular prefix from overloading its holders.
fn choose_adaptive(
    cost: &RequestCost,
    candidates: impl Iterator<Item = CandidateView>,
    seed: u64,
) -> Option<usize> {
    let mut any = DrawnPair::default();
    let mut cached = DrawnPair::default();
    let mut longest = 0;
    for (position, view) in candidates.enumerate() {
        if !view.usable {
            continue;
        }
        let drawn = Drawn {
            rank: mix(seed, position),
            position,
            view,
        };
        any.offer(drawn);
        if view.cached_pieces > longest {
            longest = view.cached_pieces;
            cached = DrawnPair::default();
        }
        if view.cached_pieces == longest && longest > 0 {
            cached.offer(drawn);
        }
    }
    let drawn = any.0.into_iter().chain(cached.0).flatten();
    drawn
        .map(|drawn| (score(cost, &drawn.view), drawn.rank, drawn.position))
        .min()
        .map(|(_, _, position)| position)
}

#[derive(Clone, Copy)]
struct Drawn {
    rank: u64,
    position: usize,
    view: CandidateView,
}

/// The two offered candidates of lowest rank.
#[derive(Default)]
struct DrawnPair([Option<Drawn>; 2]);

impl DrawnPair {
    fn offer(&mut self, drawn: Drawn) {
        let precedes = |other: &Option<Drawn>| other.is_none_or(|other| drawn.rank < other.rank);
        if precedes(&self.0[0]) {
            self.0[1] = self.0[0];
            self.0[0] = Some(drawn);
        } else if precedes(&self.0[1]) {
            self.0[1] = Some(drawn);
        }
    }
}

/// Pseudo-random rank of a position (the finaliser of SplitMix64).
pub fn mix(seed: u64, position: usize) -> u64 {
    let step = (position as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mut value = seed.wrapping_add(step);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
