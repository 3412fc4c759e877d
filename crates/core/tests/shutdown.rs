//! Which requests a stopping daemon accepts.

use std::time::{Duration, Instant};

use acaciabank_core::shutdown::{PendingRequest, RouteTimes, ShutdownTimes};
use rand::{RngExt, SeedableRng, rngs};

const CACHED: Duration = Duration::from_secs(3);
const GRACE: Duration = Duration::from_secs(8);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Whether a request is accepted that was read `read_ms` after the signal.
fn accepts(read_ms: u64, deadline_ms: u64, expected_ms: u64) -> bool {
    let received = Instant::now();
    let times = ShutdownTimes::new(received, CACHED, GRACE);
    let request = PendingRequest {
        read_at: received + ms(read_ms),
        deadline: received + ms(deadline_ms),
        expected: ms(expected_ms),
    };
    times.accepts(&request, request.read_at)
}

/// Guards against accepting by an expectation once callers no longer use the address: a response
/// that takes longer than expected would be cut.
#[test]
fn an_expectation_does_not_count_after_the_address_lifetime() {
    assert!(accepts(2_000, 10_000, 10));
    for read_ms in [3_000, 3_100, 5_000, 7_000] {
        assert!(!accepts(read_ms, read_ms + 8_000, 10), "{read_ms}");
    }
}

/// Guards against refusing what must end before the process does.
#[test]
fn a_request_whose_deadline_is_before_the_end_is_accepted() {
    for read_ms in [0, 2_000, 3_500, 6_000] {
        assert!(accepts(read_ms, 7_300, 60_000), "{read_ms}");
    }
}

/// Guards against accepting a response that is known to take longer than the process runs.
#[test]
fn a_response_that_is_expected_to_take_too_long_is_refused() {
    assert!(accepts(500, 20_500, 6_200));
    assert!(!accepts(1_500, 21_500, 6_200));
    assert!(!accepts(0, 8_000, 7_300));
}

/// Guards against an end that is later than the grace period allows, and against an address
/// lifetime that outlasts the process.
#[test]
fn the_end_leaves_time_to_respond_within_any_grace_period() {
    let received = Instant::now();
    for grace_ms in [0, 1, 100, 1_000, 2_800, 8_000, 60_000] {
        let times = ShutdownTimes::new(received, CACHED, ms(grace_ms));
        let margin = received + ms(grace_ms) - times.end;
        assert!(margin >= ms(700).min(ms(grace_ms) / 6), "{grace_ms}");
        assert!(margin <= ms(grace_ms) / 6, "{grace_ms}");
        assert!(times.cached_until <= times.end, "{grace_ms}");
    }
}

/// Guards against requests that wait at the daemon for longer than their response may take.
#[test]
fn the_latest_start_leaves_the_expected_time() {
    let received = Instant::now();
    let times = ShutdownTimes::new(received, CACHED, GRACE);
    for expected_ms in [0, 100, 4_000, 7_000] {
        let latest = times.latest_start(ms(expected_ms));
        let request = |start| PendingRequest {
            read_at: received,
            deadline: received + ms(20_000),
            expected: ms(expected_ms) + (start - latest),
        };
        assert!(times.accepts(&request(latest), latest));
        assert!(!times.accepts(&request(latest + ms(1)), latest + ms(1)));
    }
}

/// Guards against an expected time that follows the usual response and not the long ones, and
/// against one that a single response determines for good.
#[test]
fn the_expected_time_follows_the_long_responses() {
    let mut rng = rngs::StdRng::seed_from_u64(41);
    let mut times = RouteTimes::default();
    for _ in 0..200 {
        times.record_first(ms(rng.random_range(100..200)));
        times.record_rest(ms(rng.random_range(500..1_000)), 101);
    }
    let first = times.expected_first(ms(0));
    assert!(first >= ms(185) && first < ms(200), "{first:?}");
    let rest = times.expected_rest(101);
    assert!(rest >= ms(900) && rest < ms(1_001), "{rest:?}");
    times.record_first(ms(60_000));
    assert!(times.expected_first(ms(0)) < ms(200));
    for _ in 0..64 {
        times.record_first(ms(50));
    }
    assert!(times.expected_first(ms(0)) < ms(51));
}

/// Guards against an expected time of zero before the first response, and against lengths that
/// cannot be represented.
#[test]
fn unknown_routes_and_huge_lengths_have_an_expected_time() {
    let times = RouteTimes::default();
    assert_eq!(times.expected_first(ms(600)), ms(600));
    assert_eq!(times.expected_rest(21), ms(1_000));
    assert_eq!(times.expected_rest(0), Duration::ZERO);
    assert!(times.expected_rest(u64::MAX) >= Duration::from_secs(3_600));
    let mut times = times;
    times.record_rest(ms(10), 0);
    times.record_rest(ms(10), 1);
    assert_eq!(times.expected_rest(21), ms(1_000));
    times.record_rest(ms(6), 2);
    let rest = times.expected_rest(1_001);
    assert!(rest >= ms(5_999) && rest <= ms(6_001), "{rest:?}");
}

/// Guards against an expected time that a few short streams decide: a resumed stream of two tokens
/// lasts as long as one delay of the network.
#[test]
fn short_streams_count_little_beside_long_ones() {
    let mut times = RouteTimes::default();
    for number in 0..60 {
        times.record_rest(ms(200), 41);
        if number % 10 == 0 {
            times.record_rest(ms(200), 2);
        }
    }
    let rest = times.expected_rest(41);
    assert!(rest <= ms(201), "{rest:?}");
}

/// Guards against a run that begins at another target when the process ends right afterwards.
#[test]
fn a_stream_is_not_resumed_at_the_end() {
    let received = Instant::now();
    let times = ShutdownTimes::new(received, CACHED, GRACE);
    assert!(times.allows_resume(received + ms(6_900)));
    assert!(!times.allows_resume(received + ms(7_100)));
}
