//! Attempts, verdicts and resumed streams against a scripted target.

use std::{
    net,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use acaciabank_core::shutdown::ShutdownTimes;
use acaciabank_daemon::{config, dispatch, process};
use acaciabank_protocol::{ids, reason, settings, verdict::Verdict, wire};
use bytes::Bytes;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Pause between two parts of a slow or stalled response.
const SLOW_PAUSE: Duration = Duration::from_millis(200);

/// Time that a slow prefill target takes for a prompt.
const SLOW_PREFILL_TIME: Duration = Duration::from_millis(700);

const STATE_RESPONSE: &str =
    "HTTP/1.1 404 Not Found\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Behavior of the target for one request.
#[derive(Clone, Copy)]
enum Script {
    /// Streams the tokens after the resume position up to `until`. Then ends the stream if `ends`
    /// is set, or closes the connection without an end.
    Tokens { until: u64, ends: bool },
    /// Reads the request and closes the connection.
    Close,
    /// Refuses the request with the verdict `not_run`.
    Refuse,
    /// Responds with the id of another request.
    Mismatched,
    /// Streams the tokens up to `until`, and then comments without end.
    Stalled { until: u64 },
    /// Streams six tokens with pauses, each in two parts.
    Slow,
    /// Sends these bytes and then `filler` without end.
    Endless {
        start: &'static str,
        filler: &'static str,
    },
    /// Processes the prompt and offers its KV cache; rejects calls that do not ask for that.
    Prefill,
    /// Like `Prefill`, after [`SLOW_PREFILL_TIME`].
    SlowPrefill,
}

/// Serves the scripts in order and then repeats the last one; returns the address and the number of
/// requests. Queries of the target's state after a broken connection use no script and are not
/// counted.
async fn start_target(scripts: Vec<Script>) -> (net::SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let served = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&served);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let Some((path, id, body)) = read_request(&mut stream).await else {
                continue;
            };
            if path == "/admin/state" {
                let _ = stream.write_all(STATE_RESPONSE.as_bytes()).await;
                continue;
            }
            let number = count.fetch_add(1, Ordering::SeqCst);
            let script = scripts[number.min(scripts.len() - 1)];
            tokio::spawn(async move {
                // The daemon closes the connection of a faulty target.
                let _ = serve_script(stream, script, &id, &body).await;
            });
        }
    });
    (address, served)
}

async fn serve_script(
    mut stream: tokio::net::TcpStream,
    script: Script,
    id: &str,
    body: &serde_json::Value,
) -> std::io::Result<()> {
    let response = scripted_response(script, id, body);
    match script {
        Script::Slow => {
            for part in response.split_inclusive("\"usage\"") {
                stream.write_all(part.as_bytes()).await?;
                tokio::time::sleep(SLOW_PAUSE).await;
            }
            return Ok(());
        }
        Script::SlowPrefill => {
            tokio::time::sleep(SLOW_PREFILL_TIME).await;
            stream.write_all(response.as_bytes()).await?;
        }
        _ => stream.write_all(response.as_bytes()).await?,
    }
    loop {
        match script {
            Script::Stalled { .. } => {
                stream.write_all(b": wait\n\n").await?;
                tokio::time::sleep(SLOW_PAUSE).await;
            }
            Script::Endless { filler, .. } => {
                stream.write_all(filler.repeat(1_000).as_bytes()).await?;
            }
            _ => return Ok(()),
        }
    }
}

/// Reads one request; returns its path, request id and body.
async fn read_request(
    stream: &mut tokio::net::TcpStream,
) -> Option<(String, String, serde_json::Value)> {
    let mut bytes = Vec::new();
    loop {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let header = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(": "));
            lines
                .find(|(key, _)| key.eq_ignore_ascii_case(name))
                .map(|(_, value)| value)
        };
        let length = header("content-length").map_or(0, |length| length.parse().unwrap());
        if body.len() >= length {
            let id = header("x-request-id").unwrap_or_default().to_owned();
            let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
            return Some((path, id, serde_json::from_str(body).unwrap_or_default()));
        }
    }
}

