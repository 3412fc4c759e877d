//! The processes of the soak of stops, and how a schedule acts on them.

use std::{
    collections::HashMap,
    fs,
    time::{Duration, Instant},
};

use acaciabank_testbed::harness;
use serde_json::{Value, json};

use super::{
    callers::RelayAddresses,
    checks::StopOutcome,
    schedule::{PlannedStop, RUNNER_IDS, SideFault, StopFault, StopSchedule},
};
use crate::fixture::{EmulatorProcess, Fixture, Relay, TIMEOUT};

/// Longest wait for the end of a process after SIGTERM, beyond its grace period.
const EXIT_TIMEOUT: Duration = Duration::from_secs(12);
/// Interval at which the end of a process is looked for.
const EXIT_POLL: Duration = Duration::from_millis(2);
/// Time for which a second process on the same settings may run.
const SECOND_TIME: Duration = Duration::from_millis(1_000);
/// Concurrent streams and cached tokens that a configuration allows an engine: no queues form.
const ENGINE_SLOTS: u32 = 512;
const ENGINE_TOKENS: u64 = 10_000_000;

/// The relays and runners of a run. The last relay has a store of its own without a configuration.
pub(super) struct StopFixture {
    pub(super) fixture: Fixture,
    /// Keeps the store of the last relay running.
    _empty: Fixture,
    pub(super) runners: Vec<EmulatorProcess>,
    pub(super) relays: Vec<StoppingRelay>,
    config_version: u64,
}

/// A relay with what its further processes are started from.
pub(super) struct StoppingRelay {
    pub(super) relay: Relay,
    launcher: harness::Launcher,
    is_configured: bool,
}

impl StopFixture {
    pub(super) async fn start(relay_count: usize) -> Self {
        let mut fixture = Fixture::start().await;
        write_config(&fixture, 1, 15_000, true).await;
        let runners = fixture.start_runners(&RUNNER_IDS).await;
        let relays = fixture.start_relays(relay_count).await;
        let mut empty = Fixture::start().await;
        let unconfigured = empty.start_relay(&[]).await;
        harness::wait_until(TIMEOUT, "the relay responds", async || {
            let response = unconfigured.send("GET", "/safe/a", "probe", &[], "").await;
            response.is_ok()
        })
        .await;
        let stopping = |relay, fixture: &Fixture, is_configured| StoppingRelay {
            relay,
            launcher: fixture.launcher.clone(),
            is_configured,
        };
        let mut relays: Vec<_> = relays
            .into_iter()
            .map(|relay| stopping(relay, &fixture, true))
            .collect();
        relays.push(stopping(unconfigured, &empty, false));
        Self {
            fixture,
            _empty: empty,
            runners,
            relays,
            config_version: 1,
        }
    }

    pub(super) fn addresses(&self) -> RelayAddresses {
        let relays = self.relays.iter().map(|stopping| &stopping.relay);
        let listed = relays.clone().take(self.relays.len() - 1);
        RelayAddresses {
            callers: relays.map(|relay| relay.caller_address).collect(),
            directories: listed.map(|relay| relay.directory_address).collect(),
        }
    }

    /// Plays a schedule and returns how the stops ended.
    pub(super) async fn run_schedule(&mut self, planned: &StopSchedule) -> Vec<StopOutcome> {
        let started = Instant::now();
        let mut stops = Vec::new();
        // The last relay first, so that the indices of the others stay.
        let mut relays: Vec<_> = self.relays.drain(..).map(Some).collect();
        for stop in &planned.stops {
            let relay = relays[stop.relay].take().expect("one stop for each relay");
            stops.push(tokio::spawn(relay.stop(started, stop.clone())));
        }
        for (start, change) in &planned.changes {
            tokio::time::sleep_until((started + *start).into()).await;
            self.apply(change).await;
        }
        let mut outcomes = Vec::new();
        for stop in stops {
            let (relay, outcome) = stop.await.expect("the stop does not panic");
            self.relays.push(relay);
            outcomes.push(outcome);
        }
        outcomes
    }

