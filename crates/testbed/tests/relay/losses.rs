//! Requests that were accepted and must be answered: around silent engines, changes of the
//! configuration, refusals before the body has been read and stops.

use std::time::Duration;

use acaciabank_testbed::harness;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::fixture::{Fixture, Relay, TIMEOUT, start_serving};

fn request_text(path: &str, attempt: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: host.example\r\nx-acaciabank-attempt-id: {attempt}\r\n\
         x-acaciabank-deadline-ms: 9000\r\n{framing}\r\n\r\n"
    )
}

/// Reads from a connection until `expected` has arrived; returns everything read.
async fn read_until(stream: &mut TcpStream, expected: &str) -> String {
    let mut text = String::new();
    while !text.contains(expected) {
        let mut buffer = [0; 4_096];
        let read = tokio::time::timeout(TIMEOUT, stream.read(&mut buffer)).await;
        match read.expect("a response in time") {
            Ok(count) if count > 0 => text += &String::from_utf8_lossy(&buffer[..count]),
            ended => panic!("{expected}: the connection ended ({ended:?}) after {text:?}"),
        }
    }
    text
}

async fn wait_listening(relay: &Relay) {
    harness::wait_until(TIMEOUT, "the relay listens", async || {
        TcpStream::connect(relay.caller_address).await.is_ok()
    })
    .await;
}

/// Guards against a request that was read whole and of which the log does not tell that its
/// connection ended without a response.
#[tokio::test]
async fn a_request_that_ends_without_a_response_is_logged() {
    let (_fixture, runner, relay) = start_serving().await;
    runner.control(json!({"is_mute": true})).await;
    let connected = TcpStream::connect(relay.caller_address).await;
    let mut caller = connected.expect("a connection");
    let text = request_text("/once/a", "left", "content-length: 0");
    caller.write_all(text.as_bytes()).await.expect("a write");
    harness::wait_until(TIMEOUT, "the request runs", async || {
        runner.run_count("left").await == 1
    })
    .await;
    drop(caller);
    let lines = relay.request_log("left", "unanswered").await;
    let line = lines.last().expect("a line");
    assert_eq!(
        (&line["route"], &line["read"]),
        (&json!("once"), &json!(true))
    );
}

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
