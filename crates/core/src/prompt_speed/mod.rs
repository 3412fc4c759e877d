//! Estimate of the speed at which the engines of a service process prompts, as requests see it.
//!
//! The platform does not state the speed, and engines differ by model and accelerator. The estimate
//! follows the median of the observed speeds, so that a few slow engines or disturbed prompts do
//! not move it far.
//!
//! # Example
//!
//! ```
//! use acaciabank_core::prompt_speed::{PromptObservation, SpeedEstimate};
//!
//! let mut estimate = SpeedEstimate::default();
//! for _ in 0..50 {
//!     estimate.record(PromptObservation { tokens: 8_000, work_ms: 100.0 });
//! }
//! assert!((estimate.tokens_per_ms() - 80.0).abs() < 8.0);
//! ```

/// Speed assumed before the first observation, in prompt tokens per millisecond.
const INITIAL_TOKENS_PER_MS: f64 = 38.0;
/// Shortest prompt that is observed: shorter ones mostly measure fixed times.
const MIN_TOKENS: u64 = 2_000;
/// Relative step of the first observations.
const INITIAL_STEP: f64 = 0.15;
/// Smallest relative step, so that the estimate follows a lasting change within about a hundred
/// observations.
const MIN_STEP: f64 = 0.01;
/// Number of observations in which the step shrinks to a half of the first one.
const STEP_HALVING: f64 = 10.0;
/// Largest factor between the initial speed and the estimate, in both directions.
const MAX_FACTOR: f64 = 32.0;

/// Processing of one prompt at an engine that had no other prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptObservation {
    /// Prompt tokens that were processed.
    pub tokens: u64,
    /// Time that it took, without the fixed time of each prompt.
    pub work_ms: f64,
}

/// Estimated speed of a service's prefill engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedEstimate {
    tokens_per_ms: f64,
    observations: u32,
}

impl Default for SpeedEstimate {
    fn default() -> Self {
        Self {
            tokens_per_ms: INITIAL_TOKENS_PER_MS,
            observations: 0,
        }
    }
}

impl SpeedEstimate {
    /// Returns the estimate, in prompt tokens per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Moves the estimate towards an observed speed. The size of the step does not depend on the
    /// distance, so the estimate settles where as many observations are faster as are slower.
    pub fn record(&mut self, observation: PromptObservation) {
        if observation.tokens < MIN_TOKENS || observation.work_ms <= 0.0 {
            return;
        }
        let observed = observation.tokens as f64 / observation.work_ms;
        let step =
            (INITIAL_STEP / (1.0 + f64::from(self.observations) / STEP_HALVING)).max(MIN_STEP);
        let distance = (observed / self.tokens_per_ms).ln();
        let moved = self.tokens_per_ms * distance.clamp(-step, step).exp();
        let lowest = INITIAL_TOKENS_PER_MS / MAX_FACTOR;
        self.tokens_per_ms = moved.clamp(lowest, INITIAL_TOKENS_PER_MS * MAX_FACTOR);
        self.observations = self.observations.saturating_add(1);
    }
}
