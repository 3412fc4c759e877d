//! P9: an accepted configuration is in force everywhere within 11 s and is never reverted.

use std::{sync, time};

use acaciabank_protocol::settings;
use acaciabank_testbed::{
    harness::{self, Fleet, FleetSpec},
    web,
};
use serde_json::{Value, json};
use sha2::Digest;

const PROGRAM: &str = env!("CARGO_BIN_EXE_testbed");
/// Generous limit for conditions on a busy machine.
const LIMIT: time::Duration = time::Duration::from_secs(60);
/// Time in which an accepted configuration must be in force everywhere.
const BOUND: time::Duration = time::Duration::from_secs(11);

/// Three daemons; the operators `ada` and `grace` have the keys `ada-key` and `grace-key`.
async fn start_fleet() -> Fleet {
    let mut spec = FleetSpec::small(3, 2, 1);
    let operator = |name: &str| {
        let digest = sha2::Sha256::digest(format!("{name}-key").as_bytes());
        let digits = digest.iter().map(|byte| format!("{byte:02x}"));
        settings::OperatorEntry {
            name: name.to_owned(),
            key_sha256: vec![digits.collect()],
        }
    };
    spec.deployment.operators = vec![operator("ada"), operator("grace")];
    let launcher = harness::Launcher::new(PROGRAM).expect("a temporary folder");
    let fleet = spec.start(launcher).await.expect("the fleet starts");
    for position in 0..3 {
        harness::wait_until(LIMIT, "three members", async || {
            named_count(&fleet, position).await == 3
        })
        .await;
    }
    fleet
}

async fn addresses(fleet: &Fleet, position: usize) -> Option<Value> {
    let address = fleet.daemons[position].caller_address;
    let call = web::call(address, "GET", "/v1/addresses", &[], "").await;
    Some(call.ok()?.json())
}

async fn named_count(fleet: &Fleet, position: usize) -> usize {
    let answer = addresses(fleet, position).await.unwrap_or_default();
    answer["addresses"].as_array().map_or(0, Vec::len)
}

async fn version_of(fleet: &Fleet, position: usize) -> Option<u64> {
    addresses(fleet, position).await?["version"].as_u64()
}

async fn wait_version(fleet: &Fleet, version: u64, limit: time::Duration) {
    for position in 0..fleet.daemons.len() {
        let description = format!("version {version} at daemon-{position}");
        harness::wait_until(limit, &description, async || {
            version_of(fleet, position).await == Some(version)
        })
        .await;
    }
}

/// Proposes the fleet's deployment with another number of slots as the successor of `base`.
async fn put(fleet: &Fleet, daemon: usize, operator: &str, base: u64, slots: u32) -> (u16, Value) {
    let mut deployment = fleet.deployment.clone();
    deployment.engines[0].slots = slots;
    let body = serde_json::to_string(&deployment).expect("JSON");
    let (base, key) = (base.to_string(), format!("Bearer {operator}-key"));
    let headers = [("if-match", base.as_str()), ("authorization", key.as_str())];
    let address = fleet.daemons[daemon].admin_address;
    let answer = web::call(address, "PUT", "/admin/config", &headers, body).await;
    let answer = answer.expect("an answer");
    (answer.status, answer.json())
}

async fn set_platform(fleet: &Fleet, message: Value) {
    let control = Fleet::control(fleet.platform_address, &message).await;
    control.expect("the platform takes the fault");
}

/// Guards against an accepted configuration that does not reach every daemon within the bound, with
/// the table available and with the table failing from the acceptance on.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_change_is_in_force_everywhere() {
    let _turn = harness::acquire_fleet_permit().await;
    let fleet = start_fleet().await;
    let accepted = put(&fleet, 0, "ada", 1, 11).await;
    assert_eq!(accepted, (200, json!({"version": 2})));
    wait_version(&fleet, 2, BOUND).await;
    let accepted = put(&fleet, 1, "grace", 2, 12).await;
    assert_eq!(accepted, (200, json!({"version": 3})));
    set_platform(&fleet, json!({"down": "close"})).await;
    wait_version(&fleet, 3, BOUND).await;
    let refused = put(&fleet, 2, "ada", 3, 13).await;
    assert_eq!(refused.0, 503, "{refused:?}");
    assert_eq!(refused.1["error"]["reason"], "table_unavailable");
    set_platform(&fleet, json!({"down": "none"})).await;
    wait_version(&fleet, 3, BOUND).await;
}

