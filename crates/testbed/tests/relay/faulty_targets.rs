//! Targets that send a second copy of a response, bytes without end, or nothing but comments.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use acaciabank_testbed::{
    harness,
    scripted::{ScriptStep, ScriptedRequest, ScriptedTarget},
};
use serde_json::json;

use crate::fixture::{Fixture, Relay, TIMEOUT, event_ids};

/// Memory of the smallest hosts that the relay runs on.
const HOST_MEMORY_BYTES: u64 = 160 << 20;
/// Target latency of the fixture's routes.
const TARGET_LATENCY: Duration = Duration::from_secs(2);

/// Headers that a target adds to its response to a request.
fn origin_headers(request: &ScriptedRequest) -> String {
    let attempt = request.header("x-acaciabank-attempt-id");
    format!("x-acaciabank-attempt-id: {attempt}\r\nx-acaciabank-response-signature: s\r\n")
}

/// A complete response whose body is the attempt id.
fn response(request: &ScriptedRequest) -> Vec<u8> {
    let attempt = request.header("x-acaciabank-attempt-id");
    let (headers, length) = (origin_headers(request), attempt.len());
    format!("HTTP/1.1 200 OK\r\n{headers}content-length: {length}\r\n\r\n{attempt}").into_bytes()
}

/// The head of a chunked event stream.
fn stream_head(request: &ScriptedRequest) -> String {
    let headers = origin_headers(request);
    let content = "content-type: text/event-stream\r\ntransfer-encoding: chunked";
    format!("HTTP/1.1 200 OK\r\n{headers}{content}\r\n\r\n")
}

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

fn event(number: u64) -> String {
    chunk(&format!("id: {number}\ndata: token {number}\n\n"))
}

/// A complete stream of `count` events.
fn stream(request: &ScriptedRequest, count: u64) -> Vec<u8> {
    let events: String = (0..count).map(event).collect();
    format!("{}{events}0\r\n\r\n", stream_head(request)).into_bytes()
}

/// Starts a scripted target and registers it in the store.
async fn start_target<Script>(
    fixture: &Fixture,
    id: &str,
    service: &str,
    stage: Option<&str>,
    script: Script,
) -> ScriptedTarget
where
    Script: Fn(&ScriptedRequest) -> Vec<ScriptStep> + Send + Sync + 'static,
{
    let address = fixture.launcher.next_address().expect("address");
    let target = ScriptedTarget::start(address, script).await;
    fixture.register_target(id, service, address, stage).await;
    target.expect("a target")
}

/// Sends requests until the scripted target has got some, and checks that every caller gets the
/// response to its own request, or an error.
async fn check_own_responses(relay: &Relay, target: &ScriptedTarget, path: &str) {
    let mut number = 0;
    while target.request_count() < 12 {
        assert!(number < 400, "the target gets no requests");
        let attempt = format!("{}-{number}", path.trim_matches('/').replace('/', "-"));
        let response = relay.send("POST", path, &attempt, &[], "").await;
        let response = response.expect("a response");
        match response.status {
            200 => {
                let body = String::from_utf8_lossy(&response.body).into_owned();
                assert!(
                    body == attempt || body == format!("{attempt}:"),
                    "{attempt}: {body}"
                );
            }
            status => assert_eq!((path, status), ("/once/a", 502), "{attempt}"),
        }
        number += 1;
    }
}

/// Runs requests of both kinds at a target with this script and at a sound one.
async fn check_copies<Script>(script: Script)
where
    Script: Fn(&ScriptedRequest) -> Vec<ScriptStep> + Send + Sync + 'static,
{
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let _sound = fixture.start_runner("sound", "ledger", None).await;
    let relay = fixture.start_relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    let target = start_target(&fixture, "faulty", "ledger", None, script).await;
    check_own_responses(&relay, &target, "/safe/a").await;
    let first = target.request_count();
    assert!(first >= 12);
    let once = start_target(&fixture, "once", "ledger", None, |request| {
        vec![
            ScriptStep::Send(response(request)),
            ScriptStep::Send(response(request)),
        ]
    });
    check_own_responses(&relay, &once.await, "/once/a").await;
}

