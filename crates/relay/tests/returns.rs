//! The list of targets across returns of the store from older copies.

use acaciabank_core::store_version::StoreVersion;
use acaciabank_relay::{platform, target::TargetRegistry};

const SERVICE: &str = "models";
const TARGET: &str = "t-1";
const SILENCE_MS: u64 = 3_600;
/// Time by which every doubt that began at zero is due.
const LATE_MS: u64 = 60_000;

fn entry(version: StoreVersion, is_draining: bool) -> platform::TargetEntry {
    platform::TargetEntry {
        version,
        id: TARGET.to_owned(),
        born_ms: 1,
        service: SERVICE.to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "zone-a".to_owned(),
        software: "v1".to_owned(),
        slots: 8,
        is_draining,
        stage: None,
        is_spot: false,
        leaves_ms: None,
    }
}

/// Lists the target as it was written at version `number` of an era.
fn listed(era: u64, number: u64, is_draining: bool) -> platform::TargetChanges {
    let version = StoreVersion::new(era, number);
    platform::TargetChanges {
        is_complete: true,
        present: vec![entry(version, is_draining)],
        absent: Vec::new(),
        version,
    }
}

fn empty_list(era: u64, number: u64) -> platform::TargetChanges {
    platform::TargetChanges {
        is_complete: true,
        version: StoreVersion::new(era, number),
        ..platform::TargetChanges::default()
    }
}

fn apply(registry: &mut TargetRegistry, now_ms: u64, changes: platform::TargetChanges) {
    registry.apply(changes, now_ms, |_| 0);
}

fn registry_after(lists: Vec<platform::TargetChanges>) -> TargetRegistry {
    let mut registry = TargetRegistry::new(SILENCE_MS);
    for changes in lists {
        apply(&mut registry, 0, changes);
    }
    registry
}

fn is_listed(registry: &TargetRegistry) -> bool {
    !registry.of_service(SERVICE).is_empty()
}

fn is_used(registry: &TargetRegistry) -> bool {
    let mut targets = registry.of_service(SERVICE).iter();
    targets.any(|target| !target.is_draining.get())
}

/// Guards against a draining target that is used again, because the hold on a target that had left
/// ends although a record of a second return says that it drains.
#[test]
fn a_held_back_target_that_drains_after_a_second_return_stays_unused() {
    let mut registry = registry_after(vec![
        listed(1, 40, false),
        empty_list(1, 50),
        listed(2, 40, false),
        listed(3, 40, true),
    ]);
    registry.resolve_doubts(LATE_MS);
    assert!(!is_used(&registry));
}

/// Guards against a draining target that is used again, because the hold on a target that had left
/// ends although a daemon that has not seen the return reports that it drained.
#[test]
fn a_held_back_target_that_drained_before_the_return_stays_unused() {
    let mut registry = registry_after(vec![
        listed(1, 40, false),
        empty_list(1, 50),
        listed(2, 40, false),
    ]);
    let mut report = listed(1, 45, true);
    report.is_complete = false;
    apply(&mut registry, 0, report);
    registry.resolve_doubts(LATE_MS);
    assert!(!is_used(&registry));
}

/// Guards against a target that is removed right after a second return, because the time in which
/// it may write its row again is counted from the first one.
#[test]
fn a_second_return_gives_a_missing_target_its_time_again() {
    let mut registry = registry_after(vec![listed(1, 45, false), empty_list(2, 40)]);
    apply(&mut registry, 1_900, empty_list(3, 38));
    registry.resolve_doubts(2_100);
    assert!(is_used(&registry));
    registry.resolve_doubts(LATE_MS);
    assert!(!is_listed(&registry));
}

/// Guards against a draining target that is used again, because the copy lacks it and its first
/// row after the return says that it is ready.
#[test]
fn a_draining_target_that_registers_again_after_a_return_stays_unused() {
    let mut registry = registry_after(vec![listed(1, 45, true), empty_list(2, 40)]);
    let mut registered = listed(2, 42, false);
    registered.is_complete = false;
    apply(&mut registry, 0, registered);
    assert!(!is_used(&registry));
}

/// Guards against draining targets that stay listed for ever, because a copy lacks them.
#[test]
fn a_draining_target_that_a_copy_lacks_is_removed() {
    let mut registry = registry_after(vec![listed(1, 45, true), empty_list(2, 40)]);
    registry.resolve_doubts(LATE_MS);
    assert!(!is_listed(&registry));
}

/// Guards against a target that stays unused for seconds, because it was silent, lost its row and
/// registers again after a return: a row that was written since the list was read is no copy.
#[test]
fn a_silent_target_that_registers_again_after_a_return_is_used() {
    let mut registry = registry_after(vec![
        listed(1, 40, false),
        empty_list(1, 50),
        empty_list(2, 45),
    ]);
    let mut registered = listed(2, 60, false);
    registered.is_complete = false;
    apply(&mut registry, 0, registered);
    assert!(is_used(&registry));
}
