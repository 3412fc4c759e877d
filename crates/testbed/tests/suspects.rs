//! Guards against a request that crashes every engine it runs on and that its caller keeps
//! resending.

use std::{
    sync::{Arc, atomic},
    time,
};

use acaciabank_testbed::{harness, web};
use serde_json::json;

/// Timeout of requests and maximum wait for a condition; generous because the machine may be busy.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);
const MODEL: &str = "drafting";
/// Number of crashed engines after which a request is refused.
const MAX_CRASHES: usize = 2;
/// Number of engines that different prompts with the same beginning may crash, as for prompt parts
/// of the relay.
const MAX_BEGINNING_CRASHES: usize = 5;

/// Time between two moments at which prompts come; engines that fail together do so in less.
const MOMENT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// A fleet, and the permit that limits how many fleets run at a time.
struct FleetFixture {
    fleet: harness::Fleet,
    _permit: tokio::sync::SemaphorePermit<'static>,
}

fn launcher() -> harness::Launcher {
    harness::Launcher::new(env!("CARGO_BIN_EXE_testbed")).expect("launcher")
}

impl FleetFixture {
    async fn start(adjust: impl FnOnce(&mut harness::FleetSpec)) -> Self {
        let permit = harness::acquire_fleet_permit().await;
        let mut spec = harness::FleetSpec::small(3, 4, 1);
        // Connections to a crashed engine must fail; a proxy would accept the next one.
        spec.proxied = harness::ProxiedLinks::default();
        adjust(&mut spec);
        let fleet = spec.start(launcher()).await.expect("fleet");
        fleet.wait_converged().await;
        let fixture = Self {
            fleet,
            _permit: permit,
        };
        fixture.wait_gossip().await;
        fixture
    }

    /// Waits until all daemons exchange gossip. A daemon that starts first backs off before it
    /// reconnects to one that was not yet listening.
    async fn wait_gossip(&self) {
        let min_rounds = 12.0;
        harness::wait_until(TIMEOUT, "the daemons exchange gossip", async || {
            let mut fewest = f64::MAX;
            for daemon in &self.fleet.daemons {
                let response = web::call(daemon.admin_address, "GET", "/metrics", &[], "").await;
                let text = response.map(|response| response.body).unwrap_or_default();
                let text = String::from_utf8_lossy(&text).into_owned();
                let name = "acaciabank_control_messages_total{method=\"gossip\"}";
                let line = text.lines().find_map(|line| line.strip_prefix(name));
                let count = line.and_then(|count| count.trim().parse::<f64>().ok());
                fewest = fewest.min(count.unwrap_or(0.0));
            }
            fewest >= min_rounds * (self.fleet.daemons.len() - 1) as f64
        })
        .await;
    }

    /// Sends the crashing prompt through a daemon; returns the reason of the refusal.
    async fn send_crashing_prompt(&self, daemon: usize) -> String {
        self.send_prompt(daemon, "CRASH-ENGINE").await
    }

    /// Sends a prompt through a daemon; returns the reason of the refusal.
    async fn send_prompt(&self, daemon: usize, prompt: &str) -> String {
        let address = self.fleet.daemons[daemon].caller_address;
        let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": 8}).to_string();
        let response = web::call(address, "POST", "/v1/completions", &[], body).await;
        let response = response.expect("a response").json();
        response["error"]["reason"]
            .as_str()
            .unwrap_or("none")
            .to_owned()
    }

    /// Number of engine processes that have exited.
    fn crashed_engine_count(&mut self) -> usize {
        let engines = self.fleet.engines.iter_mut();
        engines
            .filter_map(|engine| engine.process.exit_status())
            .count()
    }