/// Guards against a second copy that follows the response directly.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_behind_a_response_reaches_no_caller() {
    check_copies(|request| {
        let own = response(request);
        vec![ScriptStep::Send([own.clone(), own].concat())]
    })
    .await;
}

/// Guards against a second copy that arrives while the connection is idle.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_copy_between_two_requests_reaches_no_caller() {
    check_copies(|request| {
        let own = response(request);
        let pause = ScriptStep::Wait(Duration::from_millis(30));
        vec![ScriptStep::Send(own.clone()), pause, ScriptStep::Send(own)]
    })
    .await;
}

/// Guards against a second copy that arrives where the next response is expected, with the id of
/// the earlier request or without any id.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_in_place_of_the_next_response_reaches_no_caller() {
    for has_id in [true, false] {
        check_copies(move |request| {
            let own = response(request);
            let mut earlier = String::from_utf8(own.clone()).expect("text");
            let attempt = request.header("x-acaciabank-attempt-id");
            earlier = match has_id {
                true => earlier.replace(attempt, "earlier-request"),
                false => earlier.replace(
                    &format!("x-acaciabank-attempt-id: {attempt}\r\n"),
                    "x-unused: 1\r\n",
                ),
            };
            if !has_id {
                // The body of another request, of the same length.
                let body = "z".repeat(attempt.len());
                earlier =
                    earlier.replacen(&format!("\r\n\r\n{attempt}"), &format!("\r\n\r\n{body}"), 1);
            } else {
                let length = "earlier-request".len();
                earlier = earlier.replace(
                    &format!("content-length: {}", attempt.len()),
                    &format!("content-length: {length}"),
                );
            }
            match request.index {
                0 => vec![ScriptStep::Send(own)],
                _ => vec![ScriptStep::Send([earlier.into_bytes(), own].concat())],
            }
        })
        .await;
    }
}

/// Guards against events of a second copy of a stream, which follows its last event.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_behind_a_stream_reaches_no_caller() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let relay = fixture.start_relay(&[]).await;
    let engine = start_target(
        &fixture,
        "d-1",
        "models",
        Some("decode"),
        |request| match request.path().starts_with("/stream") {
            true => vec![ScriptStep::Send(
                [stream(request, 5), stream(request, 5)].concat(),
            )],
            false => vec![ScriptStep::Close],
        },
    );
    let engine = engine.await;
    relay.wait_streaming("/stream/a", 5).await;
    for number in 0..20 {
        let attempt = format!("t-{number}");
        let response = relay.request_stream("/stream/a", &attempt, 5).await;
        let response = response.expect("a complete response");
        if response.status == 200 {
            assert_eq!(event_ids(&response.body), [0, 1, 2, 3, 4], "{attempt}");
            assert_eq!(
                response.headers["x-acaciabank-attempt-id"],
                attempt.as_str()
            );
        }
    }
    assert!(engine.request_count() >= 20);
}

