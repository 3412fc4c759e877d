//! Usage by team: counting, collecting, settling and reporting.

use std::collections::BTreeMap;

use acaciabank_core::usage::{
    CheckpointWindow, DaemonCounts, ReportLedger, ReportStep, ResumePoint, StoredUsage,
    UsageCheckpoint, UsageCollector, WindowCounter, WindowCounts, clock_correction_ms,
};

const WINDOW_MS: u64 = 5_000;
/// Window in which the tests begin.
const FIRST: u64 = 100;
const NORTH: u64 = 11;
const SOUTH: u64 = 22;
const RUN_A: u64 = 1;
const RUN_B: u64 = 2;
const MAX_ENTRIES: usize = 100;

fn start_ms(window: u64) -> u64 {
    window * WINDOW_MS
}

fn end_ms(window: u64) -> u64 {
    start_ms(window + 1)
}

fn counts(open_from: u64, windows: &[(u64, &[(u64, u64)])]) -> DaemonCounts {
    let windows = windows.iter().map(|(window, teams)| WindowCounts {
        window: *window,
        teams: teams.to_vec(),
    });
    DaemonCounts {
        open_from,
        windows: windows.collect(),
    }
}

fn named(entries: &[(&str, u64)]) -> BTreeMap<String, u64> {
    let entries = entries.iter();
    entries
        .map(|(name, count)| (name.to_string(), *count))
        .collect()
}

fn point(unix_ms: u64) -> ResumePoint {
    ResumePoint {
        unix_ms,
        first_start_unix_ms: unix_ms,
        is_continuous: false,
    }
}

/// Returns the ledger of a holder that has begun with an empty store in window [`FIRST`].
fn first_holder() -> ReportLedger {
    let mut ledger = ReportLedger::new(WINDOW_MS);
    let stored = StoredUsage {
        era: 1,
        ..StoredUsage::default()
    };
    ledger.resume(&stored, point(start_ms(FIRST) + 10));
    ledger
}

/// Guards against a request that is counted in the window of its response, and against a daemon
/// that reports a window as finished while a request that was sent in it is open.
#[test]
fn a_window_stays_open_while_a_request_that_was_sent_in_it_is_open() {
    let mut counter = WindowCounter::new(WINDOW_MS);
    let sent_ms = end_ms(FIRST) - 20;
    counter.begin_pending(sent_ms);
    counter.record(end_ms(FIRST) + 5, SOUTH);
    let later_ms = end_ms(FIRST) + 100;
    assert_eq!(counter.report(later_ms, MAX_ENTRIES).open_from, FIRST);
    counter.record(sent_ms, NORTH);
    counter.end_pending(sent_ms);
    let report = counter.report(later_ms, MAX_ENTRIES);
    let windows: &[(u64, &[(u64, u64)])] = &[(FIRST, &[(NORTH, 1)]), (FIRST + 1, &[(SOUTH, 1)])];
    assert_eq!(report, counts(FIRST + 1, windows));
}

/// Guards against counts that fill the memory of a daemon that nobody collects from, and against
/// reports that do not fit into a datagram and claim to be complete.
#[test]
fn counts_are_bounded() {
    let mut counter = WindowCounter::new(WINDOW_MS);
    for window in FIRST..FIRST + 20 {
        (0..40).for_each(|team| assert!(counter.record(start_ms(window), team)));
    }
    let now_ms = start_ms(FIRST + 20);
    let whole = counter.report(now_ms, 10_000);
    assert_eq!(whole.windows.len(), 8);
    assert_eq!(whole.windows[0].window, FIRST + 12);
    let cut = counter.report(now_ms, 100);
    assert_eq!(cut.windows.len(), 2);
    assert_eq!(cut.open_from, FIRST + 14);
    counter.settle_before(FIRST + 14);
    assert!(!counter.record(start_ms(FIRST + 13), NORTH), "a late count");
    assert_eq!(counter.report(now_ms, 100).windows[0].window, FIRST + 14);
}

