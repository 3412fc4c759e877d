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
    assert!(store.record_news(&changes("t-1", 5), 1_000));
    assert!(store.record_news(&changes("t-1", 5), 1_200));
    assert!(!store.record_news(&edge::TargetChanges::default(), 1_300));
    for now_ms in [1_300, 2_400, 2_650] {
        let (news, is_cut) = store.recent_news(now_ms);
        assert!(news.absent.contains(&("t-1".to_owned(), 5)), "at {now_ms}");
        assert!(!is_cut);
    }
    assert!(store.recent_news(2_701).0.absent.is_empty());
}

/// Guards against news that look complete and are not.
#[test]
fn news_that_do_not_fit_are_told_as_cut() {
    let store = watch::StoreWatch::default();
    for number in 0..100 {
        store.record_news(&changes(&format!("t-{number}"), number), 0);
    }
    assert!(store.recent_news(10).1);
}

/// Guards against relying on others after a silence in which changes may have been missed, and
/// against many daemons that all read the store.
#[test]
fn a_daemon_reads_the_store_when_news_are_stale_or_incomplete() {
    let age = watch::WatchAge::default();
    let rank = watch::WATCHERS;
    assert!(age.is_due(rank, 1_000), "nothing is known yet");
    age.record_direct(1_000);
    assert!(!age.is_due(rank, 2_000));
    assert!(age.is_due(0, 2_000), "the first daemons always read");
    assert!(age.is_due(rank, 2_400), "the news are stale");
    age.record_fresh(2_300);
    assert!(!age.is_due(rank, 2_400));
    age.record_gap();
    assert!(age.is_due(rank, 2_400), "changes may have been missed");
    age.record_direct(2_400);
    age.record_fresh(8_400);
    assert!(age.is_due(rank, 8_500), "every daemon reads now and then");
}
