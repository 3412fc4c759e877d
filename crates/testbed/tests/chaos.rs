//! Injects randomized faults under load and checks the delivery guarantees against the journals of
//! the engines and services. The fault schedule depends only on the seed and is printed.
//!
//! `ACACIABANK_CHAOS_SEEDS=20` also runs the seeds up to 20.

use std::{
    collections::{BTreeMap, BTreeSet},
    env,
    sync::{Arc, atomic},
    time,
};

use acaciabank_testbed::{harness, proxy};
use rand::{RngExt, SeedableRng, rngs};
use serde_json::{Value, json};

const MODEL: &str = "drafting";
const DAEMON_COUNT: usize = 3;
const ENGINE_COUNT: usize = 3;
const SERVICE_COUNT: usize = 2;
/// Length of the period in which faults start.
const FAULT_WINDOW_MS: u64 = 10_000;
/// Maximum time between the starts of two faults, short enough that several overlap.
const MAX_GAP_MS: u64 = 900;
/// Range from which the duration of a fault is drawn.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..2_500;
/// Timeout of one request including its retries. Well above the fault window, so that every request
/// can complete after the last fault has ended.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_secs(40);
const COMPLETION_CALLER_COUNT: usize = 4;
const NOTICE_CALLER_COUNT: usize = 4;
/// Seeds from 1 to this one always run.
const LAST_FIXED_SEED: u64 = 3;

/// A fault; numbers are indices of daemons, engines, services or targets in the fleet, unless
/// noted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    KillDaemon(usize),
    PauseDaemon(usize),
    Partition(usize, usize),
    OneWayPartition(usize, usize),
    /// How calls fail: `error`, `hang` or `close`.
    TableDown(&'static str),
    /// Latency of each call, in milliseconds.
    TableSlow(u64),
    CutTable(usize),
    /// Holds the bytes from a daemon to the table.
    HoldTable(usize),
    /// Number of calls that are executed and whose responses are lost.
    LoseTableAnswers(u32),
    CrashEngine(usize),
    StallEngine(usize),
    /// Crashes after the service has executed its next call.
    CrashService(usize),
    RefuseCalls(usize),
    SlowTarget(usize),
    CutTarget(usize),
    /// Holds the bytes from the daemons to a target.
    HoldTarget(usize),
    /// Forwards requests and closes the connection at the first byte of a response.
    DropAnswers(usize),
}

/// A fault with its start and end, relative to the start of the run.
#[derive(Clone, Copy, Debug)]
struct PlannedFault {
    start_ms: u64,
    end_ms: u64,
    fault: Fault,
}

/// Generates the fault schedule of a seed.
fn schedule(seed: u64) -> Vec<PlannedFault> {
    let mut rng = rngs::StdRng::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut start_ms = 500;
    while start_ms < FAULT_WINDOW_MS {
        let fault = choose_fault(&mut rng);
        let end_ms = start_ms + rng.random_range(FAULT_DURATION_MS);
        planned.push(PlannedFault {
            start_ms,
            end_ms,
            fault,
        });
        start_ms += rng.random_range(1..MAX_GAP_MS);
    }
    planned
}

fn choose_fault(rng: &mut rngs::StdRng) -> Fault {
    let daemon = rng.random_range(0..DAEMON_COUNT);
    let other = (daemon + rng.random_range(1..DAEMON_COUNT)) % DAEMON_COUNT;
    let engine = rng.random_range(0..ENGINE_COUNT);
    let service = rng.random_range(0..SERVICE_COUNT);
    let target = rng.random_range(0..ENGINE_COUNT + SERVICE_COUNT);
    let amount = rng.random_range(1..5);
    match rng.random_range(0..17) {
        0 => Fault::KillDaemon(daemon),
        1 => Fault::PauseDaemon(daemon),
        2 => Fault::Partition(daemon, other),
        3 => Fault::OneWayPartition(daemon, other),
        4 => Fault::TableDown(["error", "hang", "close"][amount as usize % 3]),
        5 => Fault::TableSlow(u64::from(amount) * 300),
        6 => Fault::CutTable(daemon),
        7 => Fault::HoldTable(daemon),
        8 => Fault::LoseTableAnswers(amount),
        9 => Fault::CrashEngine(engine),
        10 => Fault::StallEngine(engine),
        11 => Fault::CrashService(service),
        12 => Fault::RefuseCalls(service),
        13 => Fault::SlowTarget(target),
        14 => Fault::CutTarget(target),
        15 => Fault::HoldTarget(target),
        _ => Fault::DropAnswers(target),
    }
}

/// Injects faults into a fleet.
struct FaultInjector {
    fleet: harness::Fleet,
}

