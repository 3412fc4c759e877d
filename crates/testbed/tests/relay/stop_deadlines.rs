//! What a stopping relay accepts, and what it tells the callers of requests that it cannot finish.

use std::time::{Duration, Instant};

use acaciabank_testbed::harness;
use serde_json::json;
use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::{
    call_outcome::{self, CallOutcome, TestCall},
    fixture::{EmulatorProcess, Fixture, Relay, TIMEOUT},
};

/// Starts an engine with 5 ms between two events, and a relay that has served a stream of it.
async fn start_streaming() -> (Fixture, EmulatorProcess, Relay) {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let engine = fixture.start_runner("d-1", "models", Some("decode")).await;
    let relay = fixture.start_relay(&[]).await;
    for path in ["/stream/a", "/resumable/a"] {
        // The time of a single event would say little about long streams.
        relay.wait_streaming(path, 100).await;
    }
    (fixture, engine, relay)
}

/// Starts a prefill and a decode engine, and a relay that has used both.
async fn start_prefilling() -> (Fixture, [EmulatorProcess; 2], Relay) {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let prefill = fixture.start_runner("p-1", "models", Some("prefill")).await;
    let decode = fixture.start_runner("d-1", "models", Some("decode")).await;
    let relay = fixture.start_relay(&[]).await;
    harness::wait_until(TIMEOUT, "the prefill engine is used", async || {
        let _ = relay.request_stream("/stream/a", "probe", 2).await;
        let entries = prefill.journal().await;
        entries.iter().any(|entry| !entry["prefilled"].is_null())
    })
    .await;
    (fixture, [prefill, decode], relay)
}

/// Sends one call at each moment after SIGTERM; returns the time of SIGTERM and the outcomes.
async fn call_after_stop(
    relay: &Relay,
    calls: impl IntoIterator<Item = (u64, TestCall)>,
) -> (Instant, Vec<CallOutcome>) {
    relay.process.terminate();
    let stopped = Instant::now();
    let address = relay.caller_address;
    let mut tasks = Vec::new();
    for (moment_ms, call) in calls {
        tasks.push(tokio::spawn(async move {
            tokio::time::sleep_until((stopped + Duration::from_millis(moment_ms)).into()).await;
            call_outcome::call(address, &call).await
        }));
    }
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.push(task.await.expect("the caller does not panic"));
    }
    (stopped, outcomes)
}

fn print_timeline(stopped: Instant, outcomes: &[CallOutcome]) {
    for outcome in outcomes {
        println!(
            "{}: sent {:.3} s, ended {:.3} s, status {:?}, {} events, complete: {}",
            outcome.attempt,
            (outcome.sent - stopped).as_secs_f64(),
            (outcome.ended - stopped).as_secs_f64(),
            outcome.status,
            outcome.event_count(),
            outcome.is_complete
        );
    }
}

