//! Refusals before the body has been read: the connection is kept.

use std::time::Duration;

use tokio::{io::AsyncWriteExt, net::TcpStream};

use super::{wait_config, wait_listening};
use crate::{
    fixture::{Fixture, start_serving},
    raw_request::{read_until, request_text},
};

/// Sends a head and its body 100 ms later; checks the refusal and that the connection serves the
/// next request.
async fn check_refusal_before_body(caller: &mut TcpStream, path: &str, status: &str) {
    for (framing, body) in [
        ("content-length: 6", "notice"),
        ("transfer-encoding: chunked", "6\r\nnotice\r\n0\r\n\r\n"),
    ] {
        let head = request_text(path, "refused", framing);
        caller.write_all(head.as_bytes()).await.expect("a write");
        tokio::time::sleep(Duration::from_millis(100)).await;
        let written = caller.write_all(body.as_bytes()).await;
        written.unwrap_or_else(|error| panic!("{framing}: {error}"));
        let response = read_until(caller, "\r\n\r\n").await;
        assert!(response.contains(status), "{framing}: {response}");
        // The rest of the refusal's body.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let _ = caller.try_read(&mut [0; 1_024]);
    }
}

/// Guards against a request without a route whose caller does not see the refusal, or loses the
/// next request on its connection, because the body had not arrived when it was refused.
#[tokio::test]
async fn a_request_without_a_route_is_refused_without_losing_its_connection() {
    let (_fixture, _runner, relay) = start_serving().await;
    let connected = TcpStream::connect(relay.caller_address).await;
    let mut caller = connected.expect("a connection");
    check_refusal_before_body(&mut caller, "/unknown/a", " 404 ").await;
    let next = request_text("/once/a", "next", "content-length: 6") + "notice";
    caller.write_all(next.as_bytes()).await.expect("a write");
    read_until(&mut caller, "next:notice").await;
}

/// Guards against a request that gets no refusal, and a connection that is lost, while a relay has
/// no configuration yet.
#[tokio::test]
async fn a_relay_without_a_configuration_refuses_without_losing_the_connection() {
    let mut fixture = Fixture::start().await;
    let relay = fixture.start_relay(&[]).await;
    wait_listening(&relay).await;
    let connected = TcpStream::connect(relay.caller_address).await;
    let mut caller = connected.expect("a connection");
    check_refusal_before_body(&mut caller, "/once/a", " 503 ").await;
    let lines = relay.request_log("refused", "refused").await;
    assert_eq!(lines[0]["cause"], "not_configured");
    let _runner = fixture.start_runner("r-1", "ledger", None).await;
    fixture.write_config(1, |_| {}).await;
    relay.wait_serving("/safe/a").await;
    let next = request_text("/once/a", "next", "content-length: 6") + "notice";
    caller.write_all(next.as_bytes()).await.expect("a write");
    read_until(&mut caller, "next:notice").await;
}

/// Guards against a caller that does not see why its body is refused, because the relay closes the
/// connection without reading the rest of it.
#[tokio::test]
async fn a_body_that_is_too_large_is_refused_without_losing_its_connection() {
    let (_fixture, _runner, relay) = start_serving().await;
    let connected = TcpStream::connect(relay.caller_address).await;
    let mut caller = connected.expect("a connection");
    let head = request_text("/once/a", "large", "content-length: 1800000");
    caller.write_all(head.as_bytes()).await.expect("a write");
    for _ in 0..18 {
        let written = caller.write_all(&[b'x'; 100_000]).await;
        written.expect("the body is read");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let response = read_until(&mut caller, "body_too_large").await;
    assert!(response.contains(" 413 "), "{response}");
    let next = request_text("/once/a", "next", "content-length: 6") + "notice";
    caller.write_all(next.as_bytes()).await.expect("a write");
    read_until(&mut caller, "next:notice").await;
}

/// Guards against a caller that loses its connection, and perhaps the refusal, because its body was
/// not complete at the timeout of the route.
#[tokio::test]
async fn a_late_body_is_refused_without_losing_its_connection() {
    let (fixture, _runner, relay) = start_serving().await;
    let adjust = |config: &mut serde_json::Value| {
        config["routes"][1]["timeout_ms"] = 500.into();
    };
    fixture.write_config(2, adjust).await;
    wait_config(&relay, 2).await;
    let connected = TcpStream::connect(relay.caller_address).await;
    let mut caller = connected.expect("a connection");
    let start = request_text("/once/a", "late", "content-length: 6") + "not";
    caller.write_all(start.as_bytes()).await.expect("a write");
    let response = read_until(&mut caller, "deadline_passed").await;
    assert!(!response.contains("connection: close"), "{response}");
    caller.write_all(b"ice").await.expect("a write");
    tokio::time::sleep(Duration::from_millis(50)).await;
    let _ = caller.try_read(&mut [0; 1_024]);
    let next = request_text("/once/a", "next", "content-length: 6") + "notice";
    caller.write_all(next.as_bytes()).await.expect("a write");
    read_until(&mut caller, "next:notice").await;
}

/// Guards against a body that makes no progress and is waited for until its deadline, and against a
/// refusal of it that does not promise "not run", or breaks that promise.
#[tokio::test]
async fn a_body_without_progress_is_refused_with_408_and_has_not_run() {
    let (fixture, runner, relay) = start_serving().await;
    let adjust = |config: &mut serde_json::Value| {
        config["limits"]["header_timeout_ms"] = 300.into();
    };
    fixture.write_config(2, adjust).await;
    wait_config(&relay, 2).await;
    let connected = TcpStream::connect(relay.caller_address).await;
    let mut caller = connected.expect("a connection");
    let start = request_text("/once/a", "stalled", "content-length: 6") + "not";
    caller.write_all(start.as_bytes()).await.expect("a write");
    let response = read_until(&mut caller, "body_stalled").await;
    assert!(response.contains(" 408 "), "{response}");
    // The rest arrives after the refusal and must not run either.
    caller.write_all(b"ice").await.expect("a write");
    let next = request_text("/once/a", "next", "content-length: 6") + "notice";
    caller.write_all(next.as_bytes()).await.expect("a write");
    read_until(&mut caller, "next:notice").await;
    assert_eq!(runner.run_count("stalled").await, 0);
}

/// Guards against a body that finds no room and is read all the same, and against a refusal of it
/// that gives no time to retry, or breaks its promise that the request has not run.
#[tokio::test]
async fn a_body_without_room_is_refused_with_503_and_has_not_run() {
    let mut fixture = Fixture::start().await;
    // A quarter of the memory is for requests, and three quarters of that for large bodies.
    fixture.relay_memory_mb = 4;
    fixture.write_config(1, |_| {}).await;
    let runner = fixture.start_runner("r-1", "ledger", None).await;
    let relay = fixture.start_relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    let connected = TcpStream::connect(relay.caller_address).await;
    let mut caller = connected.expect("a connection");
    let head = request_text("/once/a", "large", "content-length: 900000");
    caller.write_all(head.as_bytes()).await.expect("a write");
    let response = read_until(&mut caller, "no_memory").await;
    assert!(response.contains(" 503 "), "{response}");
    assert!(response.contains("retry-after: "), "{response}");
    let body = vec![b'x'; 900_000];
    caller.write_all(&body).await.expect("the body is drained");
    let next = request_text("/once/a", "next", "content-length: 6") + "notice";
    caller.write_all(next.as_bytes()).await.expect("a write");
    read_until(&mut caller, "next:notice").await;
    assert_eq!(runner.run_count("large").await, 0);
}