impl FaultInjector {
    fn target_link(&self, index: usize) -> String {
        let mut targets = self.fleet.engines.iter().chain(&self.fleet.services);
        let target = targets.nth(index).expect("index of a target");
        harness::target_link(&target.name)
    }

    async fn control_platform(&self, message: Value) {
        harness::Fleet::control(self.fleet.platform_address, &message)
            .await
            .expect("control");
    }

    /// Sends a control message to a target; ignores errors because the target may have crashed.
    async fn control_target(&self, target: &harness::TargetProcess, message: Value) {
        let _ = harness::Fleet::control(target.address, &message).await;
    }

    async fn start(&mut self, fault: Fault) {
        match fault {
            Fault::KillDaemon(daemon) => self.fleet.daemons[daemon].process.kill(),
            Fault::PauseDaemon(daemon) => self.fleet.daemons[daemon].process.pause(),
            Fault::Partition(one, other) => self.fleet.start_partition(one, other).await,
            Fault::OneWayPartition(from, to) => {
                self.fleet.start_one_way_partition(from, to).await;
            }
            Fault::TableDown(kind) => self.control_platform(json!({"down": kind})).await,
            Fault::TableSlow(slow_ms) => self.control_platform(json!({"slow_ms": slow_ms})).await,
            Fault::CutTable(daemon) => self.set_table_fault(daemon, proxy::FaultKind::Cut).await,
            Fault::HoldTable(daemon) => {
                let kind = proxy::FaultKind::BlackholeUp;
                self.set_table_fault(daemon, kind).await;
            }
            Fault::LoseTableAnswers(count) => {
                self.control_platform(json!({"lose_next": count})).await
            }
            Fault::CrashEngine(engine) => self.fleet.engines[engine].process.kill(),
            Fault::StallEngine(engine) => {
                let engine = &self.fleet.engines[engine];
                self.control_target(engine, json!({"stall": true})).await;
            }
            Fault::CrashService(service) => {
                let service = &self.fleet.services[service];
                self.control_target(service, json!({"crash_after_executing": true}))
                    .await;
            }
            Fault::RefuseCalls(service) => {
                let service = &self.fleet.services[service];
                let message = json!({"refuse_not_run": 3, "close_unexecuted": 1});
                self.control_target(service, message).await;
            }
            Fault::SlowTarget(target) => {
                let fault = proxy::LinkFault {
                    kind: proxy::FaultKind::Delay,
                    delay_ms: 80,
                    ..proxy::LinkFault::default()
                };
                let link = self.target_link(target);
                self.fleet.set_fault(&link, &fault).await;
            }
            Fault::CutTarget(target) => self.set_target_fault(target, proxy::FaultKind::Cut).await,
            Fault::HoldTarget(target) => {
                let kind = proxy::FaultKind::BlackholeUp;
                self.set_target_fault(target, kind).await;
            }
            Fault::DropAnswers(target) => {
                let kind = proxy::FaultKind::DropAnswers;
                self.set_target_fault(target, kind).await;
            }
        }
    }

    async fn set_table_fault(&self, daemon: usize, kind: proxy::FaultKind) {
        let link = harness::table_link(daemon);
        self.fleet.start_fault(&link, kind).await;
    }

    async fn set_target_fault(&self, target: usize, kind: proxy::FaultKind) {
        let link = self.target_link(target);
        self.fleet.start_fault(&link, kind).await;
    }

    async fn end(&mut self, fault: Fault) {
        match fault {
            Fault::KillDaemon(daemon) => {
                let process = &mut self.fleet.daemons[daemon].process;
                process.restart().expect("restart");
            }
            Fault::PauseDaemon(daemon) => self.fleet.daemons[daemon].process.resume(),
            Fault::Partition(one, other) | Fault::OneWayPartition(one, other) => {
                self.fleet.end_partition(one, other).await;
            }
            Fault::TableDown(_) => self.control_platform(json!({"down": "none"})).await,
            Fault::TableSlow(_) => self.control_platform(json!({"slow_ms": 0})).await,
            Fault::CutTable(daemon) | Fault::HoldTable(daemon) => {
                self.set_table_fault(daemon, proxy::FaultKind::None).await;
            }
            Fault::LoseTableAnswers(_) => self.control_platform(json!({"lose_next": 0})).await,
            Fault::CrashEngine(engine) => {
                let process = &mut self.fleet.engines[engine].process;
                process.restart().expect("restart");
            }
            Fault::StallEngine(engine) => {
                let engine = &self.fleet.engines[engine];
                self.control_target(engine, json!({"stall": false})).await;
            }
            Fault::CrashService(service) => {
                let process = &mut self.fleet.services[service].process;
                process.restart().expect("restart");
            }
            Fault::RefuseCalls(service) => {
                let service = &self.fleet.services[service];
                let message = json!({"refuse_not_run": 0, "close_unexecuted": 0});
                self.control_target(service, message).await;
            }
            Fault::SlowTarget(target)
            | Fault::CutTarget(target)
            | Fault::HoldTarget(target)
            | Fault::DropAnswers(target) => {
                self.set_target_fault(target, proxy::FaultKind::None).await;
            }
        }
    }

