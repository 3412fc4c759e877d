//! Guards against requests that run twice, refusals of requests that ran, and responses that are
//! incomplete or belong to another request.

use serde_json::json;

use crate::fixture::{EmulatorProcess, Fixture, Relay, TIMEOUT};
use acaciabank_testbed::harness;

async fn start_fixture() -> (Fixture, [EmulatorProcess; 2], Relay) {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let runners = [
        fixture.start_runner("r-1", "ledger", None).await,
        fixture.start_runner("r-2", "ledger", None).await,
    ];
    let relay = fixture.start_relay(&[]).await;
    relay.wait_serving("/safe/probe").await;
    let targets = runners.iter().map(|runner| runner.address);
    for target in targets {
        wait_target_discovered(&relay, &fixture, target).await;
    }
    (fixture, runners, relay)
}

/// Waits until the relay has logged that it discovered a target.
async fn wait_target_discovered(relay: &Relay, fixture: &Fixture, target: std::net::SocketAddr) {
    let path = fixture
        .launcher
        .folder()
        .join(format!("{}.out", relay.process.name()));
    harness::wait_until(TIMEOUT, "the relay has logged the target", async || {
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        text.contains(&format!("\"address\":\"{target}\""))
    })
    .await;
}

/// Returns how often the runners ran an attempt, in total.
async fn total_run_count(runners: &[EmulatorProcess], attempt: &str) -> usize {
    let mut sum = 0;
    for runner in runners {
        sum += runner.run_count(attempt).await;
    }
    sum
}

/// Changes the faults of all runners.
async fn control_all(runners: &[EmulatorProcess], faults: serde_json::Value) {
    for runner in runners {
        runner.control(faults.clone()).await;
    }
}

/// Guards against a response that is altered on its way or lacks the runner's signature.
#[tokio::test]
async fn responses_are_passed_on_unchanged_with_their_signature() {
    let (_fixture, runners, relay) = start_fixture().await;
    let response = relay
        .response("POST", "/once/a?b=c", "n-1", &[], "notice")
        .await;
    assert_eq!(response.status, 200);
    assert_eq!(response.body, "n-1:notice");
    assert!(
        response
            .headers
            .contains_key("x-acaciabank-response-signature")
    );
    assert_eq!(total_run_count(&runners, "n-1").await, 1);
}

/// Guards against a retry of a non-idempotent request that may have run.
#[tokio::test]
async fn a_lost_response_does_not_retry_a_non_idempotent_request() {
    let (_fixture, runners, relay) = start_fixture().await;
    control_all(&runners, json!({"loses_answers": true})).await;
    let response = relay.response("POST", "/once/a", "n-2", &[], "x").await;
    assert_eq!(
        response.status, 502,
        "the request may have run; 429 and 503 would state that it did not"
    );
    assert_eq!(total_run_count(&runners, "n-2").await, 1);
    // The log alone must lead from the attempt id to the cause.
    let log = relay.request_log("n-2", "refused").await;
    assert!(
        log.iter()
            .any(|line| { line["event"] == "attempt_failed" && line["verdict"] == "may_have_run" }),
        "{log:?}"
    );
    assert!(
        log.iter()
            .any(|line| line["event"] == "refused" && line["status"] == 502)
    );
}

/// Guards against failing an idempotent request that another runner can serve.
#[tokio::test]
async fn an_idempotent_request_is_retried_at_another_runner() {
    let (_fixture, runners, relay) = start_fixture().await;
    runners[0].control(json!({"loses_answers": true})).await;
    for number in 0..6 {
        let attempt = format!("s-{number}");
        let response = relay.response("GET", "/safe/a", &attempt, &[], "").await;
        assert_eq!(response.status, 200, "{attempt}");
    }
}

/// Guards against a refusal, which states that the request did not run, of a request that ran.
#[tokio::test]
async fn a_request_is_refused_only_if_no_runner_ran_it() {
    let (_fixture, runners, relay) = start_fixture().await;
    control_all(&runners, json!({"refuses": true})).await;
    let response = relay.response("POST", "/once/a", "n-3", &[], "x").await;
    assert_eq!(response.status, 503);
    assert!(response.headers.contains_key("retry-after"));
    assert_eq!(total_run_count(&runners, "n-3").await, 0);
    let log = relay.request_log("n-3", "refused").await;
    assert!(
        log.iter().any(|line| line["reason"] == "target_refused"),
        "{log:?}"
    );
}

/// Guards against passing the response to one request on to the caller of another.
#[tokio::test]
async fn a_response_to_another_request_reaches_no_caller() {
    let (_fixture, runners, relay) = start_fixture().await;
    control_all(&runners, json!({"crosses_answers": true})).await;
    let response = relay.response("POST", "/once/a", "n-4", &[], "x").await;
    assert_eq!(response.status, 502);
    let response = relay.response("GET", "/safe/a", "s-9", &[], "").await;
    assert_eq!(response.status, 502);
}

/// Guards against a truncated response that looks complete.
#[tokio::test]
async fn a_truncated_response_is_not_passed_on_as_complete() {
    let (_fixture, runners, relay) = start_fixture().await;
    control_all(&runners, json!({"cuts_bodies": true})).await;
    let response = relay.response("POST", "/once/a", "n-5", &[], "x").await;
    assert_eq!(response.status, 502);
    assert_eq!(total_run_count(&runners, "n-5").await, 1);
}

/// Guards against a request that outlasts the timeout of its route.
#[tokio::test]
async fn an_unresponsive_runner_leads_to_504_at_the_route_timeout() {
    let (fixture, runners, relay) = start_fixture().await;
    fixture
        .write_config(2, |config| config["routes"][1]["timeout_ms"] = 700.into())
        .await;
    control_all(&runners, json!({"is_mute": true})).await;
    harness::wait_until(TIMEOUT, "the new timeout takes effect", async || {
        let response = relay.response("POST", "/once/a", "n-6", &[], "x").await;
        response.status == 504
    })
    .await;
}

/// Guards against callers that set internal headers: they must not reach a runner.
#[tokio::test]
async fn a_caller_cannot_set_internal_headers() {
    let (_fixture, runners, relay) = start_fixture().await;
    let headers = [
        ("x-acaciabank-kv-source", "10.0.0.1:80/x"),
        ("x-acaciabank-expect-instance", "another"),
        ("x-acaciabank-stage", "prefill"),
    ];
    let response = relay
        .response("POST", "/once/a", "n-7", &headers, "x")
        .await;
    assert_eq!(response.status, 200);
    for runner in &runners {
        let entries = runner.journal().await;
        let ran = entries.iter().find(|entry| entry["ran"] == "n-7");
        assert!(ran.is_none_or(|entry| entry["source"] == ""), "{ran:?}");
    }
}

/// Guards against requests that are forwarded without a matching route or with an oversized body.
#[tokio::test]
async fn a_path_without_a_route_gets_404_and_a_large_body_413() {
    let (_fixture, _runners, relay) = start_fixture().await;
    let response = relay.response("GET", "/unknown/a", "u-1", &[], "").await;
    assert_eq!(response.status, 404);
    let body = "x".repeat(1_000_001);
    let response = relay.send("POST", "/once/a", "u-2", &[], &body).await;
    assert!(response.is_err() || response.is_ok_and(|response| response.status == 413));
}
