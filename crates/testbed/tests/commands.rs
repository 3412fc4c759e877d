//! The command line against running daemons.

use std::{process, time};

use acaciabank_testbed::harness;

const PROGRAM: &str = env!("CARGO_BIN_EXE_testbed");
const LIMIT: time::Duration = time::Duration::from_secs(30);

/// A fleet of two daemons, two engines and one service instance.
async fn start_fleet() -> harness::Fleet {
    let mut spec = harness::Fleet::pemberton();
    spec.daemons = 2;
    spec.deployment.engines.truncate(2);
    spec.deployment.services[0].instances.truncate(1);
    let launcher = harness::Launcher::new(PROGRAM).expect("a temporary folder");
    spec.start(launcher).await.expect("the fleet starts")
}

fn acaciabank(arguments: &[&str]) -> process::Output {
    process::Command::new(PROGRAM)
        .arg("cli")
        .args(arguments)
        .output()
        .expect("the program runs")
}

/// Standard output of a command that must succeed.
fn output_of(arguments: &[&str]) -> String {
    let output = acaciabank(arguments);
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{arguments:?}: {error}");
    String::from_utf8(output.stdout).expect("UTF-8")
}

fn row_of<'a>(table: &'a str, name: &str) -> &'a str {
    let row = table.lines().find(|line| line.starts_with(name));
    row.unwrap_or_else(|| panic!("no row {name} in:\n{table}"))
}

/// Guards against columns that name a member which the daemon does not send, and against a drain
/// that does not reach the other daemon.
#[tokio::test(flavor = "multi_thread")]
async fn operators_see_and_change_the_fleet() {
    let fleet = start_fleet().await;
    let admin: Vec<String> = fleet
        .daemons
        .iter()
        .map(|daemon| daemon.admin_address.to_string())
        .collect();
    let (first, second) = (admin[0].as_str(), admin[1].as_str());
    let engine = fleet.engines[0].name.as_str();

    let status = output_of(&["status", "--admin", first]);
    assert!(status.contains("phase: ready"), "{status}");
    for daemon in &fleet.daemons {
        assert!(row_of(&status, &daemon.name).contains(&daemon.caller_address.to_string()));
    }
    let targets = output_of(&["targets", "--admin", first]);
    for target in fleet.engines.iter().chain(&fleet.services) {
        assert!(row_of(&targets, &target.name).contains(&target.address.to_string()));
    }

    output_of(&["drain", engine, "--admin", first]);
    harness::wait_until(LIMIT, "the other daemon withdraws the target", async || {
        let targets = output_of(&["targets", "--admin", second]);
        row_of(&targets, engine).contains("drained")
    })
    .await;
    let diff = output_of(&["config", "diff", "1", "2", "--admin", first]);
    assert_eq!(
        diff.trim(),
        format!("+ rules.drained[{engine}]: \"{engine}\"")
    );

    let deployment = output_of(&["config", "get", "--admin", first]);
    let file = fleet.launcher.folder().join("deployment.json");
    std::fs::write(&file, deployment).expect("a file");
    let file = file.to_str().expect("UTF-8");
    let late = acaciabank(&["config", "set", "--expect", "1", file, "--admin", second]);
    assert_eq!(late.status.code(), Some(3), "{late:?}");
    assert!(
        String::from_utf8_lossy(&late.stderr).contains("version 2"),
        "{late:?}"
    );
    output_of(&["config", "set", "--expect", "2", file, "--admin", second]);
    output_of(&["undrain", engine, "--admin", second]);
    let history = output_of(&["config", "history", "--json", "--admin", second]);
    let history: serde_json::Value = serde_json::from_str(&history).expect("JSON");
    let versions: Vec<u64> = history["versions"]
        .as_array()
        .expect("an array")
        .iter()
        .filter_map(|entry| entry["version"].as_u64())
        .collect();
    assert_eq!(versions, [4, 3, 2, 1]);
    output_of(&["log-level", "debug", "--admin", first]);
    let faulty = acaciabank(&["log-level", "loud", "--admin", first]);
    assert_eq!(faulty.status.code(), Some(1), "{faulty:?}");
}

/// Guards against a load report that counts other requests than were planned, and against callers'
/// commands that do not reach the system.
#[tokio::test(flavor = "multi_thread")]
async fn callers_complete_and_load_reports_every_request() {
    let fleet = start_fleet().await;
    let caller = fleet.daemons[0].caller_address.to_string();
    let admin = fleet.daemons[0].admin_address.to_string();

    let addresses = output_of(&["addresses", "--caller", &caller]);
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
    let text = output_of(&completion);
    assert_eq!(text.split_whitespace().count(), 3, "{text}");

    let script = serde_json::json!({"phases": [{"duration_ms": 1_000, "rate_per_s": 20, "mix": [
        {"weight": 3, "model": "drafting", "output_tokens": {"min": 2, "max": 4}},
        {"weight": 1, "service": "ledger", "path": "/notices", "keyed": true},
    ]}]});
    let file = fleet.launcher.folder().join("script.json");
    std::fs::write(&file, script.to_string()).expect("a file");
    let file = file.to_str().expect("UTF-8");
    let report = output_of(&[
        "load", "--caller", &caller, "--admin", &admin, "--seed", "5", "--json", file,
    ]);
    let report: serde_json::Value = serde_json::from_str(report.trim()).expect("JSON");
    let script = acaciabank_cli::load::LoadScript::from_json(&script.to_string()).expect("script");
    let planned = acaciabank_cli::load::plan(&script, 5);
    assert_eq!(report["requests"], planned.len());
    assert_eq!(report["completed"], planned.len(), "{report}");
    let keyed = planned
        .iter()
        .filter(|request| request.idempotency_key.is_some())
        .count();
    let counts = fleet.journals().expect("journals").executions_by_key();
    assert!(counts.values().all(|count| *count == 1), "{counts:?}");
    assert_eq!(counts.len(), keyed, "every keyed request runs once");
}
