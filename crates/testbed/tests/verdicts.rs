//! Checks verdicts against the journals: no attempt of a request that was refused as `not_run` was
//! executed.

use std::{net, time};

use acaciabank_testbed::{harness, proxy, web};
use serde_json::{Value, json};

/// Maximum wait for a condition; generous because the machine may be busy.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// A fleet, and the permit that limits how many fleets run at a time.
struct FleetFixture {
    fleet: harness::Fleet,
    _permit: tokio::sync::SemaphorePermit<'static>,
}

/// What a caller received for one request.
#[derive(Clone, Debug)]
struct ObservedResponse {
    status: u16,
    request_id: String,
    reason: String,
    verdict: String,
    request_body: String,
}

impl ObservedResponse {
    fn from_response(response: &web::BufferedResponse, request_body: String) -> Self {
        let value = response.json();
        let error = &value["error"];
        let text = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
        let id = response.headers.get("x-request-id");
        let id = id.and_then(|value| value.to_str().ok());
        Self {
            status: response.status,
            request_id: id.unwrap_or_default().to_owned(),
            reason: text("reason"),
            verdict: text("verdict"),
            request_body,
        }
    }
}

fn launcher() -> harness::Launcher {
    harness::Launcher::new(env!("CARGO_BIN_EXE_testbed")).expect("launcher")
}

/// Checks each response against the journals.
fn check_verdicts(journals: &harness::JournalEntries, responses: &[ObservedResponse]) {
    for response in responses {
        assert!(!response.request_id.is_empty(), "{response:?}");
        let prefix = format!("{}.", response.request_id);
        let is_attempt = |entry: &&Value| {
            let attempt = entry["attempt"].as_str().unwrap_or_default();
            attempt.starts_with(&prefix)
        };
        let executed = journals.events("executed").filter(is_attempt).count();
        // An engine runs every request that it receives and does not refuse.
        let received = journals.events("received").filter(is_attempt);
        let engine_received = received.filter(|entry| entry["engine"].is_string());
        let engine_refused = journals.events("refused").filter(is_attempt);
        let engine_runs = engine_received.count() - engine_refused.count();
        let body_executions = journals.executions_of(&response.request_body);
        match response.verdict.as_str() {
            "not_run" => {
                let runs = executed + engine_runs + body_executions;
                assert_eq!(
                    runs, 0,
                    "executed although refused as not_run: {response:?}"
                );
            }
            "may_have_run" | "ran" => {}
            _ => assert!(response.status < 300, "{response:?}"),
        }
        assert!(
            body_executions <= 1,
            "executed {body_executions} times: {response:?}"
        );
        let was_executed = body_executions == 1 || engine_runs > 0;
        assert!(response.status >= 300 || was_executed, "{response:?}");
    }
}

impl FleetFixture {
    async fn start(services: usize) -> Self {
        Self::start_with(services, harness::ProxiedLinks::ALL).await
    }

    async fn start_with(services: usize, proxied: harness::ProxiedLinks) -> Self {
        let permit = harness::acquire_fleet_permit().await;
        let mut spec = harness::FleetSpec::small(2, 1, services);
        spec.proxied = proxied;
        spec.timers.first_byte_timeout_ms = 600;
        let fleet = spec.start(launcher()).await.expect("fleet");
        fleet.wait_converged().await;
        Self {
            fleet,
            _permit: permit,
        }
    }

    fn address(&self) -> net::SocketAddr {
        self.fleet.daemons[0].caller_address
    }

    /// Sends a call with an idempotency key through the first daemon; `name` makes its key and body
    /// unique.
    async fn send_notice(&self, name: &str) -> ObservedResponse {
        let body = json!({"notice": name}).to_string();
        let headers = [("idempotency-key", name), ("x-timeout-ms", "5000")];
        let path = "/services/ledger/notices";
        let response = web::call(self.address(), "POST", path, &headers, body.clone()).await;
        ObservedResponse::from_response(&response.expect("a response"), body)
    }

