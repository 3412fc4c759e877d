//! Signals of targets: reading of values, marks, pauses and the spread of requests after a pause.

use acaciabank_core::target_signal::{
    self, LeavingMark, LeavingSource, MAX_PAUSE_MS, RESUME_WINDOW_MS, SignalFault, SignalState,
    TargetSignals, UNREADABLE_PAUSE_MS,
};

/// Longest time after a pause until the first request may be sent.
const MAX_RESUME_DELAY_MS: u64 = 1_000;

fn pause_signals(values: &[&str]) -> TargetSignals {
    let mut signals = TargetSignals::default();
    values.iter().for_each(|value| signals.add_pause(value));
    signals
}

/// Guards against a malformed value that puts a target out of use for long, or that is dropped
/// unnoticed.
#[test]
fn malformed_pauses_are_reported_and_bounded() {
    let long = "9".repeat(400);
    let cases = [
        (vec!["2"], 2_000, None),
        (vec![" 0.25 "], 250, None),
        (vec!["0"], 0, None),
        (vec!["60"], MAX_PAUSE_MS, None),
        (vec!["61"], MAX_PAUSE_MS, Some(SignalFault::TooLong)),
        (vec!["86400"], MAX_PAUSE_MS, Some(SignalFault::TooLong)),
        (
            vec![long.as_str()],
            MAX_PAUSE_MS,
            Some(SignalFault::TooLong),
        ),
        (vec![""], UNREADABLE_PAUSE_MS, Some(SignalFault::Empty)),
        (
            vec!["-5"],
            UNREADABLE_PAUSE_MS,
            Some(SignalFault::Unreadable),
        ),
        (
            vec!["1.2.3"],
            UNREADABLE_PAUSE_MS,
            Some(SignalFault::Unreadable),
        ),
        (
            vec!["1e9"],
            UNREADABLE_PAUSE_MS,
            Some(SignalFault::Unreadable),
        ),
        (
            vec!["inf"],
            UNREADABLE_PAUSE_MS,
            Some(SignalFault::Unreadable),
        ),
        (
            vec!["NaN"],
            UNREADABLE_PAUSE_MS,
            Some(SignalFault::Unreadable),
        ),
        (
            vec!["Wed, 21 Oct 2026 07:28:00 GMT"],
            UNREADABLE_PAUSE_MS,
            Some(SignalFault::Unreadable),
        ),
        (vec!["2", "3"], 3_000, Some(SignalFault::Repeated)),
        (vec!["3", "2"], 3_000, Some(SignalFault::Repeated)),
    ];
    for (values, pause_ms, fault) in cases {
        let signals = pause_signals(&values);
        assert_eq!(signals.pause_ms, Some(pause_ms), "{values:?}");
        assert_eq!(signals.fault, fault, "{values:?}");
    }
}

/// Guards against an unreadable value that takes a target out of use for the rest of its run.
#[test]
fn only_a_readable_value_marks_a_target_as_leaving() {
    for (value, is_leaving, fault) in [
        ("1", true, None),
        (" 1 ", true, None),
        ("0", false, None),
        ("", false, Some(SignalFault::Empty)),
        ("true", false, Some(SignalFault::Unreadable)),
        ("-1", false, Some(SignalFault::Unreadable)),
    ] {
        let mut signals = TargetSignals::default();
        signals.add_leaving(value);
        assert_eq!(
            (signals.is_leaving, signals.fault),
            (is_leaving, fault),
            "{value:?}"
        );
    }
}

/// Guards against a second, shorter pause that ends the first one early.
#[test]
fn a_pause_is_never_shortened() {
    let mut state = SignalState::default();
    assert!(state.record_pause(5_000, 1_000, 0.0));
    assert!(!state.record_pause(1_000, 2_000, 0.0));
    assert_eq!(state.paused_until_ms(2_000), Some(6_000));
    assert!(state.is_blocked(5_999));
    assert!(!state.is_blocked(6_000));
}

/// Guards against a mark that a later report or the end of a pause takes back.
#[test]
fn a_leaving_mark_stays() {
    let mut state = SignalState::default();
    let mark = |source, since_ms| LeavingMark { source, since_ms };
    assert!(state.record_leaving(mark(LeavingSource::Response, 3_000)));
    assert!(!state.record_leaving(mark(LeavingSource::Peer, 1_000)));
    state.record_pause(10, 4_000, 0.0);
    for now_ms in [0, 4_000, 1_000_000] {
        assert!(state.is_blocked(now_ms));
        assert!(!state.accepts(0, now_ms));
    }
    assert_eq!(state.leaving(), Some(mark(LeavingSource::Response, 1_000)));
}

/// Guards against requests that wait for the end of a pause and are all sent at that moment, and
/// against a target that stays unused after it.
#[test]
fn requests_after_a_pause_are_spread() {
    for jitter in [0.0, 0.5, 0.999] {
        let mut state = SignalState::default();
        state.record_pause(2_000, 0, jitter);
        let mut sends = Vec::new();
        for now_ms in 0..4_000 {
            // A hundred requests try to be sent in every millisecond.
            for _ in 0..100 {
                if now_ms < 2_000 + 200 + RESUME_WINDOW_MS
                    && state.accepts(sends.len() as u32, now_ms)
                {
                    sends.push(now_ms);
                }
            }
        }
        let first_ms = sends[0];
        assert!((2_000..2_000 + MAX_RESUME_DELAY_MS).contains(&first_ms));
        let in_first_100_ms = sends.iter().filter(|send_ms| **send_ms < first_ms + 100);
        assert!(in_first_100_ms.count() <= 5, "{sends:?}");
        assert!(state.accepts(u32::MAX, first_ms + RESUME_WINDOW_MS));
    }
}

/// Guards against less urgent callers that return before the most urgent ones, and against all
/// callers returning at once.
#[test]
fn urgent_callers_return_first() {
    let earliest = |priority| target_signal::retry_after_ms(1_500, priority, 0.0);
    assert_eq!(earliest(0), 1_500);
    assert!((1..=5).all(|priority| earliest(priority) > earliest(priority - 1)));
    assert!(target_signal::retry_after_ms(1_500, 0, 0.9) > earliest(0));
    assert!(target_signal::retry_after_ms(1_500, u8::MAX, 1.0) <= 1_500 + 1_000);
}
