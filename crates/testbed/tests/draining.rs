//! Guards against new work at a target more than 5 s after it was withdrawn (drained, on a leaving
//! host, or stopped), and against streams that a withdrawal interrupts.

use std::time;

use acaciabank_testbed::{
    harness::{self, Fleet, FleetSpec},
    load, web,
};
use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_testbed");
/// Maximum wait for a condition; generous because the machine may be busy.
const TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Maximum time between the withdrawal of a target and its last new request, in milliseconds.
const MAX_WITHDRAWAL_MS: u64 = 5_000;
/// Interval at which daemons poll targets, in milliseconds.
const POLL_INTERVAL_MS: u64 = 500;
/// Poll interval in the test of a returning target, in milliseconds. Long enough to distinguish a
/// return after two successful polls from one after a single poll.
const RETURN_POLL_INTERVAL_MS: u64 = 2_000;

/// Starts two daemons and two engines; a stream of 40 tokens takes about 0.4 s.
async fn start_fleet(poll_interval_ms: u64) -> Fleet {
    let mut spec = FleetSpec::small(2, 2, 1);
    spec.engine_arguments = ["--decode-step-ms", "10", "--per-sequence-ms", "0.1"]
        .map(str::to_owned)
        .into();
    spec.timers.target_poll_ms = poll_interval_ms;
    spec.timers.host_list_poll_ms = 500;
    let launcher = harness::Launcher::new(PROGRAM).expect("a temporary folder");
    let fleet = spec.start(launcher).await.expect("the fleet starts");
    fleet.wait_converged().await;
    fleet
}

fn stream_request(name: &str, number: usize, max_tokens: u64) -> harness::CompletionRequest {
    harness::CompletionRequest {
        model: "drafting".to_owned(),
        prompt: format!("{name} {number}"),
        max_tokens,
        is_stream: true,
        headers: Vec::new(),
    }
}

fn unix_ms() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since
        .expect("a system time after the Unix epoch")
        .as_millis() as u64
}

/// Unix times of an event in the journal of an engine, in milliseconds.
fn event_times_ms(fleet: &Fleet, event: &str, engine: usize) -> Vec<u64> {
    let journals = fleet.journals().expect("journals");
    let name = fleet.engines[engine].name.as_str();
    let events = journals
        .events(event)
        .filter(|entry| entry["engine"] == *name);
    events
        .filter_map(|entry| entry["unix_ms"].as_u64())
        .collect()
}

/// Sends short streams until a condition holds; all of them must complete.
async fn run_load_until(fleet: &Fleet, name: &str, mut is_over: impl FnMut() -> bool) {
    let caller = fleet.caller(None, TIMEOUT);
    let deadline = time::Instant::now() + TIMEOUT;
    let mut round = 0;
    while !is_over() {
        assert!(
            time::Instant::now() < deadline,
            "{name}: condition not met within {TIMEOUT:?}"
        );
        let requests: Vec<_> = (0..8)
            .map(|number| stream_request(name, round * 8 + number, 10))
            .map(load::LoadRequest::Completion)
            .collect();
        for outcome in load::run(&caller, &requests, 8, |_| {}).await {
            assert!(
                outcome.is_complete && outcome.violations.is_empty(),
                "{outcome:?}"
            );
        }
        round += 1;
    }
}

/// Runs long streams that are in flight during the withdrawal; each must complete in one attempt.
async fn run_long_streams(fleet: &Fleet) {
    let caller = fleet.caller(None, TIMEOUT);
    let requests: Vec<_> = (0..8)
        .map(|number| load::LoadRequest::Completion(stream_request("long", number, 300)))
        .collect();
    for outcome in load::run(&caller, &requests, 8, |_| {}).await {
        assert!(
            outcome.is_complete && outcome.violations.is_empty(),
            "{outcome:?}"
        );
        assert_eq!(outcome.attempts, 1, "{outcome:?}");
    }
}

/// Withdraws engine 0 under load and checks the journals: engine 0 was in use before, received no
/// new work after `MAX_WITHDRAWAL_MS`, and every stream finished at the engine that started it.
/// Returns the time of the withdrawal.
async fn check_withdrawal(fleet: &Fleet, withdraw: impl Future<Output = ()>) -> u64 {
    let is_started = || event_times_ms(fleet, "started", 0).len() >= 2;
    let withdrawn_at_ms = std::cell::Cell::new(u64::MAX);
    let withdrawal = async {
        run_load_until(fleet, "before", is_started).await;
        withdraw.await;
        withdrawn_at_ms.set(unix_ms());
        run_load_until(fleet, "after", || {
            unix_ms() > withdrawn_at_ms.get() + MAX_WITHDRAWAL_MS + 1_500
        })
        .await;
    };
    tokio::join!(run_long_streams(fleet), withdrawal);
    let withdrawn_at_ms = withdrawn_at_ms.get();
    let received = event_times_ms(fleet, "received", 0);
    let late: Vec<_> = received
        .iter()
        .filter(|at| **at > withdrawn_at_ms + MAX_WITHDRAWAL_MS)
        .collect();
    assert!(
        late.is_empty(),
        "requests received too late after the withdrawal at {withdrawn_at_ms}: {late:?}"
    );
    let journals = fleet.journals().expect("journals");
    assert_eq!(journals.events("cancelled").count(), 0);
    let started = journals.events("started");
    let resumed = started.filter(|entry| entry["resume_from"] != 0).count();
    assert_eq!(resumed, 0, "streams were resumed at another engine");
    withdrawn_at_ms
}

