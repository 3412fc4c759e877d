//! Runners that say in their responses that they leave, or that they want no requests for a while.
//! The store lists them as ready all the time.

use std::time::{Duration, Instant};

use acaciabank_testbed::{
    harness,
    proxy::{FaultKind, LinkFault},
};
use serde_json::{Value, json};

use crate::fixture::{EmulatorProcess, Fixture, Relay, TIMEOUT};

/// Longest time until a mark reaches the other relays: some report intervals.
const SPREAD_TIME: Duration = Duration::from_secs(1);
/// Longest time until a runner is used again after its pause.
const REUSE_TIME: Duration = Duration::from_secs(1);

/// Callers that send at the same time, so that a relay uses all runners that it may use.
const CALLERS: usize = 12;

/// Returns the number of requests that have reached a runner: those run, refused and prefilled.
async fn arrivals(runner: &EmulatorProcess) -> usize {
    count(&runner.journal().await, &["ran", "refused", "prefilled"])
}

async fn refusals(runner: &EmulatorProcess) -> usize {
    count(&runner.journal().await, &["refused"])
}

fn count(entries: &[Value], members: &[&str]) -> usize {
    let is_counted = |entry: &&Value| members.iter().any(|member| !entry[*member].is_null());
    entries.iter().filter(is_counted).count()
}

/// Sends requests one after the other, all of which must succeed.
async fn send_all(relay: &Relay, prefix: &str, requests: usize) {
    for number in 0..requests {
        let attempt = format!("{prefix}-{number}");
        let response = relay.response("GET", "/safe/a", &attempt, &[], "").await;
        assert_eq!(response.status, 200, "{attempt}");
    }
}

/// Sends requests until one has reached a runner.
async fn send_until_reached(relay: &Relay, runner: &EmulatorProcess) {
    let before = arrivals(runner).await;
    harness::wait_until(TIMEOUT, "a request reaches the runner", async || {
        relay.response("GET", "/safe/a", "reach", &[], "").await;
        arrivals(runner).await > before
    })
    .await;
}

async fn start_two_runners(fixture: &Fixture) -> [EmulatorProcess; 2] {
    fixture.write_config(1, |_| {}).await;
    [
        fixture.start_runner("r-1", "ledger", None).await,
        fixture.start_runner("r-2", "ledger", None).await,
    ]
}

/// Starts five prefill engines and two decode engines, whose stages no relay changes.
async fn start_engines(fixture: &Fixture) -> Vec<EmulatorProcess> {
    let ids = ["p-1", "p-2", "p-3", "p-4", "p-5", "d-1", "d-2"];
    let mut engines = Vec::new();
    for id in ids {
        let stage = if id.starts_with('p') {
            "prefill"
        } else {
            "decode"
        };
        engines.push(fixture.start_runner(id, "models", Some(stage)).await);
    }
    engines
}

fn has_line(relay: &Relay, event: &str, target: &str) -> bool {
    line_count(relay, event, target) > 0
}

fn line_count(relay: &Relay, event: &str, target: &str) -> usize {
    let text = std::fs::read_to_string(relay.process.output_file()).unwrap_or_default();
    let lines = text.lines().map(serde_json::from_str::<Value>);
    let lines = lines.flatten();
    lines
        .filter(|line| line["event"] == event && line["target_id"] == target)
        .count()
}

/// Starts a runner again with its id and address while the store refuses all calls, so that relays
/// still have the entry of its former run.
async fn restart_unlisted(fixture: &Fixture, runner: &mut EmulatorProcess) {
    fixture.store.control(json!({"refuses": true})).await;
    runner.process.kill();
    runner.process.restart().expect("the process restarts");
    runner.process.wait_ready().await;
}

/// Lets the store serve calls again and waits until a relay has the entry of the runner's new run.
async fn list_restarted(fixture: &Fixture, relay: &Relay, id: &str) {
    fixture.store.control(json!({"refuses": false})).await;
    harness::wait_until(TIMEOUT, "the new run is listed", async || {
        line_count(relay, "target_listed", id) == 2
    })
    .await;
}

/// Guards against requests to a runner that has said that it leaves while the store still lists it
/// as ready, by the relay that it has said so to.
#[tokio::test]
async fn a_relay_sends_nothing_to_a_runner_that_has_said_that_it_leaves() {
    let mut fixture = Fixture::start().await;
    let runners = start_two_runners(&fixture).await;
    let relay = fixture.start_relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    runners[0].control(json!({"is_leaving": true})).await;
    send_until_reached(&relay, &runners[0]).await;
    let before = arrivals(&runners[0]).await;
    send_all(&relay, "l", 60).await;
    assert_eq!(arrivals(&runners[0]).await, before);
    harness::wait_until(TIMEOUT, "the relay logs the change", async || {
        has_line(&relay, "target_leaving", "r-1")
    })
    .await;
}

