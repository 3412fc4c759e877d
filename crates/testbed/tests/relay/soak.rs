//! Injects randomized faults into relay processes, runners, links and the store, and checks the
//! delivery guarantees against responses and runner journals. The fault schedule depends only on
//! the seed and is printed.
//!
//! `ACACIABANK_SOAK_SEEDS=FROM..TO` runs these seeds instead of the fixed ones.

use std::{
    collections::HashMap,
    env,
    sync::{Arc, Mutex, atomic},
    time::{Duration, Instant},
};

use acaciabank_testbed::proxy::{FaultKind, LinkFault};
use rand::{RngExt, SeedableRng, rngs};
use serde_json::{Value, json};

use crate::fixture::{EmulatorProcess, Fixture, Relay, TIMEOUT, event_ids};

/// Seeds that run by default. A seed that has failed is added here with a comment on the cause.
const FIXED_SEEDS: [u64; 2] = [1, 2];
/// Length of the period in which faults start.
const FAULT_WINDOW: Duration = Duration::from_secs(6);
const RELAY_COUNT: usize = 3;
const CALLER_COUNT: usize = 6;
const EVENT_COUNT: u32 = 8;
/// Deadline that requests carry, in milliseconds.
const REQUEST_DEADLINE_MS: &str = "3000";

/// A fault; relays and runners are given by their index.
#[derive(Clone, Debug, PartialEq)]
enum SoakFault {
    KillRelay(usize),
    PauseRelay(usize),
    /// Ends a relay with SIGTERM.
    StopRelay(usize),
    /// Faults of a runner, as a `/control` patch.
    Runner(usize, Value),
    KillRunner(usize),
    /// Fault of a named link to a runner, or from a relay to the store.
    Link(String, FaultKind),
    /// Faults of the store, as a `/control` patch.
    Store(Value),
    /// A runner says that it leaves, stops at the end of the fault, and starts again at its address.
    LeaveRunner(usize),
    /// A runner leaves while the store does not respond.
    LeaveWithoutStore(usize),
    /// A runner leaves while a relay is cut off from the store.
    LeaveWhileCutOff {
        runner: usize,
        relay: usize,
    },
    /// All runners of the plain service ask for pauses.
    PauseAll,
    /// A runner asks for a pause and is killed at the end of the fault.
    PauseAndKill(usize),
    /// Writes a new configuration with another timeout; not a fault by itself.
    Configure,
}

/// Link faults that a schedule draws from.
const LINK_FAULTS: [FaultKind; 6] = [
    FaultKind::Cut,
    FaultKind::Blackhole,
    FaultKind::BlackholeUp,
    FaultKind::BlackholeDown,
    FaultKind::Delay,
    FaultKind::DropAnswers,
];
/// Delay of each read on a link with `FaultKind::Delay`, in milliseconds.
const LINK_DELAY_MS: u64 = 60;
/// Ids of the runners: plain services (`r`), prefill engines (`p`) and decode engines (`d`).
const RUNNER_IDS: [&str; 8] = ["r-0", "r-1", "r-2", "p-1", "p-2", "p-3", "d-1", "d-2"];

/// A fault with its start and end, relative to the start of the run.
#[derive(Clone, Debug)]
struct PlannedFault {
    start: Duration,
    end: Duration,
    fault: SoakFault,
}