/// Responses without end, by what does not end.
fn endless_responses(request: &ScriptedRequest) -> Vec<Vec<ScriptStep>> {
    let headers = origin_headers(request);
    let start = |text: &str| ScriptStep::Send(text.as_bytes().to_vec());
    let head = format!("HTTP/1.1 200 OK\r\n{headers}");
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    let pour = |text: &str| ScriptStep::Pour(text.repeat(4_096 / text.len() + 1).into_bytes());
    vec![
        // The status line.
        vec![start("HTTP/1.1 200 "), pour("O")],
        // The lines of the head.
        vec![start(&head), pour("x-filler: 0123456789\r\n")],
        // One line of the head.
        vec![start(&format!("{head}x-filler: ")), pour("0")],
        // Interim responses.
        vec![pour("HTTP/1.1 103 Early Hints\r\nx-filler: 0\r\n\r\n")],
        // A body with a length that is never reached.
        vec![
            start(&format!("{head}content-length: 99999999999\r\n\r\n")),
            pour("0"),
        ],
        // A body that ends with the connection.
        vec![
            start(&format!("{head}connection: close\r\n\r\n")),
            pour("0"),
        ],
        // The chunks.
        vec![start(&chunked), pour("10\r\n0123456789abcdef\r\n")],
        // The extension of a chunk.
        vec![start(&format!("{chunked}10;")), pour("x")],
        // The trailers.
        vec![start(&format!("{chunked}0\r\n")), pour("x-filler: 0\r\n")],
        // Bytes behind the body.
        vec![ScriptStep::Send(response(request)), pour("0")],
    ]
}

/// Returns the largest resident size that a process has had, in bytes.
fn peak_resident_bytes(process_id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).expect("status");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib: u64 = peak
        .and_then(|text| text.trim().strip_suffix(" kB"))
        .and_then(|text| text.trim().parse().ok())
        .expect("the peak size in kB");
    kib << 10
}

/// Guards against a relay that runs out of memory, or keeps the callers of other targets waiting,
/// while ten targets send bytes without end.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_take_bounded_memory_and_delay_no_other_caller() {
    let mut fixture = Fixture::start().await;
    fixture
        .write_config(1, |config| {
            let mut route = config["routes"][1].clone();
            route["prefix"] = "/pour/".into();
            route["name"] = "pour".into();
            route["service"] = "pouring".into();
            route["timeout_ms"] = 4_000.into();
            let services = config["services"].as_array_mut().expect("services");
            let pouring = json!({"name": "pouring", "health_path": "/health", "max_conns": 100});
            services.push(pouring);
            config["routes"].as_array_mut().expect("routes").push(route);
        })
        .await;
    let _sound = fixture.start_runner("sound", "ledger", None).await;
    let relay = fixture.start_relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    let mut targets = Vec::new();
    for number in 0..10 {
        let id = format!("pouring-{number}");
        let script =
            move |request: &ScriptedRequest| endless_responses(request).swap_remove(number);
        targets.push(start_target(&fixture, &id, "pouring", None, script).await);
    }
    harness::wait_until(TIMEOUT, "the pouring targets are known", async || {
        let response = relay.send("POST", "/pour/a", "probe", &[], "").await;
        response.is_ok_and(|response| response.status != 503)
    })
    .await;
    let pouring = async {
        let mut number = 0;
        while targets.iter().any(|target| target.request_count() == 0) {
            assert!(number < 200, "some targets get no requests");
            let attempts: Vec<String> =
                (0..20).map(|index| format!("p-{number}-{index}")).collect();
            let sent = attempts
                .iter()
                .map(|attempt| relay.send("POST", "/pour/a", attempt, &[], ""));
            for response in futures::future::join_all(sent).await {
                let status = response.expect("a response").status;
                assert!([200, 502, 503, 504].contains(&status), "{status}");
            }
            // A target that has failed is tried again after some seconds.
            tokio::time::sleep(Duration::from_millis(100)).await;
            number += 1;
        }
    };
    let sound = async {
        let mut slowest = Duration::ZERO;
        for number in 0..200 {
            let (attempt, started) = (format!("s-{number}"), Instant::now());
            let response = relay.send("GET", "/safe/a", &attempt, &[], "").await;
            assert_eq!(response.expect("a response").status, 200, "{attempt}");
            slowest = slowest.max(started.elapsed());
        }
        slowest
    };
    let ((), slowest) = tokio::join!(pouring, sound);
    assert!(
        slowest < TARGET_LATENCY,
        "a caller of another target waited {slowest:?}"
    );
    let poured: u64 = targets.iter().map(ScriptedTarget::poured_bytes).sum();
    let peak = peak_resident_bytes(relay.process.id().expect("a running relay"));
    println!("{poured} bytes poured, {peak} bytes resident at most, slowest caller {slowest:?}");
    assert!(peak < HOST_MEMORY_BYTES, "{peak} bytes resident");
    harness::wait_until(TIMEOUT, "the connections are closed", async || {
        targets
            .iter()
            .all(|target| target.pouring_connections() == 0)
    })
    .await;
}

