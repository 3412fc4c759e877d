//! Conversion of estimated times.

use std::time::Duration;

use acaciabank_relay::clock;

const MAX: Duration = Duration::from_secs(20);

/// Guards against a panic on an estimate that is no time, such as one by a link without capacity.
#[test]
fn estimates_that_are_no_times_give_the_maximum() {
    for time_ms in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, f64::MAX] {
        let duration = clock::estimated_duration(time_ms, MAX);
        assert_eq!(duration, MAX, "{time_ms}");
    }
}

/// Guards against sound estimates that are changed.
#[test]
fn sound_estimates_are_kept_up_to_the_maximum() {
    for (time_ms, expected_ms) in [(0.0, 0), (1_500.0, 1_500), (30_000.0, 20_000)] {
        let duration = clock::estimated_duration(time_ms, MAX);
        assert_eq!(duration, Duration::from_millis(expected_ms), "{time_ms}");
    }
}
