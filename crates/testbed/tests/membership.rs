//! Members that join, die, pause or are cut off, as callers and operators see them.

use std::{net, time};

use acaciabank_testbed::{
    harness::{self, Fleet, FleetSpec},
    proxy::FaultKind,
    web,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_testbed");
/// Generous limit for conditions on a busy machine.
const LIMIT: time::Duration = time::Duration::from_secs(60);
/// Bound for a silent daemon to leave the answers: silence limit of the fleet (1 s), two ticks, and
/// room for a busy machine.
const DEATH_BOUND: time::Duration = time::Duration::from_secs(5);

/// Three daemons, one in each zone.
async fn start_fleet() -> Fleet {
    let launcher = harness::Launcher::new(PROGRAM).expect("a temporary folder");
    let mut spec = FleetSpec::small(3, 2, 1);
    // Far beyond the bound, so that only suspicion removes a silent daemon in time.
    spec.timers.dead_after_ms = 30_000;
    let fleet = spec.start(launcher).await.expect("the fleet starts");
    fleet.wait_settled().await;
    fleet
}

/// Addresses that a daemon names to callers; none when it does not answer in time.
async fn named_by(fleet: &Fleet, position: usize) -> Vec<net::SocketAddr> {
    let address = fleet.daemons[position].caller_address;
    let call = web::call(address, "GET", "/v1/addresses", &[], "");
    let Ok(Ok(answer)) = tokio::time::timeout(time::Duration::from_secs(2), call).await else {
        return Vec::new();
    };
    let answer = answer.json();
    let entries = answer["addresses"].as_array().into_iter().flatten();
    let addresses = entries.filter_map(|entry| entry["address"].as_str());
    addresses.filter_map(|text| text.parse().ok()).collect()
}

/// Waits until exactly the given daemons are named by a daemon.
async fn wait_named(fleet: &Fleet, by: usize, expected: &[usize], limit: time::Duration) {
    let mut wanted: Vec<_> = expected
        .iter()
        .map(|position| fleet.daemons[*position].caller_address)
        .collect();
    wanted.sort();
    let description = format!("daemon-{by} names the daemons {expected:?}");
    harness::wait_until(limit, &description, async || {
        let mut named = named_by(fleet, by).await;
        named.sort();
        named == wanted
    })
    .await;
}

/// Sum of a counter over its labels at a daemon.
async fn counter(fleet: &Fleet, position: usize, name: &str) -> u64 {
    let address = fleet.daemons[position].admin_address;
    let answer = web::call(address, "GET", "/metrics", &[], "").await;
    let body = answer.map(|answer| answer.body).unwrap_or_default();
    let text = String::from_utf8_lossy(&body).into_owned();
    let lines = text.lines().filter(|line| line.starts_with(name));
    let values = lines.filter_map(|line| line.rsplit(' ').next());
    values.filter_map(|value| value.parse::<u64>().ok()).sum()
}

/// Guards against a dead daemon that stays named to callers beyond the bound, and against a
/// restarted one that is ignored.
#[tokio::test(flavor = "multi_thread")]
async fn killed_daemon_leaves_answers_and_returns() {
    let _turn = harness::acquire_fleet_permit().await;
    let mut fleet = start_fleet().await;
    fleet.daemons[2].process.kill();
    for survivor in [0, 1] {
        wait_named(&fleet, survivor, &[0, 1], DEATH_BOUND).await;
    }
    let restarted = fleet.daemons[2].process.restart();
    restarted.expect("the daemon starts again");
    for position in 0..3 {
        wait_named(&fleet, position, &[0, 1, 2], LIMIT).await;
    }
}

/// Guards against a paused daemon that stays named, and against one that after its pause takes all
/// others for dead, or is not taken back.
#[tokio::test(flavor = "multi_thread")]
async fn paused_daemon_is_left_out_until_it_resumes() {
    let _turn = harness::acquire_fleet_permit().await;
    let fleet = start_fleet().await;
    fleet.daemons[1].process.pause();
    for other in [0, 2] {
        wait_named(&fleet, other, &[0, 2], DEATH_BOUND).await;
    }
    fleet.daemons[1].process.resume();
    // Its first answer after the pause must name the others: they never were silent.
    let first = named_by(&fleet, 1).await;
    assert!(
        first.len() > 1,
        "daemon-1 names only {first:?} after a pause"
    );
    for position in 0..3 {
        wait_named(&fleet, position, &[0, 1, 2], LIMIT).await;
    }
}

/// Guards against a one-way partition that hides a daemon although its heartbeats arrive through a
/// third daemon.
#[tokio::test(flavor = "multi_thread")]
async fn one_way_partition_hides_no_daemon() {
    let _turn = harness::acquire_fleet_permit().await;
    let fleet = start_fleet().await;
    fleet.start_one_way_partition(0, 1).await;
    fleet.wait_bytes_held(&harness::peer_link(1), LIMIT).await;
    // Gossip of many times the silence limit, counted in messages that the third daemon takes.
    let method = "acaciabank_control_messages_total{method=\"gossip\"}";
    let start = counter(&fleet, 2, method).await;
    harness::wait_until(LIMIT, "daemon-2 counts 60 more gossip calls", async || {
        for position in 0..3 {
            let named = named_by(&fleet, position).await;
            assert_eq!(named.len(), 3, "named by daemon-{position}: {named:?}");
        }
        counter(&fleet, 2, method).await >= start + 60
    })
    .await;
}

/// Guards against a zone that is cut off and still named by the rest, or is not taken back after the
/// partition, and against a side that stops serving.
#[tokio::test(flavor = "multi_thread")]
async fn zone_is_cut_off_and_healed() {
    let _turn = harness::acquire_fleet_permit().await;
    let fleet = start_fleet().await;
    // Bytes that a link only holds are delivered after the partition and would heal it.
    for other in [0, 1] {
        fleet.start_peer_fault(2, other, FaultKind::Cut).await;
    }
    let link = harness::peer_link(2);
    fleet.start_fault(&link, FaultKind::Cut).await;
    for other in [0, 1] {
        wait_named(&fleet, other, &[0, 1], DEATH_BOUND).await;
    }
    wait_named(&fleet, 2, &[2], DEATH_BOUND).await;
    for position in [0, 2] {
        let daemon = fleet.daemons[position].caller_address;
        let caller = harness::Caller::new(vec![daemon], None, LIMIT);
        let outcome = caller
            .complete(&harness::CompletionRequest {
                model: "drafting".to_owned(),
                prompt: format!("side {position}"),
                max_tokens: 4,
                ..harness::CompletionRequest::default()
            })
            .await;
        assert!(outcome.is_complete, "at daemon-{position}: {outcome:?}");
    }
    for position in 0..3 {
        fleet.end_fault(&harness::peer_link(position)).await;
    }
    for position in 0..3 {
        wait_named(&fleet, position, &[0, 1, 2], LIMIT).await;
    }
}

async fn readiness(fleet: &Fleet, position: usize) -> Option<(u16, String)> {
    let address = fleet.daemons[position].admin_address;
    let answer = web::call(address, "GET", "/readyz", &[], "").await.ok()?;
    let reason = answer.json()["reason"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    Some((answer.status, reason))
}

/// Guards against a daemon that starts during an outage of the table with the outdated deployment of
/// its settings file, reports itself ready without any configuration, or does not learn the newest
/// one from the others.
#[tokio::test(flavor = "multi_thread")]
async fn restart_during_table_outage_learns_from_peers() {
    let _turn = harness::acquire_fleet_permit().await;
    let mut fleet = start_fleet().await;
    let path = format!("/admin/targets/{}/drain", fleet.engines[1].name);
    let address = fleet.daemons[0].admin_address;
    let answer = web::call(address, "POST", &path, &[], "").await;
    assert_eq!(answer.expect("an answer").status, 200);
    let version_of = async |fleet: &Fleet, position| {
        let status = fleet.admin_json(position, "/admin/status").await;
        status.unwrap_or_default()["config_version"].as_u64()
    };
    harness::wait_until(LIMIT, "version 2 everywhere", async || {
        version_of(&fleet, 1).await == Some(2) && version_of(&fleet, 2).await == Some(2)
    })
    .await;
    fleet.daemons[2].process.kill();
    let down = serde_json::json!({"down": "error"});
    let control = Fleet::control(fleet.platform_address, &down).await;
    control.expect("the platform fails");
    for other in [0, 1] {
        fleet.start_peer_fault(2, other, FaultKind::Cut).await;
    }
    let restarted = fleet.daemons[2].process.restart();
    restarted.expect("the daemon starts again");
    harness::wait_until(LIMIT, "daemon-2 reports why it is not ready", async || {
        let report = readiness(&fleet, 2).await;
        if let Some((status, _)) = &report {
            assert_ne!(*status, 200, "ready without a configuration");
        }
        report.is_some_and(|(_, reason)| reason.contains("no configuration learned"))
    })
    .await;
    for other in [0, 1] {
        fleet.end_fault(&harness::peer_link(other)).await;
    }
    fleet.wait_daemon_ready(2).await;
    assert_eq!(version_of(&fleet, 2).await, Some(2));
}

/// Guards against cache changes that do not reach the daemons that do not own the target: prompts
/// that one daemon sent must be found in the caches by the other one.
#[tokio::test(flavor = "multi_thread")]
async fn cache_changes_reach_the_other_daemon() {
    const PROMPTS: usize = 16;
    let _turn = harness::acquire_fleet_permit().await;
    let launcher = harness::Launcher::new(PROGRAM).expect("a temporary folder");
    let fleet = FleetSpec::small(2, 2, 1).start(launcher).await;
    let fleet = fleet.expect("the fleet starts");
    fleet.wait_settled().await;
    let complete_all = async |daemon: usize| {
        let address = fleet.daemons[daemon].caller_address;
        let caller = harness::Caller::new(vec![address], None, LIMIT);
        for number in 0..PROMPTS {
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
    let cached_starts = || {
        let journals = fleet.journals().expect("journals");
        let started = journals.events("started");
        let cached = started.filter(|entry| entry["cached_tokens"].as_u64() > Some(0));
        cached.count()
    };
    complete_all(0).await;
    let before = cached_starts();
    // A prompt has three whole pieces of 100 tokens; the owner of the engine sends each to the other
    // daemon.
    harness::wait_until(LIMIT, "all pieces are received", async || {
        let name = "acaciabank_piece_changes_received_total";
        counter(&fleet, 0, name).await + counter(&fleet, 1, name).await >= 3 * PROMPTS as u64
    })
    .await;
    complete_all(1).await;
    let cached = cached_starts() - before;
    assert!(cached + 2 >= PROMPTS, "{cached} of {PROMPTS} prompts found");
}

/// Guards against regions that do not learn of each other: a caller must be told of the other
/// region, and a configuration must cross while the table is down.
#[tokio::test(flavor = "multi_thread")]
async fn regions_exchange_addresses_and_configuration() {
    let _turn = harness::acquire_fleet_permit().await;
    let mut spec = FleetSpec::small(4, 2, 1);
    let mut delta = spec.deployment.regions[0].clone();
    delta.name = "delta".into();
    delta.zones = vec!["tanta".into()];
    spec.deployment.regions.push(delta);
    let launcher = harness::Launcher::new(PROGRAM).expect("a temporary folder");
    let mut fleet = spec.start(launcher).await.expect("the fleet starts");
    for position in [0, 1, 2] {
        wait_named(&fleet, position, &[0, 1, 2, 3], LIMIT).await;
    }
    let abroad = fleet.daemons[3].caller_address;
    harness::wait_until(LIMIT, "daemon-3 names the other region", async || {
        let named = named_by(&fleet, 3).await;
        named.contains(&abroad) && named.len() > 1
    })
    .await;
    let path = format!("/admin/targets/{}/drain", fleet.engines[1].name);
    let address = fleet.daemons[0].admin_address;
    let answer = web::call(address, "POST", &path, &[], "").await;
    assert_eq!(answer.expect("an answer").status, 200);
    let down = serde_json::json!({"down": "error"});
    let control = Fleet::control(fleet.platform_address, &down).await;
    control.expect("the platform fails");
    let bound = time::Duration::from_secs(11);
    harness::wait_until(bound, "the configuration crosses regions", async || {
        let status = fleet.admin_json(3, "/admin/status").await;
        status.unwrap_or_default()["config_version"] == 2
    })
    .await;
    fleet.daemons[3].process.kill();
    for position in [0, 1, 2] {
        wait_named(&fleet, position, &[0, 1, 2], LIMIT).await;
    }
}
