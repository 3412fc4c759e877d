//! Requests with an idempotency key while the table service is unavailable.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use acaciabank_daemon::{config, dispatch, idempotency, peer, process};
use acaciabank_protocol::{ids, reason, settings, verdict, wire};

fn new_state() -> process::SharedState {
    // Port 1 of the loopback interface has no listener, so connections to the table are refused.
    let settings: settings::ProcessSettings = serde_json::from_value(serde_json::json!({
        "daemon": "d1", "region": "perth", "zone": "perth-a",
        "caller_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0", "table": {"address": "127.0.0.1:1"},
    }))
    .expect("settings");
    Arc::new(process::ProcessState {
        boot_ids: process::BootIds::new(7),
        ..process::ProcessState::new(settings)
    })
}

fn service_request() -> dispatch::CallerRequest {
    let deployment = serde_json::json!({
        "regions": [], "hosts": [], "models": [], "engines": []
    });
    dispatch::CallerRequest {
        id: ids::RequestId::from("d1-00"),
        team: ids::TeamId::from("clubs"),
        priority: wire::Priority::Normal,
        deadline: Instant::now() + Duration::from_secs(20),
        idempotent: true,
        write_deadline: None,
        fingerprint: 1,
        memory: [].into(),
        work: dispatch::RequestWork::Service {
            service: ids::ServiceId::from("ledger"),
            method: http::Method::POST,
            path_and_query: "/notices".to_owned(),
            headers: http::HeaderMap::new(),
            body: bytes::Bytes::new(),
        },
        config: Arc::new(config::ConfigVersion {
            version: 1,
            operator: "test".to_owned(),
            deployment: serde_json::from_value(deployment).expect("deployment"),
        }),
    }
}

/// Guards against a dispatch without a committed intent: the refusal must name the table, not the
/// dispatch, as the cause and must state that nothing ran.
#[tokio::test]
async fn table_outage_refuses_before_dispatch() {
    let state = new_state();
    let refusal = idempotency::run_keyed(&state, "k", service_request())
        .await
        .expect_err("refused");
    assert_eq!(refusal.reason, reason::RefusalReason::TableUnavailable);
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
}

/// Guards against a registered call that is not removed after its refusal, which blocks the key.
#[tokio::test]
async fn refused_call_leaves_no_local_call() {
    let state = new_state();
    let refusal = idempotency::run_keyed(&state, "k", service_request()).await;
    assert!(refusal.is_err());
    let deadline = Instant::now() + Duration::from_secs(10);
    while state.idempotency.active_call_count() > 0 && Instant::now() < deadline {
        tokio::task::yield_now().await;
    }
    let team = ids::TeamId::from("clubs");
    let remote = state.idempotency.local_state(&team, "k", 0).await;
    assert_eq!(remote, peer::RemoteKeyState::Unknown);
}
