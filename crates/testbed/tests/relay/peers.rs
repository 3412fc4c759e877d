//! Daemons that find each other and place prompts for each other.

use acaciabank_testbed::harness;
use serde_json::json;

use crate::fixture::{Fixture, LIMIT, Relay, event_ids};

const EVENTS: u32 = 4;

async fn wait_acquainted(relays: &[&Relay]) {
    harness::wait_until(LIMIT, "every relay names all", async || {
        for relay in relays {
            if relay.addresses().await.len() < relays.len() {
                return false;
            }
        }
        true
    })
    .await;
}

/// Guards against daemons that start together and each read the list of daemons before the others
/// are in it: seven daemons never heard of each other, and each spent the whole retry budget.
#[tokio::test]
async fn daemons_that_start_together_find_each_other() {
    let mut fixture = Fixture::start().await;
    fixture.configure(1, |_| {}).await;
    let delay = json!({"answer_delay_ms": 700});
    fixture.store.control(delay).await;
    let relays = [
        fixture.relay(&[]).await,
        fixture.relay(&[]).await,
        fixture.relay(&[]).await,
    ];
    wait_acquainted(&relays.each_ref()).await;
}

async fn placed_by(fixture: &Fixture, relay: &Relay, attempt: &str) -> Option<String> {
    let answer = relay.stream("/stream/a", attempt, EVENTS).await.ok()?;
    assert_eq!(answer.status, 200, "{attempt}");
    assert_eq!(event_ids(&answer.body).len(), EVENTS as usize);
    let story = relay.story(&fixture.launcher, attempt);
    let answered = story.iter().find(|line| line["event"] == "answered");
    let placed_by = answered?["placed_by"].as_str();
    placed_by.map(str::to_owned)
}

/// Guards against prompts that every daemon places by what it knows alone, and against a scheduler
/// that is paused or gone and takes the others with it.
#[tokio::test]
async fn one_daemon_places_for_all_and_is_replaced() {
    let mut fixture = Fixture::start().await;
    fixture.configure(1, |_| {}).await;
    let _engines = [
        fixture.runner("p-1", "models", Some("prefill")).await,
        fixture.runner("p-2", "models", Some("prefill")).await,
        fixture.runner("d-1", "models", Some("decode")).await,
    ];
    let first = fixture.relay(&[]).await;
    let relays = [first, fixture.relay(&[]).await, fixture.relay(&[]).await];
    wait_acquainted(&relays.each_ref()).await;
    for relay in &relays {
        harness::wait_until(LIMIT, "streams are served", async || {
            let answer = relay.stream("/stream/a", "probe", EVENTS).await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
    }
    let mut own = Vec::new();
    harness::wait_until(LIMIT, "two of three ask the third", async || {
        own = placing_by_themselves(&fixture, &relays.each_ref()).await;
        own.len() == 1
    })
    .await;
    let others: Vec<&Relay> = (0..relays.len())
        .filter(|position| *position != own[0])
        .map(|position| &relays[position])
        .collect();
    let lost = &relays[own[0]];
    lost.process.pause();
    // Nothing fails meanwhile: a daemon places by itself when nobody answers.
    harness::wait_until(LIMIT, "one of the others places for both", async || {
        placing_by_themselves(&fixture, &others).await.len() == 1
    })
    .await;
    lost.process.resume();
    harness::wait_until(LIMIT, "the first scheduler places again", async || {
        placing_by_themselves(&fixture, &others).await.is_empty()
    })
    .await;
}

/// Positions of the relays that choose the engines of a stream without a scheduler.
async fn placing_by_themselves(fixture: &Fixture, relays: &[&Relay]) -> Vec<usize> {
    let mut own = Vec::new();
    for (position, relay) in relays.iter().enumerate() {
        let attempt = format!("s-{}", rand::random::<u32>());
        let placed = placed_by(fixture, relay, &attempt).await;
        if placed.as_deref() == Some("own") {
            own.push(position);
        }
    }
    own
}

/// Guards against processing all shared parts again after all daemons have started again: the engines
/// still hold them.
#[tokio::test]
async fn a_restarted_daemon_learns_what_engines_hold() {
    let mut fixture = Fixture::start().await;
    fixture.configure(1, |_| {}).await;
    let _engines = [
        fixture.runner("p-1", "models", Some("prefill")).await,
        fixture.runner("p-2", "models", Some("prefill")).await,
        fixture.runner("d-1", "models", Some("decode")).await,
    ];
    let mut relay = fixture.relay(&[]).await;
    harness::wait_until(LIMIT, "a stream is served", async || {
        let answer = relay.stream("/stream/a", "probe", EVENTS).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    relay.process.restart().expect("a restart");
    harness::wait_until(LIMIT, "the relay is ready again", async || {
        relay.readiness().await == 200
    })
    .await;
    let output = fixture.launcher.folder().join("relay-1.out");
    harness::wait_until(LIMIT, "it has asked the engines", async || {
        let text = std::fs::read_to_string(&output).unwrap_or_default();
        text.contains("\"event\":\"holdings_read\"")
    })
    .await;
    let answer = relay.stream("/stream/a", "again", EVENTS).await;
    assert_eq!(answer.expect("an answer").status, 200);
    let story = relay.story(&fixture.launcher, "again");
    let answered = story.iter().find(|line| line["event"] == "answered");
    // Of 2,000 tokens the request shares 1,500 with the one before.
    let uncached = answered.expect("a line")["uncached"].as_u64();
    assert!(uncached.is_some_and(|tokens| tokens <= 500), "{story:?}");
}
