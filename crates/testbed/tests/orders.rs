//! Orders of the planner to engines and the lease of the daemon that sends them, checked from the
//! journals of the engines and the table service.

use std::time;

use acaciabank_protocol::{ids, settings};
use acaciabank_testbed::{harness, web};
use serde_json::{Value, json};

/// Maximum wait for a condition; generous because the machine may be busy.
const TIMEOUT: time::Duration = time::Duration::from_secs(40);

/// Short intervals and timeouts, so that a takeover of the lease takes about two seconds.
fn short_timers() -> settings::TimerSettings {
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

/// A fleet with one model in one zone; role planning is off, so that only the tests cause orders.
fn spec(engines: usize, daemons: usize) -> harness::FleetSpec {
    let mut spec = harness::Fleet::pemberton();
    spec.daemons = daemons;
    spec.timers = short_timers();
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

fn launcher() -> harness::Launcher {
    harness::Launcher::new(env!("CARGO_BIN_EXE_testbed")).expect("launcher")
}

async fn start(spec: harness::FleetSpec) -> harness::Fleet {
    spec.start(launcher()).await.expect("fleet")
}

/// Starts a fleet whose daemons wait between the last check before an order and the write to the
/// engine.
async fn start_with_order_delay(spec: harness::FleetSpec, delay_ms: u32) -> harness::Fleet {
    let variable = "ACACIABANK_PAUSE_BEFORE_ORDER_MS";
    let launcher = launcher().with_env(variable, &delay_ms.to_string());
    spec.start(launcher).await.expect("fleet")
}

/// Puts a changed deployment in force through the daemon at the given index.
async fn change_deployment(
    fleet: &harness::Fleet,
    index: usize,
    change: impl Fn(&mut settings::Deployment),
) {
    let admin = fleet.daemons[index].admin_address;
    let current = web::call(admin, "GET", "/admin/config", &[], "").await;
    let current = current.expect("a response").json();
    let mut deployment = serde_json::from_value(current["deployment"].clone()).expect("deployment");
    change(&mut deployment);
    let version = current["version"].to_string();
    let body = serde_json::to_string(&deployment).expect("text");
    let headers = [("if-match", version.as_str())];
    let response = web::call(admin, "PUT", "/admin/config", &headers, body).await;
    let response = response.expect("a response");
    assert_eq!(response.status, 200, "{}", response.json());
}

/// Writes to the rows of a partition in the table service's journal, oldest first: time, row name
/// and body.
fn row_writes(journals: &harness::JournalEntries, partition: &str) -> Vec<Value> {
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

/// Index of the daemon that holds the model's lease according to the table service's journal.
fn lease_holder(fleet: &harness::Fleet) -> Option<usize> {
    let journals = fleet.journals().expect("journals");
    let last = row_writes(&journals, "lease").pop()?;
    let name = last["body"]["holder"].as_str()?.to_owned();
    fleet.daemons.iter().position(|daemon| daemon.name == name)
}

async fn wait_lease_holder(fleet: &harness::Fleet) -> usize {
    harness::wait_until(TIMEOUT, "a daemon holds the lease", async || {
        lease_holder(fleet).is_some()
    })
    .await;
    lease_holder(fleet).expect("holder")
}

/// Checks that each engine applied its orders with increasing fencing numbers.
fn assert_fencing_increases(journals: &harness::JournalEntries) {
    let mut highest = std::collections::BTreeMap::new();
    for entry in journals.events("order_applied") {
        let engine = entry["engine"].to_string();
        let fencing = entry["fencing"].as_u64().expect("fencing");
        let last = highest.insert(engine.clone(), fencing).unwrap_or(0);
        assert!(fencing > last, "{engine} applied {fencing} after {last}");
    }
}

fn applied_orders(fleet: &harness::Fleet) -> Vec<Value> {
    let journals = fleet.journals().expect("journals");
    journals.events("order_applied").cloned().collect()
}

/// Guards against a model version or an adapter of the deployment that engines don't load, and
/// against orders to more than one engine of a zone at a time.
#[tokio::test(flavor = "multi_thread")]
async fn deployment_changes_are_ordered_one_engine_at_a_time_in_each_zone() {
    let fleet = start(spec(6, 2)).await;
    change_deployment(&fleet, 0, |deployment| {
        deployment.models[0].version = "2".to_owned();
        deployment.models[0].adapters = vec!["polite".to_owned()];
    })
    .await;
    harness::wait_until(TIMEOUT, "engines have version and adapter", async || {
        applied_orders(&fleet).len() == 12
    })
    .await;
    let journals = fleet.journals().expect("journals");
    assert_fencing_increases(&journals);
    let zone = |engine: &str| {
        let entries = &fleet.deployment.engines;
        let entry = entries.iter().find(|entry| entry.name.as_str() == engine);
        let host = &entry.expect("engine").host;
        let mut hosts = fleet.deployment.hosts.iter();
        let host = hosts.find(|entry| entry.name == *host).expect("host");
        host.zone.clone()
    };
    let mut open_orders: std::collections::BTreeMap<ids::ZoneId, String> = Default::default();
    for entry in &journals.entries {
        let engine = entry["engine"].as_str().unwrap_or_default();
        match entry["event"].as_str() {
            Some("order_received") => {
                let other = open_orders.insert(zone(engine), engine.to_owned());
                assert_eq!(other, None, "two changes at once in one zone");
            }
            Some("order_applied" | "order_refused") => drop(open_orders.remove(&zone(engine))),
            _ => {}
        }
    }
}

fn add_adapter(deployment: &mut settings::Deployment) {
    deployment.models[0].adapters = vec!["polite".to_owned()];
}

/// Makes the lease holder record the intent of an order to the only engine; returns the holder,
/// which then waits between its last check and the write to the engine.
async fn trigger_order(fleet: &harness::Fleet) -> usize {
    let holder = wait_lease_holder(fleet).await;
    change_deployment(fleet, 1 - holder, add_adapter).await;
    harness::wait_until(TIMEOUT, "the intent is in the table", async || {
        let journals = fleet.journals().expect("journals");
        !row_writes(&journals, "target").is_empty()
    })
    .await;
    holder
}

/// Id and fencing number of each order that an engine received, by time.
fn received_orders(journals: &harness::JournalEntries) -> Vec<(String, u64)> {
    let orders = journals.events("order_received");
    orders
        .map(|entry| {
            let order_id = entry["order_id"].as_str().unwrap_or_default().to_owned();
            (order_id, entry["fencing"].as_u64().unwrap_or_default())
        })
        .collect()
}

/// Body of the last write to the only target's row.
fn last_target_row(fleet: &harness::Fleet) -> Value {
    let journals = fleet.journals().expect("journals");
    let last = row_writes(&journals, "target").pop();
    last.map(|write| write["body"].clone()).unwrap_or_default()
}

async fn wait_order_done(fleet: &harness::Fleet) {
    harness::wait_until(TIMEOUT, "the target's order is done", async || {
        last_target_row(fleet)["state"] == "done"
    })
    .await;
}

/// Delay of an order between the last check and the write, within which a test pauses the daemon.
const PAUSE_WINDOW_MS: u32 = 5_000;

/// Pauses the lease holder between its last check and its write; returns the paused daemon once its
/// successor's order is done. The log line about the wait shows that the check has passed; the
/// intent in the table is there before, and a holder that is paused before its check sends nothing.
async fn pause_before_write(fleet: &harness::Fleet) -> usize {
    let paused = trigger_order(fleet).await;
    let log_file = fleet.daemons[paused].process.log_file();
    harness::wait_until(TIMEOUT, "the holder waits before the write", async || {
        let log = std::fs::read_to_string(&log_file).unwrap_or_default();
        log.contains("before it is sent")
    })
    .await;
    fleet.daemons[paused].process.pause();
    let journals = fleet.journals().expect("journals");
    assert_eq!(received_orders(&journals), [], "paused before the write");
    wait_order_done(fleet).await;
    assert_ne!(
        lease_holder(fleet),
        Some(paused),
        "a successor holds the lease"
    );
    paused
}

/// Waits until the metrics of a resumed daemon show that it lost its lease and that its order
/// ended.
async fn wait_lease_lost(fleet: &harness::Fleet, daemon: usize) {
    let daemon = &fleet.daemons[daemon];
    harness::wait_until(TIMEOUT, "the daemon lost its lease", async || {
        let call = web::call(daemon.admin_address, "GET", "/metrics", &[], "").await;
        let text = call.map(|response| String::from_utf8_lossy(&response.body).into_owned());
        text.is_ok_and(|text| {
            let has_metric = |name: &str, label: &str| {
                let mut lines = text.lines();
                lines.any(|line| line.starts_with(name) && line.contains(label))
            };
            has_metric("acaciabank_lease_transitions_total", "event=\"lost\"")
                && has_metric("acaciabank_orders_total", "outcome=")
        })
    })
    .await;
}

/// Guards against a late order that takes effect: its daemon was paused between the last check and
/// the write while another daemon took the lease over.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_with_fencing_refuses_the_late_order_of_a_paused_holder() {
    let fleet = start_with_order_delay(spec(1, 2), PAUSE_WINDOW_MS).await;
    let paused = pause_before_write(&fleet).await;
    fleet.daemons[paused].process.resume();
    harness::wait_until(TIMEOUT, "the late order is refused", async || {
        let journals = fleet.journals().expect("journals");
        let mut refused = journals.events("order_refused");
        refused.any(|entry| entry["reason"] == "stale_fencing" && entry["fencing"] == 1)
    })
    .await;
    wait_lease_lost(&fleet, paused).await;
    let journals = fleet.journals().expect("journals");
    assert_fencing_increases(&journals);
    let fencing: Vec<Value> = applied_orders(&fleet)
        .iter()
        .map(|entry| entry["fencing"].clone())
        .collect();
    assert_eq!(fencing, [2]);
    assert_eq!(last_target_row(&fleet)["fencing"], 2);
}

/// Guards against a late order that reaches an engine which ignores fencing numbers. The successor
/// of the paused daemon must wait until the engine has closed the connection that the late order
/// uses.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_without_fencing_never_gets_the_late_order_of_a_paused_holder() {
    let mut spec = spec(1, 2);
    spec.deployment.engines[0].fencing = settings::FencingSupport::Ignored;
    spec.deployment.engines[0].admin_idle_close_ms = Some(2_000);
    // The delay is shorter than the idle time after which the engine closes the connection, because
    // the successor waits as long before its own order.
    let fleet = start_with_order_delay(spec, 1_500).await;
    let paused = pause_before_write(&fleet).await;
    fleet.daemons[paused].process.resume();
    wait_lease_lost(&fleet, paused).await;
    let journals = fleet.journals().expect("journals");
    let fencing: Vec<u64> = received_orders(&journals)
        .iter()
        .map(|(_, number)| *number)
        .collect();
    assert_eq!(fencing, [2], "only the successor's order arrived");
    assert_fencing_increases(&journals);
    let takeover_ms = lease_changes(&journals).last().expect("takeover").1;
    let ordered_ms = journals.events("order_received").next().expect("order")["unix_ms"].as_u64();
    // lease_ttl_ms + 2 x admin_idle_close_ms
    assert!(ordered_ms.expect("time") >= takeover_ms + 1_500 + 4_000);
}

/// Holder and time of each lease write whose holder differs from that of the write before.
fn lease_changes(journals: &harness::JournalEntries) -> Vec<(String, u64)> {
    let mut changes: Vec<(String, u64)> = Vec::new();
    for write in row_writes(journals, "lease") {
        let holder = write["body"]["holder"]
            .as_str()
            .unwrap_or("none")
            .to_owned();
        if changes.last().is_none_or(|(last, _)| *last != holder) {
            changes.push((holder, write["unix_ms"].as_u64().expect("time")));
        }
    }
    changes
}

/// Guards against an open order of a killed holder that its successor drops or sends twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_successor_replaces_an_order_that_was_never_sent() {
    let mut fleet = start_with_order_delay(spec(1, 2), 800).await;
    let killed = trigger_order(&fleet).await;
    fleet.daemons[killed].process.kill();
    let journals = fleet.journals().expect("journals");
    assert_eq!(received_orders(&journals), [], "killed before the write");
    wait_order_done(&fleet).await;
    let fencing: Vec<Value> = applied_orders(&fleet)
        .iter()
        .map(|entry| entry["fencing"].clone())
        .collect();
    assert_eq!(fencing, [2]);
    assert_eq!(
        last_target_row(&fleet)["order"]["action"]["kind"],
        "load_adapter"
    );
}

