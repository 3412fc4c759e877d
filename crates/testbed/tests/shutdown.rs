//! P8: a graceful shutdown interrupts no request.

use std::{net, time};

use acaciabank_testbed::{
    harness::{self, Fleet, FleetSpec},
    load, web,
};
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_testbed");
/// Generous limit for conditions on a busy machine.
const LIMIT: time::Duration = time::Duration::from_secs(60);

/// Three daemons; a stream of 120 tokens takes about two seconds, longer than the time for which a
/// daemon that shuts down still accepts connections.
async fn start_fleet() -> Fleet {
    let mut spec = FleetSpec::small(3, 2, 1);
    spec.engine_arguments = ["--decode-step-ms", "15", "--per-sequence-ms", "0.1"]
        .map(str::to_owned)
        .into();
    spec.timers.address_lifetime_ms = 400;
    let launcher = harness::Launcher::new(PROGRAM).expect("a temporary folder");
    let fleet = spec.start(launcher).await.expect("the fleet starts");
    fleet.wait_converged().await;
    fleet
}

fn stream(number: usize) -> load::LoadRequest {
    load::LoadRequest::Completion(harness::CompletionRequest {
        model: "drafting".to_owned(),
        prompt: format!("reminder {number}"),
        max_tokens: 120,
        is_stream: true,
        headers: Vec::new(),
    })
}

fn notice(number: usize) -> load::LoadRequest {
    load::LoadRequest::Service(harness::ServiceRequest {
        service: "ledger".to_owned(),
        method: "POST".to_owned(),
        path: "/notices".to_owned(),
        idempotency_key: Some(format!("notice-{number}")),
        body: format!("notice {number}"),
        ..harness::ServiceRequest::default()
    })
}

async fn named_by(fleet: &Fleet, position: usize) -> Vec<net::SocketAddr> {
    let address = fleet.daemons[position].caller_address;
    let call = web::call(address, "GET", "/v1/addresses", &[], "").await;
    let answer = call.map(|answer| answer.json()).unwrap_or_default();
    let entries = answer["addresses"].as_array().into_iter().flatten();
    let addresses = entries.filter_map(|entry| entry["address"].as_str());
    addresses.filter_map(|text| text.parse().ok()).collect()
}

async fn running_at(fleet: &Fleet, position: usize) -> u64 {
    let status = fleet.admin_json(position, "/admin/status").await;
    let status = status.unwrap_or_default();
    status["running_requests"].as_u64().unwrap_or_default()
}

/// Waits for the end of a daemon after SIGTERM; checks its exit status and that its last log line
/// counts no interrupted request.
async fn wait_clean_exit(fleet: &mut Fleet, position: usize) {
    let daemon = &mut fleet.daemons[position];
    let mut status = None;
    harness::wait_until(LIMIT, "the daemon ends", async || {
        status = daemon.process.exit_status();
        status.is_some()
    })
    .await;
    assert_eq!(status.and_then(|status| status.code()), Some(0));
    let log = std::fs::read_to_string(daemon.process.log_file()).expect("a log file");
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    let mut lines = lines;
    let stopped: Option<Value> = lines.rfind(|line: &Value| line["interrupted"].is_u64());
    let interrupted = stopped.map(|line| line["interrupted"].clone());
    assert_eq!(interrupted, Some(0.into()), "{}", daemon.name);
}

/// Guards against a shutdown that cuts streams: callers bound to one daemon get every stream whole
/// and at the first attempt.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_interrupts_no_stream() {
    let _turn = harness::acquire_fleet_permit().await;
    let mut fleet = start_fleet().await;
    let caller = fleet.caller(None, LIMIT);
    let requests: Vec<_> = (0..60).map(stream).collect();
    let mut is_terminated = false;
    let process = fleet.daemons[0].process.id();
    assert!(process.is_some());
    let outcomes = load::run(&caller, &requests, 20, |finished| {
        if finished >= 10 && !is_terminated {
            is_terminated = true;
            fleet.daemons[0].process.terminate();
        }
    })
    .await;
    assert!(is_terminated);
    for outcome in &outcomes {
        assert!(
            outcome.is_complete && outcome.violations.is_empty(),
            "{outcome:?}"
        );
        assert_eq!(outcome.attempts, 1, "{outcome:?}");
    }
    wait_clean_exit(&mut fleet, 0).await;
    let journals = fleet.journals().expect("journals");
    assert_eq!(journals.events("cancelled").count(), 0);
    let finished = journals.finished_by_request();
    assert_eq!(finished.len(), requests.len());
    assert!(finished.values().all(|count| *count == 1), "{finished:?}");
}

