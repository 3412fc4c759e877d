//! Which requests are served, and for which team.

use std::time::Duration;

use serde_json::json;

use super::{
    NORTH_KEY, SOUTH_KEY, TEAM_HEADER, UNKNOWN_KEY, add_teams, log_lines, received, send, start,
    start_bounded, status, values, wait_status,
};
use crate::fixture::{Fixture, TIMEOUT};
use acaciabank_testbed::harness;

/// Guards against a request that is forwarded although it has no key of a team, and against a
/// refusal that does not tell the operator why.
#[tokio::test]
async fn a_request_without_a_known_key_is_refused_and_not_forwarded() {
    let (_fixture, runner, relay) = start(add_teams).await;
    let basic = [("authorization", "Basic c2VjcmV0")];
    let two = [
        ("authorization", "Bearer secret-key-north"),
        ("authorization", "Bearer secret-key-south"),
    ];
    let long = format!("Bearer {}", "k".repeat(8_000));
    let long = [("authorization", long.as_str())];
    let unknown = format!("Bearer {UNKNOWN_KEY}");
    let unknown = [("authorization", unknown.as_str())];
    type Headers<'a> = &'a [(&'a str, &'a str)];
    let cases: [(&str, Headers<'_>, &str); 6] = [
        ("none", &[], "no_key"),
        ("basic", &basic, "no_key"),
        ("empty", &[("authorization", "Bearer")], "no_key"),
        ("unknown", &unknown, "unknown_key"),
        ("two", &two, "unknown_key"),
        ("long", &long, "unknown_key"),
    ];
    for (attempt, headers, cause) in cases {
        let response = relay
            .response("POST", "/once/a", attempt, headers, "x")
            .await;
        assert_eq!(response.status, 401, "{attempt}");
        assert_eq!(response.headers["www-authenticate"], "Bearer");
        assert!(!response.headers.contains_key("retry-after"));
        let log = relay.request_log(attempt, "refused").await;
        assert_eq!(log[0]["cause"], cause, "{attempt}");
        assert!(received(&runner, attempt).await.is_empty(), "{attempt}");
    }
    let credentials = format!("bEARER  {NORTH_KEY}");
    let headers = [("authorization", credentials.as_str())];
    let response = relay
        .response("POST", "/once/a", "known", &headers, "x")
        .await;
    assert_eq!(response.status, 200);
}

/// Guards against an anonymous route that asks for a key, accepts an unknown one, or forgets the
/// team of a known one.
#[tokio::test]
async fn an_anonymous_route_serves_requests_without_a_key() {
    let (_fixture, runner, relay) = start(|config| {
        add_teams(config);
        config["routes"][0]["allow_anonymous"] = true.into();
    })
    .await;
    assert_eq!(status(&relay, "a-none", None).await, 200);
    assert_eq!(status(&relay, "a-known", Some(SOUTH_KEY)).await, 200);
    assert_eq!(status(&relay, "a-unknown", Some(UNKNOWN_KEY)).await, 401);
    let headers = [(TEAM_HEADER, "forged"), ("authorization", "Basic c2VjcmV0")];
    let response = relay
        .response("GET", "/safe/a", "a-forged", &headers, "")
        .await;
    assert_eq!(response.status, 200);
    let expected: [(&str, &[&str]); 3] =
        [("a-none", &[]), ("a-known", &["south"]), ("a-forged", &[])];
    for (attempt, teams) in expected {
        let received = received(&runner, attempt).await;
        assert_eq!(values(&received[0], TEAM_HEADER), teams, "{attempt}");
        assert!(values(&received[0], "authorization").is_empty());
    }
    assert!(received(&runner, "a-unknown").await.is_empty());
    assert_eq!(
        send(&relay, "/once/a", "other-route", None).await.status,
        401
    );
}

/// Guards against a change for deployments without teams: the callers' credentials are for the
/// targets there. Nobody but the relay states a team.
#[tokio::test]
async fn without_teams_credentials_are_forwarded() {
    let (_fixture, runner, relay) = start(|config| config["tenants"] = json!([])).await;
    let headers = [(TEAM_HEADER, "forged"), ("authorization", "Bearer own")];
    let response = relay
        .response("GET", "/safe/a", "plain", &headers, "")
        .await;
    assert_eq!(response.status, 200);
    let received = received(&runner, "plain").await;
    assert_eq!(values(&received[0], "authorization"), ["Bearer own"]);
    assert!(values(&received[0], TEAM_HEADER).is_empty());
    assert_eq!(status(&relay, "none", None).await, 200);
}

/// Guards against a key that stays with its former team, and against a key of two teams that goes
/// to the second one.
#[tokio::test]
async fn a_key_belongs_to_the_first_team_that_lists_it() {
    let (fixture, runner, relay) = start(add_teams).await;
    let shared = json!([
        {"name": "empty"},
        {"name": "south", "api_keys": [SOUTH_KEY, NORTH_KEY]},
        {"name": "north", "api_keys": [NORTH_KEY]},
    ]);
    fixture
        .write_config(2, |config| config["tenants"] = shared.clone())
        .await;
    harness::wait_until(TIMEOUT, "the key has moved", async || {
        assert_eq!(status(&relay, "moved", Some(NORTH_KEY)).await, 200);
        let received = received(&runner, "moved").await;
        let last = received.last().expect("a request");
        values(last, TEAM_HEADER) == ["south"]
    })
    .await;
    let warnings = log_lines(&relay, "api_key_shared");
    assert_eq!(warnings.len(), 1, "{warnings:?}");
    assert_eq!(
        (&warnings[0]["team"], &warnings[0]["other"]),
        (&json!("south"), &json!("north"))
    );
}

/// Guards against a request that loses its permission while it waits: the configuration at its
/// arrival counts.
#[tokio::test]
async fn a_request_continues_after_its_key_is_withdrawn() {
    let (fixture, runner, relay) = start(add_teams).await;
    let other = fixture.start_runner("r-2", "ledger", None).await;
    harness::wait_until(TIMEOUT, "both runners get requests", async || {
        assert_eq!(status(&relay, "spread", Some(NORTH_KEY)).await, 200);
        !received(&other, "spread").await.is_empty()
    })
    .await;
    // Both are silent when it arrives, and one answers after the change.
    runner.process.pause();
    other.process.pause();
    let withdraw = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let only_south = json!([{"name": "south", "api_keys": [SOUTH_KEY]}]);
        fixture
            .write_config(2, |config| config["tenants"] = only_south.clone())
            .await;
        // A request that probes for the change could hang at the paused runners.
        harness::wait_until(TIMEOUT, "the change is in force", async || {
            let lines = log_lines(&relay, "config_in_force");
            lines.iter().any(|line| line["version"] == 2)
        })
        .await;
        // The attempt at the first runner is given up for one at the other.
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        runner.process.resume();
        other.process.resume();
    };
    let (response, ()) = tokio::join!(send(&relay, "/safe/a", "late", Some(NORTH_KEY)), withdraw);
    assert_eq!(response.status, 200);
    let mut sends = received(&runner, "late").await;
    sends.extend(received(&other, "late").await);
    let log = relay.request_log("late", "answered").await;
    assert!(log.iter().any(|line| line["sends"] == 2), "{log:?}");
    assert!(!sends.is_empty());
    for headers in &sends {
        assert_eq!(values(headers, TEAM_HEADER), ["north"]);
    }
}

