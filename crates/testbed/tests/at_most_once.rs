//! Requests with idempotency keys while processes, links and the table service fail: the journals
//! of the services show that no key is executed twice and that the verdicts of refusals are
//! correct.

use std::time;

use acaciabank_testbed::{harness, proxy, web};
use serde_json::{Value, json};

/// Maximum wait for a condition; generous because the machine may be busy.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);
const NOTICES_PATH: &str = "/services/ledger/notices";

/// A fleet of two daemons, and the permit that limits how many fleets run at a time.
struct FleetFixture {
    fleet: harness::Fleet,
    _permit: tokio::sync::SemaphorePermit<'static>,
}

/// A service request with an idempotency key.
#[derive(Clone, Debug)]
struct Notice {
    key: &'static str,
    body: String,
    timeout_ms: u64,
}

impl Notice {
    fn new(key: &'static str) -> Self {
        Self {
            key,
            body: json!({"member": key}).to_string(),
            timeout_ms: 6_000,
        }
    }

    fn with_timeout(self, timeout_ms: u64) -> Self {
        Self { timeout_ms, ..self }
    }

    /// Sends the notice to the daemon at a caller address.
    async fn send(self, address: std::net::SocketAddr) -> std::io::Result<web::BufferedResponse> {
        let timeout = self.timeout_ms.to_string();
        let headers = [
            ("idempotency-key", self.key),
            ("x-timeout-ms", timeout.as_str()),
        ];
        web::call(address, "POST", NOTICES_PATH, &headers, self.body).await
    }
}

fn launcher() -> harness::Launcher {
    harness::Launcher::new(env!("CARGO_BIN_EXE_testbed")).expect("launcher")
}

/// Reason and verdict of a refusal; empty strings for other responses.
fn refusal(response: &web::BufferedResponse) -> [String; 2] {
    let error = &response.json()["error"];
    ["reason", "verdict"].map(|name| error[name].as_str().unwrap_or_default().to_owned())
}

fn is_replay(response: &web::BufferedResponse) -> bool {
    let marker = response.headers.get("x-idempotent-replay");
    marker.is_some_and(|value| value == "true")
}

impl FleetFixture {
    /// Starts two daemons, one engine and `services` instances that each run `slots` calls at a
    /// time.
    async fn start(services: usize, slots: u32) -> Self {
        let permit = harness::acquire_fleet_permit().await;
        let mut spec = harness::FleetSpec::small(2, 1, services);
        for instance in &mut spec.deployment.services[0].instances {
            instance.slots = slots;
        }
        // On a faulty link, reads of the configuration would interfere with the writes of keys.
        spec.timers.config_poll_ms = 60_000;
        let fleet = spec.start(launcher()).await.expect("fleet");
        fleet.wait_converged().await;
        Self {
            fleet,
            _permit: permit,
        }
    }

    async fn send(&self, daemon: usize, notice: &Notice) -> web::BufferedResponse {
        let address = self.fleet.daemons[daemon].caller_address;
        notice.clone().send(address).await.expect("a response")
    }

    /// Sends in the background; the response may get lost.
    fn spawn(
        &self,
        daemon: usize,
        notice: &Notice,
    ) -> tokio::task::JoinHandle<std::io::Result<web::BufferedResponse>> {
        let address = self.fleet.daemons[daemon].caller_address;
        tokio::spawn(notice.clone().send(address))
    }

    /// Sends until the response is not `key_in_progress`.
    async fn send_while_in_progress(
        &self,
        daemon: usize,
        notice: &Notice,
    ) -> web::BufferedResponse {
        let deadline = time::Instant::now() + TIMEOUT;
        loop {
            let response = self.send(daemon, notice).await;
            if refusal(&response)[0] != "key_in_progress" || time::Instant::now() > deadline {
                return response;
            }
        }
    }

    fn journals(&self) -> harness::JournalEntries {
        self.fleet.journals().expect("journals")
    }

