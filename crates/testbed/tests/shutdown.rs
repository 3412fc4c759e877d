//! A graceful shutdown interrupts no request.

use std::{net, time};

use acaciabank_testbed::{
    harness::{self, Fleet, FleetSpec},
    load, web,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_testbed");
/// Maximum wait for a condition; generous because the machine may be busy.
const TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Starts three daemons. A stream of 120 tokens takes about two seconds, longer than a daemon
/// accepts connections once it shuts down.
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

fn stream_request(number: usize) -> load::LoadRequest {
    load::LoadRequest::Completion(harness::CompletionRequest {
        model: "drafting".to_owned(),
        prompt: format!("reminder {number}"),
        max_tokens: 120,
        is_stream: true,
        headers: Vec::new(),
    })
}

fn notice_request(number: usize) -> load::LoadRequest {
    load::LoadRequest::Service(harness::ServiceRequest {
        service: "ledger".to_owned(),
        method: "POST".to_owned(),
        path: "/notices".to_owned(),
        idempotency_key: Some(format!("notice-{number}")),
        body: format!("notice {number}"),
        ..harness::ServiceRequest::default()
    })
}

/// Addresses that a daemon lists to callers.
async fn listed_addresses(fleet: &Fleet, index: usize) -> Vec<net::SocketAddr> {
    let address = fleet.daemons[index].caller_address;
    let call = web::call(address, "GET", "/v1/addresses", &[], "").await;
    let response = call.map(|response| response.json()).unwrap_or_default();
    let entries = response["addresses"].as_array().into_iter().flatten();
    let addresses = entries.filter_map(|entry| entry["address"].as_str());
    addresses.filter_map(|text| text.parse().ok()).collect()
}

async fn running_request_count(fleet: &Fleet, index: usize) -> u64 {
    let status = fleet.admin_json(index, "/admin/status").await;
    let status = status.unwrap_or_default();
    status["running_requests"].as_u64().unwrap_or_default()
}

/// Waits until a daemon exits after SIGTERM; checks its exit status, and that the last log line
/// with `interrupted` counts no request.
async fn wait_clean_exit(fleet: &mut Fleet, index: usize) {
    let lines = fleet.wait_clean_exit(index, TIMEOUT).await;
    let interrupted = harness::interrupted_count(&lines);
    assert_eq!(interrupted, Some(0), "{}", fleet.daemons[index].name);
}

/// Guards against a shutdown that cuts off streams: a caller that uses the daemon must get every
/// stream complete and at the first attempt.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_interrupts_no_stream() {
    let _permit = harness::acquire_fleet_permit().await;
    let mut fleet = start_fleet().await;
    let caller = fleet.caller(None, TIMEOUT);
    let requests: Vec<_> = (0..60).map(stream_request).collect();
    let mut is_terminated = false;
    let process_id = fleet.daemons[0].process.id();
    assert!(process_id.is_some());
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

/// Guards against a daemon that refuses connections while it or another daemon still returns its
/// address to callers.
#[tokio::test(flavor = "multi_thread")]
async fn address_is_withdrawn_before_the_listener_closes() {
    let _permit = harness::acquire_fleet_permit().await;
    let mut fleet = start_fleet().await;
    let draining_address = fleet.daemons[1].caller_address;
    // The running stream keeps the daemon from exiting before its listener closes.
    let direct_caller = harness::Caller::new(vec![draining_address], None, TIMEOUT);
    let request = harness::CompletionRequest {
        model: "drafting".to_owned(),
        prompt: "a long reminder".to_owned(),
        max_tokens: 200,
        is_stream: true,
        ..harness::CompletionRequest::default()
    };
    let mut last_listed_at = None;
    let mut first_refused_at = None;
    let stream = async {
        let body = fetch_body(draining_address, &request).await;
        assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
    };
    let shutdown = async {
        harness::wait_until(TIMEOUT, "the stream runs", async || {
            running_request_count(&fleet, 1).await > 0
        })
        .await;
        fleet.daemons[1].process.terminate();
        harness::wait_until(TIMEOUT, "the listener refuses connections", async || {
            for index in [0, 2] {
                let asked_at = time::Instant::now();
                if listed_addresses(&fleet, index)
                    .await
                    .contains(&draining_address)
                {
                    last_listed_at = Some(asked_at);
                }
            }
            let asked_at = time::Instant::now();
            let connected = tokio::net::TcpStream::connect(draining_address).await;
            if connected.is_err() {
                first_refused_at = Some(asked_at);
            }
            first_refused_at.is_some()
        })
        .await;
    };
    tokio::join!(stream, shutdown);
    let first_refused_at = first_refused_at.expect("the listener closed");
    let lifetime = time::Duration::from_millis(400);
    if let Some(last_listed_at) = last_listed_at {
        // Callers use a response about addresses for its lifetime.
        let gap = first_refused_at.duration_since(last_listed_at);
        assert!(
            gap >= lifetime,
            "closed {gap:?} after its address was last returned"
        );
    }
    assert!(
        direct_caller.addresses().await.contains(&draining_address),
        "the caller keeps the known address"
    );
    wait_clean_exit(&mut fleet, 1).await;
}

/// Sends a completion request to one daemon; returns the body of the response.
async fn fetch_body(address: net::SocketAddr, request: &harness::CompletionRequest) -> String {
    let body = serde_json::json!({
        "model": request.model, "prompt": request.prompt,
        "max_tokens": request.max_tokens, "stream": request.is_stream,
    });
    let call = web::call(address, "POST", "/v1/completions", &[], body.to_string());
    let response = call.await.expect("a response");
    String::from_utf8_lossy(&response.body).into_owned()
}

/// Guards against requests that are lost, repeated or permanently refused while the daemons are
/// restarted one after another under load.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart_loses_and_repeats_no_request() {
    let _permit = harness::acquire_fleet_permit().await;
    let mut fleet = start_fleet().await;
    let caller = fleet.caller(None, TIMEOUT);
    let requests: Vec<_> = (0..160)
        .map(|number| match number % 2 {
            0 => stream_request(number),
            _ => notice_request(number),
        })
        .collect();
    let finished = std::sync::atomic::AtomicUsize::new(0);
    let record_finished = |number| finished.store(number, std::sync::atomic::Ordering::Relaxed);
    let running = load::run(&caller, &requests, 12, record_finished);
    let restarts = async {
        for index in 0..3 {
            fleet.daemons[index].process.terminate();
            wait_clean_exit(&mut fleet, index).await;
            let restarted = fleet.daemons[index].process.restart();
            restarted.expect("the daemon starts again");
            fleet.wait_daemon_ready(index).await;
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

/// Sends a completion request on a new connection without waiting for the response.
async fn open_request(address: net::SocketAddr, prompt: &str) -> TcpStream {
    let body = serde_json::json!({"model": "drafting", "prompt": prompt, "max_tokens": 2});
    let body = body.to_string();
    let text = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: test\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(text.as_bytes()).await.expect("a write");
    stream
}

/// Reads a response until its text contains `expected`.
async fn read_until(stream: &mut TcpStream, expected: &str) {
    let mut text = String::new();
    while !text.contains(expected) {
        let mut buffer = [0; 4_096];
        let read = tokio::time::timeout(TIMEOUT, stream.read(&mut buffer)).await;
        match read.expect("a response in time") {
            Ok(count) if count > 0 => text += &String::from_utf8_lossy(&buffer[..count]),
            ended => panic!("the connection ended ({ended:?}) after {text:?}"),
        }
    }
}

/// Guards against a shutdown that resets connections which were waiting to be accepted when the
/// listener closed: a daemon that did not run for a while finds many of them.
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_wait_to_be_accepted_are_served() {
    let _permit = harness::acquire_fleet_permit().await;
    let mut fleet = start_fleet().await;
    let address = fleet.daemons[0].caller_address;
    fleet.daemons[0].process.pause();
    fleet.daemons[0].process.terminate();
    let mut callers = Vec::new();
    for number in 0..40 {
        callers.push(open_request(address, &format!("waiting {number}")).await);
    }
    // Longer than the daemon accepts connections once it shuts down.
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    fleet.daemons[0].process.resume();
    for caller in &mut callers {
        read_until(caller, "200 OK").await;
    }
    drop(callers);
    wait_clean_exit(&mut fleet, 0).await;
}

/// Guards against a shutdown that closes a kept connection on which a request is arriving.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_is_read_in_part_is_served() {
    let _permit = harness::acquire_fleet_permit().await;
    let mut fleet = start_fleet().await;
    let address = fleet.daemons[0].caller_address;
    let mut caller = open_request(address, "the first").await;
    read_until(&mut caller, "usage").await;
    let second = "GET /v1/models HTTP/1.1\r\nhost: test\r\n\r\n";
    let (start, rest) = second.split_at(20);
    caller.write_all(start.as_bytes()).await.expect("a write");
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    fleet.daemons[0].process.terminate();
    // Longer than the daemon accepts connections once it shuts down.
    tokio::time::sleep(time::Duration::from_millis(1_600)).await;
    caller.write_all(rest.as_bytes()).await.expect("a write");
    read_until(&mut caller, "\"object\":\"list\"").await;
    wait_clean_exit(&mut fleet, 0).await;
}
