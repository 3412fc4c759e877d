//! Promises about authority, checked from the journals of engines and table with real processes.

use std::time;

use acaciabank_protocol::{ids, settings};
use acaciabank_testbed::{harness, web};
use serde_json::{Value, json};

/// Generous limit for conditions on a busy machine.
const LIMIT: time::Duration = time::Duration::from_secs(40);

/// Short timers, so that a takeover takes about two seconds.
fn timers() -> settings::TimerSettings {
    settings::TimerSettings {
        gossip_interval_ms: 200,
        suspect_after_ms: 1_000,
        dead_after_ms: 2_000,
        lease_ttl_ms: 1_500,
        lease_renewal_ms: 400,
        lease_margin_ms: 200,
        target_poll_ms: 100,
        config_poll_ms: 300,
        default_request_timeout_ms: 20_000,
        address_lifetime_ms: 300,
        ..settings::TimerSettings::default()
    }
}

/// A fleet with one model in one zone; the planner is off, so that tests cause the orders.
fn spec(engines: usize, daemons: usize) -> harness::FleetSpec {
    let mut spec = harness::Fleet::pemberton();
    spec.daemons = daemons;
    spec.timers = timers();
    spec.deployment.engines.truncate(engines);
    spec.deployment.services.clear();
    spec.deployment.rules = settings::Rules::default();
    spec.deployment.policy.planner = settings::PlannerPolicy::Off;
    let arguments = [
        "--time-scale",
        "0.1",
        "--switch-ms",
        "3000",
        "--load-ms",
        "3000",
    ];
    spec.engine_arguments = arguments.map(str::to_owned).to_vec();
    spec
}

async fn start(spec: harness::FleetSpec) -> harness::Fleet {
    let launcher = harness::Launcher::new(env!("CARGO_BIN_EXE_testbed")).expect("launcher");
    spec.start(launcher).await.expect("fleet")
}

/// Puts a changed deployment in force through the daemon at the given position.
async fn change(
    fleet: &harness::Fleet,
    position: usize,
    change: impl Fn(&mut settings::Deployment),
) {
    let admin = fleet.daemons[position].admin_address;
    let current = web::call(admin, "GET", "/admin/config", &[], "").await;
    let current = current.expect("an answer").json();
    let mut deployment = serde_json::from_value(current["deployment"].clone()).expect("deployment");
    change(&mut deployment);
    let version = current["version"].to_string();
    let body = serde_json::to_string(&deployment).expect("text");
    let headers = [("if-match", version.as_str())];
    let answer = web::call(admin, "PUT", "/admin/config", &headers, body).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.json());
}

/// A row's writes in the table's journal, oldest first: version, time and body.
fn row_writes(journals: &harness::JournalView, partition: &str) -> Vec<Value> {
    let items = journals.events("write").flat_map(|entry| {
        let items = entry["input"]["TransactItems"].as_array();
        items.into_iter().flatten().map(move |item| (entry, item))
    });
    let puts = items.filter(|(_, item)| item["Put"]["Item"]["pk"]["S"] == partition);
    puts.map(|(entry, item)| {
        let row = &item["Put"]["Item"];
        let body = row["body"]["S"].as_str().unwrap_or_default();
        json!({
            "unix_ms": entry["unix_ms"], "name": row["sk"]["S"],
            "body": serde_json::from_str::<Value>(body).unwrap_or_default(),
        })
    })
    .collect()
}

/// Daemon that holds the model's lease by the table's journal.
fn holder(fleet: &harness::Fleet) -> Option<usize> {
    let journals = fleet.journals().expect("journals");
    let last = row_writes(&journals, "lease").pop()?;
    let name = last["body"]["holder"].as_str()?.to_owned();
    fleet.daemons.iter().position(|daemon| daemon.name == name)
}

async fn wait_holder(fleet: &harness::Fleet) -> usize {
    harness::wait_until(LIMIT, "a daemon holds the lease", async || {
        holder(fleet).is_some()
    })
    .await;
    holder(fleet).expect("holder")
}

/// Orders applied by each engine never go back to a lower fencing number.
fn assert_fencing_grows(journals: &harness::JournalView) {
    let mut highest = std::collections::BTreeMap::new();
    for entry in journals.events("order_applied") {
        let engine = entry["engine"].to_string();
        let fencing = entry["fencing"].as_u64().expect("fencing");
        let last = highest.insert(engine.clone(), fencing).unwrap_or(0);
        assert!(fencing > last, "{engine} applied {fencing} after {last}");
    }
}

fn applied(fleet: &harness::Fleet) -> Vec<Value> {
    let journals = fleet.journals().expect("journals");
    journals.events("order_applied").cloned().collect()
}

/// Guards against a version or an adapter of the deployment that no engine loads, and against a
/// zone that loses more than one engine at a time.
#[tokio::test(flavor = "multi_thread")]
async fn deployment_changes_are_ordered_one_engine_at_a_time_in_each_zone() {
    let fleet = start(spec(6, 2)).await;
    change(&fleet, 0, |deployment| {
        deployment.models[0].version = "2".to_owned();
        deployment.models[0].adapters = vec!["polite".to_owned()];
    })
    .await;
    harness::wait_until(LIMIT, "each engine has version and adapter", async || {
        applied(&fleet).len() == 12
    })
    .await;
    let journals = fleet.journals().expect("journals");
    assert_fencing_grows(&journals);
    let zone = |engine: &str| {
        let entries = &fleet.deployment.engines;
        let entry = entries.iter().find(|entry| entry.name.as_str() == engine);
        let host = &entry.expect("engine").host;
        let mut hosts = fleet.deployment.hosts.iter();
        let host = hosts.find(|entry| entry.name == *host).expect("host");
        host.zone.clone()
    };
    let mut open: std::collections::BTreeMap<ids::ZoneId, String> = Default::default();
    for entry in &journals.entries {
        let engine = entry["engine"].as_str().unwrap_or_default();
        match entry["event"].as_str() {
            Some("order_received") => {
                let other = open.insert(zone(engine), engine.to_owned());
                assert_eq!(other, None, "two changes at once in one zone");
            }
            Some("order_applied" | "order_refused") => drop(open.remove(&zone(engine))),
            _ => {}
        }
    }
}
