//! Peer discovery, and placement of streams by one relay for the others.

use acaciabank_testbed::harness;
use serde_json::json;

use crate::fixture::{Fixture, Relay, TIMEOUT, event_ids};

const EVENT_COUNT: u32 = 4;

/// Waits until every relay lists all of them.
async fn wait_discovered(relays: &[&Relay]) {
    harness::wait_until(TIMEOUT, "every relay lists all relays", async || {
        for relay in relays {
            if relay.listed_addresses().await.len() < relays.len() {
                return false;
            }
        }
        true
    })
    .await;
}

/// Guards against relays that start together, each read the list of relays before the others are in
/// it, and never discover each other. Seven such relays each spent the entire retry budget.
#[tokio::test]
async fn relays_that_start_together_discover_each_other() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let delay = json!({"answer_delay_ms": 700});
    fixture.store.control(delay).await;
    let relays = [
        fixture.start_relay(&[]).await,
        fixture.start_relay(&[]).await,
        fixture.start_relay(&[]).await,
    ];
    wait_discovered(&relays.each_ref()).await;
}

/// Requests a stream from a relay; returns `placed_by` from its log line, or `None` if the request
/// failed.
async fn placement_source(relay: &Relay, attempt: &str) -> Option<String> {
    let response = relay
        .request_stream("/stream/a", attempt, EVENT_COUNT)
        .await
        .ok()?;
    assert_eq!(response.status, 200, "{attempt}");
    assert_eq!(event_ids(&response.body).len(), EVENT_COUNT as usize);
    let log = relay.request_log(attempt, "answered").await;
    let answered = log.iter().find(|line| line["event"] == "answered");
    let source = answered?["placed_by"].as_str();
    source.map(str::to_owned)
}

/// Guards against relays that each place streams from local knowledge alone, and against a paused
/// scheduler that stops the others from placing.
#[tokio::test]
async fn one_relay_places_for_all_until_it_is_replaced() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let _engines = [
        fixture.start_runner("p-1", "models", Some("prefill")).await,
        fixture.start_runner("p-2", "models", Some("prefill")).await,
        fixture.start_runner("d-1", "models", Some("decode")).await,
    ];
    let first = fixture.start_relay(&[]).await;
    let relays = [
        first,
        fixture.start_relay(&[]).await,
        fixture.start_relay(&[]).await,
    ];
    wait_discovered(&relays.each_ref()).await;
    for relay in &relays {
        harness::wait_until(TIMEOUT, "streams are served", async || {
            let response = relay
                .request_stream("/stream/a", "probe", EVENT_COUNT)
                .await;
            response.is_ok_and(|response| response.status == 200)
        })
        .await;
    }
    let mut local_indices = Vec::new();
    harness::wait_until(
        TIMEOUT,
        "two of three relays place through the third",
        async || {
            local_indices = local_placer_indices(&relays.each_ref()).await;
            local_indices.len() == 1
        },
    )
    .await;
    let others: Vec<&Relay> = (0..relays.len())
        .filter(|index| *index != local_indices[0])
        .map(|index| &relays[index])
        .collect();
    let scheduler = &relays[local_indices[0]];
    scheduler.process.pause();
    // No request fails meanwhile: a relay places locally when no scheduler responds.
    harness::wait_until(
        TIMEOUT,
        "one of the other relays places for both",
        async || local_placer_indices(&others).await.len() == 1,
    )
    .await;
    scheduler.process.resume();
    harness::wait_until(TIMEOUT, "the first scheduler places again", async || {
        local_placer_indices(&others).await.is_empty()
    })
    .await;
}

/// Returns the indices of the relays that place streams locally, without asking another relay.
async fn local_placer_indices(relays: &[&Relay]) -> Vec<usize> {
    let mut local_indices = Vec::new();
    for (index, relay) in relays.iter().enumerate() {
        let attempt = format!("s-{}", rand::random::<u32>());
        let source = placement_source(relay, &attempt).await;
        if source.as_deref() == Some("own") {
            local_indices.push(index);
        }
    }
    local_indices
}

/// Guards against repeated prefills of shared prompt parts after a restart of all relays: the
/// engines still have them cached.
#[tokio::test]
async fn a_restarted_relay_reads_the_cached_parts_of_engines() {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let _engines = [
        fixture.start_runner("p-1", "models", Some("prefill")).await,
        fixture.start_runner("p-2", "models", Some("prefill")).await,
        fixture.start_runner("d-1", "models", Some("decode")).await,
    ];
    let mut relay = fixture.start_relay(&[]).await;
    relay.wait_streaming("/stream/a", EVENT_COUNT).await;
    relay.process.restart().expect("the process restarts");
    harness::wait_until(TIMEOUT, "the relay is ready again", async || {
        relay.readiness_status().await == 200
    })
    .await;
    let output = fixture.launcher.folder().join("relay-1.out");
    harness::wait_until(TIMEOUT, "the relay has read the cached parts", async || {
        let text = std::fs::read_to_string(&output).unwrap_or_default();
        text.contains("\"event\":\"holdings_read\"")
    })
    .await;
    let response = relay
        .request_stream("/stream/a", "again", EVENT_COUNT)
        .await;
    assert_eq!(response.expect("a response").status, 200);
    let log = relay.request_log("again", "answered").await;
    let answered = log.iter().find(|line| line["event"] == "answered");
    // The request shares 1,500 of its 2,000 tokens with the previous one.
    let uncached = answered.expect("a log line")["uncached"].as_u64();
    assert!(uncached.is_some_and(|tokens| tokens <= 500), "{log:?}");
}
