//! Speeds of prefill and decode that this daemon observed at the targets of one pool, by role.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use acaciabank_core::route;
use acaciabank_protocol::settings::EngineRole;

/// Number of roles.
pub(super) const ROLE_COUNT: usize = 3;
/// Least weight of a new observation, as a divisor. The first observations weigh more, so that the
/// assumed speed is forgotten at once.
const AVERAGE_WINDOW: u64 = 16;
/// Prompts shorter than this say more about the step of the engine than about its speed.
const MIN_PREFILL_TOKENS: u64 = 500;

/// Speeds of one role. A lost update between two observations at once does no harm.
#[derive(Debug)]
pub(super) struct SpeedEstimate {
    /// For 1,000 prompt tokens, so that the mean keeps its digits.
    prefill_us: MovingAverage,
    decode_us: MovingAverage,
}

/// A mean over the last observations.
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

impl SpeedEstimate {
    /// Assumed speeds of all roles.
    pub(super) fn per_role() -> [Self; ROLE_COUNT] {
        [EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode].map(|role| {
            let speed = route::TokenSpeed::assumed(role);
            Self {
                prefill_us: MovingAverage::new(speed.prefill_us * 1_000),
                decode_us: MovingAverage::new(speed.decode_us),
            }
        })
    }

    /// Records the time in which `tokens` prompt tokens were processed.
    pub(super) fn record_prefill(&self, elapsed: Duration, tokens: u64) {
        if tokens >= MIN_PREFILL_TOKENS {
            let sample = elapsed.as_micros() as u64 * 1_000 / tokens;
            self.prefill_us.record(sample);
        }
    }

    /// Records the time between two tokens in a batch that is `slowdown` times slower than an
    /// empty one.
    pub(super) fn record_decode(&self, elapsed: Duration, slowdown: f64) {
        let sample = elapsed.as_micros() as f64 / slowdown;
        self.decode_us.record(sample as u64);
    }

    fn speed(&self) -> route::TokenSpeed {
        route::TokenSpeed {
            prefill_us: (self.prefill_us.get() / 1_000).max(1),
            decode_us: self.decode_us.get(),
        }
    }
}

/// Speeds of all roles, by [`role_index`].
pub(super) fn current_speeds(
    observed: &[SpeedEstimate; ROLE_COUNT],
) -> [route::TokenSpeed; ROLE_COUNT] {
    [0, 1, 2].map(|index| observed[index].speed())
}

/// Position of a role.
pub(super) fn role_index(role: EngineRole) -> usize {
    match role {
        EngineRole::Mixed => 0,
        EngineRole::Prefill => 1,
        EngineRole::Decode => 2,
    }
}