/// Guards against repeated, lost or reordered datagrams that change the sums.
#[test]
fn repeated_lost_and_reordered_datagrams_change_no_sums() {
    let reports = [
        counts(FIRST, &[(FIRST, &[(NORTH, 1)])]),
        counts(FIRST, &[(FIRST, &[(NORTH, 4), (SOUTH, 1)])]),
        counts(FIRST + 1, &[(FIRST, &[(NORTH, 9), (SOUTH, 2)])]),
    ];
    let orders: [&[usize]; 5] = [&[0, 1, 2], &[2], &[2, 0, 1], &[1, 1, 2, 2], &[0, 2, 2]];
    for order in orders {
        let mut collector = UsageCollector::default();
        for index in order {
            assert_eq!(collector.apply(RUN_A, &reports[*index], FIRST + 1), 0);
        }
        collector.apply(
            RUN_B,
            &counts(FIRST + 1, &[(FIRST, &[(NORTH, 3)])]),
            FIRST + 1,
        );
        let totals = BTreeMap::from([(NORTH, 12), (SOUTH, 2)]);
        assert_eq!(collector.totals(FIRST), totals, "{order:?}");
        assert!(collector.is_complete(FIRST, &[RUN_A, RUN_B]), "{order:?}");
    }
}

/// Guards against counts of a killed daemon that are lost with it, and against a restarted daemon
/// whose counts replace those of its former run.
#[test]
fn counts_of_a_killed_daemon_are_kept() {
    let mut collector = UsageCollector::default();
    collector.apply(RUN_A, &counts(FIRST, &[(FIRST, &[(NORTH, 7)])]), FIRST + 1);
    collector.apply(
        RUN_B,
        &counts(FIRST + 1, &[(FIRST, &[(NORTH, 2)])]),
        FIRST + 1,
    );
    // The killed run no longer holds the window open, and the next run counts from zero.
    collector.retain_runs(&[RUN_B]);
    assert!(collector.is_complete(FIRST, &[RUN_B]));
    assert_eq!(collector.totals(FIRST), BTreeMap::from([(NORTH, 9)]));
    // A successor begins with the checkpoint and the reports of those that are alive.
    let mut successor = UsageCollector::default();
    successor.apply(
        RUN_B,
        &counts(FIRST + 1, &[(FIRST, &[(NORTH, 3)])]),
        FIRST + 1,
    );
    successor.restore(&collector.checkpoint());
    assert_eq!(successor.totals(FIRST), BTreeMap::from([(NORTH, 10)]));
}

/// Guards against windows that are settled before the last counts arrive, and against a daemon
/// that does not report and holds up every window.
#[test]
fn a_window_is_settled_when_all_have_finished_it_or_time_is_up() {
    let ledger = first_holder();
    let due =
        |after_ms: u64, is_complete: bool| ledger.due(end_ms(FIRST) + after_ms, |_| is_complete);
    assert!(due(399, true).is_empty());
    assert_eq!(due(400, true), [FIRST]);
    assert!(due(3_499, false).is_empty());
    assert_eq!(due(3_500, false), [FIRST]);
    assert!(ledger.due(end_ms(FIRST) - 1, |_| true).is_empty());
}

/// Guards against late counts that change a settled window or vanish unnoticed.
#[test]
fn late_counts_are_dropped_and_counted() {
    let mut collector = UsageCollector::default();
    collector.settle_before(FIRST);
    collector.apply(RUN_A, &counts(FIRST, &[(FIRST, &[(NORTH, 7)])]), FIRST + 1);
    collector.settle_before(FIRST + 1);
    let late = counts(FIRST + 1, &[(FIRST, &[(NORTH, 9), (SOUTH, 1)])]);
    assert_eq!(collector.apply(RUN_A, &late, FIRST + 1), 3);
    assert_eq!(collector.apply(RUN_A, &late, FIRST + 1), 0, "counted once");
    assert!(collector.checkpoint().windows.is_empty());
}

/// Guards against windows without requests that are not reported.
#[test]
fn a_window_without_requests_is_settled_and_reported() {
    let mut ledger = first_holder();
    let collector = UsageCollector::default();
    let now_ms = end_ms(FIRST) + 500;
    assert_eq!(
        ledger.due(now_ms, |window| collector.is_complete(window, &[])),
        [FIRST]
    );
    ledger.record_stored(FIRST, BTreeMap::new());
    assert_eq!(ledger.next_step(1, now_ms), ReportStep::Send(FIRST));
    assert_eq!(ledger.counts(FIRST), Some(&BTreeMap::new()));
}