/// Generates the fault schedule of a seed; faults overlap.
fn schedule(seed: u64) -> Vec<PlannedFault> {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut start = Duration::from_millis(300);
    while start < FAULT_WINDOW {
        let relay = rng.random_range(0..RELAY_COUNT);
        let runner = rng.random_range(0..RUNNER_IDS.len());
        let link_fault = LINK_FAULTS[rng.random_range(0..LINK_FAULTS.len())];
        let fault = match rng.random_range(0..23) {
            0 => SoakFault::KillRelay(relay),
            1 => SoakFault::PauseRelay(relay),
            2 => SoakFault::StopRelay(relay),
            3 => SoakFault::Store(json!({"is_silent": true})),
            4 => SoakFault::Store(json!({"refuses": true})),
            5 => SoakFault::Store(json!({"loses_answers": true})),
            6 => SoakFault::Runner(runner, json!({"refuses": true})),
            7 => SoakFault::Runner(runner, json!({"loses_answers": true})),
            8 => SoakFault::Runner(runner, json!({"crosses_answers": true})),
            9 => SoakFault::Runner(runner, json!({"breaks_after": rng.random_range(0..6)})),
            10 => SoakFault::Runner(runner, json!({"cuts_bodies": true})),
            11 => SoakFault::KillRunner(runner),
            12 | 13 => SoakFault::Link(RUNNER_IDS[runner].to_owned(), link_fault),
            14 => SoakFault::Link(store_link(relay), link_fault),
            15 => SoakFault::Configure,
            16 => SoakFault::Runner(runner, json!({"is_draining": true})),
            17 => SoakFault::LeaveRunner(runner),
            18 => SoakFault::LeaveWithoutStore(runner),
            19 => SoakFault::LeaveWhileCutOff { runner, relay },
            20 => SoakFault::PauseAll,
            21 => SoakFault::PauseAndKill(runner),
            _ => SoakFault::Runner(runner, json!({"is_mute": true})),
        };
        let end = start + Duration::from_millis(rng.random_range(200..1_800));
        planned.push(PlannedFault { start, end, fault });
        start += Duration::from_millis(rng.random_range(50..700));
    }
    planned
}

/// What a caller received for one request.
#[derive(Clone, Debug)]
struct CallRecord {
    kind: &'static str,
    attempt: String,
    /// Status and body; `None` if the connection failed or the client timed out.
    response: Option<(u16, Vec<u8>)>,
}

/// The relays and runners of a run; links to runners and to the store are proxied.
struct SoakFixture {
    fixture: Fixture,
    relays: Vec<Relay>,
    runners: Vec<EmulatorProcess>,
    config_version: u64,
}

impl SoakFixture {
    async fn start() -> Self {
        let mut fixture = Fixture::start_proxied().await;
        fixture.write_config(1, |_| {}).await;
        let mut runners = Vec::new();
        for id in RUNNER_IDS {
            let (service, stage) = match id.split_once('-') {
                Some(("p", _)) => ("models", Some("prefill")),
                Some(("d", _)) => ("models", Some("decode")),
                _ => ("ledger", None),
            };
            runners.push(fixture.start_runner(id, service, stage).await);
        }
        let first = fixture.start_relay(&[]).await;
        let mut relays = vec![first];
        for _ in 1..RELAY_COUNT {
            let relay = fixture.start_relay(&[&relays[0]]).await;
            relays.push(relay);
        }
        for relay in &relays {
            relay.wait_serving("/safe/a").await;
            relay.wait_streaming("/stream/a", 2).await;
        }
        Self {
            fixture,
            relays,
            runners,
            config_version: 1,
        }
    }

