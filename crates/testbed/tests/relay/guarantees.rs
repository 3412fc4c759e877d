//! At most once, true refusals, whole answers of their own.

use serde_json::json;

use crate::fixture::{Fixture, LIMIT, Member, Relay};
use acaciabank_testbed::harness;

async fn start() -> (Fixture, [Member; 2], Relay) {
    let mut fixture = Fixture::start().await;
    fixture.configure(1, |_| {}).await;
    let runners = [
        fixture.runner("r-1", "ledger", None).await,
        fixture.runner("r-2", "ledger", None).await,
    ];
    let relay = fixture.relay(&[]).await;
    relay.wait_serving("/safe/probe").await;
    let targets = runners.iter().map(|runner| runner.address);
    for target in targets {
        wait_listed(&relay, &fixture, target).await;
    }
    (fixture, runners, relay)
}

/// Waits until the relay has logged that it knows a target.
async fn wait_listed(relay: &Relay, fixture: &Fixture, target: std::net::SocketAddr) {
    let path = fixture
        .launcher
        .folder()
        .join(format!("{}.out", relay.process.name()));
    harness::wait_until(LIMIT, "the target is listed", async || {
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        text.contains(&format!("\"address\":\"{target}\""))
    })
    .await;
}

async fn runs(runners: &[Member], attempt: &str) -> usize {
    let mut sum = 0;
    for runner in runners {
        sum += runner.runs(attempt).await;
    }
    sum
}

async fn fault(runners: &[Member], patch: serde_json::Value) {
    for runner in runners {
        runner.control(patch.clone()).await;
    }
}

#[tokio::test]
async fn answers_are_passed_on_unchanged_and_name_their_runner() {
    let (_fixture, runners, relay) = start().await;
    let answer = relay
        .send("POST", "/once/a?b=c", "n-1", &[], "notice")
        .await
        .expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, "n-1:notice");
    assert!(
        answer
            .headers
            .contains_key("x-acaciabank-response-signature")
    );
    assert_eq!(runs(&runners, "n-1").await, 1);
}

/// Guards against sending a request again that may have run.
#[tokio::test]
async fn a_lost_answer_is_no_reason_to_run_a_non_idempotent_request_again() {
    let (fixture, runners, relay) = start().await;
    fault(&runners, json!({"loses_answers": true})).await;
    let answer = relay
        .send("POST", "/once/a", "n-2", &[], "x")
        .await
        .expect("an answer");
    assert_eq!(
        answer.status, 502,
        "it may have run: 429 and 503 would promise that it has not"
    );
    assert_eq!(runs(&runners, "n-2").await, 1);
    // From the id to the cause by the log alone.
    let story = relay.story(&fixture.launcher, "n-2");
    assert!(
        story
            .iter()
            .any(|line| { line["event"] == "attempt_failed" && line["verdict"] == "may_have_run" }),
        "{story:?}"
    );
    assert!(
        story
            .iter()
            .any(|line| line["event"] == "refused" && line["status"] == 502)
    );
}

/// Guards against giving up an idempotent request that another runner can answer.
#[tokio::test]
async fn an_idempotent_request_is_answered_by_another_runner() {
    let (_fixture, runners, relay) = start().await;
    runners[0].control(json!({"loses_answers": true})).await;
    for number in 0..6 {
        let attempt = format!("s-{number}");
        let answer = relay
            .send("GET", "/safe/a", &attempt, &[], "")
            .await
            .expect("an answer");
        assert_eq!(answer.status, 200, "{attempt}");
    }
}

/// Guards against a promise of "not run" for a request that a runner ran.
#[tokio::test]
async fn a_refusal_is_given_only_when_nothing_ran() {
    let (fixture, runners, relay) = start().await;
    fault(&runners, json!({"refuses": true})).await;
    let answer = relay
        .send("POST", "/once/a", "n-3", &[], "x")
        .await
        .expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(runs(&runners, "n-3").await, 0);
    let story = relay.story(&fixture.launcher, "n-3");
    assert!(
        story.iter().any(|line| line["reason"] == "target_refused"),
        "{story:?}"
    );
}

/// Guards against handing a caller the answer to another request.
#[tokio::test]
async fn an_answer_to_another_request_reaches_no_caller() {
    let (_fixture, runners, relay) = start().await;
    fault(&runners, json!({"crosses_answers": true})).await;
    let answer = relay
        .send("POST", "/once/a", "n-4", &[], "x")
        .await
        .expect("an answer");
    assert_eq!(answer.status, 502);
    let answer = relay
        .send("GET", "/safe/a", "s-9", &[], "")
        .await
        .expect("an answer");
    assert_eq!(answer.status, 502);
}

/// Guards against an answer that ends early and looks complete.
#[tokio::test]
async fn a_cut_answer_is_not_passed_on_as_whole() {
    let (_fixture, runners, relay) = start().await;
    fault(&runners, json!({"cuts_bodies": true})).await;
    let answer = relay
        .send("POST", "/once/a", "n-5", &[], "x")
        .await
        .expect("an answer");
    assert_eq!(answer.status, 502);
    assert_eq!(runs(&runners, "n-5").await, 1);
}

/// Guards against a request that waits longer than its route allows.
#[tokio::test]
async fn a_mute_runner_leads_to_an_answer_at_the_timeout_of_the_route() {
    let (fixture, runners, relay) = start().await;
    fixture
        .configure(2, |config| config["routes"][1]["timeout_ms"] = 700.into())
        .await;
    fault(&runners, json!({"is_mute": true})).await;
    harness::wait_until(LIMIT, "the new timeout is in force", async || {
        let answer = relay
            .send("POST", "/once/a", "n-6", &[], "x")
            .await
            .expect("an answer");
        answer.status == 504
    })
    .await;
}

/// Guards against headers that only the system may set.
#[tokio::test]
async fn a_caller_cannot_set_the_headers_of_the_system() {
    let (_fixture, runners, relay) = start().await;
    let headers = [
        ("x-acaciabank-kv-source", "10.0.0.1:80/x"),
        ("x-acaciabank-expect-instance", "another"),
        ("x-acaciabank-stage", "prefill"),
    ];
    let answer = relay
        .send("POST", "/once/a", "n-7", &headers, "x")
        .await
        .expect("an answer");
    assert_eq!(answer.status, 200);
    for runner in &runners {
        let entries = runner.journal().await;
        let ran = entries.iter().find(|entry| entry["ran"] == "n-7");
        assert!(ran.is_none_or(|entry| entry["source"] == ""), "{ran:?}");
    }
}

#[tokio::test]
async fn a_path_without_a_route_gets_404_and_a_large_body_413() {
    let (_fixture, _runners, relay) = start().await;
    let answer = relay
        .send("GET", "/unknown/a", "u-1", &[], "")
        .await
        .expect("an answer");
    assert_eq!(answer.status, 404);
    let body = "x".repeat(1_000_001);
    let answer = relay.send("POST", "/once/a", "u-2", &[], &body).await;
    assert!(answer.is_err() || answer.is_ok_and(|answer| answer.status == 413));
}
