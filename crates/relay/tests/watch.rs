//! Who reads the store, and what is told of it.

use acaciabank_relay::{edge, watch};

fn changes(id: &str, version: u64) -> edge::TargetChanges {
    edge::TargetChanges {
        absent: vec![(id.to_owned(), version)],
        version,
        ..edge::TargetChanges::default()
    }
}

/// Guards against a daemon that tells a fresh reading and leaves out what it had heard before: others
/// that missed the first report sent work to a target 3.3 s after it had left.
#[test]
fn all_that_was_read_is_told_and_repeated() {
    let store = watch::StoreWatch::default();
    assert!(store.record_changes(4, &changes("t-1", 5), 1_000));
    assert!(store.record_changes(4, &changes("t-1", 5), 1_200));
    assert!(!store.record_changes(5, &edge::TargetChanges::default(), 1_300));
    for now_ms in [1_300, 2_400, 2_650] {
        let news = store.recent_changes(now_ms);
        let absent = &news.changes.absent;
        assert!(absent.contains(&("t-1".to_owned(), 5)), "at {now_ms}");
        assert!(!news.is_truncated);
        assert_eq!((news.after, news.changes.version), (4, 5));
    }
    let later = store.recent_changes(2_701);
    assert!(later.changes.absent.is_empty());
    assert!(!later.is_truncated);
    assert!(
        store.recent_changes(9_000).is_truncated,
        "the store has not answered"
    );
}

/// Guards against news that look complete and are not.
#[test]
fn news_that_do_not_fit_are_told_as_cut() {
    let store = watch::StoreWatch::default();
    for number in 0..100 {
        store.record_changes(number, &changes(&format!("t-{number}"), number + 1), 0);
    }
    assert!(store.recent_changes(10).is_truncated);
}

/// Guards against relying on others after a silence in which changes may have been missed, and
/// against many daemons that all read the store.
#[test]
fn a_daemon_reads_the_store_when_news_are_stale_or_incomplete() {
    let age = watch::DataFreshness::default();
    let rank = watch::WATCHER_COUNT;
    assert!(age.is_due(rank, 1_000), "nothing is known yet");
    age.record_store_read(1_000, 7);
    assert!(!age.is_due(rank, 2_000));
    assert!(age.is_due(0, 2_000), "the first daemons always read");
    assert!(age.is_due(rank, 2_400), "the news are stale");
    age.record_peer_changes(2_300, 6, 9);
    assert!(!age.is_due(rank, 2_400));
    age.record_gap();
    assert!(age.is_due(rank, 2_400), "changes may have been missed");
    age.record_store_read(2_400, 9);
    age.record_peer_changes(62_400, 9, 10);
    assert!(age.is_due(rank, 62_500), "every daemon reads now and then");
}

/// Guards against news that are lost without notice: reports are datagrams, and a daemon that missed
/// the ones with a change would go on with what it knew.
#[test]
fn lost_news_are_noticed_by_their_versions() {
    let age = watch::DataFreshness::default();
    let rank = watch::WATCHER_COUNT;
    age.record_store_read(1_000, 7);
    age.record_peer_changes(1_900, 7, 9);
    assert!(!age.is_due(rank, 2_000));
    // Nothing has been heard of what changed from 9 to 12.
    age.record_peer_changes(2_000, 12, 14);
    assert!(age.is_due(rank, 2_100));
    age.record_store_read(2_100, 14);
    age.record_peer_changes(2_500, 13, 15);
    assert!(!age.is_due(rank, 2_600));
    // A daemon that is cut off from the store tells what is older.
    age.record_peer_changes(2_300, 20, 21);
    assert!(!age.is_due(rank, 2_600));
}

/// Guards against daemons that start together and all send each other the whole list of targets: at
/// 300 hosts and 3,000 targets callers were served again 30 s after a restart of all.
#[test]
fn a_whole_list_is_no_news() {
    let store = watch::StoreWatch::default();
    let list = edge::TargetChanges {
        is_complete: true,
        ..changes("t-1", 5)
    };
    assert!(!store.record_changes(0, &list, 1_000));
    let news = store.recent_changes(1_010);
    assert!(news.changes.absent.is_empty());
    assert!(news.is_truncated, "nobody may take it for complete");
    store.record_changes(5, &changes("t-2", 6), 1_500);
    let news = store.recent_changes(1_510);
    assert_eq!((news.after, news.is_truncated), (5, false));
}
