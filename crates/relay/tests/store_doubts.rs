//! The list of targets after returns of the store from older copies: single sequences.

use acaciabank_core::store_version::StoreVersion;
use acaciabank_relay::{platform, target::TargetRegistry};

const SERVICE: &str = "models";
/// Time after which the platform removes the entry of a target that is silent.
const SILENCE_MS: u64 = 3_600;
/// Time in which targets write again what a return has lost.
const REWRITE_MS: u64 = 2_000;
const ID: &str = "t-1";

fn entry(era: u64, number: u64, born_ms: u64) -> platform::TargetEntry {
    platform::TargetEntry {
        version: StoreVersion::new(era, number),
        id: ID.to_owned(),
        born_ms,
        service: SERVICE.to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        zone: "zone-a".to_owned(),
        software: "v1".to_owned(),
        slots: 8,
        is_draining: false,
        stage: None,
        is_spot: false,
        leaves_ms: None,
    }
}

fn list(version: StoreVersion, present: Vec<platform::TargetEntry>) -> platform::TargetChanges {
    platform::TargetChanges {
        is_complete: true,
        version,
        present,
        absent: Vec::new(),
    }
}

fn changes(entry: platform::TargetEntry) -> platform::TargetChanges {
    platform::TargetChanges {
        is_complete: false,
        version: entry.version,
        present: vec![entry],
        absent: Vec::new(),
    }
}

fn apply(registry: &mut TargetRegistry, changes: platform::TargetChanges, now_ms: u64) {
    registry.apply(changes, now_ms, |_| 0);
    registry.resolve_doubts(now_ms);
}

/// Returns the start times of the runs that get requests.
fn accepting(registry: &TargetRegistry, now_ms: u64) -> Vec<u64> {
    let targets = registry.of_service(SERVICE).iter();
    let accepting = targets.filter(|target| target.is_accepting(now_ms));
    accepting.map(|target| target.entry.born_ms).collect()
}
/// Guards against a daemon that started after a target's earlier run had ended, and that takes the
/// earlier run, which a copy of the store holds, for the present one: the target got no requests
/// until it had written its row again.
#[test]
fn a_copy_with_an_earlier_run_does_not_replace_the_present_one() {
    let mut registry = TargetRegistry::new(SILENCE_MS);
    let read = list(StoreVersion::new(1, 10), vec![entry(1, 9, 200)]);
    apply(&mut registry, read, 1_000);
    let copy = list(StoreVersion::new(2, 8), vec![entry(2, 7, 100)]);
    apply(&mut registry, copy, 2_000);
    assert_eq!(accepting(&registry, 2_000), [200]);
    apply(&mut registry, changes(entry(2, 9, 200)), 3_500);
    registry.resolve_doubts(60_000);
    assert_eq!(accepting(&registry, 60_000), [200]);
}

/// Guards against a daemon that loses a target for good: of two returns, the copy of the first one
/// held an earlier run, and the target wrote its row again after the second one.
#[test]
fn a_run_that_a_copy_replaced_is_listed_again() {
    let mut registry = TargetRegistry::new(SILENCE_MS);
    let read = list(StoreVersion::new(1, 10), vec![entry(1, 9, 200)]);
    apply(&mut registry, read, 1_000);
    let copy = list(StoreVersion::new(2, 8), vec![entry(2, 7, 100)]);
    apply(&mut registry, copy, 2_000);
    let rewritten = list(StoreVersion::new(3, 9), vec![entry(3, 9, 200)]);
    apply(&mut registry, rewritten, 2_500);
    registry.resolve_doubts(60_000);
    assert_eq!(accepting(&registry, 60_000), [200]);
}
/// Guards against a target that gets no requests because the time in which it writes its row again
/// is counted from the first of two returns.
#[test]
fn the_time_for_writing_again_starts_anew_with_each_return() {
    let mut registry = TargetRegistry::new(SILENCE_MS);
    let read = list(StoreVersion::new(1, 10), vec![entry(1, 9, 100)]);
    apply(&mut registry, read, 1_000);
    apply(
        &mut registry,
        list(StoreVersion::new(2, 8), Vec::new()),
        2_000,
    );
    let second_ms = 2_000 + REWRITE_MS - 100;
    apply(
        &mut registry,
        list(StoreVersion::new(3, 8), Vec::new()),
        second_ms,
    );
    registry.resolve_doubts(second_ms + REWRITE_MS - 100);
    assert_eq!(accepting(&registry, second_ms + REWRITE_MS - 100), [100]);
}
/// Guards against a target that is taken for one that has left, because its row was missing for
/// too long after a first return: it wrote the row after a second return and got no requests for
/// the silence time.
#[test]
fn a_run_that_was_missing_is_used_once_its_row_is_written() {
    let mut registry = TargetRegistry::new(SILENCE_MS);
    let read = list(StoreVersion::new(1, 10), vec![entry(1, 9, 100)]);
    apply(&mut registry, read, 1_000);
    apply(
        &mut registry,
        list(StoreVersion::new(2, 8), Vec::new()),
        2_000,
    );
    let second_ms = 2_000 + REWRITE_MS + 100;
    let rewritten = list(StoreVersion::new(3, 9), vec![entry(3, 9, 100)]);
    apply(&mut registry, rewritten, second_ms);
    assert_eq!(accepting(&registry, second_ms), [100]);
}
/// Guards against requests to a target that a daemon has known as draining and gone, after the
/// time for which a daemon sends nothing to targets that a copy of the store lists again.
#[test]
fn a_run_that_drained_gets_no_requests_after_a_return() {
    let mut registry = TargetRegistry::new(SILENCE_MS);
    let read = list(StoreVersion::new(1, 10), vec![entry(1, 9, 100)]);
    apply(&mut registry, read, 1_000);
    let draining = platform::TargetEntry {
        is_draining: true,
        ..entry(1, 11, 100)
    };
    apply(&mut registry, changes(draining), 1_500);
    apply(
        &mut registry,
        list(StoreVersion::new(1, 12), Vec::new()),
        2_000,
    );
    let copy = list(StoreVersion::new(2, 10), vec![entry(2, 9, 100)]);
    apply(&mut registry, copy, 3_000);
    let later_ms = 3_000 + REWRITE_MS + SILENCE_MS;
    registry.resolve_doubts(later_ms);
    assert!(accepting(&registry, later_ms).is_empty());
}
