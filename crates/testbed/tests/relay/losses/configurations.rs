//! Requests beside changes of the configuration.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    time::{Duration, Instant},
};

use acaciabank_testbed::{
    harness,
    scripted::{ScriptStep, ScriptedRequest},
};
use serde_json::json;

use super::{SILENCE, paused_stream, start_engine, wait_config};
use crate::fixture::{TIMEOUT, event_ids, start_serving};

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
