//! A request that crashes every engine that runs it, sent again and again by its caller.

use std::{
    sync::{Arc, atomic},
    time,
};

use acaciabank_testbed::{harness, web};
use serde_json::json;

/// Generous limit for requests on a busy machine.
const LIMIT: time::Duration = time::Duration::from_secs(30);
const MODEL: &str = "drafting";
/// Crashes after which a request is refused.
const MAX_CRASHES: usize = 2;

struct SuspectFleet {
    fleet: harness::Fleet,
    _turn: tokio::sync::SemaphorePermit<'static>,
}

fn launcher() -> harness::Launcher {
    harness::Launcher::new(env!("CARGO_BIN_EXE_testbed")).expect("launcher")
}

impl SuspectFleet {
    async fn start(adjust: impl FnOnce(&mut harness::FleetSpec)) -> Self {
        let turn = harness::acquire_fleet_permit().await;
        let mut spec = harness::FleetSpec::small(3, 4, 1);
        // The connection to a crashed engine must break; a proxy would accept the next one.
        spec.proxied = harness::ProxiedLinks::default();
        adjust(&mut spec);
        let fleet = spec.start(launcher()).await.expect("fleet");
        fleet.wait_settled().await;
        let suspects = Self { fleet, _turn: turn };
        suspects.wait_links().await;
        suspects
    }

    /// Waits until the daemons exchange entries: a daemon that started first waits before it connects
    /// again to one that did not listen yet.
    async fn wait_links(&self) {
        let rounds = 12.0;
        harness::wait_until(LIMIT, "the daemons exchange entries", async || {
            let mut fewest = f64::MAX;
            for daemon in &self.fleet.daemons {
                let answer = web::call(daemon.admin_address, "GET", "/metrics", &[], "").await;
                let text = answer.map(|answer| answer.body).unwrap_or_default();
                let text = String::from_utf8_lossy(&text).into_owned();
                let name = "acaciabank_control_messages_total{method=\"gossip\"}";
                let line = text.lines().find_map(|line| line.strip_prefix(name));
                let count = line.and_then(|count| count.trim().parse::<f64>().ok());
                fewest = fewest.min(count.unwrap_or(0.0));
            }
            fewest >= rounds * (self.fleet.daemons.len() - 1) as f64
        })
        .await;
    }

    /// Sends the crashing prompt through a daemon; returns the reason of the refusal.
    async fn send_crashing(&self, daemon: usize) -> String {
        let address = self.fleet.daemons[daemon].caller_address;
        let body = json!({"model": MODEL, "prompt": "CRASH-ENGINE", "max_tokens": 8}).to_string();
        let answer = web::call(address, "POST", "/v1/completions", &[], body).await;
        let answer = answer.expect("an answer").json();
        answer["error"]["reason"]
            .as_str()
            .unwrap_or("none")
            .to_owned()
    }

    fn lost_engines(&mut self) -> usize {
        let engines = self.fleet.engines.iter_mut();
        engines
            .filter_map(|engine| engine.process.exit_status())
            .count()
    }

    /// Callers with streams in flight until `stop` is set; returns all outcomes.
    fn start_callers(
        &self,
        stop: &Arc<atomic::AtomicBool>,
    ) -> Vec<tokio::task::JoinHandle<Vec<harness::CallOutcome>>> {
        let start = |number: usize| {
            let caller = self.fleet.caller(None, LIMIT);
            let stop = Arc::clone(stop);
            tokio::spawn(async move {
                let mut outcomes = Vec::new();
                while !stop.load(atomic::Ordering::Relaxed) {
                    let request = harness::CompletionRequest {
                        model: MODEL.to_owned(),
                        prompt: format!("caller {number}, request {}", outcomes.len()),
                        max_tokens: 30,
                        is_stream: number.is_multiple_of(2),
                        ..harness::CompletionRequest::default()
                    };
                    outcomes.push(caller.complete(&request).await);
                }
                outcomes
            })
        };
        (0..8).map(start).collect()
    }
}