/// Guards against a team's priority that does not reach the engines, and against one that is
/// assumed for a team that has none.
#[tokio::test]
async fn the_priority_of_a_team_replaces_that_of_its_route() {
    let mut fixture = Fixture::start().await;
    fixture.runner_arguments = vec!["--record-headers".to_owned()];
    fixture.write_config(1, add_teams).await;
    let engines = fixture.start_runners(&["p-1", "p-2", "d-1"]).await;
    let relay = fixture.start_relay(&[]).await;
    let mut attempts = Vec::new();
    for (key, urgency) in [(NORTH_KEY, "0"), (SOUTH_KEY, "1")] {
        let credentials = format!("Bearer {key}");
        let headers = [
            ("authorization", credentials.as_str()),
            ("x-acaciabank-model", "m"),
            ("x-acaciabank-token-count", "2000,2"),
            ("x-acaciabank-prompt-prefix", "aa:1500,bb:500"),
        ];
        let attempt = format!("urgency-{urgency}");
        harness::wait_until(TIMEOUT, "the stream is served", async || {
            let sent = relay
                .send("POST", "/stream/a", &attempt, &headers, "")
                .await;
            sent.is_ok_and(|response| response.status == 200)
        })
        .await;
        attempts.push((attempt, urgency));
    }
    for (attempt, urgency) in attempts {
        let mut sends = 0;
        for engine in &engines {
            for headers in received(engine, &attempt).await {
                sends += 1;
                let name = "x-acaciabank-request-urgency";
                assert_eq!(values(&headers, name), [urgency], "{attempt}");
            }
        }
        assert!(sends > 0);
    }
}

/// Guards against a new key that is refused for good, since callers never repeat a request after
/// 401, while the relay cannot know it; known keys are served.
#[tokio::test]
async fn an_unknown_key_is_not_judged_by_a_stale_configuration() {
    let (fixture, _runner, relay) = start_bounded("config_apply_ms = 1500", add_teams).await;
    assert_eq!(status(&relay, "fresh", Some(UNKNOWN_KEY)).await, 401);
    fixture.store.control(json!({"refuses": true})).await;
    wait_status(&relay, Some(UNKNOWN_KEY), 503).await;
    let response = send(&relay, "/safe/a", "stale", Some(UNKNOWN_KEY)).await;
    assert_eq!(response.status, 503);
    assert!(response.headers.contains_key("retry-after"));
    let log = relay.request_log("stale", "refused").await;
    assert_eq!(log[0]["cause"], "config_stale");
    assert_eq!(log[0]["verdict"], "not_run");
    assert_eq!(status(&relay, "known", Some(NORTH_KEY)).await, 200);
    assert_eq!(status(&relay, "none", None).await, 401);
    fixture.store.control(json!({"refuses": false})).await;
    wait_status(&relay, Some(UNKNOWN_KEY), 401).await;
}

/// Guards against a relay that serves keys which may have been withdrawn although its settings
/// forbid it, or goes on refusing them when it reads the store again.
#[tokio::test]
async fn known_keys_are_refused_when_the_settings_say_so() {
    let bounds = "config_apply_ms = 1500\nrevoke_ms = 2000\nrevoke_fail_closed = true";
    let (fixture, _runner, relay) = start_bounded(bounds, add_teams).await;
    fixture.store.control(json!({"refuses": true})).await;
    wait_status(&relay, Some(NORTH_KEY), 503).await;
    assert_eq!(
        send(&relay, "/safe/a", "closed", Some(NORTH_KEY))
            .await
            .status,
        503
    );
    let log = relay.request_log("closed", "refused").await;
    assert_eq!(log[0]["cause"], "config_stale");
    assert_eq!(log[0]["team"], "north");
    fixture.store.control(json!({"refuses": false})).await;
    wait_status(&relay, Some(NORTH_KEY), 200).await;
}