    /// Starts callers that send requests, all with the given beginning, until `is_stopped` is set;
    /// each task returns all its outcomes.
    fn start_callers(
        &self,
        beginning: &str,
        is_stopped: &Arc<atomic::AtomicBool>,
    ) -> Vec<tokio::task::JoinHandle<Vec<harness::CallOutcome>>> {
        let start = |number: usize| {
            let caller = self.fleet.caller(None, TIMEOUT);
            let is_stopped = Arc::clone(is_stopped);
            let beginning = beginning.to_owned();
            tokio::spawn(async move {
                let mut outcomes = Vec::new();
                while !is_stopped.load(atomic::Ordering::Relaxed) {
                    let request = harness::CompletionRequest {
                        model: MODEL.to_owned(),
                        prompt: format!("{beginning}caller {number}, request {}", outcomes.len()),
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

/// Guards against a request that crashes one engine after another, and against failures of other
/// requests in flight at the crashed engines.
#[tokio::test]
async fn crashing_prompt_stops_after_two_engines_and_others_complete() {
    let mut fixture = FleetFixture::start(|_| {}).await;
    let is_stopped = Arc::new(atomic::AtomicBool::new(false));
    let callers = fixture.start_callers("", &is_stopped);
    harness::wait_until(TIMEOUT, "the other requests run", async || {
        let journals = fixture.fleet.journals().expect("journals");
        journals.events("finished").count() >= 8
    })
    .await;
    let mut reasons = Vec::new();
    for number in 0..9 {
        reasons.push(fixture.send_crashing_prompt(number % 3).await);
    }
    let finished = |fixture: &FleetFixture| {
        let journals = fixture.fleet.journals().expect("journals");
        journals.events("finished").count()
    };
    let before = finished(&fixture);
    harness::wait_until(TIMEOUT, "the other requests continue", async || {
        finished(&fixture) >= before + 16
    })
    .await;
    is_stopped.store(true, atomic::Ordering::Relaxed);
    let crashed_engines = fixture.crashed_engine_count();
    assert_eq!(crashed_engines, MAX_CRASHES, "{reasons:?}");
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

/// Guards against crash counts that daemons do not share: each daemon allows one attempt and is
/// killed after its response.
#[tokio::test]
async fn crashes_are_counted_over_all_daemons() {
    let mut fixture = FleetFixture::start(|spec| spec.limits.max_attempts = 1).await;
    let first = fixture.send_crashing_prompt(0).await;
    fixture.fleet.daemons[0].process.kill();
    let second = fixture.send_crashing_prompt(1).await;
    fixture.fleet.daemons[1].process.kill();
    let third = fixture.send_crashing_prompt(2).await;
    let reasons = [first, second, third];
    assert_eq!(reasons[0], "target_failed", "{reasons:?}");
    assert_eq!(reasons[1..], ["suspect_request", "suspect_request"]);
    assert_eq!(fixture.crashed_engine_count(), MAX_CRASHES, "{reasons:?}");
}

/// Guards against identical requests at one engine that each count its single crash and are
/// therefore refused.
#[tokio::test]
async fn identical_requests_survive_one_crash() {
    let mut fixture = FleetFixture::start(|spec| {
        spec.daemons = 1;
        spec.deployment.engines.truncate(2);
    })
    .await;
    let caller = Arc::new(fixture.fleet.caller(None, TIMEOUT));
    let request = harness::CompletionRequest {
        model: MODEL.to_owned(),
        prompt: "the same for all".to_owned(),
        max_tokens: 100,
        is_stream: true,
        ..harness::CompletionRequest::default()
    };
    // Of three requests at two engines, one engine gets at least two.
    let calls = (0..3).map(|_| {
        let (caller, request) = (Arc::clone(&caller), request.clone());
        tokio::spawn(async move { caller.complete(&request).await })
    });
    let calls: Vec<_> = calls.collect();
    let mut busiest = None;
    harness::wait_until(TIMEOUT, "an engine runs two requests", async || {
        let journals = fixture.fleet.journals().expect("journals");
        let count = |engine: &harness::TargetProcess| {
            let received = journals.events("received");
            let own = received.filter(|entry| entry["engine"] == *engine.name);
            own.count()
        };
        let engines = fixture.fleet.engines.iter();
        busiest = engines.clone().position(|engine| count(engine) >= 2);
        busiest.is_some() && engines.map(count).sum::<usize>() == 3
    })
    .await;
    let busiest = busiest.expect("index of the busiest engine");
    fixture.fleet.engines[busiest].process.kill();
    for call in calls {
        let outcome = call.await.expect("task");
        assert!(outcome.is_complete, "{outcome:?}");
        assert_eq!(outcome.refusals, [], "{outcome:?}");
    }
}

/// Guards against a crashing request that, sent through all daemons at once, crashes more engines
/// than two attempts at each daemon account for, or all of them.
#[tokio::test]
async fn concurrent_crashing_requests_do_not_crash_all_engines() {
    let mut fixture = FleetFixture::start(|_| {}).await;
    let sent = (0..3).map(|daemon| fixture.send_crashing_prompt(daemon));
    let reasons = futures::future::join_all(sent).await;
    let crashed_engines = fixture.crashed_engine_count();
    println!("{crashed_engines} engines crashed, reasons {reasons:?}");
    assert!(crashed_engines < fixture.fleet.engines.len(), "{reasons:?}");
    for daemon in 0..3 {
        assert_eq!(
            fixture.send_crashing_prompt(daemon).await,
            "suspect_request"
        );
    }
    assert_eq!(fixture.crashed_engine_count(), crashed_engines);
}

/// Guards against a beginning of prompts that crashes engines for as long as requests with it come,
/// because no two of them are equal.
#[tokio::test]
async fn different_prompts_with_a_crashing_beginning_do_not_crash_all_engines() {
    let mut fixture = FleetFixture::start(|spec| {
        let engines = harness::FleetSpec::small(3, MAX_BEGINNING_CRASHES + 3, 1);
        spec.deployment.engines = engines.deployment.engines;
    })
    .await;
    // The beginning fills whole pieces of the prompt, by which daemons recognize it.
    let beginning = format!("CRASH-ENGINE {}", "shared words ".repeat(100));
    let mut reasons = Vec::new();
    for number in 0..9 {
        let prompt = format!("{beginning}, request {number}");
        reasons.push(fixture.send_prompt(number % 3, &prompt).await);
    }
    let crashed_engines = fixture.crashed_engine_count();
    println!("{crashed_engines} engines crashed, reasons {reasons:?}");
    assert!(crashed_engines <= MAX_BEGINNING_CRASHES, "{reasons:?}");
    let answered = fixture.send_prompt(0, "a sound prompt").await;
    assert_eq!(answered, "none");
}

/// Guards against different prompts with a crashing beginning that arrive at all daemons at once and
/// are retried at once: the retries crash as many engines again before any daemon hears of the
/// crashes at the others.
#[tokio::test]
async fn concurrent_prompts_with_a_crashing_beginning_do_not_crash_all_engines() {
    let mut fixture = FleetFixture::start(|spec| {
        let engines = harness::FleetSpec::small(3, MAX_BEGINNING_CRASHES + 3, 1);
        spec.deployment.engines = engines.deployment.engines;
    })
    .await;
    let beginning = format!("CRASH-ENGINE {}", "shared words ".repeat(100));
    let prompts = [0, 1, 2].map(|number| format!("{beginning}, request {number}"));
    let sent = (0..3).map(|daemon| fixture.send_prompt(daemon, &prompts[daemon]));
    let mut reasons = futures::future::join_all(sent).await;
    let crashed_engines = fixture.crashed_engine_count();
    println!("{crashed_engines} engines crashed, reasons {reasons:?}");
    // One engine for each first attempt, and the retries until the beginning is refused.
    assert!(crashed_engines <= MAX_BEGINNING_CRASHES, "{reasons:?}");
    for daemon in 0..3 {
        let prompt = format!("{beginning}, later request {daemon}");
        reasons.push(fixture.send_prompt(daemon, &prompt).await);
    }
    println!("reasons {reasons:?}");
    let refused = reasons.iter().all(|reason| reason == "suspect_request");
    assert!(refused, "{reasons:?}");
    assert_eq!(fixture.crashed_engine_count(), crashed_engines);
}

/// Guards against different prompts with a crashing beginning that come at one moment after the other
/// and are not retried: each moment counts as one crash, so that those of the next ones would reach
/// engines too.
#[tokio::test]
async fn prompts_with_a_crashing_beginning_that_come_at_one_moment_are_stopped() {
    let mut fixture = FleetFixture::start(|spec| {
        let engines = harness::FleetSpec::small(3, MAX_BEGINNING_CRASHES + 3, 1);
        spec.deployment.engines = engines.deployment.engines;
        spec.limits.max_attempts = 1;
    })
    .await;
    let beginning = format!("CRASH-ENGINE {}", "shared words ".repeat(100));
    for moment in 0..4 {
        let prompts = [0, 1, 2].map(|number| format!("{beginning}, request {moment}.{number}"));
        let sent = (0..3).map(|daemon| fixture.send_prompt(daemon, &prompts[daemon]));
        let reasons = futures::future::join_all(sent).await;
        let crashed_engines = fixture.crashed_engine_count();
        println!("{crashed_engines} engines crashed, reasons {reasons:?}");
        assert!(crashed_engines <= MAX_BEGINNING_CRASHES, "{reasons:?}");
        tokio::time::sleep(MOMENT_INTERVAL).await;
    }
}

/// Guards against sound prompts that are refused, or wait for one another without end, because they
/// share their beginning with prompts that crash engines.
#[tokio::test]
async fn sound_prompts_with_the_beginning_of_crashing_ones_complete() {
    let mut fixture = FleetFixture::start(|spec| {
        let engines = harness::FleetSpec::small(3, MAX_BEGINNING_CRASHES + 3, 1);
        spec.deployment.engines = engines.deployment.engines;
    })
    .await;
    let beginning = "shared words ".repeat(100);
    let is_stopped = Arc::new(atomic::AtomicBool::new(false));
    let callers = fixture.start_callers(&beginning, &is_stopped);
    let finished = |fixture: &FleetFixture| {
        let journals = fixture.fleet.journals().expect("journals");
        journals.events("finished").count()
    };
    harness::wait_until(TIMEOUT, "the sound requests run", async || {
        finished(&fixture) >= 8
    })
    .await;
    let prompts = [0, 1].map(|number| format!("{beginning}CRASH-ENGINE {number}"));
    let sent = (0..2).map(|daemon| fixture.send_prompt(daemon, &prompts[daemon]));
    let reasons = futures::future::join_all(sent).await;
    let before = finished(&fixture);
    harness::wait_until(TIMEOUT, "the sound requests continue", async || {
        finished(&fixture) >= before + 16
    })
    .await;
    is_stopped.store(true, atomic::Ordering::Relaxed);
    let crashed_engines = fixture.crashed_engine_count();
    println!("{crashed_engines} engines crashed, reasons {reasons:?}");
    assert!(crashed_engines <= 2 * MAX_CRASHES, "{reasons:?}");
    for caller in callers {
        for outcome in caller.await.expect("task") {
            assert!(outcome.is_complete, "{outcome:?}");
            assert_eq!(outcome.refusals, [], "{outcome:?}");
            assert!(outcome.violations.is_empty(), "{outcome:?}");
        }
    }
}

/// Guards against a crashing beginning at one daemon, whose own crashes suffice to recognize it, and
/// against refusing prompts that begin otherwise.
#[tokio::test]
async fn a_daemon_learns_a_crashing_beginning_from_its_own_crashes() {
    let mut fixture = FleetFixture::start(|spec| {
        spec.daemons = 1;
        let engines = harness::FleetSpec::small(1, MAX_BEGINNING_CRASHES + 3, 1);
        spec.deployment.engines = engines.deployment.engines;
    })
    .await;
    let sound = "other words ".repeat(100);
    let beginning = format!("CRASH-ENGINE {}", "shared words ".repeat(100));
    let mut reasons = Vec::new();
    for number in 0..9 {
        let prompt = format!("{beginning}, request {number}");
        reasons.push(fixture.send_prompt(0, &prompt).await);
        let answered = fixture.send_prompt(0, &format!("{sound}{number}")).await;
        assert_eq!(answered, "none", "{reasons:?}");
    }
    let crashed_engines = fixture.crashed_engine_count();
    println!("{crashed_engines} engines crashed, reasons {reasons:?}");
    assert!(crashed_engines <= MAX_BEGINNING_CRASHES, "{reasons:?}");
    assert!(
        reasons.iter().all(|reason| reason == "suspect_request"),
        "{reasons:?}"
    );
}
