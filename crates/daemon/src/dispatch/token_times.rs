//! Times per token that this daemon observed at the targets of one pool, by role.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use acaciabank_core::route;
use acaciabank_protocol::settings::EngineRole;

/// Number of engine roles.
pub(super) const ROLE_COUNT: usize = 3;
/// Number of observations after which a new one keeps the weight `1 / AVERAGE_WINDOW`. Earlier ones
/// weigh more; the first one replaces the assumed time.
const AVERAGE_WINDOW: u64 = 16;
/// Shortest prompt whose prefill time is recorded; the time of a shorter one is dominated by the
/// duration of an engine step.
const MIN_PREFILL_TOKENS: u64 = 500;

/// Estimated times per token of one role. An update lost to a concurrent observation is acceptable.
#[derive(Debug)]
pub(super) struct TokenTimeEstimate {
    /// Time for 1,000 prompt tokens; a mean per token would lose precision as an integer.
    prefill_us: MovingAverage,
    /// Time for one generated token in an otherwise empty batch.
    decode_us: MovingAverage,
}

/// Exponential moving average of the observations.
#[derive(Debug)]
struct MovingAverage {
    mean: AtomicU64,
    observations: AtomicU64,
}

impl MovingAverage {
    fn new(assumed: u64) -> Self {
        Self {
            mean: AtomicU64::new(assumed),
            observations: AtomicU64::new(0),
        }
    }

    fn get(&self) -> u64 {
        self.mean.load(Ordering::Relaxed)
    }

    fn record(&self, sample: u64) {
        let observations = self.observations.fetch_add(1, Ordering::Relaxed) + 1;
        let divisor = observations.min(AVERAGE_WINDOW);
        let mean = (self.get() * (divisor - 1) + sample) / divisor;
        self.mean.store(mean.max(1), Ordering::Relaxed);
    }
}

impl TokenTimeEstimate {
    /// Estimates for all roles, initialized to the assumed times.
    pub(super) fn per_role() -> [Self; ROLE_COUNT] {
        [EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode].map(|role| {
            let assumed = route::TokenTimes::assumed(role);
            Self {
                prefill_us: MovingAverage::new(assumed.prefill_us * 1_000),
                decode_us: MovingAverage::new(assumed.decode_us),
            }
        })
    }

    /// Records that processing `tokens` prompt tokens took `elapsed`.
    pub(super) fn record_prefill(&self, elapsed: Duration, tokens: u64) {
        if tokens >= MIN_PREFILL_TOKENS {
            let sample = elapsed.as_micros() as u64 * 1_000 / tokens;
            self.prefill_us.record(sample);
        }
    }

    /// Records the time between two tokens in a batch that is `slowdown` times slower than an empty
    /// one.
    pub(super) fn record_decode(&self, elapsed: Duration, slowdown: f64) {
        let sample = elapsed.as_micros() as f64 / slowdown;
        self.decode_us.record(sample as u64);
    }

    fn current(&self) -> route::TokenTimes {
        route::TokenTimes {
            prefill_us: (self.prefill_us.get() / 1_000).max(1),
            decode_us: self.decode_us.get(),
        }
    }
}

/// Current estimates of all roles, indexed by [`role_index`].
pub(super) fn current(
    observed: &[TokenTimeEstimate; ROLE_COUNT],
) -> [route::TokenTimes; ROLE_COUNT] {
    [0, 1, 2].map(|index| observed[index].current())
}

/// Index of a role in the arrays of this module.
pub(super) fn role_index(role: EngineRole) -> usize {
    match role {
        EngineRole::Mixed => 0,
        EngineRole::Prefill => 1,
        EngineRole::Decode => 2,
    }
}
