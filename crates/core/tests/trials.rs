//! Trials of crash suspects, as the daemon that grants them decides: crashing requests get few, and
//! sound ones are soon among them.

use acaciabank_core::suspect::{SuspectStatus, SuspectTable, TrialAnswer, TrialTable};

/// Key that two suspects share.
const SHARED: u64 = 1;
const KEY: u64 = 2;
const OTHER: u64 = 3;
const CRASH_MS: u64 = 10_000;
/// Time after a crash from which targets are no longer failing for the same reason.
const STEADY_MS: u64 = CRASH_MS + 500;
/// Start and crash of a trial some time later.
const LAST_TRIAL_MS: u64 = CRASH_MS + 780;
const LAST_CRASH_MS: u64 = LAST_TRIAL_MS + 20;

/// A table with one crash of a request with the given keys.
fn crashed(keys: &[u64]) -> SuspectTable {
    let mut suspects = SuspectTable::default();
    suspects.record_crash(keys, 1, CRASH_MS - 100, CRASH_MS);
    suspects
}

/// Records the crash of a trial of these keys that lasted 20 ms.
fn crash_trial(suspects: &mut SuspectTable, keys: &[u64], target: u32, granted_ms: u64) {
    suspects.record_trial_crash(keys, target, granted_ms, granted_ms + 20);
}

/// Guards against trials of a shared key at the same time, and against other requests that wait for
/// them.
#[test]
fn suspects_that_share_a_key_run_one_at_a_time() {
    let mut trials = TrialTable::default();
    let suspects = crashed(&[KEY, SHARED, OTHER]);
    let mut request = |id, keys: &[u64]| trials.request(id, keys, &suspects, STEADY_MS);
    assert_eq!(request(1, &[KEY, SHARED]), TrialAnswer::Granted);
    assert_eq!(request(2, &[7, SHARED]), TrialAnswer::Wait);
    assert_eq!(request(3, &[OTHER]), TrialAnswer::Granted);
    assert_eq!(request(4, &[7]), TrialAnswer::Clear);
    // The answer to the first question was lost.
    assert_eq!(request(1, &[KEY, SHARED]), TrialAnswer::Granted);
    trials.end(1, true);
    let answer = trials.request(5, &[7, SHARED], &suspects, STEADY_MS);
    assert_eq!(answer, TrialAnswer::Granted);
}

/// Guards against sound requests that wait for half a second after each crash, and against one target
/// after the other that is lost in that time.
#[test]
fn one_trial_is_granted_at_once_after_a_crash() {
    let mut trials = TrialTable::default();
    let mut suspects = crashed(&[KEY]);
    let answer = trials.request(1, &[KEY], &suspects, CRASH_MS + 5);
    assert_eq!(answer, TrialAnswer::GrantedAtOnce);
    suspects.record_at_once_crash(&[KEY], 2, CRASH_MS + 5, CRASH_MS + 25);
    trials.end(1, true);
    assert_eq!(
        suspects.status(&[KEY], CRASH_MS + 30),
        SuspectStatus::Isolated
    );
    for (id, now_ms) in [(2, CRASH_MS + 30), (3, CRASH_MS + 524)] {
        let answer = trials.request(id, &[KEY], &suspects, now_ms);
        assert_eq!(answer, TrialAnswer::Wait, "at {now_ms}");
    }
    let answer = trials.request(4, &[KEY], &suspects, CRASH_MS + 525);
    assert_eq!(answer, TrialAnswer::Granted);
}

/// Guards against a trial at a target that fails by chance, which counts as one because another
/// target fails a millisecond later.
#[test]
fn trials_at_once_beside_other_failures_refuse_nothing() {
    let mut trials = TrialTable::default();
    let mut suspects = crashed(&[KEY]);
    let answer = trials.request(1, &[KEY], &suspects, CRASH_MS + 1);
    assert_eq!(answer, TrialAnswer::GrantedAtOnce);
    suspects.record_crash(&[KEY], 3, CRASH_MS - 100, CRASH_MS + 3);
    suspects.record_at_once_crash(&[KEY], 2, CRASH_MS + 1, CRASH_MS + 2);
    trials.end(1, true);
    assert_eq!(
        suspects.status(&[KEY], CRASH_MS + 10),
        SuspectStatus::Isolated
    );
    let answer = trials.request(2, &[KEY], &suspects, CRASH_MS + 600);
    assert_eq!(answer, TrialAnswer::Granted);
}

