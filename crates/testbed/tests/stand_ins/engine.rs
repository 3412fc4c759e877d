//! Tests of the simulated engine: deterministic text, resumed streams, prefix cache, fencing,
//! cancellation, crashes and KV cache transfer.

use acaciabank_testbed::{engine, harness, web};
use serde_json::{Value, json};

use crate::{TIMEOUT, get, launcher, post, start};

/// Arguments that shorten simulated durations.
const FAST: [&str; 2] = ["--time-scale", "0.02"];

fn completion(prompt: &str, max_tokens: u64) -> Value {
    json!({"model": "drafting", "prompt": prompt, "max_tokens": max_tokens})
}

/// Joins the texts of the chunks of a streamed completion.
fn stream_text(body: &[u8]) -> String {
    let body = String::from_utf8_lossy(body);
    let chunks = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let values = chunks.filter_map(|chunk| serde_json::from_str::<Value>(chunk).ok());
    values
        .map(|value| {
            let text = &value["choices"][0]["text"];
            text.as_str().unwrap_or_default().to_owned()
        })
        .collect()
}

fn order(id: &str, fencing: u64, role: &str) -> Value {
    json!({"order_id": id, "fencing": fencing, "action": {"kind": "set_role", "role": role}})
}

/// Guards against text that depends on the engine: a stream resumed at another engine would not
/// continue with the same tokens.
#[tokio::test]
async fn a_stream_resumed_at_another_engine_has_the_same_text() {
    let launcher = launcher();
    let (_first, first) = start(&launcher, "first", "engine", &FAST).await;
    let (_second, second) = start(&launcher, "second", "engine", &FAST).await;
    let control = json!({"break_after_tokens": 5});
    harness::Fleet::control(first, &control)
        .await
        .expect("control");
    let mut request = completion("Dear member", 12);
    request["stream"] = true.into();
    let broken = web::call(first, "POST", "/v1/completions", &[], request.to_string()).await;
    assert!(broken.is_err(), "the stream breaks: {broken:?}");
    request["resume_from"] = 5.into();
    let rest = post(second, "/v1/completions", &request).await;
    let expected = engine::expected_text("drafting", "Dear member", 5..12);
    assert_eq!(stream_text(&rest.body), expected);
    let complete = post(first, "/v1/completions", &completion("Dear member", 12)).await;
    let expected = engine::expected_text("drafting", "Dear member", 0..12);
    assert_eq!(complete.json()["choices"][0]["text"], expected);
}

/// Guards against a cache that saves no prefill, or that doesn't report the pieces it stored.
#[tokio::test]
async fn a_cached_prefix_is_not_processed_again() {
    let launcher = launcher();
    let arguments = ["--time-scale", "0.02", "--piece-tokens", "10"];
    let (_process, address) = start(&launcher, "engine", "engine", &arguments).await;
    let prompt = "0123456789".repeat(20);
    for _ in 0..2 {
        post(address, "/v1/completions", &completion(&prompt, 1)).await;
    }
    let journals = harness::read_journals(launcher.folder()).expect("journals");
    let started: Vec<&Value> = journals.events("started").collect();
    assert_eq!(started[0]["prefill_tokens"], 50);
    assert_eq!(started[1]["cached_tokens"], 50);
    let events = get(address, "/admin/cache_events?after=0").await;
    assert_eq!(
        events["events"][0]["pieces"].as_array().map(Vec::len),
        Some(5)
    );
}

/// Guards against an engine that executes an order with a stale fencing number: it comes from a
/// daemon whose lease has passed to another one.
#[tokio::test]
async fn stale_fencing_is_refused_unless_ignored() {
    let launcher = launcher();
    let (_checked, checked) = start(&launcher, "checked", "engine", &FAST).await;
    let arguments = ["--time-scale", "0.02", "--fencing", "ignored"];
    let (_ignoring, ignoring) = start(&launcher, "ignoring", "engine", &arguments).await;
    for address in [checked, ignoring] {
        let first = post(address, "/admin/orders", &order("one", 7, "prefill")).await;
        assert_eq!(first.status, 202);
        harness::wait_until(TIMEOUT, "the first order is done", async || {
            get(address, "/admin/state").await["last_order"]["outcome"] == "done"
        })
        .await;
    }
    let stale = post(checked, "/admin/orders", &order("two", 6, "decode")).await;
    assert_eq!(stale.status, 409);
    assert_eq!(stale.json()["error"]["reason"], "stale_fencing");
    assert_eq!(get(checked, "/admin/state").await["role"], "prefill");
    let repeated = post(checked, "/admin/orders", &order("one", 7, "prefill")).await;
    assert_eq!(
        repeated.status, 202,
        "a repeated order gets the same response"
    );
    let accepted = post(ignoring, "/admin/orders", &order("two", 6, "decode")).await;
    assert_eq!(accepted.status, 202);
}