fn scripted_response(script: Script, id: &str, body: &serde_json::Value) -> String {
    let head = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-type: text/event-stream\r\n";
    match script {
        Script::Close => String::new(),
        Script::Endless { start, .. } => start.to_owned(),
        Script::Stalled { until } => {
            let tokens = Script::Tokens { until, ends: false };
            scripted_response(tokens, id, body)
        }
        Script::Slow => {
            let tokens = Script::Tokens {
                until: 6,
                ends: true,
            };
            scripted_response(tokens, id, body)
        }
        Script::Refuse => {
            "HTTP/1.1 503 Busy\r\nx-verdict: not_run\r\ncontent-length: 0\r\n\r\n".to_owned()
        }
        Script::Mismatched => format!("{head}x-request-id: other\r\n\r\ndata: [DONE]\n\n"),
        Script::Prefill | Script::SlowPrefill => {
            let is_asked = body["kv_transfer_params"]["do_remote_decode"] == true;
            let response = json!({"id": id, "kv_transfer_params": {"handle": "h1"}}).to_string();
            let status = if is_asked { "200 OK" } else { "400 Bad" };
            let length = response.len();
            format!(
                "HTTP/1.1 {status}\r\nconnection: close\r\nx-request-id: {id}\r\n\
                 content-length: {length}\r\n\r\n{response}"
            )
        }
        Script::Tokens { until, ends } => {
            let from = body["resume_from"].as_u64().unwrap_or(0);
            let mut response = format!("{head}x-request-id: {id}\r\n\r\n");
            for token in from + 1..=until {
                let finish = (ends && token == until).then_some("length");
                let chunk = json!({"id": id, "object": "text_completion",
                    "choices": [{"index": 0, "text": format!("t{token} "), "finish_reason": finish}],
                    "usage": {"completion_tokens": token}});
                response.push_str(&format!("data: {chunk}\n\n"));
            }
            if ends {
                response.push_str("data: [DONE]\n\n");
            }
            response
        }
    }
}

fn state_with_targets(addresses: &[net::SocketAddr]) -> process::SharedState {
    let targets: Vec<_> = addresses
        .iter()
        .map(|address| (*address, "mixed"))
        .collect();
    state_with_routing(&targets, "least_load")
}

fn state_with_routing(targets: &[(net::SocketAddr, &str)], routing: &str) -> process::SharedState {
    let engines: Vec<_> = targets
        .iter()
        .enumerate()
        .map(|(number, (address, role))| {
            json!({"name": format!("engine-{number}"), "host": "host-1", "address": address,
                   "role": role, "model": "drafter", "slots": 4, "fencing": "checked"})
        })
        .collect();
    let deployment: settings::Deployment = serde_json::from_value(json!({
        "regions": [{"name": "perth", "zones": ["perth-a"]}],
        "hosts": [{"name": "host-1", "zone": "perth-a"}],
        "models": [{"name": "drafter", "version": "1"}],
        "engines": engines,
        "policy": {"routing": routing},
    }))
    .unwrap();
    let process: settings::ProcessSettings = serde_json::from_value(json!({
        "daemon": "daemon-1", "region": "perth", "zone": "perth-a",
        "caller_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0", "table": {"address": "127.0.0.1:1"},
        "timers": {"idle_timeout_ms": 600, "first_byte_timeout_ms": 3_000},
    }))
    .unwrap();
    let state = process::ProcessState {
        boot_ids: process::BootIds::new(1),
        ..process::ProcessState::new(process)
    };
    state.targets.apply(&deployment, &state.settings.zone);
    state.config.apply(config::ConfigVersion {
        version: 1,
        operator: "test".to_owned(),
        deployment,
    });
    Arc::new(state)
}

