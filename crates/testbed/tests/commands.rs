//! The command-line client against running daemons.

use std::{process, time};

use acaciabank_testbed::harness;

const PROGRAM: &str = env!("CARGO_BIN_EXE_testbed");
/// Maximum wait for a condition; generous because the machine may be busy.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Starts two daemons, two engines and one service instance.
async fn start_fleet() -> harness::Fleet {
    let mut spec = harness::Fleet::pemberton();
    spec.daemons = 2;
    spec.deployment.engines.truncate(2);
    spec.deployment.services[0].instances.truncate(1);
    let launcher = harness::Launcher::new(PROGRAM).expect("a temporary folder");
    spec.start(launcher).await.expect("the fleet starts")
}

fn run_client(arguments: &[&str]) -> process::Output {
    process::Command::new(PROGRAM)
        .arg("cli")
        .args(arguments)
        .output()
        .expect("the program runs")
}

/// Runs a command that must succeed; returns its standard output.
fn run_ok(arguments: &[&str]) -> String {
    let output = run_client(arguments);
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{arguments:?}: {error}");
    String::from_utf8(output.stdout).expect("UTF-8")
}

/// Row of a printed table whose first column starts with `name`.
fn find_row<'a>(table: &'a str, name: &str) -> &'a str {
    let row = table.lines().find(|line| line.starts_with(name));
    row.unwrap_or_else(|| panic!("no row {name} in:\n{table}"))
}

/// Guards against a printed column that reads a field which the daemon doesn't send, and against a
/// drain that doesn't reach the other daemon.
#[tokio::test(flavor = "multi_thread")]
async fn operator_commands_show_and_change_the_fleet() {
    let fleet = start_fleet().await;
    let admin: Vec<String> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.admin_address.to_string())
        .collect();
    let (first, second) = (admin[0].as_str(), admin[1].as_str());
    let engine = fleet.engines[0].name.as_str();

    let status = run_ok(&["status", "--admin", first]);
    assert!(status.contains("phase: ready"), "{status}");
    for daemon in &fleet.daemons {
        assert!(find_row(&status, &daemon.name).contains(&daemon.caller_address.to_string()));
    }
    let targets = run_ok(&["targets", "--admin", first]);
    for target in fleet.engines.iter().chain(&fleet.services) {
        assert!(find_row(&targets, &target.name).contains(&target.address.to_string()));
    }

    run_ok(&["drain", engine, "--admin", first]);
    harness::wait_until(TIMEOUT, "the other daemon drains the target", async || {
        let targets = run_ok(&["targets", "--admin", second]);
        find_row(&targets, engine).contains("drained")
    })
    .await;
    let diff = run_ok(&["config", "diff", "1", "2", "--admin", first]);
    assert_eq!(
        diff.trim(),
        format!("+ rules.drained[{engine}]: \"{engine}\"")
    );

    let deployment = run_ok(&["config", "get", "--admin", first]);
    let file = fleet.launcher.folder().join("deployment.json");
    std::fs::write(&file, deployment).expect("a file");
    let file = file.to_str().expect("UTF-8");
    let conflict = run_client(&["config", "set", "--expect", "1", file, "--admin", second]);
    assert_eq!(conflict.status.code(), Some(3), "{conflict:?}");
    assert!(
        String::from_utf8_lossy(&conflict.stderr).contains("version 2"),
        "{conflict:?}"
    );
    run_ok(&["config", "set", "--expect", "2", file, "--admin", second]);
    run_ok(&["undrain", engine, "--admin", second]);
    let history = run_ok(&["config", "history", "--json", "--admin", second]);
    let history: serde_json::Value = serde_json::from_str(&history).expect("JSON");
    let versions: Vec<u64> = history["versions"]
        .as_array()
        .expect("an array")
        .iter()
        .filter_map(|entry| entry["version"].as_u64())
        .collect();
    assert_eq!(versions, [4, 3, 2, 1]);
    run_ok(&["log-level", "debug", "--admin", first]);
    let rejected = run_client(&["log-level", "loud", "--admin", first]);
    assert_eq!(rejected.status.code(), Some(1), "{rejected:?}");
}

/// Guards against a load report whose counts differ from the planned requests, and against caller
/// commands that don't reach the daemons.
#[tokio::test(flavor = "multi_thread")]
async fn caller_commands_work_and_load_reports_every_request() {
    let fleet = start_fleet().await;
    let caller = fleet.daemons[0].caller_address.to_string();
    let admin = fleet.daemons[0].admin_address.to_string();

    let addresses = run_ok(&["addresses", "--caller", &caller]);
    let addresses: serde_json::Value = serde_json::from_str(&addresses).expect("JSON");
    assert!(
        !addresses["addresses"]
            .as_array()
            .expect("an array")
            .is_empty()
    );
    let completion = [
        "complete",
        "--caller",
        &caller,
        "--model",
        "drafting",
        "--max-tokens",
        "3",
        "Dear member",
    ];
    let text = run_ok(&completion);
    assert_eq!(text.split_whitespace().count(), 3, "{text}");

    let script = serde_json::json!({"phases": [{"duration_ms": 1_000, "rate_per_s": 20, "mix": [
        {"weight": 3, "model": "drafting", "output_tokens": {"min": 2, "max": 4}},
        {"weight": 1, "service": "ledger", "path": "/notices", "keyed": true},
    ]}]});
    let file = fleet.launcher.folder().join("script.json");
    std::fs::write(&file, script.to_string()).expect("a file");
    let file = file.to_str().expect("UTF-8");
    let report = run_ok(&[
        "load", "--caller", &caller, "--admin", &admin, "--seed", "5", "--json", file,
    ]);
    let report: serde_json::Value = serde_json::from_str(report.trim()).expect("JSON");
    let script = acaciabank_cli::load::LoadScript::from_json(&script.to_string()).expect("script");
    let planned = acaciabank_cli::load::plan(&script, 5);
    assert_eq!(report["requests"], planned.len());
    assert_eq!(report["completed"], planned.len(), "{report}");
    let keyed_count = planned
        .iter()
        .filter(|request| request.idempotency_key.is_some())
        .count();
    let counts = fleet.journals().expect("journals").executions_by_key();
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");
    assert_eq!(counts.len(), keyed_count, "every keyed request runs once");
}
