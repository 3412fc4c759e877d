//! Refusals and routes of the HTTP listeners.

mod support;

use acaciabank_daemon::telemetry;
use support::{Interface, call, reason};

const KEY: (&str, &str) = ("authorization", "Bearer letmein");

/// Guards against wrong statuses, reasons and verdicts of refusals, and against refusals that are
/// not counted.
#[tokio::test]
async fn refusals_state_reason_verdict_and_request() {
    let metrics = telemetry::install_metrics();
    let entry = support::entry_state();
    let address = support::serve(&entry, Interface::Callers).await;
    let (status, headers, body) = call(address, "GET", "/v1/models", &[], "").await;
    assert_eq!(
        (status.as_u16(), reason(&body).as_str()),
        (503, "not_ready")
    );
    assert!(headers.contains_key("retry-after"));
    entry.state.config.apply(support::config(4));

    let long_value = "x".repeat(9_000);
    let large_body = "x".repeat(1_500);
    let cases = [
        ("GET", "/v1/models", vec![], "", 401, "unauthorized"),
        ("GET", "/nothing", vec![KEY], "", 404, "not_found"),
        (
            "POST",
            "/v1/completions",
            vec![KEY],
            "{",
            400,
            "bad_request",
        ),
        (
            "POST",
            "/v1/completions",
            vec![KEY],
            &large_body,
            413,
            "body_too_large",
        ),
        (
            "GET",
            "/v1/models",
            vec![KEY, ("x-long", &long_value)],
            "",
            431,
            "headers_too_large",
        ),
        (
            "POST",
            "/v1/completions",
            vec![KEY],
            r#"{"model":"m","prompt":"p"}"#,
            404,
            "unknown_model",
        ),
        (
            "GET",
            "/services/other/x",
            vec![KEY],
            "",
            404,
            "unknown_service",
        ),
        (
            "POST",
            "/services/ledger/fees",
            vec![KEY],
            "",
            400,
            "key_required",
        ),
        (
            "POST",
            "/v1/chat/completions",
            vec![KEY, ("x-priority", "urgent")],
            r#"{"model":"draft","messages":[{"role":"user","content":"x"}]}"#,
            403,
            "forbidden",
        ),
    ];
    for (method, path, headers, body, status, name) in cases {
        let response = call(address, method, path, &headers, body.to_owned()).await;
        let text = String::from_utf8_lossy(&response.2);
        assert_eq!(response.0.as_u16(), status, "{method} {path}: {text}");
        assert_eq!(reason(&response.2), name, "{method} {path}");
        assert!(text.contains(r#""verdict":"not_run""#), "{text}");
        assert!(text.contains(r#""request_id":"front-1-"#), "{text}");
        assert_eq!(response.1["x-config-version"], "4");
        let line = format!(r#"acaciabank_refusals_total{{reason="{name}",verdict="not_run"}}"#);
        assert!(metrics.render().contains(&line), "{line}");
    }
    assert!(entry.running.is_empty());
    let count = r#"acaciabank_refusals_total{reason="key_required",verdict="not_run"} 1"#;
    assert!(metrics.render().contains(count));
    let zero = r#"acaciabank_retries_total{reason="stream_resumed"} 0"#;
    assert!(metrics.render().contains(zero));
}

/// Guards against a failed look-up that reports `not_run` for a request of unknown outcome.
#[tokio::test]
async fn failed_lookups_report_may_have_run() {
    let entry = support::entry_state();
    entry.state.config.apply(support::config(1));
    let address = support::serve(&entry, Interface::Callers).await;
    for (id, status) in [("front-1-00", 404), ("front-9-00", 503), ("none", 404)] {
        let path = format!("/v1/requests/{id}");
        let response = call(address, "GET", &path, &[KEY], "").await;
        let text = String::from_utf8_lossy(&response.2);
        assert_eq!(response.0.as_u16(), status, "{id}: {text}");
        assert!(text.contains("may_have_run"), "{text}");
    }
}

/// Guards against a daemon that reports ready without a configuration, and against configuration
/// changes that do not name the version they are based on.
#[tokio::test]
async fn operators_see_readiness_and_must_name_a_base_version() {
    let entry = support::entry_state();
    let address = support::serve(&entry, Interface::Operators).await;
    assert_eq!(call(address, "GET", "/healthz", &[], "").await.0, 200);
    let readiness = call(address, "GET", "/readyz", &[], "").await;
    let text = String::from_utf8_lossy(&readiness.2);
    assert_eq!(readiness.0, 503);
    assert!(text.contains("no configuration learned"), "{text}");

    entry.state.config.apply(support::config(2));
    let status = call(address, "GET", "/admin/status", &[], "").await;
    let status: serde_json::Value = serde_json::from_slice(&status.2).expect("JSON");
    assert_eq!(status["config_version"], 2);
    let body = support::deployment_json().to_string();
    let missing = call(address, "PUT", "/admin/config", &[], body.clone()).await;
    assert_eq!(missing.0, 428);
    let invalid = call(
        address,
        "PUT",
        "/admin/config",
        &[("if-match", "2")],
        r#"{"regions":7}"#,
    )
    .await;
    assert_eq!(invalid.0, 400);
    assert!(String::from_utf8_lossy(&invalid.2).contains("regions"));
    let unknown = call(address, "POST", "/admin/targets/none/drain", &[], "").await;
    assert_eq!(unknown.0, 404);
    let newer = call(address, "GET", "/admin/config/watch?after=1", &[], "").await;
    assert_eq!(newer.1["etag"], "\"2\"");
}
