//! Requests that were accepted and must be answered: around silent engines, changes of the
//! configuration, refusals before the body has been read and stops.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use acaciabank_testbed::{
    harness,
    scripted::{ScriptStep, ScriptedRequest, ScriptedTarget},
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

use crate::fixture::{Fixture, Relay, TIMEOUT, event_ids, start_serving};

/// Silence of a sound engine; longer than the gap after which a relay looks for another engine.
const SILENCE: Duration = Duration::from_millis(1_700);
/// Longest time for which two engines may work on the same request.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

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

/// The head of an event stream that ends with its connection.
fn stream_head(request: &ScriptedRequest) -> String {
    let attempt = request.header("x-acaciabank-attempt-id");
    format!(
        "HTTP/1.1 200 OK\r\nx-acaciabank-attempt-id: {attempt}\r\n\
         x-acaciabank-response-signature: s\r\ncontent-type: text/event-stream\r\n\
         connection: close\r\n\r\n"
    )
}

fn event(number: u64) -> String {
    format!("id: {number}\ndata: token {number}\n\n")
}

/// A stream of five events that ends with its connection, with a pause after the second event.
fn paused_stream(request: &ScriptedRequest, pause: ScriptStep) -> Vec<ScriptStep> {
    let start = stream_head(request) + &event(0) + &event(1);
    let rest: String = (2..5).map(event).collect();
    vec![
        ScriptStep::Send(start.into_bytes()),
        pause,
        ScriptStep::Send(rest.into_bytes()),
        ScriptStep::Close,
    ]
}

/// Starts a scripted engine and registers it in the store.
async fn start_engine<Script>(fixture: &Fixture, id: &str, script: Script) -> ScriptedTarget
where
    Script: Fn(&ScriptedRequest) -> Vec<ScriptStep> + Send + Sync + 'static,
{
    let address = fixture.launcher.next_address().expect("address");
    let target = ScriptedTarget::start(address, move |request| {
        match request.header("x-acaciabank-attempt-id") {
            "" => vec![ScriptStep::Close],
            _ => script(request),
        }
    });
    let target = target.await.expect("a target");
    let stage = Some("decode");
    fixture.register_target(id, "models", address, stage).await;
    target
}

/// Starts a store and a relay without targets.
async fn start_relay() -> (Fixture, Relay) {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let relay = fixture.start_relay(&[]).await;
    wait_listening(&relay).await;
    (fixture, relay)
}

async fn wait_listening(relay: &Relay) {
    harness::wait_until(TIMEOUT, "the relay listens", async || {
        TcpStream::connect(relay.caller_address).await.is_ok()
    })
    .await;
}

/// Waits until the relay has logged an event.
async fn wait_logged(relay: &Relay, event: &str) {
    harness::wait_until(TIMEOUT, event, async || {
        let text = std::fs::read_to_string(relay.process.output_file()).unwrap_or_default();
        text.contains(&format!("\"event\":\"{event}\""))
    })
    .await;
}

/// Waits until the relay applies a version of the configuration.
async fn wait_config(relay: &Relay, version: u64) {
    harness::wait_until(TIMEOUT, "the configuration is in force", async || {
        let text = std::fs::read_to_string(relay.process.output_file()).unwrap_or_default();
        let mut lines = text.lines().filter(|line| line.contains("config_in_force"));
        lines.any(|line| line.contains(&format!("\"version\":{version}")))
    })
    .await;
}

