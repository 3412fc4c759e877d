//! Every kind of send to a target.

use std::time::Duration;

use acaciabank_testbed::harness;
use serde_json::json;

use super::{KEY_BEGIN, NORTH_KEY, TEAM_HEADER, add_teams, log_lines, received_in, values};
use crate::fixture::{EmulatorProcess, Fixture, Relay, TIMEOUT, event_ids};

/// Events of a stream that is taken over while it runs.
const EVENT_COUNT: u32 = 40;
/// Time between two events of a stream.
const WORK_MS: &str = "50";
/// Beginning of the path with which a request ends a plain runner.
const CRASH_PATH: &str = "/safe/crash";

struct SendFixture {
    fixture: Fixture,
    plain: Vec<EmulatorProcess>,
    prefill: Vec<EmulatorProcess>,
    decode: Vec<EmulatorProcess>,
    relay: Relay,
}

impl SendFixture {
    /// Starts two plain runners, three prefill engines and two decode engines, and a relay.
    async fn start() -> Self {
        let mut fixture = Fixture::start().await;
        fixture.runner_arguments = ["--record-headers", "--work-ms", WORK_MS]
            .into_iter()
            .chain(["--crash-path", CRASH_PATH])
            .map(str::to_owned)
            .collect();
        fixture.write_config(1, |_| {}).await;
        let plain = fixture.start_runners(&["r1", "r2"]).await;
        let prefill = fixture.start_runners(&["p-1", "p-2", "p-3"]).await;
        let decode = fixture.start_runners(&["d-1", "d-2"]).await;
        let relay = fixture.start_relay(&[]).await;
        relay.wait_serving("/safe/a").await;
        relay.wait_streaming("/resumable/a", 2).await;
        fixture.write_config(2, add_teams).await;
        super::wait_status(&relay, None, 401).await;
        Self {
            fixture,
            plain,
            prefill,
            decode,
            relay,
        }
    }

    fn runners(&self) -> impl Iterator<Item = &EmulatorProcess> {
        self.plain.iter().chain(&self.prefill).chain(&self.decode)
    }

    /// Sends a request with a key and a forged team; returns its status.
    async fn send(&self, path: &str, attempt: &str) -> u16 {
        let credentials = format!("Bearer {NORTH_KEY}");
        let headers = [
            ("authorization", credentials.as_str()),
            (TEAM_HEADER, "forged"),
        ];
        let sent = self.relay.send("GET", path, attempt, &headers, "").await;
        sent.expect("a response").status
    }

    /// Requests a stream with a key and a forged team; returns the ids of its events.
    async fn stream(&self, attempt: &str, events: u32) -> Vec<u64> {
        let credentials = format!("Bearer {NORTH_KEY}");
        let tokens = format!("2000,{events}");
        let prefix = format!("aa:1500,{attempt}:500");
        let headers = [
            ("authorization", credentials.as_str()),
            (TEAM_HEADER, "forged"),
            ("x-acaciabank-model", "m"),
            ("x-acaciabank-token-count", tokens.as_str()),
            ("x-acaciabank-prompt-prefix", prefix.as_str()),
        ];
        let sent = self
            .relay
            .send("POST", "/resumable/a", attempt, &headers, "prompt");
        event_ids(&sent.await.expect("a stream").body)
    }

    /// Returns the headers of an attempt by the id of the runner that received it.
    fn received(&self, attempt: &str) -> Vec<(&str, Vec<(String, String)>)> {
        let mut all = Vec::new();
        for runner in self.runners() {
            let journal = runner.full_journal(&self.fixture.launcher);
            let received = received_in(&journal, attempt).into_iter();
            all.extend(received.map(|headers| (runner.process.name(), headers)));
        }
        all
    }

    /// Waits until a decode engine runs an attempt.
    async fn wait_running(&self, attempt: &str) -> &EmulatorProcess {
        let mut running = None;
        harness::wait_until(TIMEOUT, "an engine runs the stream", async || {
            for engine in &self.decode {
                if engine.run_count(attempt).await > 0 {
                    running = Some(engine);
                }
            }
            running.is_some()
        })
        .await;
        running.expect("an engine")
    }
}

/// Whether one of the headers has a value.
fn has(headers: &[(String, String)], name: &str) -> bool {
    !values(headers, name).is_empty()
}

/// Guards against a kind of send that passes the caller's key or a forged team on, or lacks the
/// team: a first attempt, a retry, a trial of a crash suspect, a prefill, a transfer of its KV
/// cache, a resumption and a takeover.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_learns_the_team_and_never_the_key() {
    let fixture = SendFixture::start().await;

    let loses_answers = json!({"loses_answers": true});
    fixture.plain[0].control(loses_answers).await;
    for number in 0..6 {
        assert_eq!(
            fixture.send("/safe/a", &format!("plain-{number}")).await,
            200
        );
    }
    fixture.plain[0]
        .control(json!({"loses_answers": false}))
        .await;
    let sends = (0..6).map(|number| fixture.received(&format!("plain-{number}")).len());
    assert!(sends.max() == Some(2), "no request was retried");

    let expected: Vec<u64> = (0..4).collect();
    assert_eq!(fixture.stream("prefilled", 4).await, expected);
    let sends = fixture.received("prefilled");
    let is_sent = |name| sends.iter().any(|(_, headers)| has(headers, name));
    assert!(is_sent("x-acaciabank-stage"), "no prefill: {sends:?}");
    assert!(is_sent("x-acaciabank-kv-source"), "no transfer: {sends:?}");

    for engine in &fixture.decode {
        engine.control(json!({"breaks_after": 3})).await;
    }
    assert_eq!(fixture.stream("resumed", 4).await, expected);
    for engine in &fixture.decode {
        engine.control(json!({"breaks_after": null})).await;
    }
    let sends = fixture.received("resumed");
    let is_resumed = sends
        .iter()
        .any(|(_, headers)| has(headers, "last-event-id"));
    assert!(is_resumed, "no resumption: {sends:?}");

    let pause = async {
        let silent = fixture.wait_running("over").await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        silent.process.pause();
        silent
    };
    let (events, silent) = tokio::join!(fixture.stream("over", EVENT_COUNT), pause);
    silent.process.resume();
    assert_eq!(events, (0..u64::from(EVENT_COUNT)).collect::<Vec<_>>());
    let sends = fixture.received("over");
    let is_other = |(name, headers): &(&str, Vec<_>)| {
        *name != silent.process.name() && has(headers, "last-event-id")
    };
    assert!(sends.iter().any(is_other), "no takeover: {sends:?}");

    // The runner that gets it ends, and its retry is a trial.
    assert_ne!(fixture.send(CRASH_PATH, "trial").await, 200);
    let tried = log_lines(&fixture.relay, "suspect_tried");
    assert!(tried.iter().any(|line| line["id"] == "trial"), "no trial");
    assert_eq!(fixture.received("trial").len(), 2);

    let plain = (0..6).map(|number| format!("plain-{number}"));
    let others = ["prefilled", "resumed", "over", "trial"].map(str::to_owned);
    for attempt in plain.chain(others) {
        for (name, headers) in fixture.received(&attempt) {
            let teams = values(&headers, TEAM_HEADER);
            assert_eq!(teams, ["north"], "{attempt} at {name}");
        }
    }
    for runner in fixture.runners() {
        for entry in runner.full_journal(&fixture.fixture.launcher) {
            let entry = entry.to_string();
            assert!(!entry.contains(KEY_BEGIN), "{entry}");
        }
    }
}
