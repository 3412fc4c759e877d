//! Keys must not show in logs, metrics and errors.

use std::time::Duration;

use acaciabank_testbed::harness;
use serde_json::{Value, json};

use super::{
    KEY_BEGIN, NORTH_KEY, SOUTH_KEY, UNKNOWN_KEY, add_teams, log_lines, log_text, metrics_text,
    send, start, status,
};
use crate::fixture::TIMEOUT;

/// Returns the value of a counter of the metrics; zero if it is missing.
fn counter(metrics: &str, series: &str) -> u64 {
    let lines = metrics.lines();
    let value = lines.filter_map(|line| line.strip_prefix(series)).next();
    value.map_or(0, |value| value.trim().parse().expect("a number"))
}

/// Guards against requests that an operator cannot attribute to a team, and against metrics or log
/// lines that contain a key.
#[tokio::test]
async fn requests_are_counted_and_logged_by_team_and_not_by_key() {
    let (_fixture, runner, relay) = start(add_teams).await;
    let before = metrics_text(&relay).await;
    let series =
        |kind: &str, team: &str| format!("acaciabank_team_{kind}_total{{team=\"{team}\"}}");
    for number in 0..3 {
        assert_eq!(
            status(&relay, &format!("ok-{number}"), Some(SOUTH_KEY)).await,
            200
        );
    }
    runner.control(json!({"refuses": true})).await;
    assert_eq!(status(&relay, "refused", Some(SOUTH_KEY)).await, 503);
    assert_eq!(status(&relay, "unknown", Some(UNKNOWN_KEY)).await, 401);
    assert_eq!(status(&relay, "none", None).await, 401);
    let after = metrics_text(&relay).await;
    let difference = |kind: &str, team: &str| {
        let series = series(kind, team);
        counter(&after, &series) - counter(&before, &series)
    };
    assert_eq!(difference("requests", "south"), 4);
    assert_eq!(difference("responses", "south"), 3);
    assert_eq!(difference("refusals", "south"), 1);
    assert_eq!(difference("requests", "north"), 0);
    for (attempt, event, team) in [
        ("ok-0", "answered", "south"),
        ("refused", "refused", "south"),
        ("unknown", "refused", ""),
    ] {
        let log = relay.request_log(attempt, event).await;
        let line = log.iter().find(|line| line["event"] == event);
        assert_eq!(line.expect("a line")["team"], team, "{attempt}");
    }
    let causes = ["unknown_key", "no_key"];
    for cause in causes {
        let series = format!("acaciabank_refusals_total{{reason=\"{cause}\"");
        assert!(after.contains(&series), "{cause}");
    }
    assert!(!after.contains(KEY_BEGIN));
    assert!(!log_text(&relay).contains(KEY_BEGIN));
}

/// Guards against a log line about an unreadable configuration that quotes a key: the parser's
/// messages contain the value that it did not expect.
#[tokio::test]
async fn an_unreadable_configuration_shows_no_key() {
    let (fixture, _runner, relay) = start(add_teams).await;
    let faults: [fn(&mut Value); 6] = [
        |config| config["tenants"][0]["api_keys"] = NORTH_KEY.into(),
        |config| config["tenants"][0]["priority"] = NORTH_KEY.into(),
        |config| config["tenants"] = json!({"north": NORTH_KEY}),
        |config| config["routes"][0]["kind"] = NORTH_KEY.into(),
        |config| config["tenants"][1]["name"] = format!("{SOUTH_KEY}\n").into(),
        |config| config["limits"] = NORTH_KEY.into(),
    ];
    for (index, fault) in faults.into_iter().enumerate() {
        fixture
            .write_config(10 + index as u64, |config| {
                add_teams(config);
                fault(config);
            })
            .await;
        harness::wait_until(TIMEOUT, "the fault is logged", async || {
            log_lines(&relay, "config_unreadable").len() > index
        })
        .await;
        let lines = log_lines(&relay, "config_unreadable");
        let error = lines[index]["error"].as_str().expect("an error");
        let has_place = error.contains("line 1 column") || error.contains("[");
        assert!(has_place, "{error}");
    }
    // The last readable one stays in force.
    assert_eq!(
        send(&relay, "/safe/a", "kept", Some(NORTH_KEY))
            .await
            .status,
        200
    );
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!log_text(&relay).contains(KEY_BEGIN));
}