fn completion_request(state: &process::ProcessState, idempotent: bool) -> dispatch::CallerRequest {
    let body = json!({"model": "drafter", "prompt": "hello", "max_tokens": 6});
    dispatch::CallerRequest {
        id: ids::RequestId::new("daemon-1-00"),
        team: ids::TeamId::new("team"),
        priority: wire::Priority::Normal,
        deadline: Instant::now() + Duration::from_secs(20),
        idempotent,
        write_deadline: None,
        fingerprint: 1,
        memory: [].into(),
        work: dispatch::RequestWork::Completion {
            model: ids::ModelId::new("drafter"),
            path: "/v1/completions",
            prompt: "hello".to_owned(),
            max_tokens: 6,
            stream: false,
            body: body.as_object().unwrap().clone(),
        },
        config: state.config.current().unwrap(),
    }
}

async fn completion_text(mut response: dispatch::CallerResponse) -> String {
    let mut body = Vec::new();
    while let Some(part) = response.body.recv().await {
        body.extend_from_slice(&part.unwrap());
    }
    let response: serde_json::Value = serde_json::from_slice(&body).unwrap();
    response["choices"][0]["text"].as_str().unwrap().to_owned()
}

/// Guards against repeated or missing tokens after a stream breaks and is resumed, against a
/// response that cannot be fetched later, and against its delivery to another team.
#[tokio::test]
async fn broken_stream_resumes_without_gap_or_repeat() {
    let broken = Script::Tokens {
        until: 3,
        ends: false,
    };
    let complete = Script::Tokens {
        until: 6,
        ends: true,
    };
    let (address, served) = start_target(vec![broken, complete]).await;
    let state = state_with_targets(&[address]);
    let request = completion_request(&state, true);
    let response = dispatch::dispatch(&state, request.clone()).await.unwrap();
    assert_eq!(completion_text(response).await, "t1 t2 t3 t4 t5 t6 ");
    assert_eq!(served.load(Ordering::SeqCst), 2);
    let buffered = state.responses.find(&request.id, &request.team);
    assert!(
        matches!(buffered, dispatch::BufferedResponse::Done { body, .. } if body != Bytes::new())
    );
    let other_team = ids::TeamId::new("stranger");
    let buffered = state.responses.find(&request.id, &other_team);
    assert!(matches!(buffered, dispatch::BufferedResponse::Forbidden));
}

/// Guards against a second run of a non-idempotent request whose target closes the connection after
/// the request was written.
#[tokio::test]
async fn non_idempotent_request_is_not_repeated_after_it_was_written() {
    let (address, served) = start_target(vec![Script::Close]).await;
    let state = state_with_targets(&[address]);
    let refusal = dispatch::dispatch(&state, completion_request(&state, false))
        .await
        .unwrap_err();
    assert_eq!(refusal.reason, reason::RefusalReason::TargetFailed);
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
    assert_eq!(served.load(Ordering::SeqCst), 1);
}

/// Guards against the failure of a non-idempotent request that did not run: one target has a closed
/// port, the other refuses it before running.
#[tokio::test]
async fn not_run_attempts_are_retried_for_non_idempotent_requests() {
    let complete = Script::Tokens {
        until: 6,
        ends: true,
    };
    let (address, _) = start_target(vec![Script::Refuse, complete]).await;
    let closed = TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let state = state_with_targets(&[closed, address]);
    let response = dispatch::dispatch(&state, completion_request(&state, false))
        .await
        .unwrap();
    assert_eq!(completion_text(response).await, "t1 t2 t3 t4 t5 t6 ");
}

/// Guards against the delivery of a response that carries the id of another request.
#[tokio::test]
async fn mismatched_response_is_dropped() {
    let complete = Script::Tokens {
        until: 6,
        ends: true,
    };
    let (address, served) = start_target(vec![Script::Mismatched, complete]).await;
    let state = state_with_targets(&[address]);
    let response = dispatch::dispatch(&state, completion_request(&state, true))
        .await
        .unwrap();
    assert_eq!(completion_text(response).await, "t1 t2 t3 t4 t5 t6 ");
    assert_eq!(served.load(Ordering::SeqCst), 2);
}