    fn executions(&self, notice: &Notice) -> usize {
        self.journals().executions_of(&notice.body)
    }

    async fn wait_received(&self, notice: &Notice) {
        harness::wait_until(TIMEOUT, "the service gets the notice", async || {
            self.journals().has_received(&notice.body)
        })
        .await;
    }

    async fn wait_state(&self, notice: &Notice, state: &str) {
        let description = format!("key {} has state {state}", notice.key);
        harness::wait_until(TIMEOUT, &description, async || {
            let states = self.journals().key_states(notice.key);
            states.last().is_some_and(|last| last == state)
        })
        .await;
    }

    async fn wait_request_runs(&self, daemon: usize) {
        harness::wait_until(TIMEOUT, "the daemon runs a request", async || {
            let requests = self.fleet.admin_json(daemon, "/admin/requests").await;
            let requests = requests.unwrap_or_default();
            requests["requests"]
                .as_array()
                .is_some_and(|all| !all.is_empty())
        })
        .await;
    }

    async fn control_service(&self, message: Value) {
        let address = self.fleet.services[0].address;
        harness::Fleet::control(address, &message)
            .await
            .expect("control");
    }

    async fn control_platform(&self, message: Value) {
        harness::Fleet::control(self.fleet.platform_address, &message)
            .await
            .expect("control");
    }

    /// Occupies the only slot of the only service for `hold_ms` through daemon 0, then sends a
    /// notice to that daemon, which waits for the slot between its intent and its dispatch.
    async fn spawn_waiting_for_slot(
        &self,
        notice: &Notice,
        hold_ms: u64,
    ) -> tokio::task::JoinHandle<std::io::Result<web::BufferedResponse>> {
        self.control_service(json!({"delay_ms": hold_ms})).await;
        let address = self.fleet.daemons[0].caller_address;
        let blocker = "{\"blocker\":true}";
        tokio::spawn(web::call(
            address,
            "PUT",
            "/services/ledger/blocker",
            &[],
            blocker,
        ));
        harness::wait_until(TIMEOUT, "the slot is taken", async || {
            self.journals().has_received(blocker)
        })
        .await;
        self.control_service(json!({"delay_ms": 0})).await;
        let call = self.spawn(0, notice);
        self.wait_state(notice, "intent").await;
        call
    }

    /// Report of a daemon on the notice's key.
    async fn key_report(&self, daemon: usize, notice: &Notice) -> Value {
        let path = format!("/admin/keys/default/{}", notice.key);
        let report = self.fleet.admin_json(daemon, &path).await;
        report.expect("a report")
    }

    /// Resolves the notice's key as an operator.
    async fn resolve(&self, daemon: usize, notice: &Notice, ran: bool) -> Value {
        let address = self.fleet.daemons[daemon].admin_address;
        let path = format!("/admin/keys/default/{}/resolve", notice.key);
        let body = json!({"ran": ran}).to_string();
        let response = web::call(address, "POST", &path, &[], body).await;
        response.expect("a response").json()
    }
}

/// Guards against two daemons that both dispatch a key: the second must wait for the first one's
/// response.
#[tokio::test]
async fn concurrent_calls_run_once_and_share_the_response() {
    let fixture = FleetFixture::start(2, 4).await;
    for key in ["both-1", "both-2", "both-3", "both-4"] {
        let notice = Notice::new(key);
        let (first, second) = (fixture.spawn(0, &notice), fixture.spawn(1, &notice));
        let third = fixture.spawn(1, &notice);
        for call in [first, second, third] {
            let response = call.await.expect("task").expect("a response");
            assert_eq!(response.status, 201, "{key}: {:?}", response.json());
            assert_eq!(response.json(), json!({"recorded": true}));
        }
        assert_eq!(fixture.executions(&notice), 1);
    }
}