    /// Sends calls until one is not refused for lack of a target; daemons avoid a target for a
    /// while after a failure.
    async fn send_notice_after_backoff(
        &self,
        name: &str,
        responses: &mut Vec<ObservedResponse>,
    ) -> ObservedResponse {
        let deadline = time::Instant::now() + TIMEOUT;
        for number in 0.. {
            let response = self.send_notice(&format!("{name}-{number}")).await;
            responses.push(response.clone());
            if response.reason != "no_target" || time::Instant::now() > deadline {
                return response;
            }
        }
        unreachable!("the range is unbounded")
    }

    /// Sends a control message to all services.
    async fn control_services(&self, message: Value) {
        for service in &self.fleet.services {
            harness::Fleet::control(service.address, &message)
                .await
                .expect("control");
        }
    }

    /// Sets the fault of the links to all services.
    async fn set_service_faults(&self, kind: proxy::FaultKind) {
        for service in &self.fleet.services {
            let link = harness::target_link(&service.name);
            self.fleet.start_fault(&link, kind).await;
        }
    }

    fn check_verdicts(&self, responses: &[ObservedResponse]) {
        check_verdicts(&self.fleet.journals().expect("journals"), responses);
    }
}

/// Guards against `not_run`, and against a retry, after a service read a request and closed the
/// connection: the daemon cannot tell whether the request ran.
#[tokio::test]
async fn close_after_reading_may_have_run() {
    let fixture = FleetFixture::start(2).await;
    let mut responses = Vec::new();
    for round in 0..3 {
        fixture
            .control_services(json!({"close_unexecuted": 1}))
            .await;
        let response = fixture.send_notice(&format!("closed-{round}")).await;
        assert_eq!(response.reason, "target_failed", "{response:?}");
        assert_eq!(response.verdict, "may_have_run", "{response:?}");
        fixture
            .control_services(json!({"close_unexecuted": 0}))
            .await;
        responses.push(response);
        // The daemon avoids the service for a while after the broken connection.
        fixture.fleet.wait_accepting(0, 3).await;
    }
    fixture.check_verdicts(&responses);
}

/// Guards against a refusal marked as not executed that ends a call, or reaches the caller,
/// although another instance accepts it, and against `may_have_run` when all instances refuse.
#[tokio::test]
async fn marked_refusal_is_not_run_and_is_retried_elsewhere() {
    let fixture = FleetFixture::start(2).await;
    let mut responses = Vec::new();
    let first = &fixture.fleet.services[0];
    let message = json!({"refuse_not_run": 1});
    harness::Fleet::control(first.address, &message)
        .await
        .expect("control");
    let mut completed = 0;
    for round in 0..4 {
        let response = fixture.send_notice(&format!("one-refuses-{round}")).await;
        completed += usize::from(response.status == 201);
        responses.push(response);
    }
    assert_eq!(completed, 4, "{responses:?}");
    fixture
        .control_services(json!({"refuse_not_run": 1_000}))
        .await;
    for round in 0..2 {
        let response = fixture.send_notice(&format!("all-refuse-{round}")).await;
        assert_eq!(response.verdict, "not_run", "{response:?}");
        responses.push(response);
    }
    fixture.control_services(json!({"refuse_not_run": 0})).await;
    fixture.check_verdicts(&responses);
}

/// Guards against an unmarked 503 that counts as proof of no execution: it must be passed on as the
/// service's own response, without releasing the idempotency key.
#[tokio::test]
async fn unmarked_refusal_may_have_run() {
    let fixture = FleetFixture::start(2).await;
    fixture
        .control_services(json!({"refuse_unmarked": 1}))
        .await;
    let response = fixture.send_notice("unmarked").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert_ne!(response.verdict, "not_run", "{response:?}");
    fixture
        .control_services(json!({"refuse_unmarked": 0}))
        .await;
    let again = fixture.send_notice("unmarked").await;
    assert_eq!(again.reason, "key_unresolved", "{again:?}");
    assert_eq!(again.verdict, "may_have_run", "{again:?}");
    let journals = fixture.fleet.journals().expect("journals");
    assert_eq!(journals.executions_of(&response.request_body), 0);
}