/// Guards against a request that takes down one engine after another, and against harm to the other
/// requests that were in flight with it.
#[tokio::test]
async fn crashing_prompt_costs_two_engines_and_others_complete() {
    let mut suspects = SuspectFleet::start(|_| {}).await;
    let stop = Arc::new(atomic::AtomicBool::new(false));
    let callers = suspects.start_callers(&stop);
    harness::wait_until(LIMIT, "the other requests run", async || {
        let journals = suspects.fleet.journals().expect("journals");
        journals.events("finished").count() >= 8
    })
    .await;
    let mut reasons = Vec::new();
    for number in 0..9 {
        reasons.push(suspects.send_crashing(number % 3).await);
    }
    let finished = |suspects: &SuspectFleet| {
        let journals = suspects.fleet.journals().expect("journals");
        journals.events("finished").count()
    };
    let before = finished(&suspects);
    harness::wait_until(LIMIT, "the other requests go on", async || {
        finished(&suspects) >= before + 16
    })
    .await;
    stop.store(true, atomic::Ordering::Relaxed);
    let lost = suspects.lost_engines();
    assert_eq!(lost, MAX_CRASHES, "{reasons:?}");
    assert!(
        reasons[1..]
            .iter()
            .all(|reason| reason == "suspect_request"),
        "{reasons:?}"
    );
    for caller in callers {
        for outcome in caller.await.expect("task") {
            assert!(outcome.is_complete, "{outcome:?}");
            assert!(outcome.violations.is_empty(), "{outcome:?}");
        }
    }
}

/// Guards against a count of crashes that each daemon keeps for itself: every daemon allows one
/// attempt and dies after its answer.
#[tokio::test]
async fn crashes_are_counted_over_all_daemons() {
    let mut suspects = SuspectFleet::start(|spec| spec.limits.max_attempts = 1).await;
    let first = suspects.send_crashing(0).await;
    suspects.fleet.daemons[0].process.kill();
    let second = suspects.send_crashing(1).await;
    suspects.fleet.daemons[1].process.kill();
    let third = suspects.send_crashing(2).await;
    let reasons = [first, second, third];
    assert_eq!(reasons[0], "target_failed", "{reasons:?}");
    assert_eq!(reasons[1..], ["suspect_request", "suspect_request"]);
    assert_eq!(suspects.lost_engines(), MAX_CRASHES, "{reasons:?}");
}

/// Guards against equal requests at one engine that count its one crash several times and are
/// refused.
#[tokio::test]
async fn equal_requests_survive_one_crash() {
    let mut suspects = SuspectFleet::start(|spec| {
        spec.daemons = 1;
        spec.deployment.engines.truncate(2);
    })
    .await;
    let caller = Arc::new(suspects.fleet.caller(None, LIMIT));
    let request = harness::CompletionRequest {
        model: MODEL.to_owned(),
        prompt: "the same for all".to_owned(),
        max_tokens: 100,
        is_stream: true,
        ..harness::CompletionRequest::default()
    };
    // Three requests at two engines: one engine has two of them.
    let calls = (0..3).map(|_| {
        let (caller, request) = (Arc::clone(&caller), request.clone());
        tokio::spawn(async move { caller.complete(&request).await })
    });
    let calls: Vec<_> = calls.collect();
    let mut busiest = None;
    harness::wait_until(LIMIT, "an engine runs two requests", async || {
        let journals = suspects.fleet.journals().expect("journals");
        let count = |engine: &harness::TargetProcess| {
            let received = journals.events("received");
            let own = received.filter(|entry| entry["engine"] == *engine.name);
            own.count()
        };
        let engines = suspects.fleet.engines.iter();
        busiest = engines.clone().position(|engine| count(engine) >= 2);
        busiest.is_some() && engines.map(count).sum::<usize>() == 3
    })
    .await;
    let busiest = busiest.expect("a position");
    suspects.fleet.engines[busiest].process.kill();
    for call in calls {
        let outcome = call.await.expect("task");
        assert!(outcome.is_complete, "{outcome:?}");
        assert_eq!(outcome.refusals, [], "{outcome:?}");
    }
}

/// Guards against a crashing request that is sent through all daemons at the same time and takes
/// down more engines than one daemon's two attempts each would explain, or all of them.
#[tokio::test]
async fn concurrent_crashing_requests_leave_engines_alive() {
    let mut suspects = SuspectFleet::start(|_| {}).await;
    let sent = (0..3).map(|daemon| suspects.send_crashing(daemon));
    let reasons = futures::future::join_all(sent).await;
    let lost = suspects.lost_engines();
    println!("{lost} engines lost, {reasons:?}");
    assert!(lost < suspects.fleet.engines.len(), "{reasons:?}");
    for daemon in 0..3 {
        assert_eq!(suspects.send_crashing(daemon).await, "suspect_request");
    }
    assert_eq!(suspects.lost_engines(), lost);
}
