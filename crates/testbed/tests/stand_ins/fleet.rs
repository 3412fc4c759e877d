//! Test of a fleet whose connections run through the proxy.

use std::time;

use acaciabank_protocol::settings;
use acaciabank_testbed::{harness, proxy};

use crate::{TIMEOUT, launcher};

fn small_fleet() -> harness::FleetSpec {
    let mut spec = harness::Fleet::pemberton();
    spec.deployment.engines.truncate(2);
    spec.daemons = 2;
    spec.proxied = harness::ProxiedLinks::ALL;
    spec.timers.gossip_interval_ms = 100;
    // Longer than a daemon without responses takes to reconnect: a call timeout of 1 s and a pause
    // of up to 1.6 s.
    spec.timers.suspect_after_ms = 3_000;
    spec.overrides.push(harness::DaemonOverride {
        daemon: 1,
        limits: Some(settings::LimitSettings {
            max_attempts: 2,
            ..settings::LimitSettings::default()
        }),
        ..harness::DaemonOverride::default()
    });
    spec
}

/// Guards against a fleet that bypasses its proxy, so that faults of links have no effect, and
/// against a one-way partition that blocks both directions.
#[tokio::test]
async fn proxied_links_carry_the_traffic_and_its_faults() {
    let fleet = small_fleet().start(launcher()).await.expect("fleet");
    fleet.wait_converged().await;
    let caller = fleet.caller(None, TIMEOUT);
    let request = harness::CompletionRequest {
        model: "drafting".to_owned(),
        prompt: "Dear member".to_owned(),
        max_tokens: 4,
        ..harness::CompletionRequest::default()
    };
    let outcome = caller.complete(&request).await;
    assert!(outcome.is_complete, "{outcome:?}");
    fleet.start_one_way_partition(0, 1).await;
    fleet.wait_members(1, 1).await;
    assert_eq!(
        fleet.ready_members(0).await,
        2,
        "the other direction is open"
    );
    fleet.end_partition(0, 1).await;
    fleet.wait_members(1, 2).await;
    fleet
        .start_fault(&harness::table_link(0), proxy::FaultKind::Blackhole)
        .await;
    fleet
        .wait_bytes_held(&harness::table_link(0), TIMEOUT)
        .await;
    fleet.end_fault(&harness::table_link(0)).await;
    for target in fleet.engines.iter().chain(&fleet.services) {
        let link = harness::target_link(&target.name);
        fleet.start_fault(&link, proxy::FaultKind::Cut).await;
    }
    let timeout = time::Duration::from_secs(2);
    let outcome = fleet.caller(None, timeout).complete(&request).await;
    assert!(!outcome.is_complete, "all targets are cut off");
}
