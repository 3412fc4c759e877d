//! Connections of callers: idle timeouts, slow callers, and stops.

use std::time::{Duration, Instant};

use acaciabank_testbed::{
    harness,
    scripted::{ScriptStep, ScriptedRequest, ScriptedTarget},
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

use super::{SILENCE, paused_stream, start_engine, wait_config, wait_logged};
use crate::{
    fixture::{Fixture, Relay, TIMEOUT, start_serving},
    raw_request::{read_until, request_text},
};

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

/// Guards against a kept connection that is closed by the idle timeout of an earlier configuration
/// while callers may still use it.
#[tokio::test]
async fn a_longer_idle_timeout_applies_to_open_connections() {
    let (fixture, _runner, relay) = start_serving().await;
    let write = async |version, idle_ms: u64| {
        let adjust = |config: &mut serde_json::Value| {
            config["limits"]["idle_timeout_ms"] = idle_ms.into();
        };
        fixture.write_config(version, adjust).await;
        wait_config(&relay, version).await;
    };
    write(2, 1_500).await;
    let connected = TcpStream::connect(relay.caller_address).await;
    let mut caller = connected.expect("a connection");
    let first = request_text("/once/a", "first", "content-length: 0");
    caller.write_all(first.as_bytes()).await.expect("a write");
    read_until(&mut caller, "first:").await;
    write(3, 10_000).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let second = request_text("/once/a", "second", "content-length: 0");
    caller.write_all(second.as_bytes()).await.expect("a write");
    read_until(&mut caller, "second:").await;
}

/// Guards against idle connections that are never closed, and against a head that is never
/// complete.
#[tokio::test]
async fn idle_connections_and_partial_heads_are_closed() {
    let (fixture, _runner, relay) = start_serving().await;
    let adjust = |config: &mut serde_json::Value| {
        config["limits"]["idle_timeout_ms"] = 500.into();
    };
    fixture.write_config(2, adjust).await;
    wait_config(&relay, 2).await;
    for start in ["", "POST /once/a HTTP/1.1\r\nhost: "] {
        let connected = TcpStream::connect(relay.caller_address).await;
        let mut caller = connected.expect("a connection");
        let first = request_text("/once/a", "first", "content-length: 0");
        caller.write_all(first.as_bytes()).await.expect("a write");
        read_until(&mut caller, "first:").await;
        caller.write_all(start.as_bytes()).await.expect("a write");
        let ended = tokio::time::timeout(Duration::from_secs(5), caller.read(&mut [0; 16])).await;
        assert!(!matches!(ended.expect("the end"), Ok(1..)), "{start:?}");
    }
}

/// Applies an idle timeout of half a second, as version 2 of the configuration.
async fn shorten_idle_timeout(fixture: &Fixture, relay: &Relay) {
    let adjust = |config: &mut serde_json::Value| {
        config["limits"]["idle_timeout_ms"] = 500.into();
    };
    fixture.write_config(2, adjust).await;
    wait_config(relay, 2).await;
}

/// Guards against a connection that is closed by the idle timeout while its caller sends the body
/// of a refused request, or sooner after that body than the caller may reuse it.
#[tokio::test]
async fn a_slow_body_of_a_refused_request_keeps_its_connection() {
    let (fixture, _runner, relay) = start_serving().await;
    shorten_idle_timeout(&fixture, &relay).await;
    let connected = TcpStream::connect(relay.caller_address).await;
    let mut caller = connected.expect("a connection");
    let head = request_text("/unknown/a", "refused", "content-length: 6");
    caller.write_all(head.as_bytes()).await.expect("a write");
    read_until(&mut caller, " 404 ").await;
    for byte in b"notice" {
        tokio::time::sleep(Duration::from_millis(250)).await;
        caller.write_all(&[*byte]).await.expect("a write");
    }
    tokio::time::sleep(Duration::from_millis(350)).await;
    let _ = caller.try_read(&mut [0; 1_024]);
    let next = request_text("/once/a", "next", "content-length: 6") + "notice";
    caller.write_all(next.as_bytes()).await.expect("a write");
    read_until(&mut caller, "next:notice").await;
}

/// Guards against a stream that is cut by the idle timeout because its caller has sent the next
/// request and the engine is silent for a while.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_an_idle_timeout_beside_the_next_request() {
    let (fixture, _runner, relay) = start_serving().await;
    let script = |request: &ScriptedRequest| paused_stream(request, ScriptStep::Wait(SILENCE));
    let _engine = start_engine(&fixture, "d-1", script).await;
    relay.wait_streaming("/stream/a", 5).await;
    shorten_idle_timeout(&fixture, &relay).await;
    let connected = TcpStream::connect(relay.caller_address).await;
    let mut caller = connected.expect("a connection");
    let fields = "x-acaciabank-model: m\r\nx-acaciabank-token-count: 2000,5\r\n\
                  x-acaciabank-prompt-prefix: aa:1500,bb:500\r\ncontent-length: 0";
    let stream = request_text("/stream/a", "stream", fields);
    caller.write_all(stream.as_bytes()).await.expect("a write");
    read_until(&mut caller, "token 1").await;
    let next = request_text("/once/a", "next", "content-length: 6") + "notice";
    caller.write_all(next.as_bytes()).await.expect("a write");
    let text = read_until(&mut caller, "next:notice").await;
    assert!(text.contains("token 4"), "{text}");
}

