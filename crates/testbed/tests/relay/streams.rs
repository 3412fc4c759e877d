//! Streams: prompts apart from tokens, resumption, and what must not be joined.

use acaciabank_testbed::harness;
use serde_json::json;

use crate::fixture::{Fixture, LIMIT, Member, Relay, event_ids};

const EVENTS: u32 = 6;

struct Engines {
    _fixture: Fixture,
    prefills: [Member; 3],
    decodes: [Member; 2],
    relay: Relay,
}

async fn start() -> Engines {
    let mut fixture = Fixture::start().await;
    fixture.configure(1, |_| {}).await;
    // Three of five engines process prompts, so that no stage changes during a test.
    let prefills = [
        fixture.runner("p-1", "models", Some("prefill")).await,
        fixture.runner("p-2", "models", Some("prefill")).await,
        fixture.runner("p-3", "models", Some("prefill")).await,
    ];
    let decodes = [
        fixture.runner("d-1", "models", Some("decode")).await,
        fixture.runner("d-2", "models", Some("decode")).await,
    ];
    let relay = fixture.relay(&[]).await;
    harness::wait_until(LIMIT, "a stream is served", async || {
        let answer = relay.stream("/stream/a", "probe", EVENTS).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    Engines {
        _fixture: fixture,
        prefills,
        decodes,
        relay,
    }
}

fn whole() -> Vec<u64> {
    (0..u64::from(EVENTS)).collect()
}

impl Engines {
    async fn runs(&self, attempt: &str) -> usize {
        let mut sum = 0;
        for engine in self.prefills.iter().chain(&self.decodes) {
            sum += engine.runs(attempt).await;
        }
        sum
    }

    async fn fault_decodes(&self, patch: serde_json::Value) {
        for decode in &self.decodes {
            decode.control(patch.clone()).await;
        }
    }
}

#[tokio::test]
async fn a_stream_is_whole() {
    let engines = start().await;
    let answer = engines
        .relay
        .stream("/resumable/a", "g-1", EVENTS)
        .await
        .expect("a stream");
    assert_eq!(event_ids(&answer.body), whole());
    assert_eq!(engines.runs("g-1").await, 1);
}

/// Guards against missing, doubled or torn events when a runner breaks off within an event.
#[tokio::test]
async fn a_resumable_stream_goes_on_after_its_last_whole_event() {
    let engines = start().await;
    engines.decodes[0].control(json!({"breaks_after": 2})).await;
    for number in 0..6 {
        let attempt = format!("g-2{number}");
        let answer = engines.relay.stream("/resumable/a", &attempt, EVENTS).await;
        assert_eq!(
            event_ids(&answer.expect("a stream").body),
            whole(),
            "{attempt}"
        );
    }
}

/// Guards against joining two runs of a stream that cannot be resumed, and against a broken stream
/// that looks complete.
#[tokio::test]
async fn a_stream_that_cannot_be_resumed_is_broken_off() {
    let engines = start().await;
    engines.fault_decodes(json!({"breaks_after": 2})).await;
    let answer = engines.relay.stream("/stream/a", "g-3", EVENTS).await;
    assert!(answer.is_err(), "the stream must not look complete");
    assert_eq!(engines.runs("g-3").await, 1);
}

/// Guards against processing a prompt again, and against a refusal, when one engine is full.
#[tokio::test]
async fn a_kv_cache_is_offered_to_another_engine_after_a_refusal() {
    let engines = start().await;
    engines.decodes[0].control(json!({"refuses": true})).await;
    for number in 0..4 {
        let attempt = format!("g-4{number}");
        let answer = engines.relay.stream("/stream/a", &attempt, EVENTS).await;
        assert_eq!(
            event_ids(&answer.expect("a stream").body),
            whole(),
            "{attempt}"
        );
        let mut prefills = 0;
        for engine in &engines.prefills {
            let entries = engine.journal().await;
            let here = entries
                .iter()
                .filter(|entry| entry["prefilled"] == attempt.as_str());
            prefills += here.count();
        }
        assert!(prefills <= 1, "{attempt}");
    }
}

/// Guards against a promise of "not run" that hides an unfetchable KV cache.
#[tokio::test]
async fn engines_that_cannot_fetch_still_serve() {
    let engines = start().await;
    engines.fault_decodes(json!({"refuses_fetch": true})).await;
    let answer = engines
        .relay
        .stream("/resumable/a", "g-5", EVENTS)
        .await
        .expect("an answer");
    // Either another plan serves it whole, or the refusal is true.
    match answer.status {
        200 => assert_eq!(event_ids(&answer.body), whole()),
        status => {
            assert_eq!(status, 503);
            assert_eq!(engines.runs("g-5").await, 0);
        }
    }
}

/// Guards against prompts that are processed again and again while no engine can be reached that
/// generates: such calls spent the budget of all daemons on a bench day.
#[tokio::test]
async fn a_prompt_is_kept_while_engines_that_generate_are_unreachable() {
    let Engines {
        _fixture,
        prefills,
        decodes,
        relay,
    } = start().await;
    drop(decodes);
    let answer = relay.stream("/resumable/a", "g-6", EVENTS).await;
    assert_eq!(answer.expect("an answer").status, 503);
    let mut calls = 0;
    for engine in &prefills {
        let entries = engine.journal().await;
        calls += entries
            .iter()
            .filter(|entry| entry["prefilled"] == "g-6")
            .count();
    }
    assert!(calls <= 1, "{calls} prefills");
}