/// Guards against a mark that only the relay knows that it was given to, or that a restart forgets
/// while the store is unavailable.
#[tokio::test]
async fn other_and_restarted_relays_know_that_a_runner_leaves() {
    let mut fixture = Fixture::start().await;
    let runners = start_two_runners(&fixture).await;
    let first = fixture.start_relay(&[]).await;
    let mut second = fixture.start_relay(&[&first]).await;
    for relay in [&first, &second] {
        relay.wait_serving("/safe/a").await;
        harness::wait_until(TIMEOUT, "both relays are listed", async || {
            relay.listed_addresses().await.len() == 2
        })
        .await;
    }
    runners[0].control(json!({"is_leaving": true})).await;
    send_until_reached(&first, &runners[0]).await;
    tokio::time::sleep(SPREAD_TIME).await;
    let before = arrivals(&runners[0]).await;
    send_all(&second, "o", 40).await;
    assert_eq!(arrivals(&runners[0]).await, before);
    fixture.store.control(json!({"is_silent": true})).await;
    second.process.restart().expect("the process restarts");
    second.wait_serving("/safe/a").await;
    send_all(&second, "s", 40).await;
    assert_eq!(arrivals(&runners[0]).await, before);
}

/// Guards against a mark that outlives the run of the runner that it belongs to: a new process with
/// the same id at the same address is used.
#[tokio::test]
async fn a_new_process_at_the_address_of_a_runner_that_left_is_used() {
    let mut fixture = Fixture::start().await;
    let mut runners = start_two_runners(&fixture).await;
    let relay = fixture.start_relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    runners[0].control(json!({"is_leaving": true})).await;
    send_until_reached(&relay, &runners[0]).await;
    runners[0].process.kill();
    runners[0].process.restart().expect("the process restarts");
    runners[0].process.wait_ready().await;
    send_until_reached(&relay, &runners[0]).await;
    let before = arrivals(&runners[0]).await;
    send_all(&relay, "n", 40).await;
    assert!(arrivals(&runners[0]).await > before);
}

/// Guards against a signal that is lost because the runner had started again with its id and
/// address before the relay got the entry of its new run.
#[tokio::test]
async fn signals_of_a_new_run_hold_once_it_is_listed() {
    let patches = [
        json!({"is_leaving": true}),
        json!({"refuses": true, "retry_after": "30"}),
    ];
    for patch in patches {
        let mut fixture = Fixture::start().await;
        let mut runners = start_two_runners(&fixture).await;
        let relay = fixture.start_relay(&[]).await;
        relay.wait_serving("/safe/a").await;
        restart_unlisted(&fixture, &mut runners[0]).await;
        runners[0].control(patch.clone()).await;
        send_until_reached(&relay, &runners[0]).await;
        list_restarted(&fixture, &relay, "r-1").await;
        let before = arrivals(&runners[0]).await;
        send_all(&relay, "n", 60).await;
        assert_eq!(arrivals(&runners[0]).await, before, "{patch}");
    }
}

/// Guards against a refusal of a new run that a slow link delivers after the run is listed, and
/// that is taken for one of the former run.
#[tokio::test]
async fn a_late_refusal_of_a_new_run_pauses_it() {
    let mut fixture = Fixture::start_proxied().await;
    let mut runners = start_two_runners(&fixture).await;
    let relay = fixture.start_relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    restart_unlisted(&fixture, &mut runners[0]).await;
    runners[0]
        .control(json!({"refuses": true, "retry_after": "30"}))
        .await;
    set_link_fault(&fixture, "r-1", FaultKind::BlackholeDown).await;
    let calls = async {
        let calls = (0..CALLERS).map(|caller| {
            let relay = &relay;
            async move {
                let attempt = format!("late-{caller}");
                relay.response("POST", "/once/a", &attempt, &[], "").await
            }
        });
        futures::future::join_all(calls).await
    };
    let listing = async {
        harness::wait_until(TIMEOUT, "the new run has refused", async || {
            refusals(&runners[0]).await > 0
        })
        .await;
        list_restarted(&fixture, &relay, "r-1").await;
        assert!(!has_line(&relay, "target_paused", "r-1"));
        // No further refusal states the pause again.
        runners[0].control(json!({"refuses": false})).await;
        set_link_fault(&fixture, "r-1", FaultKind::None).await;
        harness::wait_until(TIMEOUT, "the refusal has arrived", async || {
            has_line(&relay, "target_paused", "r-1")
        })
        .await;
    };
    tokio::join!(calls, listing);
    let before = arrivals(&runners[0]).await;
    send_all(&relay, "n", 60).await;
    assert_eq!(arrivals(&runners[0]).await, before);
}