/// Guards against a daemon that stops accepting callers while others, or itself, still name it.
#[tokio::test(flavor = "multi_thread")]
async fn addresses_leave_before_the_listener_closes() {
    let _turn = harness::acquire_fleet_permit().await;
    let mut fleet = start_fleet().await;
    let leaving = fleet.daemons[1].caller_address;
    // A running stream keeps the daemon alive beyond the window.
    let direct = harness::Caller::new(vec![leaving], None, LIMIT);
    let request = harness::CompletionRequest {
        model: "drafting".to_owned(),
        prompt: "a long reminder".to_owned(),
        max_tokens: 200,
        is_stream: true,
        ..harness::CompletionRequest::default()
    };
    let mut last_named = None;
    let mut first_refused = None;
    let outcome = async {
        let outcome = post(leaving, &request).await;
        assert!(outcome.ends_with("data: [DONE]\n\n"), "{outcome}");
    };
    let watch = async {
        harness::wait_until(LIMIT, "the stream runs", async || {
            running_at(&fleet, 1).await > 0
        })
        .await;
        fleet.daemons[1].process.terminate();
        harness::wait_until(LIMIT, "the listener refuses connections", async || {
            for position in [0, 2] {
                let asked_at = time::Instant::now();
                if named_by(&fleet, position).await.contains(&leaving) {
                    last_named = Some(asked_at);
                }
            }
            let asked_at = time::Instant::now();
            let connected = tokio::net::TcpStream::connect(leaving).await;
            if connected.is_err() {
                first_refused = Some(asked_at);
            }
            first_refused.is_some()
        })
        .await;
    };
    tokio::join!(outcome, watch);
    let first_refused = first_refused.expect("the listener closed");
    let lifetime = time::Duration::from_millis(400);
    if let Some(last_named) = last_named {
        // Callers keep an answer for its lifetime.
        let gap = first_refused.duration_since(last_named);
        assert!(gap >= lifetime, "closed {gap:?} after it was named last");
    }
    assert!(
        direct.addresses().await.contains(&leaving),
        "nobody else is known"
    );
    wait_clean_exit(&mut fleet, 1).await;
}

/// Sends a stream to one daemon; its whole body.
async fn post(address: net::SocketAddr, request: &harness::CompletionRequest) -> String {
    let body = serde_json::json!({
        "model": request.model, "prompt": request.prompt,
        "max_tokens": request.max_tokens, "stream": request.is_stream,
    });
    let call = web::call(address, "POST", "/v1/completions", &[], body.to_string());
    let answer = call.await.expect("an answer");
    String::from_utf8_lossy(&answer.body).into_owned()
}

/// Guards against requests lost, repeated or refused for good while every daemon is restarted in
/// turn under load.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart_loses_nothing() {
    let _turn = harness::acquire_fleet_permit().await;
    let mut fleet = start_fleet().await;
    let caller = fleet.caller(None, LIMIT);
    let requests: Vec<_> = (0..160)
        .map(|number| match number % 2 {
            0 => stream(number),
            _ => notice(number),
        })
        .collect();
    let finished = std::sync::atomic::AtomicUsize::new(0);
    let count = |number| finished.store(number, std::sync::atomic::Ordering::Relaxed);
    let running = load::run(&caller, &requests, 12, count);
    let restarts = async {
        for position in 0..3 {
            fleet.daemons[position].process.terminate();
            wait_clean_exit(&mut fleet, position).await;
            let restarted = fleet.daemons[position].process.restart();
            restarted.expect("the daemon starts again");
            fleet.wait_daemon_ready(position).await;
            for other in 0..3 {
                fleet.wait_members(other, 3).await;
            }
        }
        let finished = finished.load(std::sync::atomic::Ordering::Relaxed);
        assert!(finished < 160, "the load ended before the last restart");
    };
    let (outcomes, ()) = tokio::join!(running, restarts);
    for outcome in &outcomes {
        assert!(
            outcome.is_complete && outcome.violations.is_empty(),
            "{outcome:?}"
        );
    }
    let executions = fleet.journals().expect("journals").executions_by_key();
    assert_eq!(executions.len(), 80);
    assert!(
        executions.values().all(|count| *count == 1),
        "{executions:?}"
    );
}