/// Guards against a faulty engine whose events have no end or are too long, and against a caller
/// that takes such a stream for a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn streams_without_end_are_cut_and_look_incomplete() {
    let mut fixture = Fixture::start().await;
    fixture
        .write_config(1, |config| config["routes"][3]["timeout_ms"] = 2_000.into())
        .await;
    let relay = fixture.start_relay(&[]).await;
    let endless = start_target(&fixture, "d-1", "models", Some("decode"), |request| {
        let start = ScriptStep::Send((stream_head(request) + &event(0)).into_bytes());
        let filler = match request.header("x-acaciabank-attempt-id") {
            attempt if attempt.starts_with("long") => chunk(&"x".repeat(4_000)),
            attempt if attempt.starts_with("comments") => chunk(&": wait\n\n".repeat(500)),
            _ => event(1).repeat(100),
        };
        vec![start, ScriptStep::Pour(filler.into_bytes())]
    });
    let endless = endless.await;
    harness::wait_until(TIMEOUT, "the engine gets requests", async || {
        let _ = relay.request_stream("/stream/a", "probe", 5).await;
        endless.request_count() > 0
    })
    .await;
    for attempt in ["long", "comments", "events"] {
        let started = Instant::now();
        let response = relay.request_stream("/stream/a", attempt, 5).await;
        let elapsed = started.elapsed();
        // 503 states that the engine did not get the request, because earlier ones failed there.
        let is_refused = response
            .as_ref()
            .is_ok_and(|response| response.status >= 500);
        assert!(response.is_err() || is_refused, "{attempt}: {response:?}");
        assert!(elapsed < Duration::from_secs(4), "{attempt}: {elapsed:?}");
    }
    let peak = peak_resident_bytes(relay.process.id().expect("a running relay"));
    assert!(peak < HOST_MEMORY_BYTES, "{peak} bytes resident");
}

/// Guards against a stalled engine that sends comments: they are no progress, and another engine
/// can go on.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_with_nothing_but_comments_is_resumed_elsewhere() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let relay = fixture.start_relay(&[]).await;
    let stalled = start_target(&fixture, "d-1", "models", Some("decode"), |request| {
        let start = ScriptStep::Send((stream_head(request) + &event(0)).into_bytes());
        let comment = chunk(": wait\n\n").into_bytes();
        vec![start, ScriptStep::Drip(comment, Duration::from_millis(100))]
    });
    let stalled = stalled.await;
    let _sound = fixture.start_runner("d-2", "models", Some("decode")).await;
    let mut number = 0;
    while stalled.request_count() == 0 {
        assert!(number < 200, "the stalled engine gets no stream");
        let (attempt, started) = (format!("c-{number}"), Instant::now());
        let response = relay.request_stream("/resumable/a", &attempt, 5).await;
        if let Ok(response) = response
            && response.status == 200
        {
            assert_eq!(event_ids(&response.body), [0, 1, 2, 3, 4], "{attempt}");
        }
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "{attempt}: {:?}",
            started.elapsed()
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
        number += 1;
    }
}