    /// Starts and ends the faults of a schedule at their planned times.
    async fn run(&mut self, planned: &[PlannedFault]) {
        let starts = planned.iter().map(|entry| (entry.start_ms, true, entry));
        let ends = planned.iter().map(|entry| (entry.end_ms, false, entry));
        let mut steps: Vec<_> = starts.chain(ends).collect();
        steps.sort_by_key(|(at_ms, is_start, _)| (*at_ms, *is_start));
        let started = tokio::time::Instant::now();
        for (at_ms, is_start, entry) in steps {
            tokio::time::sleep_until(started + time::Duration::from_millis(at_ms)).await;
            match is_start {
                true => self.start(entry.fault).await,
                false => self.end(entry.fault).await,
            }
        }
    }
}

/// Outcomes of all requests, as seen by the callers; a notice is paired with its body.
#[derive(Default)]
struct CallerOutcomes {
    completions: Vec<harness::CallOutcome>,
    notices: Vec<(String, harness::CallOutcome)>,
}

type StopFlag = Arc<atomic::AtomicBool>;

async fn send_completions(
    caller: harness::Caller,
    number: usize,
    is_stopped: StopFlag,
) -> CallerOutcomes {
    let mut outcomes = CallerOutcomes::default();
    while !is_stopped.load(atomic::Ordering::Relaxed) {
        let request = harness::CompletionRequest {
            model: MODEL.to_owned(),
            prompt: format!("caller {number}, request {}", outcomes.completions.len()),
            max_tokens: 20,
            is_stream: outcomes.completions.len().is_multiple_of(2),
            ..harness::CompletionRequest::default()
        };
        outcomes.completions.push(caller.complete(&request).await);
    }
    outcomes
}

