//! The estimated speed of engines, from seeded traces of observations.

use acaciabank_core::prompt_speed::{PromptObservation, SpeedEstimate};
use rand::{Rng, RngExt, SeedableRng, rngs::StdRng};

/// An observation of an engine with the given speed. One in five is disturbed by other work.
fn observe(rng: &mut impl Rng, tokens_per_ms: f64) -> PromptObservation {
    let tokens = rng.random_range(2_500..17_000);
    let noise = rng.random_range(0.9..1.1);
    let disturbance = match rng.random_range(0..5) {
        0 => rng.random_range(1.0..4.0),
        _ => 1.0,
    };
    PromptObservation {
        tokens,
        work_ms: tokens as f64 / tokens_per_ms * noise * disturbance,
    }
}

fn assert_close(estimate: &SpeedEstimate, tokens_per_ms: f64, seed: u64) {
    let ratio = estimate.tokens_per_ms() / tokens_per_ms;
    assert!(
        (0.85..1.15).contains(&ratio),
        "seed {seed}: {estimate:?} for {tokens_per_ms}"
    );
}

/// Guards against an estimate that fits the engines of one deployment only: those of others are
/// three times as fast or a third as fast.
#[test]
fn the_speed_of_any_engines_is_learned_from_a_hundred_prompts() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        for tokens_per_ms in [12.0, 19.0, 38.0, 48.0, 76.0, 114.0] {
            let mut estimate = SpeedEstimate::default();
            for _ in 0..100 {
                estimate.record(observe(&mut rng, tokens_per_ms));
            }
            assert_close(&estimate, tokens_per_ms, seed);
        }
    }
}

/// Guards against one slow engine that is taken for all of them.
#[test]
fn a_slow_engine_does_not_move_the_estimate() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut estimate = SpeedEstimate::default();
        for _ in 0..300 {
            let is_slow = rng.random_range(0..9) == 0;
            let tokens_per_ms = if is_slow { 10.0 } else { 48.0 };
            estimate.record(observe(&mut rng, tokens_per_ms));
        }
        assert_close(&estimate, 48.0, seed);
    }
}

/// Guards against an estimate that no longer follows after many observations, as when engines are
/// replaced by faster ones.
#[test]
fn a_lasting_change_is_followed() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut estimate = SpeedEstimate::default();
        for tokens_per_ms in [48.0, 96.0, 24.0] {
            for _ in 0..400 {
                estimate.record(observe(&mut rng, tokens_per_ms));
            }
            assert_close(&estimate, tokens_per_ms, seed);
        }
    }
}

/// Guards against short prompts, which measure fixed times, and against impossible observations.
#[test]
fn short_prompts_and_impossible_times_are_ignored() {
    let mut estimate = SpeedEstimate::default();
    for (tokens, work_ms) in [(1_999, 100.0), (8_000, 0.0), (8_000, -3.0)] {
        estimate.record(PromptObservation { tokens, work_ms });
    }
    assert_eq!(estimate, SpeedEstimate::default());
}