/// Requests streams until `is_reached` holds after one that was served.
async fn check_streams(relay: &Relay, is_reached: impl Fn() -> bool) {
    for number in 0..200 {
        let attempt = format!("k-{number}");
        let response = relay.request_stream("/resumable/a", &attempt, 5).await;
        let response = response.expect("a complete response");
        if response.status == 200 {
            assert_eq!(event_ids(&response.body), [0, 1, 2, 3, 4], "{attempt}");
            if is_reached() {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the engines get no streams");
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

/// Guards against a stream that is cut because its engine is silent for a while although no other
/// engine exists.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_the_silence_of_the_only_engine() {
    let (fixture, relay) = start_relay().await;
    let script = |request: &ScriptedRequest| paused_stream(request, ScriptStep::Wait(SILENCE));
    let engine = start_engine(&fixture, "d-1", script).await;
    check_streams(&relay, || engine.request_count() > 0).await;
}

/// Guards against a stream that is cut because its engine is silent for a while and the other
/// engine refuses to go on with it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_a_silence_while_the_other_engine_refuses() {
    let (fixture, relay) = start_relay().await;
    let script = |request: &ScriptedRequest| paused_stream(request, ScriptStep::Wait(SILENCE));
    let engine = start_engine(&fixture, "d-1", script).await;
    let refuse = |request: &ScriptedRequest| {
        let attempt = request.header("x-acaciabank-attempt-id");
        let response = format!(
            "HTTP/1.1 503 Full\r\nx-acaciabank-attempt-id: {attempt}\r\n\
             x-acaciabank-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
        );
        vec![ScriptStep::Send(response.into_bytes())]
    };
    check_streams(&relay, || engine.request_count() > 0).await;
    let full = start_engine(&fixture, "d-2", refuse).await;
    check_streams(&relay, || full.request_count() > 0).await;
}

/// Guards against a silent engine that goes on working on a stream which another engine has taken
/// over, and against a stream that the other engine does not take over at all.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_another_engine_takes_over_leaves_the_silent_one() {
    let (fixture, relay) = start_relay().await;
    let silent = start_engine(&fixture, "d-1", |request| {
        let comment = ScriptStep::Drip(b": wait\n\n".to_vec(), Duration::from_millis(10));
        paused_stream(request, comment)
    });
    let silent = silent.await;
    let stream = async {
        let mut response = None;
        harness::wait_until(TIMEOUT, "the stream is served", async || {
            response = relay.request_stream("/resumable/a", "over", 5).await.ok();
            response
                .as_ref()
                .is_some_and(|response| response.status == 200)
        })
        .await;
        response.expect("a response")
    };
    let takeover = async {
        harness::wait_until(TIMEOUT, "the silent engine runs the stream", async || {
            silent.pouring_connections() > 0
        })
        .await;
        let second = start_engine(&fixture, "d-2", |request| {
            let rest: String = (2..5).map(event).collect();
            let work = ScriptStep::Wait(Duration::from_secs(2));
            let text = stream_head(request) + &rest;
            vec![work, ScriptStep::Send(text.into_bytes()), ScriptStep::Close]
        });
        let second = second.await;
        while second.request_count() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let started = Instant::now();
        while silent.pouring_connections() > 0 && started.elapsed() < TIMEOUT {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        (second, started.elapsed())
    };
    let (response, (_second, overlap)) = tokio::join!(stream, takeover);
    assert_eq!(event_ids(&response.body), [0, 1, 2, 3, 4]);
    assert!(overlap < MAX_OVERLAP, "{overlap:?}");
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

/// Guards against requests that are cut because a configuration without their route and service
/// arrives and their target is no longer listed: a plain one and a stream that ends with its
/// connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_without_the_service_keeps_its_requests() {
    let (fixture, runner, relay) = start_serving().await;
    let script = |request: &ScriptedRequest| paused_stream(request, ScriptStep::Wait(SILENCE));
    let engine = start_engine(&fixture, "d-1", script).await;
    relay.wait_streaming("/stream/a", 5).await;
    let before = engine.request_count();
    runner.process.pause();
    let change = async {
        harness::wait_until(TIMEOUT, "the stream runs", async || {
            engine.request_count() > before
        })
        .await;
        let adjust = |config: &mut serde_json::Value| {
            config["routes"] = json!([]);
            config["services"] = json!([]);
        };
        fixture.write_config(2, adjust).await;
        wait_config(&relay, 2).await;
        fixture.deregister_target("d-1").await;
        fixture.deregister_target("r-1").await;
        runner.process.resume();
    };
    let (plain, stream, ()) = tokio::join!(
        relay.send("POST", "/once/a", "plain", &[], "notice"),
        relay.request_stream("/resumable/a", "stream", 5),
        change
    );
    assert_eq!(plain.expect("a response").body, "plain:notice");
    assert_eq!(event_ids(&stream.expect("a stream").body), [0, 1, 2, 3, 4]);
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

/// Guards against a request that is given up because its target is silent for longer than the
/// target latency, although no other target can run it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_survives_the_silence_of_the_only_target() {
    let (fixture, relay) = start_relay().await;
    let address = fixture.launcher.next_address().expect("address");
    let target = ScriptedTarget::start(address, |request| {
        let attempt = request.header("x-acaciabank-attempt-id");
        let response = format!(
            "HTTP/1.1 200 OK\r\nx-acaciabank-attempt-id: {attempt}\r\n\
             x-acaciabank-response-signature: s\r\ncontent-length: 5\r\n\r\nsound"
        );
        // The target latency of the route is two seconds.
        let silence = ScriptStep::Wait(Duration::from_millis(2_500));
        vec![silence, ScriptStep::Send(response.into_bytes())]
    });
    let target = target.await.expect("a target");
    fixture
        .register_target("slow", "ledger", address, None)
        .await;
    wait_logged(&relay, "target_listed").await;
    let response = relay.response("GET", "/safe/a", "slow", &[], "").await;
    assert_eq!((response.status, &response.body[..]), (200, &b"sound"[..]));
    assert_eq!(target.request_count(), 1);
}

/// Guards against a stream that is given up because its only engine is silent before the first
/// event.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_a_silence_before_its_first_event() {
    let (fixture, relay) = start_relay().await;
    let engine = start_engine(&fixture, "d-1", |request| {
        let events: String = (0..5).map(event).collect();
        let silence = ScriptStep::Wait(Duration::from_millis(2_500));
        let text = stream_head(request) + &events;
        vec![
            silence,
            ScriptStep::Send(text.into_bytes()),
            ScriptStep::Close,
        ]
    });
    let engine = engine.await;
    wait_logged(&relay, "target_listed").await;
    let response = relay.request_stream("/resumable/a", "late", 5).await;
    let response = response.expect("a response");
    assert_eq!(response.status, 200);
    assert_eq!(event_ids(&response.body), [0, 1, 2, 3, 4]);
    assert!(engine.request_count() > 0);
}

/// Guards against silent engines that are given up by more requests than retries are left in the
/// budget: those without a retry would be refused although their engine is sound.
#[tokio::test(flavor = "multi_thread")]
async fn no_more_silent_streams_are_given_up_than_retries_are_left() {
    const STREAMS: usize = 8;

    let retries = Arc::new(AtomicU64::new(0));
    let mut fixture = Fixture::start().await;
    // A relay uses four fifths of the budget: two retries for eight requests.
    fixture.retry_budget_ratio = 0.35;
    fixture.write_config(1, |_| {}).await;
    let relay = fixture.start_relay(&[]).await;
    wait_listening(&relay).await;
    let answer = |request: &ScriptedRequest, silence: Duration| {
        let events: String = (0..5).map(event).collect();
        let text = stream_head(request) + &events;
        vec![
            ScriptStep::Wait(silence),
            ScriptStep::Send(text.into_bytes()),
            ScriptStep::Close,
        ]
    };
    let silent = start_engine(&fixture, "d-1", move |request| {
        answer(request, Duration::from_secs(6))
    });
    let silent = silent.await;
    wait_logged(&relay, "target_listed").await;
    let requests = futures::future::join_all((0..STREAMS).map(|number| {
        let relay = &relay;
        async move {
            let attempt = format!("silent-{number}");
            relay.request_stream("/resumable/a", &attempt, 5).await
        }
    }));
    let other = async {
        harness::wait_until(TIMEOUT, "the silent engine runs the streams", async || {
            silent.request_count() == STREAMS as u64
        })
        .await;
        // All streams may be given up when the other engine is listed.
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        let retries = Arc::clone(&retries);
        start_engine(&fixture, "d-2", move |request| {
            retries.fetch_add(1, Ordering::Relaxed);
            answer(request, Duration::ZERO)
        })
        .await
    };
    let (responses, _other) = tokio::join!(requests, other);
    for response in responses {
        let response = response.expect("a response");
        let body = String::from_utf8_lossy(&response.body);
        assert_eq!(response.status, 200, "{body}");
        assert_eq!(event_ids(&response.body), [0, 1, 2, 3, 4]);
    }
    assert_eq!(retries.load(Ordering::Relaxed), 2);
}

/// A response without events that an engine sends: a refusal that runs nothing, or a failure.
fn empty_response(request: &ScriptedRequest, status: &str, field: &str) -> ScriptStep {
    let attempt = request.header("x-acaciabank-attempt-id");
    let text = format!(
        "HTTP/1.1 {status}\r\nx-acaciabank-attempt-id: {attempt}\r\n\
         x-acaciabank-response-signature: s\r\n{field}content-length: 0\r\n\r\n"
    );
    ScriptStep::Send(text.into_bytes())
}

/// Allows three engines to begin a stream, as version 2 of the configuration.
async fn allow_three_attempts(fixture: &Fixture, relay: &Relay) {
    let adjust = |config: &mut serde_json::Value| {
        config["routes"][2]["max_attempts"] = 3.into();
    };
    fixture.write_config(2, adjust).await;
    wait_config(relay, 2).await;
}

/// Guards against a silent engine that works on a stream beside others for too long because the
/// first engine that takes the stream over fails.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_takeover_does_not_prolong_the_overlap() {
    let (fixture, relay) = start_relay().await;
    allow_three_attempts(&fixture, &relay).await;
    let silent = start_engine(&fixture, "d-1", |request| {
        let comment = ScriptStep::Drip(b": wait\n\n".to_vec(), Duration::from_millis(10));
        paused_stream(request, comment)
    });
    let silent = silent.await;
    wait_logged(&relay, "target_listed").await;
    let takeover = async {
        harness::wait_until(TIMEOUT, "the silent engine runs the stream", async || {
            silent.pouring_connections() > 0
        })
        .await;
        let resumed = Arc::new(AtomicU64::new(0));
        let script = |resumed: Arc<AtomicU64>| {
            move |request: &ScriptedRequest| {
                if resumed.fetch_add(1, Ordering::Relaxed) == 0 {
                    let work = ScriptStep::Wait(Duration::from_millis(220));
                    return vec![work, empty_response(request, "500 Failed", "")];
                }
                let rest: String = (2..5).map(event).collect();
                let work = ScriptStep::Wait(Duration::from_secs(1));
                let text = stream_head(request) + &rest;
                vec![work, ScriptStep::Send(text.into_bytes()), ScriptStep::Close]
            }
        };
        let others = (
            start_engine(&fixture, "d-2", script(Arc::clone(&resumed))).await,
            start_engine(&fixture, "d-3", script(Arc::clone(&resumed))).await,
        );
        while resumed.load(Ordering::Relaxed) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let started = Instant::now();
        while silent.pouring_connections() > 0 && started.elapsed() < TIMEOUT {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        (others, started.elapsed())
    };
    let request = relay.request_stream("/resumable/a", "over", 5);
    let (response, (_others, overlap)) = tokio::join!(request, takeover);
    let response = response.expect("a complete response");
    assert_eq!(event_ids(&response.body), [0, 1, 2, 3, 4]);
    assert!(overlap < MAX_OVERLAP, "{overlap:?}");
}

/// A stream whose engine is silent after the second event, goes on with the third one and breaks
/// half a second later.
fn breaking_stream(request: &ScriptedRequest, silence: Duration) -> Vec<ScriptStep> {
    let head = stream_head(request).replace(
        "connection: close",
        // The end of the connection is not the end of such a response.
        "content-length: 100000",
    );
    let start = head + &event(0) + &event(1);
    vec![
        ScriptStep::Send(start.into_bytes()),
        ScriptStep::Wait(silence),
        ScriptStep::Send(event(2).into_bytes()),
        ScriptStep::Wait(Duration::from_millis(700)),
        ScriptStep::Close,
    ]
}

/// How the engines beside a silent one behave.
struct KeptCase {
    /// Time for which the first engine is silent.
    silence: Duration,
    /// Status and fields of the second engine's first responses.
    response: (&'static str, &'static str),
    /// Number of these responses, after which the second engine goes on with the stream.
    count: u64,
    /// Whether a third engine is added after the second one's first response.
    has_third: bool,
}

/// Requests a stream from an engine that is silent and breaks later. The stream must be complete.
async fn check_break_after_kept(case: KeptCase) {
    let (fixture, relay) = start_relay().await;
    allow_three_attempts(&fixture, &relay).await;
    let silent = start_engine(&fixture, "d-1", move |request| {
        breaking_stream(request, case.silence)
    });
    let silent = silent.await;
    wait_logged(&relay, "target_listed").await;
    let engines = async {
        harness::wait_until(TIMEOUT, "the silent engine runs the stream", async || {
            silent.request_count() > 0
        })
        .await;
        let resumed = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&resumed);
        let second = start_engine(&fixture, "d-2", move |request| {
            let (status, fields) = case.response;
            match count.fetch_add(1, Ordering::Relaxed) < case.count {
                true => vec![empty_response(request, status, fields)],
                false => rest_of_stream(request),
            }
        });
        let second = second.await;
        while resumed.load(Ordering::Relaxed) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        // Later than the end of the takeover, which waits briefly for a further engine.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let third = match case.has_third {
            true => Some(start_engine(&fixture, "d-3", rest_of_stream).await),
            false => None,
        };
        (second, third)
    };
    let request = relay.request_stream("/resumable/a", "kept", 5);
    let (response, _engines) = tokio::join!(request, engines);
    let response = response.expect("a complete response");
    assert_eq!(event_ids(&response.body), [0, 1, 2, 3, 4]);
}