/// Guards against a replay that runs the request again or lacks its header, and against one that is
/// returned for the same key with another body.
#[tokio::test]
async fn recorded_response_is_replayed_and_other_bodies_are_refused() {
    let fixture = FleetFixture::start(1, 4).await;
    let notice = Notice::new("replayed");
    let first = fixture.send(0, &notice).await;
    assert_eq!(first.status, 201);
    assert!(!is_replay(&first));
    fixture.wait_state(&notice, "done").await;
    for daemon in [0, 1] {
        let replay = fixture.send(daemon, &notice).await;
        assert_eq!(replay.status, 201);
        assert!(is_replay(&replay), "{:?}", replay.headers);
        assert_eq!(replay.body, first.body);
    }
    let other = Notice {
        body: json!({"member": "another"}).to_string(),
        ..notice.clone()
    };
    for daemon in [0, 1] {
        let reused = fixture.send(daemon, &other).await;
        assert_eq!(reused.status, 422);
        assert_eq!(refusal(&reused), ["key_reused", "not_run"]);
    }
    assert_eq!(fixture.executions(&notice), 1);
    assert_eq!(fixture.executions(&other), 0);
}

/// Guards against an insert of an intent that reaches the table after its daemon was killed, and
/// then hides the outcome of the resend or repeats its run.
#[tokio::test]
async fn kill_before_the_intent_leaves_the_key_unused() {
    let mut fixture = FleetFixture::start(1, 4).await;
    let notice = Notice::new("before-intent");
    let link = harness::table_link(0);
    fixture
        .fleet
        .start_fault(&link, proxy::FaultKind::BlackholeUp)
        .await;
    let lost = fixture.spawn(0, &notice);
    fixture.wait_request_runs(0).await;
    fixture.fleet.wait_bytes_held(&link, TIMEOUT).await;
    fixture.fleet.daemons[0].process.kill();
    assert!(
        lost.await.expect("task").is_err(),
        "a killed daemon sends no response"
    );
    let response = fixture.send(1, &notice).await;
    assert_eq!(response.status, 201, "{:?}", response.json());
    fixture.fleet.end_fault(&link).await;
    let replay = fixture.send(1, &notice).await;
    assert!(is_replay(&replay));
    assert_eq!(fixture.executions(&notice), 1);
}

/// Guards against a daemon that dispatches a key although a killed daemon recorded an intent for
/// it, and against a key that no operator can release.
#[tokio::test]
async fn key_of_a_daemon_killed_after_the_intent_is_unresolved_until_released() {
    let mut fixture = FleetFixture::start(1, 1).await;
    let notice = Notice::new("after-intent").with_timeout(3_000);
    let lost = fixture.spawn_waiting_for_slot(&notice, 1_500).await;
    fixture.fleet.daemons[0].process.kill();
    assert!(
        lost.await.expect("task").is_err(),
        "a killed daemon sends no response"
    );
    let response = fixture.send_while_in_progress(1, &notice).await;
    assert_eq!(response.status, 409);
    assert_eq!(refusal(&response), ["key_unresolved", "may_have_run"]);
    assert_eq!(fixture.key_report(1, &notice).await["state"], "intent");
    harness::wait_until(TIMEOUT, "the operator releases the key", async || {
        fixture.resolve(1, &notice, false).await["state"] == "released"
    })
    .await;
    assert_eq!(fixture.executions(&notice), 0);
    let response = fixture.send(1, &notice).await;
    assert_eq!(response.status, 201, "{:?}", response.json());
    assert_eq!(fixture.executions(&notice), 1);
}