/// Guards against a successor that repeats a change which the killed holder's order has already
/// started.
#[tokio::test(flavor = "multi_thread")]
async fn a_successor_records_an_order_that_reached_the_engine() {
    let mut spec = spec(1, 2);
    spec.engine_arguments = ["--load-ms", "4000"].map(str::to_owned).to_vec();
    let mut fleet = start_with_order_delay(spec, 0).await;
    let killed = trigger_order(&fleet).await;
    harness::wait_until(TIMEOUT, "the engine has the order", async || {
        !received_orders(&fleet.journals().expect("journals")).is_empty()
    })
    .await;
    fleet.daemons[killed].process.kill();
    assert_eq!(applied_orders(&fleet).len(), 0, "killed during the change");
    wait_order_done(&fleet).await;
    let journals = fleet.journals().expect("journals");
    assert_eq!(received_orders(&journals).len(), 1);
    assert_eq!(applied_orders(&fleet).len(), 1);
    assert_eq!(last_target_row(&fleet)["fencing"], 1);
}

/// Starts a daemon without peers that is no peer of the other daemons.
fn start_isolated(fleet: &harness::Fleet) -> harness::Process {
    let text = std::fs::read_to_string(&fleet.daemons[0].settings_file).expect("settings");
    let mut settings: settings::Settings = serde_json::from_str(&text).expect("settings");
    let ip = fleet.launcher.next_ip();
    let next_address = || fleet.launcher.free_address(ip).expect("address");
    let process = &mut settings.process;
    process.daemon = ids::DaemonId::from("isolated");
    (
        process.caller_address,
        process.admin_address,
        process.peer_address,
    ) = (next_address(), next_address(), next_address());
    process.peers.clear();
    let file = fleet.launcher.folder().join("isolated.json");
    std::fs::write(&file, serde_json::to_vec(&settings).expect("text")).expect("file");
    let arguments = ["--settings".into(), file.into_os_string()];
    let started = fleet.launcher.start("isolated", "daemon", arguments);
    started.expect("process")
}