/// The events behind the last one that the caller has.
fn rest_of_stream(request: &ScriptedRequest) -> Vec<ScriptStep> {
    let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let rest: String = (last + 1..5).map(event).collect();
    let text = stream_head(request) + &rest;
    vec![ScriptStep::Send(text.into_bytes()), ScriptStep::Close]
}

/// Guards against a stream that is lost at a break because an earlier failed takeover was counted
/// as two runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_a_break_after_a_takeover_that_failed() {
    check_break_after_kept(KeptCase {
        silence: Duration::from_millis(1_900),
        response: ("500 Failed", ""),
        count: 1,
        has_third: true,
    })
    .await;
}

/// Guards against a stream of a silent engine that is lost although no other engine works on it: its
/// route allows a longer search for a further engine than a takeover may last.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_a_failed_takeover_with_a_long_search() {
    let (fixture, relay) = start_relay().await;
    let adjust = |config: &mut serde_json::Value| {
        config["routes"][2]["max_attempts"] = 3.into();
        config["routes"][2]["target_latency_ms"] = 5_000.into();
    };
    fixture.write_config(2, adjust).await;
    wait_config(&relay, 2).await;
    let silent = start_engine(&fixture, "d-1", |request| {
        paused_stream(request, ScriptStep::Wait(Duration::from_millis(1_900)))
    });
    let silent = silent.await;
    wait_logged(&relay, "target_listed").await;
    let engines = async {
        harness::wait_until(TIMEOUT, "the silent engine runs the stream", async || {
            silent.request_count() > 0
        })
        .await;
        start_engine(&fixture, "d-2", |request| {
            vec![empty_response(request, "500 Failed", "")]
        })
        .await
    };
    let request = relay.request_stream("/resumable/a", "kept", 5);
    let (response, _engines) = tokio::join!(request, engines);
    let response = response.expect("a complete response");
    assert_eq!(event_ids(&response.body), [0, 1, 2, 3, 4]);
}