/// Guards against a verdict that ignores what was written: when a link is cut before a byte gets
/// through, the verdict is `not_run` only if the daemon wrote nothing.
#[tokio::test]
async fn cut_links_yield_correct_verdicts() {
    let fixture = FleetFixture::start(1).await;
    let mut responses = Vec::new();
    // The cut also closes the pooled connection, before the next request is written.
    responses.push(fixture.send_notice("before").await);
    fixture.set_service_faults(proxy::FaultKind::Cut).await;
    responses.push(fixture.send_notice("cut").await);
    fixture.set_service_faults(proxy::FaultKind::None).await;
    let again = fixture
        .send_notice_after_backoff("again", &mut responses)
        .await;
    assert_eq!(again.status, 201, "{again:?}");
    // The response is lost after the service executed the request.
    fixture
        .set_service_faults(proxy::FaultKind::DropAnswers)
        .await;
    let dropped = fixture.send_notice("response-dropped").await;
    assert_eq!(dropped.verdict, "may_have_run", "{dropped:?}");
    responses.push(dropped);
    fixture.set_service_faults(proxy::FaultKind::None).await;
    let again = fixture
        .send_notice_after_backoff("once-more", &mut responses)
        .await;
    assert_eq!(again.status, 201, "{again:?}");
    // The link holds the request and delivers it after its caller was refused.
    fixture
        .set_service_faults(proxy::FaultKind::BlackholeUp)
        .await;
    let held = fixture.send_notice("held").await;
    assert_eq!(held.verdict, "may_have_run", "{held:?}");
    fixture.set_service_faults(proxy::FaultKind::None).await;
    harness::wait_until(TIMEOUT, "the held request is executed", async || {
        let journals = fixture.fleet.journals().expect("journals");
        journals.executions_of(&held.request_body) == 1
    })
    .await;
    responses.push(held);
    fixture.check_verdicts(&responses);
}

/// Guards against a verdict other than `not_run` for a refused connection, and against a request
/// lost on a pooled connection that its target closed while idle.
#[tokio::test]
async fn connections_closed_while_idle_lose_no_request() {
    // A proxy would accept connections for a service that is down.
    let links = harness::ProxiedLinks::default();
    let mut fixture = FleetFixture::start_with(1, links).await;
    let mut responses = Vec::new();
    for round in 0..3 {
        let name = format!("pooled-{round}");
        let response = fixture
            .send_notice_after_backoff(&name, &mut responses)
            .await;
        assert_eq!(response.status, 201, "{response:?}");
        // A restart closes the pooled connection.
        fixture.fleet.services[0].process.kill();
        let refused = fixture.send_notice(&format!("down-{round}")).await;
        assert_eq!(refused.verdict, "not_run", "{refused:?}");
        responses.push(refused);
        fixture.fleet.services[0]
            .process
            .restart()
            .expect("restart");
        fixture.fleet.services[0].process.wait_ready().await;
        fixture.fleet.wait_accepting(0, 2).await;
    }
    fixture.check_verdicts(&responses);
}

/// Guards against `not_run` when a slow service executes the request after the daemon's timeout.
#[tokio::test]
async fn first_byte_timeout_may_have_run() {
    let fixture = FleetFixture::start(2).await;
    fixture.control_services(json!({"delay_ms": 1_500})).await;
    let response = fixture.send_notice("slow").await;
    assert_eq!(response.reason, "target_timeout", "{response:?}");
    assert_eq!(response.verdict, "may_have_run", "{response:?}");
    harness::wait_until(TIMEOUT, "the slow call is executed", async || {
        let journals = fixture.fleet.journals().expect("journals");
        journals.executions_of(&response.request_body) == 1
    })
    .await;
    fixture.check_verdicts(&[response]);
}