/// Guards against two lease holders at a time while daemons cannot reach each other: each considers
/// itself the preferred candidate, so that only the table prevents a second holder.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_cannot_talk_never_hold_the_lease_together() {
    let fleet = start(spec(1, 1)).await;
    let isolated = start_isolated(&fleet);
    for round in 1..=3 {
        let read_changes = async || lease_changes(&fleet.journals().expect("journals"));
        harness::wait_until(TIMEOUT, "a daemon takes the lease", async || {
            read_changes().await.len() >= round
        })
        .await;
        let changes = read_changes().await;
        let (holder, _) = changes.last().expect("holder");
        let paused = match holder.as_str() {
            "isolated" => &isolated,
            _ => &fleet.daemons[0].process,
        };
        paused.pause();
        harness::wait_until(TIMEOUT, "the other daemon takes the lease", async || {
            read_changes().await.len() > changes.len()
        })
        .await;
        paused.resume();
    }
    let journals = fleet.journals().expect("journals");
    let mut last: Option<(String, u64, u64)> = None;
    let mut takeovers = 0;
    for write in row_writes(&journals, "lease") {
        let body = &write["body"];
        let holder = body["holder"]
            .as_str()
            .expect("no holder released the lease")
            .to_owned();
        let term = body["term"].as_u64().expect("term");
        let at_ms = write["unix_ms"].as_u64().expect("time");
        if let Some((last_holder, last_term, last_ms)) = &last {
            let is_takeover = *last_holder != holder;
            assert_eq!(term, last_term + u64::from(is_takeover));
            if is_takeover {
                takeovers += 1;
                let since_renewal_ms = at_ms - last_ms;
                assert!(
                    since_renewal_ms >= 1_500,
                    "taken {since_renewal_ms} ms after a renewal"
                );
            }
        }
        last = Some((holder, term, at_ms));
    }
    assert!(takeovers >= 3, "{takeovers} takeovers");
}