/// Fields of a refusal by an engine that has run nothing.
const NOT_RUN_FIELDS: &str = "x-acaciabank-not-executed: 1\r\n";

/// Guards against a stream that is lost at a break because the only other engine refused it once
/// while its own engine was silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_a_break_after_a_takeover_that_was_refused() {
    check_break_after_kept(KeptCase {
        silence: Duration::from_millis(1_900),
        response: ("503 Full", NOT_RUN_FIELDS),
        count: 1,
        has_third: false,
    })
    .await;
}

/// Guards against a stream that is lost at a break because refused takeovers have used up the calls
/// that it may make.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_a_break_after_many_takeovers_that_were_refused() {
    check_break_after_kept(KeptCase {
        silence: Duration::from_millis(6_500),
        response: ("503 Full", NOT_RUN_FIELDS),
        count: 4,
        has_third: false,
    })
    .await;
}

/// Routes of a large configuration, beside those of the fixture.
const LARGE_ROUTE_COUNT: usize = 3_000;
/// Versions of the configuration that follow one another without a pause.
const BURST_VERSIONS: std::ops::Range<u64> = 2..32;
/// Latency within which the routes of the fixture have to respond.
const TARGET_LATENCY: Duration = Duration::from_millis(2_000);

/// Adds many routes to a configuration.
fn add_routes(config: &mut serde_json::Value) {
    let route = config["routes"][0].clone();
    let routes = config["routes"].as_array_mut().expect("routes");
    for number in 0..LARGE_ROUTE_COUNT {
        let mut route = route.clone();
        route["name"] = format!("extra-{number}").into();
        route["prefix"] = format!("/extra-{number}/").into();
        routes.push(route);
    }
}