async fn post_admin(fleet: &Fleet, path: &str) {
    let address = fleet.daemons[0].admin_address;
    let response = web::call(address, "POST", path, &[], "").await;
    assert_eq!(response.expect("a response").status, 200, "{path}");
}

/// Guards against new work at a drained target, against streams interrupted by the drain, and
/// against a target that gets no work after `undrain`.
#[tokio::test(flavor = "multi_thread")]
async fn drained_target_gets_no_new_work() {
    let _permit = harness::acquire_fleet_permit().await;
    let fleet = start_fleet(POLL_INTERVAL_MS).await;
    let target = fleet.engines[0].name.clone();
    let drain = format!("/admin/targets/{target}/drain");
    check_withdrawal(&fleet, post_admin(&fleet, &drain)).await;
    let before = event_times_ms(&fleet, "received", 0).len();
    post_admin(&fleet, &format!("/admin/targets/{target}/undrain")).await;
    run_load_until(&fleet, "undrained", || {
        event_times_ms(&fleet, "received", 0).len() > before
    })
    .await;
}

/// Guards against new work at a target whose host the platform lists as leaving, and against
/// streams interrupted when the host is listed so.
#[tokio::test(flavor = "multi_thread")]
async fn target_on_a_leaving_host_gets_no_new_work() {
    let _permit = harness::acquire_fleet_permit().await;
    let fleet = start_fleet(POLL_INTERVAL_MS).await;
    let host = fleet.deployment.engines[0].host.clone();
    let set_host_state = async |state: &str| {
        let hosts = fleet.deployment.hosts.iter();
        let states: serde_json::Map<String, Value> = hosts
            .map(|entry| match entry.name == host {
                true => (entry.name.to_string(), state.into()),
                false => (entry.name.to_string(), "live".into()),
            })
            .collect();
        let message = json!({"hosts": states});
        let control = Fleet::control(fleet.platform_address, &message);
        control.await.expect("the platform accepts the host list");
    };
    check_withdrawal(&fleet, set_host_state("leaving")).await;
    let before = event_times_ms(&fleet, "received", 0).len();
    set_host_state("live").await;
    run_load_until(&fleet, "live again", || {
        event_times_ms(&fleet, "received", 0).len() > before
    })
    .await;
}

async fn is_accepting(fleet: &Fleet, daemon: usize, target: &str) -> Option<bool> {
    let report = fleet.admin_json(daemon, "/admin/targets").await.ok()?;
    let mut targets = report["targets"].as_array()?.iter();
    let entry = targets.find(|entry| entry["target"] == target)?;
    entry["accepting"].as_bool()
}

/// Guards against requests lost when a target stops, against a stopped target that stays in use,
/// and against a target that is used again after fewer than two successful polls.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_target_returns_after_two_successful_polls() {
    let _permit = harness::acquire_fleet_permit().await;
    let mut fleet = start_fleet(RETURN_POLL_INTERVAL_MS).await;
    let target = fleet.engines[0].name.clone();
    run_load_until(&fleet, "before", || {
        event_times_ms(&fleet, "started", 0).len() >= 2
    })
    .await;
    fleet.engines[0].process.kill();
    let stopped_at = time::Instant::now();
    for daemon in 0..2 {
        let description = format!("daemon-{daemon} has withdrawn {target}");
        let max_withdrawal = time::Duration::from_millis(MAX_WITHDRAWAL_MS);
        let remaining = max_withdrawal.saturating_sub(stopped_at.elapsed());
        harness::wait_until(remaining, &description, async || {
            is_accepting(&fleet, daemon, &target).await == Some(false)
        })
        .await;
    }
    let withdrawn_at_ms = unix_ms();
    let count_before = event_times_ms(&fleet, "received", 0).len();
    let restarted = fleet.engines[0].process.restart();
    restarted.expect("the engine starts again");
    run_load_until(&fleet, "after", || {
        event_times_ms(&fleet, "received", 0).len() > count_before
    })
    .await;
    let first_at_ms = event_times_ms(&fleet, "received", 0)[count_before];
    // The poll that withdrew the target is at most one gossip round older than `withdrawn_at_ms`,
    // and two successful polls follow at full intervals. A return after one poll would come after
    // one interval.
    let earliest_ms = withdrawn_at_ms + 3 * RETURN_POLL_INTERVAL_MS / 2;
    assert!(
        first_at_ms >= earliest_ms,
        "the target got work {} ms after its withdrawal, before two successful polls",
        first_at_ms - withdrawn_at_ms
    );
}