/// Guards against a completion that is refused as `not_run` while an engine still generates it.
#[tokio::test]
async fn refused_completions_state_whether_an_engine_received_them() {
    let fixture = FleetFixture::start(1).await;
    let address = fixture.address();
    let engine = fixture.fleet.engines[0].address;
    let link = harness::target_link(&fixture.fleet.engines[0].name);
    let send_completion = |name: String| async move {
        let body = json!({"model": "drafting", "prompt": name, "max_tokens": 4}).to_string();
        let headers = [("x-timeout-ms", "1500")];
        let response = web::call(address, "POST", "/v1/completions", &headers, body.clone()).await;
        ObservedResponse::from_response(&response.expect("a response"), body)
    };
    let mut responses = vec![send_completion("warm".to_owned()).await];
    assert_eq!(responses[0].status, 200, "{:?}", responses[0]);
    harness::Fleet::control(engine, &json!({"stall": true}))
        .await
        .expect("control");
    let stalled = send_completion("stalled".to_owned()).await;
    assert_eq!(stalled.verdict, "may_have_run", "{stalled:?}");
    responses.push(stalled);
    harness::Fleet::control(engine, &json!({"stall": false}))
        .await
        .expect("control");
    for kind in [proxy::FaultKind::Cut, proxy::FaultKind::BlackholeUp] {
        fixture.fleet.start_fault(&link, kind).await;
        let calls = (0..4).map(|number| send_completion(format!("{kind:?}-{number}")));
        responses.extend(futures::future::join_all(calls).await);
        fixture.fleet.end_fault(&link).await;
    }
    let count = |verdict: &str| {
        responses
            .iter()
            .filter(|response| response.verdict == verdict)
            .count()
    };
    println!(
        "{} not_run, {} may_have_run",
        count("not_run"),
        count("may_have_run")
    );
    fixture.check_verdicts(&responses);
}

/// Guards against wrong verdicts when links and services fail one after another during concurrent
/// calls.
#[tokio::test]
async fn verdicts_hold_under_concurrent_calls_and_changing_faults() {
    let fixture = FleetFixture::start(2).await;
    let address = fixture.address();
    let send_numbered = |number: usize| async move {
        let name = format!("concurrent-{number}");
        let body = json!({"notice": name}).to_string();
        let headers = [("idempotency-key", name.as_str()), ("x-timeout-ms", "3000")];
        let path = "/services/ledger/notices";
        let response = web::call(address, "POST", path, &headers, body.clone()).await;
        ObservedResponse::from_response(&response.expect("a response"), body)
    };
    let mut responses = Vec::new();
    let kinds = [
        proxy::FaultKind::Cut,
        proxy::FaultKind::DropAnswers,
        proxy::FaultKind::BlackholeDown,
        proxy::FaultKind::None,
    ];
    for (round, kind) in kinds.into_iter().enumerate() {
        let first = round * 12;
        let calls = futures::future::join_all((first..first + 12).map(send_numbered));
        let faults = async {
            fixture
                .control_services(json!({"close_unexecuted": 1, "refuse_not_run": 2}))
                .await;
            fixture.set_service_faults(kind).await;
        };
        let (observed, ()) = futures::join!(calls, faults);
        responses.extend(observed);
        fixture.set_service_faults(proxy::FaultKind::None).await;
        fixture.fleet.wait_accepting(0, 3).await;
    }
    let count = |verdict: &str| {
        responses
            .iter()
            .filter(|response| response.verdict == verdict)
            .count()
    };
    println!(
        "{} not_run, {} may_have_run",
        count("not_run"),
        count("may_have_run")
    );
    fixture.check_verdicts(&responses);
}