/// Guards against a successor that waits for the lease of a holder that shut down to expire, and
/// against one that repeats the order of that holder.
#[tokio::test(flavor = "multi_thread")]
async fn a_holder_that_shuts_down_releases_its_lease() {
    let mut spec = spec(1, 2);
    spec.engine_arguments = ["--load-ms", "3000"].map(str::to_owned).to_vec();
    let fleet = start_with_order_delay(spec, 0).await;
    let terminated = trigger_order(&fleet).await;
    harness::wait_until(TIMEOUT, "the engine has the order", async || {
        !received_orders(&fleet.journals().expect("journals")).is_empty()
    })
    .await;
    fleet.daemons[terminated].process.terminate();
    harness::wait_until(TIMEOUT, "the other daemon holds the lease", async || {
        lease_holder(&fleet) == Some(1 - terminated)
    })
    .await;
    wait_order_done(&fleet).await;
    let journals = fleet.journals().expect("journals");
    let changes = lease_changes(&journals);
    let holders: Vec<&str> = changes.iter().map(|(holder, _)| holder.as_str()).collect();
    let names = [terminated, 1 - terminated].map(|index| fleet.daemons[index].name.as_str());
    assert_eq!(holders, [names[0], "none", names[1]]);
    assert_eq!(received_orders(&journals).len(), 1);
    assert_eq!(applied_orders(&fleet).len(), 1);
}