/// Guards against a stop that accepts streams after the time for which callers may use its address
/// and cuts them at its end.
#[tokio::test]
async fn a_stream_that_is_accepted_late_is_not_cut() {
    let (_fixture, _engine, relay) = start_streaming().await;
    // Keeps the process running until the end of the grace period.
    let address = relay.caller_address;
    let long = TestCall::stream("/stream/a", "running", 3_000);
    let running = tokio::spawn(async move { call_outcome::call(address, &long).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let moments = [
        3_010, 3_060, 3_100, 3_150, 3_200, 3_260, 3_290, 3_500, 4_000,
    ];
    let calls = moments.map(|moment| {
        let attempt = format!("late-{moment}");
        (moment, TestCall::stream("/stream/a", &attempt, 1_000))
    });
    let (stopped, outcomes) = call_after_stop(&relay, calls).await;
    print_timeline(stopped, &outcomes);
    for outcome in &outcomes {
        assert!(outcome.is_answered(), "{outcome:?}");
    }
    let running = running.await.expect("the caller does not panic");
    assert!(running.event_count() > 0, "{running:?}");
}

/// Guards against a stop that accepts a stream which takes longer than the process has left,
/// although the engine's speed and the length of the stream are known.
#[tokio::test]
async fn a_stream_that_is_too_long_for_the_stop_is_refused() {
    let (_fixture, _engine, relay) = start_streaming().await;
    let moments = [1_500, 2_000, 2_500, 2_700, 2_900, 2_980];
    let calls = moments.map(|moment| {
        let attempt = format!("long-{moment}");
        (moment, TestCall::stream("/stream/a", &attempt, 1_000))
    });
    let (stopped, outcomes) = call_after_stop(&relay, calls).await;
    print_timeline(stopped, &outcomes);
    for outcome in &outcomes {
        assert_eq!(outcome.status, Some(503), "{outcome:?}");
    }
}

/// Guards against a stop that refuses streams which end in time, by their length or by their
/// deadline.
#[tokio::test]
async fn a_stream_that_fits_into_the_stop_is_served() {
    let (_fixture, _engine, relay) = start_streaming().await;
    let mut calls = vec![(100, TestCall::stream("/stream/a", "fits-long", 800))];
    for moment in [100, 700, 1_300, 1_900, 2_400] {
        let attempt = format!("fits-{moment}");
        calls.push((moment, TestCall::stream("/stream/a", &attempt, 500)));
    }
    for moment in [2_900, 3_100, 3_500, 4_000] {
        let attempt = format!("fits-{moment}");
        let call = TestCall::stream("/stream/a", &attempt, 20);
        let deadline_ms = 2_000;
        calls.push((
            moment,
            TestCall {
                deadline_ms,
                ..call
            },
        ));
    }
    let (stopped, outcomes) = call_after_stop(&relay, calls).await;
    print_timeline(stopped, &outcomes);
    for outcome in &outcomes {
        assert_eq!(outcome.status, Some(200), "{outcome:?}");
        assert!(outcome.is_complete, "{outcome:?}");
    }
}

/// Guards against a stop that closes connections without a response: an engine is at work, and has
/// sent no event when the process ends.
#[tokio::test]
async fn a_request_without_an_event_is_told_that_it_may_have_run() {
    let (_fixture, engine, relay) = start_streaming().await;
    engine.control(json!({"first_event_delay_ms": 9_000})).await;
    let calls = [500, 1_500, 2_500].map(|moment| {
        let attempt = format!("silent-{moment}");
        (moment, TestCall::stream("/stream/a", &attempt, 10))
    });
    let (stopped, outcomes) = call_after_stop(&relay, calls).await;
    print_timeline(stopped, &outcomes);
    for outcome in &outcomes {
        assert!(outcome.is_answered(), "{outcome:?}");
        assert_eq!(outcome.status, Some(502), "{outcome:?}");
    }
}

/// Guards against a stop that closes the connection of a request that waits at the relay, or that
/// says of it that it may have run.
#[tokio::test]
async fn a_request_that_waits_for_its_prefill_is_told_that_it_has_not_run() {
    let (_fixture, [prefill, decode], relay) = start_prefilling().await;
    prefill.control(json!({"prefill_delay_ms": 15_000})).await;
    let calls = [200, 1_000, 2_000].map(|moment| {
        let attempt = format!("waiting-{moment}");
        (moment, TestCall::stream("/stream/a", &attempt, 10))
    });
    let (stopped, outcomes) = call_after_stop(&relay, calls).await;
    print_timeline(stopped, &outcomes);
    for outcome in &outcomes {
        assert!(outcome.is_answered(), "{outcome:?}");
        assert_eq!(outcome.status, Some(503), "{outcome:?}");
        assert_eq!(decode.run_count(&outcome.attempt).await, 0, "{outcome:?}");
    }
}

/// Guards against a stop that counts the time of the prompt twice, and refuses a stream after its
/// own prefill.
#[tokio::test]
async fn a_stream_that_fits_is_served_after_its_prefill() {
    let (_fixture, [prefill, _decode], relay) = start_prefilling().await;
    prefill.control(json!({"prefill_delay_ms": 1_500})).await;
    for round in 0..3 {
        let call = TestCall::stream("/stream/a", &format!("before-{round}"), 100);
        call_outcome::call(relay.caller_address, &call).await;
    }
    let calls = [(300, TestCall::stream("/stream/a", "two-stage", 600))];
    let (stopped, outcomes) = call_after_stop(&relay, calls).await;
    print_timeline(stopped, &outcomes);
    assert_eq!(outcomes[0].status, Some(200), "{:?}", outcomes[0]);
    assert!(outcomes[0].is_complete, "{:?}", outcomes[0]);
}

/// Guards against a stop that closes the connection of a request which a target is still running.
#[tokio::test]
async fn a_plain_request_that_still_runs_is_told_that_it_may_have_run() {
    let (_fixture, runner, relay) = crate::fixture::start_serving().await;
    runner.control(json!({"is_mute": true})).await;
    let before = TestCall::plain("/once/a", "before", 20_000);
    let address = relay.caller_address;
    let running = tokio::spawn(async move { call_outcome::call(address, &before).await });
    harness::wait_until(TIMEOUT, "the request runs", async || {
        runner.run_count("before").await == 1
    })
    .await;
    let (stopped, _) = call_after_stop(&relay, []).await;
    let outcome = running.await.expect("the caller does not panic");
    print_timeline(stopped, std::slice::from_ref(&outcome));
    assert!(outcome.is_answered(), "{outcome:?}");
    assert_eq!(outcome.status, Some(502), "{outcome:?}");
}

/// Guards against a stop that gives up a slow target for another one to which the request is not
/// sent any more.
#[tokio::test]
async fn a_slow_target_is_not_given_up_for_an_attempt_that_the_stop_refuses() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    // Longer than the target latency, after which another target is tried.
    fixture.runner_arguments = vec!["--work-ms".to_owned(), "2400".to_owned()];
    let _runners = [
        fixture.start_runner("r-1", "ledger", None).await,
        fixture.start_runner("r-2", "ledger", None).await,
    ];
    let relay = fixture.start_relay(&[]).await;
    for _ in 0..2 {
        relay.wait_serving("/safe/a").await;
    }
    let calls = [(1_000, TestCall::plain("/safe/a", "slow", 20_000))];
    let (stopped, outcomes) = call_after_stop(&relay, calls).await;
    print_timeline(stopped, &outcomes);
    assert_eq!(outcomes[0].status, Some(200), "{:?}", outcomes[0]);
}

/// Guards against a stream that is cut by the end of the process and that no line of the log names.
#[tokio::test]
async fn a_stream_that_the_end_of_the_process_cuts_is_logged() {
    let (_fixture, _engine, relay) = start_streaming().await;
    let address = relay.caller_address;
    let call = TestCall::stream("/stream/a", "cut", 3_000);
    let running = tokio::spawn(async move { call_outcome::call(address, &call).await });
    // The stream has begun.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (stopped, _) = call_after_stop(&relay, []).await;
    let outcome = running.await.expect("the caller does not panic");
    print_timeline(stopped, std::slice::from_ref(&outcome));
    assert!(outcome.event_count() > 0 && !outcome.is_complete);
    let lines = relay.request_log("cut", "interrupted").await;
    let line = lines.last().expect("a line");
    assert_eq!(
        (&line["route"], &line["target_id"]),
        (&json!("stream"), &json!("d-1"))
    );
    let last_event = line["last_event"].as_u64().expect("a number");
    assert!(last_event as usize + 1 >= outcome.event_count(), "{line}");
    assert!(line["elapsed_ms"].as_u64() >= Some(7_000), "{line}");
}

/// Guards against a process that has nothing else to do, ends its requests early, and refuses or
/// cuts a stream that arrives just then: its deadline is long before the end of the grace period.
#[tokio::test]
async fn a_stream_that_arrives_at_an_early_end_is_served() {
    let (mut fixture, _engine, first) = start_streaming().await;
    let mut relays = vec![first];
    for _ in 1..8 {
        let relay = fixture.start_relay(&[&relays[0]]).await;
        relay.wait_streaming("/stream/a", 2).await;
        relays.push(relay);
    }
    let stopped = Instant::now();
    let mut tasks = Vec::new();
    for (number, relay) in relays.iter().enumerate() {
        relay.process.terminate();
        let address = relay.caller_address;
        let call = TestCall {
            deadline_ms: 2_000,
            ..TestCall::stream("/stream/a", &format!("early-end-{number}"), 20)
        };
        // Each relay gets one call, so that it has nothing else to do before.
        let rest_ms = 3_130 + 25 * number as u64;
        tasks.push(tokio::spawn(async move {
            // Later than the time for which callers may cache the relay's address.
            tokio::time::sleep_until((stopped + Duration::from_millis(3_050)).into()).await;
            let mut stream = TcpStream::connect(address).await.ok()?;
            let text = call.text();
            let (first, rest) = text.split_at(40);
            stream.write_all(first.as_bytes()).await.ok()?;
            tokio::time::sleep_until((stopped + Duration::from_millis(rest_ms)).into()).await;
            let sent = Instant::now();
            stream.write_all(rest.as_bytes()).await.ok()?;
            let bytes = call_outcome::read_response(&mut stream).await;
            Some(call_outcome::outcome(&call.attempt, sent, &bytes))
        }));
    }
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.extend(task.await.expect("the caller does not panic"));
    }
    print_timeline(stopped, &outcomes);
    // The process may end before the rest of a request arrives.
    outcomes.retain(|outcome| !outcome.text.is_empty());
    assert!(!outcomes.is_empty());
    for outcome in &outcomes {
        assert_eq!(outcome.status, Some(200), "{outcome:?}");
        assert!(outcome.is_complete, "{outcome:?}");
    }
}
