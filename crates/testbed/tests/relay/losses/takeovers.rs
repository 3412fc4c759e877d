//! Streams that another engine takes over from a silent one, or fails to.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use acaciabank_testbed::{
    harness,
    scripted::{ScriptStep, ScriptedRequest},
};

use super::{
    event, paused_stream, start_engine, start_relay, stream_head, wait_config, wait_logged,
};
use crate::fixture::{Fixture, Relay, TIMEOUT, event_ids};

/// Longest time for which two engines may work on the same request.
const MAX_OVERLAP: Duration = Duration::from_millis(400);

/// Fields of a refusal by an engine that has run nothing.
const NOT_RUN_FIELDS: &str = "x-acaciabank-not-executed: 1\r\n";

/// Guards against a silent engine that goes on working on a stream which another engine has taken
/// over, and against a stream that the other engine does not take over at all.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_another_engine_takes_over_leaves_the_silent_one() {
    let (fixture, relay) = start_relay().await;
    let silent = start_engine(&fixture, "d-1", |request| {
        let comment = ScriptStep::Drip(b": wait\n\n".to_vec(), Duration::from_millis(10));
        paused_stream(request, comment)
    });
    let silent = silent.await;
    let stream = async {
        let mut response = None;
        harness::wait_until(TIMEOUT, "the stream is served", async || {
            response = relay.request_stream("/resumable/a", "over", 5).await.ok();
            response
                .as_ref()
                .is_some_and(|response| response.status == 200)
        })
        .await;
        response.expect("a response")
    };
    let takeover = async {
        harness::wait_until(TIMEOUT, "the silent engine runs the stream", async || {
            silent.pouring_connections() > 0
        })
        .await;
        let second = start_engine(&fixture, "d-2", |request| {
            let rest: String = (2..5).map(event).collect();
            let work = ScriptStep::Wait(Duration::from_secs(2));
            let text = stream_head(request) + &rest;
            vec![work, ScriptStep::Send(text.into_bytes()), ScriptStep::Close]
        });
        let second = second.await;
        while second.request_count() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let started = Instant::now();
        while silent.pouring_connections() > 0 && started.elapsed() < TIMEOUT {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        (second, started.elapsed())
    };
    let (response, (_second, overlap)) = tokio::join!(stream, takeover);
    assert_eq!(event_ids(&response.body), [0, 1, 2, 3, 4]);
    assert!(overlap < MAX_OVERLAP, "{overlap:?}");
}

/// A response without events that an engine sends: a refusal that runs nothing, or a failure.
fn empty_response(request: &ScriptedRequest, status: &str, field: &str) -> ScriptStep {
    let attempt = request.header("x-acaciabank-attempt-id");
    let text = format!(
        "HTTP/1.1 {status}\r\nx-acaciabank-attempt-id: {attempt}\r\n\
         x-acaciabank-response-signature: s\r\n{field}content-length: 0\r\n\r\n"
    );
    ScriptStep::Send(text.into_bytes())
}

/// Allows three engines to begin a stream, as version 2 of the configuration.
async fn allow_three_attempts(fixture: &Fixture, relay: &Relay) {
    let adjust = |config: &mut serde_json::Value| {
        config["routes"][2]["max_attempts"] = 3.into();
    };
    fixture.write_config(2, adjust).await;
    wait_config(relay, 2).await;
}

/// Guards against a silent engine that works on a stream beside others for too long because the
/// first engine that takes the stream over fails.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_takeover_does_not_prolong_the_overlap() {
    let (fixture, relay) = start_relay().await;
    allow_three_attempts(&fixture, &relay).await;
    let silent = start_engine(&fixture, "d-1", |request| {
        let comment = ScriptStep::Drip(b": wait\n\n".to_vec(), Duration::from_millis(10));
        paused_stream(request, comment)
    });
    let silent = silent.await;
    wait_logged(&relay, "target_listed").await;
    let takeover = async {
        harness::wait_until(TIMEOUT, "the silent engine runs the stream", async || {
            silent.pouring_connections() > 0
        })
        .await;
        let resumed = Arc::new(AtomicU64::new(0));
        let script = |resumed: Arc<AtomicU64>| {
            move |request: &ScriptedRequest| {
                if resumed.fetch_add(1, Ordering::Relaxed) == 0 {
                    let work = ScriptStep::Wait(Duration::from_millis(220));
                    return vec![work, empty_response(request, "500 Failed", "")];
                }
                let rest: String = (2..5).map(event).collect();
                let work = ScriptStep::Wait(Duration::from_secs(1));
                let text = stream_head(request) + &rest;
                vec![work, ScriptStep::Send(text.into_bytes()), ScriptStep::Close]
            }
        };
        let others = (
            start_engine(&fixture, "d-2", script(Arc::clone(&resumed))).await,
            start_engine(&fixture, "d-3", script(Arc::clone(&resumed))).await,
        );
        while resumed.load(Ordering::Relaxed) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let started = Instant::now();
        while silent.pouring_connections() > 0 && started.elapsed() < TIMEOUT {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        (others, started.elapsed())
    };
    let request = relay.request_stream("/resumable/a", "over", 5);
    let (response, (_others, overlap)) = tokio::join!(request, takeover);
    let response = response.expect("a complete response");
    assert_eq!(event_ids(&response.body), [0, 1, 2, 3, 4]);
    assert!(overlap < MAX_OVERLAP, "{overlap:?}");
}

