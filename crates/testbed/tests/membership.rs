//! Membership as callers and operators observe it when daemons join, stop, pause or are
//! partitioned.

use std::{net, time};

use acaciabank_testbed::{
    harness::{self, Fleet, FleetSpec},
    proxy::FaultKind,
    web,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_testbed");
/// Maximum wait for a condition; generous because the machine may be busy.
const TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Maximum time until a silent daemon is no longer listed to callers: the suspicion timeout of the
/// fleet (1 s), two ticks, and a margin for a busy machine.
const MAX_FAILURE_DETECTION: time::Duration = time::Duration::from_secs(5);

/// Starts three daemons, one in each zone.
async fn start_fleet() -> Fleet {
    let launcher = harness::Launcher::new(PROGRAM).expect("a temporary folder");
    let mut spec = FleetSpec::small(3, 2, 1);
    // Far longer than `MAX_FAILURE_DETECTION`, so that only suspicion removes a silent daemon in
    // time.
    spec.timers.dead_after_ms = 30_000;
    let fleet = spec.start(launcher).await.expect("the fleet starts");
    fleet.wait_converged().await;
    fleet
}

/// Addresses that a daemon lists to callers; empty if it does not respond within two seconds.
async fn listed_addresses(fleet: &Fleet, index: usize) -> Vec<net::SocketAddr> {
    let address = fleet.daemons[index].caller_address;
    let call = web::call(address, "GET", "/v1/addresses", &[], "");
    let Ok(Ok(response)) = tokio::time::timeout(time::Duration::from_secs(2), call).await else {
        return Vec::new();
    };
    let response = response.json();
    let entries = response["addresses"].as_array().into_iter().flatten();
    let addresses = entries.filter_map(|entry| entry["address"].as_str());
    addresses.filter_map(|text| text.parse().ok()).collect()
}

/// Waits until a daemon lists exactly the expected daemons.
async fn wait_listed(fleet: &Fleet, by: usize, expected: &[usize], timeout: time::Duration) {
    let mut expected_addresses: Vec<_> = expected
        .iter()
        .map(|index| fleet.daemons[*index].caller_address)
        .collect();
    expected_addresses.sort();
    let description = format!("daemon-{by} lists exactly the daemons {expected:?}");
    harness::wait_until(timeout, &description, async || {
        let mut listed = listed_addresses(fleet, by).await;
        listed.sort();
        listed == expected_addresses
    })
    .await;
}

/// Value of a counter at a daemon, summed over its labels.
async fn counter_sum(fleet: &Fleet, index: usize, name: &str) -> u64 {
    let address = fleet.daemons[index].admin_address;
    let response = web::call(address, "GET", "/metrics", &[], "").await;
    let body = response.map(|response| response.body).unwrap_or_default();
    let text = String::from_utf8_lossy(&body).into_owned();
    let lines = text.lines().filter(|line| line.starts_with(name));
    let values = lines.filter_map(|line| line.rsplit(' ').next());
    values.filter_map(|value| value.parse::<u64>().ok()).sum()
}

/// Guards against a killed daemon that stays listed for longer than `MAX_FAILURE_DETECTION`, and
/// against a restarted daemon that is not listed again.
#[tokio::test(flavor = "multi_thread")]
async fn killed_daemon_is_not_listed_until_it_restarts() {
    let _permit = harness::acquire_fleet_permit().await;
    let mut fleet = start_fleet().await;
    fleet.daemons[2].process.kill();
    for remaining in [0, 1] {
        wait_listed(&fleet, remaining, &[0, 1], MAX_FAILURE_DETECTION).await;
    }
    let restarted = fleet.daemons[2].process.restart();
    restarted.expect("the daemon starts again");
    for index in 0..3 {
        wait_listed(&fleet, index, &[0, 1, 2], TIMEOUT).await;
    }
}

/// Guards against a paused daemon that stays listed, and against one that after its pause considers
/// all others dead or is not listed again.
#[tokio::test(flavor = "multi_thread")]
async fn paused_daemon_is_not_listed_until_it_resumes() {
    let _permit = harness::acquire_fleet_permit().await;
    let fleet = start_fleet().await;
    fleet.daemons[1].process.pause();
    for other in [0, 2] {
        wait_listed(&fleet, other, &[0, 2], MAX_FAILURE_DETECTION).await;
    }
    fleet.daemons[1].process.resume();
    // Its first response after the pause must list the others, which were never silent.
    let first = listed_addresses(&fleet, 1).await;
    assert!(
        first.len() > 1,
        "daemon-1 lists only {first:?} after a pause"
    );
    for index in 0..3 {
        wait_listed(&fleet, index, &[0, 1, 2], TIMEOUT).await;
    }
}

/// Guards against a one-way partition that removes a daemon from the lists although its heartbeats
/// arrive through a third daemon.
#[tokio::test(flavor = "multi_thread")]
async fn one_way_partition_removes_no_daemon() {
    let _permit = harness::acquire_fleet_permit().await;
    let fleet = start_fleet().await;
    fleet.start_one_way_partition(0, 1).await;
    fleet.wait_bytes_held(&harness::peer_link(1), TIMEOUT).await;
    // Lets gossip run for many times the suspicion timeout, counted in messages to the third
    // daemon.
    let method = "acaciabank_control_messages_total{method=\"gossip\"}";
    let start = counter_sum(&fleet, 2, method).await;
    harness::wait_until(
        TIMEOUT,
        "daemon-2 receives 60 more gossip messages",
        async || {
            for index in 0..3 {
                let listed = listed_addresses(&fleet, index).await;
                assert_eq!(listed.len(), 3, "listed by daemon-{index}: {listed:?}");
            }
            counter_sum(&fleet, 2, method).await >= start + 60
        },
    )
    .await;
}

/// Guards against a partitioned zone that stays listed by the rest or is not listed again after the
/// partition, and against a side of the partition that stops serving.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_zone_is_removed_and_rejoins() {
    let _permit = harness::acquire_fleet_permit().await;
    let fleet = start_fleet().await;
    // Bytes held by a link would be delivered after the partition and restore the membership by
    // themselves.
    for other in [0, 1] {
        fleet.start_peer_fault(2, other, FaultKind::Cut).await;
    }
    let link = harness::peer_link(2);
    fleet.start_fault(&link, FaultKind::Cut).await;
    for other in [0, 1] {
        wait_listed(&fleet, other, &[0, 1], MAX_FAILURE_DETECTION).await;
    }
    wait_listed(&fleet, 2, &[2], MAX_FAILURE_DETECTION).await;
    for index in [0, 2] {
        let daemon = fleet.daemons[index].caller_address;
        let caller = harness::Caller::new(vec![daemon], None, TIMEOUT);
        let outcome = caller
            .complete(&harness::CompletionRequest {
                model: "drafting".to_owned(),
                prompt: format!("side {index}"),
                max_tokens: 4,
                ..harness::CompletionRequest::default()
            })
            .await;
        assert!(outcome.is_complete, "at daemon-{index}: {outcome:?}");
    }
    for index in 0..3 {
        fleet.end_fault(&harness::peer_link(index)).await;
    }
    for index in 0..3 {
        wait_listed(&fleet, index, &[0, 1, 2], TIMEOUT).await;
    }
}