/// Guards against a slow but sound stream that is cut: its events come within a second of each
/// other.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_stream_runs_once_and_completely() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let relay = fixture.start_relay(&[]).await;
    let runs = Arc::new(AtomicU64::new(0));
    let counted_runs = Arc::clone(&runs);
    let script = move |request: &ScriptedRequest| {
        if request.header("x-acaciabank-attempt-id") != "slow" {
            return vec![ScriptStep::Close];
        }
        counted_runs.fetch_add(1, Ordering::Relaxed);
        let mut steps = vec![ScriptStep::Send(stream_head(request).into_bytes())];
        for number in 0..5 {
            // An event in two parts: the first one alone is no event.
            let (first, second) = (format!("id: {number}\nda"), "ta: token\n\n");
            steps.push(ScriptStep::Wait(Duration::from_millis(300)));
            steps.push(ScriptStep::Send(chunk(&first).into_bytes()));
            steps.push(ScriptStep::Wait(Duration::from_millis(300)));
            steps.push(ScriptStep::Send(chunk(second).into_bytes()));
        }
        steps.push(ScriptStep::Send(b"0\r\n\r\n".to_vec()));
        steps
    };
    let _engine = start_target(&fixture, "d-1", "models", Some("decode"), script).await;
    for path in ["/resumable/a", "/stream/a"] {
        let mut response = None;
        harness::wait_until(TIMEOUT, "the stream is served", async || {
            response = relay.request_stream(path, "slow", 5).await.ok();
            response
                .as_ref()
                .is_some_and(|response| response.status == 200)
        })
        .await;
        let response = response.expect("a response");
        assert_eq!(event_ids(&response.body), [0, 1, 2, 3, 4], "{path}");
    }
    assert_eq!(runs.load(Ordering::Relaxed), 2, "each stream runs once");
}

/// An event stream without length and chunks, which ends with its connection: its head and `body`.
fn unframed_stream(request: &ScriptedRequest, body: &str) -> Vec<ScriptStep> {
    let headers = origin_headers(request);
    let head =
        format!("HTTP/1.1 200 OK\r\n{headers}content-type: text/event-stream\r\nconnection: close");
    let bytes = format!("{head}\r\n\r\n{body}").into_bytes();
    vec![ScriptStep::Send(bytes), ScriptStep::Close]
}

/// The events of a stream, as text without chunks.
fn event_texts(count: u64) -> String {
    let event = |number| format!("id: {number}\ndata: token {number}\n\n");
    (0..count).map(event).collect()
}

/// Guards against complete streams that are taken for interrupted ones because they have neither a
/// length nor chunks, and against callers that cannot tell that their stream was complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_complete_stream_that_ends_with_its_connection_is_complete() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let relay = fixture.start_relay(&[]).await;
    let engine = start_target(&fixture, "d-1", "models", Some("decode"), |request| {
        unframed_stream(request, &event_texts(5))
    });
    let engine = engine.await;
    relay.wait_streaming("/stream/a", 5).await;
    let first_count = engine.request_count();
    for (number, path) in ["/stream/a", "/resumable/a"].iter().enumerate() {
        let attempt = format!("u-{number}");
        let response = relay.request_stream(path, &attempt, 5).await;
        let response = response.expect("a complete response");
        assert_eq!(response.status, 200, "{path}");
        assert_eq!(event_ids(&response.body), [0, 1, 2, 3, 4], "{path}");
    }
    assert_eq!(engine.request_count(), first_count + 2, "each runs once");
}

/// Guards against a stream that ends within an event with its connection and is passed on as a
/// complete one.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_within_an_event_with_its_connection_is_incomplete() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let relay = fixture.start_relay(&[]).await;
    let cut = start_target(&fixture, "d-1", "models", Some("decode"), |request| {
        unframed_stream(request, &format!("{}id: 2\nda", event_texts(2)))
    });
    let cut = cut.await;
    harness::wait_until(TIMEOUT, "the engine gets requests", async || {
        let _ = relay.request_stream("/stream/a", "probe", 5).await;
        cut.request_count() > 0
    })
    .await;
    let response = relay.request_stream("/stream/a", "cut", 5).await;
    let is_refused = response
        .as_ref()
        .is_ok_and(|response| response.status >= 500);
    assert!(response.is_err() || is_refused, "{response:?}");
    let _sound = fixture.start_runner("d-2", "models", Some("decode")).await;
    let first_count = cut.request_count();
    let mut number = 0;
    while cut.request_count() < first_count + 2 {
        assert!(number < 200, "the engine gets no stream");
        let attempt = format!("r-{number}");
        let response = relay.request_stream("/resumable/a", &attempt, 5).await;
        if let Ok(response) = response
            && response.status == 200
        {
            assert_eq!(event_ids(&response.body), [0, 1, 2, 3, 4], "{attempt}");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        number += 1;
    }
}

