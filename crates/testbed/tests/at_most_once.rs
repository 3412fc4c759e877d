//! Keyed calls of real daemons while processes, links and the table fail: the services' journals
//! show that no key is executed twice and that refusals are true.

use std::time;

use acaciabank_testbed::{harness, proxy, web};
use serde_json::{Value, json};

/// Generous limit for conditions on a busy machine.
const LIMIT: time::Duration = time::Duration::from_secs(30);
const NOTICES: &str = "/services/ledger/notices";

/// A fleet of two daemons and its turn.
struct KeyedFleet {
    fleet: harness::Fleet,
    _turn: tokio::sync::SemaphorePermit<'static>,
}

/// A keyed notice.
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

    /// Sends the notice through the daemon at an address.
    async fn send(self, address: std::net::SocketAddr) -> std::io::Result<web::BufferedResponse> {
        let timeout = self.timeout_ms.to_string();
        let headers = [
            ("idempotency-key", self.key),
            ("x-timeout-ms", timeout.as_str()),
        ];
        web::call(address, "POST", NOTICES, &headers, self.body).await
    }
}

fn launcher() -> harness::Launcher {
    harness::Launcher::new(env!("CARGO_BIN_EXE_testbed")).expect("launcher")
}

/// `[reason, verdict]` of a refusal.
fn refusal(answer: &web::BufferedResponse) -> [String; 2] {
    let error = &answer.json()["error"];
    ["reason", "verdict"].map(|name| error[name].as_str().unwrap_or_default().to_owned())
}

fn is_replay(answer: &web::BufferedResponse) -> bool {
    let marker = answer.headers.get("x-idempotent-replay");
    marker.is_some_and(|value| value == "true")
}

impl KeyedFleet {
    /// Two daemons, one engine and `services` instances with `slots` concurrent calls each.
    async fn start(services: usize, slots: u32) -> Self {
        let turn = harness::acquire_fleet_permit().await;
        let mut spec = harness::FleetSpec::small(2, 1, services);
        for instance in &mut spec.deployment.services[0].instances {
            instance.slots = slots;
        }
        // Reads of the configuration would mix with the writes of keys on a faulty link.
        spec.timers.config_poll_ms = 60_000;
        let fleet = spec.start(launcher()).await.expect("fleet");
        fleet.wait_converged().await;
        Self { fleet, _turn: turn }
    }

    async fn send(&self, daemon: usize, notice: &Notice) -> web::BufferedResponse {
        let address = self.fleet.daemons[daemon].caller_address;
        notice.clone().send(address).await.expect("an answer")
    }

    /// Sends in the background; the answer may get lost.
    fn spawn(
        &self,
        daemon: usize,
        notice: &Notice,
    ) -> tokio::task::JoinHandle<std::io::Result<web::BufferedResponse>> {
        let address = self.fleet.daemons[daemon].caller_address;
        tokio::spawn(notice.clone().send(address))
    }

