//! An accepted configuration is in force at every daemon within 11 s and is never reverted.

use std::{sync, time};

use acaciabank_protocol::settings;
use acaciabank_testbed::{
    harness::{self, Fleet, FleetSpec},
    web,
};
use serde_json::{Value, json};
use sha2::Digest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_testbed");
/// Maximum wait for a condition; generous because the machine may be busy.
const TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Maximum time until an accepted configuration is in force at every daemon.
const MAX_PROPAGATION: time::Duration = time::Duration::from_secs(11);

/// Starts three daemons; the operators `ada` and `grace` have the keys `ada-key` and `grace-key`.
async fn start_fleet() -> Fleet {
    let mut spec = FleetSpec::small(3, 2, 1);
    let operator = |name: &str| {
        let digest = sha2::Sha256::digest(format!("{name}-key").as_bytes());
        let hex = digest.iter().map(|byte| format!("{byte:02x}"));
        settings::OperatorEntry {
            name: name.to_owned(),
            key_sha256: vec![hex.collect()],
        }
    };
    spec.deployment.operators = vec![operator("ada"), operator("grace")];
    let launcher = harness::Launcher::new(PROGRAM).expect("a temporary folder");
    let fleet = spec.start(launcher).await.expect("the fleet starts");
    for index in 0..3 {
        harness::wait_until(TIMEOUT, "three daemons are listed", async || {
            address_count(&fleet, index).await == 3
        })
        .await;
    }
    fleet
}

/// Response about the addresses of daemons; it carries the version in force.
async fn fetch_addresses(fleet: &Fleet, index: usize) -> Option<Value> {
    let address = fleet.daemons[index].caller_address;
    let call = web::call(address, "GET", "/v1/addresses", &[], "").await;
    Some(call.ok()?.json())
}

async fn address_count(fleet: &Fleet, index: usize) -> usize {
    let response = fetch_addresses(fleet, index).await.unwrap_or_default();
    response["addresses"].as_array().map_or(0, Vec::len)
}

async fn version_of(fleet: &Fleet, index: usize) -> Option<u64> {
    fetch_addresses(fleet, index).await?["version"].as_u64()
}

async fn wait_version(fleet: &Fleet, version: u64, timeout: time::Duration) {
    for index in 0..fleet.daemons.len() {
        let description = format!("version {version} at daemon-{index}");
        harness::wait_until(timeout, &description, async || {
            version_of(fleet, index).await == Some(version)
        })
        .await;
    }
}

/// Puts the fleet's deployment, with another number of slots, as the successor of version `base`;
/// returns the status and the body of the response.
async fn put_config(
    fleet: &Fleet,
    daemon: usize,
    operator: &str,
    base: u64,
    slots: u32,
) -> (u16, Value) {
    let mut deployment = fleet.deployment.clone();
    deployment.engines[0].slots = slots;
    let body = serde_json::to_string(&deployment).expect("JSON");
    let (base, key) = (base.to_string(), format!("Bearer {operator}-key"));
    let headers = [("if-match", base.as_str()), ("authorization", key.as_str())];
    let address = fleet.daemons[daemon].admin_address;
    let response = web::call(address, "PUT", "/admin/config", &headers, body).await;
    let response = response.expect("a response");
    (response.status, response.json())
}

async fn control_platform(fleet: &Fleet, message: Value) {
    let control = Fleet::control(fleet.platform_address, &message).await;
    control.expect("the platform accepts the fault");
}

/// Guards against an accepted configuration that doesn't reach every daemon in time, with the table
/// service available and with a table service that is down from the acceptance on.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_change_is_in_force_at_every_daemon() {
    let _permit = harness::acquire_fleet_permit().await;
    let fleet = start_fleet().await;
    let accepted = put_config(&fleet, 0, "ada", 1, 11).await;
    assert_eq!(accepted, (200, json!({"version": 2})));
    wait_version(&fleet, 2, MAX_PROPAGATION).await;
    let accepted = put_config(&fleet, 1, "grace", 2, 12).await;
    assert_eq!(accepted, (200, json!({"version": 3})));
    control_platform(&fleet, json!({"down": "close"})).await;
    wait_version(&fleet, 3, MAX_PROPAGATION).await;
    let refused = put_config(&fleet, 2, "ada", 3, 13).await;
    assert_eq!(refused.0, 503, "{refused:?}");
    assert_eq!(refused.1["error"]["reason"], "table_unavailable");
    control_platform(&fleet, json!({"down": "none"})).await;
    wait_version(&fleet, 3, MAX_PROPAGATION).await;
}

/// Guards against two accepted changes to one base version, and against a conflict response that
/// doesn't name the accepted version and its operator.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_changes_is_accepted() {
    let _permit = harness::acquire_fleet_permit().await;
    let fleet = start_fleet().await;
    for base in 1..=5 {
        let operators = [(0, "ada"), (1, "grace")];
        let [first, second] =
            operators.map(|(daemon, name)| put_config(&fleet, daemon, name, base, 7));
        let responses = tokio::join!(first, second);
        let (winner, (status, conflict)) = match responses {
            ((200, _), loser) => ("ada", loser),
            (loser, (200, _)) => ("grace", loser),
            other => panic!("no single winner of version {}: {other:?}", base + 1),
        };
        assert_eq!(status, 409, "{conflict}");
        assert_eq!(conflict["error"]["version"], base + 1);
        assert_eq!(conflict["error"]["operator"], winner);
        wait_version(&fleet, base + 1, MAX_PROPAGATION).await;
    }
}

