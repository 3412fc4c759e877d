//! Callers of a soak, and what they received.

use std::{
    sync::{Arc, Mutex, atomic},
    time::Duration,
};

use acaciabank_testbed::web;
use rand::{RngExt, SeedableRng, rngs};

use super::fixture::CRASH_PART;

pub(super) const CALLER_COUNT: usize = 6;
pub(super) const EVENT_COUNT: u32 = 8;
/// Deadline that requests carry, in milliseconds.
pub(super) const REQUEST_DEADLINE_MS: &str = "3000";

/// What a caller received for one request.
#[derive(Clone, Debug)]
pub(super) struct CallRecord {
    pub(super) kind: &'static str,
    pub(super) attempt: String,
    /// Status and body; `None` if the connection failed or the client timed out.
    pub(super) response: Option<(u16, Vec<u8>)>,
}

/// Flags and records that the callers share.
#[derive(Clone, Default)]
pub(super) struct CallerState {
    pub(super) is_stopped: Arc<atomic::AtomicBool>,
    pub(super) is_crashing: Arc<atomic::AtomicBool>,
    pub(super) records: Arc<Mutex<Vec<CallRecord>>>,
}

/// Sends crashing requests, no two alike, while `is_crashing` is set.
pub(super) async fn send_crashing_requests(
    caller_addresses: Vec<std::net::SocketAddr>,
    seed: u64,
    state: CallerState,
) {
    let mut rng = rngs::StdRng::seed_from_u64(seed * 100 + CALLER_COUNT as u64);
    let mut calls = tokio::task::JoinSet::new();
    let mut number = 0;
    while !state.is_stopped.load(atomic::Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..250))).await;
        if !state.is_crashing.load(atomic::Ordering::Relaxed) {
            continue;
        }
        let caller_address = caller_addresses[rng.random_range(0..caller_addresses.len())];
        let kind = ["stream", "resumable"][rng.random_range(0..2)];
        let attempt = format!("{kind}-crash-{number}");
        let prefix = format!("aa:1500,{CRASH_PART}:100,{attempt}:400");
        let path = format!("/{kind}/crash-{number}");
        let records = Arc::clone(&state.records);
        calls.spawn(async move {
            let record = call(caller_address, kind, &path, &attempt, &prefix).await;
            records.lock().expect("records lock").push(record);
        });
        number += 1;
    }
    while let Some(result) = calls.join_next().await {
        result.expect("the caller does not panic");
    }
}

/// Sends a request and returns what the caller received.
pub(super) async fn call(
    caller_address: std::net::SocketAddr,
    kind: &'static str,
    path: &str,
    attempt: &str,
    prefix: &str,
) -> CallRecord {
    let tokens = format!("2000,{EVENT_COUNT}");
    let mut headers = vec![
        ("host", crate::fixture::ROUTE_HOST),
        ("x-acaciabank-attempt-id", attempt),
        ("x-acaciabank-deadline-ms", REQUEST_DEADLINE_MS),
    ];
    if matches!(kind, "stream" | "resumable") {
        headers.push(("x-acaciabank-model", "m"));
        headers.push(("x-acaciabank-token-count", &tokens));
        headers.push(("x-acaciabank-prompt-prefix", prefix));
    }
    let call = web::call(caller_address, "POST", path, &headers, attempt.to_owned());
    let client_timeout = Duration::from_millis(3_500);
    let response = tokio::time::timeout(client_timeout, call).await;
    let response = response.ok().and_then(Result::ok);
    CallRecord {
        kind,
        attempt: attempt.to_owned(),
        response: response.map(|response| (response.status, response.body.to_vec())),
    }
}

/// Sends requests one after the other until `is_stopped` is set.
pub(super) async fn send_requests(
    caller_addresses: Vec<std::net::SocketAddr>,
    caller: usize,
    seed: u64,
    state: CallerState,
) {
    let mut rng = rngs::StdRng::seed_from_u64(seed * 100 + caller as u64);
    for number in 0.. {
        if state.is_stopped.load(atomic::Ordering::Relaxed) {
            return;
        }
        let caller_address = caller_addresses[rng.random_range(0..caller_addresses.len())];
        let kind = ["once", "safe", "stream", "resumable"][rng.random_range(0..4)];
        let attempt = format!("{kind}-{caller}-{number}");
        let path = format!("/{kind}/{number}");
        let record = call(caller_address, kind, &path, &attempt, "aa:1500,bb:500").await;
        state.records.lock().expect("records lock").push(record);
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..30))).await;
    }
}