    async fn apply(&mut self, change: &SideFault) {
        match change {
            SideFault::Runner(runner, patch) => {
                self.runners[*runner].control(patch.clone()).await;
            }
            SideFault::Configure {
                timeout_ms,
                has_extra,
            } => {
                self.config_version += 1;
                write_config(&self.fixture, self.config_version, *timeout_ms, *has_extra).await;
            }
        }
    }

    /// Returns the number of runs of each attempt.
    pub(super) fn run_counts(&self) -> HashMap<String, usize> {
        let mut runs = HashMap::new();
        for runner in &self.runners {
            for entry in runner.full_journal(&self.fixture.launcher) {
                if let Some(attempt) = entry["ran"].as_str() {
                    *runs.entry(attempt.to_owned()).or_default() += 1;
                }
            }
        }
        runs
    }
}

impl StoppingRelay {
    /// Sends SIGTERM and the further signals, waits until the process has ended and starts it again.
    async fn stop(mut self, started: Instant, planned: PlannedStop) -> (Self, StopOutcome) {
        tokio::time::sleep_until((started + planned.start).into()).await;
        let terminated = Instant::now();
        self.relay.process.terminate();
        let mut faults = planned.faults.into_iter().peekable();
        let mut second: Option<(harness::Process, Instant)> = None;
        let (exited, status) = loop {
            if let Some(status) = self.relay.process.exit_status() {
                break (Instant::now(), status.code());
            }
            let now = Instant::now();
            if now >= terminated + EXIT_TIMEOUT {
                break (now, None);
            }
            if let Some((_, fault)) = faults.next_if(|(after, _)| now >= terminated + *after) {
                match fault {
                    StopFault::Terminate => self.relay.process.terminate(),
                    StopFault::HangUp => self.relay.process.hang_up(),
                    StopFault::StartSecond => second = Some((self.start_second(), now)),
                }
            }
            second = second.filter(|(_, start)| now < *start + SECOND_TIME);
            tokio::time::sleep(EXIT_POLL).await;
        };
        drop(second);
        // The next process begins a new log; this one is kept for diagnosis.
        let output = self.relay.process.output_file();
        let log = fs::read_to_string(&output).expect("a log file");
        fs::write(output.with_extension("stopped.out"), &log).expect("a copy of the log");
        if self.is_configured {
            self.relay.process.restart().expect("the process restarts");
        }
        let outcome = StopOutcome {
            relay: planned.relay,
            terminated,
            exited,
            status,
            log,
        };
        (self, outcome)
    }

    /// Starts another process with the settings of this one.
    fn start_second(&self) -> harness::Process {
        let name = self.relay.process.name();
        let settings = self.launcher.folder().join(format!("{name}.toml"));
        let launcher = self.launcher.clone();
        let launcher = launcher.with_env("ACACIABANK_SETTINGS", &settings.display().to_string());
        let process = launcher.start(&format!("{name}-second"), "relay", [""; 0]);
        process.expect("a second process")
    }
}

/// Writes a configuration with the route `extra`, or without it.
async fn write_config(fixture: &Fixture, version: u64, timeout_ms: u64, has_extra: bool) {
    let adjust = |config: &mut Value| {
        config["routes"][0]["timeout_ms"] = timeout_ms.into();
        config["services"][1]["engine"]["slots"] = ENGINE_SLOTS.into();
        config["services"][1]["engine"]["kv_token_capacity"] = ENGINE_TOKENS.into();
        for service in 0..2 {
            config["services"][service]["max_conns"] = 1_000.into();
        }
        if has_extra {
            let mut route = config["routes"][1].clone();
            route["name"] = json!("extra");
            route["prefix"] = json!("/extra/");
            let routes = config["routes"].as_array_mut();
            routes.expect("routes").push(route);
        }
    };
    fixture.write_config(version, adjust).await;
}