    /// Starts and ends the faults of a schedule at their planned times.
    async fn run_schedule(&mut self, planned: &[PlannedFault]) {
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
            tokio::time::sleep_until((started_at + at).into()).await;
            match is_start {
                true => self.start_fault(fault).await,
                false => self.end_fault(fault).await,
            }
        }
    }

    async fn start_fault(&mut self, fault: &SoakFault) {
        match fault {
            SoakFault::KillRelay(relay) => self.relays[*relay].process.kill(),
            SoakFault::PauseRelay(relay) => self.relays[*relay].process.pause(),
            SoakFault::StopRelay(relay) => self.relays[*relay].process.terminate(),
            SoakFault::Store(patch) => {
                self.fixture.store.control(patch.clone()).await;
            }
            SoakFault::Runner(runner, patch) => self.control_runner(*runner, patch.clone()).await,
            SoakFault::KillRunner(runner) => self.runners[*runner].process.kill(),
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
        }
    }

    /// Changes the faults of a runner unless it is killed.
    async fn control_runner(&self, runner: usize, patch: Value) {
        let runner = &self.runners[runner];
        if runner.process.id().is_some() {
            runner.control(patch).await;
        }
    }

    async fn set_link_fault(&self, name: &str, kind: FaultKind) {
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
    async fn write_config(&mut self) {
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
    async fn restart_stopped_relays(&mut self) {
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
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Ends a fault. A killed, paused or stopped relay is resumed, and restarted if it has exited.
    async fn end_fault(&mut self, fault: &SoakFault) {
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
        }
    }
}

impl SoakFixture {
    /// Kills a runner and starts it with its former id and address.
    async fn restart_runner(&mut self, runner: usize) {
        self.runners[runner].process.kill();
        self.start_killed_runner(runner).await;
    }

    async fn start_killed_runner(&mut self, runner: usize) {
        let process = &mut self.runners[runner].process;
        if process.id().is_none() {
            process.restart().expect("the process restarts");
            process.wait_ready().await;
        }
    }
}

fn leaving_patch() -> Value {
    json!({"is_leaving": true})
}

fn pausing_patch() -> Value {
    json!({"refuses": true, "retry_after": "1"})
}

/// Returns the name of the link from a relay to the store.
fn store_link(relay: usize) -> String {
    format!("relay-{}", relay + 1)
}

/// Returns the indices of the runners of the plain service.
fn plain_runners() -> impl Iterator<Item = usize> {
    (0..RUNNER_IDS.len()).filter(|index| RUNNER_IDS[*index].starts_with('r'))
}

/// Returns the patch that ends the faults set by `patch`.
fn clearing_patch(patch: &Value) -> Value {
    let fields = patch.as_object().cloned().unwrap_or_default();
    let cleared = fields.into_iter().map(|(name, value)| match value {
        Value::Bool(_) => (name, json!(false)),
        _ => (name, Value::Null),
    });
    Value::Object(cleared.collect())
}

/// Sends requests one after the other until `is_stopped` is set.
async fn send_requests(
    caller_addresses: Vec<std::net::SocketAddr>,
    caller: usize,
    seed: u64,
    is_stopped: Arc<atomic::AtomicBool>,
    records: Arc<Mutex<Vec<CallRecord>>>,
) {
    let mut rng = rngs::StdRng::seed_from_u64(seed * 100 + caller as u64);
    for number in 0.. {
        if is_stopped.load(atomic::Ordering::Relaxed) {
            return;
        }
        let caller_address = caller_addresses[rng.random_range(0..caller_addresses.len())];
        let kind = ["once", "safe", "stream", "resumable"][rng.random_range(0..4)];
        let attempt = format!("{kind}-{caller}-{number}");
        let tokens = format!("2000,{EVENT_COUNT}");
        let mut headers = vec![
            ("host", crate::fixture::ROUTE_HOST),
            ("x-acaciabank-attempt-id", attempt.as_str()),
            ("x-acaciabank-deadline-ms", REQUEST_DEADLINE_MS),
        ];
        if matches!(kind, "stream" | "resumable") {
            headers.push(("x-acaciabank-model", "m"));
            headers.push(("x-acaciabank-token-count", &tokens));
            headers.push(("x-acaciabank-prompt-prefix", "aa:1500,bb:500"));
        }
        let path = format!("/{kind}/{number}");
        let call =
            acaciabank_testbed::web::call(caller_address, "POST", &path, &headers, attempt.clone());
        let client_timeout = Duration::from_millis(3_500);
        let response = tokio::time::timeout(client_timeout, call).await;
        let response = response.ok().and_then(Result::ok);
        records.lock().expect("records lock").push(CallRecord {
            kind,
            response: response.map(|response| (response.status, response.body.to_vec())),
            attempt,
        });
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..30))).await;
    }
}

