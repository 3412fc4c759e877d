//! When daemons read the store, and which changes they report to each other.

use acaciabank_core::store_version::StoreVersion;
use acaciabank_relay::{platform, watch};

const ERA: u64 = 1;

fn at(number: u64) -> StoreVersion {
    StoreVersion::new(ERA, number)
}

fn changes(id: &str, version: u64) -> platform::TargetChanges {
    platform::TargetChanges {
        absent: vec![(id.to_owned(), at(version))],
        version: at(version),
        ..platform::TargetChanges::default()
    }
}

/// Guards against a report that claims a fresh read but leaves out changes that the sender had
/// already learned from others: a daemon that missed the earlier report sent work to a target 3.3 s
/// after it had left.
#[test]
fn reports_repeat_all_changes_read_from_the_store() {
    let store = watch::StoreWatch::default();
    assert!(store.record_changes(at(4), &changes("t-1", 5), 1_000));
    assert!(store.record_changes(at(4), &changes("t-1", 5), 1_200));
    assert!(!store.record_changes(at(5), &platform::TargetChanges::default(), 1_300));
    for now_ms in [1_300, 2_400, 2_650] {
        let recent = store.recent_changes(now_ms);
        let absent = &recent.changes.absent;
        assert!(absent.contains(&("t-1".to_owned(), at(5))), "at {now_ms}");
        assert!(!recent.is_truncated);
        assert_eq!((recent.after, recent.changes.version), (at(4), at(5)));
    }
    let later = store.recent_changes(2_701);
    assert!(later.changes.absent.is_empty());
    assert!(!later.is_truncated);
    assert!(
        store.recent_changes(9_000).is_truncated,
        "the store has not responded"
    );
}

/// Guards against a report that leaves out changes for lack of space and still counts as complete.
#[test]
fn changes_beyond_the_report_size_are_marked_as_truncated() {
    let store = watch::StoreWatch::default();
    for number in 0..100 {
        store.record_changes(at(number), &changes(&format!("t-{number}"), number + 1), 0);
    }
    assert!(store.recent_changes(10).is_truncated);
}

/// Guards against a daemon that relies on reports although some may have been lost, and against all
/// daemons reading the store, whose rate of calls is limited.
#[test]
fn a_daemon_reads_the_store_when_reports_are_stale_or_incomplete() {
    let freshness = watch::DataFreshness::default();
    let rank = watch::WATCHER_COUNT;
    assert!(freshness.is_due(rank, 1_000), "nothing is known yet");
    freshness.record_store_read(1_000, at(7));
    assert!(!freshness.is_due(rank, 2_000));
    assert!(freshness.is_due(0, 2_000), "the watchers always read");
    assert!(freshness.is_due(rank, 2_400), "the reports are stale");
    freshness.record_peer_changes(2_300, at(6), at(9));
    assert!(!freshness.is_due(rank, 2_400));
    freshness.record_gap();
    assert!(
        freshness.is_due(rank, 2_400),
        "changes may have been missed"
    );
    freshness.record_store_read(2_400, at(9));
    freshness.record_peer_changes(62_400, at(9), at(10));
    assert!(
        freshness.is_due(rank, 62_500),
        "every daemon reads once a minute"
    );
}

/// Guards against reports that are lost unnoticed: they are datagrams, and a daemon that missed
/// those with a change would keep using the old state.
#[test]
fn lost_reports_are_noticed_by_their_versions() {
    let freshness = watch::DataFreshness::default();
    let rank = watch::WATCHER_COUNT;
    freshness.record_store_read(1_000, at(7));
    freshness.record_peer_changes(1_900, at(7), at(9));
    assert!(!freshness.is_due(rank, 2_000));
    // The changes from version 9 to 12 were not reported.
    freshness.record_peer_changes(2_000, at(12), at(14));
    assert!(freshness.is_due(rank, 2_100));
    freshness.record_store_read(2_100, at(14));
    freshness.record_peer_changes(2_500, at(13), at(15));
    assert!(!freshness.is_due(rank, 2_600));
    // A daemon that cannot reach the store reports older state.
    freshness.record_peer_changes(2_300, at(20), at(21));
    assert!(!freshness.is_due(rank, 2_600));
}

/// Guards against daemons that start together and all send each other the whole list of targets:
/// with 300 hosts and 3,000 targets, callers were served again only 30 s after a restart of all
/// daemons.
#[test]
fn a_complete_list_is_not_reported() {
    let store = watch::StoreWatch::default();
    let list = platform::TargetChanges {
        is_complete: true,
        ..changes("t-1", 5)
    };
    assert!(!store.record_changes(at(0), &list, 1_000));
    let recent = store.recent_changes(1_010);
    assert!(recent.changes.absent.is_empty());
    assert!(recent.is_truncated, "the report must not count as complete");
    store.record_changes(at(5), &changes("t-2", 6), 1_500);
    let recent = store.recent_changes(1_510);
    assert_eq!((recent.after, recent.is_truncated), (at(5), false));
}

/// Guards against a copy that counts as confirmed although it never was, and against an older
/// confirmation that replaces a newer one.
#[test]
fn the_latest_confirmation_counts() {
    let freshness = watch::DataFreshness::default();
    freshness.record_fresh(900);
    assert_eq!(freshness.confirmed_age_ms(1_000), None);
    freshness.record_confirmed(800);
    freshness.record_confirmed(500);
    assert_eq!(freshness.confirmed_age_ms(1_000), Some(200));
}

/// Guards against reports that waited while the process was paused and are taken for new ones, and
/// against a process that trusts no report after a busy moment.
#[test]
fn messages_are_distrusted_only_after_a_pause() {
    let pauses = watch::PauseDetector::default();
    pauses.observe(10_000);
    assert!(!pauses.may_have_waited(10_000), "the first observation");
    pauses.observe(10_999);
    assert!(!pauses.may_have_waited(10_999), "a busy moment");
    pauses.observe(12_000);
    pauses.observe(12_010);
    assert!(pauses.may_have_waited(12_249));
    assert!(!pauses.may_have_waited(12_250));
}