async fn set_link_fault(fixture: &Fixture, link: &str, kind: FaultKind) {
    let proxy = fixture.proxy.as_ref().expect("a fixture with links");
    let fault = LinkFault {
        kind,
        ..LinkFault::default()
    };
    proxy.set_fault(link, &fault).await.expect("a link");
}

/// Guards against prompts and streams that are placed at engines that leave, and against cutting a
/// stream that such an engine runs.
#[tokio::test]
async fn engines_that_leave_end_their_streams_and_get_no_others() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let engines = start_engines(&fixture).await;
    let first = fixture.start_relay(&[]).await;
    let second = fixture.start_relay(&[&first]).await;
    for relay in [&first, &second] {
        relay.wait_streaming("/stream/a", 2).await;
    }
    let long = first.request_stream("/stream/a", "long", 300);
    let others = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        for engine in [&engines[0], &engines[5]] {
            engine.control(json!({"is_leaving": true})).await;
        }
        for number in 0..40 {
            for (name, relay) in [("first", &first), ("second", &second)] {
                let attempt = format!("{name}-{number}");
                let response = relay.request_stream("/stream/a", &attempt, 2).await;
                assert_eq!(response.expect("a response").status, 200, "{attempt}");
            }
        }
    };
    let (long, ()) = tokio::join!(long, others);
    assert_eq!(
        crate::fixture::event_ids(&long.expect("a response").body).len(),
        300
    );
    for engine in [&engines[0], &engines[5]] {
        let entries = engine.journal().await;
        let of_others = entries.iter().filter(|entry| {
            let attempt = entry["ran"].as_str().or(entry["prefilled"].as_str());
            attempt.is_some_and(|id| id.starts_with("first") || id.starts_with("second"))
        });
        // Each relay may send one request before it has seen the header.
        let arrived: Vec<_> = of_others.collect();
        assert!(arrived.len() <= 2, "{arrived:?}");
    }
}

/// Guards against requests to a runner that has asked for a pause, and against a runner that is
/// not used again after it.
#[tokio::test]
async fn a_runner_that_asks_for_a_pause_gets_nothing_until_it_is_over() {
    let mut fixture = Fixture::start().await;
    let runners = start_two_runners(&fixture).await;
    let relay = fixture.start_relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    runners[0]
        .control(json!({"refuses": true, "retry_after": "3"}))
        .await;
    send_until_reached(&relay, &runners[0]).await;
    let paused_at = Instant::now();
    runners[0].control(json!({"refuses": false})).await;
    let before = arrivals(&runners[0]).await;
    let until = paused_at + Duration::from_millis(2_700);
    let callers = (0..CALLERS).map(|caller| {
        let relay = &relay;
        async move {
            while Instant::now() < until {
                send_all(relay, &format!("p-{caller}"), 1).await;
            }
        }
    });
    futures::future::join_all(callers).await;
    assert_eq!(arrivals(&runners[0]).await, before);
    tokio::time::sleep_until((paused_at + Duration::from_secs(3) + REUSE_TIME).into()).await;
    send_all(&relay, "again", 40).await;
    assert!(arrivals(&runners[0]).await > before);
    for event in ["target_paused", "target_resumed"] {
        harness::wait_until(TIMEOUT, "the relay logs the change", async || {
            has_line(&relay, event, "r-1")
        })
        .await;
    }
}