/// Guards against a resend that runs the request again after its daemon was killed during the
/// dispatch.
#[tokio::test]
async fn key_of_a_daemon_killed_after_the_dispatch_never_runs_again() {
    let mut fixture = FleetFixture::start(1, 4).await;
    let notice = Notice::new("after-dispatch").with_timeout(3_000);
    fixture.control_service(json!({"delay_ms": 300})).await;
    let lost = fixture.spawn(0, &notice);
    fixture.wait_received(&notice).await;
    fixture.fleet.daemons[0].process.kill();
    assert!(
        lost.await.expect("task").is_err(),
        "a killed daemon sends no response"
    );
    let response = fixture.send_while_in_progress(1, &notice).await;
    assert_eq!(refusal(&response), ["key_unresolved", "may_have_run"]);
    assert_eq!(fixture.resolve(1, &notice, true).await["state"], "resolved");
    let response = fixture.send(1, &notice).await;
    assert_eq!(refusal(&response), ["key_unresolved", "ran"]);
    assert!(fixture.executions(&notice) <= 1);
}

/// Guards against an outcome that only the daemon that ran the request can replay.
#[tokio::test]
async fn outcome_of_a_killed_daemon_is_replayed_by_another() {
    let mut fixture = FleetFixture::start(1, 4).await;
    let notice = Notice::new("after-outcome");
    let first = fixture.send(0, &notice).await;
    assert_eq!(first.status, 201);
    fixture.wait_state(&notice, "done").await;
    fixture.fleet.daemons[0].process.kill();
    let replay = fixture.send(1, &notice).await;
    assert_eq!((replay.status, is_replay(&replay)), (201, true));
    assert_eq!(replay.body, first.body);
    assert_eq!(fixture.executions(&notice), 1);
}

/// Guards against a retry at another instance, or a released key, after a service executed a call
/// and crashed before its response.
#[tokio::test]
async fn call_executed_by_a_crashed_service_is_never_repeated() {
    let fixture = FleetFixture::start(2, 4).await;
    for service in &fixture.fleet.services {
        let message = json!({"crash_after_executing": true});
        harness::Fleet::control(service.address, &message)
            .await
            .expect("control");
    }
    let notice = Notice::new("service-crash").with_timeout(3_000);
    let response = fixture.send(0, &notice).await;
    assert_eq!(refusal(&response), ["target_failed", "may_have_run"]);
    for daemon in [0, 1] {
        let response = fixture.send_while_in_progress(daemon, &notice).await;
        assert_eq!(refusal(&response), ["key_unresolved", "may_have_run"]);
    }
    assert_eq!(fixture.executions(&notice), 1);
}

/// Guards against a daemon that attributes its own committed write, whose response was lost, to
/// another call.
#[tokio::test]
async fn writes_with_lost_table_responses_are_recognized() {
    let fixture = FleetFixture::start(1, 4).await;
    for (key, lost) in [("lost-1", 1), ("lost-2", 2), ("lost-3", 3), ("lost-4", 4)] {
        let notice = Notice::new(key);
        fixture.control_platform(json!({"lose_next": lost})).await;
        let response = fixture.send(0, &notice).await;
        assert_eq!(response.status, 201, "{key}: {:?}", response.json());
        fixture.control_platform(json!({"lose_next": 0})).await;
        fixture.wait_state(&notice, "done").await;
        let replay = fixture.send(1, &notice).await;
        assert_eq!((replay.status, is_replay(&replay)), (201, true), "{key}");
        assert_eq!(fixture.executions(&notice), 1, "{key}");
    }
}

/// Guards against keyed calls that run, hang or get a wrong verdict while the table service is
/// down, against completions that depend on it, and against a key that stays blocked after the
/// outage.
#[tokio::test]
async fn table_outage_refuses_keyed_calls_immediately_and_completions_continue() {
    let fixture = FleetFixture::start(1, 4).await;
    let caller = fixture.fleet.caller(None, TIMEOUT);
    for (key, down) in [("out-1", "error"), ("out-2", "close"), ("out-3", "hang")] {
        fixture.control_platform(json!({"down": down})).await;
        let notice = Notice::new(key).with_timeout(20_000);
        for _ in 0..2 {
            let response = fixture.send(0, &notice).await;
            let refused = refusal(&response);
            assert_eq!(refused, ["table_unavailable", "not_run"], "{down}");
            assert_eq!(response.status, 503);
            assert!(response.headers.contains_key("retry-after"));
        }
        let request = harness::CompletionRequest {
            model: "drafting".to_owned(),
            prompt: format!("during {down}"),
            max_tokens: 4,
            ..harness::CompletionRequest::default()
        };
        let outcome = caller.complete(&request).await;
        assert!(outcome.is_complete, "{down}: {outcome:?}");
        assert_eq!(fixture.executions(&notice), 0, "{down}");
        fixture.control_platform(json!({"down": "none"})).await;
        harness::wait_until(TIMEOUT, "the key runs after the outage", async || {
            fixture.send(0, &notice).await.status == 201
        })
        .await;
        assert_eq!(fixture.executions(&notice), 1, "{down}");
    }
}