/// Guards against a switching engine that accepts requests, and against refusals without the
/// verdict `not_run`.
#[tokio::test]
async fn a_switching_engine_refuses_requests_as_not_run() {
    let launcher = launcher();
    let arguments = ["--switch-ms", "600000"];
    let (_process, address) = start(&launcher, "engine", "engine", &arguments).await;
    let accepted = post(address, "/admin/orders", &order("one", 1, "decode")).await;
    assert_eq!(accepted.status, 202);
    let refused = post(address, "/v1/completions", &completion("hello", 1)).await;
    assert_eq!(refused.status, 503);
    assert_eq!(refused.headers["x-verdict"], "not_run");
    let busy = post(address, "/admin/orders", &order("two", 2, "prefill")).await;
    assert_eq!(busy.json()["error"]["reason"], "busy");
}

/// Guards against orders that interrupt running requests, and against a cancellation without
/// effect.
#[tokio::test]
async fn orders_are_refused_while_requests_run_and_cancelling_ends_a_request() {
    let launcher = launcher();
    let (_process, address) = start(&launcher, "engine", "engine", &[]).await;
    let request = completion("long", 1_000_000).to_string();
    let running = tokio::spawn(async move {
        let headers = [("x-request-id", "r.1")];
        web::call(address, "POST", "/v1/completions", &headers, request).await
    });
    harness::wait_until(TIMEOUT, "the request runs", async || {
        get(address, "/admin/load").await["running"] == 1
    })
    .await;
    let refused = post(address, "/admin/orders", &order("one", 1, "decode")).await;
    assert_eq!(refused.json()["error"]["reason"], "busy");
    let cancel = web::call(address, "DELETE", "/v1/requests/r.1", &[], "").await;
    assert_eq!(cancel.expect("a response").json()["cancelled"], true);
    let response = running.await.expect("task").expect("a response");
    assert_eq!(response.status, 409);
}

/// Guards against a request that keeps its slot after its client closed the connection.
#[tokio::test]
async fn closing_the_connection_cancels_the_request() {
    let launcher = launcher();
    let (_process, address) = start(&launcher, "engine", "engine", &[]).await;
    for is_stream in [false, true] {
        let mut request = completion("long", 1_000_000);
        request["stream"] = is_stream.into();
        let call = web::call(address, "POST", "/v1/completions", &[], request.to_string());
        let running = tokio::spawn(call);
        harness::wait_until(TIMEOUT, "the request runs", async || {
            get(address, "/admin/load").await["running"] == 1
        })
        .await;
        running.abort();
        harness::wait_until(TIMEOUT, "the slot is free", async || {
            get(address, "/admin/load").await["running"] == 0
        })
        .await;
    }
}

/// Guards against a crash marker without effect, and against a journal that does not survive a
/// crash.
#[tokio::test]
async fn a_marked_prompt_crashes_the_engine() {
    let launcher = launcher();
    let (mut process, address) = start(&launcher, "engine", "engine", &FAST).await;
    let request = completion("please CRASH-ENGINE now", 4).to_string();
    let response = web::call(address, "POST", "/v1/completions", &[], request).await;
    assert!(response.is_err(), "no response arrives: {response:?}");
    let mut status = None;
    harness::wait_until(TIMEOUT, "the engine exits", async || {
        status = process.exit_status();
        status.is_some()
    })
    .await;
    assert_eq!(status.and_then(|status| status.code()), Some(3));
    let journals = harness::read_journals(launcher.folder()).expect("journals");
    assert_eq!(journals.events("crashed").count(), 1);
}

/// Guards against a decode request that processes the prompt although its KV cache was transferred,
/// and against one that fails because its handle is unknown.
#[tokio::test]
async fn a_known_handle_replaces_prefill() {
    let launcher = launcher();
    let (_first, first) = start(&launcher, "first", "engine", &FAST).await;
    let (_second, second) = start(&launcher, "second", "engine", &FAST).await;
    let prompt = "0123456789".repeat(100);
    let mut prefill = completion(&prompt, 1);
    prefill["kv_transfer_params"] = json!({"do_remote_decode": true});
    let transfer_params =
        post(first, "/v1/completions", &prefill).await.json()["kv_transfer_params"].clone();
    let mut decode = completion(&prompt, 4);
    decode["kv_transfer_params"] = transfer_params;
    let response = post(second, "/v1/completions", &decode).await;
    let expected = engine::expected_text("drafting", &prompt, 0..4);
    assert_eq!(response.json()["choices"][0]["text"], expected);
    decode["kv_transfer_params"]["handle"] = "unknown".into();
    let response = post(second, "/v1/completions", &decode).await;
    assert_eq!(response.json()["choices"][0]["text"], expected);
    let journals = harness::read_journals(launcher.folder()).expect("journals");
    let started = journals
        .events("started")
        .filter(|entry| entry["engine"] == "engine");
    let prefilled: Vec<&Value> = started.map(|entry| &entry["prefill_tokens"]).collect();
    assert_eq!(prefilled, [&json!(250), &json!(0), &json!(250)]);
}
