//! Every answer `not_run` is checked against the journals: no attempt of its request was executed.

use std::{net, time};

use acaciabank_testbed::{harness, proxy, web};
use serde_json::{Value, json};

/// Generous limit for conditions on a busy machine.
const LIMIT: time::Duration = time::Duration::from_secs(30);

struct VerdictFleet {
    fleet: harness::Fleet,
    _turn: tokio::sync::SemaphorePermit<'static>,
}

/// What a caller was told about one request.
#[derive(Clone, Debug)]
struct Told {
    status: u16,
    request: String,
    reason: String,
    verdict: String,
    body: String,
}

impl Told {
    fn read(answer: &web::BufferedResponse, body: String) -> Self {
        let value = answer.json();
        let error = &value["error"];
        let text = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
        let id = answer.headers.get("x-request-id");
        let id = id.and_then(|value| value.to_str().ok());
        Self {
            status: answer.status,
            request: id.unwrap_or_default().to_owned(),
            reason: text("reason"),
            verdict: text("verdict"),
            body,
        }
    }
}

fn launcher() -> harness::Launcher {
    harness::Launcher::new(env!("CARGO_BIN_EXE_testbed")).expect("launcher")
}

/// Checks each statement against the journals.
fn check(journals: &harness::JournalView, all: &[Told]) {
    for told in all {
        assert!(!told.request.is_empty(), "{told:?}");
        let prefix = format!("{}.", told.request);
        let is_own = |entry: &&Value| {
            let attempt = entry["attempt"].as_str().unwrap_or_default();
            attempt.starts_with(&prefix)
        };
        let executed = journals.events("executed").filter(is_own).count();
        // An engine runs whatever it receives and does not refuse.
        let received = journals.events("received").filter(is_own);
        let engine_received = received.filter(|entry| entry["engine"].is_string());
        let engine_refused = journals.events("refused").filter(is_own);
        let started = engine_received.count() - engine_refused.count();
        let bodies = journals.executions_of(&told.body);
        match told.verdict.as_str() {
            "not_run" => {
                let runs = executed + started + bodies;
                assert_eq!(runs, 0, "executed in spite of {told:?}");
            }
            "may_have_run" | "ran" => {}
            _ => assert!(told.status < 300, "{told:?}"),
        }
        assert!(bodies <= 1, "executed {bodies} times: {told:?}");
        let is_whole = bodies == 1 || started > 0;
        assert!(told.status >= 300 || is_whole, "{told:?}");
    }
}

impl VerdictFleet {
    async fn start(services: usize) -> Self {
        Self::start_with(services, harness::ProxiedLinks::ALL).await
    }

    async fn start_with(services: usize, proxied: harness::ProxiedLinks) -> Self {
        let turn = harness::acquire_fleet_permit().await;
        let mut spec = harness::FleetSpec::small(2, 1, services);
        spec.proxied = proxied;
        spec.timers.first_byte_timeout_ms = 600;
        let fleet = spec.start(launcher()).await.expect("fleet");
        fleet.wait_settled().await;
        Self { fleet, _turn: turn }
    }

    fn address(&self) -> net::SocketAddr {
        self.fleet.daemons[0].caller_address
    }

    /// A keyed call through the first daemon; its key and body are unique.
    async fn notice(&self, name: &str) -> Told {
        let body = json!({"notice": name}).to_string();
        let headers = [("idempotency-key", name), ("x-timeout-ms", "5000")];
        let path = "/services/ledger/notices";
        let answer = web::call(self.address(), "POST", path, &headers, body.clone()).await;
        Told::read(&answer.expect("an answer"), body)
    }

    /// Sends calls until one is not refused because all targets are avoided after a failure.
    async fn notice_past_backoff(&self, name: &str, all: &mut Vec<Told>) -> Told {
        let deadline = time::Instant::now() + LIMIT;
        for number in 0.. {
            let told = self.notice(&format!("{name}-{number}")).await;
            all.push(told.clone());
            if told.reason != "no_target" || time::Instant::now() > deadline {
                return told;
            }
        }
        unreachable!("the numbers do not end")
    }

    async fn control(&self, message: Value) {
        for service in &self.fleet.services {
            harness::Fleet::control(service.address, &message)
                .await
                .expect("control");
        }
    }

    async fn fault(&self, kind: proxy::FaultKind) {
        for service in &self.fleet.services {
            let link = harness::target_link(&service.name);
            self.fleet.start_fault(&link, kind).await;
        }
    }

    fn check(&self, all: &[Told]) {
        check(&self.fleet.journals().expect("journals"), all);
    }
}