/// A stream whose engine is silent after the second event, goes on with the third one and breaks
/// half a second later.
fn breaking_stream(request: &ScriptedRequest, silence: Duration) -> Vec<ScriptStep> {
    let head = stream_head(request).replace(
        "connection: close",
        // The end of the connection is not the end of such a response.
        "content-length: 100000",
    );
    let start = head + &event(0) + &event(1);
    vec![
        ScriptStep::Send(start.into_bytes()),
        ScriptStep::Wait(silence),
        ScriptStep::Send(event(2).into_bytes()),
        ScriptStep::Wait(Duration::from_millis(700)),
        ScriptStep::Close,
    ]
}

/// How the engines beside a silent one behave.
struct KeptCase {
    /// Time for which the first engine is silent.
    silence: Duration,
    /// Status and fields of the second engine's first responses.
    response: (&'static str, &'static str),
    /// Number of these responses, after which the second engine goes on with the stream.
    count: u64,
    /// Whether a third engine is added after the second one's first response.
    has_third: bool,
}

/// Requests a stream from an engine that is silent and breaks later. The stream must be complete.
async fn check_break_after_kept(case: KeptCase) {
    let (fixture, relay) = start_relay().await;
    allow_three_attempts(&fixture, &relay).await;
    let silent = start_engine(&fixture, "d-1", move |request| {
        breaking_stream(request, case.silence)
    });
    let silent = silent.await;
    wait_logged(&relay, "target_listed").await;
    let engines = async {
        harness::wait_until(TIMEOUT, "the silent engine runs the stream", async || {
            silent.request_count() > 0
        })
        .await;
        let resumed = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&resumed);
        let second = start_engine(&fixture, "d-2", move |request| {
            let (status, fields) = case.response;
            match count.fetch_add(1, Ordering::Relaxed) < case.count {
                true => vec![empty_response(request, status, fields)],
                false => rest_of_stream(request),
            }
        });
        let second = second.await;
        while resumed.load(Ordering::Relaxed) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        // Later than the end of the takeover, which waits briefly for a further engine.
        tokio::time::sleep(Duration::from_millis(500)).await;
        let third = match case.has_third {
            true => Some(start_engine(&fixture, "d-3", rest_of_stream).await),
            false => None,
        };
        (second, third)
    };
    let request = relay.request_stream("/resumable/a", "kept", 5);
    let (response, _engines) = tokio::join!(request, engines);
    let response = response.expect("a complete response");
    assert_eq!(event_ids(&response.body), [0, 1, 2, 3, 4]);
}

/// The events behind the last one that the caller has.
fn rest_of_stream(request: &ScriptedRequest) -> Vec<ScriptStep> {
    let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let rest: String = (last + 1..5).map(event).collect();
    let text = stream_head(request) + &rest;
    vec![ScriptStep::Send(text.into_bytes()), ScriptStep::Close]
}

/// Guards against a stream that is lost at a break because an earlier failed takeover was counted
/// as two runs.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_a_break_after_a_takeover_that_failed() {
    check_break_after_kept(KeptCase {
        silence: Duration::from_millis(1_900),
        response: ("500 Failed", ""),
        count: 1,
        has_third: true,
    })
    .await;
}

/// Guards against a stream of a silent engine that is lost although no other engine works on it: its
/// route allows a longer search for a further engine than a takeover may last.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_a_failed_takeover_with_a_long_search() {
    let (fixture, relay) = start_relay().await;
    let adjust = |config: &mut serde_json::Value| {
        config["routes"][2]["max_attempts"] = 3.into();
        config["routes"][2]["target_latency_ms"] = 5_000.into();
    };
    fixture.write_config(2, adjust).await;
    wait_config(&relay, 2).await;
    let silent = start_engine(&fixture, "d-1", |request| {
        paused_stream(request, ScriptStep::Wait(Duration::from_millis(1_900)))
    });
    let silent = silent.await;
    wait_logged(&relay, "target_listed").await;
    let engines = async {
        harness::wait_until(TIMEOUT, "the silent engine runs the stream", async || {
            silent.request_count() > 0
        })
        .await;
        start_engine(&fixture, "d-2", |request| {
            vec![empty_response(request, "500 Failed", "")]
        })
        .await
    };
    let request = relay.request_stream("/resumable/a", "kept", 5);
    let (response, _engines) = tokio::join!(request, engines);
    let response = response.expect("a complete response");
    assert_eq!(event_ids(&response.body), [0, 1, 2, 3, 4]);
}

/// Guards against a stream that is lost at a break because the only other engine refused it once
/// while its own engine was silent.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_a_break_after_a_takeover_that_was_refused() {
    check_break_after_kept(KeptCase {
        silence: Duration::from_millis(1_900),
        response: ("503 Full", NOT_RUN_FIELDS),
        count: 1,
        has_third: false,
    })
    .await;
}

/// Guards against a stream that is lost at a break because refused takeovers have used up the calls
/// that it may make.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_a_break_after_many_takeovers_that_were_refused() {
    check_break_after_kept(KeptCase {
        silence: Duration::from_millis(6_500),
        response: ("503 Full", NOT_RUN_FIELDS),
        count: 4,
        has_third: false,
    })
    .await;
}