/// Guards against a report without an answer that holds up later ones, is changed, is forgotten
/// early or is repeated without end.
#[test]
fn a_report_without_an_answer_is_repeated_unchanged() {
    let mut ledger = first_holder();
    ledger.record_stored(FIRST, named(&[("north", 4)]));
    ledger.record_stored(FIRST + 1, named(&[("north", 5)]));
    let unix_ms = end_ms(FIRST + 1) + 500;
    assert_eq!(ledger.next_step(1_000, unix_ms), ReportStep::Send(FIRST));
    assert!(!ledger.record_sent(FIRST, 1_000, false, 0));
    assert_eq!(
        ledger.next_step(1_000, unix_ms),
        ReportStep::Send(FIRST + 1)
    );
    ledger.record_sent(FIRST + 1, 1_000, true, 0);
    assert_eq!(
        ledger.next_step(1_000, unix_ms),
        ReportStep::WaitUntil(1_300)
    );
    assert_eq!(ledger.next_step(1_300, unix_ms), ReportStep::Send(FIRST));
    assert!(ledger.record_sent(FIRST, 1_300, false, u64::MAX));
    let ReportStep::WaitUntil(retry_ms) = ledger.next_step(1_300, unix_ms) else {
        panic!("the report is forgotten");
    };
    assert!((1_600..=2_300).contains(&retry_ms), "{retry_ms}");
    assert_eq!(ledger.counts(FIRST), Some(&named(&[("north", 4)])));
    // A window that was never sent goes before one that is due again.
    ledger.record_stored(FIRST + 2, BTreeMap::new());
    let next_ms = end_ms(FIRST + 2) + 500;
    assert_eq!(
        ledger.next_step(9_000, next_ms),
        ReportStep::Send(FIRST + 2)
    );
    ledger.record_sent(FIRST + 2, 9_000, true, 0);
    let expired_ms = end_ms(FIRST) + 60_000;
    assert_eq!(ledger.next_step(9_000, expired_ms), ReportStep::Wait);
    assert_eq!(ledger.expire(expired_ms), [FIRST]);
    assert!(ledger.expire(expired_ms).is_empty(), "given up once");
    ledger.expire(end_ms(FIRST + 1) + 120_000);
    assert_eq!(ledger.expired(), [FIRST, FIRST + 1]);
    ledger.record_deleted(&[FIRST, FIRST + 1]);
    assert!(ledger.expired().is_empty());
}

/// Guards against a successor that settles a window again, skips one, or reports what the platform
/// has accepted already, when the holder ends between settling and sending.
#[test]
fn a_successor_sends_what_the_holder_settled() {
    let mut holder = first_holder();
    holder.record_stored(FIRST, named(&[("north", 4)]));
    holder.record_sent(FIRST, 1_000, true, 0);
    let checkpoint = holder.complete_checkpoint(1, UsageCheckpoint::default());
    // The holder is killed after the transaction that settles the next window.
    let stored = StoredUsage {
        era: 1,
        checkpoint,
        settled: BTreeMap::from([
            (FIRST, named(&[("north", 4)])),
            (FIRST + 1, named(&[("south", 2)])),
        ]),
    };
    let mut successor = ReportLedger::new(WINDOW_MS);
    let now_ms = end_ms(FIRST + 2) + 3_600;
    successor.resume(&stored, point(now_ms));
    assert_eq!(successor.next_step(1, now_ms), ReportStep::Send(FIRST + 1));
    assert_eq!(successor.counts(FIRST + 1), Some(&named(&[("south", 2)])));
    assert_eq!(successor.due(now_ms, |_| false), [FIRST + 2]);
    assert!(successor.unstored().is_empty());
}

/// Guards against windows that are left out because no daemon held the lease at their end, and
/// against reports of windows that are too old to be accepted.
#[test]
fn a_successor_settles_the_windows_since_the_last_checkpoint() {
    let stored = StoredUsage {
        era: 1,
        checkpoint: Some(UsageCheckpoint {
            era: 1,
            next: FIRST,
            teams: vec![NORTH],
            windows: vec![CheckpointWindow {
                window: FIRST,
                runs: vec![(RUN_A, vec![(0, 3)])],
            }],
            ..UsageCheckpoint::default()
        }),
        settled: BTreeMap::new(),
    };
    let mut successor = ReportLedger::new(WINDOW_MS);
    let now_ms = end_ms(FIRST + 1) + 3_600;
    successor.resume(&stored, point(now_ms));
    assert_eq!(successor.due(now_ms, |_| false), [FIRST, FIRST + 1]);
    let mut late_successor = ReportLedger::new(WINDOW_MS);
    late_successor.resume(&stored, point(start_ms(FIRST + 100)));
    assert_eq!(late_successor.next(), Some(FIRST + 88));
}