/// Guards against two winners of one base version, and against a loser that is not told who won.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_racing_operators_wins() {
    let _turn = harness::acquire_fleet_permit().await;
    let fleet = start_fleet().await;
    for base in 1..=5 {
        let operators = [(0, "ada"), (1, "grace")];
        let [first, second] = operators.map(|(daemon, name)| put(&fleet, daemon, name, base, 7));
        let answers = tokio::join!(first, second);
        let (winner, (status, conflict)) = match answers {
            ((200, _), loser) => ("ada", loser),
            (loser, (200, _)) => ("grace", loser),
            other => panic!("nobody won version {}: {other:?}", base + 1),
        };
        assert_eq!(status, 409, "{conflict}");
        assert_eq!(conflict["error"]["version"], base + 1);
        assert_eq!(conflict["error"]["operator"], winner);
        wait_version(&fleet, base + 1, BOUND).await;
    }
}

/// Versions that a daemon reported; a step back is recorded as a fault.
#[derive(Default)]
struct VersionLog {
    highest: [u64; 3],
    faults: Vec<String>,
}

impl VersionLog {
    async fn sample(log: &sync::Mutex<Self>, fleet: &Fleet) {
        for position in 0..3 {
            // 0 means that none is learned yet; such a daemon is not ready and serves nothing.
            let version = version_of(fleet, position).await.filter(|v| *v > 0);
            let Some(version) = version else {
                continue;
            };
            let mut log = log.lock().expect("log lock");
            let highest = log.highest[position];
            if version < highest {
                log.faults.push(format!(
                    "daemon-{position} went from version {highest} to {version}"
                ));
            }
            log.highest[position] = highest.max(version);
        }
    }
}

/// Guards against a daemon that falls back to a lower version, by a restart during an outage of the
/// table, by its settings file, or by an old answer.
#[tokio::test(flavor = "multi_thread")]
async fn version_never_steps_back() {
    let _turn = harness::acquire_fleet_permit().await;
    let mut fleet = start_fleet().await;
    let log = sync::Mutex::new(VersionLog::default());
    for base in 1..=3 {
        let (status, _) = put(&fleet, base as usize % 3, "ada", base, 20).await;
        assert_eq!(status, 200);
        VersionLog::sample(&log, &fleet).await;
        set_platform(&fleet, json!({"down": "error"})).await;
        let restarted = base as usize - 1;
        // The accepted version must have left the daemon that accepted it before others may die.
        wait_version(&fleet, base + 1, BOUND).await;
        VersionLog::sample(&log, &fleet).await;
        fleet.daemons[restarted].process.kill();
        let started = fleet.daemons[restarted].process.restart();
        started.expect("the daemon starts again");
        harness::wait_until(LIMIT, "the restarted daemon is ready", async || {
            VersionLog::sample(&log, &fleet).await;
            version_of(&fleet, restarted).await == Some(base + 1)
        })
        .await;
        set_platform(&fleet, json!({"down": "none"})).await;
        wait_version(&fleet, base + 1, BOUND).await;
    }
    VersionLog::sample(&log, &fleet).await;
    let faults = log.into_inner().expect("log lock").faults;
    assert!(faults.is_empty(), "{faults:?}");
    for position in 0..3 {
        // A sample can miss a version that was in force for a moment; the log cannot.
        let versions = logged_versions(&fleet, position);
        assert!(versions.contains(&4), "daemon-{position}: {versions:?}");
        assert!(versions.is_sorted(), "daemon-{position}: {versions:?}");
    }
}

/// Versions that a daemon put in force, over all its runs.
fn logged_versions(fleet: &Fleet, position: usize) -> Vec<u64> {
    let log = fleet.daemons[position].process.log_file();
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

/// Guards against a change whose answer from the table was lost being reported as failed although it
/// is in force, and against its repetition making another version.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_of_the_table_is_read_back() {
    let _turn = harness::acquire_fleet_permit().await;
    let fleet = start_fleet().await;
    set_platform(&fleet, json!({"lose_next": 1})).await;
    let accepted = put(&fleet, 0, "ada", 1, 9).await;
    assert_eq!(accepted, (200, json!({"version": 2})));
    wait_version(&fleet, 2, BOUND).await;
    let (status, conflict) = put(&fleet, 1, "ada", 1, 9).await;
    assert_eq!(status, 409, "{conflict}");
    assert_eq!(conflict["error"]["version"], 2);
    assert_eq!(conflict["error"]["operator"], "ada");
    let key = [("authorization", "Bearer ada-key")];
    let address = fleet.daemons[2].admin_address;
    let history = web::call(address, "GET", "/admin/config/history", &key, "").await;
    let history = history.expect("an answer").json();
    let versions = history["versions"].as_array().map_or(0, Vec::len);
    assert_eq!(versions, 2, "{history}");
}