/// Highest version that each daemon reported, and a message for each decrease.
#[derive(Default)]
struct VersionLog {
    highest: [u64; 3],
    decreases: Vec<String>,
}

impl VersionLog {
    async fn sample(log: &sync::Mutex<Self>, fleet: &Fleet) {
        for index in 0..3 {
            // Version 0: the daemon has no configuration yet, is not ready and serves no requests.
            let version = version_of(fleet, index)
                .await
                .filter(|version| *version > 0);
            let Some(version) = version else {
                continue;
            };
            let mut log = log.lock().expect("log lock");
            let highest = log.highest[index];
            if version < highest {
                log.decreases.push(format!(
                    "daemon-{index} went from version {highest} to {version}"
                ));
            }
            log.highest[index] = highest.max(version);
        }
    }
}

/// Guards against a daemon that returns to a lower version, because of a restart while the table
/// service is down, of its settings file or of an outdated response.
#[tokio::test(flavor = "multi_thread")]
async fn version_never_decreases() {
    let _permit = harness::acquire_fleet_permit().await;
    let mut fleet = start_fleet().await;
    let log = sync::Mutex::new(VersionLog::default());
    for base in 1..=3 {
        let (status, _) = put_config(&fleet, base as usize % 3, "ada", base, 20).await;
        assert_eq!(status, 200);
        VersionLog::sample(&log, &fleet).await;
        control_platform(&fleet, json!({"down": "error"})).await;
        let restarted = base as usize - 1;
        // The version must have spread from the daemon that accepted it before another one is
        // killed.
        wait_version(&fleet, base + 1, MAX_PROPAGATION).await;
        VersionLog::sample(&log, &fleet).await;
        fleet.daemons[restarted].process.kill();
        let started = fleet.daemons[restarted].process.restart();
        started.expect("the daemon starts again");
        harness::wait_until(TIMEOUT, "the restarted daemon is ready", async || {
            VersionLog::sample(&log, &fleet).await;
            version_of(&fleet, restarted).await == Some(base + 1)
        })
        .await;
        control_platform(&fleet, json!({"down": "none"})).await;
        wait_version(&fleet, base + 1, MAX_PROPAGATION).await;
    }
    VersionLog::sample(&log, &fleet).await;
    let decreases = log.into_inner().expect("log lock").decreases;
    assert!(decreases.is_empty(), "{decreases:?}");
    for index in 0..3 {
        // A sample can miss a version that was in force only briefly; the log file lists each one.
        let versions = logged_versions(&fleet, index);
        assert!(versions.contains(&4), "daemon-{index}: {versions:?}");
        assert!(versions.is_sorted(), "daemon-{index}: {versions:?}");
    }
}

/// Versions that a daemon logged as in force, over all its runs.
fn logged_versions(fleet: &Fleet, index: usize) -> Vec<u64> {
    let log = fleet.daemons[index].process.log_file();
    let log = std::fs::read_to_string(log).expect("a log file");
    let lines = log.lines().filter_map(|line| {
        let line: Value = serde_json::from_str(line).ok()?;
        let rest = line["message"].as_str()?.strip_prefix("configuration ")?;
        let is_in_force = rest.ends_with("is in force") || rest.ends_with("accepted");
        let version = rest.split(' ').next()?.parse().ok()?;
        is_in_force.then_some(version)
    });
    lines.collect()
}

/// Guards against a change that is reported as failed although it is in force, because the response
/// of the table service was lost, and against a repetition of it that creates another version.
#[tokio::test(flavor = "multi_thread")]
async fn change_with_a_lost_table_response_is_read_back() {
    let _permit = harness::acquire_fleet_permit().await;
    let fleet = start_fleet().await;
    control_platform(&fleet, json!({"lose_next": 1})).await;
    let accepted = put_config(&fleet, 0, "ada", 1, 9).await;
    assert_eq!(accepted, (200, json!({"version": 2})));
    wait_version(&fleet, 2, MAX_PROPAGATION).await;
    let (status, conflict) = put_config(&fleet, 1, "ada", 1, 9).await;
    assert_eq!(status, 409, "{conflict}");
    assert_eq!(conflict["error"]["version"], 2);
    assert_eq!(conflict["error"]["operator"], "ada");
    let key = [("authorization", "Bearer ada-key")];
    let address = fleet.daemons[2].admin_address;
    let history = web::call(address, "GET", "/admin/config/history", &key, "").await;
    let history = history.expect("a response").json();
    let versions = history["versions"].as_array().map_or(0, Vec::len);
    assert_eq!(versions, 2, "{history}");
}