/// Guards against an insert of an intent that takes effect after its call was refused, and blocks
/// the key until an operator resolves it.
#[tokio::test]
async fn late_insert_of_a_refused_call_does_not_block_a_resend() {
    let fixture = FleetFixture::start(1, 4).await;
    let notice = Notice::new("late-insert").with_timeout(20_000);
    let link = harness::table_link(0);
    fixture
        .fleet
        .start_fault(&link, proxy::FaultKind::BlackholeUp)
        .await;
    let response = fixture.send(0, &notice).await;
    assert_eq!(refusal(&response), ["table_unavailable", "not_run"]);
    let started_at = time::Instant::now();
    let second_response = fixture.send(0, &notice).await;
    assert_eq!(refusal(&second_response), ["table_unavailable", "not_run"]);
    // Another write would time out several times, after 1 s each.
    assert!(
        started_at.elapsed() < TIMEOUT / 15,
        "not refused immediately"
    );
    fixture.fleet.end_fault(&link).await;
    harness::wait_until(TIMEOUT, "the late insert takes effect", async || {
        !fixture.journals().key_states(notice.key).is_empty()
    })
    .await;
    let response = fixture.send(1, &notice).await;
    assert_eq!(response.status, 201, "{:?}", response.json());
    assert_eq!(fixture.executions(&notice), 1);
}

/// Guards against late writes of a slow table service that make a key run twice or a `not_run`
/// verdict wrong.
#[tokio::test]
async fn verdicts_are_correct_with_a_slow_table() {
    let fixture = FleetFixture::start(1, 4).await;
    // Below, near and above the timeout of a table call, which is 1 s.
    for (key, slow_ms) in [("slow-1", 300), ("slow-2", 990), ("slow-3", 1_300)] {
        fixture.control_platform(json!({"slow_ms": slow_ms})).await;
        let notice = Notice::new(key).with_timeout(20_000);
        let (first, second) = (fixture.spawn(0, &notice), fixture.spawn(1, &notice));
        let mut completed = 0;
        for call in [first, second] {
            let response = call.await.expect("task").expect("a response");
            completed += usize::from(response.status == 201);
            let refused = refusal(&response);
            assert!(
                response.status == 201 || refused[0] == "table_unavailable",
                "{slow_ms} ms: {refused:?}"
            );
        }
        assert!(slow_ms > 500 || completed == 2, "{slow_ms} ms: {completed}");
        assert!(fixture.executions(&notice) <= 1, "{slow_ms} ms");
        assert!(fixture.executions(&notice) >= completed.min(1));
        fixture.control_platform(json!({"slow_ms": 0})).await;
        harness::wait_until(TIMEOUT, "the key has a response", async || {
            fixture.send(0, &notice).await.status == 201
        })
        .await;
        assert_eq!(fixture.executions(&notice), 1, "{slow_ms} ms");
    }
}