/// Checks the guarantees and returns a description of each violation.
fn find_violations(records: &[CallRecord], runs: &HashMap<String, usize>) -> Vec<String> {
    let mut violations = Vec::new();
    for record in records {
        let ran = runs.get(&record.attempt).copied().unwrap_or(0);
        if matches!(record.kind, "once" | "stream") && ran > 1 {
            violations.push(format!("{} ran {ran} times", record.attempt));
        }
        let Some((status, body)) = &record.response else {
            continue;
        };
        if matches!(status, 429 | 503) && ran > 0 && matches!(record.kind, "once" | "stream") {
            violations.push(format!(
                "{} ran although it was refused with {status}",
                record.attempt
            ));
        }
        if *status != 200 {
            continue;
        }
        let is_complete = match record.kind {
            "once" | "safe" => *body == format!("{0}:{0}", record.attempt).into_bytes(),
            _ => event_ids(body) == (0..u64::from(EVENT_COUNT)).collect::<Vec<_>>(),
        };
        if !is_complete {
            let text = String::from_utf8_lossy(body).into_owned();
            violations.push(format!(
                "{} got an incomplete response or that of another request: {text}",
                record.attempt
            ));
        }
    }
    violations
}

/// Time between a response of a runner and the log line about it, and between the arrival of a
/// request and its dispatch.
const LOG_SLACK_MS: u64 = 50;

/// Until when a relay sends nothing to a runner, by its log.
#[derive(Clone, Copy, Debug)]
struct QuietPeriod {
    from_ms: u64,
    until_ms: u64,
}

/// Checks by a relay's log that no request that arrived after a runner had stated that it leaves,
/// or had asked for a pause, was sent to it. A new run of either ends the period.
fn find_signal_violations(log: &str) -> Vec<String> {
    let mut violations = Vec::new();
    let mut quiet: HashMap<String, QuietPeriod> = HashMap::new();
    let lines = log.lines().map(serde_json::from_str::<Value>);
    for line in lines.flatten() {
        let target = line["target_id"].as_str().unwrap_or_default().to_owned();
        let from_ms = line["ms"].as_u64().unwrap_or(0);
        match line["event"].as_str().unwrap_or_default() {
            "started" => quiet.clear(),
            "target_listed" => {
                quiet.remove(&target);
            }
            "target_leaving" => {
                let until_ms = u64::MAX;
                quiet.insert(target, QuietPeriod { from_ms, until_ms });
            }
            "target_paused" => {
                let until_ms = from_ms + line["pause_ms"].as_u64().unwrap_or(0);
                quiet
                    .entry(target)
                    .or_insert(QuietPeriod { from_ms, until_ms });
            }
            "target_resumed" => {
                quiet.remove(&target);
            }
            "answered" | "attempt_failed" if line["reason"] != "target_unavailable" => {
                let arrived_ms = from_ms.saturating_sub(line["elapsed_ms"].as_u64().unwrap_or(0));
                let is_sent_late = |id: &str| {
                    quiet.get(id).is_some_and(|period| {
                        arrived_ms > period.from_ms + LOG_SLACK_MS && from_ms < period.until_ms
                    })
                };
                let prefill = line["prefill_id"].as_str().unwrap_or_default();
                if is_sent_late(&target) || is_sent_late(prefill) {
                    violations.push(format!("sent to a leaving or paused runner: {line}"));
                }
            }
            _ => {}
        }
    }
    violations
}

