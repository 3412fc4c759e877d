//! Runners and relays that are silent for a while: their running work is neither started again nor
//! given up.

use std::time::Duration;

use acaciabank_testbed::{
    harness,
    scripted::{ScriptStep, ScriptedTarget},
};
use serde_json::json;

use crate::fixture::{EmulatorProcess, Fixture, Relay, TIMEOUT, start_serving};

/// Time for which a runner does not run; shorter than the timeout of the routes.
const SILENCE: Duration = Duration::from_secs(3);

/// Sends requests that may run once only while the runner is paused; `meanwhile` runs before it is
/// resumed. Checks that each gets its response and ran once.
async fn check_requests(
    runner: &EmulatorProcess,
    relay: &Relay,
    meanwhile: impl Future<Output = ()>,
) {
    runner.process.pause();
    let attempts: Vec<String> = (0..6).map(|number| format!("q-{number}")).collect();
    let sent = attempts
        .iter()
        .map(|attempt| relay.send("POST", "/once/a", attempt, &[], "notice"));
    let silence = async {
        tokio::time::sleep(SILENCE / 2).await;
        meanwhile.await;
        tokio::time::sleep(SILENCE / 2).await;
        runner.process.resume();
    };
    let (responses, ()) = tokio::join!(futures::future::join_all(sent), silence);
    for (attempt, response) in attempts.iter().zip(responses) {
        let response = response.expect("a response");
        assert_eq!(response.status, 200, "{attempt}");
        assert_eq!(response.body, format!("{attempt}:notice"));
        assert_eq!(runner.run_count(attempt).await, 1, "{attempt}");
    }
}

/// Guards against a runner whose requests are given up because it does not run for three seconds.
#[tokio::test]
async fn a_runner_that_does_not_run_for_a_while_keeps_its_requests() {
    let (_fixture, runner, relay) = start_serving().await;
    check_requests(&runner, &relay, async {}).await;
}

/// Guards against requests that are cut off, or run again, because the entry of their runner
/// lapses.
#[tokio::test]
async fn a_runner_whose_entry_lapses_keeps_its_requests() {
    let (fixture, runner, relay) = start_serving().await;
    let other = fixture.start_runner("other", "ledger", None).await;
    // Requests go to the silent runner only.
    other.control(json!({"is_draining": true})).await;
    let log = fixture.launcher.folder().join("relay-1.out");
    harness::wait_until(TIMEOUT, "the other runner drains", async || {
        let text = std::fs::read_to_string(&log).unwrap_or_default();
        text.contains(&other.address.to_string())
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let lapse = async {
        fixture.deregister_target("r-1").await;
        other.control(json!({"is_draining": false})).await;
    };
    check_requests(&runner, &relay, lapse).await;
    let attempts = (0..6).map(|number| format!("q-{number}"));
    for attempt in attempts {
        assert_eq!(other.run_count(&attempt).await, 0, "{attempt}");
    }
}

/// Guards against a relay that gives up its requests, or sends them again, after it did not run for
/// two seconds.
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_does_not_run_for_a_while_keeps_its_requests() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let address = fixture.launcher.next_address().expect("address");
    let target = ScriptedTarget::start(address, |request| {
        let attempt = request.header("x-acaciabank-attempt-id");
        let response = format!(
            "HTTP/1.1 200 OK\r\nx-acaciabank-attempt-id: {attempt}\r\n\
             x-acaciabank-response-signature: s\r\ncontent-length: {}\r\n\r\n{attempt}",
            attempt.len()
        );
        let work = ScriptStep::Wait(Duration::from_millis(800));
        vec![work, ScriptStep::Send(response.into_bytes())]
    });
    let target = target.await.expect("a target");
    fixture
        .register_target("slow", "ledger", address, None)
        .await;
    let relay = fixture.start_relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    let before = target.request_count();
    let attempts = ["z-0", "z-1", "z-2"];
    let sent = attempts.map(|attempt| relay.send("POST", "/once/a", attempt, &[], ""));
    let pause = async {
        harness::wait_until(TIMEOUT, "the requests run", async || {
            target.request_count() == before + 3
        })
        .await;
        relay.process.pause();
        tokio::time::sleep(Duration::from_secs(2)).await;
        relay.process.resume();
    };
    let (responses, ()) = tokio::join!(futures::future::join_all(sent), pause);
    for (attempt, response) in attempts.iter().zip(responses) {
        let response = response.expect("a response");
        assert_eq!(
            (response.status, &response.body[..]),
            (200, attempt.as_bytes())
        );
    }
    assert_eq!(target.request_count(), before + 3);
}