/// Guards against an automatic takeover of an engine that ignores fencing numbers and closes idle
/// connections after an unknown time, and against a confirmation without effect.
#[tokio::test(flavor = "multi_thread")]
async fn takeover_with_an_unknown_idle_close_time_needs_an_operator() {
    let mut spec = spec(1, 2);
    spec.deployment.engines[0].fencing = settings::FencingSupport::Ignored;
    let mut fleet = start_with_order_delay(spec, 800).await;
    let killed = trigger_order(&fleet).await;
    let admin = fleet.daemons[1 - killed].admin_address;
    let target = fleet.engines[0].name.clone();
    let confirm = async || {
        let path = format!("/admin/targets/{target}/confirm-takeover");
        let response = web::call(admin, "POST", &path, &[], "").await;
        response.expect("a response").status
    };
    assert_eq!(confirm().await, 400, "the holder may still send its order");
    fleet.daemons[killed].process.kill();
    let log_file = fleet.daemons[1 - killed].process.log_file();
    harness::wait_until(TIMEOUT, "the successor asks for confirmation", async || {
        let log = std::fs::read_to_string(&log_file).unwrap_or_default();
        log.contains("waits for confirm_takeover")
    })
    .await;
    assert_eq!(received_orders(&fleet.journals().expect("journals")), []);
    assert_eq!(last_target_row(&fleet)["state"], "intended");
    assert_eq!(confirm().await, 200);
    let row = last_target_row(&fleet);
    wait_order_done(&fleet).await;
    assert_eq!(row["state"], "failed");
    assert_eq!(row["confirmed_term"], 2);
    let journals = fleet.journals().expect("journals");
    let fencing: Vec<u64> = received_orders(&journals)
        .iter()
        .map(|(_, number)| *number)
        .collect();
    assert_eq!(fencing, [2]);
}

/// Guards against an engine that is not ordered to load its configured version again after a
/// restart.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_engine_gets_the_configured_version() {
    let mut fleet = start(spec(2, 2)).await;
    change_deployment(&fleet, 0, |deployment| {
        deployment.models[0].version = "2".to_owned();
    })
    .await;
    harness::wait_until(TIMEOUT, "both engines have the version", async || {
        applied_orders(&fleet).len() == 2
    })
    .await;
    fleet.engines[0].process.restart().expect("restart");
    harness::wait_until(TIMEOUT, "the engine gets the version again", async || {
        applied_orders(&fleet).len() == 3
    })
    .await;
    assert_fencing_increases(&fleet.journals().expect("journals"));
}