/// Guards against a second dispatch while the first daemon is paused after its intent, and against
/// one by the resumed daemon after another daemon has read the intent.
#[tokio::test]
async fn key_of_a_daemon_paused_after_the_intent_runs_at_most_once() {
    let fixture = FleetFixture::start(1, 1).await;
    let notice = Notice::new("paused").with_timeout(60_000);
    let first = fixture.spawn_waiting_for_slot(&notice, 500).await;
    fixture.fleet.daemons[0].process.pause();
    let response = fixture
        .send_while_in_progress(1, &notice.clone().with_timeout(4_000))
        .await;
    assert_eq!(refusal(&response), ["key_unresolved", "may_have_run"]);
    fixture.fleet.daemons[0].process.resume();
    let response = first.await.expect("task").expect("a response");
    assert_eq!(response.status, 201, "{:?}", response.json());
    fixture.wait_state(&notice, "done").await;
    let replay = fixture.send(1, &notice).await;
    assert_eq!((replay.status, is_replay(&replay)), (201, true));
    assert_eq!(fixture.executions(&notice), 1);
}

/// Guards against a daemon that dispatches when it is resumed, although an operator released its
/// key during the pause and another daemon ran it.
#[tokio::test]
async fn released_key_of_a_paused_daemon_runs_once() {
    let fixture = FleetFixture::start(1, 1).await;
    let notice = Notice::new("paused-released").with_timeout(8_000);
    let first = fixture.spawn_waiting_for_slot(&notice, 500).await;
    fixture.fleet.daemons[0].process.pause();
    let response = fixture.send_while_in_progress(1, &notice).await;
    assert_eq!(refusal(&response), ["key_unresolved", "may_have_run"]);
    harness::wait_until(TIMEOUT, "the operator releases the key", async || {
        fixture.resolve(1, &notice, false).await["state"] == "released"
    })
    .await;
    let response = fixture.send(1, &notice).await;
    assert_eq!(response.status, 201, "{:?}", response.json());
    fixture.fleet.daemons[0].process.resume();
    let late = first.await.expect("task").expect("a response");
    assert_ne!(late.status, 201, "{:?}", late.json());
    assert_eq!(fixture.executions(&notice), 1);
    let replay = fixture.send(0, &notice).await;
    assert_eq!((replay.status, is_replay(&replay)), (201, true));
}

/// Guards against a command of the command-line client that doesn't reach the key's record.
#[tokio::test]
async fn operator_commands_read_and_resolve_a_key() {
    let fixture = FleetFixture::start(1, 4).await;
    fixture
        .control_service(json!({"crash_after_executing": true}))
        .await;
    let notice = Notice::new("by-command").with_timeout(3_000);
    let response = fixture.send(0, &notice).await;
    assert_eq!(refusal(&response), ["target_failed", "may_have_run"]);
    let admin = fixture.fleet.daemons[1].admin_address.to_string();
    let run_client = |arguments: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_testbed"));
        command
            .arg("cli")
            .args(arguments)
            .output()
            .expect("command")
    };
    let run_ok = |arguments: &[&str]| {
        let output = run_client(arguments);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "{arguments:?}: {error}");
        serde_json::from_slice::<Value>(&output.stdout).expect("JSON")
    };
    let name = notice.key;
    let get = ["keys", "get", "--admin", &admin, "--json", "default", name];
    let record = run_ok(&get);
    assert_eq!(record["state"], "intent", "{record}");
    assert_eq!(record["daemon"], "daemon-0");
    let resolve = [
        "keys", "resolve", "--admin", &admin, "--json", "--ran", "default", name,
    ];
    // At first the daemon that ran the key may be unreachable; the command then changes nothing and
    // exits with the status of a conflict, 3.
    harness::wait_until(TIMEOUT, "the key is resolved", async || {
        let status = run_client(&resolve).status.code();
        assert!(matches!(status, Some(0 | 3)), "{status:?}");
        status == Some(0)
    })
    .await;
    assert_eq!(run_ok(&get)["state"], "resolved");
    let response = fixture.send(0, &notice).await;
    assert_eq!(refusal(&response), ["key_unresolved", "ran"]);
    assert_eq!(fixture.executions(&notice), 1);
}