async fn run_seed(seed: u64) {
    let mut soak = SoakFixture::start().await;
    let planned = schedule(seed);
    println!("seed {seed}: {planned:?}");
    let is_stopped = Arc::new(atomic::AtomicBool::new(false));
    let records = Arc::new(Mutex::new(Vec::new()));
    let caller_addresses: Vec<_> = soak
        .relays
        .iter()
        .map(|relay| relay.caller_address)
        .collect();
    let callers: Vec<_> = (0..CALLER_COUNT)
        .map(|caller| {
            let (is_stopped, records) = (Arc::clone(&is_stopped), Arc::clone(&records));
            tokio::spawn(send_requests(
                caller_addresses.clone(),
                caller,
                seed,
                is_stopped,
                records,
            ))
        })
        .collect();
    soak.run_schedule(&planned).await;
    soak.restart_stopped_relays().await;
    // Targets in backoff after failures are used again within a few seconds.
    for relay in &soak.relays {
        relay.wait_serving("/safe/a").await;
    }
    is_stopped.store(true, atomic::Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("the caller does not panic");
    }
    let mut runs: HashMap<String, usize> = HashMap::new();
    for runner in &soak.runners {
        for entry in runner.full_journal(&soak.fixture.launcher) {
            if let Some(attempt) = entry["ran"].as_str() {
                *runs.entry(attempt.to_owned()).or_default() += 1;
            }
        }
    }
    let records = records.lock().expect("records lock").clone();
    let succeeded = records
        .iter()
        .filter(|record| matches!(record.response, Some((200, _))));
    println!(
        "seed {seed}: {} of {} requests succeeded",
        succeeded.count(),
        records.len()
    );
    let mut violations = find_violations(&records, &runs);
    for relay in &soak.relays {
        let log = std::fs::read_to_string(relay.process.output_file()).expect("a log file");
        violations.extend(find_signal_violations(&log));
    }
    assert!(
        violations.is_empty(),
        "seed {seed}: {}",
        violations.join("\n")
    );
}

/// Returns the seeds from `ACACIABANK_SOAK_SEEDS`, or the fixed ones.
fn seeds() -> Vec<u64> {
    let Ok(range) = env::var("ACACIABANK_SOAK_SEEDS") else {
        return FIXED_SEEDS.to_vec();
    };
    let parsed = range
        .split_once("..")
        .and_then(|(from, to)| Some(from.parse::<u64>().ok()?..to.parse::<u64>().ok()?));
    parsed
        .expect("ACACIABANK_SOAK_SEEDS must have the form FROM..TO")
        .collect()
}

/// Guards against violations that occur only when several faults overlap.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn guarantees_hold_under_random_faults() {
    for seed in seeds() {
        run_seed(seed).await;
    }
}

/// Guards against a fault schedule that cannot be reproduced from its seed.
#[test]
fn the_schedule_depends_on_the_seed_alone() {
    let text = |seed| format!("{:?}", schedule(seed));
    assert_eq!(text(7), text(7));
    assert_ne!(text(7), text(8));
}

/// Guards against a check that misses violations.
#[test]
fn the_check_finds_violations() {
    let record = |kind, attempt: &str, status, body: &str| CallRecord {
        kind,
        attempt: attempt.to_owned(),
        response: Some((status, body.as_bytes().to_vec())),
    };
    let records = [
        record("once", "a", 200, "a:a"),
        record("once", "b", 503, "refused"),
        record("safe", "c", 200, "c:"),
        record("stream", "d", 200, "id: 0\n\nid: 2\n\n"),
        record("safe", "e", 200, "e:e"),
    ];
    let runs = [("a", 2), ("b", 1), ("c", 2), ("d", 1), ("e", 2)];
    let runs = runs
        .iter()
        .map(|(attempt, runs)| ((*attempt).to_owned(), *runs))
        .collect();
    let violations = find_violations(&records, &runs);
    assert_eq!(violations.len(), 4, "{violations:?}");
}

/// Guards against a check that misses requests to runners that leave or are paused, or that reports
/// those that were sent before.
#[test]
fn the_check_finds_requests_to_leaving_and_paused_runners() {
    let line = |ms: u64, event: &str, target: &str, elapsed_ms: u64| {
        json!({"ms": ms, "event": event, "target_id": target, "elapsed_ms": elapsed_ms,
            "pause_ms": 1_000})
        .to_string()
    };
    let log = [
        line(1_000, "target_leaving", "r-0", 0),
        line(2_000, "answered", "r-0", 1_500),
        line(2_000, "answered", "r-0", 100),
        line(2_000, "target_paused", "r-1", 0),
        line(2_500, "attempt_failed", "r-1", 200),
        line(3_100, "answered", "r-1", 50),
        line(4_000, "target_listed", "r-0", 0),
        line(5_000, "answered", "r-0", 10),
    ];
    let violations = find_signal_violations(&log.join("\n"));
    assert_eq!(violations.len(), 2, "{violations:?}");
}
