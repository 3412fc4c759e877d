//! The processes of a soak, in which faults start and end.

use std::{
    collections::HashMap,
    sync::{Arc, atomic},
    time::{Duration, Instant},
};

use acaciabank_testbed::{
    harness, journal,
    proxy::{FaultKind, LinkFault},
    web,
};
use serde_json::{Value, json};

use super::schedule::{
    LINK_DELAY_MS, PlannedFault, RELAY_COUNT, RUNNER_IDS, SoakFault, clearing_patch, leaving_patch,
    pausing_patch, plain_runners, store_link,
};

use crate::fixture::{EmulatorProcess, Fixture, Relay, TIMEOUT};

/// Time after which a crashed runner is started again.
pub(super) const RESTART_DELAY: Duration = Duration::from_millis(800);
/// Interval at which crashed runners are looked for.
pub(super) const RESTART_POLL: Duration = Duration::from_millis(50);
/// Prompt part that crashes the engine that begins to write the answer.
pub(super) const CRASH_PART: &str = "crashing";

/// The relays and runners of a run; links to runners and to the store are proxied.
pub(super) struct SoakFixture {
    pub(super) fixture: Fixture,
    pub(super) relays: Vec<Relay>,
    pub(super) runners: Vec<EmulatorProcess>,
    /// Times at which crashed runners are started again, by index.
    pub(super) restarts: HashMap<usize, Instant>,
    /// Whether callers send crashing requests.
    pub(super) is_crashing: Arc<atomic::AtomicBool>,
    pub(super) config_version: u64,
    pub(super) drains: Vec<DrainRecord>,
    pub(super) limits: Vec<NamedLimit>,
}

/// A drain of a runner; times are those of the journals.
#[derive(Clone, Debug)]
pub(super) struct DrainRecord {
    pub(super) runner: usize,
    /// Time at which the store had acknowledged it.
    pub(super) acknowledged_ms: u64,
    pub(super) ended_ms: u64,
}

/// A limit that a run of a runner named; times are those of the journals.
#[derive(Clone, Debug)]
pub(super) struct NamedLimit {
    pub(super) runner: usize,
    /// Requests a second.
    pub(super) per_s: f64,
    pub(super) named_ms: u64,
    /// Time at which the runner was killed or named no limit any more.
    pub(super) ended_ms: u64,
}

impl SoakFixture {
    pub(super) async fn start(shows_crashes: bool) -> Self {
        let mut fixture = Fixture::start_proxied().await;
        fixture.shows_crashes = shows_crashes;
        fixture.write_config(1, |_| {}).await;
        fixture.runner_arguments = vec!["--crash-part".to_owned(), CRASH_PART.to_owned()];
        let (last, others) = RUNNER_IDS.split_last().expect("runners");
        let mut runners = fixture.start_runners(others).await;
        // The decode engines have different software versions.
        let version = ["--software".to_owned(), "v2".to_owned()];
        fixture.runner_arguments.extend(version);
        runners.extend(fixture.start_runners(&[last]).await);
        let relays = fixture.start_relays(RELAY_COUNT).await;
        Self {
            fixture,
            relays,
            runners,
            restarts: HashMap::new(),
            is_crashing: Arc::default(),
            config_version: 1,
            drains: Vec::new(),
            limits: Vec::new(),
        }
    }

    /// Starts and ends the faults of a schedule at their planned times.
    pub(super) async fn run_schedule(&mut self, planned: &[PlannedFault]) {
        let started_at = Instant::now();
        let mut steps: Vec<(Duration, bool, &SoakFault)> = planned
            .iter()
            .flat_map(|planned| {
                [
                    (planned.start, true, &planned.fault),
                    (planned.end, false, &planned.fault),
                ]
            })
            .collect();
        steps.sort_by_key(|(at, _, _)| *at);
        for (at, is_start, fault) in steps {
            self.restart_runners_until(started_at + at).await;
            match is_start {
                true => self.start_fault(fault).await,
                false => self.end_fault(fault).await,
            }
        }
    }