/// Guards against `not_run` after a service read a request and closed the connection, and against a
/// retry of it: the daemon cannot tell whether it ran.
#[tokio::test]
async fn close_after_reading_may_have_run() {
    let verdicts = VerdictFleet::start(2).await;
    let mut all = Vec::new();
    for round in 0..3 {
        verdicts.control(json!({"close_unexecuted": 1})).await;
        let told = verdicts.notice(&format!("closed-{round}")).await;
        assert_eq!(told.reason, "target_failed", "{told:?}");
        assert_eq!(told.verdict, "may_have_run", "{told:?}");
        verdicts.control(json!({"close_unexecuted": 0})).await;
        all.push(told);
        // The daemon avoids the service for a while after the broken connection.
        verdicts.fleet.wait_accepting(0, 3).await;
    }
    verdicts.check(&all);
}

/// Guards against a marked refusal that ends a call, or is passed on, while another instance takes
/// it, and against `may_have_run` when all refuse.
#[tokio::test]
async fn marked_refusal_is_not_run_and_is_retried_elsewhere() {
    let verdicts = VerdictFleet::start(2).await;
    let mut all = Vec::new();
    let first = &verdicts.fleet.services[0];
    let message = json!({"refuse_not_run": 1});
    harness::Fleet::control(first.address, &message)
        .await
        .expect("control");
    let mut completed = 0;
    for round in 0..4 {
        let told = verdicts.notice(&format!("one-refuses-{round}")).await;
        completed += usize::from(told.status == 201);
        all.push(told);
    }
    assert_eq!(completed, 4, "{all:?}");
    verdicts.control(json!({"refuse_not_run": 1_000})).await;
    for round in 0..2 {
        let told = verdicts.notice(&format!("all-refuse-{round}")).await;
        assert_eq!(told.verdict, "not_run", "{told:?}");
        all.push(told);
    }
    verdicts.control(json!({"refuse_not_run": 0})).await;
    verdicts.check(&all);
}

/// Guards against an unmarked 503 that is taken for a proof: it is passed on as the service's own
/// answer and its key is not released.
#[tokio::test]
async fn unmarked_refusal_may_have_run() {
    let verdicts = VerdictFleet::start(2).await;
    verdicts.control(json!({"refuse_unmarked": 1})).await;
    let told = verdicts.notice("unmarked").await;
    assert_eq!(told.status, 503, "{told:?}");
    assert_ne!(told.verdict, "not_run", "{told:?}");
    verdicts.control(json!({"refuse_unmarked": 0})).await;
    let again = verdicts.notice("unmarked").await;
    assert_eq!(again.reason, "key_unresolved", "{again:?}");
    assert_eq!(again.verdict, "may_have_run", "{again:?}");
    let journals = verdicts.fleet.journals().expect("journals");
    assert_eq!(journals.executions_of(&told.body), 0);
}

/// Guards against a verdict that does not follow from the bytes written: a link that is cut before
/// a byte gets through is `not_run` only if the daemon wrote nothing.
#[tokio::test]
async fn cut_links_give_true_verdicts() {
    let verdicts = VerdictFleet::start(1).await;
    let mut all = Vec::new();
    // The pooled connection is cut too, before the next request is written.
    all.push(verdicts.notice("before").await);
    verdicts.fault(proxy::FaultKind::Cut).await;
    all.push(verdicts.notice("cut").await);
    verdicts.fault(proxy::FaultKind::None).await;
    let again = verdicts.notice_past_backoff("again", &mut all).await;
    assert_eq!(again.status, 201, "{again:?}");
    // The answer is lost after the service executed.
    verdicts.fault(proxy::FaultKind::DropAnswers).await;
    let dropped = verdicts.notice("answer-dropped").await;
    assert_eq!(dropped.verdict, "may_have_run", "{dropped:?}");
    all.push(dropped);
    verdicts.fault(proxy::FaultKind::None).await;
    let again = verdicts.notice_past_backoff("once-more", &mut all).await;
    assert_eq!(again.status, 201, "{again:?}");
    // The request is held on its way and delivered after its caller was refused.
    verdicts.fault(proxy::FaultKind::BlackholeUp).await;
    let held = verdicts.notice("held").await;
    assert_eq!(held.verdict, "may_have_run", "{held:?}");
    verdicts.fault(proxy::FaultKind::None).await;
    harness::wait_until(LIMIT, "the held request is executed", async || {
        let journals = verdicts.fleet.journals().expect("journals");
        journals.executions_of(&held.body) == 1
    })
    .await;
    all.push(held);
    verdicts.check(&all);
}