    /// Sends until the answer is not `key_in_progress`.
    async fn send_until_settled(&self, daemon: usize, notice: &Notice) -> web::BufferedResponse {
        let deadline = time::Instant::now() + LIMIT;
        loop {
            let answer = self.send(daemon, notice).await;
            if refusal(&answer)[0] != "key_in_progress" || time::Instant::now() > deadline {
                return answer;
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
        harness::wait_until(LIMIT, "the service receives the notice", async || {
            self.journals().has_received(&notice.body)
        })
        .await;
    }

    async fn wait_state(&self, notice: &Notice, state: &str) {
        let description = format!("key {} has state {state}", notice.key);
        harness::wait_until(LIMIT, &description, async || {
            let states = self.journals().key_states(notice.key);
            states.last().is_some_and(|last| last == state)
        })
        .await;
    }

    async fn wait_running(&self, daemon: usize) {
        harness::wait_until(LIMIT, "the daemon runs a request", async || {
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

    /// Occupies the only slot of the only service for a while, seen from a daemon, and leaves a
    /// notice of that daemon waiting between its intent and its dispatch.
    async fn hold_after_intent(
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
        harness::wait_until(LIMIT, "the slot is taken", async || {
            self.journals().has_received(blocker)
        })
        .await;
        self.control_service(json!({"delay_ms": 0})).await;
        let call = self.spawn(0, notice);
        self.wait_state(notice, "intent").await;
        call
    }

    async fn key(&self, daemon: usize, notice: &Notice) -> Value {
        let path = format!("/admin/keys/default/{}", notice.key);
        let report = self.fleet.admin_json(daemon, &path).await;
        report.expect("a report")
    }

    async fn resolve(&self, daemon: usize, notice: &Notice, ran: bool) -> Value {
        let address = self.fleet.daemons[daemon].admin_address;
        let path = format!("/admin/keys/default/{}/resolve", notice.key);
        let body = json!({"ran": ran}).to_string();
        let answer = web::call(address, "POST", &path, &[], body).await;
        answer.expect("an answer").json()
    }
}

/// Guards against two daemons that both dispatch a key: the second waits for the first one's answer.
#[tokio::test]
async fn concurrent_calls_run_once_and_share_the_answer() {
    let keyed = KeyedFleet::start(2, 4).await;
    for key in ["both-1", "both-2", "both-3", "both-4"] {
        let notice = Notice::new(key);
        let (one, other) = (keyed.spawn(0, &notice), keyed.spawn(1, &notice));
        let again = keyed.spawn(1, &notice);
        for call in [one, other, again] {
            let answer = call.await.expect("task").expect("an answer");
            assert_eq!(answer.status, 201, "{key}: {:?}", answer.json());
            assert_eq!(answer.json(), json!({"recorded": true}));
        }
        assert_eq!(keyed.executions(&notice), 1);
    }
}

/// Guards against a replay that runs again, is not marked, or answers another body's request.
#[tokio::test]
async fn recorded_answer_is_replayed_and_other_bodies_are_refused() {
    let keyed = KeyedFleet::start(1, 4).await;
    let notice = Notice::new("replayed");
    let first = keyed.send(0, &notice).await;
    assert_eq!(first.status, 201);
    assert!(!is_replay(&first));
    keyed.wait_state(&notice, "done").await;
    for daemon in [0, 1] {
        let replay = keyed.send(daemon, &notice).await;
        assert_eq!(replay.status, 201);
        assert!(is_replay(&replay), "{:?}", replay.headers);
        assert_eq!(replay.body, first.body);
    }
    let other = Notice {
        body: json!({"member": "another"}).to_string(),
        ..notice.clone()
    };
    for daemon in [0, 1] {
        let reused = keyed.send(daemon, &other).await;
        assert_eq!(reused.status, 422);
        assert_eq!(refusal(&reused), ["key_reused", "not_run"]);
    }
    assert_eq!(keyed.executions(&notice), 1);
    assert_eq!(keyed.executions(&other), 0);
}

/// Guards against a daemon's insert that arrives after its death and hides or repeats the run that
/// the resend started.
#[tokio::test]
async fn kill_before_the_intent_leaves_the_key_free() {
    let mut keyed = KeyedFleet::start(1, 4).await;
    let notice = Notice::new("before-intent");
    let link = harness::table_link(0);
    keyed
        .fleet
        .start_fault(&link, proxy::FaultKind::BlackholeUp)
        .await;
    let lost = keyed.spawn(0, &notice);
    keyed.wait_running(0).await;
    keyed.fleet.wait_bytes_held(&link, LIMIT).await;
    keyed.fleet.daemons[0].process.kill();
    assert!(lost.await.expect("task").is_err(), "the daemon is dead");
    let answer = keyed.send(1, &notice).await;
    assert_eq!(answer.status, 201, "{:?}", answer.json());
    keyed.fleet.end_fault(&link).await;
    let replay = keyed.send(1, &notice).await;
    assert!(is_replay(&replay));
    assert_eq!(keyed.executions(&notice), 1);
}

/// Guards against a second daemon that dispatches over an intent whose daemon died, and against a
/// key that no operator can free.
#[tokio::test]
async fn kill_after_the_intent_is_unresolved_until_an_operator_releases_it() {
    let mut keyed = KeyedFleet::start(1, 1).await;
    let notice = Notice::new("after-intent").with_timeout(3_000);
    let lost = keyed.hold_after_intent(&notice, 1_500).await;
    keyed.fleet.daemons[0].process.kill();
    assert!(lost.await.expect("task").is_err(), "the daemon is dead");
    let answer = keyed.send_until_settled(1, &notice).await;
    assert_eq!(answer.status, 409);
    assert_eq!(refusal(&answer), ["key_unresolved", "may_have_run"]);
    assert_eq!(keyed.key(1, &notice).await["state"], "intent");
    harness::wait_until(LIMIT, "the operator releases the key", async || {
        keyed.resolve(1, &notice, false).await["state"] == "released"
    })
    .await;
    assert_eq!(keyed.executions(&notice), 0);
    let answer = keyed.send(1, &notice).await;
    assert_eq!(answer.status, 201, "{:?}", answer.json());
    assert_eq!(keyed.executions(&notice), 1);
}

/// Guards against a resend that runs again after the first daemon died with its dispatch under way.
#[tokio::test]
async fn kill_after_the_dispatch_never_runs_again() {
    let mut keyed = KeyedFleet::start(1, 4).await;
    let notice = Notice::new("after-dispatch").with_timeout(3_000);
    keyed.control_service(json!({"delay_ms": 300})).await;
    let lost = keyed.spawn(0, &notice);
    keyed.wait_received(&notice).await;
    keyed.fleet.daemons[0].process.kill();
    assert!(lost.await.expect("task").is_err(), "the daemon is dead");
    let answer = keyed.send_until_settled(1, &notice).await;
    assert_eq!(refusal(&answer), ["key_unresolved", "may_have_run"]);
    assert_eq!(keyed.resolve(1, &notice, true).await["state"], "resolved");
    let answer = keyed.send(1, &notice).await;
    assert_eq!(refusal(&answer), ["key_unresolved", "ran"]);
    assert!(keyed.executions(&notice) <= 1);
}

/// Guards against an outcome that only its own daemon knows.
#[tokio::test]
async fn kill_after_the_outcome_replays_elsewhere() {
    let mut keyed = KeyedFleet::start(1, 4).await;
    let notice = Notice::new("after-outcome");
    let first = keyed.send(0, &notice).await;
    assert_eq!(first.status, 201);
    keyed.wait_state(&notice, "done").await;
    keyed.fleet.daemons[0].process.kill();
    let replay = keyed.send(1, &notice).await;
    assert_eq!((replay.status, is_replay(&replay)), (201, true));
    assert_eq!(replay.body, first.body);
    assert_eq!(keyed.executions(&notice), 1);
}

/// Guards against a retry at another instance, or a released key, after a service ran a call and
/// crashed without an answer.
#[tokio::test]
async fn crash_of_the_service_after_executing_is_never_repeated() {
    let keyed = KeyedFleet::start(2, 4).await;
    for service in &keyed.fleet.services {
        let message = json!({"crash_after_executing": true});
        harness::Fleet::control(service.address, &message)
            .await
            .expect("control");
    }
    let notice = Notice::new("service-crash").with_timeout(3_000);
    let answer = keyed.send(0, &notice).await;
    assert_eq!(refusal(&answer), ["target_failed", "may_have_run"]);
    for daemon in [0, 1] {
        let answer = keyed.send_until_settled(daemon, &notice).await;
        assert_eq!(refusal(&answer), ["key_unresolved", "may_have_run"]);
    }
    assert_eq!(keyed.executions(&notice), 1);
}

/// Guards against a write that took effect without an answer and is taken for another call's.
#[tokio::test]
async fn lost_table_answers_are_settled() {
    let keyed = KeyedFleet::start(1, 4).await;
    for (key, lost) in [("lost-1", 1), ("lost-2", 2), ("lost-3", 3), ("lost-4", 4)] {
        let notice = Notice::new(key);
        keyed.control_platform(json!({"lose_next": lost})).await;
        let answer = keyed.send(0, &notice).await;
        assert_eq!(answer.status, 201, "{key}: {:?}", answer.json());
        keyed.control_platform(json!({"lose_next": 0})).await;
        keyed.wait_state(&notice, "done").await;
        let replay = keyed.send(1, &notice).await;
        assert_eq!((replay.status, is_replay(&replay)), (201, true), "{key}");
        assert_eq!(keyed.executions(&notice), 1, "{key}");
    }
}

/// Guards against keyed calls that run, hang or state a false verdict without a table, against
/// completions that need it, and against a key that stays blocked after the outage.
#[tokio::test]
async fn table_outage_refuses_keyed_calls_at_once_and_completions_go_on() {
    let keyed = KeyedFleet::start(1, 4).await;
    let caller = keyed.fleet.caller(None, LIMIT);
    for (key, down) in [("out-1", "error"), ("out-2", "close"), ("out-3", "hang")] {
        keyed.control_platform(json!({"down": down})).await;
        let notice = Notice::new(key).with_timeout(20_000);
        for _ in 0..2 {
            let answer = keyed.send(0, &notice).await;
            let refused = refusal(&answer);
            assert_eq!(refused, ["table_unavailable", "not_run"], "{down}");
            assert_eq!(answer.status, 503);
            assert!(answer.headers.contains_key("retry-after"));
        }
        let request = harness::CompletionRequest {
            model: "drafting".to_owned(),
            prompt: format!("during {down}"),
            max_tokens: 4,
            ..harness::CompletionRequest::default()
        };
        let outcome = caller.complete(&request).await;
        assert!(outcome.is_complete, "{down}: {outcome:?}");
        assert_eq!(keyed.executions(&notice), 0, "{down}");
        keyed.control_platform(json!({"down": "none"})).await;
        harness::wait_until(LIMIT, "the key runs after the outage", async || {
            keyed.send(0, &notice).await.status == 201
        })
        .await;
        assert_eq!(keyed.executions(&notice), 1, "{down}");
    }
}

/// Guards against an insert that takes effect after its call was refused and leaves the key blocked
/// for callers until an operator resolves it.
#[tokio::test]
async fn late_insert_of_a_refused_call_blocks_no_resend() {
    let keyed = KeyedFleet::start(1, 4).await;
    let notice = Notice::new("late-insert").with_timeout(20_000);
    let link = harness::table_link(0);
    keyed
        .fleet
        .start_fault(&link, proxy::FaultKind::BlackholeUp)
        .await;
    let answer = keyed.send(0, &notice).await;
    assert_eq!(refusal(&answer), ["table_unavailable", "not_run"]);
    let started = time::Instant::now();
    let again = keyed.send(0, &notice).await;
    assert_eq!(refusal(&again), ["table_unavailable", "not_run"]);
    // Another try to write would take several timeouts of the table, 1 s each.
    assert!(started.elapsed() < LIMIT / 15, "refused at once");
    keyed.fleet.end_fault(&link).await;
    harness::wait_until(LIMIT, "the late insert takes effect", async || {
        !keyed.journals().key_states(notice.key).is_empty()
    })
    .await;
    let answer = keyed.send(1, &notice).await;
    assert_eq!(answer.status, 201, "{:?}", answer.json());
    assert_eq!(keyed.executions(&notice), 1);
}

/// Guards against a slow table whose late writes make a key run twice or a `not_run` false.
#[tokio::test]
async fn slow_table_keeps_verdicts_true() {
    let keyed = KeyedFleet::start(1, 4).await;
    // The timeout of one call is 1 s: below it, at it and above it.
    for (key, slow_ms) in [("slow-1", 300), ("slow-2", 990), ("slow-3", 1_300)] {
        keyed.control_platform(json!({"slow_ms": slow_ms})).await;
        let notice = Notice::new(key).with_timeout(20_000);
        let (one, other) = (keyed.spawn(0, &notice), keyed.spawn(1, &notice));
        let mut completed = 0;
        for call in [one, other] {
            let answer = call.await.expect("task").expect("an answer");
            completed += usize::from(answer.status == 201);
            let refused = refusal(&answer);
            assert!(
                answer.status == 201 || refused[0] == "table_unavailable",
                "{slow_ms} ms: {refused:?}"
            );
        }
        assert!(slow_ms > 500 || completed == 2, "{slow_ms} ms: {completed}");
        assert!(keyed.executions(&notice) <= 1, "{slow_ms} ms");
        assert!(keyed.executions(&notice) >= completed.min(1));
        keyed.control_platform(json!({"slow_ms": 0})).await;
        harness::wait_until(LIMIT, "the key has an answer", async || {
            keyed.send(0, &notice).await.status == 201
        })
        .await;
        assert_eq!(keyed.executions(&notice), 1, "{slow_ms} ms");
    }
}

/// Guards against a second dispatch while the first daemon is paused after its intent, and against
/// one by the paused daemon after the key is known elsewhere.
#[tokio::test]
async fn pause_after_the_intent_runs_at_most_once() {
    let keyed = KeyedFleet::start(1, 1).await;
    let notice = Notice::new("paused").with_timeout(60_000);
    let first = keyed.hold_after_intent(&notice, 500).await;
    keyed.fleet.daemons[0].process.pause();
    let answer = keyed
        .send_until_settled(1, &notice.clone().with_timeout(4_000))
        .await;
    assert_eq!(refusal(&answer), ["key_unresolved", "may_have_run"]);
    keyed.fleet.daemons[0].process.resume();
    let answer = first.await.expect("task").expect("an answer");
    assert_eq!(answer.status, 201, "{:?}", answer.json());
    keyed.wait_state(&notice, "done").await;
    let replay = keyed.send(1, &notice).await;
    assert_eq!((replay.status, is_replay(&replay)), (201, true));
    assert_eq!(keyed.executions(&notice), 1);
}

/// Guards against a paused daemon that dispatches after an operator released its key and another
/// daemon ran it.
#[tokio::test]
async fn released_key_of_a_paused_daemon_runs_once() {
    let keyed = KeyedFleet::start(1, 1).await;
    let notice = Notice::new("paused-released").with_timeout(8_000);
    let first = keyed.hold_after_intent(&notice, 500).await;
    keyed.fleet.daemons[0].process.pause();
    let answer = keyed.send_until_settled(1, &notice).await;
    assert_eq!(refusal(&answer), ["key_unresolved", "may_have_run"]);
    harness::wait_until(LIMIT, "the operator releases the key", async || {
        keyed.resolve(1, &notice, false).await["state"] == "released"
    })
    .await;
    let answer = keyed.send(1, &notice).await;
    assert_eq!(answer.status, 201, "{:?}", answer.json());
    keyed.fleet.daemons[0].process.resume();
    let late = first.await.expect("task").expect("an answer");
    assert_ne!(late.status, 201, "{:?}", late.json());
    assert_eq!(keyed.executions(&notice), 1);
    let replay = keyed.send(0, &notice).await;
    assert_eq!((replay.status, is_replay(&replay)), (201, true));
}

/// Guards against an operator's command that does not reach the key's record.
#[tokio::test]
async fn operators_command_reads_and_resolves_a_key() {
    let keyed = KeyedFleet::start(1, 4).await;
    keyed
        .control_service(json!({"crash_after_executing": true}))
        .await;
    let notice = Notice::new("by-command").with_timeout(3_000);
    let answer = keyed.send(0, &notice).await;
    assert_eq!(refusal(&answer), ["target_failed", "may_have_run"]);
    let admin = keyed.fleet.daemons[1].admin_address.to_string();
    let execute = |arguments: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_testbed"));
        command
            .arg("cli")
            .args(arguments)
            .output()
            .expect("command")
    };
    let run = |arguments: &[&str]| {
        let output = execute(arguments);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "{arguments:?}: {error}");
        serde_json::from_slice::<Value>(&output.stdout).expect("JSON")
    };
    let name = notice.key;
    let get = ["keys", "get", "--admin", &admin, "--json", "default", name];
    let record = run(&get);
    assert_eq!(record["state"], "intent", "{record}");
    assert_eq!(record["daemon"], "daemon-0");
    let resolve = [
        "keys", "resolve", "--admin", &admin, "--json", "--ran", "default", name,
    ];
    // The daemon that ran the key may not be reachable at first; the command then ends with the
    // status of a conflict and changes nothing.
    harness::wait_until(LIMIT, "the key is resolved", async || {
        let status = execute(&resolve).status.code();
        assert!(matches!(status, Some(0 | 3)), "{status:?}");
        status == Some(0)
    })
    .await;
    assert_eq!(run(&get)["state"], "resolved");
    let answer = keyed.send(0, &notice).await;
    assert_eq!(refusal(&answer), ["key_unresolved", "ran"]);
    assert_eq!(keyed.executions(&notice), 1);
}