/// Guards against an engine that ends before its first event and whose response, without a length,
/// is taken for a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_events_that_ends_with_its_connection_is_no_answer() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let relay = fixture.start_relay(&[]).await;
    let engine = start_target(&fixture, "d-1", "models", Some("decode"), |request| {
        unframed_stream(request, "")
    });
    let engine = engine.await;
    let mut number = 0;
    while engine.request_count() < 3 {
        assert!(number < 200, "the engine gets no stream");
        let attempt = format!("empty-{number}");
        let response = relay.request_stream("/stream/a", &attempt, 5).await;
        let is_refused = response
            .as_ref()
            .is_ok_and(|response| response.status >= 500);
        assert!(response.is_err() || is_refused, "{attempt}: {response:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
        number += 1;
    }
}

/// Guards against a caller that stops reading: its stream must not hold the engine for ever.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_caller_stops_reading_ends() {
    use tokio::io::AsyncWriteExt;

    let mut fixture = Fixture::start().await;
    fixture
        .write_config(1, |config| {
            config["limits"]["idle_timeout_ms"] = 1_000.into()
        })
        .await;
    let relay = fixture.start_relay(&[]).await;
    let engine = start_target(&fixture, "d-1", "models", Some("decode"), |request| {
        let start = ScriptStep::Send((stream_head(request) + &event(0)).into_bytes());
        match request.header("x-acaciabank-attempt-id") {
            "stalled" => vec![start, ScriptStep::Pour(event(1).repeat(100).into_bytes())],
            _ => vec![ScriptStep::Send(stream(request, 2))],
        }
    });
    let engine = engine.await;
    relay.wait_streaming("/stream/a", 2).await;
    let connected = tokio::net::TcpStream::connect(relay.caller_address).await;
    let mut caller = connected.expect("a connection");
    let head = "POST /stream/a HTTP/1.1\r\nhost: host.example\r\n\
        x-acaciabank-attempt-id: stalled\r\nx-acaciabank-deadline-ms: 15000\r\n\
        x-acaciabank-model: m\r\nx-acaciabank-token-count: 2000,5\r\n\
        x-acaciabank-prompt-prefix: aa:1500,bb:500\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(head.as_bytes()).await.expect("a request");
    harness::wait_until(TIMEOUT, "the stream runs", async || {
        engine.poured_bytes() > 0
    })
    .await;
    let started = Instant::now();
    harness::wait_until(TIMEOUT, "the engine's connection is closed", async || {
        engine.pouring_connections() == 0
    })
    .await;
    // The deadline of the request alone would end it after 15 s.
    let elapsed = started.elapsed();
    assert!(elapsed < Duration::from_secs(10), "{elapsed:?}");
    drop(caller);
}

/// Guards against a budget for buffered responses that is not given back: together these responses
/// are larger than it.
#[tokio::test(flavor = "multi_thread")]
async fn the_memory_for_responses_is_used_again() {
    let mut fixture = Fixture::start().await;
    fixture.relay_memory_mb = 1;
    fixture.write_config(1, |_| {}).await;
    let _sound = fixture.start_runner("sound", "ledger", None).await;
    let relay = fixture.start_relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    let body = "x".repeat(20_000);
    for number in 0..40 {
        let attempt = format!("b-{number}");
        let response = relay.send("POST", "/once/a", &attempt, &[], &body).await;
        assert_eq!(response.expect("a response").status, 200, "{attempt}");
    }
}