    pub(super) async fn start_fault(&mut self, fault: &SoakFault) {
        match fault {
            SoakFault::KillRelay(relay) => self.relays[*relay].process.kill(),
            SoakFault::PauseRelay(relay) => self.relays[*relay].process.pause(),
            SoakFault::StopRelay(relay) => self.relays[*relay].process.terminate(),
            SoakFault::Store(patch) => {
                self.fixture.store.control(patch.clone()).await;
            }
            SoakFault::Runner(runner, patch) => self.control_runner(*runner, patch.clone()).await,
            SoakFault::KillRunner(runner) => self.kill_runner(*runner),
            SoakFault::Link(name, kind) => self.set_link_fault(name, *kind).await,
            SoakFault::Configure => self.write_config().await,
            SoakFault::LeaveRunner(runner) => self.control_runner(*runner, leaving_patch()).await,
            SoakFault::LeaveWithoutStore(runner) => {
                self.fixture.store.control(json!({"is_silent": true})).await;
                self.control_runner(*runner, leaving_patch()).await;
            }
            SoakFault::LeaveWhileCutOff { runner, relay } => {
                self.set_link_fault(&store_link(*relay), FaultKind::Cut)
                    .await;
                self.control_runner(*runner, leaving_patch()).await;
            }
            SoakFault::PauseAll => {
                for runner in plain_runners() {
                    self.control_runner(runner, pausing_patch()).await;
                }
            }
            SoakFault::PauseAndKill(runner) => self.control_runner(*runner, pausing_patch()).await,
            SoakFault::CrashingRequests => self.is_crashing.store(true, atomic::Ordering::Relaxed),
            SoakFault::RestoreStore { .. } => {
                self.fixture.store.control(json!({"is_silent": true})).await;
            }
            SoakFault::LimitRunner { runner, per_s } => self.name_limit(*runner, per_s).await,
            SoakFault::DrainRunner(runner) => self.start_drain(*runner).await,
        }
    }

    /// Has a runner drain and waits until the store has its row.
    pub(super) async fn start_drain(&mut self, runner: usize) {
        self.control_runner(runner, json!({"is_draining": true}))
            .await;
        let id = RUNNER_IDS[runner];
        harness::wait_until(TIMEOUT, "the row of the runner drains", async || {
            self.fixture.target_state(id).await.as_deref() == Some("draining")
        })
        .await;
        self.drains.push(DrainRecord {
            runner,
            acknowledged_ms: journal::unix_ms(),
            ended_ms: u64::MAX,
        });
    }

    /// Has a runner name a limit.
    pub(super) async fn name_limit(&mut self, runner: usize, per_s: &str) {
        let named_ms = journal::unix_ms();
        self.control_runner(runner, json!({"rate_limit": per_s}))
            .await;
        let is_running = self.runners[runner].process.id().is_some();
        self.limits.extend(is_running.then(|| NamedLimit {
            runner,
            per_s: per_s.parse().expect("a number"),
            named_ms,
            ended_ms: u64::MAX,
        }));
    }

    /// Records that a runner names no limit any more.
    fn end_limits(&mut self, runner: usize) {
        let open = self.limits.iter_mut();
        let open = open.filter(|limit| limit.runner == runner && limit.ended_ms == u64::MAX);
        open.for_each(|limit| limit.ended_ms = journal::unix_ms());
    }

    fn kill_runner(&mut self, runner: usize) {
        self.end_limits(runner);
        self.runners[runner].process.kill();
    }

    /// Waits until a time and starts runners again that have crashed meanwhile.
    pub(super) async fn restart_runners_until(&mut self, end: Instant) {
        loop {
            self.restart_crashed_runners();
            let now = Instant::now();
            if now >= end {
                return;
            }
            tokio::time::sleep(RESTART_POLL.min(end - now)).await;
        }
    }

    /// Starts the runners again that crashed some time ago. A killed runner is started again at the
    /// end of its fault.
    pub(super) fn restart_crashed_runners(&mut self) {
        let now = Instant::now();
        let mut restarted = Vec::new();
        for (index, runner) in self.runners.iter_mut().enumerate() {
            if runner.process.exit_status().is_none() {
                self.restarts.remove(&index);
                continue;
            }
            let restart_at = self.restarts.entry(index).or_insert(now + RESTART_DELAY);
            if now >= *restart_at {
                runner.process.restart().expect("the process restarts");
                restarted.push(index);
            }
        }
        for runner in restarted {
            self.end_limits(runner);
        }
    }

    /// Changes the faults of a runner unless it is killed or has crashed.
    pub(super) async fn control_runner(&mut self, runner: usize, patch: Value) {
        let EmulatorProcess { process, address } = &mut self.runners[runner];
        let body = patch.to_string();
        // A runner that has just been started again does not listen yet.
        harness::wait_until(TIMEOUT, "the runner has its faults", async || {
            if process.id().is_none() || process.exit_status().is_some() {
                return true;
            }
            let call = web::call(*address, "POST", "/control", &[], body.clone());
            call.await.is_ok_and(|response| response.status == 200)
        })
        .await;
    }

    pub(super) async fn set_link_fault(&self, name: &str, kind: FaultKind) {
        let proxy = self
            .fixture
            .proxy
            .as_ref()
            .expect("a fixture with proxied links");
        let fault = LinkFault {
            kind,
            delay_ms: LINK_DELAY_MS,
            source: None,
        };
        proxy.set_fault(name, &fault).await.expect("a link");
    }

    /// Writes a configuration; ignores a store that rejects it or does not respond in time.
    pub(super) async fn write_config(&mut self) {
        let config_version = self.config_version + 1;
        let write = self.fixture.try_write_config(config_version, |config| {
            config["routes"][0]["timeout_ms"] = (10_000 + config_version).into();
        });
        // The store may be silent or refuse; the next `Configure` fault writes this version again.
        if tokio::time::timeout(Duration::from_millis(500), write)
            .await
            .is_ok_and(|is_accepted| is_accepted)
        {
            self.config_version = config_version;
        }
    }