/// Guards against a holder that loses the windows it has settled when the store returns from an
/// older copy, or skips windows although no other daemon can have reported them.
#[test]
fn a_holder_writes_lost_windows_again_after_a_return_of_the_store() {
    let mut ledger = first_holder();
    ledger.record_stored(FIRST, named(&[("north", 4)]));
    ledger.record_stored(FIRST + 1, named(&[("north", 5)]));
    let copy = StoredUsage {
        era: 2,
        checkpoint: None,
        settled: BTreeMap::from([(FIRST, named(&[("north", 4)]))]),
    };
    let now_ms = end_ms(FIRST + 2) + 1_000;
    let continuous = ResumePoint {
        is_continuous: true,
        ..point(now_ms)
    };
    ledger.resume(&copy, continuous);
    let counts = named(&[("north", 5)]);
    assert_eq!(ledger.unstored(), [(FIRST + 1, &counts)]);
    assert_eq!(ledger.due(now_ms, |_| true), [FIRST + 2]);
    assert_eq!(ledger.next_step(1, now_ms), ReportStep::Send(FIRST));
}

/// Guards against a second report of a window with other counts: a successor in a new era cannot
/// know what the former holder has reported, except from its reports to the standbys.
#[test]
fn a_successor_in_a_new_era_settles_only_windows_that_end_after_it_saw_the_era() {
    let copy = StoredUsage {
        era: 2,
        checkpoint: Some(UsageCheckpoint {
            era: 1,
            next: FIRST,
            ..UsageCheckpoint::default()
        }),
        settled: BTreeMap::new(),
    };
    let now_ms = start_ms(FIRST + 3) + 100;
    let mut successor = ReportLedger::new(WINDOW_MS);
    successor.learn(FIRST + 1, named(&[("north", 6)]));
    successor.resume(&copy, point(now_ms));
    assert!(successor.due(now_ms, |_| true).is_empty());
    assert_eq!(successor.next(), Some(FIRST + 3));
    let counts = named(&[("north", 6)]);
    assert_eq!(successor.unstored(), [(FIRST + 1, &counts)]);
    assert_eq!(
        successor.next_step(1, now_ms),
        ReportStep::Wait,
        "not stored yet"
    );
    successor.record_stored(FIRST + 1, counts);
    assert_eq!(successor.next_step(1, now_ms), ReportStep::Send(FIRST + 1));
    assert_eq!(successor.next(), Some(FIRST + 3));
    // Once the checkpoint is of the new era, a further successor can rely on it.
    let restored = StoredUsage {
        checkpoint: successor.complete_checkpoint(2, UsageCheckpoint::default()),
        ..copy
    };
    let mut next = ReportLedger::new(WINDOW_MS);
    next.resume(&restored, point(end_ms(FIRST + 4)));
    assert_eq!(next.next(), Some(FIRST + 3));
}

/// Guards against settled windows that no standby learns of, or that are sent without end.
#[test]
fn the_last_settled_windows_are_announced_twice() {
    let mut ledger = first_holder();
    for window in FIRST..FIRST + 4 {
        ledger.record_stored(window, BTreeMap::new());
    }
    let announced = std::iter::from_fn(|| ledger.announce().map(|(window, _)| window));
    let announced: Vec<u64> = announced.collect();
    let [last, middle, first] = [FIRST + 3, FIRST + 2, FIRST + 1];
    assert_eq!(announced, [last, last, middle, middle, first, first]);
}

/// Guards against a daemon whose clock is off and that counts in the wrong windows, and against
/// daemons that take over a wrong clock or each other's.
#[test]
fn a_clock_that_differs_from_most_others_is_corrected() {
    assert_eq!(clock_correction_ms([3_000, 3_004, 2_990, 3_010]), 3_000);
    assert_eq!(clock_correction_ms([-40_000, -2, 3, 5]), 0);
    assert_eq!(clock_correction_ms([90, 95, 99]), 0);
    assert_eq!(clock_correction_ms([3_000]), 0);
    assert_eq!(clock_correction_ms([]), 0);
}

/// Guards against counts that fill the memory of a collector while nothing is settled, and against a
/// daemon with a wrong clock whose windows displace the real ones.
#[test]
fn a_collector_keeps_a_bounded_number_of_windows() {
    let mut collector = UsageCollector::default();
    for window in FIRST..FIRST + 40 {
        collector.apply(RUN_A, &counts(window, &[(window, &[(NORTH, 1)])]), window);
        let ahead = counts(window, &[(window + 100, &[(NORTH, 1)])]);
        collector.apply(RUN_B, &ahead, window);
    }
    let windows = collector.checkpoint().windows;
    let kept: Vec<u64> = windows.iter().map(|saved| saved.window).collect();
    assert_eq!(kept, Vec::from_iter(FIRST + 24..FIRST + 40));
}