/// Status and reason of a daemon's readiness endpoint; `None` if it does not respond.
async fn readiness(fleet: &Fleet, index: usize) -> Option<(u16, String)> {
    let address = fleet.daemons[index].admin_address;
    let response = web::call(address, "GET", "/readyz", &[], "").await.ok()?;
    let reason = response.json()["reason"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    Some((response.status, reason))
}

/// Guards against a daemon that, when it starts during an outage of the table, uses the outdated
/// deployment in its settings file, reports itself ready without a configuration, or does not fetch
/// the newest configuration from its peers.
#[tokio::test(flavor = "multi_thread")]
async fn restart_during_table_outage_fetches_configuration_from_peers() {
    let _permit = harness::acquire_fleet_permit().await;
    let mut fleet = start_fleet().await;
    let path = format!("/admin/targets/{}/drain", fleet.engines[1].name);
    let address = fleet.daemons[0].admin_address;
    let response = web::call(address, "POST", &path, &[], "").await;
    assert_eq!(response.expect("a response").status, 200);
    let version_of = async |fleet: &Fleet, index| {
        let status = fleet.admin_json(index, "/admin/status").await;
        status.unwrap_or_default()["config_version"].as_u64()
    };
    harness::wait_until(
        TIMEOUT,
        "daemons 1 and 2 use configuration version 2",
        async || version_of(&fleet, 1).await == Some(2) && version_of(&fleet, 2).await == Some(2),
    )
    .await;
    fleet.daemons[2].process.kill();
    let down = serde_json::json!({"down": "error"});
    let control = Fleet::control(fleet.platform_address, &down).await;
    control.expect("the platform accepts the fault");
    for other in [0, 1] {
        fleet.start_peer_fault(2, other, FaultKind::Cut).await;
    }
    let restarted = fleet.daemons[2].process.restart();
    restarted.expect("the daemon starts again");
    harness::wait_until(
        TIMEOUT,
        "daemon-2 reports why it is not ready",
        async || {
            let report = readiness(&fleet, 2).await;
            if let Some((status, _)) = &report {
                assert_ne!(*status, 200, "daemon-2 is ready without a configuration");
            }
            report.is_some_and(|(_, reason)| reason.contains("no configuration learned"))
        },
    )
    .await;
    for other in [0, 1] {
        fleet.end_fault(&harness::peer_link(other)).await;
    }
    fleet.wait_daemon_ready(2).await;
    assert_eq!(version_of(&fleet, 2).await, Some(2));
}

/// Guards against cache changes that reach only the daemon that owns the target: the second daemon
/// must find the prompts that the first one sent in the caches of the engines.
#[tokio::test(flavor = "multi_thread")]
async fn cache_changes_reach_the_other_daemon() {
    const PROMPT_COUNT: usize = 16;
    let _permit = harness::acquire_fleet_permit().await;
    let launcher = harness::Launcher::new(PROGRAM).expect("a temporary folder");
    let fleet = FleetSpec::small(2, 2, 1).start(launcher).await;
    let fleet = fleet.expect("the fleet starts");
    fleet.wait_converged().await;
    let complete_all = async |daemon: usize| {
        let address = fleet.daemons[daemon].caller_address;
        let caller = harness::Caller::new(vec![address], None, TIMEOUT);
        for number in 0..PROMPT_COUNT {
            let outcome = caller
                .complete(&harness::CompletionRequest {
                    model: "drafting".to_owned(),
                    prompt: format!("club {number} ").repeat(200),
                    max_tokens: 2,
                    ..harness::CompletionRequest::default()
                })
                .await;
            assert!(outcome.is_complete, "{outcome:?}");
        }
    };
    let count_cached_starts = || {
        let journals = fleet.journals().expect("journals");
        let started = journals.events("started");
        let cached = started.filter(|entry| entry["cached_tokens"].as_u64() > Some(0));
        cached.count()
    };
    complete_all(0).await;
    let before = count_cached_starts();
    // A prompt has three complete pieces of 100 tokens, and the daemon that owns the engine sends
    // each to the other one.
    harness::wait_until(TIMEOUT, "all pieces are received", async || {
        let name = "acaciabank_piece_changes_received_total";
        counter_sum(&fleet, 0, name).await + counter_sum(&fleet, 1, name).await
            >= 3 * PROMPT_COUNT as u64
    })
    .await;
    complete_all(1).await;
    let cached = count_cached_starts() - before;
    assert!(
        cached + 2 >= PROMPT_COUNT,
        "{cached} of {PROMPT_COUNT} prompts were found in a cache"
    );
}

/// Guards against regions that do not discover each other: callers must get the addresses of the
/// other region, and a configuration must spread between regions while the table is down.
#[tokio::test(flavor = "multi_thread")]
async fn regions_exchange_addresses_and_configuration() {
    let _permit = harness::acquire_fleet_permit().await;
    let mut spec = FleetSpec::small(4, 2, 1);
    let mut delta = spec.deployment.regions[0].clone();
    delta.name = "delta".into();
    delta.zones = vec!["tanta".into()];
    spec.deployment.regions.push(delta);
    let launcher = harness::Launcher::new(PROGRAM).expect("a temporary folder");
    let mut fleet = spec.start(launcher).await.expect("the fleet starts");
    for index in [0, 1, 2] {
        wait_listed(&fleet, index, &[0, 1, 2, 3], TIMEOUT).await;
    }
    let own_address = fleet.daemons[3].caller_address;
    harness::wait_until(TIMEOUT, "daemon-3 lists the other region", async || {
        let listed = listed_addresses(&fleet, 3).await;
        listed.contains(&own_address) && listed.len() > 1
    })
    .await;
    let path = format!("/admin/targets/{}/drain", fleet.engines[1].name);
    let address = fleet.daemons[0].admin_address;
    let response = web::call(address, "POST", &path, &[], "").await;
    assert_eq!(response.expect("a response").status, 200);
    let down = serde_json::json!({"down": "error"});
    let control = Fleet::control(fleet.platform_address, &down).await;
    control.expect("the platform accepts the fault");
    let max_delay = time::Duration::from_secs(11);
    harness::wait_until(
        max_delay,
        "daemon-3 gets the configuration from the other region",
        async || {
            let status = fleet.admin_json(3, "/admin/status").await;
            status.unwrap_or_default()["config_version"] == 2
        },
    )
    .await;
    fleet.daemons[3].process.kill();
    for index in [0, 1, 2] {
        wait_listed(&fleet, index, &[0, 1, 2], TIMEOUT).await;
    }
}