/// Guards against callers that wait in vain, or are told to return too early or only after the sum
/// of the pauses, while all runners of a service are paused.
#[tokio::test]
async fn callers_return_after_the_first_pause_when_all_runners_pause() {
    let mut fixture = Fixture::start().await;
    let runners = start_two_runners(&fixture).await;
    let relay = fixture.start_relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    for (runner, retry_after) in [(&runners[0], "9"), (&runners[1], "4")] {
        runner
            .control(json!({"refuses": true, "retry_after": retry_after}))
            .await;
    }
    harness::wait_until(TIMEOUT, "both runners have refused", async || {
        relay.response("GET", "/safe/a", "refused", &[], "").await;
        let refusals = [refusals(&runners[0]).await, refusals(&runners[1]).await];
        refusals.iter().all(|count| *count > 0)
    })
    .await;
    let paused_at = Instant::now();
    let before = [arrivals(&runners[0]).await, arrivals(&runners[1]).await];
    for number in 0..10 {
        let sent_at = Instant::now();
        let attempt = format!("w-{number}");
        let response = relay.response("GET", "/safe/a", &attempt, &[], "").await;
        assert_eq!(response.status, 503);
        let retry_after = response.headers.get("retry-after");
        let retry_after = retry_after.and_then(|value| value.to_str().ok());
        let retry_after: f64 = retry_after.expect("a time").parse().expect("seconds");
        let left = 4.0 - paused_at.elapsed().as_secs_f64();
        // The pause may be extended by 0.2 s, and the callers are spread.
        assert!(
            (left - 1.0..left + 1.0).contains(&retry_after),
            "{retry_after} s with {left} s left"
        );
        assert!(sent_at.elapsed() < Duration::from_millis(200));
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    let after = [arrivals(&runners[0]).await, arrivals(&runners[1]).await];
    assert_eq!(after, before);
}

/// Guards against requests that wait for the end of a pause and reach the runner in a bunch.
#[tokio::test]
async fn the_first_requests_after_a_pause_are_spread() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let runner = fixture.start_runner("r-1", "ledger", None).await;
    let relay = fixture.start_relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    runner
        .control(json!({"refuses": true, "retry_after": "2"}))
        .await;
    relay.response("GET", "/safe/a", "refused", &[], "").await;
    runner.control(json!({"refuses": false})).await;
    let started_at = Instant::now();
    let callers = (0..60).map(|caller| {
        let relay = &relay;
        async move {
            for number in 0.. {
                if started_at.elapsed() > Duration::from_secs(3) {
                    return;
                }
                let attempt = format!("b-{caller}-{number}");
                relay.response("GET", "/safe/a", &attempt, &[], "").await;
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    });
    futures::future::join_all(callers).await;
    let entries = runner.journal().await;
    let is_burst = |entry: &&Value| {
        let id = entry["ran"].as_str();
        id.is_some_and(|id| id.starts_with("b-"))
    };
    let times: Vec<u64> = entries
        .iter()
        .filter(is_burst)
        .filter_map(|entry| entry["unix_ms"].as_u64())
        .collect();
    let first_ms = times.first().copied().expect("a request after the pause");
    let in_first_100_ms = times.iter().filter(|ms| **ms < first_ms + 100);
    assert!(in_first_100_ms.count() <= 8, "{times:?}");
}

/// Guards against a scheduler that does not know of a pause and places prompts at the paused
/// engine again and again, and against streams that fail because of it.
#[tokio::test]
async fn placements_at_a_paused_engine_are_overridden() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let engines = start_engines(&fixture).await;
    let first = fixture.start_relay(&[]).await;
    let second = fixture.start_relay(&[&first]).await;
    for relay in [&first, &second] {
        relay.wait_streaming("/stream/a", 2).await;
        harness::wait_until(TIMEOUT, "both relays are listed", async || {
            relay.listed_addresses().await.len() == 2
        })
        .await;
    }
    let paused = &engines[5];
    paused
        .control(json!({"refuses": true, "retry_after": "8"}))
        .await;
    harness::wait_until(TIMEOUT, "the engine has refused both relays", async || {
        stream_together(&first, "first").await;
        stream_together(&second, "second").await;
        let entries = paused.journal().await;
        let refused = entries.iter().filter_map(|entry| entry["refused"].as_str());
        let refused: Vec<_> = refused.collect();
        let is_known_to = |name: &str| refused.iter().any(|id| id.starts_with(name));
        is_known_to("first") && is_known_to("second")
    })
    .await;
    // Without a record of the pause the engine would be used again at once.
    paused.control(json!({"refuses": false})).await;
    let before = arrivals(paused).await;
    let started_at = Instant::now();
    // Longer than the ejection of an engine that refuses.
    while started_at.elapsed() < Duration::from_secs(6) {
        stream_together(&first, "first").await;
        stream_together(&second, "second").await;
    }
    assert_eq!(arrivals(paused).await, before);
}

/// Requests streams at the same time, all of which must succeed.
async fn stream_together(relay: &Relay, name: &str) {
    let callers = (0..CALLERS).map(|caller| async move {
        let attempt = format!("{name}-{caller}");
        let response = relay.request_stream("/resumable/a", &attempt, 2).await;
        assert_eq!(response.expect("a response").status, 200, "{attempt}");
    });
    futures::future::join_all(callers).await;
}

/// Guards against a runner that is ejected for its pauses and stays unused after them.
#[tokio::test]
async fn a_pause_is_no_failure() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let runner = fixture.start_runner("r-1", "ledger", None).await;
    let relay = fixture.start_relay(&[]).await;
    relay.wait_serving("/safe/a").await;
    runner
        .control(json!({"refuses": true, "retry_after": "0.2"}))
        .await;
    let started_at = Instant::now();
    while started_at.elapsed() < Duration::from_millis(4_500) {
        relay.response("GET", "/safe/a", "refused", &[], "").await;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(refusals(&runner).await > 3);
    runner.control(json!({"refuses": false})).await;
    let ended_at = Instant::now();
    relay.wait_serving("/safe/a").await;
    assert!(ended_at.elapsed() < REUSE_TIME, "{:?}", ended_at.elapsed());
}
