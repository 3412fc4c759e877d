//! Targets that are silent for a while, and that no other one replaces.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use acaciabank_testbed::{
    harness,
    scripted::{ScriptStep, ScriptedRequest, ScriptedTarget},
};

use super::{
    SILENCE, event, paused_stream, start_engine, start_relay, stream_head, wait_listening,
    wait_logged,
};
use crate::fixture::{Fixture, Relay, TIMEOUT, event_ids};

/// Requests streams until `is_reached` holds after one that was served.
async fn check_streams(relay: &Relay, is_reached: impl Fn() -> bool) {
    for number in 0..200 {
        let attempt = format!("k-{number}");
        let response = relay.request_stream("/resumable/a", &attempt, 5).await;
        let response = response.expect("a complete response");
        if response.status == 200 {
            assert_eq!(event_ids(&response.body), [0, 1, 2, 3, 4], "{attempt}");
            if is_reached() {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the engines get no streams");
}

/// Guards against a stream that is cut because its engine is silent for a while although no other
/// engine exists.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_the_silence_of_the_only_engine() {
    let (fixture, relay) = start_relay().await;
    let script = |request: &ScriptedRequest| paused_stream(request, ScriptStep::Wait(SILENCE));
    let engine = start_engine(&fixture, "d-1", script).await;
    check_streams(&relay, || engine.request_count() > 0).await;
}

/// Guards against a stream that is cut because its engine is silent for a while and the other
/// engine refuses to go on with it.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_a_silence_while_the_other_engine_refuses() {
    let (fixture, relay) = start_relay().await;
    let script = |request: &ScriptedRequest| paused_stream(request, ScriptStep::Wait(SILENCE));
    let engine = start_engine(&fixture, "d-1", script).await;
    let refuse = |request: &ScriptedRequest| {
        let attempt = request.header("x-acaciabank-attempt-id");
        let response = format!(
            "HTTP/1.1 503 Full\r\nx-acaciabank-attempt-id: {attempt}\r\n\
             x-acaciabank-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
        );
        vec![ScriptStep::Send(response.into_bytes())]
    };
    check_streams(&relay, || engine.request_count() > 0).await;
    let full = start_engine(&fixture, "d-2", refuse).await;
    check_streams(&relay, || full.request_count() > 0).await;
}

/// Guards against a request that is given up because its target is silent for longer than the
/// target latency, although no other target can run it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_survives_the_silence_of_the_only_target() {
    let (fixture, relay) = start_relay().await;
    let address = fixture.launcher.next_address().expect("address");
    let target = ScriptedTarget::start(address, |request| {
        let attempt = request.header("x-acaciabank-attempt-id");
        let response = format!(
            "HTTP/1.1 200 OK\r\nx-acaciabank-attempt-id: {attempt}\r\n\
             x-acaciabank-response-signature: s\r\ncontent-length: 5\r\n\r\nsound"
        );
        // The target latency of the route is two seconds.
        let silence = ScriptStep::Wait(Duration::from_millis(2_500));
        vec![silence, ScriptStep::Send(response.into_bytes())]
    });
    let target = target.await.expect("a target");
    fixture
        .register_target("slow", "ledger", address, None)
        .await;
    wait_logged(&relay, "target_listed").await;
    let response = relay.response("GET", "/safe/a", "slow", &[], "").await;
    assert_eq!((response.status, &response.body[..]), (200, &b"sound"[..]));
    assert_eq!(target.request_count(), 1);
}

/// Guards against a stream that is given up because its only engine is silent before the first
/// event.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_a_silence_before_its_first_event() {
    let (fixture, relay) = start_relay().await;
    let engine = start_engine(&fixture, "d-1", |request| {
        let events: String = (0..5).map(event).collect();
        let silence = ScriptStep::Wait(Duration::from_millis(2_500));
        let text = stream_head(request) + &events;
        vec![
            silence,
            ScriptStep::Send(text.into_bytes()),
            ScriptStep::Close,
        ]
    });
    let engine = engine.await;
    wait_logged(&relay, "target_listed").await;
    let response = relay.request_stream("/resumable/a", "late", 5).await;
    let response = response.expect("a response");
    assert_eq!(response.status, 200);
    assert_eq!(event_ids(&response.body), [0, 1, 2, 3, 4]);
    assert!(engine.request_count() > 0);
}

/// Guards against silent engines that are given up by more requests than retries are left in the
/// budget: those without a retry would be refused although their engine is sound.
#[tokio::test(flavor = "multi_thread")]
async fn no_more_silent_streams_are_given_up_than_retries_are_left() {
    const STREAMS: usize = 8;

    let retries = Arc::new(AtomicU64::new(0));
    let mut fixture = Fixture::start().await;
    // A relay uses four fifths of the budget: two retries for eight requests.
    fixture.retry_budget_ratio = 0.35;
    fixture.write_config(1, |_| {}).await;
    let relay = fixture.start_relay(&[]).await;
    wait_listening(&relay).await;
    let answer = |request: &ScriptedRequest, silence: Duration| {
        let events: String = (0..5).map(event).collect();
        let text = stream_head(request) + &events;
        vec![
            ScriptStep::Wait(silence),
            ScriptStep::Send(text.into_bytes()),
            ScriptStep::Close,
        ]
    };
    let silent = start_engine(&fixture, "d-1", move |request| {
        answer(request, Duration::from_secs(6))
    });
    let silent = silent.await;
    wait_logged(&relay, "target_listed").await;
    let requests = futures::future::join_all((0..STREAMS).map(|number| {
        let relay = &relay;
        async move {
            let attempt = format!("silent-{number}");
            relay.request_stream("/resumable/a", &attempt, 5).await
        }
    }));
    let other = async {
        harness::wait_until(TIMEOUT, "the silent engine runs the streams", async || {
            silent.request_count() == STREAMS as u64
        })
        .await;
        // All streams may be given up when the other engine is listed.
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        let retries = Arc::clone(&retries);
        start_engine(&fixture, "d-2", move |request| {
            retries.fetch_add(1, Ordering::Relaxed);
            answer(request, Duration::ZERO)
        })
        .await
    };
    let (responses, _other) = tokio::join!(requests, other);
    for response in responses {
        let response = response.expect("a response");
        let body = String::from_utf8_lossy(&response.body);
        assert_eq!(response.status, 200, "{body}");
        assert_eq!(event_ids(&response.body), [0, 1, 2, 3, 4]);
    }
    assert_eq!(retries.load(Ordering::Relaxed), 2);
}
