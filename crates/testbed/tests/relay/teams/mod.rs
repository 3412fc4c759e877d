//! API keys and teams: who is served, what targets learn of the caller, and that no key shows.

mod access;
mod confidentiality;
mod revocation;
mod sends;
mod shares;

use std::fs;

use acaciabank_testbed::{harness, web};
use serde_json::{Value, json};

use crate::fixture::{EmulatorProcess, Fixture, Relay, TIMEOUT};

/// Key of the team `north`; all keys begin alike, so that a search finds each of them.
const NORTH_KEY: &str = "secret-key-north";
/// Key of the team `south`.
const SOUTH_KEY: &str = "secret-key-south";
/// Key of no team.
const UNKNOWN_KEY: &str = "secret-key-unknown";
/// Beginning of all keys.
const KEY_BEGIN: &str = "secret-key-";
/// Header by which targets learn the team.
const TEAM_HEADER: &str = "x-acaciabank-tenant";
/// Port on which a relay serves its metrics.
const METRICS_PORT: u16 = 9464;

/// Adds the teams `north` and `south` to a configuration.
fn add_teams(config: &mut Value) {
    config["tenants"] = json!([
        {"name": "north", "api_keys": [NORTH_KEY], "priority": 0},
        {"name": "south", "api_keys": [SOUTH_KEY]},
    ]);
}

/// Starts a store, a runner that records the headers that it gets, and a relay, with version 1 of
/// the configuration, adjusted by `adjust`.
async fn start(adjust: impl Fn(&mut Value)) -> (Fixture, EmulatorProcess, Relay) {
    start_bounded("", adjust).await
}

/// Like [`start`], with further lines in the section `bounds` of the relay's settings.
async fn start_bounded(
    bounds: &str,
    adjust: impl Fn(&mut Value),
) -> (Fixture, EmulatorProcess, Relay) {
    let mut fixture = Fixture::start().await;
    fixture.runner_arguments = vec!["--record-headers".to_owned()];
    bounds.clone_into(&mut fixture.relay_bounds);
    fixture.write_config(1, adjust).await;
    let runner = fixture.start_runner("r-1", "ledger", None).await;
    let relay = fixture.start_relay(&[]).await;
    wait_status(&relay, Some(NORTH_KEY), 200).await;
    (fixture, runner, relay)
}

/// Sends a request with a key, if one is given.
async fn send(
    relay: &Relay,
    path: &str,
    attempt: &str,
    key: Option<&str>,
) -> web::BufferedResponse {
    let credentials = key.map(|key| format!("Bearer {key}"));
    let header = credentials.as_deref().map(|value| ("authorization", value));
    let headers: Vec<_> = header.into_iter().collect();
    relay.response("GET", path, attempt, &headers, "").await
}

/// Returns the status of a request with a key, if one is given.
async fn status(relay: &Relay, attempt: &str, key: Option<&str>) -> u16 {
    send(relay, "/safe/a", attempt, key).await.status
}

/// Waits until a request with a key, if one is given, gets a status.
async fn wait_status(relay: &Relay, key: Option<&str>, expected: u16) {
    let description = format!("{} responds with {expected}", relay.process.name());
    harness::wait_until(TIMEOUT, &description, async || {
        let credentials = format!("Bearer {}", key.unwrap_or_default());
        let headers = [("authorization", credentials.as_str())];
        let headers = if key.is_some() { &headers[..] } else { &[] };
        let sent = relay.send("GET", "/safe/a", "probe", headers, "").await;
        sent.is_ok_and(|response| response.status == expected)
    })
    .await;
}

/// Returns the headers of all requests with an attempt id that a runner received.
async fn received(runner: &EmulatorProcess, attempt: &str) -> Vec<Vec<(String, String)>> {
    received_in(&runner.journal().await, attempt)
}

fn received_in(journal: &[Value], attempt: &str) -> Vec<Vec<(String, String)>> {
    let entries = journal.iter().filter(|entry| entry["received"] == attempt);
    let headers = entries.map(|entry| serde_json::from_value(entry["headers"].clone()));
    headers.map(|headers| headers.expect("headers")).collect()
}

/// Returns all values of a header.
fn values<'a>(headers: &'a [(String, String)], name: &str) -> Vec<&'a str> {
    let fields = headers.iter().filter(|(field, _)| field == name);
    fields.map(|(_, value)| value.as_str()).collect()
}

/// Returns the log of a relay.
fn log_text(relay: &Relay) -> String {
    fs::read_to_string(relay.process.output_file()).unwrap_or_default()
}

/// Returns the lines of a relay's log with an event.
fn log_lines(relay: &Relay, event: &str) -> Vec<Value> {
    let text = log_text(relay);
    let lines = text.lines().map(serde_json::from_str::<Value>);
    lines
        .flatten()
        .filter(|line| line["event"] == event)
        .collect()
}

/// Returns the metrics of a relay.
async fn metrics_text(relay: &Relay) -> String {
    let address = (relay.caller_address.ip(), METRICS_PORT).into();
    let response = web::call(address, "GET", "/metrics", &[], "").await;
    String::from_utf8_lossy(&response.expect("metrics").body).into_owned()
}