/// Returns a complete stream of six tokens for a connection that stays open.
fn kept_response(id: &str, id_header: &str, word: &str) -> String {
    let mut events = String::new();
    for token in 1..=6 {
        let finish = (token == 6).then_some("length");
        let chunk = json!({"id": id, "object": "text_completion",
            "choices": [{"index": 0, "text": format!("{word}{token} "), "finish_reason": finish}],
            "usage": {"completion_tokens": token}});
        events.push_str(&format!("data: {chunk}\n\n"));
    }
    events.push_str("data: [DONE]\n\n");
    let length = events.len();
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n{id_header}\
         content-length: {length}\r\n\r\n{events}"
    )
}

/// Guards against the delivery of a second copy of an earlier response that carries no id, on a
/// connection on which the target has echoed ids before.
#[tokio::test]
async fn a_copy_without_an_id_on_a_kept_connection_is_dropped() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let copies = Arc::new(AtomicUsize::new(0));
    let sent_copies = Arc::clone(&copies);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let sent_copies = Arc::clone(&sent_copies);
            tokio::spawn(async move {
                let mut former = None;
                while let Some((path, id, _)) = read_request(&mut stream).await {
                    let response = match former.replace(id.clone()) {
                        _ if path == "/admin/state" => STATE_RESPONSE.to_owned(),
                        None => kept_response(&id, &format!("x-request-id: {id}\r\n"), "t"),
                        Some(former) => {
                            sent_copies.fetch_add(1, Ordering::SeqCst);
                            kept_response(&former, "", "copy")
                        }
                    };
                    if stream.write_all(response.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    let state = state_with_targets(&[address]);
    for _ in 0..2 {
        let response = dispatch::dispatch(&state, completion_request(&state, true))
            .await
            .unwrap();
        assert_eq!(completion_text(response).await, "t1 t2 t3 t4 t5 t6 ");
    }
    assert_eq!(copies.load(Ordering::SeqCst), 1);
}

/// A request whose prompt is long enough to be processed at a prefill target.
fn long_completion_request(
    state: &process::ProcessState,
    idempotent: bool,
) -> dispatch::CallerRequest {
    let mut request = completion_request(state, idempotent);
    if let dispatch::RequestWork::Completion { prompt, body, .. } = &mut request.work {
        *prompt = "word ".repeat(20_000);
        body.insert("prompt".to_owned(), json!(prompt.clone()));
    }
    request
}

/// Guards against repeated or missing tokens when prefill and decode run at different targets,
/// against a failure of the request when the prefill target fails, and against a separate prefill
/// of a request that may run only once.
#[tokio::test]
async fn prompt_is_processed_at_a_prefill_target() {
    let complete = Script::Tokens {
        until: 6,
        ends: true,
    };
    for (prefill_script, idempotent, calls) in [
        (Script::Prefill, true, 2),
        (Script::Refuse, true, 2),
        (Script::Close, true, 2),
        (complete, false, 1),
    ] {
        let (prefill, prefill_served) = start_target(vec![prefill_script]).await;
        let (decode, decode_served) = start_target(vec![complete]).await;
        let state = state_with_routing(&[(prefill, "prefill"), (decode, "decode")], "adaptive");
        let request = long_completion_request(&state, idempotent);
        let response = dispatch::dispatch(&state, request).await.unwrap();
        assert_eq!(completion_text(response).await, "t1 t2 t3 t4 t5 t6 ");
        let served = [prefill_served, decode_served].map(|served| served.load(Ordering::SeqCst));
        assert_eq!(served.iter().sum::<usize>(), calls, "{served:?}");
        assert!(!idempotent || served == [1, 1], "{served:?}");
    }
}

/// Guards against a shutdown that expects the time of the prompt once more after its own prefill, and
/// refuses a request that fits.
#[tokio::test]
async fn a_prefilled_request_that_fits_is_not_refused_by_the_shutdown() {
    let (prefill, _) = start_target(vec![Script::SlowPrefill]).await;
    let (decode, decode_served) = start_target(vec![COMPLETE]).await;
    let state = state_with_routing(&[(prefill, "prefill"), (decode, "decode")], "adaptive");
    let mut request = long_completion_request(&state, true);
    if let dispatch::RequestWork::Completion { max_tokens, .. } = &mut request.work {
        // Expected to take 1 s to the first token, and 0.5 s from then on.
        *max_tokens = 11;
    }
    let now = Instant::now();
    state.shutdown.begin(ShutdownTimes {
        cached_until: now + Duration::from_secs(10),
        end: now + Duration::from_millis(2_200),
    });
    let response = dispatch::dispatch(&state, request).await.unwrap();
    assert_eq!(completion_text(response).await, "t1 t2 t3 t4 t5 t6 ");
    assert_eq!(decode_served.load(Ordering::SeqCst), 1);
}

/// Guards against a request that is not woken when the backoff of the only target ends: its
/// deadline is earlier than the end of the general wait for targets.
#[tokio::test]
async fn request_runs_when_the_backoff_of_its_target_ends() {
    let complete = Script::Tokens {
        until: 6,
        ends: true,
    };
    let (address, _) = start_target(vec![complete]).await;
    let state = state_with_targets(&[address]);
    state.targets.snapshot().all[0].back_off(300);
    let mut request = completion_request(&state, true);
    request.deadline = Instant::now() + Duration::from_secs(3);
    let response = dispatch::dispatch(&state, request).await.unwrap();
    assert_eq!(completion_text(response).await, "t1 t2 t3 t4 t5 t6 ");
}

const COMPLETE: Script = Script::Tokens {
    until: 6,
    ends: true,
};

/// Time within which another target takes over from a stalled one; far below the deadline.
const TAKEOVER_TIME: Duration = Duration::from_secs(8);

/// Guards against a stalled stream that never ends because its target sends comments: only events
/// are progress.
#[tokio::test]
async fn a_stalled_stream_with_comments_is_resumed() {
    let (address, served) = start_target(vec![Script::Stalled { until: 3 }, COMPLETE]).await;
    let state = state_with_targets(&[address]);
    let started = Instant::now();
    let response = dispatch::dispatch(&state, completion_request(&state, true))
        .await
        .unwrap();
    assert_eq!(completion_text(response).await, "t1 t2 t3 t4 t5 t6 ");
    assert_eq!(served.load(Ordering::SeqCst), 2);
    assert!(started.elapsed() < TAKEOVER_TIME, "{:?}", started.elapsed());
}

/// Guards against a slow but sound stream that is cut: each event comes within the idle timeout,
/// the whole stream takes several times as long.
#[tokio::test]
async fn a_slow_stream_is_not_cut() {
    let (address, served) = start_target(vec![Script::Slow]).await;
    let state = state_with_targets(&[address]);
    let response = dispatch::dispatch(&state, completion_request(&state, true))
        .await
        .unwrap();
    assert_eq!(completion_text(response).await, "t1 t2 t3 t4 t5 t6 ");
    assert_eq!(served.load(Ordering::SeqCst), 1);
}

/// Guards against bytes without end in a head, a chunk or an event, which keep a request waiting
/// until its deadline or fill the memory.
#[tokio::test]
async fn bytes_without_end_fail_only_the_attempt() {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for (start, filler) in [
        ("HTTP/1.1 200 ", "O"),
        (head, "x-filler: 0\r\n"),
        ("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
        ("HTTP/1.1 200 OK\r\n\r\ndata: ", "x"),
        ("HTTP/1.1 200 OK\r\n\r\n", ": wait\n\n"),
        (chunked, "0"),
    ] {
        let endless = Script::Endless { start, filler };
        let (address, served) = start_target(vec![endless, COMPLETE]).await;
        let state = state_with_targets(&[address]);
        let started = Instant::now();
        let response = dispatch::dispatch(&state, completion_request(&state, true)).await;
        let text = completion_text(response.unwrap()).await;
        assert_eq!(text, "t1 t2 t3 t4 t5 t6 ", "{start:?} {filler:?}");
        assert_eq!(served.load(Ordering::SeqCst), 2, "{start:?} {filler:?}");
        let elapsed = started.elapsed();
        assert!(elapsed < TAKEOVER_TIME, "{start:?} {filler:?}: {elapsed:?}");
    }
}