async fn send_notices(
    caller: harness::Caller,
    number: usize,
    is_stopped: StopFlag,
) -> CallerOutcomes {
    let mut outcomes = CallerOutcomes::default();
    while !is_stopped.load(atomic::Ordering::Relaxed) {
        let key = format!("notice-{number}-{}", outcomes.notices.len());
        let request = harness::ServiceRequest {
            service: "ledger".to_owned(),
            method: "POST".to_owned(),
            path: "/notices".to_owned(),
            idempotency_key: Some(key.clone()),
            body: json!({"notice": key}).to_string(),
            headers: vec![("x-timeout-ms".to_owned(), "4000".to_owned())],
            ..harness::ServiceRequest::default()
        };
        let outcome = caller.call_service(&request).await;
        outcomes.notices.push((request.body, outcome));
        // A notice takes a few milliseconds; the pause keeps notices from crowding out completions.
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    outcomes
}

/// Ids of requests of which an engine or a service executed, or began to execute, an attempt.
fn executed_requests(journals: &harness::JournalEntries) -> BTreeSet<String> {
    let attempt_of = |entry: &Value| entry["attempt"].as_str().map(str::to_owned);
    let refused: BTreeSet<String> = journals.events("refused").filter_map(attempt_of).collect();
    let received = journals.events("received");
    let by_engines = received.filter(|entry| entry["engine"].is_string());
    let attempts = by_engines
        .filter_map(attempt_of)
        .filter(|attempt| !refused.contains(attempt))
        .chain(journals.events("executed").filter_map(attempt_of));
    attempts
        .filter_map(|attempt| Some(attempt.rsplit_once('.')?.0.to_owned()))
        .collect()
}

/// Checks the guarantees and returns a description of each violation.
fn find_violations(outcomes: &CallerOutcomes, journals: &harness::JournalEntries) -> Vec<String> {
    let mut violations = Vec::new();
    for (body, count) in journals.executions_by_body() {
        if count > 1 {
            violations.push(format!("a notice was executed {count} times: {body}"));
        }
    }
    let executed = executed_requests(journals);
    let notices = outcomes.notices.iter().map(|(_, outcome)| outcome);
    for outcome in outcomes.completions.iter().chain(notices) {
        violations.extend(outcome.violations.iter().cloned());
        for refusal in &outcome.refusals {
            if refusal.verdict == "not_run" && executed.contains(&refusal.request_id) {
                violations.push(format!("executed although refused as not_run: {refusal:?}"));
            }
        }
    }
    for outcome in &outcomes.completions {
        let last = outcome.refusals.last();
        let is_suspect = last.is_some_and(|refusal| refusal.reason == "suspect_request");
        if !outcome.is_complete && !is_suspect {
            violations.push(format!(
                "an idempotent request did not complete: {outcome:?}"
            ));
        }
    }
    for (body, outcome) in &outcomes.notices {
        let count = journals.executions_of(body);
        let last = outcome.refusals.last();
        let is_unresolved = last.is_some_and(|refusal| {
            refusal.reason == "key_unresolved" && refusal.verdict == "may_have_run"
        });
        match outcome.is_complete {
            true if count == 1 => {}
            false if is_unresolved => {}
            _ => violations.push(format!("notice executed {count} times: {outcome:?}")),
        }
    }
    violations
}

fn print_summary(seed: u64, outcomes: &CallerOutcomes, journals: &harness::JournalEntries) {
    let mut reasons: BTreeMap<String, usize> = BTreeMap::new();
    let notices = outcomes.notices.iter().map(|(_, outcome)| outcome);
    for outcome in outcomes.completions.iter().chain(notices.clone()) {
        for refusal in &outcome.refusals {
            let name = format!("{} {}", refusal.reason, refusal.verdict);
            *reasons.entry(name).or_default() += 1;
        }
    }
    let completed = |calls: Vec<&harness::CallOutcome>| {
        let count = calls.iter().filter(|outcome| outcome.is_complete).count();
        format!("{count} of {}", calls.len())
    };
    println!(
        "seed {seed}: completions {}, notices {}, executed {}, refusals {reasons:?}",
        completed(outcomes.completions.iter().collect()),
        completed(notices.collect()),
        journals.events("executed").count(),
    );
}

async fn run_seed(seed: u64) {
    let _permit = harness::acquire_fleet_permit().await;
    let planned = schedule(seed);
    println!("seed {seed}");
    for entry in &planned {
        println!(
            "{:>6} to {:>6} ms: {:?}",
            entry.start_ms, entry.end_ms, entry.fault
        );
    }
    let mut spec = harness::FleetSpec::small(DAEMON_COUNT, ENGINE_COUNT, SERVICE_COUNT);
    spec.timers.first_byte_timeout_ms = 1_500;
    spec.timers.idle_timeout_ms = 1_500;
    let launcher = harness::Launcher::new(env!("CARGO_BIN_EXE_testbed")).expect("launcher");
    let fleet = spec.start(launcher).await.expect("fleet");
    fleet.wait_converged().await;
    let is_stopped: StopFlag = Arc::default();
    let caller = || fleet.caller(None, REQUEST_TIMEOUT);
    let completions = (0..COMPLETION_CALLER_COUNT)
        .map(|number| tokio::spawn(send_completions(caller(), number, Arc::clone(&is_stopped))));
    let mut callers: Vec<_> = completions.collect();
    let notices = (0..NOTICE_CALLER_COUNT)
        .map(|number| tokio::spawn(send_notices(caller(), number, Arc::clone(&is_stopped))));
    callers.extend(notices);
    let mut injector = FaultInjector { fleet };
    injector.run(&planned).await;
    is_stopped.store(true, atomic::Ordering::Relaxed);
    let mut outcomes = CallerOutcomes::default();
    for caller in callers {
        let of_caller = caller.await.expect("task");
        outcomes.completions.extend(of_caller.completions);
        outcomes.notices.extend(of_caller.notices);
    }
    let journals = injector.fleet.journals().expect("journals");
    print_summary(seed, &outcomes, &journals);
    let violations = find_violations(&outcomes, &journals);
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

/// Guards against a fault schedule that cannot be reproduced from its seed.
#[test]
fn schedule_depends_on_the_seed_alone() {
    let text = |seed| format!("{:?}", schedule(seed));
    assert_eq!(text(1), text(1));
    assert_ne!(text(1), text(2));
}

/// Guards against violations that occur only when several faults overlap.
#[tokio::test]
async fn guarantees_hold_for_seed_1() {
    run_seed(1).await;
}

/// Like `guarantees_hold_for_seed_1`, with another fault schedule.
#[tokio::test]
async fn guarantees_hold_for_seed_2() {
    run_seed(2).await;
}

/// Like `guarantees_hold_for_seed_1`, with another fault schedule.
#[tokio::test]
async fn guarantees_hold_for_seed_3() {
    run_seed(3).await;
}

/// Like `guarantees_hold_for_seed_1`, for the seeds up to `ACACIABANK_CHAOS_SEEDS`.
#[tokio::test]
async fn guarantees_hold_for_more_seeds() {
    let seeds = env::var("ACACIABANK_CHAOS_SEEDS").unwrap_or_default();
    let last = seeds.parse::<u64>().unwrap_or(LAST_FIXED_SEED);
    for seed in LAST_FIXED_SEED + 1..=last {
        run_seed(seed).await;
    }
}