/// Guards against a refused key that waits three seconds more because its trial found no target, and
/// against one that is tried again and again because the callers of its trials go away.
#[test]
fn a_trial_that_was_not_sent_does_not_delay_the_next_one() {
    let mut suspects = crashed(&[KEY]);
    crash_trial(&mut suspects, &[KEY], 2, STEADY_MS);
    assert_eq!(
        suspects.status(&[KEY], STEADY_MS + 30),
        SuspectStatus::Refused
    );
    let due_ms = STEADY_MS + 20 + 3_000;
    let mut trials = TrialTable::default();
    let mut request = |id, now_ms| trials.request(id, &[KEY], &suspects, now_ms);
    assert_eq!(request(1, due_ms - 1), TrialAnswer::Refused);
    assert_eq!(request(2, due_ms), TrialAnswer::Granted);
    assert_eq!(request(3, due_ms + 1), TrialAnswer::Refused);
    trials.end(2, false);
    let mut request = |id, now_ms| trials.request(id, &[KEY], &suspects, now_ms);
    assert_eq!(request(4, due_ms + 2), TrialAnswer::Granted);
    trials.end(4, true);
    let mut request = |id, now_ms| trials.request(id, &[KEY], &suspects, now_ms);
    assert_eq!(request(5, due_ms + 3), TrialAnswer::Refused);
    assert_eq!(request(6, due_ms + 2 + 3_000), TrialAnswer::Granted);
}

/// Guards against more than three trials of a crashing key that was answered before, when each takes
/// longer than a second.
#[test]
fn slow_trials_of_a_crashing_key_are_three_at_most() {
    const SLOW_MS: u64 = 2_000;
    let mut suspects = SuspectTable::default();
    suspects.record_answer(&[KEY], 1_000);
    suspects.record_crash(&[KEY], 0, CRASH_MS - SLOW_MS, CRASH_MS);
    let mut trials = TrialTable::default();
    let mut running: Vec<(u64, u64)> = Vec::new();
    let mut granted = 0;
    for now_ms in (STEADY_MS..STEADY_MS + 60_000).step_by(10) {
        let ended = running.extract_if(.., |(_, granted_ms)| *granted_ms + SLOW_MS <= now_ms);
        for (id, granted_ms) in ended.collect::<Vec<_>>() {
            suspects.record_trial_crash(&[KEY], id as u32, granted_ms, now_ms);
            trials.end(id, true);
        }
        if trials.request(now_ms, &[KEY], &suspects, now_ms) == TrialAnswer::Granted {
            running.push((now_ms, now_ms));
            granted += 1;
        }
    }
    assert_eq!(granted, 3);
}

/// Guards against the last trial of a refused key that is spent while other targets fail.
#[test]
fn a_refused_key_is_not_tried_while_targets_fail() {
    let mut suspects = crashed(&[KEY, SHARED]);
    crash_trial(&mut suspects, &[KEY, SHARED], 2, STEADY_MS);
    let due_ms = STEADY_MS + 20 + 3_000;
    suspects.record_crash(&[7, SHARED], 5, due_ms - 100, due_ms - 1);
    let mut trials = TrialTable::default();
    let mut request = |id, now_ms| trials.request(id, &[KEY, SHARED], &suspects, now_ms);
    assert_eq!(request(1, due_ms + 400), TrialAnswer::Refused);
}

/// Records a crash of requests with these keys at one moment, at one target.
fn crash_together(suspects: &mut SuspectTable, requests: &[&[u64]]) {
    for keys in requests {
        suspects.record_crash(keys, 1, CRASH_MS - 100, CRASH_MS);
    }
}

/// Guards against two parts that crash targets in requests that come at the same moments, none of
/// which is refused because neither explains more crashes than the other one.
#[test]
fn two_crashing_parts_are_both_refused_after_a_trial() {
    let mut suspects = SuspectTable::default();
    suspects.record_answer(&[SHARED], 1_000);
    crash_together(&mut suspects, &[&[10, SHARED, KEY], &[11, SHARED, OTHER]]);
    suspects.record_answer(&[SHARED], CRASH_MS + 100);
    crash_trial(&mut suspects, &[KEY], 2, STEADY_MS);
    crash_trial(&mut suspects, &[OTHER], 3, STEADY_MS + 600);
    let now_ms = STEADY_MS + 1_200;
    for key in [KEY, OTHER] {
        let status = suspects.status(&[20, SHARED, key], now_ms);
        assert_eq!(status, SuspectStatus::Refused, "{key}");
    }
    let status = suspects.status(&[20, SHARED], now_ms);
    assert_eq!(status, SuspectStatus::Clear);
}