/// Guards against a stop that cuts a response which its caller reads slowly.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_is_read_slowly_survives_a_stop() {
    /// More than the buffers of both sockets hold.
    const RESPONSE_BYTES: usize = 7 << 20;

    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let address = fixture.launcher.next_address().expect("address");
    let target = ScriptedTarget::start(address, |request| {
        let attempt = request.header("x-acaciabank-attempt-id");
        let length = match attempt {
            "slow" => RESPONSE_BYTES,
            _ => 1,
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-acaciabank-attempt-id: {attempt}\r\n\
             x-acaciabank-response-signature: s\r\ncontent-length: {length}\r\n\r\n"
        );
        vec![
            ScriptStep::Send(head.into_bytes()),
            ScriptStep::Send(vec![b'x'; length]),
        ]
    });
    let _target = target.await.expect("a target");
    fixture
        .register_target("large", "ledger", address, None)
        .await;
    let relay = fixture.start_relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(8_192).expect("a buffer size");
    let connected = socket.connect(relay.caller_address).await;
    let mut caller = connected.expect("a connection");
    let text = request_text("/once/a", "slow", "content-length: 0");
    caller.write_all(text.as_bytes()).await.expect("a write");
    relay.request_log("slow", "answered").await;
    relay.process.terminate();
    // Later than the time for which callers may cache the relay's address.
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, caller.read_to_end(&mut bytes)).await;
    let read = read.expect("the end of the connection");
    assert!(
        bytes.len() > RESPONSE_BYTES,
        "{} bytes of the response, then {read:?}",
        bytes.len()
    );
}

/// Guards against a stop that is delayed to the end of its grace period by idle connections: one
/// without a request, one after a request and one with a part of a head.
#[tokio::test]
async fn a_stop_does_not_wait_for_idle_connections() {
    let (_fixture, _runner, relay) = start_serving().await;
    let mut callers = Vec::new();
    for _ in 0..3 {
        let connected = TcpStream::connect(relay.caller_address).await;
        callers.push(connected.expect("a connection"));
    }
    let first = request_text("/once/a", "first", "content-length: 0");
    let written = callers[1].write_all(first.as_bytes()).await;
    written.expect("a write");
    read_until(&mut callers[1], "first:").await;
    let written = callers[2].write_all(&first.as_bytes()[..20]).await;
    written.expect("a write");
    relay.process.terminate();
    let stopped = Instant::now();
    wait_logged(&relay, "stopped").await;
    // Three seconds for outdated address lists and two for the rest of the head.
    let elapsed = stopped.elapsed();
    assert!(elapsed < Duration::from_millis(6_500), "{elapsed:?}");
    drop(callers);
}
