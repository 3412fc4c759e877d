//! Pace of the calls to the platform.

use acaciabank_core::control::{CallOutcome, CallPacer};

const PLATFORM_CALLS_PER_S: f64 = 50.0;

/// Guards against calls of the holder that use up the platform's limit, which would turn its own
/// urgent calls down.
#[test]
fn calls_stay_under_a_tenth_of_the_platforms_limit() {
    let mut pacer = CallPacer::new(PLATFORM_CALLS_PER_S);
    let mut now_ms = 10_000;
    let mut times = Vec::new();
    for _ in 0..100 {
        now_ms = pacer.reserve(now_ms);
        times.push(now_ms);
    }
    let burst = times.iter().filter(|time| **time == 10_000).count();
    assert!((1..=6).contains(&burst), "{burst} calls at once");
    let elapsed_ms = times[99] - times[0];
    assert!(elapsed_ms >= 18_500, "100 calls in {elapsed_ms} ms");
}

/// Guards against a holder that repeats failed calls without a pause, and against a pause that
/// outlasts a short failure by far.
#[test]
fn failures_delay_the_next_call_by_a_third_of_a_second_to_one() {
    let mut pacer = CallPacer::new(PLATFORM_CALLS_PER_S);
    let mut waits = Vec::new();
    for call in 0..5 {
        let now_ms = 10_000 + call * 5_000;
        pacer.record(now_ms, CallOutcome::Failed);
        waits.push(pacer.reserve(now_ms) - now_ms);
    }
    assert_eq!(waits, [300, 600, 1_000, 1_000, 1_000]);
    pacer.record(40_000, CallOutcome::Answered);
    assert_eq!(pacer.reserve(40_000), 40_000);
    pacer.record(50_000, CallOutcome::Failed);
    assert_eq!(pacer.reserve(50_000), 50_300);
}