/// Guards against a part that begins to crash targets after answers, and goes on as the keys of
/// requests with it that ran twice seem to explain the crashes.
#[test]
fn a_part_that_was_answered_is_refused_after_three_trials() {
    let mut suspects = SuspectTable::default();
    suspects.record_answer(&[SHARED, KEY], 1_000);
    crash_together(&mut suspects, &[&[10, SHARED, KEY], &[11, SHARED, KEY]]);
    suspects.record_answer(&[SHARED], CRASH_MS + 100);
    for (target, own) in [(2, 10), (3, 11), (4, 12)] {
        let granted_ms = CRASH_MS + u64::from(target) * 600;
        suspects.record_crash(&[own, SHARED, KEY], target, granted_ms, granted_ms + 20);
        crash_trial(&mut suspects, &[own, KEY], target, granted_ms);
        suspects.record_answer(&[SHARED], granted_ms + 50);
    }
    let status = suspects.status(&[20, SHARED, KEY], CRASH_MS + 3_000);
    assert_eq!(status, SuspectStatus::Refused);
}

/// Guards against a sound part that is refused for ten minutes because it was in all trials of two
/// crashing parts, while no request with it alone was tried.
#[test]
fn trials_of_two_crashing_parts_do_not_refuse_their_first_part() {
    let mut suspects = SuspectTable::default();
    suspects.record_answer(&[SHARED, KEY, OTHER], 1_000);
    crash_together(&mut suspects, &[&[10, SHARED, KEY], &[11, SHARED, OTHER]]);
    for (target, own, key) in [(2, 10, KEY), (3, 11, OTHER), (4, 12, OTHER)] {
        let granted_ms = CRASH_MS + u64::from(target) * 600;
        crash_trial(&mut suspects, &[own, SHARED, key], target, granted_ms);
    }
    let status = suspects.status(&[20, SHARED], CRASH_MS + 3_500);
    assert_eq!(status, SuspectStatus::Isolated);
}

/// Guards against sound requests that are refused because their trial crashed at the same target as
/// one of a crashing request, of which another daemon reports some milliseconds later.
#[test]
fn a_trial_refuses_no_key_before_others_have_reported_its_crash() {
    let mut suspects = SuspectTable::awaiting_reports();
    // The sound request waited at the second target that the other one crashed.
    suspects.record_crash(&[OTHER], 1, CRASH_MS - 200, CRASH_MS - 120);
    suspects.record_at_once_crash(&[OTHER], 2, CRASH_MS - 80, CRASH_MS);
    suspects.record_crash(&[KEY], 2, CRASH_MS - 20, CRASH_MS);
    crash_trial(&mut suspects, &[KEY], 3, LAST_TRIAL_MS);
    for now_ms in [LAST_CRASH_MS, LAST_CRASH_MS + 4, LAST_CRASH_MS + 499] {
        let status = suspects.status(&[KEY], now_ms);
        assert_eq!(status, SuspectStatus::Isolated, "at {now_ms}");
    }
    let mut other = SuspectTable::default();
    crash_trial(&mut other, &[OTHER], 3, LAST_TRIAL_MS);
    let report = other.report_on(&[OTHER], LAST_CRASH_MS + 4);
    suspects.merge_report(&report, LAST_CRASH_MS + 5);
    for now_ms in [LAST_CRASH_MS + 5, LAST_CRASH_MS + 500] {
        let status = suspects.status(&[KEY], now_ms);
        assert_eq!(status, SuspectStatus::Isolated, "at {now_ms}");
    }
    let status = suspects.status(&[OTHER], LAST_CRASH_MS + 5);
    assert_eq!(status, SuspectStatus::Refused);
}

/// Guards against a crashing request that gets another trial while reports on its last one may come,
/// and against one that is not refused if none comes.
#[test]
fn a_key_whose_trial_crashed_is_not_tried_while_reports_may_come() {
    let mut trials = TrialTable::default();
    let mut suspects = SuspectTable::awaiting_reports();
    crash_together(&mut suspects, &[&[KEY], &[OTHER]]);
    let answer = trials.request(1, &[KEY], &suspects, STEADY_MS);
    assert_eq!(answer, TrialAnswer::Granted);
    crash_trial(&mut suspects, &[KEY], 3, STEADY_MS);
    trials.end(1, true);
    let crash_ms = STEADY_MS + 20;
    for now_ms in (crash_ms..crash_ms + 500).step_by(10) {
        let answer = trials.request(now_ms, &[KEY], &suspects, now_ms);
        assert_eq!(answer, TrialAnswer::Wait, "at {now_ms}");
    }
    let answer = trials.request(2, &[KEY], &suspects, crash_ms + 500);
    assert_eq!(answer, TrialAnswer::Refused);
}