/// Guards against a refused connection that is not `not_run`, and against a request lost on a pooled
/// connection that its target closed while idle.
#[tokio::test]
async fn connections_closed_while_idle_lose_no_request() {
    // A proxy would accept connections for a service that is down.
    let links = harness::ProxiedLinks::default();
    let mut verdicts = VerdictFleet::start_with(1, links).await;
    let mut all = Vec::new();
    for round in 0..3 {
        let name = format!("pooled-{round}");
        let told = verdicts.notice_past_backoff(&name, &mut all).await;
        assert_eq!(told.status, 201, "{told:?}");
        // A restart closes the pooled connection.
        verdicts.fleet.services[0].process.kill();
        let refused = verdicts.notice(&format!("down-{round}")).await;
        assert_eq!(refused.verdict, "not_run", "{refused:?}");
        all.push(refused);
        verdicts.fleet.services[0]
            .process
            .restart()
            .expect("restart");
        verdicts.fleet.services[0].process.wait_ready().await;
        verdicts.fleet.wait_accepting(0, 2).await;
    }
    verdicts.check(&all);
}

/// Guards against `not_run` when a service is slow to answer and executes after the daemon gave up.
#[tokio::test]
async fn first_byte_timeout_may_have_run() {
    let verdicts = VerdictFleet::start(2).await;
    verdicts.control(json!({"delay_ms": 1_500})).await;
    let told = verdicts.notice("slow").await;
    assert_eq!(told.reason, "target_timeout", "{told:?}");
    assert_eq!(told.verdict, "may_have_run", "{told:?}");
    harness::wait_until(LIMIT, "the slow call is executed", async || {
        let journals = verdicts.fleet.journals().expect("journals");
        journals.executions_of(&told.body) == 1
    })
    .await;
    verdicts.check(&[told]);
}

/// Guards against a completion that is refused as `not_run` while an engine still generates it.
#[tokio::test]
async fn refused_completions_state_whether_an_engine_took_them() {
    let verdicts = VerdictFleet::start(1).await;
    let address = verdicts.address();
    let engine = verdicts.fleet.engines[0].address;
    let link = harness::target_link(&verdicts.fleet.engines[0].name);
    let call = |name: String| async move {
        let body = json!({"model": "drafting", "prompt": name, "max_tokens": 4}).to_string();
        let headers = [("x-timeout-ms", "1500")];
        let answer = web::call(address, "POST", "/v1/completions", &headers, body.clone()).await;
        Told::read(&answer.expect("an answer"), body)
    };
    let mut all = vec![call("warm".to_owned()).await];
    assert_eq!(all[0].status, 200, "{:?}", all[0]);
    harness::Fleet::control(engine, &json!({"stall": true}))
        .await
        .expect("control");
    let stalled = call("stalled".to_owned()).await;
    assert_eq!(stalled.verdict, "may_have_run", "{stalled:?}");
    all.push(stalled);
    harness::Fleet::control(engine, &json!({"stall": false}))
        .await
        .expect("control");
    for kind in [proxy::FaultKind::Cut, proxy::FaultKind::BlackholeUp] {
        verdicts.fleet.start_fault(&link, kind).await;
        let calls = (0..4).map(|number| call(format!("{kind:?}-{number}")));
        all.extend(futures::future::join_all(calls).await);
        verdicts.fleet.end_fault(&link).await;
    }
    let count = |verdict: &str| all.iter().filter(|told| told.verdict == verdict).count();
    println!(
        "{} not_run, {} may_have_run",
        count("not_run"),
        count("may_have_run")
    );
    verdicts.check(&all);
}

/// Guards against a wrong verdict under concurrent calls while links and services fail in turn.
#[tokio::test]
async fn verdicts_hold_under_concurrent_calls_and_changing_faults() {
    let verdicts = VerdictFleet::start(2).await;
    let address = verdicts.address();
    let call = |number: usize| async move {
        let name = format!("storm-{number}");
        let body = json!({"notice": name}).to_string();
        let headers = [("idempotency-key", name.as_str()), ("x-timeout-ms", "3000")];
        let path = "/services/ledger/notices";
        let answer = web::call(address, "POST", path, &headers, body.clone()).await;
        Told::read(&answer.expect("an answer"), body)
    };
    let mut all = Vec::new();
    let kinds = [
        proxy::FaultKind::Cut,
        proxy::FaultKind::DropAnswers,
        proxy::FaultKind::BlackholeDown,
        proxy::FaultKind::None,
    ];
    for (round, kind) in kinds.into_iter().enumerate() {
        let first = round * 12;
        let calls = futures::future::join_all((first..first + 12).map(call));
        let faults = async {
            verdicts
                .control(json!({"close_unexecuted": 1, "refuse_not_run": 2}))
                .await;
            verdicts.fault(kind).await;
        };
        let (told, ()) = futures::join!(calls, faults);
        all.extend(told);
        verdicts.fault(proxy::FaultKind::None).await;
        verdicts.fleet.wait_accepting(0, 3).await;
    }
    let count = |verdict: &str| all.iter().filter(|told| told.verdict == verdict).count();
    println!(
        "{} not_run, {} may_have_run",
        count("not_run"),
        count("may_have_run")
    );
    verdicts.check(&all);
}
