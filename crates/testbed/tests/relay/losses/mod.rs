//! Requests that were accepted and must be answered: around silent engines, changes of the
//! configuration, refusals before the body has been read and stops.

mod configurations;
mod connections;
mod early_refusals;
mod silent_engines;
mod takeovers;

use std::time::Duration;

use acaciabank_testbed::{
    harness,
    scripted::{ScriptStep, ScriptedRequest, ScriptedTarget},
};
use tokio::net::TcpStream;

use crate::fixture::{Fixture, Relay, TIMEOUT};

/// Silence of a sound engine; longer than the gap after which a relay looks for another engine.
const SILENCE: Duration = Duration::from_millis(1_700);

/// The head of an event stream that ends with its connection.
fn stream_head(request: &ScriptedRequest) -> String {
    let attempt = request.header("x-acaciabank-attempt-id");
    format!(
        "HTTP/1.1 200 OK\r\nx-acaciabank-attempt-id: {attempt}\r\n\
         x-acaciabank-response-signature: s\r\ncontent-type: text/event-stream\r\n\
         connection: close\r\n\r\n"
    )
}

fn event(number: u64) -> String {
    format!("id: {number}\ndata: token {number}\n\n")
}

/// A stream of five events that ends with its connection, with a pause after the second event.
fn paused_stream(request: &ScriptedRequest, pause: ScriptStep) -> Vec<ScriptStep> {
    let start = stream_head(request) + &event(0) + &event(1);
    let rest: String = (2..5).map(event).collect();
    vec![
        ScriptStep::Send(start.into_bytes()),
        pause,
        ScriptStep::Send(rest.into_bytes()),
        ScriptStep::Close,
    ]
}

/// Starts a scripted engine and registers it in the store.
async fn start_engine<Script>(fixture: &Fixture, id: &str, script: Script) -> ScriptedTarget
where
    Script: Fn(&ScriptedRequest) -> Vec<ScriptStep> + Send + Sync + 'static,
{
    let address = fixture.launcher.next_address().expect("address");
    let target = ScriptedTarget::start(address, move |request| {
        match request.header("x-acaciabank-attempt-id") {
            "" => vec![ScriptStep::Close],
            _ => script(request),
        }
    });
    let target = target.await.expect("a target");
    let stage = Some("decode");
    fixture.register_target(id, "models", address, stage).await;
    target
}

/// Starts a store and a relay without targets.
async fn start_relay() -> (Fixture, Relay) {
    let mut fixture = Fixture::start().await;
    fixture.write_config(1, |_| {}).await;
    let relay = fixture.start_relay(&[]).await;
    wait_listening(&relay).await;
    (fixture, relay)
}

async fn wait_listening(relay: &Relay) {
    harness::wait_until(TIMEOUT, "the relay listens", async || {
        TcpStream::connect(relay.caller_address).await.is_ok()
    })
    .await;
}

/// Waits until the relay has logged an event.
async fn wait_logged(relay: &Relay, event: &str) {
    harness::wait_until(TIMEOUT, event, async || {
        let text = std::fs::read_to_string(relay.process.output_file()).unwrap_or_default();
        text.contains(&format!("\"event\":\"{event}\""))
    })
    .await;
}

/// Waits until the relay applies a version of the configuration.
async fn wait_config(relay: &Relay, version: u64) {
    harness::wait_until(TIMEOUT, "the configuration is in force", async || {
        let text = std::fs::read_to_string(relay.process.output_file()).unwrap_or_default();
        let mut lines = text.lines().filter(|line| line.contains("config_in_force"));
        lines.any(|line| line.contains(&format!("\"version\":{version}")))
    })
    .await;
}
