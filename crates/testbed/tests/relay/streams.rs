//! Streams: separate prefill and decode engines, resumption, and streams that cannot be resumed.

use serde_json::json;

use crate::fixture::{EmulatorProcess, Fixture, Relay, event_ids};

const EVENT_COUNT: u32 = 6;

/// A relay with three prefill engines and two decode engines.
struct EngineFixture {
    _fixture: Fixture,
    prefill_engines: [EmulatorProcess; 3],
    decode_engines: [EmulatorProcess; 2],
    relay: Relay,
}

async fn start_fixture() -> EngineFixture {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    // Three of five engines are in the prefill stage, which keeps the planner from changing a
    // stage.
    let prefill_engines = [
        fixture.start_runner("p-1", "models", Some("prefill")).await,
        fixture.start_runner("p-2", "models", Some("prefill")).await,
        fixture.start_runner("p-3", "models", Some("prefill")).await,
    ];
    let decode_engines = [
        fixture.start_runner("d-1", "models", Some("decode")).await,
        fixture.start_runner("d-2", "models", Some("decode")).await,
    ];
    let relay = fixture.start_relay(&[]).await;
    relay.wait_streaming("/stream/a", EVENT_COUNT).await;
    EngineFixture {
        _fixture: fixture,
        prefill_engines,
        decode_engines,
        relay,
    }
}

/// Returns the event ids of a complete stream.
fn all_event_ids() -> Vec<u64> {
    (0..u64::from(EVENT_COUNT)).collect()
}

impl EngineFixture {
    /// Returns how often the engines ran an attempt, in total.
    async fn total_run_count(&self, attempt: &str) -> usize {
        let mut sum = 0;
        for engine in self.prefill_engines.iter().chain(&self.decode_engines) {
            sum += engine.run_count(attempt).await;
        }
        sum
    }

    /// Changes the faults of the decode engines.
    async fn control_decode_engines(&self, faults: serde_json::Value) {
        for engine in &self.decode_engines {
            engine.control(faults.clone()).await;
        }
    }
}

/// Guards against missing events in a stream, and against a stream that runs twice.
#[tokio::test]
async fn a_stream_is_complete_and_runs_once() {
    let fixture = start_fixture().await;
    let response = fixture
        .relay
        .request_stream("/resumable/a", "g-1", EVENT_COUNT)
        .await
        .expect("a stream");
    assert_eq!(event_ids(&response.body), all_event_ids());
    assert_eq!(fixture.total_run_count("g-1").await, 1);
}

/// Guards against missing, duplicate or truncated events when a runner closes the stream within an
/// event.
#[tokio::test]
async fn a_resumable_stream_continues_after_its_last_complete_event() {
    let fixture = start_fixture().await;
    fixture.decode_engines[0]
        .control(json!({"breaks_after": 2}))
        .await;
    for number in 0..6 {
        let attempt = format!("g-2{number}");
        let response = fixture
            .relay
            .request_stream("/resumable/a", &attempt, EVENT_COUNT)
            .await;
        assert_eq!(
            event_ids(&response.expect("a stream").body),
            all_event_ids(),
            "{attempt}"
        );
    }
}

/// Guards against joining the output of two runs of a stream that cannot be resumed, and against an
/// interrupted stream that looks complete.
#[tokio::test]
async fn a_stream_that_cannot_be_resumed_ends_with_an_error() {
    let fixture = start_fixture().await;
    fixture
        .control_decode_engines(json!({"breaks_after": 2}))
        .await;
    let response = fixture
        .relay
        .request_stream("/stream/a", "g-3", EVENT_COUNT)
        .await;
    assert!(response.is_err(), "the stream must not look complete");
    assert_eq!(fixture.total_run_count("g-3").await, 1);
}

/// Guards against repeating the prefill, and against refusing the request, when one decode engine
/// refuses it.
#[tokio::test]
async fn a_kv_cache_is_offered_to_another_engine_after_a_refusal() {
    let fixture = start_fixture().await;
    fixture.decode_engines[0]
        .control(json!({"refuses": true}))
        .await;
    for number in 0..4 {
        let attempt = format!("g-4{number}");
        let response = fixture
            .relay
            .request_stream("/stream/a", &attempt, EVENT_COUNT)
            .await;
        assert_eq!(
            event_ids(&response.expect("a stream").body),
            all_event_ids(),
            "{attempt}"
        );
        let mut prefill_count = 0;
        for engine in &fixture.prefill_engines {
            let entries = engine.journal().await;
            let prefills = entries
                .iter()
                .filter(|entry| entry["prefilled"] == attempt.as_str());
            prefill_count += prefills.count();
        }
        assert!(prefill_count <= 1, "{attempt}");
    }
}

/// Guards against a refusal of a request that ran when engines cannot fetch its KV cache.
#[tokio::test]
async fn failed_cache_fetches_yield_a_complete_stream_or_a_refusal() {
    let fixture = start_fixture().await;
    fixture
        .control_decode_engines(json!({"refuses_fetch": true}))
        .await;
    let response = fixture
        .relay
        .request_stream("/resumable/a", "g-5", EVENT_COUNT)
        .await
        .expect("a response");
    // Either another placement serves the complete stream, or the refusal is correct.
    match response.status {
        200 => assert_eq!(event_ids(&response.body), all_event_ids()),
        status => {
            assert_eq!(status, 503);
            assert_eq!(fixture.total_run_count("g-5").await, 0);
        }
    }
}

/// Guards against repeated prefills of a prompt while no decode engine is reachable. In a benchmark
/// run, such calls exhausted the retry budget of all relays.
#[tokio::test]
async fn a_prompt_is_prefilled_once_while_decode_engines_are_unreachable() {
    let EngineFixture {
        _fixture,
        prefill_engines,
        decode_engines,
        relay,
    } = start_fixture().await;
    drop(decode_engines);
    let response = relay
        .request_stream("/resumable/a", "g-6", EVENT_COUNT)
        .await;
    assert_eq!(response.expect("a response").status, 503);
    let mut prefill_count = 0;
    for engine in &prefill_engines {
        let entries = engine.journal().await;
        prefill_count += entries
            .iter()
            .filter(|entry| entry["prefilled"] == "g-6")
            .count();
    }
    assert!(prefill_count <= 1, "{prefill_count} prefills");
}
