//! Role changes under load, checked from the journals of the engines.

use std::{collections, sync, time};

use acaciabank_protocol::settings;
use acaciabank_testbed::harness;

/// Time after which the caller gives up on a request; generous because the machine may be busy.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(40);
/// Maximum wait for the role changes: 40 s were not enough on a machine with a load of twice its
/// cores.
const ROLE_CHANGE_TIMEOUT: time::Duration = time::Duration::from_secs(120);
/// Number of requests in flight at a time: a quarter of the fleet's 192 slots. The threshold planner
/// does nothing below a load of 0.1, and each change to the decode role adds capacity, so that an
/// eighth of the slots is below this load from the second change on.
const CONCURRENCY: usize = 48;
/// Number of role changes to wait for.
const MIN_ROLE_CHANGES: usize = 3;

fn spec() -> harness::FleetSpec {
    let mut spec = harness::Fleet::pemberton();
    spec.daemons = 3;
    spec.deployment.engines.truncate(6);
    spec.deployment.services.clear();
    spec.deployment.rules = settings::Rules::default();
    spec.deployment.policy.planner = settings::PlannerPolicy::Threshold;
    spec.timers = settings::TimerSettings {
        gossip_interval_ms: 200,
        suspect_after_ms: 2_000,
        dead_after_ms: 4_000,
        lease_ttl_ms: 3_000,
        lease_renewal_ms: 500,
        lease_margin_ms: 200,
        target_poll_ms: 100,
        config_poll_ms: 500,
        default_request_timeout_ms: 30_000,
        ..settings::TimerSettings::default()
    };
    let arguments = ["--time-scale", "0.2", "--switch-ms", "2000"];
    spec.engine_arguments = arguments.map(str::to_owned).to_vec();
    spec
}

/// Sends one request after another until `is_stopped` is set; returns their outcomes.
async fn run_worker(
    caller: sync::Arc<harness::Caller>,
    worker: usize,
    is_stopped: sync::Arc<sync::atomic::AtomicBool>,
) -> Vec<harness::CallOutcome> {
    let mut outcomes = Vec::new();
    while !is_stopped.load(sync::atomic::Ordering::Acquire) {
        let number = outcomes.len();
        let request = harness::CompletionRequest {
            model: "drafting".to_owned(),
            prompt: format!("member {worker} reminder {number}"),
            max_tokens: 150,
            is_stream: number.is_multiple_of(2),
            headers: Vec::new(),
        };
        outcomes.push(caller.complete(&request).await);
    }
    outcomes
}

/// Guards against a role change that interrupts a request, or that starts while one runs.
#[tokio::test(flavor = "multi_thread")]
async fn role_changes_under_load_interrupt_no_request() {
    let launcher = harness::Launcher::new(env!("CARGO_BIN_EXE_testbed")).expect("launcher");
    let fleet = spec().start(launcher).await.expect("fleet");
    let caller = sync::Arc::new(fleet.caller(None, REQUEST_TIMEOUT));
    let is_stopped = sync::Arc::new(sync::atomic::AtomicBool::new(false));
    let workers: Vec<_> = (0..CONCURRENCY)
        .map(|worker| tokio::spawn(run_worker(caller.clone(), worker, is_stopped.clone())))
        .collect();
    let has_changed_roles = harness::holds_within(ROLE_CHANGE_TIMEOUT, async || {
        let journals = fleet.journals().expect("journals");
        journals.events("order_applied").count() >= MIN_ROLE_CHANGES
    })
    .await;
    is_stopped.store(true, sync::atomic::Ordering::Release);
    let mut outcomes = Vec::new();
    for worker in workers {
        outcomes.extend(worker.await.expect("worker"));
    }
    assert!(
        has_changed_roles,
        "the planner made fewer than {MIN_ROLE_CHANGES} role changes"
    );
    let journals = fleet.journals().expect("journals");
    println!("{} requests", outcomes.len());
    for outcome in &outcomes {
        assert!(outcome.is_complete, "{outcome:?}");
        assert_eq!(outcome.violations, Vec::<String>::new());
    }
    assert_eq!(journals.events("cancelled").count(), 0);
    let finished = journals.finished_by_request();
    assert_eq!(finished.len(), outcomes.len());
    assert!(
        finished.values().all(|count| *count == 1),
        "a request ran twice"
    );

    let mut running: collections::BTreeMap<String, i64> = Default::default();
    let mut switching: collections::BTreeSet<String> = Default::default();
    let refused: collections::BTreeSet<String> = journals
        .events("order_refused")
        .map(|entry| entry["order_id"].to_string())
        .collect();
    for entry in &journals.entries {
        let engine = entry["engine"].as_str().unwrap_or_default().to_owned();
        match entry["event"].as_str().unwrap_or_default() {
            "started" => {
                assert!(
                    !switching.contains(&engine),
                    "{engine} started a request during a change"
                );
                *running.entry(engine).or_default() += 1;
            }
            "finished" => *running.entry(engine).or_default() -= 1,
            "order_received" if !refused.contains(&entry["order_id"].to_string()) => {
                assert_eq!(
                    running.get(&engine).copied().unwrap_or(0),
                    0,
                    "{engine} got an order while it ran requests"
                );
                switching.insert(engine);
            }
            "order_applied" => drop(switching.remove(&engine)),
            _ => {}
        }
    }
}
