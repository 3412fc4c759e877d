//! The list of targets, as it is put together from the store and from other daemons.

use acaciabank_core::store_version::StoreVersion;
use acaciabank_relay::{platform, target::TargetRegistry};

const SERVICE: &str = "models";
const ERA: u64 = 1;
const NOW_MS: u64 = 1_000;

fn entry(id: &str, version: u64) -> platform::TargetEntry {
    platform::TargetEntry {
        version: StoreVersion::new(ERA, version),
        id: id.to_owned(),
        born_ms: 1,
        service: SERVICE.to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "zone-a".to_owned(),
        software: "v1".to_owned(),
        slots: 8,
        is_draining: false,
        stage: None,
        is_spot: false,
        leaves_ms: None,
    }
}

fn list(is_complete: bool, version: u64, ids: &[(&str, u64)]) -> platform::TargetChanges {
    let entries = ids.iter().map(|(id, version)| entry(id, *version));
    platform::TargetChanges {
        is_complete,
        present: entries.collect(),
        absent: Vec::new(),
        version: StoreVersion::new(ERA, version),
    }
}

fn apply(registry: &mut TargetRegistry, changes: platform::TargetChanges) {
    registry.apply(changes, NOW_MS, |_| 0);
}

fn listed_ids(registry: &TargetRegistry) -> Vec<String> {
    let targets = registry.of_service(SERVICE).iter();
    let mut ids: Vec<_> = targets.map(|target| target.entry.id.clone()).collect();
    ids.sort();
    ids
}

/// Guards against a target that left before a restart and is used again, because a daemon that is
/// cut off from the store still reports it.
#[test]
fn a_report_does_not_bring_back_a_target_that_left_before_the_list_was_read() {
    let mut restarted = TargetRegistry::default();
    apply(&mut restarted, list(true, 200, &[("t-1", 120)]));
    apply(
        &mut restarted,
        list(false, 90, &[("t-1", 40), ("left", 50)]),
    );
    assert_eq!(listed_ids(&restarted), ["t-1"]);
    apply(&mut restarted, list(false, 210, &[("joined", 210)]));
    assert_eq!(listed_ids(&restarted), ["joined", "t-1"]);
}

/// Guards against a target that left and is used by a daemon that starts during an outage of the
/// store, because the first daemon that it asks is cut off.
#[test]
fn a_newer_list_of_another_daemon_corrects_an_older_one() {
    let mut cut_off = TargetRegistry::default();
    apply(&mut cut_off, list(true, 100, &[("t-1", 40), ("left", 50)]));
    let mut current = TargetRegistry::default();
    apply(
        &mut current,
        list(true, 200, &[("t-1", 120), ("joined", 180)]),
    );
    for [first, second] in [[&cut_off, &current], [&current, &cut_off]] {
        let mut started = TargetRegistry::default();
        apply(&mut started, first.export());
        apply(&mut started, second.export());
        assert_eq!(listed_ids(&started), ["joined", "t-1"]);
    }
}

/// Guards against a daemon that has read nothing from the store and removes what others know.
#[test]
fn a_list_that_was_never_complete_removes_nothing() {
    let mut informed = TargetRegistry::default();
    apply(&mut informed, list(false, 50, &[("t-1", 50)]));
    let mut started = TargetRegistry::default();
    apply(&mut started, list(false, 60, &[("t-2", 60)]));
    apply(&mut started, informed.export());
    assert_eq!(listed_ids(&started), ["t-1", "t-2"]);
}
