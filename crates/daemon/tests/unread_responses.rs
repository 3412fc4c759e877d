//! Responses that their callers do not read.

mod support;

use std::{net, sync, time::Duration, time::Instant};

use acaciabank_daemon::{
    config,
    dispatch::{self, CallerRequest, RequestWork},
    process::{self, ProcessState},
};
use acaciabank_protocol::{ids, settings, wire};
use acaciabank_relay::memory::MemoryPart;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Size of a response, twice that of the memory for responses.
const RESPONSE_BYTES: usize = 8 << 20;
/// Memory for responses.
const PART_BYTES: usize = 4 << 20;
/// Maximum wait for a condition; generous because the machine may be busy.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Serves responses of `RESPONSE_BYTES` bytes; returns the address.
async fn start_target() -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut head = [0; 4_096];
                let _ = stream.read(&mut head).await;
                let head = format!(
                    "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {RESPONSE_BYTES}\r\n\r\n"
                );
                let _ = stream.write_all(head.as_bytes()).await;
                let _ = stream.write_all(&vec![b'x'; RESPONSE_BYTES]).await;
            });
        }
    });
    address
}

fn start_state(target: net::SocketAddr) -> process::SharedState {
    let mut settings = support::process_json();
    settings["limits"] = json!({"memory_bytes": 4 * PART_BYTES});
    let settings: settings::ProcessSettings = serde_json::from_value(settings).expect("settings");
    let mut deployment = support::deployment_json();
    deployment["services"][0]["instances"][0]["address"] = json!(target);
    let deployment: settings::Deployment = serde_json::from_value(deployment).expect("deployment");
    let state = ProcessState::new(settings);
    state.targets.apply(&deployment, &state.settings.zone);
    state.config.apply(config::ConfigVersion {
        version: 1,
        operator: "test".to_owned(),
        deployment,
    });
    sync::Arc::new(state)
}

fn request(state: &ProcessState, number: u32) -> CallerRequest {
    CallerRequest {
        id: ids::RequestId::new(format!("front-1-0{number}")),
        team: ids::TeamId::new("clubs"),
        priority: wire::Priority::Normal,
        deadline: Instant::now() + TIMEOUT,
        idempotent: true,
        write_deadline: None,
        fingerprint: u64::from(number),
        work: RequestWork::Service {
            service: ids::ServiceId::new("ledger"),
            method: http::Method::GET,
            path_and_query: "/large".to_owned(),
            headers: http::HeaderMap::new(),
            body: bytes::Bytes::new(),
        },
        memory: [].into(),
        config: state.config.current().expect("a configuration"),
    }
}

/// Guards against responses that take more memory than the budget has, against memory that is not
/// given back, and against a response that is cut because there was no room.
#[tokio::test]
async fn responses_wait_for_their_callers_when_the_memory_is_full() {
    let state = start_state(start_target().await);
    let mut responses = Vec::new();
    for number in 0..3 {
        let response = dispatch::dispatch(&state, request(&state, number)).await;
        responses.push(response.expect("a response"));
    }
    let used = || state.memory.used_bytes(MemoryPart::Responses);
    let deadline = Instant::now() + TIMEOUT;
    while used() < PART_BYTES / 2 && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(used() >= PART_BYTES / 2, "{} bytes are charged", used());
    for mut response in responses {
        let mut length = 0;
        while let Some(part) = response.body.recv().await {
            assert!(used() <= PART_BYTES, "{} bytes are charged", used());
            length += part.expect("a part").len();
        }
        assert_eq!(length, RESPONSE_BYTES);
    }
    while used() > 0 && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(used(), 0);
}
