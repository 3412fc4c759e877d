//! Reports of other daemons: which one is the newest.

use std::net;

use acaciabank_core::store_version::StoreVersion;
use acaciabank_relay::{
    config::ConfigVersion,
    gossip::{PeerReport, PeerTable},
    platform,
};

const CALLER_ADDRESS: &str = "127.0.0.1:7001";
/// Uptime of the receiver's host at the first report of the tests.
const NOW_MS: u64 = 600_000;

fn report(boot_id: u64, sequence: u64, age_ms: u64) -> PeerReport {
    let peer_address = "127.0.0.1:7002".parse().expect("an address");
    PeerReport {
        host: "host-1".to_owned(),
        boot_id,
        sequence,
        peer_address,
        caller_address: CALLER_ADDRESS.parse().expect("an address"),
        is_ready: true,
        is_draining: false,
        service_loads: Vec::new(),
        is_lease_holder: false,
        config_version: ConfigVersion {
            number: 1,
            ..ConfigVersion::default()
        },
        config_age_ms: None,
        targets_age_ms: None,
        target_changes: platform::TargetChanges {
            is_complete: false,
            present: Vec::new(),
            absent: Vec::new(),
            version: StoreVersion::ZERO,
        },
        leaving: Vec::new(),
        limits: Vec::new(),
        bases: None,
        changes_after: StoreVersion::ZERO,
        usage: None,
        loads: Vec::new(),
        stage_changes: Vec::new(),
        parts: Vec::new(),
        suspects: Default::default(),
        zone_hash: 1,
        capacity_millicores: 250,
        age_ms,
        interval_ms: 250,
        known: Vec::new(),
    }
}

fn is_listed(table: &PeerTable, now_ms: u64) -> bool {
    let address: net::SocketAddr = CALLER_ADDRESS.parse().expect("an address");
    table.ready_addresses(now_ms).contains(&address)
}

/// Guards against a restarted daemon that is ignored because its host's time of day was set back:
/// the id of the new run is lower than that of the former one.
#[test]
fn a_restarted_daemon_is_listed_whatever_its_id() {
    let mut table = PeerTable::default();
    assert!(table.apply_report(report(9_000, 40, 10_000), NOW_MS));
    let restarted_ms = NOW_MS + 800;
    assert!(table.apply_report(report(5, 0, 100), restarted_ms));
    assert!(is_listed(&table, restarted_ms));
    assert!(table.apply_report(report(5, 1, 1_500), restarted_ms + 1_400));
    assert!(is_listed(&table, restarted_ms + 1_400));
}

/// Guards against a late report of a former run that replaces the newer run.
#[test]
fn a_late_report_of_a_former_run_is_ignored() {
    for (former_id, id) in [(1, 2), (2, 1)] {
        let mut table = PeerTable::default();
        assert!(table.apply_report(report(former_id, 40, 10_000), NOW_MS));
        assert!(table.apply_report(report(id, 0, 100), NOW_MS + 800));
        assert!(!table.apply_report(report(former_id, 41, 10_250), NOW_MS + 1_000));
        assert!(table.apply_report(report(id, 1, 350), NOW_MS + 1_050));
    }
}

/// Guards against late reports of the same run that replace newer ones, which would count loads
/// that have ended.
#[test]
fn reports_of_one_run_are_ordered_by_their_sequence() {
    let mut table = PeerTable::default();
    assert!(table.apply_report(report(1, 5, 10_000), NOW_MS));
    assert!(!table.apply_report(report(1, 5, 10_000), NOW_MS + 1));
    assert!(!table.apply_report(report(1, 4, 9_750), NOW_MS + 2));
    assert!(table.apply_report(report(1, 6, 10_250), NOW_MS + 250));
}

/// Guards against a daemon that is ignored for the time until its entry expires because a delayed
/// report made its former run seem younger.
#[test]
fn a_run_replaces_one_that_has_been_silent() {
    let mut table = PeerTable::default();
    assert!(table.apply_report(report(1, 3, 500), NOW_MS));
    let delayed = report(2, 0, 9_000);
    assert!(!table.apply_report(delayed.clone(), NOW_MS + 400));
    assert!(table.apply_report(delayed, NOW_MS + 2_000));
    assert!(is_listed(&table, NOW_MS + 2_000));
}

/// Guards against a daemon that starts while it is cut off from the store and stays without a
/// configuration, because it asks the one that has the newest copy of it and has died.
#[test]
fn a_configuration_is_fetched_from_a_daemon_that_is_alive() {
    let mut table = PeerTable::default();
    let mut dead = report(1, 1, 10_000);
    dead.host = "dead".to_owned();
    dead.peer_address = "127.0.0.1:7003".parse().expect("an address");
    dead.config_version.stored = StoreVersion::new(2, 41);
    assert!(table.apply_report(dead.clone(), NOW_MS));
    let now_ms = NOW_MS + 5_000;
    let alive = report(2, 1, 10_000);
    assert!(table.apply_report(alive.clone(), now_ms));
    let unknown = ConfigVersion::default();
    let source = table.newer_config_source(&unknown, now_ms, 0);
    assert_eq!(source.map(|(address, _)| address), Some(alive.peer_address));
    // Nobody else has a newer one than the living daemon.
    let source = table.newer_config_source(&alive.config_version, now_ms, 0);
    assert_eq!(source.map(|(address, _)| address), Some(dead.peer_address));
}

/// Guards against a daemon that asks the same other daemon for a configuration again and again,
/// although its link is overloaded and others have the configuration too.
#[test]
fn a_configuration_is_asked_for_at_different_daemons() {
    let mut table = PeerTable::default();
    for number in 0..3 {
        let mut held = report(1, 1, 10_000);
        held.host = format!("host-{number}");
        held.peer_address.set_port(8_000 + number);
        assert!(table.apply_report(held, NOW_MS));
    }
    let unknown = ConfigVersion::default();
    let source = |random| table.newer_config_source(&unknown, NOW_MS, random);
    let addresses = (0..3).filter_map(source).map(|(address, _)| address);
    let ports: std::collections::BTreeSet<u16> = addresses.map(|address| address.port()).collect();
    assert_eq!(ports.len(), 3);
}