/// Guards against requests that wait, or are lost, while a relay applies one large configuration
/// after the other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_are_served_beside_a_burst_of_large_configurations() {
    let (fixture, _runner, relay) = start_serving().await;
    let is_over = AtomicBool::new(false);
    let caller = |name: &'static str| {
        let (relay, is_over) = (&relay, &is_over);
        async move {
            let mut longest = Duration::ZERO;
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                let (sent_at, attempt) = (Instant::now(), format!("{name}-{number}"));
                let response = relay.response("POST", "/once/a", &attempt, &[], "").await;
                assert_eq!(response.status, 200, "{attempt}");
                longest = longest.max(sent_at.elapsed());
            }
            longest
        }
    };
    let changes = async {
        for version in BURST_VERSIONS {
            fixture.write_config(version, add_routes).await;
        }
        wait_config(&relay, BURST_VERSIONS.end - 1).await;
        is_over.store(true, Ordering::Relaxed);
    };
    let (first, second, ()) = tokio::join!(caller("first"), caller("second"), changes);
    let longest = first.max(second);
    println!("longest request: {longest:?}");
    assert!(longest < TARGET_LATENCY, "{longest:?}");
}

/// Guards against limits and times without bound that end the task of a connection.
#[tokio::test]
async fn a_configuration_with_the_largest_limits_is_served() {
    let (fixture, _runner, relay) = start_serving().await;
    let adjust = |config: &mut serde_json::Value| {
        for limit in ["max_header_bytes", "max_body_bytes", "idle_timeout_ms"] {
            config["limits"][limit] = u64::MAX.into();
        }
        config["routes"][1]["timeout_ms"] = 1e300.into();
        config["routes"][1]["target_latency_ms"] = 1e300.into();
    };
    fixture.write_config(2, adjust).await;
    wait_config(&relay, 2).await;
    let response = relay.response("POST", "/once/a", "largest", &[], "").await;
    assert_eq!(response.body, "largest:");
}