    /// Restarts relays that have exited, as the platform does after SIGTERM, until all are ready.
    pub(super) async fn restart_stopped_relays(&mut self) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let mut ready_count = 0;
            for relay in &mut self.relays {
                if relay.process.id().is_none() || relay.process.exit_status().is_some() {
                    relay.process.restart().expect("the process restarts");
                }
                ready_count += usize::from(relay.readiness_status().await == 200);
            }
            if ready_count == self.relays.len() {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "only {ready_count} relays are ready"
            );
            self.restart_runners_until(Instant::now() + RESTART_POLL)
                .await;
        }
    }

    /// Ends a fault. A killed, paused or stopped relay is resumed, and restarted if it has exited.
    pub(super) async fn end_fault(&mut self, fault: &SoakFault) {
        match fault {
            SoakFault::KillRelay(relay)
            | SoakFault::PauseRelay(relay)
            | SoakFault::StopRelay(relay) => {
                let process = &mut self.relays[*relay].process;
                process.resume();
                if process.id().is_none() || process.exit_status().is_some() {
                    process.restart().expect("the process restarts");
                }
            }
            SoakFault::Store(patch) => {
                self.fixture.store.control(clearing_patch(patch)).await;
            }
            SoakFault::Runner(runner, patch) => {
                self.control_runner(*runner, clearing_patch(patch)).await
            }
            SoakFault::KillRunner(runner) => self.start_killed_runner(*runner).await,
            SoakFault::LeaveRunner(runner) | SoakFault::PauseAndKill(runner) => {
                self.restart_runner(*runner).await;
            }
            SoakFault::LeaveWithoutStore(runner) => {
                self.restart_runner(*runner).await;
                self.fixture
                    .store
                    .control(json!({"is_silent": false}))
                    .await;
            }
            SoakFault::LeaveWhileCutOff { runner, relay } => {
                self.restart_runner(*runner).await;
                self.set_link_fault(&store_link(*relay), FaultKind::None)
                    .await;
            }
            SoakFault::PauseAll => {
                for runner in plain_runners() {
                    self.control_runner(runner, clearing_patch(&pausing_patch()))
                        .await;
                }
            }
            SoakFault::Link(name, _) => self.set_link_fault(name, FaultKind::None).await,
            SoakFault::Configure => {}
            SoakFault::CrashingRequests => {
                self.is_crashing.store(false, atomic::Ordering::Relaxed);
            }
            SoakFault::RestoreStore {
                age_ms,
                rewrite_delay_ms,
            } => {
                let restore = json!({"age_ms": age_ms, "rewrite_delay_ms": rewrite_delay_ms});
                let patch = json!({"is_silent": false, "restore": restore});
                self.fixture.store.control(patch).await;
            }
            SoakFault::LimitRunner { runner, .. } => {
                self.end_limits(*runner);
                self.control_runner(*runner, json!({"rate_limit": null}))
                    .await;
            }
            SoakFault::DrainRunner(runner) => {
                let mut drains = self.drains.iter_mut().rev();
                let drain = drains.find(|drain| drain.runner == *runner);
                drain.expect("a started drain").ended_ms = journal::unix_ms();
                self.control_runner(*runner, json!({"is_draining": false}))
                    .await;
            }
        }
    }

    /// Waits until all relays have a configuration that is no older than the last one that the
    /// operator knows to be written.
    pub(super) async fn wait_newest_config(&self) {
        for relay in &self.relays {
            let description = format!("{} has the newest configuration", relay.process.name());
            harness::wait_until(TIMEOUT, &description, async || {
                last_config_version(relay) >= self.config_version
            })
            .await;
        }
    }
}

/// Returns the version of the configuration that a relay has put in force last, by its log.
pub(super) fn last_config_version(relay: &Relay) -> u64 {
    let log = std::fs::read_to_string(relay.process.output_file()).unwrap_or_default();
    let lines = log.lines().map(serde_json::from_str::<Value>);
    let mut in_force = lines
        .flatten()
        .filter(|line| line["event"] == "config_in_force");
    let newest = in_force.next_back();
    let version = newest.and_then(|line| line["version"].as_u64());
    version.unwrap_or(0)
}

impl SoakFixture {
    /// Kills a runner and starts it with its former id and address.
    pub(super) async fn restart_runner(&mut self, runner: usize) {
        self.kill_runner(runner);
        self.start_killed_runner(runner).await;
    }

    pub(super) async fn start_killed_runner(&mut self, runner: usize) {
        let process = &mut self.runners[runner].process;
        if process.id().is_none() {
            process.restart().expect("the process restarts");
            process.wait_ready().await;
        }
    }
}
